"""Throttling of best-effort tasks that disturb latency-sensitive tasks.

Best-effort tasks use processor time that others leave idle, but still disturb
the long-running tasks on the same worker that serve users. How much depends
on the image and changes within seconds. So a feedback loop with hysteresis
follows the tail response times that the worker reports: close to their target
the best-effort tasks are slowed down quickly, and well below it they are sped
up again in steps.
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

FULL_SPEED_PERCENT = 100
SLOW_DOWN_ABOVE = 0.9  # ratio of tail response time to its target
SPEED_UP_BELOW = 0.7  # ratio of tail response time to its target
SLOWDOWN_DIVISOR = 4  # two steps nearly stop the tasks
MIN_SPEED_PERCENT = 10  # a lower speed is rounded down to 0
SPEEDUP_PERCENT = 20  # added per step


def throttle_best_effort(
    manager: ManagerState, worker_id: str, at_ms: int
) -> Step:
    """Adapt the speed of the best-effort tasks of a worker that reported.

    Args:
      manager: State of the leader.
      worker_id: The worker.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with an order for each task whose speed changes. While response
      times stay close to their target, orders are repeated, since one may
      have been lost.
    """
    worker = manager.workers_by_id[worker_id]
    runs = [manager.runs_by_task[task] for task in sorted(worker.tasks)]
    best_effort_runs = [run for run in runs if _may_throttle(run)]
    if not best_effort_runs:
        return Step(_with_speed(manager, worker, FULL_SPEED_PERCENT, at_ms))
    speed = worker.best_effort_speed_percent
    latency_ratio = _latency_ratio(runs)
    settled = at_ms - worker.speed_changed_ms >= THROTTLE_SETTLE_MS
    if settled:
        speed = _next_speed(speed, latency_ratio)
    effects = ()
    if speed != worker.best_effort_speed_percent:
        effects = (log(WORKER_THROTTLED, worker=worker_id, percent=speed),)
    manager = _with_speed(manager, worker, speed, at_ms)
    for run in best_effort_runs:
        if run.speed_percent != speed or (
            settled and latency_ratio > SLOW_DOWN_ABOVE
        ):
            manager = put_run(manager, replace(run, speed_percent=speed))
            effects += (_throttle_order(manager, worker, run, speed),)
    return Step(manager, effects)


def _may_throttle(run: Run) -> bool:
    return run.best_effort and run.state is RunState.RUNNING


def _latency_ratio(runs: list[Run]) -> float:
    """Compute the highest ratio of a tail response time to its target."""
    return max(
        (
            run.load / run.tail_latency_target_ms
            for run in runs
            if run.tail_latency_target_ms and run.state is RunState.RUNNING
        ),
        default=0.0,
    )


def _next_speed(speed: int, latency_ratio: float) -> int:
    if latency_ratio > SLOW_DOWN_ABOVE:
        reduced = speed // SLOWDOWN_DIVISOR
        return reduced if reduced >= MIN_SPEED_PERCENT else 0
    if latency_ratio < SPEED_UP_BELOW:
        return min(speed + SPEEDUP_PERCENT, FULL_SPEED_PERCENT)
    return speed


def _with_speed(manager, worker: Worker, speed, at_ms):
    if speed == worker.best_effort_speed_percent:
        return manager
    changed = replace(
        worker, best_effort_speed_percent=speed, speed_changed_ms=at_ms
    )
    return put_worker(manager, changed)


def _throttle_order(manager, worker, run, speed):
    return ThrottleRun(
        worker_id=run.worker_id,
        address=worker.entry.address,
        epoch=manager.term.epoch,
        task=run.task,
        number=run.number,
        percent=speed,
        started_wall_ms=worker.entry.started_wall_ms,
    )
