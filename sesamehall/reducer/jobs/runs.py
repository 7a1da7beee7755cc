"""Ends of runs and their effect on tasks, jobs and workers."""

from sesamehall.core.data import EMPTY_MAP
from sesamehall.core.data import JobPhase
from sesamehall.core.data import TERMINAL_PHASES
from sesamehall.core.effects import log
from sesamehall.core.effects import SetTimer
from sesamehall.core.jobtiming import PLACE_DELAY_MS
from sesamehall.core.jobtiming import PLACE_JOBS_PER_MS
from sesamehall.core.jobtiming import WORKER_QUARANTINE_FAILURES
from sesamehall.core.jobtiming import WORKER_QUARANTINE_MS
from sesamehall.core.logevents import JOB_FINISHED
from sesamehall.core.logevents import RUN_ENDED
from sesamehall.core.logevents import RUN_STOP_REQUESTED
from sesamehall.core.logevents import WORKER_QUARANTINED
from sesamehall.core.managereffects import StopRun
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.core.timers import PlaceTimer
from sesamehall.core.work import EndedRun
from sesamehall.core.work import parse_task_id
from sesamehall.core.work import RunEnd
from sesamehall.core.work import task_id
from sesamehall.core.workstate import ActiveJob
from sesamehall.core.workstate import Run
from sesamehall.core.workstate import RunState
from sesamehall.reducer.jobs.advice import drop_job_tickets
from sesamehall.reducer.jobs.attempts import failure_reason
from sesamehall.reducer.jobs.durations import record_duration
from sesamehall.reducer.jobs.ended_jobs import PHASES_WITH_RUNS
from sesamehall.reducer.jobs.ended_jobs import record_own_end
from sesamehall.reducer.jobs.progress import checkpoint_of
from sesamehall.reducer.jobs.progress import is_task_done
from sesamehall.reducer.jobs.progress import newly_startable_tasks
from sesamehall.reducer.jobs.progress import plan_has_task
from sesamehall.reducer.jobs.progress import with_checkpoint
from sesamehall.reducer.jobs.progress import with_task_done
from sesamehall.reducer.jobs.progress import with_task_failure
from sesamehall.reducer.jobs.run_samples import complete_step
from sesamehall.reducer.jobs.run_samples import record_finished_run
from sesamehall.reducer.jobs.runlines import abandoned_run_line
from sesamehall.reducer.jobs.runlines import late_end_line
from sesamehall.reducer.jobs.state_updates import add_waiting_task
from sesamehall.reducer.jobs.state_updates import drop_job
from sesamehall.reducer.jobs.state_updates import put_job
from sesamehall.reducer.jobs.state_updates import put_run
from sesamehall.reducer.jobs.state_updates import put_worker
from sesamehall.reducer.jobs.state_updates import release_run


def schedule_placement(manager: ManagerState, pool: str, at_ms: int) -> Step:
    """Schedule a placement round for the waiting tasks of a pool.

    A round examines all waiting jobs, so it is delayed more while many wait.

    Args:
      manager: State of the leader.
      pool: Name of the pool.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with the timer, unless it is set already.
    """
    if pool in manager.placement_scheduled_pools:
        return Step(manager)
    pools = manager.placement_scheduled_pools.set(pool, True)
    jobs = len(manager.job_ids_by_pool.get(pool, EMPTY_MAP))
    due_ms = at_ms + PLACE_DELAY_MS + jobs // PLACE_JOBS_PER_MS
    timer = SetTimer(PlaceTimer(pool), due_ms)
    return Step(replace(manager, placement_scheduled_pools=pools), (timer,))


