"""Answers: what the end of an attempt means for caller, team and target."""

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
from sesamehall.reducer.dispatching import dispatch_after_release
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
    """Handle the end of an attempt.

    The end of an attempt that is not the current one is ignored.

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
            step = _complete_request(state, ticket, status, event.at_ms)
        case TooLate():
            step = _release_and_requeue(state, ticket, (), event.at_ms)
            if event.at_ms >= ticket.request.deadline_ms:
                step = then(step, _refuse_expired, ticket, event.at_ms)
        case Declined():
            step = pause_full_target(state, ticket.target, event.at_ms)
            step = then(step, _release_and_requeue, ticket, (), event.at_ms)
        case NotSent(reason):
            step = record_failure(state, ticket.target, reason, event.at_ms)
            step = then(step, _retry_unsent, ticket, event.at_ms)
        case Broken(reason, timed_out):
            step = record_failure(state, ticket.target, reason, event.at_ms)
            step = then(
                step, _handle_broken_attempt, ticket, timed_out, event.at_ms
            )
    return then(step, _use_freed_capacity, ticket, event.at_ms)


def expire_request(state: State, event: DeadlinePassed | CallerGone) -> Step:
    """Answer a request whose deadline has passed or whose caller has left.

    A request that a target is running is answered when its attempt ends.

    Args:
      state: State of the entry.
      event: The passed deadline, or the caller that has disconnected.
    Returns:
      A Step with the refusal, or without effects while an attempt runs.
    """
    ticket = state.entry.tickets_by_request_id.get(event.request_id)
    if ticket is None:
        return end_ballot(state, event.request_id, DEADLINE_PASSED)
    if ticket.target:
        return Step(state)
    return _refuse_expired(state, ticket, event.at_ms)


def end_linger(state: State, attempt: str, at_ms: int) -> Step:
    """Release the slot and place charged to an attempt of unknown outcome.

    Args:
      state: State of the entry.
      attempt: Name of the attempt.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with the dispatches that the release allows.
    """
    ticket = state.entry.lingering_by_attempt.get(attempt)
    if ticket is None:
        return Step(state)
    lingering = state.entry.lingering_by_attempt.delete(attempt)
    entry = replace(state.entry, lingering_by_attempt=lingering)
    step = _release(replace(state, entry=entry), ticket, at_ms)
    return then(step, _use_freed_capacity, ticket, at_ms)


def _use_freed_capacity(state, ticket, at_ms):
    """Dispatch or lend the slot and place that may have become free."""
    team = ticket.team
    step = rebalance_units(state, team)
    step = then(step, dispatch_after_release, team, ticket.target, at_ms)
    return then(step, lend_requested_units, team)


def _refuse_expired(state, ticket, at_ms):
    """Refuse a waiting request whose caller no longer waits."""
    request_id = ticket.request.request_id
    waiting = state.entry.tickets_by_request_id[request_id]
    entry = remove_request(state.entry, waiting)
    detail = f"waited {at_ms - ticket.received_ms} ms"
    step = _release_unused_claim(replace(state, entry=entry), waiting)
    return then(step, refuse, request_id, DEADLINE_PASSED, detail)


def _release_unused_claim(state, ticket):
    """Release the claim of the caller's id unless an attempt may have run."""
    prefix = f"{ticket.request.request_id}#"
    for attempt in state.entry.lingering_by_attempt:
        if attempt.startswith(prefix):
            return Step(state)
    return release_claim(state, ticket)


def _complete_request(state, ticket, status, at_ms):
    """Forward a complete response to the caller."""
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


def _release_and_requeue(state, ticket, tried, at_ms):
    """Requeue a request that certainly did not run."""
    step = _release(state, ticket, at_ms)
    return then(step, _requeue_ticket, ticket, tried)


def _requeue_ticket(state, ticket, tried):
    """Return a request to the head of its queue for another attempt."""
    waiting = replace(ticket, target="", tried=ticket.tried + tried)
    entry = requeue(state.entry, waiting)
    line = log(
        REQUEST_RETRIED,
        request=ticket.request.request_id,
        target=ticket.target,
        attempt=ticket.attempt,
    )
    return Step(replace(state, entry=entry), (line,))


def _retry_unsent(state, ticket, at_ms):
    """Retry on another target, as no byte of the request was sent."""
    if ticket.attempt < MAX_ATTEMPTS:
        return _release_and_requeue(state, ticket, (ticket.target,), at_ms)
    step = _release(state, ticket, at_ms)
    entry = remove_request(step.state.entry, ticket)
    step = Step(replace(step.state, entry=entry), step.effects)
    step = then(step, _release_unused_claim, ticket)
    detail = f"{ticket.attempt} attempts"
    request_id = ticket.request.request_id
    return then(step, refuse, request_id, TARGETS_UNREACHABLE, detail)


def _handle_broken_attempt(state, ticket, timed_out, at_ms):
    """Retry an idempotent request, or reply that the outcome is unknown."""
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
        return _reply_outcome_unknown(state, ticket, code, at_ms)
    budget = entry.retry_budget_milli - RETRY_COST_MILLI
    spent = replace(entry, retry_budget_milli=budget)
    step = _start_linger(replace(state, entry=spent), ticket, at_ms)
    return then(step, _requeue_ticket, ticket, (ticket.target,))


def _start_linger(state, ticket, at_ms):
    """Keep the charge of an attempt that the target may still be running."""
    name = f"{ticket.request.request_id}#{ticket.attempt}"
    lingering = state.entry.lingering_by_attempt.set(name, ticket)
    entry = replace(state.entry, lingering_by_attempt=lingering)
    ends_ms = max(at_ms, ticket.request.deadline_ms) + LINGER_MS
    timer = SetTimer(LingerTimer(name), ends_ms)
    return Step(replace(state, entry=entry), (timer,))


def _reply_outcome_unknown(
    state: State, ticket: Ticket, code: ResultCode, at_ms
):
    """Reply that the outcome is unknown; keep the charge for a while."""
    request_id = ticket.request.request_id
    step = _start_linger(state, ticket, at_ms)
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
    """Remove a request from the counts of its team and its target."""
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
