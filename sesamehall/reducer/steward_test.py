"""Tests of a steward: role, lists, keys, jobs and moves."""

from immutables import Map
import pytest

from sesamehall.core.agreement import Agreed
from sesamehall.core.agreement import Placement
from sesamehall.core.agreement import Role
from sesamehall.core.data import Instance
from sesamehall.core.data import Job
from sesamehall.core.data import JobPhase
from sesamehall.core.data import Key
from sesamehall.core.data import LimitsList
from sesamehall.core.data import Plan
from sesamehall.core.data import PlansList
from sesamehall.core.data import Pool
from sesamehall.core.data import TargetKind
from sesamehall.core.effects import Append
from sesamehall.core.effects import ReadLog
from sesamehall.core.effects import RebootInstance
from sesamehall.core.effects import RunTask
from sesamehall.core.effects import Send
from sesamehall.core.effects import StopTask
from sesamehall.core.events import InstanceRebooted
from sesamehall.core.events import LogRead
from sesamehall.core.events import LogReadFailed
from sesamehall.core.events import MessageReceived
from sesamehall.core.events import TaskEnded
from sesamehall.core.events import TaskRunning
from sesamehall.core.events import TaskSilent
from sesamehall.core.events import TaskUnknown
from sesamehall.core.events import TimerFired
from sesamehall.core.events import WorkerAnswered
from sesamehall.core.limits import FINAL_CALL_TIMEOUT_MS
from sesamehall.core.limits import SNAPSHOT_PERIOD_MS
from sesamehall.core.messages import DrainReported
from sesamehall.core.messages import Follow
from sesamehall.core.messages import RecordsForwarded
from sesamehall.core.records import InstanceJoined
from sesamehall.core.records import JobCancelled
from sesamehall.core.records import JobEnded
from sesamehall.core.records import JobPlaced
from sesamehall.core.records import JobSubmitted
from sesamehall.core.records import KeyGiven
from sesamehall.core.records import KeyWithdrawn
from sesamehall.core.records import LimitsPublished
from sesamehall.core.records import LogEntry
from sesamehall.core.records import MoveFinished
from sesamehall.core.records import MoveStarted
from sesamehall.core.records import PlansPublished
from sesamehall.core.records import Record
from sesamehall.core.records import RoleClaimed
from sesamehall.core.records import RoleRenewed
from sesamehall.core.records import SnapshotWritten
from sesamehall.core.replacing import replace
from sesamehall.core.timers import BeatTimer
from sesamehall.core.timers import TaskTimer
from sesamehall.reducer.reduce import reduce
from sesamehall.reducer.state_machine import apply_log_entry
from sesamehall.reducer.testing import build_agreed
from sesamehall.reducer.testing import build_steward
from sesamehall.reducer.testing import INSTANCES
from sesamehall.reducer.testing import OWN_INCARNATION
from sesamehall.reducer.testing import PEER_INCARNATION
from sesamehall.reducer.testing import reduce_all

JOB = Job("j", "red", "batch", "sleep 1", processors=10)
BLUE_JOB = replace(JOB, job_id="k", team="blue")
PLANS = PlansList(
    (Plan("red", ("quotes",)),),
    (),
    (Pool("pool", TargetKind.EXECUTOR), Pool("batch", TargetKind.WORKER)),
)
NEW = Instance("ex-9", TargetKind.EXECUTOR, "south", "r9", "h:9", "pool")
SPARE = Pool("spare", TargetKind.EXECUTOR, spare=True)
KEY = Key("key-new", "red", bytes(32))


def read_records(state, *bodies):
    """Let a steward read records from the log."""
    first = state.agreed.next_offset
    entries = tuple(
        LogEntry(first + i, Record(f"r{first + i}", body))
        for i, body in enumerate(bodies)
    )
    return reduce_all(state, LogRead(0, entries, 0))


def proposed_bodies(effects):
    """List the bodies of the proposed records."""
    return [e.record.body for e in effects if isinstance(e, Append)]


