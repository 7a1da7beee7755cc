"""A manager's part of the reducer: hands each event to its room."""

from sesamehall.core.effects import Exit
from sesamehall.core.effects import log
from sesamehall.core.effects import SetTimer
from sesamehall.core.events import Event
from sesamehall.core.events import Started
from sesamehall.core.events import StopRequested
from sesamehall.core.events import TimerFired
from sesamehall.core.jobtiming import MANAGER_TICK_MS
from sesamehall.core.jobtiming import STOP_MAX_MS
from sesamehall.core.jobtiming import STOP_MIN_MS
from sesamehall.core.logevents import NODE_STARTED
from sesamehall.core.logevents import NODE_STOPPED
from sesamehall.core.logevents import NODE_STOPPING
from sesamehall.core.logevents import READINESS_CHANGED
from sesamehall.core.managereffects import SetReady
from sesamehall.core.managerevents import AdviceGiven
from sesamehall.core.managerevents import AdviceNotGiven
from sesamehall.core.managerevents import JobCalled
from sesamehall.core.managerevents import JobStored
from sesamehall.core.managerevents import MachineAnswered
from sesamehall.core.managerevents import MachinesListed
from sesamehall.core.managerevents import MachinesNotListed
from sesamehall.core.managerevents import OrderRefusal
from sesamehall.core.managerevents import ProgressStored
from sesamehall.core.managerevents import RunAnswered
from sesamehall.core.managerevents import StopAnswered
from sesamehall.core.managerevents import StreamRead
from sesamehall.core.managerevents import StreamUnread
from sesamehall.core.managerevents import WorkerNotReported
from sesamehall.core.managerevents import WorkerReported
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.state import State
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.core.timers import DueTimer
from sesamehall.core.timers import ManagerTimer
from sesamehall.core.timers import PlaceTimer
from sesamehall.core.timers import StopTimer
from sesamehall.core.timers import WatchTimer
from sesamehall.reducer.jobs.active_jobs import start_due_occurrences
from sesamehall.reducer.jobs.advice import apply_advice
from sesamehall.reducer.jobs.advice import handle_missing_advice
from sesamehall.reducer.jobs.calls import advance_calls
from sesamehall.reducer.jobs.calls import handle_job_stored
from sesamehall.reducer.jobs.calls import is_manifest_current
from sesamehall.reducer.jobs.calls import receive_call
from sesamehall.reducer.jobs.handover import continue_handover
from sesamehall.reducer.jobs.handover import offer_to_lead
from sesamehall.reducer.jobs.handover import resign
from sesamehall.reducer.jobs.leadership import claim_if_vacant
from sesamehall.reducer.jobs.leadership import end_term
from sesamehall.reducer.jobs.leadership import handle_progress_stored
from sesamehall.reducer.jobs.log_reading import apply_stream_read
from sesamehall.reducer.jobs.log_reading import handle_stream_unread
from sesamehall.reducer.jobs.log_reading import read_due_streams
from sesamehall.reducer.jobs.order_window import expire_orders
from sesamehall.reducer.jobs.orders import handle_start_answer
from sesamehall.reducer.jobs.orders import handle_stop_answer
from sesamehall.reducer.jobs.orders import resend_stop
from sesamehall.reducer.jobs.reports import apply_report
from sesamehall.reducer.jobs.storing import commit
from sesamehall.reducer.jobs.task_placement import place_tasks
from sesamehall.reducer.jobs.task_placement import schedule_step_placement
from sesamehall.reducer.jobs.workers import expire_silent_workers
from sesamehall.reducer.jobs.workers import handle_missing_report
from sesamehall.reducer.jobs.workers import watch_worker
from sesamehall.reducer.machines.fleet import review_fleet
from sesamehall.reducer.machines.fleet import take_machine_answer
from sesamehall.reducer.machines.fleet import take_machines
from sesamehall.reducer.machines.fleet import take_no_machines


def reduce_manager(state: State, event: Event) -> Step:
    """Map a manager's state and an event to the next state and effects.

    Args:
      state: State of a manager.
      event: What has happened.
    Returns:
      A Step.
    """
    step = _decide(state.manager, event)
    step = then(step, commit, event.at_ms)
    return Step(replace(state, manager=step.state), step.effects)


