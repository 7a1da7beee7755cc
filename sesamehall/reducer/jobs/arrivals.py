"""Arrivals: how fast the jobs of a queue come, to foresee its needs."""

from math import exp
from math import sqrt

from sesamehall.core.fleettiming import ARRIVALS_DECAY_MS
from sesamehall.core.fleettiming import SURGE_DEVIATIONS
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.workstate import Arrivals


def record_arrival(
    manager: ManagerState, queue: str, at_ms: int
) -> ManagerState:
    """Count a job that has come.

    Args:
      manager: State of the leader.
      queue: Name of its queue.
      at_ms: The node's clock.
    Returns:
      The state.
    """
    rate = jobs_per_s(manager, queue, at_ms) + 1_000 / ARRIVALS_DECAY_MS
    arrivals = manager.arrivals_by_queue.set(queue, Arrivals(rate, at_ms))
    return replace(manager, arrivals_by_queue=arrivals)


def surge_jobs_per_s(manager: ManagerState, queue: str, at_ms: int) -> float:
    """Estimate how fast a queue's jobs come in a surge.

    Args:
      manager: State of the leader.
      queue: Name of the queue.
      at_ms: The node's clock.
    Returns:
      Jobs a second, so many that they have hardly come by chance: of a few
      jobs within ARRIVALS_DECAY_MS little is left, of many nearly all.
    """
    window_s = ARRIVALS_DECAY_MS / 1_000
    count = jobs_per_s(manager, queue, at_ms) * window_s
    certain = count - SURGE_DEVIATIONS * sqrt(count)
    return max(certain, 0.0) / window_s


def jobs_per_s(manager: ManagerState, queue: str, at_ms: int) -> float:
    """Estimate how fast a queue's jobs come.

    Args:
      manager: State of the leader.
      queue: Name of the queue.
      at_ms: The node's clock.
    Returns:
      Jobs a second; arrivals fade out over ARRIVALS_DECAY_MS.
    """
    arrivals = manager.arrivals_by_queue.get(queue)
    if arrivals is None:
        return 0.0
    age_ms = max(at_ms - arrivals.at_ms, 0)
    return arrivals.jobs_per_s * exp(-age_ms / ARRIVALS_DECAY_MS)
