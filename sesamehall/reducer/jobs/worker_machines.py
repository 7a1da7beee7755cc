"""The machines that the manager's workers run on."""

from sesamehall.core.managerstate import ManagerState


def machine_names(
    manager: ManagerState, uses_inherited: bool = True
) -> dict[str, str]:
    """Map workers to the names of their machines.

    Args:
      manager: State of the leader.
      uses_inherited: Whether to include workers that are only known by the
        record of an earlier leader.
    Returns:
      The names, of workers that were listed or are stored with their machine.
    """
    stored = {
        worker_id: leased.machine
        for worker_id, leased in manager.leased_workers_by_id.items()
        if leased.machine
        and worker_id in manager.workers_by_id
        and (uses_inherited or not manager.workers_by_id[worker_id].inherited)
    }
    machines = manager.fleet.machines_by_name.values()
    listed = {machine.worker_id: machine.name for machine in machines}
    return stored | listed
