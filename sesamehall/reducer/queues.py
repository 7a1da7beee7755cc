"""Queues of waiting requests, one for each service and team."""

from immutables import Map

from sesamehall.core.replacing import replace
from sesamehall.core.state import EntryState
from sesamehall.core.state import State
from sesamehall.core.state import TeamQueue
from sesamehall.core.state import Ticket
from sesamehall.reducer.counts import add_count
from sesamehall.reducer.counts import drop_key

EMPTY_QUEUES: Map[str, TeamQueue] = Map()


def enqueue(state: State, ticket: Ticket) -> State:
    """Append a new request to its queue.

    Args:
      state: State of the entry.
      ticket: The admitted request.
    Returns:
      The state with the request waiting.
    """
    return replace(
        state, entry=_add_waiting(state.entry, ticket, at_head=False)
    )


def requeue(entry: EntryState, ticket: Ticket) -> EntryState:
    """Return a request that no target ran to the head of its queue.

    Args:
      entry: The entry's part of the state.
      ticket: The request; its target is cleared already.
    Returns:
      The entry's part with the request waiting.
    """
    return _add_waiting(entry, ticket, at_head=True)


def first_waiting(entry: EntryState, queue: TeamQueue) -> Ticket | None:
    """Find the next request of a queue.

    Args:
      entry: The entry's part of the state.
      queue: A queue without answered requests at its head.
    Returns:
      The ticket, or None if the queue is empty.
    """
    for request_id in queue.urgent or queue.normal:
        return entry.tickets_by_request_id.get(request_id)
    return None


def dequeue(entry: EntryState, ticket: Ticket) -> EntryState:
    """Remove a request from the head of its queue.

    Args:
      entry: The entry's part of the state.
      ticket: The first request of its queue.
    Returns:
      The entry's part with a shorter queue.
    """
    service = ticket.request.service
    queues = entry.queues_by_service.get(service, EMPTY_QUEUES)
    queue = queues[ticket.team]
    if queue.urgent:
        remaining = replace(queue, urgent=queue.urgent[1:])
    else:
        remaining = replace(queue, normal=queue.normal[1:])
    return replace(
        entry,
        queues_by_service=_with_queue(
            entry, service, ticket.team, _trim(entry, remaining)
        ),
        waiting_by_team=add_count(entry.waiting_by_team, ticket.team, -1),
    )


def remove_request(entry: EntryState, ticket: Ticket) -> EntryState:
    """Drop a request that was answered, also if it was still waiting.

    Its identifier stays in the middle of a queue until it gets to the head,
    so that many cancellations at once need no search.

    Args:
      entry: The entry's part of the state.
      ticket: The request.
    Returns:
      The entry's part without the request.
    """
    request = ticket.request
    tickets = drop_key(entry.tickets_by_request_id, request.request_id)
    changed = replace(entry, tickets_by_request_id=tickets)
    if ticket.target:
        return changed
    queues = changed.queues_by_service.get(request.service, EMPTY_QUEUES)
    queue = _trim(changed, queues.get(ticket.team, TeamQueue()))
    return replace(
        changed,
        queues_by_service=_with_queue(
            changed, request.service, ticket.team, queue
        ),
        waiting_by_team=add_count(changed.waiting_by_team, ticket.team, -1),
    )


def _add_waiting(entry, ticket, at_head):
    """Add a request to its queue and to the counts."""
    request = ticket.request
    queues = entry.queues_by_service.get(request.service, EMPTY_QUEUES)
    queue = _insert(queues.get(ticket.team, TeamQueue()), request, at_head)
    tickets = entry.tickets_by_request_id.set(request.request_id, ticket)
    return replace(
        entry,
        tickets_by_request_id=tickets,
        queues_by_service=_with_queue(
            entry, request.service, ticket.team, queue
        ),
        waiting_by_team=add_count(entry.waiting_by_team, ticket.team, 1),
    )


def _insert(queue, request, at_head):
    ids = (request.request_id,)
    match (request.urgent, at_head):
        case (True, True):
            return replace(queue, urgent=ids + queue.urgent)
        case (True, False):
            return replace(queue, urgent=queue.urgent + ids)
        case (False, True):
            return replace(queue, normal=ids + queue.normal)
        case _:
            return replace(queue, normal=queue.normal + ids)


def _trim(entry, queue):
    """Drop answered requests from the head of a queue, urgent and normal."""
    return TeamQueue(
        urgent=_trim_ids(entry, queue.urgent),
        normal=_trim_ids(entry, queue.normal),
    )


def _trim_ids(entry, request_ids):
    tickets = entry.tickets_by_request_id
    for index, request_id in enumerate(request_ids):
        if request_id in tickets:
            return request_ids[index:] if index else request_ids
    return ()


def _with_queue(entry, service, team, queue):
    """Store a queue; empty queues and services without queues are removed."""
    queues = entry.queues_by_service.get(service, EMPTY_QUEUES)
    if queue.urgent or queue.normal:
        queues = queues.set(team, queue)
    else:
        queues = drop_key(queues, team)
    if queues:
        return entry.queues_by_service.set(service, queues)
    return drop_key(entry.queues_by_service, service)
