"""Jobs that may be submitted but are not read yet."""

from sesamehall.core.managerstate import ManagerState
from sesamehall.core.work import parse_task_id


def is_job_unread(manager: ManagerState, task: str) -> bool:
    """Check whether a task's job may be submitted but not read yet.

    A follower reads the stream of jobs periodically, so a new leader may
    receive reports about a job before it reads the job itself.

    Args:
      manager: State of the leader.
      task: Identifier of the task.
    Returns:
      False once the leader has read all that its predecessor may have known.
    """
    parsed = parse_task_id(task)
    if manager.jobs_caught_up or parsed is None:
        return False
    return parsed[0] not in manager.team_by_job_id
