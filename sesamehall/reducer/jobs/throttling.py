"""Pacing: what fills is slowed down where it disturbs tasks that serve.

Tasks that fill take the processor time that others leave, but still disturb
the tasks on the same worker that serve users of their own: by how much
depends on the image and changes within seconds.  So the tail of the response
times that a worker reports decides, as in a thermostat: near the target what
fills is slowed down, quickly, and let go again in steps once it is calm.
"""

from sesamehall.core.effects import log
from sesamehall.core.jobtiming import THROTTLE_SETTLE_MS
from sesamehall.core.logevents import WORKER_THROTTLED
from sesamehall.core.managereffects import ThrottleRun
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step
from sesamehall.core.workstate import Run
from sesamehall.core.workstate import RunState
from sesamehall.core.workstate import Worker
from sesamehall.reducer.jobs.state_updates import put_run
from sesamehall.reducer.jobs.state_updates import put_worker

FULL_SPEED_PERCENT = 100  # percent
SLOW_DOWN_ABOVE = 0.9  # of a target; beyond it what fills is slowed down
SPEED_UP_BELOW = 0.7  # of a target; below it what fills is let go
SLOWDOWN_DIVISOR = (
    4  # the pace is divided by this, so that two steps nearly stop it
)
MIN_SPEED_PERCENT = 10  # percent; a slower pace is none
SPEEDUP_PERCENT = 20  # percent added at a time


def throttle_best_effort(
    manager: ManagerState, worker_id: str, at_ms: int
) -> Step:
    """Choose the pace of what fills on a worker that has reported.

    Args:
      manager: State of the leader.
      worker_id: The worker.
      at_ms: The node's clock.
    Returns:
      A Step with an order for each task whose pace is another; while the
      strain lasts orders are repeated, since one may have been lost.
    """
    worker = manager.workers_by_id[worker_id]
    runs = [manager.runs_by_task[task] for task in sorted(worker.tasks)]
    fills = [run for run in runs if _is_throttleable(run)]
    if not fills:
        return Step(_with_speed(manager, worker, FULL_SPEED_PERCENT, at_ms))
    pace = worker.best_effort_speed_percent
    strain = _latency_ratio(runs)
    settled = at_ms - worker.speed_changed_ms >= THROTTLE_SETTLE_MS
    if settled:
        pace = _next_speed(pace, strain)
    effects = ()
    if pace != worker.best_effort_speed_percent:
        effects = (log(WORKER_THROTTLED, worker=worker_id, percent=pace),)
    manager = _with_speed(manager, worker, pace, at_ms)
    for run in fills:
        if run.speed_percent != pace or (settled and strain > SLOW_DOWN_ABOVE):
            manager = put_run(manager, replace(run, speed_percent=pace))
            effects += (_order(manager, worker, run, pace),)
    return Step(manager, effects)


def _is_throttleable(run: Run) -> bool:
    return run.best_effort and run.state is RunState.RUNNING


def _latency_ratio(runs: list[Run]) -> float:
    """Compute how near the tails of tasks that serve are to their targets."""
    return max(
        (
            run.load / run.tail_latency_target_ms
            for run in runs
            if run.tail_latency_target_ms and run.state is RunState.RUNNING
        ),
        default=0.0,
    )


def _next_speed(pace: int, strain: float) -> int:
    if strain > SLOW_DOWN_ABOVE:
        slower = pace // SLOWDOWN_DIVISOR
        return slower if slower >= MIN_SPEED_PERCENT else 0
    if strain < SPEED_UP_BELOW:
        return min(pace + SPEEDUP_PERCENT, FULL_SPEED_PERCENT)
    return pace


def _with_speed(manager, worker: Worker, pace, at_ms):
    if pace == worker.best_effort_speed_percent:
        return manager
    paced = replace(
        worker, best_effort_speed_percent=pace, speed_changed_ms=at_ms
    )
    return put_worker(manager, paced)


def _order(manager, worker, run, pace):
    return ThrottleRun(
        worker_id=run.worker_id,
        address=worker.entry.address,
        epoch=manager.term.epoch,
        task=run.task,
        number=run.number,
        percent=pace,
    )
