"""Workers' lists of runs, compared with what the leader believes."""

from sesamehall.core.data import TERMINAL_PHASES
from sesamehall.core.effects import log
from sesamehall.core.effects import SetTimer
from sesamehall.core.jobtiming import WATCH_RETRY_MS
from sesamehall.core.jobtiming import WATCH_UNSTORED_DELAY_MS
from sesamehall.core.logevents import JOB_ENDS_DEFERRED
from sesamehall.core.logevents import RUN_ADOPTED
from sesamehall.core.logevents import WORKER_REACHED
from sesamehall.core.managereffects import StopRun
from sesamehall.core.managerevents import WorkerReported
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.core.timers import WatchTimer
from sesamehall.core.work import ActiveRun
from sesamehall.core.work import parse_task_id
from sesamehall.core.workstate import Run
from sesamehall.core.workstate import RunState
from sesamehall.reducer.jobs.durations import run_time_ms
from sesamehall.reducer.jobs.leases import is_incarnation_confirmed
from sesamehall.reducer.jobs.progress import is_task_done
from sesamehall.reducer.jobs.progress import is_task_known
from sesamehall.reducer.jobs.runs import abandon_run
from sesamehall.reducer.jobs.runs import apply_run_end
from sesamehall.reducer.jobs.runs import schedule_placement
from sesamehall.reducer.jobs.runs import stop_run
from sesamehall.reducer.jobs.stalls import stop_stalled_runs
from sesamehall.reducer.jobs.state_updates import charge_run
from sesamehall.reducer.jobs.state_updates import put_worker
from sesamehall.reducer.jobs.throttling import throttle_best_effort
from sesamehall.reducer.jobs.workers import answered_after_termination
from sesamehall.reducer.jobs.workers import begin_incarnation
from sesamehall.reducer.jobs.workers import resume_incarnation
from sesamehall.reducer.jobs.workers import watch_worker


