"""Whether workers may get new tasks, and why not."""

from enum import Enum

from sesamehall.core.workstate import Worker
from sesamehall.reducer.jobs.leases import has_recent_report


class ExclusionReason(Enum):
    """Why a worker gets no new tasks.

    EVACUATING also stands for a worker whose incarnation has ended. DRAINED is
    for one in a drained data centre. The values are logged, so they keep words
    that the code no longer uses.
    """

    UNREGISTERED = "unlisted"
    NOT_CONTACTED = "unreached"
    LEASE_NOT_RECORDED = "unstored"
    SILENT = "silent"
    DRAINING = "draining"
    EVACUATING = "leaving"
    UNTRACKED_RUNS = "strangers"
    QUARANTINED = "aside"
    DRAINED = "drained"


def is_available(worker: Worker, at_ms: int) -> bool:
    """Check whether new tasks may be started on a worker.

    Args:
      worker: The worker.
      at_ms: Current time on the node's clock.
    Returns:
      True unless there is a reason to exclude it.
    """
    return exclusion_reason(worker, at_ms) is None


def is_incarnation_registered(worker: Worker) -> bool:
    """Check that a worker's registration is of the incarnation that reports.

    Another incarnation may have other resources and labels.

    Args:
      worker: The worker.
    Returns:
      False if both tell their start times and these differ.
    """
    registered_ms = worker.registered_start_ms
    reported_ms = worker.entry.started_wall_ms
    return not registered_ms or registered_ms == reported_ms or not reported_ms


def exclusion_reason(worker: Worker, at_ms: int) -> ExclusionReason | None:
    """Find the first reason for which a worker gets no new tasks.

    Args:
      worker: The worker.
      at_ms: Current time on the node's clock.
    Returns:
      The reason, or None if the worker is available.
    """
    if not worker.registered or not is_incarnation_registered(worker):
        return ExclusionReason.UNREGISTERED
    if not worker.contacted or worker.first_contact_ms < 0:
        return ExclusionReason.NOT_CONTACTED
    if not worker.lease_recorded or not worker.incarnation_recorded:
        return ExclusionReason.LEASE_NOT_RECORDED
    if not has_recent_report(worker, at_ms):
        return ExclusionReason.SILENT
    if worker.entry.draining:
        return ExclusionReason.DRAINING
    if worker.evacuating or worker.terminated:
        return ExclusionReason.EVACUATING
    if worker.untracked_runs:
        return ExclusionReason.UNTRACKED_RUNS
    if worker.quarantined_until_ms > at_ms:
        return ExclusionReason.QUARANTINED
    return None
