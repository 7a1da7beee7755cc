"""Which calls a node forwards to a peer, and to which one.

The store may turn a node away while it serves the others.  The node then
forwards its callers' calls to a peer.  Peers register in the stream of jobs,
which all nodes read.
"""

from sesamehall.core.calls import CallAnswer
from sesamehall.core.calls import CancelJob
from sesamehall.core.calls import JobCall
from sesamehall.core.calls import Rejected
from sesamehall.core.calls import SubmitJob
from sesamehall.core.codes import LOG_UNREACHABLE
from sesamehall.core.codes import NOT_READY
from sesamehall.core.codes import Outcome
from sesamehall.core.effects import log
from sesamehall.core.fleet import PeerNode
from sesamehall.core.jobtiming import JOBS_WAIT_MS
from sesamehall.core.jobtiming import OPERATOR_WAIT_MS
from sesamehall.core.logevents import CALL_FORWARDED
from sesamehall.core.logevents import NODE_REGISTERED
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.managerstate import StreamCursor
from sesamehall.core.managerstate import WaitingCall
from sesamehall.core.peercalls import ForwardCall
from sesamehall.core.peercalls import KnownPeer
from sesamehall.core.peercalls import PeerAnswered
from sesamehall.core.peercalls import PeerAttempts
from sesamehall.core.peercalls import PeerOutcome
from sesamehall.core.peercalls import RegisterNode
from sesamehall.core.peertiming import FORWARDING_PAUSE_MS
from sesamehall.core.peertiming import MAX_CALLS_PER_PEER
from sesamehall.core.peertiming import MAX_CONSECUTIVE_FAILURES
from sesamehall.core.peertiming import MAX_PEERS
from sesamehall.core.peertiming import MAX_PEERS_PER_CALL
from sesamehall.core.peertiming import MIN_FORWARD_MS
from sesamehall.core.peertiming import PEER_FAILED_PAUSE_MS
from sesamehall.core.peertiming import PEER_REFUSED_PAUSE_MS
from sesamehall.core.peertiming import READ_OVERDUE_MS
from sesamehall.core.peertiming import REGISTRATION_EXPIRY_MS
from sesamehall.core.peertiming import REGISTRATION_JITTER_MS
from sesamehall.core.peertiming import REGISTRATION_RENEWAL_MS
from sesamehall.core.peertiming import REGISTRATION_RETRY_MS
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step
from sesamehall.reducer.counts import drop_key

# Answers by which a peer says that it has done nothing and cannot serve.
INABILITY_CODES = (NOT_READY, LOG_UNREACHABLE)


def is_turned_away(manager: ManagerState, at_ms: int) -> bool:
    """Check whether the store seems to reject this node.

    Args:
      manager: State of a manager.
      at_ms: Current time on the node's clock.
    Returns:
      True if a read has failed or is overdue, and no read of any stream has
      succeeded since.
    """
    cursors = (
        (manager.operator_cursor, OPERATOR_WAIT_MS),
        (manager.workers_cursor, 0),
        (manager.jobs_cursor, JOBS_WAIT_MS if manager.term.epoch else 0),
        (manager.progress_cursor, 0),
    )
    trouble_ms = max(
        max(cursor.failed_ms, _overdue_since_ms(cursor, wait_ms, at_ms))
        for cursor, wait_ms in cursors
    )
    return trouble_ms > max(cursor.read_ms for cursor, _ in cursors)


def _overdue_since_ms(cursor: StreamCursor, wait_ms, at_ms):
    """Return since when a read in flight is overdue, or -1 if none is."""
    if not cursor.read_in_flight or cursor.sent_ms < 0:
        return -1
    due_ms = cursor.sent_ms + wait_ms + READ_OVERDUE_MS
    return due_ms if due_ms <= at_ms else -1


def is_write(call: JobCall) -> bool:
    """Check whether a call stores something.

    Args:
      call: The call.
    Returns:
      True if the store may contain its record after it failed.
    """
    return isinstance(call.kind, SubmitJob | CancelJob)


