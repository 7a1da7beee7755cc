"""Tests of the tallies of a process's decisions.

Guards against a leader that is the bound without a line or metric saying so.
"""

import pytest

from sesamehall.core.effects import log
from sesamehall.core.events import Started
from sesamehall.core.logevents import DECISIONS_TALLIED
from sesamehall.core.managerevents import OrderTiming
from sesamehall.core.managerevents import RunAnswered
from sesamehall.core.managerevents import StopAnswered
from sesamehall.core.replacing import replace
from sesamehall.runtime.tallies import add_taken
from sesamehall.runtime.tallies import is_over
from sesamehall.runtime.tallies import line_of
from sesamehall.runtime.tallies import order_answer
from sesamehall.runtime.tallies import OrderAnswer
from sesamehall.runtime.tallies import Taken
from sesamehall.runtime.tallies import Tally

PROMPT = Taken("RunAnswered", 1_100, 2, 0, 800)
LATE = Taken("WorkerReported", 1_400, 300, 40, 2_500, orders=3)
QUICK_ANSWER = replace(PROMPT, order_answer=OrderAnswer(0, 3))
SLOW_ANSWER = replace(PROMPT, order_answer=OrderAnswer(70, 900))
LATE_LINE = log(
    DECISIONS_TALLIED,
    events=2,
    oldest_ms=300,
    mean_ms=151,
    waiting=40,
    busy_ms=3,
    orders=3,
    order_wait_ms=0,
    call_ms=0,
    longest_call_ms=0,
    kinds="WorkerReported:2,RunAnswered:0",
)
PROMPT_LINE = log(
    DECISIONS_TALLIED,
    events=1,
    oldest_ms=2,
    mean_ms=2,
    waiting=0,
    busy_ms=0,
    orders=0,
    order_wait_ms=0,
    call_ms=0,
    longest_call_ms=0,
    kinds="RunAnswered:0",
)
# A process whose threads lack the processor takes events at once, but late.
STARVED_LINE = log(
    DECISIONS_TALLIED,
    events=2,
    oldest_ms=2,
    mean_ms=2,
    waiting=0,
    busy_ms=1,
    orders=0,
    order_wait_ms=70,
    call_ms=451,
    longest_call_ms=900,
    kinds="RunAnswered:1",
)


@pytest.mark.parametrize(
    ("taken", "leads", "expected"),
    [
        ([], True, ()),
        ([PROMPT], False, ()),
        ([PROMPT], True, (PROMPT_LINE,)),
        ([PROMPT, LATE], False, (LATE_LINE,)),
        ([PROMPT, LATE], True, (LATE_LINE,)),
        ([QUICK_ANSWER, SLOW_ANSWER], True, (STARVED_LINE,)),
    ],
    ids=[
        "nothing taken",
        "a prompt follower",
        "a prompt leader",
        "a late follower",
        "a late leader",
        "a leader whose threads wait",
    ],
)
def test_line(taken, leads, expected):
    tally = Tally(1_000)
    for one in taken:
        tally = add_taken(tally, one)
    assert line_of(tally, leads) == expected


TIMING = OrderTiming(issued_ms=1_000, sent_ms=1_070)


@pytest.mark.parametrize(
    ("event", "expected"),
    [
        (
            RunAnswered(1_970, "w1", 1, "t", 1, None, timing=TIMING),
            OrderAnswer(70, 900),
        ),
        (
            StopAnswered(1_080, "w1", 1, "t", 1, None, TIMING),
            OrderAnswer(70, 10),
        ),
        (RunAnswered(1_970, "w1", 1, "t", 1, None), None),
        (Started(1_000), None),
    ],
    ids=["start", "stop", "timing not known", "no order"],
)
def test_time_of_an_answer(event, expected):
    assert order_answer(event) == expected


@pytest.mark.parametrize(
    ("at_ms", "expected"),
    [(1_000, False), (1_999, False), (2_000, True)],
)
def test_one_line_a_second(at_ms, expected):
    assert is_over(Tally(1_000), at_ms) is expected
