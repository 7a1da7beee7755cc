"""Serves the calls that peers forward to this node."""

from collections.abc import Callable
from itertools import count
import logging
from queue import Empty
from queue import SimpleQueue
import socket
import threading
import time

from sesamehall.codecs.peerframes import decode_call
from sesamehall.codecs.peerframes import encode_reply
from sesamehall.core.calls import Forwarding
from sesamehall.core.calls import JobCall
from sesamehall.core.codes import DecodeError
from sesamehall.core.events import Event
from sesamehall.core.logevents import PEER_FRAME_REJECTED
from sesamehall.core.peercalls import AnswerPeer
from sesamehall.core.peercalls import PeerCall
from sesamehall.core.peercalls import PeerCallReceived
from sesamehall.runtime.application import start_daemon_thread
from sesamehall.runtime.effectfailures import describe_error
from sesamehall.runtime.interpreter import now_ms
from sesamehall.runtime.peerconnection import PeerConnection

LOGGER = logging.getLogger("sesamehall")
MAX_CONNECTIONS = 64  # of all peers; more are reset
IDLE_TIMEOUT_S = 10.0
FRAME_TIMEOUT_S = 1.0  # for a frame that has begun
DECISION_SLACK_S = 0.2  # the reducer answers by the call's deadline
ACCEPT_RETRY_S = 0.2  # after an error, without descriptors or threads


class PeerServer:
    """Accepts connections; each is served by a thread while it is open."""

    def __init__(
        self,
        listener: socket.socket,
        token: str,
        post_event: Callable[[Event], None],
    ):
        """Create the server.

        Args:
          listener: The listening socket.
          token: Token of this node, which peers must know.
          post_event: Queues an event for the interpreter.
        """
        self._listener = listener
        self._token = token
        self._post_event = post_event
        self._slots = threading.BoundedSemaphore(MAX_CONNECTIONS)
        # Negative numbers, unlike those of callers' own calls.
        self._call_ids = count(-1, -1)
        self._mailboxes_by_id: dict[int, SimpleQueue[AnswerPeer]] = {}

    def serve(self) -> None:
        """Accept connections for as long as the process runs."""
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                time.sleep(ACCEPT_RETRY_S)
                continue
            if not self._slots.acquire(blocking=False):
                sock.close()
                continue
            self._start_connection(sock)

    def _start_connection(self, sock: socket.socket) -> None:
        """Serve a connection by a thread; close it if none can start."""
        try:
            start_daemon_thread(lambda: self._serve_connection(sock), "peer")
        except RuntimeError:  # the process has reached its thread limit
            sock.close()
            self._slots.release()
            time.sleep(ACCEPT_RETRY_S)

    def deliver(self, effect: AnswerPeer) -> None:
        """Deliver an answer to the thread that serves the call.

        Args:
          effect: The answer; dropped if no thread waits for it.
        """
        mailbox = self._mailboxes_by_id.get(effect.call_id)
        if mailbox is not None:
            mailbox.put(effect)

    def _serve_connection(self, sock: socket.socket) -> None:
        """Serve calls until the peer closes, is silent or sends rubbish."""
        try:
            connection = PeerConnection(sock)
            while self._serve_call(connection):
                pass
        except DecodeError as error:
            _log_rejected_frame(sock, error)
        except OSError:
            pass  # the peer learns from the closed connection
        except Exception:
            LOGGER.exception("failed to serve a peer")
        finally:
            sock.close()
            self._slots.release()

    def _serve_call(self, connection: PeerConnection) -> bool:
        """Serve the next call; return whether the connection stays open."""
        content = connection.receive(IDLE_TIMEOUT_S, FRAME_TIMEOUT_S)
        if not content:
            return False
        message = decode_call(content, self._token)
        answered = self._await_decision(message)
        if answered is None:
            return False
        frame = encode_reply(
            message, answered.answer, answered.manifest_version, self._token
        )
        connection.send(frame, FRAME_TIMEOUT_S)
        return True

    def _await_decision(self, message: PeerCall) -> AnswerPeer | None:
        """Queue a call for the interpreter and wait for the answer."""
        at_ms = now_ms()
        call = JobCall(
            call_id=next(self._call_ids),
            at_ms=at_ms,
            host=message.host,
            path=message.path,
            key=message.key,
            kind=message.kind,
            forwarded=Forwarding(
                node=message.node,
                manifest_version=message.manifest_version,
                deadline_ms=at_ms + message.remaining_ms,
            ),
        )
        mailbox: SimpleQueue[AnswerPeer] = SimpleQueue()
        self._mailboxes_by_id[call.call_id] = mailbox
        try:
            self._post_event(PeerCallReceived(at_ms, call))
            timeout_s = message.remaining_ms / 1_000 + DECISION_SLACK_S
            return mailbox.get(timeout=timeout_s)
        except Empty:
            return None
        finally:
            del self._mailboxes_by_id[call.call_id]


def _log_rejected_frame(sock, error):
    try:
        peer = sock.getpeername()[0]
    except OSError:
        peer = ""
    LOGGER.warning(
        "%d %s peer=%s reason=%s",
        PEER_FRAME_REJECTED.number,
        PEER_FRAME_REJECTED.name,
        peer,
        describe_error(error),
    )
