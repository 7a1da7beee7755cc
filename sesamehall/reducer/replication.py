"""Replication: applies log entries from the platform or from a steward."""

from sesamehall.core.agreement import Agreed
from sesamehall.core.agreement import Verdict
from sesamehall.core.data import NodeKind
from sesamehall.core.effects import Effect
from sesamehall.core.effects import log
from sesamehall.core.logevents import RECORD_ACCEPTED
from sesamehall.core.logevents import RECORD_REFUSED
from sesamehall.core.logevents import RECORD_UNREADABLE
from sesamehall.core.records import EntryRenewed
from sesamehall.core.records import LogEntry
from sesamehall.core.records import RoleRenewed
from sesamehall.core.replacing import replace
from sesamehall.core.state import State
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.reducer.dispatching import dispatch_waiting
from sesamehall.reducer.jobcalls import answer_completed_calls
from sesamehall.reducer.membership import reconcile_membership
from sesamehall.reducer.proposals import drop_completed_proposals
from sesamehall.reducer.state_machine import apply_log_entry
from sesamehall.reducer.targets import refresh_targets


def apply_log_entries(
    state: State, log_entries: tuple[LogEntry, ...], at_ms: int
) -> Step:
    """Apply consecutive log entries, skipping those already applied.

    Args:
      state: State of the node.
      log_entries: Log entries in order.  An offset beyond the next one ends
        the processing, since nothing may be applied across a gap.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with the consequences of the new replicated state.
    """
    agreed = state.agreed
    lines = ()
    for log_entry in log_entries:
        if log_entry.offset < agreed.next_offset:
            continue
        if log_entry.offset > agreed.next_offset:
            break
        agreed, verdict = apply_log_entry(agreed, log_entry)
        lines += _log_verdict(log_entry, verdict)
    step = adopt_replicated_state(state, agreed, at_ms)
    return Step(step.state, lines + step.effects)


def adopt_replicated_state(state: State, agreed: Agreed, at_ms: int) -> Step:
    """Replace the node's replicated state by a newer one.

    Args:
      state: State of the node.
      agreed: Another replicated state; ignored if it is not newer.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with the consequences of the new replicated state.
    """
    if agreed.next_offset <= state.agreed.next_offset:
        return Step(state)
    before = state.agreed
    changed = drop_completed_proposals(
        replace(state, agreed=agreed), before.next_offset
    )
    if state.identity.node.kind is NodeKind.STEWARD:
        return Step(changed)
    if before.placements_by_instance is not agreed.placements_by_instance:
        changed = refresh_targets(changed)
    step = reconcile_membership(changed, at_ms)
    step = then(step, answer_completed_calls)
    return then(step, dispatch_waiting, at_ms)


def _log_verdict(log_entry: LogEntry, verdict: Verdict) -> tuple[Effect, ...]:
    """Build the log line of a verdict; renewals and repeats have none."""
    if log_entry.record is None:
        return (log(RECORD_UNREADABLE, offset=log_entry.offset),)
    body = log_entry.record.body
    if verdict is Verdict.REPEATED or isinstance(
        body, EntryRenewed | RoleRenewed
    ):
        return ()
    accepted = verdict is Verdict.ACCEPTED
    return (
        log(
            RECORD_ACCEPTED if accepted else RECORD_REFUSED,
            offset=log_entry.offset,
            kind=type(body).__name__,
            record=log_entry.record.record_id,
            verdict=verdict.value,
        ),
    )
