"""Selection and order of whole jobs by their teams' shares.

This follows start-time fair queueing: the start tag of a job is what its team
holds without it, per weight. So a team whose one job is larger than its share
is not always the last.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from heapq import heapify
from heapq import heappop
from heapq import heappush

from sesamehall.core.data import EMPTY_MAP


@dataclass(frozen=True, slots=True)
class RankedJob:
    """What selection by shares needs to know of a job.

    Attributes:
      job_id: Identifier of the job.
      value_density: Its value per processor time.
    """

    job_id: str
    value_density: float


@dataclass(frozen=True, slots=True)
class TeamLoads:
    """The teams of waiting jobs, their weights, and what they hold.

    By default all jobs belong to one team, so that shares decide nothing.

    Attributes:
      team_by_job_id: Team of each job.
      cost_ms_by_job_id: Time for which each job would occupy the whole pool.
      weight_by_team: Weight of each team.
      held_ms_by_team: The same time for the team's running tasks, with its
        debt.
    """

    team_by_job_id: Mapping[str, str] = EMPTY_MAP
    cost_ms_by_job_id: Mapping[str, float] = EMPTY_MAP
    weight_by_team: Mapping[str, float] = EMPTY_MAP
    held_ms_by_team: Mapping[str, float] = EMPTY_MAP

    def team_of(self, job_id: str) -> str:
        """Return the team of a job."""
        return self.team_by_job_id.get(job_id, "")

    def cost_ms(self, job_id: str) -> float:
        """Return the time for which a job would occupy the whole pool."""
        return self.cost_ms_by_job_id.get(job_id, 0.0)

    def weight(self, team: str) -> float:
        """Return the weight of a team."""
        return self.weight_by_team.get(team, 1.0)


@dataclass(frozen=True, slots=True)
class FairSelection:
    """A set of selected jobs; its tables change as jobs come and go.

    Attributes:
      loads: The teams.
      held_ms_by_team: What each team holds, with its selected jobs.
      jobs_by_team: Heaps of value densities and identifiers of the selected
        jobs; the lowest density is the first.
      candidates: A heap of jobs to remove, the highest start tag first. An
        entry is outdated unless it is the present one of its team.
    """

    loads: TeamLoads
    held_ms_by_team: dict[str, float]
    jobs_by_team: dict[str, list[tuple[float, str]]]
    candidates: list[tuple[float, float, str, str]]

    @classmethod
    def begin(cls, loads: TeamLoads) -> "FairSelection":
        """Begin without jobs."""
        return cls(loads, dict(loads.held_ms_by_team), {}, [])

    def add(self, job: RankedJob):
        """Select a job."""
        team = self.loads.team_of(job.job_id)
        self._change_held(team, self.loads.cost_ms(job.job_id))
        jobs = self.jobs_by_team.setdefault(team, [])
        heappush(jobs, (job.value_density, job.job_id))
        heappush(self.candidates, self._candidate(team))

    def has_jobs(self) -> bool:
        """Check whether a job is selected."""
        return any(self.jobs_by_team.values())

    def remove_one(self) -> str:
        """Remove a job of the team that holds most per weight without it.

        Of that team's jobs it is the one of the lowest value density.

        Returns:
          Identifier of the job.
        Raises:
          IndexError: No job is selected.
        """
        while True:
            candidate = heappop(self.candidates)
            team = candidate[-1]
            jobs = self.jobs_by_team[team]
            if jobs and candidate == self._candidate(team):
                break
        _, job_id = heappop(jobs)
        self._change_held(team, -self.loads.cost_ms(job_id))
        if jobs:
            heappush(self.candidates, self._candidate(team))
        return job_id

    def _candidate(self, team):
        """Build the entry of a team's job of the lowest value density."""
        density, job_id = self.jobs_by_team[team][0]
        rest_ms = self.held_ms_by_team[team] - self.loads.cost_ms(job_id)
        return (-rest_ms / self.loads.weight(team), density, job_id, team)

    def _change_held(self, team, change_ms):
        held_ms = self.held_ms_by_team.get(team, 0.0)
        self.held_ms_by_team[team] = held_ms + change_ms


def order_by_shares(
    jobs: Iterable[RankedJob],
    loads: TeamLoads,
    held_ms_by_team: Mapping[str, float],
) -> list[str]:
    """Order jobs by start tags, and within a team by value density.

    Args:
      jobs: The jobs.
      loads: Their teams.
      held_ms_by_team: What each team holds before these jobs.
    Returns:
      Their identifiers. The next one is always of the team that holds least
      per weight, with its jobs so far.
    """
    held_ms = dict(held_ms_by_team)
    jobs_by_team: dict[str, list[tuple[float, str]]] = {}
    for job in jobs:
        entry = (-job.value_density, job.job_id)
        jobs_by_team.setdefault(loads.team_of(job.job_id), []).append(entry)

    def next_entry(team):
        tag = held_ms.get(team, 0.0) / loads.weight(team)
        return (tag, *jobs_by_team[team][0], team)

    for entries in jobs_by_team.values():
        heapify(entries)
    heap = [next_entry(team) for team in jobs_by_team]
    heapify(heap)
    ordered: list[str] = []
    while heap:
        *_, job_id, team = heappop(heap)
        ordered.append(job_id)
        heappop(jobs_by_team[team])
        held_ms[team] = held_ms.get(team, 0.0) + loads.cost_ms(job_id)
        if jobs_by_team[team]:
            heappush(heap, next_entry(team))
    return ordered
