"""Advice: on which workers a queue's policy lets a step run.

Only an outside service knows the policy.  It names, of the workers that it
is asked about, those that may run a step, and gives a ticket for each, which
orders to start must carry for a while.  What it has said of a worker does not
change, so a worker is asked about again only when its ticket is about to run
out.  The service answers a node one call at a time.
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
from sesamehall.core.workstate import Ticket
from sesamehall.core.workstate import Worker
from sesamehall.reducer.counts import drop_key

MAX_WORKERS_PER_REQUEST = (
    30  # workers of one call; each makes the answer later
)


def step_name(job: ActiveJob, place: TaskPlace) -> str:
    """Name the step of an occurrence that a task belongs to.

    Args:
      job: The job.
      place: The task.
    Returns:
      An identifier unique over the fleet.
    """
    return f"{job.plan.job_id}.{place.occurrence}.{place.step}"


def requires_advice(manager: ManagerState, job: ActiveJob) -> bool:
    """Tell whether a job's tasks need tickets.

    Args:
      manager: State of a manager.
      job: The job.
    Returns:
      True where its queue has a policy of its own.
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
      at_ms: The node's clock.
    Returns:
      The ticket, or "" where there is none that is valid long enough.
    """
    ticket = _ticket(manager, name, worker)
    if ticket is None or at_ms >= ticket.expires_ms - TICKET_MARGIN_MS:
        return ""
    return ticket.text


def _ticket(manager, name, worker):
    """Find what the service has said of a worker in its present life."""
    tickets = manager.tickets_by_step.get(name, EMPTY_MAP)
    ticket = tickets.get(worker.entry.worker_id)
    if (
        ticket is None
        or ticket.started_wall_ms != worker.entry.started_wall_ms
    ):
        return None
    return ticket


def request_advice(
    manager: ManagerState,
    jobs: list[ActiveJob],
    workers: list[Worker],
    at_ms: int,
) -> Step:
    """Ask for the first step that waits and may run somewhere unknown yet.

    Args:
      manager: State of the leader.
      jobs: Jobs with waiting tasks, the most pressing first.
      workers: Workers that take new tasks.
      at_ms: The node's clock.
    Returns:
      A Step; nothing while a call is under way.
    """
    if manager.advice_in_flight_step:
        return Step(manager)
    for job in jobs:
        for place in job.waiting:
            step = job.plan.steps[place.step]
            name = step_name(job, place)
            asked = [
                worker.entry.worker_id
                for worker in workers
                if _needs_advice(manager, name, step, worker, at_ms)
            ]
            if asked:
                effect = RequestAdvice(
                    name, tuple(asked[:MAX_WORKERS_PER_REQUEST])
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
    ticket = _ticket(manager, name, worker)
    if ticket is None:
        return True
    may_run = bool(ticket.text)
    return may_run and not ticket_for(manager, name, worker, at_ms)


def apply_advice(manager: ManagerState, event: AdviceGiven) -> Step:
    """Keep what the service has said.

    Args:
      manager: State of a manager.
      event: The answer.
    Returns:
      A Step.
    """
    if manager.advice_in_flight_step != event.step:
        return Step(manager)
    tickets = manager.tickets_by_step.get(event.step, EMPTY_MAP)
    text_by_worker = dict(event.tickets)
    for worker_id in event.worker_ids:
        worker = manager.workers_by_id.get(worker_id)
        if worker is not None:
            text = text_by_worker.get(worker_id, "")
            until_ms = event.sent_ms + event.valid_ms
            ticket = Ticket(text, worker.entry.started_wall_ms, until_ms)
            tickets = tickets.set(worker_id, ticket)
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
        tickets_by_step=manager.tickets_by_step.set(event.step, tickets),
    )
    return Step(manager, (line,))


def handle_missing_advice(
    manager: ManagerState, event: AdviceNotGiven
) -> Step:
    """Bear that the service gave no answer; the next round asks again.

    Args:
      manager: State of a manager.
      event: Why.
    Returns:
      A Step.
    """
    if manager.advice_in_flight_step != event.step:
        return Step(manager)
    line = log(ADVICE_MISSING, step=event.step, reason=event.reason)
    return Step(replace(manager, advice_in_flight_step=""), (line,))


def drop_ticket(manager: ManagerState, name: str, worker_id: str):
    """Forget a ticket that a worker did not take.

    Args:
      manager: State of the leader.
      name: Name of the step.
      worker_id: The worker.
    Returns:
      The state.
    """
    tickets = manager.tickets_by_step.get(name, EMPTY_MAP)
    if worker_id not in tickets:
        return manager
    steps = manager.tickets_by_step.set(name, tickets.delete(worker_id))
    return replace(manager, tickets_by_step=steps)


def drop_job_tickets(manager: ManagerState, job_id: str) -> ManagerState:
    """Forget the tickets of a job that has ended.

    Args:
      manager: State of the leader.
      job_id: Identifier of the job.
    Returns:
      The state.
    """
    steps: Map = manager.tickets_by_step
    for name in manager.tickets_by_step:
        if name.startswith(job_id):
            steps = drop_key(steps, name)
    return replace(manager, tickets_by_step=steps)
