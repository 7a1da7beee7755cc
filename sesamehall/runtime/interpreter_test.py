"""Tests of the order in which events and timers are taken, and of failures.

Guards against a process that falls behind for good: a timer that is due must
not overtake what has happened before it, else each late event has a round of
its own where one round would serve many.
"""

import pytest

from sesamehall.core.data import Node
from sesamehall.core.data import NodeKind
from sesamehall.core.events import Started
from sesamehall.core.events import TimerFired
from sesamehall.core.fleet import Stream
from sesamehall.core.jobtiming import MANAGER_TICK_MS
from sesamehall.core.managerevents import StreamRead
from sesamehall.core.managerevents import StreamUnread
from sesamehall.core.managerevents import WorkerNotReported
from sesamehall.core.managerevents import WorkerReported
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.state import Identity
from sesamehall.core.state import State
from sesamehall.core.timers import PlaceTimer
from sesamehall.runtime import interpreter
from sesamehall.runtime.interpreter import Interpreter
from sesamehall.runtime.interpreter import now_ms

BEHIND_MS = 10_000


class EnoughError(Exception):
    """As many events were taken as the test wants."""


def take(ages_ms, count):
    """List what an interpreter takes that is behind.

    Its first beat is due MANAGER_TICK_MS after its start, which is
    BEHIND_MS ago; the others are set by the clock.
    """
    node = Node("edge-1", NodeKind.MANAGER, "dc", "10.0.0.1:80")
    state = State(Identity(node, "edge-1:1"), manager=ManagerState("edge-1"))
    taken = []

    def record(event):
        if len(taken) == count:
            raise EnoughError
        is_timer = isinstance(event, TimerFired)
        taken.append("beat" if is_timer else event.at_ms - start_ms)

    interpreter = Interpreter(state, lambda effect: None, record)
    start_ms = now_ms() - BEHIND_MS
    interpreter.post(Started(start_ms))
    for age_ms in ages_ms:
        interpreter.post(
            StreamUnread(start_ms + age_ms, Stream.JOBS, "test", False)
        )
    with pytest.raises(EnoughError):
        interpreter.run()
    return taken


@pytest.mark.parametrize(
    ("ages_ms", "expected"),
    [
        ([], [0, "beat"]),
        ([1, 2, 3], [0, 1, 2, 3, "beat"]),
        (
            [50, MANAGER_TICK_MS, MANAGER_TICK_MS + 1],
            [0, 50, MANAGER_TICK_MS, "beat", MANAGER_TICK_MS + 1],
        ),
        ([200, 300], [0, "beat", 200, 300]),
    ],
    ids=[
        "only a timer",
        "events before the timer",
        "events on both sides of the timer",
        "events after the timer",
    ],
)
def test_order_of_events_and_timers(ages_ms, expected):
    assert take(ages_ms, len(expected)) == expected


class Failing:
    """An interpreter whose first event cannot be reduced."""

    def __init__(self, monkeypatch):
        """Let every event raise."""
        monkeypatch.setattr(interpreter, "reduce", self._fail)
        state = State(None, manager=ManagerState("edge-1"))
        self.interpreter = Interpreter(
            state, lambda effect: None, self._record
        )
        self.taken = []

    def _record(self, event):
        self.taken.append(event)
        if len(self.taken) == 2:
            raise EnoughError

    def _fail(self, state, event):
        raise ValueError("test")

    def take_two(self, *events):
        """List the first two events that are taken."""
        for event in events:
            self.interpreter.post(event)
        with pytest.raises(EnoughError):
            self.interpreter.run()
        return self.taken


# Guards against a process that ends by itself: the line that tells of an
# internal error raised one of its own.
def test_process_goes_on_after_an_event_that_raises(monkeypatch):
    events = [Started(1), Started(2)]
    assert Failing(monkeypatch).take_two(*events) == events


REPORT = WorkerReported(1, 0, "w1", 3, 0, 0, (), ())
READ = StreamRead(1, 1, 0, Stream.JOBS, (), 2, False)


# Guards against a pool, a worker or a log that stands still for as long as the
# process lives: what was under way stayed so when its event raised.
@pytest.mark.parametrize(
    ("event", "next_kind"),
    [
        (TimerFired(1, PlaceTimer("a")), TimerFired),
        (REPORT, WorkerNotReported),
        (READ, StreamUnread),
    ],
    ids=["timer", "report of a worker", "read of a log"],
)
def test_what_hangs_on_an_event_goes_on_though_it_raises(
    event, next_kind, monkeypatch
):
    _, following = Failing(monkeypatch).take_two(event)
    assert isinstance(following, next_kind)
