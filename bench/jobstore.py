"""A modelled store for job histories: logs that answer in one order.

Each log keeps all its records.  Appends of leaders are fenced by an epoch and
take effect once for each sequence number; a condition on the end of the log
may go with them.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.managerevents import StoreOutcome

ANSWERS_KEPT = 5  # repeats of so many appends get their first answer


@dataclass(slots=True)
class JobStore:
    """The logs, and what the store knows of their writers.

    Attributes:
      records_by_stream: All records of each log.
      on_append: Called with a log that has grown.
      epoch: Highest epoch of a leader that has appended.
      sequence: Number of its latest append.
      kept: Numbers of the latest appends of that epoch.
      muted: Whether calls take effect and no answer arrives.
      down: Whether no call takes effect.
      refusing: Whether a call that takes no effect is answered at once.
    """

    records_by_stream: dict[Stream, list[StoredRecord]] = field(
        default_factory=lambda: {stream: [] for stream in Stream}
    )
    on_append: Callable[[Stream], None] = lambda stream: None
    epoch: int = 0
    sequence: int = 0
    kept: list[int] = field(default_factory=list)
    muted: bool = False
    down: bool = False
    refusing: bool = False

    def read(
        self, stream: Stream, from_offset: int
    ) -> tuple[tuple[StoredRecord, ...], int]:
        """Read a log.

        Args:
          stream: The log.
          from_offset: Where to begin, -1 for the newest of each key.
        Returns:
          The records, and where to read on.
        """
        records = self.records_by_stream[stream]
        if from_offset >= 0:
            return tuple(records[from_offset:]), len(records)
        newest = {record.key: record for record in records}
        live = (one for one in newest.values() if one.value is not None)
        return tuple(live), len(records)

    def newest(self, stream: Stream, key: str):
        """Find the newest value of a key.

        Args:
          stream: The log.
          key: The key.
        Returns:
          The value, or None.
        """
        for record in reversed(self.records_by_stream[stream]):
            if record.key == key:
                return record.value
        return None

    def append(
        self, stream: Stream, records: tuple[StoredRecord, ...]
    ) -> StoreOutcome:
        """Append records without a condition.

        Args:
          stream: The log.
          records: The records.
        Returns:
          STORED.
        """
        self.records_by_stream[stream].extend(records)
        self.on_append(stream)
        return StoreOutcome.STORED

    def append_fenced(
        self,
        epoch: int,
        sequence: int,
        at_offset: int,
        records: tuple[StoredRecord, ...],
    ) -> StoreOutcome:
        """Append a leader's records.

        Args:
          epoch: Epoch of the leader.
          sequence: Number of the append within the epoch.
          at_offset: Where the log must end, or -1.
          records: The records.
        Returns:
          What became of them.
        """
        if epoch < self.epoch:
            return StoreOutcome.FENCED
        if epoch == self.epoch and sequence in self.kept:
            return StoreOutcome.STORED
        end = len(self.records_by_stream[Stream.PROGRESS])
        if at_offset not in (-1, end):
            return StoreOutcome.REFUSED
        if epoch == self.epoch and sequence != self.sequence + 1:
            return StoreOutcome.REFUSED
        if epoch > self.epoch:
            self.kept = []
        self.epoch = epoch
        self.sequence = sequence
        self.kept = [*self.kept, sequence][-ANSWERS_KEPT:]
        return self.append(Stream.PROGRESS, records)
