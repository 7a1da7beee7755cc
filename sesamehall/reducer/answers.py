"""Answers: what a finished attempt means for caller, team and target."""

from sesamehall.core.codes import ANSWER_LOST
from sesamehall.core.codes import DEADLINE_PASSED
from sesamehall.core.codes import ResultCode
from sesamehall.core.codes import TARGET_TIMED_OUT
from sesamehall.core.codes import TARGETS_UNREACHABLE
from sesamehall.core.effects import Forward
from sesamehall.core.effects import log
from sesamehall.core.effects import Reply
from sesamehall.core.effects import SetTimer
from sesamehall.core.events import Broken
from sesamehall.core.events import CallerGone
from sesamehall.core.events import Completed
from sesamehall.core.events import DeadlinePassed
from sesamehall.core.events import Declined
from sesamehall.core.events import NotSent
from sesamehall.core.events import TargetAnswered
from sesamehall.core.events import TooLate
from sesamehall.core.limits import LINGER_MS
from sesamehall.core.limits import MAX_ATTEMPTS
from sesamehall.core.limits import RETRY_BUDGET_MAX_MILLI
from sesamehall.core.limits import RETRY_COST_MILLI
from sesamehall.core.limits import RETRY_EARN_MILLI
from sesamehall.core.logevents import REQUEST_ANSWERED
from sesamehall.core.logevents import REQUEST_OUTCOME_UNKNOWN
from sesamehall.core.logevents import REQUEST_RETRIED
from sesamehall.core.replacing import replace
from sesamehall.core.state import EntryState
from sesamehall.core.state import State
from sesamehall.core.state import Ticket
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.core.timers import LingerTimer
from sesamehall.reducer.claims import end_ballot
from sesamehall.reducer.claims import release_claim
from sesamehall.reducer.counts import add_count
from sesamehall.reducer.dispatching import dispatch_freed
from sesamehall.reducer.health import pause_full_target
from sesamehall.reducer.health import record_failure
from sesamehall.reducer.health import record_success
from sesamehall.reducer.lending import lend_requested_units
from sesamehall.reducer.lending import rebalance_units
from sesamehall.reducer.load import record_load_change
from sesamehall.reducer.queues import remove_request
from sesamehall.reducer.queues import requeue
from sesamehall.reducer.refusals import refuse


def finish_attempt(state: State, event: TargetAnswered) -> Step:
    """Decide what follows from the end of an attempt.

    An answer to an attempt that is not the current one changes nothing.

    Args:
      state: State of the entry.
      event: The end of the attempt.
    Returns:
      A Step with the caller's answer or another attempt.
    """
    ticket = state.entry.tickets_by_request_id.get(event.request_id)
    if ticket is None or not ticket.target:
        return Step(state)
    if ticket.attempt != event.attempt:
        return Step(state)
    match event.outcome:
        case Completed(status):
            step = _complete(state, ticket, status, event.at_ms)
        case TooLate():
            step = _put_back(state, ticket, (), event.at_ms)
            if event.at_ms >= ticket.request.deadline_ms:
                step = then(step, _give_up, ticket, event.at_ms)
        case Declined():
            step = pause_full_target(state, ticket.target, event.at_ms)
            step = then(step, _put_back, ticket, (), event.at_ms)
        case NotSent(reason):
            step = record_failure(state, ticket.target, reason, event.at_ms)
            step = then(step, _try_another, ticket, event.at_ms)
        case Broken(reason, timed_out):
            step = record_failure(state, ticket.target, reason, event.at_ms)
            step = then(step, _break_off, ticket, timed_out, event.at_ms)
    return then(step, _use_place, ticket, event.at_ms)


def expire_request(state: State, event: DeadlinePassed | CallerGone) -> Step:
    """Answer a request whose caller waits no longer, if it still waits.

    One that a target runs is answered when its attempt ends.

    Args:
      state: State of the entry.
      event: The end of the caller's time, or the caller that has gone.
    Returns:
      A Step with the refusal, or none.
    """
    ticket = state.entry.tickets_by_request_id.get(event.request_id)
    if ticket is None:
        return end_ballot(state, event.request_id, DEADLINE_PASSED)
    if ticket.target:
        return Step(state)
    return _give_up(state, ticket, event.at_ms)


def end_linger(state: State, attempt: str, at_ms: int) -> Step:
    """Free what an attempt of unknown outcome may have used until now.

    Args:
      state: State of the entry.
      attempt: Name of the attempt.
      at_ms: The node's clock.
    Returns:
      A Step that uses the freed slot and place.
    """
    ticket = state.entry.lingering_by_attempt.get(attempt)
    if ticket is None:
        return Step(state)
    lingering = state.entry.lingering_by_attempt.delete(attempt)
    entry = replace(state.entry, lingering_by_attempt=lingering)
    step = _release(replace(state, entry=entry), ticket, at_ms)
    return then(step, _use_place, ticket, at_ms)


def _use_place(state, ticket, at_ms):
    """Use a slot and a place that may have become free."""
    team = ticket.team
    step = rebalance_units(state, team)
    step = then(step, dispatch_freed, team, ticket.target, at_ms)
    return then(step, lend_requested_units, team)


