"""The one reducer: every event of every program comes through here."""

from sesamehall.core.data import NodeKind
from sesamehall.core.events import AppendEnded
from sesamehall.core.events import AskCalled
from sesamehall.core.events import CallerGone
from sesamehall.core.events import CancelCalled
from sesamehall.core.events import DeadlinePassed
from sesamehall.core.events import Event
from sesamehall.core.events import InstanceRebooted
from sesamehall.core.events import InstancesListed
from sesamehall.core.events import InstancesNotListed
from sesamehall.core.events import LogRead
from sesamehall.core.events import LogReadFailed
from sesamehall.core.events import MessageReceived
from sesamehall.core.events import PeerConnected
from sesamehall.core.events import PeerDisconnected
from sesamehall.core.events import RequestReceived
from sesamehall.core.events import Started
from sesamehall.core.events import StopRequested
from sesamehall.core.events import SubmitCalled
from sesamehall.core.events import TargetAnswered
from sesamehall.core.events import TimerFired
from sesamehall.core.events import WorkerAnswered
from sesamehall.core.state import State
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.core.timers import AppendTimer
from sesamehall.core.timers import BeatTimer
from sesamehall.core.timers import ClaimTimer
from sesamehall.core.timers import LingerTimer
from sesamehall.core.timers import ListTimer
from sesamehall.core.timers import LoadTimer
from sesamehall.core.timers import ProbeTimer
from sesamehall.core.timers import ReadLogTimer
from sesamehall.core.timers import TaskTimer
from sesamehall.core.timers import UnitsTimer
from sesamehall.core.timers import YieldTimer
from sesamehall.reducer.admission import receive_request
from sesamehall.reducer.answers import end_linger
from sesamehall.reducer.answers import expire_request
from sesamehall.reducer.answers import finish_attempt
from sesamehall.reducer.claims import end_ballot
from sesamehall.reducer.dispatching import dispatch_services
from sesamehall.reducer.dispatching import dispatch_waiting
from sesamehall.reducer.health import resume_target
from sesamehall.reducer.jobcalls import expire_call
from sesamehall.reducer.jobcalls import receive_cancel_call
from sesamehall.reducer.jobcalls import receive_status_call
from sesamehall.reducer.jobcalls import receive_submit_call
from sesamehall.reducer.lifecycle import continue_stop
from sesamehall.reducer.lifecycle import react_to_changes
from sesamehall.reducer.lifecycle import start_node
from sesamehall.reducer.lifecycle import stop_node
from sesamehall.reducer.lifecycle import tick_node
from sesamehall.reducer.load import report_load_changes
from sesamehall.reducer.managing import reduce_manager
from sesamehall.reducer.peers import connect_peer
from sesamehall.reducer.peers import disconnect_peer
from sesamehall.reducer.peers import receive_message
from sesamehall.reducer.placing import receive_worker_answer
from sesamehall.reducer.placing import renew_task
from sesamehall.reducer.pool_moves import receive_reboot
from sesamehall.reducer.proposals import retry_proposal
from sesamehall.reducer.steward_feed import list_instances
from sesamehall.reducer.steward_feed import read_log
from sesamehall.reducer.steward_feed import receive_instances
from sesamehall.reducer.steward_feed import receive_log
from sesamehall.reducer.steward_feed import retry_instance_list
from sesamehall.reducer.steward_feed import retry_log_read
from sesamehall.reducer.units_requests import review_units_request


def reduce(state: State, event: Event) -> Step:
    """Map a state and an event to the next state and the effects.

    The result depends on the arguments alone: clock, random numbers and
    everything else from outside are fields of events.

    Args:
      state: State of the node.
      event: What has happened.
    Returns:
      A Step with the new state and what the runtime shall do.
    """
    if state.manager is not None:
        return reduce_manager(state, event)
    match event:
        case RequestReceived():
            return receive_request(state, event)
        case TargetAnswered():
            step = finish_attempt(state, event)
            return then(step, continue_stop, event.at_ms)
        case MessageReceived():
            step = receive_message(state, event)
            return _follow_up(state, step, event.at_ms)
        case LogRead():
            step = receive_log(state, event)
            return _follow_up(state, step, event.at_ms)
        case TimerFired():
            return _fire(state, event)
        case DeadlinePassed(_, name) if name in state.entry.job_calls_by_id:
            step = expire_call(state, event)
            return then(step, continue_stop, event.at_ms)
        case DeadlinePassed():
            step = expire_request(state, event)
            return then(step, continue_stop, event.at_ms)
        case CallerGone():
            return expire_request(state, event)
        case _:
            return _reduce_rare(state, event)


def _reduce_rare(state: State, event: Event) -> Step:
    """Reduce the events that come seldom."""
    match event:
        case SubmitCalled():
            return receive_submit_call(state, event)
        case AskCalled():
            return receive_status_call(state, event)
        case CancelCalled():
            return receive_cancel_call(state, event)
        case PeerConnected():
            return connect_peer(state, event)
        case PeerDisconnected():
            return disconnect_peer(state, event)
        case LogReadFailed():
            return retry_log_read(state, event)
        case AppendEnded():
            return Step(state)  # only reading the record back counts
        case InstancesListed():
            return receive_instances(state, event)
        case InstancesNotListed():
            return retry_instance_list(state, event)
        case InstanceRebooted():
            return receive_reboot(state, event)
        case WorkerAnswered():
            return receive_worker_answer(state, event)
        case Started():
            return start_node(state, event)
        case StopRequested():
            return stop_node(state, event)
    raise TypeError(f"no decision for {type(event).__name__}")


def _fire(state: State, event: TimerFired) -> Step:
    """Reduce the firing of a timer."""
    at_ms = event.at_ms
    match event.timer:
        case BeatTimer():
            return tick_node(state, at_ms)
        case LoadTimer():
            return report_load_changes(state, at_ms)
        case YieldTimer(service):
            return dispatch_services(state, (service,), at_ms, False)
        case ClaimTimer(request_id):
            step = end_ballot(state, request_id)
            return then(step, continue_stop, at_ms)
        case LingerTimer(attempt):
            step = end_linger(state, attempt, at_ms)
            return then(step, continue_stop, at_ms)
        case UnitsTimer(team):
            return review_units_request(state, team, at_ms)
        case ProbeTimer(target):
            step = resume_target(state, target)
            return then(step, dispatch_waiting, at_ms)
        case ReadLogTimer():
            return read_log(state)
        case ListTimer():
            return list_instances(state)
        case AppendTimer(record_id):
            return retry_proposal(state, record_id, at_ms)
        case TaskTimer(job_id):
            return renew_task(state, job_id, at_ms)
    raise TypeError(f"no decision for {type(event.timer).__name__}")


def _follow_up(before: State, step: Step, at_ms: int) -> Step:
    """Act on what a message or a piece of the log may have changed."""
    if before.identity.node.kind is NodeKind.STEWARD:
        acted = react_to_changes(before, step.state, at_ms)
        return Step(acted.state, step.effects + acted.effects)
    return then(step, continue_stop, at_ms)
