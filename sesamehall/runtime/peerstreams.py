"""Streams between nodes; one thread serves all sockets with a selector.

Of two nodes, the one whose name sorts last opens the connection.  The Hello
message, which comes first, names the peer; a new stream from a peer replaces
the previous one.
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
OUTPUT_LIMIT_BYTES = 32 << 20  # a stream with more unsent bytes is closed
RECONNECT_MIN_MS = 200  # after a stream was lost; doubles before each attempt
RECONNECT_MAX_MS = 3_000  # bounds how late a returning peer is found
CONNECT_TIMEOUT_MS = 2_000
HELLO_TIMEOUT_MS = 3_000  # for the first message of an inbound stream


@dataclass(slots=True, eq=False)
class Connection:
    """One connected or connecting socket.

    Attributes:
      sock: The socket, non-blocking.
      peer: Name of the peer; "" for an inbound connection until its Hello was
        received.
      outbound: Whether this node opened it.
      connected: Whether the socket is connected; an inbound one always is.
      opened_ms: Time at which it was opened.
      reader: Splits the received bytes into messages.
      send_buffer: Bytes that are not sent yet.
    """

    sock: socket.socket
    peer: str
    outbound: bool
    connected: bool
    opened_ms: int
    reader: FrameReader = field(default_factory=FrameReader)
    send_buffer: bytearray = field(default_factory=bytearray)


@dataclass(slots=True)
class ReconnectState:
    """When to connect to a peer again.

    Attributes:
      at_ms: Time of the next attempt.
      backoff_ms: Delay before the next attempt; doubled when an attempt
        begins.
    """

    at_ms: int
    backoff_ms: int = RECONNECT_MIN_MS


class PeerStreams:
    """Owns the listening socket and all streams of a node."""

    def __init__(
        self,
        node: Node,
        peers_by_name: dict[str, Node],
        post_event: Callable[[Event], None],
    ):
        """Create the streams; `start` opens the sockets.

        Args:
          node: This node.
          peers_by_name: The nodes with which this one has streams, whichever
            side connects.
          post_event: Queues an event for the interpreter.
        """
        self._node = node
        self._peers_by_name = peers_by_name
        self._post_event = post_event
        self._random = Random(node.name)
        self._selector = selectors.DefaultSelector()
        self._lock = threading.Lock()
        self._connections_by_peer: dict[str, Connection] = {}
        self._handshaking: set[Connection] = set()
        self._reconnects_by_peer: dict[str, ReconnectState] = {}
        self._flushable: set[Connection] = set()
        self._peers_to_close: set[str] = set()
        self._running = True
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)
        self._listener: socket.socket | None = None
        self._thread = threading.Thread(
            target=self._run, name="streams", daemon=True
        )

    def start(self) -> None:
        """Start to listen and to connect to peers."""
        host, _, port = self._node.address.rpartition(":")
        self._listener = socket.create_server((host, int(port)), backlog=64)
        self._listener.setblocking(False)
        self._selector.register(self._listener, selectors.EVENT_READ)
        self._selector.register(self._wake_reader, selectors.EVENT_READ)
        for name in self._peers_by_name:
            if name < self._node.name:
                self._reconnects_by_peer[name] = ReconnectState(now_ms())
        self._thread.start()

    def stop(self) -> None:
        """Send what each socket accepts without blocking, and close all."""
        self._running = False
        self._wake()
        self._thread.join(timeout=2)

    def send(self, peer: str, message: Message) -> None:
        """Queue a message for a peer; drop it if no stream is open.

        The stream of a peer that reads too slowly is closed.

        Args:
          peer: Name of the peer.
          message: The message.
        """
        with self._lock:
            connection = self._connections_by_peer.get(peer)
            if connection is None:
                return
            if len(connection.send_buffer) > OUTPUT_LIMIT_BYTES:
                self._peers_to_close.add(peer)
            else:
                connection.send_buffer += encode_frame(message)
                self._flushable.add(connection)
        self._wake()

    def disconnect(self, peer: str) -> None:
        """Close the stream to a peer.

        Args:
          peer: Name of the peer.
        """
        with self._lock:
            self._peers_to_close.add(peer)
        self._wake()

    def _wake(self) -> None:
        try:
            self._wake_writer.send(b"\0")
        except BlockingIOError:
            pass  # a wake-up is pending already

    def _run(self) -> None:
        while self._running:
            for key, mask in self._selector.select(self._select_timeout_s()):
                self._handle_ready_socket(key, mask)
            self._close_requested_streams()
            self._flush_all()
            self._reconnect_due_peers()
            self._close_timed_out_connections()
        self._flush_all()
        for connection in self._all_connections():
            connection.sock.close()
        if self._listener is not None:
            self._listener.close()

    def _select_timeout_s(self) -> float | None:
        """Return the time until the next timeout or attempt to connect."""
        deadlines = [
            reconnect.at_ms for reconnect in self._reconnects_by_peer.values()
        ]
        for connection in self._all_connections():
            if not connection.connected:
                deadlines.append(connection.opened_ms + CONNECT_TIMEOUT_MS)
            elif not connection.peer:
                deadlines.append(connection.opened_ms + HELLO_TIMEOUT_MS)
        if not deadlines:
            return None
        return max(min(deadlines) - now_ms(), 1) / 1000

    def _all_connections(self) -> list[Connection]:
        return list(self._connections_by_peer.values()) + list(
            self._handshaking
        )

    def _handle_ready_socket(self, key, mask) -> None:
        if key.fileobj is self._listener:
            self._accept()
        elif key.fileobj is self._wake_reader:
            self._wake_reader.recv(READ_BYTES)
        elif not key.data.connected:
            self._finish_connect(key.data)
        else:
            if mask & selectors.EVENT_READ:
                self._receive(key.data)
            if mask & selectors.EVENT_WRITE:
                with self._lock:
                    self._flushable.add(key.data)

    def _accept(self) -> None:
        try:
            sock, _ = self._listener.accept()
        except OSError:
            return
        self._register(Connection(sock, "", False, True, now_ms()))

    def _register(self, connection: Connection) -> None:
        connection.sock.setblocking(False)
        connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        events = selectors.EVENT_READ
        if not connection.connected:
            events = selectors.EVENT_WRITE
        self._selector.register(connection.sock, events, connection)
        self._handshaking.add(connection)

    def _reconnect_due_peers(self) -> None:
        now = now_ms()
        for name, reconnect in list(self._reconnects_by_peer.items()):
            if reconnect.at_ms > now:
                continue
            del self._reconnects_by_peer[name]
            self._connect(name, reconnect)

    def _connect(self, name: str, reconnect: ReconnectState) -> None:
        host, _, port = self._peers_by_name[name].address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.connect_ex((host, int(port)))
        connection = Connection(sock, name, True, False, now_ms())
        self._reconnects_by_peer[name] = ReconnectState(
            now_ms() + CONNECT_TIMEOUT_MS + reconnect.backoff_ms,
            min(reconnect.backoff_ms * 2, RECONNECT_MAX_MS),
        )
        self._register(connection)

    def _finish_connect(self, connection: Connection) -> None:
        failure = connection.sock.getsockopt(
            socket.SOL_SOCKET, socket.SO_ERROR
        )
        if failure:
            self._close(connection)
            return
        connection.connected = True
        self._selector.modify(
            connection.sock, selectors.EVENT_READ, connection
        )
        self._reconnects_by_peer.pop(connection.peer, None)
        self._set_peer(connection, connection.peer)

    def _set_peer(self, connection: Connection, peer: str) -> None:
        """Make a connection the stream of a peer; close the previous one."""
        self._handshaking.discard(connection)
        with self._lock:
            older = self._connections_by_peer.get(peer)
            connection.peer = peer
            self._connections_by_peer[peer] = connection
        if older is not None:
            self._discard(older)
        self._post_event(PeerConnected(now_ms(), peer))

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
                self._handle_message(connection, message)
        except DecodeError:
            self._close(connection)

    def _handle_message(
        self, connection: Connection, message: Message
    ) -> None:
        """Post a message; the first on an inbound stream must be a Hello."""
        if not connection.peer:
            is_hello = isinstance(message, Hello)
            if not is_hello or message.name not in self._peers_by_name:
                raise DecodeError(
                    "first message is not a Hello of a known node"
                )
            self._set_peer(connection, message.name)
        self._post_event(MessageReceived(now_ms(), connection.peer, message))

    def _flush_all(self) -> None:
        with self._lock:
            flushable = list(self._flushable)
            self._flushable.clear()
        for connection in flushable:
            if connection.connected and connection.sock.fileno() >= 0:
                self._flush(connection)

    def _flush(self, connection: Connection) -> None:
        with self._lock:
            try:
                sent = connection.sock.send(connection.send_buffer)
            except BlockingIOError:
                sent = 0
            except OSError:
                sent = -1
            if sent > 0:
                del connection.send_buffer[:sent]
            events = selectors.EVENT_READ
            if connection.send_buffer:
                events |= selectors.EVENT_WRITE
        if sent < 0:
            self._close(connection)
        else:
            self._selector.modify(connection.sock, events, connection)

    def _close_requested_streams(self) -> None:
        with self._lock:
            peers = list(self._peers_to_close)
            self._peers_to_close.clear()
        for name in peers:
            connection = self._connections_by_peer.get(name)
            if connection is not None:
                self._close(connection)

    def _close_timed_out_connections(self) -> None:
        """Close sockets that did not connect, or got no Hello, in time."""
        now = now_ms()
        for connection in list(self._handshaking):
            limit_ms = HELLO_TIMEOUT_MS
            if not connection.connected:
                limit_ms = CONNECT_TIMEOUT_MS
            if now - connection.opened_ms >= limit_ms:
                self._close(connection)

    def _close(self, connection: Connection) -> None:
        """Close a connection, post its end and schedule the next attempt."""
        self._discard(connection)
        name = connection.peer
        if self._connections_by_peer.get(name) is connection:
            with self._lock:
                del self._connections_by_peer[name]
            self._post_event(PeerDisconnected(now_ms(), name))
        if not connection.outbound or name in self._connections_by_peer:
            return
        backoff_ms = RECONNECT_MIN_MS
        if name in self._reconnects_by_peer:
            backoff_ms = self._reconnects_by_peer[name].backoff_ms
        jitter_ms = self._random.randint(0, backoff_ms // 2)
        self._reconnects_by_peer[name] = ReconnectState(
            now_ms() + backoff_ms + jitter_ms, backoff_ms
        )

    def _discard(self, connection: Connection) -> None:
        """Close a connection's socket; post no event and do not reconnect."""
        self._handshaking.discard(connection)
        if connection.sock.fileno() >= 0:
            self._selector.unregister(connection.sock)
            connection.sock.close()
