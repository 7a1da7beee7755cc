"""Log lines that explain why a task ran again.

They show what the leader knew, and how old that was, when it gave a run up,
ignored the end of a run or stopped a run that it did not need.  Ages are in
milliseconds; an age is -1 if there was no such event.
"""

from sesamehall.core.data import TERMINAL_PHASES
from sesamehall.core.effects import Log
from sesamehall.core.effects import log
from sesamehall.core.jobtiming import RUN_NUMBERS_PER_TERM
from sesamehall.core.logevents import RUN_ABANDONED
from sesamehall.core.logevents import RUN_END_LATE
from sesamehall.core.logevents import RUN_STOP_REQUESTED
from sesamehall.core.logevents import RUNS_NOT_LISTED
from sesamehall.core.logevents import WORKER_LEASE_EXPIRED
from sesamehall.core.logevents import WORKER_RESUMED
from sesamehall.core.managerevents import WorkerReported
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.work import ActiveRun
from sesamehall.core.work import EndedRun
from sesamehall.core.work import parse_task_id
from sesamehall.core.workstate import Run
from sesamehall.core.workstate import Worker
from sesamehall.reducer.jobs.progress import is_task_done
from sesamehall.reducer.jobs.progress import plan_has_task

NEVER_MS = -1  # age of something that has not happened
NOT_TRACKED = 0  # in place of a run number


def abandoned_run_line(
    manager: ManagerState, run: Run, reason: str, at_ms: int
) -> Log:
    """Build the log line of a run that the leader gives up.

    Args:
      manager: State of the leader, which still tracks the run.
      run: The run.
      reason: Reason why it is certainly not active.
      at_ms: Current time on the node's clock.
    Returns:
      The line, with the age of the knowledge behind the decision.
    """
    return log(
        RUN_ABANDONED,
        task=run.task,
        run=run.number,
        worker=run.worker_id,
        reason=reason,
        ordered_ago_ms=at_ms - run.first_sent_ms,
        acknowledged_ago_ms=_age_ms(run.acknowledged_ms, at_ms),
        sends=run.send_count,
        confirmed_ago_ms=at_ms - manager.term.confirmed_ms,
        **_worker_knowledge(manager.workers_by_id.get(run.worker_id), at_ms),
    )


def worker_lease_lines(
    manager: ManagerState, worker: Worker, at_ms: int
) -> tuple[Log, ...]:
    """Build the log line of a silent worker whose lease has expired.

    From then on, tasks that an earlier leader may have started on it are
    started elsewhere.

    Args:
      manager: State of the leader.
      worker: The worker as known before its runs are given up.
      at_ms: Current time on the node's clock.
    Returns:
      One line for each lease, so none if it was logged before.
    """
    if not worker.lease_end_ms:
        return ()
    line = log(
        WORKER_LEASE_EXPIRED,
        worker=worker.entry.worker_id,
        runs=len(worker.tasks),
        untracked=worker.untracked_runs,
        inherited=worker.inherited,
        confirmed_ago_ms=at_ms - manager.term.confirmed_ms,
        term_ms=at_ms - manager.term.began_ms,
        **_worker_knowledge(worker, at_ms),
    )
    return (line,)


def _worker_knowledge(worker: Worker | None, at_ms: int) -> dict[str, int]:
    """Describe how old the leader's knowledge of a worker is.

    `lease_over_ms` is negative while the lease is valid.
    """
    if worker is None:
        return {}
    return {
        "report_ago_ms": _age_ms(worker.last_report_ms, at_ms),
        "contact_ago_ms": _age_ms(worker.first_contact_ms, at_ms),
        "lease_over_ms": at_ms - worker.lease_end_ms,
        "unanswered": worker.unanswered_watches,
    }


def _age_ms(since_ms: int, at_ms: int) -> int:
    return at_ms - since_ms if since_ms >= 0 else NEVER_MS


