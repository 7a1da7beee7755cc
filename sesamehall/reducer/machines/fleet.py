"""The fleet's machines: lists, moves and maintenance."""

from sesamehall.core.managerevents import MachineAnswered
from sesamehall.core.managerevents import MachinesListed
from sesamehall.core.managerevents import MachinesNotListed
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.step import Step


def review_fleet(manager: ManagerState, at_ms: int) -> Step:
    """Stub."""
    return Step(manager)


def take_machines(manager: ManagerState, event: MachinesListed) -> Step:
    """Stub."""
    return Step(manager)


def take_no_machines(manager: ManagerState, event: MachinesNotListed) -> Step:
    """Stub."""
    return Step(manager)


def take_machine_answer(manager: ManagerState, event: MachineAnswered) -> Step:
    """Stub."""
    return Step(manager)
