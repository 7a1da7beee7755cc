"""Reads of the store's streams: manifest, workers, jobs, leader's records.

A stream is a topic of the platform's store.  A read without an offset returns
the newest record of each key, a complete list.
"""

from immutables import Map

from sesamehall.core.data import TERMINAL_PHASES
from sesamehall.core.draining import DRAIN_KEY_PREFIX
from sesamehall.core.effects import log
from sesamehall.core.fleet import CancelAsked
from sesamehall.core.fleet import Candidate
from sesamehall.core.fleet import PeerNode
from sesamehall.core.fleet import Stream
from sesamehall.core.fleet import WorkerEntry
from sesamehall.core.fleetstate import WaveProgress
from sesamehall.core.jobtiming import JOBS_PERIOD_MS
from sesamehall.core.jobtiming import JOBS_WAIT_MS
from sesamehall.core.jobtiming import MANIFEST_AGE_MARGIN_MS
from sesamehall.core.jobtiming import MANIFEST_MAX_AGE_MS
from sesamehall.core.jobtiming import OPERATOR_WAIT_MS
from sesamehall.core.jobtiming import PROGRESS_PERIOD_MS
from sesamehall.core.jobtiming import STREAM_READ_RETRY_MS
from sesamehall.core.jobtiming import WORKERS_PERIOD_MS
from sesamehall.core.logevents import JOBS_CAUGHT_UP
from sesamehall.core.logevents import MANIFEST_APPLIED
from sesamehall.core.logevents import RECORD_NOT_APPLIED
from sesamehall.core.logevents import STREAM_READABLE
from sesamehall.core.logevents import STREAM_UNREADABLE
from sesamehall.core.logevents import WAVE_RECEIVED
from sesamehall.core.managereffects import ReadStream
from sesamehall.core.managerevents import StreamRead
from sesamehall.core.managerevents import StreamUnread
from sesamehall.core.managerstate import CallStage
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.managerstate import StreamCursor
from sesamehall.core.manifest import DrainRequest
from sesamehall.core.manifest import Manifest
from sesamehall.core.manifest import Wave
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.core.work import JobPlan
from sesamehall.core.work import Progress
from sesamehall.reducer.counts import drop_key
from sesamehall.reducer.jobs.active_jobs import activate_job
from sesamehall.reducer.jobs.active_jobs import cancel_job
from sesamehall.reducer.jobs.active_jobs import end_jobs_without_attempts
from sesamehall.reducer.jobs.active_jobs import may_access
from sesamehall.reducer.jobs.ended_jobs import record_read_end
from sesamehall.reducer.jobs.handover import handle_candidate
from sesamehall.reducer.jobs.leader_records import apply_progress_record
from sesamehall.reducer.jobs.leadership import claimable_from_ms
from sesamehall.reducer.jobs.peer_calls import record_peer
from sesamehall.reducer.jobs.queue_pools import request_record_deletions
from sesamehall.reducer.jobs.runs import schedule_placement
from sesamehall.reducer.jobs.share_log import manifest_lines
from sesamehall.reducer.jobs.state_updates import rebuild_pool_index
from sesamehall.reducer.jobs.storing import QUEUE_KEY_PREFIX
from sesamehall.reducer.jobs.storing import WORKER_KEY_PREFIX
from sesamehall.reducer.jobs.workers import deregister_worker
from sesamehall.reducer.jobs.workers import register_worker
from sesamehall.reducer.machines.drain_requests import apply_drain_request
from sesamehall.reducer.machines.drain_requests import revoke_drain
from sesamehall.reducer.machines.drain_requests import revoke_unlisted_drains
from sesamehall.reducer.machines.listing import mark_unlisted_machines
from sesamehall.reducer.machines.turn_reading import record_turn_load
from sesamehall.reducer.machines.turn_reading import update_turns


def cursor_of(manager: ManagerState, stream: Stream) -> StreamCursor:
    """Return the read position in a stream.

    Args:
      manager: State of a manager.
      stream: The stream.
    Returns:
      The read position.
    """
    match stream:
        case Stream.OPERATOR:
            return manager.operator_cursor
        case Stream.WORKERS:
            return manager.workers_cursor
        case Stream.JOBS:
            return manager.jobs_cursor
        case Stream.PROGRESS:
            return manager.progress_cursor


def _put_cursor(manager, stream, cursor):
    match stream:
        case Stream.OPERATOR:
            return replace(manager, operator_cursor=cursor)
        case Stream.WORKERS:
            return replace(manager, workers_cursor=cursor)
        case Stream.JOBS:
            return replace(manager, jobs_cursor=cursor)
        case Stream.PROGRESS:
            return replace(manager, progress_cursor=cursor)


