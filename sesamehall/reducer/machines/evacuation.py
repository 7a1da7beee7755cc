"""Emptying of workers whose machine is to be moved or maintained."""

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

FULL_PERCENT = 100  # a lasting task that works at this serves


def empty_worker(
    manager: ManagerState, worker_id: str, since_ms: int, at_ms: int
) -> Step:
    """Stop the tasks of a worker that may be stopped now.

    Tasks that end by themselves get some time for it; a lasting task moves
    as soon as its step can do without it.

    Args:
      manager: State of the leader.
      worker_id: The worker; nothing new is started on it.
      since_ms: Clock at which it began to be emptied.
      at_ms: The node's clock.
    Returns:
      A Step with the orders to stop.
    """
    step = Step(manager)
    for task in sorted(manager.workers_by_id[worker_id].tasks):
        run = step.state.runs_by_task[task]
        if run.state is not RunState.RUNNING:
            continue
        if run.long_running:
            movable = may_stop(step.state, run, at_ms)
        else:
            movable = at_ms - since_ms >= EVACUATION_GRACE_MS
        if movable:
            step = then(step, stop_run, run, "worker emptied")
    return step


def may_stop(manager: ManagerState, run: Run, at_ms: int) -> bool:
    """Tell whether a step can do without one of its lasting tasks.

    Args:
      manager: State of the leader.
      run: A run of the task.
      at_ms: The node's clock.
    Returns:
      False when as many others as may be are down already, or may be.
    """
    work = manager.active_jobs_by_id.get(run.job_id)
    if work is None:
        return True
    plan_step = work.plan.steps[run.place.step]
    if not plan_step.max_unavailable:
        return True
    if at_ms - manager.term.began_ms < LATE_STOP_MS:
        return False  # others may be about to end by an earlier leader's stop
    down = 0
    for index in range(plan_step.count):
        if index != run.place.index:
            place = TaskPlace(run.place.occurrence, run.place.step, index)
            other = manager.runs_by_task.get(task_id(run.job_id, place))
            down += not _serves(manager, other, at_ms)
    return down < plan_step.max_unavailable


def _serves(manager, run: Run | None, at_ms) -> bool:
    """Tell whether a task is certainly at work."""
    return (
        run is not None
        and run.state is RunState.RUNNING
        and run.percent >= FULL_PERCENT
        and has_recent_report(manager.workers_by_id[run.worker_id], at_ms)
    )
