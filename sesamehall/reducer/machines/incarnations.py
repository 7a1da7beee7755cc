"""Workers of the manager that the list of machines shows to have ended.

A worker is one incarnation of a machine. The tasks of a silent worker normally
wait until its lease has certainly expired. If the list shows that its machine
has another incarnation by now, or is between two, the silent one has ended and
nothing runs on it, so its tasks can be rerun immediately. A machine that a
list lacks shows nothing.
"""

from sesamehall.core.fleet import Machine
from sesamehall.core.fleet import MachineState
from sesamehall.core.managerevents import MachinesListed
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.workstate import Worker
from sesamehall.reducer.jobs.leases import is_term_confirmed
from sesamehall.reducer.jobs.worker_machines import machine_names

NEW_INCARNATION_LISTED_MS = 1_000  # delay until a new one is listed
RESTARTING_STATES = (MachineState.MOVING, MachineState.MAINTENANCE)


def ended_incarnations(
    manager: ManagerState, event: MachinesListed
) -> list[str]:
    """Find the silent workers that have certainly ended.

    Args:
      manager: State of a manager that holds the previous list.
      event: The new list of machines.
    Returns:
      Sorted worker identifiers; empty while a machine is down, since its
      worker may be cut off from the network and still run, and while the term
      is not confirmed, since a successor may have ended the worker after it
      stored what was done there.
    """
    if not manager.term.epoch or manager.manifest is None:
        return []
    if not is_term_confirmed(manager, event.at_ms):
        return []
    if event.sent_ms < manager.term.began_ms:
        return []
    alive = {machine.worker_id for machine in event.machines}
    listed = {machine.name for machine in event.machines}
    term_ms = event.sent_ms - manager.term.began_ms
    uses_inherited = term_ms >= NEW_INCARNATION_LISTED_MS
    names = machine_names(manager, uses_inherited)
    all_known = all(
        _is_incarnation_known(manager, machine) for machine in event.machines
    )
    if not all_known:
        return []
    return [
        worker_id
        for worker_id, worker in sorted(manager.workers_by_id.items())
        if names.get(worker_id) in listed
        and worker_id not in alive
        and _is_silent(worker)
    ]


def _is_incarnation_known(manager: ManagerState, machine: Machine) -> bool:
    """Check whether a machine's incarnation is known, or known not to exist.

    Machines on standby are switched off and have none.
    """
    if machine.worker_id or machine.state in RESTARTING_STATES:
        return True
    pool = manager.manifest.pools_by_name.get(machine.pool)
    up = machine.state is MachineState.UP
    return up and pool is not None and pool.standby


def _is_silent(worker: Worker) -> bool:
    """Check whether a worker that may have runs does not answer."""
    return (
        worker.lease_recorded
        and not worker.terminated
        and worker.unanswered_watches > 0
    )
