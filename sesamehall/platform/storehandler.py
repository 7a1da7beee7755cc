"""The manager's effect handler for the platform's metadata store.

The store holds topics.  Each topic is a sequence of keyed records; a `Stream`
names one of the four topics that managers read.  Wave statuses go to a topic
that operators read.

Each stream is read in a thread of its own.  One thread stores callers' jobs
and cancel requests.  Another writes the leader's records and leadership
offers.  A third one writes wave statuses and this node's registration, so
that they cannot delay these.
"""

from collections.abc import Callable
import logging
from queue import SimpleQueue
import time

from sesamehall.core.events import Event
from sesamehall.core.fleet import CancelAsked
from sesamehall.core.fleet import LeasedWorker
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.logevents import RECORD_UNSTORABLE
from sesamehall.core.managereffects import OfferToLead
from sesamehall.core.managereffects import ReadStream
from sesamehall.core.managereffects import ReportWave
from sesamehall.core.managereffects import StoreJob
from sesamehall.core.managereffects import StoreProgress
from sesamehall.core.managerevents import JobStored
from sesamehall.core.managerevents import ProgressStored
from sesamehall.core.managerevents import StoreOutcome
from sesamehall.core.managerevents import StreamRead
from sesamehall.core.managerevents import StreamUnread
from sesamehall.core.managerevents import WaveNotReported
from sesamehall.core.peercalls import RegisterNode
from sesamehall.core.work import CompactProgress
from sesamehall.core.work import Progress
from sesamehall.platform.records import encode_record
from sesamehall.platform.records import MAX_LOGGED_CHARS
from sesamehall.platform.records import RecordUnstorableError
from sesamehall.platform.serialexecutor import SerialExecutor
from sesamehall.platform.store import RecordsTruncatedError
from sesamehall.platform.store import STATUS_TOPIC
from sesamehall.platform.store import StoreClient
from sesamehall.platform.store import TOPIC_BY_STREAM
from sesamehall.platform.waves import encode_wave_status
from sesamehall.platform.writer import AppendResult
from sesamehall.platform.writer import LeaderWriter
from sesamehall.runtime.application import start_daemon_thread
from sesamehall.runtime.guarding import perform_and_post
from sesamehall.runtime.interpreter import now_ms

LOGGER = logging.getLogger("sesamehall")
CANCEL_KEY_SUFFIX = "/cancel"
CANDIDATE_KEY = "candidate"  # cannot be the identifier of a job
NODE_KEY_PREFIX = "node/"  # nor can keys that begin so
RETRY_DELAY_S = 0.05  # between two attempts to write
# After the last attempt, the leader decides whether to write its records
# again.
MAX_WRITE_ATTEMPTS = 3
MAX_BATCH_JOBS = 100  # jobs and cancel requests in one append
UNKNOWN_MS = -1  # sentinel: the read did not reach the end of the stream


