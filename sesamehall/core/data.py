"""Domain types: teams, services, pools, instances, jobs and keys.

All of them are frozen and independent of any encoding.
"""

from dataclasses import dataclass
from enum import Enum

from immutables import Map


class TargetKind(Enum):
    """Kind of work that a pool's instances run."""

    EXECUTOR = "executor"
    WORKER = "worker"


class NodeKind(Enum):
    """Kind of daemon."""

    ENTRY = "entry"
    STEWARD = "steward"
    MANAGER = "manager"


@dataclass(frozen=True, slots=True)
class Source:
    """Location of a value in an input.

    Attributes:
      file: Name of the file or of the stream.
      line: Line of the file, counted from 1, or offset in the stream.
    """

    file: str
    line: int


@dataclass(frozen=True, slots=True)
class Problem:
    """An error in an input.

    Attributes:
      source: Location of the invalid value.
      field: Dotted name of the field, for example "limits.share".
      message: Description of the error, without a full stop.
    """

    source: Source
    field: str
    message: str


@dataclass(frozen=True, slots=True)
class Node:
    """A daemon of the system, as named in the settings.

    Attributes:
      name: Name, unique over all data centres.
      kind: Kind of daemon.
      data_centre: Name of its data centre.
      address: "host:port" on which it accepts streams from its peers.
    """

    name: str
    kind: NodeKind
    data_centre: str
    address: str


@dataclass(frozen=True, slots=True)
class Plan:
    """The work that a team may submit.

    Attributes:
      team: Name of the team.
      services: Names of the services whose queues the team may use.
      pools: Names of the worker pools that may run the team's jobs.
    """

    team: str
    services: tuple[str, ...] = ()
    pools: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Service:
    """A named destination of requests, run by a pool of executors.

    Attributes:
      name: Unique name, which callers give in their requests.
      pool: Name of the pool of executors that runs the requests.
      open_to: Team charged for requests without a key, or None if every
        request needs a key.
    """

    name: str
    pool: str
    open_to: str | None = None


@dataclass(frozen=True, slots=True)
class Pool:
    """A named set of instances of one kind.

    Attributes:
      name: Unique name.
      kind: Kind of its instances.
      minimum: Minimum of instances that should serve at any time.
      spare: Whether its instances may be moved to pools below their minimum.
    """

    name: str
    kind: TargetKind
    minimum: int = 0
    spare: bool = False


@dataclass(frozen=True, slots=True)
class PlansList:
    """The operators' list of plans, services and pools.

    Attributes:
      plans: A plan for each team.
      services: All services.
      pools: All pools.
    """

    plans: tuple[Plan, ...] = ()
    services: tuple[Service, ...] = ()
    pools: tuple[Pool, ...] = ()


@dataclass(frozen=True, slots=True)
class Limit:
    """The capacity that a team may use.

    Attributes:
      team: Name of the team.
      share: Weight of the team when the fleet is full, 1 to 1,000.
      ceiling: Maximum of requests and jobs in flight over the whole fleet.
    """

    team: str
    share: int
    ceiling: int


@dataclass(frozen=True, slots=True)
class LimitsList:
    """The operators' list of limits.

    Attributes:
      limits: A limit for each team.
    """

    limits: tuple[Limit, ...] = ()


@dataclass(frozen=True, slots=True)
class Key:
    """An API key of a team, without its secret.

    Attributes:
      key_id: Public part of the key, never reused.
      team: Team that the key belongs to.
      digest: SHA-256 of the secret part, 32 bytes.
    """

    key_id: str
    team: str
    digest: bytes


@dataclass(frozen=True, slots=True)
class PresentedKey:
    """An API key as presented by a caller, with its secret hashed.

    Attributes:
      key_id: Public part of the key.
      digest: SHA-256 of the secret part, 32 bytes.
    """

    key_id: str
    digest: bytes


@dataclass(frozen=True, slots=True)
class Instance:
    """A machine that serves as a target.

    Attributes:
      name: Unique name, assigned by the platform.
      kind: Whether it runs requests (executor) or tasks (worker).
      data_centre: Name of its data centre.
      rack: Name of its rack, the smallest failure domain.
      address: "host:port" of its HTTP interface.
      pool: Pool that the platform created it for.
      leaving: Whether the platform is about to remove it.
      slots: Maximum of requests or tasks that it runs at once.
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
    """The properties of a request that decisions depend on.

    Attributes:
      request_id: Identifier, unique within the entry.
      caller_id: The caller's own identifier, or None.
      service: Name of the requested service.
      key: Presented key, or None.
      idempotent: Whether it may safely run more than once.
      urgent: Whether it precedes the team's other requests.
      deadline_ms: Time at which the caller stops waiting, on the entry's
        clock.
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
    """Work submitted to run on a worker.

    Attributes:
      job_id: Identifier, unique over the fleet.
      team: Team that submitted it.
      pool: Worker pool that runs it.
      command: Opaque text passed to the worker.
      processors: Requested processor cores.
      memory_mb: Requested memory in MiB.
      accelerators: Requested accelerators.
      urgent: Whether it precedes the team's other jobs.
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
    """Phase of a job's lifecycle."""

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
    """A job with its state.

    Attributes:
      job: The job as submitted.
      phase: Phase of the job's lifecycle.
      worker: Instance that runs or ran it, or "".
      boot: Boot of that instance, or "".
      detail: The worker's answer, or the reason for the end.
      cancel_requested: Whether its cancellation was requested.
    """

    job: Job
    phase: JobPhase = JobPhase.WAITING
    worker: str = ""
    boot: str = ""
    detail: str = ""
    cancel_requested: bool = False


@dataclass(frozen=True, slots=True)
class Move:
    """A move of an instance from one pool to another.

    Attributes:
      operation: Unique identifier of the move.
      instance: Name of the instance.
      from_pool: Pool that it belongs to until the move is finished.
      to_pool: Pool that it belongs to afterwards.
    """

    operation: str
    instance: str
    from_pool: str
    to_pool: str


EMPTY_MAP: Map = Map()
