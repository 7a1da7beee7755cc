"""Tests of orders for machines: moves, waves, and changes of leader."""

from immutables import Map
import pytest

from sesamehall.core.fleet import Machine
from sesamehall.core.fleet import MachineState
from sesamehall.core.fleetstate import FleetState
from sesamehall.core.fleetstate import MachineOrder
from sesamehall.core.fleetstate import PendingOrder
from sesamehall.core.fleetstate import WaveProgress
from sesamehall.core.fleettiming import MACHINE_ORDER_CONFIRMED_MS
from sesamehall.core.fleettiming import PEAK_HOLD_MS
from sesamehall.core.managereffects import MaintainMachine
from sesamehall.core.managereffects import MoveMachine
from sesamehall.core.managereffects import ReportWave
from sesamehall.core.managereffects import StoreProgress
from sesamehall.core.managerevents import MachineAnswered
from sesamehall.core.managerevents import MachinesListed
from sesamehall.core.managerstate import Term
from sesamehall.core.manifest import Wave
from sesamehall.core.replacing import replace
from sesamehall.core.workstate import Arrivals
from sesamehall.reducer.jobs.state_updates import put_worker
from sesamehall.reducer.jobs.storing import write_progress
from sesamehall.reducer.jobs.testing import activate_jobs
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_step
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.jobs.testing import OTHER_JOB_ID
from sesamehall.reducer.jobs.testing import place_all
from sesamehall.reducer.jobs.testing import SMALL
from sesamehall.reducer.machines.fleet import review_fleet
from sesamehall.reducer.machines.fleet import take_machine_answer
from sesamehall.reducer.machines.fleet import take_machines

UP = MachineState.UP
IN_POOL = tuple(Machine(f"m{n}", "a", UP, f"w{n}") for n in range(1, 5))
PARKED = tuple(Machine(f"p{n}", "spare", UP) for n in range(1, 4))


def build_fleet(machines, plans=(), **fleet):
    """Build a leader that has listed machines, with a worker on each."""
    workers = [
        build_worker(machine.worker_id)
        for machine in machines
        if machine.worker_id
    ]
    fields = {
        "machines_by_name": Map((one.name, one) for one in machines),
        "listed_ms": NOW_MS,
        **fleet,
    }
    manager = build_leader(
        *workers,
        fleet=FleetState(**fields),
        arrivals_by_queue=Map(quotes=Arrivals()),
    )
    return place_all(activate_jobs(manager, *plans)).state


def store_orders(manager):
    """Let what was decided be stored."""
    orders = Map(
        (name, replace(order, stored=True))
        for name, order in manager.fleet.orders_by_machine.items()
    )
    fleet = replace(manager.fleet, orders_by_machine=orders)
    return replace(manager, fleet=fleet)


def moves_of(manager, at_ms=NOW_MS):
    """Decide moves, store them, and list those that are sent."""
    manager = review_fleet(manager, at_ms).state
    step = review_fleet(store_orders(manager), at_ms)
    return sorted(
        (effect.machine, effect.pool)
        for effect in effects_of(step, MoveMachine)
    )


WIDE = build_plan(build_step(30, SMALL))
BUSY = build_plan(build_step(4, long_running=True, max_per_worker=1))
PASSING = build_plan(build_step(4, max_per_worker=1), job_id=OTHER_JOB_ID)
APART = build_plan(build_step(2, long_running=True, max_per_worker=1))


@pytest.mark.parametrize(
    ("machines", "plans", "expected"),
    [
        (IN_POOL, [], [("m1", "spare"), ("m2", "spare"), ("m3", "spare")]),
        (PARKED, [], []),
        (
            IN_POOL[:1] + PARKED,
            [WIDE],
            [("p1", "a"), ("p2", "a"), ("p3", "a")],
        ),
        (IN_POOL[:2], [APART], []),
    ],
    ids=[
        "idle ones are parked",
        "parked stay",
        "surge",
        "in use stay",
    ],
)
def test_moves(machines, plans, expected):
    assert moves_of(build_fleet(machines, plans)) == expected


@pytest.mark.parametrize(
    ("arrivals", "moves"), [(Map(), 0), (Map(quotes=Arrivals()), 3)]
)
def test_machines_stay_until_the_first_job(arrivals, moves):
    """Nobody knows yet which pool will need them."""
    manager = replace(build_fleet(IN_POOL), arrivals_by_queue=arrivals)
    assert len(moves_of(manager)) == moves
    later = review_fleet(manager, NOW_MS).state
    later = replace(later, arrivals_by_queue=Map(quotes=Arrivals()))
    at_ms = NOW_MS + PEAK_HOLD_MS
    term = replace(later.term, confirmed_ms=at_ms)
    assert len(moves_of(replace(later, term=term), at_ms)) == 3


