"""Tests of what a leader knows of a worker that is back under its identifier.

Such a worker has another clock, so the end of a lease that was meant for its
former incarnation may lie far ahead there.
"""

from immutables import Map
import pytest

from sesamehall.core.fleet import Leader
from sesamehall.core.fleet import LeasedWorker
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.managereffects import StartRun
from sesamehall.core.managereffects import StopRun
from sesamehall.core.managereffects import StoreProgress
from sesamehall.core.managereffects import WatchWorker
from sesamehall.core.managerevents import OrderRefusal
from sesamehall.core.managerevents import OrderTiming
from sesamehall.core.managerevents import ProgressStored
from sesamehall.core.managerevents import RunAnswered
from sesamehall.core.managerevents import StoreOutcome
from sesamehall.core.managerevents import WorkerNotReported
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.managerstate import StreamCursor
from sesamehall.core.replacing import replace
from sesamehall.core.work import Size
from sesamehall.reducer.jobs.leadership import claim_if_vacant
from sesamehall.reducer.jobs.leadership import handle_progress_stored
from sesamehall.reducer.jobs.orders import handle_start_answer
from sesamehall.reducer.jobs.reports import apply_report
from sesamehall.reducer.jobs.state_updates import put_run
from sesamehall.reducer.jobs.state_updates import put_worker
from sesamehall.reducer.jobs.storing import write_changed_records
from sesamehall.reducer.jobs.testing import activate_jobs
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_manifest
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_registration
from sesamehall.reducer.jobs.testing import build_report
from sesamehall.reducer.jobs.testing import build_step
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import CAPACITY
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.jobs.testing import place_all
from sesamehall.reducer.jobs.testing import read_records
from sesamehall.reducer.jobs.testing import task
from sesamehall.reducer.jobs.workers import handle_missing_report
from sesamehall.reducer.jobs.workers import register_worker
from sesamehall.reducer.jobs.workers import watch_worker

FORMER = 7  # start of the incarnation that the leader knows
CURRENT = 8
LONGEST_LEASE_MS = 6_180  # 6 s on a clock that is slow
USUAL_LEASE_MS = 3_708  # 3.6 s on such a clock


def build_leader_with_run():
    """Build a leader that has started a task on w1."""
    manager = activate_jobs(build_leader(build_worker("w1")), build_plan())
    return place_all(manager).state


def register(manager, started_wall_ms, at_ms=NOW_MS):
    """Let a leader read a registration of w1."""
    entry = build_registration("w1", started_wall_ms=started_wall_ms)
    return register_worker(manager, entry, at_ms).state


def report(manager, started_wall_ms, at_ms=NOW_MS + 100):
    """Let a leader receive a report of w1."""
    event = build_report(
        "w1", at_ms=at_ms, sent_ms=at_ms - 10, started_wall_ms=started_wall_ms
    )
    return apply_report(manager, event)


def answer_start(refusal):
    """Build the answer to the order to start the task on w1."""
    timing = OrderTiming(NOW_MS, NOW_MS)
    return RunAnswered(
        NOW_MS + 500, "w1", 1, task(), 1, refusal, timing=timing
    )


def end_watch(manager):
    """Let the watch of w1 that is in flight be over."""
    worker = replace(manager.workers_by_id["w1"], watch_in_flight=False)
    return put_worker(manager, worker)


def store_changes(manager):
    """Write the changed records; return them and the state afterwards."""
    step = write_changed_records(manager, NOW_MS)
    (store,) = effects_of(step, StoreProgress)
    stored = ProgressStored(NOW_MS + 10, NOW_MS, 1, StoreOutcome.STORED)
    return store.records, handle_progress_stored(step.state, stored).state


# Once the leader had read the registration of a new incarnation, it renewed
# leases and repeated orders there by the clock of the former one, and a run
# outlasted the lease that the leader counted.
@pytest.mark.parametrize(
    ("registered", "asks_first"),
    [(FORMER, False), (CURRENT, True), (FORMER - 1, True), (0, False)],
    ids=["same", "later", "clock set back", "not told"],
)
def test_registered_worker_is_asked_before_it_gets_calls(
    registered, asks_first
):
    worker = build_worker(
        "w1", last_applied_end_sequence=5, last_stored_end_sequence=5
    )
    manager = activate_jobs(build_leader(worker), build_plan())
    manager = place_all(manager).state
    manager = end_watch(register(manager, registered))
    (watch,) = effects_of(watch_worker(manager, "w1", NOW_MS), WatchWorker)
    assert (watch.lease_until_ms < 0) == asks_first
    assert (watch.acknowledged == 0) == asks_first
    silent = answer_start(OrderRefusal.SILENT)
    resent = effects_of(handle_start_answer(manager, silent), StartRun)
    assert bool(resent) != asks_first
    lease_ms = manager.workers_by_id["w1"].lease_end_ms - NOW_MS
    assert (lease_ms == LONGEST_LEASE_MS) == asks_first


