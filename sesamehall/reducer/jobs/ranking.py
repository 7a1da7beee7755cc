"""Ranking of waiting jobs when a pool lacks capacity for all of them.

In a surge beyond a pool's capacity, earliest deadline first makes every job
late. A variant of the Moore-Hodgson algorithm therefore selects jobs that can
all meet their goals: it adds jobs in order of their goals, and whenever the
total processor time exceeds what is available before a job's goal, it defers
a selected job: of the team that is furthest beyond its share the one with the
lowest value per processor time (see fair_share). If shares decide nothing, all
jobs count as those of one team.

A job's value is an estimate of what completing it is worth, relative to an
average job of its queue, whose value is 1. One part is the same for every job,
and the other is proportional to the job's processor time.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from sesamehall.reducer.jobs.fair_share import FairSelection
from sesamehall.reducer.jobs.fair_share import order_by_shares
from sesamehall.reducer.jobs.fair_share import RankedJob
from sesamehall.reducer.jobs.fair_share import TeamLoads

FIXED_VALUE_SHARE = 0.3  # part of the value that is the same for every job
PROPORTIONAL_VALUE_SHARE = 0.7  # part that grows with processor time


ONE_TEAM = TeamLoads()


@dataclass(frozen=True, slots=True)
class WaitingJob:
    """A job with waiting tasks, and its properties that ranking uses.

    Attributes:
      job_id: Identifier of the job.
      priority: Priority of its queue. Among long-running jobs and among timely
        ones the lowest number goes first.
      goal_ms: Time by which it should be done, on the node's clock.
      critical_path_ms: Expected time of its longest chain of unfinished
        steps.
      core_ms: Processor time that it still needs, in core-milliseconds.
      mean_core_ms: Average processor time of the jobs of its queue.
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
    """The waiting jobs of a pool, split by whether they can meet their goals.

    Attributes:
      long_running: Jobs with long-running tasks, by priority and goal.
      timely: Jobs that can meet their goals together, by priority and goal.
      deferred: Jobs that could meet their goals, but only without some of the
        timely ones.
      late: Jobs that cannot meet their goals any more.
      rest_job_ids: The deferred and the late jobs, in the order of their
        teams' shares, and within a team by descending value density.
    """

    long_running: tuple[WaitingJob, ...] = ()
    timely: tuple[WaitingJob, ...] = ()
    deferred: tuple[WaitingJob, ...] = ()
    late: tuple[WaitingJob, ...] = ()
    rest_job_ids: tuple[str, ...] = ()

    def job_ids(self) -> list[str]:
        """List the jobs in the order in which their tasks are placed.

        Deferred and late jobs follow the others.
        """
        first = [job.job_id for job in self.long_running + self.timely]
        return first + list(self.rest_job_ids)


def rank_jobs(
    jobs: Iterable[WaitingJob],
    cores: float,
    at_ms: int,
    running_core_ms: float = 0.0,
    loads: TeamLoads = ONE_TEAM,
) -> Ranking:
    """Rank the waiting jobs of a pool.

    Args:
      jobs: The jobs.
      cores: Processor cores of the pool's available workers.
      at_ms: Current time on the node's clock.
      running_core_ms: Processor time that running tasks still need, in
        core-milliseconds.
      loads: The teams of the jobs, and what they hold.
    Returns:
      The ranking.
    """
    long_running: list[WaitingJob] = []
    feasible: list[WaitingJob] = []
    late: list[WaitingJob] = []
    for job in sorted(jobs, key=_goal_order):
        if job.long_running:
            long_running.append(job)
        elif at_ms + job.critical_path_ms > job.goal_ms:
            late.append(job)
        else:
            feasible.append(job)
    selection = FairSelection.begin(loads)
    timely, deferred = _split(
        selection, feasible, cores, at_ms, running_core_ms
    )
    rest = [_ranked(job) for job in late + deferred]
    return Ranking(
        tuple(long_running),
        tuple(timely),
        tuple(deferred),
        tuple(late),
        tuple(order_by_shares(rest, loads, selection.held_ms_by_team)),
    )


def value_density(job: WaitingJob) -> float:
    """Compute a job's value per processor time that it still needs.

    Args:
      job: The job.
    Returns:
      The value density relative to an average job of the queue. It is higher
      for a job that needs less, since part of the value is the same for every
      job.
    """
    if job.mean_core_ms <= 0:
        return 1.0
    # The minimum limits the density of a job that is nearly done.
    relative = max(job.core_ms / job.mean_core_ms, 0.01)
    return FIXED_VALUE_SHARE / relative + PROPORTIONAL_VALUE_SHARE


def _goal_order(job):
    return (job.priority, job.goal_ms, job.job_id)


def _ranked(job):
    return RankedJob(job.job_id, value_density(job))


def _split(selection, feasible, cores, at_ms, running_core_ms):
    """Split jobs into those that meet their goals together and the others."""
    selected_by_id = {job.job_id: job for job in feasible}
    total_core_ms = running_core_ms
    # The minimum avoids a division by zero without available workers.
    cores = max(cores, 0.001)
    for job in sorted(feasible, key=lambda item: item.goal_ms):
        selection.add(_ranked(job))
        total_core_ms += job.core_ms
        while (
            at_ms + total_core_ms / cores > job.goal_ms
            and selection.has_jobs()
        ):
            job_id = selection.remove_one()
            total_core_ms -= selected_by_id.pop(job_id).core_ms
    timely = [item for item in feasible if item.job_id in selected_by_id]
    deferred = [item for item in feasible if item.job_id not in selected_by_id]
    return timely, deferred
