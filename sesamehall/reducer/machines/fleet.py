"""The fleet's machines: lists, orders, and when each may be given.

An order for a machine ends all that runs on it, so its worker is emptied
first; one that may have runs that are not known is heard before that.  Orders
of two leaders for one machine must not cross: it is stored which machines may
have an order before any is sent, a new leader leaves these alone for a while,
and none is given without a fresh confirmation of the role.
"""

from immutables import Map

from sesamehall.core.effects import log
from sesamehall.core.fleet import Machine
from sesamehall.core.fleet import MachineState
from sesamehall.core.fleetstate import MachineOrder
from sesamehall.core.fleetstate import PendingOrder
from sesamehall.core.fleettiming import MACHINE_ORDER_CONFIRMED_MS
from sesamehall.core.fleettiming import MACHINE_ORDER_RETRY_MS
from sesamehall.core.fleettiming import MACHINE_ORDER_TIMEOUT_MS
from sesamehall.core.fleettiming import MACHINES_PERIOD_MS
from sesamehall.core.logevents import MACHINE_ORDERED
from sesamehall.core.logevents import MACHINE_REFUSED
from sesamehall.core.logevents import MACHINES_NOT_LISTED
from sesamehall.core.logevents import WORKER_GONE
from sesamehall.core.managereffects import ListMachines
from sesamehall.core.managereffects import MaintainMachine
from sesamehall.core.managereffects import MoveMachine
from sesamehall.core.managerevents import MachineAnswered
from sesamehall.core.managerevents import MachinesListed
from sesamehall.core.managerevents import MachinesNotListed
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.reducer.counts import drop_key
from sesamehall.reducer.jobs.leases import may_have_untracked_runs
from sesamehall.reducer.jobs.state_updates import put_worker
from sesamehall.reducer.jobs.workers import end_incarnation
from sesamehall.reducer.machines.evacuation import empty_worker
from sesamehall.reducer.machines.lives import ended_lives
from sesamehall.reducer.machines.moves import choose_moves
from sesamehall.reducer.machines.orders import aim_order
from sesamehall.reducer.machines.orders import put_order
from sesamehall.reducer.machines.waves import note_maintained
from sesamehall.reducer.machines.waves import review_waves


def review_fleet(manager: ManagerState, at_ms: int) -> Step:
    """Do what is due for machines.

    Args:
      manager: State of a manager.
      at_ms: The node's clock.
    Returns:
      A Step; nothing for a node that does not lead.
    """
    if not manager.term.epoch or manager.manifest is None:
        return Step(manager)
    step = _list_if_due(manager, at_ms)
    if manager.fleet.listed_ms < 0 or not _may_order(manager, at_ms):
        return step
    step = Step(_forget_touched(step.state, at_ms), step.effects)
    step = then(step, review_waves, at_ms)
    step = then(step, choose_moves, at_ms)
    for machine in sorted(step.state.fleet.orders_by_machine):
        step = then(step, _pursue, machine, at_ms)
    return step


def _forget_touched(manager, at_ms):
    """Forget decisions that no other leader needs to wait for."""
    fleet = manager.fleet
    pause_ms = manager.timing.order_pause_ms
    touched = fleet.last_decision_ms_by_machine
    for name, touched_ms in touched.items():
        over = at_ms - touched_ms >= pause_ms + MACHINE_ORDER_CONFIRMED_MS
        if over and name not in fleet.orders_by_machine:
            touched = touched.delete(name)
    inherited = fleet.inherited
    if at_ms - manager.term.began_ms >= pause_ms:
        inherited = ()
    if touched is fleet.last_decision_ms_by_machine and inherited:
        return manager
    return replace(
        manager,
        fleet=replace(
            fleet, last_decision_ms_by_machine=touched, inherited=inherited
        ),
    )


def _list_if_due(manager, at_ms):
    fleet = manager.fleet
    if fleet.list_in_flight or at_ms - fleet.listed_ms < MACHINES_PERIOD_MS:
        return Step(manager)
    listing = replace(fleet, list_in_flight=True)
    return Step(replace(manager, fleet=listing), (ListMachines(),))


def _may_order(manager, at_ms):
    """Tell whether no other leader can give orders for machines."""
    since_ms = at_ms - manager.term.confirmed_ms
    return since_ms < MACHINE_ORDER_CONFIRMED_MS and not manager.stopping


def take_machines(manager: ManagerState, event: MachinesListed) -> Step:
    """Take in the list of machines, and what it shows to be done.

    Args:
      manager: State of a manager.
      event: The list.
    Returns:
      A Step.
    """
    machines = {machine.name: machine for machine in event.machines}
    orders = manager.fleet.orders_by_machine
    for name, order in orders.items():
        machine = machines.get(name)
        if machine is None or _is_carried_out(machine, order, event):
            orders = orders.delete(name)
            manager = _keep_worker(manager, order.worker_id)
    fleet = replace(
        manager.fleet,
        machines_by_name=Map(machines),
        listed_ms=event.at_ms,
        list_in_flight=False,
        orders_by_machine=orders,
    )
    ended = ended_lives(manager, event)
    step = Step(replace(manager, fleet=fleet))
    for worker_id in ended:
        line = log(WORKER_GONE, worker=worker_id, reason="no machine has it")
        step = Step(step.state, step.effects + (line,))
        step = then(step, end_incarnation, worker_id, event.at_ms)
    return step


