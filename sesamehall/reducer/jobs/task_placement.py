"""The manager's task placement: rounds for a pool, and starts of tasks."""

from sesamehall.core.data import EMPTY_MAP
from sesamehall.core.effects import log
from sesamehall.core.effects import SetTimer
from sesamehall.core.jobtiming import PLACE_RETRY_MS
from sesamehall.core.logevents import RUN_ORDERED
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.core.timers import PlaceTimer
from sesamehall.core.work import task_id
from sesamehall.core.workstate import Run
from sesamehall.core.workstate import RunState
from sesamehall.reducer.counts import drop_key
from sesamehall.reducer.jobs.advice_requests import request_advice
from sesamehall.reducer.jobs.leases import extend_lease
from sesamehall.reducer.jobs.leases import start_lease_end_ms
from sesamehall.reducer.jobs.order_window import available_orders
from sesamehall.reducer.jobs.order_window import block_pool
from sesamehall.reducer.jobs.order_window import record_start_order
from sesamehall.reducer.jobs.order_window import unblock_pool
from sesamehall.reducer.jobs.orders import build_start_order
from sesamehall.reducer.jobs.placement_round import Assignment
from sesamehall.reducer.jobs.placement_round import PlacementRound
from sesamehall.reducer.jobs.queue_pools import request_pool_records
from sesamehall.reducer.jobs.queueing import available_workers
from sesamehall.reducer.jobs.queueing import ranked_jobs
from sesamehall.reducer.jobs.queueing import waiting_jobs
from sesamehall.reducer.jobs.share_accounts import is_sample_due
from sesamehall.reducer.jobs.share_accounts import sample_shares
from sesamehall.reducer.jobs.state_updates import charge_run
from sesamehall.reducer.jobs.state_updates import put_worker
from sesamehall.reducer.jobs.waiting_log import log_waiting_tasks


def place_tasks(manager: ManagerState, pool: str, at_ms: int) -> Step:
    """Start the waiting tasks of a pool that fit on its workers.

    Args:
      manager: State of a manager.
      pool: Name of the pool. Jobs whose queue the manifest does not name are
        under "" and wait until it does.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with the start orders.
    """
    pools = drop_key(manager.placement_scheduled_pools, pool)
    manager = unblock_pool(
        replace(manager, placement_scheduled_pools=pools), pool
    )
    job_ids = manager.job_ids_by_pool.get(pool, EMPTY_MAP)
    if not pool or not job_ids or not manager.term.epoch:
        return Step(manager)
    manager = request_pool_records(manager, pool)
    manager = _sample_shares(manager, pool, at_ms)
    max_tasks = available_orders(manager, pool)
    step = Step(manager)
    assignments = (
        choose_assignments(manager, pool, at_ms, max_tasks)
        if max_tasks
        else []
    )
    for assignment in assignments:
        step = then(step, _start_task, assignment, at_ms)
    if not step.state.job_ids_by_pool.get(pool):
        return step
    if len(assignments) >= max_tasks:
        step = Step(block_pool(step.state, pool), step.effects)
    step = then(step, request_advice, at_ms)
    step = then(step, log_waiting_tasks, pool, at_ms)
    timer = SetTimer(PlaceTimer(pool), at_ms + PLACE_RETRY_MS)
    return Step(step.state, step.effects + (timer,))


def _sample_shares(manager, pool, at_ms):
    """Sample what teams ask for and get of a pool, if that is due."""
    if not is_sample_due(manager, pool, at_ms):
        return manager
    workers = available_workers(manager, pool, at_ms)
    if not workers:
        return manager
    jobs = waiting_jobs(manager, pool)
    return sample_shares(manager, pool, workers, jobs, at_ms)


def choose_assignments(
    manager: ManagerState, pool: str, at_ms: int, max_tasks: int
) -> list[Assignment]:
    """Assign waiting tasks to workers, highest-ranked jobs first.

    Args:
      manager: State of the leader.
      pool: Name of the pool.
      at_ms: Current time on the node's clock.
      max_tasks: Maximum number of assignments; a gang may exceed it.
    Returns:
      The assignments. Together they respect the workers' capacities and the
      teams' ceilings.
    """
    workers = available_workers(manager, pool, at_ms)
    round_ = PlacementRound.begin(manager, workers, at_ms)
    assignments: list[Assignment] = []
    for job in ranked_jobs(manager, pool, workers, at_ms):
        assignments += round_.place_job(job, max_tasks - len(assignments))
        if not round_.free_by_id or len(assignments) >= max_tasks:
            break
    return assignments


def _start_task(
    manager: ManagerState, assignment: Assignment, at_ms: int
) -> Step:
    """Order a worker to start a task."""
    job = assignment.job
    plan_step = job.plan.steps[assignment.place.step]
    worker = manager.workers_by_id[assignment.worker_id]
    worker = extend_lease(worker, start_lease_end_ms(worker, at_ms))
    manager = put_worker(manager, worker)
    task = task_id(job.plan.job_id, assignment.place)
    run = Run(
        task=task,
        job_id=job.plan.job_id,
        place=assignment.place,
        number=assignment.number,
        worker_id=assignment.worker_id,
        team=job.plan.team,
        size=plan_step.size,
        state=RunState.STARTING,
        first_sent_ms=at_ms,
        start_void_ms=worker.lease_end_ms,
        long_running=plan_step.long_running,
        best_effort=plan_step.best_effort,
        tail_latency_target_ms=plan_step.tail_latency_target_ms,
        ticket=assignment.ticket,
    )
    manager = charge_run(manager, run)
    manager = record_start_order(manager, task, run.number, at_ms)
    line = log(
        RUN_ORDERED,
        task=task,
        run=run.number,
        worker=run.worker_id,
        pool=worker.entry.pool,
        team=run.team,
        waited_ms=at_ms - job.first_seen_ms,
        free_cpu=worker.entry.capacity.cpu_milli - worker.used.cpu_milli,
        report_age_ms=at_ms - worker.last_report_ms,
    )
    order = build_start_order(manager, run, job.plan.command, at_ms)
    return Step(manager, (line, order))
