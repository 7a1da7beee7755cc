"""Calls of callers about jobs, which every node answers."""

from sesamehall.core.calls import Accepted
from sesamehall.core.calls import CallAnswer
from sesamehall.core.calls import CancelJob
from sesamehall.core.calls import Counted
from sesamehall.core.calls import CountPending
from sesamehall.core.calls import JobCall
from sesamehall.core.calls import Rejected
from sesamehall.core.calls import ShowJob
from sesamehall.core.calls import Shown
from sesamehall.core.calls import SubmitJob
from sesamehall.core.codes import JOB_UNCONFIRMED
from sesamehall.core.codes import KEY_MISSING
from sesamehall.core.codes import KEY_REFUSED
from sesamehall.core.codes import LOG_UNREACHABLE
from sesamehall.core.codes import MALFORMED
from sesamehall.core.codes import NO_SUCH_JOB
from sesamehall.core.codes import NO_SUCH_SERVICE
from sesamehall.core.codes import NOT_READY
from sesamehall.core.codes import Outcome
from sesamehall.core.codes import ResultCode
from sesamehall.core.codes import TOO_LARGE
from sesamehall.core.data import JobPhase
from sesamehall.core.data import TERMINAL_PHASES
from sesamehall.core.effects import log
from sesamehall.core.fleet import CancelAsked
from sesamehall.core.jobtiming import CALLER_CALL_TIMEOUT_MS
from sesamehall.core.jobtiming import MANIFEST_MAX_AGE_MS
from sesamehall.core.logevents import CALL_ANSWERED
from sesamehall.core.logevents import CALL_REJECTED
from sesamehall.core.managereffects import AnswerCall
from sesamehall.core.managereffects import StoreJob
from sesamehall.core.managerevents import JobCalled
from sesamehall.core.managerevents import JobStored
from sesamehall.core.managerevents import StoreOutcome
from sesamehall.core.managerstate import CallStage
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.managerstate import WaitingCall
from sesamehall.core.manifest import Manifest
from sesamehall.core.manifest import Queue
from sesamehall.core.peercalls import AnswerPeer
from sesamehall.core.peercalls import PeerCallReceived
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.core.work import JobPlan
from sesamehall.reducer.counts import drop_key
from sesamehall.reducer.jobs.active_jobs import may_access
from sesamehall.reducer.jobs.leases import is_term_confirmed
from sesamehall.reducer.jobs.peer_calls import forward_call
from sesamehall.reducer.jobs.peer_calls import is_turned_away
from sesamehall.reducer.jobs.peer_calls import is_write

RETRY_AFTER_S = 1  # Retry-After of a node that cannot serve for now
JOB_ID_LENGTH = 16
JOB_ID_DIGITS = frozenset("0123456789abcdefABCDEF")


def receive_call(
    manager: ManagerState, event: JobCalled | PeerCallReceived
) -> Step:
    """Answer a call immediately, or start the write or read that it needs.

    Args:
      manager: State of a manager.
      event: The call.
    Returns:
      A Step.
    """
    call = event.call
    deadline_ms = event.at_ms + CALLER_CALL_TIMEOUT_MS
    if call.forwarded is not None:
        deadline_ms = min(deadline_ms, call.forwarded.deadline_ms)
    waiting = WaitingCall(
        call=call,
        # The last segment of the path, until the queue's prefix is known.
        job_id=call.path.rpartition("/")[2],
        team="",
        stage=CallStage.FORWARDED,
        since_ms=event.at_ms,
        deadline_ms=deadline_ms,
    )
    return serve_call(manager, waiting, event.at_ms)


