"""Queueing: which waiting jobs of a pool may start, and in which order."""

from sesamehall.core.data import EMPTY_MAP
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.workstate import ActiveJob
from sesamehall.core.workstate import Worker
from sesamehall.reducer.jobs.durations import duration_ratio
from sesamehall.reducer.jobs.durations import mean_delay_ms
from sesamehall.reducer.jobs.durations import mean_occupancy_ms
from sesamehall.reducer.jobs.durations import occupancy_ratio
from sesamehall.reducer.jobs.leases import is_incarnation_confirmed
from sesamehall.reducer.jobs.leases import may_have_untracked_runs
from sesamehall.reducer.jobs.leases import may_start
from sesamehall.reducer.jobs.placement_round import is_available
from sesamehall.reducer.jobs.progress import critical_path_ms
from sesamehall.reducer.jobs.ranking import rank_jobs
from sesamehall.reducer.jobs.ranking import Ranking
from sesamehall.reducer.jobs.ranking import WaitingJob


def pool_may_have_untracked_runs(manager: ManagerState, pool: str) -> bool:
    """Check whether a pool may have untracked runs of an earlier leader.

    Args:
      manager: State of the leader.
      pool: Name of the pool.
    Returns:
      True while a worker that may have such runs has not answered, or has
      reported runs that are neither adopted nor ended.
    """
    return any(
        may_have_untracked_runs(worker)
        for worker in pool_workers(manager, pool)
    )


def available_workers(
    manager: ManagerState, pool: str, at_ms: int
) -> list[Worker]:
    """List the workers of a pool that are available for new tasks.

    Args:
      manager: State of the leader.
      pool: Name of the pool.
      at_ms: Current time on the node's clock.
    Returns:
      The workers, in the order of their identifiers.
    """
    return [
        worker
        for worker in pool_workers(manager, pool)
        if is_available(worker, at_ms)
        and is_incarnation_confirmed(manager, worker, at_ms)
    ]


def pool_workers(manager: ManagerState, pool: str) -> list[Worker]:
    """List all workers of a pool, available or not.

    Args:
      manager: State of the leader.
      pool: Name of the pool.
    Returns:
      The workers, in the order of their identifiers.
    """
    ids = manager.worker_ids_by_pool.get(pool, EMPTY_MAP)
    return [manager.workers_by_id[worker_id] for worker_id in sorted(ids)]


def ranked_jobs(
    manager: ManagerState, pool: str, workers: list[Worker], at_ms: int
) -> list[ActiveJob]:
    """List the waiting jobs of a pool that may start, highest rank first.

    Args:
      manager: State of the leader.
      pool: Name of the pool.
      workers: Its available workers.
      at_ms: Current time on the node's clock.
    Returns:
      The jobs, in the order in which their tasks are placed.
    """
    ranking = rank_waiting_jobs(manager, pool, workers, at_ms)
    return [manager.active_jobs_by_id[job_id] for job_id in ranking.job_ids()]


def rank_waiting_jobs(
    manager: ManagerState, pool: str, workers: list[Worker], at_ms: int
) -> Ranking:
    """Rank the waiting jobs of a pool that may start.

    Args:
      manager: State of the leader.
      pool: Name of the pool.
      workers: Its available workers.
      at_ms: Current time on the node's clock.
    Returns:
      The ranking.
    """
    untracked = pool_may_have_untracked_runs(manager, pool)
    jobs = [
        job
        for job in waiting_jobs(manager, pool)
        if not (untracked and job.inherited) and may_start(manager, job, at_ms)
    ]
    cores = sum(worker.entry.capacity.cpu_milli for worker in workers) / 1_000
    used_cores = sum(worker.used.cpu_milli for worker in workers) / 1_000
    running_core_ms = used_cores * mean_occupancy_ms(manager, pool) / 2
    waiting = [_waiting_job(manager, job) for job in jobs]
    return rank_jobs(waiting, cores, at_ms, running_core_ms)


def waiting_jobs(manager: ManagerState, pool: str) -> list[ActiveJob]:
    """List the jobs of a pool with waiting tasks.

    Args:
      manager: State of the leader.
      pool: Name of the pool.
    Returns:
      The jobs, in no particular order.
    """
    job_ids = manager.job_ids_by_pool.get(pool, EMPTY_MAP)
    return [manager.active_jobs_by_id[job_id] for job_id in job_ids]


def _waiting_job(manager, job):
    """Collect the properties of a job that ranking uses."""
    queue = manager.manifest.queues_by_name[job.plan.queue]
    ratio = duration_ratio(manager, queue.name)
    occupancy = occupancy_ratio(manager, queue.name)
    mean_core_ms = manager.mean_core_ms_by_queue.get(queue.name, 0.0)
    return WaitingJob(
        job_id=job.plan.job_id,
        priority=queue.priority,
        goal_ms=job.goal_ms,
        critical_path_ms=critical_path_ms(
            job, ratio, mean_delay_ms(manager, queue.name)
        ),
        core_ms=occupancy * job.remaining_core_ms,
        mean_core_ms=occupancy * mean_core_ms,
        long_running=job.plan.steps[0].long_running,
    )
