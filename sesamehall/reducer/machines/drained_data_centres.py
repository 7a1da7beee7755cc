"""Which workers and machines are in drained data centres.

Also how long the leader may start tasks without having read the operators'
stream, which may hold a new request to drain a data centre.
"""

from sesamehall.core.draining import DRAIN_ORDER_MARGIN_MS
from sesamehall.core.fleet import Machine
from sesamehall.core.jobtiming import MANIFEST_MAX_AGE_MS
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.workstate import Worker


def is_worker_drained(manager: ManagerState, worker: Worker) -> bool:
    """Check whether nothing may be started on a worker.

    Args:
      manager: State of the leader.
      worker: The worker.
    Returns:
      True if its data centre is drained, or if that is unknown while any data
      centre is drained.
    """
    drains = manager.draining.drains_by_data_centre
    if not drains:
        return False
    data_centre = worker_data_centre(manager, worker)
    return not data_centre or data_centre in drains


def worker_data_centre(manager: ManagerState, worker: Worker) -> str:
    """Find the data centre of a worker.

    The record of a worker that an earlier leader used does not name it.

    Args:
      manager: State of the leader.
      worker: The worker.
    Returns:
      The data centre that its registration names, or else that of its machine,
      or "" if that is unknown too.
    """
    if worker.entry.data_centre:
        return worker.entry.data_centre
    worker_id = worker.entry.worker_id
    for machine in manager.fleet.machines_by_name.values():
        if machine.worker_id == worker_id:
            return machine.data_centre
    return ""


def is_machine_drained(manager: ManagerState, machine: Machine) -> bool:
    """Check whether a machine may not be taken into use.

    Args:
      manager: State of the leader.
      machine: The machine.
    Returns:
      True if its data centre is drained, or if that is unknown while any data
      centre is drained.
    """
    drains = manager.draining.drains_by_data_centre
    if not drains:
        return False
    return not machine.data_centre or machine.data_centre in drains


def usable_machines(manager: ManagerState) -> list[Machine]:
    """List the machines that may be in use.

    Args:
      manager: State of the leader.
    Returns:
      All listed machines without those in drained data centres.
    """
    machines = manager.fleet.machines_by_name
    return [
        machine
        for machine in machines.values()
        if not is_machine_drained(manager, machine)
    ]


def are_drains_known(manager: ManagerState, at_ms: int) -> bool:
    """Check that the leader knows the drains well enough to start tasks.

    Args:
      manager: State of the leader.
      at_ms: Current time on the node's clock.
    Returns:
      False if a request may exist that has not been read in time.  The
      platform allows more time while its store is unstable.  Always True if
      the platform sets no limit.
    """
    if not manager.timing.drain_within_ms:
        return True
    cursor = manager.operator_cursor
    if cursor.known_until_ms < 0:
        return False
    limit_ms = _start_limit_ms(manager)
    if cursor.failed_ms >= 0:
        limit_ms += manager.timing.max_stretch_ms
    return at_ms < limit_ms


def limit_start_ms(
    manager: ManagerState, not_after_ms: int, at_ms: int
) -> int:
    """Limit the time until which a start order may be sent.

    The order may wait for a thread while a request to drain is read.

    Args:
      manager: State of the leader.
      not_after_ms: Time after which it must not be sent for other reasons.
      at_ms: Current time on the node's clock.
    Returns:
      The earlier one of that time and the limit for drains.
    """
    if not manager.timing.drain_within_ms:
        return not_after_ms
    limit_ms = _start_limit_ms(manager)
    if at_ms >= limit_ms:  # only allowed while the store is unstable
        limit_ms += manager.timing.max_stretch_ms
    return min(not_after_ms, limit_ms)


def _start_limit_ms(manager):
    """Compute until when tasks may be started while the store is stable.

    In normal operation the stream is read about each OPERATOR_WAIT_MS, so a
    shorter limit would stop all starts between two reads.
    """
    within_ms = manager.timing.drain_within_ms - DRAIN_ORDER_MARGIN_MS
    known_until_ms = manager.operator_cursor.known_until_ms
    return known_until_ms + max(within_ms, MANIFEST_MAX_AGE_MS)