def _give_up(state, ticket, at_ms):
    """Refuse a request that waited until its caller's time was over."""
    request_id = ticket.request.request_id
    waiting = state.entry.tickets_by_request_id[request_id]
    entry = remove_request(state.entry, waiting)
    detail = f"waited {at_ms - ticket.received_ms} ms"
    step = _release_unless_begun(replace(state, entry=entry), waiting)
    return then(step, refuse, request_id, DEADLINE_PASSED, detail)


def _release_unless_begun(state, ticket):
    """Give a caller's id back when no attempt can have run."""
    prefix = f"{ticket.request.request_id}#"
    for attempt in state.entry.lingering_by_attempt:
        if attempt.startswith(prefix):
            return Step(state)
    return release_claim(state, ticket)


def _complete(state, ticket, status, at_ms):
    """Forward a whole answer."""
    step = _release(state, ticket, at_ms)
    step = then(step, record_success, ticket.target)
    entry = remove_request(step.state.entry, ticket)
    budget = entry.retry_budget_milli + RETRY_EARN_MILLI
    entry = replace(
        entry, retry_budget_milli=min(budget, RETRY_BUDGET_MAX_MILLI)
    )
    line = log(
        REQUEST_ANSWERED,
        request=ticket.request.request_id,
        target=ticket.target,
        status=status,
        took_ms=at_ms - ticket.received_ms,
    )
    effects = (Forward(ticket.request.request_id), line)
    return Step(replace(step.state, entry=entry), step.effects + effects)


def _put_back(state, ticket, tried, at_ms):
    """Let a request that certainly did not run wait again."""
    step = _release(state, ticket, at_ms)
    return then(step, _wait_again, ticket, tried)


def _wait_again(state, ticket, tried):
    """Put a request to the head of its line for another attempt."""
    waiting = replace(ticket, target="", tried=ticket.tried + tried)
    entry = requeue(state.entry, waiting)
    line = log(
        REQUEST_RETRIED,
        request=ticket.request.request_id,
        target=ticket.target,
        attempt=ticket.attempt,
    )
    return Step(replace(state, entry=entry), (line,))


def _try_another(state, ticket, at_ms):
    """Try another target after one that got no byte of the request."""
    if ticket.attempt < MAX_ATTEMPTS:
        return _put_back(state, ticket, (ticket.target,), at_ms)
    step = _release(state, ticket, at_ms)
    entry = remove_request(step.state.entry, ticket)
    step = Step(replace(step.state, entry=entry), step.effects)
    step = then(step, _release_unless_begun, ticket)
    detail = f"{ticket.attempt} attempts"
    request_id = ticket.request.request_id
    return then(step, refuse, request_id, TARGETS_UNREACHABLE, detail)


def _break_off(state, ticket, timed_out, at_ms):
    """Retry an idempotent request, or say that nobody can tell."""
    entry = state.entry
    may_retry = (
        ticket.request.idempotent
        and not timed_out
        and at_ms < ticket.request.deadline_ms
        and ticket.attempt < MAX_ATTEMPTS
        and entry.retry_budget_milli >= RETRY_COST_MILLI
    )
    code = TARGET_TIMED_OUT if timed_out else ANSWER_LOST
    if not may_retry:
        return _answer_unknown(state, ticket, code, at_ms)
    budget = entry.retry_budget_milli - RETRY_COST_MILLI
    spent = replace(entry, retry_budget_milli=budget)
    step = _linger(replace(state, entry=spent), ticket, at_ms)
    return then(step, _wait_again, ticket, (ticket.target,))


def _linger(state, ticket, at_ms):
    """Keep the charge of an attempt that the target may still run."""
    name = f"{ticket.request.request_id}#{ticket.attempt}"
    lingering = state.entry.lingering_by_attempt.set(name, ticket)
    entry = replace(state.entry, lingering_by_attempt=lingering)
    ends_ms = max(at_ms, ticket.request.deadline_ms) + LINGER_MS
    timer = SetTimer(LingerTimer(name), ends_ms)
    return Step(replace(state, entry=entry), (timer,))


def _answer_unknown(state: State, ticket: Ticket, code: ResultCode, at_ms):
    """Answer that the outcome is unknown; keep the charge for a while."""
    request_id = ticket.request.request_id
    step = _linger(state, ticket, at_ms)
    entry = remove_request(step.state.entry, ticket)
    line = log(
        REQUEST_OUTCOME_UNKNOWN,
        request=request_id,
        target=ticket.target,
        code=code.number,
    )
    reply = Reply(request_id, code, ticket.target)
    return Step(replace(step.state, entry=entry), step.effects + (reply, line))


def _release(state: State, ticket: Ticket, at_ms: int) -> Step:
    """Take a request off the counts of its team and its target."""
    entry: EntryState = state.entry
    released = replace(
        entry,
        running_by_team=add_count(entry.running_by_team, ticket.team, -1),
        running_by_target=add_count(
            entry.running_by_target, ticket.target, -1
        ),
    )
    return record_load_change(
        replace(state, entry=released), ticket.team, ticket.target, at_ms
    )