@pytest.mark.parametrize(
    ("bodies", "verdicts"),
    [
        ([PlansPublished(1, PLANS)], "accepted"),
        ([PlansPublished(0, PLANS)], "stale version"),
        (
            [PlansPublished(1, PLANS), PlansPublished(1, PLANS)],
            "accepted, stale version",
        ),
        ([PlansPublished(1, PlansList())], "still in use"),
        ([LimitsPublished(1, LimitsList())], "accepted"),
        ([LimitsPublished(2, LimitsList())], "stale version"),
        ([KeyGiven(KEY)], "accepted"),
        ([KeyGiven(KEY), KeyGiven(KEY)], "accepted, already done"),
        ([KeyGiven(replace(KEY, team="no"))], "unknown team"),
        (
            [KeyWithdrawn("key-new"), KeyGiven(KEY)],
            "accepted, withdrawn",
        ),
        (
            [KeyWithdrawn("key-red"), KeyWithdrawn("key-red")],
            "accepted, already done",
        ),
        ([RoleClaimed("s", 5)], "accepted"),
        ([RoleClaimed("s", 4)], "stale epoch"),
        (
            [RoleClaimed("s", 5), RoleClaimed("t", 5)],
            "accepted, stale epoch",
        ),
        ([RoleClaimed("s", 5), RoleRenewed(5)], "accepted, stale epoch"),
        ([InstanceJoined(5, NEW)], "accepted"),
        ([InstanceJoined(4, NEW)], "stale epoch"),
        ([InstanceJoined(5, INSTANCES[0])], "already done"),
        ([InstanceJoined(5, replace(NEW, pool="no"))], "unknown name"),
        ([InstanceJoined(5, replace(NEW, pool="batch"))], "unknown name"),
        ([MoveStarted(5, "m", "ex-1", "batch")], "unknown name"),
        ([MoveStarted(5, "m", "ex-1", "pool")], "already done"),
        ([MoveStarted(5, "m", "no", "pool")], "unknown name"),
        ([MoveFinished(5, "m")], "already done"),
        ([JobSubmitted(JOB), JobSubmitted(JOB)], "accepted, already done"),
        ([JobSubmitted(replace(JOB, team="no"))], "unknown team"),
        ([JobPlaced(5, "j", "wk-1", "")], "unknown name"),
        (
            [JobSubmitted(JOB), JobPlaced(5, "j", "wk-1", "")],
            "accepted, ceiling reached",
        ),
        ([JobEnded(5, "j", JobPhase.DONE, "")], "unknown name"),
        (
            [JobSubmitted(JOB), JobCancelled("j"), JobCancelled("j")],
            "accepted, accepted, already done",
        ),
    ],
)
def test_verdicts(bodies, verdicts):
    agreed = build_agreed()
    found = []
    for index, body in enumerate(bodies):
        entry = LogEntry(agreed.next_offset, Record(f"r{index}", body))
        agreed, verdict = apply_log_entry(agreed, entry)
        found.append(verdict.value)
    assert ", ".join(found) == verdicts


def test_repeated_and_unreadable_records_change_nothing():
    agreed, _ = apply_log_entry(
        build_agreed(), LogEntry(10, Record("r", KeyGiven(KEY)))
    )
    for record, verdict in (
        (Record("r", KeyWithdrawn("key-new")), "repeated"),
        (None, "unreadable"),
    ):
        after, found = apply_log_entry(
            agreed, LogEntry(agreed.next_offset, record)
        )
        assert found.value == verdict
        assert after == replace(agreed, next_offset=after.next_offset)


