"""Records of leaders, as followers and later leaders read them."""

from sesamehall.core.fleet import Leader
from sesamehall.core.fleet import LeasedWorker
from sesamehall.core.fleet import OrderedMachines
from sesamehall.core.fleet import QueuePools
from sesamehall.core.fleet import RunTimesRecord
from sesamehall.core.fleet import WaveRecord
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step
from sesamehall.core.work import CompactProgress
from sesamehall.core.work import Progress
from sesamehall.reducer.counts import drop_key
from sesamehall.reducer.jobs.leadership import end_term
from sesamehall.reducer.jobs.leadership import record_leader
from sesamehall.reducer.jobs.queue_pools import drop_queue_pools
from sesamehall.reducer.jobs.queue_pools import record_queue_pools
from sesamehall.reducer.jobs.run_time_records import apply_run_times_record
from sesamehall.reducer.jobs.run_time_records import drop_run_times
from sesamehall.reducer.jobs.run_time_records import RUN_TIMES_KEY_PREFIX
from sesamehall.reducer.jobs.storing import QUEUE_KEY_PREFIX
from sesamehall.reducer.jobs.storing import record_progress
from sesamehall.reducer.jobs.storing import WORKER_KEY_PREFIX


def apply_progress_record(manager, key, value, at_ms):
    """Apply a leader's record; a leader ignores those of its own term.

    Args:
      manager: State of a manager.
      key: Key of the record.
      value: Its value, or None if the key was deleted.
      at_ms: Current time on the node's clock.
    Returns:
      A Step; a later leader's record ends the term of this node.
    """
    match value:
        case Leader(_, epoch) if epoch < manager.term.epoch:
            return Step(manager)
        case Leader(node, epoch) if (node, epoch) == (
            manager.name,
            manager.term.epoch,
        ):
            return Step(manager)
        case Leader(node, epoch) as leader:
            if manager.term.epoch and node != manager.name:
                return end_term(manager, f"epoch {epoch} began", at_ms)
            return Step(record_leader(manager, leader, at_ms))
    if manager.term.epoch:
        return Step(manager)
    match value:
        case Progress() | CompactProgress():
            return Step(record_progress(manager, value, at_ms))
        case OrderedMachines():
            return Step(replace(manager, ordered_machines=value))
        case WaveRecord(number, machines):
            maintained = manager.maintenance_accepted_by_wave.set(
                number, machines
            )
            return Step(
                replace(manager, maintenance_accepted_by_wave=maintained)
            )
        case QueuePools():
            return Step(record_queue_pools(manager, value))
        case None if key.startswith(QUEUE_KEY_PREFIX):
            queue_name = key.removeprefix(QUEUE_KEY_PREFIX)
            return Step(drop_queue_pools(manager, queue_name))
        case RunTimesRecord():
            return Step(apply_run_times_record(manager, value))
        case None if key.startswith(RUN_TIMES_KEY_PREFIX):
            queue_name = key.removeprefix(RUN_TIMES_KEY_PREFIX)
            return Step(drop_run_times(manager, queue_name))
        case LeasedWorker():
            return Step(_record_leased_worker(manager, value, at_ms))
        case None if key.startswith(WORKER_KEY_PREFIX):
            worker_id = key.removeprefix(WORKER_KEY_PREFIX)
            return Step(_forget_leased_worker(manager, worker_id))
    return Step(manager)


def _forget_leased_worker(manager, worker_id):
    """Forget a worker whose record was deleted: nothing runs on it."""
    ends = manager.long_lease_ends_by_worker_id
    return replace(
        manager,
        leased_workers_by_id=drop_key(manager.leased_workers_by_id, worker_id),
        long_lease_ends_by_worker_id=drop_key(ends, worker_id),
    )


def _record_leased_worker(manager, leased: LeasedWorker, at_ms):
    """Record a worker that may have runs, and how long its leases may last.

    The record was written earlier than it is read, so the time from now on is
    no shorter than what it tells.
    """
    ends = manager.long_lease_ends_by_worker_id
    if leased.long_lease_ms:
        ends = ends.set(leased.worker_id, at_ms + leased.long_lease_ms)
    else:
        ends = drop_key(ends, leased.worker_id)
    leased_by_id = manager.leased_workers_by_id.set(leased.worker_id, leased)
    return replace(
        manager,
        leased_workers_by_id=leased_by_id,
        long_lease_ends_by_worker_id=ends,
    )
