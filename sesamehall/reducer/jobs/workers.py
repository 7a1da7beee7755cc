"""Workers: their lists of runs, their leases, their silence and their end."""

from immutables import Map

from sesamehall.core.data import TERMINAL_PHASES
from sesamehall.core.effects import log
from sesamehall.core.effects import SetTimer
from sesamehall.core.fleet import WorkerEntry
from sesamehall.core.jobtiming import CLOCK_SLACK_PERCENT
from sesamehall.core.jobtiming import HEARD_MS
from sesamehall.core.jobtiming import LEASE_MS
from sesamehall.core.jobtiming import RENEW_CONFIRMED_MS
from sesamehall.core.jobtiming import START_CONFIRMED_MS
from sesamehall.core.jobtiming import START_LEASE_MS
from sesamehall.core.jobtiming import WATCH_RETRY_MS
from sesamehall.core.jobtiming import WATCH_UNSTORED_MS
from sesamehall.core.jobtiming import WATCH_WAIT_MS
from sesamehall.core.logevents import RUN_ADOPTED
from sesamehall.core.logevents import WORKER_GONE
from sesamehall.core.logevents import WORKER_REACHED
from sesamehall.core.logevents import WORKER_SILENT
from sesamehall.core.managereffects import ForgetWorker
from sesamehall.core.managereffects import StopRun
from sesamehall.core.managereffects import WatchWorker
from sesamehall.core.managerevents import OrderRefusal
from sesamehall.core.managerevents import WorkerNotReported
from sesamehall.core.managerevents import WorkerReported
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.managerstate import Run
from sesamehall.core.managerstate import RunState
from sesamehall.core.managerstate import Work
from sesamehall.core.managerstate import Worker
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.core.timers import WatchTimer
from sesamehall.core.work import ActiveRun
from sesamehall.core.work import NO_SIZE
from sesamehall.core.work import split_task_id
from sesamehall.reducer.jobs.bookkeeping import charge_run
from sesamehall.reducer.jobs.bookkeeping import drop_worker
from sesamehall.reducer.jobs.bookkeeping import put_run
from sesamehall.reducer.jobs.bookkeeping import put_worker
from sesamehall.reducer.jobs.progress import is_task_done
from sesamehall.reducer.jobs.progress import is_task_known
from sesamehall.reducer.jobs.runs import give_up_run
from sesamehall.reducer.jobs.runs import place_soon
from sesamehall.reducer.jobs.runs import take_end


def take_entry(manager: ManagerState, entry: WorkerEntry, at_ms: int) -> Step:
    """Take in what a worker has registered.

    Args:
      manager: State of the leader.
      entry: The entry.
      at_ms: The node's clock.
    Returns:
      A Step that begins to watch a new worker.
    """
    worker = manager.workers_by_id.get(entry.worker_id)
    if worker is None:
        manager = put_worker(manager, Worker(entry, lease_end_ms=at_ms))
        manager = replace(
            manager,
            dirty_workers=manager.dirty_workers.set(entry.worker_id, True),
        )
        return watch_worker(manager, entry.worker_id, at_ms)
    step = Step(manager)
    reborn = worker.entry.born_ms and entry.born_ms != worker.entry.born_ms
    if reborn and worker.reached and entry.born_ms > worker.entry.born_ms:
        step = _begin_life(manager, worker, entry.born_ms, at_ms)
        worker = step.state.workers_by_id[entry.worker_id]
    worker = replace(
        worker,
        entry=replace(entry, born_ms=max(entry.born_ms, worker.entry.born_ms)),
        listed=True,
    )
    step = Step(put_worker(step.state, worker), step.effects)
    step = then(step, watch_worker, entry.worker_id, at_ms)
    return then(step, place_soon, entry.pool, at_ms)


