"""Sizing: how many workers each pool needs, from its present demand."""

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
from sesamehall.core.work import reserved_size
from sesamehall.core.work import Size
from sesamehall.core.work import StepPlan
from sesamehall.core.workstate import ActiveJob
from sesamehall.core.workstate import Worker
from sesamehall.reducer.jobs.arrivals import surge_jobs_per_s
from sesamehall.reducer.jobs.durations import duration_ratio
from sesamehall.reducer.jobs.progress import critical_path_ms
from sesamehall.reducer.jobs.progress import plan_core_ms
from sesamehall.reducer.jobs.state_updates import job_pool


@dataclass(frozen=True, slots=True)
class Need:
    """Workers that a pool needs.

    Attributes:
      least: Workers without which lasting tasks cannot be placed.
      wanted: Workers with which all jobs can be done in time.
    """

    least: int
    wanted: int


def need_of(manager: ManagerState, pool: str, at_ms: int) -> Need:
    """Compute how many workers a pool needs now.

    A job needs as many workers as do its remaining work by its goal, and a
    surge that has just begun as many as do what comes; lasting tasks need
    their room, and as many workers as they must be spread over.

    Args:
      manager: State of the leader.
      pool: Name of the pool.
      at_ms: The node's clock.
    Returns:
      The need, with headroom and a spare worker.
    """
    workers = workers_of(manager, pool) or list(manager.workers_by_id.values())
    if not workers:
        return Need(0, 0)
    room = _mean_room(workers)
    lasting = 0.0
    timely = 0.0
    spread = 0
    for work in _works_of(manager, pool):
        if work.plan.steps[0].long_running:
            lasting += _lasting_load(work, room)
            spread = max(spread, _spread(work))
        else:
            ratio = duration_ratio(manager, work.plan.queue)
            timely += _timely_load(work, room, at_ms, ratio)
    timely = max(timely, _arriving_load(manager, pool, room, at_ms))
    least = max(ceil(lasting), spread)
    wanted = max(ceil((lasting + timely) * HEADROOM), spread) + SPARE_WORKERS
    return Need(least, wanted)


def share_out(needs_by_pool: dict[str, Need], workers: int) -> dict[str, int]:
    """Share out the workers that there are over the pools.

    Args:
      needs_by_pool: What each pool needs.
      workers: Workers in all of them and on standby.
    Returns:
      Workers for each pool: what it wants where there are enough, else the
      least, and of the rest a part in proportion to what it wants more.
    """
    wanted = sum(need.wanted for need in needs_by_pool.values())
    if wanted <= workers:
        return {pool: need.wanted for pool, need in needs_by_pool.items()}
    least = sum(need.least for need in needs_by_pool.values())
    rest = max(workers - least, 0)
    more = max(wanted - least, 1)
    return {
        pool: need.least + rest * (need.wanted - need.least) // more
        for pool, need in needs_by_pool.items()
    }


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
        worker.registered
        and not worker.evacuating
        and not worker.terminated
        and not worker.entry.draining
        and not worker.unanswered_watches
    )


def _lasting_load(work: ActiveJob, room: Size) -> float:
    """Compute the workers that a job's lasting tasks fill."""
    if work.progress.phase in TERMINAL_PHASES:
        return 0.0
    return sum(step.count * _part(step, room) for step in work.plan.steps)


def _timely_load(
    work: ActiveJob, room: Size, at_ms: int, ratio: float
) -> float:
    """Compute the workers that do the rest of a job by its goal."""
    whole = plan_core_ms(work.plan)
    if not whole or work.progress.phase in TERMINAL_PHASES:
        return 0.0
    worker_ms = sum(
        step.count * step.estimate_ms * _part(step, room)
        for step in work.plan.steps
    )
    left_ms = ratio * worker_ms * work.remaining_core_ms / whole
    return left_ms / _time_for(work, at_ms, ratio)


def _time_for(work: ActiveJob, at_ms: int, ratio: float) -> float:
    """Compute the time in which more machines may do the rest of a job.

    They come some time after they are asked for.  A job that cannot be done
    by its goal any more still earns a little up to LATE_GOAL_FACTOR times
    that; from then on there is no hurry.
    """
    chain_ms = ratio * critical_path_ms(work)
    end_ms = work.goal_ms - MACHINE_JOIN_MS
    if at_ms + chain_ms > work.goal_ms:
        late_after_ms = LATE_GOAL_FACTOR * (work.goal_ms - work.first_seen_ms)
        end_ms = work.first_seen_ms + late_after_ms
        if at_ms >= end_ms:
            end_ms = at_ms + late_after_ms
    return max(end_ms - at_ms, chain_ms, MIN_TIME_LEFT_MS)


def _arriving_load(manager, pool, room: Size, at_ms: int) -> float:
    """Compute the workers that do jobs faster than they come."""
    if not room.cpu_milli:
        return 0.0
    work_per_s = sum(
        surge_jobs_per_s(manager, name, at_ms)
        * manager.mean_core_ms_by_queue.get(name, 0.0)
        * duration_ratio(manager, name)
        for name, queue in manager.manifest.queues_by_name.items()
        if queue.pool == pool
    )
    return work_per_s * SURGE_HEADROOM / room.cpu_milli


def _part(step: StepPlan, room: Size) -> float:
    """Compute the part of a worker that a task takes."""
    taken = reserved_size(step.size, step.best_effort)
    return max(
        _ratio(taken.cpu_milli, room.cpu_milli),
        _ratio(taken.memory_mb, room.memory_mb),
        _ratio(taken.accelerators, room.accelerators),
    )


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
        for work in manager.active_jobs_by_id.values()
        if job_pool(manager, work) == pool
    )


def _spread(work: ActiveJob) -> int:
    """Tell on how many workers a job's lasting tasks must be spread."""
    if work.progress.phase in TERMINAL_PHASES:
        return 0
    return max(
        (
            -(-step.count // step.max_per_worker)
            for step in work.plan.steps
            if step.long_running and step.max_per_worker
        ),
        default=0,
    )
