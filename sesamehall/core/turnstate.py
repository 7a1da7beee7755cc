"""Turns: the queue that gets most of the fleet's work for some seconds.

All points in time are on this node's clock.
"""

from dataclasses import dataclass

from immutables import Map

from sesamehall.core.data import EMPTY_MAP


@dataclass(frozen=True, slots=True)
class QueueLoad:
    """Work that arrives at a queue, as exponentially decaying averages.

    Attributes:
      core_ms_per_s: Declared processor time of its jobs, in core-milliseconds
        per second.
      jobs: Number of its recent jobs.
      path_ms: Mean declared run time of a job's critical path.
      seen: Number of its jobs, at most PATH_JOBS.
      at_ms: Time for which the averages were computed.
    """

    core_ms_per_s: float = 0.0
    jobs: float = 0.0
    path_ms: float = 0.0
    seen: int = 0
    at_ms: int = 0


@dataclass(frozen=True, slots=True)
class Turn:
    """A turn of a queue.

    Attributes:
      queue: Name of the queue.
      began_ms: Time at which it began.
      ended_ms: Time at which it ended, or -1.
      peak_core_ms_per_s: Its highest load.
      core_ms: Work that the queue got meanwhile.
      weighted_age_ms: Sum of the ages of the turn when its jobs arrived, each
        times the work of the job.
      other_core_ms: Work that all other queues got meanwhile.
    """

    queue: str
    began_ms: int
    ended_ms: int = -1
    peak_core_ms_per_s: float = 0.0
    core_ms: float = 0.0
    weighted_age_ms: float = 0.0
    other_core_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class ExpectedTurn:
    """The turn that is expected next.

    Attributes:
      after: Queue of the turn that it is to follow.
      queues: Queues of which one is expected to have it, sorted.
      begins_ms: Time at which it is expected to begin.
      chance: Probability that it is the turn of a given one of the queues.
      missed: Whether it did not begin in time.
    """

    after: str
    queues: tuple[str, ...]
    begins_ms: int
    chance: float
    missed: bool = False


@dataclass(frozen=True, slots=True)
class TurnHistory:
    """What a node has learnt about turns from the jobs that it has read.

    Attributes:
      loads_by_queue: Load of each queue.
      current: The current turn, or None.
      begun: Number of turns that have begun.
      past: Turns that have ended and count, oldest first.
      expected: The turn that is expected next, or None.
      confidence: How far the latest expectations came true, from 0 to 1.
    """

    loads_by_queue: Map[str, QueueLoad] = EMPTY_MAP
    current: Turn | None = None
    begun: int = 0
    past: tuple[Turn, ...] = ()
    expected: ExpectedTurn | None = None
    confidence: float = 1.0
