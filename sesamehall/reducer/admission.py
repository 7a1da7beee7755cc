"""Admission: whether a request is admitted, and the team it is charged to."""

from dataclasses import dataclass
from hmac import compare_digest

from sesamehall.core.codes import KEY_MISSING
from sesamehall.core.codes import KEY_REFUSED
from sesamehall.core.codes import KEYS_UNVERIFIABLE
from sesamehall.core.codes import NO_LIMIT
from sesamehall.core.codes import NO_SUCH_SERVICE
from sesamehall.core.codes import NOT_ADMITTED
from sesamehall.core.codes import NOT_READY
from sesamehall.core.codes import QUEUE_FULL
from sesamehall.core.codes import ResultCode
from sesamehall.core.codes import STOPPING
from sesamehall.core.data import PresentedKey
from sesamehall.core.data import Request
from sesamehall.core.events import RequestReceived
from sesamehall.core.limits import REQUEST_MAX_MS
from sesamehall.core.replacing import replace
from sesamehall.core.state import Phase
from sesamehall.core.state import State
from sesamehall.core.state import Ticket
from sesamehall.core.step import Step
from sesamehall.reducer.claims import needs_claim
from sesamehall.reducer.claims import start_ballot
from sesamehall.reducer.dispatching import dispatch_services
from sesamehall.reducer.freshness import can_verify_keys
from sesamehall.reducer.queues import enqueue
from sesamehall.reducer.refusals import refuse

# Compared if the key id is unknown, so that the check takes equal time.
ABSENT_DIGEST = bytes(32)


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request is admitted.

    Attributes:
      team: Team that it is charged to.
    """

    team: str


@dataclass(frozen=True, slots=True)
class Refused:
    """The request is refused; no part of it was run.

    Attributes:
      code: Result code with the reason.
      detail: Details of the reason.
    """

    code: ResultCode
    detail: str


Admission = Admitted | Refused


def receive_request(state: State, event: RequestReceived) -> Step:
    """Queue a request, or refuse it.

    Args:
      state: State of the entry.
      event: The request.
    Returns:
      A Step that dispatches, queues or refuses the request, or that starts a
      vote on the caller's request id.
    """
    request = _limit_deadline(event.request, event.at_ms)
    match admit(state, request, event.at_ms):
        case Refused(code, detail):
            return refuse(state, request.request_id, code, detail)
        case Admitted(team):
            ticket = Ticket(request, team, event.at_ms)
            if needs_claim(request):
                return start_ballot(state, ticket, event.at_ms)
            queued = enqueue(state, ticket)
            return dispatch_services(queued, (request.service,), event.at_ms)


def admit(state: State, request: Request, at_ms: int) -> Admission:
    """Decide whether a request is admitted, and which team it is charged to.

    Args:
      state: State of the entry.
      request: The request.
      at_ms: Current time on the node's clock.
    Returns:
      Admitted with the team, or Refused with the code.
    """
    refusal = _check_phase(state)
    if refusal is not None:
        return refusal
    service = state.agreed.services_by_name.get(request.service)
    if service is None:
        return Refused(NO_SUCH_SERVICE, request.service)
    if request.key is None and service.open_to is not None:
        return _check_queue(state, service.open_to)
    owner = identify_team(state, request.key, at_ms)
    match owner:
        case Refused():
            return owner
        case Admitted(team):
            plan = state.agreed.plans_by_team.get(team)
            if plan is None or service.name not in plan.services:
                return Refused(NOT_ADMITTED, f"{team} to {service.name}")
            return _check_queue(state, team)


def identify_team(
    state: State, key: PresentedKey | None, at_ms: int
) -> Admission:
    """Find the team that a key belongs to.

    Args:
      state: State of the entry.
      key: The presented key, or None.
      at_ms: Current time on the node's clock.
    Returns:
      Admitted with the team, or Refused with the code.
    """
    if key is None:
        return Refused(KEY_MISSING, "no key shown")
    stored_key = state.agreed.keys_by_id.get(key.key_id)
    digest = ABSENT_DIGEST if stored_key is None else stored_key.digest
    matches = compare_digest(digest, key.digest)
    if stored_key is None or not matches:
        return Refused(KEY_REFUSED, "not in force")
    if not can_verify_keys(state, at_ms):
        return Refused(KEYS_UNVERIFIABLE, "the log's end is not known")
    return Admitted(stored_key.team)


def _check_phase(state):
    """Refuse all requests while the entry is stopping or not ready."""
    if state.phase is not Phase.SERVING:
        return Refused(STOPPING, state.identity.node.name)
    if state.agreed.next_offset == 0:
        return Refused(NOT_READY, "nothing of the log is known yet")
    return None


def _check_queue(state, team):
    """Refuse a team that has no limit or whose queue is full."""
    if team not in state.agreed.limits_by_team:
        return Refused(NO_LIMIT, team)
    waiting = state.entry.waiting_by_team.get(team, 0)
    if waiting >= state.identity.queue_limit:
        return Refused(QUEUE_FULL, f"{waiting} of {team} are waiting")
    return Admitted(team)


def _limit_deadline(request, at_ms):
    """Cap a deadline; units of a lost entry are reclaimed only after it."""
    latest = at_ms + REQUEST_MAX_MS
    if request.deadline_ms <= latest:
        return request
    return replace(request, deadline_ms=latest)
