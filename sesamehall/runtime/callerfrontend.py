"""The callers' HTTP interface, as a WSGI application.

The server thread that reads a request also sends it to the target and returns
the response.  It receives its instructions from the interpreter through a
mailbox, so the bytes of a request never pass through the interpreter.
"""

from collections.abc import Callable
from collections.abc import Iterable
from itertools import count
import logging
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
from sesamehall.core.events import Broken
from sesamehall.core.events import CallerGone
from sesamehall.core.events import CancelCalled
from sesamehall.core.events import DeadlinePassed
from sesamehall.core.events import Event
from sesamehall.core.events import RequestReceived
from sesamehall.core.events import SubmitCalled
from sesamehall.core.events import TargetAnswered
from sesamehall.core.settings import EntrySettings
from sesamehall.core.state import State
from sesamehall.runtime.effectfailures import describe_error
from sesamehall.runtime.interpreter import now_ms
from sesamehall.runtime.requestparsing import BadRequest
from sesamehall.runtime.requestparsing import end_to_end_headers
from sesamehall.runtime.requestparsing import JOB_BODY_LIMIT_BYTES
from sesamehall.runtime.requestparsing import parse_flag
from sesamehall.runtime.requestparsing import parse_job
from sesamehall.runtime.requestparsing import parse_key
from sesamehall.runtime.requestparsing import parse_positive_integer
from sesamehall.runtime.requestparsing import read_body
from sesamehall.runtime.requestparsing import reject_ambiguous_framing
from sesamehall.runtime.responses import forward_response
from sesamehall.runtime.responses import json_response
from sesamehall.runtime.responses import Response
from sesamehall.runtime.responses import result_response
from sesamehall.runtime.targetclient import Exchange
from sesamehall.runtime.targetclient import ProxiedRequest
from sesamehall.runtime.targetclient import TargetClient
from sesamehall.runtime.targetclient import TargetResponse

API_PREFIX = "/sesamehall/v1/"
SERVICE_HEADER = "HTTP_SESAMEHALL_SERVICE"
CALLER_ID_HEADER = "HTTP_SESAMEHALL_REQUEST_ID"
DEADLINE_HEADER = "HTTP_SESAMEHALL_DEADLINE_MS"
IDEMPOTENT_HEADER = "HTTP_SESAMEHALL_IDEMPOTENT"
URGENT_HEADER = "HTTP_SESAMEHALL_URGENT"
SERVER_REQUEST_KEY = "sesamehall.request"  # holds the cheroot request
IDEMPOTENT_METHODS = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE")
MAX_CALLER_ID_LENGTH = 128
DISCONNECT_CHECK_INTERVAL_MS = 500  # delay until a disconnect is noticed
DECISION_TIMEOUT_S = 10  # frees the thread if the interpreter sends no reply
CALL_TIMEOUT_MS = 10_000  # deadline of job calls
LOGGER = logging.getLogger("sesamehall")