def apply_report(manager: ManagerState, event: WorkerReported) -> Step:
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
    born_ms = worker.entry.started_wall_ms
    if born_ms and 0 < event.started_wall_ms < born_ms:
        return _ignore_earlier_life(manager, worker, at_ms)
    if born_ms and event.started_wall_ms > born_ms:
        step = begin_incarnation(manager, worker, event.started_wall_ms, at_ms)
        worker = step.state.workers_by_id[event.worker_id]
    if answered_after_termination(worker, event.sent_ms):
        step = Step(resume_incarnation(step.state, worker), step.effects)
        worker = step.state.workers_by_id[event.worker_id]
    first = not worker.contacted
    met = worker.first_contact_ms < 0
    back = first or worker.unanswered_watches > 0
    worker = replace(
        worker,
        entry=replace(
            worker.entry, started_wall_ms=event.started_wall_ms or born_ms
        ),
        contacted=True,
        first_contact_ms=at_ms if met else worker.first_contact_ms,
        watch_in_flight=False,
        clock_ms=event.clock_ms,
        last_report_ms=at_ms,
        answered_watch_sent_ms=event.sent_ms,
        unanswered_watches=0,
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
    step = then(step, _apply_ends, event)
    step = then(step, _apply_active_runs, event)
    step = then(step, _abandon_missing_runs, event)
    if met:
        step = then(step, _stop_unanswered, event.worker_id)
    step = then(step, stop_stalled_runs, event.worker_id, at_ms)
    step = then(step, throttle_best_effort, event.worker_id, at_ms)
    if back:
        step = then(step, schedule_placement, worker.entry.pool, at_ms)
    return then(step, _watch_on, event.worker_id, at_ms)


def _ignore_earlier_life(manager, worker, at_ms):
    """Leave an answer of a life that is gone; ask again after a pause."""
    manager = put_worker(manager, replace(worker, watch_in_flight=False))
    timer = WatchTimer(worker.entry.worker_id)
    return Step(manager, (SetTimer(timer, at_ms + WATCH_RETRY_MS),))


def _watch_on(manager, worker_id, at_ms):
    """Ask a worker again, which answers at its next end.

    One that would answer at once is asked a little later: where it would
    repeat ends that are not stored yet, or has runs that nobody wants.
    """
    worker = manager.workers_by_id[worker_id]
    if (
        worker.last_applied_end == worker.last_stored_end
        and not worker.untracked_runs
    ):
        return watch_worker(manager, worker_id, at_ms)
    timer = SetTimer(WatchTimer(worker_id), at_ms + WATCH_UNSTORED_DELAY_MS)
    return Step(manager, (timer,))


def _is_unread(manager, task):
    """Tell whether a task's job may be among those still to be read.

    A follower reads the jobs now and then, so a new leader may hear of runs
    of a job before it reads the job itself.
    """
    named = parse_task_id(task)
    if manager.jobs_caught_up or named is None:
        return False
    return named[0] not in manager.team_by_job_id


def _readable_ends(manager, event):
    """List the new ends, up to the first whose job is still to be read."""
    worker = manager.workers_by_id[event.worker_id]
    ended = sorted(event.ended, key=lambda end: end.sequence)
    new = [end for end in ended if end.sequence > worker.last_applied_end]
    unread = [_is_unread(manager, end.task) for end in new]
    return new[: unread.index(True)] if True in unread else new


def _apply_ends(manager, event):
    """Take in the ends that are new."""
    worker = manager.workers_by_id[event.worker_id]
    new = _readable_ends(manager, event)
    last = new[-1].sequence if new else worker.last_applied_end
    effects = _held_line(event, last)
    if not new:
        return Step(manager, effects)
    manager = put_worker(manager, replace(worker, last_applied_end=last))
    manager = replace(
        manager,
        dirty_workers=manager.dirty_workers.set(event.worker_id, True),
    )
    step = Step(manager, effects)
    for end in new:
        own_ms = run_time_ms(step.state.runs_by_task.get(end.task), event)
        step = then(
            step, apply_run_end, event.worker_id, end, own_ms, event.at_ms
        )
    return step


def _held_line(event, last):
    """Tell of ends that wait until their jobs are read."""
    held = [end for end in event.ended if end.sequence > last]
    if not held:
        return ()
    line = log(
        JOB_ENDS_DEFERRED,
        worker=event.worker_id,
        taken=last,
        held=len(held),
        task=held[0].task,
    )
    return (line,)


def _apply_active_runs(manager, event):
    """Compare the runs that go on with those that are known."""
    strangers = sum(_is_unread(manager, end.task) for end in event.ended)
    ours, others = _split_runs(manager, event)
    step = Step(_refresh_runs(manager, ours, event))
    for run, active in others:
        step = then(step, _adopt_or_stop, run, active, event)
        strangers += active.task not in step.state.runs_by_task
        strangers += run is not None
    worker = step.state.workers_by_id[event.worker_id]
    if worker.untracked_runs == strangers:
        return step
    worker = replace(worker, untracked_runs=strangers)
    step = Step(put_worker(step.state, worker), step.effects)
    return then(step, schedule_placement, worker.entry.pool, event.at_ms)


def _split_runs(manager, event):
    """Tell the runs that are known from others that have not ended."""
    ours = []
    others = []
    for active in event.active:
        run = manager.runs_by_task.get(active.task)
        if run is not None and (run.worker_id, run.number) == (
            event.worker_id,
            active.number,
        ):
            ours.append((run, active))
        elif not _is_ended_in(event, active):
            others.append((run, active))
    return ours, others


def _is_ended_in(event, active):
    return any(
        (end.task, end.number) == (active.task, active.number)
        for end in event.ended
    )


def _refresh_runs(manager, ours, event):
    """Note what a worker says of its runs, of all of them at once."""
    refreshed = {
        run.task: _refreshed(run, active, event) for run, active in ours
    }
    if not refreshed:
        return manager
    runs = manager.runs_by_task.update(refreshed)
    return replace(manager, runs_by_task=runs)


def _refreshed(run, active, event):
    """Note what a worker says of a run; a late start counts as answered."""
    state = run.state
    if state is RunState.STARTING:
        state = RunState.RUNNING
    answered_ms = run.acknowledged_ms
    if answered_ms < 0:
        answered_ms = event.at_ms
    progressed_ms = run.progressed_clock_ms
    if run.acknowledged_ms < 0 or active.percent != run.percent:
        progressed_ms = event.clock_ms
    return replace(
        run,
        state=state,
        progressed_clock_ms=progressed_ms,
        acknowledged_ms=answered_ms,
        checkpoint=active.checkpoint or run.checkpoint,
        percent=active.percent,
        load=active.load,
    )


def _adopt_or_stop(manager, other, active: ActiveRun, event):
    """Take over a run of an earlier leader, or stop one that is not wanted.

    While a new leader has not read all jobs, it lets the run of a job that
    it does not know go on: the job may be among those still to be read.

    Its turn may not seem to have come: the earlier leader may have known of
    ends that are not stored and that other workers have yet to report.
    """
    worker = manager.workers_by_id[event.worker_id]
    named = parse_task_id(active.task)
    job = None if named is None else manager.active_jobs_by_id.get(named[0])
    wanted = (
        job is not None
        and other is None
        and is_task_known(job.plan, named[1])
        and job.progress.phase not in TERMINAL_PHASES
        and not is_task_done(job, named[1])
    )
    if _is_unread(manager, active.task):
        return Step(manager)
    if not wanted:
        order = StopRun(
            worker_id=event.worker_id,
            address=worker.entry.address,
            epoch=manager.term.epoch,
            task=active.task,
            number=active.number,
        )
        return Step(manager, (order,))
    plan_step = job.plan.steps[named[1].step]
    run = Run(
        task=active.task,
        job_id=named[0],
        place=named[1],
        number=active.number,
        worker_id=event.worker_id,
        team=job.plan.team,
        size=plan_step.size,
        state=RunState.RUNNING,
        first_sent_ms=event.at_ms,
        acknowledged_ms=event.at_ms,
        checkpoint=active.checkpoint,
        percent=active.percent,
        progressed_clock_ms=event.clock_ms,
        load=active.load,
        long_running=plan_step.long_running,
        best_effort=plan_step.best_effort,
        tail_latency_target_ms=plan_step.tail_latency_target_ms,
    )
    line = log(
        RUN_ADOPTED,
        task=active.task,
        run=active.number,
        worker=event.worker_id,
    )
    return Step(charge_run(manager, run), (line,))


def _abandon_missing_runs(manager, event):
    """Give up runs that should be in the lists and are not.

    Not by the lists of a life that another leader may know better: the task
    may have run elsewhere since, or its end may be stored.
    """
    worker = manager.workers_by_id[event.worker_id]
    if not worker.tasks or not is_incarnation_confirmed(
        manager, worker, event.at_ms
    ):
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
            step = then(step, abandon_run, run, "not listed", event.at_ms)
    return step


def _stop_unanswered(manager, worker_id):
    """Stop runs whose order may still reach a life that was just met.

    The order counts on the clock of the earlier life, so time does not make
    it void; a worker that was told to stop a run does not start it later.
    """
    step = Step(manager)
    for task in sorted(manager.workers_by_id[worker_id].tasks):
        run = manager.runs_by_task[task]
        if run.acknowledged_ms < 0:
            step = then(step, stop_run, run, "worker restarted")
    return step


def _should_be_listed(run, event):
    """Tell whether a run must be in lists that were asked for later."""
    if run.acknowledged_ms >= 0:
        return run.acknowledged_ms < event.sent_ms
    return run.lease_end_ms < event.sent_ms
