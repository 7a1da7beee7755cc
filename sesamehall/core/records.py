"""Records of the platform's log, whose order is the only consensus.

A record is a proposal.  Whether it is accepted depends only on the records
before it, so every reader reaches the same verdict.
"""

from dataclasses import dataclass

from immutables import Map

from sesamehall.core.agreement import Agreed
from sesamehall.core.data import Instance
from sesamehall.core.data import Job
from sesamehall.core.data import JobPhase
from sesamehall.core.data import Key
from sesamehall.core.data import LimitsList
from sesamehall.core.data import PlansList


@dataclass(frozen=True, slots=True)
class PlansPublished:
    """An operator's edit of the plans.

    Attributes:
      based_on: Version that was edited; the edit is rejected if it is not
        the latest one.
      plans: The complete new list.
    """

    based_on: int
    plans: PlansList


@dataclass(frozen=True, slots=True)
class LimitsPublished:
    """An operator's edit of the limits.

    Attributes:
      based_on: Version that was edited; the edit is rejected if it is not
        the latest one.
      limits: The complete new list.
    """

    based_on: int
    limits: LimitsList


@dataclass(frozen=True, slots=True)
class KeyGiven:
    """A key becomes valid.

    Attributes:
      key: The key, with the digest of its secret.
    """

    key: Key


@dataclass(frozen=True, slots=True)
class KeyWithdrawn:
    """A key is withdrawn permanently.

    Attributes:
      key_id: Public part of the key.
    """

    key_id: str


@dataclass(frozen=True, slots=True)
class RoleClaimed:
    """A steward takes over the role of placing, moving and maintaining.

    The offset of the record becomes the epoch, the fencing token against
    earlier holders.

    Attributes:
      holder: Name of the steward's process.
      expected_epoch: Epoch that the claim replaces; it is rejected if another
        one is in force.
    """

    holder: str
    expected_epoch: int


@dataclass(frozen=True, slots=True)
class RoleRenewed:
    """The holder of the role renews it.

    Attributes:
      epoch: Epoch of the holder.
    """

    epoch: int


@dataclass(frozen=True, slots=True)
class EntryJoined:
    """An incarnation of an entry becomes a member that may hold units.

    Attributes:
      name: Name of the entry.
      incarnation: The incarnation.
    """

    name: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class EntryRenewed:
    """A member renews its lease on the units that it holds.

    Attributes:
      incarnation: The incarnation.
    """

    incarnation: str


@dataclass(frozen=True, slots=True)
class EntryLeft:
    """A member leaves; it has nothing in flight and will start nothing.

    Attributes:
      incarnation: The incarnation.
    """

    incarnation: str


@dataclass(frozen=True, slots=True)
class EntryExpired:
    """A member's lease has expired, and so has its longest possible request.

    Attributes:
      epoch: Epoch of the writer.
      incarnation: The incarnation.
      renewed_offset: Offset of the renewal that has expired; the record is
        rejected if there is a later one.
    """

    epoch: int
    incarnation: str
    renewed_offset: int


@dataclass(frozen=True, slots=True)
class UnitsSettled:
    """A member's final totals with an incarnation that has departed.

    Attributes:
      incarnation: Incarnation of the member.
      departed: The incarnation that left or expired.
      sent_by_team: Total units that the member sent to it.
      received_by_team: Total units that the member received from it.
    """

    incarnation: str
    departed: str
    sent_by_team: Map[str, int]
    received_by_team: Map[str, int]


@dataclass(frozen=True, slots=True)
class UnitsWithdrawn:
    """An entry withdraws units of ceilings from the log's account.

    Attributes:
      incarnation: Incarnation of the entry.
      units_by_team: Maximum of units to withdraw for each team.
    """

    incarnation: str
    units_by_team: Map[str, int]


@dataclass(frozen=True, slots=True)
class UnitsDeposited:
    """An entry deposits units of ceilings in the log's account.

    Attributes:
      incarnation: Incarnation of the entry.
      units_by_team: Units deposited for each team.
    """

    incarnation: str
    units_by_team: Map[str, int]


@dataclass(frozen=True, slots=True)
class InstanceJoined:
    """A new instance is assigned to its pool.

    Attributes:
      epoch: Epoch of the writer.
      instance: The instance as the platform lists it.
    """

    epoch: int
    instance: Instance


@dataclass(frozen=True, slots=True)
class MoveStarted:
    """A move of an instance to another pool begins.

    Attributes:
      epoch: Epoch of the writer.
      operation: Unique identifier of the move.
      instance: Name of the instance.
      to_pool: Pool that it moves to.
    """

    epoch: int
    operation: str
    instance: str
    to_pool: str


@dataclass(frozen=True, slots=True)
class MoveFinished:
    """A drained and rebooted instance joins its new pool.

    Attributes:
      epoch: Epoch of the writer.
      operation: Identifier of the move.
    """

    epoch: int
    operation: str


@dataclass(frozen=True, slots=True)
class JobSubmitted:
    """A team submits a job.

    Attributes:
      job: The job, with the team that the key belongs to.
    """

    job: Job


@dataclass(frozen=True, slots=True)
class JobPlaced:
    """A job is assigned to a worker, at most once.

    Attributes:
      epoch: Epoch of the writer.
      job_id: Identifier of the job.
      worker: Name of the instance.
      boot: Boot of the instance that may run it; a later one must not.
    """

    epoch: int
    job_id: str
    worker: str
    boot: str


@dataclass(frozen=True, slots=True)
class JobEnded:
    """A job has ended.

    Attributes:
      epoch: Epoch of the writer.
      job_id: Identifier of the job.
      phase: One of the terminal phases.
      detail: The worker's answer, or why the job ended.
    """

    epoch: int
    job_id: str
    phase: JobPhase
    detail: str


@dataclass(frozen=True, slots=True)
class JobCancelled:
    """A team requests the cancellation of a job.

    Attributes:
      job_id: Identifier of the job.
    """

    job_id: str


@dataclass(frozen=True, slots=True)
class SnapshotWritten:
    """Snapshot of the replicated state, for readers of a truncated log.

    Attributes:
      epoch: Epoch of the writer.
      agreed: State after all entries below its next offset; None in copies
        for followers that read in order, which have the state already.
    """

    epoch: int
    agreed: Agreed | None


RecordBody = (
    PlansPublished
    | LimitsPublished
    | KeyGiven
    | KeyWithdrawn
    | RoleClaimed
    | RoleRenewed
    | EntryJoined
    | EntryRenewed
    | EntryLeft
    | EntryExpired
    | UnitsSettled
    | UnitsWithdrawn
    | UnitsDeposited
    | InstanceJoined
    | MoveStarted
    | MoveFinished
    | JobSubmitted
    | JobPlaced
    | JobEnded
    | JobCancelled
    | SnapshotWritten
)


@dataclass(frozen=True, slots=True)
class Record:
    """A proposal to the log.

    Attributes:
      record_id: Unique identifier; repeated records are ignored.
      body: The proposal.
    """

    record_id: str
    body: RecordBody


@dataclass(frozen=True, slots=True)
class LogEntry:
    """A record with its offset in the log.

    Attributes:
      offset: Offset in the log, counted from 0.
      record: The record, or None if its bytes could not be decoded.
    """

    offset: int
    record: Record | None