def drop_entry(manager: ManagerState, worker_id: str, at_ms: int) -> Step:
    """Note that a worker is no longer registered.

    Args:
      manager: State of the leader.
      worker_id: The worker.
      at_ms: The node's clock.
    Returns:
      A Step; the worker is forgotten once nothing can run on it.
    """
    worker = manager.workers_by_id.get(worker_id)
    if worker is None:
        return Step(manager)
    manager = put_worker(manager, replace(worker, listed=False))
    return review_worker(manager, worker_id, at_ms)


def watch_worker(manager: ManagerState, worker_id: str, at_ms: int) -> Step:
    """Ask a worker for its lists, and renew its lease if that is allowed.

    The lease of a silent worker is left to run out, so that its tasks can
    run elsewhere.

    Args:
      manager: State of the leader.
      worker_id: The worker.
      at_ms: The node's clock.
    Returns:
      A Step; nothing while a call is under way.
    """
    worker = manager.workers_by_id.get(worker_id)
    if worker is None or worker.watching or not manager.term.epoch:
        return Step(manager)
    since_ms = at_ms - manager.term.confirmed_ms
    lease_until_ms = -1
    known = worker.reached and not worker.silences
    if worker.tasks and known and since_ms < RENEW_CONFIRMED_MS:
        lease_until_ms = worker_clock(worker, at_ms) + _lease_ms(manager)
        worker = extend_lease(worker, lease_until_ms)
    wait_ms = WATCH_WAIT_MS if known else 0
    effect = WatchWorker(
        worker_id=worker_id,
        address=worker.entry.address,
        epoch=manager.term.epoch,
        acknowledged=worker.ended_stored,
        lease_until_ms=lease_until_ms,
        wait_ms=wait_ms,
    )
    worker = replace(worker, watching=True)
    return Step(put_worker(manager, worker), (effect,))


def take_report(manager: ManagerState, event: WorkerReported) -> Step:
    """Take in a worker's lists of runs.

    Args:
      manager: State of the leader.
      event: The lists.
    Returns:
      A Step that goes on watching.
    """
    worker = manager.workers_by_id.get(event.worker_id)
    if worker is None or event.epoch != manager.term.epoch:
        return Step(manager)
    at_ms = event.at_ms
    step = Step(manager)
    born_ms = worker.entry.born_ms
    if born_ms and event.born_ms and event.born_ms != born_ms:
        step = _begin_life(manager, worker, event.born_ms, at_ms)
        worker = step.state.workers_by_id[event.worker_id]
    first = not worker.reached
    back = first or worker.silences > 0
    worker = replace(
        worker,
        entry=replace(worker.entry, born_ms=event.born_ms or born_ms),
        reached=True,
        watching=False,
        clock_ms=event.clock_ms,
        seen_ms=at_ms,
        answered_ms=event.asked_ms,
        silences=0,
    )
    step = Step(put_worker(step.state, worker), step.effects)
    if first:
        line = log(
            WORKER_REACHED,
            worker=event.worker_id,
            pool=worker.entry.pool,
            active=len(event.active),
            ended=len(event.ended),
        )
        step = Step(step.state, step.effects + (line,))
    step = then(step, _take_ends, event)
    step = then(step, _take_active, event)
    step = then(step, _give_up_missing, event)
    if back:
        step = then(step, place_soon, worker.entry.pool, at_ms)
    return then(step, _watch_on, event.worker_id, at_ms)


def _watch_on(manager, worker_id, at_ms):
    """Ask a worker again; first store the ends that it would repeat."""
    worker = manager.workers_by_id[worker_id]
    if worker.ended == worker.ended_stored:
        return watch_worker(manager, worker_id, at_ms)
    timer = SetTimer(WatchTimer(worker_id), at_ms + WATCH_UNSTORED_MS)
    return Step(manager, (timer,))


