"""Tests of reports that may not list all ended runs.

Guards against tasks that run again after they were done: a run that is neither
active nor among the listed ends was taken for lost, although its end was only
not listed yet, or not applied yet.
"""

import pytest

from sesamehall.core.logevents import RUNS_NOT_LISTED
from sesamehall.core.managereffects import StartRun
from sesamehall.core.managereffects import StopRun
from sesamehall.core.replacing import replace
from sesamehall.core.work import ActiveRun
from sesamehall.core.work import EndedRun
from sesamehall.core.work import RunEnd
from sesamehall.core.workstate import RunState
from sesamehall.reducer.jobs.queue_pools import pool_may_have_untracked_runs
from sesamehall.reducer.jobs.reports import apply_report
from sesamehall.reducer.jobs.state_updates import put_run
from sesamehall.reducer.jobs.testing import activate_jobs
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_report
from sesamehall.reducer.jobs.testing import build_step
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import details_of
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.jobs.testing import OTHER_JOB_ID
from sesamehall.reducer.jobs.testing import place_all
from sesamehall.reducer.jobs.testing import task
from sesamehall.reducer.machines.evacuation import may_stop_run

LATER_MS = NOW_MS + 500
UNREAD_END = EndedRun(1, task(job_id=OTHER_JOB_ID), 1, RunEnd.DONE)
DONE_BEHIND = EndedRun(2, task(), 1, RunEnd.DONE)
STALLED_MS = NOW_MS + 1_300  # the percentage has not changed for 1,200 ms
EXPIRED_MS = NOW_MS + 9_000  # no start order can be carried out any more
OTHER_END = EndedRun(1, task(index=1), 1, RunEnd.DONE)


def build_leader_with_run(acknowledged=True, **others):
    """Build a leader that has started a job's first task on w1."""
    manager = build_leader(build_worker("w1"), **others)
    manager = activate_jobs(manager, build_plan(build_step(count=2)))
    manager = place_all(manager).state
    run = replace(
        manager.runs_by_task[task()],
        state=RunState.RUNNING if acknowledged else RunState.STARTING,
        acknowledged_ms=NOW_MS if acknowledged else -1,
        progressed_clock_ms=50_000,
    )
    return put_run(manager, run)


@pytest.mark.parametrize(
    ("acknowledged", "ended", "at_ms", "report_fields", "kept"),
    [
        (True, [OTHER_END], LATER_MS, {"is_whole": True}, False),
        (True, [OTHER_END], LATER_MS, {"is_whole": False}, True),
        (True, [UNREAD_END, DONE_BEHIND], LATER_MS, {"is_whole": True}, True),
        (True, [UNREAD_END], LATER_MS, {"is_whole": True}, False),
        (True, [], LATER_MS, {"is_whole": False}, True),
        (False, [OTHER_END], EXPIRED_MS, {"is_whole": True}, False),
        (False, [OTHER_END], EXPIRED_MS, {"is_whole": False}, True),
        (True, [], LATER_MS, {"is_whole": False, "started_wall_ms": 8}, True),
    ],
    ids=[
        "whole report",
        "cut report",
        "its end is behind one of an unread job",
        "only an end of an unread job",
        "cut report, no new end",
        "whole report, start order expired",
        "cut report, start order expired",
        "cut report of a new incarnation",
    ],
)
def test_run_that_is_not_active_any_more(
    acknowledged, ended, at_ms, report_fields, kept
):
    manager = build_leader_with_run(acknowledged, jobs_caught_up=False)
    report = build_report("w1", (), ended, at_ms, **report_fields)
    manager = apply_report(manager, report).state
    assert (task() in manager.runs_by_task) is kept
    waiting = manager.active_jobs_by_id[build_plan().job_id].waiting
    assert (0 in [place.index for place in waiting]) is not kept


@pytest.mark.parametrize(
    "end", [RunEnd.DONE, RunEnd.FAILED, RunEnd.LEASE_EXPIRED]
)
def test_end_beyond_a_cut_report_counts_once_it_is_listed(end):
    manager = build_leader_with_run()
    cut = build_report("w1", (), [OTHER_END], LATER_MS, is_whole=False)
    manager = apply_report(manager, cut).state
    step = place_all(manager, LATER_MS)
    assert not effects_of(step, StartRun)
    manager = step.state
    ended = EndedRun(2, task(), 1, end)
    whole = build_report("w1", (), [ended], LATER_MS + 100)
    manager = apply_report(manager, whole).state
    starts = effects_of(place_all(manager, LATER_MS + 100), StartRun)
    assert [start.task for start in starts] == (
        [] if end is RunEnd.DONE else [task()]
    )


