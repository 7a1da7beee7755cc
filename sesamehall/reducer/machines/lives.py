"""Lives of workers that the list of machines shows to be over.

A worker is one life of a machine.  When a worker is silent, its tasks wait
until its lease is certainly over; but where each machine has another life by
now, or is between two, the silent one has ended, and nothing runs on it.
"""

from sesamehall.core.fleet import Machine
from sesamehall.core.fleet import MachineState
from sesamehall.core.managerevents import MachinesListed
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.workstate import Worker

NEW_LIFE_MS = 1_000  # a life that has begun is listed within this
BETWEEN_LIVES = (MachineState.MOVING, MachineState.MAINTENANCE)


def ended_lives(manager: ManagerState, event: MachinesListed) -> list[str]:
    """Find the silent workers whose life is certainly over.

    Args:
      manager: State of a manager, with the list before this one.
      event: The list of machines.
    Returns:
      Identifiers of workers, in order; none while a machine is down, since
      its life may be cut off and go on.
    """
    if not manager.term.epoch or manager.manifest is None:
        return []
    if event.sent_ms < manager.term.began_ms:
        return []
    alive = {machine.worker_id for machine in event.machines}
    machines = manager.fleet.machines_by_name.values()
    were_alive = {machine.worker_id for machine in machines}
    if event.sent_ms - manager.term.began_ms >= NEW_LIFE_MS:
        were_alive.update(_inherited(manager))
    accounted = all(
        _is_accounted(manager, machine) for machine in event.machines
    )
    if not accounted or not event.machines:
        return []
    return [
        worker_id
        for worker_id, worker in sorted(manager.workers_by_id.items())
        if worker_id in were_alive
        and worker_id not in alive
        and _is_silent(worker)
    ]


def _is_accounted(manager: ManagerState, machine: Machine) -> bool:
    """Tell whether it is known which life a machine has, or that it has none.

    Machines on standby are switched off.
    """
    if machine.worker_id or machine.state in BETWEEN_LIVES:
        return True
    pool = manager.manifest.pools_by_name.get(machine.pool)
    up = machine.state is MachineState.UP
    return up and pool is not None and pool.standby


def _inherited(manager: ManagerState) -> list[str]:
    """List the workers on which an earlier leader may have started runs."""
    return [
        worker_id
        for worker_id, worker in manager.workers_by_id.items()
        if worker.inherited
    ]


def _is_silent(worker: Worker) -> bool:
    return (
        worker.lease_recorded
        and not worker.terminated
        and worker.unanswered_watches > 0
    )
