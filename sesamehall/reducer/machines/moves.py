"""Moves of machines between pools, as the pools' needs change.

A pool that is switched off costs nothing, so machines that no pool needs
stand there; a pool whose demand grows gets them back.
"""

from sesamehall.core.data import EMPTY_MAP
from sesamehall.core.fleet import Machine
from sesamehall.core.managerstate import MachineOrder
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.managerstate import PendingOrder
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step
from sesamehall.reducer.machines.orders import decide_order
from sesamehall.reducer.machines.orders import is_free
from sesamehall.reducer.machines.sizing import hold_peak
from sesamehall.reducer.machines.sizing import needed_workers
from sesamehall.reducer.machines.sizing import workers_of


def choose_moves(manager: ManagerState, at_ms: int) -> Step:
    """Decide the moves that the pools' needs ask for.

    Args:
      manager: State of the leader.
      at_ms: The node's clock.
    Returns:
      A Step.
    """
    standby = _standby_pool(manager)
    if standby is None:
        return Step(manager)
    pools = [
        name
        for name in sorted(manager.manifest.pools_by_name)
        if name != standby
    ]
    peaks = manager.fleet.peaks_by_pool
    for pool in pools:
        needed = needed_workers(manager, pool)
        peaks = peaks.set(pool, hold_peak(peaks.get(pool), needed, at_ms))
    manager = replace(
        manager, fleet=replace(manager.fleet, peaks_by_pool=peaks)
    )
    for pool in pools:
        manager = _fill(manager, pool, standby, at_ms)
    for pool in pools:
        manager = _park(manager, pool, standby, at_ms)
    return Step(manager)


def _standby_pool(manager):
    """Find the pool that is switched off, if there is one."""
    for name, pool in sorted(manager.manifest.pools_by_name.items()):
        if pool.standby:
            return name
    return None


def surplus(manager: ManagerState, pool: str) -> int:
    """Compute how many workers a pool has beyond its needs.

    Args:
      manager: State of the leader.
      pool: Name of the pool.
    Returns:
      Their number; negative when it lacks some.
    """
    present = len(workers_of(manager, pool))
    arriving = sum(
        order.pool == pool or _returns_to(manager, name, order, pool)
        for name, order in manager.fleet.orders_by_machine.items()
    )
    return present + arriving - manager.fleet.peaks_by_pool[pool].workers


def _returns_to(manager, name, order: PendingOrder, pool):
    """Tell whether a machine will be back in a pool from maintenance."""
    if order.order is not MachineOrder.MAINTENANCE:
        return False
    machine = manager.fleet.machines_by_name.get(name)
    return machine is not None and machine.pool == pool


def _fill(manager, pool, standby, at_ms):
    """Bring machines into a pool that lacks some."""
    lacking = -surplus(manager, pool)
    if lacking <= 0:
        return manager
    for machine in _parked(manager, standby)[:lacking]:
        manager = decide_order(
            manager, machine, MachineOrder.MOVE, pool, 0, at_ms
        )
    return manager


def _parked(manager, standby) -> list[Machine]:
    machines = manager.fleet.machines_by_name
    return [
        machine
        for _, machine in sorted(machines.items())
        if machine.pool == standby and is_free(manager, machine)
    ]


def _park(manager, pool, standby, at_ms):
    """Switch idle machines off that a pool does not need."""
    spare = surplus(manager, pool)
    if spare <= 0 or pool not in manager.worker_ids_by_pool:
        return manager
    by_worker = {
        machine.worker_id: machine
        for machine in manager.fleet.machines_by_name.values()
        if machine.pool == pool and is_free(manager, machine)
    }
    ids = manager.worker_ids_by_pool.get(pool, EMPTY_MAP)
    idle = [
        by_worker[worker_id]
        for worker_id in sorted(ids)
        if worker_id in by_worker and _is_idle(manager, worker_id)
    ]
    for machine in idle[:spare]:
        manager = decide_order(
            manager, machine, MachineOrder.MOVE, standby, 0, at_ms
        )
    return manager


def _is_idle(manager, worker_id):
    worker = manager.workers_by_id[worker_id]
    return (
        worker.listed
        and worker.reached
        and not worker.silences
        and not worker.leaving
        and not worker.entry.draining
        and not worker.tasks
    )