def take_silence(manager: ManagerState, event: WorkerNotReported) -> Step:
    """Decide what follows when a worker gives no lists.

    Args:
      manager: State of the leader.
      event: Why it gave none.
    Returns:
      A Step that asks it again, at once for the first time, since a single
      answer may have been lost.
    """
    worker = manager.workers_by_id.get(event.worker_id)
    if worker is None or event.epoch != manager.term.epoch:
        return Step(manager)
    at_ms = event.at_ms
    effects = ()
    if not worker.silences:
        effects = (
            log(
                WORKER_SILENT,
                worker=event.worker_id,
                reason=event.refusal.value,
                tasks=len(worker.tasks),
            ),
        )
    worker = replace(worker, watching=False, silences=worker.silences + 1)
    if event.refusal is OrderRefusal.OTHER_LIFE:
        worker = replace(worker, lease_end_ms=min(worker.lease_end_ms, at_ms))
        worker = replace(worker, listed=False)
    step = Step(put_worker(manager, worker), effects)
    step = then(step, review_worker, event.worker_id, at_ms)
    if worker.silences == 1:
        return then(step, watch_worker, event.worker_id, at_ms)
    timer = SetTimer(WatchTimer(event.worker_id), at_ms + WATCH_RETRY_MS)
    return Step(step.state, step.effects + (timer,))


def review_worker(manager: ManagerState, worker_id: str, at_ms: int) -> Step:
    """Give up the runs of a silent worker whose lease has run out.

    Without fresh confirmation of the role another leader may have reached the
    worker and renewed its lease, so nothing is given up then.  A worker that
    is neither registered nor answers is forgotten.

    Args:
      manager: State of the leader.
      worker_id: The worker.
      at_ms: The node's clock.
    Returns:
      A Step.
    """
    worker = manager.workers_by_id.get(worker_id)
    if worker is None or not worker.silences or at_ms < worker.lease_end_ms:
        return Step(manager)
    if not is_confirmed(manager, at_ms):
        return Step(manager)
    step = Step(manager)
    for task in sorted(worker.tasks):
        run = step.state.runs_by_task[task]
        step = then(step, give_up_run, run, "lease over", at_ms)
    worker = step.state.workers_by_id[worker_id]
    if worker.listed:
        worker = replace(
            worker,
            reached=False,
            lease_end_ms=0,
            ended=worker.ended_stored,
        )
        return Step(put_worker(step.state, worker), step.effects)
    line = log(WORKER_GONE, worker=worker_id, pool=worker.entry.pool)
    return Step(
        drop_worker(step.state, worker_id),
        step.effects + (line, ForgetWorker(worker_id)),
    )


def end_life(manager: ManagerState, worker_id: str, at_ms: int) -> Step:
    """Note that an order for its machine has ended a worker's life.

    Args:
      manager: State of the leader.
      worker_id: The worker.
      at_ms: The node's clock.
    Returns:
      A Step; nothing can run on the worker any more.
    """
    worker = manager.workers_by_id.get(worker_id)
    if worker is None:
        return Step(manager)
    step = Step(manager)
    for task in sorted(worker.tasks):
        run = step.state.runs_by_task[task]
        step = then(step, give_up_run, run, "machine taken", at_ms)
    worker = replace(
        step.state.workers_by_id[worker_id],
        over=True,
        lease_end_ms=min(worker.lease_end_ms, at_ms),
    )
    manager = put_worker(step.state, worker)
    dirty = manager.dirty_workers.set(worker_id, True)
    return Step(replace(manager, dirty_workers=dirty), step.effects)


def review_workers(manager: ManagerState, at_ms: int) -> Step:
    """Review all workers that do not answer.

    Args:
      manager: State of the leader.
      at_ms: The node's clock.
    Returns:
      A Step.
    """
    step = Step(manager)
    for worker_id, worker in sorted(manager.workers_by_id.items()):
        if worker.silences:
            step = then(step, review_worker, worker_id, at_ms)
    return step


def is_heard(worker: Worker, at_ms: int) -> bool:
    """Tell whether a worker has answered a moment ago.

    Args:
      worker: The worker.
      at_ms: The node's clock.
    Returns:
      False for one that is silent, or whose answer is overdue.
    """
    return not worker.silences and at_ms - worker.seen_ms < HEARD_MS


