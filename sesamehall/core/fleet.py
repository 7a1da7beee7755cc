"""Workers and machines as the platform reports them, and stored records."""

from dataclasses import dataclass
from enum import Enum

from sesamehall.core.manifest import DrainRequest
from sesamehall.core.manifest import Manifest
from sesamehall.core.manifest import Wave
from sesamehall.core.work import CompactProgress
from sesamehall.core.work import JobPlan
from sesamehall.core.work import NO_SIZE
from sesamehall.core.work import Progress
from sesamehall.core.work import Size


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """A worker's registration.

    Attributes:
      worker_id: Identifier of this incarnation of the machine.
      address: "host:port" of its HTTP interface.
      pool: Pool that it belongs to.
      data_centre: Its data centre.
      capacity: Resources that it has.
      labels: Labels of its kind and its rack.
      rack: Name of its rack, or "".
      draining: Whether it is about to leave.
      started_wall_ms: Time of its start, since 1970; distinguishes two
        incarnations with the same identifier; 0 if unknown.
    """

    worker_id: str
    address: str
    pool: str
    data_centre: str
    capacity: Size = NO_SIZE
    labels: tuple[str, ...] = ()
    rack: str = ""
    draining: bool = False
    started_wall_ms: int = 0


class MachineState(Enum):
    """State of a machine."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class Machine:
    """A machine of the fleet; a worker is one incarnation of it.

    Attributes:
      name: Unique name.
      pool: Pool that it belongs to.
      state: Its state.
      worker_id: Its worker, or "".
      data_centre: Its data centre, or "" if the list does not name it.
    """

    name: str
    pool: str
    state: MachineState
    worker_id: str = ""
    data_centre: str = ""


class Stream(Enum):
    """The topics of the store that a manager reads."""

    OPERATOR = "operator"
    WORKERS = "workers"
    JOBS = "jobs"
    PROGRESS = "progress"


@dataclass(frozen=True, slots=True)
class CancelAsked:
    """A team's request to cancel a job.

    Attributes:
      job_id: Identifier of the job.
      team: The team, "" on a queue open to all, or None if an older version
        wrote the request, which had checked the team.
    """

    job_id: str
    team: str | None = None


@dataclass(frozen=True, slots=True)
class Leader:
    """The node that makes the decisions for all workers.

    Attributes:
      node: Name of the node.
      epoch: Fencing token of its term; increases with each leader.
      resigned: Whether it has resigned.
      heartbeat: Number that changes with each heartbeat.
      cores: Processor cores that it may use, or 0 if unknown.
      behind: Whether it resigns because its calls to workers were slow.
      earlier_renewals_ms: How much longer the leaders before it may renew
        leases, in milliseconds from when this was written; 0 once that is
        over, and in records of older versions.
    """

    node: str
    epoch: int
    resigned: bool = False
    heartbeat: int = 0
    cores: float = 0.0
    behind: bool = False
    earlier_renewals_ms: int = 0


@dataclass(frozen=True, slots=True)
class Candidate:
    """A node that could replace a weaker leader.

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
    """A worker on which a leader may have started runs.

    Attributes:
      worker_id: Identifier of the worker.
      address: "host:port" of its HTTP interface.
      pool: Pool that it belonged to.
      started_wall_ms: Time of its start, since 1970; 0 if unknown.
      last_applied_end_sequence: Sequence number up to which its ended runs
        are applied to the jobs' progress.
      machine: Name of its machine, or "" if the leader did not know it.
      long_lease_ms: How much longer a lease may last that a call for an
        earlier incarnation gave to this one, in milliseconds from when this
        was written; 0 if there is none, and in records of older versions.
    """

    worker_id: str
    address: str
    pool: str
    started_wall_ms: int = 0
    last_applied_end_sequence: int = 0
    machine: str = ""
    long_lease_ms: int = 0


@dataclass(frozen=True, slots=True)
class WaveStatus:
    """Status of a maintenance wave.

    Attributes:
      number: Number of the wave.
      completed: Whether all its machines were maintained.
    """

    number: int
    completed: bool


@dataclass(frozen=True, slots=True)
class WaveRecord:
    """Machines for which a wave needs no further order.

    Attributes:
      number: Number of the wave.
      machines: Machines whose maintenance order the platform accepted.
    """

    number: int
    machines: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class OrderedMachines:
    """Machines for which leaders have recently sent orders or may send them.

    Attributes:
      node: Name of the leader that wrote the record.
      own: Machines for which this leader may send or have sent orders.
      others: Machines for which earlier leaders may have sent orders.
    """

    node: str
    own: tuple[str, ...] = ()
    others: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class QueuePools:
    """Pools on whose workers tasks of a queue may run.

    Attributes:
      queue: Name of the queue.
      pools: Names of the pools.
    """

    queue: str
    pools: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RunTimesRecord:
    """What leaders have learnt about the run times of a queue.

    The attributes other than `queue` are those of QueueRunTimes.

    Attributes:
      queue: Name of the queue.
    """

    queue: str
    count: int
    mean_declared: float
    mean_actual: float
    declared_variance: float
    actual_variance: float
    covariance: float
    within_variance: float
    within_count: int


@dataclass(frozen=True, slots=True)
class PeerNode:
    """A node's registration for its peers, which may forward calls to it.

    Attributes:
      name: Name of the node.
      data_centre: Its data centre.
      address: "host:port" on which it accepts forwarded calls.
      token: Secret of its process; it shows that peers can read the store.
    """

    name: str
    data_centre: str
    address: str
    token: str


StoredValue = (
    JobPlan
    | CancelAsked
    | Progress
    | CompactProgress
    | Leader
    | Candidate
    | LeasedWorker
    | WaveRecord
    | OrderedMachines
    | QueuePools
    | RunTimesRecord
    | PeerNode
    | Manifest
    | Wave
    | DrainRequest
    | WorkerEntry
)


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """The newest value of a key in a stream.

    Attributes:
      key: The key.
      value: The value, or None if the key was deleted.
    """

    key: str
    value: StoredValue | None
