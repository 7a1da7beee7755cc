"""The operators' documents: the manifest, waves and drain requests."""

from dataclasses import dataclass
from enum import Enum

from immutables import Map

from sesamehall.core.data import EMPTY_MAP
from sesamehall.core.work import NO_SIZE
from sesamehall.core.work import Size


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue that callers submit jobs to.

    Attributes:
      name: Unique name.
      host: Host name that selects the queue.
      path_prefix: Prefix of the paths that select the queue.
      pool: Pool of workers that runs its jobs.
      priority: Priority of its jobs; 0 is the highest.
      max_attempts: Number of failed runs after which a task, and so its job,
        fails.
      stretch: Factor applied to the length of a job's critical path to compute
        its goal.
      slack_ms: Time added to that product.
      open_to_all: Whether calls need no key.
      requires_advice: Whether a worker needs a ticket of the advice service to
        run its tasks.
    """

    name: str
    host: str
    path_prefix: str
    pool: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    slack_ms: int = 0
    open_to_all: bool = False
    requires_advice: bool = False


@dataclass(frozen=True, slots=True)
class WorkerPool:
    """A named set of workers.

    Attributes:
      name: Unique name.
      rejects_overload: Whether its workers reject tasks that do not fit.
      standby: Whether its machines are switched off.
    """

    name: str
    rejects_overload: bool = False
    standby: bool = False


class WeightDefect(Enum):
    """Why a team's weight in a manifest cannot be used."""

    MISSING = "missing"
    NO_NUMBER = "no number"
    NOT_POSITIVE = "not above 0"
    TOO_LARGE = "too large"


@dataclass(frozen=True, slots=True)
class Quota:
    """Share and limit of one team.

    Attributes:
      team: Name of the team.
      weight: Relative share when a pool is full, above 0.
      ceiling: Maximum resources of its running tasks; 0 in a field means no
        limit.
      weight_defect: Why the manifest's weight was replaced, or None.
    """

    team: str
    weight: float = 1.0
    ceiling: Size = NO_SIZE
    weight_defect: WeightDefect | None = None


@dataclass(frozen=True, slots=True)
class Manifest:
    """One version of the operators' configuration.

    Attributes:
      version: Version number; increases with each version.
      queues_by_name: The queues.
      pools_by_name: The pools.
      quotas_by_team: Share and limit of each team.
      team_by_key: The team of each valid key.
    """

    version: int
    queues_by_name: Map[str, Queue] = EMPTY_MAP
    pools_by_name: Map[str, WorkerPool] = EMPTY_MAP
    quotas_by_team: Map[str, Quota] = EMPTY_MAP
    team_by_key: Map[str, str] = EMPTY_MAP


@dataclass(frozen=True, slots=True)
class Wave:
    """A set of machines that are due for maintenance.

    Attributes:
      number: Number of the wave.
      machines: Their names.
      within_ms: Time within which all machines must be maintained, counted
        from when a manager first reads the wave.
      max_unavailable: Maximum number of these machines that may be down for
        maintenance at once.
    """

    number: int
    machines: tuple[str, ...]
    within_ms: int
    max_unavailable: int


@dataclass(frozen=True, slots=True)
class DrainRequest:
    """A request to start nothing more in a data centre.

    Attributes:
      data_centre: Name of the data centre.
      readable: Whether the content of the request could be read; the request
        holds in any case.
    """

    data_centre: str
    readable: bool = True
