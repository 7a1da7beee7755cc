"""HTTP client for targets: sends one request and reads the response.

A failure before any byte of the request was sent means that the request has
certainly not run.  After a later failure, it may have run.
"""

from collections import deque
from dataclasses import dataclass
from http.client import HTTPException
import threading

from urllib3.exceptions import HTTPError
from urllib3.util import SKIP_HEADER

from sesamehall.core.codes import SesamehallError
from sesamehall.core.effects import Dispatch
from sesamehall.core.events import Broken
from sesamehall.core.events import Completed
from sesamehall.core.events import Declined
from sesamehall.core.events import NotSent
from sesamehall.core.events import TargetOutcome
from sesamehall.core.events import TooLate
from sesamehall.runtime.connections import TargetConnection
from sesamehall.runtime.interpreter import now_ms

CONNECT_TIMEOUT_MS = 1_000  # a slower target counts as down
NON_IDEMPOTENT_IDLE_MS = 1_000  # see TargetClient._connect
IDLE_TIMEOUT_MS = 30_000
MAX_IDLE_PER_TARGET = 8
READ_BYTES = 1 << 16
NOT_RUN_HEADER = "Sesamehall-Not-Run"
REQUEST_ID_HEADER = "Sesamehall-Request-Id"
DEADLINE_HEADER = "Sesamehall-Deadline-Ms"
LIBRARY_HEADERS = ("User-Agent", "Accept-Encoding", "Host")


@dataclass(frozen=True, slots=True)
class ProxiedRequest:
    """A caller's request as it is forwarded to the target.

    Attributes:
      method: HTTP method.
      uri: Path and query string, unchanged.
      headers: Names and values without hop-by-hop headers.
      body: The complete body.
    """

    method: str
    uri: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class TargetResponse:
    """A target's complete response.

    Attributes:
      status: HTTP status.
      reason: HTTP reason phrase.
      headers: Names and values.
      body: The complete body.
    """

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class Exchange:
    """Result of an attempt.

    Attributes:
      outcome: Outcome that is reported to the reducer.
      response: The response, if it is complete.
    """

    outcome: TargetOutcome
    response: TargetResponse | None = None


@dataclass(frozen=True, slots=True)
class IdleConnection:
    """A connection without a request in flight.

    Attributes:
      connection: The connection, its last response read completely.
      since_ms: Time at which it became idle.
    """

    connection: TargetConnection
    since_ms: int


class BadResponse(SesamehallError):
    """The response must not be forwarded, or the deadline has passed.

    At the deadline, there may be no response at all.
    """


