"""Tests of workers' reports, leases and silence."""

import pytest

from sesamehall.core.managereffects import StopRun
from sesamehall.core.managereffects import WatchWorker
from sesamehall.core.managerevents import OrderRefusal
from sesamehall.core.managerevents import WorkerNotReported
from sesamehall.core.replacing import replace
from sesamehall.core.work import ActiveRun
from sesamehall.core.work import EndedRun
from sesamehall.core.work import RunEnd
from sesamehall.reducer.jobs.bookkeeping import put_worker
from sesamehall.reducer.jobs.leases import extend_lease
from sesamehall.reducer.jobs.placing import is_unresolved
from sesamehall.reducer.jobs.reports import take_report
from sesamehall.reducer.jobs.testing import build_entry
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_report
from sesamehall.reducer.jobs.testing import build_step
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.jobs.testing import place_all
from sesamehall.reducer.jobs.testing import take_in
from sesamehall.reducer.jobs.testing import task
from sesamehall.reducer.jobs.workers import review_workers
from sesamehall.reducer.jobs.workers import take_entry
from sesamehall.reducer.jobs.workers import take_silence
from sesamehall.reducer.jobs.workers import watch_worker


def leader_with_run(*steps):
    """Build a leader that has started the first task of a job on w1."""
    manager = build_leader(build_worker("w1"))
    manager = take_in(manager, build_plan(*steps))
    return place_all(manager).state


def silence(at_ms):
    return WorkerNotReported(at_ms, "w1", 1, OrderRefusal.SILENT)


@pytest.mark.parametrize(
    ("change", "renews"),
    [
        ({}, True),
        ({"silences": 1}, False),
        ({"reached": False}, False),
        ({"tasks": build_worker("w1").tasks}, False),
    ],
    ids=["runs", "silent", "not reached", "idle"],
)
def test_lease_is_renewed(change, renews):
    manager = leader_with_run()
    worker = replace(manager.workers_by_id["w1"], watching=False, **change)
    step = watch_worker(put_worker(manager, worker), "w1", NOW_MS)
    (watch,) = effects_of(step, WatchWorker)
    assert (watch.lease_until_ms >= 0) == renews
    kept = step.state.workers_by_id["w1"].lease_end_ms == worker.lease_end_ms
    assert kept != renews


@pytest.mark.parametrize("confirmed_ago_ms", [0, 4_900, 5_100])
def test_lease_is_left_without_confirmation(confirmed_ago_ms):
    manager = leader_with_run()
    term = replace(manager.term, confirmed_ms=NOW_MS - confirmed_ago_ms)
    step = watch_worker(replace(manager, term=term), "w1", NOW_MS)
    (watch,) = effects_of(step, WatchWorker)
    assert (watch.lease_until_ms >= 0) == (confirmed_ago_ms < 5_000)


@pytest.mark.parametrize("confirmed", [True, False])
def test_tasks_of_a_silent_worker_wait_once_its_lease_is_over(confirmed):
    """Not where another leader may have renewed the lease meanwhile."""
    manager = leader_with_run()
    lease_end_ms = manager.workers_by_id["w1"].lease_end_ms
    at_ms = NOW_MS
    while at_ms < lease_end_ms:
        manager = take_silence(manager, silence(at_ms)).state
        manager = watch_worker(manager, "w1", at_ms).state
        assert task() in manager.runs_by_task
        at_ms += 300
    if confirmed:
        term = replace(manager.term, confirmed_ms=at_ms)
        manager = replace(manager, term=term)
    manager = review_workers(manager, at_ms).state
    assert (task() not in manager.runs_by_task) == confirmed
    waiting = manager.works_by_id[build_plan().job_id].waiting
    assert len(waiting) == confirmed


# Guards against inherited tasks that never start: a worker went silent with
# runs that nobody knew, and its pool waited for them beyond its lease.
@pytest.mark.parametrize(
    ("waited_ms", "unresolved"),
    [(-1, True), (0, False)],
    ids=["lease lasts", "lease over"],
)
def test_unknown_runs_of_a_silent_worker_end_with_its_lease(
    waited_ms, unresolved
):
    worker = build_worker(
        "w1", strangers=1, silences=3, lease_end_ms=NOW_MS + 500
    )
    manager = build_leader(worker, build_worker("w2"))
    manager = review_workers(manager, NOW_MS + 500 + waited_ms).state
    assert is_unresolved(manager, "a") == unresolved


@pytest.mark.parametrize(
    ("length_ms", "least_ms"),
    [(1_000, 1_020), (3_600, 3_672), (10_000, 10_200)],
)
def test_lease_end_allows_for_a_slow_clock(length_ms, least_ms):
    worker = extend_lease(build_worker("w1"), 50_000 + length_ms)
    assert worker.lease_end_ms >= NOW_MS + least_ms


