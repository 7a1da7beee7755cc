"""Tests that log lines never hold up a decision."""

from dataclasses import dataclass
import io
import logging
from queue import Queue
from resource import getrusage
from resource import RUSAGE_THREAD
import time

import pytest

from sesamehall.runtime.logqueue import DroppingHandler
from sesamehall.runtime.logqueue import LINES_A_SECOND
from sesamehall.runtime.logqueue import LINES_TOGETHER
from sesamehall.runtime.logqueue import LineWriter

SECOND = 7.5  # reading of a clock that stands still


@dataclass(frozen=True, slots=True)
class Cost:
    """What writing lines cost the thread that wrote them.

    Attributes:
      busy_s: Processor time.
      waits: How often it waited for anything of its own accord.
    """

    busy_s: float
    waits: int


def write(handler, count) -> Cost:
    """Write lines, and tell what that cost, whatever else is running."""
    began_s = time.thread_time()
    waits = getrusage(RUSAGE_THREAD).ru_nvcsw
    for number in range(count):
        record = logging.LogRecord(
            "x", 20, "", 0, f"line {number}", None, None
        )
        handler.emit(record)
    return Cost(
        time.thread_time() - began_s,
        getrusage(RUSAGE_THREAD).ru_nvcsw - waits,
    )


@pytest.mark.parametrize(
    ("size", "written", "kept", "dropped"),
    [(10, 5, 5, 0), (10, 200, 10, 190), (0, LINES_A_SECOND + 7, None, 7)],
    ids=["all kept", "nobody reads", "too many in a second"],
)
def test_lines_are_dropped_not_waited_for(size, written, kept, dropped):
    handler = DroppingHandler(Queue(size), clock=lambda: SECOND)
    cost = write(handler, written)
    assert cost.busy_s < 0.5
    assert cost.waits == 0
    assert handler.dropped == dropped
    assert kept is None or handler.queue.qsize() == kept


def test_lines_may_be_written_again_in_the_next_second():
    seconds = iter([7.0] * LINES_A_SECOND + [7.9, 8.0])
    handler = DroppingHandler(Queue(), clock=lambda: next(seconds))
    write(handler, LINES_A_SECOND + 1)
    assert handler.dropped == 1
    write(handler, 1)
    assert handler.dropped == 0


def test_dropped_lines_are_told_of():
    handler = DroppingHandler(Queue(1))
    write(handler, 3)
    handler.queue.get()
    handler.queue.maxsize = 5
    write(handler, 1)
    told = handler.queue.get().getMessage()
    assert told == "910 log lines dropped lines=2"


@pytest.mark.parametrize("count", [0, 1, LINES_TOGETHER, LINES_TOGETHER + 3])
def test_lines_are_written_in_order_before_the_end(count):
    stream = io.StringIO()
    writer = LineWriter(Queue(), stream)
    for number in range(count):
        record = logging.LogRecord("x", 20, "", 0, "n=%d", (number,), None)
        writer._queue.put(record)
    writer.start()
    writer.stop()
    lines = stream.getvalue().splitlines()
    assert [line.split()[-2:] for line in lines] == [
        ["INFO", f"n={number}"] for number in range(count)
    ]


def test_reader_that_has_gone_ends_nothing():
    class Gone(io.StringIO):
        def flush(self):
            raise BrokenPipeError

    writer = LineWriter(Queue(), Gone())
    writer.start()
    for number in range(3):
        writer._queue.put(
            logging.LogRecord("x", 20, "", 0, "n=%d", (number,), None)
        )
    writer.stop()


def test_lines_go_out_together():
    """Guards against a leader that spends a write on each of its lines."""

    class Counting(io.StringIO):
        flushes = 0

        def flush(self):
            self.flushes += 1

    stream = Counting()
    writer = LineWriter(Queue(), stream)
    for number in range(3 * LINES_TOGETHER):
        writer._queue.put(logging.LogRecord("x", 20, "", 0, "n", (), None))
    writer.start()
    writer.stop()
    assert stream.flushes <= 4