@pytest.mark.parametrize(
    ("role", "at_ms", "failures", "body"),
    [
        (Role(), 0, 0, RoleClaimed("steward-b/steward-b:1", -1)),
        (Role(), 0, 1, None),
        (Role("x", 3, 4), 5_999, 0, None),
        (Role("x", 3, 4), 6_000, 0, RoleClaimed("steward-b/steward-b:1", 3)),
        (Role("x", 3, 4), 6_000, 1, None),
        (Role("x", 3, 5), 6_000, 0, None),
        (Role("steward-b/steward-b:1", 3, 4), 1_999, 0, None),
        (Role("steward-b/steward-b:1", 3, 4), 2_000, 0, RoleRenewed(3)),
        (
            Role("steward-b/steward-b:0", 3, 4),
            6_000,
            0,
            RoleClaimed("steward-b/steward-b:1", 3),
        ),
    ],
)
def test_role_is_claimed_and_renewed(role, at_ms, failures, body):
    state = build_steward()
    steward = replace(
        state.steward,
        role_seen_offset=4,
        role_seen_ms=0,
        log_read_failures=failures,
    )
    agreed = Agreed(next_offset=9, role=role)
    state = replace(state, steward=steward, agreed=agreed)
    _, effects = reduce_all(state, TimerFired(at_ms, BeatTimer()))
    claims = [
        found
        for found in proposed_bodies(effects)
        if isinstance(found, RoleClaimed | RoleRenewed)
    ]
    assert claims == ([body] if body else [])


def with_full_account(state):
    """Give the log's account all units of every ceiling."""
    agreed = replace(state.agreed, account_delta_by_team=Map())
    return replace(state, agreed=agreed)


@pytest.mark.parametrize(
    ("bodies", "proposed"),
    [
        ([JobSubmitted(JOB)], [JobPlaced(5, "j", "wk-1", "")]),
        (
            [JobSubmitted(JOB), JobSubmitted(BLUE_JOB)],
            [
                JobPlaced(5, "j", "wk-1", ""),
                JobPlaced(5, "k", "wk-2", ""),
            ],
        ),
        (
            [
                JobSubmitted(JOB),
                JobSubmitted(replace(BLUE_JOB, urgent=True)),
            ],
            [
                JobPlaced(5, "k", "wk-1", ""),
                JobPlaced(5, "j", "wk-2", ""),
            ],
        ),
        (
            [
                JobSubmitted(JOB),
                JobSubmitted(BLUE_JOB),
                JobSubmitted(replace(JOB, job_id="l")),
            ],
            [
                JobPlaced(5, "j", "wk-1", ""),
                JobPlaced(5, "k", "wk-2", ""),
            ],
        ),
        (
            [JobSubmitted(replace(JOB, processors=17))],
            [
                JobEnded(
                    5,
                    "j",
                    JobPhase.IMPOSSIBLE,
                    "no instance of batch is large enough",
                )
            ],
        ),
        ([JobSubmitted(JOB), JobCancelled("j")], []),
        ([JobSubmitted(JOB), RoleClaimed("other", 5)], []),
    ],
)
def test_jobs_are_placed(bodies, proposed):
    _, effects = read_records(with_full_account(build_steward()), *bodies)
    assert proposed_bodies(effects) == proposed


PLACED_JOB_RECORDS = [JobSubmitted(JOB), JobPlaced(5, "j", "wk-1", "")]


@pytest.mark.parametrize(
    ("outcome", "cancelled", "phase"),
    [
        (TaskRunning(), False, None),
        (TaskSilent("x"), False, None),
        (TaskEnded(True, "d"), False, JobPhase.DONE),
        (TaskEnded(False, "d"), False, JobPhase.FAILED),
        (TaskEnded(False, "d"), True, JobPhase.CANCELLED),
        (TaskEnded(True, "d"), True, JobPhase.DONE),
        (TaskUnknown(), False, JobPhase.FAILED),
    ],
)
def test_end_of_a_task(outcome, cancelled, phase):
    bodies = PLACED_JOB_RECORDS + [JobCancelled("j")] * cancelled
    state, effects = read_records(with_full_account(build_steward()), *bodies)
    calls = [e for e in effects if isinstance(e, RunTask | StopTask)]
    assert [type(call) for call in calls] == [
        StopTask if cancelled else RunTask
    ]
    _, effects = reduce_all(state, WorkerAnswered(5, "j", outcome))
    ends = [body.phase for body in proposed_bodies(effects)]
    assert ends == ([phase] if phase else [])