def _is_carried_out(
    machine: Machine, order: PendingOrder, event: MachinesListed
) -> bool:
    """Tell whether a machine is back, or can no longer be waited for.

    A list that was asked for before the order was taken tells nothing.
    """
    if order.accepted_ms < 0 or event.sent_ms <= order.accepted_ms:
        return False
    since_ms = event.at_ms - order.accepted_ms
    if since_ms < MACHINES_PERIOD_MS:
        return False
    if since_ms >= MACHINE_ORDER_TIMEOUT_MS:
        return True  # something else has come of it; it is decided anew
    if machine.state is not MachineState.UP:
        return False
    return order.pool in ("", machine.pool)


def take_no_machines(manager: ManagerState, event: MachinesNotListed) -> Step:
    """Bear that the machines were not listed.

    Args:
      manager: State of a manager.
      event: Why.
    Returns:
      A Step; the older list stays until the next.
    """
    fleet = replace(manager.fleet, list_in_flight=False)
    line = log(MACHINES_NOT_LISTED, reason=event.reason)
    return Step(replace(manager, fleet=fleet), (line,))


def take_machine_answer(manager: ManagerState, event: MachineAnswered) -> Step:
    """Note that an order was taken, or drop one that was refused.

    Args:
      manager: State of a manager.
      event: The answer.
    Returns:
      A Step; an order without an answer is sent again, which does no harm.
    """
    order = manager.fleet.orders_by_machine.get(event.machine)
    if order is None or order.last_sent_ms < 0:
        return Step(manager)  # the answer is to an earlier order
    if event.done:
        order = replace(order, accepted_ms=event.at_ms)
        manager = put_order(manager, event.machine, order)
        if order.order is MachineOrder.MAINTENANCE:
            manager = note_maintained(manager, order.wave, event.machine)
        return end_incarnation(manager, order.worker_id, event.at_ms)
    line = log(MACHINE_REFUSED, machine=event.machine, reason=event.reason)
    if not event.refused:
        unsent = replace(order, last_sent_ms=-1)
        return Step(put_order(manager, event.machine, unsent), (line,))
    manager = _keep_worker(manager, order.worker_id)
    orders = drop_key(manager.fleet.orders_by_machine, event.machine)
    fleet = replace(manager.fleet, orders_by_machine=orders)
    return Step(replace(manager, fleet=fleet), (line,))


def _keep_worker(manager, worker_id):
    """Let a worker take tasks again."""
    worker = manager.workers_by_id.get(worker_id)
    if worker is None:
        return manager
    return put_worker(manager, replace(worker, evacuating=False))


def _pursue(manager: ManagerState, machine: str, at_ms: int) -> Step:
    """Empty the worker of a machine, then send the order."""
    order = manager.fleet.orders_by_machine[machine]
    if order.accepted_ms >= 0 or not order.stored:
        return Step(manager)
    if (
        order.last_sent_ms >= 0
        and at_ms - order.last_sent_ms < MACHINE_ORDER_RETRY_MS
    ):
        return Step(manager)
    manager = aim_order(manager, machine)
    order = manager.fleet.orders_by_machine[machine]
    worker = manager.workers_by_id.get(order.worker_id)
    if worker is not None and may_have_untracked_runs(worker):
        return Step(manager)
    if worker is not None and worker.tasks:
        return empty_worker(manager, order.worker_id, order.decided_ms, at_ms)
    touched = manager.fleet.last_decision_ms_by_machine.set(machine, at_ms)
    line = log(
        MACHINE_ORDERED,
        machine=machine,
        order=order.order.value,
        pool=order.pool,
        wave=order.wave,
        worker=order.worker_id,
        waited_ms=at_ms - order.decided_ms,
    )
    epoch = manager.term.epoch
    until_ms = manager.term.confirmed_ms + MACHINE_ORDER_CONFIRMED_MS
    match order.order:
        case MachineOrder.MOVE:
            effect = MoveMachine(machine, order.pool, epoch, until_ms)
        case MachineOrder.MAINTENANCE:
            effect = MaintainMachine(machine, order.wave, epoch, until_ms)
    order = replace(order, last_sent_ms=at_ms, send_count=order.send_count + 1)
    manager = put_order(manager, machine, order)
    fleet = replace(manager.fleet, last_decision_ms_by_machine=touched)
    return Step(replace(manager, fleet=fleet), (line, effect))
