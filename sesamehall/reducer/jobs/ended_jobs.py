"""Jobs that have ended while workers may still run tasks of them.

A worker that does not hear the leader goes on with the runs of a cancelled or
failed job until its lease ends.  These runs count against the ceiling of the
job's team.
"""

from sesamehall.core.data import EMPTY_MAP
from sesamehall.core.data import JobPhase
from sesamehall.core.jobtiming import ENDED_JOB_RUNS_MAX_MS
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.unreportedstate import EndedJob
from sesamehall.core.work import CompactProgress
from sesamehall.core.work import JobPlan
from sesamehall.core.work import Progress
from sesamehall.core.workstate import ActiveJob
from sesamehall.core.workstate import Run
from sesamehall.reducer.jobs.compacting import expand_progress
from sesamehall.reducer.jobs.possible_use import add_use
from sesamehall.reducer.jobs.possible_use import step_use
from sesamehall.reducer.jobs.possible_use import unreported_use
from sesamehall.reducer.jobs.progress import build_active_job

PHASES_WITH_RUNS = (JobPhase.CANCELLED, JobPhase.FAILED)


def record_own_end(
    manager: ManagerState, job: ActiveJob, runs: list[Run], at_ms: int
) -> ManagerState:
    """Record a job that this leader ends.

    Args:
      manager: State of the leader.
      job: The job before its end.
      runs: Its runs that are tracked.
      at_ms: Current time on the node's clock.
    Returns:
      The state.
    """
    unreported = unreported_use(job if job.inherited else _with_no_task(job))
    use = unreported
    for run in runs:
        use = add_use(use, step_use(job.plan.steps[run.place.step], 1))
    return _put(
        manager,
        job.plan.job_id,
        EndedJob(
            queue=job.plan.queue,
            team=job.plan.team,
            ended_ms=at_ms,
            use=use,
            term_epoch=manager.term.epoch,
            unreported_use=unreported,
        ),
    )


def record_read_end(
    manager: ManagerState,
    plan: JobPlan,
    progress: Progress | CompactProgress,
    phase: JobPhase,
    at_ms: int,
) -> ManagerState:
    """Record a job whose end this node has read.

    Args:
      manager: State of a manager.
      plan: The job.
      progress: Its progress as stored before the end.
      phase: Its final phase.
      at_ms: Current time on the node's clock.
    Returns:
      The state, unchanged if no run of it can go on or if it is recorded.
    """
    job_id = plan.job_id
    if phase not in PHASES_WITH_RUNS or job_id in manager.ended_jobs_by_id:
        return manager
    ended_ms = manager.ended_ms_by_job_id.get(job_id, at_ms)
    if at_ms - ended_ms >= ENDED_JOB_RUNS_MAX_MS:
        return manager
    expanded = replace(expand_progress(progress, plan), phase=JobPhase.RUNNING)
    wall_ms = at_ms + manager.wall_offset_ms
    job = build_active_job(plan, expanded, None, at_ms, wall_ms, True)
    use = unreported_use(job)
    ended = EndedJob(plan.queue, plan.team, ended_ms, use)
    return _put(manager, job_id, ended)


def forget_ended_jobs(manager: ManagerState, at_ms: int) -> ManagerState:
    """Forget the jobs whose runs have certainly ended.

    Args:
      manager: State of a manager.
      at_ms: Current time on the node's clock.
    Returns:
      The state.
    """
    ended_jobs = manager.ended_jobs_by_id
    for job_id, ended in manager.ended_jobs_by_id.items():
        if at_ms - ended.ended_ms >= ENDED_JOB_RUNS_MAX_MS:
            ended_jobs = ended_jobs.delete(job_id)
    if ended_jobs is manager.ended_jobs_by_id:
        return manager
    return replace(manager, ended_jobs_by_id=ended_jobs or EMPTY_MAP)


def _with_no_task(job):
    return replace(job, waiting=())


def _put(manager, job_id, ended):
    ended_jobs = manager.ended_jobs_by_id.set(job_id, ended)
    return replace(manager, ended_jobs_by_id=ended_jobs)