@pytest.mark.parametrize(
    ("at_ms", "calls"),
    [
        (9_999, [RunTask]),
        (10_000, []),
        (10_099, []),
        (10_100, [StopTask]),
        (60_000, [StopTask]),
    ],
)
def test_silent_worker_is_called_a_last_time(at_ms, calls):
    state, _ = read_records(
        with_full_account(build_steward()), *PLACED_JOB_RECORDS
    )
    _, effects = reduce_all(state, TimerFired(at_ms, TaskTimer("j")))
    called = [e for e in effects if isinstance(e, RunTask | StopTask)]
    assert [type(call) for call in called] == calls
    assert not proposed_bodies(effects)


# Guards against a task that is given up because the steward was paused: its
# worker was not asked meanwhile, and the task may have completed in time.
@pytest.mark.parametrize(
    ("event", "phase", "detail"),
    [
        (
            WorkerAnswered(10_200, "j", TaskSilent("x")),
            JobPhase.FAILED,
            "worker silent",
        ),
        (
            WorkerAnswered(10_200, "j", TaskEnded(True, "finished")),
            JobPhase.DONE,
            "finished",
        ),
        (
            WorkerAnswered(10_200, "j", TaskEnded(False, "lease lapsed")),
            JobPhase.FAILED,
            "lease lapsed",
        ),
        (
            WorkerAnswered(10_200, "j", TaskUnknown()),
            JobPhase.FAILED,
            "worker restarted",
        ),
        (
            TimerFired(10_100 + FINAL_CALL_TIMEOUT_MS, TaskTimer("j")),
            JobPhase.FAILED,
            "worker silent",
        ),
    ],
    ids=["silent", "done", "lapsed", "restarted", "no answer"],
)
def test_task_is_given_up_after_the_last_call(event, phase, detail):
    state, _ = read_records(
        with_full_account(build_steward()), *PLACED_JOB_RECORDS
    )
    state, _ = reduce_all(state, TimerFired(10_100, TaskTimer("j")))
    _, effects = reduce_all(state, event)
    (end,) = proposed_bodies(effects)
    assert (end.phase, end.detail) == (phase, detail)


def with_spare(state, pool_minimum):
    """Add a spare executor, and set the minimum of the pool."""
    agreed = state.agreed
    placements = agreed.placements_by_instance.set(
        "ex-9", Placement(NEW, "spare")
    )
    pools = agreed.pools_by_name.set("spare", SPARE).set(
        "pool", Pool("pool", TargetKind.EXECUTOR, pool_minimum)
    )
    names = agreed.instance_names_by_pool.set("spare", ("ex-9",))
    agreed = replace(
        agreed,
        placements_by_instance=placements,
        pools_by_name=pools,
        instance_names_by_pool=names,
    )
    steward = replace(
        state.steward, instances=state.steward.instances + (NEW,)
    )
    return replace(state, agreed=agreed, steward=steward)


@pytest.mark.parametrize(
    ("minimum", "moved"), [(0, []), (2, []), (3, ["ex-9"]), (9, ["ex-9"])]
)
def test_pools_are_filled_from_spares(minimum, moved):
    state = with_spare(build_steward(), minimum)
    _, effects = reduce_all(state, TimerFired(1_000, BeatTimer()))
    moves = [b for b in proposed_bodies(effects) if isinstance(b, MoveStarted)]
    assert [move.instance for move in moves] == moved


@pytest.mark.parametrize(
    ("reports", "jobs", "rebooted"),
    [
        ([], [], False),
        ([OWN_INCARNATION], [], False),
        ([OWN_INCARNATION, "entry-b:0"], [], False),
        ([OWN_INCARNATION, PEER_INCARNATION], [], True),
        ([OWN_INCARNATION, PEER_INCARNATION], ["j"], False),
    ],
)
def test_move_waits_until_drained(reports, jobs, rebooted):
    state = with_spare(build_steward(), 3)
    state, _ = read_records(state, MoveStarted(5, "m", "ex-9", "pool"))
    busy = Map({"ex-9": tuple(jobs)} if jobs else {})
    agreed = replace(state.agreed, job_ids_by_worker=busy)
    if jobs:
        state, _ = read_records(with_full_account(state), *PLACED_JOB_RECORDS)
        agreed = replace(state.agreed, job_ids_by_worker=Map({"ex-9": ("j",)}))
    state = replace(state, agreed=agreed)
    effects = []
    for incarnation in reports:
        report = DrainReported("m", incarnation)
        event = MessageReceived(1, "entry-a", report)
        state, effects = reduce_all(state, event)
    found = any(isinstance(e, RebootInstance) for e in effects)
    assert found == rebooted


