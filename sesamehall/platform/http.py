"""One HTTP client for everything that the platform serves."""

from dataclasses import dataclass
import json
from socket import SO_LINGER
from socket import SOL_SOCKET
import struct

from urllib3 import HTTPConnectionPool
from urllib3 import Timeout
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from sesamehall.core.codes import PlatformError

CONNECT_TIMEOUT_S = 0.5  # a machine that accepts later counts as silent
RESET_ON_CLOSE = (SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
# What was sent on a connection that is given up must not arrive later, when
# a partition heals: another leader may have given other orders by then.
SOCKET_OPTIONS = [*HTTPConnection.default_socket_options, RESET_ON_CLOSE]
JSON_HEADERS = {"Content-Type": "application/json"}


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


class Client:
    """Calls one address over connections that it keeps."""

    def __init__(self, address: str, connections: int):
        """Prepare the client; it connects on its first call.

        Args:
          address: "host:port" of the server.
          connections: Connections that are kept while idle.
        """
        host, _, port = address.rpartition(":")
        self._pool = HTTPConnectionPool(
            host,
            int(port),
            maxsize=connections,
            socket_options=SOCKET_OPTIONS,
        )

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 1.0,
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
          PlatformError: There was none; the request may have taken effect.
        """
        timeout = Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s)
        try:
            response = self._pool.urlopen(
                method,
                path,
                body=body,
                headers=headers,
                retries=False,
                timeout=timeout,
            )
        except (HTTPError, OSError) as error:
            raise PlatformError(f"{type(error).__name__}: {error}") from error
        return Answer(response.status, response.data)

    def call_json(
        self,
        method: str,
        path: str,
        content: dict | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 1.0,
    ) -> Answer:
        """Send a request with a JSON body.

        Args:
          method: HTTP method.
          path: Path with the query.
          content: What to encode, or None for no body.
          headers: Further names and values.
          timeout_s: Longest pause of the server.
        Returns:
          The answer, of any status.
        Raises:
          PlatformError: There was none; the request may have taken effect.
        """
        body = None if content is None else json.dumps(content).encode()
        all_headers = JSON_HEADERS if headers is None else headers
        if headers is not None:
            all_headers = {**JSON_HEADERS, **headers}
        return self.call(method, path, body, all_headers, timeout_s)

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()
