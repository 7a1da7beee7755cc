"""The manager's port for calls that other managers forward to it."""

from collections.abc import Callable
from dataclasses import dataclass
import logging
import secrets
import socket

from sesamehall.core.events import Event
from sesamehall.core.fleet import PeerNode
from sesamehall.core.logevents import PEER_PORT_UNUSABLE
from sesamehall.core.peercalls import AnswerPeer
from sesamehall.core.peercalls import ForwardCall
from sesamehall.platform.listening import listen
from sesamehall.platform.settings import ProcessSettings
from sesamehall.runtime.application import start_daemon_thread
from sesamehall.runtime.effectfailures import describe_error
from sesamehall.runtime.peerclient import PeerClient
from sesamehall.runtime.peerserver import PeerServer

LOGGER = logging.getLogger("sesamehall")
TOKEN_BYTES = 16


@dataclass(frozen=True, slots=True)
class PeerPort:
    """The listening socket, and what this node registers for its peers.

    Attributes:
      listener: The socket.
      node: The registration, with the token of this process.
    """

    listener: socket.socket
    node: PeerNode


def open_peer_port(settings: ProcessSettings) -> PeerPort | None:
    """Listen for the calls of peers.

    Args:
      settings: Settings of the process.
    Returns:
      The port, or None if the settings have none or it cannot be used.  The
      node then neither forwards calls nor accepts forwarded ones.
    """
    if not settings.peer_address:
        return None
    try:
        listener = listen(settings.peer_address)
    except OSError as error:
        LOGGER.warning(
            "%d %s address=%s reason=%s",
            PEER_PORT_UNUSABLE.number,
            PEER_PORT_UNUSABLE.name,
            settings.peer_address,
            describe_error(error),
        )
        return None
    node = PeerNode(
        settings.name,
        settings.data_centre,
        settings.peer_address,
        secrets.token_hex(TOKEN_BYTES),
    )
    return PeerPort(listener, node)


class PeerEffectHandler:
    """Performs the effects that concern peers."""

    def __init__(
        self,
        port: PeerPort,
        incarnation: str,
        post_event: Callable[[Event], None],
    ):
        """Create the handler; `start` starts to serve peers.

        Args:
          port: The port of this node.
          incarnation: Identifier of this process.
          post_event: Queues an event for the interpreter.
        """
        self._client = PeerClient(port.node.name, incarnation, post_event)
        self._server = PeerServer(port.listener, port.node.token, post_event)

    def start(self) -> None:
        """Start to accept the connections of peers."""
        start_daemon_thread(self._server.serve, "accept peers")

    def forward(self, effect: ForwardCall) -> None:
        """Forward a call to a peer; the outcome is posted as an event.

        Args:
          effect: The call and the peer.
        """
        self._client.forward(effect)

    def answer(self, effect: AnswerPeer) -> None:
        """Answer a call that a peer has forwarded.

        Args:
          effect: The answer.
        """
        self._server.deliver(effect)
