"""Numbered result codes and the exception tree.

The first digit gives the outcome: 1 the request ran, 2 it did not run, 3 the
outcome is unknown.  docs/ERRORS.md holds the same table; a test keeps the two
equal.
"""

from dataclasses import dataclass
from enum import Enum


class Outcome(Enum):
    """Whether a request ran, as far as the server knows."""

    RAN = "ran"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ResultCode:
    """A numbered result that callers receive.

    Attributes:
      number: Number shown to callers; never reused for another result.
      name: Short name.
      outcome: Whether the request ran.
      http_status: HTTP status of the response, 0 to use the target's own.
      advice: What the caller should do, as one sentence.
    """

    number: int
    name: str
    outcome: Outcome
    http_status: int
    advice: str


def _ran(number, name, status, advice):
    return ResultCode(number, name, Outcome.RAN, status, advice)


def _not_run(number, name, status, advice):
    return ResultCode(number, name, Outcome.NOT_RUN, status, advice)


def _unknown(number, name, status, advice):
    return ResultCode(number, name, Outcome.UNKNOWN, status, advice)


ANSWERED = _ran(1000, "answered", 0, "Use the answer; it is complete.")
JOB_ACCEPTED = _ran(1001, "job accepted", 202, "Ask for the job by its id.")
JOB_STATE = _ran(1002, "job state", 200, "Read the phase in the body.")
CANCEL_ACCEPTED = _ran(
    1003, "cancel accepted", 202, "Ask for the job until it has ended."
)

KEY_MISSING = _not_run(2001, "key missing", 401, "Send the team's key.")
KEY_REFUSED = _not_run(
    2002, "key refused", 401, "Ask the operators for a key that is in force."
)
NOT_ADMITTED = _not_run(
    2003,
    "not admitted",
    403,
    "Use a service or pool that the team's plan names.",
)
NO_SUCH_SERVICE = _not_run(
    2004, "no such service", 404, "Correct the service's name."
)
MALFORMED = _not_run(2005, "malformed request", 400, "Correct the request.")
TOO_LARGE = _not_run(2006, "body too large", 413, "Send a smaller body.")
QUEUE_FULL = _not_run(
    2007, "queue full", 503, "Send it again after a pause that grows."
)
DEADLINE_PASSED = _not_run(
    2008, "deadline passed in queue", 504, "Send it again, or wait longer."
)
STOPPING = _not_run(
    2009, "entry stopping", 503, "Send it again; another entry takes it."
)
NOT_READY = _not_run(
    2010, "entry not ready", 503, "Send it again after a pause."
)
TARGETS_UNREACHABLE = _not_run(
    2011, "no target reachable", 503, "Send it again after a pause."
)
NO_LIMIT = _not_run(
    2012, "team has no limit", 403, "Ask the operators for a limit."
)
STEWARD_UNREACHABLE = _not_run(
    2013, "steward unreachable", 503, "Send it again after a pause."
)
LOG_UNREACHABLE = _not_run(
    2014, "log unreachable", 503, "Send it again after a pause."
)
NO_SUCH_JOB = _not_run(2015, "no such job", 404, "Correct the job's id.")
JOB_IMPOSSIBLE = _not_run(
    2016, "job can never run", 422, "Declare a size that a worker has."
)
SINGLE_RUN_NOT_ASSURED = _not_run(
    2017,
    "single run not assured",
    503,
    "Send it again after a pause, with the same id.",
)
KEYS_UNVERIFIABLE = _not_run(
    2018,
    "keys cannot be checked",
    503,
    "Send it to an entry of another data centre, or again after a pause.",
)

ANSWER_LOST = _unknown(
    3001,
    "answer lost",
    502,
    "The request may have run; check before sending it again.",
)
TARGET_TIMED_OUT = _unknown(
    3002,
    "target too slow",
    504,
    "The request may still run; check before sending it again.",
)
CALLER_ID_REUSED = _unknown(
    3004,
    "caller id used before",
    409,
    "This repeat did not run; what became of the first is not known here.",
)
JOB_UNCONFIRMED = _unknown(
    3003,
    "job record unconfirmed",
    504,
    "Ask for the job by its id; hand in the same id again if unknown.",
)

RESULT_CODES = (
    ANSWERED,
    JOB_ACCEPTED,
    JOB_STATE,
    CANCEL_ACCEPTED,
    KEY_MISSING,
    KEY_REFUSED,
    NOT_ADMITTED,
    NO_SUCH_SERVICE,
    MALFORMED,
    TOO_LARGE,
    QUEUE_FULL,
    DEADLINE_PASSED,
    STOPPING,
    NOT_READY,
    TARGETS_UNREACHABLE,
    NO_LIMIT,
    STEWARD_UNREACHABLE,
    LOG_UNREACHABLE,
    NO_SUCH_JOB,
    JOB_IMPOSSIBLE,
    SINGLE_RUN_NOT_ASSURED,
    KEYS_UNVERIFIABLE,
    ANSWER_LOST,
    TARGET_TIMED_OUT,
    JOB_UNCONFIRMED,
    CALLER_ID_REUSED,
)


class SesamehallError(Exception):
    """Base class of all errors that Sesamehall raises."""


class SettingsError(SesamehallError):
    """An input file is invalid.

    Attributes:
      problems: All problems found, in the order of the file.
    """

    def __init__(self, problems):
        super().__init__(f"{len(problems)} problems")
        self.problems = tuple(problems)


class DecodeError(SesamehallError):
    """Received bytes are not a valid message or record."""


class PlatformError(SesamehallError):
    """The platform did not answer or answered with an error."""
