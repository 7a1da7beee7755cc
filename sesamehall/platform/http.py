"""One HTTP client for everything that the platform serves."""

from collections import deque
import json

from sesamehall.core.codes import PlatformError
from sesamehall.platform.channel import Answer
from sesamehall.platform.channel import Channel

JSON_HEADERS = {"Content-Type": "application/json"}


class Client:
    """Calls one address over connections that it keeps."""

    def __init__(self, address: str, connections: int):
        """Prepare the client; it connects on its first call.

        Args:
          address: "host:port" of the server.
          connections: Connections that are kept while idle.
        """
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._connections = connections
        self._idle: deque[Channel] = deque()
        self._closed = False

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
        channel = self._take_channel()
        try:
            answer = channel.exchange(
                method, path, body, headers or {}, timeout_s
            )
        except PlatformError:
            channel.close()
            raise
        self._keep(channel)
        return answer

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
        """Close all idle connections, and others after their call."""
        self._closed = True
        while (channel := self._take_idle()) is not None:
            channel.close()

    def _take_channel(self) -> Channel:
        """Take an idle connection that is still good, or make one."""
        while (channel := self._take_idle()) is not None:
            if channel.is_quiet():
                return channel
            channel.close()
        try:
            return Channel(self._host, self._port)
        except OSError as error:
            raise PlatformError(f"{type(error).__name__}: {error}") from error

    def _take_idle(self) -> Channel | None:
        """Take the connection used last; another thread may be faster."""
        try:
            return self._idle.pop()
        except IndexError:
            return None

    def _keep(self, channel: Channel) -> None:
        """Keep a connection for the next call, if there may be one."""
        full = len(self._idle) >= self._connections
        if self._closed or full or not channel.reusable:
            channel.close()
            return
        self._idle.append(channel)
