"""A loopback proxy that delays, resets, silences or swallows what passes."""

from enum import Enum
import socket
import struct
import threading
import time

CHUNK_BYTES = 65_536
BACKLOG = 64
POLL_S = 0.05
RESET = struct.pack("ii", 1, 0)  # SO_LINGER that makes a close a reset


class Passage(Enum):
    """What a proxy does with the bytes that come."""

    OPEN = "open"
    SLOW = "slow"
    SILENT = "silent"
    ANSWERS_LOST = "answers lost"


class Proxy:
    """Passes connections on to one address."""

    def __init__(self, target: str, host: str = "127.0.0.1"):
        """Begin to listen.

        Args:
          target: "host:port" that connections are passed on to.
          host: Address to listen on.
        """
        host_name, _, port = target.rpartition(":")
        self._target = (host_name, int(port))
        self._listener = socket.create_server((host, 0), backlog=BACKLOG)
        self.address = f"{host}:{self._listener.getsockname()[1]}"
        self.passage = Passage.OPEN
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
                caller, _ = self._listener.accept()
            except OSError:
                return
            try:
                server = socket.create_connection(self._target, timeout=5)
                server.settimeout(None)
            except OSError:
                _reset(caller)
                continue
            pair = (caller, server)
            with self._lock:
                self._pairs.add(pair)
            for source, sink, answers in (
                (caller, server, False),
                (server, caller, True),
            ):
                threading.Thread(
                    target=self._pump,
                    args=(pair, source, sink, answers),
                    daemon=True,
                ).start()

    def _pump(self, pair, source, sink, answers):
        """Pass bytes on in one direction until either end closes."""
        try:
            while chunk := source.recv(CHUNK_BYTES):
                if self._let_pass(answers):
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

    def _let_pass(self, answers: bool) -> bool:
        """Wait as long as bytes are held up; tell whether they pass."""
        while self.passage is Passage.SILENT:
            time.sleep(POLL_S)
        if self.passage is Passage.SLOW:
            time.sleep(self.delay_s)
        return not (answers and self.passage is Passage.ANSWERS_LOST)


def _reset(*ends: socket.socket) -> None:
    for end in ends:
        try:
            end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            end.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        end.close()
