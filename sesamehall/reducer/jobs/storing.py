"""Writes of the leader's records and the effects of confirmed writes."""

from sesamehall.core.data import EMPTY_MAP
from sesamehall.core.data import JobPhase
from sesamehall.core.data import TERMINAL_PHASES
from sesamehall.core.effects import log
from sesamehall.core.fleet import Leader
from sesamehall.core.fleet import LeasedWorker
from sesamehall.core.fleet import OrderedMachines
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import WaveRecord
from sesamehall.core.jobtiming import COMMIT_PERIOD_MS
from sesamehall.core.jobtiming import HEARTBEAT_MS
from sesamehall.core.logevents import PROGRESS_NOT_STORED
from sesamehall.core.logevents import RECORDS_LEFT_OUT
from sesamehall.core.logevents import RECORDS_STORED
from sesamehall.core.managereffects import StoreProgress
from sesamehall.core.managerevents import ProgressStored
from sesamehall.core.managerstate import Batch
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.core.work import CompactProgress
from sesamehall.core.work import Progress
from sesamehall.reducer.counts import drop_key
from sesamehall.reducer.jobs.compacting import compact_progress
from sesamehall.reducer.jobs.ended_jobs import record_read_end
from sesamehall.reducer.jobs.leases import earlier_renewals_ms
from sesamehall.reducer.jobs.leases import is_resigning
from sesamehall.reducer.jobs.leases import is_stepping_down
from sesamehall.reducer.jobs.progress import without_checkpoints
from sesamehall.reducer.jobs.queue_pools import build_record
from sesamehall.reducer.jobs.queue_pools import drop_queue_pools
from sesamehall.reducer.jobs.queue_pools import record_queue_pools
from sesamehall.reducer.jobs.run_time_records import mark_run_times_stored
from sesamehall.reducer.jobs.run_time_records import RUN_TIMES_KEY_PREFIX
from sesamehall.reducer.jobs.run_time_records import run_times_records
from sesamehall.reducer.jobs.runs import drop_ended_job
from sesamehall.reducer.jobs.runs import end_job
from sesamehall.reducer.jobs.runs import schedule_placement
from sesamehall.reducer.jobs.state_updates import put_job
from sesamehall.reducer.jobs.state_updates import put_worker
from sesamehall.reducer.jobs.worker_machines import machine_names
from sesamehall.reducer.jobs.workers import watch_worker

LEADER_KEY = "leader"
WORKER_KEY_PREFIX = "worker/"
WAVE_KEY_PREFIX = "wave/"
QUEUE_KEY_PREFIX = "queue/"
ORDERED_MACHINES_KEY = "machines"
MAX_LOGGED_KEYS = 50  # keys of records in one log line


def commit(manager: ManagerState, at_ms: int) -> Step:
    """Write changed records, or a heartbeat HEARTBEAT_MS after the last write.

    The end of a job is written at once, other changes COMMIT_PERIOD_MS after
    the last confirmed write was sent.

    Args:
      manager: State of a manager.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with the records; without effects while a write is in flight,
      and while the leader steps down, since its next write resigns.
    """
    term = manager.term
    if not term.epoch or term.write_in_flight or is_stepping_down(manager):
        return Step(manager)
    elapsed_ms = at_ms - term.confirmed_ms
    changed = bool(
        manager.dirty_jobs
        or manager.dirty_workers
        or manager.dirty_waves
        or manager.dirty_queues
        or manager.fleet.orders_unstored
    )
    due = manager.job_end_unstored or (
        changed and elapsed_ms >= COMMIT_PERIOD_MS
    )
    if not due and elapsed_ms < HEARTBEAT_MS:
        return Step(manager)
    return write_changed_records(manager, at_ms)


def write_changed_records(manager: ManagerState, at_ms: int) -> Step:
    """Write all changed records, and the leader's heartbeat or resignation.

    Args:
      manager: State of the leader.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with the records.
    """
    batch = _collect_batch(manager, at_ms)
    term = replace(
        manager.term,
        heartbeats=manager.term.heartbeats + 1,
        write_in_flight=True,
        batch_in_flight=batch,
    )
    leader = Leader(
        manager.name,
        term.epoch,
        is_resigning(manager),
        term.heartbeats,
        manager.cores,
        term.call_times.behind,
        earlier_renewals_ms(manager, at_ms),
    )
    records = _build_records(manager, batch) + run_times_records(manager)
    records += (StoredRecord(LEADER_KEY, leader),)
    lines = _unknown_jobs_line(manager, batch)
    manager = replace(
        mark_run_times_stored(manager),
        term=term,
        dirty_jobs=EMPTY_MAP,
        dirty_workers=EMPTY_MAP,
        dirty_waves=EMPTY_MAP,
        dirty_queues=EMPTY_MAP,
        job_end_unstored=False,
        fleet=replace(manager.fleet, orders_unstored=False),
    )
    return Step(manager, lines + (StoreProgress(term.epoch, records),))