def worker_clock(worker: Worker, at_ms: int) -> int:
    """Estimate a worker's own clock.

    Args:
      worker: A worker that has answered.
      at_ms: The node's clock.
    Returns:
      Its clock, not behind by more than a call takes.
    """
    return worker.clock_ms + at_ms - worker.seen_ms


def extend_lease(worker: Worker, lease_until_ms: int) -> Worker:
    """Note the longest lease that a worker may have got.

    Args:
      worker: The worker.
      lease_until_ms: End of the lease on the worker's clock.
    Returns:
      The worker with the end of its lease on our clock.
    """
    length_ms = lease_until_ms - worker.clock_ms
    slow_ms = length_ms * (100 + CLOCK_SLACK_PERCENT) // 100
    end_ms = max(worker.lease_end_ms, worker.seen_ms + slow_ms)
    return replace(worker, lease_end_ms=end_ms)


def start_lease_until(worker: Worker, at_ms: int) -> int:
    """Choose the lease that an order to start carries.

    Args:
      worker: A worker that has answered.
      at_ms: The node's clock.
    Returns:
      Its end on the worker's clock.
    """
    return worker_clock(worker, at_ms) + START_LEASE_MS


def is_confirmed(manager: ManagerState, at_ms: int) -> bool:
    """Tell whether no other leader can have begun its term.

    Args:
      manager: State of a leader.
      at_ms: The node's clock.
    Returns:
      True where its writes were confirmed a moment ago.
    """
    return at_ms - manager.term.confirmed_ms < START_CONFIRMED_MS


def may_start(manager: ManagerState, work: Work, at_ms: int) -> bool:
    """Tell whether a leader may start tasks of a job.

    While its writes are not confirmed another leader may have begun its
    term.  That one waits for every worker that may have got an order from
    this one, before it starts tasks of jobs that this one may know; jobs
    that came later are left to it.

    Args:
      manager: State of a manager.
      work: The job.
      at_ms: The node's clock.
    Returns:
      True when no task can come to run twice by it.
    """
    if not manager.term.epoch:
        return False
    if is_confirmed(manager, at_ms):
        return True
    confirmed_ms = manager.term.confirmed_ms
    known = work.accepted_ms < confirmed_ms + START_CONFIRMED_MS
    return known and at_ms - confirmed_ms < RENEW_CONFIRMED_MS


def _lease_ms(manager):
    return min(LEASE_MS, manager.timing.longest_lease_ms)


def _begin_life(manager, worker, born_ms, at_ms):
    """Give up what ran in a worker's earlier life."""
    step = Step(manager)
    for task in sorted(worker.tasks):
        run = step.state.runs_by_task[task]
        step = then(step, give_up_run, run, "worker restarted", at_ms)
    worker = step.state.workers_by_id[worker.entry.worker_id]
    worker = replace(
        worker,
        entry=replace(worker.entry, born_ms=born_ms),
        ended=0,
        ended_stored=0,
        tasks=Map(),
        used=NO_SIZE,
        failures=0,
        leaving=False,
        over=False,
    )
    manager = put_worker(step.state, worker)
    dirty = manager.dirty_workers.set(worker.entry.worker_id, True)
    return Step(replace(manager, dirty_workers=dirty), step.effects)


def _take_ends(manager, event):
    """Take in the ends that are new."""
    worker = manager.workers_by_id[event.worker_id]
    new = [end for end in event.ended if end.sequence > worker.ended]
    if not new:
        return Step(manager)
    last = max(end.sequence for end in new)
    manager = put_worker(manager, replace(worker, ended=last))
    manager = replace(
        manager,
        dirty_workers=manager.dirty_workers.set(event.worker_id, True),
    )
    step = Step(manager)
    for end in new:
        step = then(step, take_end, event.worker_id, end, event.at_ms)
    return step