class TargetClient:
    """Sends requests to targets over pooled connections."""

    def __init__(self, body_limit_bytes: int):
        """Create the client.

        Args:
          body_limit_bytes: Maximum size of a response body.
        """
        self._body_limit_bytes = body_limit_bytes
        self._idle_by_address: dict[str, deque[IdleConnection]] = {}
        self._lock = threading.Lock()

    def exchange(
        self, dispatch: Dispatch, request: ProxiedRequest
    ) -> Exchange:
        """Send a request and read the complete response.

        Args:
          dispatch: Target, deadline and identity of the attempt.
          request: The request.
        Returns:
          The outcome, with the response if it is complete.
        """
        connection = None
        try:
            connection = self._connect(dispatch)
        except (HTTPError, OSError) as error:
            return Exchange(NotSent(type(error).__name__))
        if now_ms() >= dispatch.not_after_ms:
            self._put_idle(dispatch.address, connection)
            return Exchange(TooLate())
        try:
            response, reusable = self._send_and_receive(
                connection, dispatch, request
            )
        except (HTTPError, HTTPException, OSError, BadResponse) as error:
            connection.close()
            timed_out = now_ms() >= dispatch.deadline_ms
            reason = f"{type(error).__name__} {error}"
            return Exchange(Broken(reason[:120], timed_out))
        if reusable:
            self._put_idle(dispatch.address, connection)
        else:
            connection.close()
        if _is_declined(response):
            return Exchange(Declined())
        return Exchange(Completed(response.status), response)

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            idle_lists = list(self._idle_by_address.values())
            self._idle_by_address.clear()
        for idle_list in idle_lists:
            for idle in idle_list:
                idle.connection.close()

    def _connect(self, dispatch: Dispatch) -> TargetConnection:
        """Take an idle connection or open a new one.

        Requests that are not idempotent use only connections that were active
        recently: one that was idle for longer may have failed without notice,
        and a request that was sent over it cannot be retried.
        """
        idle_ms = (
            IDLE_TIMEOUT_MS if dispatch.idempotent else NON_IDEMPOTENT_IDLE_MS
        )
        connection = self._take_idle(dispatch.address, idle_ms)
        if connection is not None:
            return connection
        remaining_ms = dispatch.not_after_ms - now_ms()
        timeout_ms = max(min(remaining_ms, CONNECT_TIMEOUT_MS), 1)
        host, _, port = dispatch.address.rpartition(":")
        connection = TargetConnection(
            host, int(port), timeout=timeout_ms / 1000
        )
        connection.connect()
        return connection

    def _take_idle(
        self, address: str, idle_ms: int
    ) -> TargetConnection | None:
        """Take the most recently used connection that is still usable."""
        while True:
            with self._lock:
                idle_list = self._idle_by_address.get(address)
                if not idle_list:
                    return None
                idle = idle_list.pop()
            if now_ms() - idle.since_ms > idle_ms:
                idle.connection.close()
            elif idle.connection.is_reusable():
                return idle.connection
            else:
                idle.connection.close()

    def _put_idle(self, address: str, connection: TargetConnection) -> None:
        with self._lock:
            idle_list = self._idle_by_address.setdefault(address, deque())
            idle_list.append(IdleConnection(connection, now_ms()))
            evicted = (
                idle_list.popleft()
                if len(idle_list) > MAX_IDLE_PER_TARGET
                else None
            )
        if evicted is not None:
            evicted.connection.close()

    def _send_and_receive(
        self,
        connection: TargetConnection,
        dispatch: Dispatch,
        request: ProxiedRequest,
    ) -> tuple[TargetResponse, bool]:
        """Send the request and read the response.

        Returns:
          The response, and whether the connection can be reused.
        """
        _apply_deadline(connection, dispatch)
        headers = _build_headers(request, dispatch)
        connection.request(
            request.method,
            request.uri,
            body=request.body or None,
            headers=headers,
            preload_content=False,
            decode_content=False,
            enforce_content_length=True,
        )
        http_response = connection.getresponse()
        body = self._read_body(connection, http_response, dispatch)
        echoed_id = http_response.headers.get(REQUEST_ID_HEADER)
        if echoed_id is not None and echoed_id != dispatch.request_id:
            raise BadResponse("response to another request")
        response = TargetResponse(
            http_response.status,
            http_response.reason or "",
            tuple(http_response.headers.items()),
            body,
        )
        closing = (
            http_response.headers.get("Connection", "").lower() == "close"
        )
        reusable = not closing and http_response.version == 11
        return response, reusable

    def _read_body(self, connection, response, dispatch) -> bytes:
        """Read a body to its end, within the size limit and the deadline."""
        chunks = []
        size = 0
        while True:
            _apply_deadline(connection, dispatch)
            chunk = response.read(READ_BYTES)
            if not chunk:
                return b"".join(chunks)
            size += len(chunk)
            if size > self._body_limit_bytes:
                raise BadResponse("response too large")
            chunks.append(chunk)


def _build_headers(
    request: ProxiedRequest, dispatch: Dispatch
) -> dict[str, str]:
    """Add the entry's headers and suppress the library's defaults."""
    headers = dict(request.headers)
    names = {name.lower() for name in headers}
    for name in LIBRARY_HEADERS:
        if name.lower() not in names:
            headers[name] = SKIP_HEADER
    headers[REQUEST_ID_HEADER] = dispatch.request_id
    headers[DEADLINE_HEADER] = str(max(dispatch.deadline_ms - now_ms(), 0))
    return headers


def _apply_deadline(connection: TargetConnection, dispatch: Dispatch) -> None:
    """Set the socket timeout to the time left until the deadline.

    Raises:
      BadResponse: The deadline has passed.
    """
    remaining_ms = dispatch.deadline_ms - now_ms()
    if remaining_ms <= 0:
        raise BadResponse("deadline passed")
    connection.timeout = remaining_ms / 1000
    if connection.sock is not None:
        connection.sock.settimeout(connection.timeout)


def _is_declined(response: TargetResponse) -> bool:
    """Check whether the target reports that it did not run the request."""
    if response.status != 503:
        return False
    names = {name.lower() for name, _ in response.headers}
    return NOT_RUN_HEADER.lower() in names
