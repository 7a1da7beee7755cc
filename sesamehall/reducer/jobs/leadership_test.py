"""Tests of the leader's term: claims, stored progress, and its end."""

from immutables import Map
import pytest

from sesamehall.core.data import JobPhase
from sesamehall.core.fleet import Leader
from sesamehall.core.fleet import LeasedWorker
from sesamehall.core.fleet import OrderedMachines
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.jobtiming import LEASE_MS
from sesamehall.core.jobtiming import RENEW_CONFIRMED_MS
from sesamehall.core.managereffects import ForgetWorker
from sesamehall.core.managereffects import StartRun
from sesamehall.core.managereffects import StopRun
from sesamehall.core.managereffects import StoreProgress
from sesamehall.core.managereffects import WatchWorker
from sesamehall.core.managerevents import OrderRefusal
from sesamehall.core.managerevents import ProgressStored
from sesamehall.core.managerevents import RunAnswered
from sesamehall.core.managerevents import StoreOutcome
from sesamehall.core.managerevents import StreamRead
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.managerstate import StreamCursor
from sesamehall.core.managerstate import Term
from sesamehall.core.replacing import replace
from sesamehall.core.work import ActiveRun
from sesamehall.core.work import EndedRun
from sesamehall.core.work import Progress
from sesamehall.core.work import RunEnd
from sesamehall.reducer.jobs.leadership import claim_if_vacant
from sesamehall.reducer.jobs.leadership import handle_progress_stored
from sesamehall.reducer.jobs.leadership import record_leader
from sesamehall.reducer.jobs.log_reading import apply_stream_read
from sesamehall.reducer.jobs.orders import handle_start_answer
from sesamehall.reducer.jobs.queueing import available_workers
from sesamehall.reducer.jobs.queueing import rank_waiting_jobs
from sesamehall.reducer.jobs.reports import apply_report
from sesamehall.reducer.jobs.storing import commit
from sesamehall.reducer.jobs.storing import record_progress
from sesamehall.reducer.jobs.storing import write_progress
from sesamehall.reducer.jobs.testing import activate_jobs
from sesamehall.reducer.jobs.testing import build_entry
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_manifest
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_report
from sesamehall.reducer.jobs.testing import build_step
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import JOB_ID
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.jobs.testing import OTHER_JOB_ID
from sesamehall.reducer.jobs.testing import place_all
from sesamehall.reducer.jobs.testing import task
from sesamehall.reducer.jobs.workers import register_worker


def build_follower(leader, silent_ms, **others):
    """Build a node that has read no record of a leader for a while."""
    fields = {
        "manifest": build_manifest(),
        "leader": leader,
        "jobs_cursor": StreamCursor(1, known_until_ms=NOW_MS),
        "progress_cursor": StreamCursor(
            9, known_until_ms=NOW_MS, last_growth_ms=NOW_MS - silent_ms
        ),
        **others,
    }
    return ManagerState("edge-2", **fields)


OTHER = Leader("edge-1", 3)


@pytest.mark.parametrize(
    ("leader", "cores", "rank", "silent_ms", "claims"),
    [
        (OTHER, 2.15, 0, 1_200, True),
        (OTHER, 2.15, 119, 1_318, False),
        (OTHER, 2.15, 119, 1_319, True),
        (OTHER, 2.15, 240, 1_200, True),
        (OTHER, 0.5, 0, 1_724, False),
        (OTHER, 0.5, 0, 1_725, True),
        (OTHER, 0.0, 119, 2_018, False),
        (OTHER, 0.0, 119, 2_019, True),
        (OTHER, 1.0, 0, 1_549, False),
        (OTHER, 1.0, 0, 1_550, True),
        (Leader("edge-1", 3, resigned=True), 0.5, 0, 100, False),
        (Leader("edge-1", 3, resigned=True), 2.15, 0, 0, True),
        (None, 0.5, 0, 100, False),
        (Leader("edge-2", 3), 0.5, 119, 0, True),
    ],
    ids=[
        "a strong node at once",
        "a strong node lets another go first",
        "a strong node in its turn",
        "chance has its bound",
        "a weak node after all strong ones",
        "a weak node in its turn",
        "the weakest after all others",
        "none later than the spread",
        "a node between them waits",
        "a node between them in its turn",
        "resigned, a weak node",
        "resigned, a strong node",
        "never any, a weak node",
        "an earlier start of a weak node",
    ],
)
def test_stronger_nodes_claim_first(leader, cores, rank, silent_ms, claims):
    """Guards against a leader on a machine too weak for a large fleet."""
    manager = build_follower(leader, silent_ms, cores=cores, jitter_seed=rank)
    step = claim_if_vacant(manager, NOW_MS)
    assert bool(effects_of(step, StoreProgress)) is claims


