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
        self._lock = threading.Lock()
        self._pairs: set[tuple[socket.socket, socket.socket]] = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def reset(self) -> None:
        """Reset all open connections."""
        with self._lock:
            pairs = list(self._pairs)
            self._pairs.clear()
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
        try:
            while chunk := source.recv(CHUNK_BYTES):
                if self._wait_to_forward(is_response):
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

    def _wait_to_forward(self, is_response: bool) -> bool:
        """Wait while the mode says so; return whether to forward the bytes."""
        while self.mode is ProxyMode.STALL:
            time.sleep(POLL_INTERVAL_S)
        if self.mode is ProxyMode.DELAY:
            time.sleep(self.delay_s)
        return not (is_response and self.mode is ProxyMode.DROP_RESPONSES)


def _reset(*ends: socket.socket) -> None:
    for end in ends:
        try:
            end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            end.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        end.close()
