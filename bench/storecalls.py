"""Calls of simulated managers to the simulated store, with their faults."""

from collections.abc import Callable

from bench.jobprocesses import ManagerProcess
from bench.jobprocesses import WALL_CLOCK_START_MS
from sesamehall.core.fleet import CancelAsked
from sesamehall.core.fleet import LeasedWorker
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.managereffects import OfferToLead
from sesamehall.core.managereffects import ReadStream
from sesamehall.core.managereffects import StoreJob
from sesamehall.core.managerevents import JobStored
from sesamehall.core.managerevents import ProgressStored
from sesamehall.core.managerevents import StoreOutcome
from sesamehall.core.managerevents import StreamRead
from sesamehall.core.managerevents import StreamUnread
from sesamehall.core.work import CompactProgress

STORE_TIMEOUT_MS = 1_200
RETRY_PAUSE_MS = 50
PROGRESS_ATTEMPTS = 3
FIRST_SEQUENCE_LIMIT = 1 << 30


class StoreCalls:
    """Executes the calls of all managers to the store."""

    def __init__(
        self, simulation, retry_unconfirmed: bool, max_checkpoints: int
    ):
        """Create the calls of a simulation.

        Args:
          simulation: The JobSimulation, which draws delays and faults, and
            delivers outcomes to managers.
          retry_unconfirmed: Whether an append of unknown outcome is retried
            before the next one uses its sequence number.
          max_checkpoints: Maximum number of checkpoints in a stored progress,
            -1 if there are none.
        """
        self._simulation = simulation
        self._max_checkpoints = max_checkpoints
        self._retries_unconfirmed = retry_unconfirmed
        self._read_waiters: dict[Stream, list[Callable]] = {
            stream: [] for stream in Stream
        }

    def _call(
        self,
        process,
        execute,
        on_outcome,
        timeout_ms=STORE_TIMEOUT_MS,
        delivery="",
    ):
        """Execute a call to the store; its outcome is None on a timeout.

        The fault of the call is drawn unless a delivery is given.
        """
        delivery = delivery or self._simulation.draw_delivery()
        delay_ms = self._simulation.draw_delay_ms()
        if self._is_rejected(process):
            self._simulation.call_later(
                delay_ms, on_outcome, StoreOutcome.REFUSED
            )
            return
        if process.store_unreachable or self._simulation.store.unavailable:
            delivery = "lost"
        elif (
            self._simulation.store.responses_lost
            or process.append_responses_lost
        ):
            delivery = "response_lost"
        if delivery == "answered" and delay_ms < timeout_ms:
            self._simulation.call_later(
                delay_ms, lambda: self._respond(on_outcome, execute())
            )
            return
        if delivery in ("late", "duplicated"):
            delay_ms = self._simulation.random.randint(200, 8_000)
        if delivery != "lost":
            self._simulation.call_later(delay_ms, execute)
        self._simulation.call_later(timeout_ms, on_outcome, None)

    def _respond(self, on_outcome, outcome):
        self._simulation.call_later(
            self._simulation.draw_delay_ms(), on_outcome, outcome
        )

    def read_stream(
        self, process: ManagerProcess, start_count: int, effect: ReadStream
    ) -> None:
        """Read a stream; at its end, wait up to `wait_ms` for a record.

        A negative offset reads the newest record of each key immediately.  Any
        fault that is drawn for the call loses it.

        Args:
          process: The manager.
          start_count: Its start count when the call was requested.
          effect: The read.
        """
        sent_ms = self._simulation.clock_ms(process)
        covers_all_keys = effect.from_offset < 0
        wait_end_ms = self._simulation.now_ms + effect.wait_ms
        answered = []

        def on_outcome(found):
            if found is None:
                self._simulation.deliver(
                    process, build_stream_unread, start_count
                )
                return
            self._simulation.deliver(
                process,
                lambda at_ms: build_stream_read(at_ms, *found),
                start_count,
            )

        def build_stream_unread(at_ms):
            return StreamUnread(at_ms, effect.stream, "no answer")

        def build_stream_read(at_ms, records, next_offset):
            known_until_ms = sent_ms
            if not records and not covers_all_keys:
                known_until_ms = min(sent_ms + effect.wait_ms, at_ms)
            return StreamRead(
                at_ms,
                known_until_ms,
                WALL_CLOCK_START_MS + self._simulation.now_ms,
                effect.stream,
                records,
                next_offset,
                covers_all_keys,
            )

        def try_respond():
            """Respond if there is a record or the wait has ended."""
            found = self._simulation.store.read(
                effect.stream, effect.from_offset
            )
            if answered:
                return
            if (
                found[0]
                or covers_all_keys
                or self._simulation.now_ms >= wait_end_ms
            ):
                answered.append(True)
                response_lost = self._is_silent(process)
                self._simulation.call_later(
                    self._simulation.draw_delay_ms(),
                    on_outcome,
                    None if response_lost else found,
                )
                return
            self._read_waiters[effect.stream].append(try_respond)

        def receive():
            try_respond()
            if not answered:
                self._simulation.call_later(
                    wait_end_ms - self._simulation.now_ms, try_respond
                )

        if self._is_rejected(process):
            self._simulation.call_later(
                self._simulation.draw_delay_ms(), on_outcome, None
            )
            return
        if (
            self._is_silent(process)
            or self._simulation.draw_delivery() != "answered"
        ):
            self._simulation.call_later(
                STORE_TIMEOUT_MS + effect.wait_ms, on_outcome, None
            )
            return
        self._simulation.call_later(self._simulation.draw_delay_ms(), receive)

    def _is_silent(self, process):
        """Check whether calls get no response, or are lost altogether."""
        return (
            process.store_unreachable
            or self._simulation.store.unavailable
            or self._simulation.store.responses_lost
        )

    def _is_rejected(self, process):
        store = self._simulation.store
        return process.store_refuses or (
            store.unavailable and store.rejects_calls
        )

    def notify_readers(self, stream: Stream) -> None:
        """Answer the reads that wait for a record of a stream.

        Args:
          stream: The stream.
        """
        readers, self._read_waiters[stream] = self._read_waiters[stream], []
        for try_respond in readers:
            try_respond()

    def append_offer(
        self, process: ManagerProcess, start_count: int, effect: OfferToLead
    ) -> None:
        """Append an offer to lead; the outcome is not reported.

        Args:
          process: The manager.
          start_count: Its start count; unused, since no outcome is reported.
          effect: The offer.
        """
        records = (StoredRecord("candidate", effect.candidate),)
        self._call(
            process,
            lambda: self._simulation.store.append(Stream.JOBS, records),
            lambda outcome: None,
        )

    def store_job(
        self,
        process: ManagerProcess,
        start_count: int,
        effect: StoreJob,
        maybe_stored: bool = False,
    ) -> None:
        """Append a job or cancellation, with retries until the deadline.

        A rejection is conclusive only if no earlier attempt may have been
        stored.

        Args:
          process: The manager.
          start_count: Its start count when the call was requested.
          effect: The record to append.
          maybe_stored: Whether an earlier attempt may have been stored.
        """
        key = effect.value.job_id
        if isinstance(effect.value, CancelAsked):
            key += "/cancel"
        records = (StoredRecord(key, effect.value),)

        def on_outcome(outcome):
            refused = outcome is StoreOutcome.REFUSED
            outcome_unknown = outcome is None or (maybe_stored and refused)
            if (
                outcome_unknown
                and self._simulation.clock_ms(process) < effect.not_after_ms
            ):
                arguments = (process, start_count, effect, True)
                self._simulation.call_later(
                    RETRY_PAUSE_MS,
                    self._simulation.start_call,
                    process,
                    self.store_job,
                    arguments,
                )
                return
            reported = StoreOutcome.UNKNOWN if outcome_unknown else outcome
            self._simulation.deliver(
                process,
                lambda at_ms: JobStored(at_ms, effect.call_id, reported),
                start_count,
            )

        self._call(
            process,
            lambda: self._simulation.store.append(Stream.JOBS, records),
            on_outcome,
        )

    def append_progress(
        self,
        process: ManagerProcess,
        start_count: int,
        attempts_left: int = PROGRESS_ATTEMPTS,
    ) -> None:
        """Append the first queued records of a leader, with retries.

        If the outcome of an append is unknown, its records are appended again
        first, under the same sequence number.  New records under that number
        would be lost if the earlier append had succeeded: the store would
        discard them as a retry.

        Args:
          process: The manager.
          start_count: Its start count when the call was requested.
          attempts_left: Number of attempts before the outcome is reported.
        """
        writer = process.writer
        effect = writer.queue[0]
        if effect.epoch != writer.epoch:
            writer.epoch = effect.epoch
            writer.sequence = self._simulation.random.randrange(
                1, FIRST_SEQUENCE_LIMIT
            )
            writer.unconfirmed = ()
            writer.unconfirmed_sent_ms = -1
        is_claim = effect.expected_end_offset >= 0
        storable, unstorable_keys, held_keys = self._split_storable(
            effect.records
        )
        records = storable
        if self._retries_unconfirmed and not is_claim:
            records = writer.unconfirmed or records
        sequence = writer.sequence
        sent_ms = self._simulation.clock_ms(process)
        if writer.unconfirmed_sent_ms >= 0:
            sent_ms = writer.unconfirmed_sent_ms

        def execute():
            return self._simulation.store.append_fenced(
                effect.epoch, sequence, effect.expected_end_offset, records
            )

        def on_outcome(outcome):
            if not process.alive or process.start_count != start_count:
                return
            if outcome is StoreOutcome.STORED:
                writer.sequence += 1
                writer.unconfirmed = ()
                writer.unconfirmed_sent_ms = -1
                if records != storable:
                    self._simulation.start_call(
                        process,
                        self.append_progress,
                        (process, start_count, attempts_left),
                    )
                    return
            elif outcome is None:
                writer.unconfirmed_sent_ms = sent_ms
                if not is_claim:
                    writer.unconfirmed = records
            conclusive = outcome in (StoreOutcome.STORED, StoreOutcome.FENCED)
            claim_refused = is_claim and outcome is StoreOutcome.REFUSED
            if not conclusive and not claim_refused and attempts_left > 1:
                arguments = (process, start_count, attempts_left - 1)
                pause_ms = RETRY_PAUSE_MS
                self._simulation.call_later(
                    pause_ms,
                    self._simulation.start_call,
                    process,
                    self.append_progress,
                    arguments,
                )
                return
            reported = outcome or StoreOutcome.UNKNOWN
            writer.queue.popleft()
            if writer.queue:
                self._simulation.schedule_call(
                    process, self.append_progress, process, start_count
                )
            self._simulation.deliver(
                process,
                lambda at_ms: ProgressStored(
                    at_ms,
                    sent_ms,
                    effect.epoch,
                    reported,
                    unstorable_keys,
                    held_keys=held_keys,
                ),
                start_count,
            )

        delivery = ""
        if process.append_deliveries:
            delivery = process.append_deliveries.popleft()
        self._call(process, execute, on_outcome, delivery=delivery)

    def _split_storable(self, records):
        """Separate the records that can be stored from the others' keys.

        Records of workers are held back if some progress cannot be stored,
        since they say which ends it contains.

        Returns:
          The records, the keys of those that cannot be stored, and the keys of
          those that are held back.
        """
        unstorable_keys = tuple(
            record.key
            for record in records
            if isinstance(record.value, CompactProgress)
            and len(record.value.checkpoints) > self._max_checkpoints >= 0
        )
        held_keys = tuple(
            record.key
            for record in records
            if unstorable_keys
            and isinstance(record.value, CompactProgress | LeasedWorker)
            and record.key not in unstorable_keys
        )
        storable = tuple(
            record
            for record in records
            if record.key not in unstorable_keys + held_keys
        )
        return storable, unstorable_keys, held_keys