def read_due_streams(manager: ManagerState, at_ms: int) -> Step:
    """Request a read of every stream that is due for one.

    Args:
      manager: State of a manager.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with the reads.
    """
    step = Step(manager)
    for stream in Stream:
        step = then(step, _read_if_due, stream, at_ms)
    return step


def _read_if_due(manager, stream, at_ms):
    cursor = cursor_of(manager, stream)
    if cursor.read_in_flight:
        return Step(manager)
    if cursor.failed_ms >= 0:
        if at_ms - cursor.failed_ms < STREAM_READ_RETRY_MS:
            return Step(manager)
    elif not _is_due(manager, stream, cursor, at_ms):
        return Step(manager)
    wait_ms = _wait_ms(manager, stream, at_ms)
    effect = ReadStream(stream, cursor.next_offset, wait_ms)
    cursor = replace(cursor, read_in_flight=True, sent_ms=at_ms)
    return Step(_put_cursor(manager, stream, cursor), (effect,))


def _is_due(manager, stream, cursor, at_ms):
    """Check whether a stream should be read now."""
    leads = manager.term.epoch > 0
    since_ms = at_ms - cursor.known_until_ms
    if cursor.next_offset < 0:
        return leads or stream is not Stream.WORKERS
    match stream:
        case Stream.OPERATOR:
            return True
        case Stream.WORKERS:
            return leads and since_ms >= WORKERS_PERIOD_MS
        case Stream.JOBS:
            awaited = _is_awaited(manager, CallStage.READING_JOBS)
            return leads or awaited or since_ms >= JOBS_PERIOD_MS
        case Stream.PROGRESS:
            awaited = _is_awaited(manager, CallStage.READING_PROGRESS)
            if leads:
                return False
            claimable = _may_be_claimable(manager, at_ms)
            return awaited or claimable or since_ms >= PROGRESS_PERIOD_MS


def _may_be_claimable(manager, at_ms):
    """Check whether a read now could show that the role is claimable.

    Without such a read, the phase of the periodic reads would decide which
    node claims the role first.
    """
    from_ms = claimable_from_ms(manager)
    if from_ms is None:
        return False
    return manager.progress_cursor.known_until_ms < from_ms <= at_ms


def _is_awaited(manager, stage):
    return any(call.stage is stage for call in manager.calls_by_id.values())


def _wait_ms(manager, stream, at_ms):
    match stream:
        case Stream.OPERATOR:
            return _operator_wait_ms(manager, at_ms)
        case Stream.JOBS if manager.term.epoch:
            return JOBS_WAIT_MS
    return 0


def _operator_wait_ms(manager, at_ms):
    """Compute how long to wait for a new manifest.

    A read that returns records shows only that nothing newer was stored when
    it was sent, and a read without records that nothing was stored until its
    wait ended.  So the wait ends before the manifest is too old; if it is
    already, as after an outage of the store, the read does not wait.
    """
    age_ms = at_ms - manager.operator_cursor.known_until_ms
    left_ms = MANIFEST_MAX_AGE_MS - MANIFEST_AGE_MARGIN_MS - age_ms
    return max(min(left_ms, OPERATOR_WAIT_MS), 0)


def apply_stream_read(manager: ManagerState, event: StreamRead) -> Step:
    """Apply the records that were read from a stream.

    Args:
      manager: State of a manager.
      event: The records.
    Returns:
      A Step.
    """
    stream = event.stream
    cursor = cursor_of(manager, stream)
    effects = ()
    recovered_ms = cursor.recovered_ms
    if cursor.failed_ms >= 0:
        effects = (log(STREAM_READABLE, stream=stream.value),)
        recovered_ms = event.at_ms
    last_growth_ms = cursor.last_growth_ms
    if event.records or event.covers_all_keys:
        last_growth_ms = event.at_ms
    cursor = StreamCursor(
        next_offset=event.next_offset,
        known_until_ms=event.known_until_ms,
        last_growth_ms=last_growth_ms,
        recovered_ms=recovered_ms,
        sent_ms=cursor.sent_ms,
        read_ms=event.at_ms,
    )
    manager = _put_cursor(manager, stream, cursor)
    manager = replace(manager, wall_offset_ms=event.wall_ms - event.at_ms)
    step = Step(manager, effects)
    for record in event.records:
        step = then(step, _apply_or_skip, stream, record, event.at_ms)
    if stream is Stream.JOBS:
        step = then(step, _record_jobs_caught_up, event)
        turns = update_turns(manager.turns, step.state.turns, event)
        step = Step(replace(step.state, turns=turns), step.effects)
    if event.covers_all_keys:
        step = then(step, _drop_unlisted, event)
    return step


