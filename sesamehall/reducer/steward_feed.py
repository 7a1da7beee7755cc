"""Reads of the log and of the list of instances; forwarding to followers."""

from immutables import Map

from sesamehall.core.data import Instance
from sesamehall.core.data import NodeKind
from sesamehall.core.effects import ListInstances
from sesamehall.core.effects import log
from sesamehall.core.effects import ReadLog
from sesamehall.core.effects import Send
from sesamehall.core.effects import SetTimer
from sesamehall.core.events import InstancesListed
from sesamehall.core.events import InstancesNotListed
from sesamehall.core.events import LogRead
from sesamehall.core.events import LogReadFailed
from sesamehall.core.limits import INSTANCE_LIST_PERIOD_MS
from sesamehall.core.limits import LOG_READ_RETRY_MAX_MS
from sesamehall.core.limits import LOG_READ_RETRY_MS
from sesamehall.core.limits import RECENT_LOG_ENTRIES_KEPT
from sesamehall.core.logevents import INSTANCES_NOT_LISTED
from sesamehall.core.logevents import LOG_REACHABLE
from sesamehall.core.logevents import LOG_RECORDS_EXPIRED
from sesamehall.core.logevents import LOG_UNREACHABLE
from sesamehall.core.logevents import SNAPSHOT_APPLIED
from sesamehall.core.messages import AgreedForwarded
from sesamehall.core.messages import InstancesForwarded
from sesamehall.core.messages import Message
from sesamehall.core.messages import RecordsForwarded
from sesamehall.core.records import LogEntry
from sesamehall.core.records import Record
from sesamehall.core.records import SnapshotWritten
from sesamehall.core.replacing import replace
from sesamehall.core.state import State
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.core.timers import ListTimer
from sesamehall.core.timers import ReadLogTimer
from sesamehall.reducer.freshness import build_heartbeats
from sesamehall.reducer.replication import adopt_replicated_state
from sesamehall.reducer.replication import apply_log_entries
from sesamehall.reducer.state_machine import find_snapshot


def read_log(state: State) -> Step:
    """Read the log from the first offset that was not applied.

    While a snapshot is searched for, the read continues the search instead.

    Args:
      state: State of the steward.
    Returns:
      A Step with the read, or without effects while one is in flight.
    """
    if state.steward.read_in_flight:
        return Step(state)
    steward = replace(state.steward, read_in_flight=True)
    search_offset = state.steward.snapshot_search_offset
    effect = ReadLog(
        state.agreed.next_offset if search_offset < 0 else search_offset
    )
    return Step(replace(state, steward=steward), (effect,))


def receive_log(state: State, event: LogRead) -> Step:
    """Apply the log entries read, forward them and start the next read.

    Args:
      state: State of the steward.
      event: The log entries read.
    Returns:
      A Step with the next read, or with its timer if the log no longer holds
      the next record and no snapshot was found.
    """
    steward = replace(
        state.steward,
        read_in_flight=False,
        log_read_failures=0,
        last_read_ms=event.at_ms,
    )
    effects = ()
    if state.steward.log_read_failures:
        effects += (log(LOG_REACHABLE, offset=state.agreed.next_offset),)
        effects += build_heartbeats(
            replace(state, steward=steward), event.at_ms
        )
    state = replace(state, steward=steward)
    if event.earliest > state.agreed.next_offset:
        step = _search_snapshot(state, event)
        return Step(step.state, effects + step.effects)
    state = _end_search(state)
    step = receive_log_entries(state, event.log_entries, event.at_ms)
    step = Step(step.state, effects + step.effects)
    return then(step, read_log)


def _search_snapshot(state: State, event: LogRead) -> Step:
    """Search the log for a snapshot, since the next record has expired.

    The replicated state of the snapshot is adopted.  If the log holds none,
    the log is read again after a pause; meanwhile a peer may send its state.
    """
    agreed = find_snapshot(event.log_entries, event.earliest)
    if agreed is not None and agreed.next_offset > state.agreed.next_offset:
        line = log(SNAPSHOT_APPLIED, offset=agreed.next_offset)
        message = AgreedForwarded(agreed)
        step = receive_replicated_state(
            _end_search(state), message, event.at_ms
        )
        step = Step(step.state, (line,) + step.effects)
        return then(step, read_log)
    if event.log_entries:
        resume_offset = event.log_entries[-1].offset + 1
        steward = replace(state.steward, snapshot_search_offset=resume_offset)
        return read_log(replace(state, steward=steward))
    timer = SetTimer(ReadLogTimer(), event.at_ms + LOG_READ_RETRY_MAX_MS)
    line = log(
        LOG_RECORDS_EXPIRED,
        earliest=event.earliest,
        wanted=state.agreed.next_offset,
    )
    return Step(_end_search(state), (timer, line))


def _end_search(state):
    if state.steward.snapshot_search_offset < 0:
        return state
    return replace(
        state, steward=replace(state.steward, snapshot_search_offset=-1)
    )


def receive_log_entries(
    state: State, log_entries: tuple[LogEntry, ...], at_ms: int
) -> Step:
    """Apply log entries from the platform or a peer, and forward them.

    Args:
      state: State of the steward.
      log_entries: Log entries in order.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with the messages to followers.
    """
    before = state.agreed.next_offset
    step = apply_log_entries(state, log_entries, at_ms)
    after = step.state.agreed.next_offset
    applied = tuple(
        _strip_snapshot(e) for e in log_entries if before <= e.offset < after
    )
    if not applied:
        return step
    recent = (step.state.steward.recent_log_entries + applied)[
        -RECENT_LOG_ENTRIES_KEPT:
    ]
    steward = replace(step.state.steward, recent_log_entries=recent)
    step = Step(replace(step.state, steward=steward), step.effects)
    return then(step, forward_to_followers)


