"""Records of the platform's log; the order of the log is the only agreement.

A record is a proposal.  Whether it is accepted follows from the records
before it alone, so every reader comes to the same verdict.
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
      based_on: Version of the plans that the edit was made from.
      plans: The whole new list.
    """

    based_on: int
    plans: PlansList


@dataclass(frozen=True, slots=True)
class LimitsPublished:
    """An operator's edit of the limits.

    Attributes:
      based_on: Version of the limits that the edit was made from.
      limits: The whole new list.
    """

    based_on: int
    limits: LimitsList


@dataclass(frozen=True, slots=True)
class KeyGiven:
    """A key comes into force.

    Attributes:
      key: The key, with the digest of its secret.
    """

    key: Key


@dataclass(frozen=True, slots=True)
class KeyWithdrawn:
    """A key stops working for ever.

    Attributes:
      key_id: Public part of the key.
    """

    key_id: str


@dataclass(frozen=True, slots=True)
class RoleClaimed:
    """A steward takes over placing, moving and maintenance.

    The claim's offset becomes the epoch that fences older holders.

    Attributes:
      holder: Name of the steward.
      expected_epoch: Epoch that the claim replaces; another one refuses it.
    """

    holder: str
    expected_epoch: int


@dataclass(frozen=True, slots=True)
class RoleRenewed:
    """The holder of the role is still at work.

    Attributes:
      epoch: Epoch of the holder.
    """

    epoch: int


@dataclass(frozen=True, slots=True)
class EntryJoined:
    """An incarnation of an entry begins to take part in the ceilings.

    Attributes:
      name: Name of the entry.
      incarnation: Identifier of this start of the process.
    """

    name: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class EntryRenewed:
    """An incarnation prolongs its lease on the units that it holds.

    Attributes:
      incarnation: Identifier of that start of the process.
    """

    incarnation: str


@dataclass(frozen=True, slots=True)
class EntryLeft:
    """An incarnation has nothing running and will never start anything.

    Attributes:
      incarnation: Identifier of that start of the process.
    """

    incarnation: str


@dataclass(frozen=True, slots=True)
class EntryExpired:
    """An incarnation's lease and its longest request have run out.

    Attributes:
      epoch: Epoch of the writer.
      incarnation: Identifier of that start of the process.
      renewed_offset: Renewal that has run out; a later one refuses this.
    """

    epoch: int
    incarnation: str
    renewed_offset: int


@dataclass(frozen=True, slots=True)
class UnitsSettled:
    """A member's final totals with an incarnation that is gone.

    Attributes:
      incarnation: The member.
      departed: The incarnation that left or expired.
      sent_by_team: Units that the member ever sent to it.
      received_by_team: Units that the member ever took from it.
    """

    incarnation: str
    departed: str
    sent_by_team: Map[str, int]
    received_by_team: Map[str, int]


@dataclass(frozen=True, slots=True)
class UnitsWithdrawn:
    """An entry takes units of ceilings out of the log's account.

    Attributes:
      incarnation: The entry's incarnation.
      units_by_team: Most units wanted for each team.
    """

    incarnation: str
    units_by_team: Map[str, int]


@dataclass(frozen=True, slots=True)
class UnitsDeposited:
    """An entry puts units of ceilings into the log's account.

    Attributes:
      incarnation: The entry's incarnation.
      units_by_team: Units given up for each team.
    """

    incarnation: str
    units_by_team: Map[str, int]


@dataclass(frozen=True, slots=True)
class InstanceJoined:
    """An instance is taken into a pool for the first time.

    Attributes:
      epoch: Epoch of the writer.
      instance: The instance as the platform lists it.
    """

    epoch: int
    instance: Instance


@dataclass(frozen=True, slots=True)
class MoveStarted:
    """An instance shall leave its pool for another.

    Attributes:
      epoch: Epoch of the writer.
      operation: Unique identifier of the move.
      instance: Name of the instance.
      to_pool: Pool that it shall join.
    """

    epoch: int
    operation: str
    instance: str
    to_pool: str


@dataclass(frozen=True, slots=True)
class MoveFinished:
    """A drained and rebooted instance belongs to its new pool.

    Attributes:
      epoch: Epoch of the writer.
      operation: Identifier of the move.
    """

    epoch: int
    operation: str


@dataclass(frozen=True, slots=True)
class JobSubmitted:
    """A team hands in a job.

    Attributes:
      job: The job, its team already established by key.
    """

    job: Job


@dataclass(frozen=True, slots=True)
class JobPlaced:
    """A worker shall run a job; a job is placed at most once.

    Attributes:
      epoch: Epoch of the writer.
      job_id: Identifier of the job.
      worker: Name of the instance.
      boot: Boot of the instance that may run it, and no later one.
    """

    epoch: int
    job_id: str
    worker: str
    boot: str


@dataclass(frozen=True, slots=True)
class JobEnded:
    """A job has come to its end.

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
    """A team asks to stop a job.

    Attributes:
      job_id: Identifier of the job.
    """

    job_id: str


@dataclass(frozen=True, slots=True)
class SnapshotWritten:
    """The agreed state, for readers whose records the log has forgotten.

    Attributes:
      epoch: Epoch of the writer.
      agreed: State below its next offset; None where it was left out, since
        whoever applies the record in order has the state already.
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
      record_id: Unique identifier; a repeated one is dropped.
      body: What is proposed.
    """

    record_id: str
    body: RecordBody


@dataclass(frozen=True, slots=True)
class LogEntry:
    """A record at its place in the log.

    Attributes:
      offset: Place in the log, counted from 0.
      record: The record, or None when its bytes could not be decoded.
    """

    offset: int
    record: Record | None
