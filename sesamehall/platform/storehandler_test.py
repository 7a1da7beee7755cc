"""Tests of reads of the store: until when the content of a stream is known."""

import pytest

from sesamehall.core.fleet import CancelAsked
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.managereffects import ReadStream
from sesamehall.core.managereffects import StoreProgress
from sesamehall.core.managerevents import StoreOutcome
from sesamehall.platform.http import HttpResponse
from sesamehall.platform.records import encode_record
from sesamehall.platform.store import READ_HEADER
from sesamehall.platform.store import StoreClient
from sesamehall.platform.storehandler import MAX_WRITE_ATTEMPTS
from sesamehall.platform.storehandler import StoreEffectHandler
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


@pytest.mark.parametrize(
    ("outcomes", "attempts"),
    [
        ([StoreOutcome.STORED], 1),
        ([StoreOutcome.UNKNOWN, StoreOutcome.STORED], 2),
        ([StoreOutcome.UNKNOWN, StoreOutcome.REFUSED], 2),
        ([StoreOutcome.UNKNOWN] * MAX_WRITE_ATTEMPTS, MAX_WRITE_ATTEMPTS),
    ],
    ids=["at once", "at the second attempt", "refused", "never"],
)
def test_attempts_of_a_write_are_counted(monkeypatch, outcomes, attempts):
    handler = StoreEffectHandler("127.0.0.1:1", lambda event: None)
    left = list(outcomes)
    monkeypatch.setattr(
        handler._fenced_writer, "append", lambda *_: left.pop(0)
    )
    claim = StoreProgress(1, (), expected_end_offset=9)
    event = handler._store_progress(claim)
    assert event.outcome is outcomes[-1]
    assert event.attempts == attempts
    retried = event.sent_ms > event.first_sent_ms
    assert retried == (attempts > 1)
