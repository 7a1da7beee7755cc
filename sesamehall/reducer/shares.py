"""Shares: which team's request is next when not all can run.

Each free slot goes to the waiting team with the fewest requests in flight per
share.  This is progressive filling for weighted max-min fairness: no team can
gain without a loss to a team that has less per share.
"""

from sesamehall.core.state import State


def rank_team(state: State, team: str) -> float:
    """Compute a team's load per share; the team with the lowest is next.

    Requests in flight at other entries are included as far as they are known,
    and so are running jobs.  The next request counts half; counting it whole
    would favour teams of large share when slots are few.

    Args:
      state: State of the entry.
      team: Name of the team.
    Returns:
      Requests in flight over the fleet, running jobs and half of the next
      request, divided by the team's share.
    """
    running = state.entry.running_by_team.get(team, 0)
    remote_running = state.entry.remote_running_by_team.get(team, 0)
    jobs = state.agreed.running_jobs_by_team.get(team, 0)
    share = state.agreed.limits_by_team[team].share
    return (running + remote_running + jobs + 0.5) / share
