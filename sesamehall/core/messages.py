"""Messages that nodes send to their peers.

A stream delivers its messages in order and without loss. Messages are lost
when a stream ends, and those sent while there is none are dropped.

Most messages are safe to lose, repeat and reorder:

- Heartbeat, Follow, AgreedForwarded, InstancesForwarded, DrainReported and the
  standing UnitsAsked carry a whole state that replaces an earlier one, and
  UnitsSent and UnitsReceived running totals of which the largest wins. They
  are sent again periodically, after a change, or on the next stream.
- RecordsForwarded carries offsets. A receiver skips log entries that it has
  applied, ignores those after a gap, and sends Follow once a heartbeat shows
  that it is behind.
- AppendRequested carries the id of the record, which takes effect once. The
  sender retries until it reads the record back from the log.
- ClaimAsked and ClaimAnswered may be repeated. If one is lost, the claimant
  lacks a vote and refuses the request after a timeout. If ClaimReleased is
  lost or overtakes its claim, the id stays taken until the claim expires.
  ClaimsAsked is repeated until the claims are complete.

Two messages rely on more:

- LoadReported carries changes only, so it relies on the order of the stream.
  The sender's counts are dropped when the stream ends, and the first report on
  the next stream contains all of them.
- UnitsAsked with `for_account` takes effect each time that it arrives. Each
  deposit is limited to the receiver's spare units.
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
      kind: Kind of the sending node.
      incarnation: Incarnation of the sender.
      newest_format: Newest protocol format that the sender supports.
      oldest_format: Oldest protocol format that the sender supports.
    """

    name: str
    kind: NodeKind
    incarnation: str
    newest_format: int
    oldest_format: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Periodic proof that the sender is alive, with its progress in the log.

    Attributes:
      next_offset: First offset of the log that the sender has not applied.
      log_age_ms: Time since the sender last read to the log's end; -1 for
        an entry node, and for a steward that has not read it yet.
    """

    next_offset: int
    log_age_ms: int = -1


@dataclass(frozen=True, slots=True)
class Follow:
    """Request to a steward for the log from an offset on.

    Attributes:
      from_offset: First offset that the sender has not applied.
    """

    from_offset: int


@dataclass(frozen=True, slots=True)
class RecordsForwarded:
    """Consecutive log entries.

    Attributes:
      log_entries: Log entries in order, at least one.
    """

    log_entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class AgreedForwarded:
    """The whole replicated state, for a follower that is too far behind.

    Attributes:
      agreed: State after all log entries below its next offset.
    """

    agreed: Agreed


@dataclass(frozen=True, slots=True)
class InstancesForwarded:
    """The latest list of instances that a steward received.

    Attributes:
      instances: All live and leaving instances.
    """

    instances: tuple[Instance, ...]


@dataclass(frozen=True, slots=True)
class UnitsAsked:
    """Request to an entry node for units of a team's ceiling.

    A request of an entry node stands until it is served, until a later one
    replaces it, or until the stream ends. A steward's request for the log's
    account does not stand: it is served immediately by a deposit of spare
    units.

    Attributes:
      team: Name of the team.
      units: Units requested, 0 to withdraw the request.
      units_held: Units that the sender holds, or the log's account if the
        units are for it.
      for_account: Whether the units are for jobs, that is, to be deposited
        in the log's account.
    """

    team: str
    units: int
    units_held: int
    for_account: bool = False


@dataclass(frozen=True, slots=True)
class UnitsSent:
    """Running totals of units that the sender has lent to the receiver.

    Attributes:
      lender: Incarnation of the sender.
      borrower: Incarnation of the receiver.
      total_by_team: Units lent since both incarnations began.
    """

    lender: str
    borrower: str
    total_by_team: Map[str, int]


@dataclass(frozen=True, slots=True)
class UnitsReceived:
    """Acknowledgement of the running totals of units received from a peer.

    Attributes:
      lender: Incarnation of the receiver of this message.
      borrower: Incarnation of the sender of this message.
      total_by_team: Units received since both incarnations began.
    """

    lender: str
    borrower: str
    total_by_team: Map[str, int]


@dataclass(frozen=True, slots=True)
class LoadReported:
    """Changes of the sender's load; counts replace earlier ones.

    Attributes:
      running_by_team: Requests in flight, for each team that changed.
      running_by_target: Requests in flight, for each target that changed.
      waiting_by_queue: Requests that wait only for a slot, up to a small
        maximum, for each queue "service/team" that changed.
    """

    running_by_team: Map[str, int]
    running_by_target: Map[str, int]
    waiting_by_queue: Map[str, int] = EMPTY_MAP


class Vote(Enum):
    """An entry node's answer to a claim of a caller's request id.

    UNKNOWN says that the voter was restarted and cannot know whether it has
    granted the id to another request.
    """

    GRANTED = "granted"
    TAKEN = "taken"
    UNKNOWN = "blind"


@dataclass(frozen=True, slots=True)
class ClaimAsked:
    """Request to a voter to reserve a caller's request id.

    Attributes:
      name: Name of the claim: the caller's id, qualified as "team/id".
      request_id: Identifier of the request that claims the id; repeated claims
        of the same request are harmless.
    """

    name: str
    request_id: str


@dataclass(frozen=True, slots=True)
class ClaimAnswered:
    """A vote on a claim.

    Attributes:
      name: Name of the claim: the caller's id, qualified as "team/id".
      request_id: Identifier of the request that claims the id.
      vote: The vote.
    """

    name: str
    request_id: str
    vote: Vote


@dataclass(frozen=True, slots=True)
class ClaimReleased:
    """Release of an id whose request will certainly never run.

    Attributes:
      name: Name of the claim: the caller's id, qualified as "team/id".
      request_id: Identifier of the request that claimed the id.
    """

    name: str
    request_id: str


@dataclass(frozen=True, slots=True)
class ClaimsAsked:
    """Request of a restarted entry node for the claims it may have granted."""


@dataclass(frozen=True, slots=True)
class ClaimsTold:
    """Claims that the sender knows and for which the receiver is a voter.

    Attributes:
      request_id_by_name: Identifier of the request that holds each claim, by
        the name of the claim.
      incomplete: Whether the sender may lack some of these claims, since it
        was restarted itself.
    """

    request_id_by_name: Map[str, str]
    incomplete: bool


@dataclass(frozen=True, slots=True)
class DrainReported:
    """The sender has drained an instance that is being moved.

    Attributes:
      operation: Identifier of the move.
      incarnation: Incarnation of the sending entry node.
    """

    operation: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class AppendRequested:
    """Request to a steward to append a record to the log.

    Attributes:
      record: The record; its id makes repeated appends harmless.
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
