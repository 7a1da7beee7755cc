"""Carries out reads and writes of the store, a thread for each kind."""

from collections.abc import Callable
from queue import SimpleQueue
import time

from sesamehall.core.codes import PlatformError
from sesamehall.core.events import Event
from sesamehall.core.fleet import CancelAsked
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
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
from sesamehall.platform.serialexecutor import SerialExecutor
from sesamehall.platform.store import RecordsTruncatedError
from sesamehall.platform.store import STATUS_TOPIC
from sesamehall.platform.store import StoreClient
from sesamehall.platform.waves import wave_record
from sesamehall.platform.writer import LeaderWriter
from sesamehall.runtime.application import start_daemon_thread
from sesamehall.runtime.interpreter import now_ms

CANCEL_SUFFIX = "/cancel"
CANDIDATE_KEY = "candidate"  # no identifier of a job
RETRY_PAUSE_S = 0.05  # between two tries of a write
PROGRESS_TRIES = 3  # of a leader's write, before the leader decides anew
JOBS_MOST = 100  # jobs of one append
NOT_KNOWN_MS = -1  # for a log that holds more than was read


class StoreGate:
    """Reads and writes the product's logs."""

    def __init__(self, address: str, post: Callable[[Event], None]):
        """Begin the threads.

        Args:
          address: "host:port" of the store.
          post: Takes the events.
        """
        self._store = StoreClient(address)
        self._writer = LeaderWriter(self._store)
        self._post = post
        self._jobs: SimpleQueue[StoreJob] = SimpleQueue()
        self._lanes_by_stream = {
            stream: SerialExecutor(f"read {stream.value}") for stream in Stream
        }
        self._progress_lane = SerialExecutor("write progress")
        start_daemon_thread(self._write_jobs, "write jobs")

    def read(self, effect: ReadStream) -> None:
        """Read a log; the records come as an event.

        Args:
          effect: What to read.
        """
        lane = self._lanes_by_stream[effect.stream]
        lane.submit(lambda: self._read(effect))

    def store_job(self, effect: StoreJob) -> None:
        """Store a job, together with others that wait.

        Args:
          effect: The job.
        """
        self._jobs.put(effect)

    def offer_to_lead(self, effect: OfferToLead) -> None:
        """Write where the leader reads it that a node could replace it.

        Args:
          effect: The offer; it is repeated later if nothing comes of it.
        """
        candidate = effect.candidate
        record = StoredRecord(CANDIDATE_KEY, candidate)
        self._progress_lane.submit(
            lambda: self._store.append(Stream.JOBS, (record,))
        )

    def store_progress(self, effect: StoreProgress) -> None:
        """Store a leader's records.

        Args:
          effect: The records.
        """
        self._progress_lane.submit(lambda: self._store_progress(effect))

    def report_wave(self, effect: ReportWave) -> None:
        """Write how far a wave has come where operators read it.

        Args:
          effect: The status.
        """
        self._progress_lane.submit(lambda: self._report_wave(effect))

    def _read(self, effect):
        asked_ms = now_ms()
        whole = effect.from_offset < 0
        try:
            if whole:
                piece = self._store.read_newest(effect.stream)
            else:
                piece = self._store.read(
                    effect.stream, effect.from_offset, effect.wait_ms
                )
        except (PlatformError, KeyError, TypeError, ValueError) as error:
            forgotten = isinstance(error, RecordsTruncatedError)
            reason = f"{type(error).__name__}: {error}"
            self._post(
                StreamUnread(now_ms(), effect.stream, reason, forgotten)
            )
            return
        self._post(
            StreamRead(
                at_ms=now_ms(),
                known_until_ms=_known_ms(asked_ms, effect, piece),
                wall_ms=time.time_ns() // 1_000_000,
                stream=effect.stream,
                records=piece.records,
                next_offset=piece.next_offset,
                whole=whole,
            )
        )

    def _store_progress(self, effect):
        asked_ms = now_ms()
        outcome = StoreOutcome.UNKNOWN
        for _ in range(PROGRESS_TRIES):
            asked_ms = now_ms()
            outcome = self._writer.append(
                effect.epoch, effect.expected_end_offset, effect.records
            )
            if outcome in (StoreOutcome.STORED, StoreOutcome.FENCED):
                break
            if (
                effect.expected_end_offset >= 0
                and outcome is StoreOutcome.REFUSED
            ):
                break
            time.sleep(RETRY_PAUSE_S)
        self._post(ProgressStored(now_ms(), asked_ms, effect.epoch, outcome))

    def _write_jobs(self):
        while True:
            effects = [self._jobs.get()]
            while not self._jobs.empty() and len(effects) < JOBS_MOST:
                effects.append(self._jobs.get())
            self._store_jobs(effects)

    def _store_jobs(self, effects):
        """Append jobs until the outcome is known, or they are given up."""
        records = tuple(_job_record(effect) for effect in effects)
        ends_ms = min(effect.not_after_ms for effect in effects)
        unknown = False
        while True:
            outcome = self._store.append(Stream.JOBS, records)
            unknown = unknown or outcome is StoreOutcome.UNKNOWN
            settled = outcome is StoreOutcome.STORED or not unknown
            if settled or now_ms() >= ends_ms:
                break
            time.sleep(RETRY_PAUSE_S)
        if outcome is not StoreOutcome.STORED and unknown:
            outcome = StoreOutcome.UNKNOWN
        for effect in effects:
            self._post(JobStored(now_ms(), effect.call_id, outcome))

    def _report_wave(self, effect):
        record = wave_record(effect.status)
        for _ in range(PROGRESS_TRIES):
            if self._store.append_encoded(STATUS_TOPIC, record):
                return
            time.sleep(RETRY_PAUSE_S)


def _known_ms(asked_ms, effect, piece):
    """Tell when the log certainly held nothing newer.

    A read that waited in vain tells so for the end of its wait; one that was
    cut off tells nothing.
    """
    if not piece.reached_end:
        return NOT_KNOWN_MS
    if piece.records or effect.from_offset < 0:
        return asked_ms
    return min(asked_ms + effect.wait_ms, now_ms())


def _job_record(effect):
    match effect.value:
        case CancelAsked(job_id):
            return StoredRecord(job_id + CANCEL_SUFFIX, effect.value)
    return StoredRecord(effect.value.job_id, effect.value)