def apply_run_end(
    manager: ManagerState,
    worker_id: str,
    ended: EndedRun,
    run_time_ms: int,
    at_ms: int,
) -> Step:
    """Apply the end of a run that its worker has reported.

    A success that is reported after the run was abandoned still counts: the
    task is done.

    Args:
      manager: State of the leader.
      worker_id: The worker.
      ended: The end.
      run_time_ms: Time that the run took on the worker, or 0 if unknown.
      at_ms: Current time on the node's clock.
    Returns:
      A Step.
    """
    parsed = parse_task_id(ended.task)
    if parsed is None:
        return Step(manager)
    job_id, place = parsed
    line = log(
        RUN_ENDED,
        task=ended.task,
        run=ended.number,
        worker=worker_id,
        end=ended.end.value,
        seq=ended.sequence,
    )
    run = manager.runs_by_task.get(ended.task)
    is_current_run = run is not None and (run.worker_id, run.number) == (
        worker_id,
        ended.number,
    )
    lines = (line,)
    if not is_current_run:
        lines += (late_end_line(manager, worker_id, ended),)
    if is_current_run:
        manager = _record_run_duration(manager, run, ended, run_time_ms, at_ms)
        manager = release_run(manager, run)
    worker = manager.workers_by_id.get(worker_id)
    step = Step(manager, lines)
    if worker is not None:
        step = then(step, schedule_placement, worker.entry.pool, at_ms)
    job = step.state.active_jobs_by_id.get(job_id)
    if job is None or not plan_has_task(job.plan, place):
        return step
    if ended.checkpoint:
        job = with_checkpoint(job, place, ended.checkpoint)
        step = Step(put_job(step.state, job), step.effects)
    match ended.end:
        case RunEnd.DONE:
            return then(step, _finish_task, worker_id, job_id, place, at_ms)
        case RunEnd.FAILED:
            step = then(
                step, _count_task_failure, worker_id, job_id, place, at_ms
            )
    if is_current_run:
        step = then(step, _requeue_task, job_id, place, at_ms)
    return step


def _record_run_duration(
    manager, run: Run, ended: EndedRun, run_time_ms, at_ms
):
    """Record the duration of a successful run of a finite task.

    A run is left out if its task has a checkpoint: it may have resumed from
    that, and so have done only a part of the work.
    """
    job = manager.active_jobs_by_id.get(run.job_id)
    if job is None or ended.end is not RunEnd.DONE or run.long_running:
        return manager
    if run_time_ms <= 0 or checkpoint_of(job, run.place):
        return manager
    declared_ms = job.plan.steps[run.place.step].estimate_ms
    delay_ms = max(at_ms - run.first_sent_ms - run_time_ms, 0)
    manager = record_duration(
        manager, job.plan.queue, declared_ms, run_time_ms, delay_ms
    )
    if is_task_done(job, run.place):
        return manager
    return record_finished_run(manager, run, run_time_ms, at_ms)


def abandon_run(
    manager: ManagerState, run: Run, reason: str, at_ms: int
) -> Step:
    """Release a run that is certainly not active, and requeue its task.

    Args:
      manager: State of the leader.
      run: The run.
      reason: Reason, for the log.
      at_ms: Current time on the node's clock.
    Returns:
      A Step.
    """
    line = abandoned_run_line(manager, run, reason, at_ms)
    manager = release_run(manager, run)
    job = manager.active_jobs_by_id.get(run.job_id)
    if job is not None and run.checkpoint:
        job = with_checkpoint(job, run.place, run.checkpoint)
        manager = put_job(manager, job)
    step = Step(manager, (line,))
    worker = manager.workers_by_id.get(run.worker_id)
    if worker is not None:
        step = then(step, schedule_placement, worker.entry.pool, at_ms)
    return then(step, _requeue_task, run.job_id, run.place, at_ms)