class StoreEffectHandler:
    """Performs the effects that read or write the store."""

    def __init__(self, address: str, post_event: Callable[[Event], None]):
        """Start the threads.

        Args:
          address: "host:port" of the store.
          post_event: Queues an event for the interpreter.
        """
        self._store = StoreClient(address)
        self._fenced_writer = LeaderWriter(self._store)
        self._post_event = post_event
        self._job_queue: SimpleQueue[StoreJob] = SimpleQueue()
        self._read_executors_by_stream = {
            stream: SerialExecutor(f"read {stream.value}") for stream in Stream
        }
        self._write_executor = SerialExecutor("write progress")
        self._status_executor = SerialExecutor("write status")
        start_daemon_thread(self._write_jobs, "write jobs")

    def read(self, effect: ReadStream) -> None:
        """Read a stream; the result is posted as an event.

        Args:
          effect: The stream and the offset to read from.
        """
        read_executor = self._read_executors_by_stream[effect.stream]
        read_executor.submit(
            lambda: perform_and_post(self._read, effect, self._post_event)
        )

    def store_job(self, effect: StoreJob) -> None:
        """Store a job, in one append with others that are queued.

        Args:
          effect: The job or the cancel request.
        """
        self._job_queue.put(effect)

    def offer_to_lead(self, effect: OfferToLead) -> None:
        """Write a leadership offer to the stream of jobs, for the leader.

        Args:
          effect: The offer; it is not retried here, as the node repeats it
            later if it has no effect.
        """
        record = encode_record(StoredRecord(CANDIDATE_KEY, effect.candidate))
        self._write_executor.submit(
            lambda: self._store.append(TOPIC_BY_STREAM[Stream.JOBS], record)
        )

    def register_node(self, effect: RegisterNode) -> None:
        """Write this node's registration to the stream of jobs.

        Args:
          effect: The registration; it is not retried here, as the node
            repeats it until it reads it back.
        """
        key = NODE_KEY_PREFIX + effect.node.name
        record = encode_record(StoredRecord(key, effect.node))
        self._status_executor.submit(
            lambda: self._store.append(TOPIC_BY_STREAM[Stream.JOBS], record)
        )

    def store_progress(self, effect: StoreProgress) -> None:
        """Store a leader's records; the outcome is posted as an event.

        Args:
          effect: The records.
        """
        self._write_executor.submit(
            lambda: perform_and_post(
                self._store_progress, effect, self._post_event
            )
        )

    def report_wave(self, effect: ReportWave) -> None:
        """Write the status of a wave to the topic that operators read.

        A failure is posted as an event.

        Args:
          effect: The status.
        """
        self._status_executor.submit(
            lambda: perform_and_post(
                self._report_wave, effect, self._post_event
            )
        )

    def _read(self, effect: ReadStream) -> Event:
        sent_ms = now_ms()
        covers_all_keys = effect.from_offset < 0
        try:
            if covers_all_keys:
                result = self._store.read_newest(effect.stream)
            else:
                result = self._store.read(
                    effect.stream, effect.from_offset, effect.wait_ms
                )
        except RecordsTruncatedError as error:
            return StreamUnread(
                now_ms(), effect.stream, str(error), truncated=True
            )
        return StreamRead(
            at_ms=now_ms(),
            known_until_ms=_known_until_ms(sent_ms, effect, result),
            wall_ms=time.time_ns() // 1_000_000,
            stream=effect.stream,
            records=result.records,
            next_offset=result.next_offset,
            covers_all_keys=covers_all_keys,
        )

    def _store_progress(self, effect: StoreProgress) -> Event:
        body, unstorable_keys, held_keys = _encode_storable(effect.records)
        result = AppendResult(StoreOutcome.UNKNOWN, now_ms())
        attempts = 0
        for _ in range(MAX_WRITE_ATTEMPTS):
            attempts += 1
            result = self._fenced_writer.append(
                effect.epoch, effect.expected_end_offset, body
            )
            if result.outcome in (StoreOutcome.STORED, StoreOutcome.FENCED):
                break
            # A claim of the leader role is refused if the stream has
            # grown; it would be refused again.
            if (
                effect.expected_end_offset >= 0
                and result.outcome is StoreOutcome.REFUSED
            ):
                break
            time.sleep(RETRY_DELAY_S)
        return ProgressStored(
            at_ms=now_ms(),
            sent_ms=result.sent_ms,
            epoch=effect.epoch,
            outcome=result.outcome,
            unstorable_keys=unstorable_keys,
            attempts=attempts,
            held_keys=held_keys,
        )

    def _write_jobs(self):
        while True:
            effects = [self._job_queue.get()]
            while (
                not self._job_queue.empty() and len(effects) < MAX_BATCH_JOBS
            ):
                effects.append(self._job_queue.get())
            self._store_jobs(effects)

    def _store_jobs(self, effects: list[StoreJob]) -> None:
        """Store jobs together; one that cannot be stored is left out."""
        storable: list[StoreJob] = []
        body = b""
        for effect in effects:
            try:
                body += encode_record(_job_record(effect))
            except RecordUnstorableError as error:
                _log_unstorable(effect.value.job_id, error)
                self._post_job_stored(effect, StoreOutcome.UNSTORABLE)
            else:
                storable.append(effect)
        if not storable:
            return
        try:
            outcome = self._append_jobs(storable, body)
        except Exception:
            LOGGER.exception("failed to store jobs")
            outcome = StoreOutcome.UNKNOWN
        for effect in storable:
            self._post_job_stored(effect, outcome)

    def _post_job_stored(self, effect, outcome):
        self._post_event(JobStored(now_ms(), effect.call_id, outcome))

    def _append_jobs(
        self, effects: list[StoreJob], body: bytes
    ) -> StoreOutcome:
        """Retry the append until its outcome is known or its deadline passes.

        Its deadline is the earliest of the batch.  After an attempt of unknown
        outcome, the jobs may be stored although a later attempt fails; only a
        success makes the outcome known again.
        """
        deadline_ms = min(effect.not_after_ms for effect in effects)
        maybe_stored = False
        while True:
            outcome = self._store.append(TOPIC_BY_STREAM[Stream.JOBS], body)
            maybe_stored = maybe_stored or outcome is StoreOutcome.UNKNOWN
            final = outcome is StoreOutcome.STORED or not maybe_stored
            if final or now_ms() >= deadline_ms:
                break
            time.sleep(RETRY_DELAY_S)
        if outcome is not StoreOutcome.STORED and maybe_stored:
            return StoreOutcome.UNKNOWN
        return outcome

    def _report_wave(self, effect: ReportWave) -> Event | None:
        record = encode_wave_status(effect.status)
        outcome = self._store.append(STATUS_TOPIC, record)
        if outcome is StoreOutcome.STORED:
            return None
        time.sleep(RETRY_DELAY_S)
        return WaveNotReported(now_ms(), effect.status, outcome.value)


