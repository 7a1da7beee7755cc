"""Tests of the leader's term: claims, takeover, writes and resignation."""

from immutables import Map
import pytest

from sesamehall.core.data import JobPhase
from sesamehall.core.fleet import Leader
from sesamehall.core.fleet import LeasedWorker
from sesamehall.core.fleet import OrderedMachines
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.jobtiming import LEADER_TIMEOUT_MS
from sesamehall.core.jobtiming import LEASE_MS
from sesamehall.core.jobtiming import RENEWAL_CUTOFF_MS
from sesamehall.core.logevents import RENEWALS_AWAITED
from sesamehall.core.logevents import TERM_CONFIRMED_BY_RETRY
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
from sesamehall.reducer.jobs.handover import resign
from sesamehall.reducer.jobs.leadership import claim_if_vacant
from sesamehall.reducer.jobs.leadership import handle_progress_stored
from sesamehall.reducer.jobs.leadership import record_leader
from sesamehall.reducer.jobs.orders import handle_start_answer
from sesamehall.reducer.jobs.queueing import available_workers
from sesamehall.reducer.jobs.queueing import rank_waiting_jobs
from sesamehall.reducer.jobs.reports import apply_report
from sesamehall.reducer.jobs.storing import commit
from sesamehall.reducer.jobs.storing import record_progress
from sesamehall.reducer.jobs.storing import write_changed_records
from sesamehall.reducer.jobs.stream_reading import apply_stream_read
from sesamehall.reducer.jobs.testing import activate_jobs
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_manifest
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_registration
from sesamehall.reducer.jobs.testing import build_report
from sesamehall.reducer.jobs.testing import build_step
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import details_of
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import JOB_ID
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.jobs.testing import OTHER_JOB_ID
from sesamehall.reducer.jobs.testing import place_all
from sesamehall.reducer.jobs.testing import task
from sesamehall.reducer.jobs.workers import register_worker


def build_follower(leader, silent_ms, **others):
    """Build a node that has read no record of the leader for `silent_ms`."""
    fields = {
        "manifest": build_manifest(),
        "leader": leader,
        "pools_by_queue": Map(quotes=("a",)),
        "jobs_cursor": StreamCursor(1, known_until_ms=NOW_MS),
        "progress_cursor": StreamCursor(
            9, known_until_ms=NOW_MS, last_growth_ms=NOW_MS - silent_ms
        ),
        **others,
    }
    return ManagerState("edge-2", **fields)


OTHER_LEADER = Leader("edge-1", 3)


@pytest.mark.parametrize(
    ("leader", "cores", "jitter_seed", "silent_ms", "claims"),
    [
        (OTHER_LEADER, 2.15, 0, 1_200, True),
        (OTHER_LEADER, 2.15, 119, 1_318, False),
        (OTHER_LEADER, 2.15, 119, 1_319, True),
        (OTHER_LEADER, 2.15, 240, 1_200, True),
        (OTHER_LEADER, 0.5, 0, 1_724, False),
        (OTHER_LEADER, 0.5, 0, 1_725, True),
        (OTHER_LEADER, 0.0, 119, 2_018, False),
        (OTHER_LEADER, 0.0, 119, 2_019, True),
        (OTHER_LEADER, 1.0, 0, 1_549, False),
        (OTHER_LEADER, 1.0, 0, 1_550, True),
        (Leader("edge-1", 3, resigned=True), 0.5, 0, 100, False),
        (Leader("edge-1", 3, resigned=True), 2.15, 0, 0, True),
        (None, 0.5, 0, 100, False),
        (Leader("edge-2", 3), 0.5, 119, 0, True),
    ],
    ids=[
        "strong node, no jitter",
        "strong node, before its jitter has passed",
        "strong node, after its jitter",
        "jitter is bounded",
        "weak node, before its delay has passed",
        "weak node, after its delay",
        "weakest node, before its delay has passed",
        "weakest node, after the longest delay",
        "medium node, before its delay has passed",
        "medium node, after its delay",
        "leader resigned, weak node",
        "leader resigned, strong node",
        "no leader yet, weak node",
        "weak node that led before its restart",
    ],
)
def test_stronger_nodes_claim_first(
    leader, cores, jitter_seed, silent_ms, claims
):
    """Guards against a leader on a node too weak for a large fleet."""
    manager = build_follower(
        leader, silent_ms, cores=cores, jitter_seed=jitter_seed
    )
    step = claim_if_vacant(manager, NOW_MS)
    assert bool(effects_of(step, StoreProgress)) is claims


