"""A connection between two managers, which carries one frame at a time."""

import select
import socket
import struct
import time

from sesamehall.codecs.peerframes import decode_length
from sesamehall.codecs.peerframes import FRAME_LENGTH
from sesamehall.core.peertiming import PEER_CONNECT_TIMEOUT_MS
from sesamehall.core.peertiming import PEER_UNACKNOWLEDGED_MS

# Linger time 0: closing resets the connection and drops unsent data, so that
# a call which was given up does not arrive later.
LINGER_RESET = struct.pack("ii", 1, 0)


class PeerConnection:
    """Sends and receives frames with deadlines."""

    def __init__(self, sock: socket.socket):
        """Take over a connected socket.

        Args:
          sock: The socket.
        """
        self._sock = sock
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            PEER_UNACKNOWLEDGED_MS,
        )
        self._poll = select.poll()
        self._poll.register(sock, select.POLLIN)

    def is_reusable(self) -> bool:
        """Check that the peer has not closed the connection or sent data.

        Returns:
          False if a call would certainly fail.
        """
        return not self._poll.poll(0)

    def send(self, frame: bytes, timeout_s: float) -> None:
        """Send a frame.

        Args:
          frame: The frame, with its length.
          timeout_s: Longest time to wait.
        Raises:
          OSError: The frame was not sent completely in time.
        """
        self._sock.settimeout(max(timeout_s, 0.001))
        self._sock.sendall(frame)

    def receive(self, begin_timeout_s: float, timeout_s: float) -> bytes:
        """Receive a frame.

        Args:
          begin_timeout_s: Longest time to wait for its first byte.
          timeout_s: Longest time from then on.
        Returns:
          The frame without its length; empty if the peer closed the
          connection before it.
        Raises:
          OSError: The frame was not received in time, or only in part.
          DecodeError: The frame is too long.
        """
        self._sock.settimeout(max(begin_timeout_s, 0.001))
        first = self._sock.recv(1)
        if not first:
            return b""
        end_s = time.monotonic() + timeout_s
        rest = self._receive_exactly(FRAME_LENGTH.size - 1, end_s)
        return self._receive_exactly(decode_length(first + rest), end_s)

    def _receive_exactly(self, length: int, end_s: float) -> bytes:
        chunks = []
        while length:
            remaining_s = end_s - time.monotonic()
            if remaining_s <= 0:
                raise TimeoutError("frame is late")
            self._sock.settimeout(remaining_s)
            chunk = self._sock.recv(length)
            if not chunk:
                raise ConnectionError("closed within a frame")
            chunks.append(chunk)
            length -= len(chunk)
        return b"".join(chunks)

    def close(self) -> None:
        """Reset the connection."""
        self._sock.close()


def connect(address: str) -> PeerConnection:
    """Connect to a peer.

    Args:
      address: Its "host:port".
    Returns:
      The connection.
    Raises:
      OSError: The peer did not accept in time.
    """
    host, _, port = address.rpartition(":")
    return PeerConnection(
        socket.create_connection(
            (host, int(port)), PEER_CONNECT_TIMEOUT_MS / 1_000
        )
    )
