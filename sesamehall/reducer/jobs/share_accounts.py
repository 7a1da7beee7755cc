"""Accounts of what teams ask for and get of each pool."""

from collections.abc import Iterable
from collections.abc import Mapping

from immutables import Map

from sesamehall.core.data import EMPTY_MAP
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.manifest import Manifest
from sesamehall.core.replacing import replace
from sesamehall.core.shares import PoolShares
from sesamehall.core.shares import ResourceShares
from sesamehall.core.shares import TeamAccount
from sesamehall.core.sizes import add_size
from sesamehall.core.sizes import reserved_size
from sesamehall.core.work import NO_SIZE
from sesamehall.core.work import Size
from sesamehall.core.workstate import ActiveJob
from sesamehall.core.workstate import Worker
from sesamehall.reducer.jobs.durations import mean_occupancy_ms
from sesamehall.reducer.jobs.fair_share import TeamLoads
from sesamehall.reducer.jobs.progressive_filling import divide_pool
from sesamehall.reducer.jobs.progressive_filling import ROUNDING_ERROR

SAMPLE_PERIOD_MS = 100  # minimum time between two samples of a pool
SAMPLE_EXPIRY_MS = 1_000  # nothing waited meanwhile: debts are void
DEBT_LIMIT_MS = 5_000  # largest debt, as time of the team's fair share


def uses_shares(manager: ManagerState) -> bool:
    """Check whether the manifest divides pools among several teams.

    Args:
      manager: State of a manager.
    Returns:
      False without a manifest, or if it lists fewer than two teams.
    """
    manifest = manager.manifest
    return manifest is not None and len(manifest.quotas_by_team) > 1


def team_weight(manifest: Manifest, team: str) -> float:
    """Return the weight of a team.

    Args:
      manifest: The manifest; it lists at least one team.
      team: Name of the team, or "" for callers without one.
    Returns:
      Its weight; for a team that is not listed the mean weight.
    """
    quotas = manifest.quotas_by_team
    if team in quotas:
        return quotas[team].weight
    return sum(quota.weight for quota in quotas.values()) / len(quotas)


def is_sample_due(manager: ManagerState, pool: str, at_ms: int) -> bool:
    """Check whether the accounts of a pool are to be sampled.

    Args:
      manager: State of the leader.
      pool: Name of the pool.
      at_ms: Current time on the node's clock.
    Returns:
      True if the manifest divides pools and the latest sample is old enough.
    """
    if not uses_shares(manager):
        return False
    latest = manager.shares_by_pool.get(pool)
    return latest is None or at_ms - latest.sampled_ms >= SAMPLE_PERIOD_MS


def sample_shares(
    manager: ManagerState,
    pool: str,
    workers: Iterable[Worker],
    jobs: Iterable[ActiveJob],
    at_ms: int,
) -> ManagerState:
    """Compute the accounts of the teams that ask for a pool.

    Long-running tasks are served before all others, so the resources that
    they reserve are not divided.

    Args:
      manager: State of the leader.
      pool: Name of the pool.
      workers: Its available workers.
      jobs: Its jobs with waiting tasks.
      at_ms: Current time on the node's clock.
    Returns:
      The state with the accounts.
    """
    capacity, used_by_team = _measure_use(manager, workers)
    waiting_by_team = _sum_by_team(_waiting_sizes(jobs))
    asked_by_team = {
        team: _resource_shares(
            add_size(
                used_by_team.get(team, NO_SIZE),
                waiting_by_team.get(team, NO_SIZE),
            ),
            capacity,
        )
        for team in sorted(used_by_team | waiting_by_team)
    }
    weight_by_team = {
        team: team_weight(manager.manifest, team) for team in asked_by_team
    }
    fair_by_team = divide_pool(asked_by_team, weight_by_team)
    contended = (
        len(asked_by_team) > 1
        and not _may_grow(manager, pool)
        and any(
            fair_by_team[team] < asked.dominant - ROUNDING_ERROR
            for team, asked in asked_by_team.items()
        )
    )
    accounts = {
        team: TeamAccount(
            asked=asked.dominant,
            fair=fair_by_team[team],
            used=_resource_shares(
                used_by_team.get(team, NO_SIZE), capacity
            ).dominant,
        )
        for team, asked in asked_by_team.items()
    }
    if contended:
        previous = manager.shares_by_pool.get(pool, PoolShares(at_ms))
        accounts = _continue_debts(previous, accounts, at_ms)
    sample = PoolShares(at_ms, contended, capacity, Map(accounts))
    shares = manager.shares_by_pool.set(pool, sample)
    return replace(manager, shares_by_pool=shares)


def _may_grow(manager: ManagerState, pool: str) -> bool:
    """Check whether a pool gets the workers that it lacks.

    Its jobs then wait for machines that join, so shares would only make some
    of them late that need not be.
    """
    fleet = manager.fleet
    return pool in fleet.targets_by_pool and pool not in fleet.short_pools


