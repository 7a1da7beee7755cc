"""A TCP proxy that injects network faults on loopback connections."""

from enum import Enum
import socket
import struct
import threading
import time

CHUNK_BYTES = 65_536
BACKLOG = 64
POLL_INTERVAL_S = 0.05
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER: close sends a TCP reset


class ProxyMode(Enum):
    """How a proxy treats the bytes that it receives."""

    FORWARD = "open"
    DELAY = "slow"
    STALL = "silent"
    DROP_RESPONSES = "answers lost"


class Proxy:
    """Forwards connections to one target.

    The mode applies to open connections too and may change at any time.

    Attributes:
      address: "host:port" at which the proxy listens.
      mode: How bytes are treated.
      delay_s: Delay of each chunk in the mode DELAY, in seconds.
      cut_sources: Addresses whose connections stall in any mode.
    """

    def __init__(self, target: str, host: str = "127.0.0.1"):
        """Start listening on a free port.

        Args:
          target: "host:port" to which connections are forwarded.
          host: Address to listen on.
        """
        host_name, _, port = target.rpartition(":")
        self._target = (host_name, int(port))
        self._listener = socket.create_server((host, 0), backlog=BACKLOG)
        self.address = f"{host}:{self._listener.getsockname()[1]}"
        self.mode = ProxyMode.FORWARD
        self.delay_s = 0.3
        self.cut_sources: frozenset[str] = frozenset()
        self._lock = threading.Lock()
        self._pairs: set[tuple[socket.socket, socket.socket]] = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def reset(self, sources: frozenset[str] | None = None) -> None:
        """Reset open connections.

        Args:
          sources: Addresses whose connections are reset; None for all.
        """
        with self._lock:
            pairs = [
                pair
                for pair in self._pairs
                if sources is None or _source(pair[0]) in sources
            ]
            self._pairs.difference_update(pairs)
        for pair in pairs:
            _reset(*pair)

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self._listener.close()
        self.reset()

    def _accept(self):
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            try:
                server = socket.create_connection(self._target, timeout=5)
                server.settimeout(None)
            except OSError:
                _reset(client)
                continue
            pair = (client, server)
            with self._lock:
                self._pairs.add(pair)
            for source, sink, is_response in (
                (client, server, False),
                (server, client, True),
            ):
                threading.Thread(
                    target=self._forward,
                    args=(pair, source, sink, is_response),
                    daemon=True,
                ).start()

    def _forward(self, pair, source, sink, is_response):
        """Forward bytes in one direction until either end closes."""
        client_ip = _source(pair[0])
        try:
            while chunk := source.recv(CHUNK_BYTES):
                if self._wait_to_forward(client_ip, is_response):
                    sink.sendall(chunk)
        except OSError:
            pass
        with self._lock:
            self._pairs.discard(pair)
        for end in pair:
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            end.close()

    def _wait_to_forward(self, client_ip: str, is_response: bool) -> bool:
        """Wait while the mode says so; return whether to forward the bytes."""
        while self.mode is ProxyMode.STALL or client_ip in self.cut_sources:
            time.sleep(POLL_INTERVAL_S)
        if self.mode is ProxyMode.DELAY:
            time.sleep(self.delay_s)
        return not (is_response and self.mode is ProxyMode.DROP_RESPONSES)


def _source(client: socket.socket) -> str:
    """Return the address of a client, or "" if it has gone."""
    try:
        return client.getpeername()[0]
    except OSError:
        return ""


def _reset(*ends: socket.socket) -> None:
    for end in ends:
        try:
            end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            end.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        end.close()
