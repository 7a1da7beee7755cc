"""Everything that can happen to a node, as data.

Each event carries the node's monotonic clock in milliseconds, `at_ms`: no
decision reads a clock or a random source of its own.
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
    """The process has begun.

    Attributes:
      at_ms: The node's clock.
    """

    at_ms: int


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The process was asked to stop gracefully.

    Attributes:
      at_ms: The node's clock.
    """

    at_ms: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by an earlier effect is due.

    Attributes:
      at_ms: The node's clock.
      timer: The timer.
    """

    at_ms: int
    timer: Timer


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A caller handed in a request, its body read to the end.

    Attributes:
      at_ms: The node's clock.
      request: The request without its bytes.
    """

    at_ms: int
    request: Request


@dataclass(frozen=True, slots=True)
class CallerGone:
    """A caller no longer waits for its answer.

    Attributes:
      at_ms: The node's clock.
      request_id: Identifier of the request.
    """

    at_ms: int
    request_id: str


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The time that a caller gave its request, or its job call, is over.

    Attributes:
      at_ms: The node's clock.
      request_id: Identifier of the request or of the call.
    """

    at_ms: int
    request_id: str


@dataclass(frozen=True, slots=True)
class Completed:
    """The target gave a whole answer.

    Attributes:
      status: HTTP status of the answer.
    """

    status: int


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte that could start the request left for the target.

    Attributes:
      reason: Why, for the log.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class TooLate:
    """The time to send it was over before a byte left; nobody's fault."""


@dataclass(frozen=True, slots=True)
class Declined:
    """The target said that it did not run the request."""


@dataclass(frozen=True, slots=True)
class Broken:
    """The answer is missing or not whole; the request may have run.

    Attributes:
      reason: Why, for the log.
      timed_out: Whether the deadline passed while waiting.
    """

    reason: str
    timed_out: bool


TargetOutcome = Completed | NotSent | TooLate | Declined | Broken


@dataclass(frozen=True, slots=True)
class TargetAnswered:
    """An attempt at a target has ended.

    Attributes:
      at_ms: The node's clock.
      request_id: Identifier of the request.
      attempt: Number of the attempt, counted from 1.
      outcome: How it ended.
    """

    at_ms: int
    request_id: str
    attempt: int
    outcome: TargetOutcome


@dataclass(frozen=True, slots=True)
class SubmitCalled:
    """A caller hands in a job.

    Attributes:
      at_ms: The node's clock.
      call_id: Identifier of the call within this entry.
      key: Credential shown, or None.
      job: The job; its team is still empty.
    """

    at_ms: int
    call_id: str
    key: PresentedKey | None
    job: Job


@dataclass(frozen=True, slots=True)
class AskCalled:
    """A caller asks for a job.

    Attributes:
      at_ms: The node's clock.
      call_id: Identifier of the call within this entry.
      key: Credential shown, or None.
      job_id: Identifier of the job.
    """

    at_ms: int
    call_id: str
    key: PresentedKey | None
    job_id: str


@dataclass(frozen=True, slots=True)
class CancelCalled:
    """A caller asks to stop a job.

    Attributes:
      at_ms: The node's clock.
      call_id: Identifier of the call within this entry.
      key: Credential shown, or None.
      job_id: Identifier of the job.
    """

    at_ms: int
    call_id: str
    key: PresentedKey | None
    job_id: str


@dataclass(frozen=True, slots=True)
class PeerConnected:
    """A stream to a peer is open; nothing was received on it yet.

    Attributes:
      at_ms: The node's clock.
      peer: Name of the peer as in the settings.
    """

    at_ms: int
    peer: str


@dataclass(frozen=True, slots=True)
class PeerDisconnected:
    """The stream to a peer is closed or was found silent.

    Attributes:
      at_ms: The node's clock.
      peer: Name of the peer.
    """

    at_ms: int
    peer: str


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A peer sent a message.

    Attributes:
      at_ms: The node's clock.
      peer: Name of the peer.
      message: The message.
    """

    at_ms: int
    peer: str
    message: Message


@dataclass(frozen=True, slots=True)
class LogRead:
    """The platform gave a piece of its log.

    Attributes:
      at_ms: The node's clock.
      entries: Entries in order, without gaps; may be empty.
      earliest: Oldest offset that the log still holds.
    """

    at_ms: int
    entries: tuple[LogEntry, ...]
    earliest: int


@dataclass(frozen=True, slots=True)
class LogReadFailed:
    """The platform gave no answer to a read.

    Attributes:
      at_ms: The node's clock.
      reason: Why, for the log.
    """

    at_ms: int
    reason: str


@dataclass(frozen=True, slots=True)
class AppendEnded:
    """An append was answered, or its answer was lost.

    Attributes:
      at_ms: The node's clock.
      record_id: Identifier of the record.
      confirmed: Whether the platform said that it holds the record.
    """

    at_ms: int
    record_id: str
    confirmed: bool


@dataclass(frozen=True, slots=True)
class InstancesListed:
    """The platform gave its list of instances.

    Attributes:
      at_ms: The node's clock.
      instances: All live and leaving instances, possibly out of date.
    """

    at_ms: int
    instances: tuple[Instance, ...]


@dataclass(frozen=True, slots=True)
class InstancesNotListed:
    """The platform gave no list of instances.

    Attributes:
      at_ms: The node's clock.
      reason: Why, for the log.
    """

    at_ms: int
    reason: str


@dataclass(frozen=True, slots=True)
class InstanceRebooted:
    """The platform answered a request to reboot an instance.

    Attributes:
      at_ms: The node's clock.
      operation: Identifier of the move.
      confirmed: Whether the reboot is done.
    """

    at_ms: int
    operation: str
    confirmed: bool


@dataclass(frozen=True, slots=True)
class TaskRunning:
    """The worker runs the task."""


@dataclass(frozen=True, slots=True)
class TaskEnded:
    """The worker has run the task to its end.

    Attributes:
      succeeded: Whether the task ended well.
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
      reason: Why, for the log.
    """

    reason: str


TaskOutcome = TaskRunning | TaskEnded | TaskUnknown | TaskSilent


@dataclass(frozen=True, slots=True)
class WorkerAnswered:
    """A call to a worker about a task has ended.

    Attributes:
      at_ms: The node's clock.
      job_id: Identifier of the job.
      outcome: What the worker said.
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
