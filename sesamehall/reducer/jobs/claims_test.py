"""Tests of the order in which managers claim a vacant leader role."""

import pytest

from sesamehall.core.fleet import Leader
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.jobtiming import LEADER_CLAIM_RECOVERY_DELAY_MS
from sesamehall.core.jobtiming import MANAGER_TICK_MS
from sesamehall.core.jobtiming import PROGRESS_PERIOD_MS
from sesamehall.core.managereffects import ReadStream
from sesamehall.core.managereffects import StoreProgress
from sesamehall.core.managerevents import StreamRead
from sesamehall.core.managerevents import StreamUnread
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.managerstate import StreamCursor
from sesamehall.reducer.jobs.leadership import claim_if_vacant
from sesamehall.reducer.jobs.stream_reading import apply_stream_read
from sesamehall.reducer.jobs.stream_reading import handle_stream_read_failure
from sesamehall.reducer.jobs.stream_reading import read_due_streams
from sesamehall.reducer.jobs.testing import build_manifest
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import NOW_MS

READ_MS = 5  # time that a read of the stream takes
LATEST_MS = 3_000  # some node has claimed the role by then
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


def first_claim_ms(manager, at_ms, complete_read):
    """Run a node's ticks until it claims the role, and return when it does.

    Args:
      manager: State of the node.
      at_ms: Time of the tick before the first.
      complete_read: Builds the event that completes a read, from the time at
        which the read was requested.
    """
    while at_ms < NOW_MS + LATEST_MS:
        at_ms += MANAGER_TICK_MS
        step = read_due_streams(manager, at_ms)
        reads = effects_of(step, ReadStream)
        manager = step.state
        if Stream.PROGRESS not in {read.stream for read in reads}:
            continue
        event = complete_read(at_ms)
        if isinstance(event, StreamUnread):
            manager = handle_stream_read_failure(manager, event).state
            continue
        step = claim_if_vacant(apply_stream_read(manager, event).state, at_ms)
        if effects_of(step, StoreProgress):
            return at_ms - NOW_MS
        manager = step.state
    return LATEST_MS


def read_of(at_ms, records=()):
    """Build a completed read of the leader's stream."""
    return StreamRead(
        at_ms + READ_MS, at_ms, 0, Stream.PROGRESS, records, 10, False
    )


def claim_ms(
    cores, jitter_seed, phase_ms, resigned=False, claim_backoff_until_ms=0
):
    """Return how long after a leader's last record a node claims the role.

    Args:
      cores: Processor cores of the node.
      jitter_seed: Random number of the node.
      phase_ms: Time from one of its reads until that record.
      resigned: Whether the record says that the leader resigns.
      claim_backoff_until_ms: Time until which the node lets others claim.
    """
    last = StoredRecord("leader", Leader("edge-1", 3, resigned))
    unread_records = [last]
    at_ms = NOW_MS - phase_ms
    manager = build_follower(
        at_ms,
        cores=cores,
        jitter_seed=jitter_seed,
        claim_backoff_until_ms=claim_backoff_until_ms,
        progress_cursor=StreamCursor(
            9, known_until_ms=at_ms, last_growth_ms=at_ms
        ),
    )

    def complete_read(requested_ms):
        if requested_ms < NOW_MS or not unread_records:
            return read_of(requested_ms)
        return read_of(requested_ms, (unread_records.pop(),))

    return first_claim_ms(manager, at_ms, complete_read)


def claim_after_outage_ms(cores, jitter_seed, phase_ms):
    """Return how long after the end of an outage a node claims the role.

    Args:
      cores: Processor cores of the node.
      jitter_seed: Random number of the node.
      phase_ms: Time from one of its ticks until the store is reachable.
    """
    at_ms = NOW_MS - phase_ms
    outage_ms = at_ms - 4_000
    manager = build_follower(
        at_ms,
        cores=cores,
        jitter_seed=jitter_seed,
        max_cores_seen=STRONG_CORES,
        progress_cursor=StreamCursor(
            10,
            known_until_ms=outage_ms,
            last_growth_ms=outage_ms,
            failed_ms=at_ms,
        ),
    )

    def complete_read(requested_ms):
        if requested_ms < NOW_MS:
            return StreamUnread(
                requested_ms + READ_MS, Stream.PROGRESS, "away"
            )
        return read_of(requested_ms)

    return first_claim_ms(manager, at_ms, complete_read)


PHASES_MS = range(0, PROGRESS_PERIOD_MS + MANAGER_TICK_MS, 10)


# Guards against a leader on a node too weak for a large fleet: nodes notice
# the end of the records at different times, so a weak one could claim first.
@pytest.mark.parametrize("resigned", [False, True])
@pytest.mark.parametrize("strong_jitter_seed", [0, 60, 119])
def test_strong_node_claims_first_whenever_it_reads(
    strong_jitter_seed, resigned
):
    strong = max(
        claim_ms(STRONG_CORES, strong_jitter_seed, phase_ms, resigned)
        for phase_ms in PHASES_MS
    )
    weak = min(
        claim_ms(WEAK_CORES, 0, phase_ms, resigned) for phase_ms in PHASES_MS
    )
    assert strong < weak < LATEST_MS


# Guards against a weak leader after an outage of the store: every node found
# the leader timeout exceeded, so the first to read the stream became leader.
@pytest.mark.parametrize("strong_jitter_seed", [0, 60, 119])
def test_strong_node_claims_first_after_an_outage(strong_jitter_seed):
    strong = max(
        claim_after_outage_ms(STRONG_CORES, strong_jitter_seed, phase_ms)
        for phase_ms in PHASES_MS
    )
    weak = min(
        claim_after_outage_ms(WEAK_CORES, 0, phase_ms)
        for phase_ms in PHASES_MS
    )
    assert strong < weak < LATEST_MS


# Guards against a change of leader after an outage of the store: the leader is
# alive but needs some time to write again.
def test_claims_after_an_outage_wait_for_the_leader():
    first = min(
        claim_after_outage_ms(STRONG_CORES, 0, phase_ms)
        for phase_ms in PHASES_MS
    )
    assert first >= LEADER_CLAIM_RECOVERY_DELAY_MS


# Guards against a node that was behind and claims the role again immediately.
@pytest.mark.parametrize(
    ("claim_backoff_until_ms", "first"),
    [(NOW_MS + LATEST_MS, False), (NOW_MS, True)],
    ids=["was behind", "was behind long ago"],
)
def test_node_that_was_behind_claims_last(claim_backoff_until_ms, first):
    others = max(
        claim_ms(STRONG_CORES, 119, phase_ms, resigned=True)
        for phase_ms in PHASES_MS
    )
    own = min(
        claim_ms(STRONG_CORES, 0, phase_ms, True, claim_backoff_until_ms)
        for phase_ms in PHASES_MS
    )
    assert (own < others) is first
    assert own < LATEST_MS
