"""Refusals: replies with a result code, with their log lines."""

from sesamehall.core.codes import ResultCode
from sesamehall.core.effects import log
from sesamehall.core.effects import Reply
from sesamehall.core.logevents import REQUEST_REFUSED
from sesamehall.core.state import State
from sesamehall.core.step import Step


def refuse(
    state: State, request_id: str, code: ResultCode, detail: str
) -> Step:
    """Refuse a request or a job call.

    Args:
      state: State of the entry, returned unchanged.
      request_id: Identifier of the request or call.
      code: The result code.
      detail: Details of the reason.
    Returns:
      A Step with the reply and its log line.
    """
    line = log(
        REQUEST_REFUSED, request=request_id, code=code.number, detail=detail
    )
    return Step(state, (Reply(request_id, code, detail), line))