# A run that has ended makes no progress, and is not at work for other tasks.
@pytest.mark.parametrize(
    ("active", "is_whole", "stops", "state"),
    [
        ([ActiveRun(task(), 1)], True, 1, RunState.STOPPING),
        ([ActiveRun(task(), 1)], False, 1, RunState.STOPPING),
        ([], False, 0, RunState.ENDED_UNREAD),
    ],
    ids=["active, whole report", "active, cut report", "beyond the cut"],
)
def test_run_beyond_a_cut_report_has_not_stalled(
    active, is_whole, stops, state
):
    manager = build_leader_with_run()
    report = build_report("w1", active, [], STALLED_MS, is_whole=is_whole)
    step = apply_report(manager, report)
    stopped = [stop.task for stop in effects_of(step, StopRun)]
    assert stopped == [task()] * stops
    assert step.state.runs_by_task[task()].state is state


def test_other_tasks_are_not_stopped_beside_a_run_beyond_the_cut():
    step = build_step(count=2, long_running=True, max_unavailable=1)
    workers = [build_worker(name) for name in ("w1", "w2")]
    manager = activate_jobs(build_leader(*workers), build_plan(step))
    manager = place_all(manager).state
    for run in manager.runs_by_task.values():
        fields = {"state": RunState.RUNNING, "acknowledged_ms": NOW_MS}
        manager = put_run(manager, replace(run, percent=100, **fields))
    gone, stays = (manager.runs_by_task[task(index)] for index in (0, 1))
    assert may_stop_run(manager, stays, LATER_MS)
    active = [
        ActiveRun(run.task, 1, percent=100)
        for run in (stays,)
        if run.worker_id == gone.worker_id
    ]
    cut = build_report(gone.worker_id, active, [], LATER_MS, is_whole=False)
    manager = apply_report(manager, cut).state
    assert not may_stop_run(manager, stays, LATER_MS)


# Guards against two runs of a task: a new leader knows the runs that ended
# before its term only from the workers' lists.
@pytest.mark.parametrize(
    ("later_ended", "starts"),
    [([], 1), ([EndedRun(2, task(), 1, RunEnd.DONE)], 0)],
    ids=["nothing beyond the cut", "done beyond the cut"],
)
def test_inherited_tasks_wait_until_a_report_is_whole(later_ended, starts):
    unheard = build_worker(
        "w1",
        inherited=True,
        contacted=False,
        first_contact_ms=-1,
        lease_end_ms=NOW_MS + 3_000,
    )
    manager = build_leader(unheard, build_worker("w2"))
    manager = activate_jobs(manager, build_plan(), inherited=True)
    ended = [EndedRun(1, task(job_id=OTHER_JOB_ID), 1, RunEnd.DONE)]
    cut = build_report("w1", (), ended, is_whole=False)
    manager = apply_report(manager, cut).state
    assert pool_may_have_untracked_runs(manager, "a")
    assert not effects_of(place_all(manager), StartRun)
    whole = build_report("w1", (), later_ended, LATER_MS)
    manager = apply_report(manager, whole).state
    assert not pool_may_have_untracked_runs(manager, "a")
    orders = effects_of(place_all(manager, LATER_MS), StartRun)
    assert len(orders) == starts


# Guards against a line for each of some 12 reports a second of each worker.
@pytest.mark.parametrize(
    "state", [RunState.RUNNING, RunState.STOPPING, RunState.ENDED_UNREAD]
)
def test_runs_missing_from_cut_reports_are_logged_once(state):
    manager = build_leader_with_run()
    run = replace(manager.runs_by_task[task()], state=state)
    manager = put_run(manager, run)
    for at_ms in (LATER_MS, LATER_MS + 80):
        cut = build_report("w1", (), [OTHER_END], at_ms, is_whole=False)
        step = apply_report(manager, cut)
        manager = step.state
    assert not details_of(step, RUNS_NOT_LISTED)
