"""Runs that a worker reports and the leader does not track."""

from sesamehall.core.data import TERMINAL_PHASES
from sesamehall.core.effects import log
from sesamehall.core.logevents import RUN_ADOPTED
from sesamehall.core.managereffects import StopRun
from sesamehall.core.managerevents import WorkerReported
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step
from sesamehall.core.work import ActiveRun
from sesamehall.core.work import parse_task_id
from sesamehall.core.work import TaskPlace
from sesamehall.core.workstate import ActiveJob
from sesamehall.core.workstate import Run
from sesamehall.core.workstate import RunState
from sesamehall.reducer.jobs.progress import is_task_done
from sesamehall.reducer.jobs.progress import plan_has_task
from sesamehall.reducer.jobs.queue_pools import request_record_of_run
from sesamehall.reducer.jobs.runlines import unneeded_run_line
from sesamehall.reducer.jobs.state_updates import charge_run
from sesamehall.reducer.jobs.state_updates import put_worker
from sesamehall.reducer.jobs.unread_jobs import is_job_unread


def adopt_or_stop(
    manager: ManagerState,
    other_run: Run | None,
    active: ActiveRun,
    event: WorkerReported,
) -> Step:
    """Adopt a run of an earlier leader, or stop a run that is not needed.

    While a new leader has not read all jobs, it does not stop the run of an
    unknown job, since the job may be unread.

    Args:
      manager: State of the leader.
      other_run: Another run of its task that is tracked, or None.
      active: The run.
      event: The report that lists it.
    Returns:
      A Step.
    """
    if is_job_unread(manager, active.task):
        return Step(manager)
    parsed = parse_task_id(active.task)
    job = None if parsed is None else manager.active_jobs_by_id.get(parsed[0])
    if job is None or other_run is not None or not _needs(job, parsed[1]):
        return _stop_unneeded_run(manager, other_run, active, event.worker_id)
    return _adopt(manager, job, parsed[1], active, event)


def _needs(job: ActiveJob, place: TaskPlace) -> bool:
    """Check whether a job still needs a run of one of its tasks."""
    return (
        plan_has_task(job.plan, place)
        and job.progress.phase not in TERMINAL_PHASES
        and not is_task_done(job, place)
    )


def _stop_unneeded_run(manager, other_run, active, worker_id):
    worker = manager.workers_by_id[worker_id]
    order = StopRun(
        worker_id=worker_id,
        address=worker.entry.address,
        epoch=manager.term.epoch,
        task=active.task,
        number=active.number,
        started_wall_ms=worker.entry.started_wall_ms,
    )
    step = _log_unneeded_run(manager, worker, active, other_run)
    return Step(step.state, step.effects + (order,))


def _adopt(manager, job, place, active, event):
    """Track a run that an earlier leader has started.

    It is adopted even if the steps that its step depends on do not seem done:
    their ends may not be stored yet, and other workers have yet to report
    them.
    """
    plan_step = job.plan.steps[place.step]
    run = Run(
        task=active.task,
        job_id=job.plan.job_id,
        place=place,
        number=active.number,
        worker_id=event.worker_id,
        team=job.plan.team,
        size=plan_step.size,
        state=RunState.RUNNING,
        first_sent_ms=event.at_ms,
        acknowledged_ms=event.at_ms,
        checkpoint=active.checkpoint,
        percent=active.percent,
        progressed_clock_ms=event.clock_ms,
        load=active.load,
        long_running=plan_step.long_running,
        best_effort=plan_step.best_effort,
        tail_latency_target_ms=plan_step.tail_latency_target_ms,
    )
    line = log(
        RUN_ADOPTED,
        task=active.task,
        run=active.number,
        worker=event.worker_id,
    )
    pool = manager.workers_by_id[event.worker_id].entry.pool
    manager = request_record_of_run(
        charge_run(manager, run), job.plan.queue, pool
    )
    return Step(manager, (line,))


def _log_unneeded_run(manager, worker, active, other_run):
    """Log the first order to stop an untracked run; each report repeats it."""
    run_key = (active.task, active.number)
    if run_key in worker.unneeded_runs:
        return Step(manager)
    worker_id = worker.entry.worker_id
    line = unneeded_run_line(manager, worker_id, active, other_run)
    unneeded_runs = worker.unneeded_runs.set(run_key, True)
    worker = replace(worker, unneeded_runs=unneeded_runs)
    return Step(put_worker(manager, worker), (line,))
