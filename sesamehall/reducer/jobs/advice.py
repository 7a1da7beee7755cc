"""The manager's advice: on which workers a queue's policy allows a step.

Only an external service knows the policy. A request names a step and workers;
the answer names those workers that may run it, with a ticket for each, which
start orders must carry and which is valid for a limited time. The answer for
a worker does not change, so a worker is requested again only if its ticket is
about to expire. Which step is requested next, advice_requests decides.
"""

from sesamehall.core.advicestate import StepAdvice
from sesamehall.core.advicestate import WorkerAdvice
from sesamehall.core.effects import log
from sesamehall.core.jobtiming import TICKET_MARGIN_MS
from sesamehall.core.logevents import ADVICE_APPLIED
from sesamehall.core.logevents import ADVICE_MISSING
from sesamehall.core.managerevents import AdviceGiven
from sesamehall.core.managerevents import AdviceNotGiven
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step
from sesamehall.core.work import TaskPlace
from sesamehall.core.workstate import ActiveJob
from sesamehall.core.workstate import Worker
from sesamehall.reducer.counts import drop_key


def step_name(job: ActiveJob, place: TaskPlace) -> str:
    """Build the name of a task's step within its occurrence.

    Args:
      job: The job.
      place: The task.
    Returns:
      A name that is unique in the fleet.
    """
    return f"{job.plan.job_id}.{place.occurrence}.{place.step}"


def step_job_id(name: str) -> str:
    """Return the job's identifier from the name of a step.

    Args:
      name: Name of the step.
    Returns:
      Identifier of its job.
    """
    return name.partition(".")[0]


def requires_advice(manager: ManagerState, job: ActiveJob) -> bool:
    """Check whether a job's tasks need tickets.

    Args:
      manager: State of a manager.
      job: The job.
    Returns:
      True if its queue has a policy.
    """
    queue = manager.manifest.queues_by_name.get(job.plan.queue)
    return queue is not None and queue.requires_advice


def ticket_for(
    manager: ManagerState, name: str, worker: Worker, at_ms: int
) -> str:
    """Find the ticket with which a step may run on a worker.

    Args:
      manager: State of the leader.
      name: Name of the step.
      worker: The worker.
      at_ms: Current time on the node's clock.
    Returns:
      The ticket, or "" if there is none that is valid long enough.
    """
    advice = _find_advice(manager, name, worker)
    if advice is None or not _is_valid(advice, at_ms):
        return ""
    return advice.ticket


def _find_advice(manager, name, worker):
    """Find the service's answer for the current incarnation of a worker."""
    step_advice = manager.advice.advice_by_step.get(name)
    if step_advice is None:
        return None
    advice = step_advice.advice_by_worker_id.get(worker.entry.worker_id)
    if (
        advice is None
        or advice.started_wall_ms != worker.entry.started_wall_ms
    ):
        return None
    return advice


def _is_valid(advice, at_ms):
    return at_ms < advice.expires_ms - TICKET_MARGIN_MS


def needs_advice(
    manager: ManagerState, name: str, worker: Worker, at_ms: int
) -> bool:
    """Check whether a request for a worker could bring a step a ticket.

    Args:
      manager: State of the leader.
      name: Name of the step.
      worker: The worker.
      at_ms: Current time on the node's clock.
    Returns:
      False if the step has a valid ticket or must not run on the worker.
    """
    advice = _find_advice(manager, name, worker)
    if advice is None:
        return True
    return bool(advice.ticket) and not _is_valid(advice, at_ms)


def is_known_to_be_allowed(
    manager: ManagerState, name: str, worker: Worker
) -> bool:
    """Check whether a worker was given a ticket before, valid or not.

    Args:
      manager: State of the leader.
      name: Name of the step.
      worker: The worker.
    Returns:
      True if the step may run on the worker.
    """
    advice = _find_advice(manager, name, worker)
    return advice is not None and bool(advice.ticket)


