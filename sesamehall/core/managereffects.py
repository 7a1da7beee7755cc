"""Effects that a manager's decisions request from the runtime."""

from dataclasses import dataclass

from sesamehall.core.calls import CallAnswer
from sesamehall.core.fleet import CancelAsked
from sesamehall.core.fleet import Candidate
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.fleet import WaveStatus
from sesamehall.core.peercalls import AnswerPeer
from sesamehall.core.peercalls import ForwardCall
from sesamehall.core.peercalls import RegisterNode
from sesamehall.core.work import JobPlan


@dataclass(frozen=True, slots=True)
class AnswerCall:
    """Answer a caller.

    Attributes:
      call_id: Identifier of the call.
      answer: The answer.
    """

    call_id: int
    answer: CallAnswer


@dataclass(frozen=True, slots=True)
class ReadStream:
    """Read a stream.

    Attributes:
      stream: The stream.
      from_offset: First offset to read, or -1 for the newest record of every
        key.
      wait_ms: How long to wait for a new record.
    """

    stream: Stream
    from_offset: int
    wait_ms: int = 0


@dataclass(frozen=True, slots=True)
class StoreJob:
    """Store a caller's job or cancel request; idempotent.

    Attributes:
      call_id: The call that waits for the write.
      value: The job or the cancel request.
      not_after_ms: Time after which the write is not retried any more.
    """

    call_id: int
    value: JobPlan | CancelAsked
    not_after_ms: int


@dataclass(frozen=True, slots=True)
class OfferToLead:
    """Report to the leader that this stronger node could replace it.

    Attributes:
      candidate: The node.
    """

    candidate: Candidate


@dataclass(frozen=True, slots=True)
class StoreProgress:
    """Store the leader's records, fenced by its epoch.

    Attributes:
      epoch: Term of the writer.
      records: The records.
      expected_end_offset: End offset that the stream must have when the
        leader role is claimed, else -1.
    """

    epoch: int
    records: tuple[StoredRecord, ...]
    expected_end_offset: int = -1


@dataclass(frozen=True, slots=True)
class WatchWorker:
    """Request a worker's lists of runs and renew its lease (a long poll).

    Such a request is called a watch.

    Attributes:
      worker_id: The worker.
      address: "host:port" of its HTTP interface.
      epoch: Fencing token.
      acknowledged: Sequence number up to which its ended runs are stored, so
        that it may delete them.
      lease_until_ms: End of the lease on the worker's clock, or -1 to leave
        the lease unchanged.
      wait_ms: How long the worker may wait for a run to end.
      started_wall_ms: Start of the incarnation that may receive it, since
        1970, or 0 for any.
    """

    worker_id: str
    address: str
    epoch: int
    acknowledged: int
    lease_until_ms: int
    wait_ms: int
    started_wall_ms: int = 0


@dataclass(frozen=True, slots=True)
class StartRun:
    """Start a run on a worker; idempotent.

    Attributes:
      worker_id: The worker.
      address: "host:port" of its HTTP interface.
      epoch: Fencing token.
      task: Identifier of the task.
      number: Number of the run.
      command: Opaque text for the worker.
      lease_until_ms: End of the lease on the worker's clock.
      not_after_ms: Time after which the order must not be sent.
      checkpoint: Checkpoint to resume from, or "".
      ticket: Ticket of the advice service, or "".
      started_wall_ms: Start of the incarnation that may receive it, since
        1970, or 0 for any.
    """

    worker_id: str
    address: str
    epoch: int
    task: str
    number: int
    command: str
    lease_until_ms: int
    not_after_ms: int
    checkpoint: str
    ticket: str = ""
    started_wall_ms: int = 0


@dataclass(frozen=True, slots=True)
class RevokeOrders:
    """Send no order of a term that still waits for a thread.

    These are orders to start runs and orders for machines.

    Attributes:
      epoch: The term; orders of earlier terms are not sent either.
    """

    epoch: int


@dataclass(frozen=True, slots=True)
class RequestAdvice:
    """Request advice from the service: on which workers a step may run.

    Attributes:
      step: Name of the step.
      worker_ids: The workers.
    """

    step: str
    worker_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StopRun:
    """Stop a run on a worker; idempotent.

    Attributes:
      worker_id: The worker.
      address: "host:port" of its HTTP interface.
      epoch: Fencing token.
      task: Identifier of the task.
      number: Number of the run.
      started_wall_ms: Start of the incarnation that may receive it, since
        1970, or 0 for any.
    """

    worker_id: str
    address: str
    epoch: int
    task: str
    number: int
    started_wall_ms: int = 0


@dataclass(frozen=True, slots=True)
class ThrottleRun:
    """Throttle a run to a share of its speed.

    Attributes:
      worker_id: The worker.
      address: "host:port" of its HTTP interface.
      epoch: Fencing token.
      task: Identifier of the task.
      number: Number of the run.
      percent: The share, 0 to 100.
      started_wall_ms: Start of the incarnation that may receive it, since
        1970, or 0 for any.
    """

    worker_id: str
    address: str
    epoch: int
    task: str
    number: int
    percent: int
    started_wall_ms: int = 0


@dataclass(frozen=True, slots=True)
class ForgetWorker:
    """Release the connections and threads of a departed worker.

    Attributes:
      worker_id: The worker.
    """

    worker_id: str


@dataclass(frozen=True, slots=True)
class ListMachines:
    """Request the platform's list of machines."""


@dataclass(frozen=True, slots=True)
class MoveMachine:
    """Move a machine to another pool; this ends all runs on it.

    Attributes:
      machine: Name of the machine.
      pool: The pool to move it to.
      epoch: Fencing token.
      not_after_ms: Time after which the order must not be sent, since another
        node may lead by then.
    """

    machine: str
    pool: str
    epoch: int
    not_after_ms: int


@dataclass(frozen=True, slots=True)
class MaintainMachine:
    """Begin a machine's maintenance; this ends all runs on it.

    Attributes:
      machine: Name of the machine.
      wave: Number of the wave that requests it.
      epoch: Fencing token.
      not_after_ms: Time after which the order must not be sent, since another
        node may lead by then.
    """

    machine: str
    wave: int
    epoch: int
    not_after_ms: int


@dataclass(frozen=True, slots=True)
class ReportWave:
    """Report the status of a wave to the operators.

    Attributes:
      status: The status.
    """

    status: WaveStatus


@dataclass(frozen=True, slots=True)
class SetReady:
    """Report to the load balancer whether this node serves calls.

    Attributes:
      ready: Whether it serves calls.
    """

    ready: bool


ManagerEffect = (
    AnswerCall
    | ReadStream
    | StoreJob
    | OfferToLead
    | StoreProgress
    | WatchWorker
    | StartRun
    | RevokeOrders
    | RequestAdvice
    | StopRun
    | ThrottleRun
    | ForgetWorker
    | ListMachines
    | MoveMachine
    | MaintainMachine
    | ReportWave
    | SetReady
    | ForwardCall
    | AnswerPeer
    | RegisterNode
)
