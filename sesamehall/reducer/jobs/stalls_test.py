"""Tests of stalled runs on workers that look healthy."""

import pytest

from sesamehall.core.jobtiming import STALL_MS
from sesamehall.core.managereffects import StartRun
from sesamehall.core.managereffects import StopRun
from sesamehall.core.replacing import replace
from sesamehall.core.work import ActiveRun
from sesamehall.core.work import EndedRun
from sesamehall.core.work import RunEnd
from sesamehall.core.workstate import RunState
from sesamehall.reducer.jobs.reports import apply_report
from sesamehall.reducer.jobs.stalls import is_stalled
from sesamehall.reducer.jobs.testing import activate_jobs
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_report
from sesamehall.reducer.jobs.testing import build_step
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.jobs.testing import place_all
from sesamehall.reducer.jobs.testing import task

PERIOD_MS = STALL_MS // 2


def report(manager, at_ms, active, ended=()):
    """Apply a report while the term is confirmed."""
    term = replace(manager.term, confirmed_ms=at_ms)
    manager = replace(manager, term=term)
    return apply_report(manager, build_report("w1", active, ended, at_ms))


def stops_after(percents, **others):
    """Report completed shares of two runs, and list the stopped tasks."""
    plan = build_plan(build_step(2, **others))
    manager = activate_jobs(build_leader(build_worker("w1")), plan)
    manager = place_all(manager).state
    stops = []
    at_ms = NOW_MS
    for percent in percents:
        active = [
            ActiveRun(task(index), 1, percent=percent) for index in (0, 1)
        ]
        step = report(manager, at_ms, active)
        manager = step.state
        stops += effects_of(step, StopRun)
        at_ms += PERIOD_MS
    return manager, [stop.task for stop in stops]


@pytest.mark.parametrize(
    ("pattern", "percents", "others", "stopped"),
    [
        ("makes progress", [0, 10, 20, 21, 22], {}, 0),
        ("never starts", [0, 0, 0], {}, 2),
        ("stalls", [10, 50, 50, 50], {}, 2),
        ("stalls, within the limit", [10, 50, 50], {}, 0),
        ("makes progress again", [10, 50, 50, 51, 51], {}, 0),
        ("complete", [100] * 4, {}, 0),
        ("long-running", [100] * 4, {"long_running": True}, 0),
        ("waits for its gang", [0] * 4, {"gang": True}, 0),
        ("best effort, throttled", [10] * 4, {"best_effort": True}, 0),
    ],
    ids=lambda value: value if isinstance(value, str) else None,
)
def test_stalled_runs_are_stopped(pattern, percents, others, stopped):
    _, stops = stops_after(percents, **others)
    assert len(set(stops)) == stopped


@pytest.mark.parametrize(
    ("earlier_stops", "after_ms", "stalled"),
    [
        (0, STALL_MS - 1, False),
        (0, STALL_MS, True),
        (1, STALL_MS, False),
        (1, 2 * STALL_MS, True),
        (3, 8 * STALL_MS - 1, False),
    ],
)
def test_stall_limit_doubles_with_each_stop(earlier_stops, after_ms, stalled):
    """Guards against a very long task that is stopped each time it runs."""
    manager = activate_jobs(build_leader(build_worker("w1")), build_plan())
    manager = place_all(manager).state
    counts = manager.stall_count_by_task.set(task(), earlier_stops)
    manager = replace(manager, stall_count_by_task=counts)
    run = replace(
        manager.runs_by_task[task()],
        state=RunState.RUNNING,
        progressed_clock_ms=NOW_MS,
    )
    assert is_stalled(manager, run, NOW_MS + after_ms) == stalled


def test_pause_of_the_leader_is_not_a_stall():
    """The age of a report delayed by a paused leader is that of its clock."""
    manager = activate_jobs(build_leader(build_worker("w1")), build_plan())
    manager = place_all(manager).state
    active = [ActiveRun(task(), 1, percent=10)]
    manager = report(manager, NOW_MS, active).state
    late = build_report("w1", active, at_ms=NOW_MS + 10)
    late = replace(late, at_ms=NOW_MS + 5_000)
    assert not effects_of(apply_report(manager, late), StopRun)


def test_stalled_task_runs_on_another_worker_once_stopped():
    manager, stops = stops_after([0, 0, 0])
    at_ms = NOW_MS + 3 * PERIOD_MS
    other = build_worker("w2", last_report_ms=at_ms)
    workers = manager.workers_by_id.set("w2", other)
    ids = manager.worker_ids_by_pool["a"].set("w2", True)
    manager = replace(
        manager,
        workers_by_id=workers,
        worker_ids_by_pool=manager.worker_ids_by_pool.set("a", ids),
        term=replace(manager.term, confirmed_ms=at_ms),
    )
    assert not effects_of(place_all(manager, at_ms), StartRun)
    ended = [
        EndedRun(number, name, 1, RunEnd.STOPPED)
        for number, name in enumerate(stops, 1)
    ]
    manager = report(manager, at_ms, (), ended).state
    orders = effects_of(place_all(manager, at_ms), StartRun)
    assert [order.worker_id for order in orders] == ["w2", "w2"]