def record_request(
    manager: ManagerState, name: str, team: str, at_ms: int
) -> ManagerState:
    """Record that advice is requested for a step.

    Args:
      manager: State of the leader.
      name: Name of the step.
      team: Team of its job.
      at_ms: Current time on the node's clock.
    Returns:
      The state with the request in flight.
    """
    advice = manager.advice
    step_advice = advice.advice_by_step.get(name, StepAdvice())
    step_advice = replace(step_advice, requested_ms=at_ms)
    advice = replace(
        advice,
        in_flight_step=name,
        request_count=advice.request_count + 1,
        advice_by_step=advice.advice_by_step.set(name, step_advice),
        requested_ms_by_team=advice.requested_ms_by_team.set(team, at_ms),
    )
    return replace(manager, advice=advice)


def apply_advice(manager: ManagerState, event: AdviceGiven) -> Step:
    """Store the tickets that the service has issued or denied.

    Args:
      manager: State of a manager.
      event: The answer.
    Returns:
      A Step with a log line, or without effects if the answer is not awaited.
    """
    if manager.advice.in_flight_step != event.step:
        return Step(manager)
    line = log(
        ADVICE_APPLIED,
        step=event.step,
        asked=len(event.worker_ids),
        good=len(event.tickets),
        took_ms=event.at_ms - event.sent_ms,
    )
    manager = _end_request(manager)
    step_advice = manager.advice.advice_by_step.get(event.step)
    if step_advice is None:
        return Step(manager, (line,))  # the job has ended meanwhile
    step_advice = replace(
        step_advice,
        failures=0,
        advice_by_worker_id=_with_answers(manager, step_advice, event),
    )
    return Step(_put_step_advice(manager, event.step, step_advice), (line,))


def _with_answers(manager, step_advice, event):
    """Add the service's answers to what is known about a step."""
    advice_by_worker_id = step_advice.advice_by_worker_id
    ticket_by_worker_id = dict(event.tickets)
    for worker_id in event.worker_ids:
        worker = manager.workers_by_id.get(worker_id)
        if worker is None:
            continue
        advice = WorkerAdvice(
            ticket_by_worker_id.get(worker_id, ""),
            worker.entry.started_wall_ms,
            event.sent_ms + event.valid_ms,
        )
        advice_by_worker_id = advice_by_worker_id.set(worker_id, advice)
    return advice_by_worker_id


def handle_missing_advice(
    manager: ManagerState, event: AdviceNotGiven
) -> Step:
    """Count a request that the service did not answer.

    Args:
      manager: State of a manager.
      event: The failure.
    Returns:
      A Step with a log line, or without effects if no answer is awaited.
    """
    if manager.advice.in_flight_step != event.step:
        return Step(manager)
    line = log(ADVICE_MISSING, step=event.step, reason=event.reason)
    manager = _end_request(manager)
    step_advice = manager.advice.advice_by_step.get(event.step)
    if step_advice is None:
        return Step(manager, (line,))  # the job has ended meanwhile
    step_advice = replace(step_advice, failures=step_advice.failures + 1)
    return Step(_put_step_advice(manager, event.step, step_advice), (line,))


def drop_ticket(
    manager: ManagerState, name: str, worker_id: str
) -> ManagerState:
    """Drop a ticket that a worker has rejected.

    Args:
      manager: State of the leader.
      name: Name of the step.
      worker_id: The worker.
    Returns:
      The state.
    """
    step_advice = manager.advice.advice_by_step.get(name)
    if step_advice is None:
        return manager
    advice_by_worker_id = drop_key(step_advice.advice_by_worker_id, worker_id)
    step_advice = replace(step_advice, advice_by_worker_id=advice_by_worker_id)
    return _put_step_advice(manager, name, step_advice)


def drop_job_tickets(manager: ManagerState, job_id: str) -> ManagerState:
    """Drop the tickets of a job that has ended.

    Args:
      manager: State of the leader.
      job_id: Identifier of the job.
    Returns:
      The state.
    """
    advice = manager.advice
    kept = advice.advice_by_step
    for name in advice.advice_by_step:
        if step_job_id(name) == job_id:
            kept = kept.delete(name)
    return replace(manager, advice=replace(advice, advice_by_step=kept))


def _end_request(manager):
    advice = replace(manager.advice, in_flight_step="")
    return replace(manager, advice=advice)


def _put_step_advice(manager, name, step_advice):
    advice = manager.advice
    by_step = advice.advice_by_step.set(name, step_advice)
    return replace(manager, advice=replace(advice, advice_by_step=by_step))
