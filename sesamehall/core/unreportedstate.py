"""What may run although no worker's report in this term has told of it."""

from dataclasses import dataclass

from sesamehall.core.work import NO_SIZE
from sesamehall.core.work import Size


@dataclass(frozen=True, slots=True)
class PossibleUse:
    """The most that tasks may use at once, by resource.

    Attributes:
      regular: Use of tasks that reserve all that they use on their workers.
      best_effort: Use of tasks that reserve no processor time there.
    """

    regular: Size = NO_SIZE
    best_effort: Size = NO_SIZE


NO_USE = PossibleUse()


@dataclass(frozen=True, slots=True)
class EndedJob:
    """A job that has ended while runs of it may go on.

    Attributes:
      queue: Its queue.
      team: Its team.
      ended_ms: Time at which its end became known.
      use: What its runs may use.
      term_epoch: Term in which this node ended it itself, or 0.
      unreported_use: What its runs may use besides those that this node
        tracked in that term.
    """

    queue: str
    team: str
    ended_ms: int
    use: PossibleUse
    term_epoch: int = 0
    unreported_use: PossibleUse = NO_USE
