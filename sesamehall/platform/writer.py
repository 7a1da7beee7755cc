"""Idempotent and fenced appends of the leader's records."""

from dataclasses import dataclass
import random

from sesamehall.core.fleet import Stream
from sesamehall.core.managerevents import StoreOutcome
from sesamehall.platform.store import StoreClient
from sesamehall.platform.store import TOPIC_BY_STREAM
from sesamehall.runtime.interpreter import now_ms

PRODUCER_NAME = "leader"
FIRST_SEQUENCE_LIMIT = 1 << 30  # of the first sequence number of a term


@dataclass(frozen=True, slots=True)
class AppendResult:
    """Result of an append.

    Attributes:
      outcome: Outcome of the write.
      sent_ms: Earliest time at which the records may have been stored: when
        they were first sent without being refused.
    """

    outcome: StoreOutcome
    sent_ms: int


class LeaderWriter:
    """Appends a leader's records, each exactly once and fenced by its epoch.

    A sequence number must always stand for the same records: the store
    answers a repeated number with the first response, whatever the repeated
    append contains.
    """

    def __init__(self, store: StoreClient):
        """Create the writer.

        Args:
          store: Client of the store.
        """
        self._store = store
        self._epoch = 0
        self._sequence = 0
        self._unacknowledged = b""
        self._unacknowledged_sent_ms = 0

    def append(
        self,
        epoch: int,
        expected_end_offset: int,
        records: bytes,
    ) -> AppendResult:
        """Append records; a retry after a lost response takes effect once.

        An earlier append without a response is retried first.  Nothing else
        is sent until it has succeeded, and nothing more if it is an earlier
        claim of the same term.  The store may have carried out the
        first attempt, and then other nodes count the leader's silence from
        there, so a success counts from when that attempt was sent.

        Args:
          epoch: Epoch of the leader.
          expected_end_offset: End offset that the stream must have, or -1.
          records: The encoded records.
        Returns:
          Outcome of the write, and from when it counts.
        """
        if epoch != self._epoch:
            self._epoch = epoch
            self._sequence = random.randrange(1, FIRST_SEQUENCE_LIMIT)
            self._unacknowledged = b""
        if self._unacknowledged and self._unacknowledged != records:
            result = self._send(expected_end_offset, self._unacknowledged)
            is_claim = expected_end_offset >= 0
            if is_claim or result.outcome is not StoreOutcome.STORED:
                return result
        return self._send(expected_end_offset, records)

    def _send(self, expected_end_offset, records) -> AppendResult:
        """Send records under the next sequence number.

        If there are unacknowledged records, it must be these.
        """
        sent_ms = now_ms()
        if self._unacknowledged:
            sent_ms = self._unacknowledged_sent_ms
        query = {
            "Producer": PRODUCER_NAME,
            "epoch": self._epoch,
            "Seq": self._sequence,
        }
        if expected_end_offset >= 0:
            query["At"] = expected_end_offset
        topic = TOPIC_BY_STREAM[Stream.PROGRESS]
        outcome, document = self._store.append_conditionally(
            topic, query, records
        )
        expected = _expected_sequence(document)
        match outcome:
            case StoreOutcome.STORED:
                self._sequence += 1
                self._unacknowledged = b""
            case StoreOutcome.UNKNOWN:
                self._unacknowledged = records
                self._unacknowledged_sent_ms = sent_ms
            case StoreOutcome.REFUSED if (
                expected is not None and expected_end_offset < 0
            ):
                self._sequence = expected
                self._unacknowledged = b""
        return AppendResult(outcome, sent_ms)


def _expected_sequence(document):
    """Return the sequence number that the store expects, or None."""
    if document.get("Reason") != "seq":
        return None
    for key in ("Seq", "Expected", "expected", "seq"):
        if type(document.get(key)) is int:
            return document[key]
    return None
