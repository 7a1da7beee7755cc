"""An entry's part of the fleet-wide ceilings.

Entries hold units (see the units module) and spend only what they hold.
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
    """Tell whether this entry may start one more request of a team.

    Args:
      state: State of the entry.
      team: Name of the team.
      at_ms: The node's clock.
    Returns:
      True within the entry's lease and its part of the ceiling.
    """
    if at_ms >= state.allotments.lease_end_ms:
        return False
    limit = state.agreed.limits_by_team.get(team)
    if limit is None:
        return False
    running = state.entry.running_by_team.get(team, 0)
    return running < places_for(held_units(state, team), limit.ceiling)


def missing_units(state: State, team: str) -> int:
    """Compute the units that would let waiting requests start at once.

    Args:
      state: State of the entry.
      team: Name of the team.
    Returns:
      The units beyond those held, never below zero; 0 while the entry has
      a place left, since then slots are what the requests wait for.
    """
    limit = state.agreed.limits_by_team.get(team)
    if limit is None:
        return 0
    running = state.entry.running_by_team.get(team, 0)
    held = held_units(state, team)
    if running < places_for(held, limit.ceiling):
        return 0
    wanted = running + _startable(state, team)
    needed = units_for(min(wanted, limit.ceiling), limit.ceiling)
    return max(needed - held, 0)


def _startable(state: State, team: str) -> int:
    """Count a team's waiting requests that slots would take soon."""
    count = 0
    for service, lines in state.entry.queues_by_service.items():
        line = lines.get(team)
        known = state.agreed.services_by_name.get(service)
        if line is None or known is None:
            continue
        waiting = len(line.urgent) + len(line.normal)
        slots = max(count_free_slots(state, known.pool), PREFETCHED_PLACES)
        count += min(waiting, slots)
    return count


def spare_units(state: State, team: str) -> int:
    """Compute the units that no request in flight stands on.

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
    """Count the entries that the settings name, this one included.

    Args:
      state: State of a node.
    Returns:
      The number of entries, at least 1.
    """
    peers = state.identity.peers_by_name.values()
    return 1 + sum(peer.kind is NodeKind.ENTRY for peer in peers)


def initial_units(state: State) -> int:
    """Compute the units that an entry takes of every ceiling at its start.

    Args:
      state: State of the entry.
    Returns:
      An equal part for each entry of the settings and one for the jobs.
    """
    return UNITS_PER_CEILING // (count_entries(state) + 1)
