"""Updates of a manager's state that keep its indexes consistent."""

from immutables import Map

from sesamehall.core.data import EMPTY_MAP
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.sizes import add_size
from sesamehall.core.sizes import reserved_size
from sesamehall.core.work import NO_SIZE
from sesamehall.core.work import TaskPlace
from sesamehall.core.workstate import ActiveJob
from sesamehall.core.workstate import Run
from sesamehall.core.workstate import Worker
from sesamehall.reducer.counts import drop_key
from sesamehall.reducer.jobs.step_samples import without_sample


def job_pool(manager: ManagerState, job: ActiveJob) -> str:
    """Find the pool that currently runs a job's tasks.

    Args:
      manager: State of the manager.
      job: The job.
    Returns:
      Name of the pool, or "" while the manifest does not name the queue.
    """
    if manager.manifest is None:
        return ""
    queue = manager.manifest.queues_by_name.get(job.plan.queue)
    return "" if queue is None else queue.pool


def pool_workers(manager: ManagerState, pool: str) -> list[Worker]:
    """List all workers of a pool, available or not.

    Args:
      manager: State of the leader.
      pool: Name of the pool.
    Returns:
      The workers, in the order of their identifiers.
    """
    ids = manager.worker_ids_by_pool.get(pool, EMPTY_MAP)
    return [manager.workers_by_id[worker_id] for worker_id in sorted(ids)]


def put_job(manager: ManagerState, job: ActiveJob) -> ManagerState:
    """Add or replace a job, and index it if it has waiting tasks.

    Args:
      manager: State of the leader.
      job: The job.
    Returns:
      The state with the job.
    """
    job_id = job.plan.job_id
    jobs = manager.active_jobs_by_id.set(job_id, job)
    by_pool = manager.job_ids_by_pool
    pool = job_pool(manager, job)
    job_ids = by_pool.get(pool, EMPTY_MAP)
    if job.waiting and job_id not in job_ids:
        by_pool = by_pool.set(pool, job_ids.set(job_id, True))
    elif not job.waiting and job_id in job_ids:
        by_pool = by_pool.set(pool, job_ids.delete(job_id))
    return replace(manager, active_jobs_by_id=jobs, job_ids_by_pool=by_pool)


def drop_job(manager: ManagerState, job_id: str) -> ManagerState:
    """Remove a job that has ended and has no runs left.

    Args:
      manager: State of the leader.
      job_id: Identifier of the job.
    Returns:
      The state without the job.
    """
    job = manager.active_jobs_by_id.get(job_id)
    if job is None:
        return manager
    manager = put_job(manager, replace(job, waiting=()))
    return replace(
        manager, active_jobs_by_id=drop_key(manager.active_jobs_by_id, job_id)
    )


def rebuild_pool_index(manager: ManagerState) -> ManagerState:
    """Rebuild the index of jobs with waiting tasks by pool.

    Args:
      manager: State of the leader, whose manifest has changed.
    Returns:
      The state with the index.
    """
    by_pool: dict[str, dict[str, bool]] = {}
    for job_id, job in manager.active_jobs_by_id.items():
        if job.waiting:
            by_pool.setdefault(job_pool(manager, job), {})[job_id] = True
    index = Map((pool, Map(ids)) for pool, ids in by_pool.items())
    return replace(manager, job_ids_by_pool=index)


def put_worker(manager: ManagerState, worker: Worker) -> ManagerState:
    """Add or replace a worker.

    Args:
      manager: State of the leader.
      worker: The worker.
    Returns:
      The state with the worker.
    """
    entry = worker.entry
    by_pool = manager.worker_ids_by_pool
    old = manager.workers_by_id.get(entry.worker_id)
    if old is not None and old.entry.pool != entry.pool:
        ids = drop_key(by_pool[old.entry.pool], entry.worker_id)
        by_pool = by_pool.set(old.entry.pool, ids)
    ids = by_pool.get(entry.pool, EMPTY_MAP)
    if entry.worker_id not in ids:
        by_pool = by_pool.set(entry.pool, ids.set(entry.worker_id, True))
    return replace(
        manager,
        workers_by_id=manager.workers_by_id.set(entry.worker_id, worker),
        worker_ids_by_pool=by_pool,
    )


