"""The manager's part of the reducer: dispatches events to their handlers."""

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
from sesamehall.core.managerevents import WaveNotReported
from sesamehall.core.managerevents import WorkerNotReported
from sesamehall.core.managerevents import WorkerReported
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.peercalls import PeerAnswered
from sesamehall.core.peercalls import PeerCallReceived
from sesamehall.core.replacing import replace
from sesamehall.core.state import State
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.core.timers import DueTimer
from sesamehall.core.timers import ManagerTimer
from sesamehall.core.timers import PlaceTimer
from sesamehall.core.timers import StartTimer
from sesamehall.core.timers import StopTimer
from sesamehall.core.timers import WatchTimer
from sesamehall.reducer.jobs.active_jobs import start_due_occurrences
from sesamehall.reducer.jobs.advice import apply_advice
from sesamehall.reducer.jobs.advice import handle_missing_advice
from sesamehall.reducer.jobs.advice_requests import schedule_advised_placement
from sesamehall.reducer.jobs.calls import advance_calls
from sesamehall.reducer.jobs.calls import handle_job_stored
from sesamehall.reducer.jobs.calls import is_manifest_current
from sesamehall.reducer.jobs.calls import receive_call
from sesamehall.reducer.jobs.ended_jobs import forget_ended_jobs
from sesamehall.reducer.jobs.forwarded_calls import forward_late_calls
from sesamehall.reducer.jobs.forwarded_calls import handle_peer_answer
from sesamehall.reducer.jobs.handover import continue_handover
from sesamehall.reducer.jobs.handover import offer_to_lead
from sesamehall.reducer.jobs.handover import resign
from sesamehall.reducer.jobs.leadership import claim_if_vacant
from sesamehall.reducer.jobs.leadership import end_term
from sesamehall.reducer.jobs.leadership import handle_progress_stored
from sesamehall.reducer.jobs.order_window import expire_orders
from sesamehall.reducer.jobs.orders import handle_start_answer
from sesamehall.reducer.jobs.orders import handle_stop_answer
from sesamehall.reducer.jobs.orders import resend_start
from sesamehall.reducer.jobs.orders import resend_stop
from sesamehall.reducer.jobs.peer_calls import register_node
from sesamehall.reducer.jobs.reports import apply_report
from sesamehall.reducer.jobs.storing import commit
from sesamehall.reducer.jobs.stream_reading import apply_stream_read
from sesamehall.reducer.jobs.stream_reading import handle_stream_read_failure
from sesamehall.reducer.jobs.stream_reading import read_due_streams
from sesamehall.reducer.jobs.task_placement import place_tasks
from sesamehall.reducer.jobs.workers import expire_silent_workers
from sesamehall.reducer.jobs.workers import handle_missing_report
from sesamehall.reducer.jobs.workers import watch_worker
from sesamehall.reducer.machines.draining import advance_drains
from sesamehall.reducer.machines.fleet import advance_fleet
from sesamehall.reducer.machines.fleet import apply_machine_list
from sesamehall.reducer.machines.fleet import handle_machines_not_listed
from sesamehall.reducer.machines.order_answers import handle_machine_answer
from sesamehall.reducer.machines.waves import handle_wave_not_reported


def reduce_manager(state: State, event: Event) -> Step:
    """Map a manager's state and an event to the next state and effects.

    Args:
      state: State of a manager.
      event: The event.
    Returns:
      A Step that also writes the progress that is due.
    """
    step = _dispatch(state.manager, event)
    step = then(step, commit, event.at_ms)
    return Step(replace(state, manager=step.state), step.effects)


