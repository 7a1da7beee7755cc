"""The steward's placement of jobs on workers, and leases of their tasks."""

from dataclasses import dataclass
from fractions import Fraction

from sesamehall.core.agreement import Agreed
from sesamehall.core.agreement import Placement
from sesamehall.core.data import Job
from sesamehall.core.data import JobPhase
from sesamehall.core.data import JobStatus
from sesamehall.core.data import NodeKind
from sesamehall.core.data import TargetKind
from sesamehall.core.effects import log
from sesamehall.core.effects import RunTask
from sesamehall.core.effects import SetTimer
from sesamehall.core.effects import StopTask
from sesamehall.core.events import TaskEnded
from sesamehall.core.events import TaskRunning
from sesamehall.core.events import TaskSilent
from sesamehall.core.events import TaskUnknown
from sesamehall.core.events import WorkerAnswered
from sesamehall.core.limits import CLOCK_DRIFT_PERCENT
from sesamehall.core.limits import FINAL_CALL_TIMEOUT_MS
from sesamehall.core.limits import TASK_LEASE_MS
from sesamehall.core.limits import TASK_RENEWAL_MS
from sesamehall.core.logevents import JOB_DEFERRED
from sesamehall.core.logevents import JOB_ENDED
from sesamehall.core.logevents import JOB_PLACED
from sesamehall.core.messages import UnitsAsked
from sesamehall.core.records import JobEnded
from sesamehall.core.records import JobPlaced
from sesamehall.core.replacing import replace
from sesamehall.core.state import State
from sesamehall.core.state import TaskWatch
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.core.timers import TaskTimer
from sesamehall.reducer.accounts import account_places
from sesamehall.reducer.accounts import account_units
from sesamehall.reducer.broadcast import send_all
from sesamehall.reducer.counts import drop_key
from sesamehall.reducer.jobcalls import infeasibility_reason
from sesamehall.reducer.role import holds_role
from sesamehall.reducer.role import propose_fenced
from sesamehall.reducer.units import units_for

WORKER_SILENT = "worker silent"  # detail of a job that is given up
TASK_LEASE_EXPIRY_MS = TASK_LEASE_MS * (100 + CLOCK_DRIFT_PERCENT) // 100


@dataclass(frozen=True, slots=True)
class FreeCapacity:
    """Free capacity of a worker.

    Attributes:
      processors: Processor cores not reserved by its jobs.
      memory_mb: Memory not reserved by its jobs, in MiB.
      accelerators: Accelerators not reserved by its jobs.
    """

    processors: int
    memory_mb: int
    accelerators: int


def place_jobs(state: State, at_ms: int) -> Step:
    """Propose a worker for every waiting job that fits on one.

    Args:
      state: State of the steward that holds the role.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with the placements, the ends of jobs that can never run, and
      requests to entries for units that a team lacks.
    """
    step = Step(state)
    for status in _rank_waiting_jobs(state.agreed):
        step = then(step, _place_or_defer, status, at_ms)
    return step


def watch_tasks(state: State, at_ms: int) -> Step:
    """Start to watch the tasks of placed jobs that are not watched yet.

    Args:
      state: State of the steward that holds the role.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with the first call to the worker of each.
    """
    step = Step(state)
    for _, job_ids in sorted(state.agreed.job_ids_by_worker.items()):
        for job_id in job_ids:
            if job_id not in state.steward.tasks_by_job_id:
                step = then(step, _call_worker, job_id, at_ms, at_ms)
    return step


def renew_task(state: State, job_id: str, at_ms: int) -> Step:
    """Renew a task's lease, or end its job if its worker no longer answers.

    The job fails only when the lease has expired on the worker's clock too,
    which may run slower by CLOCK_DRIFT_PERCENT.  The worker is called a last
    time before: if this node was paused, the worker has not been asked, and
    the task may have completed in time.

    Args:
      state: State of the steward.
      job_id: Identifier of the job.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with a call to the worker, a timer or the end of the job.
    """
    watch = state.steward.tasks_by_job_id.get(job_id)
    if watch is None:
        return Step(state)
    status = state.agreed.jobs_by_id.get(job_id)
    running = status is not None and status.phase is JobPhase.RUNNING
    if not holds_role(state) or not running:
        return Step(_drop_watch(state, job_id))
    if watch.final_call_ms >= 0:
        return _end_job(state, status, JobPhase.FAILED, WORKER_SILENT, at_ms)
    if at_ms - watch.last_answer_ms < TASK_LEASE_MS:
        return _call_worker(state, job_id, watch.last_answer_ms, at_ms)
    lease_expires_ms = watch.last_renewal_ms + TASK_LEASE_EXPIRY_MS
    if at_ms < lease_expires_ms:
        return Step(state, (SetTimer(TaskTimer(job_id), lease_expires_ms),))
    return _call_finally(state, job_id, watch, at_ms)


