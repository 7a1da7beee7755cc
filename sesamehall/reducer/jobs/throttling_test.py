"""Tests of pacing under the loads that it answers."""

import pytest

from sesamehall.core.jobtiming import THROTTLE_SETTLE_MS
from sesamehall.core.managereffects import ThrottleRun
from sesamehall.core.replacing import replace
from sesamehall.core.work import ActiveRun
from sesamehall.reducer.jobs.reports import apply_report
from sesamehall.reducer.jobs.testing import activate_jobs
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_report
from sesamehall.reducer.jobs.testing import build_step
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.jobs.testing import OTHER_JOB_ID
from sesamehall.reducer.jobs.testing import place_all
from sesamehall.reducer.jobs.testing import task

TARGET_MS = 100
SERVES = build_plan(
    build_step(long_running=True, tail_latency_target_ms=TARGET_MS)
)
FILLS = build_plan(build_step(best_effort=True), job_id=OTHER_JOB_ID)


def paces_after(*tails, period_ms=THROTTLE_SETTLE_MS, plans=(SERVES, FILLS)):
    """Let a worker report tails one after the other; list all orders."""
    manager = activate_jobs(build_leader(build_worker("w1")), *plans)
    manager = place_all(manager).state
    at_ms = NOW_MS
    paces = []
    for tail in tails:
        at_ms += period_ms
        active = [
            ActiveRun(task(job_id=plan.job_id), 1, percent=100, load=tail)
            for plan in plans
        ]
        manager = replace(
            manager, term=replace(manager.term, confirmed_ms=at_ms)
        )
        step = apply_report(manager, build_report("w1", active, at_ms=at_ms))
        manager = step.state
        paces += [order.percent for order in effects_of(step, ThrottleRun)]
    return paces


@pytest.mark.parametrize(
    ("pattern", "tails", "paces"),
    [
        ("calm", [20, 30, 20], []),
        ("near its target", [91], [25]),
        ("over its target for long", [150] * 4, [25, 0, 0, 0]),
        ("between calm and near", [91, 80, 80], [25]),
        ("calm again", [91, 20, 20, 20, 20, 20], [25, 45, 65, 85, 100]),
        ("never quite calm", [150, 150, 60, 95], [25, 0, 20, 0]),
    ],
    ids=lambda value: value if isinstance(value, str) else None,
)
def test_pace_follows_the_tail(pattern, tails, paces):
    assert paces_after(*tails) == paces


def test_a_pace_is_given_time_to_settle():
    assert paces_after(*[150] * 3, period_ms=THROTTLE_SETTLE_MS // 4) == [25]


@pytest.mark.parametrize("plans", [(SERVES,), (FILLS,)])
def test_nobody_to_disturb(plans):
    assert not paces_after(150, 150, plans=plans)
