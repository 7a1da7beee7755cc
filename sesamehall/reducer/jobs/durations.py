"""Durations: what tasks really take, against what they declare.

Declared times are far off, but tasks of one queue are off alike, so the
ratio of the latest tasks corrects the declared times of those that come.

Only a worker's own clock tells what a task took.  The time until an order
reaches the worker and until its end is known depends on the load of this
node, and is learnt apart: it makes no task longer, and no goal later.
"""

from sesamehall.core.managerevents import WorkerReported
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.workstate import Durations
from sesamehall.core.workstate import Run

MIN_EXTRAPOLATION_PERCENT = (
    25  # a smaller share of its work tells a run's pace too badly
)
AVERAGED_TASKS = 60  # older tasks fade out
MIN_SAMPLES = 10  # fewer tell nothing about the others
MIN_RATIO = 0.25  # beyond these a ratio is taken for an accident
MAX_RATIO = 4.0


def run_time_ms(run: Run | None, report: WorkerReported) -> int:
    """Tell by its worker's clock how long a run has taken.

    An end is listed at once by a call that was there before the run.  A later
    call may come late, so then the run's pace when it was last seen counts.

    Args:
      run: The run, if it is known.
      report: The lists that tell of its end.
    Returns:
      Milliseconds; 0 where it is not known.
    """
    if run is None or run.started_clock_ms < 0:
        return 0
    if report.sent_ms <= run.acknowledged_ms:
        return report.clock_ms - run.started_clock_ms
    if run.percent < MIN_EXTRAPOLATION_PERCENT:
        return 0
    return (
        (run.progressed_clock_ms - run.started_clock_ms) * 100 // run.percent
    )


def record_duration(
    manager: ManagerState,
    queue: str,
    declared_ms: float,
    actual_ms: float,
    delay_ms: float = 0.0,
) -> ManagerState:
    """Learn from a task that has ended well.

    Args:
      manager: State of the leader.
      queue: Name of its queue.
      declared_ms: Its declared time.
      actual_ms: Time from its start to its end on the worker.
      delay_ms: Time from its order to its start, and from its end until it
        was known.
    Returns:
      The state.
    """
    if declared_ms <= 0:
        return manager
    old = manager.durations_by_queue.get(queue, Durations())
    share = 1 / min(old.count + 1, AVERAGED_TASKS)
    durations = Durations(
        count=old.count + 1,
        declared_ms=old.declared_ms + share * (declared_ms - old.declared_ms),
        actual_ms=old.actual_ms + share * (actual_ms - old.actual_ms),
        delay_ms=old.delay_ms + share * (delay_ms - old.delay_ms),
    )
    by_queue = manager.durations_by_queue.set(queue, durations)
    return replace(manager, durations_by_queue=by_queue)


def duration_ratio(manager: ManagerState, queue: str) -> float:
    """Tell by which factor a queue's tasks take longer than they declare.

    Args:
      manager: State of the leader.
      queue: Name of the queue.
    Returns:
      The factor; 1 while too few tasks were seen.
    """
    durations = manager.durations_by_queue.get(queue)
    if durations is None or durations.count < MIN_SAMPLES:
        return 1.0
    ratio = durations.actual_ms / durations.declared_ms
    return min(max(ratio, MIN_RATIO), MAX_RATIO)


def mean_delay_ms(manager: ManagerState, queue: str) -> float:
    """Tell how much longer a task of a queue keeps its room than it runs.

    Args:
      manager: State of the leader.
      queue: Name of the queue.
    Returns:
      Milliseconds; 0 while too few tasks were seen.
    """
    durations = manager.durations_by_queue.get(queue)
    if durations is None or durations.count < MIN_SAMPLES:
        return 0.0
    return durations.delay_ms


def occupancy_ratio(manager: ManagerState, queue: str) -> float:
    """Tell by which factor tasks keep their room longer than they declare.

    Args:
      manager: State of the leader.
      queue: Name of the queue.
    Returns:
      The factor; 1 while too few tasks were seen.
    """
    ratio = duration_ratio(manager, queue)
    late_ms = mean_delay_ms(manager, queue)
    if not late_ms:
        return ratio
    return ratio + late_ms / manager.durations_by_queue[queue].declared_ms


def mean_occupancy_ms(manager: ManagerState, pool: str) -> float:
    """Tell how long a task of a pool keeps its room on the mean.

    Args:
      manager: State of the leader.
      pool: Name of the pool.
    Returns:
      Milliseconds; 0 while nothing was seen.
    """
    seen = [
        manager.durations_by_queue[name].actual_ms
        + manager.durations_by_queue[name].delay_ms
        for name, queue in manager.manifest.queues_by_name.items()
        if queue.pool == pool and name in manager.durations_by_queue
    ]
    return sum(seen) / len(seen) if seen else 0.0
