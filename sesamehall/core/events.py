"""Events: everything that the reducer handles, as data.

Each event carries the reading of the node's monotonic clock in milliseconds,
`at_ms`, because decisions read neither a clock nor a random source.
"""

from dataclasses import dataclass

from sesamehall.core.data import Instance
from sesamehall.core.data import Job
from sesamehall.core.data import PresentedKey
from sesamehall.core.data import Request
from sesamehall.core.managerevents import ManagerEvent
from sesamehall.core.messages import Message
from sesamehall.core.records import LogEntry
from sesamehall.core.timers import Timer


@dataclass(frozen=True, slots=True)
class Started:
    """The process has started.

    Attributes:
      at_ms: Current time on the node's clock.
    """

    at_ms: int


@dataclass(frozen=True, slots=True)
class StopRequested:
    """A graceful shutdown was requested.

    Attributes:
      at_ms: Current time on the node's clock.
    """

    at_ms: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by an earlier effect has expired.

    Attributes:
      at_ms: Current time on the node's clock.
      timer: The timer.
    """

    at_ms: int
    timer: Timer


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A request was received with its whole body.

    Attributes:
      at_ms: Current time on the node's clock.
      request: The request without its headers and body.
    """

    at_ms: int
    request: Request


@dataclass(frozen=True, slots=True)
class CallerGone:
    """A caller has closed its connection before the answer.

    Attributes:
      at_ms: Current time on the node's clock.
      request_id: Identifier of the request.
    """

    at_ms: int
    request_id: str


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The deadline of a request or of a job call has passed.

    Attributes:
      at_ms: Current time on the node's clock.
      request_id: Identifier of the request or of the call.
    """

    at_ms: int
    request_id: str


@dataclass(frozen=True, slots=True)
class Completed:
    """The target returned a complete response.

    Attributes:
      status: HTTP status of the response.
    """

    status: int


@dataclass(frozen=True, slots=True)
class NotSent:
    """The attempt failed before any byte of the request was sent.

    Attributes:
      reason: Reason, for the log.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class TooLate:
    """The time to send the request had passed; no failure of the target."""


@dataclass(frozen=True, slots=True)
class Declined:
    """The target answered that it did not run the request."""


@dataclass(frozen=True, slots=True)
class Broken:
    """The response is missing or incomplete; the request may have run.

    Attributes:
      reason: Reason, for the log.
      timed_out: Whether the deadline passed before the response.
    """

    reason: str
    timed_out: bool


TargetOutcome = Completed | NotSent | TooLate | Declined | Broken


@dataclass(frozen=True, slots=True)
class TargetAnswered:
    """An attempt to run a request on a target has ended.

    Attributes:
      at_ms: Current time on the node's clock.
      request_id: Identifier of the request.
      attempt: Number of the attempt, counted from 1.
      outcome: Outcome of the attempt.
    """

    at_ms: int
    request_id: str
    attempt: int
    outcome: TargetOutcome


@dataclass(frozen=True, slots=True)
class SubmitCalled:
    """A caller submits a job.

    Attributes:
      at_ms: Current time on the node's clock.
      call_id: Identifier of the call within this entry.
      key: Presented key, or None.
      job: The job; its team is empty until the key is checked.
    """

    at_ms: int
    call_id: str
    key: PresentedKey | None
    job: Job


@dataclass(frozen=True, slots=True)
class AskCalled:
    """A caller requests the state of a job.

    Attributes:
      at_ms: Current time on the node's clock.
      call_id: Identifier of the call within this entry.
      key: Presented key, or None.
      job_id: Identifier of the job.
    """

    at_ms: int
    call_id: str
    key: PresentedKey | None
    job_id: str


@dataclass(frozen=True, slots=True)
class CancelCalled:
    """A caller requests the cancellation of a job.

    Attributes:
      at_ms: Current time on the node's clock.
      call_id: Identifier of the call within this entry.
      key: Presented key, or None.
      job_id: Identifier of the job.
    """

    at_ms: int
    call_id: str
    key: PresentedKey | None
    job_id: str


