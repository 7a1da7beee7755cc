"""Moves of machines between pools, as the pools' needs change.

A pool that is switched off costs nothing, so machines that no pool needs
stand there; a pool whose demand grows gets them back.  Before the first short
job nobody knows which pool that will be, so all keep what they have.
"""

from immutables import Map

from sesamehall.core.effects import log
from sesamehall.core.fleet import Machine
from sesamehall.core.fleetstate import MachineOrder
from sesamehall.core.logevents import POOLS_SIZED
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step
from sesamehall.reducer.jobs.leases import may_have_untracked_runs
from sesamehall.reducer.machines.orders import decide_order
from sesamehall.reducer.machines.orders import is_free
from sesamehall.reducer.machines.sizing import hold_peak
from sesamehall.reducer.machines.sizing import need_of
from sesamehall.reducer.machines.sizing import share_out
from sesamehall.reducer.machines.sizing import workers_of
from sesamehall.reducer.machines.waves import is_due


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
    needs = {pool: need_of(manager, pool, at_ms) for pool in pools}
    targets = share_out(needs, len(manager.fleet.machines_by_name))
    peaks = manager.fleet.peaks_by_pool
    for pool, target in targets.items():
        kept = target if manager.arrivals_by_queue else _present(manager, pool)
        peaks = peaks.set(pool, hold_peak(peaks.get(pool), kept, at_ms))
    step = _note_targets(manager, needs, targets)
    manager = replace(
        step.state, fleet=replace(step.state.fleet, peaks_by_pool=peaks)
    )
    donors = _parked(manager, standby)
    for pool in pools:
        donors += _idle_beyond(manager, pool, targets[pool])
    for pool in pools:
        lacking = max(targets[pool] - _present(manager, pool), 0)
        for machine in donors[:lacking]:
            manager = decide_order(
                manager, machine, MachineOrder.MOVE, pool, 0, at_ms
            )
        donors = donors[lacking:]
    for pool in pools:
        for machine in _idle_beyond(manager, pool, peaks[pool].workers):
            manager = decide_order(
                manager, machine, MachineOrder.MOVE, standby, 0, at_ms
            )
    return Step(manager, step.effects)


def _note_targets(manager, needs, targets):
    """Keep the targets, and log them where one has changed."""
    if dict(manager.fleet.targets_by_pool) == targets:
        return Step(manager)
    sizes = ",".join(
        f"{pool}:{needs[pool].wanted}/{target}/{_present(manager, pool)}"
        for pool, target in sorted(targets.items())
    )
    line = log(POOLS_SIZED, wanted_target_present=sizes)
    fleet = replace(manager.fleet, targets_by_pool=Map(targets))
    return Step(replace(manager, fleet=fleet), (line,))


def _standby_pool(manager):
    """Find the pool that is switched off, if there is one."""
    for name, pool in sorted(manager.manifest.pools_by_name.items()):
        if pool.standby:
            return name
    return None


def _present(manager: ManagerState, pool: str) -> int:
    """Count the workers of a pool, with those on their way to it.

    A machine in maintenance is missed meanwhile, so it does not count.
    """
    orders = manager.fleet.orders_by_machine.values()
    arriving = sum(order.pool == pool for order in orders)
    return len(workers_of(manager, pool)) + arriving


def _parked(manager, standby) -> list[Machine]:
    """List the machines on standby; those due for maintenance come last."""
    parked = [
        machine
        for _, machine in sorted(manager.fleet.machines_by_name.items())
        if machine.pool == standby and is_free(manager, machine)
    ]
    return sorted(parked, key=lambda machine: is_due(manager, machine))


def _idle_beyond(manager: ManagerState, pool: str, kept: int) -> list[Machine]:
    """List idle machines of a pool beyond those that it keeps.

    Those due for maintenance come first: on standby it disturbs nobody.
    """
    spare = _present(manager, pool) - kept
    if spare <= 0:
        return []
    machines = manager.fleet.machines_by_name
    idle = [
        machine
        for _, machine in sorted(machines.items())
        if machine.pool == pool
        and is_free(manager, machine)
        and _is_idle(manager, machine.worker_id)
    ]
    idle.sort(key=lambda machine: not is_due(manager, machine))
    return idle[:spare]


def _is_idle(manager, worker_id):
    worker = manager.workers_by_id.get(worker_id)
    return (
        worker is not None
        and worker.registered
        and worker.contacted
        and not worker.unanswered_watches
        and not worker.evacuating
        and not worker.terminated
        and not worker.entry.draining
        and not worker.tasks
        and not may_have_untracked_runs(worker)
    )
