"""Stored records of what was learnt about run times, for the next leader.

They join a write that is due anyway, once a queue has learnt from enough
steps.  A lost record costs the next leader a few steps' learning, so none is
written again.
"""

from dataclasses import fields
from math import isfinite

from sesamehall.core.fleet import RunTimesRecord
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.runtimes import QueueRunTimes
from sesamehall.reducer.counts import drop_key
from sesamehall.reducer.jobs.run_time_model import fit_line

RUN_TIMES_KEY_PREFIX = "runtimes/"
STEPS_PER_RECORD = 20  # of a queue
MAX_LOG_MS = 30.0  # a logarithm above this is no run time
# Attributes that a record has in common with QueueRunTimes.
AVERAGES = tuple(
    field.name for field in fields(RunTimesRecord) if field.name != "queue"
)


def run_times_records(manager: ManagerState) -> tuple[StoredRecord, ...]:
    """Build the records of queues that have learnt from enough steps.

    Args:
      manager: State of the leader.
    Returns:
      The records, by name of the queue.
    """
    return tuple(
        StoredRecord(
            RUN_TIMES_KEY_PREFIX + name,
            RunTimesRecord(
                name, *(getattr(run_times, field) for field in AVERAGES)
            ),
        )
        for name, run_times in sorted(manager.run_times_by_queue.items())
        if _is_due(run_times)
    )


def mark_run_times_stored(manager: ManagerState) -> ManagerState:
    """Mark the queues whose records a write contains.

    Args:
      manager: State of the leader.
    Returns:
      The state.
    """
    written = {
        name: replace(run_times, stored_count=run_times.count)
        for name, run_times in manager.run_times_by_queue.items()
        if _is_due(run_times)
    }
    if not written:
        return manager
    by_queue = manager.run_times_by_queue.update(written)
    return replace(manager, run_times_by_queue=by_queue)


def _is_due(run_times):
    return run_times.count >= run_times.stored_count + STEPS_PER_RECORD


def apply_run_times_record(
    manager: ManagerState, record: RunTimesRecord
) -> ManagerState:
    """Take over what a leader has learnt about a queue.

    Args:
      manager: State of a follower.
      record: The record; one with impossible values is ignored.
    Returns:
      The state.
    """
    if not _is_plausible(record):
        return manager
    run_times = QueueRunTimes(
        stored_count=record.count,
        **{field: getattr(record, field) for field in AVERAGES},
    )
    run_times = replace(run_times, line=fit_line(run_times))
    by_queue = manager.run_times_by_queue.set(record.queue, run_times)
    return replace(manager, run_times_by_queue=by_queue)


def _is_plausible(record):
    """Check that no forecast from a record can overflow."""
    values = [getattr(record, field) for field in AVERAGES]
    variances = (
        record.declared_variance,
        record.actual_variance,
        record.within_variance,
    )
    return (
        all(isfinite(value) for value in values)
        and all(0 <= variance <= MAX_LOG_MS for variance in variances)
        and abs(record.covariance) <= MAX_LOG_MS
        and 0 <= record.mean_declared <= MAX_LOG_MS
        and 0 <= record.mean_actual <= MAX_LOG_MS
        and record.count > 0
        and record.within_count >= 0
    )


def drop_run_times(manager: ManagerState, queue_name: str) -> ManagerState:
    """Forget a queue whose record was deleted.

    Args:
      manager: State of a follower.
      queue_name: Name of the queue.
    Returns:
      The state.
    """
    by_queue = drop_key(manager.run_times_by_queue, queue_name)
    return replace(manager, run_times_by_queue=by_queue)
