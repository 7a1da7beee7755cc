"""Tests of reading the logs: what an earlier term left, and late answers."""

from immutables import Map
import pytest

from sesamehall.core.fleet import Leader
from sesamehall.core.fleet import LeasedWorker
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.managerevents import StreamRead
from sesamehall.core.managerstate import ManagerState
from sesamehall.reducer.jobs.leases import is_resigning
from sesamehall.reducer.jobs.log_reading import apply_stream_read
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import NOW_MS

LEASED = LeasedWorker("w1", "h:1", "a", 7)


def build_read(*records, whole):
    """Build a read of the leader's records."""
    return StreamRead(NOW_MS, NOW_MS, 0, Stream.PROGRESS, records, 12, whole)


# Guards against inherited tasks that wait for workers that are gone: a node
# that led before, or that fell behind, keeps workers that were dropped since.
@pytest.mark.parametrize(
    ("records", "kept"),
    [
        ((StoredRecord("worker/w1", LEASED),), True),
        ((), False),
    ],
    ids=["listed", "not listed"],
)
def test_whole_list_tells_which_workers_may_have_runs(records, kept):
    manager = ManagerState("edge-2", leased_workers_by_id=Map(w1=LEASED))
    leader = StoredRecord("leader", Leader("edge-1", 3))
    read = build_read(leader, *records, whole=True)
    manager = apply_stream_read(manager, read).state
    assert ("w1" in manager.leased_workers_by_id) == kept


# Guards against starts after a resignation: an older record of the same term
# is read late and takes the resignation back.
def test_older_record_does_not_undo_a_resignation():
    leader = Leader("edge-1", 1, resigned=True, heartbeat=9)
    manager = build_leader(leader=leader)
    older = StoredRecord("leader", Leader("edge-1", 1, heartbeat=1))
    manager = apply_stream_read(manager, build_read(older, whole=False)).state
    assert is_resigning(manager)
