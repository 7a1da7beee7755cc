"""Tests of stream reads: stale state of an earlier term, and late reads."""

from immutables import Map
import pytest

from sesamehall.core.fleet import Leader
from sesamehall.core.fleet import LeasedWorker
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.managerevents import StreamRead
from sesamehall.core.managerstate import ManagerState
from sesamehall.reducer.jobs.leases import is_resigning
from sesamehall.reducer.jobs.stream_reading import apply_stream_read
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import NOW_MS

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