# Guards against a needless claim delay in a fleet of equal nodes, which waited
# for stronger ones.
@pytest.mark.parametrize(
    ("max_cores_seen", "silent_ms", "claims"),
    [
        (1.07, 1_200, True),
        (2.15, 1_524, False),
        (2.15, 1_526, True),
        (8.0, 1_526, True),
        (0.0, 1_524, False),
    ],
    ids=[
        "all are equal",
        "stronger nodes seen, before the delay",
        "stronger nodes seen, after the delay",
        "much stronger nodes seen, after the delay",
        "no other node seen",
    ],
)
def test_claim_delay_depends_on_max_cores_seen(
    max_cores_seen, silent_ms, claims
):
    follower = build_follower(OTHER_LEADER, 5_000, cores=1.07)
    seen = Leader("edge-1", 3, cores=max_cores_seen)
    follower = record_leader(follower, seen, NOW_MS)
    progress = replace(
        follower.progress_cursor, last_growth_ms=NOW_MS - silent_ms
    )
    step = claim_if_vacant(replace(follower, progress_cursor=progress), NOW_MS)
    assert bool(effects_of(step, StoreProgress)) is claims


@pytest.mark.parametrize(
    ("leader", "silent_ms", "change", "epoch"),
    [
        (OTHER_LEADER, 1_199, {}, None),
        (OTHER_LEADER, 1_200, {}, 4),
        (OTHER_LEADER, 1_200, {"jitter_seed": 100}, None),
        (None, 0, {}, 1),
        (Leader("edge-1", 3, resigned=True), 0, {}, 4),
        (Leader("edge-2", 3), 0, {}, 4),
        (OTHER_LEADER, 9_000, {"stopping": True}, None),
        (OTHER_LEADER, 9_000, {"jobs_cursor": StreamCursor()}, None),
        (OTHER_LEADER, 9_000, {"progress_cursor": StreamCursor()}, None),
        (OTHER_LEADER, 9_000, {"term": Term(claimed_epoch=4)}, None),
        (OTHER_LEADER, 9_000, {"manifest": None}, None),
    ],
    ids=[
        "leader writes",
        "leader silent",
        "leader silent, jitter not passed",
        "no leader yet",
        "leader resigned",
        "this node led before its restart",
        "stopping",
        "jobs not read",
        "progress not read",
        "claimed already",
        "no manifest with the attempt limits",
    ],
)
def test_claim(leader, silent_ms, change, epoch):
    manager = build_follower(leader, silent_ms, **change)
    claims = effects_of(claim_if_vacant(manager, NOW_MS), StoreProgress)
    assert [claim.epoch for claim in claims] == ([epoch] if epoch else [])
    assert all(claim.expected_end_offset == 9 for claim in claims)


def claim_role(manager, outcome=StoreOutcome.STORED):
    """Claim the role and handle the outcome of the claim."""
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
def test_term_begins_once_the_claim_is_stored(outcome, leads):
    step = claim_role(build_follower(OTHER_LEADER, 2_000), outcome)
    assert bool(step.state.term.epoch) == leads
    assert not step.state.term.claimed_epoch


def build_successor(leased=("w1",)):
    """Take over a job and workers from an earlier leader."""
    by_id = Map((name, LeasedWorker(name, "h:1", "a", 7)) for name in leased)
    manager = build_follower(
        OTHER_LEADER,
        2_000,
        plans_by_id=Map({JOB_ID: build_plan()}),
        leased_workers_by_id=by_id,
    )
    return claim_role(manager)


