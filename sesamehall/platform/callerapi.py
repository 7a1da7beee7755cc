"""HTTP interface for callers and for the load balancer's health check."""

from collections.abc import Callable
from collections.abc import Iterable
from http import HTTPStatus
from itertools import count
import json
from queue import Empty
from queue import SimpleQueue

from sesamehall.codecs.jsonfields import decode_object
from sesamehall.core.calls import Accepted
from sesamehall.core.calls import CallAnswer
from sesamehall.core.calls import CallKind
from sesamehall.core.calls import CancelJob
from sesamehall.core.calls import Counted
from sesamehall.core.calls import CountPending
from sesamehall.core.calls import JobCall
from sesamehall.core.calls import Rejected
from sesamehall.core.calls import ShowJob
from sesamehall.core.calls import Shown
from sesamehall.core.calls import SubmitJob
from sesamehall.core.codes import DecodeError
from sesamehall.core.codes import JOB_UNCONFIRMED
from sesamehall.core.codes import MALFORMED
from sesamehall.core.codes import NO_SUCH_JOB
from sesamehall.core.codes import TOO_LARGE
from sesamehall.core.data import JobPhase
from sesamehall.core.events import Event
from sesamehall.core.managereffects import AnswerCall
from sesamehall.core.managerevents import JobCalled
from sesamehall.platform.jobdecoding import decode_draft
from sesamehall.runtime.interpreter import now_ms

AUTHORIZATION_PREFIX = "Token "
MAX_BODY_BYTES = 262_144  # larger bodies are rejected without reading them
DECISION_TIMEOUT_S = 2.6  # above CALL_TIMEOUT_MS, when the reducer answers
STATE_BY_PHASE = {
    JobPhase.WAITING: "queued",
    JobPhase.RUNNING: "running",
    JobPhase.DONE: "completed",
    JobPhase.FAILED: "failed",
    JobPhase.CANCELLED: "cancelled",
    JobPhase.IMPOSSIBLE: "failed",
}
# Statuses that callers expect here and that differ from `http_status`.
STATUS_BY_CODE = {NO_SUCH_JOB: 410}
JSON_CONTENT_TYPE = ("Content-Type", "application/json")


class CallerApi:
    """WSGI application that serves callers; shared by all server threads."""

    def __init__(self, post_event: Callable[[Event], None]):
        """Create the application.

        Args:
          post_event: Queues an event for the interpreter.
        """
        self._post_event = post_event
        self._id_counter = count(1)
        self._mailboxes_by_id: dict[int, SimpleQueue] = {}

    def __call__(self, environ: dict, start_response) -> Iterable[bytes]:
        """Serve one call.

        Args:
          environ: The request.
          start_response: Receives status and headers.
        Returns:
          The body of the response.
        """
        try:
            kind = _parse_call(environ)
        except DecodeError:
            answer = Rejected(MALFORMED)
        except BodyTooLarge:
            answer = Rejected(TOO_LARGE)
        else:
            answer = self._await_decision(environ, kind)
        status, headers, body = encode_answer(answer)
        headers.append(("Content-Length", str(len(body))))
        phrase = HTTPStatus(status).phrase
        start_response(f"{status} {phrase}", headers)
        return [body]

    def deliver(self, effect: AnswerCall) -> None:
        """Deliver an answer to the thread that serves the call.

        Args:
          effect: The answer; dropped if no thread waits for it.
        """
        mailbox = self._mailboxes_by_id.get(effect.call_id)
        if mailbox is not None:
            mailbox.put(effect.answer)

    def _await_decision(self, environ, kind: CallKind) -> CallAnswer:
        """Queue a call for the interpreter and wait for the answer."""
        call = JobCall(
            call_id=next(self._id_counter),
            at_ms=now_ms(),
            host=environ.get("HTTP_HOST", "").partition(":")[0],
            path=environ.get("PATH_INFO", ""),
            key=_parse_key(environ),
            kind=kind,
        )
        mailbox: SimpleQueue[CallAnswer] = SimpleQueue()
        self._mailboxes_by_id[call.call_id] = mailbox
        try:
            self._post_event(JobCalled(call.at_ms, call))
            return mailbox.get(timeout=DECISION_TIMEOUT_S)
        except Empty:
            return Rejected(JOB_UNCONFIRMED)
        finally:
            del self._mailboxes_by_id[call.call_id]


class BodyTooLarge(Exception):
    """The body of a call exceeds the size limit."""


def _parse_call(environ) -> CallKind:
    """Parse the kind and the arguments of a call."""
    path = environ.get("PATH_INFO", "")
    match environ["REQUEST_METHOD"]:
        case "POST":
            return SubmitJob(decode_draft(decode_object(_read_body(environ))))
        case "DELETE":
            return CancelJob()
        case "GET" if path.endswith("/"):
            return CountPending()
        case "GET":
            return ShowJob()
    raise DecodeError("unknown method")


def _read_body(environ) -> bytes:
    length = environ.get("CONTENT_LENGTH") or "0"
    if not length.isdecimal():
        raise DecodeError("invalid Content-Length")
    if int(length) > MAX_BODY_BYTES:
        raise BodyTooLarge
    return environ["wsgi.input"].read(int(length))


def _parse_key(environ) -> str:
    header = environ.get("HTTP_AUTHORIZATION", "")
    if not header.startswith(AUTHORIZATION_PREFIX):
        return ""
    return header.removeprefix(AUTHORIZATION_PREFIX).strip()


def encode_answer(answer: CallAnswer) -> tuple[int, list, bytes]:
    """Encode an answer to a caller.

    Args:
      answer: The answer.
    Returns:
      HTTP status, headers and body.
    """
    match answer:
        case Accepted():
            return _encode_json(200, {})
        case Shown(phase):
            return _encode_json(200, {"State": STATE_BY_PHASE[phase]})
        case Counted(pending):
            return _encode_json(200, {"Pending": pending})
        case Rejected(code, retry_after_s):
            status = STATUS_BY_CODE.get(code, code.http_status)
            content = {"code": code.number, "reason": code.name}
            status, headers, body = _encode_json(status, content)
            if retry_after_s:
                headers.append(("Retry-After", str(retry_after_s)))
            return status, headers, body


def _encode_json(status, content):
    return status, [JSON_CONTENT_TYPE], json.dumps(content).encode()


class ReadinessEndpoint:
    """WSGI application for the load balancer's health check.

    Attributes:
      ready: Whether this node accepts calls.
    """

    def __init__(self):
        """Create the endpoint in the state not ready."""
        self.ready = False

    def __call__(self, environ: dict, start_response) -> Iterable[bytes]:
        """Answer a health check.

        Args:
          environ: The request.
          start_response: Receives status and headers.
        Returns:
          An empty body.
        """
        status = "200 OK" if self.ready else "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return [b""]
