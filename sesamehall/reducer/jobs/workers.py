"""The manager's workers: registration, watches, expiry and incarnations.

A watch is a request for a worker's report (a long poll), which also renews its
lease.  An incarnation of a worker lasts from one start of its process to the
end of that process; the next one may have the same identifier.
"""

from sesamehall.core.effects import log
from sesamehall.core.effects import SetTimer
from sesamehall.core.fleet import WorkerEntry
from sesamehall.core.jobtiming import CLOCK_SLACK_PERCENT
from sesamehall.core.jobtiming import WATCH_RETRY_MS
from sesamehall.core.jobtiming import WATCH_WAIT_MS
from sesamehall.core.logevents import WORKER_GONE
from sesamehall.core.logevents import WORKER_SILENT
from sesamehall.core.managereffects import ForgetWorker
from sesamehall.core.managereffects import WatchWorker
from sesamehall.core.managerevents import OrderRefusal
from sesamehall.core.managerevents import WorkerNotReported
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.core.timers import WatchTimer
from sesamehall.core.workstate import Worker
from sesamehall.reducer.jobs.leases import extend_lease
from sesamehall.reducer.jobs.leases import is_term_confirmed
from sesamehall.reducer.jobs.leases import lease_length_ms
from sesamehall.reducer.jobs.leases import may_renew
from sesamehall.reducer.jobs.leases import worker_clock_ms
from sesamehall.reducer.jobs.runlines import worker_lease_lines
from sesamehall.reducer.jobs.runs import abandon_run
from sesamehall.reducer.jobs.runs import schedule_placement
from sesamehall.reducer.jobs.state_updates import drop_worker
from sesamehall.reducer.jobs.state_updates import put_worker


def register_worker(
    manager: ManagerState, entry: WorkerEntry, at_ms: int
) -> Step:
    """Apply the registration of a worker.

    A registration may be older than the newest report, and start times may go
    backwards.  So one with another start time only makes the leader ask: until
    the worker reports, it gets no tasks and no lease.

    Args:
      manager: State of the leader.
      entry: The registration.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with a watch, unless one is in flight.
    """
    worker = manager.workers_by_id.get(entry.worker_id)
    if worker is None:
        worker = Worker(
            entry,
            registered_start_ms=entry.started_wall_ms,
            lease_end_ms=at_ms,
        )
        manager = put_worker(manager, worker)
        manager = replace(
            manager,
            dirty_workers=manager.dirty_workers.set(entry.worker_id, True),
        )
        return watch_worker(manager, entry.worker_id, at_ms)
    if _shows_other_incarnation(worker, entry):
        worker = _expect_long_lease(manager, worker, at_ms)
        worker = replace(worker, first_contact_ms=-1)
        dirty = manager.dirty_workers.set(entry.worker_id, True)
        manager = replace(manager, dirty_workers=dirty)
    known_start_ms = worker.entry.started_wall_ms
    worker = replace(
        worker,
        entry=replace(
            entry, started_wall_ms=known_start_ms or entry.started_wall_ms
        ),
        registered=True,
        registered_start_ms=entry.started_wall_ms,
    )
    step = Step(put_worker(manager, worker))
    step = then(step, watch_worker, entry.worker_id, at_ms)
    return then(step, schedule_placement, entry.pool, at_ms)


def _shows_other_incarnation(worker: Worker, entry: WorkerEntry) -> bool:
    """Check whether a registration is the first of another incarnation."""
    known_start_ms = worker.entry.started_wall_ms
    if not known_start_ms or not entry.started_wall_ms:
        return False
    return entry.started_wall_ms not in (
        known_start_ms,
        worker.registered_start_ms,
    )


def deregister_worker(
    manager: ManagerState, worker_id: str, at_ms: int
) -> Step:
    """Record that a worker is no longer registered.

    Args:
      manager: State of the leader.
      worker_id: The worker.
      at_ms: Current time on the node's clock.
    Returns:
      A Step; the worker is removed if it does not answer and its lease has
      expired.
    """
    worker = manager.workers_by_id.get(worker_id)
    if worker is None:
        return Step(manager)
    manager = put_worker(manager, replace(worker, registered=False))
    return expire_silent_worker(manager, worker_id, at_ms)


