"""What teams may have running that no report in this term has told of.

A new leader learns of runs by the workers' reports.  Until a worker has
reported, runs of earlier leaders may go on there, and a leader that is cut off
may start more of them for some seconds: any task of a job that it knew.  A
worker that has reported may still have runs that are to be stopped.  What all
these may use counts against the ceilings of their teams, as far as the stored
plans and progress, and the room on those workers, leave it possible.
"""

from dataclasses import dataclass

from sesamehall.core.data import TERMINAL_PHASES
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.sizes import add_size
from sesamehall.core.sizes import min_size
from sesamehall.core.unreportedstate import NO_USE
from sesamehall.core.unreportedstate import PossibleUse
from sesamehall.core.work import NO_SIZE
from sesamehall.core.work import parse_task_id
from sesamehall.core.work import Size
from sesamehall.core.workstate import Worker
from sesamehall.reducer.jobs.ceilings import limited_part
from sesamehall.reducer.jobs.leases import may_have_untracked_runs
from sesamehall.reducer.jobs.possible_use import add_use
from sesamehall.reducer.jobs.possible_use import step_use
from sesamehall.reducer.jobs.possible_use import unreported_use
from sesamehall.reducer.jobs.queue_pools import possible_pools


def unreported_by_team(manager: ManagerState) -> dict[str, Size]:
    """Compute the most that unreported runs of each team may use.

    Args:
      manager: State of the leader.
    Returns:
      Resources of each team with a ceiling; of what exceeds its ceiling only
      as much as shows that.
    """
    quotas = manager.manifest.quotas_by_team
    ceilings = {
        team: quota.ceiling
        for team, quota in quotas.items()
        if quota.ceiling != NO_SIZE
    }
    workers = [
        worker
        for worker in manager.workers_by_id.values()
        if may_have_untracked_runs(worker)
    ]
    if not workers:
        return dict.fromkeys(ceilings, NO_SIZE)
    if not manager.jobs_caught_up:
        return ceilings  # there may be jobs of any team that are not read yet
    sums = UnreportedSums(manager, tuple(workers), ceilings, {}, {})
    for job in manager.active_jobs_by_id.values():
        plan = job.plan
        if (
            job.inherited
            and job.waiting
            and sums.may_grow(plan.team, plan.queue)
        ):
            sums.add(plan.team, plan.queue, unreported_use(job))
    for ended in manager.ended_jobs_by_id.values():
        if sums.may_grow(ended.team, ended.queue):
            sums.add(ended.team, ended.queue, _use_in_term(manager, ended))
    for worker in workers:
        for task, _ in worker.unneeded_runs:
            _add_unneeded_run(manager, sums, task)
    return {team: sums.total(team) for team in ceilings}


def _use_in_term(manager, ended):
    """Return what untracked runs of an ended job may use in this term."""
    if ended.term_epoch == manager.term.epoch:
        return ended.unreported_use
    return ended.use


def _add_unneeded_run(manager, sums, task):
    """Add a reported run of a job that goes on without it."""
    parsed = parse_task_id(task)
    job = None if parsed is None else manager.active_jobs_by_id.get(parsed[0])
    if job is None or job.progress.phase in TERMINAL_PHASES:
        return  # counted as an ended job
    plan = job.plan
    if plan.team in sums.ceilings and parsed[1].step < len(plan.steps):
        use = step_use(plan.steps[parsed[1].step], 1)
        sums.add(plan.team, plan.queue, use)


@dataclass(frozen=True, slots=True)
class UnreportedSums:
    """Sums of what untracked runs may use; `add` updates its tables.

    Queues with the same pools share a sum, since their tasks share the room on
    the workers there.

    Attributes:
      manager: State of the leader.
      workers: Workers that may have untracked runs.
      ceilings: Ceilings of the teams that have one.
      use_by_team_pools: The sums, by team and pools.
      pools_by_queue: Pools with untracked runs in which a queue's tasks may
        run, of the queues looked up so far.
    """

    manager: ManagerState
    workers: tuple[Worker, ...]
    ceilings: dict[str, Size]
    use_by_team_pools: dict[tuple[str, frozenset[str]], PossibleUse]
    pools_by_queue: dict[str, frozenset[str]]

    def may_grow(self, team: str, queue: str) -> bool:
        """Check whether more use of a queue by a team makes a difference.

        It makes none without a ceiling, without untracked runs in the queue's
        pools, or beyond the ceiling.
        """
        ceiling = self.ceilings.get(team)
        pools = self._pools(queue)
        if ceiling is None or not pools:
            return False
        use = self.use_by_team_pools.get((team, pools), NO_USE)
        reached = min_size(use.regular, ceiling)
        return limited_part(reached, ceiling) != limited_part(ceiling, ceiling)

    def add(self, team: str, queue: str, use: PossibleUse) -> None:
        """Add what runs of a queue may use, of a team with a ceiling."""
        key = (team, self._pools(queue))
        before = self.use_by_team_pools.get(key, NO_USE)
        self.use_by_team_pools[key] = add_use(before, use)

    def total(self, team: str) -> Size:
        """Return the sum of a team, as far as the workers have room for it."""
        total = NO_SIZE
        for (owner, pools), use in self.use_by_team_pools.items():
            if owner != team:
                continue
            room = self._room(pools)
            regular = use.regular
            if room is not None:
                regular = min_size(regular, room)
            total = add_size(add_size(total, regular), use.best_effort)
        return total

    def _pools(self, queue):
        if queue not in self.pools_by_queue:
            pools = {worker.entry.pool for worker in self.workers}
            pools.intersection_update(possible_pools(self.manager, queue))
            self.pools_by_queue[queue] = frozenset(pools)
        return self.pools_by_queue[queue]

    def _room(self, pools) -> Size | None:
        """Add up the workers' capacities; None if one is not known."""
        room = NO_SIZE
        for worker in self.workers:
            if worker.entry.pool not in pools:
                continue
            if worker.entry.capacity == NO_SIZE:
                return None
            room = add_size(room, worker.entry.capacity)
        return room
