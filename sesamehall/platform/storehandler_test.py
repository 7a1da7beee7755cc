"""Tests of the times that reads and writes of the store report.

A read tells until when the content of a stream is known, a write from when it
counts as confirmed.
"""

import pytest

from sesamehall.core.fleet import CancelAsked
from sesamehall.core.fleet import Leader
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.managereffects import ReadStream
from sesamehall.core.managereffects import StoreProgress
from sesamehall.core.managerevents import StoreOutcome
from sesamehall.platform import storehandler
from sesamehall.platform import writer
from sesamehall.platform.http import HttpResponse
from sesamehall.platform.records import encode_record
from sesamehall.platform.store import READ_HEADER
from sesamehall.platform.store import StoreClient
from sesamehall.platform.storehandler import MAX_WRITE_ATTEMPTS
from sesamehall.platform.storehandler import StoreEffectHandler
from sesamehall.platform.writer import AppendResult
from sesamehall.platform.writer import LeaderWriter
from sesamehall.runtime.interpreter import now_ms

JOB_ID = "ab" * 8


# Guards against tasks that run twice and jobs that are reported as unknown.
# The store returns at most 1 MB per read; a node that is further behind must
# not treat its view of the stream as current.
@pytest.mark.parametrize(
    ("end", "known"),
    [(1, True), (9, False)],
    ids=["read to the end", "more records left"],
)
def test_stream_is_known_only_when_read_to_its_end(monkeypatch, end, known):
    record = StoredRecord(f"{JOB_ID}/cancel", CancelAsked(JOB_ID))
    body = READ_HEADER.pack(end, 0) + encode_record(record)
    events = []
    handler = StoreEffectHandler("127.0.0.1:1", events.append)
    store = StoreClient("127.0.0.1:1")
    monkeypatch.setattr(
        store._client, "call", lambda *_, **__: HttpResponse(200, body)
    )
    monkeypatch.setattr(handler, "_store", store)
    sent_ms = now_ms()
    event = handler._read(ReadStream(Stream.JOBS, 0, 0))
    assert event.next_offset == 1
    assert (event.known_until_ms >= sent_ms) == known


STORED = StoreOutcome.STORED
REFUSED = StoreOutcome.REFUSED
UNKNOWN = StoreOutcome.UNKNOWN
CALL_MS = {STORED: 5, REFUSED: 5, UNKNOWN: 1_200}


class TimedStore:
    """A client of the store with given outcomes, and the clock they take."""

    def __init__(self, outcomes):
        self.now_ms = 50_000
        self.sent_ms = []
        self._outcomes = iter(outcomes)

    def append_conditionally(self, topic, query, records):
        outcome = next(self._outcomes)
        self.sent_ms.append(self.now_ms)
        self.now_ms += CALL_MS[outcome]
        return outcome, {}

    def sleep(self, length_s):
        self.now_ms += int(length_s * 1_000)


def build_write(heartbeat, expected_end_offset=-1):
    """Build the write of a leader, or its claim at an end offset."""
    leader = Leader("edge-1", 3, heartbeat=heartbeat)
    return StoreProgress(
        3, (StoredRecord("leader", leader),), expected_end_offset
    )


CLAIM = build_write(0, 9)
FIRST, SECOND = build_write(1), build_write(2)


