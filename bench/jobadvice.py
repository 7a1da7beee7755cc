"""Simulated advice service of job histories, which keeps to its contract.

It answers one request of a manager at a time, after a time that grows with the
number of workers named, and allows every step on every worker.
"""

from dataclasses import dataclass

from bench.jobprocesses import ManagerProcess
from bench.jobprocesses import NO_FAULTS
from sesamehall.core.managereffects import RequestAdvice
from sesamehall.core.managerevents import AdviceGiven
from sesamehall.core.managerevents import AdviceNotGiven

FAILURE_RATE = 0.1  # while there are faults


@dataclass(frozen=True, slots=True)
class AdviceTimes:
    """Times of the advice service.

    Attributes:
      decide_ms: Time that each answer takes.
      interval_ms: Time that it takes longer for each worker named.
      valid_ms: How long its tickets are valid.
    """

    decide_ms: int = 200
    interval_ms: int = 20
    valid_ms: int = 3_000


class AdviceService:
    """Answers the requests of managers and checks tickets for workers."""

    def __init__(self, simulation, times: AdviceTimes):
        """Create the service of a simulation.

        Args:
          simulation: The JobSimulation, which draws faults and delivers
            answers to managers.
          times: Its times.
        """
        self._simulation = simulation
        self._times = times
        self._valid_until_ms: dict[tuple[str, str, str], int] = {}
        self._free_at_ms: dict[str, float] = {}

    def request(
        self, process: ManagerProcess, start_count: int, effect: RequestAdvice
    ) -> None:
        """Answer a request, after those of the same manager before it.

        Args:
          process: The manager.
          start_count: Its start count when the call was requested.
          effect: The request.
        """
        simulation = self._simulation
        begins_ms = max(
            self._free_at_ms.get(process.name, 0), simulation.now_ms
        )
        took_ms = self._times.decide_ms + self._times.interval_ms * len(
            effect.worker_ids
        )
        self._free_at_ms[process.name] = begins_ms + took_ms
        simulation.call_later(
            begins_ms + took_ms - simulation.now_ms,
            self._answer,
            process,
            start_count,
            effect,
            simulation.clock_ms(process),
        )

    def _answer(self, process, start_count, effect, sent_ms):
        simulation = self._simulation
        faulty = simulation.fault_rates is not NO_FAULTS
        if faulty and simulation.random.random() < FAILURE_RATE:
            simulation.deliver(
                process,
                lambda at_ms: AdviceNotGiven(at_ms, effect.step, "status 500"),
                start_count,
            )
            return
        tickets = tuple(
            (worker_id, self._issue(effect.step, worker_id))
            for worker_id in effect.worker_ids
        )
        simulation.deliver(
            process,
            lambda at_ms: AdviceGiven(
                at_ms,
                sent_ms,
                effect.step,
                effect.worker_ids,
                tickets,
                self._times.valid_ms,
            ),
            start_count,
        )

    def _issue(self, step, worker_id):
        """Issue a ticket for the current incarnation of a worker."""
        ticket = f"t{len(self._valid_until_ms)}"
        until_ms = self._simulation.now_ms + self._times.valid_ms
        self._valid_until_ms[step, worker_id, ticket] = until_ms
        return ticket

    def is_valid(self, task: str, worker_id: str, ticket: str) -> bool:
        """Check the ticket of a start order.

        Args:
          task: The task.
          worker_id: The worker that received the order.
          ticket: The ticket.
        Returns:
          True if it was issued for the task's step and the worker, and is
          still valid.
        """
        key = (task.rpartition(".")[0], worker_id, ticket)
        until_ms = self._valid_until_ms.get(key, -1)
        return self._simulation.now_ms < until_ms
