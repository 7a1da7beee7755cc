"""Everything that a decision can ask the runtime to do, as data."""

from dataclasses import dataclass

from sesamehall.core.codes import ResultCode
from sesamehall.core.data import JobStatus
from sesamehall.core.logevents import LogEvent
from sesamehall.core.managereffects import ManagerEffect
from sesamehall.core.messages import Message
from sesamehall.core.records import Record
from sesamehall.core.timers import Timer


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send a request to a target.

    Attributes:
      request_id: Identifier of the request.
      attempt: Number of the attempt, counted from 1.
      target: Name of the instance.
      address: "host:port" of the instance.
      idempotent: Whether a stale connection may be tried.
      not_after_ms: Clock after which no byte may leave any more.
      deadline_ms: Clock at which the caller stops waiting.
    """

    request_id: str
    attempt: int
    target: str
    address: str
    idempotent: bool
    not_after_ms: int
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class Forward:
    """Give the caller the target's whole answer.

    Attributes:
      request_id: Identifier of the request.
    """

    request_id: str


@dataclass(frozen=True, slots=True)
class Reply:
    """Give the caller an answer of our own.

    Attributes:
      request_id: Identifier of the request or of the job call.
      code: The result code.
      detail: What exactly, for a person to read.
      status: The job's state where the call was about a job.
    """

    request_id: str
    code: ResultCode
    detail: str = ""
    status: JobStatus | None = None


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a peer; dropped when no stream is open.

    Attributes:
      peer: Name of the peer.
      message: The message.
    """

    peer: str
    message: Message


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Close the stream to a peer; a new one may be opened.

    Attributes:
      peer: Name of the peer.
    """

    peer: str


@dataclass(frozen=True, slots=True)
class ReadLog:
    """Read the log from an offset on, waiting a while for new records.

    Attributes:
      from_offset: First offset wanted.
    """

    from_offset: int


@dataclass(frozen=True, slots=True)
class Append:
    """Append a record to the log.

    Attributes:
      record: The record.
    """

    record: Record


@dataclass(frozen=True, slots=True)
class ListInstances:
    """Ask the platform for its list of instances."""


@dataclass(frozen=True, slots=True)
class RebootInstance:
    """Ask the platform to reboot an instance.

    Attributes:
      operation: Identifier that makes repeats harmless.
      instance: Name of the instance.
      pool: Pool that the instance shall serve afterwards.
    """

    operation: str
    instance: str
    pool: str


@dataclass(frozen=True, slots=True)
class RunTask:
    """Start a task on a worker, or renew its lease.

    Attributes:
      job_id: Identifier of the job, and of its only task.
      address: "host:port" of the worker.
      epoch: Epoch of the writer; the worker refuses an older one.
      lease_ms: How long the worker may run it without another renewal.
      boot: Boot of the worker that may run it; a later one refuses.
      command: Opaque text for the worker.
    """

    job_id: str
    address: str
    epoch: int
    lease_ms: int
    boot: str
    command: str


@dataclass(frozen=True, slots=True)
class StopTask:
    """Stop a task on a worker.

    Attributes:
      job_id: Identifier of the job.
      address: "host:port" of the worker.
      epoch: Epoch of the writer; the worker refuses an older one.
    """

    job_id: str
    address: str
    epoch: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Fire a timer at a time; replaces an earlier setting of it.

    Attributes:
      timer: The timer.
      at_ms: The node's clock at which it is due.
    """

    timer: Timer
    at_ms: int


@dataclass(frozen=True, slots=True)
class Detail:
    """One named value of a log line.

    Attributes:
      name: Name of the value.
      value: The value.
    """

    name: str
    value: str | int


@dataclass(frozen=True, slots=True)
class Log:
    """Write a numbered log line.

    Attributes:
      event: Entry of the catalogue.
      details: Named values, in the order they are written.
    """

    event: LogEvent
    details: tuple[Detail, ...]


@dataclass(frozen=True, slots=True)
class Exit:
    """End the process; nothing is in flight any more."""


Effect = (
    Dispatch
    | Forward
    | Reply
    | Send
    | Disconnect
    | ReadLog
    | Append
    | ListInstances
    | RebootInstance
    | RunTask
    | StopTask
    | SetTimer
    | Log
    | Exit
    | ManagerEffect
)


def log(event, **details):
    """Build the effect that writes one log line.

    Args:
      event: Entry of the catalogue.
      **details: Named values, written in the order given.
    Returns:
      A Log effect.
    """
    named = tuple(Detail(name, value) for name, value in details.items())
    return Log(event, named)
