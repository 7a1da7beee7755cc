"""Orders for the manager's machines that are decided but not completed."""

from sesamehall.core.fleet import Machine
from sesamehall.core.fleet import MachineState
from sesamehall.core.fleetstate import MachineOrderKind
from sesamehall.core.fleetstate import PendingOrder
from sesamehall.core.fleettiming import ORDER_DEFERRAL_MS
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.reducer.jobs.state_updates import put_worker
from sesamehall.reducer.machines.listing import is_missing


def decide_order(
    manager: ManagerState,
    machine: Machine,
    kind: MachineOrderKind,
    pool: str,
    wave: int,
    at_ms: int,
) -> ManagerState:
    """Record an order, which is sent once the machine's worker is evacuated.

    Args:
      manager: State of the leader.
      machine: The machine.
      kind: Kind of the order.
      pool: Pool to move to, or "" for maintenance.
      wave: Wave that requested the maintenance, or 0.
      at_ms: Current time on the node's clock.
    Returns:
      The state; the worker receives no new tasks from now on.
    """
    worker = manager.workers_by_id.get(machine.worker_id)
    pending = PendingOrder(
        kind,
        pool,
        wave,
        machine.worker_id,
        decided_ms=at_ms,
        task_count=0 if worker is None else len(worker.tasks),
    )
    fleet = manager.fleet
    last_decisions = fleet.last_decision_ms_by_machine.set(machine.name, at_ms)
    fleet = replace(
        fleet,
        orders_by_machine=fleet.orders_by_machine.set(machine.name, pending),
        last_decision_ms_by_machine=last_decisions,
        orders_unstored=True,
    )
    manager = replace(manager, fleet=fleet)
    if worker is None:
        return manager
    return put_worker(manager, replace(worker, evacuating=True))


def rebind_order(manager: ManagerState, name: str) -> ManagerState:
    """Bind an unsent order to the current incarnation of its machine.

    The worker that is being evacuated may have crashed and the machine
    restarted. A new incarnation may also result from the order itself, if this
    leader or an earlier one sent it; that incarnation is not evacuated.

    Args:
      manager: State of the leader.
      name: Name of a machine with an order.
    Returns:
      The state; the machine's worker receives no new tasks from now on.
    """
    order = manager.fleet.orders_by_machine[name]
    machine = manager.fleet.machines_by_name.get(name)
    moved = machine is not None and machine.pool == order.pool
    if order.send_count or moved:
        return manager
    if machine is not None and machine.worker_id:
        order = replace(order, worker_id=machine.worker_id)
        manager = put_order(manager, name, order)
    worker = manager.workers_by_id.get(order.worker_id)
    if worker is None or worker.evacuating:
        return manager
    return put_worker(manager, replace(worker, evacuating=True))


def cancel_evacuation(manager: ManagerState, worker_id: str) -> ManagerState:
    """Let a worker get new tasks again.

    Args:
      manager: State of the leader.
      worker_id: The worker, or "".
    Returns:
      The state.
    """
    worker = manager.workers_by_id.get(worker_id)
    if worker is None:
        return manager
    return put_worker(manager, replace(worker, evacuating=False))


def withdraw_order(
    manager: ManagerState, name: str, at_ms: int
) -> ManagerState:
    """Withdraw an order that was never sent, and leave the machine in use.

    Args:
      manager: State of the leader.
      name: Name of the machine.
      at_ms: Current time on the node's clock.
    Returns:
      The state; the machine gets no other order for ORDER_DEFERRAL_MS.
    """
    fleet = manager.fleet
    order = fleet.orders_by_machine[name]
    deferred = fleet.deferred_until_ms_by_machine.set(
        name, at_ms + ORDER_DEFERRAL_MS
    )
    fleet = replace(
        fleet,
        orders_by_machine=fleet.orders_by_machine.delete(name),
        deferred_until_ms_by_machine=deferred,
    )
    return cancel_evacuation(replace(manager, fleet=fleet), order.worker_id)


def put_order(
    manager: ManagerState, name: str, order: PendingOrder
) -> ManagerState:
    """Store an order for a machine.

    Args:
      manager: State of the leader.
      name: Name of the machine.
      order: The order.
    Returns:
      The state with the order.
    """
    orders = manager.fleet.orders_by_machine.set(name, order)
    fleet = replace(manager.fleet, orders_by_machine=orders)
    return replace(manager, fleet=fleet)


def accepts_orders(manager: ManagerState, machine: Machine) -> bool:
    """Check whether a machine may get an order.

    Args:
      manager: State of the leader.
      machine: The machine.
    Returns:
      False if it is not up, is missing from the newest list, has an order, may
      have one of an earlier leader, or had one that was withdrawn recently.
    """
    fleet = manager.fleet
    if is_missing(fleet, machine):
        return False
    if machine.name in fleet.orders_by_machine:
        return False
    if machine.name in fleet.inherited:
        return False
    if machine.name in fleet.deferred_until_ms_by_machine:
        return False
    return machine.state is MachineState.UP
