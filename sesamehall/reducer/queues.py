"""Queues of waiting requests, one line for each service and team."""

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
    """Put a new request at the end of its line.

    Args:
      state: State of the entry.
      ticket: The admitted request.
    Returns:
      The state with the request waiting.
    """
    return replace(state, entry=_wait(state.entry, ticket, first=False))


def requeue(entry: EntryState, ticket: Ticket) -> EntryState:
    """Put a request that no target ran back to the head of its line.

    Args:
      entry: The entry's part of the state.
      ticket: The request, its target already cleared.
    Returns:
      The entry's part with the request waiting.
    """
    return _wait(entry, ticket, first=True)


def first_waiting(entry: EntryState, queue: TeamQueue) -> Ticket | None:
    """Find the request of a line that is next.

    Args:
      entry: The entry's part of the state.
      queue: A line whose head was trimmed.
    Returns:
      The ticket, or None when the line is empty.
    """
    for request_id in queue.urgent or queue.normal:
        return entry.tickets_by_request_id.get(request_id)
    return None


def dequeue(entry: EntryState, ticket: Ticket) -> EntryState:
    """Take the first request out of its line, which it must head.

    Args:
      entry: The entry's part of the state.
      ticket: The first request of its line.
    Returns:
      The entry's part with a shorter line.
    """
    service = ticket.request.service
    queues = entry.queues_by_service.get(service, EMPTY_QUEUES)
    queue = queues[ticket.team]
    if queue.urgent:
        shorter = replace(queue, urgent=queue.urgent[1:])
    else:
        shorter = replace(queue, normal=queue.normal[1:])
    return replace(
        entry,
        queues_by_service=_with_queue(
            entry, service, ticket.team, _trim(entry, shorter)
        ),
        waiting_by_team=add_count(entry.waiting_by_team, ticket.team, -1),
    )


def remove_request(entry: EntryState, ticket: Ticket) -> EntryState:
    """Forget a request that was answered; a waiting one leaves its line.

    The identifier stays in the middle of a line until it becomes the head,
    so that a wave of cancellations costs no search.

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


def _wait(entry, ticket, first):
    """Add a request to its line and to the counts."""
    request = ticket.request
    queues = entry.queues_by_service.get(request.service, EMPTY_QUEUES)
    queue = _insert(queues.get(ticket.team, TeamQueue()), request, first)
    tickets = entry.tickets_by_request_id.set(request.request_id, ticket)
    return replace(
        entry,
        tickets_by_request_id=tickets,
        queues_by_service=_with_queue(
            entry, request.service, ticket.team, queue
        ),
        waiting_by_team=add_count(entry.waiting_by_team, ticket.team, 1),
    )


def _insert(queue, request, first):
    ids = (request.request_id,)
    match (request.urgent, first):
        case (True, True):
            return replace(queue, urgent=ids + queue.urgent)
        case (True, False):
            return replace(queue, urgent=queue.urgent + ids)
        case (False, True):
            return replace(queue, normal=ids + queue.normal)
        case _:
            return replace(queue, normal=queue.normal + ids)


def _trim(entry, queue):
    """Drop identifiers of answered requests from the heads of a line."""
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
    """Store a line; empty lines and empty services are taken out."""
    queues = entry.queues_by_service.get(service, EMPTY_QUEUES)
    if queue.urgent or queue.normal:
        queues = queues.set(team, queue)
    else:
        queues = drop_key(queues, team)
    if queues:
        return entry.queues_by_service.set(service, queues)
    return drop_key(entry.queues_by_service, service)