def watch_worker(manager: ManagerState, worker_id: str, at_ms: int) -> Step:
    """Watch a worker: request its report, and renew its lease if allowed.

    The lease of a silent worker is left to expire, so that its tasks can run
    elsewhere.  A silent worker may have restarted under the same identifier,
    which resets its sequence numbers, so no end is acknowledged to it before a
    report shows its incarnation.  A worker with untracked runs must answer
    immediately, since it gets no tasks until these runs are adopted or ended.

    Args:
      manager: State of the leader.
      worker_id: The worker.
      at_ms: Current time on the node's clock.
    Returns:
      A Step; without effects while a watch is in flight.
    """
    worker = manager.workers_by_id.get(worker_id)
    if worker is None or worker.watch_in_flight or not manager.term.epoch:
        return Step(manager)
    lease_until_ms = -1
    is_reachable = (
        worker.contacted
        and worker.first_contact_ms >= 0
        and not worker.unanswered_watches
    )
    if worker.tasks and is_reachable and may_renew(manager, at_ms):
        lease_until_ms = worker_clock_ms(worker, at_ms) + lease_length_ms(
            manager
        )
        worker = extend_lease(worker, lease_until_ms)
    wait_ms = (
        WATCH_WAIT_MS if is_reachable and not worker.untracked_runs else 0
    )
    effect = WatchWorker(
        worker_id=worker_id,
        address=worker.entry.address,
        epoch=manager.term.epoch,
        acknowledged=worker.last_stored_end_sequence if is_reachable else 0,
        lease_until_ms=lease_until_ms,
        wait_ms=wait_ms,
        started_wall_ms=worker.entry.started_wall_ms,
    )
    worker = replace(worker, watch_in_flight=True)
    return Step(put_worker(manager, worker), (effect,))


def handle_missing_report(
    manager: ManagerState, event: WorkerNotReported
) -> Step:
    """Handle a watch that failed.

    Args:
      manager: State of the leader.
      event: Reason of the failure.
    Returns:
      A Step that repeats the watch: immediately after the first failure, since
      a single answer may have been lost, and after a pause later on.
    """
    worker = manager.workers_by_id.get(event.worker_id)
    if worker is None or event.epoch != manager.term.epoch:
        return Step(manager)
    at_ms = event.at_ms
    effects = ()
    if not worker.unanswered_watches:
        effects = (
            log(
                WORKER_SILENT,
                worker=event.worker_id,
                reason=event.refusal.value,
                tasks=len(worker.tasks),
            ),
        )
    worker = replace(
        worker,
        watch_in_flight=False,
        unanswered_watches=worker.unanswered_watches + 1,
    )
    if event.refusal is OrderRefusal.OTHER_INCARNATION:
        # A worker with another identifier answered at the address, so nothing
        # runs on this one any more.
        worker = replace(worker, lease_end_ms=min(worker.lease_end_ms, at_ms))
        worker = replace(worker, registered=False)
    step = Step(put_worker(manager, worker), effects)
    step = then(step, expire_silent_worker, event.worker_id, at_ms)
    if worker.unanswered_watches == 1:
        return then(step, watch_worker, event.worker_id, at_ms)
    timer = SetTimer(WatchTimer(event.worker_id), at_ms + WATCH_RETRY_MS)
    return Step(step.state, step.effects + (timer,))


def expire_silent_worker(
    manager: ManagerState, worker_id: str, at_ms: int
) -> Step:
    """Abandon the runs of a silent worker whose lease has expired.

    While the term is not confirmed, another leader may have contacted the
    worker and renewed its lease, so nothing is abandoned.  Otherwise a worker
    that is not registered is removed too.

    Args:
      manager: State of the leader.
      worker_id: The worker.
      at_ms: Current time on the node's clock.
    Returns:
      A Step.
    """
    worker = manager.workers_by_id.get(worker_id)
    if (
        worker is None
        or not worker.unanswered_watches
        or at_ms < worker.lease_end_ms
    ):
        return Step(manager)
    if not is_term_confirmed(manager, at_ms):
        return Step(manager)
    step = Step(manager, worker_lease_lines(manager, worker, at_ms))
    for task in sorted(worker.tasks):
        run = step.state.runs_by_task[task]
        step = then(step, abandon_run, run, "lease expired", at_ms)
    worker = step.state.workers_by_id[worker_id]
    if worker.registered:
        worker = replace(
            worker,
            contacted=False,
            first_contact_ms=-1,
            lease_end_ms=0,
            long_lease_end_ms=0,
            last_applied_end_sequence=worker.last_stored_end_sequence,
            untracked_runs=0,
            reported_whole=True,
        )
        return Step(put_worker(step.state, worker), step.effects)
    line = log(WORKER_GONE, worker=worker_id, pool=worker.entry.pool)
    return Step(
        drop_worker(step.state, worker_id),
        step.effects + (line, ForgetWorker(worker_id)),
    )