def test_repeated_registration_does_not_prolong_the_wait():
    manager = register(build_leader_with_run(), CURRENT)
    lease_end_ms = manager.workers_by_id["w1"].lease_end_ms
    manager = register(manager, CURRENT, NOW_MS + 1_500)
    assert manager.workers_by_id["w1"].lease_end_ms == lease_end_ms


def test_calls_name_the_incarnation_that_they_are_meant_for():
    step = place_all(
        activate_jobs(build_leader(build_worker("w1")), build_plan())
    )
    (start,) = effects_of(step, StartRun)
    assert start.started_wall_ms == FORMER
    (watch,) = effects_of(watch_worker(step.state, "w1", NOW_MS), WatchWorker)
    assert watch.started_wall_ms == FORMER
    (stop,) = effects_of(report(step.state, CURRENT), StopRun)
    assert stop.started_wall_ms == CURRENT


@pytest.mark.parametrize(
    ("send_count", "acknowledged_ms", "kept"),
    [(1, -1, False), (2, -1, True), (1, NOW_MS, True)],
    ids=["sent once", "sent before", "accepted before"],
)
def test_order_that_was_not_sent_is_given_up_at_once(
    send_count, acknowledged_ms, kept
):
    manager = build_leader_with_run()
    run = replace(
        manager.runs_by_task[task()],
        send_count=send_count,
        acknowledged_ms=acknowledged_ms,
    )
    event = answer_start(OrderRefusal.RESTARTED)
    manager = handle_start_answer(put_run(manager, run), event).state
    assert (task() in manager.runs_by_task) == kept
    assert manager.workers_by_id["w1"].quarantined_until_ms == 0


def test_new_incarnation_gets_tasks_once_its_record_names_it():
    manager = build_leader(build_worker("w1"))
    manager = report(manager, CURRENT).state
    manager = activate_jobs(manager, build_plan())
    assert not effects_of(place_all(manager, NOW_MS + 100), StartRun)
    records, manager = store_changes(manager)
    (leased,) = [r.value for r in records if r.key == "worker/w1"]
    assert leased.started_wall_ms == CURRENT
    assert effects_of(place_all(manager, NOW_MS + 100), StartRun)


# The successor of a leader that had met a new incarnation did not know that
# its lease may be long.  It ran the tasks again while they were running.
@pytest.mark.parametrize(
    ("restarted", "read_after_ms", "lease_ms"),
    [
        (False, 0, USUAL_LEASE_MS),
        (True, 0, 100 + LONGEST_LEASE_MS),
        (True, 1_000, 100 + LONGEST_LEASE_MS),
    ],
    ids=["not restarted", "record read at once", "record read later"],
)
def test_successor_waits_for_a_long_lease(restarted, read_after_ms, lease_ms):
    manager = build_leader_with_run()
    started_wall_ms = CURRENT if restarted else FORMER
    manager = report(manager, started_wall_ms).state
    dirty = manager.dirty_workers.set("w1", True)
    records, _ = store_changes(replace(manager, dirty_workers=dirty))
    # Its name held the role, so it waits for no renewals of its predecessor.
    successor = ManagerState(
        "edge-1",
        manifest=build_manifest(),
        pools_by_queue=Map(quotes=("a",)),
        jobs_cursor=StreamCursor(1, known_until_ms=NOW_MS),
        progress_cursor=StreamCursor(9, known_until_ms=NOW_MS),
    )
    successor = read_records(successor, Stream.PROGRESS, *records)
    step = claim_if_vacant(successor, NOW_MS + read_after_ms)
    epoch = step.state.term.claimed_epoch
    claimed = ProgressStored(
        NOW_MS + read_after_ms, NOW_MS, epoch, StoreOutcome.STORED
    )
    manager = handle_progress_stored(step.state, claimed).state
    lease_end_ms = manager.workers_by_id["w1"].lease_end_ms
    assert lease_end_ms == NOW_MS + lease_ms


