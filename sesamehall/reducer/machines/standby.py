"""The standby pool: its machines are off until another pool needs them."""

from sesamehall.core.fleet import Machine
from sesamehall.core.managerstate import ManagerState
from sesamehall.reducer.machines.drained_data_centres import is_machine_drained
from sesamehall.reducer.machines.pending_orders import accepts_orders


def standby_pool(manager: ManagerState) -> str | None:
    """Return the name of the standby pool, or None if there is none.

    Args:
      manager: State of the leader.
    Returns:
      The name, or None.
    """
    for name, pool in sorted(manager.manifest.pools_by_name.items()):
        if pool.standby:
            return name
    return None


def standby_machines(manager: ManagerState, standby: str) -> list[Machine]:
    """List the machines on standby that can be moved.

    Args:
      manager: State of the leader.
      standby: Name of the standby pool.
    Returns:
      The machines, in the order of their names.
    """
    return [
        machine
        for _, machine in sorted(manager.fleet.machines_by_name.items())
        if machine.pool == standby
        and accepts_orders(manager, machine)
        and not is_machine_drained(manager, machine)
    ]


def may_grow(manager: ManagerState, pool: str) -> bool:
    """Check whether a pool may get another machine.

    Args:
      manager: State of the leader.
      pool: Name of the pool.
    Returns:
      True if a machine is on its way, or one is on standby.
    """
    orders = manager.fleet.orders_by_machine.values()
    if any(order.pool == pool for order in orders):
        return True
    standby = standby_pool(manager)
    return standby is not None and bool(standby_machines(manager, standby))
