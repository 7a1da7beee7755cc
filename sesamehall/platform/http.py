"""HTTP client for the servers of the platform."""

from collections import deque
import json

from sesamehall.core.codes import PlatformError
from sesamehall.platform.httpconnection import HttpConnection
from sesamehall.platform.httpconnection import HttpResponse

JSON_HEADERS = {"Content-Type": "application/json"}


class HttpClient:
    """Calls one server over pooled connections; safe for concurrent use."""

    def __init__(self, address: str, max_idle: int):
        """Create the client; it connects on its first call.

        Args:
          address: "host:port" of the server.
          max_idle: Maximum number of idle connections in the pool.
        """
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._max_idle = max_idle
        self._idle: deque[HttpConnection] = deque()
        self._closed = False

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 1.0,
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
          PlatformError: There was no valid response; the request may have
            taken effect.
        """
        connection = self._take_idle() or self._connect()
        response = self._exchange(
            connection, method, path, body, headers or {}, timeout_s
        )
        self._release(connection)
        return response

    def call_json(
        self,
        method: str,
        path: str,
        document: dict | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 1.0,
    ) -> HttpResponse:
        """Send a request with a JSON body.

        Args:
          method: HTTP method.
          path: Path with the query.
          document: Object to encode as the body, or None for no body.
          headers: Additional names and values.
          timeout_s: Longest time to wait for the next bytes.
        Returns:
          The response, of any status.
        Raises:
          PlatformError: There was no valid response; the request may have
            taken effect.
        """
        body = None if document is None else json.dumps(document).encode()
        request_headers = {**JSON_HEADERS, **(headers or {})}
        return self.call(method, path, body, request_headers, timeout_s)

    def close(self) -> None:
        """Close idle connections now and the others after their call."""
        self._closed = True
        while (connection := self._pop_idle()) is not None:
            connection.close()

    def _exchange(self, connection: HttpConnection, *request) -> HttpResponse:
        """Send a request; without a valid response, close the connection."""
        try:
            return connection.exchange(*request)
        except PlatformError:
            connection.close()
            raise

    def _take_idle(self) -> HttpConnection | None:
        """Take an idle connection that is still usable, if there is one."""
        while (connection := self._pop_idle()) is not None:
            if connection.is_reusable():
                return connection
            connection.close()
        return None

    def _connect(self) -> HttpConnection:
        """Open a connection."""
        try:
            return HttpConnection(self._host, self._port)
        except OSError as error:
            raise PlatformError(f"{type(error).__name__}: {error}") from error

    def _discard_idle(self, silent_since_s: float) -> None:
        """Close idle connections without a response since a point in time."""
        answering = []
        while (connection := self._pop_idle()) is not None:
            if connection.answered_s < silent_since_s:
                connection.close()
            else:
                answering.append(connection)
        self._idle.extend(reversed(answering))

    def _pop_idle(self) -> HttpConnection | None:
        """Take the most recently used idle connection, if there is one.

        Checking the length first would race with other threads.
        """
        try:
            return self._idle.pop()
        except IndexError:
            return None

    def _release(self, connection: HttpConnection) -> None:
        """Return a connection to the pool, or close it."""
        is_full = len(self._idle) >= self._max_idle
        if self._closed or is_full or not connection.keep_alive:
            connection.close()
            return
        self._idle.append(connection)
