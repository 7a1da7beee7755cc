"""Moves of the manager's machines between pools as demand changes.

Machines in the standby pool are switched off and cost nothing. Machines that
no pool needs are moved there, and moved back when the demand of a pool grows.
Before the first finite job it is unknown which pool will need machines, so all
pools keep theirs.
"""

from immutables import Map

from sesamehall.core.effects import log
from sesamehall.core.fleet import Machine
from sesamehall.core.fleetstate import MachineOrderKind
from sesamehall.core.fleettiming import PEAK_HOLD_MS
from sesamehall.core.logevents import POOLS_SIZED
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step
from sesamehall.core.turntiming import ENDED_HOLD_MS
from sesamehall.reducer.jobs.leases import may_have_untracked_runs
from sesamehall.reducer.machines.drained_data_centres import is_machine_drained
from sesamehall.reducer.machines.drained_data_centres import usable_machines
from sesamehall.reducer.machines.pending_orders import accepts_orders
from sesamehall.reducer.machines.pending_orders import decide_order
from sesamehall.reducer.machines.sizing import divide_workers
from sesamehall.reducer.machines.sizing import pool_demand
from sesamehall.reducer.machines.sizing import staying_workers
from sesamehall.reducer.machines.sizing import update_peak
from sesamehall.reducer.machines.standby import standby_machines
from sesamehall.reducer.machines.standby import standby_pool
from sesamehall.reducer.machines.turn_forecasts import ended_turn_pool
from sesamehall.reducer.machines.turn_forecasts import is_first_turn
from sesamehall.reducer.machines.turn_logging import log_turns
from sesamehall.reducer.machines.turn_sizing import apply_turns
from sesamehall.reducer.machines.turn_tracking import advance_turns
from sesamehall.reducer.machines.waves import needs_maintenance


def choose_moves(manager: ManagerState, at_ms: int) -> Step:
    """Decide the moves that the demand of the pools requires.

    Args:
      manager: State of the leader.
      at_ms: Current time on the node's clock.
    Returns:
      A Step whose state holds the decided orders.
    """
    standby = standby_pool(manager)
    if standby is None:
        return Step(manager)
    turns = advance_turns(manager.turns, at_ms)
    step = log_turns(replace(manager, turns=turns), at_ms)
    manager = step.state
    turn_lines = step.effects
    pools = [
        name
        for name in sorted(manager.manifest.pools_by_name)
        if name != standby
    ]
    demand_by_pool = {
        pool: pool_demand(manager, pool, at_ms) for pool in pools
    }
    manager, demand_by_pool = apply_turns(manager, demand_by_pool, at_ms)
    targets = divide_workers(demand_by_pool, len(usable_machines(manager)))
    ended = ended_turn_pool(manager, at_ms)
    peaks = manager.fleet.peaks_by_pool
    for pool, target in targets.items():
        retained = target
        if not manager.arrivals_by_queue or is_first_turn(
            manager, pool, at_ms
        ):
            retained = max(target, _count_workers(manager, pool))
        hold_ms = ENDED_HOLD_MS if pool == ended else PEAK_HOLD_MS
        peak = update_peak(peaks.get(pool), retained, at_ms, hold_ms)
        peaks = peaks.set(pool, peak)
    step = _record_targets(manager, demand_by_pool, targets)
    manager = replace(
        step.state, fleet=replace(step.state.fleet, peaks_by_pool=peaks)
    )
    available = _available_machines(manager, standby, targets, ended)
    for pool in pools:
        missing = max(targets[pool] - _count_workers(manager, pool), 0)
        for machine in available[:missing]:
            manager = decide_order(
                manager, machine, MachineOrderKind.MOVE, pool, 0, at_ms
            )
        available = available[missing:]
    for pool in pools:
        for machine in _surplus_machines(manager, pool, peaks[pool].workers):
            manager = decide_order(
                manager, machine, MachineOrderKind.MOVE, standby, 0, at_ms
            )
    return Step(manager, turn_lines + step.effects)


def _available_machines(manager, standby, targets, ended):
    """Return the machines that may be moved, in the order of their use.

    Those of a turn that has ended come before those on standby, which spares
    their move there.  Of those on standby, the ones that need maintenance come
    last.
    """
    available = sorted(
        standby_machines(manager, standby),
        key=lambda machine: needs_maintenance(manager, machine),
    )
    for pool, target in targets.items():
        surplus = _surplus_machines(manager, pool, target)
        available = (
            surplus + available if pool == ended else available + surplus
        )
    return available


def _record_targets(manager, demand_by_pool, targets):
    """Record the target sizes and log them if one has changed."""
    short = {
        pool: True
        for pool, target in targets.items()
        if target < demand_by_pool[pool].wanted_workers
    }
    if dict(manager.fleet.short_pools) != short:
        fleet = replace(manager.fleet, short_pools=Map(short))
        manager = replace(manager, fleet=fleet)
    if dict(manager.fleet.targets_by_pool) == targets:
        return Step(manager)
    sizes = ",".join(
        f"{pool}:{demand_by_pool[pool].wanted_workers}"
        f"/{target}/{_count_workers(manager, pool)}"
        for pool, target in sorted(targets.items())
    )
    line = log(POOLS_SIZED, wanted_target_present=sizes)
    fleet = replace(manager.fleet, targets_by_pool=Map(targets))
    return Step(replace(manager, fleet=fleet), (line,))


def _count_workers(manager: ManagerState, pool: str) -> int:
    """Count the workers of a pool, including those that move to it.

    A machine in maintenance is not counted, since the pool lacks it meanwhile.
    """
    orders = manager.fleet.orders_by_machine.values()
    arriving = sum(order.pool == pool for order in orders)
    return len(staying_workers(manager, pool)) + arriving


def _surplus_machines(
    manager: ManagerState, pool: str, retained: int
) -> list[Machine]:
    """Return the idle machines that a pool has in excess.

    Those that need maintenance come first, since it disturbs no tasks while
    the machine is on standby.
    """
    surplus = _count_workers(manager, pool) - retained
    if surplus <= 0:
        return []
    machines = manager.fleet.machines_by_name
    idle = [
        machine
        for _, machine in sorted(machines.items())
        if machine.pool == pool
        and accepts_orders(manager, machine)
        and is_idle(manager, machine.worker_id)
        and not is_machine_drained(manager, machine)
    ]
    idle.sort(key=lambda machine: not needs_maintenance(manager, machine))
    return idle[:surplus]


def is_idle(manager: ManagerState, worker_id: str) -> bool:
    """Check whether a worker certainly has no runs and is in normal use.

    Args:
      manager: State of the leader.
      worker_id: Identifier of the worker.
    Returns:
      True if an order for its machine interrupts nothing.
    """
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
