"""Tests of stream reads: stale state of an earlier term, and late reads."""

from immutables import Map
import pytest

from sesamehall.core.effects import Log
from sesamehall.core.fleet import CancelAsked
from sesamehall.core.fleet import Leader
from sesamehall.core.fleet import LeasedWorker
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.logevents import RECORD_NOT_APPLIED
from sesamehall.core.managereffects import ReadStream
from sesamehall.core.managerevents import StreamRead
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.managerstate import StreamCursor
from sesamehall.core.replacing import replace
from sesamehall.core.work import JobPlan
from sesamehall.reducer.jobs.leases import is_resigning
from sesamehall.reducer.jobs.stream_reading import apply_stream_read
from sesamehall.reducer.jobs.stream_reading import read_due_streams
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import JOB_ID
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.jobs.testing import OTHER_JOB_ID

LEASED = LeasedWorker("w1", "h:1", "a", 7)


def build_read(*records, covers_all_keys):
    """Build a completed read of the leader's records."""
    return StreamRead(
        NOW_MS, NOW_MS, 0, Stream.PROGRESS, records, 12, covers_all_keys
    )


# Guards against inherited tasks that wait for departed workers: a node that
# led before, or that is behind, still has workers that were dropped since.
@pytest.mark.parametrize(
    ("records", "kept"),
    [
        ((StoredRecord("worker/w1", LEASED),), True),
        ((), False),
    ],
    ids=["listed", "not listed"],
)
def test_complete_list_replaces_the_leased_workers(records, kept):
    manager = ManagerState("edge-2", leased_workers_by_id=Map(w1=LEASED))
    leader = StoredRecord("leader", Leader("edge-1", 3))
    read = build_read(leader, *records, covers_all_keys=True)
    manager = apply_stream_read(manager, read).state
    assert ("w1" in manager.leased_workers_by_id) == kept


# Guards against starts after a resignation: an older record of the same term
# was read late and reverted the resignation.
def test_older_record_does_not_revert_a_resignation():
    leader = Leader("edge-1", 1, resigned=True, heartbeat=9)
    manager = build_leader(leader=leader)
    older = StoredRecord("leader", Leader("edge-1", 1, heartbeat=1))
    manager = apply_stream_read(
        manager, build_read(older, covers_all_keys=False)
    ).state
    assert is_resigning(manager)


def read_jobs(manager, *records):
    """Apply a read of the stream of jobs."""
    read = StreamRead(NOW_MS, NOW_MS, 0, Stream.JOBS, records, 12, False)
    return apply_stream_read(manager, read)


# Guards against a stream that is read again for ever: one record whose
# decision raised made the whole read fail, each time.
@pytest.mark.parametrize("leads", [True, False], ids=["leader", "follower"])
@pytest.mark.parametrize("position", [0, 1, 2])
def test_record_that_cannot_be_applied_costs_itself_alone(leads, position):
    sound = [
        StoredRecord(job_id, build_plan(job_id=job_id))
        for job_id in (JOB_ID, OTHER_JOB_ID)
    ]
    # Its steps cannot be iterated over; its team cannot be a key.
    broken = JobPlan("0" * 16, "quotes", [], "spec", None)
    sound.insert(position, StoredRecord("0" * 16, broken))
    manager = build_leader() if leads else ManagerState("edge-2")
    if not leads:
        sound[position] = StoredRecord("0" * 16, CancelAsked([], ""))
    step = read_jobs(manager, *sound)
    assert set(step.state.plans_by_id) == {JOB_ID, OTHER_JOB_ID}
    assert step.state.jobs_cursor.next_offset == 12
    lines = [
        line
        for line in effects_of(step, Log)
        if line.event is RECORD_NOT_APPLIED
    ]
    assert len(lines) == 1


# Guards against a team that cancels another team's job: a node that has not
# read the job cannot tell whose it is when it stores the request.
@pytest.mark.parametrize("leads", [True, False], ids=["leader", "follower"])
@pytest.mark.parametrize("early", [True, False], ids=["before", "after"])
@pytest.mark.parametrize(
    ("owner", "teams", "cancelled"),
    [
        ("guild", ("guild",), True),
        ("guild", ("other",), False),
        ("guild", ("",), False),
        ("guild", ("other", "guild"), True),
        ("guild", ("guild", "other"), True),
        ("guild", (None,), True),
        ("", ("other",), True),
        ("", ("",), True),
    ],
)
def test_only_its_team_cancels_a_job(leads, early, owner, teams, cancelled):
    plan = StoredRecord(JOB_ID, build_plan(team=owner))
    requests = [
        StoredRecord(f"{JOB_ID}/cancel/{team}", CancelAsked(JOB_ID, team))
        for team in teams
    ]
    records = [*requests, plan] if early else [plan, *requests]
    manager = build_leader() if leads else ManagerState("edge-2")
    manager = read_jobs(manager, *records).state
    assert (JOB_ID in manager.cancelled_by_job_id) is cancelled
    assert not manager.early_cancels_by_job_id


# Guards against refusals by all nodes after a change of the manifest: a read
# that waited for 0.9 s returned it, which made it known until the read was
# sent, and the next read would wait beyond the age at which it is too old.
# After an outage of the store, the first read would wait for 1 s as well.
@pytest.mark.parametrize(
    ("known_ago_ms", "wait_ms"),
    [
        (0, 1_000),
        (400, 1_000),
        (900, 500),
        (1_399, 1),
        (1_400, 0),
        (5_000, 0),
    ],
)
@pytest.mark.parametrize("failed_ms", [-1, NOW_MS - 250])
def test_manifest_is_confirmed_before_it_is_too_old(
    known_ago_ms, wait_ms, failed_ms
):
    cursor = StreamCursor(5, known_until_ms=NOW_MS - known_ago_ms)
    cursor = replace(cursor, failed_ms=failed_ms)
    manager = ManagerState("edge-1", operator_cursor=cursor)
    step = read_due_streams(manager, NOW_MS)
    assert [
        effect.wait_ms
        for effect in effects_of(step, ReadStream)
        if effect.stream is Stream.OPERATOR
    ] == [wait_ms]
