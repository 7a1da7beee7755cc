"""Selection and order of whole jobs by their teams' shares.

This follows start-time fair queueing: the start tag of a job is what its team
holds without it, per weight. So a team whose one job is larger than its share
is not always the last.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from heapq import heapify
from heapq import heappop
from heapq import heappush

from sesamehall.core.data import EMPTY_MAP


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
      fair_by_team: Part of the pool that each team is entitled to, of the
        teams that ask for more.
    """

    team_by_job_id: Mapping[str, str] = EMPTY_MAP
    cost_ms_by_job_id: Mapping[str, float] = EMPTY_MAP
    weight_by_team: Mapping[str, float] = EMPTY_MAP
    held_ms_by_team: Mapping[str, float] = EMPTY_MAP
    fair_by_team: Mapping[str, float] = EMPTY_MAP

    def team_of(self, job_id: str) -> str:
        """Return the team of a job."""
        return self.team_by_job_id.get(job_id, "")

    def cost_ms(self, job_id: str) -> float:
        """Return the time for which a job would occupy the whole pool."""
        return self.cost_ms_by_job_id.get(job_id, 0.0)

    def weight(self, team: str) -> float:
        """Return the weight of a team."""
        return self.weight_by_team.get(team, 1.0)


def has_room_for_all(loads: TeamLoads, room_ms: float) -> bool:
    """Check whether a pool has room for what all teams ask for.

    Args:
      loads: The teams.
      room_ms: Time of the whole pool.
    Returns:
      True if shares need not decide who waits.
    """
    held_ms = sum(loads.held_ms_by_team.values())
    return held_ms + sum(loads.cost_ms_by_job_id.values()) <= room_ms


def order_by_shares(
    priority_by_job_id: Mapping[str, int], loads: TeamLoads
) -> list[str]:
    """Order jobs by priority, by start tags, and within a team as given.

    Args:
      priority_by_job_id: Priorities of the jobs, which are sorted by them; the
        lowest number goes first.
      loads: Their teams.
    Returns:
      Their identifiers. Of the jobs of a priority, the next one is always of
      the team that holds least per weight, with its jobs so far.
    """
    held_ms = dict(loads.held_ms_by_team)
    jobs_by_team: dict[str, list[tuple[int, str]]] = {}
    for position, job_id in enumerate(priority_by_job_id):
        team = loads.team_of(job_id)
        jobs_by_team.setdefault(team, []).append((position, job_id))

    def next_entry(team):
        position, job_id = jobs_by_team[team][-1]
        tag = held_ms.get(team, 0.0) / loads.weight(team)
        return (priority_by_job_id[job_id], tag, position, job_id, team)

    for jobs in jobs_by_team.values():
        jobs.reverse()
    heap = [next_entry(team) for team in jobs_by_team]
    heapify(heap)
    ordered: list[str] = []
    while heap:
        *_, job_id, team = heappop(heap)
        ordered.append(job_id)
        jobs_by_team[team].pop()
        held_ms[team] = held_ms.get(team, 0.0) + loads.cost_ms(job_id)
        if jobs_by_team[team]:
            heappush(heap, next_entry(team))
    return ordered
