"""Events of a manager, in addition to those that every node handles."""

from dataclasses import dataclass
from enum import Enum

from sesamehall.core.calls import JobCall
from sesamehall.core.fleet import Machine
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.fleet import WaveStatus
from sesamehall.core.peercalls import PeerAnswered
from sesamehall.core.peercalls import PeerCallReceived
from sesamehall.core.work import ActiveRun
from sesamehall.core.work import EndedRun


@dataclass(frozen=True, slots=True)
class JobCalled:
    """A caller made a call about a job.

    Attributes:
      at_ms: Current time on the node's clock.
      call: The call.
    """

    at_ms: int
    call: JobCall


@dataclass(frozen=True, slots=True)
class StreamRead:
    """Records of a stream were read.

    Attributes:
      at_ms: Current time on the node's clock.
      known_until_ms: Time up to which no newer record was in the stream.
      wall_ms: Time of day, since 1970.
      stream: The stream.
      records: Records in order; if `covers_all_keys`, the newest record of
        each key.
      next_offset: Offset to read next.
      covers_all_keys: Whether the records cover all keys from the beginning
        of the stream.
    """

    at_ms: int
    known_until_ms: int
    wall_ms: int
    stream: Stream
    records: tuple[StoredRecord, ...]
    next_offset: int
    covers_all_keys: bool


@dataclass(frozen=True, slots=True)
class StreamUnread:
    """Reading a stream failed.

    Attributes:
      at_ms: Current time on the node's clock.
      stream: The stream.
      reason: Reason to log.
      truncated: Whether the stream no longer contains the requested records.
    """

    at_ms: int
    stream: Stream
    reason: str
    truncated: bool = False


class StoreOutcome(Enum):
    """Outcome of a write; UNSTORABLE records would be refused every time."""

    STORED = "stored"
    REFUSED = "refused"
    FENCED = "fenced"
    UNKNOWN = "unknown"
    UNSTORABLE = "unstorable"


@dataclass(frozen=True, slots=True)
class JobStored:
    """The write of a job or a cancel request finished or failed.

    Attributes:
      at_ms: Current time on the node's clock.
      call_id: The call that requested the write.
      outcome: Outcome of the write.
    """

    at_ms: int
    call_id: int
    outcome: StoreOutcome


@dataclass(frozen=True, slots=True)
class ProgressStored:
    """The write of the leader's records finished or failed.

    Attributes:
      at_ms: Current time on the node's clock.
      sent_ms: Time at which the write was first sent without being refused;
        a retry after a lost answer may only repeat it.
      epoch: Term of the writer.
      outcome: Outcome of the write; FENCED if another leader took over.
      unstorable_keys: Keys of records that were left out, since they cannot
        be encoded or are too large.
      held_keys: Keys of records that were held back beside progress which
        cannot be stored: those of workers and the progress of other jobs.
      attempts: Number of times that the write was sent.
    """

    at_ms: int
    sent_ms: int
    epoch: int
    outcome: StoreOutcome
    unstorable_keys: tuple[str, ...] = ()
    held_keys: tuple[str, ...] = ()
    attempts: int = 1


@dataclass(frozen=True, slots=True)
class WorkerReported:
    """A worker reported its lists of runs.

    Attributes:
      at_ms: Current time on the node's clock.
      sent_ms: Time at which the request for the lists was sent.
      worker_id: The worker.
      epoch: Term in which the request was sent.
      clock_ms: The worker's own clock.
      started_wall_ms: Time of its start, since 1970; 0 if unknown.
      active: Active runs.
      ended: Ended runs that are not acknowledged yet.
      is_whole: Whether `ended` contains all of them. A report that is cut
        lists only the first ones, so a run in neither list may have ended in
        any way.
    """

    at_ms: int
    sent_ms: int
    worker_id: str
    epoch: int
    clock_ms: int
    started_wall_ms: int
    active: tuple[ActiveRun, ...]
    ended: tuple[EndedRun, ...]
    is_whole: bool


class OrderRefusal(Enum):
    """Reason why a worker did not carry out an order.

    After SILENT and UNCLEAR it may have been carried out all the same: there
    was no answer, or one that does not say that nothing was done.  NOT_SENT
    and RESTARTED orders were not sent: one was void, and the other was meant
    for an incarnation that has ended.
    """

    FENCED = "fenced"
    OLD_RUN = "old run"
    TOO_LATE = "too late"
    NO_ROOM = "no room"
    NO_TICKET = "no ticket"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other life"
    MALFORMED = "malformed"
    SILENT = "silent"
    UNCLEAR = "unclear answer"
    NOT_SENT = "not sent in time"
    RESTARTED = "restarted"


