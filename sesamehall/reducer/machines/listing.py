"""The list of machines, with those that a list lacks for a moment.

The platform returns its list in pages that are read one after the other, so a
list may lack a machine that is there. Such a machine is kept as it was listed
last; it is taken for gone once all lists of MACHINE_GONE_MS lack it.
"""

from immutables import Map

from sesamehall.core.fleet import Machine
from sesamehall.core.fleetstate import FleetState
from sesamehall.core.fleetstate import WaveProgress
from sesamehall.core.fleettiming import MACHINE_GONE_MS
from sesamehall.core.managerevents import MachinesListed
from sesamehall.core.manifest import Wave
from sesamehall.core.replacing import replace


def apply_list(fleet: FleetState, event: MachinesListed) -> FleetState:
    """Replace the list of machines by a newer one.

    Args:
      fleet: State of the fleet.
      event: The newer list.
    Returns:
      The state with the listed machines and those that may only be missing
      from this list.
    """
    listed_by_name = {machine.name: machine for machine in event.machines}
    missing_since = {
        name: fleet.missing_since_ms_by_machine.get(name, event.at_ms)
        for name in _expected_names(fleet)
        if name not in listed_by_name
    }
    kept = {
        name: fleet.machines_by_name[name]
        for name, since_ms in missing_since.items()
        if name in fleet.machines_by_name
        and event.at_ms - since_ms < MACHINE_GONE_MS
    }
    return replace(
        fleet,
        machines_by_name=Map(listed_by_name | kept),
        missing_since_ms_by_machine=Map(missing_since),
        listed_ms=event.at_ms,
        list_in_flight=False,
    )


def mark_unlisted_machines(
    fleet: FleetState, wave: Wave, at_ms: int
) -> FleetState:
    """Mark the machines of a new wave as missing that the last list lacks.

    Args:
      fleet: State of the fleet.
      wave: The wave, which is read now.
      at_ms: Current time on the node's clock.
    Returns:
      The state; unchanged before the first list, which then marks them.
    """
    if fleet.listed_ms < 0:
        return fleet
    missing_since = fleet.missing_since_ms_by_machine
    for name in wave.machines:
        if name not in fleet.machines_by_name and name not in missing_since:
            missing_since = missing_since.set(name, at_ms)
    return replace(fleet, missing_since_ms_by_machine=missing_since)


def is_missing(fleet: FleetState, machine: Machine) -> bool:
    """Check whether the newest list lacks a machine.

    Args:
      fleet: State of the fleet.
      machine: The machine.
    Returns:
      True for a machine that is kept as it was listed last.
    """
    return machine.name in fleet.missing_since_ms_by_machine


def lacks_wave_machine(
    fleet: FleetState, progress: WaveProgress, at_ms: int
) -> bool:
    """Check whether a machine of a wave may be there though no list has it.

    Args:
      fleet: State of the fleet.
      progress: The wave.
      at_ms: Current time on the node's clock.
    Returns:
      True while one is missing, but not for long enough to be taken for gone.
    """
    missing_since = fleet.missing_since_ms_by_machine
    return any(
        at_ms - missing_since[name] < MACHINE_GONE_MS
        for name in progress.wave.machines
        if name in missing_since
    )


def _expected_names(fleet: FleetState) -> set[str]:
    """Collect the machines that a list should have."""
    names = set(fleet.machines_by_name)
    for progress in fleet.waves_by_number.values():
        if not progress.completed:
            names.update(progress.wave.machines)
    return names
