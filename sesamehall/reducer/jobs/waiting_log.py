"""Log lines about what the waiting tasks of a pool wait for."""

from collections.abc import Mapping

from sesamehall.core.effects import log
from sesamehall.core.jobtiming import WAITING_LOG_PERIOD_MS
from sesamehall.core.logevents import TASKS_WAITING
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.sizes import add_size
from sesamehall.core.step import Step
from sesamehall.core.work import NO_SIZE
from sesamehall.core.work import Size
from sesamehall.core.workstate import ActiveJob
from sesamehall.reducer.jobs.availability import exclusion_reason
from sesamehall.reducer.jobs.availability import ExclusionReason
from sesamehall.reducer.jobs.ceilings import has_ceiling
from sesamehall.reducer.jobs.ceilings import is_within_ceiling
from sesamehall.reducer.jobs.leases import may_start
from sesamehall.reducer.jobs.queue_pools import is_pool_stored
from sesamehall.reducer.jobs.queue_pools import queue_may_have_untracked_runs
from sesamehall.reducer.jobs.queueing import available_workers
from sesamehall.reducer.jobs.queueing import rank_waiting_jobs
from sesamehall.reducer.jobs.queueing import waiting_jobs
from sesamehall.reducer.jobs.share_log import share_lines
from sesamehall.reducer.jobs.state_updates import pool_workers
from sesamehall.reducer.jobs.unreported_runs import unreported_by_team
from sesamehall.reducer.machines.drained_data_centres import is_worker_drained

NO_USE_BY_TEAM: Mapping[str, Size] = {}


def log_waiting_tasks(manager: ManagerState, pool: str, at_ms: int) -> Step:
    """Log why tasks of a pool wait, at most once per WAITING_LOG_PERIOD_MS.

    Args:
      manager: State of the leader after a placement round.
      pool: Name of a pool with tasks that were not placed.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with one log line, and another one if teams share the pool, or
      without effects.
    """
    logged_ms = manager.waiting_logged_ms_by_pool.get(pool)
    if logged_ms is not None and at_ms - logged_ms < WAITING_LOG_PERIOD_MS:
        return Step(manager)
    logged = manager.waiting_logged_ms_by_pool.set(pool, at_ms)
    jobs = waiting_jobs(manager, pool)
    queue_names = {job.plan.queue for job in jobs}
    workers = available_workers(manager, pool, at_ms)
    ranking = rank_waiting_jobs(manager, pool, workers, at_ms)
    cpu_milli = [worker.entry.capacity.cpu_milli for worker in workers]
    free_cpu_milli = [
        worker.entry.capacity.cpu_milli - worker.used.cpu_milli
        for worker in workers
    ]
    line = log(
        TASKS_WAITING,
        pool=pool,
        jobs=len(jobs),
        tasks=sum(len(job.waiting) for job in jobs),
        oldest_ms=max(at_ms - job.first_seen_ms for job in jobs),
        lasting=len(ranking.long_running),
        timely=len(ranking.timely),
        put_back=len(ranking.deferred),
        late=len(ranking.late),
        inherited=sum(job.inherited for job in jobs),
        unconfirmed=sum(not may_start(manager, job, at_ms) for job in jobs),
        at_ceiling=_count_at_ceiling(manager, jobs, NO_USE_BY_TEAM),
        unreported_at_ceiling=_count_at_ceiling(
            manager, jobs, _unreported(manager, jobs)
        ),
        orders=len(manager.start_ordered_ms_by_run),
        unresolved=sum(
            queue_may_have_untracked_runs(manager, name)
            for name in queue_names
        ),
        pools_unstored=sum(
            not is_pool_stored(manager, name, pool) for name in queue_names
        ),
        takers=len(workers),
        cpu=sum(cpu_milli),
        free_cpu=sum(free_cpu_milli),
        most_free_cpu=max(free_cpu_milli, default=0),
        others=_count_excluded(manager, pool, at_ms),
    )
    lines = (line,) + share_lines(manager, pool, ranking)
    return Step(replace(manager, waiting_logged_ms_by_pool=logged), lines)


def _unreported(manager, jobs) -> Mapping[str, Size]:
    """Compute what unreported runs may use, if a team has a ceiling."""
    if any(has_ceiling(manager, job.plan.team) for job in jobs):
        return unreported_by_team(manager)
    return NO_USE_BY_TEAM


def _count_at_ceiling(
    manager: ManagerState,
    jobs: list[ActiveJob],
    unreported: Mapping[str, Size],
) -> int:
    """Count the jobs whose next task their team's ceiling blocks."""
    return sum(_is_at_ceiling(manager, job, unreported) for job in jobs)


def _is_at_ceiling(manager, job, unreported):
    team = job.plan.team
    size = job.plan.steps[job.waiting[0].step].size
    used = add_size(
        manager.used_by_team.get(team, NO_SIZE),
        unreported.get(team, NO_SIZE),
    )
    return not is_within_ceiling(manager, team, add_size(used, size))


def _count_excluded(manager: ManagerState, pool: str, at_ms: int) -> str:
    """Count the excluded workers of a pool by reason, as `reason:count`."""
    counts: dict[str, int] = {}
    for worker in pool_workers(manager, pool):
        reason = exclusion_reason(worker, at_ms)
        if reason is None and is_worker_drained(manager, worker):
            reason = ExclusionReason.DRAINED
        if reason is not None:
            counts[reason.value] = counts.get(reason.value, 0) + 1
    return ",".join(f"{name}:{counts[name]}" for name in sorted(counts))
