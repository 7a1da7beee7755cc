"""Tests of a leader's appends to a store that loses requests and responses."""

from enum import Enum
import json

import pytest

from sesamehall.core.fleet import Leader
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.managerevents import StoreOutcome
from sesamehall.platform.records import encode_record
from sesamehall.platform.writer import LeaderWriter
from standins.metadatastore import MetadataStore
from standins.serving import HttpRequest

EPOCH = 3


class CallResult(Enum):
    """Simulated result of one call to the store."""

    ANSWERED = "answered"
    REFUSED = "refused"
    ANSWER_LOST = "answer lost"
    CALL_LOST = "call lost"
    DELAYED = "carried out after the next call"


class LossyStore:
    """A client of the store's stand-in that loses and delays calls."""

    def __init__(self, results):
        self.store = MetadataStore()
        self._results = iter(results)
        self._delayed = None

    def append_conditionally(self, topic, query, body):
        query = {
            name: str(value)
            for name, value in {"Topic": topic, "part": 0, **query}.items()
        }
        request = HttpRequest("POST", "", "/log-append", query, {}, body)
        delayed, self._delayed = self._delayed, None
        outcome = self._perform(
            request, next(self._results, CallResult.ANSWERED)
        )
        if delayed is not None:
            self.store.handle(delayed)
        return outcome

    def _perform(self, request, result):
        match result:
            case CallResult.REFUSED:
                return StoreOutcome.REFUSED, {}
            case CallResult.CALL_LOST:
                return StoreOutcome.UNKNOWN, {}
            case CallResult.DELAYED:
                self._delayed = request
                return StoreOutcome.UNKNOWN, {}
        response = self.store.handle(request)
        if result is CallResult.ANSWER_LOST:
            return StoreOutcome.UNKNOWN, {}
        document = json.loads(response.body)
        if response.status == 200:
            return StoreOutcome.STORED, document
        if document.get("Reason") == "fenced":
            return StoreOutcome.FENCED, document
        return StoreOutcome.REFUSED, document

    def stored(self):
        """List the records of the stream, in order."""
        query = {"Topic": "keyed.sesamehall-progress", "From": "0"}
        response = self.store.handle(
            HttpRequest("GET", "", "/log-read", query, {}, b"")
        )
        return response.body


RESULT_SEQUENCES = [
    (),
    (CallResult.REFUSED,),
    (CallResult.ANSWER_LOST,),
    (CallResult.CALL_LOST,),
    (CallResult.DELAYED,),
    (CallResult.ANSWER_LOST, CallResult.REFUSED),
    (CallResult.ANSWER_LOST, CallResult.ANSWER_LOST),
    (CallResult.CALL_LOST, CallResult.ANSWER_LOST),
    (CallResult.DELAYED, CallResult.DELAYED),
    (CallResult.DELAYED, CallResult.CALL_LOST, CallResult.ANSWER_LOST),
]


# Guards against tasks that run again after they were done.  The response to an
# earlier append was attributed to a later one, so the leader acknowledged ends
# that the stream did not contain.
@pytest.mark.parametrize("results", RESULT_SEQUENCES, ids=str)
def test_append_outcome_matches_the_log(results):
    store = LossyStore(results)
    writer = LeaderWriter(store)
    records = [
        StoredRecord(f"r{number}", Leader("edge-1", EPOCH, False, number))
        for number in range(6)
    ]
    for record in records:
        outcome = writer.append(EPOCH, -1, encode_record(record)).outcome
        stored_count = store.stored().count(encode_record(record))
        if outcome is StoreOutcome.STORED:
            assert stored_count == 1
        if outcome is StoreOutcome.REFUSED:
            assert stored_count == 0
    assert outcome is StoreOutcome.STORED
    assert all(
        store.stored().count(encode_record(record)) <= 1 for record in records
    )
