"""The leader's term: claim, heartbeat, stored progress, and its end."""

from sesamehall.core.data import EMPTY_MAP
from sesamehall.core.data import JobPhase
from sesamehall.core.data import TERMINAL_PHASES
from sesamehall.core.effects import log
from sesamehall.core.effects import SetTimer
from sesamehall.core.fleet import Leader
from sesamehall.core.fleet import LeasedWorker
from sesamehall.core.fleet import OrderedMachines
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import WaveRecord
from sesamehall.core.fleet import WorkerEntry
from sesamehall.core.jobtiming import CLAIM_SPREAD_MS
from sesamehall.core.jobtiming import COMMIT_PERIOD_MS
from sesamehall.core.jobtiming import HEARTBEAT_MS
from sesamehall.core.jobtiming import LEADER_SILENT_MS
from sesamehall.core.jobtiming import LEASE_MS
from sesamehall.core.jobtiming import RENEW_CONFIRMED_MS
from sesamehall.core.logevents import JOB_CANCEL_SEEN
from sesamehall.core.logevents import JOB_SEEN
from sesamehall.core.logevents import RECORDS_UNSTORED
from sesamehall.core.logevents import TERM_BEGUN
from sesamehall.core.logevents import TERM_CLAIMED
from sesamehall.core.logevents import TERM_ENDED
from sesamehall.core.managereffects import ForgetWorker
from sesamehall.core.managereffects import StoreProgress
from sesamehall.core.managerevents import ProgressStored
from sesamehall.core.managerevents import StoreOutcome
from sesamehall.core.managerstate import FleetState
from sesamehall.core.managerstate import Following
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.managerstate import Term
from sesamehall.core.managerstate import Worker
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.core.timers import DueTimer
from sesamehall.core.work import JobPlan
from sesamehall.core.work import Progress
from sesamehall.reducer.jobs.arrivals import note_arrival
from sesamehall.reducer.jobs.bookkeeping import let_wait
from sesamehall.reducer.jobs.bookkeeping import pool_of
from sesamehall.reducer.jobs.bookkeeping import put_work
from sesamehall.reducer.jobs.bookkeeping import put_worker
from sesamehall.reducer.jobs.progress import begin_work
from sesamehall.reducer.jobs.progress import is_task_done
from sesamehall.reducer.jobs.progress import plan_work
from sesamehall.reducer.jobs.progress import startable
from sesamehall.reducer.jobs.runs import end_job
from sesamehall.reducer.jobs.runs import forget_ended
from sesamehall.reducer.jobs.runs import place_soon
from sesamehall.reducer.jobs.workers import watch_worker

LEADER_KEY = "leader"
WORKER_KEY_PREFIX = "worker/"
MEAN_OVER_JOBS = 50  # a queue's mean job is learnt over so many
WAVE_KEY_PREFIX = "wave/"
ORDERS_KEY = "machines"


def consider_claim(manager: ManagerState, at_ms: int) -> Step:
    """Claim the role when its holder writes no more.

    Args:
      manager: State of a manager.
      at_ms: The node's clock.
    Returns:
      A Step with the claim, or without effects.
    """
    term = manager.term
    if term.epoch or term.claiming or manager.stopping:
        return Step(manager)
    if manager.jobs.next_offset < 0 or not _is_vacant(manager):
        return Step(manager)
    previous = 0 if manager.leader is None else manager.leader.epoch
    epoch = previous + 1
    leader = Leader(manager.name, epoch)
    claim = StoreProgress(
        epoch=epoch,
        records=(StoredRecord(LEADER_KEY, leader),),
        at_offset=manager.progress.next_offset,
    )
    line = log(
        TERM_CLAIMED,
        epoch=epoch,
        silent_ms=manager.progress.fresh_ms - manager.progress.grown_ms,
        offset=manager.progress.next_offset,
    )
    claiming = replace(term, claiming=epoch)
    return Step(replace(manager, term=claiming), (line, claim))


