"""The callers' HTTP interface, as a WSGI application.

The thread that reads a caller's request also carries it to the target and
its answer back, as the decisions tell it through its mailbox; so the bytes
of a request never pass through the interpreter.
"""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import sha256
from http import HTTPStatus
from itertools import count
import json
from queue import Empty
from queue import SimpleQueue
from socket import MSG_PEEK
from socket import socket

from urllib3.util.wait import wait_for_read

from sesamehall.core.codes import ANSWERED
from sesamehall.core.codes import MALFORMED
from sesamehall.core.codes import ResultCode
from sesamehall.core.codes import STOPPING
from sesamehall.core.codes import TOO_LARGE
from sesamehall.core.data import Job
from sesamehall.core.data import JobStatus
from sesamehall.core.data import PresentedKey
from sesamehall.core.data import Request
from sesamehall.core.effects import Dispatch
from sesamehall.core.effects import Forward
from sesamehall.core.effects import Reply
from sesamehall.core.events import AskCalled
from sesamehall.core.events import CallerGone
from sesamehall.core.events import CancelCalled
from sesamehall.core.events import DeadlinePassed
from sesamehall.core.events import Event
from sesamehall.core.events import RequestReceived
from sesamehall.core.events import SubmitCalled
from sesamehall.core.events import TargetAnswered
from sesamehall.core.settings import EntrySettings
from sesamehall.core.state import State
from sesamehall.runtime.interpreter import now_ms
from sesamehall.runtime.targets import Answer
from sesamehall.runtime.targets import Message
from sesamehall.runtime.targets import TargetClient

API_PREFIX = "/sesamehall/v1/"
SERVICE_HEADER = "HTTP_SESAMEHALL_SERVICE"
CALLER_ID_HEADER = "HTTP_SESAMEHALL_REQUEST_ID"
DEADLINE_HEADER = "HTTP_SESAMEHALL_DEADLINE_MS"
IDEMPOTENT_HEADER = "HTTP_SESAMEHALL_IDEMPOTENT"
URGENT_HEADER = "HTTP_SESAMEHALL_URGENT"
RESULT_HEADER = "Sesamehall-Result"
REQUEST_KEY = "sesamehall.request"  # where the server puts its own request
IDEMPOTENT_METHODS = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE")
HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
CONSUMED = frozenset(("authorization", "content-length", "expect"))
JOB_BODY_LIMIT_BYTES = 64 << 10
CALLER_ID_LIMIT = 128
GONE_CHECK_MS = 500  # a caller that has gone is noticed this late
CALL_TIMEOUT_MS = 10_000  # job calls are answered within this


class BadRequest(Exception):
    """A request that is refused before any decision.

    Attributes:
      code: The result code.
      detail: What exactly, for a person to read.
    """

    def __init__(self, code: ResultCode, detail: str):
        super().__init__(detail)
        self.code = code
        self.detail = detail


@dataclass(frozen=True, slots=True)
class Response:
    """What goes back to the caller.

    Attributes:
      status: HTTP status.
      reason: HTTP reason phrase.
      headers: Names and values.
      body: The whole body.
      close: Whether the connection must not be used again.
    """

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    close: bool = False


