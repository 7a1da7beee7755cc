"""Callers and the balancer, as the platform sends them."""

from collections.abc import Callable
from collections.abc import Iterable
from http import HTTPStatus
from itertools import count
import json
from queue import Empty
from queue import SimpleQueue

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
from sesamehall.platform.decoding import decode_draft
from sesamehall.platform.decoding import decode_object
from sesamehall.runtime.interpreter import now_ms

KEY_PREFIX = "Token "
BODY_LIMIT_BYTES = 262_144  # larger bodies are refused before they are read
DECISION_TIMEOUT_S = 2.6  # just above the longest time a decision takes
WORD_BY_PHASE = {
    JobPhase.WAITING: "queued",
    JobPhase.RUNNING: "running",
    JobPhase.DONE: "completed",
    JobPhase.FAILED: "failed",
    JobPhase.CANCELLED: "cancelled",
    JobPhase.IMPOSSIBLE: "failed",
}
STATUS_BY_CODE = {NO_SUCH_JOB: 410}  # where the platform's differs
JSON_TYPE = ("Content-Type", "application/json")


class Ingress:
    """Serves callers as a WSGI application, in many threads."""

    def __init__(self, post: Callable[[Event], None]):
        """Prepare the application.

        Args:
          post: Takes the events.
        """
        self._post = post
        self._serials = count(1)
        self._mailboxes_by_id: dict[int, SimpleQueue] = {}

    def __call__(self, environ: dict, start_response) -> Iterable[bytes]:
        """Serve one call.

        Args:
          environ: The request.
          start_response: Takes status and headers.
        Returns:
          The body of the answer.
        """
        try:
            kind = _read_kind(environ)
        except DecodeError:
            answer = Rejected(MALFORMED)
        except BodyTooLarge:
            answer = Rejected(TOO_LARGE)
        else:
            answer = self._decide(environ, kind)
        status, headers, body = encode_answer(answer)
        headers.append(("Content-Length", str(len(body))))
        phrase = HTTPStatus(status).phrase
        start_response(f"{status} {phrase}", headers)
        return [body]

    def deliver(self, effect: AnswerCall) -> None:
        """Hand an answer to the thread that waits for it.

        Args:
          effect: The answer; without a waiting thread it is dropped.
        """
        mailbox = self._mailboxes_by_id.get(effect.call_id)
        if mailbox is not None:
            mailbox.put(effect.answer)

    def _decide(self, environ, kind: CallKind) -> CallAnswer:
        """Have a call decided, and wait for the answer."""
        call = JobCall(
            call_id=next(self._serials),
            at_ms=now_ms(),
            host=environ.get("HTTP_HOST", "").partition(":")[0],
            path=environ.get("PATH_INFO", ""),
            key=_read_key(environ),
            kind=kind,
        )
        mailbox: SimpleQueue[CallAnswer] = SimpleQueue()
        self._mailboxes_by_id[call.call_id] = mailbox
        try:
            self._post(JobCalled(call.at_ms, call))
            return mailbox.get(timeout=DECISION_TIMEOUT_S)
        except Empty:
            return Rejected(JOB_UNCONFIRMED)
        finally:
            del self._mailboxes_by_id[call.call_id]


class BodyTooLarge(Exception):
    """A call whose body is over the limit."""


def _read_kind(environ) -> CallKind:
    """Tell what a request asks for."""
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
        raise DecodeError("bad length")
    if int(length) > BODY_LIMIT_BYTES:
        raise BodyTooLarge
    return environ["wsgi.input"].read(int(length))


def _read_key(environ) -> str:
    header = environ.get("HTTP_AUTHORIZATION", "")
    if not header.startswith(KEY_PREFIX):
        return ""
    return header.removeprefix(KEY_PREFIX).strip()


def encode_answer(answer: CallAnswer) -> tuple[int, list, bytes]:
    """Encode an answer to a caller.

    Args:
      answer: The answer.
    Returns:
      HTTP status, headers and body.
    """
    match answer:
        case Accepted():
            return _encode(200, {})
        case Shown(phase):
            return _encode(200, {"State": WORD_BY_PHASE[phase]})
        case Counted(pending):
            return _encode(200, {"Pending": pending})
        case Rejected(code, retry_after_s):
            status = STATUS_BY_CODE.get(code, code.http_status)
            content = {"code": code.number, "reason": code.name}
            status, headers, body = _encode(status, content)
            if retry_after_s:
                headers.append(("Retry-After", str(retry_after_s)))
            return status, headers, body


def _encode(status, content):
    return status, [JSON_TYPE], json.dumps(content).encode()


class ReadyPage:
    """Tells the balancer whether this node takes calls."""

    def __init__(self):
        """Begin as not ready."""
        self.ready = False

    def __call__(self, environ: dict, start_response) -> Iterable[bytes]:
        """Answer the balancer.

        Args:
          environ: The request.
          start_response: Takes status and headers.
        Returns:
          An empty body.
        """
        status = "200 OK" if self.ready else "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return [b""]
