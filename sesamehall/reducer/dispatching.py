"""Dispatching: assigns free slots to waiting requests."""

from collections.abc import Iterable

from sesamehall.core.effects import Dispatch
from sesamehall.core.effects import log
from sesamehall.core.effects import SetTimer
from sesamehall.core.limits import YIELD_MS
from sesamehall.core.logevents import REQUEST_ROUTED
from sesamehall.core.replacing import replace
from sesamehall.core.state import EntryState
from sesamehall.core.state import State
from sesamehall.core.state import Target
from sesamehall.core.state import Ticket
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.core.timers import YieldTimer
from sesamehall.reducer.allotments import has_place
from sesamehall.reducer.counts import add_count
from sesamehall.reducer.load import queue_name
from sesamehall.reducer.load import record_load_change
from sesamehall.reducer.load import report_load_changes
from sesamehall.reducer.load import schedule_report
from sesamehall.reducer.queues import dequeue
from sesamehall.reducer.queues import first_waiting
from sesamehall.reducer.routing import choose_target
from sesamehall.reducer.routing import has_free_slot
from sesamehall.reducer.shares import rank_team
from sesamehall.reducer.units_requests import request_units


def dispatch_waiting(state: State, at_ms: int) -> Step:
    """Dispatch waiting requests of all services.

    A request needs a free slot of a target and a free place of its team.

    Args:
      state: State of the entry.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with the dispatches, and requests for missing units.
    """
    services = sorted(state.entry.queues_by_service)
    return dispatch_services(state, services, at_ms)


def dispatch_services(
    state: State, services: Iterable[str], at_ms: int, may_yield: bool = True
) -> Step:
    """Dispatch waiting requests of some services.

    Args:
      state: State of the entry.
      services: Names of the services, without repeats.
      at_ms: Current time on the node's clock.
      may_yield: Whether slots may be left to requests of other entries.
    Returns:
      A Step with the dispatches, and requests for missing units.
    """
    step = Step(state)
    for service in services:
        if service in step.state.entry.queues_by_service:
            step = then(step, _dispatch_service, service, at_ms, may_yield)
    return step


def dispatch_pools(state: State, pools: Iterable[str], at_ms: int) -> Step:
    """Dispatch waiting requests of the services that some pools run.

    Args:
      state: State of the entry.
      pools: Names of pools of executors.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with the dispatches.
    """
    by_pool = state.agreed.service_names_by_pool
    services = [name for pool in pools for name in by_pool.get(pool, ())]
    return dispatch_services(state, services, at_ms)


def dispatch_after_release(
    state: State, team: str, target: str, at_ms: int
) -> Step:
    """Dispatch waiting requests after an attempt has released its capacity.

    The slot may go to any team's request for the target's pool, and the place
    to a request of the team for any of its services.

    Args:
      state: State of the entry.
      team: Name of the team that a place became free for.
      target: Name of the target that a slot became free on.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with the dispatches.
    """
    placement = state.agreed.placements_by_instance.get(target)
    plan = state.agreed.plans_by_team.get(team)
    by_pool = state.agreed.service_names_by_pool
    services = by_pool.get(placement.pool, ()) if placement else ()
    plan_services = plan.services if plan else ()
    remaining = tuple(name for name in plan_services if name not in services)
    return dispatch_services(state, services + remaining, at_ms)


def _dispatch_service(state, service, at_ms, may_yield):
    """Schedule a load report and, if a slot is free, dispatch requests.

    The units that are still missing are then requested.
    """
    step = schedule_report(state, at_ms)
    definition = state.agreed.services_by_name.get(service)
    if definition is None or not has_free_slot(state, definition.pool):
        return step
    step = then(step, _dispatch_to_free_slots, service, at_ms, may_yield)
    for team in sorted(step.state.entry.queues_by_service.get(service, ())):
        step = then(step, request_units, team, at_ms)
    return step


def _dispatch_to_free_slots(state, service, at_ms, may_yield):
    """Dispatch a service's requests while slots and places are free."""
    step = Step(state)
    pool = state.agreed.services_by_name[service].pool
    while True:
        ticket = _next_ticket(step.state, service, at_ms)
        if ticket is None:
            return step
        target = choose_target(step.state, pool, ticket.tried)
        if target is None:
            return step
        if may_yield and _is_outranked(step.state, service, ticket.team):
            return then(step, _yield_slot, service, at_ms)
        step = then(step, _dispatch_request, ticket, target, at_ms)


def _is_outranked(state: State, service: str, team: str) -> bool:
    """Check whether a request at another entry should get the slot.

    It should if its team would still rank before this one after it got the
    slot.  Smaller differences do not justify the delay of yielding.
    """
    rank = rank_team(state, team)
    remote_waiting = state.entry.remote_waiting_by_queue
    for other, limit in state.agreed.limits_by_team.items():
        if other == team or queue_name(service, other) not in remote_waiting:
            continue
        if rank_team(state, other) + 1 / limit.share < rank:
            return True
    return False


def _yield_slot(state: State, service: str, at_ms: int) -> Step:
    """Report the load immediately, keep the slot free and retry later."""
    timer = SetTimer(YieldTimer(service), at_ms + YIELD_MS)
    return then(Step(state, (timer,)), report_load_changes, at_ms)


def _next_ticket(state: State, service: str, at_ms: int) -> Ticket | None:
    """Choose the next request of a service by the ranks of the teams.

    Only teams with a free place take part; equal teams go by time of receipt.
    """
    best = None
    best_rank = None
    for team, queue in state.entry.queues_by_service.get(service, {}).items():
        if not has_place(state, team, at_ms):
            continue
        ticket = first_waiting(state.entry, queue)
        rank = (rank_team(state, team), ticket.received_ms, team)
        if best_rank is None or rank < best_rank:
            best = ticket
            best_rank = rank
    return best


def _dispatch_request(
    state: State, ticket: Ticket, target: Target, at_ms: int
):
    """Send a request to a target, and charge it to its team and the target."""
    name = target.instance.name
    request = ticket.request
    sent = replace(ticket, attempt=ticket.attempt + 1, target=name)
    entry = _charge(dequeue(state.entry, ticket), sent)
    effect = Dispatch(
        request_id=request.request_id,
        attempt=sent.attempt,
        target=name,
        address=target.instance.address,
        idempotent=request.idempotent,
        not_after_ms=min(state.allotments.lease_end_ms, request.deadline_ms),
        deadline_ms=request.deadline_ms,
    )
    line = log(
        REQUEST_ROUTED,
        request=request.request_id,
        team=ticket.team,
        service=request.service,
        target=name,
        attempt=sent.attempt,
        waited_ms=at_ms - ticket.received_ms,
    )
    step = Step(replace(state, entry=entry), (effect, line))
    return then(step, record_load_change, ticket.team, name, at_ms)


def _charge(entry: EntryState, ticket: Ticket) -> EntryState:
    return replace(
        entry,
        tickets_by_request_id=entry.tickets_by_request_id.set(
            ticket.request.request_id, ticket
        ),
        running_by_team=add_count(entry.running_by_team, ticket.team, 1),
        running_by_target=add_count(entry.running_by_target, ticket.target, 1),
    )
