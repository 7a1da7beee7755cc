"""Streams between nodes: connection, heartbeats and received messages."""

from sesamehall.core.data import NodeKind
from sesamehall.core.effects import Append
from sesamehall.core.effects import Disconnect
from sesamehall.core.effects import log
from sesamehall.core.effects import Send
from sesamehall.core.events import MessageReceived
from sesamehall.core.events import PeerConnected
from sesamehall.core.events import PeerDisconnected
from sesamehall.core.limits import PEER_TIMEOUT_MS
from sesamehall.core.logevents import PEER_CONNECTED
from sesamehall.core.logevents import PEER_LOST
from sesamehall.core.logevents import PEER_REFUSED
from sesamehall.core.messages import AgreedForwarded
from sesamehall.core.messages import AppendRequested
from sesamehall.core.messages import ClaimAnswered
from sesamehall.core.messages import ClaimAsked
from sesamehall.core.messages import ClaimReleased
from sesamehall.core.messages import ClaimsAsked
from sesamehall.core.messages import ClaimsTold
from sesamehall.core.messages import DrainReported
from sesamehall.core.messages import Follow
from sesamehall.core.messages import Heartbeat
from sesamehall.core.messages import Hello
from sesamehall.core.messages import InstancesForwarded
from sesamehall.core.messages import LoadReported
from sesamehall.core.messages import NEWEST_FORMAT
from sesamehall.core.messages import OLDEST_FORMAT
from sesamehall.core.messages import RecordsForwarded
from sesamehall.core.messages import UnitsAsked
from sesamehall.core.messages import UnitsReceived
from sesamehall.core.messages import UnitsSent
from sesamehall.core.replacing import replace
from sesamehall.core.state import Peer
from sesamehall.core.state import State
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.reducer.claims import apply_release
from sesamehall.reducer.claims import count_vote
from sesamehall.reducer.claims import merge_claims
from sesamehall.reducer.claims import request_peer_claims
from sesamehall.reducer.claims import send_claims
from sesamehall.reducer.claims import vote_on_claim
from sesamehall.reducer.counts import drop_key
from sesamehall.reducer.dispatching import dispatch_pools
from sesamehall.reducer.dispatching import dispatch_waiting
from sesamehall.reducer.freshness import build_heartbeats
from sesamehall.reducer.freshness import log_age_ms
from sesamehall.reducer.freshness import record_log_age
from sesamehall.reducer.lending import drop_units_requests
from sesamehall.reducer.lending import lend_requested_units
from sesamehall.reducer.lending import receive_confirmation
from sesamehall.reducer.lending import receive_units
from sesamehall.reducer.lending import receive_units_request
from sesamehall.reducer.lending import resend_units
from sesamehall.reducer.load import apply_load_report
from sesamehall.reducer.load import drop_peer_load
from sesamehall.reducer.load import report_full_load
from sesamehall.reducer.membership import build_hello
from sesamehall.reducer.pool_moves import record_drain_report
from sesamehall.reducer.replication import adopt_replicated_state
from sesamehall.reducer.replication import apply_log_entries
from sesamehall.reducer.steward_feed import add_follower
from sesamehall.reducer.steward_feed import receive_log_entries
from sesamehall.reducer.steward_feed import receive_replicated_state
from sesamehall.reducer.targets import pools_of
from sesamehall.reducer.targets import update_instances


def connect_peer(state: State, event: PeerConnected) -> Step:
    """Send a Hello to a peer on a new stream.

    Args:
      state: State of the node.
      event: The new stream.
    Returns:
      A Step with the message.
    """
    step = _drop_peer(state, event.peer)
    peer = Peer(event.peer, "", event.at_ms)
    peers = step.state.peers_by_name.set(event.peer, peer)
    return Step(
        replace(step.state, peers_by_name=peers),
        (Send(event.peer, build_hello(state.identity)),),
    )


def disconnect_peer(state: State, event: PeerDisconnected) -> Step:
    """Drop the state of a peer whose stream has ended.

    Args:
      state: State of the node.
      event: The end of the stream.
    Returns:
      A Step that dispatches requests, since the peer's load no longer
      counts.
    """
    if event.peer not in state.peers_by_name:
        return Step(state)
    step = _drop_peer(state, event.peer)
    effects = step.effects + (log(PEER_LOST, peer=event.peer),)
    step = Step(step.state, effects)
    return then(step, dispatch_waiting, event.at_ms)


def disconnect_silent_peers(state: State, at_ms: int) -> Step:
    """Close the streams on which no message arrived for too long.

    Args:
      state: State of the node.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with the streams to close; the runtime reports their end.
    """
    effects = tuple(
        Disconnect(name)
        for name, peer in sorted(state.peers_by_name.items())
        if at_ms - peer.last_message_ms > PEER_TIMEOUT_MS
    )
    return Step(state, effects)


def send_heartbeats(state: State, at_ms: int) -> Step:
    """Send a heartbeat to every peer.

    Args:
      state: State of the node.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with the heartbeats.
    """
    return Step(state, build_heartbeats(state, at_ms))


def receive_message(state: State, event: MessageReceived) -> Step:
    """Handle a message of a peer.

    Args:
      state: State of the node.
      event: The message.
    Returns:
      A Step; any message before the Hello closes the stream.
    """
    peer = state.peers_by_name.get(event.peer)
    if peer is None:
        return Step(state)
    peer = replace(peer, last_message_ms=event.at_ms)
    peers = state.peers_by_name.set(event.peer, peer)
    state = replace(state, peers_by_name=peers)
    if isinstance(event.message, Hello):
        return _accept_hello(state, peer, event.message, event.at_ms)
    if not peer.incarnation:
        return _refuse_peer(state, event.peer, "no Hello message")
    if state.identity.node.kind is NodeKind.ENTRY:
        return _receive_at_entry(state, peer, event)
    return _receive_at_steward(state, peer, event)


