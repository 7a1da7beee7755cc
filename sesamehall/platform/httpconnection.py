"""An HTTP connection to one server of the platform.

It uses the standard library's connection, since a leader makes some thousand
small calls per second and a pooled client takes twice the CPU time for each.
"""

from dataclasses import dataclass
from http.client import HTTPConnection
from http.client import HTTPException
import select
import socket
import struct
import time

from sesamehall.codecs.jsonfields import decode_object
from sesamehall.core.codes import DecodeError
from sesamehall.core.codes import PlatformError

CONNECT_TIMEOUT_S = 0.5  # a machine that accepts later counts as silent
# Linger time 0: closing resets the connection and drops unsent data.  A
# request that timed out must not arrive later, when a partition heals, since
# another leader may have sent other orders by then.
LINGER_RESET = struct.pack("ii", 1, 0)


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response.

    Attributes:
      status: HTTP status.
      body: Bytes of the body.
    """

    status: int
    body: bytes

    def json(self) -> dict:
        """Decode the body as a JSON object.

        Returns:
          The object; an empty one for an empty body.
        Raises:
          PlatformError: The body is not a JSON object.
        """
        if not self.body:
            return {}
        try:
            return decode_object(self.body)
        except DecodeError as error:
            raise PlatformError(str(error)) from error


class HttpConnection:
    """A connection that carries one request at a time.

    Attributes:
      keep_alive: Whether the server keeps the connection open after the last
        response.
      server_started_ms: Time of the server's start as it told, since 1970; 0
        if it does not tell, None if it was not asked.
      answered_s: Monotonic time of the last response, or of the opening.
    """

    def __init__(self, host: str, port: int):
        """Open the connection.

        Args:
          host: IP address of the server.
          port: Port of the server.
        Raises:
          OSError: The server does not accept the connection.
        """
        self.keep_alive = True
        self.server_started_ms: int | None = None
        self.answered_s = time.monotonic()
        self._connection = HTTPConnection(host, port, CONNECT_TIMEOUT_S)
        self._connection.connect()
        self._socket = self._connection.sock
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET
        )
        self._poll = select.poll()
        self._poll.register(self._socket, select.POLLIN)

    def is_reusable(self) -> bool:
        """Check that the server has not closed the connection or sent data.

        Returns:
          False if a request would certainly fail.
        """
        return not self._poll.poll(0)

    def exchange(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str],
        timeout_s: float,
    ) -> HttpResponse:
        """Send a request and read the complete response.

        Args:
          method: HTTP method.
          path: Path with the query.
          body: The body, or None.
          headers: Names and values.
          timeout_s: Longest time to wait for the next bytes.
        Returns:
          The response, of any status.
        Raises:
          PlatformError: The response is late, invalid or incomplete.
        """
        self._socket.settimeout(timeout_s)
        try:
            self._connection.request(method, path, body, headers)
            http_response = self._connection.getresponse()
            _check_content_length(http_response)
            response_body = http_response.read()
        except (HTTPException, OSError, ValueError) as error:
            raise PlatformError(f"{type(error).__name__}: {error}") from error
        self.keep_alive = not http_response.will_close
        self.answered_s = time.monotonic()
        return HttpResponse(http_response.status, response_body)

    def close(self) -> None:
        """Reset the connection."""
        self._socket.close()
        self._connection.close()


def _check_content_length(http_response):
    """Reject an invalid Content-Length; the library would read until close."""
    header = http_response.getheader("Content-Length")
    if (
        header is not None
        and http_response.length is None
        and not http_response.chunked
    ):
        raise PlatformError(f"invalid Content-Length {header[:20]!r}")
