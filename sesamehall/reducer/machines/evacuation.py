"""Evacuation of the manager's workers before a move or maintenance."""

from sesamehall.core.fleettiming import EVACUATION_GRACE_MS
from sesamehall.core.fleettiming import LATE_STOP_MS
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.core.work import task_id
from sesamehall.core.work import TaskPlace
from sesamehall.core.workstate import Run
from sesamehall.core.workstate import RunState
from sesamehall.reducer.jobs.leases import has_recent_report
from sesamehall.reducer.jobs.runs import stop_run

FULL_SPEED_PERCENT = 100  # a slower long-running task is unavailable


def evacuate_worker(
    manager: ManagerState, worker_id: str, since_ms: int, at_ms: int
) -> Step:
    """Stop the tasks of a worker that may be stopped now.

    Finite tasks are given a grace period to complete. A long-running task is
    stopped as soon as its step can do without it.

    Args:
      manager: State of the leader.
      worker_id: The worker, which receives no new tasks.
      since_ms: Time at which its evacuation was decided.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with the stop orders.
    """
    step = Step(manager)
    for task in sorted(manager.workers_by_id[worker_id].tasks):
        run = step.state.runs_by_task[task]
        if run.state is not RunState.RUNNING:
            continue
        if run.long_running:
            stoppable = may_stop_run(step.state, run, at_ms)
        else:
            stoppable = at_ms - since_ms >= EVACUATION_GRACE_MS
        if stoppable:
            step = then(step, stop_run, run, "worker evacuated")
    return step


def may_stop_run(
    manager: ManagerState, run: Run, at_ms: int, default_limit: int = 0
) -> bool:
    """Check whether a step can do without one of its long-running tasks.

    Args:
      manager: State of the leader.
      run: A run of the task.
      at_ms: Current time on the node's clock.
      default_limit: Limit of a step without max_unavailable; 0 for none.
    Returns:
      False if max_unavailable other tasks of the step are or may be down.
    """
    job = manager.active_jobs_by_id.get(run.job_id)
    if job is None:
        return True
    plan_step = job.plan.steps[run.place.step]
    max_unavailable = plan_step.max_unavailable or default_limit
    if not max_unavailable:
        return True
    if at_ms - manager.term.began_ms < LATE_STOP_MS:
        return False  # stop orders of an earlier leader may still take effect
    down = 0
    for index in range(plan_step.count):
        if index != run.place.index:
            place = TaskPlace(run.place.occurrence, run.place.step, index)
            other = manager.runs_by_task.get(task_id(run.job_id, place))
            down += not _is_at_full_speed(manager, other, at_ms)
    return down < max_unavailable


def _is_at_full_speed(manager, run: Run | None, at_ms) -> bool:
    """Check whether a task is known to run at full speed."""
    return (
        run is not None
        and run.state is RunState.RUNNING
        and run.percent >= FULL_SPEED_PERCENT
        and has_recent_report(manager.workers_by_id[run.worker_id], at_ms)
    )
