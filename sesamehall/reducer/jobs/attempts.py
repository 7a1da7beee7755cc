"""The number of attempts at a task, which the manifest limits by queue."""

from sesamehall.core.managerstate import ManagerState
from sesamehall.core.work import has_bit
from sesamehall.core.workstate import ActiveJob


def max_attempts(manager: ManagerState, job: ActiveJob) -> int | None:
    """Find the number of failed runs after which a task of a job fails.

    Args:
      manager: State of the leader.
      job: The job.
    Returns:
      The number, or None while the manifest does not name the job's queue.
      The job then waits for its queue and cannot fail.
    """
    queue = manager.manifest.queues_by_name.get(job.plan.queue)
    return None if queue is None else queue.max_attempts


def failure_reason(manager: ManagerState, job: ActiveJob) -> str:
    """Check whether a task of a job has no attempts left.

    Args:
      manager: State of the leader.
      job: The job.
    Returns:
      Why the job fails, for the log and for the caller, or "" if it does not.
    """
    limit = max_attempts(manager, job)
    if limit is None:
        return ""
    occurrences = job.progress.steps_by_occurrence
    for _, progress_by_step in sorted(occurrences.items()):
        for step_number, progress in enumerate(progress_by_step):
            for index, count in progress.failures:
                if count >= limit and not has_bit(progress.done, index):
                    return (
                        f"step {step_number} task {index}"
                        f" failed {count} times"
                    )
    return ""