def requeue_failed_write(manager: ManagerState) -> ManagerState:
    """Mark the content of a failed write as changed, so it is written again.

    Args:
      manager: State of the leader.
    Returns:
      The state without a write in flight.
    """
    batch = manager.term.batch_in_flight
    job_ids = [progress.job_id for progress in batch.jobs]
    worker_ids = [leased.worker_id for leased in batch.workers]
    worker_ids += batch.dropped_workers
    queue_names = [record.queue for record in batch.queues]
    queue_names += batch.dropped_queues
    unstored = manager.fleet.orders_unstored or batch.machines is not None
    return replace(
        manager,
        term=replace(
            manager.term, write_in_flight=False, batch_in_flight=Batch()
        ),
        dirty_jobs=_mark_dirty(manager.dirty_jobs, job_ids),
        dirty_workers=_mark_dirty(manager.dirty_workers, worker_ids),
        dirty_waves=_mark_dirty(manager.dirty_waves, batch.waves),
        dirty_queues=_mark_dirty(manager.dirty_queues, queue_names),
        fleet=replace(manager.fleet, orders_unstored=unstored),
    )


def _mark_dirty(dirty, keys):
    return dirty.update({key: True for key in keys})


def _collect_batch(manager, at_ms) -> Batch:
    """Collect the records that have changed since the last write."""
    worker_ids = sorted(manager.dirty_workers)
    names = machine_names(manager) if worker_ids else {}
    queues = {
        name: build_record(manager, name)
        for name in sorted(manager.dirty_queues)
    }
    machines = None
    if manager.fleet.orders_unstored:
        machines = tuple(sorted(manager.fleet.last_decision_ms_by_machine))
    return Batch(
        jobs=tuple(
            _compact(manager.active_jobs_by_id[job_id])
            for job_id in sorted(manager.dirty_jobs)
            if job_id in manager.active_jobs_by_id
        ),
        workers=tuple(
            _leased_record(
                manager.workers_by_id[worker_id],
                names.get(worker_id, ""),
                at_ms,
            )
            for worker_id in worker_ids
            if _may_have_runs(manager, worker_id)
        ),
        dropped_workers=tuple(
            worker_id
            for worker_id in worker_ids
            if not _may_have_runs(manager, worker_id)
        ),
        waves=tuple(sorted(manager.dirty_waves)),
        machines=machines,
        queues=tuple(record for record in queues.values() if record),
        dropped_queues=tuple(
            name for name, record in queues.items() if record is None
        ),
    )


def _compact(job):
    return compact_progress(job.progress, job.plan)


def _build_records(manager, batch: Batch) -> tuple[StoredRecord, ...]:
    """Build the records of a write, except for the leader's own."""
    records = [StoredRecord(job.job_id, job) for job in batch.jobs]
    for leased in batch.workers:
        key = WORKER_KEY_PREFIX + leased.worker_id
        records.append(StoredRecord(key, leased))
    for worker_id in batch.dropped_workers:
        records.append(StoredRecord(WORKER_KEY_PREFIX + worker_id, None))
    for number in batch.waves:
        maintained = WaveRecord(
            number, manager.maintenance_accepted_by_wave[number]
        )
        records.append(StoredRecord(f"{WAVE_KEY_PREFIX}{number}", maintained))
    for queue_pools in batch.queues:
        key = QUEUE_KEY_PREFIX + queue_pools.queue
        records.append(StoredRecord(key, queue_pools))
    for name in batch.dropped_queues:
        records.append(StoredRecord(QUEUE_KEY_PREFIX + name, None))
        records.append(StoredRecord(RUN_TIMES_KEY_PREFIX + name, None))
    if batch.machines is not None:
        others = tuple(sorted(manager.fleet.inherited))
        ordered = OrderedMachines(manager.name, batch.machines, others)
        records.append(StoredRecord(ORDERED_MACHINES_KEY, ordered))
    return tuple(records)