@pytest.mark.parametrize(
    ("age_ms", "late"), [(0, False), (400, False), (501, True)]
)
def test_takeover_keeps_the_goals_of_jobs(age_ms, late):
    """Guards against late jobs that, after a takeover, delayed the others."""
    seen_ms = NOW_MS - age_ms
    plan = build_plan(job_id=OTHER_JOB_ID)
    record = StoredRecord(OTHER_JOB_ID, plan)
    read = StreamRead(seen_ms, seen_ms, 0, Stream.JOBS, (record,), 2, False)
    follower = apply_stream_read(
        build_follower(OTHER_LEADER, 2_000), read
    ).state
    manager = claim_role(follower).state
    job = manager.active_jobs_by_id[OTHER_JOB_ID]
    assert (job.first_seen_ms, job.goal_ms) == (seen_ms, seen_ms + 500)
    manager = register_and_report(manager, "w1")
    ranking = rank_waiting_jobs(
        manager, "a", available_workers(manager, "a", NOW_MS), NOW_MS
    )
    assert bool(ranking.late) == (age_ms > 0)
    assert (job.goal_ms < NOW_MS) == late
    ended = Progress(OTHER_JOB_ID, JobPhase.DONE)
    assert not record_progress(follower, ended, NOW_MS).first_seen_ms_by_job_id


def register_and_report(manager, name, active=(), ended=()):
    """Register a worker with a new leader and apply its report."""
    entry = build_registration(name)
    manager = register_worker(manager, entry, NOW_MS).state
    report = build_report(name, active, ended, epoch=4)
    return apply_report(manager, report).state


@pytest.mark.parametrize(
    ("ordered", "inherited"),
    [
        (None, ()),
        (OrderedMachines("edge-1", ("m1",), ("m2",)), ("m1", "m2")),
        (OrderedMachines("edge-2", ("m1",), ("m2",)), ("m2",)),
    ],
    ids=["none", "another node", "this node before its restart"],
)
def test_machines_ordered_by_other_nodes_are_inherited(ordered, inherited):
    """Guards against a pause for own orders after a restart of all nodes."""
    manager = build_follower(OTHER_LEADER, 2_000, ordered_machines=ordered)
    manager = claim_role(manager).state
    assert manager.fleet.inherited == inherited
    fleet = replace(manager.fleet, orders_unstored=True)
    step = commit(replace(manager, fleet=fleet), NOW_MS + 1_000)
    (store,) = effects_of(step, StoreProgress)
    written = {record.key: record.value for record in store.records}
    assert written["machines"].others == inherited


@pytest.mark.parametrize(
    ("leased", "reached", "at_ms", "starts"),
    [
        (("w1",), ("w1",), 0, 1),
        (("w1", "w2"), ("w1",), 0, 0),
        (("w1", "w2"), ("w1", "w2"), 0, 1),
    ],
    ids=["only worker reported", "one of two reported", "both reported"],
)
def test_inherited_tasks_wait_for_reports_of_all_workers(
    leased, reached, at_ms, starts
):
    step = build_successor(leased)
    assert len(effects_of(step, WatchWorker)) == len(leased)
    manager = step.state
    for name in reached:
        manager = register_and_report(manager, name)
    orders = effects_of(place_all(manager, NOW_MS + at_ms), StartRun)
    assert len(orders) == starts


