"""Findings of a manifest that is checked before operators publish it."""

from dataclasses import dataclass

from sesamehall.core.work import Size


@dataclass(frozen=True, slots=True)
class QueueShadowed:
    """A queue that no call selects, since an earlier one has its prefix."""

    queue: str
    other: str


@dataclass(frozen=True, slots=True)
class QueueOverlapped:
    """A queue of whose job identifiers some select another queue."""

    queue: str
    other: str


@dataclass(frozen=True, slots=True)
class QueueWithoutPool:
    """A queue whose pool the manifest does not name."""

    queue: str
    pool: str


@dataclass(frozen=True, slots=True)
class QueueOnStandby:
    """A queue whose pool has its machines switched off."""

    queue: str
    pool: str


@dataclass(frozen=True, slots=True)
class QueueWithoutCallers:
    """A queue that needs a key while no team has one."""

    queue: str


@dataclass(frozen=True, slots=True)
class GoalUnreachable:
    """A queue whose goals are shorter than its jobs' critical paths."""

    queue: str
    stretch: float


@dataclass(frozen=True, slots=True)
class PoolUnused:
    """A pool that no queue uses and that is not on standby."""

    pool: str


@dataclass(frozen=True, slots=True)
class StandbyIgnored:
    """A pool on standby beside another one, which alone is used."""

    pool: str
    other: str


@dataclass(frozen=True, slots=True)
class TeamWithoutKeys:
    """A team that cannot submit jobs to queues that need a key."""

    team: str


@dataclass(frozen=True, slots=True)
class KeyShared:
    """A key of two teams; it counts for the one that is listed last."""

    team: str
    other: str


@dataclass(frozen=True, slots=True)
class WeightReplaced:
    """A team whose weight cannot be used, and what is used instead."""

    team: str
    used: float


@dataclass(frozen=True, slots=True)
class WaveTooShort:
    """A wave that cannot be completed in time within its limit."""

    wave: int
    needed_ms: int
    within_ms: int


@dataclass(frozen=True, slots=True)
class WaveUnlimited:
    """A wave whose limit lets all its machines be down at once."""

    wave: int


@dataclass(frozen=True, slots=True)
class MachineRepeated:
    """A machine that a wave names more than once."""

    wave: int
    machine: str


@dataclass(frozen=True, slots=True)
class VersionNotNewer:
    """A manifest that nodes ignore, since its version is not a newer one."""

    version: int
    in_force: int


@dataclass(frozen=True, slots=True)
class QueueAdded:
    """A queue that the version in force does not have."""

    queue: str


@dataclass(frozen=True, slots=True)
class QueueDropped:
    """A queue that only the version in force has."""

    queue: str


@dataclass(frozen=True, slots=True)
class QueueMoved:
    """A queue that is sent to another pool."""

    queue: str
    old_pool: str
    new_pool: str


@dataclass(frozen=True, slots=True)
class QueueChanged:
    """A queue with another value in a field."""

    queue: str
    field: str
    old: str
    new: str


@dataclass(frozen=True, slots=True)
class PoolAdded:
    """A pool that the version in force does not have."""

    pool: str


@dataclass(frozen=True, slots=True)
class PoolDropped:
    """A pool that only the version in force has."""

    pool: str


@dataclass(frozen=True, slots=True)
class TeamAdded:
    """A team that the version in force does not have."""

    team: str


@dataclass(frozen=True, slots=True)
class TeamDropped:
    """A team that only the version in force has."""

    team: str


@dataclass(frozen=True, slots=True)
class KeysGiven:
    """Keys that a team gets."""

    team: str
    count: int


@dataclass(frozen=True, slots=True)
class KeysWithdrawn:
    """Keys that a team loses."""

    team: str
    count: int


@dataclass(frozen=True, slots=True)
class WeightChanged:
    """A team with another share when there is not room for all."""

    team: str
    old: int
    new: int


@dataclass(frozen=True, slots=True)
class CeilingChanged:
    """A team with another limit on what it may have running."""

    team: str
    old: Size
    new: Size


ManifestFinding = (
    QueueShadowed
    | QueueOverlapped
    | QueueWithoutPool
    | QueueOnStandby
    | QueueWithoutCallers
    | GoalUnreachable
    | PoolUnused
    | StandbyIgnored
    | TeamWithoutKeys
    | KeyShared
    | WeightReplaced
    | WaveTooShort
    | WaveUnlimited
    | MachineRepeated
    | VersionNotNewer
)
ManifestChange = (
    QueueAdded
    | QueueDropped
    | QueueMoved
    | QueueChanged
    | PoolAdded
    | PoolDropped
    | TeamAdded
    | TeamDropped
    | KeysGiven
    | KeysWithdrawn
    | WeightChanged
    | CeilingChanged
)
