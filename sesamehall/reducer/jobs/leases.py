"""Leases of workers, and what may be ordered without confirmation."""

from sesamehall.core.jobtiming import CLOCK_SLACK_PERCENT
from sesamehall.core.jobtiming import LEASE_MS
from sesamehall.core.jobtiming import RENEW_CONFIRMED_MS
from sesamehall.core.jobtiming import REPORT_OVERDUE_MS
from sesamehall.core.jobtiming import START_CONFIRMED_MS
from sesamehall.core.jobtiming import START_LEASE_MS
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.workstate import ActiveJob
from sesamehall.core.workstate import Worker


def has_recent_report(worker: Worker, at_ms: int) -> bool:
    """Tell whether a worker has answered a moment ago.

    Args:
      worker: The worker.
      at_ms: The node's clock.
    Returns:
      False for one that is silent, or whose answer is overdue.
    """
    return (
        not worker.unanswered_watches
        and at_ms - worker.last_report_ms < REPORT_OVERDUE_MS
    )


def may_have_untracked_runs(worker: Worker) -> bool:
    """Tell whether a worker may have runs that are not known.

    Args:
      worker: The worker.
    Returns:
      True while a worker on which an earlier leader may have started runs
      has not answered, or has listed runs that are not taken over.
    """
    if not worker.lease_recorded or worker.terminated:
        return False
    unheard = not worker.contacted and worker.lease_end_ms > 0
    return unheard or worker.untracked_runs > 0


def worker_clock_ms(worker: Worker, at_ms: int) -> int:
    """Estimate a worker's own clock.

    Args:
      worker: A worker that has answered.
      at_ms: The node's clock.
    Returns:
      Its clock, not behind by more than a call takes.
    """
    return worker.clock_ms + at_ms - worker.last_report_ms


def extend_lease(worker: Worker, lease_until_ms: int) -> Worker:
    """Note the longest lease that a worker may have got.

    Args:
      worker: The worker.
      lease_until_ms: End of the lease on the worker's clock.
    Returns:
      The worker with the end of its lease on our clock.
    """
    length_ms = lease_until_ms - worker.clock_ms
    slow_ms = length_ms * (100 + CLOCK_SLACK_PERCENT) // 100
    end_ms = max(worker.lease_end_ms, worker.last_report_ms + slow_ms)
    return replace(worker, lease_end_ms=end_ms)


def start_lease_end_ms(worker: Worker, at_ms: int) -> int:
    """Choose the lease that an order to start carries.

    Args:
      worker: A worker that has answered.
      at_ms: The node's clock.
    Returns:
      Its end on the worker's clock.
    """
    return worker_clock_ms(worker, at_ms) + START_LEASE_MS


def is_resigning(manager: ManagerState) -> bool:
    """Tell whether a leader has given the role up, though its term goes on.

    Args:
      manager: State of a manager.
    Returns:
      True from the moment at which its resignation is sent.
    """
    leader = manager.leader
    leads = bool(manager.term.epoch)
    return leads and leader is not None and leader.resigned


def is_stepping_down(manager: ManagerState) -> bool:
    """Tell whether a leader is to resign, or has done so.

    Args:
      manager: State of a manager.
    Returns:
      True from the moment at which it stops or hands the role over.
    """
    handing_over = manager.term.handover_since_ms >= 0
    return manager.stopping or handing_over or is_resigning(manager)


def is_confirmed(manager: ManagerState, at_ms: int) -> bool:
    """Tell whether no other leader can have begun its term.

    Args:
      manager: State of a leader.
      at_ms: The node's clock.
    Returns:
      True where its writes were confirmed a moment ago, unless it resigns: a
      successor does not wait for its silence then.
    """
    if is_resigning(manager):
        return False
    return at_ms - manager.term.confirmed_ms < START_CONFIRMED_MS


def may_start(manager: ManagerState, job: ActiveJob, at_ms: int) -> bool:
    """Tell whether a leader may start tasks of a job.

    While its writes are not confirmed another leader may have begun its
    term.  That one waits for every worker that may have got an order from
    this one, before it starts tasks of jobs that this one may know; jobs
    that came later are left to it.  One that resigns starts nothing more:
    its successor may begin at once.

    Args:
      manager: State of a manager.
      job: The job.
      at_ms: The node's clock.
    Returns:
      True when no task can come to run twice by it.
    """
    if not manager.term.epoch or is_resigning(manager):
        return False
    if is_confirmed(manager, at_ms):
        return True
    confirmed_ms = manager.term.confirmed_ms
    known = job.first_seen_ms < confirmed_ms + START_CONFIRMED_MS
    return known and at_ms - confirmed_ms < RENEW_CONFIRMED_MS


def may_renew(manager: ManagerState, at_ms: int) -> bool:
    """Tell whether a leader may renew leases.

    Args:
      manager: State of a leader.
      at_ms: The node's clock.
    Returns:
      False once a successor may count them as running out.
    """
    since_ms = at_ms - manager.term.confirmed_ms
    return not is_resigning(manager) and since_ms < RENEW_CONFIRMED_MS


def is_incarnation_confirmed(
    manager: ManagerState, worker: Worker, at_ms: int
) -> bool:
    """Tell whether no other leader can have met a worker's life before.

    A later leader takes its fence at every worker; one that starts again
    knows no fence.  So a leader without confirmation that meets a new life
    can't tell what another one has learnt from the earlier life, or has
    started elsewhere since.

    Args:
      manager: State of a leader.
      worker: The worker.
      at_ms: The node's clock.
    Returns:
      True where the life was met while the role was confirmed.
    """
    if worker.first_contact_ms < 0:
        return False
    confirmed_ms = manager.term.confirmed_ms
    met_in_time = worker.first_contact_ms < confirmed_ms + START_CONFIRMED_MS
    return met_in_time or is_confirmed(manager, at_ms)


def lease_length_ms(manager: ManagerState) -> int:
    """Choose how long a renewed lease lasts.

    Args:
      manager: State of a leader.
    Returns:
      Milliseconds, no more than workers grant.
    """
    return min(LEASE_MS, manager.timing.max_lease_ms)
