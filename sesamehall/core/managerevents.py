"""What can happen to a manager, beside what happens to every node."""

from dataclasses import dataclass
from enum import Enum

from sesamehall.core.calls import JobCall
from sesamehall.core.fleet import Machine
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.work import ActiveRun
from sesamehall.core.work import EndedRun


@dataclass(frozen=True, slots=True)
class JobCalled:
    """A caller has made a call about a job.

    Attributes:
      at_ms: The node's clock.
      call: The call.
    """

    at_ms: int
    call: JobCall


@dataclass(frozen=True, slots=True)
class StreamRead:
    """The platform gave records of a log.

    Attributes:
      at_ms: The node's clock.
      known_ms: Clock at which nothing newer was there, for certain.
      wall_ms: Time of day, since 1970.
      stream: The log.
      records: Records in order; of each key the newest where `whole`.
      next_offset: Where to read on.
      whole: Whether these are all keys, from the beginning.
    """

    at_ms: int
    known_ms: int
    wall_ms: int
    stream: Stream
    records: tuple[StoredRecord, ...]
    next_offset: int
    whole: bool


@dataclass(frozen=True, slots=True)
class StreamUnread:
    """The platform gave no records of a log.

    Attributes:
      at_ms: The node's clock.
      stream: The log.
      reason: Why, for the log.
      forgotten: Whether the log no longer holds what was asked for.
    """

    at_ms: int
    stream: Stream
    reason: str
    forgotten: bool = False


class StoreOutcome(Enum):
    """What became of records that were to be stored."""

    STORED = "stored"
    REFUSED = "refused"
    FENCED = "fenced"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class JobStored:
    """A job or a cancelling was written, or not.

    Attributes:
      at_ms: The node's clock.
      call_id: The call that it was written for.
      outcome: What became of it.
    """

    at_ms: int
    call_id: int
    outcome: StoreOutcome


@dataclass(frozen=True, slots=True)
class ProgressStored:
    """The leader's records were written, or not.

    Attributes:
      at_ms: The node's clock.
      asked_ms: Clock at which the write was sent.
      epoch: Term of the writer.
      outcome: What became of them; FENCED for another leader.
    """

    at_ms: int
    asked_ms: int
    epoch: int
    outcome: StoreOutcome


@dataclass(frozen=True, slots=True)
class WorkerReported:
    """A worker gave its lists of runs.

    Attributes:
      at_ms: The node's clock.
      asked_ms: Clock at which they were asked for.
      worker_id: The worker.
      epoch: Term in which it was asked.
      clock_ms: The worker's own clock.
      born_ms: Time of its start, since 1970; 0 where unknown.
      active: Runs that go on.
      ended: Runs that have ended and are not forgotten yet.
    """

    at_ms: int
    asked_ms: int
    worker_id: str
    epoch: int
    clock_ms: int
    born_ms: int
    active: tuple[ActiveRun, ...]
    ended: tuple[EndedRun, ...]


class OrderRefusal(Enum):
    """Why a worker did not carry an order out."""

    FENCED = "fenced"
    OLD_RUN = "old run"
    TOO_LATE = "too late"
    NO_ROOM = "no room"
    NO_TICKET = "no ticket"
    UNHEALTHY = "unhealthy"
    OTHER_LIFE = "other life"
    MALFORMED = "malformed"
    SILENT = "silent"
    NOT_SENT = "not sent in time"


@dataclass(frozen=True, slots=True)
class WorkerNotReported:
    """A worker gave no lists.

    Attributes:
      at_ms: The node's clock.
      worker_id: The worker.
      epoch: Term in which it was asked.
      refusal: Why.
    """

    at_ms: int
    worker_id: str
    epoch: int
    refusal: OrderRefusal


@dataclass(frozen=True, slots=True)
class OrderTiming:
    """How an order came to its worker.

    Attributes:
      given_ms: Clock at which it was given.
      sent_ms: Clock at which a thread began to send it.
    """

    given_ms: int
    sent_ms: int


@dataclass(frozen=True, slots=True)
class RunAnswered:
    """A worker answered an order to start a run.

    Attributes:
      at_ms: The node's clock.
      worker_id: The worker.
      epoch: Term in which it was ordered.
      task: Identifier of the task.
      number: Number of the run.
      refusal: None when the run is there.
      clock_ms: The worker's own clock as it answered, or -1.
      timing: When the order was given and sent.
    """

    at_ms: int
    worker_id: str
    epoch: int
    task: str
    number: int
    refusal: OrderRefusal | None
    clock_ms: int = -1
    timing: OrderTiming | None = None


@dataclass(frozen=True, slots=True)
class StopAnswered:
    """A worker answered an order to stop a run, or did not.

    Attributes:
      at_ms: The node's clock.
      worker_id: The worker.
      epoch: Term in which it was ordered.
      task: Identifier of the task.
      number: Number of the run.
      refusal: None when the order was taken.
      timing: When the order was given and sent.
    """

    at_ms: int
    worker_id: str
    epoch: int
    task: str
    number: int
    refusal: OrderRefusal | None
    timing: OrderTiming | None = None


@dataclass(frozen=True, slots=True)
class AdviceGiven:
    """The advice service has said on which workers a step may run.

    Attributes:
      at_ms: The node's clock.
      asked_ms: Clock at which it was asked.
      step: Name of the step.
      worker_ids: The workers that it was asked about.
      tickets: Worker and ticket, of those on which it may run.
      valid_ms: How long the tickets are valid.
    """

    at_ms: int
    asked_ms: int
    step: str
    worker_ids: tuple[str, ...]
    tickets: tuple[tuple[str, str], ...]
    valid_ms: int


@dataclass(frozen=True, slots=True)
class AdviceNotGiven:
    """The advice service gave no answer.

    Attributes:
      at_ms: The node's clock.
      step: Name of the step.
      reason: Why, for the log.
    """

    at_ms: int
    step: str
    reason: str


@dataclass(frozen=True, slots=True)
class MachinesListed:
    """The platform gave its list of machines.

    Attributes:
      at_ms: The node's clock.
      asked_ms: Clock at which it was asked for.
      machines: All of them.
    """

    at_ms: int
    asked_ms: int
    machines: tuple[Machine, ...]


@dataclass(frozen=True, slots=True)
class MachineAnswered:
    """The platform answered an order for a machine, or did not.

    Attributes:
      at_ms: The node's clock.
      machine: Name of the machine.
      done: Whether the order was carried out.
      refused: Whether it certainly was not, and will not be.
      reason: Why not, for the log.
    """

    at_ms: int
    machine: str
    done: bool
    refused: bool = False
    reason: str = ""


@dataclass(frozen=True, slots=True)
class MachinesNotListed:
    """The platform gave no list of machines.

    Attributes:
      at_ms: The node's clock.
      reason: Why, for the log.
    """

    at_ms: int
    reason: str


ManagerEvent = (
    JobCalled
    | StreamRead
    | StreamUnread
    | JobStored
    | ProgressStored
    | WorkerReported
    | WorkerNotReported
    | RunAnswered
    | StopAnswered
    | AdviceGiven
    | AdviceNotGiven
    | MachinesListed
    | MachinesNotListed
    | MachineAnswered
)
