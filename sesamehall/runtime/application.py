"""Application objects: they own threads and sockets, and end them."""

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
from sesamehall.runtime.interpreter import Interpreter
from sesamehall.runtime.interpreter import now_ms
from sesamehall.runtime.logbook import Logbook
from sesamehall.runtime.logbook import open_history
from sesamehall.runtime.streams import StreamHub

Perform = Callable[[Effect], None]


def new_incarnation(name: str) -> str:
    """Make an identifier for this start of the process.

    Args:
      name: Name of the node.
    Returns:
      An identifier that no other start has.
    """
    return f"{name}:{os.urandom(6).hex()}"


def identify(
    settings: EntrySettings | StewardSettings, kind: NodeKind
) -> Identity:
    """Build a node's identity from its settings.

    Args:
      settings: The settings.
      kind: Which daemon it is.
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
    """What every daemon has: an interpreter, streams and a logbook."""

    def __init__(
        self,
        settings: EntrySettings | StewardSettings,
        kind: NodeKind,
        perform_own: Perform,
    ):
        """Put the parts together; `start` begins their work.

        Args:
          settings: Settings of the daemon.
          kind: Which daemon it is.
          perform_own: Carries out the effects that only this kind has.
        """
        identity = identify(settings, kind)
        self.identity = identity
        self._perform_own = perform_own
        self.logbook = Logbook(settings.name, settings.statsd)
        self.interpreter = Interpreter(
            State(identity), self._perform, open_history(settings.history)
        )
        self.streams = StreamHub(
            identity.node,
            dict(identity.peers_by_name.items()),
            self.interpreter.post,
        )

    def start(self) -> None:
        """Open the streams and begin to decide."""
        self.streams.start()
        self.interpreter.post(Started(now_ms()))

    def run(self) -> None:
        """Decide until a decision ends the process."""
        self.interpreter.run()

    def request_stop(self) -> None:
        """Ask for a graceful stop; `run` returns when it is done."""
        self.interpreter.post(StopRequested(now_ms()))

    def stop(self) -> None:
        """Close the streams."""
        self.streams.stop()

    def _perform(self, effect: Effect) -> None:
        match effect:
            case Send(peer, message):
                self.streams.send(peer, message)
            case Disconnect(peer):
                self.streams.disconnect(peer)
            case Log():
                self.logbook.write(effect)
            case _:
                self._perform_own(effect)


def run_thread(target: Callable[[], None], name: str) -> threading.Thread:
    """Begin a thread that does not keep the process alive.

    Args:
      target: What the thread does.
      name: Name of the thread.
    Returns:
      The running thread.
    """
    thread = threading.Thread(target=target, name=name, daemon=True)
    thread.start()
    return thread
