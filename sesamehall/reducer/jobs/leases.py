"""The manager's worker leases, and orders that need a confirmed role."""

from sesamehall.core.jobtiming import CLOCK_SLACK_PERCENT
from sesamehall.core.jobtiming import LEASE_MS
from sesamehall.core.jobtiming import RENEWAL_CUTOFF_MS
from sesamehall.core.jobtiming import REPORT_OVERDUE_MS
from sesamehall.core.jobtiming import START_LEASE_MS
from sesamehall.core.jobtiming import TERM_CONFIRMED_MS
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.workstate import ActiveJob
from sesamehall.core.workstate import Worker
from sesamehall.reducer.machines.drained_data_centres import are_drains_known


def has_recent_report(worker: Worker, at_ms: int) -> bool:
    """Check whether a worker has reported recently.

    Args:
      worker: The worker.
      at_ms: Current time on the node's clock.
    Returns:
      False if a request is unanswered or a report is overdue.
    """
    return (
        not worker.unanswered_watches
        and at_ms - worker.last_report_ms < REPORT_OVERDUE_MS
    )


def may_have_untracked_runs(worker: Worker) -> bool:
    """Check whether a worker may have runs that the leader does not track.

    Args:
      worker: The worker.
    Returns:
      True while a worker on which an earlier leader may have started runs
      has not reported, has reported runs that are not adopted, or did not
      list all runs that have ended.
    """
    if not worker.lease_recorded or worker.terminated:
        return False
    not_contacted = not worker.contacted and worker.lease_end_ms > 0
    return (
        not_contacted or worker.untracked_runs > 0 or not worker.reported_whole
    )


def worker_clock_ms(worker: Worker, at_ms: int) -> int:
    """Estimate the current time on a worker's clock.

    Args:
      worker: A worker that has reported.
      at_ms: Current time on the node's clock.
    Returns:
      Time on its clock, behind by at most the duration of a call.
    """
    return worker.clock_ms + at_ms - worker.last_report_ms


def extend_lease(worker: Worker, lease_until_ms: int) -> Worker:
    """Record the end of the longest lease that a worker may have received.

    Args:
      worker: The worker.
      lease_until_ms: End of the lease on the worker's clock.
    Returns:
      The worker with the end of its lease on this node's clock, which
      allows for a worker whose clock is slow.
    """
    length_ms = lease_until_ms - worker.clock_ms
    max_length_ms = length_ms * (100 + CLOCK_SLACK_PERCENT) // 100
    end_ms = max(worker.lease_end_ms, worker.last_report_ms + max_length_ms)
    return replace(worker, lease_end_ms=end_ms)


def start_lease_end_ms(worker: Worker, at_ms: int) -> int:
    """Compute the end of the lease that a start order grants.

    Args:
      worker: A worker that has reported.
      at_ms: Current time on the node's clock.
    Returns:
      End of the lease on the worker's clock.
    """
    return worker_clock_ms(worker, at_ms) + START_LEASE_MS


def is_resigning(manager: ManagerState) -> bool:
    """Check whether a leader has resigned while its term still lasts.

    Args:
      manager: State of a manager.
    Returns:
      True as soon as its resignation is sent.
    """
    leader = manager.leader
    leads = bool(manager.term.epoch)
    return leads and leader is not None and leader.resigned


def is_stepping_down(manager: ManagerState) -> bool:
    """Check whether a leader is about to resign or has resigned.

    Args:
      manager: State of a manager.
    Returns:
      True as soon as it begins to stop or to hand the role over.
    """
    handing_over = manager.term.handover_since_ms >= 0
    return manager.stopping or handing_over or is_resigning(manager)


def is_term_confirmed(manager: ManagerState, at_ms: int) -> bool:
    """Check that no other leader can have begun its term.

    Args:
      manager: State of a leader.
      at_ms: Current time on the node's clock.
    Returns:
      True if its writes were confirmed recently, unless it resigns: a
      successor then does not wait for the leader timeout.
    """
    if is_resigning(manager):
        return False
    return at_ms - manager.term.confirmed_ms < TERM_CONFIRMED_MS


def may_start(manager: ManagerState, job: ActiveJob, at_ms: int) -> bool:
    """Check whether a leader may start tasks of a job.

    While its writes are not confirmed, another leader may have begun its
    term.  The successor waits for every worker that may have received an
    order from this leader before it starts tasks of jobs that this leader
    may know, so those jobs may still be started here.  Later jobs are left
    to the successor.  A leader that resigns starts nothing more, since its
    successor may begin immediately.

    Args:
      manager: State of a manager.
      job: The job.
      at_ms: Current time on the node's clock.
    Returns:
      True if the start cannot make a task run twice at once, and no request
      to drain a data centre may be unread for too long.
    """
    if not manager.term.epoch or is_resigning(manager):
        return False
    if not are_drains_known(manager, at_ms):
        return False
    if is_term_confirmed(manager, at_ms):
        return True
    confirmed_ms = manager.term.confirmed_ms
    known = job.first_seen_ms < confirmed_ms + TERM_CONFIRMED_MS
    return known and at_ms - confirmed_ms < RENEWAL_CUTOFF_MS


def may_renew(manager: ManagerState, at_ms: int) -> bool:
    """Check whether a leader may renew leases.

    Args:
      manager: State of a leader.
      at_ms: Current time on the node's clock.
    Returns:
      False once a successor may assume that they are no longer renewed.
    """
    since_ms = at_ms - manager.term.confirmed_ms
    return not is_resigning(manager) and since_ms < RENEWAL_CUTOFF_MS


def earlier_renewals_ms(manager: ManagerState, at_ms: int) -> int:
    """Compute how much longer leaders before the newest may renew leases.

    Args:
      manager: State of a manager.
      at_ms: Current time on the node's clock.
    Returns:
      Milliseconds, 0 once that is over.
    """
    return max(manager.earlier_renewals_end_ms - at_ms, 0)


def is_incarnation_confirmed(
    manager: ManagerState, worker: Worker, at_ms: int
) -> bool:
    """Check that no other leader can have contacted an incarnation earlier.

    A later leader sets its fencing token at every worker, but a worker that
    restarts forgets the token.  So a leader whose term is not confirmed
    cannot know, when it contacts a new incarnation, whether another leader has
    received reports of the earlier incarnation or started its tasks elsewhere.

    Args:
      manager: State of a leader.
      worker: The worker.
      at_ms: Current time on the node's clock.
    Returns:
      True if the incarnation answered while the term was confirmed.
    """
    if worker.first_contact_ms < 0:
        return False
    confirmed_ms = manager.term.confirmed_ms
    contacted_in_time = (
        worker.first_contact_ms < confirmed_ms + TERM_CONFIRMED_MS
    )
    return contacted_in_time or is_term_confirmed(manager, at_ms)


def lease_length_ms(manager: ManagerState) -> int:
    """Compute the length of a renewed lease.

    Args:
      manager: State of a leader.
    Returns:
      Milliseconds, at most the longest lease that workers grant.
    """
    return min(LEASE_MS, manager.timing.max_lease_ms)
