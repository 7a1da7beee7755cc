"""Tests of what the list of machines tells of silent workers."""

from immutables import Map
import pytest

from sesamehall.core.fleet import Machine
from sesamehall.core.fleet import MachineState
from sesamehall.core.fleetstate import FleetState
from sesamehall.core.managereffects import StartRun
from sesamehall.core.managerevents import MachinesListed
from sesamehall.reducer.jobs.queueing import pool_may_have_untracked_runs
from sesamehall.reducer.jobs.testing import activate_jobs
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.jobs.testing import place_all
from sesamehall.reducer.machines.fleet import take_machines
from sesamehall.reducer.machines.lives import NEW_LIFE_MS

UP = MachineState.UP
HEARD = Machine("m1", "a", UP, "w1")
INHERITED = {
    "inherited": True,
    "contacted": False,
    "last_report_ms": -1,
    "unanswered_watches": 1,
    "lease_end_ms": NOW_MS + 3_000,
}


def listed(machines, earlier=(), asked_ms=NOW_MS, **others):
    """Let a leader with an unreached worker w2 read a list of machines."""
    worker = build_worker("w2", **{**INHERITED, **others})
    fleet = FleetState(Map((one.name, one) for one in earlier))
    manager = build_leader(build_worker("w1"), worker, fleet=fleet)
    manager = activate_jobs(manager, build_plan(), inherited=True)
    event = MachinesListed(NOW_MS, asked_ms, (HEARD, *machines))
    return take_machines(manager, event).state


@pytest.mark.parametrize(
    ("pattern", "machine", "over"),
    [
        ("another life", Machine("m2", "b", UP, "w3"), True),
        ("moves", Machine("m2", "b", MachineState.MOVING), True),
        ("maintained", Machine("m2", "a", MachineState.MAINTENANCE), True),
        ("down, may run on", Machine("m2", "a", MachineState.DOWN), False),
        ("up, without a life", Machine("m2", "a", UP), False),
        ("switched off", Machine("m2", "spare", UP), True),
        ("down on standby", Machine("m2", "spare", MachineState.DOWN), False),
        ("still its life", Machine("m2", "a", UP, "w2"), False),
        ("down, its life", Machine("m2", "a", MachineState.DOWN, "w2"), False),
    ],
    ids=lambda value: value if isinstance(value, str) else None,
)
def test_life_that_no_machine_has(pattern, machine, over):
    """After a takeover inherited tasks need not wait for its lease."""
    manager = listed([machine])
    assert manager.workers_by_id["w2"].terminated == over
    assert pool_may_have_untracked_runs(manager, "a") != over
    orders = effects_of(place_all(manager), StartRun)
    assert [order.worker_id for order in orders] == (["w1"] if over else [])


BEFORE = Machine("m2", "a", UP, "w2")
MOVED = Machine("m2", "b", UP, "w3")
BEGAN_MS = NOW_MS - 5_000


@pytest.mark.parametrize(
    ("earlier", "asked_ms", "others", "over"),
    [
        ([], BEGAN_MS + NEW_LIFE_MS - 1, {}, False),
        ([], BEGAN_MS + NEW_LIFE_MS, {}, True),
        ([BEFORE], BEGAN_MS - 1, {}, False),
        ([BEFORE], BEGAN_MS, {}, True),
        ([BEFORE], NOW_MS, {"unanswered_watches": 0}, False),
        ([BEFORE], NOW_MS, {"lease_recorded": False}, False),
        ([], NOW_MS, {"inherited": False}, False),
        ([BEFORE], NOW_MS, {"inherited": False}, True),
    ],
    ids=[
        "may have begun after the list",
        "inherited",
        "asked before the term",
        "listed earlier",
        "answers",
        "nothing started",
        "never listed yet",
        "own, listed earlier",
    ],
)
def test_list_must_be_newer_than_the_life(earlier, asked_ms, others, over):
    manager = listed([MOVED], earlier, asked_ms, **others)
    assert manager.workers_by_id["w2"].terminated == over
