"""Tests of the order of events and timers, and of events that raise.

Guards against a process that never catches up with its backlog: if a due timer
overtook earlier events, its work would run once per late event instead of once
for many.
"""

import pytest

from sesamehall.core.calls import Accepted
from sesamehall.core.data import Node
from sesamehall.core.data import NodeKind
from sesamehall.core.effects import Exit
from sesamehall.core.events import Started
from sesamehall.core.events import StopRequested
from sesamehall.core.events import TimerFired
from sesamehall.core.fleet import Stream
from sesamehall.core.jobtiming import MANAGER_TICK_MS
from sesamehall.core.managereffects import AnswerCall
from sesamehall.core.managereffects import ListMachines
from sesamehall.core.managereffects import ReadStream
from sesamehall.core.managereffects import RequestAdvice
from sesamehall.core.managereffects import StoreProgress
from sesamehall.core.managereffects import WatchWorker
from sesamehall.core.managerevents import AdviceGiven
from sesamehall.core.managerevents import AdviceNotGiven
from sesamehall.core.managerevents import MachinesListed
from sesamehall.core.managerevents import MachinesNotListed
from sesamehall.core.managerevents import ProgressStored
from sesamehall.core.managerevents import StoreOutcome
from sesamehall.core.managerevents import StreamRead
from sesamehall.core.managerevents import StreamUnread
from sesamehall.core.managerevents import WorkerNotReported
from sesamehall.core.managerevents import WorkerReported
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.state import Identity
from sesamehall.core.state import State
from sesamehall.core.step import Step
from sesamehall.core.timers import PlaceTimer
from sesamehall.runtime import interpreter
from sesamehall.runtime.interpreter import Interpreter
from sesamehall.runtime.interpreter import now_ms

BACKLOG_AGE_MS = 10_000


class EventLimitError(Exception):
    """The test has seen enough events."""


def process_backlog(ages_ms, count):
    """List the events that an interpreter with a backlog processes.

    Its first timer is due MANAGER_TICK_MS after its start, which was
    BACKLOG_AGE_MS ago; later timers are set relative to the current time.
    """
    node = Node("edge-1", NodeKind.MANAGER, "dc", "10.0.0.1:80")
    state = State(Identity(node, "edge-1:1"), manager=ManagerState("edge-1"))
    processed = []

    def record(event):
        if len(processed) == count:
            raise EventLimitError
        is_timer = isinstance(event, TimerFired)
        processed.append("timer" if is_timer else event.at_ms - start_ms)

    interpreter = Interpreter(state, lambda effect: None, record)
    start_ms = now_ms() - BACKLOG_AGE_MS
    interpreter.post_event(Started(start_ms))
    for age_ms in ages_ms:
        interpreter.post_event(
            StreamUnread(start_ms + age_ms, Stream.JOBS, "test", False)
        )
    with pytest.raises(EventLimitError):
        interpreter.run()
    return processed


@pytest.mark.parametrize(
    ("ages_ms", "expected"),
    [
        ([], [0, "timer"]),
        ([1, 2, 3], [0, 1, 2, 3, "timer"]),
        (
            [50, MANAGER_TICK_MS, MANAGER_TICK_MS + 1],
            [0, 50, MANAGER_TICK_MS, "timer", MANAGER_TICK_MS + 1],
        ),
        ([200, 300], [0, "timer", 200, 300]),
    ],
    ids=[
        "only a timer",
        "events before the timer",
        "events on both sides of the timer",
        "events after the timer",
    ],
)
def test_timers_do_not_overtake_earlier_events(ages_ms, expected):
    assert process_backlog(ages_ms, len(expected)) == expected


class FailingInterpreter:
    """An interpreter whose reducer raises on every event."""

    def __init__(self, monkeypatch):
        """Replace the reducer."""
        monkeypatch.setattr(interpreter, "reduce", self._fail)
        state = State(None, manager=ManagerState("edge-1"))
        self.interpreter = Interpreter(
            state, lambda effect: None, self._record
        )
        self.processed = []

    def _record(self, event):
        self.processed.append(event)
        if len(self.processed) == 2:
            raise EventLimitError

    def _fail(self, state, event):
        raise ValueError("test")

    def process_two(self, *events):
        """Post events and return the first two that are processed."""
        for event in events:
            self.interpreter.post_event(event)
        with pytest.raises(EventLimitError):
            self.interpreter.run()
        return self.processed


# Guards against a process that exits after an internal error: logging the
# error raised another exception.
def test_process_survives_an_event_that_raises(monkeypatch):
    events = [Started(1), Started(2)]
    assert FailingInterpreter(monkeypatch).process_two(*events) == events


REPORT = WorkerReported(1, 0, "w1", 3, 0, 0, (), (), True)
READ = StreamRead(1, 1, 0, Stream.JOBS, (), 2, False)


# Guards against a pool, a worker or a stream that is stuck until the process
# restarts: a call stayed in flight in the state when its event raised.
@pytest.mark.parametrize(
    ("event", "next_type"),
    [
        (TimerFired(1, PlaceTimer("a")), TimerFired),
        (REPORT, WorkerNotReported),
        (READ, StreamUnread),
        (ProgressStored(1, 0, 3, StoreOutcome.STORED), ProgressStored),
        (MachinesListed(1, 0, ()), MachinesNotListed),
        (AdviceGiven(1, 0, "s", (), (), 5), AdviceNotGiven),
    ],
    ids=[
        "timer",
        "report of a worker",
        "read of a log",
        "stored write",
        "list of machines",
        "advice",
    ],
)
def test_work_in_flight_continues_after_an_event_that_raises(
    event, next_type, monkeypatch
):
    _, next_event = FailingInterpreter(monkeypatch).process_two(event)
    assert isinstance(next_event, next_type)


# Guards against a process that exits because one effect raised: the state says
# that it is in flight, so its failure is posted like an answer.
@pytest.mark.parametrize(
    ("effect", "failure"),
    [
        (WatchWorker("w1", "h:1", 3, 0, -1, 0), WorkerNotReported),
        (ReadStream(Stream.JOBS, 0), StreamUnread),
        (StoreProgress(3, ()), ProgressStored),
        (ListMachines(), MachinesNotListed),
        (RequestAdvice("s", ()), AdviceNotGiven),
        (AnswerCall(1, Accepted()), None),
    ],
    ids=lambda value: getattr(value, "__name__", type(value).__name__),
)
def test_effect_that_raises_is_posted_as_failed(effect, failure, monkeypatch):
    processed = []

    def reduce_once(state, event):
        processed.append(event)
        if isinstance(event, Started):
            return Step(state, (effect,))
        return Step(state, (Exit(),))

    def perform(effect):
        if not isinstance(effect, Exit):
            raise RuntimeError("test")

    monkeypatch.setattr(interpreter, "reduce", reduce_once)
    state = State(None, manager=ManagerState("edge-1"))
    process = Interpreter(state, perform)
    process.post_event(Started(1))
    if failure is None:
        process.post_event(StopRequested(2))
    process.run()
    assert type(processed[1]) is (failure or StopRequested)