def is_inability(answer: CallAnswer | None) -> bool:
    """Check whether a peer answered that it did nothing and cannot serve.

    Args:
      answer: The answer.
    Returns:
      False for an answer about the call itself.
    """
    return isinstance(answer, Rejected) and answer.code in INABILITY_CODES


def is_conclusive(answer: CallAnswer | None) -> bool:
    """Check whether a peer's answer may be passed on to the caller.

    Args:
      answer: The answer.
    Returns:
      False if there is none, the peer could not serve, or the outcome of the
      call is unknown.
    """
    if answer is None or is_inability(answer):
        return False
    return not (
        isinstance(answer, Rejected) and answer.code.outcome is Outcome.UNKNOWN
    )


def forward_call(
    manager: ManagerState, waiting: WaitingCall, at_ms: int
) -> Step | None:
    """Forward a call to a peer.

    Args:
      manager: State of a manager.
      waiting: The call, with the stage that it is in meanwhile.
      at_ms: Current time on the node's clock.
    Returns:
      A Step, or None if the call cannot be forwarded.
    """
    call = waiting.call
    if call.forwarded is not None:
        return None
    if waiting.deadline_ms - at_ms < MIN_FORWARD_MS:
        return None
    peer = choose_peer(manager, waiting.peers, at_ms)
    if peer is None:
        return None
    attempts = PeerAttempts(waiting.peers.tried + (peer.name,), peer.name)
    waiting = replace(waiting, peers=attempts)
    calls = manager.calls_by_id.set(call.call_id, waiting)
    line = log(
        CALL_FORWARDED,
        call=call.call_id,
        job=waiting.job_id,
        kind=type(call.kind).__name__,
        peer=peer.name,
        attempt=len(attempts.tried),
        stage=waiting.stage.value,
        waited_ms=at_ms - call.at_ms,
    )
    effect = ForwardCall(
        call, peer, _min_manifest_version(manager), waiting.deadline_ms
    )
    return Step(replace(manager, calls_by_id=calls), (line, effect))


def _min_manifest_version(manager):
    """Return the newest version that this node or a peer has judged by."""
    own_version = 0 if manager.manifest is None else manager.manifest.version
    return max(own_version, manager.peers.min_manifest_version)


def choose_peer(
    manager: ManagerState, attempts: PeerAttempts, at_ms: int
) -> PeerNode | None:
    """Choose the peer to forward a call to.

    A peer of the same data centre comes first, since traffic between data
    centres is expensive, but the last attempt goes to another one, since the
    store may turn the whole data centre away.  Of these, peers that failed
    when they were last tried come last, and before them the leader, since it
    has the most work.  Nodes begin at different peers.

    Args:
      manager: State of a manager.
      attempts: The peers that the call was forwarded to.
      at_ms: Current time on the node's clock.
    Returns:
      The peer, or None if there is none that may be used.
    """
    own = manager.peers.own
    if own is None or at_ms < manager.peers.paused_until_ms:
        return None
    if len(attempts.tried) >= MAX_PEERS_PER_CALL:
        return None
    leader_name = "" if manager.leader is None else manager.leader.node
    prefers_remote = len(attempts.tried) == MAX_PEERS_PER_CALL - 1
    usable = _usable_peers(manager, attempts, at_ms)
    names = sorted(manager.peers.by_name)
    first_index = manager.jitter_seed % max(len(names), 1)
    distance_by_name = {
        name: (index - first_index) % len(names)
        for index, name in enumerate(names)
    }
    return min(
        usable,
        key=lambda peer: (
            (peer.data_centre != own.data_centre) != prefers_remote,
            peer.name in manager.peers.avoided_until_ms_by_name,
            peer.name == leader_name,
            distance_by_name[peer.name],
        ),
        default=None,
    )


def _usable_peers(manager, attempts, at_ms) -> list[PeerNode]:
    """List the peers that may take a call now."""
    peers = manager.peers
    awaited_names = [
        call.peers.current for call in manager.calls_by_id.values()
    ]
    return [
        known.node
        for name, known in peers.by_name.items()
        if name != peers.own.name
        and name not in attempts.tried
        and at_ms >= peers.avoided_until_ms_by_name.get(name, 0)
        and at_ms - known.read_ms < REGISTRATION_EXPIRY_MS
        and awaited_names.count(name) < MAX_CALLS_PER_PEER
    ]


