"""Targets as an entry meets them: one exchange over one connection.

What went wrong is told apart by whether a byte of the request may have left:
before that the request has certainly not run.
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

CONNECT_TIMEOUT_MS = 1_000  # a target that accepts later counts as down
FRESH_MS = 1_000  # a longer idle connection may have gone silent unnoticed
IDLE_MOST_MS = 30_000  # idle connections are closed after this
IDLE_MOST = 8  # idle connections kept to one target
READ_BYTES = 1 << 16
NOT_RUN_HEADER = "Sesamehall-Not-Run"
REQUEST_ID_HEADER = "Sesamehall-Request-Id"
DEADLINE_HEADER = "Sesamehall-Deadline-Ms"
ADDED_BY_LIBRARY = ("User-Agent", "Accept-Encoding", "Host")


@dataclass(frozen=True, slots=True)
class Message:
    """The bytes of a request, as they go to the target.

    Attributes:
      method: HTTP method.
      uri: Path and query string, unchanged.
      headers: Names and values without hop-by-hop headers.
      body: The whole body.
    """

    method: str
    uri: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class Answer:
    """The bytes of a target's whole answer.

    Attributes:
      status: HTTP status.
      reason: HTTP reason phrase.
      headers: Names and values.
      body: The whole body.
    """

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class Exchange:
    """How an attempt ended.

    Attributes:
      outcome: What the decisions need to know.
      answer: The answer, where there is a whole one.
    """

    outcome: TargetOutcome
    answer: Answer | None = None


@dataclass(frozen=True, slots=True)
class IdleConnection:
    """A connection that carries nothing at the moment.

    Attributes:
      connection: The connection, its last answer read to the end.
      since_ms: Clock at which it became idle.
    """

    connection: TargetConnection
    since_ms: int


class BadAnswer(SesamehallError):
    """A target's answer that must not reach a caller."""


class TargetClient:
    """Sends requests to targets over connections that it keeps."""

    def __init__(self, body_limit_bytes: int):
        """Prepare the client.

        Args:
          body_limit_bytes: Largest body of an answer.
        """
        self._body_limit_bytes = body_limit_bytes
        self._idle_by_address: dict[str, deque[IdleConnection]] = {}
        self._lock = threading.Lock()

    def exchange(self, dispatch: Dispatch, message: Message) -> Exchange:
        """Send a request and read the whole answer.

        Args:
          dispatch: Target, deadline and identity of the attempt.
          message: The bytes of the request.
        Returns:
          The outcome, with the answer if the target gave a whole one.
        """
        connection = None
        try:
            connection = self._connect(dispatch)
        except (HTTPError, OSError) as error:
            return Exchange(NotSent(type(error).__name__))
        if now_ms() >= dispatch.not_after_ms:
            self._keep(dispatch.address, connection)
            return Exchange(TooLate())
        try:
            answer, reusable = self._converse(connection, dispatch, message)
        except (HTTPError, HTTPException, OSError, BadAnswer) as error:
            connection.close()
            timed_out = now_ms() >= dispatch.deadline_ms
            reason = f"{type(error).__name__} {error}"
            return Exchange(Broken(reason[:120], timed_out))
        if reusable:
            self._keep(dispatch.address, connection)
        else:
            connection.close()
        if _is_declined(answer):
            return Exchange(Declined())
        return Exchange(Completed(answer.status), answer)

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            idle_lists = list(self._idle_by_address.values())
            self._idle_by_address.clear()
        for idle_list in idle_lists:
            for idle in idle_list:
                idle.connection.close()

    def _connect(self, dispatch: Dispatch) -> TargetConnection:
        """Take an idle connection, or open one.

        What must not run twice goes only over a connection that was heard
        of a moment ago: an older one may have gone silent.
        """
        idle_ms = IDLE_MOST_MS if dispatch.idempotent else FRESH_MS
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
        """Take the connection that was used last, if it is recent enough."""
        while True:
            with self._lock:
                idle_list = self._idle_by_address.get(address)
                if not idle_list:
                    return None
                idle = idle_list.pop()
            if now_ms() - idle.since_ms > idle_ms:
                idle.connection.close()
            elif idle.connection.is_quiet():
                return idle.connection
            else:
                idle.connection.close()

    def _keep(self, address: str, connection: TargetConnection) -> None:
        with self._lock:
            idle_list = self._idle_by_address.setdefault(address, deque())
            idle_list.append(IdleConnection(connection, now_ms()))
            surplus = (
                idle_list.popleft() if len(idle_list) > IDLE_MOST else None
            )
        if surplus is not None:
            surplus.connection.close()

    def _converse(
        self,
        connection: TargetConnection,
        dispatch: Dispatch,
        message: Message,
    ) -> tuple[Answer, bool]:
        """Send the request and read the answer; tell if reuse is safe."""
        _limit_wait(connection, dispatch)
        headers = _headers_to_send(message, dispatch)
        connection.request(
            message.method,
            message.uri,
            body=message.body or None,
            headers=headers,
            preload_content=False,
            decode_content=False,
            enforce_content_length=True,
        )
        response = connection.getresponse()
        body = self._read_body(connection, response, dispatch)
        echoed = response.headers.get(REQUEST_ID_HEADER)
        if echoed is not None and echoed != dispatch.request_id:
            raise BadAnswer("answer to another request")
        answer = Answer(
            response.status,
            response.reason or "",
            tuple(response.headers.items()),
            body,
        )
        closing = response.headers.get("Connection", "").lower() == "close"
        reusable = not closing and response.version == 11
        return answer, reusable

    def _read_body(self, connection, response, dispatch) -> bytes:
        """Read a body to its end, within its limit and the deadline."""
        chunks = []
        size = 0
        while True:
            _limit_wait(connection, dispatch)
            chunk = response.read(READ_BYTES)
            if not chunk:
                return b"".join(chunks)
            size += len(chunk)
            if size > self._body_limit_bytes:
                raise BadAnswer("answer too large")
            chunks.append(chunk)


def _headers_to_send(message: Message, dispatch: Dispatch) -> dict[str, str]:
    """Add our own headers, and keep the library from adding any."""
    headers = dict(message.headers)
    present = {name.lower() for name in headers}
    for name in ADDED_BY_LIBRARY:
        if name.lower() not in present:
            headers[name] = SKIP_HEADER
    headers[REQUEST_ID_HEADER] = dispatch.request_id
    headers[DEADLINE_HEADER] = str(max(dispatch.deadline_ms - now_ms(), 0))
    return headers


def _limit_wait(connection: TargetConnection, dispatch: Dispatch) -> None:
    """Make the next wait for the target end with the deadline."""
    remaining_ms = dispatch.deadline_ms - now_ms()
    if remaining_ms <= 0:
        raise BadAnswer("deadline passed")
    connection.timeout = remaining_ms / 1000
    if connection.sock is not None:
        connection.sock.settimeout(connection.timeout)


def _is_declined(answer: Answer) -> bool:
    """Tell whether the target said that it did not run the request."""
    if answer.status != 503:
        return False
    names = {name.lower() for name, _ in answer.headers}
    return NOT_RUN_HEADER.lower() in names
