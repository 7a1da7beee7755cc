"""Room for the long-running tasks of a worker that is to be evacuated.

A step with max_unavailable lets its tasks go one after the other, and each has
to run elsewhere before the next one is stopped.  Without room elsewhere the
evacuation would never end, while the worker gets no tasks, not even those that
it alone has room for.
"""

from dataclasses import dataclass
from enum import Enum

from sesamehall.core.fleetstate import PendingOrder
from sesamehall.core.fleettiming import ORDER_STALLED_MS
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.sizes import add_size
from sesamehall.core.sizes import fits
from sesamehall.core.sizes import reserved_size
from sesamehall.core.work import NO_SIZE
from sesamehall.core.work import Size
from sesamehall.core.work import StepPlan
from sesamehall.core.work import task_id
from sesamehall.core.work import TaskPlace
from sesamehall.core.workstate import ActiveJob
from sesamehall.core.workstate import Run
from sesamehall.core.workstate import RunState
from sesamehall.core.workstate import Worker
from sesamehall.reducer.jobs.availability import exclusion_reason
from sesamehall.reducer.jobs.availability import ExclusionReason
from sesamehall.reducer.jobs.lasting_room import lasting_room
from sesamehall.reducer.jobs.state_updates import job_pool
from sesamehall.reducer.jobs.state_updates import pool_workers
from sesamehall.reducer.machines.drained_data_centres import is_worker_drained
from sesamehall.reducer.machines.standby import may_grow

# A worker excluded for another reason soon gets new tasks again.
LASTING_REASONS = (
    ExclusionReason.UNREGISTERED,
    ExclusionReason.NOT_CONTACTED,
    ExclusionReason.DRAINING,
    ExclusionReason.EVACUATING,
)


@dataclass(frozen=True, slots=True)
class RoomClaims:
    """Room on other workers for displaced tasks; its tables are updated.

    Attributes:
      manager: State of the leader.
      room_by_id: What long-running tasks leave free of workers.
      claimed_by_id: How much of that is claimed.
    """

    manager: ManagerState
    room_by_id: dict[str, Size]
    claimed_by_id: dict[str, Size]

    def claim(
        self,
        step: StepPlan,
        other: Worker,
        runs: list[Run | None],
        wanted: int,
    ) -> int:
        """Claim room on a worker for tasks of a step, and count these."""
        worker_id = other.entry.worker_id
        if step.required_label and (
            step.required_label not in other.entry.labels
        ):
            return 0
        if step.max_per_worker:
            placed = sum(
                run is not None and run.worker_id == worker_id for run in runs
            )
            wanted = min(wanted, step.max_per_worker - placed)
        if worker_id not in self.room_by_id:
            self.room_by_id[worker_id] = lasting_room(self.manager, other)
        demand = reserved_size(step.size, step.best_effort)
        claimed = self.claimed_by_id.get(worker_id, NO_SIZE)
        count = 0
        while count < wanted:
            more = add_size(claimed, demand)
            if not fits(more, self.room_by_id[worker_id]):
                break
            claimed = more
            count += 1
        self.claimed_by_id[worker_id] = claimed
        return count


class WithdrawalReason(Enum):
    """Why an order that was not sent gives its worker back."""

    NO_ROOM = "no room elsewhere"
    STALLED = "does not advance"


def withdrawal_reason(
    manager: ManagerState, order: PendingOrder, at_ms: int
) -> WithdrawalReason | None:
    """Find out why an order has to be withdrawn.

    Args:
      manager: State of the leader.
      order: An order for a machine.
      at_ms: Current time on the node's clock.
    Returns:
      The reason, or None if the order was sent or may still be.
    """
    if order.send_count:
        return None
    if not may_be_evacuated(manager, order.worker_id, at_ms):
        return WithdrawalReason.NO_ROOM
    advanced_ms = max(order.decided_ms, order.advanced_ms)
    if at_ms - advanced_ms >= ORDER_STALLED_MS:
        return WithdrawalReason.STALLED
    return None


def may_be_evacuated(
    manager: ManagerState,
    worker_id: str,
    at_ms: int,
    room_by_id: dict[str, Size] | None = None,
) -> bool:
    """Check whether a worker's long-running tasks can leave it.

    Finite tasks on other workers are left out of account: they end by
    themselves, and long-running tasks are placed before others.

    Args:
      manager: State of the leader.
      worker_id: The worker, or "".
      at_ms: Current time on the node's clock.
      room_by_id: What long-running tasks leave free of workers, as far as
        earlier calls have computed it; this call adds to it.
    Returns:
      False if more tasks of a step would be down for want of room than its
      max_unavailable, and the pool gets no other machine.
    """
    worker = manager.workers_by_id.get(worker_id)
    if worker is None:
        return True
    if room_by_id is None:
        room_by_id = {}
    claims = RoomClaims(manager, room_by_id, {})
    for job_id, occurrence, step_number in _limited_steps(manager, worker):
        job = manager.active_jobs_by_id[job_id]
        step = job.plan.steps[step_number]
        runs = _step_runs(manager, job, occurrence, step_number)
        displaced = _displaced_count(runs, worker_id) - step.max_unavailable
        if displaced <= 0:
            continue
        if may_grow(manager, worker.entry.pool):
            return True
        for other in _other_workers(manager, job, worker_id, at_ms):
            if not displaced:
                break
            displaced -= claims.claim(step, other, runs, displaced)
        if displaced:
            return False
    return True


def _limited_steps(manager, worker) -> list[tuple[str, int, int]]:
    """List job, occurrence and step of a worker's tasks with a limit."""
    found = set()
    for task in worker.tasks:
        run = manager.runs_by_task[task]
        job = manager.active_jobs_by_id.get(run.job_id)
        if job is None or not run.long_running:
            continue
        if job.plan.steps[run.place.step].max_unavailable:
            found.add((run.job_id, run.place.occurrence, run.place.step))
    return sorted(found)


def _step_runs(
    manager, job: ActiveJob, occurrence: int, step_number: int
) -> list[Run | None]:
    """List the run of each task of a step, or None."""
    places = (
        TaskPlace(occurrence, step_number, index)
        for index in range(job.plan.steps[step_number].count)
    )
    return [
        manager.runs_by_task.get(task_id(job.plan.job_id, place))
        for place in places
    ]


def _displaced_count(runs: list[Run | None], worker_id: str) -> int:
    """Count the tasks of a step that need a place elsewhere.

    These are the ones on the worker, and those that have no place.
    """
    return sum(
        run is None
        or run.state is RunState.STOPPING
        or run.worker_id == worker_id
        for run in runs
    )


def _other_workers(manager, job, worker_id, at_ms) -> list[Worker]:
    """List the workers that the tasks of a job could move to."""
    return [
        other
        for other in pool_workers(manager, job_pool(manager, job))
        if other.entry.worker_id != worker_id
        and exclusion_reason(other, at_ms) not in LASTING_REASONS
        and not is_worker_drained(manager, other)
    ]