def test_order_is_stored_before_it_is_sent():
    step = review_fleet(build_fleet(IN_POOL), NOW_MS)
    assert not effects_of(step, MoveMachine)
    again = review_fleet(step.state, NOW_MS)
    assert not effects_of(again, MoveMachine)
    (store,) = effects_of(write_progress(again.state), StoreProgress)
    names = [
        record.value.own
        for record in store.records
        if record.key == "machines"
    ]
    assert names == [("m1", "m2", "m3")]


@pytest.mark.parametrize(
    ("inherited", "term_ms", "sent"),
    [((), 0, 3), (("m1", "m2"), 0, 2), (("m1", "m2"), 3_000, 3)],
    ids=["none", "may be ordered by another", "waited long enough"],
)
def test_new_leader_leaves_ordered_machines_alone(inherited, term_ms, sent):
    manager = build_fleet(IN_POOL, inherited=inherited)
    term = Term(epoch=2, began_ms=NOW_MS - term_ms, confirmed_ms=NOW_MS)
    assert len(moves_of(replace(manager, term=term))) == sent


@pytest.mark.parametrize(("confirmed_ago_ms", "sent"), [(999, 3), (1_000, 0)])
def test_no_order_without_confirmation(confirmed_ago_ms, sent):
    manager = build_fleet(IN_POOL)
    confirmed_ms = NOW_MS - confirmed_ago_ms
    term = replace(manager.term, confirmed_ms=confirmed_ms)
    assert len(moves_of(replace(manager, term=term))) == sent


# Guards against AVAIL and ONE: a leader paused before it sends an order must
# not send it once another may lead and have started tasks there.
@pytest.mark.parametrize("confirmed_ago_ms", [0, 999])
def test_order_carries_the_end_of_its_time(confirmed_ago_ms):
    manager = build_fleet(IN_POOL, waves_by_number=waves())
    confirmed_ms = NOW_MS - confirmed_ago_ms
    term = replace(manager.term, confirmed_ms=confirmed_ms)
    manager = review_fleet(replace(manager, term=term), NOW_MS).state
    step = review_fleet(store_orders(manager), NOW_MS)
    orders = effects_of(step, MoveMachine | MaintainMachine)
    assert {type(order) for order in orders} == {MoveMachine, MaintainMachine}
    ends_ms = {order.not_after_ms for order in orders}
    assert ends_ms == {confirmed_ms + MACHINE_ORDER_CONFIRMED_MS}


def waves(at_once=2, within_ms=20_000):
    names = tuple(machine.name for machine in IN_POOL)
    wave = Wave(1, names, within_ms, at_once)
    return Map({1: WaveProgress(wave, NOW_MS)})


@pytest.mark.parametrize(
    ("at_once", "within_ms", "plans", "sent"),
    [
        (1, 20_000, [BUSY], 1),
        (2, 18_000, [BUSY], 2),
        (2, 18_000, [], 2),
        (4, 6_000, [BUSY], 4),
        (4, 60_000, [], 2),
        (4, 60_000, [PASSING], 0),
        (4, 60_000, [APART], 2),
        (4, 60_000, [PASSING, BUSY], 1),
        (4, 60_000, [BUSY], 1),
        (4, 6_000, [PASSING], 4),
    ],
    ids=[
        "one at most",
        "two at most",
        "two at most, all idle",
        "little time",
        "much time",
        "much time, all in use",
        "much time, two in use",
        "much time, tasks that last beside others",
        "much time, tasks that last",
        "little time, all in use",
    ],
)
def test_wave_keeps_its_bound(at_once, within_ms, plans, sent):
    """While there is time, tasks that end by themselves are waited for.

    Those that last would be waited for in vain; their machines are emptied
    one after the other.
    """
    manager = build_fleet(
        IN_POOL, plans, waves_by_number=waves(at_once, within_ms)
    )
    first = review_fleet(manager, NOW_MS)
    assert effects_of(first, ReportWave)[0].status.completed is False
    decided = first.state.fleet.orders_by_machine
    assert len([order for order in decided.values() if order.wave]) == sent


