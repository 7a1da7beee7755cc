"""Decoding of workers' responses: refusals, clocks and lists of runs."""

from sesamehall.codecs.jsonfields import decode_integer
from sesamehall.codecs.jsonfields import decode_rows
from sesamehall.core.codes import DecodeError
from sesamehall.core.codes import PlatformError
from sesamehall.core.managereffects import WatchWorker
from sesamehall.core.managerevents import OrderRefusal
from sesamehall.core.managerevents import WorkerReported
from sesamehall.platform.httpconnection import HttpResponse
from sesamehall.platform.incarnationhttp import UNKNOWN_INCARNATION
from sesamehall.platform.workerdecoding import decode_active_runs
from sesamehall.platform.workerdecoding import decode_ended_runs
from sesamehall.runtime.interpreter import now_ms

MAX_LISTED_ENDS = 500  # a worker lists no more ended runs in one report
REFUSAL_BY_REASON = {
    "fence": OrderRefusal.FENCED,
    "old": OrderRefusal.OLD_RUN,
    "late": OrderRefusal.TOO_LATE,
    "room": OrderRefusal.NO_ROOM,
    "ticket": OrderRefusal.NO_TICKET,
}


def decode_refusal(response: HttpResponse) -> OrderRefusal | None:
    """Decode whether a worker accepted an order.

    Args:
      response: The response.
    Returns:
      Why it refused, or None if it accepted.  Any answer that the protocol
      does not name is unclear: the order may have been carried out.
    """
    match response.status:
        case 200:
            return None
        case 409:
            return _decode_conflict(response)
        case 400:
            return OrderRefusal.MALFORMED
        case 421:
            return OrderRefusal.OTHER_INCARNATION
        case 429 | 503:
            return OrderRefusal.UNHEALTHY
    return OrderRefusal.UNCLEAR


def _decode_conflict(response):
    """Decode the reason of a refusal with status 409."""
    try:
        reason = response.json().get("Reason")
    except PlatformError:
        return OrderRefusal.UNCLEAR
    if type(reason) is not str:
        return OrderRefusal.UNCLEAR
    return REFUSAL_BY_REASON.get(reason, OrderRefusal.UNCLEAR)


def decode_start_ms(response: HttpResponse) -> int | None:
    """Decode when the worker started that has sent its lists of runs.

    Args:
      response: The response.
    Returns:
      Milliseconds since 1970, UNKNOWN_INCARNATION if the lists lack the time,
      or None if the worker refused to send them.
    """
    if response.status != 200:
        return None
    try:
        return decode_integer(response.json(), "born", UNKNOWN_INCARNATION)
    except (PlatformError, DecodeError):
        return None


def decode_clock_ms(response: HttpResponse) -> int:
    """Decode the worker's clock in its response to an order.

    Args:
      response: The response.
    Returns:
      The clock, or -1 if the response contains none.
    """
    if response.status != 200:
        return -1
    try:
        return decode_integer(response.json(), "ClockMs")
    except (PlatformError, DecodeError):
        return -1


def decode_report(
    effect: WatchWorker, sent_ms: int, response: HttpResponse
) -> WorkerReported:
    """Decode a worker's report of its runs.

    Args:
      effect: The watch that it answers.
      sent_ms: Time at which the watch was sent.
      response: The response, with status 200.
    Returns:
      The report.
    Raises:
      PlatformError: The response is not a JSON object.
      DecodeError: The report is not valid.
    """
    document = response.json()
    ended = decode_ended_runs(decode_rows(document, "Finished"))
    return WorkerReported(
        at_ms=now_ms(),
        sent_ms=sent_ms,
        worker_id=effect.worker_id,
        epoch=effect.epoch,
        clock_ms=decode_integer(document, "ClockMs"),
        started_wall_ms=decode_integer(document, "born", UNKNOWN_INCARNATION),
        active=decode_active_runs(decode_rows(document, "Active")),
        ended=ended,
        is_whole=len(ended) < MAX_LISTED_ENDS,
    )