def team_loads(
    manager: ManagerState, pool: str, core_ms_by_job_id: Mapping[str, float]
) -> TeamLoads:
    """Collect what ranking needs to know of the teams of waiting jobs.

    Args:
      manager: State of the leader.
      pool: Name of the pool.
      core_ms_by_job_id: Processor time that each waiting job still needs.
    Returns:
      The teams; all jobs belong to one while the pool has room for all.
    """
    sample = manager.shares_by_pool.get(pool)
    if sample is None or not sample.contended or not uses_shares(manager):
        return TeamLoads()
    capacity = sample.capacity
    accounts = sample.accounts_by_team
    waiting = map(manager.active_jobs_by_id.get, core_ms_by_job_id)
    jobs = [job for job in waiting if not job.plan.steps[0].long_running]
    # A task that runs has half of its time left on average.
    remaining_ms = mean_occupancy_ms(manager, pool) / 2
    return TeamLoads(
        team_by_job_id={job.plan.job_id: job.plan.team for job in jobs},
        cost_ms_by_job_id={
            job.plan.job_id: _cost_ms(
                job, core_ms_by_job_id[job.plan.job_id], capacity
            )
            for job in jobs
        },
        weight_by_team={
            team: team_weight(manager.manifest, team)
            for team in {job.plan.team for job in jobs}
        },
        held_ms_by_team={
            team: account.used * remaining_ms + account.debt_ms
            for team, account in accounts.items()
        },
        fair_by_team={
            team: account.fair
            for team, account in accounts.items()
            if account.fair < account.asked - ROUNDING_ERROR
        },
    )


def _measure_use(manager, workers):
    """Sum up what can be divided, and what each team uses of it."""
    capacity = NO_SIZE
    sizes = []
    for worker in workers:
        capacity = add_size(capacity, worker.entry.capacity)
        for task in worker.tasks:
            run = manager.runs_by_task[task]
            size = reserved_size(run.size, run.best_effort)
            if run.long_running:
                capacity = add_size(capacity, size, -1)
            else:
                sizes.append((run.team, size, 1))
    return capacity, _sum_by_team(sizes)


def _waiting_sizes(jobs):
    """List team, size and number of the waiting tasks of each step.

    Long-running tasks are left out.
    """
    for job in jobs:
        if job.plan.steps[0].long_running:
            continue
        # A job may have thousands of waiting tasks, but few steps.
        counts: dict[int, int] = {}
        for place in job.waiting:
            counts[place.step] = counts.get(place.step, 0) + 1
        for step_number, count in counts.items():
            step = job.plan.steps[step_number]
            size = reserved_size(step.size, step.best_effort)
            yield job.plan.team, size, count


def _sum_by_team(sizes):
    """Sum up sizes by team; each comes with a number of tasks."""
    cpu_milli: dict[str, int] = {}
    memory_mb: dict[str, int] = {}
    accelerators: dict[str, int] = {}
    for team, size, count in sizes:
        cpu_milli[team] = cpu_milli.get(team, 0) + count * size.cpu_milli
        memory_mb[team] = memory_mb.get(team, 0) + count * size.memory_mb
        accelerators[team] = (
            accelerators.get(team, 0) + count * size.accelerators
        )
    return {
        team: Size(cpu_milli[team], memory_mb[team], accelerators[team])
        for team in cpu_milli
    }


def _resource_shares(size, capacity):
    """Compute the parts that a size takes of a pool's capacity."""
    return ResourceShares(
        _part(size.cpu_milli, capacity.cpu_milli),
        _part(size.memory_mb, capacity.memory_mb),
        _part(size.accelerators, capacity.accelerators),
    )


def _part(amount, total):
    """Divide, and take all of something that a pool lacks for the whole."""
    if total > 0:
        return amount / total
    return 1.0 if amount else 0.0


def _continue_debts(previous, accounts, at_ms):
    """Continue the time integrals of what teams use beyond their shares.

    Only what is in use is divided: resources that are just free belong to
    nobody's debt.
    """
    elapsed_ms = at_ms - previous.sampled_ms
    earlier_by_team = previous.accounts_by_team
    if elapsed_ms > SAMPLE_EXPIRY_MS:
        elapsed_ms, earlier_by_team = 0, EMPTY_MAP
    total_used = sum(account.used for account in accounts.values())
    total_fair = sum(account.fair for account in accounts.values())
    in_use = total_used / max(total_fair, ROUNDING_ERROR)
    continued = {}
    for team, account in accounts.items():
        debt_ms = earlier_by_team.get(team, TeamAccount()).debt_ms
        debt_ms += (account.used - in_use * account.fair) * elapsed_ms
        limit_ms = DEBT_LIMIT_MS * account.fair
        debt_ms = min(max(debt_ms, -limit_ms), limit_ms)
        continued[team] = replace(account, debt_ms=debt_ms)
    return continued


def _cost_ms(job, core_ms, capacity):
    """Compute the time for which a job would occupy the whole pool.

    Its processor time is scaled to the resource of which its waiting tasks
    take the largest part.
    """
    step = job.plan.steps[job.waiting[0].step]
    size = reserved_size(step.size, step.best_effort)
    task = _resource_shares(size, capacity)
    # The processor time of a job with occurrences is that of all of them.
    if task.cpu <= 0 or capacity.cpu_milli <= 0 or job.plan.occurrence_count:
        return task.dominant * len(job.waiting) * step.estimate_ms
    pool_ms = core_ms * 1_000 / capacity.cpu_milli
    return pool_ms * task.dominant / task.cpu