class CallerFront:
    """Serves callers; one instance for all server threads."""

    def __init__(
        self,
        settings: EntrySettings,
        incarnation: str,
        post: Callable[[Event], None],
        read_state: Callable[[], State],
    ):
        """Prepare the front.

        Args:
          settings: Settings of the entry.
          incarnation: Part of every request's identifier.
          post: Takes the events.
          read_state: Gives the latest state, for the status page.
        """
        self._settings = settings
        self._incarnation = incarnation
        self._post = post
        self._read_state = read_state
        self._targets = TargetClient(settings.body_limit_bytes)
        self._serials = count(1)
        self._mailboxes_by_id: dict[str, SimpleQueue] = {}

    def __call__(self, environ: dict, start_response) -> Iterable[bytes]:
        """Serve one request, as WSGI demands.

        Args:
          environ: The request.
          start_response: Takes status and headers.
        Returns:
          The body of the answer.
        """
        try:
            response = self._serve(environ)
        except BadRequest as error:
            response = _own_response(error.code, error.detail, close=True)
        if response.close:
            environ[REQUEST_KEY].close_connection = True
        status = f"{response.status} {response.reason}"
        length = ("Content-Length", str(len(response.body)))
        start_response(status, list(response.headers) + [length])
        return [response.body]

    def deliver(self, effect: Dispatch | Forward | Reply) -> None:
        """Hand an instruction to the thread that serves the request.

        Args:
          effect: The instruction; without a waiting thread it is dropped.
        """
        mailbox = self._mailboxes_by_id.get(effect.request_id)
        if mailbox is not None:
            mailbox.put(effect)

    def close(self) -> None:
        """Close the connections to targets."""
        self._targets.close()

    def _serve(self, environ) -> Response:
        _refuse_ambiguous(environ)
        uri = environ["REQUEST_URI"]
        if uri.startswith(API_PREFIX):
            return self._serve_api(environ, uri)
        body = _read_body(environ, self._settings.body_limit_bytes)
        message = Message(
            environ["REQUEST_METHOD"], uri, _headers_of(environ), body
        )
        request = self._read_request(environ)
        sock = environ[REQUEST_KEY].conn.socket
        return self._carry(request, message, sock)

    def _serve_api(self, environ, uri) -> Response:
        """Serve a job call or the status page."""
        path = uri.partition("?")[0].removeprefix(API_PREFIX)
        method = environ["REQUEST_METHOD"]
        kind, _, name = path.partition("/")
        match (method, kind, name):
            case ("GET", "status", ""):
                return self._show_status()
            case ("POST", "jobs", ""):
                return self._call(self._submission(environ))
            case ("GET", "jobs", _) if name:
                key = _read_key(environ)
                return self._call(
                    AskCalled(now_ms(), self._new_id("call"), key, name)
                )
            case ("DELETE", "jobs", _) if name:
                key = _read_key(environ)
                return self._call(
                    CancelCalled(now_ms(), self._new_id("call"), key, name)
                )
        raise BadRequest(MALFORMED, f"no such call: {method} {path}")

    def _read_request(self, environ) -> Request:
        """Build what the decisions need to know of a request."""
        service = environ.get(SERVICE_HEADER)
        if not service:
            raise BadRequest(MALFORMED, "header Sesamehall-Service missing")
        caller_id = environ.get(CALLER_ID_HEADER)
        if caller_id is not None and len(caller_id) > CALLER_ID_LIMIT:
            raise BadRequest(MALFORMED, "Sesamehall-Request-Id too long")
        default = environ["REQUEST_METHOD"] in IDEMPOTENT_METHODS
        deadline_ms = _read_number(
            environ, DEADLINE_HEADER, self._settings.default_deadline_ms
        )
        return Request(
            request_id=self._new_id("request"),
            caller_id=caller_id,
            service=service,
            key=_read_key(environ),
            idempotent=_read_flag(environ, IDEMPOTENT_HEADER, default),
            urgent=_read_flag(environ, URGENT_HEADER, False),
            deadline_ms=now_ms() + deadline_ms,
        )

    def _submission(self, environ) -> SubmitCalled:
        """Build the event of a job handed in."""
        body = _read_body(environ, JOB_BODY_LIMIT_BYTES)
        call_id = self._new_id("call")
        job_id = environ.get(CALLER_ID_HEADER) or call_id
        if "/" in job_id or len(job_id) > CALLER_ID_LIMIT:
            raise BadRequest(MALFORMED, "Sesamehall-Request-Id not usable")
        job = _read_job(body, job_id)
        return SubmitCalled(now_ms(), call_id, _read_key(environ), job)

    def _new_id(self, kind: str) -> str:
        return f"{kind}-{self._incarnation}-{next(self._serials)}"

    def _carry(
        self, request: Request, message: Message, sock: socket
    ) -> Response:
        """Do what the decisions say until there is an answer."""
        request_id = request.request_id
        mailbox: SimpleQueue = SimpleQueue()
        self._mailboxes_by_id[request_id] = mailbox
        answer = None
        try:
            self._post(RequestReceived(now_ms(), request))
            while True:
                match self._next_instruction(mailbox, request, sock):
                    case Dispatch() as dispatch:
                        answer = self._attempt(dispatch, message)
                    case Forward():
                        return _forward(answer)
                    case Reply(_, code, detail):
                        close = code is STOPPING
                        return _own_response(code, detail, close=close)
        finally:
            del self._mailboxes_by_id[request_id]

    def _attempt(self, dispatch: Dispatch, message: Message) -> Answer | None:
        exchange = self._targets.exchange(dispatch, message)
        self._post(
            TargetAnswered(
                now_ms(),
                dispatch.request_id,
                dispatch.attempt,
                exchange.outcome,
            )
        )
        return exchange.answer

    def _next_instruction(
        self, mailbox: SimpleQueue, request: Request, sock: socket
    ):
        """Wait for an instruction; tell of a deadline or a caller gone."""
        while True:
            remaining_ms = max(request.deadline_ms - now_ms(), 0)
            timeout_ms = min(remaining_ms, GONE_CHECK_MS)
            try:
                return mailbox.get(timeout=timeout_ms / 1000)
            except Empty:
                if now_ms() >= request.deadline_ms:
                    event = DeadlinePassed(now_ms(), request.request_id)
                elif _is_gone(sock):
                    event = CallerGone(now_ms(), request.request_id)
                else:
                    continue
                self._post(event)
                return mailbox.get()

    def _call(self, event: SubmitCalled | AskCalled | CancelCalled):
        """Post a job call and wait for its answer."""
        mailbox: SimpleQueue = SimpleQueue()
        self._mailboxes_by_id[event.call_id] = mailbox
        try:
            self._post(event)
            try:
                reply = mailbox.get(timeout=CALL_TIMEOUT_MS / 1000)
            except Empty:
                self._post(DeadlinePassed(now_ms(), event.call_id))
                reply = mailbox.get()
        finally:
            del self._mailboxes_by_id[event.call_id]
        return _own_response(reply.code, reply.detail, reply.status)

    def _show_status(self) -> Response:
        """Show which versions are in force here."""
        state = self._read_state()
        agreed = state.agreed
        running = sum(state.entry.running_by_team.values())
        body = {
            "name": self._settings.name,
            "data_centre": self._settings.data_centre,
            "phase": state.phase.value,
            "next_offset": agreed.next_offset,
            "plans_version": agreed.plans_version,
            "limits_version": agreed.limits_version,
            "keys": len(agreed.keys_by_id),
            "running": running,
            "waiting": sum(state.entry.waiting_by_team.values()),
        }
        return _json_response(200, body, ())