def stop_run(manager: ManagerState, run: Run, reason: str) -> Step:
    """Order a worker to stop a run, which keeps its resources until its end.

    Args:
      manager: State of the leader.
      run: The run.
      reason: Reason, for the log.
    Returns:
      A Step with the order.
    """
    line = log(
        RUN_STOP_REQUESTED,
        task=run.task,
        run=run.number,
        worker=run.worker_id,
        reason=reason,
    )
    manager = put_run(manager, replace(run, state=RunState.STOPPING))
    worker = manager.workers_by_id[run.worker_id]
    order = StopRun(
        worker_id=run.worker_id,
        address=worker.entry.address,
        epoch=manager.term.epoch,
        task=run.task,
        number=run.number,
        started_wall_ms=worker.entry.started_wall_ms,
    )
    return Step(manager, (line, order))


def end_job(
    manager: ManagerState,
    job_id: str,
    phase: JobPhase,
    reason: str,
    at_ms: int,
) -> Step:
    """End a job and stop its remaining runs.

    Args:
      manager: State of the leader.
      job_id: Identifier of the job.
      phase: Final phase of the job.
      reason: Reason, for the log and for the caller.
      at_ms: Current time on the node's clock.
    Returns:
      A Step; callers see the end once it is stored.
    """
    job = manager.active_jobs_by_id[job_id]
    line = log(
        JOB_FINISHED,
        job=job_id,
        phase=phase.value,
        reason=reason,
        took_ms=at_ms - job.first_seen_ms,
        goal_ms=job.goal_ms - job.first_seen_ms,
    )
    runs = _runs_of(manager, job)
    if phase in PHASES_WITH_RUNS:
        manager = record_own_end(manager, job, runs, at_ms)
    progress = replace(
        job.progress,
        phase=phase,
        detail=reason,
        completed=b"",
        steps_by_occurrence=EMPTY_MAP,
    )
    job = replace(job, progress=progress, waiting=())
    manager = replace(
        put_job(manager, job),
        dirty_jobs=manager.dirty_jobs.set(job_id, True),
        job_end_unstored=True,
    )
    step = Step(manager, (line,))
    for run in runs:
        if run.state is not RunState.STOPPING:
            step = then(step, stop_run, run, reason)
    return step


def drop_ended_job(manager: ManagerState, job_id: str) -> ManagerState:
    """Remove an ended job once its end is stored and it has no runs.

    Args:
      manager: State of the leader.
      job_id: Identifier of the job.
    Returns:
      The state.
    """
    job = manager.active_jobs_by_id.get(job_id)
    if job is None or job.running_count or _is_unstored(manager, job_id):
        return manager
    if job.progress.phase not in TERMINAL_PHASES:
        return manager
    return drop_job(drop_job_tickets(manager, job_id), job_id)


def _is_unstored(manager, job_id):
    """Check whether a job's progress waits for a write or is being written."""
    if job_id in manager.dirty_jobs:
        return True
    written = manager.term.batch_in_flight.jobs
    return any(progress.job_id == job_id for progress in written)


def _runs_of(manager: ManagerState, job: ActiveJob) -> list[Run]:
    """List the runs of a job, in the order of their tasks."""
    if not job.running_count:
        return []
    job_id = job.plan.job_id
    runs = (
        run for run in manager.runs_by_task.values() if run.job_id == job_id
    )
    return sorted(runs, key=lambda run: run.task)


def _finish_task(manager, worker_id, job_id, place, at_ms):
    """Mark a task as done, and queue the tasks that may start now.

    Runs that are no longer needed are stopped.  The job ends if that was its
    last task.
    """
    manager = _reset_worker_failures(manager, worker_id)
    job = manager.active_jobs_by_id[job_id]
    if job.progress.phase in TERMINAL_PHASES:
        return Step(drop_ended_job(manager, job_id))
    if is_task_done(job, place):
        return Step(manager)
    job = with_task_done(job, place)
    step_plan = job.plan.steps[place.step]
    waiting = tuple(
        other
        for other in job.waiting
        if other != place
        and not (step_plan.gang and _is_same_step(other, place))
    )
    startable = tuple(
        other
        for other in newly_startable_tasks(job, place)
        if task_id(job_id, other) not in manager.runs_by_task
        and other not in waiting
    )
    job = replace(job, waiting=waiting + startable)
    manager = put_job(manager, job)
    manager = replace(manager, dirty_jobs=manager.dirty_jobs.set(job_id, True))
    step = complete_step(manager, job_id, place, at_ms)
    for run in _superseded_runs(step.state, job, place):
        if run.state is not RunState.STOPPING:
            step = then(step, stop_run, run, "task done")
    if job.progress.phase is JobPhase.DONE:
        return then(step, end_job, job_id, JobPhase.DONE, "", at_ms)
    return step


