"""Tests that log lines never hold up a decision."""

import logging
from queue import Queue
import time

import pytest

from sesamehall.runtime.logqueue import DroppingHandler
from sesamehall.runtime.logqueue import LINES_A_SECOND


def write(handler, count):
    """Write lines, and tell how long that took."""
    began = time.monotonic()
    for number in range(count):
        record = logging.LogRecord(
            "x", 20, "", 0, f"line {number}", None, None
        )
        handler.emit(record)
    return time.monotonic() - began


@pytest.mark.parametrize(
    ("size", "written", "kept", "dropped"),
    [(10, 5, 5, 0), (10, 200, 10, 190), (0, LINES_A_SECOND + 7, None, 7)],
    ids=["all kept", "nobody reads", "too many in a second"],
)
def test_lines_are_dropped_not_waited_for(size, written, kept, dropped):
    handler = DroppingHandler(Queue(size))
    while time.monotonic() % 1 > 0.5:
        time.sleep(0.05)  # the lines of one test fall into one second
    assert write(handler, written) < 0.5
    assert handler.dropped == dropped
    assert kept is None or handler.queue.qsize() == kept


def test_dropped_lines_are_told_of():
    handler = DroppingHandler(Queue(1))
    write(handler, 3)
    handler.queue.get()
    handler.queue.maxsize = 5
    write(handler, 1)
    told = handler.queue.get().getMessage()
    assert told == "910 log lines dropped lines=2"