def serve_call(
    manager: ManagerState, waiting: WaitingCall, at_ms: int
) -> Step:
    """Serve a call by this node's own knowledge, if it may.

    Args:
      manager: State of a manager.
      waiting: The call, in the stage FORWARDED.
      at_ms: Current time on the node's clock.
    Returns:
      A Step.
    """
    call = waiting.call
    job_id = waiting.job_id
    if not _may_serve(manager, call, at_ms):
        return forward_call(manager, waiting, at_ms) or reject_call(
            manager, call, NOT_READY, job_id, at_ms, RETRY_AFTER_S
        )
    queue = find_queue(manager.manifest, call.host, call.path)
    if queue is None:
        return reject_call(manager, call, NO_SUCH_SERVICE, "", at_ms)
    job_id = call.path[len(queue.path_prefix) :]
    team = manager.manifest.team_by_key.get(call.key, "")
    if not queue.open_to_all and not team:
        code = KEY_REFUSED if call.key else KEY_MISSING
        return reject_call(manager, call, code, job_id, at_ms)
    if isinstance(call.kind, CountPending):
        if job_id:
            return reject_call(manager, call, NO_SUCH_JOB, job_id, at_ms)
        pending = count_pending(manager, queue.name)
        return answer_call(manager, call, Counted(pending), "", at_ms)
    if len(job_id) != JOB_ID_LENGTH or not JOB_ID_DIGITS.issuperset(job_id):
        return reject_call(manager, call, NO_SUCH_JOB, job_id, at_ms)
    waiting = replace(waiting, job_id=job_id, team=team)
    return _handle_job_call(manager, waiting, queue, at_ms)


def _may_serve(manager, call, at_ms):
    """Check whether this node knows enough to judge a call.

    A peer's call is refused at once if this node cannot reach the store, so
    that the peer has time to choose another node.
    """
    if not is_manifest_current(manager, at_ms):
        return False
    if call.forwarded is None:
        return True
    if manager.manifest.version < call.forwarded.manifest_version:
        return False
    return not manager.stopping and not is_turned_away(manager, at_ms)


def is_manifest_current(manager: ManagerState, at_ms: int) -> bool:
    """Check whether the manifest is recent enough to authorize calls.

    Args:
      manager: State of a manager.
      at_ms: Current time on the node's clock.
    Returns:
      False if a newer manifest may be in force already, or a peer has judged
      a call of this node by a newer one.
    """
    if manager.manifest is None or manager.operator_cursor.known_until_ms < 0:
        return False
    if manager.manifest.version < manager.peers.min_manifest_version:
        return False
    return at_ms - manager.operator_cursor.known_until_ms < MANIFEST_MAX_AGE_MS


def find_queue(manifest: Manifest, host: str, path: str) -> Queue | None:
    """Find the queue with the longest path prefix that matches a call.

    Args:
      manifest: The manifest.
      host: Host of the request.
      path: Path of the request.
    Returns:
      The queue, or None if no prefix matches.
    """
    best = None
    for queue in manifest.queues_by_name.values():
        if queue.host != host or not path.startswith(queue.path_prefix):
            continue
        if best is None or len(queue.path_prefix) > len(best.path_prefix):
            best = queue
    return best


def count_pending(manager: ManagerState, queue_name: str) -> int:
    """Count the jobs of a queue that have not started.

    Args:
      manager: State of a manager.
      queue_name: Name of the queue.
    Returns:
      Number of jobs, without cancelled ones.
    """
    phases = manager.phase_by_job_id
    return sum(
        plan.queue == queue_name
        and phases.get(job_id, JobPhase.WAITING) is JobPhase.WAITING
        and job_id not in manager.cancelled_by_job_id
        for job_id, plan in manager.plans_by_id.items()
    )


def _handle_job_call(manager, waiting, queue, at_ms):
    """Answer a call about a job, or start the write or read it needs."""
    call = waiting.call
    job_id = waiting.job_id
    known = job_id in manager.team_by_job_id
    if known and not may_access(manager, job_id, waiting.team):
        return reject_call(manager, call, NO_SUCH_JOB, job_id, at_ms)
    ended = manager.phase_by_job_id.get(job_id) in TERMINAL_PHASES
    match call.kind:
        case SubmitJob() if known:
            return answer_call(manager, call, Accepted(), job_id, at_ms)
        case SubmitJob(draft):
            if not draft.steps:
                return reject_call(manager, call, MALFORMED, job_id, at_ms)
            plan = JobPlan(
                job_id=job_id,
                queue=queue.name,
                team=waiting.team,
                command=draft.command,
                steps=draft.steps,
                occurrence_count=draft.occurrence_count,
                first_wall_ms=draft.first_wall_ms,
                period_ms=draft.period_ms,
            )
            return _store_record(manager, waiting, plan, at_ms)
        case CancelJob() if known and ended:
            return answer_call(manager, call, Accepted(), job_id, at_ms)
        case CancelJob():
            request = CancelAsked(job_id, waiting.team)
            return _store_record(manager, waiting, request, at_ms)
        case ShowJob() if known and (
            ended or _is_confirmed_leader(manager, at_ms)
        ):
            phase = _shown_phase(manager, job_id)
            return answer_call(manager, call, Shown(phase), job_id, at_ms)
        case ShowJob() if known:
            return _await_read(
                manager, waiting, CallStage.READING_PROGRESS, at_ms
            )
        case ShowJob():
            return _await_read(manager, waiting, CallStage.READING_JOBS, at_ms)


