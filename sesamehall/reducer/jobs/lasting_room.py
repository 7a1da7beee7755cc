"""Room on workers that finite tasks use only for a while."""

from sesamehall.core.managerstate import ManagerState
from sesamehall.core.sizes import add_size
from sesamehall.core.sizes import reserved_size
from sesamehall.core.work import Size
from sesamehall.core.workstate import Worker


def lasting_room(manager: ManagerState, worker: Worker) -> Size:
    """Compute what the long-running tasks of a worker leave free.

    Args:
      manager: State of the leader.
      worker: The worker.
    Returns:
      Resources that are free, or will be once its finite tasks have ended.
    """
    free = worker.entry.capacity
    for task in worker.tasks:
        run = manager.runs_by_task[task]
        if run.long_running:
            free = add_size(free, reserved_size(run.size, run.best_effort), -1)
    return free