@dataclass(frozen=True, slots=True)
class PeerConnected:
    """A stream to a peer was opened; nothing has been received on it.

    Attributes:
      at_ms: Current time on the node's clock.
      peer: Name of the peer in the settings.
    """

    at_ms: int
    peer: str


@dataclass(frozen=True, slots=True)
class PeerDisconnected:
    """The stream to a peer was closed, possibly after a timeout.

    Attributes:
      at_ms: Current time on the node's clock.
      peer: Name of the peer.
    """

    at_ms: int
    peer: str


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message of a peer was received.

    Attributes:
      at_ms: Current time on the node's clock.
      peer: Name of the peer.
      message: The message.
    """

    at_ms: int
    peer: str
    message: Message


@dataclass(frozen=True, slots=True)
class LogRead:
    """A read of the platform's log succeeded.

    Attributes:
      at_ms: Current time on the node's clock.
      log_entries: Log entries in order, without gaps; may be empty.
      earliest: Oldest offset that the log still holds.
    """

    at_ms: int
    log_entries: tuple[LogEntry, ...]
    earliest: int


@dataclass(frozen=True, slots=True)
class LogReadFailed:
    """A read of the platform's log failed.

    Attributes:
      at_ms: Current time on the node's clock.
      reason: Reason, for the log.
    """

    at_ms: int
    reason: str


@dataclass(frozen=True, slots=True)
class AppendEnded:
    """An append to the log has ended, possibly without an answer.

    Attributes:
      at_ms: Current time on the node's clock.
      record_id: Identifier of the record.
      confirmed: Whether the platform acknowledged the record.
    """

    at_ms: int
    record_id: str
    confirmed: bool


@dataclass(frozen=True, slots=True)
class InstancesListed:
    """The platform returned its list of instances.

    Attributes:
      at_ms: Current time on the node's clock.
      instances: All live and leaving instances, possibly out of date.
    """

    at_ms: int
    instances: tuple[Instance, ...]


@dataclass(frozen=True, slots=True)
class InstancesNotListed:
    """The platform returned no list of instances.

    Attributes:
      at_ms: Current time on the node's clock.
      reason: Reason, for the log.
    """

    at_ms: int
    reason: str


@dataclass(frozen=True, slots=True)
class InstanceRebooted:
    """The platform answered a request to reboot an instance.

    Attributes:
      at_ms: Current time on the node's clock.
      operation: Identifier of the move.
      confirmed: Whether the reboot is complete.
    """

    at_ms: int
    operation: str
    confirmed: bool


@dataclass(frozen=True, slots=True)
class TaskRunning:
    """The worker is running the task."""


@dataclass(frozen=True, slots=True)
class TaskEnded:
    """The task has ended on the worker.

    Attributes:
      succeeded: Whether the task succeeded.
      detail: The worker's answer.
    """

    succeeded: bool
    detail: str


@dataclass(frozen=True, slots=True)
class TaskUnknown:
    """The worker does not know the task."""


@dataclass(frozen=True, slots=True)
class TaskSilent:
    """The worker did not answer.

    Attributes:
      reason: Reason, for the log.
    """

    reason: str


TaskOutcome = TaskRunning | TaskEnded | TaskUnknown | TaskSilent


@dataclass(frozen=True, slots=True)
class WorkerAnswered:
    """A call to a worker about a task has ended.

    Attributes:
      at_ms: Current time on the node's clock.
      job_id: Identifier of the job.
      outcome: What the worker answered.
    """

    at_ms: int
    job_id: str
    outcome: TaskOutcome


Event = (
    Started
    | StopRequested
    | TimerFired
    | RequestReceived
    | CallerGone
    | DeadlinePassed
    | TargetAnswered
    | SubmitCalled
    | AskCalled
    | CancelCalled
    | PeerConnected
    | PeerDisconnected
    | MessageReceived
    | LogRead
    | LogReadFailed
    | AppendEnded
    | InstancesListed
    | InstancesNotListed
    | InstanceRebooted
    | WorkerAnswered
    | ManagerEvent
)
