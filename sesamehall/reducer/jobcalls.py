"""Job calls at an entry: submission, status and cancellation.

Jobs are part of the replicated state, which every entry follows.  A call that
changes a job becomes a record of the log; it is answered when the record has
been read back.
"""

from sesamehall.core.agreement import Agreed
from sesamehall.core.agreement import Verdict
from sesamehall.core.codes import CANCEL_ACCEPTED
from sesamehall.core.codes import JOB_ACCEPTED
from sesamehall.core.codes import JOB_IMPOSSIBLE
from sesamehall.core.codes import JOB_STATE
from sesamehall.core.codes import JOB_UNCONFIRMED
from sesamehall.core.codes import NO_LIMIT
from sesamehall.core.codes import NO_SUCH_JOB
from sesamehall.core.codes import NOT_ADMITTED
from sesamehall.core.codes import NOT_READY
from sesamehall.core.codes import STEWARD_UNREACHABLE
from sesamehall.core.codes import STOPPING
from sesamehall.core.data import Job
from sesamehall.core.data import JobStatus
from sesamehall.core.data import PresentedKey
from sesamehall.core.effects import Reply
from sesamehall.core.events import AskCalled
from sesamehall.core.events import CancelCalled
from sesamehall.core.events import DeadlinePassed
from sesamehall.core.events import SubmitCalled
from sesamehall.core.records import JobCancelled
from sesamehall.core.records import JobSubmitted
from sesamehall.core.records import RecordBody
from sesamehall.core.replacing import replace
from sesamehall.core.state import PendingJobCall
from sesamehall.core.state import Phase
from sesamehall.core.state import State
from sesamehall.core.step import Step
from sesamehall.reducer.admission import identify_team
from sesamehall.reducer.admission import Refused
from sesamehall.reducer.proposals import nearest_steward
from sesamehall.reducer.proposals import propose
from sesamehall.reducer.refusals import refuse


def receive_submit_call(state: State, event: SubmitCalled) -> Step:
    """Submit a job; a repeated submission of its id gets the same answer.

    Args:
      state: State of the entry.
      event: The call.
    Returns:
      A Step that proposes the job or refuses it.
    """
    owner = _identify_caller(state, event.key, event.at_ms)
    if isinstance(owner, Refused):
        return refuse(state, event.call_id, owner.code, owner.detail)
    job = replace(event.job, team=owner.team)
    refusal = _check_job(state, job)
    if refusal is not None:
        return refuse(state, event.call_id, refusal.code, refusal.detail)
    existing = state.agreed.jobs_by_id.get(job.job_id)
    if existing is not None:
        reply = Reply(event.call_id, JOB_ACCEPTED, status=existing)
        return Step(state, (reply,))
    record_id = f"job/{job.team}/{job.job_id}"
    call = PendingJobCall(record_id, job.job_id, job.team, cancels=False)
    body = JobSubmitted(job)
    return _propose_call(state, event.call_id, call, body, event.at_ms)


def receive_status_call(state: State, event: AskCalled) -> Step:
    """Reply with the state of a job.

    Args:
      state: State of the entry.
      event: The call.
    Returns:
      A Step with the answer.
    """
    status = _find_job(state, event)
    if isinstance(status, Refused):
        return refuse(state, event.call_id, status.code, status.detail)
    return Step(state, (Reply(event.call_id, JOB_STATE, status=status),))


def receive_cancel_call(state: State, event: CancelCalled) -> Step:
    """Request the cancellation of a job.

    Args:
      state: State of the entry.
      event: The call.
    Returns:
      A Step that proposes the cancellation or refuses it.
    """
    status = _find_job(state, event)
    if isinstance(status, Refused):
        return refuse(state, event.call_id, status.code, status.detail)
    body = JobCancelled(event.job_id)
    record_id = f"cancel/{status.job.team}/{event.job_id}"
    if record_id in state.agreed.verdicts_by_record_id:
        reply = Reply(event.call_id, CANCEL_ACCEPTED, status=status)
        return Step(state, (reply,))
    call = PendingJobCall(
        record_id, event.job_id, status.job.team, cancels=True
    )
    return _propose_call(state, event.call_id, call, body, event.at_ms)