# Guards against AVAIL: a worker crashed as it was emptied, its machine began
# another life, and the order for the first life ended what ran on the second.
@pytest.mark.parametrize(
    ("worker_id", "pool", "tries", "plans", "sent", "leaving"),
    [
        ("w1", "", 0, [], 1, True),
        ("w1", "", 0, [APART], 0, True),
        ("w9", "", 0, [], 1, True),
        ("w9", "", 0, [APART], 0, True),
        ("w9", "", 1, [APART], 1, False),
        ("w9", "spare", 0, [APART], 0, True),
        ("w9", "a", 0, [APART], 1, False),
    ],
    ids=[
        "same life, idle",
        "same life begun anew",
        "other life, idle",
        "other life in use",
        "other life, perhaps by the order",
        "other life in use, to be moved",
        "other life, moved already",
    ],
)
def test_order_is_for_the_life_that_its_machine_has(
    worker_id, pool, tries, plans, sent, leaving
):
    machine = Machine("m1", "a", UP, worker_id)
    manager = build_fleet([machine], plans)
    order = PendingOrder(
        MachineOrder.MOVE if pool else MachineOrder.MAINTENANCE,
        pool,
        wave=0 if pool else 1,
        worker_id="w1",
        decided_ms=NOW_MS,
        send_count=tries,
        stored=True,
    )
    fleet = replace(manager.fleet, orders_by_machine=Map(m1=order))
    step = review_fleet(replace(manager, fleet=fleet), NOW_MS)
    assert len(effects_of(step, MoveMachine | MaintainMachine)) == sent
    assert step.state.workers_by_id[worker_id].evacuating == leaving


UNHEARD = {"contacted": False, "lease_end_ms": NOW_MS + 3_000}


# Guards against AVAIL: a successor took workers that it had not heard for
# idle, and its orders for their machines ended lasting tasks of one step.
@pytest.mark.parametrize(
    ("worker_change", "within_ms", "sent"),
    [
        ({}, 60_000, 3),
        ({}, 6_000, 4),
        (UNHEARD, 60_000, 0),
        (UNHEARD, 6_000, 0),
        ({"untracked_runs": 2}, 60_000, 0),
        ({"untracked_runs": 2}, 6_000, 0),
        ({"contacted": False, "lease_end_ms": 0}, 6_000, 4),
        ({"contacted": False, "lease_recorded": False}, 6_000, 4),
        (UNHEARD | {"terminated": True}, 6_000, 4),
    ],
    ids=[
        "heard",
        "heard, little time",
        "not heard",
        "not heard, little time",
        "runs of unknown jobs",
        "runs of unknown jobs, little time",
        "lease over",
        "nothing was ever started",
        "its life is over",
    ],
)
def test_no_order_while_a_worker_may_have_unknown_runs(
    worker_change, within_ms, sent
):
    manager = build_fleet(IN_POOL, waves_by_number=waves(4, within_ms))
    for worker in manager.workers_by_id.values():
        manager = put_worker(manager, replace(worker, **worker_change))
    manager = review_fleet(manager, NOW_MS).state
    step = review_fleet(store_orders(manager), NOW_MS)
    orders = effects_of(step, MoveMachine | MaintainMachine)
    assert len(orders) == sent


def test_wave_is_completed_once_all_are_back():
    manager = build_fleet(IN_POOL, waves_by_number=waves(at_once=4))
    pools = manager.manifest.pools_by_name.delete("spare")
    manifest = replace(manager.manifest, pools_by_name=pools)
    manager = replace(manager, manifest=manifest)
    at_ms = NOW_MS
    done = set()
    reports = []
    for _ in range(20):
        manager = store_orders(manager)
        step = review_fleet(manager, at_ms)
        manager = step.state
        reports += effects_of(step, ReportWave)
        for effect in effects_of(step, MaintainMachine):
            done.add(effect.machine)
            answer = MachineAnswered(at_ms, effect.machine, True)
            manager = take_machine_answer(manager, answer).state
        at_ms += 1_000
        term = replace(manager.term, confirmed_ms=at_ms)
        manager = replace(manager, term=term)
        listed = MachinesListed(at_ms, at_ms, IN_POOL)
        manager = take_machines(manager, listed).state
    assert done == {machine.name for machine in IN_POOL}
    assert [report.status.completed for report in reports] == [False, True]


