"""What becomes of a call after a peer answered it or forwarding failed."""

from sesamehall.core.calls import Rejected
from sesamehall.core.effects import log
from sesamehall.core.logevents import PEER_ANSWERED
from sesamehall.core.logevents import PEER_FAILED
from sesamehall.core.managerstate import CallStage
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.managerstate import WaitingCall
from sesamehall.core.peercalls import PeerAnswered
from sesamehall.core.peercalls import PeerOutcome
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.reducer.jobs.calls import answer_call
from sesamehall.reducer.jobs.calls import reject_call
from sesamehall.reducer.jobs.calls import RETRY_AFTER_S
from sesamehall.reducer.jobs.calls import serve_call
from sesamehall.reducer.jobs.peer_calls import forward_call
from sesamehall.reducer.jobs.peer_calls import is_conclusive
from sesamehall.reducer.jobs.peer_calls import is_inability
from sesamehall.reducer.jobs.peer_calls import is_turned_away
from sesamehall.reducer.jobs.peer_calls import is_write
from sesamehall.reducer.jobs.peer_calls import record_peer_outcome


def forward_late_calls(manager: ManagerState, at_ms: int) -> Step:
    """Forward the calls whose write or read the store seems not to answer.

    Args:
      manager: State of a manager.
      at_ms: Current time on the node's clock.
    Returns:
      A Step, without effects unless the store turns this node away.
    """
    step = Step(manager)
    if not is_turned_away(manager, at_ms):
        return step
    for _, waiting in sorted(manager.calls_by_id.items()):
        if not waiting.peers.current:
            step = then(step, _forward_if_possible, waiting, at_ms)
    return step


def _forward_if_possible(manager, waiting, at_ms):
    return forward_call(manager, waiting, at_ms) or Step(manager)


def handle_peer_answer(manager: ManagerState, event: PeerAnswered) -> Step:
    """Pass a peer's answer on, or try another peer.

    Args:
      manager: State of a manager.
      event: The answer, or why there is none.
    Returns:
      A Step.
    """
    manager = record_peer_outcome(manager, event)
    waiting = manager.calls_by_id.get(event.call_id)
    step = Step(manager, (_outcome_line(waiting, event),))
    if waiting is None or waiting.peers.current != event.peer:
        return step
    peers = replace(waiting.peers, current="")
    waiting = replace(
        waiting, peers=peers, may_be_stored=_may_be_stored(waiting, event)
    )
    calls = manager.calls_by_id.set(event.call_id, waiting)
    step = Step(replace(manager, calls_by_id=calls), step.effects)
    if is_conclusive(event.answer):
        return then(step, _pass_on, waiting, event)
    return then(step, _continue_without_answer, waiting, event.at_ms)


def _outcome_line(waiting, event):
    details = {
        "call": event.call_id,
        "job": "" if waiting is None else waiting.job_id,
        "peer": event.peer,
        "took_ms": (
            -1 if waiting is None else event.at_ms - waiting.call.at_ms
        ),
    }
    match event:
        case PeerAnswered(answer=None):
            outcome = event.outcome.value
            reason = event.reason
            return log(PEER_FAILED, outcome=outcome, reason=reason, **details)
        case PeerAnswered(answer=Rejected(code)):
            return log(PEER_ANSWERED, answer=code.name, **details)
    answer = type(event.answer).__name__
    return log(PEER_ANSWERED, answer=answer, **details)


def _may_be_stored(waiting: WaitingCall, event: PeerAnswered) -> bool:
    """Check whether a record may be stored that nobody has confirmed.

    The peer may have stored it although its answer was lost.  If the peer
    rejects the call, this node's own write may still be in flight.
    """
    if waiting.may_be_stored:
        return True
    if waiting.stage not in (CallStage.STORING, CallStage.FORWARDED):
        return False  # the call stores nothing, or its record is stored
    if not is_write(waiting.call) or is_inability(event.answer):
        return False
    if is_conclusive(event.answer):
        return waiting.stage is CallStage.STORING
    return event.outcome is not PeerOutcome.NOT_SENT


def _pass_on(manager, waiting, event):
    """Answer the caller as the peer did."""
    call, job_id, at_ms = waiting.call, waiting.job_id, event.at_ms
    match event.answer:
        case Rejected(code, retry_after_s):
            return reject_call(
                manager, call, code, job_id, at_ms, retry_after_s
            )
    return answer_call(manager, call, event.answer, job_id, at_ms)


def _continue_without_answer(manager, waiting, at_ms):
    """Forward a call to another peer; without one, serve or reject it."""
    step = forward_call(manager, waiting, at_ms)
    if step is not None:
        return step
    if waiting.stage is not CallStage.FORWARDED:
        return Step(manager)  # it still waits for this node's own attempt
    if waiting.own_failure is None:
        return serve_call(manager, waiting, at_ms)
    return reject_call(
        manager,
        waiting.call,
        waiting.own_failure,
        waiting.job_id,
        at_ms,
        RETRY_AFTER_S,
    )