def runs_not_listed_line(
    manager: ManagerState, event: WorkerReported, missing: list[Run]
) -> Log:
    """Build the log line of a report without runs that it should contain.

    Args:
      manager: State of the leader, with the ends of the report applied.
      event: The report.
      missing: The runs that are missing from it.
    Returns:
      The line; `held` counts listed ends that are not applied yet.
    """
    taken = manager.workers_by_id[event.worker_id].last_applied_end_sequence
    sequences = [end.sequence for end in event.ended]
    return log(
        RUNS_NOT_LISTED,
        worker=event.worker_id,
        runs=len(missing),
        task=missing[0].task,
        sent_ago_ms=event.at_ms - event.sent_ms,
        whole=int(event.is_whole),
        active=len(event.active),
        ended=len(sequences),
        taken=taken,
        held=sum(sequence > taken for sequence in sequences),
        last_seq=max(sequences, default=0),
    )


def late_end_line(
    manager: ManagerState, worker_id: str, ended: EndedRun
) -> Log:
    """Build the log line of a reported end of a run that is not tracked.

    The leader has given the run up, or an earlier leader ordered it.

    Args:
      manager: State of the leader before the end is applied.
      worker_id: The worker that reported the end.
      ended: The end.
    Returns:
      The line, with what the leader knows of the task.
    """
    other = manager.runs_by_task.get(ended.task)
    highest = manager.highest_run_number_by_task.get(ended.task, NOT_TRACKED)
    return log(
        RUN_END_LATE,
        task=ended.task,
        run=ended.number,
        worker=worker_id,
        end=ended.end.value,
        seq=ended.sequence,
        epoch=manager.term.epoch,
        run_epoch=_epoch_of_run(ended.number),
        highest_run=highest,
        tracked_run=NOT_TRACKED if other is None else other.number,
        tracked_on="" if other is None else other.worker_id,
        knowledge=_task_knowledge(manager, ended.task),
    )


def _epoch_of_run(number):
    """Compute the term in which a run was ordered, from its number."""
    return (number - 1) // RUN_NUMBERS_PER_TERM + 1


def _task_knowledge(manager: ManagerState, task: str) -> str:
    """Describe what the leader knows of a task: done, not done or why not."""
    parsed = parse_task_id(task)
    if parsed is None:
        return "malformed task"
    job_id, place = parsed
    job = manager.active_jobs_by_id.get(job_id)
    if job is None and job_id in manager.ended_ms_by_job_id:
        return f"job {manager.phase_by_job_id[job_id].value}"
    if job is None:
        return "job unknown"
    if not plan_has_task(job.plan, place):
        return "no such task"
    if is_task_done(job, place):
        return "task done"
    if job.progress.phase in TERMINAL_PHASES:
        return f"job {job.progress.phase.value}"
    return "task not done"


def unneeded_run_line(
    manager: ManagerState,
    worker_id: str,
    active: ActiveRun,
    other_run: Run | None,
) -> Log:
    """Build the log line of an untracked run that is stopped as not needed.

    Args:
      manager: State of the leader.
      worker_id: The worker that reported the run.
      active: The run.
      other_run: Another run of its task that is tracked, or None.
    Returns:
      The line, with the reason.
    """
    reason = _task_knowledge(manager, active.task)
    if other_run is not None:
        reason = f"run {other_run.number} on {other_run.worker_id} tracked"
    return log(
        RUN_STOP_REQUESTED,
        task=active.task,
        run=active.number,
        worker=worker_id,
        reason=f"not needed: {reason}",
    )


def worker_resumed_line(worker: Worker, event: WorkerReported) -> Log:
    """Build the log line of a worker that was wrongly taken as terminated.

    Args:
      worker: The worker as known before its report.
      event: Its report.
    Returns:
      The line.
    """
    return log(
        WORKER_RESUMED,
        worker=event.worker_id,
        terminated_ago_ms=event.at_ms - worker.terminated_ms,
        sent_ago_ms=event.at_ms - event.sent_ms,
        active=len(event.active),
        ended=len(event.ended),
    )