def _unknown_jobs_line(manager, batch):
    """Build the log line for changed jobs that are no longer in the state."""
    unknown = [
        job_id
        for job_id in sorted(manager.dirty_jobs)
        if job_id not in manager.active_jobs_by_id
    ]
    if not unknown:
        return ()
    line = log(
        PROGRESS_NOT_STORED,
        jobs=len(unknown),
        job=unknown[0],
        ends=_ends_text(batch),
    )
    return (line,)


def _ends_text(batch):
    """List the workers of a write, and up to which end it covers each."""
    return ",".join(
        f"{leased.worker_id}:{leased.last_applied_end_sequence}"
        for leased in batch.workers
    )


def _left_out_lines(epoch, batch, event):
    """Build the log line of records that a confirmed write did not contain."""
    keys = event.unstorable_keys
    if not keys:
        return ()
    line = log(
        RECORDS_LEFT_OUT,
        epoch=epoch,
        records=len(keys),
        keys=",".join(keys[:MAX_LOGGED_KEYS]),
        ends=_ends_text(batch),
    )
    return (line,)


def _may_have_runs(manager, worker_id):
    worker = manager.workers_by_id.get(worker_id)
    return worker is not None and not worker.terminated


def _leased_record(worker, machine_name, at_ms):
    entry = worker.entry
    return LeasedWorker(
        worker_id=entry.worker_id,
        address=entry.address,
        pool=entry.pool,
        started_wall_ms=entry.started_wall_ms,
        last_applied_end_sequence=worker.last_applied_end_sequence,
        machine=machine_name,
        long_lease_ms=max(worker.long_lease_end_ms - at_ms, 0),
    )


def apply_confirmed_write(
    manager: ManagerState, event: ProgressStored
) -> Step:
    """Publish job progress and acknowledge run ends once they are stored.

    Args:
      manager: State of the leader.
      event: Confirmation of the write.
    Returns:
      A Step that starts the next write if one is due.
    """
    term = manager.term
    written = term.batch_in_flight
    left_out = event.unstorable_keys + event.held_keys
    batch = _without_left_out(written, left_out)
    manager = replace(
        manager,
        term=replace(
            term,
            write_in_flight=False,
            resigned=is_resigning(manager),
            confirmed_ms=event.sent_ms,
            batch_in_flight=Batch(),
        ),
        fleet=_mark_orders_stored(manager.fleet, batch.machines or ()),
    )
    for name in batch.dropped_queues:
        manager = drop_queue_pools(manager, name)
    for progress in batch.jobs:
        manager = record_progress(manager, progress, event.at_ms)
        manager = drop_ended_job(manager, progress.job_id)
    lines = _left_out_lines(term.epoch, batch, event)
    step = Step(manager, _stored_line(term.epoch, batch, event) + lines)
    for progress in written.jobs:
        if progress.job_id in event.unstorable_keys:
            step = then(step, _shrink_unstorable_job, progress, event.at_ms)
    step = then(step, _mark_held_changed, event.held_keys)
    for leased in batch.workers:
        step = then(step, _confirm_worker, leased, event.at_ms)
    for queue_pools in batch.queues:
        step = then(step, _confirm_queue, queue_pools, event.at_ms)
    return then(step, commit, event.at_ms)


def _shrink_unstorable_job(manager, progress, at_ms):
    """Drop the checkpoints of a job whose progress cannot be stored.

    Without checkpoints, its unfinished tasks begin anew.  If the progress has
    none, the job ends as failed, since its tasks would run again under the
    next leader, and no end of any worker could be acknowledged meanwhile.
    The record of its end is small.
    """
    job_id = progress.job_id
    job = manager.active_jobs_by_id.get(job_id)
    if job is None:
        return Step(manager)
    if progress.checkpoints:
        manager = put_job(manager, without_checkpoints(job))
        dirty = manager.dirty_jobs.set(job_id, True)
        return Step(replace(manager, dirty_jobs=dirty))
    if job.progress.phase in TERMINAL_PHASES:
        return Step(manager)
    reason = "its progress is too large to be stored"
    return end_job(manager, job_id, JobPhase.FAILED, reason, at_ms)


def _mark_held_changed(manager, keys):
    """Mark jobs and workers as changed whose records were held back."""
    worker_ids = [
        key.removeprefix(WORKER_KEY_PREFIX)
        for key in keys
        if key.startswith(WORKER_KEY_PREFIX)
    ]
    job_ids = [key for key in keys if not key.startswith(WORKER_KEY_PREFIX)]
    return Step(
        replace(
            manager,
            dirty_workers=_mark_dirty(manager.dirty_workers, worker_ids),
            dirty_jobs=_mark_dirty(manager.dirty_jobs, job_ids),
        )
    )


