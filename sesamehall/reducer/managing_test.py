"""Tests of a manager's planned stop."""

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
from sesamehall.core.managerevents import ProgressStored
from sesamehall.core.managerevents import StoreOutcome
from sesamehall.core.replacing import replace
from sesamehall.core.state import Identity
from sesamehall.core.state import State
from sesamehall.core.timers import ManagerTimer
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.managing import reduce_manager


def build_state():
    """Build the state of a node that leads."""
    node = Node("edge-1", NodeKind.MANAGER, "dc", "10.0.0.9:80")
    leader = Leader("edge-1", 1)
    manager = build_leader(build_worker("w1"), leader=leader)
    return State(Identity(node, "edge-1/1"), manager=manager)


def fold(state, *events):
    """Reduce events; give the state and the records that were written."""
    writes = []
    for event in events:
        step = reduce_manager(state, event)
        state = step.state
        writes += effects_of(step, StoreProgress)
    return state, writes


def resigns(store):
    """Tell whether a write says that the leader gives the role up."""
    leader = store.records[-1].value
    return isinstance(leader, Leader) and leader.resigned


STOP = StopRequested(NOW_MS)
STORED = ProgressStored(NOW_MS + 10, NOW_MS, 1, StoreOutcome.STORED)
LOST = ProgressStored(NOW_MS + 10, NOW_MS, 1, StoreOutcome.UNKNOWN)
LATER = TimerFired(NOW_MS + RESIGN_TIMEOUT_MS, ManagerTimer())


@pytest.mark.parametrize(
    ("events", "leads", "writes"),
    [
        ([STOP], True, 1),
        ([STOP, STORED], False, 1),
        ([STOP, LOST], True, 2),
        ([STOP, LOST, STORED], False, 2),
        ([STOP, LOST, LATER], False, 2),
    ],
    ids=["sent", "stored", "lost", "sent again", "given up"],
)
def test_term_ends_with_its_resignation(events, leads, writes):
    state, stores = fold(build_state(), *events)
    assert bool(state.manager.term.epoch) == leads
    assert len(stores) == writes
    assert all(map(resigns, stores))


def test_write_under_way_comes_first():
    """The resignation must be the last record of the term."""
    state = build_state()
    term = replace(state.manager.term, write_in_flight=True)
    state = replace(state, manager=replace(state.manager, term=term))
    state, stores = fold(state, STOP)
    assert not stores
    state, stores = fold(state, STORED)
    assert [resigns(store) for store in stores] == [True]


@pytest.mark.parametrize(
    ("after_ms", "exits"), [(STOP_MIN_MS - 1, 0), (STOP_MIN_MS, 1)]
)
def test_process_ends_once_callers_have_left(after_ms, exits):
    state, _ = fold(build_state(), STOP, STORED)
    beat = TimerFired(NOW_MS + after_ms, ManagerTimer())
    assert len(effects_of(reduce_manager(state, beat), Exit)) == exits
