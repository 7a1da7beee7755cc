"""Sizes of the manager's worker pools, computed from their current demand."""

from dataclasses import dataclass
from math import ceil

from sesamehall.core.data import EMPTY_MAP
from sesamehall.core.data import TERMINAL_PHASES
from sesamehall.core.fleetstate import Peak
from sesamehall.core.fleettiming import HEADROOM
from sesamehall.core.fleettiming import LATE_GOAL_FACTOR
from sesamehall.core.fleettiming import MACHINE_JOIN_MS
from sesamehall.core.fleettiming import MIN_TIME_LEFT_MS
from sesamehall.core.fleettiming import PEAK_HOLD_MS
from sesamehall.core.fleettiming import SPARE_WORKERS
from sesamehall.core.fleettiming import SURGE_HEADROOM
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.sizes import reserved_size
from sesamehall.core.work import Size
from sesamehall.core.work import StepPlan
from sesamehall.core.workstate import ActiveJob
from sesamehall.core.workstate import Worker
from sesamehall.reducer.jobs.arrivals import surge_jobs_per_s
from sesamehall.reducer.jobs.durations import duration_ratio
from sesamehall.reducer.jobs.progress import critical_path_ms
from sesamehall.reducer.jobs.progress import plan_core_ms
from sesamehall.reducer.jobs.state_updates import job_pool
from sesamehall.reducer.machines.drained_data_centres import is_worker_drained


@dataclass(frozen=True, slots=True)
class PoolDemand:
    """Number of workers that a pool needs.

    Attributes:
      min_workers: Workers that its long-running tasks need to be placed.
      wanted_workers: Workers that it needs to complete all jobs in time.
    """

    min_workers: int
    wanted_workers: int


def pool_demand(manager: ManagerState, pool: str, at_ms: int) -> PoolDemand:
    """Compute how many workers a pool needs now.

    A finite job needs the workers that complete its remaining tasks by its
    goal, and a surge needs those that keep up with the arriving jobs.
    Long-running tasks need capacity for their size, and as many workers as
    they must be spread over.

    Args:
      manager: State of the leader.
      pool: Name of the pool.
      at_ms: Current time on the node's clock.
    Returns:
      The demand; only `wanted_workers` includes headroom and a spare worker.
    """
    capacity = worker_capacity(manager, pool)
    if capacity is None:
        return PoolDemand(0, 0)
    long_running_load = 0.0
    goal_load = 0.0
    min_spread = 0
    for job in _pool_jobs(manager, pool):
        if job.plan.steps[0].long_running:
            long_running_load += _long_running_load(job, capacity)
            min_spread = max(min_spread, _min_spread(job))
        else:
            ratio = duration_ratio(manager, job.plan.queue)
            goal_load += _goal_load(job, capacity, at_ms, ratio)
    goal_load = max(goal_load, surge_load(manager, pool, capacity, at_ms))
    min_workers = max(ceil(long_running_load), min_spread)
    wanted_workers = (
        max(ceil((long_running_load + goal_load) * HEADROOM), min_spread)
        + SPARE_WORKERS
    )
    return PoolDemand(min_workers, wanted_workers)


def worker_capacity(manager: ManagerState, pool: str) -> Size | None:
    """Compute the mean capacity of a pool's workers.

    Args:
      manager: State of the leader.
      pool: Name of the pool.
    Returns:
      The capacity, that of all pools' workers if the pool has none of its
      own, or None if there are no workers.
    """
    workers = staying_workers(manager, pool) or list(
        manager.workers_by_id.values()
    )
    return _mean_capacity(workers) if workers else None


def divide_workers(
    demand_by_pool: dict[str, PoolDemand], workers: int
) -> dict[str, int]:
    """Divide the workers among the pools.

    Args:
      demand_by_pool: Demand of each pool.
      workers: Number of workers in all pools and on standby.
    Returns:
      Number of workers for each pool: its wanted number if there are enough,
      otherwise its minimum and a part of the remaining workers that is
      proportional to the rest of its wanted number.
    """
    wanted_workers = sum(
        demand.wanted_workers for demand in demand_by_pool.values()
    )
    if wanted_workers <= workers:
        return {
            pool: demand.wanted_workers
            for pool, demand in demand_by_pool.items()
        }
    min_workers = sum(demand.min_workers for demand in demand_by_pool.values())
    remaining = max(workers - min_workers, 0)
    extra_wanted = max(wanted_workers - min_workers, 1)
    return {
        pool: demand.min_workers
        + remaining
        * (demand.wanted_workers - demand.min_workers)
        // extra_wanted
        for pool, demand in demand_by_pool.items()
    }


def update_peak(
    previous: Peak | None,
    workers: int,
    at_ms: int,
    hold_ms: int = PEAK_HOLD_MS,
) -> Peak:
    """Update the highest recent demand of a pool.

    Args:
      previous: The peak so far, or None.
      workers: Number of workers that are needed now.
      at_ms: Current time on the node's clock.
      hold_ms: Time for which a peak is kept.
    Returns:
      The new peak; the previous one is kept while it is higher and younger
      than `hold_ms`.
    """
    if previous is None or workers >= previous.workers:
        return Peak(workers, at_ms)
    if at_ms - previous.at_ms >= hold_ms:
        return Peak(workers, at_ms)
    return previous


def staying_workers(manager: ManagerState, pool: str) -> list[Worker]:
    """Return the workers of a pool that are expected to stay in it.

    Args:
      manager: State of the leader.
      pool: Name of the pool.
    Returns:
      Workers that are registered, answer and are neither draining nor
      evacuating nor terminated nor in a drained data centre.
    """
    ids = manager.worker_ids_by_pool.get(pool, EMPTY_MAP)
    workers = (manager.workers_by_id[worker_id] for worker_id in sorted(ids))
    return [
        worker
        for worker in workers
        if _is_staying(worker) and not is_worker_drained(manager, worker)
    ]


