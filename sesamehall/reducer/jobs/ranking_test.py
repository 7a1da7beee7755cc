"""Tests of ranking, with and without enough capacity."""

import pytest

from sesamehall.reducer.jobs.ranking import rank_jobs
from sesamehall.reducer.jobs.ranking import WaitingJob


def job(name, goal_ms, core_ms=1_000, critical_path_ms=500, **others):
    return WaitingJob(
        job_id=name,
        priority=others.pop("priority", 0),
        goal_ms=goal_ms,
        critical_path_ms=critical_path_ms,
        core_ms=core_ms,
        mean_core_ms=1_000,
        **others,
    )


@pytest.mark.parametrize(
    ("pattern", "candidates", "cores", "expected"),
    [
        (
            "enough capacity: by goal",
            [job("a", 3_000), job("b", 2_000), job("c", 4_000)],
            10,
            ["b", "a", "c"],
        ),
        (
            "surge: the large job that delays the others is deferred",
            [job("a", 2_000), job("b", 1_500, core_ms=9_000), job("c", 2_500)],
            2,
            ["a", "c", "b"],
        ),
        (
            "surge of equal jobs: as many as possible meet their goals",
            [job("a", 1_000), job("b", 1_000), job("c", 1_000)],
            2,
            ["b", "c", "a"],
        ),
        (
            "already late: after all others, smallest job first",
            [
                job("a", 400, core_ms=5_000),
                job("b", 300, core_ms=500),
                job("c", 9_000),
            ],
            4,
            ["c", "b", "a"],
        ),
        (
            "long-running tasks serve users of their own and go first",
            [job("a", 1_000), job("b", 2_000, long_running=True)],
            4,
            ["b", "a"],
        ),
        (
            "queue with a higher priority first",
            [job("a", 2_000, priority=1), job("b", 3_000)],
            4,
            ["b", "a"],
        ),
        ("no jobs", [], 4, []),
    ],
)
def test_ranking(pattern, candidates, cores, expected):
    assert rank_jobs(candidates, cores, 0).job_ids() == expected


@pytest.mark.parametrize(
    ("running_core_ms", "expected"),
    [(0, ["a", "b"]), (5_000, ["a", "b"]), (5_001, ["b", "a"])],
)
def test_running_tasks_reduce_the_time_for_waiting_jobs(
    running_core_ms, expected
):
    """The job with the lowest value density is deferred first."""
    jobs = [job("a", 2_000, core_ms=3_000), job("b", 2_500, core_ms=2_000)]
    assert rank_jobs(jobs, 4, 0, running_core_ms).job_ids() == expected
