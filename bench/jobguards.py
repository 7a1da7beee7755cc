"""Guards of the reducer that job histories can disable."""

from sesamehall.core.replacing import replace
from sesamehall.core.work import NO_SIZE
from sesamehall.reducer.jobs import adoption
from sesamehall.reducer.jobs import advice_requests
from sesamehall.reducer.jobs import leases
from sesamehall.reducer.jobs import orders
from sesamehall.reducer.jobs import placement_round
from sesamehall.reducer.jobs import queue_pools
from sesamehall.reducer.jobs import queueing
from sesamehall.reducer.jobs import reports
from sesamehall.reducer.jobs import runs
from sesamehall.reducer.jobs import task_placement
from sesamehall.reducer.jobs import workers

# What the leader fails to do without each guard.
GUARDS = (
    # Wait with the ends and runs of a job that it has not read yet, instead of
    # treating them as those of an unknown job.
    "unread",
    # Wait with tasks of inherited jobs until workers have reported their runs.
    "unresolved",
    # Ask the workers of every pool that a queue may have had for runs, not
    # only those of the pool that the manifest names.
    "pools",
    # Stop starting tasks and renewing leases once it has resigned.
    "resigning",
    # Store the end of a run before it is acknowledged to the worker.
    "stored",
    # Extend its record of a worker's lease when an order or a request for a
    # report extends the lease.
    "lease",
    # Check that its writes were confirmed recently, so that no other leader
    # can have begun its term.
    "confirmed",
    # Retry an append of unknown outcome before its sequence number is used for
    # other records.
    "sequence",
    # Keep an ended job until the write that contains the end is confirmed.
    "forgotten",
    # Give no tasks to the workers of a drained data centre.
    "drained",
    # Limit starts by how long ago the operators' stream was known.
    "requests",
    # Send a call only to the incarnation of a worker that it is meant for.
    "incarnations",
    # Count what may run unreported against ceilings.
    "unreported",
    # Give the advice service to steps that it can start.
    "turns",
)


def disable_guard(name: str) -> None:
    """Disable a guard of the reducer in this process.

    Args:
      name: Name of the guard, "" for none.  "sequence" and "incarnations" are
        guards of the simulated clients, which `run_history` disables.
    """
    match name:
        case "" | "sequence" | "incarnations":
            pass
        case "unread":
            for module in (reports, adoption):
                module.is_job_unread = lambda manager, task: False
        case "unresolved":
            queue_pools.pool_may_have_untracked_runs = (
                lambda manager, pool: False
            )
        case "pools":
            queue_pools.possible_pools = _current_pools
        case "resigning":
            leases.is_resigning = lambda manager: False
        case "stored":
            reports._apply_ends = _apply_ends_as_stored
        case "lease":
            for module in (orders, task_placement, workers):
                module.extend_lease = lambda worker, until_ms: worker
        case "confirmed":
            leases.TERM_CONFIRMED_MS = 1 << 40
        case "drained":
            for module in (queueing, orders):
                module.is_worker_drained = lambda manager, worker: False
        case "requests":
            leases.are_drains_known = lambda manager, at_ms: True
            orders.limit_start_ms = lambda manager, until_ms, at_ms: until_ms
        case "unreported":
            placement_round.unreported_by_team = _no_unreported_use
        case "turns":
            advice_requests.choose_candidate = _choose_first
        case "forgotten":
            runs._is_unstored = _is_dirty
        case _:
            raise SystemExit(f"unknown guard {name}")


def _current_pools(manager, queue_name):
    """List only the pool to which the manifest sends a queue."""
    queue = manager.manifest.queues_by_name.get(queue_name)
    return () if queue is None else (queue.pool,)


def _no_unreported_use(manager):
    """Take what no report tells of for nothing."""
    return dict.fromkeys(manager.manifest.quotas_by_team, NO_SIZE)


def _choose_first(candidates, request_count, requested_ms_by_team):
    """Choose the first step in rank, whether it can start or not."""
    return min(candidates, key=lambda item: item.rank, default=None)


def _is_dirty(manager, job_id):
    """Check whether a job has changes that no write contains yet.

    Unlike `runs._is_unstored`, it ignores a write in flight.
    """
    return job_id in manager.dirty_jobs


# `disable_guard` replaces the function in its module.
original_apply_ends = reports._apply_ends


def _apply_ends_as_stored(manager, event):
    """Apply ends and treat them as stored, so they are acknowledged early."""
    step = original_apply_ends(manager, event)
    worker = step.state.workers_by_id[event.worker_id]
    worker = replace(
        worker, last_stored_end_sequence=worker.last_applied_end_sequence
    )
    workers_by_id = step.state.workers_by_id.set(event.worker_id, worker)
    state = replace(step.state, workers_by_id=workers_by_id)
    return replace(step, state=state)
