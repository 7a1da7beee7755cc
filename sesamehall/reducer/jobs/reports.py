"""Workers' reports of their runs, reconciled with the leader's state."""

from sesamehall.core.data import EMPTY_MAP
from sesamehall.core.effects import Effect
from sesamehall.core.effects import log
from sesamehall.core.effects import SetTimer
from sesamehall.core.jobtiming import WATCH_UNSTORED_DELAY_MS
from sesamehall.core.logevents import RUN_ENDS_DEFERRED
from sesamehall.core.logevents import WORKER_REACHED
from sesamehall.core.managerevents import WorkerReported
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.core.timers import WatchTimer
from sesamehall.core.workstate import RunState
from sesamehall.reducer.jobs.adoption import adopt_or_stop
from sesamehall.reducer.jobs.durations import run_time_ms
from sesamehall.reducer.jobs.leases import is_incarnation_confirmed
from sesamehall.reducer.jobs.run_samples import sample_progress
from sesamehall.reducer.jobs.runlines import runs_not_listed_line
from sesamehall.reducer.jobs.runlines import worker_resumed_line
from sesamehall.reducer.jobs.runs import abandon_run
from sesamehall.reducer.jobs.runs import apply_run_end
from sesamehall.reducer.jobs.runs import schedule_placement
from sesamehall.reducer.jobs.runs import stop_run
from sesamehall.reducer.jobs.stalls import stop_stalled_runs
from sesamehall.reducer.jobs.state_updates import put_worker
from sesamehall.reducer.jobs.throttling import throttle_best_effort
from sesamehall.reducer.jobs.unread_jobs import is_job_unread
from sesamehall.reducer.jobs.workers import answered_after_termination
from sesamehall.reducer.jobs.workers import begin_incarnation
from sesamehall.reducer.jobs.workers import resume_incarnation
from sesamehall.reducer.jobs.workers import watch_worker

# A run that is missing from a report keeps these states.
ENDING_STATES = (RunState.STOPPING, RunState.ENDED_UNREAD)


def apply_report(manager: ManagerState, event: WorkerReported) -> Step:
    """Apply a worker's report of its runs.

    Args:
      manager: State of the leader.
      event: The report.
    Returns:
      A Step that also sends or schedules the next watch.
    """
    worker = manager.workers_by_id.get(event.worker_id)
    if worker is None or event.epoch != manager.term.epoch:
        return Step(manager)
    at_ms = event.at_ms
    step = Step(manager)
    known_start_ms = worker.entry.started_wall_ms
    if known_start_ms and event.started_wall_ms not in (0, known_start_ms):
        # Watches follow one after the other, so this is a later incarnation,
        # even if its start time is earlier: clocks are set back.
        step = begin_incarnation(manager, worker, event.started_wall_ms, at_ms)
        worker = step.state.workers_by_id[event.worker_id]
    if answered_after_termination(worker, event.sent_ms):
        line = worker_resumed_line(worker, event)
        step = Step(
            resume_incarnation(step.state, worker), step.effects + (line,)
        )
        worker = step.state.workers_by_id[event.worker_id]
    newly_contacted = not worker.contacted
    first_of_incarnation = worker.first_contact_ms < 0
    newly_reachable = newly_contacted or worker.unanswered_watches > 0
    worker = replace(
        worker,
        entry=replace(
            worker.entry,
            started_wall_ms=event.started_wall_ms or known_start_ms,
        ),
        contacted=True,
        first_contact_ms=(
            at_ms if first_of_incarnation else worker.first_contact_ms
        ),
        watch_in_flight=False,
        clock_ms=event.clock_ms,
        last_report_ms=at_ms,
        unanswered_watches=0,
        reported_whole=event.is_whole,
    )
    step = Step(put_worker(step.state, worker), step.effects)
    if newly_contacted:
        line = log(
            WORKER_REACHED,
            worker=event.worker_id,
            pool=worker.entry.pool,
            active=len(event.active),
            ended=len(event.ended),
            acknowledged=worker.last_stored_end_sequence,
        )
        step = Step(step.state, step.effects + (line,))
    step = then(step, _apply_ends, event)
    step = then(step, _apply_active_runs, event)
    step = then(step, _handle_missing_runs, event)
    if first_of_incarnation:
        step = then(step, _stop_unacknowledged_runs, event.worker_id)
    step = then(step, stop_stalled_runs, event.worker_id, at_ms)
    step = then(step, throttle_best_effort, event.worker_id, at_ms)
    if newly_reachable:
        step = then(step, schedule_placement, worker.entry.pool, at_ms)
    return then(step, _schedule_next_watch, event.worker_id, at_ms)


