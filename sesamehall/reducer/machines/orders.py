"""Decided orders for machines."""

from sesamehall.core.fleet import Machine
from sesamehall.core.fleet import MachineState
from sesamehall.core.fleetstate import MachineOrder
from sesamehall.core.fleetstate import PendingOrder
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.reducer.jobs.state_updates import put_worker


def decide_order(
    manager: ManagerState,
    machine: Machine,
    order: MachineOrder,
    pool: str,
    wave: int,
    at_ms: int,
) -> ManagerState:
    """Decide an order; it is sent once the machine's worker is empty.

    Args:
      manager: State of the leader.
      machine: The machine.
      order: What it shall do.
      pool: Pool to join, or "".
      wave: Wave that asked for it, or 0.
      at_ms: The node's clock.
    Returns:
      The state; nothing new is started on the worker.
    """
    pending = PendingOrder(order, pool, wave, machine.worker_id, at_ms)
    fleet = manager.fleet
    touched = fleet.last_decision_ms_by_machine.set(machine.name, at_ms)
    fleet = replace(
        fleet,
        orders_by_machine=fleet.orders_by_machine.set(machine.name, pending),
        last_decision_ms_by_machine=touched,
        orders_unstored=True,
    )
    manager = replace(manager, fleet=fleet)
    worker = manager.workers_by_id.get(machine.worker_id)
    if worker is None:
        return manager
    return put_worker(manager, replace(worker, evacuating=True))


def aim_order(manager: ManagerState, name: str) -> ManagerState:
    """Aim an order at the life that its machine has now.

    The worker that was to be emptied may have crashed, and another life of
    the machine begun.  Another life may also be what came of an order that
    was sent, by this leader or an earlier one; it is left alone.

    Args:
      manager: State of the leader.
      name: Name of a machine with an order.
    Returns:
      The state; nothing new is started on the machine's worker.
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


def put_order(
    manager: ManagerState, name: str, order: PendingOrder
) -> ManagerState:
    """Keep an order for a machine.

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


def is_free(manager: ManagerState, machine: Machine) -> bool:
    """Tell whether a machine may get an order.

    Args:
      manager: State of the leader.
      machine: The machine.
    Returns:
      False for one that is not up or has an order already.
    """
    fleet = manager.fleet
    if machine.name in fleet.orders_by_machine:
        return False
    if machine.name in fleet.inherited:
        return False
    return machine.state is MachineState.UP