def _is_vacant(manager: ManagerState) -> bool:
    """Tell whether the role's holder has certainly stopped starting tasks."""
    progress = manager.progress
    if progress.next_offset < 0 or progress.fresh_ms < 0:
        return False
    silent_ms = progress.fresh_ms - progress.grown_ms
    spread_ms = manager.rank % CLAIM_SPREAD_MS
    leader = manager.leader
    if leader is None or leader.resigned:
        return silent_ms >= spread_ms
    if leader.node == manager.name:
        return True  # an earlier start of this process held it
    return silent_ms >= LEADER_SILENT_MS + spread_ms


def take_stored(manager: ManagerState, event: ProgressStored) -> Step:
    """Take in what became of the leader's records, or of a claim.

    Args:
      manager: State of a manager.
      event: What became of them.
    Returns:
      A Step.
    """
    term = manager.term
    if term.claiming == event.epoch:
        return _take_claim(manager, event)
    if term.epoch != event.epoch:
        return Step(manager)
    match event.outcome:
        case StoreOutcome.STORED:
            return _take_confirmed(manager, event)
        case StoreOutcome.FENCED:
            return end_term(manager, "fenced in the log", event.at_ms)
    line = log(RECORDS_UNSTORED, outcome=event.outcome.value)
    dirty_jobs = manager.dirty_jobs
    for progress in term.written_jobs:
        dirty_jobs = dirty_jobs.set(progress.job_id, True)
    dirty_workers = manager.dirty_workers
    for leased in term.written_workers:
        dirty_workers = dirty_workers.set(leased.worker_id, True)
    dirty_waves = manager.dirty_waves
    for number in term.written_waves:
        dirty_waves = dirty_waves.set(number, True)
    manager = replace(
        manager,
        term=replace(
            term,
            storing=False,
            written_jobs=(),
            written_workers=(),
            written_waves=(),
        ),
        dirty_jobs=dirty_jobs,
        dirty_workers=dirty_workers,
        dirty_waves=dirty_waves,
        fleet=replace(
            manager.fleet,
            unstored=manager.fleet.unstored or bool(term.written_machines),
        ),
    )
    return Step(manager, (line,))


def _take_claim(manager, event):
    """Begin the term whose claim was stored, or follow another leader."""
    manager = replace(manager, term=Term())
    if event.outcome is StoreOutcome.STORED:
        return _begin_term(manager, event)
    return Step(manager)


def _begin_term(manager: ManagerState, event: ProgressStored) -> Step:
    """Take over all jobs and workers."""
    at_ms = event.at_ms
    line = log(
        TERM_BEGUN,
        epoch=event.epoch,
        jobs=len(manager.plans_by_id),
        workers=len(manager.leased_by_id),
    )
    gone = manager.leader is not None and (
        manager.leader.resigned or manager.leader.node == manager.name
    )
    manager = replace(
        manager,
        term=Term(
            epoch=event.epoch, began_ms=at_ms, confirmed_ms=event.asked_ms
        ),
        leader=Leader(manager.name, event.epoch),
        jobs_known=False,
        workers=Following(),
        fleet=_new_fleet(manager),
    )
    step = Step(manager, (line,))
    for job_id in sorted(manager.plans_by_id):
        step = then(step, begin_job, job_id, True, at_ms)
    lease_end_ms = at_ms + LEASE_MS * 103 // 100
    if not gone:
        lease_end_ms += RENEW_CONFIRMED_MS - LEADER_SILENT_MS
    for _, leased in sorted(manager.leased_by_id.items()):
        step = then(step, _inherit_worker, leased, lease_end_ms, at_ms)
    return step


def _new_fleet(manager):
    """Keep the waves, and what an earlier term may have in hand."""
    return FleetState(
        waves_by_number=manager.fleet.waves_by_number,
        inherited=manager.ordered_machines,
    )