def _encode_storable(
    records: tuple[StoredRecord, ...],
) -> tuple[bytes, tuple[str, ...], tuple[str, ...]]:
    """Encode the records that can be stored.

    A worker's record says which ends are contained in the progress of jobs.
    If some progress cannot be stored, the workers' records are held back, and
    with them all other progress: a successor would count its failures again.

    Returns:
      The encoded records, the keys of those that cannot be stored, and the
      keys of those that are held back.
    """
    encoded: list[tuple[StoredRecord, bytes]] = []
    unstorable: list[StoredRecord] = []
    for record in records:
        try:
            encoded.append((record, encode_record(record)))
        except RecordUnstorableError as error:
            _log_unstorable(record.key, error)
            unstorable.append(record)
    holds = any(_is_progress(record) for record in unstorable)
    held_keys = tuple(
        record.key
        for record, _ in encoded
        if holds and (_is_progress(record) or _is_worker_record(record))
    )
    return (
        b"".join(
            data for record, data in encoded if record.key not in held_keys
        ),
        tuple(record.key for record in unstorable),
        held_keys,
    )


def _is_progress(record):
    match record.value:
        case Progress() | CompactProgress():
            return True
    return False


def _is_worker_record(record):
    match record.value:
        case LeasedWorker():
            return True
    return False


def _log_unstorable(key, error):
    LOGGER.warning(
        "%d %s key=%a reason=%s",
        RECORD_UNSTORABLE.number,
        RECORD_UNSTORABLE.name,
        key[:MAX_LOGGED_CHARS],
        error,
    )


def _known_until_ms(sent_ms, effect, result):
    """Return the latest time for which all records of the stream are known.

    All records in the stream at that time have been read, by this read or an
    earlier one.  A read that reached the end of the stream shows this for the
    time at which it was sent; without new records, also for the end of the
    time that the store waited for one.  Any other read shows nothing.
    """
    if not result.reached_end:
        return UNKNOWN_MS
    if result.records or effect.from_offset < 0:
        return sent_ms
    return min(sent_ms + effect.wait_ms, now_ms())


def _job_record(effect):
    match effect.value:
        case CancelAsked(job_id, team):
            # A key for each team: its request must not replace another's.
            suffix = (
                f"{CANCEL_KEY_SUFFIX}/{team}" if team else CANCEL_KEY_SUFFIX
            )
            return StoredRecord(job_id + suffix, effect.value)
    return StoredRecord(effect.value.job_id, effect.value)
