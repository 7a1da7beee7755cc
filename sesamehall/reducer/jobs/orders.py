"""The manager's start and stop orders: workers' answers, and resent orders."""

from sesamehall.core.effects import log
from sesamehall.core.effects import SetTimer
from sesamehall.core.jobtiming import MAX_UNCLEAR_STARTS
from sesamehall.core.jobtiming import RENEWAL_CUTOFF_MS
from sesamehall.core.jobtiming import START_LEASE_MS
from sesamehall.core.jobtiming import START_RETRY_MS
from sesamehall.core.jobtiming import STOP_RETRY_MS
from sesamehall.core.jobtiming import WORKER_REFUSAL_QUARANTINE_MS
from sesamehall.core.logevents import RUN_REFUSED
from sesamehall.core.managereffects import StartRun
from sesamehall.core.managerevents import OrderRefusal
from sesamehall.core.managerevents import RunAnswered
from sesamehall.core.managerevents import StopAnswered
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.core.timers import StartTimer
from sesamehall.core.timers import StopTimer
from sesamehall.core.workstate import Run
from sesamehall.core.workstate import RunState
from sesamehall.reducer.jobs.advice import drop_ticket
from sesamehall.reducer.jobs.advice import step_name
from sesamehall.reducer.jobs.leader_lag import record_call
from sesamehall.reducer.jobs.leases import extend_lease
from sesamehall.reducer.jobs.leases import may_start
from sesamehall.reducer.jobs.leases import start_lease_end_ms
from sesamehall.reducer.jobs.leases import worker_clock_ms
from sesamehall.reducer.jobs.order_window import record_start_answer
from sesamehall.reducer.jobs.order_window import record_start_order
from sesamehall.reducer.jobs.order_window import resume_blocked_pools
from sesamehall.reducer.jobs.progress import checkpoint_of
from sesamehall.reducer.jobs.run_numbers import skip_run_numbers
from sesamehall.reducer.jobs.runs import abandon_run
from sesamehall.reducer.jobs.runs import stop_run
from sesamehall.reducer.jobs.state_updates import put_run
from sesamehall.reducer.jobs.state_updates import put_worker
from sesamehall.reducer.machines.drained_data_centres import is_worker_drained
from sesamehall.reducer.machines.drained_data_centres import limit_start_ms


def handle_start_answer(manager: ManagerState, event: RunAnswered) -> Step:
    """Handle the answer to a start order.

    An order without an answer may still be carried out.  It is sent again,
    since a worker answers a repeated order like the first one.  The same holds
    for an order whose answer is unclear, but a worker may give such an answer
    immediately each time, so there is a pause, and a limit.

    Args:
      manager: State of the leader.
      event: The answer.
    Returns:
      A Step.
    """
    step = record_call(record_start_answer(manager, event), event)
    step = then(step, _apply_start_answer, event)
    return then(step, resume_blocked_pools, event.at_ms)


def _apply_start_answer(manager, event):
    """Apply the answer to a start order to its run."""
    run = _find_run(manager, event)
    if run is None:
        return Step(manager)
    at_ms = event.at_ms
    match event.refusal:
        case None:
            if run.send_count == 1:
                run = replace(run, started_clock_ms=event.clock_ms)
            if run.acknowledged_ms < 0:
                worker = manager.workers_by_id[run.worker_id]
                progressed_clock_ms = worker_clock_ms(worker, at_ms)
                run = replace(
                    run,
                    acknowledged_ms=at_ms,
                    progressed_clock_ms=progressed_clock_ms,
                )
            if run.state is RunState.STARTING:
                run = replace(run, state=RunState.RUNNING)
            return Step(put_run(manager, run))
        case OrderRefusal.SILENT:
            return _resend_start(manager, run, at_ms)
    step = Step(manager, (_refused_line(run, event),))
    if event.refusal is OrderRefusal.UNCLEAR:
        return then(step, _handle_unclear_start, run, at_ms)
    if run.send_count > 1 or run.acknowledged_ms >= 0:
        return step  # an earlier copy may have arrived; reports will show it
    match event.refusal:
        case OrderRefusal.NO_TICKET:
            step = then(step, _drop_ticket, run)
        case OrderRefusal.OLD_RUN:
            # The worker has seen a higher number; it is not at fault.
            step = Step(skip_run_numbers(step.state, run), step.effects)
        case OrderRefusal.NOT_SENT | OrderRefusal.RESTARTED:
            pass  # the worker is not at fault
        case _:
            step = then(step, _quarantine_worker, run.worker_id, at_ms)
    return then(step, abandon_run, run, event.refusal.value, at_ms)


def _refused_line(run, event):
    return log(
        RUN_REFUSED,
        task=run.task,
        run=run.number,
        worker=run.worker_id,
        reason=event.refusal.value,
        status=event.status,
        tries=run.send_count,
    )


def _handle_unclear_start(manager, run, at_ms):
    """Schedule another start order, and give the worker no others for now.

    After the last one, the worker's list shows whether the run exists.
    """
    step = _quarantine_worker(manager, run.worker_id, at_ms)
    if run.send_count >= MAX_UNCLEAR_STARTS:
        return step
    timer = StartTimer(run.worker_id, run.task, run.number)
    return Step(step.state, (SetTimer(timer, at_ms + START_RETRY_MS),))