def _is_confirmed_leader(manager, at_ms):
    """Check whether this node leads and so knows the newest progress."""
    return bool(manager.term.epoch) and is_term_confirmed(manager, at_ms)


def _shown_phase(manager, job_id):
    phase = manager.phase_by_job_id.get(job_id, JobPhase.WAITING)
    if phase in TERMINAL_PHASES:
        return phase
    if job_id in manager.cancelled_by_job_id:
        return JobPhase.CANCELLED
    return phase


def _store_record(manager, waiting, value, at_ms):
    """Store a record, by a peer if the store turns this node away."""
    if is_turned_away(manager, at_ms):
        step = forward_call(manager, waiting, at_ms)
        if step is not None:
            return step
    waiting = replace(waiting, stage=CallStage.STORING)
    store = StoreJob(waiting.call.call_id, value, waiting.deadline_ms)
    calls = manager.calls_by_id.set(waiting.call.call_id, waiting)
    return Step(replace(manager, calls_by_id=calls), (store,))


def _await_read(manager, waiting, stage, at_ms):
    """Keep a call waiting until its stream was read at or after `at_ms`.

    A peer is asked as well if the store turns this node away.
    """
    waiting = replace(waiting, stage=stage, since_ms=at_ms)
    if is_turned_away(manager, at_ms) and not waiting.peers.current:
        step = forward_call(manager, waiting, at_ms)
        if step is not None:
            return step
    calls = manager.calls_by_id.set(waiting.call.call_id, waiting)
    return Step(replace(manager, calls_by_id=calls))


def handle_job_stored(manager: ManagerState, event: JobStored) -> Step:
    """Handle the outcome of storing a job or a cancel request.

    Args:
      manager: State of a manager.
      event: The outcome.
    Returns:
      A Step.
    """
    waiting = manager.calls_by_id.get(event.call_id)
    if waiting is None:
        return Step(manager)
    call = waiting.call
    at_ms = event.at_ms
    match event.outcome:
        case StoreOutcome.STORED if isinstance(call.kind, SubmitJob):
            return answer_call(
                manager, call, Accepted(), waiting.job_id, at_ms
            )
        case StoreOutcome.STORED:
            # Whose job it is must be known before the answer.
            waiting = replace(waiting, may_be_stored=False)
            stage = CallStage.READING_JOBS
            step = _await_read(manager, waiting, stage, at_ms)
            waiting = step.state.calls_by_id[call.call_id]
            return then(step, _advance_call, waiting, at_ms)
        case StoreOutcome.UNSTORABLE:
            return reject_call(manager, call, TOO_LARGE, waiting.job_id, at_ms)
        case StoreOutcome.UNKNOWN:
            waiting = replace(waiting, may_be_stored=True)
    return _continue_by_peer(manager, waiting, at_ms)


def _continue_by_peer(manager, waiting, at_ms):
    """Leave a call to peers after this node failed to store its record."""
    call = waiting.call
    waiting = replace(
        waiting, stage=CallStage.FORWARDED, own_failure=LOG_UNREACHABLE
    )
    calls = manager.calls_by_id.set(call.call_id, waiting)
    manager = replace(manager, calls_by_id=calls)
    if waiting.peers.current:
        return Step(manager)
    return forward_call(manager, waiting, at_ms) or reject_call(
        manager, call, LOG_UNREACHABLE, waiting.job_id, at_ms, RETRY_AFTER_S
    )


def advance_calls(manager: ManagerState, at_ms: int) -> Step:
    """Answer the calls whose read is done or whose deadline has passed.

    Args:
      manager: State of a manager.
      at_ms: Current time on the node's clock.
    Returns:
      A Step.
    """
    step = Step(manager)
    for _, waiting in sorted(manager.calls_by_id.items()):
        step = then(step, _advance_call, waiting, at_ms)
    return step