def _without_left_out(batch: Batch, keys: tuple[str, ...]) -> Batch:
    """Leave out what a write did not contain.

    That is what cannot be stored and what was held back beside it.  It does
    not count as stored.  A worker whose own record cannot be stored gets no
    tasks; the record is written again with its next change.
    """
    if not keys:
        return batch
    return replace(
        batch,
        jobs=tuple(job for job in batch.jobs if job.job_id not in keys),
        workers=tuple(
            leased
            for leased in batch.workers
            if WORKER_KEY_PREFIX + leased.worker_id not in keys
        ),
        machines=None if ORDERED_MACHINES_KEY in keys else batch.machines,
        queues=tuple(
            queue_pools
            for queue_pools in batch.queues
            if QUEUE_KEY_PREFIX + queue_pools.queue not in keys
        ),
    )


def _stored_line(epoch, batch, event):
    """Build the log line of a confirmed write of jobs, workers or queues."""
    if not batch.jobs and not batch.workers and not batch.queues:
        return ()
    job_ids = [progress.job_id for progress in batch.jobs]
    pools = ",".join(
        f"{record.queue}:{'+'.join(record.pools)}" for record in batch.queues
    )
    line = log(
        RECORDS_STORED,
        epoch=epoch,
        jobs=len(batch.jobs),
        ends=_ends_text(batch),
        progress=",".join(job_ids[:MAX_LOGGED_KEYS]),
        pools=pools,
        took_ms=event.at_ms - event.sent_ms,
    )
    return (line,)


def _mark_orders_stored(fleet, machines):
    """Mark the orders as stored whose machines are stored now."""
    orders = fleet.orders_by_machine
    for name in machines:
        if name in orders:
            orders = orders.set(name, replace(orders[name], stored=True))
    return replace(fleet, orders_by_machine=orders)


def _confirm_worker(manager, leased, at_ms):
    worker = manager.workers_by_id.get(leased.worker_id)
    if (
        worker is None
        or worker.entry.started_wall_ms != leased.started_wall_ms
    ):
        return Step(manager)
    newly_recorded = not (
        worker.lease_recorded and worker.incarnation_recorded
    )
    worker = replace(
        worker,
        lease_recorded=True,
        incarnation_recorded=True,
        last_stored_end_sequence=leased.last_applied_end_sequence,
    )
    manager = put_worker(manager, worker)
    manager = replace(
        manager,
        leased_workers_by_id=manager.leased_workers_by_id.set(
            leased.worker_id, leased
        ),
    )
    step = watch_worker(manager, leased.worker_id, at_ms)
    if not newly_recorded:
        return step
    return then(step, schedule_placement, worker.entry.pool, at_ms)


def _confirm_queue(manager, queue_pools, at_ms):
    """Let tasks of a queue start in the pools that are stored now."""
    manager = record_queue_pools(manager, queue_pools)
    queue = manager.manifest.queues_by_name.get(queue_pools.queue)
    if queue is None:
        return Step(manager)
    return schedule_placement(manager, queue.pool, at_ms)


def record_progress(
    manager: ManagerState, progress: Progress | CompactProgress, at_ms: int
) -> ManagerState:
    """Record the stored progress of a job.

    Of an ended job, only its phase and the time of its end are kept; its plan
    is dropped.

    Args:
      manager: State of a manager.
      progress: The stored progress.
      at_ms: Current time on the node's clock.
    Returns:
      The state.
    """
    job_id = progress.job_id
    phases = manager.phase_by_job_id.set(job_id, progress.phase)
    manager = replace(manager, phase_by_job_id=phases)
    if progress.phase not in TERMINAL_PHASES:
        progress_by_id = manager.progress_by_id.set(job_id, progress)
        return replace(manager, progress_by_id=progress_by_id)
    ended = manager.ended_ms_by_job_id
    if job_id not in ended:
        ended = ended.set(job_id, at_ms)
    manager = replace(manager, ended_ms_by_job_id=ended)
    plan = manager.plans_by_id.get(job_id)
    if plan is not None:
        before = manager.progress_by_id.get(job_id, Progress(job_id))
        manager = record_read_end(manager, plan, before, progress.phase, at_ms)
    return replace(
        manager,
        progress_by_id=drop_key(manager.progress_by_id, job_id),
        plans_by_id=drop_key(manager.plans_by_id, job_id),
        first_seen_ms_by_job_id=drop_key(
            manager.first_seen_ms_by_job_id, job_id
        ),
    )
