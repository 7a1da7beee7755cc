"""Tests of what a round of placing costs, and of what it keeps to.

Guards against a leader whose processor time goes into comparing each waiting
task with each worker: in a surge of a large pool that is most of its time.
"""

import pytest

from sesamehall.core.managereffects import StartRun
from sesamehall.core.replacing import replace
from sesamehall.core.work import fits
from sesamehall.core.work import Size
from sesamehall.reducer.jobs import placement_round
from sesamehall.reducer.jobs.testing import activate_jobs
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_step
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import JOB_ID
from sesamehall.reducer.jobs.testing import place_all
from sesamehall.reducer.jobs.testing import ROOM
from sesamehall.reducer.jobs.testing import SMALL

WORKERS = 100
LITTLE = Size(500, 500)
WIDE = Size(500, 7_500)


def build_plans(jobs, step):
    """Build jobs of one step each."""
    return [build_plan(step, job_id=f"{n:016x}") for n in range(jobs)]


@pytest.mark.parametrize(
    ("used", "plans", "started", "most"),
    [
        (Size(0, 0), build_plans(1, build_step(50)), 50, 2 * WORKERS),
        (ROOM, build_plans(100, build_step(8)), 0, 6 * WORKERS),
        (
            Size(3_500, 7_500),
            build_plans(50, build_step(4)) + build_plans(50, build_step(4)),
            0,
            6 * WORKERS,
        ),
    ],
    ids=["many tasks of a step", "a full pool", "a pool with little room"],
)
def test_comparisons(monkeypatch, used, plans, started, most):
    calls = []

    def count(size, room):
        calls.append(size)
        return fits(size, room)

    workers = [build_worker(f"w{n:03}", used=used) for n in range(WORKERS)]
    manager = activate_jobs(build_leader(*workers), *plans)
    monkeypatch.setattr(placement_round, "fits", count)
    step = place_all(manager)
    assert len(effects_of(step, StartRun)) == started
    assert len(calls) <= most


@pytest.mark.parametrize(
    ("used", "first", "second", "started"),
    [
        (Size(3_500, 0), SMALL, LITTLE, {LITTLE}),
        (Size(3_500, 0), LITTLE, SMALL, {LITTLE}),
        (Size(3_500, 0), WIDE, LITTLE, {WIDE}),
        (Size(3_500, 7_000), WIDE, LITTLE, {LITTLE}),
        (ROOM, SMALL, LITTLE, set()),
    ],
    ids=[
        "a smaller one after one that found no room",
        "a larger one after one that found room",
        "the first takes all",
        "smaller in one respect only",
        "no room for either",
    ],
)
def test_what_found_no_room_keeps_off_only_what_needs_as_much(
    used, first, second, started
):
    worker = build_worker("w", used=used)
    plans = [
        build_plan(build_step(size=size), job_id=f"{n:016x}")
        for n, size in enumerate((first, second))
    ]
    step = place_all(activate_jobs(build_leader(worker), *plans))
    size_by_job = {plan.job_id: plan.steps[0].size for plan in plans}
    orders = effects_of(step, StartRun)
    assert {
        size_by_job[order.task.partition(".")[0]] for order in orders
    } == started


@pytest.mark.parametrize(
    ("workers", "failed_on", "expected"),
    [
        (("w1", "w2"), {}, ["w1", "w1"]),
        (("w1", "w2"), {"0": "w1"}, ["w2", "w2"]),
        (("w1", "w2"), {"1": "w1"}, ["w1", "w2"]),
        (("w1", "w2"), {"0": "w2"}, ["w1", "w1"]),
        (("w1",), {"0": "w1", "1": "w1"}, ["w1", "w1"]),
    ],
    ids=[
        "no failure",
        "the first elsewhere",
        "the second elsewhere",
        "failed where it would not run",
        "no other worker",
    ],
)
def test_a_failed_task_goes_elsewhere(workers, failed_on, expected):
    leader = build_leader(*map(build_worker, workers))
    for index, worker_id in failed_on.items():
        key = f"{JOB_ID}.0.{index}"
        failed = leader.last_failed_worker_by_task.set(key, worker_id)
        leader = replace(leader, last_failed_worker_by_task=failed)
    step = place_all(activate_jobs(leader, build_plan(build_step(2))))
    assert [one.worker_id for one in effects_of(step, StartRun)] == expected
