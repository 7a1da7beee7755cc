"""Shares: whose request is next when not all can run.

Giving each free slot to the waiting team with the fewest requests in flight
per share is the step-by-step form of weighted max-min division: no team can
gain without a loss to a team that has less per share.
"""

from sesamehall.core.state import State


def rank_team(state: State, team: str) -> float:
    """Compute how well a team is served, in requests per share.

    Requests in flight at other entries count as far as they are known.  The
    next request counts half: counting it whole favours teams of large share
    when slots are few.

    Args:
      state: State of the entry.
      team: Name of the team.
    Returns:
      Requests in flight over the fleet and half of the next one, divided by
      the team's share; the smallest goes first.
    """
    running = state.entry.running_by_team.get(team, 0)
    elsewhere = state.entry.remote_running_by_team.get(team, 0)
    jobs = state.agreed.running_jobs_by_team.get(team, 0)
    share = state.agreed.limits_by_team[team].share
    return (running + elsewhere + jobs + 0.5) / share