def _schedule_next_watch(manager, worker_id, at_ms):
    """Send the next watch, which the worker answers when a run ends.

    It is delayed if the worker would answer immediately: while ends are not
    stored the worker repeats them, and while runs are untracked the watch does
    not wait (see watch_worker).
    """
    worker = manager.workers_by_id[worker_id]
    if (
        worker.last_applied_end_sequence == worker.last_stored_end_sequence
        and not worker.untracked_runs
    ):
        return watch_worker(manager, worker_id, at_ms)
    timer = SetTimer(WatchTimer(worker_id), at_ms + WATCH_UNSTORED_DELAY_MS)
    return Step(manager, (timer,))


def _applicable_ends(manager, event):
    """List the new ends before the first one whose job may be unread."""
    worker = manager.workers_by_id[event.worker_id]
    ended = sorted(event.ended, key=lambda end: end.sequence)
    new = [
        end for end in ended if end.sequence > worker.last_applied_end_sequence
    ]
    unread = [is_job_unread(manager, end.task) for end in new]
    return new[: unread.index(True)] if True in unread else new


def _apply_ends(manager, event):
    """Apply the ends that are new."""
    worker = manager.workers_by_id[event.worker_id]
    new = _applicable_ends(manager, event)
    last = new[-1].sequence if new else worker.last_applied_end_sequence
    effects = _deferred_ends_lines(event, last)
    if not new:
        return Step(manager, effects)
    manager = put_worker(
        manager, replace(worker, last_applied_end_sequence=last)
    )
    manager = replace(
        manager,
        dirty_workers=manager.dirty_workers.set(event.worker_id, True),
    )
    step = Step(manager, effects)
    for end in new:
        elapsed_ms = run_time_ms(step.state.runs_by_task.get(end.task), event)
        step = then(
            step, apply_run_end, event.worker_id, end, elapsed_ms, event.at_ms
        )
    return step


def _deferred_ends_lines(event, last):
    """Build the log line for ends that wait until their jobs are read."""
    deferred = [end for end in event.ended if end.sequence > last]
    if not deferred:
        return ()
    line = log(
        RUN_ENDS_DEFERRED,
        worker=event.worker_id,
        taken=last,
        held=len(deferred),
        task=deferred[0].task,
    )
    return (line,)


def _apply_active_runs(manager, event):
    """Refresh tracked runs from the report, and adopt or stop the others."""
    # A run whose end is deferred still counts as untracked.
    untracked_count = sum(
        is_job_unread(manager, end.task) for end in event.ended
    )
    tracked, untracked = _split_runs(manager, event)
    manager = _refresh_runs(manager, tracked, event)
    # `then` would copy the effects so far for each run.
    effects: list[Effect] = []
    for other_run, active in untracked:
        adopted = adopt_or_stop(manager, other_run, active, event)
        manager = adopted.state
        effects += adopted.effects
        # The run was not adopted, or another run of its task is tracked.
        untracked_count += active.task not in manager.runs_by_task
        untracked_count += other_run is not None
    step = Step(manager, tuple(effects))
    worker = manager.workers_by_id[event.worker_id]
    if worker.untracked_runs == untracked_count:
        return step
    worker = replace(
        worker,
        untracked_runs=untracked_count,
        unneeded_runs=worker.unneeded_runs if untracked_count else EMPTY_MAP,
    )
    step = Step(put_worker(step.state, worker), step.effects)
    return then(step, schedule_placement, worker.entry.pool, event.at_ms)


def _split_runs(manager, event):
    """Separate the tracked runs from others that have not ended.

    Returns:
      The tracked runs and the others, both with the reported run.  Of the
      others, the first item is another tracked run of the same task, or None.
    """
    tracked = []
    untracked = []
    ended = _ended_runs(event)
    for active in event.active:
        run = manager.runs_by_task.get(active.task)
        if run is not None and (run.worker_id, run.number) == (
            event.worker_id,
            active.number,
        ):
            tracked.append((run, active))
        elif (active.task, active.number) not in ended:
            untracked.append((run, active))
    return tracked, untracked


