"""Queueing: which waiting jobs of a pool may start, and in which order."""

from sesamehall.core.data import EMPTY_MAP
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.workstate import ActiveJob
from sesamehall.core.workstate import Worker
from sesamehall.reducer.jobs.availability import is_available
from sesamehall.reducer.jobs.durations import duration_ratio
from sesamehall.reducer.jobs.durations import mean_delay_ms
from sesamehall.reducer.jobs.durations import mean_occupancy_ms
from sesamehall.reducer.jobs.durations import occupancy_ratio
from sesamehall.reducer.jobs.forecasts import forecast_goal_ms
from sesamehall.reducer.jobs.forecasts import forecast_job
from sesamehall.reducer.jobs.leases import is_incarnation_confirmed
from sesamehall.reducer.jobs.leases import may_start
from sesamehall.reducer.jobs.queue_pools import is_pool_stored
from sesamehall.reducer.jobs.queue_pools import queue_may_have_untracked_runs
from sesamehall.reducer.jobs.ranking import rank_jobs
from sesamehall.reducer.jobs.ranking import Ranking
from sesamehall.reducer.jobs.ranking import WaitingJob
from sesamehall.reducer.jobs.share_accounts import team_loads
from sesamehall.reducer.jobs.state_updates import pool_workers
from sesamehall.reducer.machines.drained_data_centres import is_worker_drained


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
        and not is_worker_drained(manager, worker)
        and is_incarnation_confirmed(manager, worker, at_ms)
    ]


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
    jobs = _startable_jobs(manager, pool, at_ms)
    cores = sum(worker.entry.capacity.cpu_milli for worker in workers) / 1_000
    used_cores = sum(worker.used.cpu_milli for worker in workers) / 1_000
    running_core_ms = used_cores * mean_occupancy_ms(manager, pool) / 2
    waiting = [_waiting_job(manager, job) for job in jobs]
    core_ms_by_job_id = {job.job_id: job.core_ms for job in waiting}
    loads = team_loads(manager, pool, core_ms_by_job_id)
    return rank_jobs(waiting, cores, at_ms, running_core_ms, loads)


def _startable_jobs(manager, pool, at_ms):
    """List the waiting jobs of a pool whose tasks certainly have no run.

    Tasks of an inherited job may have runs on any worker of the pools that are
    stored for its queue.  Until the pool itself is stored, a successor would
    not look for runs there.
    """
    jobs = waiting_jobs(manager, pool)
    unstored = {
        name
        for name in {job.plan.queue for job in jobs}
        if not is_pool_stored(manager, name, pool)
    }
    unresolved = {
        name
        for name in {job.plan.queue for job in jobs if job.inherited}
        if queue_may_have_untracked_runs(manager, name)
    }
    return [
        job
        for job in jobs
        if job.plan.queue not in unstored
        and not (job.inherited and job.plan.queue in unresolved)
        and may_start(manager, job, at_ms)
    ]


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
    occupancy = occupancy_ratio(manager, queue.name)
    overhead = occupancy - duration_ratio(manager, queue.name)
    delay_ms = mean_delay_ms(manager, queue.name)
    mean_core_ms = manager.mean_core_ms_by_queue.get(queue.name, 0.0)
    forecast = forecast_job(manager, job)
    return WaitingJob(
        job_id=job.plan.job_id,
        priority=queue.priority,
        goal_ms=forecast_goal_ms(job, queue, forecast),
        critical_path_ms=round(
            forecast.path_ms + delay_ms * job.critical_path.steps
        ),
        core_ms=forecast.core_ms + overhead * job.remaining_core_ms,
        mean_core_ms=occupancy * mean_core_ms,
        long_running=job.plan.steps[0].long_running,
    )
