"""Detection of stalled runs, whose tasks are run again elsewhere.

A worker may look healthy and answer every call while its runs make no
progress.  Its reports contain the completed share of each run.  If the share
has not changed for some time, the run is stopped, so that its task runs again
on another worker, and the worker is quarantined.  A very long task may look
stalled between two reports, so the time limit of a task doubles with each
stop.
"""

from sesamehall.core.effects import log
from sesamehall.core.jobtiming import STALL_MS
from sesamehall.core.jobtiming import WORKER_QUARANTINE_MS
from sesamehall.core.logevents import RUN_STALLED
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.core.workstate import Run
from sesamehall.core.workstate import RunState
from sesamehall.reducer.jobs.runs import stop_run
from sesamehall.reducer.jobs.state_updates import put_worker

COMPLETE_PERCENT = 100  # such a run is about to be reported as ended


def stop_stalled_runs(
    manager: ManagerState, worker_id: str, at_ms: int
) -> Step:
    """Stop the stalled runs of a worker that has reported.

    Args:
      manager: State of the leader.
      worker_id: The worker.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with the stop orders; the worker is quarantined if there are any.
    """
    worker = manager.workers_by_id[worker_id]
    runs = [manager.runs_by_task[task] for task in sorted(worker.tasks)]
    clock_ms = worker.clock_ms
    stalled = [run for run in runs if is_stalled(manager, run, clock_ms)]
    if not stalled:
        return Step(manager)
    quarantined = replace(
        worker, quarantined_until_ms=at_ms + WORKER_QUARANTINE_MS
    )
    step = Step(put_worker(manager, quarantined))
    for run in stalled:
        line = log(
            RUN_STALLED,
            task=run.task,
            run=run.number,
            worker=worker_id,
            percent=run.percent,
            stalled_ms=clock_ms - run.progressed_clock_ms,
        )
        counts = step.state.stall_count_by_task
        counts = counts.set(run.task, counts.get(run.task, 0) + 1)
        with_count = replace(step.state, stall_count_by_task=counts)
        step = Step(with_count, step.effects + (line,))
        step = then(step, stop_run, run, "run stalled")
    return step


def is_stalled(manager: ManagerState, run: Run, clock_ms: int) -> bool:
    """Check whether a run makes no progress without a legitimate reason.

    Args:
      manager: State of the leader.
      run: The run.
      clock_ms: The worker's clock at its latest report.
    Returns:
      False for long-running and best-effort tasks, and for gangs, whose
      tasks wait for each other.
    """
    if (
        run.state is not RunState.RUNNING
        or run.long_running
        or run.best_effort
    ):
        return False
    stall_limit_ms = STALL_MS << manager.stall_count_by_task.get(run.task, 0)
    if (
        run.percent >= COMPLETE_PERCENT
        or clock_ms - run.progressed_clock_ms < stall_limit_ms
    ):
        return False
    job = manager.active_jobs_by_id.get(run.job_id)
    return job is not None and not job.plan.steps[run.place.step].gang
