"""Activation of jobs, their due occurrences, and cancellation."""

from sesamehall.core.data import JobPhase
from sesamehall.core.data import TERMINAL_PHASES
from sesamehall.core.effects import log
from sesamehall.core.effects import SetTimer
from sesamehall.core.logevents import CANCEL_RECEIVED
from sesamehall.core.logevents import JOB_RECEIVED
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.core.timers import DueTimer
from sesamehall.core.work import JobPlan
from sesamehall.core.work import Progress
from sesamehall.core.work import task_id
from sesamehall.reducer.jobs.arrivals import record_arrival
from sesamehall.reducer.jobs.compacting import expand_progress
from sesamehall.reducer.jobs.durations import duration_ratio
from sesamehall.reducer.jobs.progress import build_active_job
from sesamehall.reducer.jobs.progress import count_due
from sesamehall.reducer.jobs.progress import is_task_done
from sesamehall.reducer.jobs.progress import plan_core_ms
from sesamehall.reducer.jobs.progress import startable_tasks
from sesamehall.reducer.jobs.runs import end_job
from sesamehall.reducer.jobs.runs import end_job_without_attempts
from sesamehall.reducer.jobs.runs import schedule_placement
from sesamehall.reducer.jobs.state_updates import add_waiting_task
from sesamehall.reducer.jobs.state_updates import job_pool
from sesamehall.reducer.jobs.state_updates import put_job

AVERAGED_JOBS = 50  # window of the moving average of a queue's job size


def activate_job(
    manager: ManagerState, job_id: str, inherited: bool, at_ms: int
) -> Step:
    """Start to track a job, or end it immediately if it is cancelled.

    Args:
      manager: State of the leader.
      job_id: Identifier of a job whose plan is known.
      inherited: Whether an earlier leader may have started tasks of it.
      at_ms: Current time on the node's clock.
    Returns:
      A Step, without effects if the job has ended or is tracked already.
    """
    phase = manager.phase_by_job_id.get(job_id, JobPhase.WAITING)
    if phase in TERMINAL_PHASES or job_id in manager.active_jobs_by_id:
        return Step(manager)
    plan = manager.plans_by_id[job_id]
    queue = None
    if manager.manifest is not None:
        queue = manager.manifest.queues_by_name.get(plan.queue)
    progress = expand_progress(
        manager.progress_by_id.get(job_id, Progress(job_id)), plan
    )
    wall_ms = at_ms + manager.wall_offset_ms
    ratio = duration_ratio(manager, plan.queue)
    first_seen_ms = manager.first_seen_ms_by_job_id.get(job_id, at_ms)
    job = build_active_job(
        plan, progress, queue, first_seen_ms, wall_ms, inherited, ratio
    )
    manager = put_job(manager, job)
    if not plan.steps[0].long_running:
        manager = _update_mean_core_ms(manager, plan)
        manager = record_arrival(manager, plan.queue, at_ms)
    line = log(
        JOB_RECEIVED,
        job=job_id,
        queue=plan.queue,
        team=plan.team,
        tasks=sum(step.count for step in plan.steps),
        goal_ms=job.goal_ms - first_seen_ms,
        age_ms=at_ms - first_seen_ms,
        ratio=f"{ratio:.2f}",
        inherited=int(inherited),
    )
    step = Step(manager, (line,))
    if job_id in manager.cancelled_by_job_id:
        return then(step, cancel_job, job_id, at_ms)
    step = then(step, end_job_without_attempts, job_id, at_ms)
    step = then(step, schedule_placement, job_pool(manager, job), at_ms)
    return then(step, _schedule_next_occurrence, plan, at_ms)


def _update_mean_core_ms(manager, plan):
    """Update the moving average of the processor time of a queue's jobs."""
    core_ms = plan_core_ms(plan)
    mean = manager.mean_core_ms_by_queue.get(plan.queue, core_ms)
    mean += (core_ms - mean) / AVERAGED_JOBS
    means = manager.mean_core_ms_by_queue.set(plan.queue, mean)
    return replace(manager, mean_core_ms_by_queue=means)


def may_access(manager: ManagerState, job_id: str, team: str) -> bool:
    """Check whether a team may see and cancel a job.

    Args:
      manager: State of a manager.
      job_id: Identifier of a job that the node has read.
      team: The team, or "" for a caller without one.
    Returns:
      True for the job's own team, and for any team on a queue open to all.
    """
    owner = manager.team_by_job_id[job_id]
    return not owner or owner == team


def cancel_job(manager: ManagerState, job_id: str, at_ms: int) -> Step:
    """Cancel a job.

    Args:
      manager: State of the leader.
      job_id: Identifier of the job.
      at_ms: Current time on the node's clock.
    Returns:
      A Step, without effects if the job has ended.
    """
    job = manager.active_jobs_by_id.get(job_id)
    if job is None or job.progress.phase in TERMINAL_PHASES:
        return Step(manager)
    line = log(CANCEL_RECEIVED, job=job_id, running=job.running_count)
    step = Step(manager, (line,))
    return then(step, end_job, job_id, JobPhase.CANCELLED, "cancelled", at_ms)


def end_jobs_without_attempts(manager: ManagerState, at_ms: int) -> Step:
    """End the jobs that have no attempts left under a new manifest.

    It may name a queue again, or allow fewer attempts than before.

    Args:
      manager: State of the leader.
      at_ms: Current time on the node's clock.
    Returns:
      A Step.
    """
    step = Step(manager)
    for job_id, job in sorted(manager.active_jobs_by_id.items()):
        if job.progress.phase not in TERMINAL_PHASES:
            step = then(step, end_job_without_attempts, job_id, at_ms)
    return step


def start_due_occurrences(
    manager: ManagerState, job_id: str, at_ms: int
) -> Step:
    """Queue the tasks of a job's occurrences that have become due.

    Args:
      manager: State of a manager.
      job_id: Identifier of the job.
      at_ms: Current time on the node's clock.
    Returns:
      A Step that schedules placement, and sets the timer of the next
      occurrence if there is one.
    """
    job = manager.active_jobs_by_id.get(job_id)
    if job is None:
        return Step(manager)
    due_count = count_due(job.plan, at_ms + manager.wall_offset_ms)
    due_count = max(due_count, job.due_count)
    newly_due = range(job.due_count, due_count)
    manager = put_job(manager, replace(job, due_count=due_count))
    for place in startable_tasks(job, newly_due):
        running = task_id(job_id, place) in manager.runs_by_task
        if not running and not is_task_done(job, place):
            manager = add_waiting_task(manager, job_id, place)
    step = schedule_placement(manager, job_pool(manager, job), at_ms)
    return then(step, _schedule_next_occurrence, job.plan, at_ms)


def _schedule_next_occurrence(manager, plan: JobPlan, at_ms):
    """Set a timer for a job's next occurrence."""
    if not plan.occurrence_count:
        return Step(manager)
    wall_ms = at_ms + manager.wall_offset_ms
    due_count = count_due(plan, wall_ms)
    if due_count >= plan.occurrence_count:
        return Step(manager)
    due_ms = plan.first_wall_ms + due_count * plan.period_ms
    timer = SetTimer(DueTimer(plan.job_id), at_ms + due_ms - wall_ms)
    return Step(manager, (timer,))
