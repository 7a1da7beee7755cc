"""Feeds what a node learns about turns with the jobs that it reads."""

from sesamehall.core.managerevents import StreamRead
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.turnstate import TurnHistory
from sesamehall.core.work import JobPlan
from sesamehall.reducer.jobs.progress import declared_critical_path_ms
from sesamehall.reducer.jobs.progress import plan_core_ms
from sesamehall.reducer.machines.turn_tracking import add_job
from sesamehall.reducer.machines.turn_tracking import advance_turns


def record_turn_load(
    manager: ManagerState, plan: JobPlan, at_ms: int
) -> ManagerState:
    """Add a job that was read for the first time to the load of its queue.

    Args:
      manager: State of a manager.
      plan: The job.
      at_ms: Current time on the node's clock.
    Returns:
      The state; unchanged for a job with long-running tasks.
    """
    if plan.steps[0].long_running:
        return manager
    turns = add_job(
        manager.turns,
        plan.queue,
        plan_core_ms(plan),
        declared_critical_path_ms(plan),
        at_ms,
    )
    return replace(manager, turns=turns)


def update_turns(
    before: TurnHistory, after: TurnHistory, event: StreamRead
) -> TurnHistory:
    """Begin and end turns after the stream of jobs was read.

    Args:
      before: What was learnt before the read.
      after: The same with the load of the jobs that were read.
      event: The read.
    Returns:
      What is known now.  A read of all jobs adds nothing, since it does not
      tell when they arrived.
    """
    if event.covers_all_keys:
        return before
    return advance_turns(after, event.at_ms)