def receive_replicated_state(
    state: State, message: AgreedForwarded, at_ms: int
) -> Step:
    """Adopt the replicated state of another steward if it is newer.

    Args:
      state: State of the steward.
      message: The other steward's replicated state.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with the messages to followers.
    """
    if message.agreed.next_offset <= state.agreed.next_offset:
        return Step(state)
    step = adopt_replicated_state(state, message.agreed, at_ms)
    steward = replace(step.state.steward, recent_log_entries=())
    step = Step(replace(step.state, steward=steward), step.effects)
    return then(step, forward_to_followers)


def forward_to_followers(state: State) -> Step:
    """Send each follower the log entries that were not sent to it yet.

    Args:
      state: State of the steward.
    Returns:
      A Step with the messages.
    """
    effects = ()
    followers = state.steward.next_offset_by_follower
    for peer, offset in sorted(state.steward.next_offset_by_follower.items()):
        if offset >= state.agreed.next_offset:
            continue
        effects += (Send(peer, _build_update(state, offset)),)
        followers = followers.set(peer, state.agreed.next_offset)
    steward = replace(state.steward, next_offset_by_follower=followers)
    return Step(replace(state, steward=steward), effects)


def add_follower(state: State, peer: str, from_offset: int) -> Step:
    """Register a peer that follows this steward from an offset on.

    Args:
      state: State of the steward.
      peer: Name of the peer.
      from_offset: First offset that the peer has not applied.
    Returns:
      A Step with the log entries that the peer lacks, and with the list of
      instances if it is known.
    """
    followers = state.steward.next_offset_by_follower.set(peer, from_offset)
    steward = replace(state.steward, next_offset_by_follower=followers)
    step = forward_to_followers(replace(state, steward=steward))
    if not state.steward.instances_listed:
        return step
    send = Send(peer, InstancesForwarded(state.steward.instances))
    return Step(step.state, step.effects + (send,))


def retry_log_read(state: State, event: LogReadFailed) -> Step:
    """Retry a failed read after a pause that doubles up to a bound.

    Args:
      state: State of the steward.
      event: The failure.
    Returns:
      A Step with the timer of the next read.
    """
    failures = state.steward.log_read_failures
    pause_ms = min(
        LOG_READ_RETRY_MS << min(failures, 10), LOG_READ_RETRY_MAX_MS
    )
    steward = replace(
        state.steward, read_in_flight=False, log_read_failures=failures + 1
    )
    timer = SetTimer(ReadLogTimer(), event.at_ms + pause_ms)
    effects = (timer,)
    if failures == 0:
        effects += (log(LOG_UNREACHABLE, reason=event.reason),)
    return Step(replace(state, steward=steward), effects)


def list_instances(state: State) -> Step:
    """Request the list of instances from the platform.

    Args:
      state: State of the steward.
    Returns:
      A Step with the request.
    """
    return Step(state, (ListInstances(),))


def receive_instances(state: State, event: InstancesListed) -> Step:
    """Store the platform's list; if it changed, send it to following entries.

    Args:
      state: State of the steward.
      event: The list.
    Returns:
      A Step with the messages and the timer of the next request.
    """
    timer = SetTimer(ListTimer(), event.at_ms + INSTANCE_LIST_PERIOD_MS)
    instances = tuple(sorted(event.instances, key=_by_name))
    if state.steward.instances_listed and instances == state.steward.instances:
        return Step(state, (timer,))
    steward = replace(
        state.steward,
        instances=instances,
        instances_by_name=Map((i.name, i) for i in instances),
        instances_listed=True,
    )
    message = InstancesForwarded(instances)
    sends = _send_to_entries(state, message)
    return Step(replace(state, steward=steward), sends + (timer,))


def retry_instance_list(state: State, event: InstancesNotListed) -> Step:
    """Keep the last list, and request it again later.

    Args:
      state: State of the steward.
      event: The failure.
    Returns:
      A Step with the timer of the next request.
    """
    timer = SetTimer(ListTimer(), event.at_ms + INSTANCE_LIST_PERIOD_MS)
    return Step(state, (timer, log(INSTANCES_NOT_LISTED, reason=event.reason)))


def _strip_snapshot(log_entry: LogEntry) -> LogEntry:
    """Remove the state from a snapshot's record.

    A follower that has applied all earlier log entries has the same state.
    """
    record = log_entry.record
    if record is None or not isinstance(record.body, SnapshotWritten):
        return log_entry
    body = SnapshotWritten(record.body.epoch, None)
    return LogEntry(log_entry.offset, Record(record.record_id, body))


def _by_name(instance: Instance) -> str:
    return instance.name


def _build_update(state: State, offset: int) -> Message:
    """Build a message with the log entries that a follower lacks.

    If they are no longer kept, it contains the whole replicated state.
    """
    recent = state.steward.recent_log_entries
    if recent and recent[0].offset <= offset:
        return RecordsForwarded(recent[offset - recent[0].offset :])
    return AgreedForwarded(state.agreed)


def _send_to_entries(state, message):
    peers_by_name = state.identity.peers_by_name
    return tuple(
        Send(peer, message)
        for peer in sorted(state.steward.next_offset_by_follower)
        if peers_by_name[peer].kind is NodeKind.ENTRY
    )