# Guards against a fleet of equal nodes that waits for stronger ones.
@pytest.mark.parametrize(
    ("most_cores", "silent_ms", "claims"),
    [
        (1.07, 1_200, True),
        (2.15, 1_524, False),
        (2.15, 1_526, True),
        (8.0, 1_526, True),
        (0.0, 1_524, False),
    ],
    ids=[
        "all are equal",
        "stronger ones go first",
        "in its turn",
        "much stronger ones go first",
        "others are not known",
    ],
)
def test_node_waits_for_those_that_were_seen(most_cores, silent_ms, claims):
    follower = build_follower(OTHER, 5_000, cores=1.07)
    seen = Leader("edge-1", 3, cores=most_cores)
    follower = record_leader(follower, seen, NOW_MS)
    progress = replace(
        follower.progress_cursor, last_growth_ms=NOW_MS - silent_ms
    )
    step = claim_if_vacant(replace(follower, progress_cursor=progress), NOW_MS)
    assert bool(effects_of(step, StoreProgress)) is claims


@pytest.mark.parametrize(
    ("leader", "silent_ms", "change", "epoch"),
    [
        (OTHER, 1_199, {}, None),
        (OTHER, 1_200, {}, 4),
        (OTHER, 1_200, {"jitter_seed": 100}, None),
        (None, 0, {}, 1),
        (Leader("edge-1", 3, resigned=True), 0, {}, 4),
        (Leader("edge-2", 3), 0, {}, 4),
        (OTHER, 9_000, {"stopping": True}, None),
        (OTHER, 9_000, {"jobs_cursor": StreamCursor()}, None),
        (OTHER, 9_000, {"progress_cursor": StreamCursor()}, None),
        (OTHER, 9_000, {"term": Term(claimed_epoch=4)}, None),
        (OTHER, 9_000, {"manifest": None}, None),
    ],
    ids=[
        "writes",
        "silent",
        "silent, others go first",
        "never any",
        "resigned",
        "an earlier start of this node",
        "stopping",
        "jobs not read",
        "progress not read",
        "claimed already",
        "no manifest to judge failed runs by",
    ],
)
def test_claim(leader, silent_ms, change, epoch):
    manager = build_follower(leader, silent_ms, **change)
    claims = effects_of(claim_if_vacant(manager, NOW_MS), StoreProgress)
    assert [claim.epoch for claim in claims] == ([epoch] if epoch else [])
    assert all(claim.expected_end_offset == 9 for claim in claims)


def claimed(manager, outcome=StoreOutcome.STORED):
    """Let a node claim the role and learn what became of it."""
    step = claim_if_vacant(manager, NOW_MS)
    epoch = step.state.term.claimed_epoch
    return handle_progress_stored(
        step.state, ProgressStored(NOW_MS, NOW_MS, epoch, outcome)
    )


@pytest.mark.parametrize(
    ("outcome", "leads"),
    [
        (StoreOutcome.STORED, True),
        (StoreOutcome.REFUSED, False),
        (StoreOutcome.FENCED, False),
        (StoreOutcome.UNKNOWN, False),
    ],
)
def test_claim_counts_once_it_is_stored(outcome, leads):
    step = claimed(build_follower(OTHER, 2_000), outcome)
    assert bool(step.state.term.epoch) == leads
    assert not step.state.term.claimed_epoch


def take_over(leased=("w1",)):
    """Let a node take over a job and workers that an earlier leader had."""
    by_id = Map((name, LeasedWorker(name, "h:1", "a", 7)) for name in leased)
    manager = build_follower(
        OTHER,
        2_000,
        plans_by_id=Map({JOB_ID: build_plan()}),
        leased_workers_by_id=by_id,
    )
    return claimed(manager)


