"""Stalls: runs that stand still go on elsewhere.

A worker may look healthy, answer every call, and yet let what it runs stand
still.  Its lists tell how much of its work each run has done: one whose share
has not changed for a while is stopped, so that its task runs anew on another
worker, and the worker is set aside.  A very long task may seem to stand still
between two reports, so a task is given twice the time after each stop.
"""

from sesamehall.core.effects import log
from sesamehall.core.jobtiming import QUARANTINE_MS
from sesamehall.core.jobtiming import STALL_MS
from sesamehall.core.logevents import RUN_STALLED
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.core.workstate import Run
from sesamehall.core.workstate import RunState
from sesamehall.reducer.jobs.runs import stop_run
from sesamehall.reducer.jobs.state_updates import put_worker

COMPLETE_PERCENT = 100  # percent; such a run is about to be listed as ended


def stop_stalled_runs(
    manager: ManagerState, worker_id: str, at_ms: int
) -> Step:
    """Stop the runs that stand still on a worker that has reported.

    Args:
      manager: State of the leader.
      worker_id: The worker.
      at_ms: The node's clock.
    Returns:
      A Step with the orders; nothing new starts on the worker for a while.
    """
    worker = manager.workers_by_id[worker_id]
    runs = [manager.runs_by_task[task] for task in sorted(worker.tasks)]
    clock_ms = worker.clock_ms
    stalled = [run for run in runs if is_stalled(manager, run, clock_ms)]
    if not stalled:
        return Step(manager)
    aside = replace(worker, quarantined_until_ms=at_ms + QUARANTINE_MS)
    step = Step(put_worker(manager, aside))
    for run in stalled:
        line = log(
            RUN_STALLED,
            task=run.task,
            run=run.number,
            worker=worker_id,
            percent=run.percent,
            still_ms=clock_ms - run.progressed_clock_ms,
        )
        counts = step.state.stall_count_by_task
        counts = counts.set(run.task, counts.get(run.task, 0) + 1)
        counted = replace(step.state, stall_count_by_task=counts)
        step = Step(counted, step.effects + (line,))
        step = then(step, stop_run, run, "stands still")
    return step


def is_stalled(manager: ManagerState, run: Run, clock_ms: int) -> bool:
    """Tell whether a run stands still for no reason of its own.

    Args:
      manager: State of the leader.
      run: The run.
      clock_ms: The worker's clock at its latest report.
    Returns:
      False for tasks that last, that fill, or that wait for their gang.
    """
    if (
        run.state is not RunState.RUNNING
        or run.long_running
        or run.best_effort
    ):
        return False
    patience_ms = STALL_MS << manager.stall_count_by_task.get(run.task, 0)
    if (
        run.percent >= COMPLETE_PERCENT
        or clock_ms - run.progressed_clock_ms < patience_ms
    ):
        return False
    job = manager.active_jobs_by_id.get(run.job_id)
    return job is not None and not job.plan.steps[run.place.step].gang