class CallerFrontend:
    """Serves callers; shared by all server threads."""

    def __init__(
        self,
        settings: EntrySettings,
        incarnation: str,
        post_event: Callable[[Event], None],
        read_state: Callable[[], State],
    ):
        """Create the application.

        Args:
          settings: Settings of the entry.
          incarnation: Included in every request's identifier.
          post_event: Queues an event for the interpreter.
          read_state: Returns the latest state, for the status page.
        """
        self._settings = settings
        self._incarnation = incarnation
        self._post_event = post_event
        self._read_state = read_state
        self._targets = TargetClient(settings.body_limit_bytes)
        self._id_counter = count(1)
        self._mailboxes_by_id: dict[str, SimpleQueue] = {}

    def __call__(self, environ: dict, start_response) -> Iterable[bytes]:
        """Serve one request, as specified by WSGI.

        Args:
          environ: The request.
          start_response: Receives status and headers.
        Returns:
          The body of the response.
        """
        try:
            response = self._serve(environ)
        except BadRequest as error:
            response = result_response(error.code, error.detail, close=True)
        if response.close:
            environ[SERVER_REQUEST_KEY].close_connection = True
        status = f"{response.status} {response.reason}"
        length = ("Content-Length", str(len(response.body)))
        start_response(status, list(response.headers) + [length])
        return [response.body]

    def deliver(self, effect: Dispatch | Forward | Reply) -> None:
        """Deliver an instruction to the thread that serves the request.

        Args:
          effect: The instruction; dropped if no thread waits for it.
        """
        mailbox = self._mailboxes_by_id.get(effect.request_id)
        if mailbox is not None:
            mailbox.put(effect)

    def close(self) -> None:
        """Close the connections to targets."""
        self._targets.close()

    def _serve(self, environ) -> Response:
        reject_ambiguous_framing(environ)
        uri = environ["REQUEST_URI"]
        if uri.startswith(API_PREFIX):
            return self._serve_api(environ, uri)
        body = read_body(environ, self._settings.body_limit_bytes)
        proxied_request = ProxiedRequest(
            environ["REQUEST_METHOD"], uri, end_to_end_headers(environ), body
        )
        request = self._parse_request(environ)
        sock = environ[SERVER_REQUEST_KEY].conn.socket
        return self._proxy_request(request, proxied_request, sock)

    def _serve_api(self, environ, uri) -> Response:
        """Serve a job call or the status page."""
        path = uri.partition("?")[0].removeprefix(API_PREFIX)
        method = environ["REQUEST_METHOD"]
        resource, _, name = path.partition("/")
        match (method, resource, name):
            case ("GET", "status", ""):
                return self._status_response()
            case ("POST", "jobs", ""):
                return self._serve_job_call(self._parse_submission(environ))
            case ("GET", "jobs", _) if name:
                key = parse_key(environ)
                return self._serve_job_call(
                    AskCalled(now_ms(), self._new_id("call"), key, name)
                )
            case ("DELETE", "jobs", _) if name:
                key = parse_key(environ)
                return self._serve_job_call(
                    CancelCalled(now_ms(), self._new_id("call"), key, name)
                )
        raise BadRequest(MALFORMED, f"no such call: {method} {path}")

    def _parse_request(self, environ) -> Request:
        """Parse the headers that the reducer needs."""
        service = environ.get(SERVICE_HEADER)
        if not service:
            raise BadRequest(MALFORMED, "header Sesamehall-Service missing")
        caller_id = environ.get(CALLER_ID_HEADER)
        if caller_id is not None and len(caller_id) > MAX_CALLER_ID_LENGTH:
            raise BadRequest(MALFORMED, "Sesamehall-Request-Id too long")
        default = environ["REQUEST_METHOD"] in IDEMPOTENT_METHODS
        deadline_ms = parse_positive_integer(
            environ, DEADLINE_HEADER, self._settings.default_deadline_ms
        )
        return Request(
            request_id=self._new_id("request"),
            caller_id=caller_id,
            service=service,
            key=parse_key(environ),
            idempotent=parse_flag(environ, IDEMPOTENT_HEADER, default),
            urgent=parse_flag(environ, URGENT_HEADER, False),
            deadline_ms=now_ms() + deadline_ms,
        )

    def _parse_submission(self, environ) -> SubmitCalled:
        """Parse a job submission into its event."""
        body = read_body(environ, JOB_BODY_LIMIT_BYTES)
        call_id = self._new_id("call")
        job_id = environ.get(CALLER_ID_HEADER) or call_id
        if "/" in job_id or len(job_id) > MAX_CALLER_ID_LENGTH:
            raise BadRequest(MALFORMED, "Sesamehall-Request-Id not usable")
        job = parse_job(body, job_id)
        return SubmitCalled(now_ms(), call_id, parse_key(environ), job)

    def _new_id(self, prefix: str) -> str:
        return f"{prefix}-{self._incarnation}-{next(self._id_counter)}"

    def _proxy_request(
        self, request: Request, proxied_request: ProxiedRequest, sock: socket
    ) -> Response:
        """Follow the interpreter's instructions until there is a response."""
        request_id = request.request_id
        mailbox: SimpleQueue = SimpleQueue()
        self._mailboxes_by_id[request_id] = mailbox
        target_response = None
        try:
            self._post_event(RequestReceived(now_ms(), request))
            while True:
                match self._await_instruction(mailbox, request, sock):
                    case Dispatch() as dispatch:
                        target_response = self._send_attempt(
                            dispatch, proxied_request
                        )
                    case Forward():
                        return forward_response(target_response)
                    case Reply(_, code, detail):
                        close = code is STOPPING
                        return result_response(code, detail, close=close)
        finally:
            del self._mailboxes_by_id[request_id]

    def _send_attempt(
        self, dispatch: Dispatch, proxied_request: ProxiedRequest
    ) -> TargetResponse | None:
        """Send an attempt, and post its outcome whatever goes wrong."""
        try:
            exchange = self._targets.exchange(dispatch, proxied_request)
        except Exception as error:
            LOGGER.exception("failed to perform %s", type(dispatch).__name__)
            reason = describe_error(error)
            exchange = Exchange(Broken(reason, timed_out=False))
        self._post_event(
            TargetAnswered(
                now_ms(),
                dispatch.request_id,
                dispatch.attempt,
                exchange.outcome,
            )
        )
        return exchange.response

    def _await_instruction(
        self, mailbox: SimpleQueue, request: Request, sock: socket
    ):
        """Wait for an instruction; post an expired deadline or lost caller."""
        while True:
            remaining_ms = max(request.deadline_ms - now_ms(), 0)
            timeout_ms = min(remaining_ms, DISCONNECT_CHECK_INTERVAL_MS)
            try:
                return mailbox.get(timeout=timeout_ms / 1000)
            except Empty:
                if now_ms() >= request.deadline_ms:
                    event = DeadlinePassed(now_ms(), request.request_id)
                elif _has_disconnected(sock):
                    event = CallerGone(now_ms(), request.request_id)
                else:
                    continue
                self._post_event(event)
                return _await_final_reply(mailbox)

    def _serve_job_call(self, event: SubmitCalled | AskCalled | CancelCalled):
        """Post a job call and wait for the reply."""
        mailbox: SimpleQueue = SimpleQueue()
        self._mailboxes_by_id[event.call_id] = mailbox
        try:
            self._post_event(event)
            try:
                reply = mailbox.get(timeout=CALL_TIMEOUT_MS / 1000)
            except Empty:
                self._post_event(DeadlinePassed(now_ms(), event.call_id))
                reply = _await_final_reply(mailbox)
        finally:
            del self._mailboxes_by_id[event.call_id]
        return result_response(reply.code, reply.detail, reply.status)

    def _status_response(self) -> Response:
        """Report the versions in force at this entry."""
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


def _await_final_reply(mailbox: SimpleQueue):
    """Wait for the reply after a deadline expired or the caller disconnected.

    Raises:
      BadRequest: No reply came; the log contains the internal error.
    """
    try:
        return mailbox.get(timeout=DECISION_TIMEOUT_S)
    except Empty as error:
        raise BadRequest(ANSWER_LOST, "internal error") from error


def _has_disconnected(sock: socket) -> bool:
    """Check whether a caller has closed its end of the connection."""
    if not wait_for_read(sock, timeout=0):
        return False
    try:
        return sock.recv(1, MSG_PEEK) == b""
    except OSError:
        return True
