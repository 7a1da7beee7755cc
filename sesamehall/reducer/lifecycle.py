"""Start, periodic work and graceful shutdown of a node."""

from sesamehall.core.data import NodeKind
from sesamehall.core.effects import Exit
from sesamehall.core.effects import log
from sesamehall.core.effects import SetTimer
from sesamehall.core.events import Started
from sesamehall.core.events import StopRequested
from sesamehall.core.limits import PEER_HEARTBEAT_MS
from sesamehall.core.limits import SHUTDOWN_LOG_WAIT_MS
from sesamehall.core.logevents import NODE_STARTED
from sesamehall.core.logevents import NODE_STOPPED
from sesamehall.core.logevents import NODE_STOPPING
from sesamehall.core.records import EntryLeft
from sesamehall.core.replacing import replace
from sesamehall.core.state import Phase
from sesamehall.core.state import State
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.core.timers import BeatTimer
from sesamehall.reducer.claims import maintain_claims
from sesamehall.reducer.claims import request_peer_claims
from sesamehall.reducer.claims import start_claims
from sesamehall.reducer.lending import lend_all_units
from sesamehall.reducer.lending import resend_units
from sesamehall.reducer.load import report_load_changes
from sesamehall.reducer.membership import is_member
from sesamehall.reducer.membership import maintain_lease
from sesamehall.reducer.membership import replenish_reserve
from sesamehall.reducer.peers import disconnect_silent_peers
from sesamehall.reducer.peers import send_heartbeats
from sesamehall.reducer.placing import place_jobs
from sesamehall.reducer.placing import watch_tasks
from sesamehall.reducer.pool_moves import drop_finished_drain_reports
from sesamehall.reducer.pool_moves import finish_moves
from sesamehall.reducer.pool_moves import join_instances
from sesamehall.reducer.pool_moves import send_drain_reports
from sesamehall.reducer.pool_moves import start_moves
from sesamehall.reducer.proposals import propose
from sesamehall.reducer.role import expire_entries
from sesamehall.reducer.role import holds_role
from sesamehall.reducer.role import maintain_role
from sesamehall.reducer.role import write_snapshot
from sesamehall.reducer.steward_feed import list_instances
from sesamehall.reducer.steward_feed import read_log
from sesamehall.reducer.units_requests import repeat_units_requests


def start_node(state: State, event: Started) -> Step:
    """Start the periodic work and, on a steward, reading from the platform.

    Args:
      state: Initial state of the node.
      event: The start.
    Returns:
      A Step with the first effects.
    """
    node = state.identity.node
    line = log(
        NODE_STARTED, node=node.name, incarnation=state.identity.incarnation
    )
    timer = SetTimer(BeatTimer(), event.at_ms + PEER_HEARTBEAT_MS)
    step = Step(state, (line, timer))
    if node.kind is NodeKind.STEWARD:
        step = then(step, read_log)
        step = then(step, list_instances)
        return step
    return Step(start_claims(state, event.at_ms), step.effects)


def stop_node(state: State, event: StopRequested) -> Step:
    """Start the shutdown: accept nothing new, and finish what is in flight.

    Args:
      state: State of the node.
      event: The request to stop; a second one has no effect.
    Returns:
      A Step; a steward has nothing in flight and exits immediately.
    """
    if state.phase is not Phase.SERVING:
        return Step(state)
    line = log(NODE_STOPPING, node=state.identity.node.name)
    stopping = replace(
        state, phase=Phase.STOPPING, stop_wait_start_ms=event.at_ms
    )
    if state.identity.node.kind is NodeKind.STEWARD:
        step = _exit(stopping)
    else:
        step = continue_stop(stopping, event.at_ms)
    return Step(step.state, (line,) + step.effects)


