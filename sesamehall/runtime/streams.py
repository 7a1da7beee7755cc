"""Streams between nodes: one thread that waits on all sockets at once.

Of two nodes the one whose name sorts last dials.  A stream is known by the
name in the first message; a new stream of a peer replaces the older one.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from random import Random
import selectors
import socket
import threading

from sesamehall.codecs.wire import encode_frame
from sesamehall.codecs.wire import FrameReader
from sesamehall.core.codes import DecodeError
from sesamehall.core.data import Node
from sesamehall.core.events import Event
from sesamehall.core.events import MessageReceived
from sesamehall.core.events import PeerConnected
from sesamehall.core.events import PeerDisconnected
from sesamehall.core.messages import Hello
from sesamehall.core.messages import Message
from sesamehall.runtime.interpreter import now_ms

READ_BYTES = 1 << 16
OUTPUT_LIMIT_BYTES = 32 << 20  # a peer that reads slower loses its stream
REDIAL_MS = 200  # first pause before dialling again; doubles up to the next
REDIAL_MOST_MS = 3_000  # a peer that is back is found at most this late
DIAL_TIMEOUT_MS = 2_000  # an unanswered dial is given up after this
GREETING_TIMEOUT_MS = 3_000  # a caller that does not greet is cut off


@dataclass(slots=True, eq=False)
class Connection:
    """One open or opening socket.

    Attributes:
      sock: The socket, non-blocking.
      peer: Name of the peer, "" until it has greeted.
      dialled: Whether this node opened it.
      ready: Whether the socket is connected.
      began_ms: Clock at which it was opened.
      reader: Cuts what is received into messages.
      output: Bytes not sent yet.
    """

    sock: socket.socket
    peer: str
    dialled: bool
    ready: bool
    began_ms: int
    reader: FrameReader = field(default_factory=FrameReader)
    output: bytearray = field(default_factory=bytearray)


@dataclass(slots=True)
class Redial:
    """When to dial a peer the next time.

    Attributes:
      at_ms: Clock of the next dial.
      pause_ms: Pause after the next failure.
    """

    at_ms: int
    pause_ms: int = REDIAL_MS


class StreamHub:
    """Owns the listening socket and all streams of a node."""

    def __init__(
        self,
        node: Node,
        peers_by_name: dict[str, Node],
        post: Callable[[Event], None],
    ):
        """Prepare the hub; `start` opens the sockets.

        Args:
          node: This node.
          peers_by_name: All nodes that may have a stream here.
          post: Takes the events of the streams.
        """
        self._node = node
        self._peers_by_name = peers_by_name
        self._post = post
        self._random = Random(node.name)
        self._selector = selectors.DefaultSelector()
        self._lock = threading.Lock()
        self._connections_by_peer: dict[str, Connection] = {}
        self._greeting: set[Connection] = set()
        self._redials_by_peer: dict[str, Redial] = {}
        self._writable: set[Connection] = set()
        self._closing: set[str] = set()
        self._running = True
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)
        self._listener: socket.socket | None = None
        self._thread = threading.Thread(
            target=self._run, name="streams", daemon=True
        )

    def start(self) -> None:
        """Listen, and begin to dial."""
        host, _, port = self._node.address.rpartition(":")
        self._listener = socket.create_server((host, int(port)), backlog=64)
        self._listener.setblocking(False)
        self._selector.register(self._listener, selectors.EVENT_READ)
        self._selector.register(self._wake_reader, selectors.EVENT_READ)
        for name in self._peers_by_name:
            if name < self._node.name:
                self._redials_by_peer[name] = Redial(now_ms())
        self._thread.start()

    def stop(self) -> None:
        """Close all sockets after what was handed in has been sent."""
        self._running = False
        self._wake()
        self._thread.join(timeout=2)

    def send(self, peer: str, message: Message) -> None:
        """Send a message; without an open stream it is dropped.

        Args:
          peer: Name of the peer.
          message: The message.
        """
        with self._lock:
            connection = self._connections_by_peer.get(peer)
            if connection is None:
                return
            if len(connection.output) > OUTPUT_LIMIT_BYTES:
                self._closing.add(peer)
            else:
                connection.output += encode_frame(message)
                self._writable.add(connection)
        self._wake()

    def disconnect(self, peer: str) -> None:
        """Close the stream to a peer.

        Args:
          peer: Name of the peer.
        """
        with self._lock:
            self._closing.add(peer)
        self._wake()

    def _wake(self) -> None:
        try:
            self._wake_writer.send(b"\0")
        except BlockingIOError:
            pass  # the thread is about to wake up anyway

    def _run(self) -> None:
        while self._running:
            for key, mask in self._selector.select(self._pause_s()):
                self._serve(key, mask)
            self._close_asked()
            self._flush_all()
            self._dial_due()
            self._drop_late()
        self._flush_all()
        for connection in self._all_connections():
            connection.sock.close()
        if self._listener is not None:
            self._listener.close()

    def _pause_s(self) -> float | None:
        """Compute how long nothing but a socket needs attention."""
        times = [redial.at_ms for redial in self._redials_by_peer.values()]
        for connection in self._all_connections():
            if not connection.ready:
                times.append(connection.began_ms + DIAL_TIMEOUT_MS)
            elif not connection.peer:
                times.append(connection.began_ms + GREETING_TIMEOUT_MS)
        if not times:
            return None
        return max(min(times) - now_ms(), 1) / 1000

    def _all_connections(self) -> list[Connection]:
        return list(self._connections_by_peer.values()) + list(self._greeting)

    def _serve(self, key, mask) -> None:
        if key.fileobj is self._listener:
            self._accept()
        elif key.fileobj is self._wake_reader:
            self._wake_reader.recv(READ_BYTES)
        elif not key.data.ready:
            self._finish_dial(key.data)
        else:
            if mask & selectors.EVENT_READ:
                self._receive(key.data)
            if mask & selectors.EVENT_WRITE:
                with self._lock:
                    self._writable.add(key.data)

    def _accept(self) -> None:
        try:
            sock, _ = self._listener.accept()
        except OSError:
            return
        self._adopt(Connection(sock, "", False, True, now_ms()))

    def _adopt(self, connection: Connection) -> None:
        connection.sock.setblocking(False)
        connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        events = selectors.EVENT_READ
        if not connection.ready:
            events = selectors.EVENT_WRITE
        self._selector.register(connection.sock, events, connection)
        self._greeting.add(connection)

    def _dial_due(self) -> None:
        now = now_ms()
        for name, redial in list(self._redials_by_peer.items()):
            if redial.at_ms > now:
                continue
            del self._redials_by_peer[name]
            self._dial(name, redial)

    def _dial(self, name: str, redial: Redial) -> None:
        host, _, port = self._peers_by_name[name].address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.connect_ex((host, int(port)))
        connection = Connection(sock, name, True, False, now_ms())
        self._redials_by_peer[name] = Redial(
            now_ms() + DIAL_TIMEOUT_MS + redial.pause_ms,
            min(redial.pause_ms * 2, REDIAL_MOST_MS),
        )
        self._adopt(connection)

    def _finish_dial(self, connection: Connection) -> None:
        failure = connection.sock.getsockopt(
            socket.SOL_SOCKET, socket.SO_ERROR
        )
        if failure:
            self._close(connection)
            return
        connection.ready = True
        self._selector.modify(
            connection.sock, selectors.EVENT_READ, connection
        )
        self._redials_by_peer.pop(connection.peer, None)
        self._name(connection, connection.peer)

    def _name(self, connection: Connection, peer: str) -> None:
        """Make a connection the stream of a peer."""
        self._greeting.discard(connection)
        with self._lock:
            older = self._connections_by_peer.get(peer)
            connection.peer = peer
            self._connections_by_peer[peer] = connection
        if older is not None:
            self._discard(older)
        self._post(PeerConnected(now_ms(), peer))

    def _receive(self, connection: Connection) -> None:
        try:
            received = connection.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            received = b""
        if not received:
            self._close(connection)
            return
        try:
            for message in connection.reader.feed(received):
                self._hand_in(connection, message)
        except DecodeError:
            self._close(connection)

    def _hand_in(self, connection: Connection, message: Message) -> None:
        """Post a message; the first one of a caller must be a greeting."""
        if not connection.peer:
            known = isinstance(message, Hello)
            if not known or message.name not in self._peers_by_name:
                raise DecodeError("no greeting of a known node")
            self._name(connection, message.name)
        self._post(MessageReceived(now_ms(), connection.peer, message))

    def _flush_all(self) -> None:
        with self._lock:
            waiting = list(self._writable)
            self._writable.clear()
        for connection in waiting:
            if connection.ready and connection.sock.fileno() >= 0:
                self._flush(connection)

    def _flush(self, connection: Connection) -> None:
        with self._lock:
            try:
                sent = connection.sock.send(connection.output)
            except BlockingIOError:
                sent = 0
            except OSError:
                sent = -1
            if sent > 0:
                del connection.output[:sent]
            events = selectors.EVENT_READ
            if connection.output:
                events |= selectors.EVENT_WRITE
        if sent < 0:
            self._close(connection)
        else:
            self._selector.modify(connection.sock, events, connection)

    def _close_asked(self) -> None:
        with self._lock:
            names = list(self._closing)
            self._closing.clear()
        for name in names:
            connection = self._connections_by_peer.get(name)
            if connection is not None:
                self._close(connection)

    def _drop_late(self) -> None:
        """Give up dials without answer and callers without greeting."""
        now = now_ms()
        for connection in list(self._greeting):
            limit_ms = GREETING_TIMEOUT_MS
            if not connection.ready:
                limit_ms = DIAL_TIMEOUT_MS
            if now - connection.began_ms >= limit_ms:
                self._close(connection)

    def _close(self, connection: Connection) -> None:
        """Close a connection, report its end and plan the next dial."""
        self._discard(connection)
        name = connection.peer
        if self._connections_by_peer.get(name) is connection:
            with self._lock:
                del self._connections_by_peer[name]
            self._post(PeerDisconnected(now_ms(), name))
        if not connection.dialled or name in self._connections_by_peer:
            return
        pause_ms = REDIAL_MS
        if name in self._redials_by_peer:
            pause_ms = self._redials_by_peer[name].pause_ms
        jitter_ms = self._random.randint(0, pause_ms // 2)
        self._redials_by_peer[name] = Redial(
            now_ms() + pause_ms + jitter_ms, pause_ms
        )

    def _discard(self, connection: Connection) -> None:
        """Close a connection's socket."""
        self._greeting.discard(connection)
        if connection.sock.fileno() >= 0:
            self._selector.unregister(connection.sock)
            connection.sock.close()
