"""The manager's machines: their list, and when orders for them may be sent.

An order for a machine ends all runs on it, so its worker is evacuated first. A
worker that may have untracked runs must report before that. Orders of two
leaders for one machine must not overlap. So the names of the machines are
stored before an order for them is sent, a new leader sends no orders for these
machines for a while, and no order is sent without a recent confirmation of the
leader's term.
"""

from sesamehall.core.effects import log
from sesamehall.core.fleet import Machine
from sesamehall.core.fleet import MachineState
from sesamehall.core.fleetstate import PendingOrder
from sesamehall.core.fleettiming import MACHINE_ORDER_CONFIRMED_MS
from sesamehall.core.fleettiming import MACHINE_ORDER_TIMEOUT_MS
from sesamehall.core.fleettiming import MACHINES_PERIOD_MS
from sesamehall.core.logevents import MACHINES_NOT_LISTED
from sesamehall.core.logevents import WORKER_GONE
from sesamehall.core.managereffects import ListMachines
from sesamehall.core.managerevents import MachinesListed
from sesamehall.core.managerevents import MachinesNotListed
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.reducer.jobs.leases import is_stepping_down
from sesamehall.reducer.jobs.worker_machines import machine_names
from sesamehall.reducer.jobs.workers import end_incarnation
from sesamehall.reducer.machines.draining import release_drained_machines
from sesamehall.reducer.machines.incarnations import ended_incarnations
from sesamehall.reducer.machines.listing import apply_list
from sesamehall.reducer.machines.moves import choose_moves
from sesamehall.reducer.machines.order_sending import advance_order
from sesamehall.reducer.machines.pending_orders import cancel_evacuation
from sesamehall.reducer.machines.waves import advance_waves


def advance_fleet(manager: ManagerState, at_ms: int) -> Step:
    """Request the list of machines, and decide and send orders that are due.

    Args:
      manager: State of a manager.
      at_ms: Current time on the node's clock.
    Returns:
      A Step; without effects if the node does not lead or has no manifest.
    """
    if not manager.term.epoch or manager.manifest is None:
        return Step(manager)
    step = _request_list_if_due(manager, at_ms)
    if manager.fleet.listed_ms < 0 or not _may_send_orders(manager, at_ms):
        return step
    manager = _expire_deferrals(_expire_decisions(step.state, at_ms), at_ms)
    step = Step(manager, step.effects)
    step = then(step, advance_waves, at_ms)
    step = then(step, choose_moves, at_ms)
    step = then(step, release_drained_machines, at_ms)
    for machine_name in sorted(step.state.fleet.orders_by_machine):
        step = then(step, advance_order, machine_name, at_ms)
    return step


def _expire_decisions(manager, at_ms):
    """Drop machines to which every leader may send orders again.

    A later leader sends no orders for these machines for `order_pause_ms`. An
    order may leave this node up to MACHINE_ORDER_CONFIRMED_MS after it was
    issued, so its machine is kept for as much longer. The machines of earlier
    leaders are dropped `order_pause_ms` after the term began.
    """
    fleet = manager.fleet
    pause_ms = manager.timing.order_pause_ms
    last_decisions = fleet.last_decision_ms_by_machine
    for name, decided_ms in last_decisions.items():
        expired = at_ms - decided_ms >= pause_ms + MACHINE_ORDER_CONFIRMED_MS
        if expired and name not in fleet.orders_by_machine:
            last_decisions = last_decisions.delete(name)
    inherited = fleet.inherited
    if at_ms - manager.term.began_ms >= pause_ms:
        inherited = ()
        manager = replace(manager, ordered_machines=None)
    if last_decisions is fleet.last_decision_ms_by_machine and inherited:
        return manager
    return replace(
        manager,
        fleet=replace(
            fleet,
            last_decision_ms_by_machine=last_decisions,
            inherited=inherited,
        ),
    )


def _expire_deferrals(manager, at_ms):
    """Let machines get orders again whose orders were withdrawn."""
    deferred = manager.fleet.deferred_until_ms_by_machine
    for name, until_ms in deferred.items():
        if at_ms >= until_ms:
            deferred = deferred.delete(name)
    if deferred is manager.fleet.deferred_until_ms_by_machine:
        return manager
    fleet = replace(manager.fleet, deferred_until_ms_by_machine=deferred)
    return replace(manager, fleet=fleet)