@pytest.mark.parametrize(
    ("done", "refused", "pending", "leaving"),
    [(True, False, True, True), (False, False, True, True)]
    + [(False, True, False, False)],
    ids=["taken", "no answer", "refused"],
)
def test_answer_to_an_order(done, refused, pending, leaving):
    manager = review_fleet(build_fleet(IN_POOL), NOW_MS).state
    step = review_fleet(store_orders(manager), NOW_MS)
    assert "m1" in [move.machine for move in effects_of(step, MoveMachine)]
    manager = step.state
    answer = MachineAnswered(NOW_MS, "m1", done, refused)
    manager = take_machine_answer(manager, answer).state
    assert ("m1" in manager.fleet.orders_by_machine) == pending
    worker = manager.workers_by_id["w1"]
    assert worker.evacuating == leaving
    assert worker.terminated == done


MAINTAIN = PendingOrder(
    MachineOrder.MAINTENANCE, "", 1, "w1", NOW_MS, stored=True
)


# Guards against waves that are said to be completed too early, and tasks that
# run twice: the answer to an earlier order for a machine, of an earlier term
# or sent a second time, is taken for that to an order that was never sent.
def test_answer_to_an_earlier_order_changes_nothing():
    manager = build_fleet(IN_POOL, orders_by_machine=Map(m1=MAINTAIN))
    answer = MachineAnswered(NOW_MS, "m1", True)
    manager = take_machine_answer(manager, answer).state
    assert not manager.maintained_by_wave
    assert not manager.workers_by_id["w1"].terminated


# Guards against more machines down at once than a wave allows: an order of
# the predecessor is carried out after the successor has listed the machines.
@pytest.mark.parametrize(
    ("inherited", "at_once", "decided"),
    [
        ((), 1, 1),
        (("m1",), 1, 0),
        (("m1",), 2, 1),
    ],
)
def test_wave_counts_machines_that_others_may_have_ordered(
    inherited, at_once, decided
):
    manager = build_fleet(
        IN_POOL,
        [BUSY],
        waves_by_number=waves(at_once, 6_000),
        inherited=inherited,
    )
    term = Term(epoch=2, began_ms=NOW_MS, confirmed_ms=NOW_MS)
    manager = review_fleet(replace(manager, term=term), NOW_MS).state
    orders = manager.fleet.orders_by_machine.values()
    assert sum(order.wave > 0 for order in orders) == decided


# Guards against more machines down at once than a wave allows: a slow list
# shows a machine as it was before its maintenance.
@pytest.mark.parametrize(
    ("asked_ms", "pending"),
    [(NOW_MS + 500, False), (NOW_MS - 100, True)],
    ids=["asked later", "asked before the order was taken"],
)
def test_list_that_is_older_than_an_order(asked_ms, pending):
    order = replace(MAINTAIN, last_sent_ms=NOW_MS, accepted_ms=NOW_MS)
    manager = build_fleet(IN_POOL, orders_by_machine=Map(m1=order))
    listed = MachinesListed(NOW_MS + 600, asked_ms, IN_POOL)
    manager = take_machines(manager, listed).state
    assert ("m1" in manager.fleet.orders_by_machine) == pending


# Guards against tasks that an order ends: the machine has restarted since the
# order was decided, and the next life's tasks are not seen.
@pytest.mark.parametrize(("plans", "sent"), [([], 1), ([APART], 0)])
def test_order_waits_for_the_tasks_of_the_next_life(plans, sent):
    machine = Machine("m1", "a", UP, "w9")
    manager = build_fleet([machine], plans, orders_by_machine=Map(m1=MAINTAIN))
    step = review_fleet(manager, NOW_MS)
    assert len(effects_of(step, MaintainMachine)) == sent


def test_tasks_that_last_are_moved_from_the_beginning_of_a_wave():
    """Guards against a wave that leaves them no time to move in turn."""
    steps = build_step(
        2, long_running=True, max_per_worker=1, max_unavailable=1
    )
    manager = build_fleet(
        IN_POOL,
        [build_plan(steps)],
        waves_by_number=waves(at_once=4, within_ms=60_000),
    )
    hosts = {run.worker_id for run in manager.runs_by_task.values()}
    manager = review_fleet(manager, NOW_MS).state
    first = {
        order.worker_id
        for order in manager.fleet.orders_by_machine.values()
        if order.wave
    }
    assert len(hosts & first) == 1
    again = review_fleet(manager, NOW_MS + 100).state
    later = {
        order.worker_id for order in again.fleet.orders_by_machine.values()
    }
    assert hosts & later == hosts & first