def _is_gone(sock: socket) -> bool:
    """Tell whether a caller has closed its end of the connection."""
    if not wait_for_read(sock, timeout=0):
        return False
    try:
        return sock.recv(1, MSG_PEEK) == b""
    except OSError:
        return True


def _forward(answer: Answer) -> Response:
    """Give the target's answer on, without its hop-by-hop headers."""
    listed = _connection_names(answer.headers)
    headers = tuple(
        (name, value)
        for name, value in answer.headers
        if name.lower() not in HOP_BY_HOP
        and name.lower() not in listed
        and name.lower() not in ("content-length", "sesamehall-result")
    )
    headers += ((RESULT_HEADER, str(ANSWERED.number)),)
    return Response(answer.status, answer.reason, headers, answer.body)


def _own_response(
    code: ResultCode,
    detail: str,
    status: JobStatus | None = None,
    close: bool = False,
) -> Response:
    """Build an answer of our own: number in a header and in the body."""
    body = {
        "code": code.number,
        "name": code.name,
        "outcome": code.outcome.value,
        "detail": detail,
        "advice": code.advice,
    }
    if status is not None:
        body["job"] = {
            "id": status.job.job_id,
            "team": status.job.team,
            "pool": status.job.pool,
            "phase": status.phase.value,
            "worker": status.worker,
            "detail": status.detail,
        }
    headers = ((RESULT_HEADER, str(code.number)),)
    if code.http_status == 401:
        headers += (("WWW-Authenticate", "Bearer"),)
    return _json_response(code.http_status, body, headers, close)