def _superseded_runs(manager, job, place):
    """List the runs that are not needed once a task is done."""
    if job.plan.steps[place.step].gang:
        runs = _runs_of(manager, job)
        return [run for run in runs if _is_same_step(run.place, place)]
    run = manager.runs_by_task.get(task_id(job.plan.job_id, place))
    return [] if run is None else [run]


def _is_same_step(first, second):
    return (first.occurrence, first.step) == (second.occurrence, second.step)


def _count_task_failure(manager, worker_id, job_id, place, at_ms):
    """Count a failed run of a task and of its worker.

    The job ends as failed after the maximum number of attempts at a task.
    Failures of long-running tasks count only for the worker.
    """
    job = manager.active_jobs_by_id[job_id]
    # The key has no occurrence: a failure counts for all of them.
    manager = replace(
        manager,
        last_failed_worker_by_task=manager.last_failed_worker_by_task.set(
            f"{job_id}.{place.step}.{place.index}", worker_id
        ),
    )
    step = _count_worker_failure(manager, worker_id, at_ms)
    if job.progress.phase in TERMINAL_PHASES:
        return step
    if job.plan.steps[place.step].long_running:
        return step
    if is_task_done(job, place):
        return step
    manager = put_job(step.state, with_task_failure(job, place))
    manager = replace(manager, dirty_jobs=manager.dirty_jobs.set(job_id, True))
    step = Step(manager, step.effects)
    return then(step, end_job_without_attempts, job_id, at_ms)


def end_job_without_attempts(
    manager: ManagerState, job_id: str, at_ms: int
) -> Step:
    """End a job as failed if one of its tasks has no attempts left.

    Args:
      manager: State of the leader.
      job_id: Identifier of a job that has not ended.
      at_ms: Current time on the node's clock.
    Returns:
      A Step, without effects if all tasks may be run again.
    """
    reason = failure_reason(manager, manager.active_jobs_by_id[job_id])
    if not reason:
        return Step(manager)
    return end_job(manager, job_id, JobPhase.FAILED, reason, at_ms)


def _reset_worker_failures(manager, worker_id):
    worker = manager.workers_by_id.get(worker_id)
    if worker is None or not worker.consecutive_failures:
        return manager
    return put_worker(manager, replace(worker, consecutive_failures=0))


def _count_worker_failure(manager, worker_id, at_ms):
    """Count a consecutive failure, and quarantine the worker after several."""
    worker = manager.workers_by_id.get(worker_id)
    if worker is None:
        return Step(manager)
    failures = worker.consecutive_failures + 1
    worker = replace(worker, consecutive_failures=failures)
    if failures % WORKER_QUARANTINE_FAILURES:
        return Step(put_worker(manager, worker))
    worker = replace(worker, quarantined_until_ms=at_ms + WORKER_QUARANTINE_MS)
    line = log(WORKER_QUARANTINED, worker=worker_id, failures=failures)
    return Step(put_worker(manager, worker), (line,))


def _requeue_task(manager, job_id, place, at_ms):
    """Requeue a task, unless the task is done or its job has ended."""
    job = manager.active_jobs_by_id.get(job_id)
    if job is None:
        return Step(manager)
    if job.progress.phase in TERMINAL_PHASES:
        return Step(drop_ended_job(manager, job_id))
    if is_task_done(job, place):
        return Step(manager)
    return Step(add_waiting_task(manager, job_id, place))