def _is_staying(worker):
    return (
        worker.registered
        and not worker.evacuating
        and not worker.terminated
        and not worker.entry.draining
        and not worker.unanswered_watches
    )


def _long_running_load(job: ActiveJob, capacity: Size) -> float:
    """Compute how many workers a job's long-running tasks occupy."""
    if job.progress.phase in TERMINAL_PHASES:
        return 0.0
    return sum(
        step.count * _worker_share(step, capacity) for step in job.plan.steps
    )


def _goal_load(
    job: ActiveJob, capacity: Size, at_ms: int, ratio: float
) -> float:
    """Compute how many workers complete a finite job by its goal."""
    total_core_ms = plan_core_ms(job.plan)
    if not total_core_ms or job.progress.phase in TERMINAL_PHASES:
        return 0.0
    worker_ms = sum(
        step.count * step.estimate_ms * _worker_share(step, capacity)
        for step in job.plan.steps
    )
    remaining_worker_ms = (
        ratio * worker_ms * job.remaining_core_ms / total_core_ms
    )
    return remaining_worker_ms / _time_left_ms(job, at_ms, ratio)


def _time_left_ms(job: ActiveJob, at_ms: int, ratio: float) -> float:
    """Compute the time in which a job's remaining tasks should be completed.

    For a job that can meet its goal, it is the time to the goal less
    MACHINE_JOIN_MS, after which ordered machines join. A late job loses its
    value at LATE_GOAL_FACTOR times the time that its goal allows: that is its
    limit, and once it has passed, the job gets the same time again, counted
    from now. The result is at least the job's critical path and
    MIN_TIME_LEFT_MS.
    """
    path_ms = ratio * critical_path_ms(job)
    end_ms = job.goal_ms - MACHINE_JOIN_MS
    if at_ms + path_ms > job.goal_ms:
        late_limit_ms = LATE_GOAL_FACTOR * (job.goal_ms - job.first_seen_ms)
        end_ms = job.first_seen_ms + late_limit_ms
        if at_ms >= end_ms:
            end_ms = at_ms + late_limit_ms
    return max(end_ms - at_ms, path_ms, MIN_TIME_LEFT_MS)


def surge_load(
    manager: ManagerState, pool: str, capacity: Size, at_ms: int
) -> float:
    """Compute how many workers process a surge faster than jobs arrive.

    Args:
      manager: State of the leader.
      pool: Name of the pool.
      capacity: Mean capacity of its workers.
      at_ms: Current time on the node's clock.
    Returns:
      Number of workers.
    """
    if not capacity.cpu_milli:
        return 0.0
    core_ms_per_s = sum(
        surge_jobs_per_s(manager, name, at_ms)
        * manager.mean_core_ms_by_queue.get(name, 0.0)
        * duration_ratio(manager, name)
        for name, queue in manager.manifest.queues_by_name.items()
        if queue.pool == pool
    )
    # Core-milliseconds per second are thousandths of a core, as cpu_milli.
    return core_ms_per_s * SURGE_HEADROOM / capacity.cpu_milli


def occupied_load(manager: ManagerState, pool: str, capacity: Size) -> float:
    """Compute how many workers the tasks that run or may start occupy.

    Args:
      manager: State of the leader.
      pool: Name of the pool.
      capacity: Mean capacity of its workers.
    Returns:
      Number of workers.
    """
    ids = manager.worker_ids_by_pool.get(pool, EMPTY_MAP)
    load = sum(
        _size_share(manager.workers_by_id[worker_id].used, capacity)
        for worker_id in ids
    )
    for job_id in manager.job_ids_by_pool.get(pool, EMPTY_MAP):
        job = manager.active_jobs_by_id[job_id]
        counts = _count_by_step(job)
        for step_number, count in counts.items():
            step = job.plan.steps[step_number]
            load += count * _worker_share(step, capacity)
    return load


def _count_by_step(job: ActiveJob) -> dict[int, int]:
    """Count the tasks of each step that may start."""
    counts: dict[int, int] = {}
    for place in job.waiting:
        counts[place.step] = counts.get(place.step, 0) + 1
    return counts


def _worker_share(step: StepPlan, capacity: Size) -> float:
    """Compute the share of a worker that a task occupies."""
    return _size_share(reserved_size(step.size, step.best_effort), capacity)


def _size_share(size: Size, capacity: Size) -> float:
    """Compute the share of a worker that some resources are."""
    return max(
        _ratio(size.cpu_milli, capacity.cpu_milli),
        _ratio(size.memory_mb, capacity.memory_mb),
        _ratio(size.accelerators, capacity.accelerators),
    )


def _mean_capacity(workers) -> Size:
    count = len(workers)
    return Size(
        sum(worker.entry.capacity.cpu_milli for worker in workers) // count,
        sum(worker.entry.capacity.memory_mb for worker in workers) // count,
        sum(worker.entry.capacity.accelerators for worker in workers) // count,
    )


def _ratio(demand, capacity):
    return demand / capacity if capacity else 0.0


def _pool_jobs(manager, pool):
    return (
        job
        for job in manager.active_jobs_by_id.values()
        if job_pool(manager, job) == pool
    )


def _min_spread(job: ActiveJob) -> int:
    """Compute how many workers the max_per_worker limits require."""
    if job.progress.phase in TERMINAL_PHASES:
        return 0
    return max(
        (
            -(-step.count // step.max_per_worker)
            for step in job.plan.steps
            if step.long_running and step.max_per_worker
        ),
        default=0,
    )
