"""Log lines about teams' weights and how pools are divided."""

from sesamehall.core.effects import log
from sesamehall.core.effects import Log
from sesamehall.core.logevents import TEAM_GONE_WITH_JOBS
from sesamehall.core.logevents import TEAMS_SHARE_POOL
from sesamehall.core.logevents import WEIGHT_REPLACED
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.shares import PoolShares
from sesamehall.reducer.jobs.ranking import Ranking
from sesamehall.reducer.jobs.share_accounts import team_weight
from sesamehall.reducer.jobs.share_accounts import uses_shares

MAX_TEAMS_LOGGED = 20  # those that ask for most


def share_lines(
    manager: ManagerState, pool: str, ranking: Ranking
) -> tuple[Log, ...]:
    """Build the line about a pool that its teams share.

    Args:
      manager: State of the leader.
      pool: Name of the pool.
      ranking: Ranking of its waiting jobs.
    Returns:
      One line, or none if the pool is not divided. `shares` has for each
      team its name, its weight, what it asks for, is entitled to and uses in
      percent of the pool, its debt in milliseconds of the pool, its timely
      jobs, and the jobs that wait behind them.
    """
    sample = manager.shares_by_pool.get(pool, PoolShares(0))
    if not sample.contended or not uses_shares(manager):
        return ()
    accounts = sample.accounts_by_team
    teams = sorted(accounts, key=lambda team: (-accounts[team].asked, team))
    timely = _count_by_team(manager, (job.job_id for job in ranking.timely))
    rest = _count_by_team(
        manager, (job.job_id for job in ranking.deferred + ranking.late)
    )
    shares = ",".join(
        f"{team}:{team_weight(manager.manifest, team):g}"
        f":{_percent(accounts[team].asked)}:{_percent(accounts[team].fair)}"
        f":{_percent(accounts[team].used)}:{accounts[team].debt_ms:.0f}"
        f":{timely.get(team, 0)}:{rest.get(team, 0)}"
        for team in teams[:MAX_TEAMS_LOGGED]
    )
    line = log(TEAMS_SHARE_POOL, pool=pool, teams=len(teams), shares=shares)
    return (line,)


def manifest_lines(manager: ManagerState) -> tuple[Log, ...]:
    """Build the warnings about the teams of a manifest that was applied.

    Args:
      manager: State of a manager with the manifest.
    Returns:
      A line if weights were replaced, and one if teams with jobs are gone.
    """
    quotas = manager.manifest.quotas_by_team
    replaced = [
        f"{team}:{quota.weight_defect.value}:{quota.weight:g}"
        for team, quota in sorted(quotas.items())
        if quota.weight_defect is not None
    ]
    jobs_by_team = _count_by_team(manager, manager.active_jobs_by_id)
    gone = [
        f"{team}:{count}"
        for team, count in sorted(jobs_by_team.items())
        if team and team not in quotas
    ]
    lines = []
    for event, teams in (
        (WEIGHT_REPLACED, replaced),
        (TEAM_GONE_WITH_JOBS, gone),
    ):
        if teams:
            names = ",".join(teams[:MAX_TEAMS_LOGGED])
            lines.append(
                log(
                    event,
                    version=manager.manifest.version,
                    count=len(teams),
                    teams=names,
                )
            )
    return tuple(lines)


def _count_by_team(manager, job_ids):
    """Count active jobs by team."""
    counts: dict[str, int] = {}
    for job_id in job_ids:
        team = manager.active_jobs_by_id[job_id].plan.team
        counts[team] = counts.get(team, 0) + 1
    return counts


def _percent(share):
    return f"{100 * share:.1f}"