@pytest.mark.parametrize(
    ("age_ms", "late"), [(0, False), (400, False), (501, True)]
)
def test_goals_do_not_begin_anew_with_a_leader(age_ms, late):
    """After a takeover jobs that were late already held up the others."""
    seen_ms = NOW_MS - age_ms
    plan = build_plan(job_id=OTHER_JOB_ID)
    record = StoredRecord(OTHER_JOB_ID, plan)
    read = StreamRead(seen_ms, seen_ms, 0, Stream.JOBS, (record,), 2, False)
    follower = apply_stream_read(build_follower(OTHER, 2_000), read).state
    manager = claimed(follower).state
    job = manager.active_jobs_by_id[OTHER_JOB_ID]
    assert (job.first_seen_ms, job.goal_ms) == (seen_ms, seen_ms + 500)
    manager = reach(manager, "w1")
    ranking = rank_waiting_jobs(
        manager, "a", available_workers(manager, "a", NOW_MS), NOW_MS
    )
    assert bool(ranking.late) == (age_ms > 0)
    assert (job.goal_ms < NOW_MS) == late
    ended = Progress(OTHER_JOB_ID, JobPhase.DONE)
    assert not record_progress(follower, ended, NOW_MS).first_seen_ms_by_job_id


def reach(manager, name, active=(), ended=()):
    """Let a worker register and report to a new leader."""
    entry = build_entry(name)
    manager = register_worker(manager, entry, NOW_MS).state
    report = build_report(name, active, ended, epoch=4)
    return apply_report(manager, report).state


@pytest.mark.parametrize(
    ("ordered", "left_alone"),
    [
        (None, ()),
        (OrderedMachines("edge-1", ("m1",), ("m2",)), ("m1", "m2")),
        (OrderedMachines("edge-2", ("m1",), ("m2",)), ("m2",)),
    ],
    ids=["none", "another node", "an earlier start of this node"],
)
def test_machines_that_others_may_have_ordered(ordered, left_alone):
    """After a restart of all, a surge must not wait for the own orders."""
    manager = build_follower(OTHER, 2_000, ordered_machines=ordered)
    manager = claimed(manager).state
    assert manager.fleet.inherited == left_alone
    fleet = replace(manager.fleet, orders_unstored=True)
    step = commit(replace(manager, fleet=fleet), NOW_MS + 1_000)
    (store,) = effects_of(step, StoreProgress)
    written = {record.key: record.value for record in store.records}
    assert written["machines"].others == left_alone


@pytest.mark.parametrize(
    ("leased", "reached", "at_ms", "starts"),
    [
        (("w1",), ("w1",), 0, 1),
        (("w1", "w2"), ("w1",), 0, 0),
        (("w1", "w2"), ("w1", "w2"), 0, 1),
    ],
    ids=["all reached", "one unreached", "both reached"],
)
def test_inherited_tasks_wait_for_all_workers(leased, reached, at_ms, starts):
    step = take_over(leased)
    assert len(effects_of(step, WatchWorker)) == len(leased)
    manager = step.state
    for name in reached:
        manager = reach(manager, name)
    orders = effects_of(place_all(manager, NOW_MS + at_ms), StartRun)
    assert len(orders) == starts


@pytest.mark.parametrize(
    ("read_first", "runs", "strangers"),
    [(True, 1, 0), (False, 0, 1)],
    ids=["job read first", "run reported first"],
)
def test_run_of_a_job_not_read_yet_goes_on(read_first, runs, strangers):
    """A follower may not have read the newest jobs when it takes over."""
    plan = build_plan(build_step(count=2), job_id=OTHER_JOB_ID)
    record = StoredRecord(OTHER_JOB_ID, plan)
    read = StreamRead(NOW_MS, NOW_MS, 0, Stream.JOBS, (record,), 2, False)
    active = [ActiveRun(task(job_id=OTHER_JOB_ID), 3)]
    manager = take_over(("w1", "w2")).state
    if read_first:
        manager = apply_stream_read(manager, read).state
    manager = reach(manager, "w2")
    report = build_report("w1", active, epoch=4)
    manager = register_worker(manager, build_entry("w1"), NOW_MS).state
    step = apply_report(manager, report)
    assert not effects_of(step, StopRun)
    assert len(step.state.runs_by_task) == runs
    assert step.state.workers_by_id["w1"].untracked_runs == strangers
    manager = apply_stream_read(step.state, read).state
    assert not effects_of(place_all(manager), StartRun) or read_first
    manager = apply_report(manager, report).state
    order, *_ = effects_of(place_all(manager), StartRun)
    assert order.task != active[0].task