def receive_worker_answer(state: State, event: WorkerAnswered) -> Step:
    """Handle a worker's answer about a task.

    Args:
      state: State of the steward.
      event: The answer.
    Returns:
      A Step with the end of the job or the timer of the next renewal.
    """
    watch = state.steward.tasks_by_job_id.get(event.job_id)
    status = state.agreed.jobs_by_id.get(event.job_id)
    if watch is None or status is None:
        return Step(state)
    at_ms = event.at_ms
    timer = SetTimer(TaskTimer(event.job_id), at_ms + TASK_RENEWAL_MS)
    match event.outcome:
        case TaskRunning():
            watch = replace(watch, last_answer_ms=at_ms)
            return Step(_put_watch(state, event.job_id, watch), (timer,))
        case TaskSilent() if watch.final_call_ms >= 0:
            return _end_job(
                state, status, JobPhase.FAILED, WORKER_SILENT, at_ms
            )
        case TaskSilent():
            return Step(state, (timer,))
        case TaskEnded(succeeded, detail):
            phase = JobPhase.DONE if succeeded else JobPhase.FAILED
            if status.cancel_requested and not succeeded:
                phase = JobPhase.CANCELLED
            return _end_job(state, status, phase, detail, at_ms)
        case TaskUnknown():
            return _end_job(
                state, status, JobPhase.FAILED, "worker restarted", at_ms
            )


def _rank_waiting_jobs(agreed: Agreed) -> list[JobStatus]:
    """Rank the waiting jobs: urgent first, then by running jobs per share."""

    def rank(status):
        job = status.job
        limit = agreed.limits_by_team.get(job.team)
        share = 1 if limit is None else limit.share
        running = agreed.running_jobs_by_team.get(job.team, 0)
        return (not job.urgent, Fraction(running, share), job.job_id)

    waiting = (agreed.jobs_by_id[name] for name in agreed.waiting_job_ids)
    return sorted(waiting, key=rank)


def _place_or_defer(state: State, status: JobStatus, at_ms: int) -> Step:
    """Place a job, end it if it can never run, or defer it."""
    job = status.job
    infeasibility = infeasibility_reason(state.agreed, job)
    if infeasibility is not None:
        return _end_job(
            state, status, JobPhase.IMPOSSIBLE, infeasibility, at_ms
        )
    running = state.agreed.running_jobs_by_team.get(job.team, 0)
    if running >= account_places(state.agreed, job.team):
        return _request_units(state, job.team, running)
    placement = _choose_worker(state, job)
    if placement is None:
        line = log(
            JOB_DEFERRED,
            job=job.job_id,
            reason="no worker has enough free capacity",
        )
        return Step(state, (line,))
    instance = placement.instance
    body = JobPlaced(
        epoch=state.agreed.role.epoch,
        job_id=job.job_id,
        worker=instance.name,
        boot=instance.boot,
    )
    purpose = f"place/{job.job_id}/{state.agreed.next_offset}"
    if _has_pending_placement(state, job.job_id):
        return Step(state)
    line = log(JOB_PLACED, job=job.job_id, team=job.team, worker=instance.name)
    step = propose_fenced(state, purpose, body, at_ms)
    return Step(step.state, step.effects + (line,))


def _has_pending_placement(state, job_id):
    return any(
        isinstance(record.body, JobPlaced) and record.body.job_id == job_id
        for record in state.proposals_by_record_id.values()
    )