def _inherit_worker(manager, leased, lease_end_ms, at_ms):
    """Take over a worker on which runs of earlier leaders may be."""
    entry = WorkerEntry(
        worker_id=leased.worker_id,
        address=leased.address,
        pool=leased.pool,
        data_centre="",
        born_ms=leased.born_ms,
    )
    worker = Worker(
        entry,
        listed=False,
        leased=True,
        lease_end_ms=lease_end_ms,
        ended=leased.ended,
        ended_stored=leased.ended,
    )
    return watch_worker(put_worker(manager, worker), leased.worker_id, at_ms)


def begin_job(
    manager: ManagerState, job_id: str, inherited: bool, at_ms: int
) -> Step:
    """Begin to work on a job, or end it when it is to be stopped.

    Args:
      manager: State of the leader.
      job_id: Identifier of a job whose plan is known.
      inherited: Whether an earlier leader may have started tasks of it.
      at_ms: The node's clock.
    Returns:
      A Step; nothing for a job that has ended.
    """
    phase = manager.phase_by_job_id.get(job_id, JobPhase.WAITING)
    if phase in TERMINAL_PHASES or job_id in manager.works_by_id:
        return Step(manager)
    plan = manager.plans_by_id[job_id]
    queue = None
    if manager.manifest is not None:
        queue = manager.manifest.queues_by_name.get(plan.queue)
    progress = manager.progress_by_id.get(job_id, Progress(job_id))
    wall_ms = at_ms + manager.wall_offset_ms
    work = begin_work(plan, progress, queue, at_ms, wall_ms, inherited)
    manager = put_work(manager, work)
    if not plan.steps[0].lasting:
        manager = _learn_work(manager, plan)
        manager = note_arrival(manager, plan.queue, at_ms)
    line = log(
        JOB_SEEN,
        job=job_id,
        queue=plan.queue,
        team=plan.team,
        tasks=sum(step.count for step in plan.steps),
        goal_ms=work.goal_ms - at_ms,
        inherited=int(inherited),
    )
    step = Step(manager, (line,))
    if job_id in manager.cancelled_by_job_id:
        return then(step, cancel_job, job_id, at_ms)
    step = then(step, place_soon, pool_of(manager, work), at_ms)
    return then(step, _await_due, plan, at_ms)


def _learn_work(manager, plan):
    """Follow the mean processor time of a queue's jobs."""
    work = plan_work(plan)
    mean = manager.mean_work_by_queue.get(plan.queue, work)
    mean += (work - mean) / MEAN_OVER_JOBS
    means = manager.mean_work_by_queue.set(plan.queue, mean)
    return replace(manager, mean_work_by_queue=means)


def cancel_job(manager: ManagerState, job_id: str, at_ms: int) -> Step:
    """Stop a job that its team no longer wants.

    Args:
      manager: State of the leader.
      job_id: Identifier of the job.
      at_ms: The node's clock.
    Returns:
      A Step; nothing for a job that has ended.
    """
    work = manager.works_by_id.get(job_id)
    if work is None or work.progress.phase in TERMINAL_PHASES:
        return Step(manager)
    line = log(JOB_CANCEL_SEEN, job=job_id, running=work.running)
    step = Step(manager, (line,))
    return then(step, end_job, job_id, JobPhase.CANCELLED, "cancelled", at_ms)


def start_due(manager: ManagerState, job_id: str, at_ms: int) -> Step:
    """Start the occurrences of a job that have become due.

    Args:
      manager: State of a manager.
      job_id: Identifier of the job.
      at_ms: The node's clock.
    Returns:
      A Step with the timer of the next one.
    """
    work = manager.works_by_id.get(job_id)
    if work is None:
        return Step(manager)
    for place in startable(work, at_ms + manager.wall_offset_ms):
        task = f"{job_id}.{place.occurrence}.{place.step}.{place.index}"
        running = task in manager.runs_by_task
        if not running and not is_task_done(work, place):
            manager = let_wait(manager, job_id, place)
    step = place_soon(manager, pool_of(manager, work), at_ms)
    return then(step, _await_due, work.plan, at_ms)


