"""Sizes of pools in a deployment whose demand comes by turns."""

from math import ceil
from math import exp

from sesamehall.core.fleetstate import SmoothedDemand
from sesamehall.core.fleettiming import HEADROOM
from sesamehall.core.fleettiming import SPARE_WORKERS
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.turntiming import DEMAND_SMOOTHING_MS
from sesamehall.reducer.machines.drained_data_centres import usable_machines
from sesamehall.reducer.machines.sizing import occupied_load
from sesamehall.reducer.machines.sizing import PoolDemand
from sesamehall.reducer.machines.sizing import surge_load
from sesamehall.reducer.machines.sizing import worker_capacity
from sesamehall.reducer.machines.turn_forecasts import forecast_load
from sesamehall.reducer.machines.turn_forecasts import is_rising
from sesamehall.reducer.machines.turns import has_turns


def apply_turns(
    manager: ManagerState, demand_by_pool: dict[str, PoolDemand], at_ms: int
) -> tuple[ManagerState, dict[str, PoolDemand]]:
    """Smooth the demand of the pools and raise it to the forecasts of turns.

    A machine that is ordered for a demand joins MACHINE_JOIN_MS later, so a
    shorter peak is not worth a move.  The average is kept from the beginning
    of the first turn on, and used once demand comes by turns.

    Args:
      manager: State of the leader.
      demand_by_pool: Demand of each pool as computed from its jobs.
      at_ms: Current time on the node's clock.
    Returns:
      The state, and the demand; it is unchanged unless demand comes by turns.
    """
    by_turns = has_turns(manager.turns, at_ms)
    if not by_turns and manager.turns.current is None:
        return manager, demand_by_pool
    smoothed_by_pool = {}
    forecast_by_pool = {}
    for pool, demand in demand_by_pool.items():
        capacity = worker_capacity(manager, pool)
        if capacity is None:
            return manager, demand_by_pool
        manager, wanted = _smoothed_workers(
            manager, pool, demand, capacity, at_ms
        )
        smoothed_by_pool[pool] = replace(demand, wanted_workers=wanted)
        forecast_by_pool[pool] = _forecast_workers(
            manager, pool, demand, capacity, at_ms
        )
    if not by_turns:
        return manager, demand_by_pool
    workers = len(usable_machines(manager))
    return manager, _add_forecasts(smoothed_by_pool, forecast_by_pool, workers)


def _add_forecasts(demand_by_pool, forecast_by_pool, workers):
    """Raise the demand of pools to their forecasts.

    Forecasts get only workers that no demand requires; if there are too few,
    each gets the same share of what it lacks.
    """
    lacking_by_pool = {
        pool: max(forecast_by_pool[pool] - demand.wanted_workers, 0)
        for pool, demand in demand_by_pool.items()
    }
    wanted = sum(demand.wanted_workers for demand in demand_by_pool.values())
    left = max(workers - wanted, 0)
    lacking = max(sum(lacking_by_pool.values()), left, 1)
    return {
        pool: replace(
            demand,
            wanted_workers=demand.wanted_workers
            + lacking_by_pool[pool] * left // lacking,
        )
        for pool, demand in demand_by_pool.items()
    }


def _smoothed_workers(manager, pool, demand, capacity, at_ms):
    """Compute how many workers the jobs of a pool need, by its average."""
    least = min(demand.wanted_workers, demand.min_workers + SPARE_WORKERS)
    usable = max(_usable_workers(manager, pool, capacity, at_ms), least)
    wanted = min(demand.wanted_workers, usable)
    smoothed_by_pool = manager.fleet.smoothed_demand_by_pool
    smoothed = _smooth(smoothed_by_pool.get(pool), wanted, at_ms)
    smoothed_by_pool = smoothed_by_pool.set(pool, smoothed)
    manager = replace(
        manager,
        fleet=replace(manager.fleet, smoothed_demand_by_pool=smoothed_by_pool),
    )
    if not is_rising(manager, pool, at_ms):
        wanted = max(round(smoothed.workers), least)
    return manager, wanted


def _usable_workers(manager, pool, capacity, at_ms):
    """Compute how many workers the tasks that run or may start can occupy.

    More are of no use to jobs that have arrived, whatever their goals.
    """
    load = surge_load(manager, pool, capacity, at_ms)
    load = max(load, occupied_load(manager, pool, capacity))
    return ceil(load * HEADROOM) + SPARE_WORKERS


def _forecast_workers(manager, pool, demand, capacity, at_ms):
    """Compute how many workers a pool needs by the forecasts of turns."""
    core_ms_per_s = forecast_load(manager, pool, at_ms)
    if not core_ms_per_s or not capacity.cpu_milli:
        return 0
    # Core-milliseconds per second are thousandths of a core, as cpu_milli.
    load = core_ms_per_s / capacity.cpu_milli
    return demand.min_workers + ceil(load * HEADROOM) + SPARE_WORKERS


def _smooth(previous, workers, at_ms):
    """Add the current demand of a pool to its average."""
    if previous is None:
        return SmoothedDemand(workers, at_ms)
    left = exp(-max(at_ms - previous.at_ms, 0) / DEMAND_SMOOTHING_MS)
    return SmoothedDemand(workers + left * (previous.workers - workers), at_ms)