@pytest.mark.parametrize(
    ("read_first", "runs", "untracked_runs"),
    [(True, 1, 0), (False, 0, 1)],
    ids=["job read first", "run reported first"],
)
def test_run_of_an_unread_job_is_not_stopped(read_first, runs, untracked_runs):
    """Guards against stopping runs of jobs that are not read yet."""
    plan = build_plan(build_step(count=2), job_id=OTHER_JOB_ID)
    record = StoredRecord(OTHER_JOB_ID, plan)
    read = StreamRead(NOW_MS, NOW_MS, 0, Stream.JOBS, (record,), 2, False)
    active = [ActiveRun(task(job_id=OTHER_JOB_ID), 3)]
    manager = build_successor(("w1", "w2")).state
    if read_first:
        manager = apply_stream_read(manager, read).state
    manager = register_and_report(manager, "w2")
    report = build_report("w1", active, epoch=4)
    manager = register_worker(manager, build_registration("w1"), NOW_MS).state
    step = apply_report(manager, report)
    assert not effects_of(step, StopRun)
    assert len(step.state.runs_by_task) == runs
    assert step.state.workers_by_id["w1"].untracked_runs == untracked_runs
    manager = apply_stream_read(step.state, read).state
    assert not effects_of(place_all(manager), StartRun) or read_first
    manager = apply_report(manager, report).state
    order, *_ = effects_of(place_all(manager), StartRun)
    assert order.task != active[0].task


@pytest.mark.parametrize(
    ("read_first", "applied"),
    [(True, 1), (False, 0)],
    ids=["job read first", "end reported first"],
)
def test_end_of_an_unread_job_is_not_acknowledged(read_first, applied):
    """Guards against acknowledging an end before it is applied."""
    plan = build_plan(job_id=OTHER_JOB_ID)
    record = StoredRecord(OTHER_JOB_ID, plan)
    read = StreamRead(NOW_MS, NOW_MS, 0, Stream.JOBS, (record,), 2, False)
    ended = [EndedRun(1, task(job_id=OTHER_JOB_ID), 1, RunEnd.DONE)]
    manager = build_successor(("w1", "w2")).state
    manager = register_and_report(manager, "w2")
    if read_first:
        manager = apply_stream_read(manager, read).state
    manager = register_and_report(manager, "w1", ended=ended)
    assert manager.workers_by_id["w1"].last_applied_end_sequence == applied
    manager = apply_stream_read(manager, read).state
    jobs_started = {
        order.task.partition(".")[0]
        for order in effects_of(place_all(manager), StartRun)
    }
    assert OTHER_JOB_ID not in jobs_started
    manager = register_and_report(manager, "w1", ended=ended)
    assert manager.workers_by_id["w1"].last_applied_end_sequence == 1
    job = manager.active_jobs_by_id[OTHER_JOB_ID]
    assert job.progress.phase is JobPhase.DONE


@pytest.mark.parametrize(
    ("known_ms", "starts"), [(NOW_MS - 1, 0), (NOW_MS, 1)]
)
def test_jobs_read_after_the_catch_up_start_at_once(known_ms, starts):
    """Only jobs read after a read that began in the term start immediately."""
    manager = register_and_report(build_successor(("w1", "w2")).state, "w1")
    first = StreamRead(NOW_MS, known_ms, 0, Stream.JOBS, (), 1, False)
    manager = apply_stream_read(manager, first).state
    plan = build_plan(job_id=OTHER_JOB_ID)
    record = StoredRecord(OTHER_JOB_ID, plan)
    later = StreamRead(NOW_MS, known_ms, 0, Stream.JOBS, (record,), 2, False)
    manager = apply_stream_read(manager, later).state
    orders = effects_of(place_all(manager), StartRun)
    assert len(orders) == starts


@pytest.mark.parametrize(
    ("confirmed_ago_ms", "first_seen_ago_ms", "starts"),
    [
        (899, 0, 1),
        (900, 900, 1),
        (2_000, 900, 0),
        (4_999, 4_200, 1),
        (5_000, 5_000, 0),
    ],
    ids=[
        "confirmed",
        "job known in time",
        "job known too late",
        "within the renewal time",
        "after the renewal time",
    ],
)
def test_starts_without_confirmation(
    confirmed_ago_ms, first_seen_ago_ms, starts
):
    manager = activate_jobs(build_leader(build_worker("w1")), build_plan())
    job = manager.active_jobs_by_id[JOB_ID]
    job = replace(job, first_seen_ms=NOW_MS - first_seen_ago_ms)
    confirmed_ms = NOW_MS - confirmed_ago_ms
    manager = replace(
        manager,
        active_jobs_by_id=manager.active_jobs_by_id.set(JOB_ID, job),
        term=replace(manager.term, confirmed_ms=confirmed_ms),
    )
    assert len(effects_of(place_all(manager), StartRun)) == starts