def _await_due(manager, plan: JobPlan, at_ms):
    """Set the timer of a job's next occurrence."""
    if not plan.times:
        return Step(manager)
    wall_ms = at_ms + manager.wall_offset_ms
    for number in range(plan.times):
        due_ms = plan.first_wall_ms + number * plan.period_ms
        if due_ms > wall_ms:
            timer = SetTimer(DueTimer(plan.job_id), at_ms + due_ms - wall_ms)
            return Step(manager, (timer,))
    return Step(manager)


def commit(manager: ManagerState, at_ms: int) -> Step:
    """Store what has changed, or a heartbeat when nothing has for a while.

    Args:
      manager: State of a manager.
      at_ms: The node's clock.
    Returns:
      A Step with the records; nothing while a write is under way.
    """
    term = manager.term
    if not term.epoch or term.storing:
        return Step(manager)
    since_ms = at_ms - term.confirmed_ms
    changed = bool(
        manager.dirty_jobs
        or manager.dirty_workers
        or manager.dirty_waves
        or manager.fleet.unstored
    )
    due = manager.ended_now or (changed and since_ms >= COMMIT_PERIOD_MS)
    if not due and since_ms < HEARTBEAT_MS:
        return Step(manager)
    return write_progress(manager, resigned=False)


def write_progress(manager: ManagerState, resigned: bool) -> Step:
    """Store what has changed, and that the leader is there.

    Args:
      manager: State of the leader.
      resigned: Whether it gives the role up.
    Returns:
      A Step with the records.
    """
    term = replace(manager.term, beats=manager.term.beats + 1)
    leader = Leader(manager.name, term.epoch, resigned, term.beats)
    jobs = tuple(
        manager.works_by_id[job_id].progress
        for job_id in sorted(manager.dirty_jobs)
        if job_id in manager.works_by_id
    )
    workers = tuple(
        _leased_record(manager.workers_by_id[worker_id])
        for worker_id in sorted(manager.dirty_workers)
        if _may_have_runs(manager, worker_id)
    )
    dropped = tuple(
        StoredRecord(WORKER_KEY_PREFIX + worker_id, None)
        for worker_id in sorted(manager.dirty_workers)
        if not _may_have_runs(manager, worker_id)
    )
    records = tuple(StoredRecord(job.job_id, job) for job in jobs)
    records += tuple(
        StoredRecord(WORKER_KEY_PREFIX + leased.worker_id, leased)
        for leased in workers
    )
    waves = tuple(sorted(manager.dirty_waves))
    records += dropped + tuple(
        StoredRecord(
            f"{WAVE_KEY_PREFIX}{number}",
            WaveRecord(number, manager.maintained_by_wave[number]),
        )
        for number in waves
    )
    machines = tuple(sorted(manager.fleet.touched_ms_by_machine))
    if manager.fleet.unstored:
        records += (StoredRecord(ORDERS_KEY, OrderedMachines(machines)),)
    records += (StoredRecord(LEADER_KEY, leader),)
    term = replace(
        term,
        storing=True,
        written_jobs=jobs,
        written_workers=workers,
        written_waves=waves,
        written_machines=machines if manager.fleet.unstored else (),
    )
    manager = replace(
        manager,
        term=term,
        dirty_jobs=EMPTY_MAP,
        dirty_workers=EMPTY_MAP,
        dirty_waves=EMPTY_MAP,
        ended_now=False,
        fleet=replace(manager.fleet, unstored=False),
    )
    return Step(manager, (StoreProgress(term.epoch, records),))


def _may_have_runs(manager, worker_id):
    worker = manager.workers_by_id.get(worker_id)
    return worker is not None and not worker.over


def _leased_record(worker):
    entry = worker.entry
    return LeasedWorker(
        worker_id=entry.worker_id,
        address=entry.address,
        pool=entry.pool,
        born_ms=entry.born_ms,
        ended=worker.ended,
    )


