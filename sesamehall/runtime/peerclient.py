"""The effect handler that forwards calls to peers."""

from collections import deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from itertools import count
import logging
import threading

from sesamehall.codecs.peerframes import decode_reply
from sesamehall.codecs.peerframes import encode_call
from sesamehall.core.codes import DecodeError
from sesamehall.core.events import Event
from sesamehall.core.fleet import PeerNode
from sesamehall.core.logevents import PEER_FRAME_REJECTED
from sesamehall.core.peercalls import ForwardCall
from sesamehall.core.peercalls import PeerAnswered
from sesamehall.core.peercalls import PeerCall
from sesamehall.core.peercalls import PeerOutcome
from sesamehall.core.peertiming import PEER_REPLY_MARGIN_MS
from sesamehall.core.peertiming import PEER_REPLY_TIMEOUT_MS
from sesamehall.runtime.effectfailures import describe_error
from sesamehall.runtime.guarding import perform_and_post
from sesamehall.runtime.interpreter import now_ms
from sesamehall.runtime.peerconnection import connect
from sesamehall.runtime.peerconnection import PeerConnection

LOGGER = logging.getLogger("sesamehall")
MAX_CONCURRENT_CALLS = 16
IDLE_MAX_MS = 5_000  # peers close idle connections after twice this


@dataclass(frozen=True, slots=True)
class IdleConnection:
    """A connection that waits for its next call.

    Attributes:
      connection: The connection.
      since_ms: Time of its last reply.
    """

    connection: PeerConnection
    since_ms: int


class PeerClient:
    """Forwards calls; connects on demand and keeps connections while used."""

    def __init__(
        self,
        node_name: str,
        incarnation: str,
        post_event: Callable[[Event], None],
    ):
        """Create the client; its threads start with the first calls.

        Args:
          node_name: Name of this node.
          incarnation: Identifier of this process.
          post_event: Queues an event for the interpreter.
        """
        self._node_name = node_name
        self._incarnation = incarnation
        self._post_event = post_event
        self._numbers = count(1)
        self._executor = ThreadPoolExecutor(MAX_CONCURRENT_CALLS, "peer call")
        self._lock = threading.Lock()
        self._idle_by_peer: dict[PeerNode, deque[IdleConnection]] = {}

    def forward(self, effect: ForwardCall) -> None:
        """Forward a call; the outcome is posted as an event.

        Args:
          effect: The call and the peer.
        """
        self._executor.submit(
            lambda: perform_and_post(self._forward, effect, self._post_event)
        )

    def _forward(self, effect: ForwardCall) -> PeerAnswered:
        """Connect unless there is a connection, and exchange two frames."""
        try:
            connection = self._acquire(effect.peer)
        except OSError as error:
            return _failed(effect, PeerOutcome.NOT_SENT, error)
        remaining_ms = min(
            effect.not_after_ms - now_ms(), PEER_REPLY_TIMEOUT_MS
        )
        call = self._build_message(effect, remaining_ms)
        if call.remaining_ms <= 0:
            self._release(effect.peer, connection)
            error = TimeoutError("no time is left")
            return _failed(effect, PeerOutcome.NOT_SENT, error)
        try:
            answer, version = _exchange(
                connection, call, effect.peer.token, remaining_ms
            )
        except (OSError, DecodeError) as error:
            connection.close()
            self._drop_idle(effect.peer)
            if isinstance(error, DecodeError):
                _log_rejected_frame(effect.peer, error)
            return _failed(effect, PeerOutcome.LOST, error)
        self._release(effect.peer, connection)
        return PeerAnswered(
            now_ms(),
            effect.call.call_id,
            effect.peer.name,
            PeerOutcome.ANSWERED,
            answer,
            version,
        )

    def _build_message(self, effect, remaining_ms):
        call = effect.call
        return PeerCall(
            caller=self._incarnation,
            number=next(self._numbers),
            node=self._node_name,
            host=call.host,
            path=call.path,
            key=call.key,
            kind=call.kind,
            manifest_version=effect.manifest_version,
            remaining_ms=remaining_ms - PEER_REPLY_MARGIN_MS,
        )

    def _acquire(self, peer: PeerNode) -> PeerConnection:
        """Take an idle connection that is still usable, or open one."""
        with self._lock:
            self._close_unused()
            idle = self._idle_by_peer.get(peer, deque())
            while idle:
                connection = idle.pop().connection
                if connection.is_reusable():
                    return connection
                connection.close()
        return connect(peer.address)

    def _release(self, peer: PeerNode, connection: PeerConnection) -> None:
        with self._lock:
            idle = self._idle_by_peer.setdefault(peer, deque())
            idle.append(IdleConnection(connection, now_ms()))

    def _drop_idle(self, peer: PeerNode) -> None:
        """Close all idle connections to a peer that has failed."""
        with self._lock:
            for idle in self._idle_by_peer.pop(peer, ()):
                idle.connection.close()

    def _close_unused(self) -> None:
        """Close the connections that were idle for too long."""
        oldest_ms = now_ms() - IDLE_MAX_MS
        for peer, idle in list(self._idle_by_peer.items()):
            while idle and idle[0].since_ms < oldest_ms:
                idle.popleft().connection.close()
            if not idle:
                del self._idle_by_peer[peer]


def _exchange(connection, call, token, remaining_ms):
    """Send a call and receive the reply."""
    timeout_s = remaining_ms / 1_000
    connection.send(encode_call(call, token), timeout_s)
    content = connection.receive(timeout_s, timeout_s)
    if not content:
        raise ConnectionError("closed without a reply")
    return decode_reply(content, call, token)


def _failed(effect, outcome, error) -> PeerAnswered:
    return PeerAnswered(
        now_ms(),
        effect.call.call_id,
        effect.peer.name,
        outcome,
        reason=describe_error(error),
    )


def _log_rejected_frame(peer, error):
    LOGGER.warning(
        "%d %s peer=%a reason=%s",
        PEER_FRAME_REJECTED.number,
        PEER_FRAME_REJECTED.name,
        peer.name,
        describe_error(error),
    )