def test_end_is_shown_and_acknowledged_once_stored():
    manager = activate_jobs(build_leader(build_worker("w1")), build_plan())
    manager = place_all(manager).state
    ended = EndedRun(1, task(), 1, RunEnd.DONE)
    manager = apply_report(manager, build_report("w1", (), [ended])).state
    assert JOB_ID not in manager.phase_by_job_id
    assert manager.workers_by_id["w1"].last_stored_end_sequence == 0
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
    assert manager.workers_by_id["w1"].last_stored_end_sequence == 1
    assert JOB_ID not in manager.active_jobs_by_id


RESIGNATION = [(False, 1), (True, 0)]


@pytest.mark.parametrize(("resigned", "writes"), RESIGNATION)
def test_nothing_is_written_after_a_resignation(resigned, writes):
    """A later record would make the leader look alive."""
    leader = Leader("edge-1", 1, resigned)
    manager = build_leader(build_worker("w1"), leader=leader)
    step = commit(manager, NOW_MS + 10_000)
    assert len(effects_of(step, StoreProgress)) == writes


@pytest.mark.parametrize(("resigned", "starts"), RESIGNATION)
def test_nothing_is_started_after_a_resignation(resigned, starts):
    """Guards against double starts: a successor may start later jobs."""
    leader = Leader("edge-1", 1, resigned)
    manager = build_leader(build_worker("w1"), leader=leader)
    manager = activate_jobs(manager, build_plan())
    assert len(effects_of(place_all(manager), StartRun)) == starts


@pytest.mark.parametrize(("resigned", "resends"), RESIGNATION)
def test_no_order_is_resent_after_a_resignation(resigned, resends):
    manager = activate_jobs(build_leader(build_worker("w1")), build_plan())
    manager = place_all(manager).state
    manager = replace(manager, leader=Leader("edge-1", 1, resigned))
    silent = RunAnswered(NOW_MS, "w1", 1, task(), 1, OrderRefusal.SILENT)
    step = handle_start_answer(manager, silent)
    assert len(effects_of(step, StartRun)) == resends


@pytest.mark.parametrize(
    ("outcome", "leads", "dirty"),
    [
        (StoreOutcome.UNKNOWN, True, True),
        (StoreOutcome.REFUSED, True, True),
        (StoreOutcome.FENCED, False, False),
    ],
)
def test_failed_write(outcome, leads, dirty):
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


SLOW_CLOCK_LEASE_MS = LEASE_MS * 102 // 100
LAST_SEEN_MS = NOW_MS - 1_500