def answer_completed_calls(state: State) -> Step:
    """Answer the calls whose records have been read back.

    Args:
      state: State of the entry, after new records were applied.
    Returns:
      A Step with the answers.
    """
    calls = state.entry.job_calls_by_id
    effects = ()
    for call_id, call in sorted(state.entry.job_calls_by_id.items()):
        verdict = state.agreed.verdicts_by_record_id.get(call.record_id)
        if verdict is None:
            continue
        calls = calls.delete(call_id)
        effects += (_build_reply(state.agreed, call_id, call, verdict),)
    if not effects:
        return Step(state)
    entry = replace(state.entry, job_calls_by_id=calls)
    return Step(replace(state, entry=entry), effects)


def expire_call(state: State, event: DeadlinePassed) -> Step:
    """Answer a call whose record was not read back before its deadline.

    Args:
      state: State of the entry.
      event: The passed deadline.
    Returns:
      A Step with the answer; it says that the record may still take effect.
    """
    calls = state.entry.job_calls_by_id
    call = calls.get(event.request_id)
    if call is None:
        return Step(state)
    entry = replace(
        state.entry, job_calls_by_id=calls.delete(event.request_id)
    )
    reply = Reply(event.request_id, JOB_UNCONFIRMED, call.record_id)
    return Step(replace(state, entry=entry), (reply,))


def infeasibility_reason(agreed: Agreed, job: Job) -> str | None:
    """Explain why a job can never run in its pool.

    Args:
      agreed: The replicated state.
      job: The job.
    Returns:
      The reason, or None if an instance of the pool is large enough or the
      pool has no instance yet.
    """
    names = agreed.instance_names_by_pool.get(job.pool)
    if not names:
        return None
    for name in names:
        instance = agreed.placements_by_instance[name].instance
        fits = (
            job.processors <= instance.processors
            and job.memory_mb <= instance.memory_mb
            and job.accelerators <= instance.accelerators
        )
        if fits:
            return None
    return f"no instance of {job.pool} is large enough"


def _identify_caller(state, key: PresentedKey | None, at_ms: int):
    """Find the team of a caller, or refuse the call."""
    if state.phase is not Phase.SERVING:
        return Refused(STOPPING, state.identity.node.name)
    if state.agreed.next_offset == 0:
        return Refused(NOT_READY, "nothing of the log is known yet")
    return identify_team(state, key, at_ms)


def _check_job(state: State, job: Job) -> Refused | None:
    plan = state.agreed.plans_by_team.get(job.team)
    if plan is None or job.pool not in plan.pools:
        return Refused(NOT_ADMITTED, f"{job.team} to {job.pool}")
    if job.team not in state.agreed.limits_by_team:
        return Refused(NO_LIMIT, job.team)
    infeasibility = infeasibility_reason(state.agreed, job)
    if infeasibility is not None:
        return Refused(JOB_IMPOSSIBLE, infeasibility)
    existing = state.agreed.jobs_by_id.get(job.job_id)
    if existing is not None and existing.job.team != job.team:
        return Refused(NOT_ADMITTED, f"job {job.job_id} is another team's")
    return None


def _find_job(
    state: State, event: AskCalled | CancelCalled
) -> JobStatus | Refused:
    """Find a job of the caller's team."""
    job_id = event.job_id
    owner = _identify_caller(state, event.key, event.at_ms)
    if isinstance(owner, Refused):
        return owner
    status = state.agreed.jobs_by_id.get(job_id)
    if status is None or status.job.team != owner.team:
        return Refused(NO_SUCH_JOB, job_id)
    return status


def _propose_call(
    state: State,
    call_id: str,
    call: PendingJobCall,
    body: RecordBody,
    at_ms: int,
) -> Step:
    """Propose a call's record; refuse the call if no steward is connected."""
    if nearest_steward(state) is None:
        return refuse(state, call_id, STEWARD_UNREACHABLE, "no stream open")
    calls = state.entry.job_calls_by_id.set(call_id, call)
    entry = replace(state.entry, job_calls_by_id=calls)
    waiting = replace(state, entry=entry)
    return propose(waiting, call.record_id, body, at_ms)


def _build_reply(
    agreed: Agreed, call_id: str, call: PendingJobCall, verdict: Verdict
) -> Reply:
    """Build the answer to a call from its record's verdict."""
    status = agreed.jobs_by_id.get(call.job_id)
    if status is not None and status.job.team != call.team:
        return Reply(call_id, NOT_ADMITTED, "the id is another team's")
    if verdict in (Verdict.ACCEPTED, Verdict.ALREADY_DONE):
        code = CANCEL_ACCEPTED if call.cancels else JOB_ACCEPTED
    else:
        code = NO_SUCH_JOB if call.cancels else NOT_ADMITTED
    return Reply(call_id, code, verdict.value, status)
