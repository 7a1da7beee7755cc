"""Measured run times of tasks, compared with their declared run times.

Declared run times are far off, but by about the same factor for all tasks of
a queue. So the ratio measured for its latest tasks corrects the declared
times of its next ones.

Run times are measured on the worker's clock only. The time until a start
order reaches the worker, and until the end of the run is known, depends on
the load of this node. It is averaged separately as a delay, so that a loaded
leader neither overestimates run times nor moves goals.
"""

from sesamehall.core.managerevents import WorkerReported
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.workstate import Durations
from sesamehall.core.workstate import Run

MIN_EXTRAPOLATION_PERCENT = 25  # less progress gives too inexact a run time
AVERAGED_TASKS = 60  # window of the moving averages
MIN_SAMPLES = 10  # fewer tasks do not represent the others
MIN_RATIO = 0.25  # ratios outside these limits are taken for outliers
MAX_RATIO = 4.0


def run_time_ms(run: Run | None, report: WorkerReported) -> int:
    """Compute on its worker's clock how long a run has taken.

    A long poll that was open before the run was acknowledged reports the end
    immediately, so the report's clock is the end of the run. A poll sent later
    may report the end late; then the run time is extrapolated from the last
    progress that was seen.

    Args:
      run: The run, or None if it is not known.
      report: The report that lists its end.
    Returns:
      Milliseconds, or 0 if the run time is unknown.
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
    """Add a task that has succeeded to the averages of its queue.

    Args:
      manager: State of the leader.
      queue: Name of its queue.
      declared_ms: Its declared run time.
      actual_ms: Time from its start to its end on the worker.
      delay_ms: Time from the order to the start, plus the time from the end
        until it was known.
    Returns:
      The state.
    """
    if declared_ms <= 0:
        return manager
    previous = manager.durations_by_queue.get(queue, Durations())
    weight = 1 / min(previous.count + 1, AVERAGED_TASKS)
    durations = Durations(
        count=previous.count + 1,
        declared_ms=previous.declared_ms
        + weight * (declared_ms - previous.declared_ms),
        actual_ms=previous.actual_ms
        + weight * (actual_ms - previous.actual_ms),
        delay_ms=previous.delay_ms + weight * (delay_ms - previous.delay_ms),
    )
    by_queue = manager.durations_by_queue.set(queue, durations)
    return replace(manager, durations_by_queue=by_queue)


def duration_ratio(manager: ManagerState, queue: str) -> float:
    """Compute the ratio of measured to declared run times of a queue's tasks.

    Args:
      manager: State of the leader.
      queue: Name of the queue.
    Returns:
      The ratio; 1 until enough tasks were measured.
    """
    durations = manager.durations_by_queue.get(queue)
    if durations is None or durations.count < MIN_SAMPLES:
        return 1.0
    ratio = durations.actual_ms / durations.declared_ms
    return min(max(ratio, MIN_RATIO), MAX_RATIO)


def mean_delay_ms(manager: ManagerState, queue: str) -> float:
    """Return how much longer a queue's tasks reserve resources than they run.

    Args:
      manager: State of the leader.
      queue: Name of the queue.
    Returns:
      Milliseconds; 0 until enough tasks were measured.
    """
    durations = manager.durations_by_queue.get(queue)
    if durations is None or durations.count < MIN_SAMPLES:
        return 0.0
    return durations.delay_ms


def occupancy_ratio(manager: ManagerState, queue: str) -> float:
    """Compute how long tasks reserve resources, relative to what they declare.

    Args:
      manager: State of the leader.
      queue: Name of the queue.
    Returns:
      The ratio to the declared run time; 1 until enough tasks were measured.
    """
    ratio = duration_ratio(manager, queue)
    overhead_ms = mean_delay_ms(manager, queue)
    if not overhead_ms:
        return ratio
    return ratio + overhead_ms / manager.durations_by_queue[queue].declared_ms


def mean_occupancy_ms(manager: ManagerState, pool: str) -> float:
    """Compute how long a task of a pool reserves resources on average.

    Args:
      manager: State of the leader.
      pool: Name of the pool.
    Returns:
      Milliseconds, averaged over the queues of the pool; 0 until a task was
      measured.
    """
    means_ms = [
        manager.durations_by_queue[name].actual_ms
        + manager.durations_by_queue[name].delay_ms
        for name, queue in manager.manifest.queues_by_name.items()
        if queue.pool == pool and name in manager.durations_by_queue
    ]
    return sum(means_ms) / len(means_ms) if means_ms else 0.0