def _choose_worker(state: State, job: Job) -> Placement | None:
    """Choose the worker with the most free processors, then the first name."""
    best = None
    best_rank = None
    for name in state.agreed.instance_names_by_pool.get(job.pool, ()):
        placement = state.agreed.placements_by_instance[name]
        instance = state.steward.instances_by_name.get(name)
        if instance is None or instance.leaving or placement.move:
            continue
        if instance.kind is not TargetKind.WORKER:
            continue
        free = _free_capacity(state, placement)
        if not _fits(job, free):
            continue
        rank = (-free.processors, name)
        if best_rank is None or rank < best_rank:
            best = replace(placement, instance=instance)
            best_rank = rank
    return best


def _free_capacity(state: State, placement: Placement) -> FreeCapacity:
    """Compute the capacity that placed and proposed jobs leave on a worker."""
    instance = placement.instance
    job_ids = state.agreed.job_ids_by_worker.get(instance.name, ())
    jobs = [state.agreed.jobs_by_id[job_id].job for job_id in job_ids]
    for record in state.proposals_by_record_id.values():
        body = record.body
        if isinstance(body, JobPlaced) and body.worker == instance.name:
            jobs.append(state.agreed.jobs_by_id[body.job_id].job)
    return FreeCapacity(
        instance.processors - sum(job.processors for job in jobs),
        instance.memory_mb - sum(job.memory_mb for job in jobs),
        instance.accelerators - sum(job.accelerators for job in jobs),
    )


def _fits(job: Job, free: FreeCapacity) -> bool:
    return (
        job.processors <= free.processors
        and job.memory_mb <= free.memory_mb
        and job.accelerators <= free.accelerators
    )


def _request_units(state: State, team: str, running: int) -> Step:
    """Request units for one more job of a team from the entries."""
    limit = state.agreed.limits_by_team.get(team)
    if limit is None or running >= limit.ceiling:
        return Step(state)
    units_held = account_units(state.agreed, team)
    units = units_for(running + 1, limit.ceiling) - units_held
    request = UnitsAsked(team, units, units_held, for_account=True)
    return Step(state, send_all(state, NodeKind.ENTRY, request))


def _call_worker(state, job_id, last_answer_ms, at_ms):
    """Call a worker to start a task, renew its lease or stop it."""
    status = state.agreed.jobs_by_id[job_id]
    placement = state.agreed.placements_by_instance[status.worker]
    address = placement.instance.address
    epoch = state.agreed.role.epoch
    watched = _put_watch(state, job_id, TaskWatch(last_answer_ms, at_ms))
    if status.cancel_requested:
        return Step(watched, (StopTask(job_id, address, epoch),))
    effect = RunTask(
        job_id=job_id,
        address=address,
        epoch=epoch,
        lease_ms=TASK_LEASE_MS,
        boot=status.boot,
        command=status.job.command,
    )
    return Step(watched, (effect,))


def _call_finally(state, job_id, watch, at_ms):
    """Ask a worker a last time how a task ended whose lease has expired.

    The order to stop says so too, and cannot start the task.
    """
    status = state.agreed.jobs_by_id[job_id]
    placement = state.agreed.placements_by_instance[status.worker]
    order = StopTask(
        job_id, placement.instance.address, state.agreed.role.epoch
    )
    timer = SetTimer(TaskTimer(job_id), at_ms + FINAL_CALL_TIMEOUT_MS)
    watch = replace(watch, final_call_ms=at_ms)
    return Step(_put_watch(state, job_id, watch), (order, timer))


def _end_job(state, status, phase, detail, at_ms):
    """Propose the end of a job."""
    job = status.job
    body = JobEnded(state.agreed.role.epoch, job.job_id, phase, detail)
    line = log(JOB_ENDED, job=job.job_id, phase=phase.value, detail=detail)
    purpose = f"end/{job.job_id}"
    step = propose_fenced(state, purpose, body, at_ms)
    return Step(step.state, step.effects + (line,))


def _put_watch(state, job_id, watch):
    tasks = state.steward.tasks_by_job_id.set(job_id, watch)
    steward = replace(state.steward, tasks_by_job_id=tasks)
    return replace(state, steward=steward)


def _drop_watch(state, job_id):
    tasks = drop_key(state.steward.tasks_by_job_id, job_id)
    steward = replace(state.steward, tasks_by_job_id=tasks)
    return replace(state, steward=steward)
