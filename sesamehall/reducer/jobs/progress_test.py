"""Tests of step dependencies, critical paths and due occurrences."""

import pytest

from sesamehall.core.data import JobPhase
from sesamehall.core.replacing import replace
from sesamehall.core.work import TaskPlace
from sesamehall.core.workstate import JobProgress
from sesamehall.reducer.jobs.progress import build_active_job
from sesamehall.reducer.jobs.progress import critical_path_ms
from sesamehall.reducer.jobs.progress import with_task_done
from sesamehall.reducer.jobs.testing import build_manifest
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_step
from sesamehall.reducer.jobs.testing import JOB_ID

WALL_MS = 1_000_000
QUEUE = build_manifest().queues_by_name["quotes"]


def build_job(plan, inherited=False, wall_ms=WALL_MS):
    return build_active_job(
        plan, JobProgress(JOB_ID), QUEUE, 0, wall_ms, inherited
    )


CHAIN = (
    build_step(2),
    build_step(depends_on=(0,)),
    build_step(depends_on=(0, 1)),
)


@pytest.mark.parametrize(
    ("done", "waiting", "path_ms", "phase"),
    [
        ([], [(0, 0), (0, 1)], 1_500, JobPhase.WAITING),
        ([(0, 0)], [(0, 0), (0, 1)], 1_500, JobPhase.RUNNING),
        ([(0, 0), (0, 1)], [(1, 0)], 1_000, JobPhase.RUNNING),
        ([(0, 0), (0, 1), (1, 0)], [(2, 0)], 500, JobPhase.RUNNING),
        ([(0, 0), (0, 1), (1, 0), (2, 0)], [], 0, JobPhase.DONE),
    ],
)
def test_steps_start_after_those_that_they_depend_on(
    done, waiting, path_ms, phase
):
    job = build_job(build_plan(*CHAIN))
    for step, index in done:
        job = with_task_done(job, TaskPlace(0, step, index))
    again = build_active_job(
        job.plan, job.progress, QUEUE, 0, WALL_MS, inherited=True
    )
    startable = [(place.step, place.index) for place in again.waiting]
    unfinished = [place for place in waiting if place not in done]
    assert startable == unfinished
    assert critical_path_ms(job) == path_ms
    assert job.progress.phase is phase


@pytest.mark.parametrize(
    ("wall_ms", "occurrences"),
    [(999, 0), (1_000, 1), (1_499, 1), (1_500, 2), (9_000, 3)],
)
def test_due_occurrences(wall_ms, occurrences):
    plan = replace(
        build_plan(), occurrence_count=3, first_wall_ms=1_000, period_ms=500
    )
    assert len(build_job(plan, wall_ms=wall_ms).waiting) == occurrences


@pytest.mark.parametrize(
    ("wall_ms", "occurrences"), [(999, 0), (1_000, 3), (9_000, 3)]
)
def test_without_a_period_all_occurrences_are_due_at_once(
    wall_ms, occurrences
):
    plan = replace(build_plan(), occurrence_count=3, first_wall_ms=1_000)
    assert len(build_job(plan, wall_ms=wall_ms).waiting) == occurrences
