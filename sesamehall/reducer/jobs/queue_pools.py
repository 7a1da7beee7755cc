"""The pools on whose workers tasks of a queue may run.

A manifest may send a queue to another pool while its tasks run on workers of
the earlier one.  So that a new leader knows which workers may have runs, the
leader stores the pools of a queue before it starts tasks in one of them.
"""

from sesamehall.core.data import EMPTY_MAP
from sesamehall.core.fleet import QueuePools
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.reducer.counts import drop_key
from sesamehall.reducer.jobs.leases import may_have_untracked_runs
from sesamehall.reducer.jobs.state_updates import pool_workers


def pool_may_have_untracked_runs(manager: ManagerState, pool: str) -> bool:
    """Check whether a pool may have untracked runs of an earlier leader.

    Args:
      manager: State of the leader.
      pool: Name of the pool.
    Returns:
      True while a worker that may have such runs has not answered, or has
      reported runs that are neither adopted nor ended.
    """
    return any(
        may_have_untracked_runs(worker)
        for worker in pool_workers(manager, pool)
    )


def queue_may_have_untracked_runs(
    manager: ManagerState, queue_name: str
) -> bool:
    """Check whether a queue's tasks may have untracked runs in any pool.

    Args:
      manager: State of the leader.
      queue_name: Name of the queue.
    Returns:
      True while one of the pools may have such runs.
    """
    return any(
        pool_may_have_untracked_runs(manager, pool)
        for pool in possible_pools(manager, queue_name)
    )


def is_pool_stored(manager: ManagerState, queue_name: str, pool: str) -> bool:
    """Check whether a stored record says that a queue's tasks run in a pool.

    Args:
      manager: State of the leader.
      queue_name: Name of the queue.
      pool: Name of the pool.
    Returns:
      False if tasks of the queue must not be started there yet, also while a
      write in flight takes the pool out of the record.
    """
    if pool not in manager.pools_by_queue.get(queue_name, ()):
        return False
    record = _record_in_flight(manager, queue_name)
    return record is None or pool in record.pools


def request_pool_records(manager: ManagerState, pool: str) -> ManagerState:
    """Have the records written that the waiting tasks of a pool need.

    A record with pools that can have no runs any more is written again, since
    a successor would wait for workers there.

    Args:
      manager: State of the leader.
      pool: Name of the pool, to which the manifest sends the tasks' queues.
    Returns:
      The state, with the queues that need another record marked as changed.
    """
    job_ids = manager.job_ids_by_pool.get(pool, EMPTY_MAP)
    names = {
        manager.active_jobs_by_id[job_id].plan.queue for job_id in job_ids
    }
    outdated = [
        name for name in names if not _is_record_current(manager, name, pool)
    ]
    return _mark_changed(manager, outdated)


def request_record_of_run(
    manager: ManagerState, queue_name: str, pool: str
) -> ManagerState:
    """Have the record written that a run of an earlier leader needs.

    An order that was held up may take effect in a pool that has left the
    record since.

    Args:
      manager: State of the leader.
      queue_name: Name of the queue whose task runs.
      pool: Pool of the worker that runs it.
    Returns:
      The state, with the queue marked as changed if its record lacks the pool.
    """
    if is_pool_stored(manager, queue_name, pool):
        return manager
    return _mark_changed(manager, [queue_name])


def request_record_deletions(manager: ManagerState) -> ManagerState:
    """Have the records deleted of queues that are gone and have no jobs.

    Args:
      manager: State of the leader, whose manifest has changed.
    Returns:
      The state, with these queues marked as changed.
    """
    needless = [
        name
        for name in manager.pools_by_queue
        if name not in manager.manifest.queues_by_name
        and not _has_jobs(manager, name)
    ]
    return _mark_changed(manager, needless)


def record_queue_pools(
    manager: ManagerState, queue_pools: QueuePools
) -> ManagerState:
    """Record the stored pools of a queue.

    Args:
      manager: State of a manager.
      queue_pools: The stored record.
    Returns:
      The state.
    """
    pools = manager.pools_by_queue.set(queue_pools.queue, queue_pools.pools)
    return replace(manager, pools_by_queue=pools)


def drop_queue_pools(manager: ManagerState, queue_name: str) -> ManagerState:
    """Record that the record of a queue's pools was deleted.

    Args:
      manager: State of a manager.
      queue_name: Name of the queue.
    Returns:
      The state.
    """
    pools = drop_key(manager.pools_by_queue, queue_name)
    return replace(manager, pools_by_queue=pools)


def build_record(manager: ManagerState, queue_name: str) -> QueuePools | None:
    """Build the record of a queue's pools.

    Args:
      manager: State of the leader.
      queue_name: Name of the queue.
    Returns:
      The pool that the manifest names and those that may still have runs of
      the queue's tasks.  None if the record is to be deleted.
    """
    queue = manager.manifest.queues_by_name.get(queue_name)
    if queue is None and not _has_jobs(manager, queue_name):
        return None
    pools = _pools_with_runs(manager, queue_name)
    pools |= {
        pool
        for pool in possible_pools(manager, queue_name)
        if pool_may_have_untracked_runs(manager, pool)
    }
    if queue is not None:
        pools.add(queue.pool)
    return QueuePools(queue_name, tuple(sorted(pools)))


def _is_record_current(manager, queue_name, pool):
    """Check that a queue's record has its pool and none without runs.

    The record is the one in flight, if any.
    """
    record = _record_in_flight(manager, queue_name)
    if record is not None:
        return pool in record.pools
    if not is_pool_stored(manager, queue_name, pool):
        return False
    if len(manager.pools_by_queue[queue_name]) == 1:
        return True
    record = build_record(manager, queue_name)
    return record.pools == manager.pools_by_queue[queue_name]


def _record_in_flight(manager, queue_name) -> QueuePools | None:
    for record in manager.term.batch_in_flight.queues:
        if record.queue == queue_name:
            return record
    return None


def _mark_changed(manager, queue_names):
    dirty = manager.dirty_queues.update(dict.fromkeys(queue_names, True))
    return replace(manager, dirty_queues=dirty) if queue_names else manager


def possible_pools(manager: ManagerState, queue_name: str) -> tuple[str, ...]:
    """List the pools in which an earlier leader may have started tasks.

    Args:
      manager: State of the leader.
      queue_name: Name of the queue.
    Returns:
      The stored pools.  Without a record these are all, since leaders of an
      earlier version stored none.
    """
    pools = manager.pools_by_queue.get(queue_name)
    return tuple(manager.worker_ids_by_pool) if pools is None else pools


def _has_jobs(manager, queue_name):
    return any(
        job.plan.queue == queue_name
        for job in manager.active_jobs_by_id.values()
    )


def _pools_with_runs(manager, queue_name) -> set[str]:
    """Collect the pools with tracked runs of a queue's tasks."""
    pools = set()
    for run in manager.runs_by_task.values():
        job = manager.active_jobs_by_id.get(run.job_id)
        if job is not None and job.plan.queue == queue_name:
            pools.add(manager.workers_by_id[run.worker_id].entry.pool)
    return pools