@pytest.mark.parametrize(
    ("operation", "confirmed", "bodies"),
    [
        ("m", True, [MoveFinished(5, "m")]),
        ("m", False, []),
        ("n", True, []),
    ],
)
def test_move_is_finished_after_the_reboot(operation, confirmed, bodies):
    state = with_spare(build_steward(), 3)
    state, _ = read_records(state, MoveStarted(5, "m", "ex-9", "pool"))
    event = InstanceRebooted(1, operation, confirmed)
    state, effects = reduce_all(state, event)
    assert proposed_bodies(effects) == bodies
    state, _ = read_records(state, *bodies)
    pool = state.agreed.placements_by_instance["ex-9"].pool
    assert pool == ("pool" if bodies else "spare")


@pytest.mark.parametrize(
    ("failures", "pause_ms"),
    [(0, 250), (1, 500), (3, 2_000), (4, 2_000), (60, 2_000)],
)
def test_failed_reads_are_retried_with_backoff(failures, pause_ms):
    state = build_steward()
    steward = replace(state.steward, log_read_failures=failures)
    state = replace(state, steward=steward)
    step = reduce(state, LogReadFailed(1_000, "down"))
    assert step.effects[0].at_ms == 1_000 + pause_ms


def snapshot_entry(offset, state_offset):
    agreed = replace(build_agreed(), next_offset=state_offset)
    record = Record(f"snapshot-{offset}", SnapshotWritten(5, agreed))
    return LogEntry(offset, record)


def unrelated_entry(offset):
    return LogEntry(offset, Record(f"other-{offset}", RoleRenewed(0)))


@pytest.mark.parametrize(
    ("entries", "earliest", "next_offset", "read_from"),
    [
        ([unrelated_entry(10)], 0, 11, 11),
        ([unrelated_entry(50)], 50, 10, 51),
        ([], 50, 10, None),
        ([unrelated_entry(50), snapshot_entry(51, 50)], 50, 50, 50),
        ([snapshot_entry(50, 49), unrelated_entry(51)], 50, 10, 52),
        ([snapshot_entry(50, 50), snapshot_entry(51, 51)], 50, 51, 51),
        ([snapshot_entry(10, 10)], 0, 11, 11),
    ],
)
def test_snapshot_replaces_records_no_longer_in_the_log(
    entries, earliest, next_offset, read_from
):
    state, effects = reduce_all(
        build_steward(), LogRead(0, tuple(entries), earliest)
    )
    assert state.agreed.next_offset == next_offset
    reads = [e.from_offset for e in effects if isinstance(e, ReadLog)]
    assert reads == ([] if read_from is None else [read_from])


def test_holder_writes_snapshots_and_forwards_them_without_state():
    state, _ = reduce_all(build_steward(), TimerFired(0, BeatTimer()))
    _, effects = reduce_all(
        state, TimerFired(SNAPSHOT_PERIOD_MS - 1, BeatTimer())
    )
    early = [
        b for b in proposed_bodies(effects) if isinstance(b, SnapshotWritten)
    ]
    _, effects = reduce_all(state, TimerFired(SNAPSHOT_PERIOD_MS, BeatTimer()))
    (body,) = [
        b for b in proposed_bodies(effects) if isinstance(b, SnapshotWritten)
    ]
    assert early == [] and body.agreed == state.agreed
    follow = MessageReceived(0, "entry-a", Follow(10))
    _, effects = reduce_all(
        state, follow, LogRead(0, (LogEntry(10, Record("s", body)),), 0)
    )
    (sent,) = [
        effect.message.log_entries[0].record.body
        for effect in effects
        if isinstance(effect, Send)
        and isinstance(effect.message, RecordsForwarded)
    ]
    assert sent == SnapshotWritten(5, None)
