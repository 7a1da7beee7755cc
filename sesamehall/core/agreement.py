"""State replicated through the log, and verdicts on the log's records."""

from dataclasses import dataclass
from enum import Enum

from immutables import Map

from sesamehall.core.data import EMPTY_MAP
from sesamehall.core.data import Instance
from sesamehall.core.data import JobStatus
from sesamehall.core.data import Key
from sesamehall.core.data import Limit
from sesamehall.core.data import Move
from sesamehall.core.data import Plan
from sesamehall.core.data import Pool
from sesamehall.core.data import Service


class Verdict(Enum):
    """Whether a record of the log took effect, and if not, why."""

    ACCEPTED = "accepted"
    REPEATED = "repeated"
    UNREADABLE = "unreadable"
    STALE_VERSION = "stale version"
    STALE_EPOCH = "stale epoch"
    UNKNOWN_TEAM = "unknown team"
    UNKNOWN_NAME = "unknown name"
    ALREADY_DONE = "already done"
    CEILING_REACHED = "ceiling reached"
    WITHDRAWN = "withdrawn"
    STILL_IN_USE = "still in use"


@dataclass(frozen=True, slots=True)
class Role:
    """The role of placing, moving and maintaining, and its holder.

    Attributes:
      holder: Name of the steward's process, or "" before the first claim.
      epoch: Offset of the accepted claim, -1 before the first.
      renewed_offset: Offset of the holder's latest accepted record.
    """

    holder: str = ""
    epoch: int = -1
    renewed_offset: int = -1


@dataclass(frozen=True, slots=True)
class EntryMember:
    """An incarnation of an entry that may hold units of the ceilings.

    Attributes:
      name: Name of the entry.
      incarnation: The incarnation.
      renewed_offset: Offset of its latest renewal, or of its joining.
      granted_by_team: Units withdrawn less units deposited, adjusted by the
        settlements with departed incarnations.
    """

    name: str
    incarnation: str
    renewed_offset: int
    granted_by_team: Map[str, int] = EMPTY_MAP


@dataclass(frozen=True, slots=True)
class Settlement:
    """Units of departed incarnations that are being returned to the account.

    Attributes:
      departed: Incarnations whose units are being collected, mapped to True.
      unsettled_pairs: Pairs "member>departed" that are not settled yet,
        mapped to True.
      units_by_team: Sum so far; not valid while pairs are unsettled.
    """

    departed: Map[str, bool] = EMPTY_MAP
    unsettled_pairs: Map[str, bool] = EMPTY_MAP
    units_by_team: Map[str, int] = EMPTY_MAP


@dataclass(frozen=True, slots=True)
class Placement:
    """An instance and the pool that it belongs to.

    Attributes:
      instance: The instance as listed when it joined.
      pool: Name of its pool.
      move: Its unfinished move, or None.
    """

    instance: Instance
    pool: str
    move: Move | None = None


@dataclass(frozen=True, slots=True)
class Agreed:
    """Replicated state: the result of applying the log up to an offset.

    Attributes:
      next_offset: First offset that was not applied.
      snapshot_offset: Offset of the latest snapshot, -1 before the first.
      plans_version: Number of accepted edits of the plans.
      limits_version: Number of accepted edits of the limits.
      plans_by_team: The teams' plans.
      services_by_name: All services.
      service_names_by_pool: Names of each pool's services, sorted.
      pools_by_name: All pools.
      limits_by_team: The teams' limits.
      keys_by_id: Valid keys.
      withdrawn_key_ids: Withdrawn keys, mapped to True.
      role: The role and its holder.
      members_by_incarnation: Entries that may hold units of ceilings.
      first_incarnation_by_name: First incarnation of each entry.
      account_delta_by_team: Units in the log's account, less the whole
        ceiling with which each account begins.
      settlement: Settlement with departed incarnations.
      placements_by_instance: Pool of each instance.
      instance_names_by_pool: Names of each pool's instances, sorted.
      moves_by_operation: Unfinished moves.
      jobs_by_id: Jobs with their states.
      ended_job_ids: Ended jobs that are kept, oldest first.
      waiting_job_ids: Jobs that were not placed yet, mapped to True.
      waiting_jobs_by_team: Number of jobs that were not placed yet.
      job_ids_by_worker: Placed jobs that have not ended.
      running_jobs_by_team: Number of placed jobs that have not ended.
      verdicts_by_record_id: Verdicts on recent records.
      recent_record_ids: Keys of verdicts_by_record_id, oldest first.
    """

    next_offset: int = 0
    snapshot_offset: int = -1
    plans_version: int = 0
    limits_version: int = 0
    plans_by_team: Map[str, Plan] = EMPTY_MAP
    services_by_name: Map[str, Service] = EMPTY_MAP
    service_names_by_pool: Map[str, tuple[str, ...]] = EMPTY_MAP
    pools_by_name: Map[str, Pool] = EMPTY_MAP
    limits_by_team: Map[str, Limit] = EMPTY_MAP
    keys_by_id: Map[str, Key] = EMPTY_MAP
    withdrawn_key_ids: Map[str, bool] = EMPTY_MAP
    role: Role = Role()
    members_by_incarnation: Map[str, EntryMember] = EMPTY_MAP
    first_incarnation_by_name: Map[str, str] = EMPTY_MAP
    account_delta_by_team: Map[str, int] = EMPTY_MAP
    settlement: Settlement = Settlement()
    placements_by_instance: Map[str, Placement] = EMPTY_MAP
    instance_names_by_pool: Map[str, tuple[str, ...]] = EMPTY_MAP
    moves_by_operation: Map[str, Move] = EMPTY_MAP
    jobs_by_id: Map[str, JobStatus] = EMPTY_MAP
    ended_job_ids: tuple[str, ...] = ()
    waiting_job_ids: Map[str, bool] = EMPTY_MAP
    waiting_jobs_by_team: Map[str, int] = EMPTY_MAP
    job_ids_by_worker: Map[str, tuple[str, ...]] = EMPTY_MAP
    running_jobs_by_team: Map[str, int] = EMPTY_MAP
    verdicts_by_record_id: Map[str, Verdict] = EMPTY_MAP
    recent_record_ids: tuple[str, ...] = ()
