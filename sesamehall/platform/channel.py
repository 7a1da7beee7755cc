"""One connection to a server of the platform: a request, a whole answer.

A leader makes some thousand small calls a second.  The standard library's
connection takes half the processor time of a pooled client for each.
"""

from dataclasses import dataclass
from http.client import HTTPConnection
from http.client import HTTPException
import json
import select
import socket
import struct

from sesamehall.core.codes import PlatformError

CONNECT_TIMEOUT_S = 0.5  # a machine that accepts later counts as silent
# What was sent on a connection that is given up must not arrive later, when
# a partition heals: another leader may have given other orders by then.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer.

    Attributes:
      status: HTTP status.
      body: The body's bytes.
    """

    status: int
    body: bytes

    def json(self) -> dict:
        """Decode the body.

        Returns:
          The JSON object; an empty one for an empty body.
        Raises:
          PlatformError: The body is not a JSON object.
        """
        if not self.body:
            return {}
        try:
            value = json.loads(self.body)
        except ValueError as error:
            raise PlatformError(f"not JSON: {error}") from error
        if not isinstance(value, dict):
            raise PlatformError("not a JSON object")
        return value


class Channel:
    """A connection that is used for one call at a time.

    Attributes:
      reusable: Whether another call may follow on it.
    """

    def __init__(self, host: str, port: int):
        """Connect.

        Args:
          host: The server's IP address.
          port: Its port.
        Raises:
          OSError: It does not accept.
        """
        self.reusable = True
        self._connection = HTTPConnection(host, port, CONNECT_TIMEOUT_S)
        self._connection.connect()
        self._socket = self._connection.sock
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
        )
        self._poll = select.poll()
        self._poll.register(self._socket, select.POLLIN)

    def is_quiet(self) -> bool:
        """Tell whether the server has kept its side open and said nothing.

        Returns:
          False where a call would certainly fail.
        """
        return not self._poll.poll(0)

    def exchange(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str],
        timeout_s: float,
    ) -> Answer:
        """Send a request and read the whole answer.

        Args:
          method: HTTP method.
          path: Path with the query.
          body: The body, or None.
          headers: Names and values.
          timeout_s: Longest pause of the server.
        Returns:
          The answer, of any status.
        Raises:
          PlatformError: There was none in time, or not a whole one.
        """
        self._socket.settimeout(timeout_s)
        try:
            self._connection.request(method, path, body, headers)
            response = self._connection.getresponse()
            _check_length(response)
            content = response.read()
        except (HTTPException, OSError, ValueError) as error:
            raise PlatformError(f"{type(error).__name__}: {error}") from error
        self.reusable = not response.will_close
        return Answer(response.status, content)

    def close(self) -> None:
        """Reset the connection."""
        self._socket.close()
        self._connection.close()


def _check_length(response):
    """Refuse a length that is no number; the library reads to the end."""
    told = response.getheader("Content-Length")
    if told is not None and response.length is None and not response.chunked:
        raise PlatformError(f"length of {told[:20]!r}")
