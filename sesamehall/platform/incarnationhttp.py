"""An HTTP client whose calls reach one incarnation of a server only.

A server may start again under its identifier and address, with another clock
and without knowledge of what came before.  Neither the address nor a header
tells the two apart, but a connection does: it ends with the process that
accepted it.  So each connection is asked once for the incarnation at its other
end, and a call that is meant for one incarnation is sent over its connections
only.
"""

from collections.abc import Callable
from dataclasses import dataclass
import json
import time

from sesamehall.core.codes import PlatformError
from sesamehall.platform.http import HttpClient
from sesamehall.platform.http import JSON_HEADERS
from sesamehall.platform.httpconnection import HttpConnection
from sesamehall.platform.httpconnection import HttpResponse

UNKNOWN_INCARNATION = 0  # start time of a server that does not tell it


@dataclass(frozen=True, slots=True)
class JsonRequest:
    """A POST request with a JSON body.

    Attributes:
      path: Path of the request.
      document: Object to encode as the body.
      headers: Names and values, beside those of JSON.
      timeout_s: Longest time to wait for the next bytes of the response.
    """

    path: str
    document: dict
    headers: dict[str, str]
    timeout_s: float


class CallNotSentError(PlatformError):
    """A call was not sent, since another incarnation may have received it.

    Attributes:
      response: What the server answered when it was asked.
    """

    def __init__(self, response: HttpResponse):
        """Create the error.

        Args:
          response: What the server answered when it was asked.
        """
        super().__init__("another incarnation may answer at the address")
        self.response = response


class CallExpiredError(PlatformError):
    """A call was not sent, since its time was over before it could be."""


class IncarnationClient(HttpClient):
    """Calls the incarnations of one server; safe for concurrent use."""

    def __init__(
        self,
        address: str,
        max_idle: int,
        decode_start_ms: Callable[[HttpResponse], int | None],
    ):
        """Create the client; it connects on its first call.

        Args:
          address: "host:port" of the server.
          max_idle: Maximum number of idle connections in the pool.
          decode_start_ms: Decodes the start time of the incarnation that sent
            a response, UNKNOWN_INCARNATION if it tells none, or None if the
            response does not answer that.
        """
        super().__init__(address, max_idle)
        self._decode_start_ms = decode_start_ms

    def ask(self, request: JsonRequest) -> HttpResponse:
        """Send a request that any incarnation may receive.

        Args:
          request: The request; its response tells the incarnation.
        Returns:
          The response, of any status.
        Raises:
          PlatformError: There was no valid response.
        """
        connection = self._take_idle() or self._connect()
        response = self._send(connection, request)
        self._release(connection)
        return response

    def call_incarnation(
        self,
        started_ms: int,
        request: JsonRequest,
        handshake: JsonRequest,
        may_send: Callable[[], bool] = lambda: True,
    ) -> HttpResponse:
        """Send a request that only one incarnation may receive.

        Args:
          started_ms: Start time of the incarnation; any may receive the
            request if it is UNKNOWN_INCARNATION.
          request: The request.
          handshake: Request that is sent first over a connection of which the
            incarnation is not known.
          may_send: Tells, just before the request is sent, whether it still
            may be.
        Returns:
          The response, of any status.
        Raises:
          CallNotSentError: Another incarnation answers; nothing was sent.
          CallExpiredError: The request may not be sent any more.
          PlatformError: There was no valid response; the request may have
            taken effect.
        """
        connection = self._take_connection_to(started_ms)
        if connection is None:
            connection = self._connect()
            answer = self._send(connection, handshake)
            if not _may_be(connection, started_ms):
                self._release(connection)
                raise CallNotSentError(answer)
        if not may_send():
            self._release(connection)
            raise CallExpiredError("expired or revoked")
        response = self._send(connection, request)
        self._release(connection)
        return response

    def _take_connection_to(self, started_ms: int) -> HttpConnection | None:
        """Take an idle connection to an incarnation, and close the others."""
        while (connection := self._take_idle()) is not None:
            if _may_be(connection, started_ms):
                return connection
            connection.close()
        return None

    def _send(
        self, connection: HttpConnection, request: JsonRequest
    ) -> HttpResponse:
        """Send a request, and note the incarnation that answers.

        Without a response, all connections may have gone silent, while new
        ones work.  So those without one since then are closed too.
        """
        sent_s = time.monotonic()
        try:
            response = self._exchange(
                connection,
                "POST",
                request.path,
                json.dumps(request.document).encode(),
                {**JSON_HEADERS, **request.headers},
                request.timeout_s,
            )
        except PlatformError:
            self._discard_idle(silent_since_s=sent_s)
            raise
        if connection.server_started_ms is None:
            connection.server_started_ms = self._decode_start_ms(response)
        return response


def _may_be(connection: HttpConnection, started_ms: int) -> bool:
    """Check whether a connection leads to an incarnation, if it is told."""
    told_ms = connection.server_started_ms
    if told_ms is None:
        return False
    return told_ms == started_ms or UNKNOWN_INCARNATION in (
        told_ms,
        started_ms,
    )
