"""Proposals to the log, repeated until they are read back.

A steward appends; an entry asks a steward to.  An append that took effect
though its answer was lost is repeated with the same id, and counts once.
"""

from sesamehall.core.data import NodeKind
from sesamehall.core.effects import Append
from sesamehall.core.effects import Effect
from sesamehall.core.effects import Send
from sesamehall.core.effects import SetTimer
from sesamehall.core.limits import APPEND_RETRY_MS
from sesamehall.core.messages import AppendRequested
from sesamehall.core.records import Record
from sesamehall.core.records import RecordBody
from sesamehall.core.replacing import replace
from sesamehall.core.state import State
from sesamehall.core.step import Step
from sesamehall.core.timers import AppendTimer
from sesamehall.reducer.counts import drop_key


def propose(
    state: State, record_id: str, body: RecordBody, at_ms: int
) -> Step:
    """Propose a record, unless the same one is under way or was judged.

    Args:
      state: State of the node.
      record_id: Identifier that makes repeats harmless.
      body: What is proposed.
      at_ms: The node's clock.
    Returns:
      A Step with the append.
    """
    if record_id in state.proposals_by_record_id:
        return Step(state)
    if record_id in state.agreed.verdicts_by_record_id:
        return Step(state)
    record = Record(record_id, body)
    proposals = state.proposals_by_record_id.set(record_id, record)
    return _append(
        replace(state, proposals_by_record_id=proposals), record, at_ms
    )


def retry_proposal(state: State, record_id: str, at_ms: int) -> Step:
    """Repeat a proposal that was not read back in time.

    Args:
      state: State of the node.
      record_id: Identifier of the record.
      at_ms: The node's clock.
    Returns:
      A Step with the append, or none for one that was read back.
    """
    record = state.proposals_by_record_id.get(record_id)
    if record is None:
        return Step(state)
    return _append(state, record, at_ms)


def drop_completed_proposals(state: State, since_offset: int) -> State:
    """Drop the proposals that were read back.

    Args:
      state: State of the node, its agreed state brought up to date.
      since_offset: Next offset of the agreed state before that.
    Returns:
      The state with the proposals that are still open.
    """
    proposals = state.proposals_by_record_id
    count = state.agreed.next_offset - since_offset
    for record_id in state.agreed.recent_record_ids[-count:]:
        proposals = drop_key(proposals, record_id)
    if proposals is state.proposals_by_record_id:
        return state
    return replace(state, proposals_by_record_id=proposals)


def nearest_steward(state: State) -> str | None:
    """Find the steward that this node turns to.

    Args:
      state: State of the node.
    Returns:
      Name of a connected steward, of the own data centre if there is one;
      None when none is connected.
    """
    home = state.identity.node.data_centre
    best = None
    for name, peer in state.peers_by_name.items():
        node = state.identity.peers_by_name[name]
        if node.kind is not NodeKind.STEWARD or not peer.incarnation:
            continue
        rank = (node.data_centre != home, name)
        if best is None or rank < best:
            best = rank
    return None if best is None else best[1]


def _append(state: State, record: Record, at_ms: int) -> Step:
    timer = SetTimer(AppendTimer(record.record_id), at_ms + APPEND_RETRY_MS)
    return Step(state, _ways_to_append(state, record) + (timer,))


def _ways_to_append(state: State, record: Record) -> tuple[Effect, ...]:
    """Append directly, or through the nearest steward if there is one."""
    if state.identity.node.kind is NodeKind.STEWARD:
        return (Append(record),)
    steward = nearest_steward(state)
    if steward is None:
        return ()
    return (Send(steward, AppendRequested(record)),)