# Guards against two runs of a task at once: the leader before the last may be
# cut off and still renew leases after the last one has resigned or restarted.
@pytest.mark.parametrize(
    ("first_resigned", "second", "renewed_until_ms"),
    [
        (True, Leader("edge-3", 4, resigned=True), LAST_SEEN_MS),
        (
            False,
            Leader("edge-3", 4, resigned=True),
            LAST_SEEN_MS + RENEWAL_CUTOFF_MS,
        ),
        (False, Leader("edge-2", 4), LAST_SEEN_MS + RENEWAL_CUTOFF_MS),
    ],
    ids=["both resigned", "last one resigned", "last one was this node"],
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
    manager = claim_role(manager).state
    lease_end_ms = manager.workers_by_id["w1"].lease_end_ms
    assert lease_end_ms >= renewed_until_ms + SLOW_CLOCK_LEASE_MS


class Chain:
    """Leaders of which each reads only the newest record of the one before.

    The first one has led as edge-1 and is cut off from the store.  The second
    one, edge-2, has followed it, and has replaced it.
    """

    READ_DELAY_MS = 100  # from the writing of a record until it is read

    def __init__(self, first):
        self.now_ms = NOW_MS
        follower = build_follower(first, LEADER_TIMEOUT_MS)
        self.leader, self.newest = follower, None
        self._claim(follower)

    def _claim(self, manager):
        """Let a node claim the role, with success."""
        step = claim_if_vacant(manager, self.now_ms)
        epoch = step.state.term.claimed_epoch
        self._write(step)
        stored = ProgressStored(
            self.now_ms, self.now_ms, epoch, StoreOutcome.STORED
        )
        self.leader = handle_progress_stored(self.leader, stored).state

    def _write(self, step):
        (store,) = effects_of(step, StoreProgress)
        self.leader, self.newest = step.state, store.records[-1]

    def write(self, kind, at_ms):
        """Let the leader write a record; its claim it has written already."""
        self.now_ms = at_ms
        match kind:
            case "heartbeat":
                self._write(commit(self.leader, at_ms))
            case "resignation":
                self._write(resign(self.leader, at_ms, "test", at_ms))

    def replace_leader(self, name, earlier=None):
        """Let a node take over that has read nothing since its own term."""
        self.now_ms += self.READ_DELAY_MS
        manager = ManagerState(
            name,
            manifest=build_manifest(),
            leader=earlier,
            jobs_cursor=StreamCursor(1, known_until_ms=self.now_ms),
        )
        leased = StoredRecord("worker/w1", LeasedWorker("w1", "h:1", "a", 7))
        read = StreamRead(
            self.now_ms,
            self.now_ms,
            0,
            Stream.PROGRESS,
            (self.newest, leased),
            10,
            True,
        )
        self._claim(apply_stream_read(manager, read).state)


RESIGNED_LEADER = replace(OTHER_LEADER, resigned=True)
CUT_OFF_MS = RENEWAL_CUTOFF_MS - LEADER_TIMEOUT_MS  # after the second's claim


# Guards against two runs of a task at once, and ends that are acknowledged
# later: a node that had not read the records of a leader that was cut off took
# workers as lapsed whose leases that leader still renewed.
@pytest.mark.parametrize(
    ("first", "kind", "after_ms", "names", "earlier", "renewed_for_ms"),
    [
        (OTHER_LEADER, "claim", 0, ["edge-2"], None, CUT_OFF_MS),
        (OTHER_LEADER, "heartbeat", 900, ["edge-2"], None, CUT_OFF_MS),
        (OTHER_LEADER, "heartbeat", 900, ["edge-2"] * 3, None, CUT_OFF_MS),
        (OTHER_LEADER, "resignation", 900, ["edge-3"], None, CUT_OFF_MS),
        (
            OTHER_LEADER,
            "resignation",
            900,
            ["edge-3"],
            Leader("edge-3", 2),
            CUT_OFF_MS,
        ),
        (
            OTHER_LEADER,
            "resignation",
            900,
            ["edge-3", "edge-3"],
            None,
            CUT_OFF_MS,
        ),
        (OTHER_LEADER, "heartbeat", 5_000, ["edge-2"], None, 0),
        (OTHER_LEADER, "resignation", 5_000, ["edge-3"], None, 0),
        (RESIGNED_LEADER, "claim", 0, ["edge-2"], None, 0),
        (RESIGNED_LEADER, "heartbeat", 900, ["edge-2"], None, 0),
        (RESIGNED_LEADER, "resignation", 900, ["edge-3"], None, 0),
    ],
    ids=[
        "restarted after its claim",
        "restarted after a heartbeat",
        "restarted three times",
        "resigned, next one has started since",
        "resigned, next one led before",
        "resigned, next one restarted",
        "renewals over, restarted",
        "renewals over, resigned",
        "first one resigned, restarted after its claim",
        "first one resigned, restarted after a heartbeat",
        "both resigned",
    ],
)
def test_leases_of_a_leader_that_was_not_read(
    first, kind, after_ms, names, earlier, renewed_for_ms
):
    chain = Chain(first)
    chain.write(kind, NOW_MS + after_ms)
    for name in names:
        chain.replace_leader(name, earlier)
    renewals_end_ms = max(NOW_MS + renewed_for_ms, chain.now_ms)
    earliest_ms = renewals_end_ms + SLOW_CLOCK_LEASE_MS
    latest_ms = renewals_end_ms + LEASE_MS * 103 // 100
    if renewed_for_ms:
        latest_ms += len(names) * Chain.READ_DELAY_MS
    lease_end_ms = chain.leader.workers_by_id["w1"].lease_end_ms
    assert earliest_ms <= lease_end_ms <= latest_ms


# Guards against inherited tasks that wait for departed workers: the record
# that drops a worker was lost with a failed append.
@pytest.mark.parametrize("terminated", [False, True])
def test_worker_record_is_written_again_after_a_failed_write(terminated):
    manager = build_leader(
        build_worker("w1", terminated=terminated), dirty_workers=Map(w1=True)
    )
    manager = write_changed_records(manager, NOW_MS).state
    lost = ProgressStored(NOW_MS, NOW_MS, 1, StoreOutcome.UNKNOWN)
    manager = handle_progress_stored(manager, lost).state
    (store,) = effects_of(
        write_changed_records(manager, NOW_MS), StoreProgress
    )
    assert "worker/w1" in [record.key for record in store.records]


@pytest.mark.parametrize(
    ("leader", "earlier_ms", "renewals_ms", "expected"),
    [
        (None, 0, 3_800, {"predecessor": "", "stopped": "no: none known"}),
        (
            Leader("edge-1", 3),
            0,
            3_800,
            {"predecessor": "edge-1", "stopped": "no: silent"},
        ),
        (Leader("edge-1", 3, resigned=True), 0, 0, {"stopped": "resigned"}),
        (Leader("edge-2", 3), 0, 0, {"stopped": "own name"}),
        (
            Leader("edge-1", 3, resigned=True),
            700,
            700,
            {"stopped": "resigned", "earlier_ms": 700, "predecessor_epoch": 3},
        ),
    ],
    ids=[
        "no leader known",
        "silent",
        "resigned",
        "own earlier term",
        "resigned, an earlier one may renew",
    ],
)
def test_takeover_is_logged_with_the_renewals_of_earlier_leaders(
    leader, earlier_ms, renewals_ms, expected
):
    follower = build_follower(
        leader,
        2_000,
        earlier_renewals_end_ms=NOW_MS + earlier_ms,
        leased_workers_by_id=Map(w1=LeasedWorker("w1", "h:1", "a", 7)),
    )
    step = claim_role(follower)
    (line,) = details_of(step, RENEWALS_AWAITED)
    assert line["renewals_ms"] == renewals_ms
    lease_end_ms = step.state.workers_by_id["w1"].lease_end_ms
    assert line["leases_ms"] == lease_end_ms - NOW_MS
    assert expected.items() <= line.items()


@pytest.mark.parametrize("claims", [True, False])
@pytest.mark.parametrize(
    ("outcome", "attempts", "lines"),
    [
        (StoreOutcome.STORED, 1, 0),
        (StoreOutcome.STORED, 2, 1),
        (StoreOutcome.UNKNOWN, 3, 0),
    ],
    ids=["first attempt", "second attempt", "not confirmed"],
)
def test_confirmation_by_a_retry_is_logged(claims, outcome, attempts, lines):
    manager = write_changed_records(build_leader(), NOW_MS).state
    if claims:
        follower = build_follower(OTHER_LEADER, 2_000)
        manager = claim_if_vacant(follower, NOW_MS).state
    epoch = manager.term.epoch or manager.term.claimed_epoch
    stored = ProgressStored(
        at_ms=NOW_MS + 900,
        sent_ms=NOW_MS + 850,
        epoch=epoch,
        outcome=outcome,
        attempts=attempts,
    )
    step = handle_progress_stored(manager, stored)
    logged = details_of(step, TERM_CONFIRMED_BY_RETRY)
    expected = {
        "epoch": epoch,
        "attempt": attempts,
        "counts_ago_ms": 50,
    }
    assert logged == [expected] * lines
