"""Tests of ending silent workers by the list of machines."""

from immutables import Map
import pytest

from sesamehall.core.fleet import LeasedWorker
from sesamehall.core.fleet import Machine
from sesamehall.core.fleet import MachineState
from sesamehall.core.fleetstate import FleetState
from sesamehall.core.managereffects import StartRun
from sesamehall.core.managereffects import StoreProgress
from sesamehall.core.managerevents import MachinesListed
from sesamehall.core.replacing import replace
from sesamehall.reducer.jobs.queue_pools import pool_may_have_untracked_runs
from sesamehall.reducer.jobs.state_updates import put_worker
from sesamehall.reducer.jobs.storing import write_changed_records
from sesamehall.reducer.jobs.testing import activate_jobs
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.jobs.testing import place_all
from sesamehall.reducer.jobs.testing import task
from sesamehall.reducer.machines.fleet import apply_machine_list
from sesamehall.reducer.machines.incarnations import NEW_INCARNATION_LISTED_MS

UP = MachineState.UP
REPORTING = Machine("m1", "a", UP, "w1")
INHERITED = {
    "inherited": True,
    "contacted": False,
    "last_report_ms": -1,
    "unanswered_watches": 1,
    "lease_end_ms": NOW_MS + 3_000,
}


def apply_list(
    machines, earlier=(), sent_ms=NOW_MS, stored_machine="m2", **others
):
    """Apply a list of machines to a leader whose worker w2 is silent."""
    worker = build_worker("w2", **{**INHERITED, **others})
    fleet = FleetState(Map((machine.name, machine) for machine in earlier))
    leased = LeasedWorker("w2", "h:1", "a", 7, machine=stored_machine)
    manager = build_leader(
        build_worker("w1"),
        worker,
        fleet=fleet,
        leased_workers_by_id=Map(w2=leased),
    )
    manager = activate_jobs(manager, build_plan(), inherited=True)
    event = MachinesListed(NOW_MS, sent_ms, (REPORTING, *machines))
    return apply_machine_list(manager, event).state


@pytest.mark.parametrize(
    ("pattern", "machine", "terminated"),
    [
        ("another incarnation", Machine("m2", "b", UP, "w3"), True),
        ("moving", Machine("m2", "b", MachineState.MOVING), True),
        ("in maintenance", Machine("m2", "a", MachineState.MAINTENANCE), True),
        ("down, may still run", Machine("m2", "a", MachineState.DOWN), False),
        ("up, no worker listed", Machine("m2", "a", UP), False),
        ("on standby", Machine("m2", "spare", UP), True),
        ("down on standby", Machine("m2", "spare", MachineState.DOWN), False),
        ("same worker", Machine("m2", "a", UP, "w2"), False),
        (
            "down, same worker",
            Machine("m2", "a", MachineState.DOWN, "w2"),
            False,
        ),
    ],
    ids=lambda value: value if isinstance(value, str) else None,
)
def test_worker_that_no_machine_runs_is_terminated(
    pattern, machine, terminated
):
    """After a takeover, its tasks need not wait until its lease expires."""
    manager = apply_list([machine])
    assert manager.workers_by_id["w2"].terminated == terminated
    assert pool_may_have_untracked_runs(manager, "a") != terminated
    orders = effects_of(place_all(manager), StartRun)
    assert [order.worker_id for order in orders] == (
        ["w1"] if terminated else []
    )


BEFORE = Machine("m2", "a", UP, "w2")
MOVED = Machine("m2", "b", UP, "w3")
OTHER = Machine("m4", "b", UP, "w4")
BEGAN_MS = NOW_MS - 5_000


