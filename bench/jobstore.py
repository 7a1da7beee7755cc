"""Simulated store of job histories: linearizable streams.

Each stream keeps all its records.  Appends of leaders are fenced by an epoch,
deduplicated by a sequence number, and may be conditional on the end offset of
the stream.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.managerevents import StoreOutcome

DEDUPLICATION_WINDOW = 5  # retries of the last 5 appends are recognised


@dataclass(slots=True)
class JobStore:
    """The streams, the state of their writers, and the faults in force.

    Attributes:
      records_by_stream: All records of each stream.
      on_append: Called with the stream after an append.
      epoch: Highest epoch of a leader that has appended.
      last_sequence: Sequence number of the latest append of that leader.
      recent_sequences: Sequence numbers of its latest appends.
      responses_lost: Whether calls take effect but their responses are lost.
      unavailable: Whether no call takes effect.
      rejects_calls: Whether calls are rejected immediately while unavailable,
        instead of being left without a response.
    """

    records_by_stream: dict[Stream, list[StoredRecord]] = field(
        default_factory=lambda: {stream: [] for stream in Stream}
    )
    on_append: Callable[[Stream], None] = lambda stream: None
    epoch: int = 0
    last_sequence: int = 0
    recent_sequences: list[int] = field(default_factory=list)
    responses_lost: bool = False
    unavailable: bool = False
    rejects_calls: bool = False

    def read(
        self, stream: Stream, from_offset: int
    ) -> tuple[tuple[StoredRecord, ...], int]:
        """Read a stream.

        Args:
          stream: The stream.
          from_offset: First offset to read, -1 for the newest record of each
            key.
        Returns:
          The records and the next offset to read.
        """
        records = self.records_by_stream[stream]
        if from_offset >= 0:
            return tuple(records[from_offset:]), len(records)
        newest = {record.key: record for record in records}
        live = (
            stored for stored in newest.values() if stored.value is not None
        )
        return tuple(live), len(records)

    def newest_value(self, stream: Stream, key: str):
        """Return the newest value of a key.

        Args:
          stream: The stream.
          key: The key.
        Returns:
          The value, None if there is none.
        """
        for record in reversed(self.records_by_stream[stream]):
            if record.key == key:
                return record.value
        return None

    def append(
        self, stream: Stream, records: tuple[StoredRecord, ...]
    ) -> StoreOutcome:
        """Append records unconditionally.

        Args:
          stream: The stream.
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
        expected_end_offset: int,
        records: tuple[StoredRecord, ...],
    ) -> StoreOutcome:
        """Append records of a leader to the progress stream.

        Args:
          epoch: Epoch of the leader.
          sequence: Sequence number of the append within the epoch.
          expected_end_offset: Required end offset of the stream, -1 for any.
          records: The records.
        Returns:
          The outcome; a recognised retry is STORED and appends nothing.
        """
        if epoch < self.epoch:
            return StoreOutcome.FENCED
        if epoch == self.epoch and sequence in self.recent_sequences:
            return StoreOutcome.STORED
        end = len(self.records_by_stream[Stream.PROGRESS])
        if expected_end_offset not in (-1, end):
            return StoreOutcome.REFUSED
        if epoch == self.epoch and sequence != self.last_sequence + 1:
            return StoreOutcome.REFUSED
        if epoch > self.epoch:
            self.recent_sequences = []
        self.epoch = epoch
        self.last_sequence = sequence
        self.recent_sequences = [*self.recent_sequences, sequence][
            -DEDUPLICATION_WINDOW:
        ]
        return self.append(Stream.PROGRESS, records)
