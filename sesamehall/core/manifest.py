"""The operators' manifest: queues, pools of workers, and teams."""

from dataclasses import dataclass

from immutables import Map

from sesamehall.core.data import EMPTY_MAP
from sesamehall.core.work import NO_SIZE
from sesamehall.core.work import Size


@dataclass(frozen=True, slots=True)
class Queue:
    """Where callers hand in jobs.

    Attributes:
      name: Unique name.
      host: Host that callers name.
      path_prefix: Beginning of the paths that belong to it.
      pool: Pool of workers that runs its jobs.
      priority: 0 goes first.
      attempts: Failed runs after which a task, and so its job, has failed.
      stretch: Factor on a job's longest chain of work that gives its goal.
      slack_ms: Time that is added to that.
      open_to_all: Whether calls need no key.
      advised: Whether a worker needs a ticket from the advice service.
    """

    name: str
    host: str
    path_prefix: str
    pool: str
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    slack_ms: int = 0
    open_to_all: bool = False
    advised: bool = False


@dataclass(frozen=True, slots=True)
class WorkerPool:
    """A named set of workers.

    Attributes:
      name: Unique name.
      guards_room: Whether its workers refuse what does not fit.
      standby: Whether its machines are switched off.
    """

    name: str
    guards_room: bool = False
    standby: bool = False


@dataclass(frozen=True, slots=True)
class Quota:
    """What one team may use.

    Attributes:
      team: Name of the team.
      weight: Its share when the fleet is full.
      ceiling: Most that it may have running; 0 in a field for no limit.
    """

    team: str
    weight: int = 1
    ceiling: Size = NO_SIZE


@dataclass(frozen=True, slots=True)
class Manifest:
    """One version of all that operators decide.

    Attributes:
      version: Number that rises with each version.
      queues_by_name: The queues.
      pools_by_name: The pools.
      quotas_by_team: What each team may use.
      team_by_key: The team of each key in force.
    """

    version: int
    queues_by_name: Map[str, Queue] = EMPTY_MAP
    pools_by_name: Map[str, WorkerPool] = EMPTY_MAP
    quotas_by_team: Map[str, Quota] = EMPTY_MAP
    team_by_key: Map[str, str] = EMPTY_MAP


@dataclass(frozen=True, slots=True)
class Wave:
    """Machines that are due for maintenance.

    Attributes:
      number: Number of the wave.
      machines: Their names.
      within_ms: Time in which all must have had it, from its first sight.
      at_once: Most of them that may be down for it at once.
    """

    number: int
    machines: tuple[str, ...]
    within_ms: int
    at_once: int
