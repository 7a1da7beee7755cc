"""Messages between the system's own processes, carried on peers' streams.

All of them are safe to lose, to repeat and to reorder: each carries either
the whole of a small state or a running total of which the largest wins.
"""

from dataclasses import dataclass
from enum import Enum

from immutables import Map

from sesamehall.core.agreement import Agreed
from sesamehall.core.data import EMPTY_MAP
from sesamehall.core.data import Instance
from sesamehall.core.data import NodeKind
from sesamehall.core.records import LogEntry
from sesamehall.core.records import Record

NEWEST_FORMAT = 1
OLDEST_FORMAT = 1


@dataclass(frozen=True, slots=True)
class Hello:
    """First message on every stream, in both directions.

    Attributes:
      name: Name of the sending node.
      kind: Whether the sender is an entry or a steward.
      incarnation: Identifier of this start of the sender's process.
      newest_format: Newest protocol format that the sender speaks.
      oldest_format: Oldest protocol format that the sender speaks.
    """

    name: str
    kind: NodeKind
    incarnation: str
    newest_format: int
    oldest_format: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Nothing new; the sender is alive.

    Attributes:
      next_offset: First offset of the log that the sender has not applied.
      log_age_ms: How long ago the sender knew that this was the log's end;
        -1 for an entry, and for a steward that never did.
    """

    next_offset: int
    log_age_ms: int = -1


@dataclass(frozen=True, slots=True)
class Follow:
    """Asks a steward for the log from an offset on.

    Attributes:
      from_offset: First offset that the sender has not applied.
    """

    from_offset: int


@dataclass(frozen=True, slots=True)
class RecordsForwarded:
    """A piece of the log, in its order and without gaps.

    Attributes:
      entries: The log's entries, at least one.
    """

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class AgreedForwarded:
    """The whole agreed state, for a follower too far behind.

    Attributes:
      agreed: State after all entries below its next offset.
    """

    agreed: Agreed


@dataclass(frozen=True, slots=True)
class InstancesForwarded:
    """The platform's list of instances, as the steward last saw it.

    Attributes:
      instances: All live and leaving instances.
    """

    instances: tuple[Instance, ...]


@dataclass(frozen=True, slots=True)
class UnitsAsked:
    """Asks an entry to hand over a part of a team's ceiling.

    The question stands until a later one replaces it or the stream ends.

    Attributes:
      team: Name of the team.
      units: How many units would serve, 0 to take the question back.
      units_held: How many units the sender holds.
      for_account: Whether the units are for jobs, that is to be deposited.
    """

    team: str
    units: int
    units_held: int
    for_account: bool = False


@dataclass(frozen=True, slots=True)
class UnitsSent:
    """Running totals of units handed over by the sender to the receiver.

    Attributes:
      giver: Incarnation of the sender that the totals count from.
      taker: Incarnation of the receiver that the totals are meant for.
      total_by_team: Units handed over since both incarnations began.
    """

    giver: str
    taker: str
    total_by_team: Map[str, int]


@dataclass(frozen=True, slots=True)
class UnitsReceived:
    """Running totals of units that the sender has taken from the receiver.

    Attributes:
      giver: Incarnation of the receiver of this message.
      taker: Incarnation of the sender of this message.
      total_by_team: Units taken since both incarnations began.
    """

    giver: str
    taker: str
    total_by_team: Map[str, int]


@dataclass(frozen=True, slots=True)
class LoadReported:
    """What the sender has in flight, as far as it has changed.

    Attributes:
      running_by_team: Requests in flight for each team that changed.
      running_by_target: Requests in flight on each target that changed.
      waiting_by_queue: Requests that only lack a slot, counted up to a few,
        for each line "service/team" that changed.
    """

    running_by_team: Map[str, int]
    running_by_target: Map[str, int]
    waiting_by_queue: Map[str, int] = EMPTY_MAP


class Vote(Enum):
    """A holder's answer to a claim of a caller's request id."""

    GRANTED = "granted"
    TAKEN = "taken"
    UNKNOWN = "blind"


@dataclass(frozen=True, slots=True)
class ClaimAsked:
    """Asks a holder to reserve a caller's request id.

    Attributes:
      name: The id among those of all teams.
      owner: Request that claims it; asking again is harmless.
    """

    name: str
    owner: str


@dataclass(frozen=True, slots=True)
class ClaimAnswered:
    """A holder's vote.

    Attributes:
      name: The id among those of all teams.
      owner: Request that claims it.
      vote: Granted, taken by another request, or blind: the holder cannot
        know whether it has granted it to another.
    """

    name: str
    owner: str
    vote: Vote


@dataclass(frozen=True, slots=True)
class ClaimReleased:
    """The request that holds an id will certainly never run.

    Attributes:
      name: The id among those of all teams.
      owner: Request that claimed it.
    """

    name: str
    owner: str


@dataclass(frozen=True, slots=True)
class ClaimsAsked:
    """A restarted holder asks for the claims that it should remember."""


@dataclass(frozen=True, slots=True)
class ClaimsTold:
    """What a peer remembers of the receiver's claims.

    Attributes:
      owner_by_name: Claims that the receiver is a holder of.
      incomplete: Whether the sender itself does not remember all of them.
    """

    owner_by_name: Map[str, str]
    incomplete: bool


@dataclass(frozen=True, slots=True)
class DrainReported:
    """The sender has nothing in flight on an instance and sends no more.

    Attributes:
      operation: Identifier of the move.
      incarnation: Incarnation of the sending entry.
    """

    operation: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class AppendRequested:
    """An entry asks its steward to append a record.

    Attributes:
      record: The record; repeats are harmless, its id makes them one.
    """

    record: Record


Message = (
    Hello
    | Heartbeat
    | Follow
    | RecordsForwarded
    | AgreedForwarded
    | InstancesForwarded
    | UnitsAsked
    | UnitsSent
    | UnitsReceived
    | LoadReported
    | ClaimAsked
    | ClaimAnswered
    | ClaimReleased
    | ClaimsAsked
    | ClaimsTold
    | DrainReported
    | AppendRequested
)
