"""Ranking: which jobs get room first when there is not enough for all.

In a surge beyond a pool's capacity, serving in order of deadlines makes every
job late.  So the jobs that cannot all be done in time are told apart first,
as in the Moore-Hodgson rule: walk through them in order of their goals, and
whenever the work so far cannot be done by a job's goal, put back the job
that earns least for its work.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from heapq import heappop
from heapq import heappush

FIXED_VALUE_SHARE = 0.3  # of a mean job's worth that does not grow with work
PROPORTIONAL_VALUE_SHARE = 0.7  # of it that grows with the work


@dataclass(frozen=True, slots=True)
class WaitingJob:
    """A job that waits for room, as ranking sees it.

    Attributes:
      job_id: Identifier of the job.
      priority: 0 goes first.
      goal_ms: Clock at which it should be done.
      critical_path_ms: Time that its remaining steps take one after the other.
      core_ms: Processor time that it still needs, in core-milliseconds.
      mean_core_ms: Processor time of a mean job of its queue.
      long_running: Whether its tasks run until it is cancelled.
    """

    job_id: str
    priority: int
    goal_ms: int
    critical_path_ms: int
    core_ms: float
    mean_core_ms: float
    long_running: bool = False


@dataclass(frozen=True, slots=True)
class Ranking:
    """The jobs of a pool, sorted by what a wait would cost.

    Attributes:
      long_running: Jobs whose tasks last, the earliest goal first.
      timely: Jobs that can be done in time, the earliest goal first.
      deferred: Jobs that could be, were it not for the timely ones.
      late: Jobs that cannot be done in time any more.
    """

    long_running: tuple[WaitingJob, ...] = ()
    timely: tuple[WaitingJob, ...] = ()
    deferred: tuple[WaitingJob, ...] = ()
    late: tuple[WaitingJob, ...] = ()

    def job_ids(self) -> list[str]:
        """List the jobs in the order in which they get room."""
        rest = sorted(
            self.late + self.deferred,
            key=lambda candidate: (
                -value_density(candidate),
                candidate.job_id,
            ),
        )
        ordered = self.long_running + self.timely + tuple(rest)
        return [candidate.job_id for candidate in ordered]


def rank_jobs(
    candidates: Iterable[WaitingJob],
    cores: float,
    at_ms: int,
    running_core_ms: float = 0.0,
) -> Ranking:
    """Rank the jobs of a pool.

    Args:
      candidates: The jobs with tasks that may start.
      cores: Processor cores of the pool.
      at_ms: The node's clock.
      running_core_ms: Work left of the tasks that run, in core-milliseconds.
    Returns:
      The ranking.
    """
    long_running: list[WaitingJob] = []
    hopeful: list[WaitingJob] = []
    late: list[WaitingJob] = []
    for candidate in sorted(candidates, key=_by_goal):
        if candidate.long_running:
            long_running.append(candidate)
        elif at_ms + candidate.critical_path_ms > candidate.goal_ms:
            late.append(candidate)
        else:
            hopeful.append(candidate)
    timely, deferred = _split(hopeful, cores, at_ms, running_core_ms)
    return Ranking(
        tuple(long_running), tuple(timely), tuple(deferred), tuple(late)
    )


def value_density(candidate: WaitingJob) -> float:
    """Compute what a job earns for the work that it still needs.

    Args:
      candidate: The job.
    Returns:
      Worth, of mean jobs, for each mean job's work; small jobs earn more.
    """
    if candidate.mean_core_ms <= 0:
        return 1.0
    relative = max(candidate.core_ms / candidate.mean_core_ms, 0.01)
    return FIXED_VALUE_SHARE / relative + PROPORTIONAL_VALUE_SHARE


def _by_goal(candidate):
    return (candidate.priority, candidate.goal_ms, candidate.job_id)


def _split(hopeful, cores, at_ms, running_core_ms):
    """Tell the jobs that can be done in time together from the others."""
    kept_by_id = {candidate.job_id: candidate for candidate in hopeful}
    heap: list[tuple[float, str]] = []
    work = running_core_ms
    for candidate in sorted(hopeful, key=lambda one: one.goal_ms):
        heappush(heap, (value_density(candidate), candidate.job_id))
        work += candidate.core_ms
        while heap and at_ms + work / max(cores, 0.001) > candidate.goal_ms:
            _, job_id = heappop(heap)
            work -= kept_by_id.pop(job_id).core_ms
    timely = [one for one in hopeful if one.job_id in kept_by_id]
    deferred = [one for one in hopeful if one.job_id not in kept_by_id]
    return timely, deferred
