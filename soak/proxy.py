"""A TCP proxy that injects network faults on loopback connections."""

from dataclasses import dataclass
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


@dataclass(eq=False, slots=True)
class Link:
    """A client's connection and the one to the target that it leads to.

    The sockets are closed when no thread uses them any more: their numbers
    may be those of other sockets at once.

    Attributes:
      client_ip: Address that the client connects from.
      ends: Sockets to the client and to the target.
      forwarding: Directions that a thread still forwards.
    """

    client_ip: str
    ends: tuple[socket.socket, socket.socket]
    forwarding: int = 2

    def shut_down(self, reset: bool) -> None:
        """Let both threads end.

        Args:
          reset: Whether closing sends a TCP reset to both sides.
        """
        for end in self.ends:
            try:
                if reset:
                    end.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET
                    )
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


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
        self._links: set[Link] = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def reset(self, sources: frozenset[str] | None = None) -> None:
        """Reset open connections.

        Args:
          sources: Addresses whose connections are reset; None for all.
        """
        with self._lock:
            links = [
                link
                for link in self._links
                if sources is None or link.client_ip in sources
            ]
            self._links.difference_update(links)
        for link in links:
            link.shut_down(reset=True)

    def close(self) -> None:
        """Stop listening and reset all connections."""
        try:
            self._listener.shutdown(socket.SHUT_RDWR)  # wakes the thread
        except OSError:
            pass
        self._listener.close()
        self.reset()

    def _accept(self):
        while True:
            try:
                client, (client_ip, _) = self._listener.accept()
            except OSError:
                return
            server = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            link = Link(client_ip, (client, server))
            with self._lock:
                self._links.add(link)
            threading.Thread(
                target=self._open, args=(link,), daemon=True
            ).start()

    def _open(self, link: Link) -> None:
        """Connect a client to the target once bytes are forwarded.

        A connection without a request would occupy a thread of the target.
        """
        client, server = link.ends
        while self._is_held_up(link) and link in self._links:
            time.sleep(POLL_INTERVAL_S)
        try:
            server.connect(self._target)
        except OSError:
            link.shut_down(reset=True)
            with self._lock:
                self._links.discard(link)
            client.close()
            server.close()
            return
        threading.Thread(
            target=self._forward,
            args=(link, server, client, True),
            daemon=True,
        ).start()
        self._forward(link, client, server, False)

    def _forward(self, link: Link, source, sink, is_response: bool):
        """Forward bytes in one direction until either end closes."""
        try:
            while chunk := source.recv(CHUNK_BYTES):
                if self._wait_to_forward(link, is_response):
                    sink.sendall(chunk)
        except OSError:
            pass
        link.shut_down(reset=False)
        with self._lock:
            self._links.discard(link)
            link.forwarding -= 1
            unused = not link.forwarding
        if unused:
            for end in link.ends:
                end.close()

    def _wait_to_forward(self, link: Link, is_response: bool) -> bool:
        """Wait while the mode says so; return whether to forward the bytes."""
        while self._is_held_up(link) and link in self._links:
            time.sleep(POLL_INTERVAL_S)
        if self.mode is ProxyMode.DELAY:
            time.sleep(self.delay_s)
        dropped = is_response and self.mode is ProxyMode.DROP_RESPONSES
        return link in self._links and not dropped

    def _is_held_up(self, link: Link) -> bool:
        stalled = self.mode is ProxyMode.STALL
        return stalled or link.client_ip in self.cut_sources
