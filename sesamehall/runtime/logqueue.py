"""Non-blocking logging through a bounded queue.

A thread writes the queued lines.  If the reader of standard output is slow, or
the rate limit is exceeded, lines are dropped and counted; the count is logged
with the next line.  A busy leader logs some thousand lines a second, so the
caller only queues the record; the thread formats lines and writes them in
batches.
"""

from collections.abc import Callable
import logging
from logging.handlers import QueueHandler
from queue import Empty
from queue import Full
from queue import Queue
import sys
import threading
import time
from typing import TextIO

from sesamehall.core.logevents import LOG_LINES_DROPPED

MAX_QUEUED_LINES = 4_096
MAX_LINES_PER_SECOND = 3_000  # more than the busiest leader logs
MAX_BATCH_LINES = 200  # written with one call
LINE_FORMAT = "%(asctime)s %(levelname)s %(message)s"


class DroppingHandler(QueueHandler):
    """Queues records, or drops them if there are too many.

    Attributes:
      dropped: Lines dropped since the last report of dropped lines.
    """

    def __init__(
        self, queue: Queue, clock: Callable[[], float] = time.monotonic
    ):
        """Create the handler.

        Args:
          queue: A bounded queue.
          clock: Returns monotonic time in seconds.
        """
        super().__init__(queue)
        self._clock = clock
        self.dropped = 0
        self._second = 0
        self._lines_in_second = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Leave the formatting of a record to the writer thread.

        Args:
          record: The record; its arguments must not change any more.
        Returns:
          The same record.
        """
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record, unless the queue is full or the rate limit is hit.

        Args:
          record: The record.
        """
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._lines_in_second = 0
        self._lines_in_second += 1
        if self._lines_in_second > MAX_LINES_PER_SECOND:
            self.dropped += 1
            return
        try:
            if self.dropped:
                self.queue.put_nowait(self._dropped_lines_record(record))
                self.dropped = 0
            self.queue.put_nowait(record)
        except Full:
            self.dropped += 1

    def _dropped_lines_record(self, record):
        message = f"{LOG_LINES_DROPPED.number} {LOG_LINES_DROPPED.name}"
        return logging.LogRecord(
            record.name,
            LOG_LINES_DROPPED.level,
            record.pathname,
            record.lineno,
            f"{message} lines={self.dropped}",
            None,
            None,
        )


class LineWriter:
    """A thread that writes the queued records."""

    def __init__(self, queue: Queue, stream: TextIO):
        """Create the thread.

        Args:
          queue: The records; None stops the thread.
          stream: Where to write the lines.
        """
        self._queue = queue
        self._stream = stream
        self._formatter = logging.Formatter(LINE_FORMAT)
        self._thread = threading.Thread(
            target=self._run, name="write lines", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Write the queued records and stop the thread."""
        self._queue.put(None)
        self._thread.join()

    def _run(self):
        running = True
        while running:
            records = self._next_batch()
            running = None not in records
            self._write(records)

    def _next_batch(self):
        """Wait for a record and take those that are queued behind it."""
        records = [self._queue.get()]
        while len(records) < MAX_BATCH_LINES and records[-1] is not None:
            try:
                records.append(self._queue.get_nowait())
            except Empty:
                break
        return records

    def _write(self, records):
        lines = [
            f"{self._formatter.format(record)}\n"
            for record in records
            if record is not None
        ]
        try:
            self._stream.write("".join(lines))
            self._stream.flush()
        except OSError:
            pass  # the stream is closed, so the error cannot be logged


def set_up_queued_logging(stream: TextIO = sys.stdout) -> LineWriter:
    """Send log lines to a stream through a queue.

    Args:
      stream: Where to write the lines.
    Returns:
      The writer thread; stopping it flushes the queue.
    """
    _omit_unused_fields()
    queue: Queue = Queue(MAX_QUEUED_LINES)
    root = logging.getLogger()
    root.setLevel(logging.INFO)
    root.addHandler(DroppingHandler(queue))
    writer = LineWriter(queue, stream)
    writer.start()
    return writer


def _omit_unused_fields():
    """Skip collecting record fields that LINE_FORMAT does not use."""
    logging._srcfile = None
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
