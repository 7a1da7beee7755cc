"""Tests of ranking under the loads that it is for."""

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
            "room for all: by goal",
            [job("a", 3_000), job("b", 2_000), job("c", 4_000)],
            10,
            ["b", "a", "c"],
        ),
        (
            "surge: the large job that makes the others late goes back",
            [job("a", 2_000), job("b", 1_500, core_ms=9_000), job("c", 2_500)],
            2,
            ["a", "c", "b"],
        ),
        (
            "surge of equal jobs: as many as can be done stay in time",
            [job("a", 1_000), job("b", 1_000), job("c", 1_000)],
            2,
            ["b", "c", "a"],
        ),
        (
            "too late already: after all others, the small one first",
            [
                job("a", 400, core_ms=5_000),
                job("b", 300, core_ms=500),
                job("c", 9_000),
            ],
            4,
            ["c", "b", "a"],
        ),
        (
            "lasting tasks serve their own users and go first",
            [job("a", 1_000), job("b", 2_000, long_running=True)],
            4,
            ["b", "a"],
        ),
        (
            "urgent queue before others",
            [job("a", 2_000, priority=1), job("b", 3_000)],
            4,
            ["b", "a"],
        ),
        ("nothing waits", [], 4, []),
    ],
)
def test_rank(pattern, candidates, cores, expected):
    assert rank_jobs(candidates, cores, 0).job_ids() == expected


@pytest.mark.parametrize(
    ("running_core_ms", "expected"),
    [(0, ["a", "b"]), (5_000, ["a", "b"]), (5_001, ["b", "a"])],
)
def test_tasks_that_run_take_time_from_those_that_wait(
    running_core_ms, expected
):
    """In an overload the first to be put back earns least for its work."""
    jobs = [job("a", 2_000, core_ms=3_000), job("b", 2_500, core_ms=2_000)]
    assert rank_jobs(jobs, 4, 0, running_core_ms).job_ids() == expected
