"""What a manager's decisions ask the runtime to do."""

from dataclasses import dataclass

from sesamehall.core.calls import CallAnswer
from sesamehall.core.fleet import CancelAsked
from sesamehall.core.fleet import Candidate
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.fleet import WaveStatus
from sesamehall.core.work import JobPlan


@dataclass(frozen=True, slots=True)
class AnswerCall:
    """Answer a caller.

    Attributes:
      call_id: Identifier of the call.
      answer: What to say.
    """

    call_id: int
    answer: CallAnswer


@dataclass(frozen=True, slots=True)
class ReadStream:
    """Read a log.

    Attributes:
      stream: The log.
      from_offset: Where to begin; -1 for the newest record of every key.
      wait_ms: How long to wait for a new record.
    """

    stream: Stream
    from_offset: int
    wait_ms: int = 0


@dataclass(frozen=True, slots=True)
class StoreJob:
    """Store what a caller handed in; repeats do no harm.

    Attributes:
      call_id: The call that waits for it.
      value: The job, or the wish to stop it.
      not_after_ms: Clock after which it is given up.
    """

    call_id: int
    value: JobPlan | CancelAsked
    not_after_ms: int


@dataclass(frozen=True, slots=True)
class OfferToLead:
    """Tell the leader that a stronger node could lead in its place.

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
      at_offset: Where the log must end, for a claim of the role; else -1.
    """

    epoch: int
    records: tuple[StoredRecord, ...]
    at_offset: int = -1


@dataclass(frozen=True, slots=True)
class WatchWorker:
    """Ask a worker for its lists of runs and renew its lease.

    Attributes:
      worker_id: The worker.
      address: "host:port" of its HTTP interface.
      epoch: Fencing token.
      acknowledged: Ends up to this one are stored and may be forgotten.
      lease_until_ms: End of the lease on the worker's clock, or -1 to leave
        it as it is.
      wait_ms: How long the worker shall wait for a run to end.
    """

    worker_id: str
    address: str
    epoch: int
    acknowledged: int
    lease_until_ms: int
    wait_ms: int


@dataclass(frozen=True, slots=True)
class StartRun:
    """Start a run on a worker; repeats do no harm.

    Attributes:
      worker_id: The worker.
      address: "host:port" of its HTTP interface.
      epoch: Fencing token.
      task: Identifier of the task.
      number: Number of the run.
      command: Opaque text for the worker.
      lease_until_ms: End of the lease on the worker's clock.
      not_after_ms: The node's clock after which the order is void.
      checkpoint: Where to go on from, or "".
      ticket: Permission of the advice service, or "".
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


@dataclass(frozen=True, slots=True)
class AskAdvice:
    """Ask on which workers a step may run.

    Attributes:
      step: Name of the step.
      worker_ids: The workers.
    """

    step: str
    worker_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StopRun:
    """Stop a run on a worker; repeats do no harm.

    Attributes:
      worker_id: The worker.
      address: "host:port" of its HTTP interface.
      epoch: Fencing token.
      task: Identifier of the task.
      number: Number of the run.
    """

    worker_id: str
    address: str
    epoch: int
    task: str
    number: int


@dataclass(frozen=True, slots=True)
class PaceRun:
    """Let a run work at a share of its speed.

    Attributes:
      worker_id: The worker.
      address: "host:port" of its HTTP interface.
      epoch: Fencing token.
      task: Identifier of the task.
      number: Number of the run.
      percent: The share, 0 to 100.
    """

    worker_id: str
    address: str
    epoch: int
    task: str
    number: int
    percent: int


@dataclass(frozen=True, slots=True)
class ForgetWorker:
    """Close everything kept for a worker that is gone.

    Attributes:
      worker_id: The worker.
    """

    worker_id: str


@dataclass(frozen=True, slots=True)
class ListMachines:
    """Ask the platform for its list of machines."""


@dataclass(frozen=True, slots=True)
class MoveMachine:
    """Move a machine to another pool; what runs on it ends.

    Attributes:
      machine: Name of the machine.
      pool: The pool that it shall join.
      epoch: Fencing token.
      not_after_ms: Clock after which it is not sent any more, since another
        node may lead by then.
    """

    machine: str
    pool: str
    epoch: int
    not_after_ms: int


@dataclass(frozen=True, slots=True)
class MaintainMachine:
    """Begin a machine's maintenance; what runs on it ends.

    Attributes:
      machine: Name of the machine.
      wave: Number of the wave that asks for it.
      epoch: Fencing token.
      not_after_ms: Clock after which it is not sent any more, since another
        node may lead by then.
    """

    machine: str
    wave: int
    epoch: int
    not_after_ms: int


@dataclass(frozen=True, slots=True)
class ReportWave:
    """Tell the operators how far a wave has come.

    Attributes:
      status: The status.
    """

    status: WaveStatus


@dataclass(frozen=True, slots=True)
class SetReady:
    """Tell the balancer whether this node takes calls.

    Attributes:
      ready: Whether it does.
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
    | StopRun
    | PaceRun
    | ForgetWorker
    | ListMachines
    | MoveMachine
    | MaintainMachine
    | ReportWave
    | SetReady
)