@pytest.mark.parametrize(
    ("read_first", "taken"),
    [(True, 1), (False, 0)],
    ids=["job read first", "end reported first"],
)
def test_end_of_a_job_not_read_yet_is_left(read_first, taken):
    """It must not be acknowledged before it has counted."""
    plan = build_plan(job_id=OTHER_JOB_ID)
    record = StoredRecord(OTHER_JOB_ID, plan)
    read = StreamRead(NOW_MS, NOW_MS, 0, Stream.JOBS, (record,), 2, False)
    ended = [EndedRun(1, task(job_id=OTHER_JOB_ID), 1, RunEnd.DONE)]
    manager = take_over(("w1", "w2")).state
    manager = reach(manager, "w2")
    if read_first:
        manager = apply_stream_read(manager, read).state
    manager = reach(manager, "w1", ended=ended)
    assert manager.workers_by_id["w1"].last_applied_end == taken
    manager = apply_stream_read(manager, read).state
    jobs_started = {
        order.task.partition(".")[0]
        for order in effects_of(place_all(manager), StartRun)
    }
    assert OTHER_JOB_ID not in jobs_started
    manager = reach(manager, "w1", ended=ended)
    assert manager.workers_by_id["w1"].last_applied_end == 1
    job = manager.active_jobs_by_id[OTHER_JOB_ID]
    assert job.progress.phase is JobPhase.DONE


@pytest.mark.parametrize(
    ("known_ms", "starts"), [(NOW_MS - 1, 0), (NOW_MS, 1)]
)
def test_later_jobs_need_not_wait(known_ms, starts):
    """Only jobs read after the first read that began in the term do not."""
    manager = reach(take_over(("w1", "w2")).state, "w1")
    first = StreamRead(NOW_MS, known_ms, 0, Stream.JOBS, (), 1, False)
    manager = apply_stream_read(manager, first).state
    plan = build_plan(job_id=OTHER_JOB_ID)
    record = StoredRecord(OTHER_JOB_ID, plan)
    later = StreamRead(NOW_MS, known_ms, 0, Stream.JOBS, (record,), 2, False)
    manager = apply_stream_read(manager, later).state
    orders = effects_of(place_all(manager), StartRun)
    assert len(orders) == starts


@pytest.mark.parametrize(
    ("confirmed_ago_ms", "accepted_ago_ms", "starts"),
    [
        (899, 0, 1),
        (900, 900, 1),
        (2_000, 900, 0),
        (4_999, 4_200, 1),
        (5_000, 5_000, 0),
    ],
    ids=[
        "confirmed",
        "known before",
        "came too late",
        "outage",
        "outage too long",
    ],
)
def test_starts_without_confirmation(
    confirmed_ago_ms, accepted_ago_ms, starts
):
    manager = activate_jobs(build_leader(build_worker("w1")), build_plan())
    job = manager.active_jobs_by_id[JOB_ID]
    job = replace(job, first_seen_ms=NOW_MS - accepted_ago_ms)
    confirmed_ms = NOW_MS - confirmed_ago_ms
    manager = replace(
        manager,
        active_jobs_by_id=manager.active_jobs_by_id.set(JOB_ID, job),
        term=replace(manager.term, confirmed_ms=confirmed_ms),
    )
    assert len(effects_of(place_all(manager), StartRun)) == starts


def test_end_is_shown_and_acknowledged_once_it_is_stored():
    manager = activate_jobs(build_leader(build_worker("w1")), build_plan())
    manager = place_all(manager).state
    ended = EndedRun(1, task(), 1, RunEnd.DONE)
    manager = apply_report(manager, build_report("w1", (), [ended])).state
    assert JOB_ID not in manager.phase_by_job_id
    assert manager.workers_by_id["w1"].last_stored_end == 0
    step = commit(manager, NOW_MS)
    (store,) = effects_of(step, StoreProgress)
    assert [record.key for record in store.records] == [
        JOB_ID,
        "worker/w1",
        "leader",
    ]
    stored = ProgressStored(NOW_MS, NOW_MS, 1, StoreOutcome.STORED)
    manager = handle_progress_stored(step.state, stored).state
    assert manager.phase_by_job_id[JOB_ID] is JobPhase.DONE
    assert manager.workers_by_id["w1"].last_stored_end == 1
    assert JOB_ID not in manager.active_jobs_by_id


RESIGNATION = [(False, 1), (True, 0)]


@pytest.mark.parametrize(("resigned", "writes"), RESIGNATION)
def test_nothing_follows_a_resignation(resigned, writes):
    """A later record would say that the leader is there still."""
    leader = Leader("edge-1", 1, resigned)
    manager = build_leader(build_worker("w1"), leader=leader)
    step = commit(manager, NOW_MS + 10_000)
    assert len(effects_of(step, StoreProgress)) == writes