def _request_list_if_due(manager, at_ms):
    fleet = manager.fleet
    if fleet.list_in_flight or at_ms - fleet.listed_ms < MACHINES_PERIOD_MS:
        return Step(manager)
    listing = replace(fleet, list_in_flight=True)
    return Step(replace(manager, fleet=listing), (ListMachines(),))


def _may_send_orders(manager, at_ms):
    """Check whether this node may send orders.

    While the latest confirmation of its term is recent, no other node can lead
    and send orders, unless this one steps down: a successor does not wait for
    the silence of a leader that has resigned.
    """
    if is_stepping_down(manager):
        return False
    elapsed_ms = at_ms - manager.term.confirmed_ms
    return elapsed_ms < MACHINE_ORDER_CONFIRMED_MS


def apply_machine_list(manager: ManagerState, event: MachinesListed) -> Step:
    """Apply the list of machines.

    Drops orders that the list shows to be carried out, that have timed out, or
    that are not sent and whose machine is missing. Abandons the runs of
    workers that the list shows to have ended.

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
        if _is_resolved(machine, order, event):
            orders = orders.delete(name)
            manager = cancel_evacuation(manager, order.worker_id)
    fleet = replace(apply_list(manager.fleet, event), orders_by_machine=orders)
    ended = ended_incarnations(manager, event)
    step = Step(_mark_unstored_machines(replace(manager, fleet=fleet)))
    for worker_id in ended:
        line = log(
            WORKER_GONE,
            worker=worker_id,
            reason="no machine runs it",
            runs=len(step.state.workers_by_id[worker_id].tasks),
            list_ago_ms=event.at_ms - event.sent_ms,
        )
        step = Step(step.state, step.effects + (line,))
        step = then(step, end_incarnation, worker_id, event.at_ms)
    return step


def _mark_unstored_machines(manager: ManagerState) -> ManagerState:
    """Mark the workers as changed that are stored without their machine.

    A successor needs the machine to know when the worker has ended.
    """
    leased_by_id = manager.leased_workers_by_id
    changed = {
        worker_id: True
        for worker_id, name in machine_names(manager).items()
        if worker_id in manager.workers_by_id
        and worker_id in leased_by_id
        and leased_by_id[worker_id].machine != name
    }
    if not changed:
        return manager
    dirty = manager.dirty_workers.update(changed)
    return replace(manager, dirty_workers=dirty)


def _is_resolved(
    machine: Machine | None, order: PendingOrder, event: MachinesListed
) -> bool:
    """Check whether an answered order is carried out or has timed out.

    A list that lacks the machine shows nothing about an order that was sent;
    an order for a machine that is gone is refused when it is sent again.

    A list that was requested before the platform answered the order, or that
    arrived less than MACHINES_PERIOD_MS after that, may show the machine as it
    was before the order.
    """
    if machine is None and not order.send_count:
        return True
    answered_ms = max(order.accepted_ms, order.repeat_refused_ms)
    if answered_ms < 0 or event.sent_ms <= answered_ms:
        return False
    elapsed_ms = event.at_ms - answered_ms
    if elapsed_ms < MACHINES_PERIOD_MS:
        return False
    if elapsed_ms >= MACHINE_ORDER_TIMEOUT_MS:
        return True  # the outcome is unknown; the machine is considered again
    if machine is None or machine.state is not MachineState.UP:
        return False
    return order.pool in ("", machine.pool)


def handle_machines_not_listed(
    manager: ManagerState, event: MachinesNotListed
) -> Step:
    """Keep the previous list of machines after a failed request.

    Args:
      manager: State of a manager.
      event: The failure.
    Returns:
      A Step that allows the next request.
    """
    fleet = replace(manager.fleet, list_in_flight=False)
    line = log(MACHINES_NOT_LISTED, reason=event.reason)
    return Step(replace(manager, fleet=fleet), (line,))