# Guards against a leader that takes its role as confirmed when another may
# have begun: the answer to a retry counted from when the retry was sent, but
# the store had carried out the first attempt, whose answer was lost, and the
# others had counted the leader's silence from there.
@pytest.mark.parametrize(
    ("writes", "outcomes", "counts_from"),
    [
        ((FIRST,), (STORED,), 0),
        ((FIRST,), (UNKNOWN, STORED), 0),
        ((FIRST,), (UNKNOWN, UNKNOWN, STORED), 0),
        ((FIRST,), (UNKNOWN, REFUSED, STORED), 0),
        ((FIRST,), (REFUSED, STORED), 1),
        ((FIRST,), (REFUSED, UNKNOWN, STORED), 1),
        ((FIRST, SECOND), (STORED, STORED), 1),
        ((FIRST, SECOND), (STORED, UNKNOWN, STORED), 1),
        ((FIRST, SECOND), (UNKNOWN,) * 3 + (STORED, STORED), 4),
        ((FIRST, SECOND), (UNKNOWN,) * 4 + (STORED, STORED), 5),
        ((FIRST, SECOND), (UNKNOWN,) * 3 + (STORED, UNKNOWN, STORED), 4),
        ((FIRST, FIRST), (UNKNOWN,) * 3 + (STORED,), 0),
        ((CLAIM,), (STORED,), 0),
        ((CLAIM,), (UNKNOWN, STORED), 0),
        ((CLAIM, CLAIM), (UNKNOWN,) * 3 + (STORED,), 0),
        ((CLAIM, FIRST), (UNKNOWN, STORED, STORED), 2),
    ],
    ids=[
        "answered",
        "answer lost",
        "two answers lost",
        "answer lost, then refused",
        "refused",
        "refused, then answer lost",
        "two writes",
        "two writes, answer to the second lost",
        "earlier write repeated first",
        "earlier write repeated twice first",
        "earlier write repeated first, then answer lost",
        "same records written again",
        "claim",
        "answer to a claim lost",
        "same claim sent again",
        "write after a claim whose answer was lost",
    ],
)
def test_write_counts_from_its_first_attempt(
    monkeypatch, writes, outcomes, counts_from
):
    store = TimedStore(outcomes)
    for module in (storehandler, writer):
        monkeypatch.setattr(
            module, "now_ms", lambda: store.now_ms, raising=False
        )
    monkeypatch.setattr(storehandler.time, "sleep", store.sleep)
    handler = StoreEffectHandler("127.0.0.1:1", [].append)
    monkeypatch.setattr(handler, "_fenced_writer", LeaderWriter(store))
    for write in writes:
        event = handler._store_progress(write)
    assert event.outcome is STORED
    assert event.sent_ms == store.sent_ms[counts_from]


@pytest.mark.parametrize(
    ("outcomes", "attempts"),
    [
        ([STORED], 1),
        ([UNKNOWN, STORED], 2),
        ([UNKNOWN, REFUSED], 2),
        ([UNKNOWN] * MAX_WRITE_ATTEMPTS, MAX_WRITE_ATTEMPTS),
    ],
    ids=["at once", "at the second attempt", "refused", "never"],
)
def test_attempts_of_a_write_are_counted(monkeypatch, outcomes, attempts):
    handler = StoreEffectHandler("127.0.0.1:1", lambda event: None)
    left = [AppendResult(outcome, 0) for outcome in outcomes]
    monkeypatch.setattr(
        handler._fenced_writer, "append", lambda *_: left.pop(0)
    )
    claim = StoreProgress(1, (), expected_end_offset=9)
    event = handler._store_progress(claim)
    assert event.outcome is outcomes[-1]
    assert event.attempts == attempts


# Guards against a claim that is lost to itself: a claim without an answer is
# claimed again, and tells another time for which leases may be renewed.
@pytest.mark.parametrize("renewals_ms", [3_800, 2_500])
def test_repeated_claim_is_stored_once(monkeypatch, renewals_ms):
    store = TimedStore((UNKNOWN,) * 3 + (STORED, REFUSED))
    monkeypatch.setattr(writer, "now_ms", lambda: store.now_ms)
    leader_writer = LeaderWriter(store)
    claims = [
        encode_record(
            StoredRecord("leader", Leader("e", 3, earlier_renewals_ms=told))
        )
        for told in (3_800, renewals_ms)
    ]
    for _ in range(MAX_WRITE_ATTEMPTS):
        leader_writer.append(3, 9, claims[0])
    assert leader_writer.append(3, 9, claims[1]).outcome is STORED
