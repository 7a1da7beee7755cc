"""The domain's nouns: teams, services, pools, instances, jobs and keys.

Every type here is frozen, and every field is described where it is declared.
Sizes carry their unit in the name; nothing here knows an encoding.
"""

from dataclasses import dataclass
from enum import Enum

from immutables import Map


class TargetKind(Enum):
    """What an instance of a pool serves."""

    EXECUTOR = "executor"
    WORKER = "worker"


class NodeKind(Enum):
    """Which of the daemons a node is."""

    ENTRY = "entry"
    STEWARD = "steward"
    MANAGER = "manager"


@dataclass(frozen=True, slots=True)
class Source:
    """Where a value was read.

    Attributes:
      file: Name of the file, or of the stream, that held the value.
      line: Line of the file counted from 1, or offset in the stream.
    """

    file: str
    line: int


@dataclass(frozen=True, slots=True)
class Problem:
    """One thing wrong with an input, reported as data.

    Attributes:
      source: Where the offending value stands.
      field: Dotted name of the field, for example "limits.share".
      message: What is wrong, as a sentence without a full stop.
    """

    source: Source
    field: str
    message: str


@dataclass(frozen=True, slots=True)
class Node:
    """One daemon of the system, as named in the settings.

    Attributes:
      name: Unique name over all data centres.
      kind: Whether it is an entry or a steward.
      data_centre: Name of the data centre it stands in.
      address: "host:port" on which it accepts streams from its peers.
    """

    name: str
    kind: NodeKind
    data_centre: str
    address: str


@dataclass(frozen=True, slots=True)
class Plan:
    """The work that one team may hand in.

    Attributes:
      team: Name of the team.
      services: Names of the services whose queues the team may use.
      pools: Names of the worker pools that take the team's jobs.
    """

    team: str
    services: tuple[str, ...] = ()
    pools: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Service:
    """A queue for requests and the executors behind it.

    Attributes:
      name: Unique name that callers put on a request.
      pool: Name of the pool of executors that runs the requests.
      open_to: Team charged for requests that come without a key, or None
        when every request needs a key.
    """

    name: str
    pool: str
    open_to: str | None = None


@dataclass(frozen=True, slots=True)
class Pool:
    """A named set of instances of one kind.

    Attributes:
      name: Unique name.
      kind: Whether its instances are executors or workers.
      minimum: Fewest instances that should serve at any time.
      spare: Whether other pools may be filled up from this one.
    """

    name: str
    kind: TargetKind
    minimum: int = 0
    spare: bool = False


@dataclass(frozen=True, slots=True)
class PlansList:
    """The operators' first list.

    Attributes:
      plans: One plan for each team.
      services: All services.
      pools: All pools.
    """

    plans: tuple[Plan, ...] = ()
    services: tuple[Service, ...] = ()
    pools: tuple[Pool, ...] = ()


@dataclass(frozen=True, slots=True)
class Limit:
    """What one team may use.

    Attributes:
      team: Name of the team.
      share: Weight of the team when the fleet is full, 1 to 1,000.
      ceiling: Most requests and jobs running at once over the fleet.
    """

    team: str
    share: int
    ceiling: int


@dataclass(frozen=True, slots=True)
class LimitsList:
    """The operators' second list.

    Attributes:
      limits: One limit for each team.
    """

    limits: tuple[Limit, ...] = ()


@dataclass(frozen=True, slots=True)
class Key:
    """A credential given to a team; the secret itself is never kept.

    Attributes:
      key_id: Public part of the key, unique for ever.
      team: Team whose work the key admits.
      digest: SHA-256 of the secret part, 32 bytes.
    """

    key_id: str
    team: str
    digest: bytes


@dataclass(frozen=True, slots=True)
class PresentedKey:
    """A credential as a caller showed it, its secret already digested.

    Attributes:
      key_id: Public part of the key.
      digest: SHA-256 of the secret part, 32 bytes.
    """

    key_id: str
    digest: bytes


@dataclass(frozen=True, slots=True)
class Instance:
    """One machine that serves as a target.

    Attributes:
      name: Unique name given by the platform.
      kind: Whether it runs requests (executor) or tasks (worker).
      data_centre: Name of its data centre.
      rack: Name of its rack, the smallest failure domain.
      address: "host:port" of its HTTP interface.
      pool: Pool the platform created it for.
      leaving: Whether the platform is about to take it away.
      slots: Requests or tasks that it runs at once.
      processors: Number of processor cores.
      memory_mb: Memory in MiB.
      accelerators: Number of accelerators.
      boot: Identifier of its latest boot.
    """

    name: str
    kind: TargetKind
    data_centre: str
    rack: str
    address: str
    pool: str
    leaving: bool = False
    slots: int = 8
    processors: int = 16
    memory_mb: int = 32768
    accelerators: int = 0
    boot: str = ""


@dataclass(frozen=True, slots=True)
class Request:
    """What the decisions need to know of one request; its bytes stay out.

    Attributes:
      request_id: Identifier unique within this entry.
      caller_id: The caller's own identifier, or None.
      service: Name of the service asked for.
      key: Credential shown, or None.
      idempotent: Whether running it twice does no harm.
      urgent: Whether it goes before the team's other requests.
      deadline_ms: Entry's clock at which the caller stops waiting.
    """

    request_id: str
    caller_id: str | None
    service: str
    key: PresentedKey | None
    idempotent: bool
    urgent: bool
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class Job:
    """Work handed in to run on a worker.

    Attributes:
      job_id: Unique identifier over the fleet.
      team: Team that handed it in.
      pool: Worker pool that shall run it.
      command: Opaque text passed to the worker.
      processors: Declared processor cores.
      memory_mb: Declared memory in MiB.
      accelerators: Declared accelerators.
      urgent: Whether it goes before the team's other jobs.
    """

    job_id: str
    team: str
    pool: str
    command: str
    processors: int = 1
    memory_mb: int = 512
    accelerators: int = 0
    urgent: bool = False


class JobPhase(Enum):
    """How far a job has come."""

    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    IMPOSSIBLE = "impossible"


TERMINAL_PHASES = frozenset(
    (
        JobPhase.DONE,
        JobPhase.FAILED,
        JobPhase.CANCELLED,
        JobPhase.IMPOSSIBLE,
    )
)


@dataclass(frozen=True, slots=True)
class JobStatus:
    """A job together with what has become of it.

    Attributes:
      job: The job as handed in.
      phase: How far it has come.
      worker: Instance that runs or ran it, or "".
      boot: Boot of that instance, or "".
      detail: The worker's answer or the reason of the end.
      cancel_requested: Whether its caller asked to stop it.
    """

    job: Job
    phase: JobPhase = JobPhase.WAITING
    worker: str = ""
    boot: str = ""
    detail: str = ""
    cancel_requested: bool = False


@dataclass(frozen=True, slots=True)
class Move:
    """An instance on its way from one pool to another.

    Attributes:
      operation: Unique identifier of the move.
      instance: Name of the instance.
      from_pool: Pool it belongs to until the move is finished.
      to_pool: Pool it belongs to afterwards.
    """

    operation: str
    instance: str
    from_pool: str
    to_pool: str


EMPTY_MAP: Map = Map()
