"""Tests of emptying workers without more tasks down than may be."""

import pytest

from sesamehall.core.managereffects import StopRun
from sesamehall.core.replacing import replace
from sesamehall.core.workstate import RunState
from sesamehall.reducer.jobs.state_updates import put_worker
from sesamehall.reducer.jobs.testing import activate_jobs
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_step
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.jobs.testing import place_all
from sesamehall.reducer.jobs.testing import task
from sesamehall.reducer.machines.evacuation import empty_worker


def serving_leader(may_miss):
    """Build a leader with a lasting task at work on each of two workers."""
    lasting = build_step(
        2, long_running=True, max_unavailable=may_miss, max_per_worker=1
    )
    manager = build_leader(build_worker("w1"), build_worker("w2"))
    manager = activate_jobs(manager, build_plan(lasting))
    manager = place_all(manager).state
    for name, run in manager.runs_by_task.items():
        run = replace(run, state=RunState.RUNNING, percent=100)
        runs = manager.runs_by_task.set(name, run)
        manager = replace(manager, runs_by_task=runs)
    return manager


@pytest.mark.parametrize(
    ("may_miss", "run_change", "worker_change", "stopped"),
    [
        (1, {}, {}, True),
        (1, {"percent": 40}, {}, False),
        (1, {"state": RunState.STARTING}, {}, False),
        (1, {"state": RunState.STOPPING}, {}, False),
        (1, {}, {"unanswered_watches": 1}, False),
        (1, {}, {"last_report_ms": NOW_MS - 5_000}, False),
        (2, {"percent": 40}, {}, True),
        (0, {"percent": 40}, {}, True),
    ],
    ids=[
        "the other serves",
        "the other has just begun",
        "the other has not begun",
        "the other is being stopped",
        "the other's worker is silent",
        "the other's worker is overdue",
        "two may be down",
        "any number may be down",
    ],
)
def test_lasting_task_is_stopped(may_miss, run_change, worker_change, stopped):
    manager = serving_leader(may_miss)
    other = next(
        run for run in manager.runs_by_task.values() if run.worker_id == "w2"
    )
    runs = manager.runs_by_task.set(other.task, replace(other, **run_change))
    manager = replace(manager, runs_by_task=runs)
    worker = replace(manager.workers_by_id["w2"], **worker_change)
    manager = put_worker(manager, worker)
    step = empty_worker(manager, "w1", NOW_MS, NOW_MS)
    assert bool(effects_of(step, StopRun)) == stopped


# Guards against AVAIL: a stop that an earlier leader sent is carried out late,
# after its successor has taken the run over and stopped another of its step.
@pytest.mark.parametrize(
    ("term_ms", "may_miss", "stopped"),
    [(100, 1, False), (2_999, 1, False), (3_000, 1, True), (100, 0, True)],
)
def test_new_leader_lets_earlier_stops_take_effect(term_ms, may_miss, stopped):
    manager = serving_leader(may_miss)
    term = replace(manager.term, began_ms=NOW_MS - term_ms)
    step = empty_worker(replace(manager, term=term), "w1", NOW_MS, NOW_MS)
    assert bool(effects_of(step, StopRun)) == stopped


@pytest.mark.parametrize(("waited_ms", "stopped"), [(0, 0), (4_000, 1)])
def test_other_tasks_get_time_to_end(waited_ms, stopped):
    manager = build_leader(build_worker("w1"))
    manager = place_all(activate_jobs(manager, build_plan())).state
    run = replace(manager.runs_by_task[task()], state=RunState.RUNNING)
    runs = manager.runs_by_task.set(task(), run)
    manager = replace(manager, runs_by_task=runs)
    step = empty_worker(manager, "w1", NOW_MS, NOW_MS + waited_ms)
    assert len(effects_of(step, StopRun)) == stopped
