"""Tests of a leader's appends, on a store whose answers get lost."""

from enum import Enum
import json

import pytest

from sesamehall.core.fleet import Leader
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.managerevents import StoreOutcome
from sesamehall.platform.store import encode_record
from sesamehall.platform.writer import LeaderWriter
from standins.metadatastore import MetadataStore
from standins.serving import HttpRequest

EPOCH = 3


class Fate(Enum):
    """What becomes of one call to the store."""

    ANSWERED = "answered"
    REFUSED = "refused"
    ANSWER_LOST = "answer lost"
    CALL_LOST = "call lost"
    LATE = "carried out after the next call"


class LossyStore:
    """A client of the store's stand-in that loses calls and answers."""

    def __init__(self, fates):
        self.offered = MetadataStore()
        self._fates = iter(fates)
        self._late = None

    def append_conditionally(self, topic, query, records):
        body = b"".join(map(encode_record, records))
        query = {
            name: str(value)
            for name, value in {"Topic": topic, "part": 0, **query}.items()
        }
        question = HttpRequest("POST", "", "/log-append", query, {}, body)
        late, self._late = self._late, None
        outcome = self._carry_out(question, next(self._fates, Fate.ANSWERED))
        if late is not None:
            self.offered.handle(late)
        return outcome

    def _carry_out(self, question, fate):
        match fate:
            case Fate.REFUSED:
                return StoreOutcome.REFUSED, {}
            case Fate.CALL_LOST:
                return StoreOutcome.UNKNOWN, {}
            case Fate.LATE:
                self._late = question
                return StoreOutcome.UNKNOWN, {}
        answer = self.offered.handle(question)
        if fate is Fate.ANSWER_LOST:
            return StoreOutcome.UNKNOWN, {}
        content = json.loads(answer.body)
        if answer.status == 200:
            return StoreOutcome.STORED, content
        if content.get("Reason") == "fenced":
            return StoreOutcome.FENCED, content
        return StoreOutcome.REFUSED, content

    def stored(self):
        """List the records of the log, in order."""
        query = {"Topic": "keyed.sesamehall-progress", "From": "0"}
        answer = self.offered.handle(
            HttpRequest("GET", "", "/log-read", query, {}, b"")
        )
        return answer.body


LOSSES = [
    (),
    (Fate.REFUSED,),
    (Fate.ANSWER_LOST,),
    (Fate.CALL_LOST,),
    (Fate.LATE,),
    (Fate.ANSWER_LOST, Fate.REFUSED),
    (Fate.ANSWER_LOST, Fate.ANSWER_LOST),
    (Fate.CALL_LOST, Fate.ANSWER_LOST),
    (Fate.LATE, Fate.LATE),
    (Fate.LATE, Fate.CALL_LOST, Fate.ANSWER_LOST),
]


# Guards against tasks that run again after they were done: an end that the
# log does not hold was acknowledged, since the answer to an earlier append
# was taken for that to a later one.
@pytest.mark.parametrize("fates", LOSSES, ids=str)
def test_append_counts_as_stored_only_once_the_log_holds_it(fates):
    store = LossyStore(fates)
    writer = LeaderWriter(store)
    records = [
        StoredRecord(f"r{number}", Leader("edge-1", EPOCH, False, number))
        for number in range(6)
    ]
    for record in records:
        outcome = writer.append(EPOCH, -1, (record,))
        held = store.stored().count(encode_record(record))
        if outcome is StoreOutcome.STORED:
            assert held == 1
        if outcome is StoreOutcome.REFUSED:
            assert held == 0
    assert outcome is StoreOutcome.STORED
    assert all(
        store.stored().count(encode_record(record)) <= 1 for record in records
    )