def _decide(manager: ManagerState, event: Event) -> Step:
    """Hand an event to the decision that it is for."""
    match event:
        case WorkerReported():
            return apply_report(manager, event)
        case RunAnswered() | StopAnswered() | WorkerNotReported() if (
            event.refusal is OrderRefusal.FENCED
        ):
            return _take_fence(manager, event)
        case RunAnswered():
            return handle_start_answer(manager, event)
        case StopAnswered():
            return handle_stop_answer(manager, event)
        case AdviceGiven():
            step = apply_advice(manager, event)
            return then(step, schedule_step_placement, event.step, event.at_ms)
        case AdviceNotGiven():
            return handle_missing_advice(manager, event)
        case WorkerNotReported():
            return handle_missing_report(manager, event)
        case TimerFired():
            return _fire(manager, event)
        case JobCalled():
            return then(
                receive_call(manager, event), read_due_streams, event.at_ms
            )
        case StreamRead():
            step = then(
                apply_stream_read(manager, event), advance_calls, event.at_ms
            )
            step = then(step, claim_if_vacant, event.at_ms)
            return then(step, read_due_streams, event.at_ms)
        case StreamUnread():
            return handle_stream_unread(manager, event)
        case JobStored():
            step = handle_job_stored(manager, event)
            return then(step, read_due_streams, event.at_ms)
        case ProgressStored():
            step = handle_progress_stored(manager, event)
            step = then(step, continue_handover, event.at_ms)
            step = then(step, _pursue_stop, event.at_ms)
            return then(step, read_due_streams, event.at_ms)
        case MachinesListed():
            return take_machines(manager, event)
        case MachinesNotListed():
            return take_no_machines(manager, event)
        case MachineAnswered():
            return take_machine_answer(manager, event)
        case Started():
            return _start(manager, event)
        case StopRequested():
            return _stop(manager, event)
    raise TypeError(f"no decision for {type(event).__name__}")


def _fire(manager: ManagerState, event: TimerFired) -> Step:
    """Decide what a timer is for."""
    at_ms = event.at_ms
    match event.timer:
        case ManagerTimer():
            return _beat(manager, at_ms)
        case PlaceTimer(pool):
            return place_tasks(manager, pool, at_ms)
        case WatchTimer(worker_id):
            return watch_worker(manager, worker_id, at_ms)
        case StopTimer():
            return resend_stop(manager, event.timer)
        case DueTimer(job_id):
            return start_due_occurrences(manager, job_id, at_ms)
    raise TypeError(f"no decision for {type(event.timer).__name__}")


def _start(manager, event):
    line = log(NODE_STARTED, node=manager.name, rank=manager.jitter_seed)
    return then(Step(manager, (line,)), _beat, event.at_ms)


def _beat(manager: ManagerState, at_ms: int) -> Step:
    """Do what is done regularly."""
    timer = SetTimer(ManagerTimer(), at_ms + MANAGER_TICK_MS)
    step = Step(manager, (timer,))
    step = then(step, advance_calls, at_ms)
    step = then(step, read_due_streams, at_ms)
    step = then(step, _tell_ready, at_ms)
    step = then(step, expire_silent_workers, at_ms)
    step = then(step, expire_orders, at_ms)
    step = then(step, review_fleet, at_ms)
    step = then(step, offer_to_lead, at_ms)
    step = then(step, continue_handover, at_ms)
    return then(step, _pursue_stop, at_ms)


def _tell_ready(manager, at_ms):
    """Tell the balancer when calls can be served, and when not."""
    ready = is_manifest_current(manager, at_ms) and not manager.stopping
    if ready == manager.ready:
        return Step(manager)
    line = log(READINESS_CHANGED, ready=int(ready))
    return Step(replace(manager, ready=ready), (line, SetReady(ready)))


def _take_fence(manager, event):
    """Give the role up when a worker has seen a later leader."""
    if event.epoch != manager.term.epoch:
        return Step(manager)
    why = f"fenced by worker {event.worker_id}"
    return end_term(manager, why, event.at_ms)


def _stop(manager, event):
    """Begin to stop: take no new calls, and give the role up."""
    if manager.stopping:
        return Step(manager)
    line = log(NODE_STOPPING, node=manager.name)
    manager = replace(manager, stopping=True, stop_requested_ms=event.at_ms)
    step = then(Step(manager, (line,)), _tell_ready, event.at_ms)
    return then(step, _pursue_stop, event.at_ms)


def _pursue_stop(manager: ManagerState, at_ms: int) -> Step:
    """Resign, and end once every call is answered."""
    if not manager.stopping:
        return Step(manager)
    waited_ms = at_ms - manager.stop_requested_ms
    if manager.term.epoch:
        return resign(manager, manager.stop_requested_ms, "resigned", at_ms)
    finished = not manager.calls_by_id and waited_ms >= STOP_MIN_MS
    if not finished and waited_ms < STOP_MAX_MS:
        return Step(manager)
    line = log(NODE_STOPPED, node=manager.name)
    return Step(manager, (line, Exit()))