def _advance_call(manager, waiting, at_ms):
    call = waiting.call
    job_id = waiting.job_id
    known = job_id in manager.team_by_job_id
    match waiting.stage:
        case CallStage.READING_JOBS if known:
            if not may_access(manager, job_id, waiting.team):
                return reject_call(manager, call, NO_SUCH_JOB, job_id, at_ms)
            if isinstance(call.kind, CancelJob):
                return answer_call(manager, call, Accepted(), job_id, at_ms)
            if _is_confirmed_leader(manager, at_ms):
                phase = _shown_phase(manager, job_id)
                return answer_call(manager, call, Shown(phase), job_id, at_ms)
            return _await_read(
                manager, waiting, CallStage.READING_PROGRESS, at_ms
            )
        case CallStage.READING_JOBS:
            if manager.jobs_cursor.known_until_ms >= waiting.since_ms:
                return reject_call(manager, call, NO_SUCH_JOB, job_id, at_ms)
        case CallStage.READING_PROGRESS:
            if manager.progress_cursor.known_until_ms >= waiting.since_ms:
                phase = _shown_phase(manager, job_id)
                return answer_call(manager, call, Shown(phase), job_id, at_ms)
    if at_ms < waiting.deadline_ms:
        return Step(manager)
    if waiting.stage is CallStage.READING_PROGRESS:
        phase = _shown_phase(manager, job_id)
        return answer_call(manager, call, Shown(phase), job_id, at_ms)
    if is_write(call):
        return reject_call(manager, call, JOB_UNCONFIRMED, job_id, at_ms)
    return reject_call(manager, call, NOT_READY, job_id, at_ms, RETRY_AFTER_S)


def answer_call(
    manager: ManagerState,
    call: JobCall,
    answer: CallAnswer,
    job_id: str,
    at_ms: int,
) -> Step:
    """Answer a call and forget it.

    Args:
      manager: State of a manager.
      call: The call.
      answer: The answer, which is not a rejection.
      job_id: Job that the call is about, or "".
      at_ms: Current time on the node's clock.
    Returns:
      A Step.
    """
    line = log(
        CALL_ANSWERED,
        call=call.call_id,
        job=job_id,
        kind=type(call.kind).__name__,
        answer=type(answer).__name__,
        took_ms=at_ms - call.at_ms,
        version=_manifest_version(manager),
        age_ms=at_ms - _progress_known_until_ms(manager),
    )
    return _finish(manager, call, answer, line)


def _manifest_version(manager):
    return 0 if manager.manifest is None else manager.manifest.version


def _progress_known_until_ms(manager):
    """Return the clock up to which this node knows the jobs' progress."""
    if manager.term.epoch:
        return manager.term.confirmed_ms
    return manager.progress_cursor.known_until_ms


def reject_call(
    manager: ManagerState,
    call: JobCall,
    code: ResultCode,
    job_id: str,
    at_ms: int,
    retry_after_s: int = 0,
) -> Step:
    """Reject a call and forget it.

    Args:
      manager: State of a manager.
      call: The call.
      code: Result code; replaced by JOB_UNCONFIRMED if it says that the call
        did nothing although its record may be stored.
      job_id: Job that the call is about, or "".
      at_ms: Current time on the node's clock.
      retry_after_s: Delay before a retry, or 0 for no recommendation.
    Returns:
      A Step.
    """
    waiting = manager.calls_by_id.get(call.call_id)
    if waiting is not None and waiting.may_be_stored:
        if code.outcome is Outcome.NOT_RUN:
            code, retry_after_s = JOB_UNCONFIRMED, 0
    line = log(
        CALL_REJECTED,
        call=call.call_id,
        job=job_id,
        kind=type(call.kind).__name__,
        code=code.number,
        reason=code.name,
        took_ms=at_ms - call.at_ms,
        version=_manifest_version(manager),
        manifest_age_ms=at_ms - manager.operator_cursor.known_until_ms,
    )
    return _finish(manager, call, Rejected(code, retry_after_s), line)


def _finish(manager, call, answer, line):
    calls = drop_key(manager.calls_by_id, call.call_id)
    manager = replace(manager, calls_by_id=calls)
    effect = AnswerCall(call.call_id, answer)
    if call.forwarded is not None:
        version = _manifest_version(manager)
        effect = AnswerPeer(call.call_id, answer, version)
    return Step(manager, (line, effect))
