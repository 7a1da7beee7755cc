"""The parts of a daemon that entry and steward share, and their lifecycle."""

from collections.abc import Callable
import os
import threading

from immutables import Map

from sesamehall.core.data import Node
from sesamehall.core.data import NodeKind
from sesamehall.core.effects import Disconnect
from sesamehall.core.effects import Effect
from sesamehall.core.effects import Log
from sesamehall.core.effects import Send
from sesamehall.core.events import Started
from sesamehall.core.events import StopRequested
from sesamehall.core.settings import EntrySettings
from sesamehall.core.settings import StewardSettings
from sesamehall.core.state import Identity
from sesamehall.core.state import State
from sesamehall.runtime.eventlogger import EventLogger
from sesamehall.runtime.eventlogger import open_history
from sesamehall.runtime.interpreter import Interpreter
from sesamehall.runtime.interpreter import now_ms
from sesamehall.runtime.peerstreams import PeerStreams

Perform = Callable[[Effect], None]


def new_incarnation(name: str) -> str:
    """Generate a unique identifier for this run of the process.

    Args:
      name: Name of the node.
    Returns:
      An identifier that no other run of any node has.
    """
    return f"{name}:{os.urandom(6).hex()}"


def build_identity(
    settings: EntrySettings | StewardSettings, kind: NodeKind
) -> Identity:
    """Build a node's identity from its settings.

    Args:
      settings: The settings.
      kind: Kind of the daemon.
    Returns:
      The identity, with a new incarnation.
    """
    node = Node(settings.name, kind, settings.data_centre, settings.stream)
    peers_by_name = Map(
        (peer.name, Node(peer.name, peer.kind, peer.data_centre, peer.address))
        for peer in settings.peers
    )
    return Identity(
        node=node,
        incarnation=new_incarnation(settings.name),
        peers_by_name=peers_by_name,
        queue_limit=getattr(settings, "queue_limit", 0),
    )


class Application:
    """The interpreter, peer streams and event log of a daemon."""

    def __init__(
        self,
        settings: EntrySettings | StewardSettings,
        kind: NodeKind,
        perform_specific: Perform,
    ):
        """Create the parts; `start` starts them.

        Args:
          settings: Settings of the daemon.
          kind: Kind of the daemon.
          perform_specific: Performs the effects of this kind only.
        """
        identity = build_identity(settings, kind)
        self.identity = identity
        self._perform_specific = perform_specific
        self.event_logger = EventLogger(settings.name, settings.statsd)
        self.interpreter = Interpreter(
            State(identity), self._perform, open_history(settings.history)
        )
        self.streams = PeerStreams(
            identity.node,
            dict(identity.peers_by_name.items()),
            self.interpreter.post_event,
        )

    def start(self) -> None:
        """Open the peer streams and start processing events."""
        self.streams.start()
        self.interpreter.post_event(Started(now_ms()))

    def run(self) -> None:
        """Process events until an Exit effect."""
        self.interpreter.run()

    def request_stop(self) -> None:
        """Request a graceful stop; `run` returns once it is complete."""
        self.interpreter.post_event(StopRequested(now_ms()))

    def stop(self) -> None:
        """Close the peer streams."""
        self.streams.stop()

    def _perform(self, effect: Effect) -> None:
        match effect:
            case Send(peer, message):
                self.streams.send(peer, message)
            case Disconnect(peer):
                self.streams.disconnect(peer)
            case Log():
                self.event_logger.write(effect)
            case _:
                self._perform_specific(effect)


def start_daemon_thread(
    target: Callable[[], None], name: str
) -> threading.Thread:
    """Start a daemon thread.

    Args:
      target: Function to run in the thread.
      name: Name of the thread.
    Returns:
      The running thread.
    """
    thread = threading.Thread(target=target, name=name, daemon=True)
    thread.start()
    return thread
