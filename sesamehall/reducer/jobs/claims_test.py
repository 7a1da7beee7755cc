"""Tests of which of several nodes claims a vacant role first."""

import pytest

from sesamehall.core.fleet import Leader
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.jobtiming import CLAIM_RECOVERY_DELAY_MS
from sesamehall.core.jobtiming import MANAGER_TICK_MS
from sesamehall.core.jobtiming import PROGRESS_PERIOD_MS
from sesamehall.core.managereffects import ReadStream
from sesamehall.core.managereffects import StoreProgress
from sesamehall.core.managerevents import StreamRead
from sesamehall.core.managerevents import StreamUnread
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.managerstate import StreamCursor
from sesamehall.reducer.jobs.leadership import claim_if_vacant
from sesamehall.reducer.jobs.log_reading import apply_stream_read
from sesamehall.reducer.jobs.log_reading import handle_stream_unread
from sesamehall.reducer.jobs.log_reading import read_due_streams
from sesamehall.reducer.jobs.testing import build_manifest
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import NOW_MS

READ_MS = 5  # time that a read of the log takes
LATEST_MS = 3_000  # somebody has claimed the role by then
STRONG_CORES = 2.15
WEAK_CORES = 0.516


def build_follower(at_ms, **others):
    """Build a node that follows a leader."""
    fields = {
        "manifest": build_manifest(),
        "leader": Leader("edge-1", 3),
        "jobs_cursor": StreamCursor(1, known_until_ms=at_ms + LATEST_MS),
        **others,
    }
    return ManagerState("edge-2", **fields)


def first_claim_ms(manager, at_ms, answer):
    """Play a node's beats until it claims the role; tell when it does.

    Args:
      manager: State of the node.
      at_ms: Clock of the beat before the first.
      answer: Builds what comes of a read from when it was asked for.
    """
    while at_ms < NOW_MS + LATEST_MS:
        at_ms += MANAGER_TICK_MS
        step = read_due_streams(manager, at_ms)
        reads = effects_of(step, ReadStream)
        manager = step.state
        if Stream.PROGRESS not in {read.stream for read in reads}:
            continue
        event = answer(at_ms)
        if isinstance(event, StreamUnread):
            manager = handle_stream_unread(manager, event).state
            continue
        step = claim_if_vacant(apply_stream_read(manager, event).state, at_ms)
        if effects_of(step, StoreProgress):
            return at_ms - NOW_MS
        manager = step.state
    return LATEST_MS


def read_of(at_ms, records=()):
    """Build the answer to a read of the leader's records."""
    return StreamRead(
        at_ms + READ_MS, at_ms, 0, Stream.PROGRESS, records, 10, False
    )


def claim_ms(cores, rank, phase_ms, resigned=False, yields_until_ms=0):
    """Tell how long after a leader's last record a node claims the role.

    Args:
      cores: Processor cores of the node.
      rank: Its number drawn by chance.
      phase_ms: Time from one of its reads until that record.
      resigned: Whether the record says that the leader resigns.
      yields_until_ms: Clock until which the node lets others go first.
    """
    last = StoredRecord("leader", Leader("edge-1", 3, resigned))
    unseen = [last]
    at_ms = NOW_MS - phase_ms
    manager = build_follower(
        at_ms,
        cores=cores,
        jitter_seed=rank,
        claim_backoff_until_ms=yields_until_ms,
        progress_cursor=StreamCursor(
            9, known_until_ms=at_ms, last_growth_ms=at_ms
        ),
    )

    def answer(asked_ms):
        if asked_ms < NOW_MS or not unseen:
            return read_of(asked_ms)
        return read_of(asked_ms, (unseen.pop(),))

    return first_claim_ms(manager, at_ms, answer)


def claim_after_outage_ms(cores, rank, phase_ms):
    """Tell how long after the end of an outage a node claims the role.

    Args:
      cores: Processor cores of the node.
      rank: Its number drawn by chance.
      phase_ms: Time from one of its beats until the store is back.
    """
    at_ms = NOW_MS - phase_ms
    outage_ms = at_ms - 4_000
    manager = build_follower(
        at_ms,
        cores=cores,
        jitter_seed=rank,
        max_cores_seen=STRONG_CORES,
        progress_cursor=StreamCursor(
            10,
            known_until_ms=outage_ms,
            last_growth_ms=outage_ms,
            failed_ms=at_ms,
        ),
    )

    def answer(asked_ms):
        if asked_ms < NOW_MS:
            return StreamUnread(asked_ms + READ_MS, Stream.PROGRESS, "away")
        return read_of(asked_ms)

    return first_claim_ms(manager, at_ms, answer)


PHASES_MS = range(0, PROGRESS_PERIOD_MS + MANAGER_TICK_MS, 10)


# Guards against a leader on a machine too weak for a large fleet: nodes see
# the silence begin and end at different times, so a weak one could be first.
@pytest.mark.parametrize("resigned", [False, True])
@pytest.mark.parametrize("strong_rank", [0, 60, 119])
def test_strong_node_claims_first_whenever_it_reads(strong_rank, resigned):
    strong = max(
        claim_ms(STRONG_CORES, strong_rank, phase_ms, resigned)
        for phase_ms in PHASES_MS
    )
    weak = min(
        claim_ms(WEAK_CORES, 0, phase_ms, resigned) for phase_ms in PHASES_MS
    )
    assert strong < weak < LATEST_MS


# Guards against a weak leader after an outage of the store: all nodes saw the
# same long silence, so the first to read the log claimed the role.
@pytest.mark.parametrize("strong_rank", [0, 60, 119])
def test_strong_node_claims_first_after_an_outage(strong_rank):
    strong = max(
        claim_after_outage_ms(STRONG_CORES, strong_rank, phase_ms)
        for phase_ms in PHASES_MS
    )
    weak = min(
        claim_after_outage_ms(WEAK_CORES, 0, phase_ms)
        for phase_ms in PHASES_MS
    )
    assert strong < weak < LATEST_MS


# Guards against a change of leader by an outage alone: the leader that lived
# through it needs a moment to write again.
def test_leader_writes_first_after_an_outage():
    first = min(
        claim_after_outage_ms(STRONG_CORES, 0, phase_ms)
        for phase_ms in PHASES_MS
    )
    assert first >= CLAIM_RECOVERY_DELAY_MS


# Guards against a node that was behind and takes the role again at once.
@pytest.mark.parametrize(
    ("yields_until_ms", "first"),
    [(NOW_MS + LATEST_MS, False), (NOW_MS, True)],
    ids=["was behind", "was behind long ago"],
)
def test_node_that_was_behind_claims_last(yields_until_ms, first):
    others = max(
        claim_ms(STRONG_CORES, 119, phase_ms, resigned=True)
        for phase_ms in PHASES_MS
    )
    own = min(
        claim_ms(STRONG_CORES, 0, phase_ms, True, yields_until_ms)
        for phase_ms in PHASES_MS
    )
    assert (own < others) is first
    assert own < LATEST_MS
