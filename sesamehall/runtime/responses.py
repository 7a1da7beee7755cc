"""Responses to callers: a target's answer given on, or one of our own."""

from dataclasses import dataclass
from http import HTTPStatus
import json

from sesamehall.core.codes import ANSWERED
from sesamehall.core.codes import ResultCode
from sesamehall.core.data import JobStatus
from sesamehall.runtime.reading import connection_names
from sesamehall.runtime.reading import HOP_BY_HOP
from sesamehall.runtime.targets import Answer

RESULT_HEADER = "Sesamehall-Result"


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


def forward(answer: Answer) -> Response:
    """Give the target's answer on, without its hop-by-hop headers.

    Args:
      answer: The answer, whole.
    Returns:
      The response, with the result code in a header.
    """
    listed = connection_names(answer.headers)
    headers = tuple(
        (name, value)
        for name, value in answer.headers
        if name.lower() not in HOP_BY_HOP
        and name.lower() not in listed
        and name.lower() not in ("content-length", "sesamehall-result")
    )
    headers += ((RESULT_HEADER, str(ANSWERED.number)),)
    return Response(answer.status, answer.reason, headers, answer.body)


def own_response(
    code: ResultCode,
    detail: str,
    status: JobStatus | None = None,
    close: bool = False,
) -> Response:
    """Build an answer of our own: number in a header and in the body.

    Args:
      code: The result code.
      detail: What exactly, for a person to read.
      status: State of a job, where the answer is about one.
      close: Whether the connection must not be used again.
    Returns:
      The response.
    """
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
    return json_response(code.http_status, body, headers, close)


def json_response(
    status: int,
    body: dict,
    headers: tuple[tuple[str, str], ...],
    close: bool = False,
) -> Response:
    """Build a response with a JSON body.

    Args:
      status: HTTP status.
      body: What to encode.
      headers: Names and values beside the content type.
      close: Whether the connection must not be used again.
    Returns:
      The response.
    """
    return Response(
        status,
        HTTPStatus(status).phrase,
        headers + (("Content-Type", "application/json"),),
        json.dumps(body).encode() + b"\n",
        close,
    )