def _ended_runs(event) -> set[tuple[str, int]]:
    """Return task and number of the runs whose end is listed."""
    return {(end.task, end.number) for end in event.ended}


def _refresh_runs(manager, tracked, event):
    """Update all tracked runs from the report with one copy of the state."""
    refreshed = {
        run.task: _refresh_run(run, active, event) for run, active in tracked
    }
    if not refreshed:
        return manager
    runs = manager.runs_by_task.update(refreshed)
    manager = replace(manager, runs_by_task=runs)
    return sample_progress(manager, refreshed.values())


def _refresh_run(run, active, event):
    """Update a run from the report, which also acknowledges its start."""
    state = run.state
    if state is not RunState.STOPPING:
        state = RunState.RUNNING
    acknowledged_ms = run.acknowledged_ms
    if acknowledged_ms < 0:
        acknowledged_ms = event.at_ms
    progressed_clock_ms = run.progressed_clock_ms
    if run.acknowledged_ms < 0 or active.percent != run.percent:
        progressed_clock_ms = event.clock_ms
    return replace(
        run,
        state=state,
        progressed_clock_ms=progressed_clock_ms,
        acknowledged_ms=acknowledged_ms,
        checkpoint=active.checkpoint or run.checkpoint,
        percent=active.percent,
        load=active.load,
    )


def _handle_missing_runs(manager, event):
    """Abandon tracked runs that are missing from a whole report.

    A run that is missing from a cut report has ended too, but its end may be
    one that the worker has not listed yet.  So it is kept until the end is
    listed or a whole report does not contain it.  A run whose end is listed
    but deferred is kept until the end is applied.

    Reports of an incarnation that another leader may have contacted before
    this one are not used: that leader may have stored the end of the run, or
    started the task elsewhere.
    """
    worker = manager.workers_by_id[event.worker_id]
    if not worker.tasks or not is_incarnation_confirmed(
        manager, worker, event.at_ms
    ):
        return Step(manager)
    ended = _ended_runs(event)
    lost = []
    newly_ended = []
    for run in _missing_runs(manager, worker, event):
        # Its end may be one that is not applied yet, or not listed yet.
        if event.is_whole and (run.task, run.number) not in ended:
            lost.append(run)
        elif run.state not in ENDING_STATES:
            newly_ended.append(run)
    if not lost and not newly_ended:
        return Step(manager)
    line = runs_not_listed_line(manager, event, lost + newly_ended)
    step = Step(_mark_ended_unread(manager, newly_ended), (line,))
    for run in lost:
        step = then(step, abandon_run, run, "not listed", event.at_ms)
    return step


def _missing_runs(manager, worker, event):
    """List the worker's runs that the report would contain if active."""
    active = {(listed.task, listed.number) for listed in event.active}
    runs = (manager.runs_by_task.get(task) for task in sorted(worker.tasks))
    return [
        run
        for run in runs
        if run is not None
        and run.worker_id == event.worker_id
        and (run.task, run.number) not in active
        and _should_be_listed(run, event)
    ]


def _mark_ended_unread(manager, runs):
    """Mark runs as ended whose ends are not known yet."""
    marked = {
        run.task: replace(run, state=RunState.ENDED_UNREAD) for run in runs
    }
    runs_by_task = manager.runs_by_task.update(marked)
    return replace(manager, runs_by_task=runs_by_task)


def _stop_unacknowledged_runs(manager, worker_id):
    """Stop runs whose start order may still reach a new incarnation.

    The order expires at a time on the clock of the earlier incarnation, which
    the new incarnation's clock may not have reached, so the order may still be
    valid there.  A worker does not start a run after an order to stop it.
    """
    step = Step(manager)
    for task in sorted(manager.workers_by_id[worker_id].tasks):
        run = manager.runs_by_task[task]
        if run.acknowledged_ms < 0:
            step = then(step, stop_run, run, "worker restarted")
    return step


def _should_be_listed(run, event):
    """Check whether the report would contain a run that is still active.

    It would if the worker acknowledged the run, or could no longer start it,
    before the watch was sent.
    """
    if run.acknowledged_ms >= 0:
        return run.acknowledged_ms < event.sent_ms
    return run.start_void_ms < event.sent_ms
