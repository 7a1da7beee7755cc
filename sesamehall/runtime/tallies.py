"""Tallies of a process's decisions: how late events are taken, and why.

A process that decides slower than events come lets them wait, and everything
that it does is late by as much.  A tally covers a second, and its line tells
the age of events when they were taken and which kinds took the time.

An event's age begins when a thread has queued it.  Where threads wait for the
processor before that, only the time from an order to its answer shows it.
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

TALLY_MS = 1_000  # one line at most in this time
LATE_MS = 250  # events this old are told of on any node
KINDS_TOLD = 4  # kinds of event that took the most time


@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """How long the answer to an order took.

    Attributes:
      waited_ms: From the order until a thread sent it.
      call_ms: From then until its answer was read.
    """

    waited_ms: int
    call_ms: int


@dataclass(frozen=True, slots=True)
class Taken:
    """An event that was reduced, and its effects carried out.

    Attributes:
      kind: Name of its type; of a timer's event that of the timer.
      at_ms: The node's clock when it was taken.
      age_ms: How long it had waited by then.
      waiting: Events that waited behind it.
      took_us: Time to reduce it and to carry out its effects.
      orders: Orders to workers among its effects.
      order_answer: Of an event that answers an order.
    """

    kind: str
    at_ms: int
    age_ms: int
    waiting: int
    took_us: int
    orders: int = 0
    order_answer: OrderAnswer | None = None


@dataclass(frozen=True)
class Tally:
    """What was taken within a second.

    Attributes:
      since_ms: The node's clock when it began.
      events: Number of events.
      age_ms: Sum of their ages.
      oldest_ms: The greatest age.
      waiting: The most events that waited.
      took_us: Time that they took.
      orders: Orders to workers.
      took_us_by_kind: Time by kind of event.
      answers: Answers to orders.
      waited_ms: The longest wait of an order for a thread.
      call_ms: Sum of the times from sending an order to its answer.
      longest_call_ms: The longest of them.
    """

    since_ms: int
    events: int = 0
    age_ms: int = 0
    oldest_ms: int = 0
    waiting: int = 0
    took_us: int = 0
    orders: int = 0
    took_us_by_kind: Map[str, int] = EMPTY_MAP
    answers: int = 0
    waited_ms: int = 0
    call_ms: int = 0
    longest_call_ms: int = 0


def order_answer(event: Event) -> OrderAnswer | None:
    """Tell how long the answer to an order took.

    Args:
      event: What has happened.
    Returns:
      None for an event that answers no order.
    """
    match event:
        case RunAnswered() | StopAnswered() if event.timing is not None:
            timing = event.timing
            return OrderAnswer(
                waited_ms=timing.sent_ms - timing.issued_ms,
                call_ms=event.at_ms - timing.sent_ms,
            )
    return None


def add_taken(tally: Tally, taken: Taken) -> Tally:
    """Count an event.

    Args:
      tally: What was counted before.
      taken: The event.
    Returns:
      The tally with the event.
    """
    by_kind = tally.took_us_by_kind
    took_us = by_kind.get(taken.kind, 0) + taken.took_us
    if taken.order_answer is not None:
        tally = _add_answer(tally, taken.order_answer)
    return replace(
        tally,
        events=tally.events + 1,
        age_ms=tally.age_ms + taken.age_ms,
        oldest_ms=max(tally.oldest_ms, taken.age_ms),
        waiting=max(tally.waiting, taken.waiting),
        took_us=tally.took_us + taken.took_us,
        orders=tally.orders + taken.orders,
        took_us_by_kind=by_kind.set(taken.kind, took_us),
    )


def _add_answer(tally, answer):
    return replace(
        tally,
        answers=tally.answers + 1,
        waited_ms=max(tally.waited_ms, answer.waited_ms),
        call_ms=tally.call_ms + answer.call_ms,
        longest_call_ms=max(tally.longest_call_ms, answer.call_ms),
    )


def is_over(tally: Tally, at_ms: int) -> bool:
    """Tell whether a tally's time is over.

    Args:
      tally: The tally.
      at_ms: The node's clock.
    Returns:
      True when the next event belongs to another one.
    """
    return at_ms - tally.since_ms >= TALLY_MS


def line_of(tally: Tally, leads: bool) -> tuple[Log, ...]:
    """Tell of a tally where it matters.

    Args:
      tally: A tally that is over.
      leads: Whether the process gives orders to workers.
    Returns:
      One line while the process leads or events are late, else none.
    """
    if not tally.events or not (leads or tally.oldest_ms >= LATE_MS):
        return ()
    by_kind = sorted(
        tally.took_us_by_kind.items(), key=lambda item: (-item[1], item[0])
    )
    line = log(
        DECISIONS_TALLIED,
        events=tally.events,
        oldest_ms=tally.oldest_ms,
        mean_ms=tally.age_ms // tally.events,
        waiting=tally.waiting,
        busy_ms=tally.took_us // 1_000,
        orders=tally.orders,
        order_wait_ms=tally.waited_ms,
        call_ms=tally.call_ms // max(tally.answers, 1),
        longest_call_ms=tally.longest_call_ms,
        kinds=",".join(
            f"{kind}:{took_us // 1_000}"
            for kind, took_us in by_kind[:KINDS_TOLD]
        ),
    )
    return (line,)
