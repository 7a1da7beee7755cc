"""Tests of the statistics of the event loop.

Guards against a leader that is the bottleneck while no log line or metric
shows it.
"""

import pytest

from sesamehall.core.effects import log
from sesamehall.core.events import Started
from sesamehall.core.logevents import DECISIONS_TALLIED
from sesamehall.core.managerevents import OrderTiming
from sesamehall.core.managerevents import RunAnswered
from sesamehall.core.managerevents import StopAnswered
from sesamehall.core.replacing import replace
from sesamehall.runtime.tallies import add_event
from sesamehall.runtime.tallies import is_window_over
from sesamehall.runtime.tallies import LoopStats
from sesamehall.runtime.tallies import order_latency
from sesamehall.runtime.tallies import OrderLatency
from sesamehall.runtime.tallies import ReducedEvent
from sesamehall.runtime.tallies import stats_log_lines

PROMPT_EVENT = ReducedEvent("RunAnswered", 1_100, 2, 0, 800)
LATE_EVENT = ReducedEvent(
    "WorkerReported", 1_400, 300, 40, 2_500, order_count=3
)
FAST_RESPONSE = replace(PROMPT_EVENT, order_latency=OrderLatency(0, 3))
SLOW_RESPONSE = replace(PROMPT_EVENT, order_latency=OrderLatency(70, 900))
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
# If threads wait for the CPU, events are reduced promptly but queued late;
# only the latency of orders shows it.
STARVED_THREADS_LINE = log(
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
    ("events", "is_leader", "expected"),
    [
        ([], True, ()),
        ([PROMPT_EVENT], False, ()),
        ([PROMPT_EVENT], True, (PROMPT_LINE,)),
        ([PROMPT_EVENT, LATE_EVENT], False, (LATE_LINE,)),
        ([PROMPT_EVENT, LATE_EVENT], True, (LATE_LINE,)),
        ([FAST_RESPONSE, SLOW_RESPONSE], True, (STARVED_THREADS_LINE,)),
    ],
    ids=[
        "no event",
        "follower without late events",
        "leader without late events",
        "follower with a late event",
        "leader with a late event",
        "leader with starved threads",
    ],
)
def test_log_line_of_a_window(events, is_leader, expected):
    stats = LoopStats(1_000)
    for reduced in events:
        stats = add_event(stats, reduced)
    assert stats_log_lines(stats, is_leader) == expected


TIMING = OrderTiming(issued_ms=1_000, sent_ms=1_070)


@pytest.mark.parametrize(
    ("event", "expected"),
    [
        (
            RunAnswered(1_970, "w1", 1, "t", 1, None, timing=TIMING),
            OrderLatency(70, 900),
        ),
        (
            StopAnswered(1_080, "w1", 1, "t", 1, None, TIMING),
            OrderLatency(70, 10),
        ),
        (RunAnswered(1_970, "w1", 1, "t", 1, None), None),
        (Started(1_000), None),
    ],
    ids=["start", "stop", "unknown timing", "no order"],
)
def test_order_latency(event, expected):
    assert order_latency(event) == expected


@pytest.mark.parametrize(
    ("at_ms", "expected"),
    [(1_000, False), (1_999, False), (2_000, True)],
)
def test_window_lasts_one_second(at_ms, expected):
    assert is_window_over(LoopStats(1_000), at_ms) is expected
