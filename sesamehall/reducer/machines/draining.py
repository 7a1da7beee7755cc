"""What the leader does about drained data centres while they hold work.

Finite tasks end by themselves. Long-running tasks move to other workers, one
after the other. Idle machines go on standby.
"""

from dataclasses import dataclass

from sesamehall.core.draining import DRAIN_LOG_PERIOD_MS
from sesamehall.core.draining import DRAIN_MOVES_PER_TICK
from sesamehall.core.effects import log
from sesamehall.core.fleetstate import MachineOrderKind
from sesamehall.core.logevents import DRAIN_COMPLETED
from sesamehall.core.logevents import DRAIN_PROGRESS
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.core.workstate import ActiveJob
from sesamehall.core.workstate import Run
from sesamehall.core.workstate import RunState
from sesamehall.reducer.counts import drop_key
from sesamehall.reducer.jobs.leases import is_stepping_down
from sesamehall.reducer.jobs.leases import is_term_confirmed
from sesamehall.reducer.jobs.leases import may_have_untracked_runs
from sesamehall.reducer.jobs.placement_round import PlacementRound
from sesamehall.reducer.jobs.queueing import available_workers
from sesamehall.reducer.jobs.queueing import waiting_jobs
from sesamehall.reducer.jobs.runs import stop_run
from sesamehall.reducer.jobs.state_updates import job_pool
from sesamehall.reducer.jobs.state_updates import pool_workers
from sesamehall.reducer.machines.drain_requests import put_drain
from sesamehall.reducer.machines.drain_requests import warn_once
from sesamehall.reducer.machines.drained_data_centres import is_machine_drained
from sesamehall.reducer.machines.drained_data_centres import is_worker_drained
from sesamehall.reducer.machines.drained_data_centres import worker_data_centre
from sesamehall.reducer.machines.evacuation import may_stop_run
from sesamehall.reducer.machines.moves import is_idle
from sesamehall.reducer.machines.pending_orders import accepts_orders
from sesamehall.reducer.machines.pending_orders import cancel_evacuation
from sesamehall.reducer.machines.pending_orders import decide_order
from sesamehall.reducer.machines.standby import standby_pool


@dataclass(frozen=True, slots=True)
class RemainingWork:
    """What still runs in a drained data centre.

    Attributes:
      workers: Workers with runs.
      finite: Runs of finite tasks.
      long_running: Runs of long-running tasks.
      unheard: Workers that may have runs that the leader does not track.
    """

    workers: int = 0
    finite: int = 0
    long_running: int = 0
    unheard: int = 0


def advance_drains(manager: ManagerState, at_ms: int) -> Step:
    """Move long-running tasks out of drained data centres, and log the rest.

    Args:
      manager: State of a manager.
      at_ms: Current time on the node's clock.
    Returns:
      A Step; without effects if nothing is drained or the node does not lead.
    """
    if not manager.draining.drains_by_data_centre or not manager.term.epoch:
        return Step(manager)
    step = Step(manager)
    if is_term_confirmed(manager, at_ms) and not is_stepping_down(manager):
        step = then(step, _move_long_running_tasks, at_ms)
    step = then(step, _warn_of_doubtful_drains)
    for data_centre in sorted(manager.draining.drains_by_data_centre):
        step = then(step, _log_remaining_work, data_centre, at_ms)
    return step


def _move_long_running_tasks(manager, at_ms):
    """Stop the next long-running task of each pool that can run elsewhere."""
    pools = {
        worker.entry.pool
        for worker in manager.workers_by_id.values()
        if worker.tasks and is_worker_drained(manager, worker)
    }
    step = Step(manager)
    for pool in sorted(pools):
        if not _is_moving(manager, pool, at_ms):
            step = then(step, _move_next_task, pool, at_ms)
    return step


def _is_moving(manager, pool, at_ms):
    """Check whether a long-running task of a pool is about to move already.

    A job that waits counts too if it can start: it needs the room that the
    next task would move to.  A worker that is evacuated for an order comes
    first, since a maintenance wave has a deadline and a drain has none.
    """
    return any(
        run.long_running
        and (worker.evacuating or run.state is not RunState.RUNNING)
        for worker in pool_workers(manager, pool)
        for run in _runs_on(manager, worker)
    ) or any(
        _can_start(manager, job, at_ms)
        for job in waiting_jobs(manager, pool)
        if job.plan.steps[0].long_running
    )


def _move_next_task(manager, pool, at_ms):
    """Stop the first long-running task of a pool that can run elsewhere."""
    unplaceable: set[tuple[str, int]] = set()
    for worker in pool_workers(manager, pool):
        if not is_worker_drained(manager, worker):
            continue
        for run in _runs_on(manager, worker):
            step_key = (run.job_id, run.place.step)
            if step_key in unplaceable or not _may_move(manager, run, at_ms):
                continue
            job = manager.active_jobs_by_id[run.job_id]
            if _can_place(manager, job, run.place, at_ms):
                return stop_run(manager, run, "data centre drained")
            unplaceable.add(step_key)
    return Step(manager)


def _may_move(manager: ManagerState, run: Run, at_ms: int) -> bool:
    """Check whether a run may be stopped so that its task runs elsewhere.

    Stopping one task of a gang would end all its runs, so gangs stay.
    """
    job = manager.active_jobs_by_id.get(run.job_id)
    if job is None or not run.long_running:
        return False
    if job.plan.steps[run.place.step].gang:
        return False
    return may_stop_run(manager, run, at_ms, default_limit=1)