def continue_stop(state: State, at_ms: int) -> Step:
    """Leave once nothing is in flight, and exit once the log confirms it.

    If the log does not confirm it in time, the units are lent to a peer.

    Args:
      state: State of an entry.
      at_ms: Current time on the node's clock.
    Returns:
      A Step; without effects unless the entry is stopping.
    """
    if state.phase is not Phase.STOPPING:
        return Step(state)
    entry = state.entry
    if entry.tickets_by_request_id or entry.job_calls_by_id:
        return Step(replace(state, stop_wait_start_ms=at_ms))
    if entry.lingering_by_attempt or state.claims.ballots_by_request_id:
        return Step(replace(state, stop_wait_start_ms=at_ms))
    waited_ms = at_ms - state.stop_wait_start_ms
    if (
        not is_member(state)
        or waited_ms >= SHUTDOWN_LOG_WAIT_MS + 2 * PEER_HEARTBEAT_MS
    ):
        return _exit(state)
    if waited_ms >= SHUTDOWN_LOG_WAIT_MS:
        return lend_all_units(state)
    incarnation = state.identity.incarnation
    record_id = f"{incarnation}/leave"
    return propose(state, record_id, EntryLeft(incarnation), at_ms)


def tick_node(state: State, at_ms: int) -> Step:
    """Do the node's periodic work.

    Args:
      state: State of the node.
      at_ms: Current time on the node's clock.
    Returns:
      A Step that sets the timer again.
    """
    timer = SetTimer(BeatTimer(), at_ms + PEER_HEARTBEAT_MS)
    step = Step(state, (timer,))
    step = then(step, disconnect_silent_peers, at_ms)
    step = then(step, send_heartbeats, at_ms)
    if state.identity.node.kind is NodeKind.ENTRY:
        return then(step, _tick_entry, at_ms)
    return then(step, _tick_steward, at_ms)


def react_to_changes(before: State, state: State, at_ms: int) -> Step:
    """Act as the holder of the role on changes made by an event.

    All other work of the holder is periodic.

    Args:
      before: State of the steward before the event.
      state: State of the steward after it.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with placements, calls to workers, moves and reboots.
    """
    if not holds_role(state):
        return Step(state)
    old = before.agreed
    new = state.agreed
    step = Step(state)
    jobs_changed = old.job_ids_by_worker is not new.job_ids_by_worker
    if jobs_changed or old.waiting_job_ids is not new.waiting_job_ids:
        step = then(step, place_jobs, at_ms)
        step = then(step, watch_tasks, at_ms)
    drained_changed = (
        before.steward.drain_reports is not state.steward.drain_reports
    )
    if drained_changed or jobs_changed:
        step = then(step, finish_moves)
    if old.pools_by_name is not new.pools_by_name:
        step = then(step, join_instances, at_ms)
        step = then(step, start_moves, at_ms)
    return step


def _tick_holder(state, at_ms):
    """Do the periodic work of the holder of the role."""
    step = Step(drop_finished_drain_reports(state))
    step = then(step, join_instances, at_ms)
    step = then(step, place_jobs, at_ms)
    step = then(step, watch_tasks, at_ms)
    step = then(step, start_moves, at_ms)
    return then(step, finish_moves)


def _tick_entry(state, at_ms):
    step = maintain_lease(maintain_claims(state, at_ms), at_ms)
    step = then(step, replenish_reserve, at_ms)
    step = then(step, repeat_units_requests)
    for _, peer in sorted(state.peers_by_name.items()):
        step = then(step, resend_units, peer)
        step = then(step, request_peer_claims, peer)
    step = then(step, report_load_changes, at_ms)
    step = then(step, send_drain_reports)
    return then(step, continue_stop, at_ms)


def _tick_steward(state, at_ms):
    step = maintain_role(state, at_ms)
    if not holds_role(state):
        return step
    step = then(step, expire_entries, at_ms)
    step = then(step, write_snapshot, at_ms)
    return then(step, _tick_holder, at_ms)


def _exit(state):
    line = log(NODE_STOPPED, node=state.identity.node.name)
    return Step(replace(state, phase=Phase.STOPPED), (line, Exit()))
