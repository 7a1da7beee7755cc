"""Appends of a leader: each takes effect once and only under its epoch."""

import random

from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.managerevents import StoreOutcome
from sesamehall.platform.store import StoreClient
from sesamehall.platform.store import TOPIC_BY_STREAM

PRODUCER = "leader"
SEQUENCE_SPACE = 1 << 30  # first sequence numbers are drawn from this


class LeaderWriter:
    """Appends a leader's records, each once and only under its epoch.

    A sequence number stands for the same records for good: the store answers
    a repeat with the first response, whatever the repeat contains.
    """

    def __init__(self, store: StoreClient):
        """Prepare the writer.

        Args:
          store: Client of the store.
        """
        self._store = store
        self._epoch = 0
        self._sequence = 0
        self._unsettled: tuple[StoredRecord, ...] = ()

    def append(
        self, epoch: int, at_offset: int, records: tuple[StoredRecord, ...]
    ) -> StoreOutcome:
        """Append records; a repeat after silence takes effect once.

        An earlier append without an answer is repeated first; while that has
        none either, nothing else is sent.

        Args:
          epoch: Epoch of the leader.
          at_offset: Where the log must end, or -1.
          records: The records.
        Returns:
          What became of them.
        """
        if epoch != self._epoch:
            self._epoch = epoch
            self._sequence = random.randrange(1, SEQUENCE_SPACE)
            self._unsettled = ()
        if self._unsettled and self._unsettled != records:
            outcome = self._send(at_offset, self._unsettled)
            if outcome is not StoreOutcome.STORED:
                return outcome
        return self._send(at_offset, records)

    def _send(self, at_offset, records) -> StoreOutcome:
        """Send records under the next sequence number."""
        query = {
            "Producer": PRODUCER,
            "epoch": self._epoch,
            "Seq": self._sequence,
        }
        if at_offset >= 0:
            query["At"] = at_offset
        topic = TOPIC_BY_STREAM[Stream.PROGRESS]
        outcome, content = self._store.append_conditionally(
            topic, query, records
        )
        expected = _expected_sequence(content)
        match outcome:
            case StoreOutcome.STORED:
                self._sequence += 1
                self._unsettled = ()
            case StoreOutcome.UNKNOWN:
                self._unsettled = records
            case StoreOutcome.REFUSED if (
                expected is not None and at_offset < 0
            ):
                self._sequence = expected
                self._unsettled = ()
        return outcome


def _expected_sequence(content):
    """Read the sequence number that the store expects, if it names one."""
    if content.get("Reason") != "seq":
        return None
    for name in ("Seq", "Expected", "expected", "seq"):
        if isinstance(content.get(name), int):
            return content[name]
    return None
