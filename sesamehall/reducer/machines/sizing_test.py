"""Tests of pool sizes for various demands."""

import pytest

from sesamehall.core.fleetstate import Peak
from sesamehall.core.fleettiming import PEAK_HOLD_MS
from sesamehall.core.replacing import replace
from sesamehall.core.work import Size
from sesamehall.reducer.jobs.testing import activate_jobs
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_step
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import JOB_ID
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.machines.sizing import divide_workers
from sesamehall.reducer.machines.sizing import pool_demand
from sesamehall.reducer.machines.sizing import PoolDemand
from sesamehall.reducer.machines.sizing import update_peak

CORE = Size(1_000, 100)
HALF_MEMORY = Size(10, 4_000)


@pytest.mark.parametrize(
    ("pattern", "steps", "min_workers", "wanted_workers"),
    [
        ("nothing to do", [], 0, 1),
        ("one short task", [build_step(size=CORE)], 0, 2),
        ("wide step, completed by its goal", [build_step(40, CORE)], 0, 8),
        ("long-running tasks", [build_step(8, CORE, long_running=True)], 2, 4),
        (
            "long-running tasks on separate workers",
            [build_step(4, CORE, long_running=True, max_per_worker=1)],
            4,
            5,
        ),
        (
            "memory is the bottleneck",
            [build_step(4, HALF_MEMORY, long_running=True)],
            2,
            4,
        ),
        (
            "best-effort tasks reserve no processors",
            [build_step(9, CORE, best_effort=True)],
            0,
            2,
        ),
    ],
    ids=lambda value: value if isinstance(value, str) else None,
)
def test_pool_demand(pattern, steps, min_workers, wanted_workers):
    manager = build_leader(build_worker("w1"), build_worker("w2"))
    plans = [build_plan(*steps)] if steps else []
    manager = activate_jobs(manager, *plans)
    assert pool_demand(manager, "a", NOW_MS) == PoolDemand(
        min_workers, wanted_workers
    )


@pytest.mark.parametrize(
    ("first_seen_offset_ms", "goal_offset_ms", "wanted_workers"),
    [
        (0, 10_000, 2),
        (0, 4_000, 5),
        (0, 2_400, 8),
        (-1_000, 0, 5),
        (-5_999, -3_999, 8),
        (-6_000, -4_000, 3),
    ],
    ids=[
        "ample time",
        "less time",
        "no time to lose",
        "late",
        "almost too late",
        "too late",
    ],
)
def test_demand_depends_on_the_remaining_time(
    first_seen_offset_ms, goal_offset_ms, wanted_workers
):
    """Machines join with a delay, and a job that is too late is not urgent.

    Guards against jobs that are too late to earn anything and still hold most
    machines, which happened after a takeover.
    """
    manager = build_leader(build_worker("w1"), build_worker("w2"))
    manager = activate_jobs(manager, build_plan(build_step(40, CORE)))
    job = replace(
        manager.active_jobs_by_id[JOB_ID],
        first_seen_ms=NOW_MS + first_seen_offset_ms,
        goal_ms=NOW_MS + goal_offset_ms,
    )
    jobs = manager.active_jobs_by_id.set(JOB_ID, job)
    manager = replace(manager, active_jobs_by_id=jobs)
    assert pool_demand(manager, "a", NOW_MS).wanted_workers == wanted_workers


@pytest.mark.parametrize(
    ("demand_by_pool", "workers", "targets"),
    [
        ({"a": PoolDemand(1, 3), "b": PoolDemand(1, 2)}, 10, {"a": 3, "b": 2}),
        ({"a": PoolDemand(1, 11), "b": PoolDemand(1, 6)}, 8, {"a": 5, "b": 3}),
        (
            {"a": PoolDemand(2, 2), "b": PoolDemand(0, 100)},
            10,
            {"a": 2, "b": 8},
        ),
        ({"a": PoolDemand(6, 9), "b": PoolDemand(6, 9)}, 10, {"a": 6, "b": 6}),
        ({}, 5, {}),
    ],
    ids=[
        "enough",
        "too few",
        "surge in one pool",
        "below the minimum",
        "no pools",
    ],
)
def test_divide_workers(demand_by_pool, workers, targets):
    assert divide_workers(demand_by_pool, workers) == targets


@pytest.mark.parametrize(
    ("previous", "workers", "at_ms", "expected"),
    [
        (None, 3, 0, Peak(3, 0)),
        (Peak(5, 0), 3, PEAK_HOLD_MS - 1, Peak(5, 0)),
        (Peak(5, 0), 3, PEAK_HOLD_MS, Peak(3, PEAK_HOLD_MS)),
        (Peak(5, 0), 6, 100, Peak(6, 100)),
    ],
)
def test_update_peak(previous, workers, at_ms, expected):
    assert update_peak(previous, workers, at_ms) == expected
