"""The manager's advice: on which workers a queue's policy allows a step.

Only an external service knows the policy. A request names a step and workers;
the answer names those workers that may run it, with a ticket for each, which
start orders must carry and which is valid for a limited time. The answer for
a worker does not change, so a worker is requested again only if its ticket is
about to expire. The service answers one request of a node at a time.
"""

from immutables import Map

from sesamehall.core.data import EMPTY_MAP
from sesamehall.core.effects import log
from sesamehall.core.jobtiming import TICKET_MARGIN_MS
from sesamehall.core.logevents import ADVICE_APPLIED
from sesamehall.core.logevents import ADVICE_MISSING
from sesamehall.core.managereffects import RequestAdvice
from sesamehall.core.managerevents import AdviceGiven
from sesamehall.core.managerevents import AdviceNotGiven
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step
from sesamehall.core.work import fits
from sesamehall.core.work import StepPlan
from sesamehall.core.work import TaskPlace
from sesamehall.core.workstate import ActiveJob
from sesamehall.core.workstate import Worker
from sesamehall.core.workstate import WorkerAdvice
from sesamehall.reducer.counts import drop_key

MAX_WORKERS_PER_REQUEST = 30  # each worker delays the answer


def step_name(job: ActiveJob, place: TaskPlace) -> str:
    """Build the name of a task's step within its occurrence.

    Args:
      job: The job.
      place: The task.
    Returns:
      A name that is unique in the fleet.
    """
    return f"{job.plan.job_id}.{place.occurrence}.{place.step}"


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
    if advice is None or at_ms >= advice.expires_ms - TICKET_MARGIN_MS:
        return ""
    return advice.ticket


def _find_advice(manager, name, worker):
    """Find the service's answer for the current incarnation of a worker."""
    advice_by_worker = manager.advice_by_step.get(name, EMPTY_MAP)
    advice = advice_by_worker.get(worker.entry.worker_id)
    if (
        advice is None
        or advice.started_wall_ms != worker.entry.started_wall_ms
    ):
        return None
    return advice


def request_advice(
    manager: ManagerState,
    jobs: list[ActiveJob],
    workers: list[Worker],
    at_ms: int,
) -> Step:
    """Request advice for the first waiting step that lacks it for a worker.

    Args:
      manager: State of the leader.
      jobs: Jobs with waiting tasks, highest rank first.
      workers: Workers that are available for new tasks.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with the request, or without effects if there is no such step or
      a request is in flight.
    """
    if manager.advice_in_flight_step:
        return Step(manager)
    for job in jobs:
        for place in job.waiting:
            step = job.plan.steps[place.step]
            name = step_name(job, place)
            worker_ids = [
                worker.entry.worker_id
                for worker in workers
                if _needs_advice(manager, name, step, worker, at_ms)
            ]
            if worker_ids:
                effect = RequestAdvice(
                    name, tuple(worker_ids[:MAX_WORKERS_PER_REQUEST])
                )
                return Step(
                    replace(manager, advice_in_flight_step=name), (effect,)
                )
    return Step(manager)


def _needs_advice(manager, name, step: StepPlan, worker: Worker, at_ms):
    if step.required_label and step.required_label not in worker.entry.labels:
        return False
    if not fits(step.size, worker.entry.capacity):
        return False
    advice = _find_advice(manager, name, worker)
    if advice is None:
        return True
    may_run = bool(advice.ticket)
    return may_run and not ticket_for(manager, name, worker, at_ms)


def apply_advice(manager: ManagerState, event: AdviceGiven) -> Step:
    """Store the tickets that the service has issued or denied.

    Args:
      manager: State of a manager.
      event: The answer.
    Returns:
      A Step with a log line, or without effects if the answer is not awaited.
    """
    if manager.advice_in_flight_step != event.step:
        return Step(manager)
    advice_by_worker = manager.advice_by_step.get(event.step, EMPTY_MAP)
    text_by_worker = dict(event.tickets)
    for worker_id in event.worker_ids:
        worker = manager.workers_by_id.get(worker_id)
        if worker is not None:
            ticket = text_by_worker.get(worker_id, "")
            expires_ms = event.sent_ms + event.valid_ms
            advice = WorkerAdvice(
                ticket, worker.entry.started_wall_ms, expires_ms
            )
            advice_by_worker = advice_by_worker.set(worker_id, advice)
    line = log(
        ADVICE_APPLIED,
        step=event.step,
        asked=len(event.worker_ids),
        good=len(text_by_worker),
        took_ms=event.at_ms - event.sent_ms,
    )
    manager = replace(
        manager,
        advice_in_flight_step="",
        advice_by_step=manager.advice_by_step.set(
            event.step, advice_by_worker
        ),
    )
    return Step(manager, (line,))


def handle_missing_advice(
    manager: ManagerState, event: AdviceNotGiven
) -> Step:
    """Log that the service gave no answer.

    The next placement round requests the advice again.

    Args:
      manager: State of a manager.
      event: The failure.
    Returns:
      A Step with a log line, or without effects if no answer is awaited.
    """
    if manager.advice_in_flight_step != event.step:
        return Step(manager)
    line = log(ADVICE_MISSING, step=event.step, reason=event.reason)
    return Step(replace(manager, advice_in_flight_step=""), (line,))


def drop_ticket(manager: ManagerState, name: str, worker_id: str):
    """Drop a ticket that a worker has rejected.

    Args:
      manager: State of the leader.
      name: Name of the step.
      worker_id: The worker.
    Returns:
      The state.
    """
    advice_by_worker = manager.advice_by_step.get(name, EMPTY_MAP)
    if worker_id not in advice_by_worker:
        return manager
    steps = manager.advice_by_step.set(
        name, advice_by_worker.delete(worker_id)
    )
    return replace(manager, advice_by_step=steps)


def drop_job_tickets(manager: ManagerState, job_id: str) -> ManagerState:
    """Drop the tickets of a job that has ended.

    Args:
      manager: State of the leader.
      job_id: Identifier of the job.
    Returns:
      The state.
    """
    steps: Map = manager.advice_by_step
    for name in manager.advice_by_step:
        if name.startswith(job_id):
            steps = drop_key(steps, name)
    return replace(manager, advice_by_step=steps)
