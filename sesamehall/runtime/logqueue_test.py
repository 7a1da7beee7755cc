"""Tests that logging never blocks the interpreter."""

from dataclasses import dataclass
import io
import logging
from queue import Queue
from resource import getrusage
from resource import RUSAGE_THREAD
import time

import pytest

from sesamehall.runtime.logqueue import DroppingHandler
from sesamehall.runtime.logqueue import LineWriter
from sesamehall.runtime.logqueue import MAX_BATCH_LINES
from sesamehall.runtime.logqueue import MAX_LINES_PER_SECOND

FIXED_TIME_S = 7.5  # reading of a stopped clock


@dataclass(frozen=True, slots=True)
class EmitCost:
    """What emitting lines cost the calling thread.

    Attributes:
      busy_s: CPU time.
      waits: Number of voluntary context switches.
    """

    busy_s: float
    waits: int


def emit_lines(handler, count) -> EmitCost:
    """Emit lines and measure the cost, independent of other load."""
    began_s = time.thread_time()
    waits = getrusage(RUSAGE_THREAD).ru_nvcsw
    for number in range(count):
        record = logging.LogRecord(
            "x", 20, "", 0, f"line {number}", None, None
        )
        handler.emit(record)
    return EmitCost(
        time.thread_time() - began_s,
        getrusage(RUSAGE_THREAD).ru_nvcsw - waits,
    )


@pytest.mark.parametrize(
    ("size", "emitted", "queued", "dropped"),
    [
        (10, 5, 5, 0),
        (10, 200, 10, 190),
        (0, MAX_LINES_PER_SECOND + 7, None, 7),
    ],
    ids=["all queued", "no reader", "rate limit exceeded"],
)
def test_excess_lines_are_dropped_without_blocking(
    size, emitted, queued, dropped
):
    handler = DroppingHandler(Queue(size), clock=lambda: FIXED_TIME_S)
    cost = emit_lines(handler, emitted)
    assert cost.busy_s < 0.5
    assert cost.waits == 0
    assert handler.dropped == dropped
    assert queued is None or handler.queue.qsize() == queued


def test_rate_limit_resets_every_second():
    seconds = iter([7.0] * MAX_LINES_PER_SECOND + [7.9, 8.0])
    handler = DroppingHandler(Queue(), clock=lambda: next(seconds))
    emit_lines(handler, MAX_LINES_PER_SECOND + 1)
    assert handler.dropped == 1
    emit_lines(handler, 1)
    assert handler.dropped == 0


def test_dropped_lines_are_reported():
    handler = DroppingHandler(Queue(1))
    emit_lines(handler, 3)
    handler.queue.get()
    handler.queue.maxsize = 5
    emit_lines(handler, 1)
    report = handler.queue.get().getMessage()
    assert report == "910 log lines dropped lines=2"


@pytest.mark.parametrize("count", [0, 1, MAX_BATCH_LINES, MAX_BATCH_LINES + 3])
def test_queued_lines_are_written_in_order_on_stop(count):
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


def test_closed_stream_does_not_stop_the_writer():
    class ClosedStream(io.StringIO):
        def flush(self):
            raise BrokenPipeError

    writer = LineWriter(Queue(), ClosedStream())
    writer.start()
    for number in range(3):
        writer._queue.put(
            logging.LogRecord("x", 20, "", 0, "n=%d", (number,), None)
        )
    writer.stop()


def test_lines_are_written_in_batches():
    """Guards against a leader that calls write once per line."""

    class CountingStream(io.StringIO):
        flushes = 0

        def flush(self):
            self.flushes += 1

    stream = CountingStream()
    writer = LineWriter(Queue(), stream)
    for number in range(3 * MAX_BATCH_LINES):
        writer._queue.put(logging.LogRecord("x", 20, "", 0, "n", (), None))
    writer.start()
    writer.stop()
    assert stream.flushes <= 4