@pytest.mark.parametrize(
    ("earlier", "sent_ms", "others", "terminated"),
    [
        ([], BEGAN_MS + NEW_INCARNATION_LISTED_MS - 1, {}, False),
        ([], BEGAN_MS + NEW_INCARNATION_LISTED_MS, {}, True),
        ([BEFORE], BEGAN_MS - 1, {}, False),
        ([BEFORE], BEGAN_MS, {}, True),
        ([BEFORE], NOW_MS, {"unanswered_watches": 0}, False),
        ([BEFORE], NOW_MS, {"lease_recorded": False}, False),
        ([], NOW_MS, {"inherited": False, "stored_machine": ""}, False),
        ([], NOW_MS, {"inherited": False}, True),
        ([BEFORE], NOW_MS, {"inherited": False}, True),
        ([], NOW_MS, {"stored_machine": ""}, False),
        ([BEFORE], NOW_MS, {"stored_machine": ""}, True),
    ],
    ids=[
        "w2 may have started after the list",
        "inherited",
        "requested before the term",
        "listed earlier",
        "answers",
        "no runs started",
        "own worker, never listed",
        "own worker, not in the previous list but before",
        "own worker, listed earlier",
        "inherited, machine unknown",
        "inherited, machine unknown, listed earlier",
    ],
)
def test_list_must_be_newer_than_the_incarnation(
    earlier, sent_ms, others, terminated
):
    manager = apply_list([MOVED], earlier, sent_ms, **others)
    assert manager.workers_by_id["w2"].terminated == terminated


# Guards against tasks that run again after they were done (rule TWICE): a
# leader that is cut off from the store, and from a worker, sees in the list of
# machines that the worker has ended.  But its successor ended it, and knows
# what was done there; the leader would start the tasks again.
@pytest.mark.parametrize(
    ("confirmed_ago_ms", "gives_up"),
    [(0, True), (899, True), (900, False), (3_000, False)],
)
def test_list_ends_no_worker_without_confirmation(confirmed_ago_ms, gives_up):
    fleet = FleetState(Map(m2=BEFORE))
    manager = build_leader(build_worker("w2"), fleet=fleet)
    manager = place_all(activate_jobs(manager, build_plan())).state
    silent = replace(manager.workers_by_id["w2"], unanswered_watches=1)
    manager = put_worker(put_worker(manager, silent), build_worker("w1"))
    term = replace(manager.term, confirmed_ms=NOW_MS - confirmed_ago_ms)
    manager = replace(manager, term=term)
    event = MachinesListed(NOW_MS, NOW_MS - 50, (REPORTING, MOVED))
    step = apply_machine_list(manager, event)
    orders = effects_of(place_all(step.state), StartRun)
    assert [order.worker_id for order in orders] == (
        ["w1"] if gives_up else []
    )
    assert (task() in step.state.runs_by_task) != gives_up
    assert step.state.workers_by_id["w2"].terminated == gives_up


# Guards against two runs of a task: a list that lacked a machine was taken as
# a sign that its worker had ended.
@pytest.mark.parametrize(
    ("earlier", "machines", "others", "terminated"),
    [
        ([BEFORE], [], {"inherited": False}, False),
        ([BEFORE], [OTHER], {"inherited": False}, False),
        ([], [], {}, False),
        ([], [OTHER], {}, False),
        ([BEFORE], [OTHER, MOVED], {"inherited": False}, True),
        ([], [OTHER, MOVED], {}, True),
    ],
    ids=[
        "machine of an own worker missing",
        "machine of an own worker missing, another listed",
        "machine of an inherited worker missing",
        "machine of an inherited worker missing, another listed",
        "own worker replaced",
        "inherited worker replaced",
    ],
)
def test_worker_whose_machine_is_not_listed_may_still_run(
    earlier, machines, others, terminated
):
    manager = apply_list(machines, earlier, **others)
    assert manager.workers_by_id["w2"].terminated == terminated


# Guards against a successor that waits until a lease expires, as it does not
# know which machine a worker ran on.
@pytest.mark.parametrize(
    ("stored_machine", "written"),
    [("", [("w2", "m2")]), ("m2", []), ("m9", [("w2", "m2")])],
    ids=["unknown", "known", "changed"],
)
def test_machine_of_a_worker_is_stored_once_it_is_listed(
    stored_machine, written
):
    leased = LeasedWorker("w2", "h:1", "a", 7, machine=stored_machine)
    manager = build_leader(
        build_worker("w2"), leased_workers_by_id=Map(w2=leased)
    )
    event = MachinesListed(NOW_MS, NOW_MS, (REPORTING, BEFORE))
    manager = apply_machine_list(manager, event).state
    (store,) = effects_of(
        write_changed_records(manager, NOW_MS), StoreProgress
    )
    assert [
        (record.value.worker_id, record.value.machine)
        for record in store.records
        if isinstance(record.value, LeasedWorker)
    ] == written
