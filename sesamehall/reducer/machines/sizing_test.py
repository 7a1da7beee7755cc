"""Tests of pool sizes under the demands that they answer."""

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
from sesamehall.reducer.machines.sizing import hold_peak
from sesamehall.reducer.machines.sizing import Need
from sesamehall.reducer.machines.sizing import need_of
from sesamehall.reducer.machines.sizing import share_out

CORE = Size(1_000, 100)
HALF_MEMORY = Size(10, 4_000)


@pytest.mark.parametrize(
    ("pattern", "steps", "least", "wanted"),
    [
        ("nothing to do", [], 0, 1),
        ("one short task", [build_step(size=CORE)], 0, 2),
        ("wide step, in its time", [build_step(40, CORE)], 0, 8),
        ("lasting tasks", [build_step(8, CORE, long_running=True)], 2, 4),
        (
            "lasting tasks apart",
            [build_step(4, CORE, long_running=True, max_per_worker=1)],
            4,
            5,
        ),
        (
            "memory decides",
            [build_step(4, HALF_MEMORY, long_running=True)],
            2,
            4,
        ),
        (
            "fills take no processors",
            [build_step(9, CORE, best_effort=True)],
            0,
            2,
        ),
    ],
    ids=lambda value: value if isinstance(value, str) else None,
)
def test_need(pattern, steps, least, wanted):
    manager = build_leader(build_worker("w1"), build_worker("w2"))
    plans = [build_plan(*steps)] if steps else []
    manager = activate_jobs(manager, *plans)
    assert need_of(manager, "a", NOW_MS) == Need(least, wanted)


@pytest.mark.parametrize(
    ("accepted_ms", "goal_ms", "wanted"),
    [
        (0, 10_000, 2),
        (0, 4_000, 5),
        (0, 2_400, 8),
        (-1_000, 0, 5),
        (-5_999, -3_999, 8),
        (-6_000, -4_000, 3),
    ],
    ids=["much time", "less", "none to lose", "late", "last", "too late"],
)
def test_need_follows_the_time_that_is_left(accepted_ms, goal_ms, wanted):
    """Machines take a while to join; a late job is no longer urgent.

    After a takeover jobs too late to earn anything kept most machines.
    """
    manager = build_leader(build_worker("w1"), build_worker("w2"))
    manager = activate_jobs(manager, build_plan(build_step(40, CORE)))
    work = replace(
        manager.active_jobs_by_id[JOB_ID],
        first_seen_ms=NOW_MS + accepted_ms,
        goal_ms=NOW_MS + goal_ms,
    )
    works = manager.active_jobs_by_id.set(JOB_ID, work)
    manager = replace(manager, active_jobs_by_id=works)
    assert need_of(manager, "a", NOW_MS).wanted == wanted


@pytest.mark.parametrize(
    ("needs", "workers", "targets"),
    [
        ({"a": Need(1, 3), "b": Need(1, 2)}, 10, {"a": 3, "b": 2}),
        ({"a": Need(1, 11), "b": Need(1, 6)}, 8, {"a": 5, "b": 3}),
        ({"a": Need(2, 2), "b": Need(0, 100)}, 10, {"a": 2, "b": 8}),
        ({"a": Need(6, 9), "b": Need(6, 9)}, 10, {"a": 6, "b": 6}),
        ({}, 5, {}),
    ],
    ids=["enough", "too few", "surge of one", "not even the least", "none"],
)
def test_share_out(needs, workers, targets):
    assert share_out(needs, workers) == targets


@pytest.mark.parametrize(
    ("old", "workers", "at_ms", "held"),
    [
        (None, 3, 0, Peak(3, 0)),
        (Peak(5, 0), 3, PEAK_HOLD_MS - 1, Peak(5, 0)),
        (Peak(5, 0), 3, PEAK_HOLD_MS, Peak(3, PEAK_HOLD_MS)),
        (Peak(5, 0), 6, 100, Peak(6, 100)),
    ],
)
def test_hold_peak(old, workers, at_ms, held):
    assert hold_peak(old, workers, at_ms) == held