def record_peer_outcome(
    manager: ManagerState, event: PeerAnswered
) -> ManagerState:
    """Record what the outcome of a forwarded call shows about the peer.

    Args:
      manager: State of a manager.
      event: The outcome.
    Returns:
      The state.  Peers that failed or refused are avoided for some time.  If
      several do so in a row, the store seems to be down for all nodes, or this
      node is cut off from its peers as well.
    """
    peers = manager.peers
    if is_conclusive(event.answer):
        version = max(peers.min_manifest_version, event.manifest_version)
        peers = replace(
            peers,
            avoided_until_ms_by_name=drop_key(
                peers.avoided_until_ms_by_name, event.peer
            ),
            consecutive_failures=0,
            min_manifest_version=version,
        )
    else:
        pause_ms = PEER_FAILED_PAUSE_MS
        if event.outcome is PeerOutcome.ANSWERED:
            pause_ms = PEER_REFUSED_PAUSE_MS
        peers = _avoid(peers, event.peer, pause_ms, event.at_ms)
    return replace(manager, peers=peers)


def _avoid(peers, name, pause_ms, at_ms):
    """Avoid a peer, and all of them after several failures in a row."""
    avoided = peers.avoided_until_ms_by_name.set(name, at_ms + pause_ms)
    failures = peers.consecutive_failures + 1
    paused_until_ms = peers.paused_until_ms
    if failures >= MAX_CONSECUTIVE_FAILURES:
        failures = 0
        paused_until_ms = at_ms + FORWARDING_PAUSE_MS
    return replace(
        peers,
        avoided_until_ms_by_name=avoided,
        consecutive_failures=failures,
        paused_until_ms=paused_until_ms,
    )


def record_peer(
    manager: ManagerState, node: PeerNode, at_ms: int
) -> ManagerState:
    """Record the registration of a node.

    Args:
      manager: State of a manager.
      node: The record.
      at_ms: Current time on the node's clock.
    Returns:
      The state, with a bounded number of nodes.
    """
    peers = manager.peers
    by_name = peers.by_name
    avoided = peers.avoided_until_ms_by_name
    if len(by_name) >= MAX_PEERS and node.name not in by_name:
        oldest = min(by_name, key=lambda name: by_name[name].read_ms)
        by_name = by_name.delete(oldest)
        avoided = drop_key(avoided, oldest)
    by_name = by_name.set(node.name, KnownPeer(node, at_ms))
    known = peers.by_name.get(node.name)
    if known is not None and known.node != node:  # its process has restarted
        avoided = drop_key(avoided, node.name)
    peers = replace(peers, by_name=by_name, avoided_until_ms_by_name=avoided)
    return replace(manager, peers=peers)


def register_node(manager: ManagerState, at_ms: int) -> Step:
    """Register this node unless the stream of jobs shows it already.

    Args:
      manager: State of a manager.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with the registration, or without effects.
    """
    peers = manager.peers
    if peers.own is None or manager.stopping:
        return Step(manager)
    if manager.jobs_cursor.next_offset < 0 or _is_registered(peers, at_ms):
        return Step(manager)
    if not peers.registration_due_ms:
        delay_ms = manager.jitter_seed % REGISTRATION_JITTER_MS
        peers = replace(peers, registration_due_ms=at_ms + delay_ms)
        return Step(replace(manager, peers=peers))
    if at_ms < peers.registration_due_ms:
        return Step(manager)
    due_ms = at_ms + REGISTRATION_RETRY_MS
    peers = replace(peers, registration_due_ms=due_ms)
    line = log(NODE_REGISTERED, address=peers.own.address)
    effects = (line, RegisterNode(peers.own))
    return Step(replace(manager, peers=peers), effects)


def _is_registered(peers, at_ms):
    known = peers.by_name.get(peers.own.name)
    if known is None or known.node != peers.own:
        return False
    return at_ms - known.read_ms < REGISTRATION_RENEWAL_MS