@dataclass(frozen=True, slots=True)
class WorkerNotReported:
    """A request for a worker's lists of runs failed.

    Attributes:
      at_ms: Current time on the node's clock.
      worker_id: The worker.
      epoch: Term in which the request was sent.
      refusal: Reason of the failure.
    """

    at_ms: int
    worker_id: str
    epoch: int
    refusal: OrderRefusal


@dataclass(frozen=True, slots=True)
class OrderTiming:
    """Times at which an order was issued and sent.

    Attributes:
      issued_ms: Time at which the order was queued for sending.
      sent_ms: Time at which a thread began to send it.
    """

    issued_ms: int
    sent_ms: int


@dataclass(frozen=True, slots=True)
class RunAnswered:
    """A worker answered a start order, or the order failed.

    Attributes:
      at_ms: Current time on the node's clock.
      worker_id: The worker.
      epoch: Term in which the order was issued.
      task: Identifier of the task.
      number: Number of the run.
      refusal: None if the worker accepted the run.
      clock_ms: The worker's own clock when it answered, or -1.
      timing: Times at which the order was issued and sent.
      status: Status of the worker's response, or 0 if there was none.
    """

    at_ms: int
    worker_id: str
    epoch: int
    task: str
    number: int
    refusal: OrderRefusal | None
    clock_ms: int = -1
    timing: OrderTiming | None = None
    status: int = 0


@dataclass(frozen=True, slots=True)
class StopAnswered:
    """A worker answered a stop order, or the order failed.

    Attributes:
      at_ms: Current time on the node's clock.
      worker_id: The worker.
      epoch: Term in which the order was issued.
      task: Identifier of the task.
      number: Number of the run.
      refusal: None if the worker accepted the order.
      timing: Times at which the order was issued and sent.
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
    """The advice service answered on which workers a step may run.

    Attributes:
      at_ms: Current time on the node's clock.
      sent_ms: Time at which the request was sent.
      step: Name of the step.
      worker_ids: The workers that the request named.
      tickets: Worker and ticket, of those on which the step may run.
      valid_ms: How long the tickets are valid.
    """

    at_ms: int
    sent_ms: int
    step: str
    worker_ids: tuple[str, ...]
    tickets: tuple[tuple[str, str], ...]
    valid_ms: int


@dataclass(frozen=True, slots=True)
class AdviceNotGiven:
    """A request to the advice service failed.

    Attributes:
      at_ms: Current time on the node's clock.
      step: Name of the step.
      reason: Reason to log.
    """

    at_ms: int
    step: str
    reason: str


@dataclass(frozen=True, slots=True)
class MachinesListed:
    """The platform returned its list of machines.

    Attributes:
      at_ms: Current time on the node's clock.
      sent_ms: Time at which the request was sent.
      machines: All machines.
    """

    at_ms: int
    sent_ms: int
    machines: tuple[Machine, ...]


@dataclass(frozen=True, slots=True)
class MachineAnswered:
    """The platform answered an order for a machine, or the order failed.

    Attributes:
      at_ms: Current time on the node's clock.
      machine: Name of the machine.
      epoch: Epoch of the leader that sent the order.
      done: Whether the platform accepted the order.
      refused: Whether the order certainly was not and will not be carried
        out.
      reason: Reason of the failure, to log.
    """

    at_ms: int
    machine: str
    epoch: int
    done: bool
    refused: bool = False
    reason: str = ""


@dataclass(frozen=True, slots=True)
class MachinesNotListed:
    """A request for the list of machines failed.

    Attributes:
      at_ms: Current time on the node's clock.
      reason: Reason to log.
    """

    at_ms: int
    reason: str


@dataclass(frozen=True, slots=True)
class WaveNotReported:
    """The status of a wave could not be written for the operators.

    Attributes:
      at_ms: Current time on the node's clock.
      status: The status.
      reason: Reason to log.
    """

    at_ms: int
    status: WaveStatus
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
    | WaveNotReported
    | PeerCallReceived
    | PeerAnswered
)
