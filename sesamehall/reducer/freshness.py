"""Freshness: whether an entry can know which keys were withdrawn.

A withdrawn key must stop within seconds, and a data centre that is cut off
must go on with what it can.  An entry that has not heard of the log's end for
a while asks itself whether nobody can reach the log: if stewards of every
data centre say so, no withdrawal can have been accepted, and keys go on
working.  If some data centre is silent the entry may be cut off, and keyed
work is refused; services that are open to all go on.
"""

from sesamehall.core.data import NodeKind
from sesamehall.core.effects import Effect
from sesamehall.core.effects import Send
from sesamehall.core.limits import KEYS_MAX_AGE_MS
from sesamehall.core.limits import PEER_TIMEOUT_MS
from sesamehall.core.messages import Heartbeat
from sesamehall.core.replacing import replace
from sesamehall.core.state import Peer
from sesamehall.core.state import State


def can_verify_keys(state: State, at_ms: int) -> bool:
    """Tell whether the keys in force are known well enough to be used.

    Args:
      state: State of the entry.
      at_ms: The node's clock.
    Returns:
      True when the log's end was known a moment ago, or when no data centre
      can reach the log.
    """
    heard_centres = set()
    for name, peer in state.peers_by_name.items():
        node = state.identity.peers_by_name[name]
        if node.kind is not NodeKind.STEWARD:
            continue
        if _is_known(state, peer, at_ms):
            return True
        if (
            peer.incarnation
            and at_ms - peer.last_message_ms <= PEER_TIMEOUT_MS
        ):
            heard_centres.add(node.data_centre)
    return bool(heard_centres) and heard_centres == _centres(state)


def record_log_age(peer: Peer, beat: Heartbeat, at_ms: int) -> Peer:
    """Note what a steward's heartbeat says of the log's end.

    Args:
      peer: The steward.
      beat: Its heartbeat.
      at_ms: The node's clock.
    Returns:
      The peer as it is known now.
    """
    known_ms = -1 if beat.log_age_ms < 0 else at_ms - beat.log_age_ms
    return replace(
        peer, next_offset=beat.next_offset, log_end_known_ms=known_ms
    )


def build_heartbeats(state: State, at_ms: int) -> tuple[Effect, ...]:
    """Build heartbeats that tell every peer of the log's end.

    Args:
      state: State of any node.
      at_ms: The node's clock.
    Returns:
      One heartbeat for each open stream.
    """
    beat = Heartbeat(state.agreed.next_offset, log_age_ms(state, at_ms))
    return tuple(Send(name, beat) for name in sorted(state.peers_by_name))


def log_age_ms(state: State, at_ms: int) -> int:
    """Compute how long ago this node knew the log's end.

    Args:
      state: State of any node.
      at_ms: The node's clock.
    Returns:
      Milliseconds, -1 for an entry and for a steward that never knew.
    """
    if state.steward.last_read_ms < 0:
        return -1
    return at_ms - state.steward.last_read_ms


def _is_known(state, peer, at_ms):
    """Tell whether a steward's word is fresh and was followed to its end."""
    if (
        peer.log_end_known_ms < 0
        or at_ms - peer.log_end_known_ms > KEYS_MAX_AGE_MS
    ):
        return False
    return state.agreed.next_offset >= peer.next_offset


def _centres(state):
    """List the data centres that have a steward in the settings."""
    return {
        node.data_centre
        for node in state.identity.peers_by_name.values()
        if node.kind is NodeKind.STEWARD
    }
