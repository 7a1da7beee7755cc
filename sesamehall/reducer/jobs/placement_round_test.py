"""Tests of the cost of a placement round, and of its constraints.

Guards against a leader that compares each waiting task with each worker: in a
surge on a large pool these comparisons took most of its processor time.
"""

import pytest

from sesamehall.core.managereffects import StartRun
from sesamehall.core.replacing import replace
from sesamehall.core.sizes import fits
from sesamehall.core.work import NO_SIZE
from sesamehall.core.work import Size
from sesamehall.reducer.jobs import placement_round
from sesamehall.reducer.jobs.state_updates import add_waiting_task
from sesamehall.reducer.jobs.state_updates import release_run
from sesamehall.reducer.jobs.testing import activate_jobs
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_step
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import CAPACITY
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import JOB_ID
from sesamehall.reducer.jobs.testing import place_all
from sesamehall.reducer.jobs.testing import SMALL

WORKERS = 100
LITTLE = Size(500, 500)
MEMORY_HEAVY = Size(500, 7_500)


def build_plans(jobs, step):
    """Build jobs of one step each."""
    return [build_plan(step, job_id=f"{n:016x}") for n in range(jobs)]


@pytest.mark.parametrize(
    ("used", "plans", "started", "max_calls"),
    [
        (Size(0, 0), build_plans(1, build_step(50)), 50, 2 * WORKERS),
        (CAPACITY, build_plans(100, build_step(8)), 0, 6 * WORKERS),
        (
            Size(3_500, 7_500),
            build_plans(50, build_step(4)) + build_plans(50, build_step(4)),
            0,
            6 * WORKERS,
        ),
    ],
    ids=["many tasks of a step", "full pool", "nearly full pool"],
)
def test_number_of_size_comparisons(
    monkeypatch, used, plans, started, max_calls
):
    calls = []

    def count(size, free):
        calls.append(size)
        return fits(size, free)

    workers = [build_worker(f"w{n:03}", used=used) for n in range(WORKERS)]
    manager = activate_jobs(build_leader(*workers), *plans)
    monkeypatch.setattr(placement_round, "fits", count)
    step = place_all(manager)
    assert len(effects_of(step, StartRun)) == started
    assert len(calls) <= max_calls


@pytest.mark.parametrize(
    ("used", "first", "second", "started"),
    [
        (Size(3_500, 0), SMALL, LITTLE, {LITTLE}),
        (Size(3_500, 0), LITTLE, SMALL, {LITTLE}),
        (Size(3_500, 0), MEMORY_HEAVY, LITTLE, {MEMORY_HEAVY}),
        (Size(3_500, 7_000), MEMORY_HEAVY, LITTLE, {LITTLE}),
        (CAPACITY, SMALL, LITTLE, set()),
    ],
    ids=[
        "smaller task after one that does not fit",
        "larger task after one that fits",
        "the first uses all free resources",
        "smaller in one dimension only",
        "neither fits",
    ],
)
def test_exhausted_size_excludes_only_tasks_at_least_as_large(
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
        "first task failed on w1",
        "second task failed on w1",
        "failed on a worker that is not preferred",
        "no other worker",
    ],
)
def test_failed_task_is_placed_on_another_worker(workers, failed_on, expected):
    leader = build_leader(*map(build_worker, workers))
    for index, worker_id in failed_on.items():
        key = f"{JOB_ID}.0.{index}"
        failed = leader.last_failed_worker_by_task.set(key, worker_id)
        leader = replace(leader, last_failed_worker_by_task=failed)
    step = place_all(activate_jobs(leader, build_plan(build_step(2))))
    assert [run.worker_id for run in effects_of(step, StartRun)] == expected


# Guards against workers that are kept free in vain (review/5, LOST): a task
# that may run on none of them, whatever its size, kept others waiting.
@pytest.mark.parametrize(
    ("step", "used", "started"),
    [
        (build_step(size=CAPACITY), NO_SIZE, 3),
        (build_step(size=CAPACITY), LITTLE, 3),
        (build_step(size=CAPACITY, required_label="fast"), NO_SIZE, 4),
        (build_step(size=SMALL, required_label="fast"), LITTLE, 4),
        (build_step(5, LITTLE, max_per_worker=1), NO_SIZE, 4),
        (build_step(size=Size(5_000, 1_000)), NO_SIZE, 4),
    ],
    ids=[
        "it fits now",
        "it fits once a worker is free",
        "no worker has its label",
        "no worker has its label, small task",
        "its limit per worker is reached",
        "no worker is large enough",
    ],
)
def test_worker_is_held_back_only_for_a_task_that_it_may_run(
    step, used, started
):
    workers = [build_worker(f"w{n}", used=used) for n in range(4)]
    large = build_plan(
        build_step(4, Size(3_000, 1_000)), job_id="00000000000000bb"
    )
    plans = [build_plan(step, job_id="00000000000000aa"), large]
    orders = effects_of(
        place_all(activate_jobs(build_leader(*workers), *plans)), StartRun
    )
    large_orders = [
        order for order in orders if order.task.startswith(large.job_id)
    ]
    assert len(large_orders) == started


# review/7: a large task that lasts had no room, since others that last filled
# all workers, and held back the one that had room for a small one, for good.
@pytest.mark.parametrize(("long_running", "started"), [(True, 1), (False, 0)])
def test_worker_is_held_back_only_if_its_tasks_end(long_running, started):
    filler = build_step(
        4, Size(3_500, 1_000), long_running=long_running, max_per_worker=1
    )
    large = build_step(size=Size(1_900, 1_000), long_running=True)
    small = build_step(size=Size(500, 1_000), long_running=True)
    manager = build_leader(*(build_worker(f"w{n}") for n in range(4)))
    for number, step in enumerate((filler, large)):
        plan = build_plan(step, job_id=f"{number:016x}")
        manager = place_all(activate_jobs(manager, plan)).state
    assert len(manager.runs_by_task) == 4
    worker = manager.workers_by_id["w3"]
    others = {
        name: replace(other, used=other.entry.capacity)
        for name, other in manager.workers_by_id.items()
        if name != worker.entry.worker_id
    }
    workers_by_id = manager.workers_by_id.update(others)
    manager = replace(manager, workers_by_id=workers_by_id)
    step = place_all(activate_jobs(manager, build_plan(small)))
    assert len(effects_of(step, StartRun)) == started


def test_running_tasks_count_once_against_the_limit_per_worker():
    """Two occurrences of a step with two tasks each run beside each other."""
    step = build_step(2, LITTLE, max_per_worker=2)
    plan = replace(
        build_plan(step), occurrence_count=2, first_wall_ms=0, period_ms=1
    )
    manager = activate_jobs(build_leader(build_worker("w1")), plan)
    manager = place_all(manager).state
    for occurrence in (0, 1):
        run = manager.runs_by_task[f"{JOB_ID}.{occurrence}.0.1"]
        manager = release_run(manager, run)
        manager = add_waiting_task(manager, JOB_ID, run.place)
    started = effects_of(place_all(manager), StartRun)
    assert len(started) == 2