def end_incarnation(manager: ManagerState, worker_id: str, at_ms: int) -> Step:
    """End a worker's incarnation that an order for its machine terminated.

    Args:
      manager: State of the leader.
      worker_id: The worker.
      at_ms: Current time on the node's clock.
    Returns:
      A Step; nothing can run on the worker any more.
    """
    worker = manager.workers_by_id.get(worker_id)
    if worker is None:
        return Step(manager)
    step = Step(manager)
    for task in sorted(worker.tasks):
        run = step.state.runs_by_task[task]
        step = then(step, abandon_run, run, "machine ordered", at_ms)
    worker = replace(
        step.state.workers_by_id[worker_id],
        terminated=True,
        terminated_ms=at_ms,
        lease_end_ms=min(worker.lease_end_ms, at_ms),
        long_lease_end_ms=0,
    )
    manager = put_worker(step.state, worker)
    dirty = manager.dirty_workers.set(worker_id, True)
    return Step(replace(manager, dirty_workers=dirty), step.effects)


def answered_after_termination(worker: Worker, sent_ms: int) -> bool:
    """Check whether a worker recorded as terminated has answered since.

    A leader may repeat a machine order that was already carried out for an
    earlier leader, and the answer is again that it is done.  end_incarnation
    then records the worker as terminated that has started since and still
    runs.

    Args:
      worker: A worker that has answered.
      sent_ms: Time at which the answered watch was sent.
    Returns:
      True if the worker must be used again.
    """
    return worker.terminated and sent_ms > worker.terminated_ms


def resume_incarnation(manager: ManagerState, worker: Worker) -> ManagerState:
    """Use a worker again that was wrongly recorded as terminated.

    Its stored record was deleted, so it gets no tasks until the record is
    stored again.

    Args:
      manager: State of the leader.
      worker: The worker.
    Returns:
      The state.
    """
    worker = replace(
        worker, terminated=False, evacuating=False, lease_recorded=False
    )
    dirty = manager.dirty_workers.set(worker.entry.worker_id, True)
    return replace(put_worker(manager, worker), dirty_workers=dirty)


def expire_silent_workers(manager: ManagerState, at_ms: int) -> Step:
    """Abandon the runs of all silent workers whose lease has expired.

    Args:
      manager: State of the leader.
      at_ms: Current time on the node's clock.
    Returns:
      A Step.
    """
    step = Step(manager)
    for worker_id, worker in sorted(manager.workers_by_id.items()):
        if worker.unanswered_watches:
            step = then(step, expire_silent_worker, worker_id, at_ms)
    return step


def begin_incarnation(
    manager: ManagerState, worker: Worker, started_wall_ms: int, at_ms: int
) -> Step:
    """Record that a worker has restarted under the same identifier.

    The runs of its earlier incarnation have ended, but the new one may have
    started runs from orders meant for the earlier one, which its reports list.

    Args:
      manager: State of the leader.
      worker: The worker as known so far.
      started_wall_ms: Start time of the new incarnation, since 1970.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with the worker, of whose new incarnation no end is applied yet,
      and which gets no tasks before its record names that incarnation.
    """
    worker = replace(
        _expect_long_lease(manager, worker, at_ms),
        entry=replace(worker.entry, started_wall_ms=started_wall_ms),
        incarnation_recorded=False,
        first_contact_ms=-1,
        last_applied_end_sequence=0,
        last_stored_end_sequence=0,
        consecutive_failures=0,
        evacuating=False,
        terminated=False,
    )
    manager = put_worker(manager, worker)
    dirty = manager.dirty_workers.set(worker.entry.worker_id, True)
    return Step(replace(manager, dirty_workers=dirty))


def _expect_long_lease(
    manager: ManagerState, worker: Worker, at_ms: int
) -> Worker:
    """Allow for a lease that a new incarnation took from an earlier one.

    The end of a lease is a time on the clock of the incarnation that it was
    meant for.  Calls are sent to that one only, but a leader of an older
    version may not keep to that, and a worker may not tell its incarnation.
    Another one's clock may be far behind, so the longest lease that workers
    grant is assumed.
    """
    max_length_ms = (
        manager.timing.max_lease_ms * (100 + CLOCK_SLACK_PERCENT) // 100
    )
    end_ms = at_ms + max_length_ms
    return replace(
        worker,
        lease_end_ms=max(worker.lease_end_ms, end_ms),
        long_lease_end_ms=max(worker.long_lease_end_ms, end_ms),
    )