def _take_active(manager, event):
    """Compare the runs that go on with those that are known."""
    step = Step(manager)
    strangers = 0
    for active in event.active:
        run = step.state.runs_by_task.get(active.task)
        ours = run is not None and (run.worker_id, run.number) == (
            event.worker_id,
            active.number,
        )
        if ours:
            refreshed = _refresh_run(step.state, run, active, event)
            step = Step(refreshed, step.effects)
        elif not _is_ended_in(event, active):
            step = then(step, _adopt_or_stop, run, active, event)
            strangers += active.task not in step.state.runs_by_task
            strangers += run is not None
    worker = step.state.workers_by_id[event.worker_id]
    if worker.strangers == strangers:
        return step
    worker = replace(worker, strangers=strangers)
    step = Step(put_worker(step.state, worker), step.effects)
    return then(step, place_soon, worker.entry.pool, event.at_ms)


def _is_ended_in(event, active):
    return any(
        (end.task, end.number) == (active.task, active.number)
        for end in event.ended
    )


def _refresh_run(manager, run, active, event):
    """Note what a worker says of a run; a late start counts as answered."""
    state = run.state
    if state is RunState.STARTING:
        state = RunState.RUNNING
    answered_ms = run.answered_ms
    if answered_ms < 0:
        answered_ms = event.at_ms
    return put_run(
        manager,
        replace(
            run,
            state=state,
            answered_ms=answered_ms,
            checkpoint=active.checkpoint or run.checkpoint,
            percent=active.percent,
            load=active.load,
        ),
    )


def _adopt_or_stop(manager, other, active: ActiveRun, event):
    """Take over a run of an earlier leader, or stop one that is not wanted.

    Its turn may not seem to have come: the earlier leader may have known of
    ends that are not stored and that other workers have yet to report.
    """
    worker = manager.workers_by_id[event.worker_id]
    named = split_task_id(active.task)
    work = None if named is None else manager.works_by_id.get(named[0])
    wanted = (
        work is not None
        and other is None
        and is_task_known(work.plan, named[1])
        and work.progress.phase not in TERMINAL_PHASES
        and not is_task_done(work, named[1])
        and work.plan.steps[named[1].step].gang is False
    )
    if not wanted:
        order = StopRun(
            worker_id=event.worker_id,
            address=worker.entry.address,
            epoch=manager.term.epoch,
            task=active.task,
            number=active.number,
        )
        return Step(manager, (order,))
    plan_step = work.plan.steps[named[1].step]
    run = Run(
        task=active.task,
        job_id=named[0],
        place=named[1],
        number=active.number,
        worker_id=event.worker_id,
        team=work.plan.team,
        size=plan_step.size,
        state=RunState.RUNNING,
        sent_ms=event.at_ms,
        answered_ms=event.at_ms,
        checkpoint=active.checkpoint,
        percent=active.percent,
        load=active.load,
        lasting=plan_step.lasting,
        fills=plan_step.fills,
        tail_target_ms=plan_step.tail_target_ms,
    )
    line = log(
        RUN_ADOPTED,
        task=active.task,
        run=active.number,
        worker=event.worker_id,
    )
    return Step(charge_run(manager, run), (line,))


def _give_up_missing(manager, event):
    """Give up runs that should be in the lists and are not."""
    worker = manager.workers_by_id[event.worker_id]
    if not worker.tasks:
        return Step(manager)
    active = {(row.task, row.number) for row in event.active}
    step = Step(manager)
    for task in sorted(worker.tasks):
        run = step.state.runs_by_task.get(task)
        if run is None or run.worker_id != event.worker_id:
            continue
        if (run.task, run.number) in active:
            continue
        if _should_be_listed(run, event):
            step = then(step, give_up_run, run, "not listed", event.at_ms)
    return step


def _should_be_listed(run, event):
    """Tell whether a run must be in lists that were asked for later."""
    if run.answered_ms >= 0:
        return run.answered_ms < event.asked_ms
    return run.lease_end_ms < event.asked_ms
