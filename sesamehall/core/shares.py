"""How a pool's resources are divided among teams."""

from dataclasses import dataclass

from immutables import Map

from sesamehall.core.data import EMPTY_MAP
from sesamehall.core.work import NO_SIZE
from sesamehall.core.work import Size


@dataclass(frozen=True, slots=True)
class ResourceShares:
    """Parts of a pool's resources, each from 0 for none to 1 for all.

    Attributes:
      cpu: Part of its processor time.
      memory: Part of its memory.
      accelerators: Part of its accelerators.
    """

    cpu: float = 0.0
    memory: float = 0.0
    accelerators: float = 0.0

    @property
    def dominant(self) -> float:
        """Largest of the parts (dominant resource fairness)."""
        return max(self.cpu, self.memory, self.accelerators)


@dataclass(frozen=True, slots=True)
class TeamAccount:
    """What a team asks for and gets of a pool, as dominant shares.

    Attributes:
      asked: Part that its waiting and running tasks request; may exceed 1.
      fair: Part that it is entitled to, at most `asked`.
      used: Part that its running tasks reserve.
      debt_ms: Time integral of what it used beyond `fair`, in milliseconds
        of the whole pool; negative if it used less while it waited.
    """

    asked: float = 0.0
    fair: float = 0.0
    used: float = 0.0
    debt_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class PoolShares:
    """A sample of the division of a pool.

    Attributes:
      sampled_ms: Time of the sample, on the node's clock.
      contended: Whether several teams ask for more than the pool has.
      capacity: What is divided.
      accounts_by_team: Accounts of the teams with waiting or running tasks.
    """

    sampled_ms: int
    contended: bool = False
    capacity: Size = NO_SIZE
    accounts_by_team: Map[str, TeamAccount] = EMPTY_MAP