def _take_confirmed(manager: ManagerState, event: ProgressStored) -> Step:
    """Show and acknowledge what is stored now."""
    term = manager.term
    manager = replace(
        manager,
        term=replace(
            term,
            storing=False,
            confirmed_ms=event.asked_ms,
            written_jobs=(),
            written_workers=(),
            written_waves=(),
            written_machines=(),
        ),
        fleet=_with_stored_orders(manager.fleet, term.written_machines),
    )
    for progress in term.written_jobs:
        manager = keep_progress(manager, progress, event.at_ms)
        manager = forget_ended(manager, progress.job_id)
    step = Step(manager)
    for leased in term.written_workers:
        step = then(step, _confirm_worker, leased, event.at_ms)
    return then(step, commit, event.at_ms)


def _with_stored_orders(fleet, machines):
    """Let orders be given whose machines are stored now."""
    orders = fleet.orders_by_machine
    for name in machines:
        if name in orders:
            orders = orders.set(name, replace(orders[name], stored=True))
    return replace(fleet, orders_by_machine=orders)


def _confirm_worker(manager, leased, at_ms):
    worker = manager.workers_by_id.get(leased.worker_id)
    if worker is None or worker.entry.born_ms != leased.born_ms:
        return Step(manager)
    new = not worker.leased
    worker = replace(worker, leased=True, ended_stored=leased.ended)
    manager = put_worker(manager, worker)
    manager = replace(
        manager,
        leased_by_id=manager.leased_by_id.set(leased.worker_id, leased),
    )
    step = watch_worker(manager, leased.worker_id, at_ms)
    if not new:
        return step
    return then(step, place_soon, worker.entry.pool, at_ms)


def keep_progress(
    manager: ManagerState, progress: Progress, at_ms: int
) -> ManagerState:
    """Keep what is stored of a job; of an ended one only its phase.

    Args:
      manager: State of a manager.
      progress: What is stored.
      at_ms: The node's clock.
    Returns:
      The state.
    """
    job_id = progress.job_id
    phases = manager.phase_by_job_id.set(job_id, progress.phase)
    manager = replace(manager, phase_by_job_id=phases)
    if progress.phase not in TERMINAL_PHASES:
        kept = manager.progress_by_id.set(job_id, progress)
        return replace(manager, progress_by_id=kept)
    ended = manager.ended_ms_by_job_id
    if job_id not in ended:
        ended = ended.set(job_id, at_ms)
    return replace(
        manager,
        ended_ms_by_job_id=ended,
        progress_by_id=_without(manager.progress_by_id, job_id),
        plans_by_id=_without(manager.plans_by_id, job_id),
    )


def _without(by_id, job_id):
    return by_id.delete(job_id) if job_id in by_id else by_id


def end_term(manager: ManagerState, why: str, at_ms: int) -> Step:
    """Follow another leader; nothing of the own work is kept.

    Args:
      manager: State of the leader.
      why: Reason, for the log.
      at_ms: The node's clock.
    Returns:
      A Step.
    """
    line = log(TERM_ENDED, epoch=manager.term.epoch, reason=why)
    forgotten = tuple(
        ForgetWorker(worker_id) for worker_id in sorted(manager.workers_by_id)
    )
    manager = replace(
        manager,
        term=Term(),
        progress=Following(grown_ms=at_ms),
        workers=Following(),
        works_by_id=EMPTY_MAP,
        runs_by_task=EMPTY_MAP,
        numbers_by_task=EMPTY_MAP,
        failed_on_by_task=EMPTY_MAP,
        workers_by_id=EMPTY_MAP,
        worker_ids_by_pool=EMPTY_MAP,
        job_ids_by_pool=EMPTY_MAP,
        used_by_team=EMPTY_MAP,
        dirty_jobs=EMPTY_MAP,
        dirty_workers=EMPTY_MAP,
        dirty_waves=EMPTY_MAP,
        ended_now=False,
        placing_pools=EMPTY_MAP,
        fleet=_new_fleet(manager),
    )
    return Step(manager, (line,) + forgotten)
