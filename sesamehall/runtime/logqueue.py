"""Log lines that never hold up a decision.

Lines wait in a bounded queue for a thread that writes them.  When whoever
reads standard output is slow, or when there are more lines than the bound
allows, lines are dropped and counted; the count is written with the next.
"""

import logging
from logging.handlers import QueueHandler
from logging.handlers import QueueListener
from queue import Full
from queue import Queue
import sys
import time
from typing import TextIO

from sesamehall.core.logevents import LINES_DROPPED

QUEUE_MOST = 4_096  # lines that wait to be written
LINES_A_SECOND = 3_000  # more than the busiest leader writes
LINE_FORMAT = "%(asctime)s %(levelname)s %(message)s"


class DroppingHandler(QueueHandler):
    """Puts lines into the queue, or drops them.

    Attributes:
      dropped: Lines dropped since the latest that was told of.
    """

    def __init__(self, queue: Queue):
        """Prepare the handler.

        Args:
          queue: A bounded queue.
        """
        super().__init__(queue)
        self.dropped = 0
        self._second = 0
        self._lines = 0

    def enqueue(self, record: logging.LogRecord) -> None:
        """Put a line into the queue, unless it is full or it is too many.

        Args:
          record: The line.
        """
        second = int(time.monotonic())
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
        message = f"{LINES_DROPPED.number} {LINES_DROPPED.name}"
        return logging.LogRecord(
            record.name,
            LINES_DROPPED.level,
            record.pathname,
            record.lineno,
            f"{message} lines={self.dropped}",
            None,
            None,
        )


def set_up_queued_logging(stream: TextIO = sys.stdout) -> QueueListener:
    """Send log lines to a stream by way of a queue.

    Args:
      stream: Where the lines go.
    Returns:
      The thread that writes; stopping it writes what still waits.
    """
    queue: Queue = Queue(QUEUE_MOST)
    writer = logging.StreamHandler(stream)
    writer.setFormatter(logging.Formatter(LINE_FORMAT))
    root = logging.getLogger()
    root.setLevel(logging.INFO)
    root.addHandler(DroppingHandler(queue))
    listener = QueueListener(queue, writer)
    listener.start()
    return listener
