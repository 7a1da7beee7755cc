"""Simulated cloud API of job histories: lists and maintains machines.

Each address of a worker is a machine.  Maintenance terminates the worker, and
a worker with another identifier starts at the address afterwards.
"""

from dataclasses import dataclass

from bench.jobprocesses import ManagerProcess
from sesamehall.core.fleet import Machine
from sesamehall.core.fleet import MachineState
from sesamehall.core.managereffects import ListMachines
from sesamehall.core.managereffects import MaintainMachine
from sesamehall.core.managerevents import MachineAnswered
from sesamehall.core.managerevents import MachinesListed
from sesamehall.core.managerevents import MachinesNotListed

API_TIMEOUT_MS = 1_000
MAINTENANCE_MS = 2_000
LATE_RANGE_MS = (1_000, 4_000)  # delay of an order that is executed late
ACCEPTED = ""
UNAVAILABLE = "unavailable"


@dataclass(slots=True)
class SimulatedMachine:
    """A machine.

    Attributes:
      address: Address of its worker.
      in_maintenance: Whether it is in maintenance.
      maintained_wave: Latest wave for which it has been maintained.
      highest_epoch: Highest epoch of an order for it.
    """

    address: str
    in_maintenance: bool = False
    maintained_wave: int = 0
    highest_epoch: int = 0


class CloudApi:
    """Executes the calls of all managers to the cloud API."""

    def __init__(self, simulation):
        """Start without machines.

        Args:
          simulation: The JobSimulation, whose workers run on the machines.
        """
        self._simulation = simulation
        self._machines_by_name: dict[str, SimulatedMachine] = {}
        self._replaced_count = 0

    def add_machine(self, name: str, address: str) -> None:
        """Add the machine of a worker.

        Args:
          name: Name of the machine.
          address: Address of the worker.
        """
        self._machines_by_name[name] = SimulatedMachine(address)

    def list_machines(
        self, process: ManagerProcess, start_count: int, effect: ListMachines
    ) -> None:
        """List all machines.

        Args:
          process: The manager.
          start_count: Its start count when the call was requested.
          effect: The request.
        """
        sent_ms = self._simulation.clock_ms(process)

        def on_outcome(machines):
            self._simulation.deliver(
                process,
                lambda at_ms: (
                    MachinesNotListed(at_ms, UNAVAILABLE)
                    if machines is None
                    else MachinesListed(at_ms, sent_ms, machines)
                ),
                start_count,
            )

        self._call(self._build_list, on_outcome)

    def send_order(
        self,
        process: ManagerProcess,
        start_count: int,
        effect: MaintainMachine,
    ) -> None:
        """Order maintenance of a machine, unless the order has expired.

        Args:
          process: The manager.
          start_count: Its start count when the call was requested.
          effect: The order.
        """

        def on_outcome(reason):
            self._simulation.deliver(
                process,
                lambda at_ms: MachineAnswered(
                    at_ms,
                    effect.machine,
                    epoch=effect.epoch,
                    done=reason == ACCEPTED,
                    refused=reason not in (None, ACCEPTED),
                    reason=reason or UNAVAILABLE,
                ),
                start_count,
            )

        if self._simulation.clock_ms(process) >= effect.not_after_ms:
            on_outcome(None)
            return
        self._call(lambda: self._maintain(effect), on_outcome)

    def _call(self, execute, on_outcome):
        """Execute a call; its outcome is None on a timeout."""
        simulation = self._simulation
        delivery = simulation.draw_delivery()
        delay_ms = simulation.draw_delay_ms()
        if delivery == "answered":
            simulation.call_later(
                delay_ms,
                lambda: simulation.call_later(
                    simulation.draw_delay_ms(), on_outcome, execute()
                ),
            )
            return
        if delivery in ("response_lost", "duplicated"):
            simulation.call_later(delay_ms, execute)
        if delivery in ("late", "duplicated"):
            late_ms = simulation.random.randint(*LATE_RANGE_MS)
            simulation.call_later(late_ms, execute)
        simulation.call_later(API_TIMEOUT_MS, on_outcome, None)

    def _build_list(self):
        return tuple(
            self._describe(name, machine)
            for name, machine in self._machines_by_name.items()
        )

    def _describe(self, name, machine):
        worker = self._simulation.workers_by_address[machine.address]
        if machine.in_maintenance:
            return Machine(name, "a", MachineState.MAINTENANCE)
        if not worker.alive:
            return Machine(name, "a", MachineState.DOWN)
        return Machine(name, "a", MachineState.UP, worker.worker_id)

    def _maintain(self, effect):
        """Begin maintenance, and return the reason if the order is refused.

        An order that is carried out already is accepted again.
        """
        machine = self._machines_by_name[effect.machine]
        if effect.epoch < machine.highest_epoch:
            return "fence"
        machine.highest_epoch = effect.epoch
        if machine.maintained_wave == effect.wave:
            return ACCEPTED
        worker = self._simulation.workers_by_address[machine.address]
        if machine.in_maintenance or not worker.alive:
            return "busy"
        machine.in_maintenance = True
        machine.maintained_wave = effect.wave
        self._simulation.terminate_worker(machine.address)
        self._simulation.call_later(
            MAINTENANCE_MS, self._end_maintenance, machine
        )
        return ACCEPTED

    def _end_maintenance(self, machine):
        machine.in_maintenance = False
        self._replaced_count += 1
        self._simulation.add_worker(
            machine.address, f"maintained{self._replaced_count}"
        )
