"""Routing: the choice of the target that runs a request."""

from sesamehall.core.state import EntryState
from sesamehall.core.state import State
from sesamehall.core.state import Target


def choose_target(
    state: State, pool: str, tried: tuple[str, ...]
) -> Target | None:
    """Choose the target with the most free slots.

    Targets in the entry's own data centre are preferred; others are used
    only if none of those has a free slot.

    Args:
      state: State of the entry.
      pool: Name of the pool of executors.
      tried: Names of targets to avoid after failed attempts.
    Returns:
      The target, or None if no slot is free.
    """
    entry = state.entry
    own_data_centre = state.identity.node.data_centre
    best = None
    best_rank = None
    for name in entry.targets_by_pool.get(pool, ()):
        target = entry.targets_by_name[name]
        free = free_slots(entry, target)
        if free <= 0 or name in tried or not is_usable(state, target):
            continue
        rank = (target.instance.data_centre != own_data_centre, -free, name)
        if best_rank is None or rank < best_rank:
            best = target
            best_rank = rank
    return best


def has_free_slot(state: State, pool: str) -> bool:
    """Check whether any target of a pool can take a request.

    Args:
      state: State of the entry.
      pool: Name of the pool of executors.
    Returns:
      True if a usable target has a free slot.
    """
    entry = state.entry
    for name in entry.targets_by_pool.get(pool, ()):
        target = entry.targets_by_name[name]
        if free_slots(entry, target) > 0 and is_usable(state, target):
            return True
    return False


def free_slots(entry: EntryState, target: Target) -> int:
    """Count the slots of a target that no entry is known to use.

    Args:
      entry: The entry's part of the state.
      target: The target.
    Returns:
      The number of free slots; at most 1 while the target is probed.
    """
    name = target.instance.name
    used = entry.running_by_target.get(name, 0)
    used += entry.remote_running_by_target.get(name, 0)
    free = target.instance.slots - used
    if target.probing:
        return min(free, 1 - entry.running_by_target.get(name, 0))
    return free


def is_usable(state: State, target: Target) -> bool:
    """Check whether new requests may be sent to a target.

    Args:
      state: State of the entry.
      target: The target.
    Returns:
      False if the target is quarantined, leaving or being moved.
    """
    if target.quarantined or target.instance.leaving:
        return False
    placement = state.agreed.placements_by_instance.get(target.instance.name)
    return placement is not None and placement.move is None


def count_free_slots(state: State, pool: str) -> int:
    """Count the free slots of a pool's usable targets.

    Args:
      state: State of the entry.
      pool: Name of the pool of executors.
    Returns:
      The number of slots, at least 0.
    """
    entry = state.entry
    count = 0
    for name in entry.targets_by_pool.get(pool, ()):
        target = entry.targets_by_name[name]
        if is_usable(state, target):
            count += max(free_slots(entry, target), 0)
    return count