def _can_start(manager: ManagerState, job: ActiveJob, at_ms) -> bool:
    """Check whether a waiting task of a job can be placed, or its gang."""
    return bool(_begin_round(manager, job, at_ms).place_job(job, 1))


def _can_place(manager: ManagerState, job: ActiveJob, place, at_ms) -> bool:
    """Check whether an available worker has room for a task."""
    return _begin_round(manager, job, at_ms).can_place(job, place)


def _begin_round(manager, job, at_ms) -> PlacementRound:
    """Begin a placement round, of which nothing is ordered."""
    workers = available_workers(manager, job_pool(manager, job), at_ms)
    return PlacementRound.begin(manager, workers, at_ms)


def _runs_on(manager, worker) -> list[Run]:
    return [manager.runs_by_task[task] for task in sorted(worker.tasks)]


def _warn_of_doubtful_drains(manager: ManagerState) -> Step:
    """Warn of drains that name no data centre or leave none in use."""
    known = _known_data_centres(manager)
    drains = manager.draining.drains_by_data_centre
    step = Step(manager)
    if not known:
        return step
    for data_centre in sorted(drains):
        if data_centre not in known:
            step = then(step, warn_once, data_centre, "no such data centre")
    if known.issubset(drains):
        newest = max(known, key=lambda name: drains[name].first_seen_ms)
        step = then(step, warn_once, newest, "no data centre left in use")
    return step


def _known_data_centres(manager) -> set[str]:
    """List the data centres of all machines, once these are listed."""
    if manager.fleet.listed_ms < 0:
        return set()
    machines = manager.fleet.machines_by_name.values()
    workers = manager.workers_by_id.values()
    known = {machine.data_centre for machine in machines}
    known |= {worker.entry.data_centre for worker in workers}
    return known - {""}


def _log_remaining_work(manager, data_centre, at_ms):
    """Log what still runs, periodically, and when nothing does any more."""
    drain = manager.draining.drains_by_data_centre[data_centre]
    work = remaining_work(manager, data_centre)
    if not (work.workers or work.unheard):
        if drain.completed:
            return Step(manager)
        line = log(
            DRAIN_COMPLETED,
            data_centre=data_centre,
            took_ms=at_ms - drain.first_seen_ms,
        )
        drain = replace(drain, completed=True)
        return Step(put_drain(manager, data_centre, drain), (line,))
    if drain.logged_ms >= 0 and at_ms - drain.logged_ms < DRAIN_LOG_PERIOD_MS:
        return Step(manager)
    line = log(
        DRAIN_PROGRESS,
        data_centre=data_centre,
        workers=work.workers,
        finite=work.finite,
        long_running=work.long_running,
        unheard=work.unheard,
    )
    drain = replace(drain, logged_ms=at_ms, completed=False)
    return Step(put_drain(manager, data_centre, drain), (line,))


def remaining_work(manager: ManagerState, data_centre: str) -> RemainingWork:
    """Count what still runs in a data centre.

    Args:
      manager: State of the leader.
      data_centre: Its name.
    Returns:
      The counts.  A worker whose data centre is unknown counts as unheard in
      each one, while it may have runs.
    """
    workers = 0
    unheard = 0
    runs: list[Run] = []
    for worker in manager.workers_by_id.values():
        if worker_data_centre(manager, worker) not in (data_centre, ""):
            continue
        unheard += may_have_untracked_runs(worker)
        workers += bool(worker.tasks)
        runs += _runs_on(manager, worker)
    long_running = sum(run.long_running for run in runs)
    return RemainingWork(
        workers, len(runs) - long_running, long_running, unheard
    )


def release_drained_machines(manager: ManagerState, at_ms: int) -> Step:
    """Keep the machines in drained data centres out of use.

    Moves into use that were not sent yet are dropped, and idle machines move
    to the standby pool, a few at a time.

    Args:
      manager: State of the leader.
      at_ms: Current time on the node's clock.
    Returns:
      A Step whose state holds the decided orders.
    """
    standby = standby_pool(manager)
    if not manager.draining.drains_by_data_centre or standby is None:
        return Step(manager)
    manager = _drop_moves_into_use(manager, standby)
    idle = [
        machine
        for _, machine in sorted(manager.fleet.machines_by_name.items())
        if machine.pool != standby
        and is_machine_drained(manager, machine)
        and accepts_orders(manager, machine)
        and is_idle(manager, machine.worker_id)
    ]
    for machine in idle[:DRAIN_MOVES_PER_TICK]:
        manager = decide_order(
            manager, machine, MachineOrderKind.MOVE, standby, 0, at_ms
        )
    return Step(manager)


def _drop_moves_into_use(manager, standby):
    """Drop the moves of drained machines that were not sent yet."""
    machines = manager.fleet.machines_by_name
    for name, order in manager.fleet.orders_by_machine.items():
        is_move = order.kind is MachineOrderKind.MOVE
        if not is_move or order.pool == standby or order.send_count:
            continue
        if name in machines and is_machine_drained(manager, machines[name]):
            manager = cancel_evacuation(manager, order.worker_id)
            orders = drop_key(manager.fleet.orders_by_machine, name)
            fleet = replace(manager.fleet, orders_by_machine=orders)
            manager = replace(manager, fleet=fleet)
    return manager