def _json_response(status, body, headers, close=False) -> Response:
    return Response(
        status,
        HTTPStatus(status).phrase,
        headers + (("Content-Type", "application/json"),),
        json.dumps(body).encode() + b"\n",
        close,
    )


def _refuse_ambiguous(environ) -> None:
    """Refuse requests whose end two readers could see differently."""
    encoding = environ.get("HTTP_TRANSFER_ENCODING")
    if encoding is None:
        return
    if environ.get("CONTENT_LENGTH"):
        raise BadRequest(MALFORMED, "both a length and a transfer encoding")
    if encoding.lower() != "chunked":
        raise BadRequest(MALFORMED, f"transfer encoding {encoding!r}")


def _read_body(environ, limit_bytes: int) -> bytes:
    """Read the whole body within its limit."""
    length = environ.get("CONTENT_LENGTH")
    if length and int(length) > limit_bytes:
        raise BadRequest(TOO_LARGE, f"{length} bytes, {limit_bytes} allowed")
    try:
        body = environ["wsgi.input"].read(limit_bytes + 1)
    except (OSError, ValueError) as error:
        raise BadRequest(MALFORMED, f"body unreadable: {error}") from error
    if len(body) > limit_bytes:
        raise BadRequest(TOO_LARGE, f"more than {limit_bytes} bytes")
    if length and len(body) < int(length):
        raise BadRequest(MALFORMED, "body shorter than its length")
    return body


def _headers_of(environ) -> tuple[tuple[str, str], ...]:
    """Collect the headers that go on to the target."""
    headers = []
    for name, value in environ.items():
        if name.startswith("HTTP_"):
            headers.append((name[5:].replace("_", "-").title(), value))
    if environ.get("CONTENT_TYPE"):
        headers.append(("Content-Type", environ["CONTENT_TYPE"]))
    listed = _connection_names(headers)
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP
        and name.lower() not in CONSUMED
        and name.lower() not in listed
    )


def _connection_names(headers) -> set[str]:
    """List the headers that Connection names as hop-by-hop."""
    names = set()
    for name, value in headers:
        if name.lower() == "connection":
            names.update(item.strip().lower() for item in value.split(","))
    return names


def _read_key(environ) -> PresentedKey | None:
    """Read the bearer key; its secret part is digested at once."""
    header = environ.get("HTTP_AUTHORIZATION")
    if header is None:
        return None
    scheme, _, credential = header.partition(" ")
    if scheme.lower() != "bearer":
        raise BadRequest(MALFORMED, "Authorization must be Bearer")
    key_id, _, secret = credential.strip().partition(".")
    return PresentedKey(key_id, sha256(secret.encode()).digest())


def _read_flag(environ, name: str, default: bool) -> bool:
    value = environ.get(name, "").lower()
    if value in ("", "true", "false"):
        return default if not value else value == "true"
    raise BadRequest(MALFORMED, f"{name[5:]} must be true or false")


def _read_number(environ, name: str, default: int) -> int:
    value = environ.get(name)
    if value is None:
        return default
    if not value.isdecimal() or len(value) > 9 or int(value) < 1:
        raise BadRequest(MALFORMED, f"{name[5:]} must be a positive number")
    return int(value)


def _read_job(body: bytes, job_id: str) -> Job:
    """Read a job from its JSON body."""
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise BadRequest(MALFORMED, "body is not JSON") from error
    if not isinstance(fields, dict):
        raise BadRequest(MALFORMED, "body must be a JSON object")
    kinds = {
        "pool": str,
        "command": str,
        "processors": int,
        "memory_mb": int,
        "accelerators": int,
        "urgent": bool,
    }
    for name, value in fields.items():
        if name not in kinds or type(value) is not kinds[name]:
            raise BadRequest(MALFORMED, f"job field {name} is not valid")
        if kinds[name] is int and not 0 <= value <= 1 << 31:
            raise BadRequest(MALFORMED, f"job field {name} is out of range")
    if "pool" not in fields or "command" not in fields:
        raise BadRequest(MALFORMED, "a job needs a pool and a command")
    return Job(job_id=job_id, team="", **fields)