def drop_worker(manager: ManagerState, worker_id: str) -> ManagerState:
    """Remove a worker that has no runs left.

    Args:
      manager: State of the leader.
      worker_id: Identifier of the worker.
    Returns:
      The state without the worker.
    """
    worker = manager.workers_by_id[worker_id]
    pool = worker.entry.pool
    ids = drop_key(manager.worker_ids_by_pool[pool], worker_id)
    return replace(
        manager,
        workers_by_id=drop_key(manager.workers_by_id, worker_id),
        worker_ids_by_pool=manager.worker_ids_by_pool.set(pool, ids),
        leased_workers_by_id=drop_key(manager.leased_workers_by_id, worker_id),
        long_lease_ends_by_worker_id=drop_key(
            manager.long_lease_ends_by_worker_id, worker_id
        ),
        dirty_workers=manager.dirty_workers.set(worker_id, True),
    )


def put_run(manager: ManagerState, run: Run) -> ManagerState:
    """Replace a run that is already charged.

    Args:
      manager: State of the leader.
      run: The run.
    Returns:
      The state with the run.
    """
    return replace(
        manager, runs_by_task=manager.runs_by_task.set(run.task, run)
    )


def charge_run(manager: ManagerState, run: Run) -> ManagerState:
    """Add a run and charge it to its worker, team and job.

    Args:
      manager: State of the leader.
      run: A run of a task that has no other run.
    Returns:
      The state; the task is no longer waiting.
    """
    worker = manager.workers_by_id[run.worker_id]
    worker = replace(
        worker,
        tasks=worker.tasks.set(run.task, True),
        used=add_size(worker.used, reserved_size(run.size, run.best_effort)),
    )
    manager = put_run(put_worker(manager, worker), run)
    used = manager.used_by_team.get(run.team, NO_SIZE)
    number = max(
        manager.highest_run_number_by_task.get(run.task, 0), run.number
    )
    manager = replace(
        manager,
        used_by_team=manager.used_by_team.set(
            run.team, add_size(used, run.size)
        ),
        highest_run_number_by_task=manager.highest_run_number_by_task.set(
            run.task, number
        ),
    )
    job = manager.active_jobs_by_id.get(run.job_id)
    if job is None:
        return manager
    waiting = tuple(place for place in job.waiting if place != run.place)
    return put_job(
        manager,
        replace(job, waiting=waiting, running_count=job.running_count + 1),
    )


def release_run(manager: ManagerState, run: Run) -> ManagerState:
    """Remove a run that has certainly ended, and what it was charged.

    Args:
      manager: State of the leader.
      run: The run.
    Returns:
      The state without the run; its task is not waiting yet.
    """
    worker = manager.workers_by_id.get(run.worker_id)
    if worker is not None:
        worker = replace(
            worker,
            tasks=drop_key(worker.tasks, run.task),
            used=add_size(
                worker.used, reserved_size(run.size, run.best_effort), -1
            ),
        )
        manager = put_worker(manager, worker)
    used = manager.used_by_team.get(run.team, NO_SIZE)
    manager = replace(
        manager,
        runs_by_task=drop_key(manager.runs_by_task, run.task),
        used_by_team=manager.used_by_team.set(
            run.team, add_size(used, run.size, -1)
        ),
    )
    job = manager.active_jobs_by_id.get(run.job_id)
    if job is None:
        return manager
    return put_job(
        manager,
        replace(
            job,
            running_count=job.running_count - 1,
            samples_by_step=without_sample(job, run),
        ),
    )


def add_waiting_task(manager: ManagerState, job_id: str, place: TaskPlace):
    """Add a task to the waiting tasks of its job.

    Args:
      manager: State of the leader.
      job_id: Identifier of its job.
      place: Position of the task within the job.
    Returns:
      The state, unchanged if the task is waiting already.
    """
    job = manager.active_jobs_by_id.get(job_id)
    if job is None or place in job.waiting:
        return manager
    return put_job(manager, replace(job, waiting=job.waiting + (place,)))
