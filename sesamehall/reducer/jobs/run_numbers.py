"""Numbers of runs, which rise with each start of a task."""

from sesamehall.core.jobtiming import RUN_NUMBERS_PER_TERM
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.workstate import Run


def next_run_number(manager: ManagerState, task: str) -> int:
    """Choose a run number above all that this leader has used.

    It is usually above those of earlier leaders too.  A task that failed very
    often may have used more, which a worker then tells.

    Args:
      manager: State of the leader.
      task: Identifier of the task.
    Returns:
      The run number.
    """
    highest = manager.highest_run_number_by_task.get(task, 0)
    return max(highest, _run_number_floor(manager)) + 1


def skip_run_numbers(manager: ManagerState, run: Run) -> ManagerState:
    """Skip run numbers of a task, since a worker has seen a higher one.

    How many are skipped doubles each time, so that a few refusals suffice
    however often the task was run before.

    Args:
      manager: State of the leader.
      run: The run that the worker refused as old.
    Returns:
      The state.
    """
    floor = _run_number_floor(manager)
    skipped = max(2 * (run.number - floor), RUN_NUMBERS_PER_TERM)
    highest = manager.highest_run_number_by_task.set(run.task, floor + skipped)
    return replace(manager, highest_run_number_by_task=highest)


def _run_number_floor(manager):
    return (manager.term.epoch - 1) * RUN_NUMBERS_PER_TERM
