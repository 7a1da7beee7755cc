"""Statistics of a process's event loop: how late events are handled, and why.

If events arrive faster than the process reduces them, they queue up and all of
its work is delayed.  The statistics cover a window of a second; their log line
shows the age of events when they were reduced and which kinds took the time.

The age of an event is the time since its `at_ms`, which a thread sets when it
creates the event.  Timers have age 0, since their event is created when it is
reduced.  If a thread waits for the CPU before it sets `at_ms`, this shows only
in the latency of responses to orders.
"""

from dataclasses import dataclass

from immutables import Map

from sesamehall.core.data import EMPTY_MAP
from sesamehall.core.effects import Log
from sesamehall.core.effects import log
from sesamehall.core.events import Event
from sesamehall.core.logevents import DECISIONS_TALLIED
from sesamehall.core.managerevents import RunAnswered
from sesamehall.core.managerevents import StopAnswered
from sesamehall.core.replacing import replace

WINDOW_MS = 1_000  # at most one log line per window
LATE_EVENT_MS = 250  # any node logs a window with an event of this age
MAX_KINDS_LOGGED = 4  # kinds of event that took the most time


@dataclass(frozen=True, slots=True)
class OrderLatency:
    """Latency of the response to a start or stop order.

    Attributes:
      queued_ms: From the issue of the order until a thread sent it.
      call_ms: From sending it until its response was read.
    """

    queued_ms: int
    call_ms: int


@dataclass(frozen=True, slots=True)
class ReducedEvent:
    """Measurements of an event that was reduced, including its effects.

    Attributes:
      kind: Name of the event's class, or of the timer's class if a timer
        fired.
      at_ms: Time at which the reduction began.
      age_ms: Time from the event's `at_ms` until then; 0 for a timer.
      queue_length: Events queued behind it.
      duration_us: Time to reduce it and to perform its effects.
      order_count: Start and stop orders among its effects.
      order_latency: Latency of the order that the event responds to, if any.
    """

    kind: str
    at_ms: int
    age_ms: int
    queue_length: int
    duration_us: int
    order_count: int = 0
    order_latency: OrderLatency | None = None


@dataclass(frozen=True)
class LoopStats:
    """Statistics of the events that were reduced within a window.

    Attributes:
      started_ms: Time at which the window began.
      event_count: Number of events.
      total_age_ms: Sum of the ages of the events.
      max_age_ms: Greatest age of an event.
      max_queue_length: Greatest number of queued events.
      busy_us: Time spent on the events.
      order_count: Start and stop orders to workers.
      busy_us_by_kind: Time spent by kind of event.
      response_count: Responses to such orders, timeouts included.
      max_order_queued_ms: Longest time that an order waited for a thread.
      total_call_ms: Sum of the times from sending an order to its response.
      max_call_ms: Longest of these times.
    """

    started_ms: int
    event_count: int = 0
    total_age_ms: int = 0
    max_age_ms: int = 0
    max_queue_length: int = 0
    busy_us: int = 0
    order_count: int = 0
    busy_us_by_kind: Map[str, int] = EMPTY_MAP
    response_count: int = 0
    max_order_queued_ms: int = 0
    total_call_ms: int = 0
    max_call_ms: int = 0


def order_latency(event: Event) -> OrderLatency | None:
    """Compute the latency of the order that an event responds to.

    Args:
      event: The event.
    Returns:
      The latency, or None if the event is no response to a start or stop
      order.
    """
    match event:
        case RunAnswered() | StopAnswered() if event.timing is not None:
            timing = event.timing
            return OrderLatency(
                queued_ms=timing.sent_ms - timing.issued_ms,
                call_ms=event.at_ms - timing.sent_ms,
            )
    return None


def add_event(stats: LoopStats, reduced: ReducedEvent) -> LoopStats:
    """Add an event to the statistics.

    Args:
      stats: The statistics of the window so far.
      reduced: Measurements of the event.
    Returns:
      The statistics including the event.
    """
    by_kind = stats.busy_us_by_kind
    kind_us = by_kind.get(reduced.kind, 0) + reduced.duration_us
    if reduced.order_latency is not None:
        stats = _add_latency(stats, reduced.order_latency)
    return replace(
        stats,
        event_count=stats.event_count + 1,
        total_age_ms=stats.total_age_ms + reduced.age_ms,
        max_age_ms=max(stats.max_age_ms, reduced.age_ms),
        max_queue_length=max(stats.max_queue_length, reduced.queue_length),
        busy_us=stats.busy_us + reduced.duration_us,
        order_count=stats.order_count + reduced.order_count,
        busy_us_by_kind=by_kind.set(reduced.kind, kind_us),
    )


def _add_latency(stats, latency):
    return replace(
        stats,
        response_count=stats.response_count + 1,
        max_order_queued_ms=max(stats.max_order_queued_ms, latency.queued_ms),
        total_call_ms=stats.total_call_ms + latency.call_ms,
        max_call_ms=max(stats.max_call_ms, latency.call_ms),
    )


def is_window_over(stats: LoopStats, at_ms: int) -> bool:
    """Check whether the window of the statistics has ended.

    Args:
      stats: The statistics.
      at_ms: Current time on the node's clock.
    Returns:
      True if the next event belongs to another window.
    """
    return at_ms - stats.started_ms >= WINDOW_MS


def stats_log_lines(stats: LoopStats, is_leader: bool) -> tuple[Log, ...]:
    """Build the log line of a window.

    Args:
      stats: The statistics of a complete window.
      is_leader: Whether the process sends orders to workers.
    Returns:
      One line if the process leads or an event was late, else none.
    """
    if not stats.event_count or not (
        is_leader or stats.max_age_ms >= LATE_EVENT_MS
    ):
        return ()
    by_kind = sorted(
        stats.busy_us_by_kind.items(), key=lambda item: (-item[1], item[0])
    )
    line = log(
        DECISIONS_TALLIED,
        events=stats.event_count,
        oldest_ms=stats.max_age_ms,
        mean_ms=stats.total_age_ms // stats.event_count,
        waiting=stats.max_queue_length,
        busy_ms=stats.busy_us // 1_000,
        orders=stats.order_count,
        order_wait_ms=stats.max_order_queued_ms,
        call_ms=stats.total_call_ms // max(stats.response_count, 1),
        longest_call_ms=stats.max_call_ms,
        kinds=",".join(
            f"{kind}:{kind_us // 1_000}"
            for kind, kind_us in by_kind[:MAX_KINDS_LOGGED]
        ),
    )
    return (line,)