def _receive_at_entry(
    state: State, peer: Peer, event: MessageReceived
) -> Step:
    at_ms = event.at_ms
    message = event.message
    match message:
        case Heartbeat():
            return _follow_if_behind(
                state, record_log_age(peer, message, at_ms)
            )
        case RecordsForwarded(log_entries):
            return apply_log_entries(state, log_entries, at_ms)
        case AgreedForwarded(agreed):
            return adopt_replicated_state(state, agreed, at_ms)
        case InstancesForwarded(instances):
            updated = update_instances(state, instances)
            return dispatch_waiting(updated, at_ms)
        case LoadReported():
            step = apply_load_report(state, peer, message)
            pools = pools_of(state, message.running_by_target)
            return then(step, dispatch_pools, pools, at_ms)
        case UnitsAsked():
            return receive_units_request(state, peer, message, at_ms)
        case UnitsSent():
            step = receive_units(state, peer, message)
            step = then(step, dispatch_waiting, at_ms)
            for team in sorted(message.total_by_team):
                step = then(step, lend_requested_units, team)
            return step
        case UnitsReceived():
            return receive_confirmation(state, message)
        case ClaimAsked():
            return vote_on_claim(state, peer, message)
        case ClaimAnswered():
            return count_vote(state, peer.name, message, at_ms)
        case ClaimReleased():
            return Step(apply_release(state, message))
        case ClaimsAsked():
            return send_claims(state, peer)
        case ClaimsTold():
            return Step(merge_claims(state, peer, message, at_ms))
    return _refuse_peer(state, peer.name, type(message).__name__)


def _receive_at_steward(
    state: State, peer: Peer, event: MessageReceived
) -> Step:
    at_ms = event.at_ms
    message = event.message
    match message:
        case Heartbeat():
            return _follow_if_behind(
                state, record_log_age(peer, message, at_ms)
            )
        case Follow(from_offset):
            return add_follower(state, peer.name, from_offset)
        case RecordsForwarded(log_entries):
            return receive_log_entries(state, log_entries, at_ms)
        case AgreedForwarded():
            return receive_replicated_state(state, message, at_ms)
        case InstancesForwarded():
            return Step(state)
        case AppendRequested(record):
            return Step(state, (Append(record),))
        case DrainReported():
            return record_drain_report(state, message)
    return _refuse_peer(state, peer.name, type(message).__name__)


def _accept_hello(state: State, peer: Peer, hello: Hello, at_ms: int) -> Step:
    """Accept a peer that matches the settings and has a common format."""
    node = state.identity.peers_by_name.get(hello.name)
    if node is None or node.kind is not hello.kind:
        return _refuse_peer(state, peer.name, "not in the settings")
    if hello.name != peer.name:
        return _refuse_peer(
            state, peer.name, f"peer sent the name {hello.name}"
        )
    if (
        hello.newest_format < OLDEST_FORMAT
        or hello.oldest_format > NEWEST_FORMAT
    ):
        return _refuse_peer(state, peer.name, "no common protocol format")
    connected = replace(peer, incarnation=hello.incarnation)
    peers = state.peers_by_name.set(peer.name, connected)
    line = log(PEER_CONNECTED, peer=peer.name, incarnation=hello.incarnation)
    heartbeat = Heartbeat(state.agreed.next_offset, log_age_ms(state, at_ms))
    effects = (Send(peer.name, heartbeat), line)
    step = Step(replace(state, peers_by_name=peers), effects)
    if hello.kind is NodeKind.STEWARD:
        return then(step, _follow_local_steward, connected)
    if state.identity.node.kind is NodeKind.ENTRY:
        step = then(step, report_full_load, peer.name)
        step = then(step, resend_units, connected)
        return then(step, request_peer_claims, connected)
    return step


def _follow_local_steward(state: State, peer: Peer) -> Step:
    """Follow a steward of the entry's own data centre."""
    node = state.identity.peers_by_name[peer.name]
    own = state.identity.node
    if own.kind is not NodeKind.ENTRY or own.data_centre != node.data_centre:
        return Step(state)
    return Step(state, (Send(peer.name, Follow(state.agreed.next_offset)),))


def _follow_if_behind(state: State, peer: Peer) -> Step:
    """Update a peer, and follow a steward that is ahead of this node."""
    peers = state.peers_by_name.set(peer.name, peer)
    state = replace(state, peers_by_name=peers)
    node = state.identity.peers_by_name[peer.name]
    if node.kind is not NodeKind.STEWARD:
        return Step(state)
    if peer.next_offset <= state.agreed.next_offset:
        return Step(state)
    return Step(state, (Send(peer.name, Follow(state.agreed.next_offset)),))


def _refuse_peer(state, name, reason):
    line = log(PEER_REFUSED, peer=name, reason=reason)
    return Step(state, (Disconnect(name), line))


def _drop_peer(state: State, name: str) -> Step:
    """Drop a peer's stream and everything that it reported or requested."""
    peer = state.peers_by_name.get(name)
    if peer is None:
        return Step(state)
    followers = drop_key(state.steward.next_offset_by_follower, name)
    changed = replace(
        drop_units_requests(state, name),
        peers_by_name=state.peers_by_name.delete(name),
        entry=drop_peer_load(state.entry, peer),
        steward=replace(state.steward, next_offset_by_follower=followers),
    )
    return Step(changed)
