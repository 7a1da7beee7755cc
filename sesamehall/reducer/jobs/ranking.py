"""Ranking of waiting jobs when a pool lacks capacity for all of them.

In a surge beyond a pool's capacity, earliest deadline first makes every job
late. A variant of the Moore-Hodgson algorithm therefore selects jobs that can
all meet their goals: it adds jobs in order of their goals, and whenever the
total processor time exceeds what is available before a job's goal, it defers
the selected job with the lowest value per processor time.

Where several teams ask for more than a pool has, each team's jobs are selected
within its share of the pool, and shares decide whose job is next.

A job's value is an estimate of what completing it is worth, relative to an
average job of its queue, whose value is 1. One part is the same for every job,
and the other is proportional to the job's processor time.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from heapq import heappop
from heapq import heappush

from sesamehall.reducer.jobs.fair_share import has_room_for_all
from sesamehall.reducer.jobs.fair_share import order_by_shares
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
      ordered_ids: The jobs that are not long-running, in the order in which
        their tasks are placed.
    """

    long_running: tuple[WaitingJob, ...] = ()
    timely: tuple[WaitingJob, ...] = ()
    deferred: tuple[WaitingJob, ...] = ()
    late: tuple[WaitingJob, ...] = ()
    ordered_ids: tuple[str, ...] = ()

    def job_ids(self) -> list[str]:
        """List the jobs in the order in which their tasks are placed."""
        first = [job.job_id for job in self.long_running]
        return first + list(self.ordered_ids)


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
    shared = _is_shared(feasible, loads, at_ms)
    if shared:
        selected = _select_by_shares(feasible, loads, cores, at_ms)
    else:
        selected = _select(feasible, cores, at_ms, running_core_ms)
    timely = [job for job in feasible if job.job_id in selected]
    deferred = [job for job in feasible if job.job_id not in selected]
    rest = sorted(
        late + deferred, key=lambda job: (-value_density(job), job.job_id)
    )
    ordered_ids = [job.job_id for job in timely + rest]
    if shared:
        # Jobs that are not timely have no priority over any other.
        last = max((job.priority for job in timely), default=0)
        priorities = dict.fromkeys(ordered_ids, last)
        priorities |= {job.job_id: job.priority for job in timely}
        ordered_ids = order_by_shares(priorities, loads)
    return Ranking(
        tuple(long_running),
        tuple(timely),
        tuple(deferred),
        tuple(late),
        tuple(ordered_ids),
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


def _is_shared(feasible, loads, at_ms):
    """Check whether shares decide: teams compete, and some of them must wait.

    That is, there is no room for all before the average job must start.
    """
    if len(loads.weight_by_team) < 2:
        return False
    slack_ms = sum(
        job.goal_ms - job.critical_path_ms - at_ms for job in feasible
    )
    return not has_room_for_all(loads, slack_ms / max(len(feasible), 1))


def _select_by_shares(feasible, loads, cores, at_ms):
    """Select the jobs of each team that meet their goals within its share."""
    jobs_by_team: dict[str, list[WaitingJob]] = {}
    for job in feasible:
        jobs_by_team.setdefault(loads.team_of(job.job_id), []).append(job)
    selected: set[str] = set()
    for team, jobs in jobs_by_team.items():
        team_cores = cores * loads.fair_by_team.get(team, 1.0)
        held_core_ms = cores * loads.held_ms_by_team.get(team, 0.0)
        selected |= _select(jobs, team_cores, at_ms, held_core_ms)
    return selected


def _select(feasible, cores, at_ms, held_core_ms):
    """Select jobs that meet their goals together, and as many as possible."""
    selected_by_id = {job.job_id: job for job in feasible}
    heap: list[tuple[float, str]] = []
    total_core_ms = held_core_ms
    for job in sorted(feasible, key=lambda item: item.goal_ms):
        heappush(heap, (value_density(job), job.job_id))
        total_core_ms += job.core_ms
        # The minimum avoids a division by zero without available workers.
        while heap and at_ms + total_core_ms / max(cores, 0.001) > job.goal_ms:
            _, job_id = heappop(heap)
            total_core_ms -= selected_by_id.pop(job_id).core_ms
    return set(selected_by_id)