def _dispatch(manager: ManagerState, event: Event) -> Step:
    """Dispatch an event to its handler."""
    match event:
        case WorkerReported():
            return apply_report(manager, event)
        case RunAnswered() | StopAnswered() | WorkerNotReported() if (
            event.refusal is OrderRefusal.FENCED
        ):
            return _handle_fencing(manager, event)
        case RunAnswered():
            return handle_start_answer(manager, event)
        case StopAnswered():
            return handle_stop_answer(manager, event)
        case AdviceGiven():
            step = apply_advice(manager, event)
            return then(step, schedule_advised_placement, event.at_ms)
        case AdviceNotGiven():
            step = handle_missing_advice(manager, event)
            return then(step, schedule_advised_placement, event.at_ms)
        case WorkerNotReported():
            return handle_missing_report(manager, event)
        case TimerFired():
            return _dispatch_timer(manager, event)
        case JobCalled() | PeerCallReceived():
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
            step = handle_stream_read_failure(manager, event)
            return then(step, forward_late_calls, event.at_ms)
        case PeerAnswered():
            step = handle_peer_answer(manager, event)
            return then(step, read_due_streams, event.at_ms)
        case JobStored():
            step = handle_job_stored(manager, event)
            return then(step, read_due_streams, event.at_ms)
        case ProgressStored():
            step = handle_progress_stored(manager, event)
            step = then(step, continue_handover, event.at_ms)
            step = then(step, _continue_stop, event.at_ms)
            return then(step, read_due_streams, event.at_ms)
        case MachinesListed():
            return apply_machine_list(manager, event)
        case MachinesNotListed():
            return handle_machines_not_listed(manager, event)
        case MachineAnswered():
            return handle_machine_answer(manager, event)
        case WaveNotReported():
            return handle_wave_not_reported(manager, event)
        case Started():
            return _handle_started(manager, event)
        case StopRequested():
            return _handle_stop_request(manager, event)
    raise TypeError(f"no handler for event {type(event).__name__}")


def _dispatch_timer(manager: ManagerState, event: TimerFired) -> Step:
    """Dispatch a timer event to its handler."""
    at_ms = event.at_ms
    match event.timer:
        case ManagerTimer():
            return _tick(manager, at_ms)
        case PlaceTimer(pool):
            return place_tasks(manager, pool, at_ms)
        case WatchTimer(worker_id):
            return watch_worker(manager, worker_id, at_ms)
        case StopTimer():
            return resend_stop(manager, event.timer)
        case StartTimer():
            return resend_start(manager, event.timer, at_ms)
        case DueTimer(job_id):
            return start_due_occurrences(manager, job_id, at_ms)
    raise TypeError(f"no handler for timer {type(event.timer).__name__}")


def _handle_started(manager, event):
    line = log(NODE_STARTED, node=manager.name, rank=manager.jitter_seed)
    return then(Step(manager, (line,)), _tick, event.at_ms)


def _tick(manager: ManagerState, at_ms: int) -> Step:
    """Run the periodic checks and schedule the next tick."""
    timer = SetTimer(ManagerTimer(), at_ms + MANAGER_TICK_MS)
    step = Step(forget_ended_jobs(manager, at_ms), (timer,))
    step = then(step, advance_calls, at_ms)
    step = then(step, forward_late_calls, at_ms)
    step = then(step, read_due_streams, at_ms)
    step = then(step, _update_readiness, at_ms)
    step = then(step, expire_silent_workers, at_ms)
    step = then(step, expire_orders, at_ms)
    step = then(step, advance_fleet, at_ms)
    step = then(step, advance_drains, at_ms)
    step = then(step, offer_to_lead, at_ms)
    step = then(step, register_node, at_ms)
    step = then(step, continue_handover, at_ms)
    return then(step, _continue_stop, at_ms)


def _update_readiness(manager, at_ms):
    """Report to the load balancer when readiness to serve calls changes."""
    ready = is_manifest_current(manager, at_ms) and not manager.stopping
    if ready == manager.ready:
        return Step(manager)
    line = log(READINESS_CHANGED, ready=int(ready))
    return Step(replace(manager, ready=ready), (line, SetReady(ready)))


def _handle_fencing(manager, event):
    """End the term when a worker rejects its epoch as fenced."""
    if event.epoch != manager.term.epoch:
        return Step(manager)
    reason = f"fenced by worker {event.worker_id}"
    return end_term(manager, reason, event.at_ms)


def _handle_stop_request(manager, event):
    """Begin to stop: report not ready, and resign the leader role."""
    if manager.stopping:
        return Step(manager)
    line = log(NODE_STOPPING, node=manager.name)
    manager = replace(manager, stopping=True, stop_requested_ms=event.at_ms)
    step = then(Step(manager, (line,)), _update_readiness, event.at_ms)
    return then(step, _continue_stop, event.at_ms)


def _continue_stop(manager: ManagerState, at_ms: int) -> Step:
    """Resign, and exit once every call is answered or time runs out."""
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
