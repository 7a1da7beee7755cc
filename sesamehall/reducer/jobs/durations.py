"""Durations: what tasks really take, against what they declare.

Declared times are far off, but tasks of one queue are off alike, so the
ratio of the latest tasks corrects the declared times of those that come.
"""

from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.workstate import Durations

LEARN_OVER_TASKS = 60  # older tasks fade out
TRUSTED_TASKS = 10  # fewer tell nothing about the others
LEAST_RATIO = 0.25  # beyond these a ratio is taken for an accident
MOST_RATIO = 4.0


def note_duration(
    manager: ManagerState, queue: str, declared_ms: float, actual_ms: float
) -> ManagerState:
    """Learn from a task that has ended well.

    Args:
      manager: State of the leader.
      queue: Name of its queue.
      declared_ms: Its declared time.
      actual_ms: Time from its order to its end.
    Returns:
      The state.
    """
    if declared_ms <= 0:
        return manager
    old = manager.durations_by_queue.get(queue, Durations())
    share = 1 / min(old.count + 1, LEARN_OVER_TASKS)
    durations = Durations(
        count=old.count + 1,
        declared_ms=old.declared_ms + share * (declared_ms - old.declared_ms),
        actual_ms=old.actual_ms + share * (actual_ms - old.actual_ms),
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
    if durations is None or durations.count < TRUSTED_TASKS:
        return 1.0
    ratio = durations.actual_ms / durations.declared_ms
    return min(max(ratio, LEAST_RATIO), MOST_RATIO)


def mean_duration_ms(manager: ManagerState, pool: str) -> float:
    """Tell how long a task of a pool takes on the mean.

    Args:
      manager: State of the leader.
      pool: Name of the pool.
    Returns:
      Milliseconds; 0 while nothing was seen.
    """
    seen = [
        manager.durations_by_queue[name].actual_ms
        for name, queue in manager.manifest.queues_by_name.items()
        if queue.pool == pool and name in manager.durations_by_queue
    ]
    return sum(seen) / len(seen) if seen else 0.0
