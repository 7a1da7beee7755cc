"""Tests of fast copies of frozen data classes.

A busy leader copies its state dozens of times per event, so the cost of a
copy must not grow with the number of fields.
"""

from dataclasses import fields
from dataclasses import FrozenInstanceError
import sys

import pytest

from sesamehall.core.data import EMPTY_MAP
from sesamehall.core.data import Node
from sesamehall.core.data import NodeKind
from sesamehall.core.fleet import WorkerEntry
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.state import Identity
from sesamehall.core.state import State
from sesamehall.core.work import JobPlan
from sesamehall.core.work import Progress
from sesamehall.core.work import Size
from sesamehall.core.work import StepPlan
from sesamehall.core.work import TaskPlace
from sesamehall.core.workstate import ActiveJob
from sesamehall.core.workstate import Run
from sesamehall.core.workstate import RunState
from sesamehall.core.workstate import Worker

MAX_OPCODES = 80  # bytecode instructions per copy, for any number of fields

PLACE = TaskPlace(0, 0, 0)
RUN = Run("t", "j", PLACE, 1, "w", "guild", Size(1, 1), RunState.STARTING, 1)
JOB = ActiveJob(
    JobPlan("j", "q", "guild", "spec", (StepPlan(1, Size(1, 1), 1),)),
    Progress("j"),
    1,
    2,
)
WORKER = Worker(WorkerEntry("w", "10.0.0.1:80", "a", "dc"))
STATE = State(Identity(Node("n", NodeKind.MANAGER, "dc", "a:1"), "n:1"))
MANAGER = ManagerState("edge-1")

COPIES = [
    (PLACE, {"index": 2}),
    (RUN, {"percent": 40, "load": 1.5}),
    (JOB, {"waiting": (PLACE,)}),
    (WORKER, {"used": Size(2, 2)}),
    (STATE, {"manager": MANAGER}),
    (MANAGER, {"runs_by_task": EMPTY_MAP.set("t", RUN), "ready": True}),
]
NAMES = [type(value).__name__ for value, _ in COPIES]


@pytest.mark.parametrize(("value", "changes"), COPIES, ids=NAMES)
def test_only_the_changed_fields_differ(value, changes):
    before = {item.name: getattr(value, item.name) for item in fields(value)}
    copy = replace(value, **changes)
    after = {item.name: getattr(copy, item.name) for item in fields(copy)}
    assert type(copy) is type(value)
    assert after == {**before, **changes}
    assert before == {name: getattr(value, name) for name in before}


@pytest.mark.parametrize(("value", "changes"), COPIES, ids=NAMES)
def test_copies_are_frozen_and_equal(value, changes):
    copy = replace(value, **changes)
    assert copy == replace(value, **changes)
    assert copy != value
    name = next(iter(changes))
    with pytest.raises(FrozenInstanceError):
        setattr(copy, name, None)


@pytest.mark.parametrize(("value", "changes"), COPIES, ids=NAMES)
def test_unknown_fields_are_refused(value, changes):
    with pytest.raises(KeyError):
        replace(value, nothing=1, **changes)


@pytest.mark.parametrize(("value", "changes"), COPIES[1:], ids=NAMES[1:])
def test_cost_does_not_grow_with_the_fields(value, changes):
    opcodes = []

    def trace(frame, event, argument):
        frame.f_trace_opcodes = True
        if event == "opcode":
            opcodes.append(frame.f_lasti)
        return trace

    replace(value, **changes)
    old = sys.gettrace()
    sys.settrace(trace)
    try:
        replace(value, **changes)
    finally:
        sys.settrace(old)
    assert len(opcodes) <= MAX_OPCODES