@pytest.mark.parametrize(
    ("long_lease_ms", "silent_ms", "abandoned"),
    [
        (0, USUAL_LEASE_MS - 1, False),
        (0, USUAL_LEASE_MS, True),
        (6_000, 5_999, False),
        (6_000, 6_000, True),
    ],
)
def test_unreachable_worker_holds_its_tasks_for_a_long_lease(
    long_lease_ms, silent_ms, abandoned
):
    leased = LeasedWorker(
        "w1",
        "10.0.0.1:80",
        "a",
        CURRENT,
        long_lease_ms=long_lease_ms,
    )
    successor = ManagerState(
        "edge-1",
        manifest=build_manifest(),
        leader=Leader("edge-1", 1),
        jobs_cursor=StreamCursor(1, known_until_ms=NOW_MS),
        progress_cursor=StreamCursor(9, known_until_ms=NOW_MS),
    )
    record = StoredRecord("worker/w1", leased)
    successor = read_records(successor, Stream.PROGRESS, record)
    step = claim_if_vacant(successor, NOW_MS)
    epoch = step.state.term.claimed_epoch
    claimed = ProgressStored(NOW_MS, NOW_MS, epoch, StoreOutcome.STORED)
    manager = handle_progress_stored(step.state, claimed).state
    at_ms = NOW_MS + silent_ms
    manager = replace(manager, term=replace(manager.term, confirmed_ms=at_ms))
    event = WorkerNotReported(at_ms, "w1", epoch, OrderRefusal.SILENT)
    manager = handle_missing_report(manager, event).state
    assert ("w1" not in manager.workers_by_id) == abandoned


@pytest.mark.parametrize(
    ("records", "covers_all_keys"),
    [
        ((StoredRecord("worker/w1", None),), False),
        ((), True),
        ((StoredRecord("worker/w1", LeasedWorker("w1", "h:1", "a")),), False),
    ],
    ids=["deleted", "not listed", "without a long lease"],
)
def test_long_lease_is_forgotten_with_its_record(records, covers_all_keys):
    leased = LeasedWorker("w1", "h:1", "a", long_lease_ms=6_000)
    follower = ManagerState("edge-1", manifest=build_manifest())
    record = StoredRecord("worker/w1", leased)
    follower = read_records(follower, Stream.PROGRESS, record)
    assert "w1" in follower.long_lease_ends_by_worker_id
    follower = read_records(
        follower, Stream.PROGRESS, *records, covers_all_keys=covers_all_keys
    )
    assert not follower.long_lease_ends_by_worker_id


SMALLER = Size(1_000, 8_000)  # room for one task


def register_capacity(manager, started_wall_ms, capacity):
    """Let a leader read a registration of w1 with some capacity."""
    entry = build_registration(
        "w1", started_wall_ms=started_wall_ms, capacity=capacity
    )
    return register_worker(manager, entry, NOW_MS).state


@pytest.mark.parametrize(
    ("registered", "reported", "capacity", "started"),
    [
        (FORMER, FORMER, CAPACITY, 4),
        (FORMER, CURRENT, CAPACITY, 0),
        (FORMER, FORMER - 1, CAPACITY, 0),
        (CURRENT, CURRENT, SMALLER, 1),
        (0, CURRENT, CAPACITY, 4),
    ],
    ids=["same", "later", "clock set back", "registered", "not told"],
)
def test_incarnation_gets_tasks_by_its_own_registration(
    registered, reported, capacity, started
):
    """Guards against review/15: one with less room was overfilled (LIMIT)."""
    manager = build_leader()
    manager = register_capacity(manager, FORMER * bool(registered), CAPACITY)
    manager = end_watch(report(manager, FORMER).state)
    _, manager = store_changes(manager)
    manager = register_capacity(manager, registered, capacity)
    manager = end_watch(report(manager, reported).state)
    if reported != FORMER:
        _, manager = store_changes(manager)
    manager = activate_jobs(manager, build_plan(build_step(9)))
    step = place_all(manager, NOW_MS + 100)
    assert len(effects_of(step, StartRun)) == started


def test_incarnation_gets_tasks_once_it_is_registered():
    manager = register_capacity(build_leader(), FORMER, CAPACITY)
    manager = end_watch(report(manager, FORMER).state)
    manager = end_watch(report(manager, CURRENT).state)
    _, manager = store_changes(manager)
    manager = activate_jobs(manager, build_plan(build_step(9)))
    assert not effects_of(place_all(manager, NOW_MS + 100), StartRun)
    manager = register_capacity(manager, CURRENT, SMALLER)
    step = place_all(manager, NOW_MS + 100)
    assert len(effects_of(step, StartRun)) == 1