def _record_jobs_caught_up(manager, event):
    """Record that all jobs submitted before the term began are read."""
    if manager.jobs_caught_up or event.known_until_ms < manager.term.began_ms:
        return Step(manager)
    manager = replace(manager, jobs_caught_up=True)
    if not manager.term.epoch:
        return Step(manager)
    line = log(
        JOBS_CAUGHT_UP,
        epoch=manager.term.epoch,
        jobs=len(manager.active_jobs_by_id),
        after_ms=event.at_ms - manager.term.began_ms,
    )
    return Step(manager, (line,))


def handle_stream_read_failure(
    manager: ManagerState, event: StreamUnread
) -> Step:
    """Handle a failed read of a stream; it is retried after a pause.

    Args:
      manager: State of a manager.
      event: Reason of the failure.
    Returns:
      A Step.  If the stream no longer holds the requested records, the next
      read returns the newest record of each key.
    """
    cursor = cursor_of(manager, event.stream)
    effects = ()
    if cursor.failed_ms < 0:
        effects = (
            log(
                STREAM_UNREADABLE,
                stream=event.stream.value,
                reason=event.reason,
            ),
        )
    cursor = replace(cursor, read_in_flight=False, failed_ms=event.at_ms)
    if event.truncated:
        cursor = replace(cursor, next_offset=-1)
    return Step(_put_cursor(manager, event.stream, cursor), effects)


def _apply_or_skip(manager, stream, record, at_ms):
    """Apply a record; an error costs this record alone, not its stream.

    A decision changes nothing before it returns, so the state is that before
    the record.
    """
    try:
        return _apply_record(manager, stream, record, at_ms)
    except Exception as error:
        line = log(
            RECORD_NOT_APPLIED,
            stream=stream.value,
            key=ascii(record.key),
            value=type(record.value).__name__,
            reason=type(error).__name__,
        )
        return Step(manager, (line,))


def _apply_record(manager, stream, record, at_ms):
    match (stream, record.value):
        case (Stream.OPERATOR, Manifest() as manifest):
            return _apply_manifest(manager, manifest, at_ms)
        case (Stream.OPERATOR, Wave() as wave):
            return _apply_wave(manager, wave, at_ms)
        case (Stream.OPERATOR, DrainRequest() as request):
            return apply_drain_request(manager, request, at_ms)
        case (Stream.OPERATOR, None) if record.key.startswith(
            DRAIN_KEY_PREFIX
        ):
            data_centre = record.key.removeprefix(DRAIN_KEY_PREFIX)
            return revoke_drain(manager, data_centre, at_ms)
        case (Stream.WORKERS, WorkerEntry() as entry):
            return _if_leading(manager, register_worker, entry, at_ms)
        case (Stream.WORKERS, None):
            return _if_leading(manager, deregister_worker, record.key, at_ms)
        case (Stream.JOBS, JobPlan() as plan):
            return _apply_job_plan(manager, plan, at_ms)
        case (Stream.JOBS, CancelAsked() as request):
            return _apply_cancellation(manager, request, at_ms)
        case (Stream.JOBS, Candidate() as candidate):
            return handle_candidate(manager, candidate, at_ms)
        case (Stream.JOBS, PeerNode() as node):
            return Step(record_peer(manager, node, at_ms))
        case (Stream.PROGRESS, value):
            return apply_progress_record(manager, record.key, value, at_ms)
    return Step(manager)


def _if_leading(manager, handler, *arguments):
    return (
        handler(manager, *arguments) if manager.term.epoch else Step(manager)
    )


def _apply_manifest(manager, manifest, at_ms):
    """Replace the manifest by a newer one."""
    old = manager.manifest
    if old is not None and manifest.version <= old.version:
        return Step(manager)
    line = log(
        MANIFEST_APPLIED,
        version=manifest.version,
        queues=len(manifest.queues_by_name),
        teams=len(manifest.quotas_by_team),
        shares=_format_quotas(manifest),
    )
    manager = replace(manager, manifest=manifest)
    lines = (line,) + manifest_lines(manager)
    if not manager.term.epoch:
        return Step(manager, lines)
    manager = request_record_deletions(rebuild_pool_index(manager))
    step = Step(manager, lines)
    step = then(step, end_jobs_without_attempts, at_ms)
    for pool in sorted(manifest.pools_by_name):
        step = then(step, schedule_placement, pool, at_ms)
    return step


def _format_quotas(manifest):
    """Format the teams' weights and processor ceilings for the log line."""
    return ",".join(
        f"{team}:{quota.weight:g}:{quota.ceiling.cpu_milli}"
        for team, quota in sorted(manifest.quotas_by_team.items())
    )


