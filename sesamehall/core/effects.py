"""Effects: instructions of the reducer to the runtime, as data."""

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
      idempotent: Whether the request may be sent on a kept-alive connection
        that the target may have closed.
      not_after_ms: Time after which no byte may be sent.
      deadline_ms: Time at which the caller stops waiting.
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
    """Forward the target's complete response to the caller.

    Attributes:
      request_id: Identifier of the request.
    """

    request_id: str


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer a caller with a result code.

    Attributes:
      request_id: Identifier of the request or of the job call.
      code: The result code.
      detail: Details for a human reader.
      status: State of the job, for job calls that return it.
    """

    request_id: str
    code: ResultCode
    detail: str = ""
    status: JobStatus | None = None


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a peer; it is dropped when no stream is open.

    Attributes:
      peer: Name of the peer.
      message: The message.
    """

    peer: str
    message: Message


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Close the stream to a peer; the runtime may open a new one.

    Attributes:
      peer: Name of the peer.
    """

    peer: str


@dataclass(frozen=True, slots=True)
class ReadLog:
    """Read the log from an offset on, with a long poll for new records.

    Attributes:
      from_offset: First offset to read.
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
    """Request the list of instances from the platform."""


@dataclass(frozen=True, slots=True)
class RebootInstance:
    """Request a reboot of an instance from the platform.

    Attributes:
      operation: Idempotency key of the request.
      instance: Name of the instance.
      pool: Pool that the instance serves afterwards.
    """

    operation: str
    instance: str
    pool: str


@dataclass(frozen=True, slots=True)
class RunTask:
    """Start a task on a worker or renew its lease.

    Attributes:
      job_id: Identifier of the job and of its only task.
      address: "host:port" of the worker.
      epoch: Epoch of the role's holder; the worker rejects older ones.
      lease_ms: Time that the worker may run the task without a renewal.
      boot: Boot of the worker that may run it; after a reboot the worker
        rejects it.
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
      epoch: Epoch of the role's holder; the worker rejects older ones.
    """

    job_id: str
    address: str
    epoch: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Set a timer; replaces an earlier setting of the same timer.

    Attributes:
      timer: The timer.
      at_ms: Time at which it fires.
    """

    timer: Timer
    at_ms: int


@dataclass(frozen=True, slots=True)
class LogField:
    """A named value of a log line.

    Attributes:
      name: Name of the value.
      value: The value.
    """

    name: str
    value: str | int


@dataclass(frozen=True, slots=True)
class Log:
    """Log an event.

    Attributes:
      event: Event of the catalogue.
      details: Named values, in the order in which they are written.
    """

    event: LogEvent
    details: tuple[LogField, ...]


@dataclass(frozen=True, slots=True)
class Exit:
    """Terminate the process; nothing is in flight."""


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
    """Build the effect that logs an event.

    Args:
      event: Event of the catalogue.
      **details: Named values, written in the given order.
    Returns:
      A Log effect.
    """
    named = tuple(LogField(name, value) for name, value in details.items())
    return Log(event, named)
