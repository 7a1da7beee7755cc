"""Tests of the manager's task placement: ceilings, gangs and timing."""

from immutables import Map
import pytest

from sesamehall.core.managereffects import StartRun
from sesamehall.core.replacing import replace
from sesamehall.core.work import ActiveRun
from sesamehall.core.work import Size
from sesamehall.reducer.jobs.reports import apply_report
from sesamehall.reducer.jobs.runs import schedule_placement
from sesamehall.reducer.jobs.task_placement import place_tasks
from sesamehall.reducer.jobs.testing import activate_jobs
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_manifest
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_registration
from sesamehall.reducer.jobs.testing import build_report
from sesamehall.reducer.jobs.testing import build_step
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.jobs.testing import place_all
from sesamehall.reducer.jobs.testing import task


def started_on(step):
    """List the workers of the start orders, sorted."""
    return sorted(order.worker_id for order in effects_of(step, StartRun))


@pytest.mark.parametrize(
    ("step", "workers", "expected"),
    [
        (build_step(count=3), {"w1": {}}, ["w1"] * 3),
        (build_step(count=5), {"w1": {}}, ["w1"] * 4),
        (build_step(size=Size(5_000, 1)), {"w1": {}}, []),
        (
            build_step(count=3, max_per_worker=1),
            {"w1": {}, "w2": {}},
            ["w1", "w2"],
        ),
        (build_step(required_label="kind-b"), {"w1": {}}, []),
        (
            build_step(required_label="kind-b"),
            {"w1": {"labels": ("kind-b",)}},
            ["w1"],
        ),
        (
            build_step(data_rack="r1-2"),
            {"w1": {}, "w2": {"rack": "r1-2"}},
            ["w2"],
        ),
        (
            build_step(count=2),
            {"w1": {"draining": True}, "w2": {}},
            ["w2"] * 2,
        ),
        (build_step(count=5, gang=True), {"w1": {}}, []),
        (
            build_step(count=5, gang=True),
            {"w1": {}, "w2": {}},
            ["w1"] * 4 + ["w2"],
        ),
        (build_step(count=9, best_effort=True), {"w1": {}}, ["w1"] * 8),
    ],
    ids=[
        "fits",
        "only some fit",
        "larger than a worker",
        "limit per worker",
        "label missing",
        "label",
        "rack of its data",
        "draining",
        "gang does not fit",
        "gang",
        "best effort, limited by memory",
    ],
)
def test_workers_that_tasks_are_placed_on(step, workers, expected):
    built = [
        replace(build_worker(name), entry=build_registration(name, **others))
        for name, others in workers.items()
    ]
    manager = activate_jobs(build_leader(*built), build_plan(step))
    assert started_on(place_all(manager)) == expected


@pytest.mark.parametrize(
    ("ceiling", "starts"),
    [
        (Size(), 4),
        (Size(cpu_milli=2_000), 2),
        (Size(cpu_milli=2_500), 2),
        (Size(memory_mb=1_000), 1),
        (Size(cpu_milli=999), 0),
    ],
)
def test_team_stays_within_its_ceiling(ceiling, starts):
    manager = build_leader(
        build_worker("w1"), manifest=build_manifest(ceiling=ceiling)
    )
    manager = activate_jobs(manager, build_plan(build_step(count=4)))
    assert len(started_on(place_all(manager))) == starts


@pytest.mark.parametrize(
    ("pool", "starts"), [("a", ["w1"]), ("", [])], ids=["named", "dropped"]
)
def test_jobs_of_a_dropped_queue_wait(pool, starts):
    """A manifest may drop the queue of jobs that are accepted already."""
    manager = build_leader(build_worker("w1"))
    if not pool:
        queues = manager.manifest.queues_by_name.delete("quotes")
        manifest = replace(manager.manifest, queues_by_name=queues)
        manager = replace(manager, manifest=manifest)
    manager = activate_jobs(manager, build_plan())
    assert started_on(place_tasks(manager, pool, NOW_MS)) == starts


@pytest.mark.parametrize(
    ("adopted", "starts"),
    [((0, 1), 0), ((0,), 0), ((), 2)],
    ids=["all tasks", "some tasks", "none"],
)
def test_gang_of_an_earlier_leader_continues(adopted, starts):
    """A gang is not placed again while some of its tasks may run."""
    manager = build_leader(build_worker("w1"))
    plan = build_plan(build_step(count=2, gang=True))
    manager = activate_jobs(manager, plan, inherited=True)
    active = [ActiveRun(task(index), 3) for index in adopted]
    step = apply_report(manager, build_report("w1", active))
    assert len(step.state.runs_by_task) == len(adopted)
    assert len(started_on(place_all(step.state))) == starts


@pytest.mark.parametrize(
    ("jobs", "after_ms"), [(0, 3), (9, 3), (10, 4), (300, 33)]
)
def test_rounds_are_less_frequent_the_more_jobs_wait(jobs, after_ms):
    """Limits the cost of placement rounds in a surge.

    When every task that ended caused a round, each of which ranks all waiting
    jobs, the rounds took all of the leader's processor time and its orders
    were seconds late.
    """
    names = Map((f"{number:016x}", True) for number in range(jobs))
    manager = build_leader(job_ids_by_pool=Map({"a": names}))
    (timer,) = schedule_placement(manager, "a", NOW_MS).effects
    assert timer.at_ms - NOW_MS == after_ms
