"""Workers and machines as the platform reports them, and stored records."""

from dataclasses import dataclass
from enum import Enum

from sesamehall.core.manifest import Manifest
from sesamehall.core.manifest import Wave
from sesamehall.core.work import JobPlan
from sesamehall.core.work import NO_SIZE
from sesamehall.core.work import Progress
from sesamehall.core.work import Size


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """A worker as it registers itself.

    Attributes:
      worker_id: Identifier of this life of the machine.
      address: "host:port" of its HTTP interface.
      pool: Pool that it belongs to.
      data_centre: Where it stands.
      capacity: Room that it has.
      labels: Its kind and its rack.
      rack: Name of its rack, or "".
      draining: Whether it is about to leave.
      born_ms: Time of its start, since 1970; tells two lives under one
        identifier apart; 0 where unknown.
    """

    worker_id: str
    address: str
    pool: str
    data_centre: str
    capacity: Size = NO_SIZE
    labels: tuple[str, ...] = ()
    rack: str = ""
    draining: bool = False
    born_ms: int = 0


class MachineState(Enum):
    """What a machine is doing."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class Machine:
    """A machine of the fleet; a worker is one life of it.

    Attributes:
      name: Unique name.
      pool: Pool that it belongs to.
      state: What it is doing.
      worker_id: Its worker, or "".
    """

    name: str
    pool: str
    state: MachineState
    worker_id: str = ""


class Stream(Enum):
    """The logs that a manager follows."""

    OPERATOR = "operator"
    WORKERS = "workers"
    JOBS = "jobs"
    PROGRESS = "progress"


@dataclass(frozen=True, slots=True)
class CancelAsked:
    """A team asks to stop a job.

    Attributes:
      job_id: Identifier of the job.
    """

    job_id: str


@dataclass(frozen=True, slots=True)
class Leader:
    """Who decides about all workers.

    Attributes:
      node: Name of the node.
      epoch: Fencing token of its term; rises with each leader.
      resigned: Whether it has given the role up.
      beat: Number that changes with each heartbeat.
      cores: Processor cores that it may use, or 0 where unknown.
      behind: Whether it gives the role up because its calls were slow.
    """

    node: str
    epoch: int
    resigned: bool = False
    beat: int = 0
    cores: float = 0.0
    behind: bool = False


@dataclass(frozen=True, slots=True)
class Candidate:
    """A node that could lead in the place of a weaker leader.

    Attributes:
      node: Name of the node.
      epoch: Term of the leader that it would replace.
      cores: Processor cores that it may use.
    """

    node: str
    epoch: int
    cores: float


@dataclass(frozen=True, slots=True)
class LeasedWorker:
    """A worker on which a leader may have started something.

    Attributes:
      worker_id: Identifier of the worker.
      address: "host:port" of its HTTP interface.
      pool: Pool that it belonged to.
      born_ms: Time of its start, since 1970; 0 where unknown.
      ended: Ends of runs up to this one are taken into the progress.
    """

    worker_id: str
    address: str
    pool: str
    born_ms: int = 0
    ended: int = 0


@dataclass(frozen=True, slots=True)
class WaveStatus:
    """How far a wave of maintenance has come.

    Attributes:
      number: Number of the wave.
      completed: Whether all its machines have had it.
    """

    number: int
    completed: bool


@dataclass(frozen=True, slots=True)
class WaveRecord:
    """Machines that need no further order of a wave.

    Attributes:
      number: Number of the wave.
      machines: Machines whose maintenance was taken by the platform.
    """

    number: int
    machines: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class OrderedMachines:
    """Machines for which leaders have lately given, or may give, orders.

    Attributes:
      node: Name of the leader that wrote this.
      own: Machines that it may order itself.
      others: Machines that leaders before it may have ordered.
    """

    node: str
    own: tuple[str, ...] = ()
    others: tuple[str, ...] = ()


StoredValue = (
    JobPlan
    | CancelAsked
    | Progress
    | Leader
    | Candidate
    | LeasedWorker
    | WaveRecord
    | OrderedMachines
    | Manifest
    | Wave
    | WorkerEntry
)


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """The newest value of a key in a log.

    Attributes:
      key: The key.
      value: The value, or None when it was dropped.
    """

    key: str
    value: StoredValue | None
