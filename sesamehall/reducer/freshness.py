"""Freshness: whether an entry can know which keys were withdrawn.

A withdrawn key must stop working within seconds, and a partitioned data
centre must keep serving what it can.  If an entry lacks recent knowledge of
the log's end, it checks whether any node can reach the log.  If it is
connected to stewards of every data centre and none of them can, no withdrawal
can have been accepted, and keys stay valid.  If a steward can, the entry is
merely behind, and if a data centre is silent, the entry may be partitioned: in
both cases it refuses requests with keys, and serves only open services.
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
    """Return whether the entry can know which keys are valid.

    Args:
      state: State of the entry.
      at_ms: Current time on the node's clock.
    Returns:
      True if the log's end was known recently, or if no data centre can
      reach the log.
    """
    connected_centres = set()
    log_readable = False
    for name, peer in state.peers_by_name.items():
        node = state.identity.peers_by_name[name]
        if node.kind is not NodeKind.STEWARD:
            continue
        if _reads_log(peer, at_ms):
            if state.agreed.next_offset >= peer.next_offset:
                return True
            log_readable = True
        if (
            peer.incarnation
            and at_ms - peer.last_message_ms <= PEER_TIMEOUT_MS
        ):
            connected_centres.add(node.data_centre)
    if log_readable or not connected_centres:
        return False
    return connected_centres == _steward_centres(state)


def record_log_age(peer: Peer, heartbeat: Heartbeat, at_ms: int) -> Peer:
    """Record a steward's progress in the log from its heartbeat.

    Args:
      peer: The steward.
      heartbeat: Its heartbeat.
      at_ms: Current time on the node's clock.
    Returns:
      The updated peer.
    """
    known_ms = -1 if heartbeat.log_age_ms < 0 else at_ms - heartbeat.log_age_ms
    return replace(
        peer, next_offset=heartbeat.next_offset, log_end_known_ms=known_ms
    )


def build_heartbeats(state: State, at_ms: int) -> tuple[Effect, ...]:
    """Build the heartbeats to all peers.

    Args:
      state: State of any node.
      at_ms: Current time on the node's clock.
    Returns:
      One heartbeat for each open stream.
    """
    heartbeat = Heartbeat(state.agreed.next_offset, log_age_ms(state, at_ms))
    return tuple(Send(name, heartbeat) for name in sorted(state.peers_by_name))


def log_age_ms(state: State, at_ms: int) -> int:
    """Compute the time since this node last read to the log's end.

    Args:
      state: State of any node.
      at_ms: Current time on the node's clock.
    Returns:
      Milliseconds; -1 for an entry, and for a steward that has not read
      the log.
    """
    if state.steward.last_read_ms < 0:
        return -1
    return at_ms - state.steward.last_read_ms


def _reads_log(peer, at_ms):
    """Return whether a steward has read to the log's end recently."""
    return 0 <= peer.log_end_known_ms and (
        at_ms - peer.log_end_known_ms <= KEYS_MAX_AGE_MS
    )


def _steward_centres(state):
    """Collect the data centres that have a steward in the settings."""
    return {
        node.data_centre
        for node in state.identity.peers_by_name.values()
        if node.kind is NodeKind.STEWARD
    }
