"""Log lines that never hold up a decision.

Lines wait in a bounded queue for a thread that writes them.  When whoever
reads standard output is slow, or when there are more lines than the bound
allows, lines are dropped and counted; the count is written with the next.
A busy leader writes some thousand lines a second, so a line costs whoever
writes it no more than its place in the queue, and lines go out together.
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

QUEUE_MOST = 4_096  # lines that wait to be written
LINES_A_SECOND = 3_000  # more than the busiest leader writes
LINES_TOGETHER = 200  # written at once, where so many wait
LINE_FORMAT = "%(asctime)s %(levelname)s %(message)s"


class DroppingHandler(QueueHandler):
    """Puts lines into the queue, or drops them.

    Attributes:
      dropped: Lines dropped since the latest that was told of.
    """

    def __init__(
        self, queue: Queue, clock: Callable[[], float] = time.monotonic
    ):
        """Prepare the handler.

        Args:
          queue: A bounded queue.
          clock: Reads a steady clock, in seconds.
        """
        super().__init__(queue)
        self._clock = clock
        self.dropped = 0
        self._second = 0
        self._lines = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Leave a line to be formatted by the thread that writes it.

        Args:
          record: The line, whose arguments do not change.
        Returns:
          The same.
        """
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Put a line into the queue, unless it is full or it is too many.

        Args:
          record: The line.
        """
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._lines = 0
        self._lines += 1
        if self._lines > LINES_A_SECOND:
            self.dropped += 1
            return
        try:
            if self.dropped:
                self.queue.put_nowait(self._tell_dropped(record))
                self.dropped = 0
            self.queue.put_nowait(record)
        except Full:
            self.dropped += 1

    def _tell_dropped(self, record):
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
    """A thread that writes the lines of a queue."""

    def __init__(self, queue: Queue, stream: TextIO):
        """Prepare the thread.

        Args:
          queue: The lines; None ends the thread.
          stream: Where they go.
        """
        self._queue = queue
        self._stream = stream
        self._formatter = logging.Formatter(LINE_FORMAT)
        self._thread = threading.Thread(
            target=self._run, name="write lines", daemon=True
        )

    def start(self) -> None:
        """Begin to write."""
        self._thread.start()

    def stop(self) -> None:
        """Write what still waits, and end."""
        self._queue.put(None)
        self._thread.join()

    def _run(self):
        going_on = True
        while going_on:
            records = self._take()
            going_on = None not in records
            self._write(records)

    def _take(self):
        """Wait for a line, and take those that wait with it."""
        records = [self._queue.get()]
        while len(records) < LINES_TOGETHER and records[-1] is not None:
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
            pass  # nobody reads any more; there is no other place to say so


def set_up_queued_logging(stream: TextIO = sys.stdout) -> LineWriter:
    """Send log lines to a stream by way of a queue.

    Args:
      stream: Where the lines go.
    Returns:
      The thread that writes; stopping it writes what still waits.
    """
    _collect_little()
    queue: Queue = Queue(QUEUE_MOST)
    root = logging.getLogger()
    root.setLevel(logging.INFO)
    root.addHandler(DroppingHandler(queue))
    writer = LineWriter(queue, stream)
    writer.start()
    return writer


def _collect_little():
    """Have lines carry only what is written of them."""
    logging._srcfile = None
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