@pytest.mark.parametrize(("resigned", "starts"), RESIGNATION)
def test_nothing_is_started_after_a_resignation(resigned, starts):
    """A successor starts later jobs at once, wherever this one does not."""
    leader = Leader("edge-1", 1, resigned)
    manager = build_leader(build_worker("w1"), leader=leader)
    manager = activate_jobs(manager, build_plan())
    assert len(effects_of(place_all(manager), StartRun)) == starts


@pytest.mark.parametrize(("resigned", "repeats"), RESIGNATION)
def test_no_order_is_repeated_after_a_resignation(resigned, repeats):
    manager = activate_jobs(build_leader(build_worker("w1")), build_plan())
    manager = place_all(manager).state
    manager = replace(manager, leader=Leader("edge-1", 1, resigned))
    silent = RunAnswered(NOW_MS, "w1", 1, task(), 1, OrderRefusal.SILENT)
    step = handle_start_answer(manager, silent)
    assert len(effects_of(step, StartRun)) == repeats


@pytest.mark.parametrize(
    ("outcome", "leads", "dirty"),
    [
        (StoreOutcome.UNKNOWN, True, True),
        (StoreOutcome.REFUSED, True, True),
        (StoreOutcome.FENCED, False, False),
    ],
)
def test_write_that_fails(outcome, leads, dirty):
    manager = activate_jobs(build_leader(build_worker("w1")), build_plan())
    manager = place_all(manager).state
    ended = EndedRun(1, task(), 1, RunEnd.DONE)
    manager = apply_report(manager, build_report("w1", (), [ended])).state
    manager = commit(manager, NOW_MS).state
    step = handle_progress_stored(
        manager, ProgressStored(NOW_MS, NOW_MS, 1, outcome)
    )
    assert bool(step.state.term.epoch) == leads
    assert bool(step.state.dirty_jobs) == dirty
    assert bool(effects_of(step, ForgetWorker)) != leads
    assert JOB_ID not in step.state.phase_by_job_id


LEASE_ON_A_SLOW_CLOCK_MS = LEASE_MS * 102 // 100
LAST_SEEN_MS = NOW_MS - 1_500


# Guards against two runs of a task at once: the leader before the last may be
# cut off and renew leases, though the last one has resigned or restarted.
@pytest.mark.parametrize(
    ("first_resigned", "second", "renewed_until_ms"),
    [
        (True, Leader("edge-3", 4, resigned=True), LAST_SEEN_MS),
        (
            False,
            Leader("edge-3", 4, resigned=True),
            LAST_SEEN_MS + RENEW_CONFIRMED_MS,
        ),
        (False, Leader("edge-2", 4), LAST_SEEN_MS + RENEW_CONFIRMED_MS),
    ],
    ids=["both resigned", "the last resigned", "the last was this node"],
)
def test_leases_of_the_leader_before_the_last(
    first_resigned, second, renewed_until_ms
):
    manager = build_follower(
        None, 0, leased_workers_by_id=Map(w1=LeasedWorker("w1", "h:1", "a", 7))
    )
    first = Leader("edge-1", 3, first_resigned)
    for leader, at_ms in ((first, LAST_SEEN_MS), (second, NOW_MS)):
        records = (StoredRecord("leader", leader),)
        read = StreamRead(at_ms, at_ms, 0, Stream.PROGRESS, records, 10, False)
        manager = apply_stream_read(manager, read).state
    manager = claimed(manager).state
    lease_end_ms = manager.workers_by_id["w1"].lease_end_ms
    assert lease_end_ms >= renewed_until_ms + LEASE_ON_A_SLOW_CLOCK_MS


# Guards against inherited tasks that wait for workers that are gone: the
# record that drops one was lost with an append that failed.
@pytest.mark.parametrize("over", [False, True])
def test_record_of_a_worker_is_written_again(over):
    manager = build_leader(
        build_worker("w1", terminated=over), dirty_workers=Map(w1=True)
    )
    manager = write_progress(manager).state
    lost = ProgressStored(NOW_MS, NOW_MS, 1, StoreOutcome.UNKNOWN)
    manager = handle_progress_stored(manager, lost).state
    (store,) = effects_of(write_progress(manager), StoreProgress)
    assert "worker/w1" in [record.key for record in store.records]
