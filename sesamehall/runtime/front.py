"""The callers' HTTP interface, as a WSGI application.

The thread that reads a caller's request also carries it to the target and
its answer back, as the decisions tell it through its mailbox; so the bytes
of a request never pass through the interpreter.
"""

from collections.abc import Callable
from collections.abc import Iterable
from itertools import count
from queue import Empty
from queue import SimpleQueue
from socket import MSG_PEEK
from socket import socket

from urllib3.util.wait import wait_for_read

from sesamehall.core.codes import ANSWER_LOST
from sesamehall.core.codes import MALFORMED
from sesamehall.core.codes import STOPPING
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
from sesamehall.runtime.reading import BadRequest
from sesamehall.runtime.reading import headers_of
from sesamehall.runtime.reading import JOB_BODY_LIMIT_BYTES
from sesamehall.runtime.reading import read_body
from sesamehall.runtime.reading import read_flag
from sesamehall.runtime.reading import read_job
from sesamehall.runtime.reading import read_key
from sesamehall.runtime.reading import read_number
from sesamehall.runtime.reading import refuse_ambiguous
from sesamehall.runtime.responses import forward
from sesamehall.runtime.responses import json_response
from sesamehall.runtime.responses import own_response
from sesamehall.runtime.responses import Response
from sesamehall.runtime.targets import Answer
from sesamehall.runtime.targets import Message
from sesamehall.runtime.targets import TargetClient

API_PREFIX = "/sesamehall/v1/"
SERVICE_HEADER = "HTTP_SESAMEHALL_SERVICE"
CALLER_ID_HEADER = "HTTP_SESAMEHALL_REQUEST_ID"
DEADLINE_HEADER = "HTTP_SESAMEHALL_DEADLINE_MS"
IDEMPOTENT_HEADER = "HTTP_SESAMEHALL_IDEMPOTENT"
URGENT_HEADER = "HTTP_SESAMEHALL_URGENT"
REQUEST_KEY = "sesamehall.request"  # where the server puts its own request
IDEMPOTENT_METHODS = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE")
CALLER_ID_LIMIT = 128
GONE_CHECK_MS = 500  # a caller that has gone is noticed this late
DECISION_TIMEOUT_S = 10  # a decision that failed must not hold a thread
CALL_TIMEOUT_MS = 10_000  # job calls are answered within this


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
            response = own_response(error.code, error.detail, close=True)
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
        refuse_ambiguous(environ)
        uri = environ["REQUEST_URI"]
        if uri.startswith(API_PREFIX):
            return self._serve_api(environ, uri)
        body = read_body(environ, self._settings.body_limit_bytes)
        message = Message(
            environ["REQUEST_METHOD"], uri, headers_of(environ), body
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
                key = read_key(environ)
                return self._call(
                    AskCalled(now_ms(), self._new_id("call"), key, name)
                )
            case ("DELETE", "jobs", _) if name:
                key = read_key(environ)
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
        deadline_ms = read_number(
            environ, DEADLINE_HEADER, self._settings.default_deadline_ms
        )
        return Request(
            request_id=self._new_id("request"),
            caller_id=caller_id,
            service=service,
            key=read_key(environ),
            idempotent=read_flag(environ, IDEMPOTENT_HEADER, default),
            urgent=read_flag(environ, URGENT_HEADER, False),
            deadline_ms=now_ms() + deadline_ms,
        )

    def _submission(self, environ) -> SubmitCalled:
        """Build the event of a job handed in."""
        body = read_body(environ, JOB_BODY_LIMIT_BYTES)
        call_id = self._new_id("call")
        job_id = environ.get(CALLER_ID_HEADER) or call_id
        if "/" in job_id or len(job_id) > CALLER_ID_LIMIT:
            raise BadRequest(MALFORMED, "Sesamehall-Request-Id not usable")
        job = read_job(body, job_id)
        return SubmitCalled(now_ms(), call_id, read_key(environ), job)

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
                        return forward(answer)
                    case Reply(_, code, detail):
                        close = code is STOPPING
                        return own_response(code, detail, close=close)
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
                return _await_reply(mailbox)

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
                reply = _await_reply(mailbox)
        finally:
            del self._mailboxes_by_id[event.call_id]
        return own_response(reply.code, reply.detail, reply.status)

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
        return json_response(200, body, ())


def _await_reply(mailbox: SimpleQueue):
    """Wait for what is decided at a deadline; it comes within moments.

    Raises:
      BadRequest: Nothing was decided; the log holds the internal error.
    """
    try:
        return mailbox.get(timeout=DECISION_TIMEOUT_S)
    except Empty as error:
        raise BadRequest(ANSWER_LOST, "internal error") from error


def _is_gone(sock: socket) -> bool:
    """Tell whether a caller has closed its end of the connection."""
    if not wait_for_read(sock, timeout=0):
        return False
    try:
        return sock.recv(1, MSG_PEEK) == b""
    except OSError:
        return True
