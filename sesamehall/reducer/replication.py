"""Following the log: from the platform, or from a steward's stream."""

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
from sesamehall.reducer.state_machine import apply_entry
from sesamehall.reducer.targets import refresh_targets


def apply_entries(
    state: State, entries: tuple[LogEntry, ...], at_ms: int
) -> Step:
    """Apply a piece of the log; entries applied earlier are skipped.

    Args:
      state: State of the node.
      entries: Entries in order.  One beyond the next offset ends the
        piece: nothing is applied across a gap.
      at_ms: The node's clock.
    Returns:
      A Step with what follows from the new agreed state.
    """
    agreed = state.agreed
    lines = ()
    for entry in entries:
        if entry.offset < agreed.next_offset:
            continue
        if entry.offset > agreed.next_offset:
            break
        agreed, verdict = apply_entry(agreed, entry)
        lines += _describe(entry, verdict)
    step = adopt_agreed(state, agreed, at_ms)
    return Step(step.state, lines + step.effects)


def adopt_agreed(state: State, agreed: Agreed, at_ms: int) -> Step:
    """Make a newer agreed state the node's own; an older one is ignored.

    Args:
      state: State of the node.
      agreed: The agreed state, of any age.
      at_ms: The node's clock.
    Returns:
      A Step with what follows from it.
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


def _describe(entry: LogEntry, verdict: Verdict) -> tuple[Effect, ...]:
    """Build the log line of a verdict; routine renewals have none."""
    if entry.record is None:
        return (log(RECORD_UNREADABLE, offset=entry.offset),)
    body = entry.record.body
    if verdict is Verdict.REPEATED or isinstance(
        body, EntryRenewed | RoleRenewed
    ):
        return ()
    accepted = verdict is Verdict.ACCEPTED
    return (
        log(
            RECORD_ACCEPTED if accepted else RECORD_REFUSED,
            offset=entry.offset,
            kind=type(body).__name__,
            record=entry.record.record_id,
            verdict=verdict.value,
        ),
    )
