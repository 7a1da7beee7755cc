"""An entry's allotment of the fleet-wide ceilings.

Each entry holds units (see the units module) and starts no more requests
than they allow.
"""

from sesamehall.core.data import NodeKind
from sesamehall.core.limits import PREFETCHED_PLACES
from sesamehall.core.state import State
from sesamehall.reducer.routing import count_free_slots
from sesamehall.reducer.units import places_for
from sesamehall.reducer.units import units_for
from sesamehall.reducer.units import UNITS_PER_CEILING


def held_units(state: State, team: str) -> int:
    """Compute the units of a team's ceiling that this entry holds.

    Args:
      state: State of the entry.
      team: Name of the team.
    Returns:
      The units; 0 for an incarnation that is not a member.
    """
    incarnation = state.identity.incarnation
    member = state.agreed.members_by_incarnation.get(incarnation)
    if member is None:
        return 0
    held = member.granted_by_team.get(team, 0)
    held += state.allotments.net_by_team.get(team, 0)
    for units_by_team in state.allotments.deposits_by_record_id.values():
        held -= units_by_team.get(team, 0)
    return held


def has_place(state: State, team: str, at_ms: int) -> bool:
    """Return whether this entry may start one more request of a team.

    Args:
      state: State of the entry.
      team: Name of the team.
      at_ms: Current time on the node's clock.
    Returns:
      True if its lease is valid and its units allow one more.
    """
    if at_ms >= state.allotments.lease_end_ms:
        return False
    limit = state.agreed.limits_by_team.get(team)
    if limit is None:
        return False
    running = state.entry.running_by_team.get(team, 0)
    return running < places_for(held_units(state, team), limit.ceiling)


def missing_units(state: State, team: str) -> int:
    """Compute the units that waiting requests need to start now.

    Args:
      state: State of the entry.
      team: Name of the team.
    Returns:
      The units beyond those held, never below zero; 0 while the entry has
      a place left, since then the requests wait for slots, not for units.
    """
    limit = state.agreed.limits_by_team.get(team)
    if limit is None:
        return 0
    running = state.entry.running_by_team.get(team, 0)
    held = held_units(state, team)
    if running < places_for(held, limit.ceiling):
        return 0
    requests = running + _count_startable(state, team)
    needed = units_for(min(requests, limit.ceiling), limit.ceiling)
    return max(needed - held, 0)


def _count_startable(state: State, team: str) -> int:
    """Count a team's waiting requests, up to the free slots.

    PREFETCHED_PLACES of each service count even if no slot is free.
    """
    count = 0
    for service, queues in state.entry.queues_by_service.items():
        queue = queues.get(team)
        definition = state.agreed.services_by_name.get(service)
        if queue is None or definition is None:
            continue
        waiting = len(queue.urgent) + len(queue.normal)
        slots = max(
            count_free_slots(state, definition.pool), PREFETCHED_PLACES
        )
        count += min(waiting, slots)
    return count


def spare_units(state: State, team: str) -> int:
    """Compute the units that are not in use by requests in flight.

    Args:
      state: State of the entry.
      team: Name of the team.
    Returns:
      The units, never below zero.
    """
    held = held_units(state, team)
    limit = state.agreed.limits_by_team.get(team)
    if limit is None:
        return max(held, 0)
    running = state.entry.running_by_team.get(team, 0)
    return max(held - units_for(running, limit.ceiling), 0)


def count_entries(state: State) -> int:
    """Count the entries in the settings, including this one.

    Args:
      state: State of a node.
    Returns:
      The number of entries, at least 1.
    """
    peers = state.identity.peers_by_name.values()
    return 1 + sum(peer.kind is NodeKind.ENTRY for peer in peers)


def initial_units(state: State) -> int:
    """Compute the units of every ceiling that a new member withdraws.

    Args:
      state: State of the entry.
    Returns:
      The whole ceiling, divided equally among all entries and the jobs.
    """
    return UNITS_PER_CEILING // (count_entries(state) + 1)
