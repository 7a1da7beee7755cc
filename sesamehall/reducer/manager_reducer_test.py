"""Tests of the graceful shutdown of a manager, and of its fencing."""

import pytest

from sesamehall.core.data import Node
from sesamehall.core.data import NodeKind
from sesamehall.core.effects import Exit
from sesamehall.core.events import StopRequested
from sesamehall.core.events import TimerFired
from sesamehall.core.fleet import Leader
from sesamehall.core.jobtiming import RESIGN_TIMEOUT_MS
from sesamehall.core.jobtiming import STOP_MIN_MS
from sesamehall.core.managereffects import StoreProgress
from sesamehall.core.managerevents import OrderRefusal
from sesamehall.core.managerevents import ProgressStored
from sesamehall.core.managerevents import RunAnswered
from sesamehall.core.managerevents import StopAnswered
from sesamehall.core.managerevents import StoreOutcome
from sesamehall.core.managerevents import WorkerNotReported
from sesamehall.core.replacing import replace
from sesamehall.core.state import Identity
from sesamehall.core.state import State
from sesamehall.core.timers import ManagerTimer
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.manager_reducer import reduce_manager


def build_state():
    """Build the state of the leader."""
    node = Node("edge-1", NodeKind.MANAGER, "dc", "10.0.0.9:80")
    leader = Leader("edge-1", 1)
    manager = build_leader(build_worker("w1"), leader=leader)
    return State(Identity(node, "edge-1/1"), manager=manager)


def reduce_events(state, *events):
    """Reduce events and return the state and the StoreProgress effects."""
    writes = []
    for event in events:
        step = reduce_manager(state, event)
        state = step.state
        writes += effects_of(step, StoreProgress)
    return state, writes


def is_resignation(store):
    """Check whether a write contains the leader's resignation."""
    leader = store.records[-1].value
    return isinstance(leader, Leader) and leader.resigned


STOP = StopRequested(NOW_MS)
STORED = ProgressStored(NOW_MS + 10, NOW_MS, 1, StoreOutcome.STORED)
UNANSWERED = ProgressStored(NOW_MS + 10, NOW_MS, 1, StoreOutcome.UNKNOWN)
TIMED_OUT = TimerFired(NOW_MS + RESIGN_TIMEOUT_MS, ManagerTimer())


@pytest.mark.parametrize(
    ("events", "leads", "writes"),
    [
        ([STOP], True, 1),
        ([STOP, STORED], False, 1),
        ([STOP, UNANSWERED], True, 2),
        ([STOP, UNANSWERED, STORED], False, 2),
        ([STOP, UNANSWERED, TIMED_OUT], False, 2),
    ],
    ids=["sent", "stored", "unanswered", "resent", "timed out"],
)
def test_term_ends_once_its_resignation_is_stored(events, leads, writes):
    state, stores = reduce_events(build_state(), *events)
    assert bool(state.manager.term.epoch) == leads
    assert len(stores) == writes
    assert all(map(is_resignation, stores))


def test_resignation_waits_for_the_write_in_flight():
    """The resignation must be the last record of the term."""
    state = build_state()
    term = replace(state.manager.term, write_in_flight=True)
    state = replace(state, manager=replace(state.manager, term=term))
    state, stores = reduce_events(state, STOP)
    assert not stores
    state, stores = reduce_events(state, STORED)
    assert [is_resignation(store) for store in stores] == [True]


@pytest.mark.parametrize(
    ("after_ms", "exits"), [(STOP_MIN_MS - 1, 0), (STOP_MIN_MS, 1)]
)
def test_process_exits_after_the_minimum_stop_time(after_ms, exits):
    state, _ = reduce_events(build_state(), STOP, STORED)
    tick = TimerFired(NOW_MS + after_ms, ManagerTimer())
    assert len(effects_of(reduce_manager(state, tick), Exit)) == exits


# Guards against a leader that goes on giving orders although a worker knows a
# newer one.
@pytest.mark.parametrize("epoch", [1, 2], ids=["this term", "another term"])
@pytest.mark.parametrize(
    "build_answer",
    [
        lambda epoch, fenced: RunAnswered(NOW_MS, "w1", epoch, "t", 1, fenced),
        lambda epoch, fenced: StopAnswered(
            NOW_MS, "w1", epoch, "t", 1, fenced
        ),
        lambda epoch, fenced: WorkerNotReported(NOW_MS, "w1", epoch, fenced),
    ],
    ids=["start", "stop", "watch"],
)
def test_fenced_answer_ends_its_term(build_answer, epoch):
    answer = build_answer(epoch, OrderRefusal.FENCED)
    state, _ = reduce_events(build_state(), answer)
    assert bool(state.manager.term.epoch) == (epoch != 1)
