"""Replicated state machine: derives the replicated state from the log."""

from sesamehall.core.agreement import Agreed
from sesamehall.core.agreement import Verdict
from sesamehall.core.records import EntryExpired
from sesamehall.core.records import EntryJoined
from sesamehall.core.records import EntryLeft
from sesamehall.core.records import EntryRenewed
from sesamehall.core.records import InstanceJoined
from sesamehall.core.records import JobCancelled
from sesamehall.core.records import JobEnded
from sesamehall.core.records import JobPlaced
from sesamehall.core.records import JobSubmitted
from sesamehall.core.records import KeyGiven
from sesamehall.core.records import KeyWithdrawn
from sesamehall.core.records import LimitsPublished
from sesamehall.core.records import LogEntry
from sesamehall.core.records import MoveFinished
from sesamehall.core.records import MoveStarted
from sesamehall.core.records import PlansPublished
from sesamehall.core.records import RecordBody
from sesamehall.core.records import RoleClaimed
from sesamehall.core.records import RoleRenewed
from sesamehall.core.records import SnapshotWritten
from sesamehall.core.records import UnitsDeposited
from sesamehall.core.records import UnitsSettled
from sesamehall.core.records import UnitsWithdrawn
from sesamehall.core.replacing import replace
from sesamehall.reducer.accounts import add_member
from sesamehall.reducer.accounts import apply_member_record
from sesamehall.reducer.accounts import settle_units
from sesamehall.reducer.fleet_records import cancel_job
from sesamehall.reducer.fleet_records import check_epoch
from sesamehall.reducer.fleet_records import claim_role
from sesamehall.reducer.fleet_records import end_job
from sesamehall.reducer.fleet_records import finish_move
from sesamehall.reducer.fleet_records import join_instance
from sesamehall.reducer.fleet_records import place_job
from sesamehall.reducer.fleet_records import start_move
from sesamehall.reducer.fleet_records import submit_job
from sesamehall.reducer.operator_lists import give_key
from sesamehall.reducer.operator_lists import publish_limits
from sesamehall.reducer.operator_lists import publish_plans
from sesamehall.reducer.operator_lists import withdraw_key

# When there are more verdicts, only the newest MAX_KEPT_VERDICTS / 2 are kept.
# A repeat of an older record may be applied again.
MAX_KEPT_VERDICTS = 4096

ApplyResult = tuple[Agreed, Verdict]


def apply_log_entry(agreed: Agreed, log_entry: LogEntry) -> ApplyResult:
    """Apply the next log entry.

    Args:
      agreed: State after all log entries below this one.
      log_entry: The log entry; its offset must be the state's next offset.
    Returns:
      The state after the log entry, and the verdict on its record.
    """
    advanced = replace(agreed, next_offset=log_entry.offset + 1)
    if log_entry.record is None:
        return advanced, Verdict.UNREADABLE
    record_id = log_entry.record.record_id
    if record_id in agreed.verdicts_by_record_id:
        return advanced, Verdict.REPEATED
    changed, verdict = _apply_record(
        advanced, log_entry.record.body, log_entry.offset
    )
    return _record_verdict(changed, record_id, verdict), verdict


def find_snapshot(
    log_entries: tuple[LogEntry, ...], earliest_offset: int
) -> Agreed | None:
    """Find the newest snapshot from which the retained log continues.

    A snapshot is valid even if the steward that wrote it had lost the steward
    role, since the state below an offset is the same for every writer.

    Args:
      log_entries: Consecutive log entries.
      earliest_offset: Oldest offset that the log still holds.
    Returns:
      The replicated state of the snapshot, or None.
    """
    for log_entry in reversed(log_entries):
        record = log_entry.record
        if record is None or not isinstance(record.body, SnapshotWritten):
            continue
        agreed = record.body.agreed
        if agreed is not None and agreed.next_offset >= earliest_offset:
            return agreed
    return None


def _apply_record(
    agreed: Agreed, body: RecordBody, offset: int
) -> ApplyResult:
    """Apply a record that is not a repeat."""
    match body:
        case PlansPublished():
            return publish_plans(agreed, body)
        case LimitsPublished():
            return publish_limits(agreed, body)
        case KeyGiven():
            return give_key(agreed, body)
        case KeyWithdrawn():
            return withdraw_key(agreed, body)
        case EntryJoined():
            return add_member(agreed, body, offset)
        case EntryRenewed() | EntryLeft() | UnitsWithdrawn():
            return apply_member_record(agreed, body, offset)
        case UnitsDeposited():
            return apply_member_record(agreed, body, offset)
        case UnitsSettled():
            return settle_units(agreed, body)
        case JobSubmitted():
            return submit_job(agreed, body)
        case JobCancelled():
            return cancel_job(agreed, body)
        case RoleClaimed():
            return claim_role(agreed, body, offset)
    return _apply_fenced_record(agreed, body, offset)


def _apply_fenced_record(
    agreed: Agreed, body: RecordBody, offset: int
) -> ApplyResult:
    """Apply a record that only the holder of the steward role may write.

    A record with the current epoch also renews the role.
    """
    renewed, verdict = check_epoch(agreed, body.epoch, offset)
    if verdict is not Verdict.ACCEPTED:
        return agreed, verdict
    match body:
        case RoleRenewed():
            return renewed, verdict
        case SnapshotWritten():
            return replace(renewed, snapshot_offset=offset), verdict
        case EntryExpired():
            return apply_member_record(renewed, body, offset)
        case InstanceJoined():
            return join_instance(renewed, body)
        case MoveStarted():
            return start_move(renewed, body)
        case MoveFinished():
            return finish_move(renewed, body)
        case JobPlaced():
            return place_job(renewed, body)
        case JobEnded():
            return end_job(renewed, body)
    raise TypeError(f"unexpected record {type(body).__name__}")


def _record_verdict(
    agreed: Agreed, record_id: str, verdict: Verdict
) -> Agreed:
    """Store a verdict; the oldest are dropped in batches."""
    verdicts = agreed.verdicts_by_record_id.set(record_id, verdict)
    recent = agreed.recent_record_ids + (record_id,)
    if len(recent) > MAX_KEPT_VERDICTS:
        dropped = recent[: -MAX_KEPT_VERDICTS // 2]
        recent = recent[len(dropped) :]
        with verdicts.mutate() as changed:
            for old_id in dropped:
                del changed[old_id]
            verdicts = changed.finish()
    return replace(
        agreed, verdicts_by_record_id=verdicts, recent_record_ids=recent
    )