def handle_stop_answer(manager: ManagerState, event: StopAnswered) -> Step:
    """Handle the answer to a stop order, and resend it unless it is accepted.

    A worker that refuses the order, for example while it is unhealthy, does
    not stop the run later.  It may refuse each order immediately, so there is
    a pause before the next one.

    A worker never starts a run after a stop order for it.  So reports that are
    requested from now on contain the run or its end, or the run is void.

    Args:
      manager: State of the leader.
      event: The answer.
    Returns:
      A Step.
    """
    return then(record_call(manager, event), _apply_stop_answer, event)


def _apply_stop_answer(manager, event):
    """Apply the answer to a stop order to its run."""
    run = _find_run(manager, event)
    if run is None:
        return Step(manager)
    if event.refusal is not None:
        timer = StopTimer(run.worker_id, run.task, run.number, event.refusal)
        due_ms = event.at_ms + STOP_RETRY_MS
        return Step(manager, (SetTimer(timer, due_ms),))
    if run.acknowledged_ms >= 0:
        return Step(manager)
    run = replace(run, acknowledged_ms=event.at_ms)
    return Step(put_run(manager, run))


def resend_stop(manager: ManagerState, timer: StopTimer) -> Step:
    """Resend a stop order if the run has not ended.

    Args:
      manager: State of a manager.
      timer: Timer that identifies the run.
    Returns:
      A Step.
    """
    run = manager.runs_by_task.get(timer.task)
    if run is None or run.state is not RunState.STOPPING:
        return Step(manager)
    if (run.worker_id, run.number) != (timer.worker_id, timer.number):
        return Step(manager)
    return stop_run(manager, run, f"not accepted: {timer.refusal.value}")


def resend_start(manager: ManagerState, timer: StartTimer, at_ms: int) -> Step:
    """Resend a start order whose answer was unclear, if it is still needed.

    Args:
      manager: State of a manager.
      timer: Timer that identifies the run.
      at_ms: Current time on the node's clock.
    Returns:
      A Step.
    """
    run = manager.runs_by_task.get(timer.task)
    if run is None or not manager.term.epoch:
        return Step(manager)
    if (run.worker_id, run.number) != (timer.worker_id, timer.number):
        return Step(manager)
    return _resend_start(manager, run, at_ms)


def build_start_order(
    manager: ManagerState, run: Run, command: str, at_ms: int
) -> StartRun:
    """Build a start order for a run.

    Args:
      manager: State of the leader.
      run: The run.
      command: Command of the job, as passed to workers.
      at_ms: Current time on the node's clock.
    Returns:
      The effect.
    """
    worker = manager.workers_by_id[run.worker_id]
    job = manager.active_jobs_by_id[run.job_id]
    not_after_ms = min(
        at_ms + START_LEASE_MS,
        manager.term.confirmed_ms + RENEWAL_CUTOFF_MS,
    )
    return StartRun(
        worker_id=run.worker_id,
        address=worker.entry.address,
        epoch=manager.term.epoch,
        task=run.task,
        number=run.number,
        command=command,
        lease_until_ms=start_lease_end_ms(worker, at_ms),
        not_after_ms=limit_start_ms(manager, not_after_ms, at_ms),
        checkpoint=checkpoint_of(job, run.place),
        ticket=run.ticket,
        started_wall_ms=worker.entry.started_wall_ms,
    )


def _find_run(manager, event):
    """Find the run that an answer refers to, unless it is outdated."""
    if event.epoch != manager.term.epoch:
        return None
    run = manager.runs_by_task.get(event.task)
    if run is None:
        return None
    if (run.worker_id, run.number) != (event.worker_id, event.number):
        return None
    return run


def _resend_start(manager, run, at_ms):
    """Resend a start order without an answer if the run is still needed."""
    job = manager.active_jobs_by_id.get(run.job_id)
    worker = manager.workers_by_id[run.worker_id]
    needed = run.state is RunState.STARTING and job is not None
    if not needed or worker.unanswered_watches > 1:
        return Step(manager)
    if worker.first_contact_ms < 0:
        return Step(manager)  # a new incarnation, of which no clock is known
    if not may_start(manager, job, at_ms):
        return Step(manager)
    if is_worker_drained(manager, worker):
        return Step(manager)
    worker = extend_lease(worker, start_lease_end_ms(worker, at_ms))
    manager = put_worker(manager, worker)
    run = replace(
        run, send_count=run.send_count + 1, start_void_ms=worker.lease_end_ms
    )
    manager = put_run(manager, run)
    manager = record_start_order(manager, run.task, run.number, at_ms)
    order = build_start_order(manager, run, job.plan.command, at_ms)
    return Step(manager, (order,))


def _drop_ticket(manager, run):
    job = manager.active_jobs_by_id.get(run.job_id)
    if job is None:
        return Step(manager)
    name = step_name(job, run.place)
    return Step(drop_ticket(manager, name, run.worker_id))


def _quarantine_worker(manager, worker_id, at_ms):
    worker = manager.workers_by_id[worker_id]
    until_ms = max(
        worker.quarantined_until_ms, at_ms + WORKER_REFUSAL_QUARANTINE_MS
    )
    return Step(
        put_worker(manager, replace(worker, quarantined_until_ms=until_ms))
    )
