"""Tests of goals, and of the tasks whose turn has come."""

import pytest

from sesamehall.core.data import JobPhase
from sesamehall.core.replacing import replace
from sesamehall.core.work import Progress
from sesamehall.core.work import TaskPlace
from sesamehall.reducer.jobs.progress import build_active_job
from sesamehall.reducer.jobs.progress import critical_path_ms
from sesamehall.reducer.jobs.progress import with_task_done
from sesamehall.reducer.jobs.testing import build_manifest
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_step
from sesamehall.reducer.jobs.testing import JOB_ID

WALL_MS = 1_000_000
QUEUE = build_manifest().queues_by_name["quotes"]


def begin(plan, inherited=False, wall_ms=WALL_MS):
    return build_active_job(
        plan, Progress(JOB_ID), QUEUE, 0, wall_ms, inherited
    )


CHAIN = (
    build_step(2),
    build_step(depends_on=(0,)),
    build_step(depends_on=(0, 1)),
)


@pytest.mark.parametrize(
    ("done", "waiting", "chain_ms", "phase"),
    [
        ([], [(0, 0), (0, 1)], 1_500, JobPhase.WAITING),
        ([(0, 0)], [(0, 0), (0, 1)], 1_500, JobPhase.RUNNING),
        ([(0, 0), (0, 1)], [(1, 0)], 1_000, JobPhase.RUNNING),
        ([(0, 0), (0, 1), (1, 0)], [(2, 0)], 500, JobPhase.RUNNING),
        ([(0, 0), (0, 1), (1, 0), (2, 0)], [], 0, JobPhase.DONE),
    ],
)
def test_steps_in_turn(done, waiting, chain_ms, phase):
    job = begin(build_plan(*CHAIN))
    for step, index in done:
        job = with_task_done(job, TaskPlace(0, step, index))
    again = build_active_job(
        job.plan, job.progress, QUEUE, 0, WALL_MS, inherited=True
    )
    left = [(place.step, place.index) for place in again.waiting]
    open_tasks = [place for place in waiting if place not in done]
    assert left == open_tasks
    assert critical_path_ms(job) == chain_ms
    assert job.progress.phase is phase


@pytest.mark.parametrize(
    ("wall_ms", "occurrences"),
    [(999, 0), (1_000, 1), (1_499, 1), (1_500, 2), (9_000, 3)],
)
def test_due_occurrences(wall_ms, occurrences):
    plan = replace(
        build_plan(), occurrence_count=3, first_wall_ms=1_000, period_ms=500
    )
    assert len(begin(plan, wall_ms=wall_ms).waiting) == occurrences
