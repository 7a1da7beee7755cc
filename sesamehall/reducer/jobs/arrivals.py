"""Arrival rates of jobs by queue, which predict the demand for workers."""

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
    """Add the arrival of a job to the rate of its queue.

    Args:
      manager: State of the leader.
      queue: Name of its queue.
      at_ms: Current time on the node's clock.
    Returns:
      The state.
    """
    rate = jobs_per_s(manager, queue, at_ms) + 1_000 / ARRIVALS_DECAY_MS
    arrivals = manager.arrivals_by_queue.set(queue, Arrivals(rate, at_ms))
    return replace(manager, arrivals_by_queue=arrivals)


def surge_jobs_per_s(manager: ManagerState, queue: str, at_ms: int) -> float:
    """Estimate a lower bound of a queue's arrival rate, to detect surges.

    The count of jobs within ARRIVALS_DECAY_MS is reduced by SURGE_DEVIATIONS
    standard deviations of a Poisson process. A few jobs, which may have
    arrived close together by chance, yield almost nothing; many jobs yield
    nearly their full rate.

    Args:
      manager: State of the leader.
      queue: Name of the queue.
      at_ms: Current time on the node's clock.
    Returns:
      Jobs per second.
    """
    window_s = ARRIVALS_DECAY_MS / 1_000
    count = jobs_per_s(manager, queue, at_ms) * window_s
    lower_bound = count - SURGE_DEVIATIONS * sqrt(count)
    return max(lower_bound, 0.0) / window_s


def jobs_per_s(manager: ManagerState, queue: str, at_ms: int) -> float:
    """Estimate the arrival rate of a queue's jobs.

    Args:
      manager: State of the leader.
      queue: Name of the queue.
      at_ms: Current time on the node's clock.
    Returns:
      Jobs per second; arrivals decay exponentially over ARRIVALS_DECAY_MS.
    """
    arrivals = manager.arrivals_by_queue.get(queue)
    if arrivals is None:
        return 0.0
    age_ms = max(at_ms - arrivals.at_ms, 0)
    return arrivals.jobs_per_s * exp(-age_ms / ARRIVALS_DECAY_MS)
