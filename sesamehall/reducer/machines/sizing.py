"""Sizing: how many workers each pool needs, from its present demand."""

from collections.abc import Iterable
from math import ceil

from sesamehall.core.data import EMPTY_MAP
from sesamehall.core.data import TERMINAL_PHASES
from sesamehall.core.fleettiming import HEADROOM
from sesamehall.core.fleettiming import PEAK_HOLD_MS
from sesamehall.core.fleettiming import SPARE_WORKERS
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.managerstate import Peak
from sesamehall.core.managerstate import Work
from sesamehall.core.managerstate import Worker
from sesamehall.core.work import Size
from sesamehall.reducer.jobs.bookkeeping import pool_of


def needed_workers(manager: ManagerState, pool: str) -> int:
    """Compute how many workers a pool needs now.

    Args:
      manager: State of the leader.
      pool: Name of the pool.
    Returns:
      Enough for what runs and waits, with headroom for a growing demand,
      and for lasting tasks that must not share a worker.
    """
    workers = workers_of(manager, pool)
    if not workers:
        return 0
    demand = _demand(manager, pool, workers)
    room = _mean_room(workers)
    by_size = max(
        _ratio(demand.cpu_milli, room.cpu_milli),
        _ratio(demand.memory_mb, room.memory_mb),
        _ratio(demand.accelerators, room.accelerators),
    )
    spread = max(
        (_spread(work) for work in _works_of(manager, pool)), default=0
    )
    return max(ceil(by_size * HEADROOM), spread) + SPARE_WORKERS


def hold_peak(old: Peak | None, workers: int, at_ms: int) -> Peak:
    """Keep the highest need of the latest time.

    Args:
      old: What was kept before, or None.
      workers: Workers that are needed now.
      at_ms: The node's clock.
    Returns:
      What is kept now.
    """
    if old is None or workers >= old.workers:
        return Peak(workers, at_ms)
    if at_ms - old.at_ms >= PEAK_HOLD_MS:
        return Peak(workers, at_ms)
    return old


def workers_of(manager: ManagerState, pool: str) -> list[Worker]:
    """List the workers of a pool that are there to stay.

    Args:
      manager: State of the leader.
      pool: Name of the pool.
    Returns:
      Those that are registered, not draining and not to be emptied.
    """
    ids = manager.worker_ids_by_pool.get(pool, EMPTY_MAP)
    workers = (manager.workers_by_id[worker_id] for worker_id in sorted(ids))
    return [worker for worker in workers if _stays(worker)]


def _stays(worker):
    return (
        worker.listed
        and not worker.leaving
        and not worker.entry.draining
        and not worker.silences
    )


def _demand(manager, pool, workers: Iterable[Worker]) -> Size:
    """Add up what runs on the workers and what waits for them."""
    cpu = sum(worker.used.cpu_milli for worker in workers)
    memory = sum(worker.used.memory_mb for worker in workers)
    accelerators = sum(worker.used.accelerators for worker in workers)
    for job_id in manager.job_ids_by_pool.get(pool, EMPTY_MAP):
        work = manager.works_by_id[job_id]
        for place in work.waiting:
            step = work.plan.steps[place.step]
            cpu += 0 if step.fills else step.size.cpu_milli
            memory += step.size.memory_mb
            accelerators += step.size.accelerators
    return Size(cpu, memory, accelerators)


def _mean_room(workers) -> Size:
    count = len(workers)
    return Size(
        sum(worker.entry.capacity.cpu_milli for worker in workers) // count,
        sum(worker.entry.capacity.memory_mb for worker in workers) // count,
        sum(worker.entry.capacity.accelerators for worker in workers) // count,
    )


def _ratio(demand, room):
    return demand / room if room else 0.0


def _works_of(manager, pool):
    return (
        work
        for work in manager.works_by_id.values()
        if pool_of(manager, work) == pool
    )


def _spread(work: Work) -> int:
    """Tell on how many workers a job's lasting tasks must be spread."""
    if work.progress.phase in TERMINAL_PHASES:
        return 0
    return max(
        (
            -(-step.count // step.most_per_worker)
            for step in work.plan.steps
            if step.lasting and step.most_per_worker
        ),
        default=0,
    )
