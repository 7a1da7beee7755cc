"""The leader's view of the advice service: tickets, and who asked last."""

from dataclasses import dataclass

from immutables import Map

from sesamehall.core.data import EMPTY_MAP


@dataclass(frozen=True, slots=True)
class WorkerAdvice:
    """The advice service's answer for a step and a worker.

    Attributes:
      ticket: Ticket that a start order must carry, or "" if the step must not
        run on the worker.
      started_wall_ms: Start time of the worker incarnation that it applies
        to.
      expires_ms: Time until which the ticket is valid.
    """

    ticket: str
    started_wall_ms: int
    expires_ms: int


@dataclass(frozen=True, slots=True)
class StepAdvice:
    """What is known about the advice for one step.

    Attributes:
      advice_by_worker_id: The service's answers.
      requested_ms: Time of the latest request, or -1 before the first.
      failures: Number of requests that failed since the latest answer.
    """

    advice_by_worker_id: Map[str, WorkerAdvice] = EMPTY_MAP
    requested_ms: int = -1
    failures: int = 0


@dataclass(frozen=True, slots=True)
class AdviceState:
    """Requests to the advice service and its answers.

    Attributes:
      in_flight_step: Step that a request is in flight for, or "".
      request_count: Number of requests in this term.
      advice_by_step: What is known, by name of the step.
      requested_ms_by_team: Time of the latest request for a step of a team.
    """

    in_flight_step: str = ""
    request_count: int = 0
    advice_by_step: Map[str, StepAdvice] = EMPTY_MAP
    requested_ms_by_team: Map[str, int] = EMPTY_MAP