def _apply_wave(manager, wave, at_ms):
    waves = manager.fleet.waves_by_number
    if wave.number in waves:
        return Step(manager)
    line = log(
        WAVE_RECEIVED,
        wave=wave.number,
        machines=len(wave.machines),
        within_ms=wave.within_ms,
        at_once=wave.max_unavailable,
    )
    waves = waves.set(wave.number, WaveProgress(wave, at_ms))
    fleet = replace(manager.fleet, waves_by_number=waves)
    fleet = mark_unlisted_machines(fleet, wave, at_ms)
    return Step(replace(manager, fleet=fleet), (line,))


def _drop_unlisted(manager, event):
    """Drop what a complete list does not contain.

    These are the drains, the registered workers, or the leased workers and
    the pools of queues of a follower.
    """
    listed_keys = {record.key for record in event.records}
    match event.stream:
        case Stream.OPERATOR:
            return revoke_unlisted_drains(manager, listed_keys, event.at_ms)
        case Stream.WORKERS:
            return _drop_unregistered(manager, listed_keys, event)
        case Stream.PROGRESS if not manager.term.epoch:
            leased_by_id = _listed(
                manager.leased_workers_by_id, WORKER_KEY_PREFIX, listed_keys
            )
            long_lease_ends = _listed(
                manager.long_lease_ends_by_worker_id,
                WORKER_KEY_PREFIX,
                listed_keys,
            )
            pools_by_queue = _listed(
                manager.pools_by_queue, QUEUE_KEY_PREFIX, listed_keys
            )
            return Step(
                replace(
                    manager,
                    leased_workers_by_id=leased_by_id,
                    long_lease_ends_by_worker_id=long_lease_ends,
                    pools_by_queue=pools_by_queue,
                )
            )
    return Step(manager)


def _listed(items_by_name, key_prefix, listed_keys):
    """Keep the items whose record a complete list contains."""
    return Map(
        (name, item)
        for name, item in items_by_name.items()
        if key_prefix + name in listed_keys
    )


def _drop_unregistered(manager, listed_keys, event):
    step = Step(manager)
    for worker_id, worker in sorted(manager.workers_by_id.items()):
        if worker.registered and worker_id not in listed_keys:
            step = then(step, deregister_worker, worker_id, event.at_ms)
    return step


def _apply_job_plan(manager, plan, at_ms):
    """Add a job; a repeated identifier changes nothing."""
    job_id = plan.job_id
    if job_id in manager.team_by_job_id:
        return Step(manager)
    teams = manager.team_by_job_id.set(job_id, plan.team)
    manager = replace(manager, team_by_job_id=teams)
    phase = manager.phase_by_job_id.get(job_id)
    if phase in TERMINAL_PHASES:
        no_progress = Progress(job_id)
        return Step(record_read_end(manager, plan, no_progress, phase, at_ms))
    manager = _apply_early_cancels(manager, job_id)
    manager = replace(
        manager,
        plans_by_id=manager.plans_by_id.set(job_id, plan),
        first_seen_ms_by_job_id=manager.first_seen_ms_by_job_id.set(
            job_id, at_ms
        ),
    )
    manager = record_turn_load(manager, plan, at_ms)
    inherited = not manager.jobs_caught_up
    return _if_leading(manager, activate_job, job_id, inherited, at_ms)


def _apply_early_cancels(manager, job_id):
    """Apply the cancel requests that were read before their job."""
    requests = manager.early_cancels_by_job_id.get(job_id, ())
    for request in requests:
        manager = _record_cancellation(manager, request)
    early = drop_key(manager.early_cancels_by_job_id, job_id)
    return replace(manager, early_cancels_by_job_id=early)


def _apply_cancellation(manager, request, at_ms):
    """Cancel a job for its team, or keep the request until the job is read."""
    job_id = request.job_id
    if job_id in manager.cancelled_by_job_id:
        return Step(manager)
    if job_id not in manager.team_by_job_id:
        early = manager.early_cancels_by_job_id
        requests = early.get(job_id, ())
        if request not in requests:
            early = early.set(job_id, requests + (request,))
        return Step(replace(manager, early_cancels_by_job_id=early))
    manager = _record_cancellation(manager, request)
    if job_id not in manager.cancelled_by_job_id:
        return Step(manager)
    return _if_leading(manager, cancel_job, job_id, at_ms)


def _record_cancellation(manager, request):
    """Record a request that comes from a team that may cancel the job."""
    if request.team is not None and not may_access(
        manager, request.job_id, request.team
    ):
        return manager
    cancelled = manager.cancelled_by_job_id.set(request.job_id, True)
    return replace(manager, cancelled_by_job_id=cancelled)