STARTED = ActiveRun(task(), 1)


@pytest.mark.parametrize(
    ("steps", "inherited", "active", "stopped", "strangers"),
    [
        ((build_step(),), True, STARTED, 0, 0),
        ((build_step(), build_step(after=(0,))), True, STARTED, 0, 0),
        (
            (build_step(), build_step(after=(0,))),
            True,
            ActiveRun(task(step=1), 1),
            0,
            0,
        ),
        ((build_step(),), True, ActiveRun(task(index=5), 1), 1, 1),
        ((build_step(),), True, ActiveRun("nonsense", 1), 1, 1),
        ((build_step(),), True, ActiveRun("ff.0.0.0", 3), 1, 1),
    ],
    ids=[
        "its turn has come",
        "first step",
        "the end of the step before is not known yet",
        "no such task",
        "no task at all",
        "no such job",
    ],
)
def test_runs_of_an_earlier_leader(
    steps, inherited, active, stopped, strangers
):
    manager = build_leader(build_worker("w1", reached=False))
    manager = take_in(manager, build_plan(*steps), inherited=inherited)
    step = take_report(manager, build_report("w1", [active]))
    assert len(effects_of(step, StopRun)) == stopped
    assert (active.task in step.state.runs_by_task) == (not stopped)
    assert step.state.workers_by_id["w1"].strangers == strangers


def test_early_run_is_not_started_again_when_its_turn_comes():
    steps = (build_step(), build_step(after=(0,)))
    manager = build_leader(build_worker("w1"), build_worker("w2"))
    manager = take_in(manager, build_plan(*steps), inherited=True)
    early = ActiveRun(task(step=1), 1)
    manager = take_report(manager, build_report("w1", [early])).state
    done = EndedRun(1, task(), 1, RunEnd.DONE)
    manager = take_report(manager, build_report("w2", (), [done])).state
    assert not manager.works_by_id[build_plan().job_id].waiting
    assert manager.runs_by_task[task(step=1)].worker_id == "w1"


@pytest.mark.parametrize(
    ("answered_ms", "asked_ms", "kept"),
    [
        (NOW_MS, NOW_MS + 100, False),
        (NOW_MS, NOW_MS - 100, True),
        (-1, NOW_MS + 100, True),
        (-1, NOW_MS + 9_000, False),
    ],
    ids=["missing", "asked before", "may still start", "start is void"],
)
def test_run_that_is_not_listed(answered_ms, asked_ms, kept):
    manager = leader_with_run()
    run = replace(manager.runs_by_task[task()], answered_ms=answered_ms)
    runs = manager.runs_by_task.set(task(), run)
    manager = replace(manager, runs_by_task=runs)
    report = build_report("w1", at_ms=NOW_MS + 9_100, asked_ms=asked_ms)
    step = take_report(manager, report)
    assert (task() in step.state.runs_by_task) == kept


@pytest.mark.parametrize(
    ("born_ms", "kept"), [(7, True), (8, False), (0, True)]
)
def test_new_life_ends_what_ran(born_ms, kept):
    manager = leader_with_run()
    report = build_report(
        "w1", [ActiveRun(task(), 1)] if kept else [], born_ms=born_ms
    )
    step = take_report(manager, report)
    assert (task() in step.state.runs_by_task) == kept


def test_entry_of_an_earlier_life_changes_nothing():
    manager = leader_with_run()
    step = take_entry(manager, build_entry("w1", born_ms=3), NOW_MS)
    assert step.state.workers_by_id["w1"].entry.born_ms == 7
    assert task() in step.state.runs_by_task


@pytest.mark.parametrize(
    ("end", "failures", "waiting", "phase"),
    [
        (RunEnd.DONE, 0, 0, "done"),
        (RunEnd.FAILED, 1, 1, "running"),
        (RunEnd.STOPPED, 0, 1, "waiting"),
        (RunEnd.LAPSED, 0, 1, "waiting"),
    ],
)
def test_end_of_a_run(end, failures, waiting, phase):
    manager = leader_with_run()
    ended = EndedRun(1, task(), 1, end)
    step = take_report(manager, build_report("w1", (), [ended]))
    work = step.state.works_by_id[build_plan().job_id]
    assert len(work.waiting) == waiting
    assert work.progress.phase.value == phase
    assert step.state.workers_by_id["w1"].failures == failures
    again = take_report(step.state, build_report("w1", (), [ended]))
    assert again.state.works_by_id[build_plan().job_id] == work
