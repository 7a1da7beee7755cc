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
    """Appends a leader's records, each once and only under its epoch."""

    def __init__(self, store: StoreClient):
        """Prepare the writer.

        Args:
          store: Client of the store.
        """
        self._store = store
        self._epoch = 0
        self._sequence = 0

    def append(
        self, epoch: int, at_offset: int, records: tuple[StoredRecord, ...]
    ) -> StoreOutcome:
        """Append records; a repeat after silence takes effect once.

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
        query = {"Producer": PRODUCER, "epoch": epoch, "Seq": self._sequence}
        if at_offset >= 0:
            query["At"] = at_offset
        topic = TOPIC_BY_STREAM[Stream.PROGRESS]
        outcome, content = self._store.append_bytes(topic, query, records)
        if outcome is StoreOutcome.STORED:
            self._sequence += 1
        expected = _expected_sequence(content)
        if expected is not None and at_offset < 0:
            self._sequence = expected
        return outcome


def _expected_sequence(content):
    """Read the sequence number that the store expects, if it names one."""
    if content.get("Reason") != "seq":
        return None
    for name in ("Seq", "Expected", "expected", "seq"):
        if isinstance(content.get(name), int):
            return content[name]
    return None
