"""The fleet as an entry routes to it: listed, placed and live instances."""

from collections.abc import Iterable

from immutables import Map

from sesamehall.core.data import Instance
from sesamehall.core.data import TargetKind
from sesamehall.core.replacing import replace
from sesamehall.core.state import State
from sesamehall.core.state import Target


def update_instances(state: State, instances: tuple[Instance, ...]) -> State:
    """Take in the platform's list as a steward forwarded it.

    Args:
      state: State of the entry.
      instances: All live and leaving instances.
    Returns:
      The state with the targets brought up to date.
    """
    entry = replace(state.entry, instances=instances)
    return refresh_targets(replace(state, entry=entry))


def refresh_targets(state: State) -> State:
    """Derive the targets from the list and from the agreed placements.

    What is known of a target's health is kept across lists, but not across
    a change of its address.

    Args:
      state: State of the entry.
    Returns:
      The state with the targets brought up to date.
    """
    targets = {}
    names_by_pool = {}
    for instance in state.entry.instances:
        placement = state.agreed.placements_by_instance.get(instance.name)
        if instance.kind is not TargetKind.EXECUTOR or placement is None:
            continue
        known = state.entry.targets_by_name.get(instance.name)
        targets[instance.name] = _renew(known, instance)
        names_by_pool.setdefault(placement.pool, []).append(instance.name)
    pools = Map(
        (pool, tuple(sorted(names))) for pool, names in names_by_pool.items()
    )
    entry = replace(
        state.entry, targets_by_name=Map(targets), targets_by_pool=pools
    )
    return replace(state, entry=entry)


def pools_of(state: State, targets: Iterable[str]) -> list[str]:
    """Find the pools that some targets belong to.

    Args:
      state: State of the entry.
      targets: Names of targets; unknown ones are passed over.
    Returns:
      Names of the pools, sorted, without repeats.
    """
    placements = state.agreed.placements_by_instance
    return sorted(
        {placements[name].pool for name in targets if name in placements}
    )


def _renew(known, instance):
    if known is None or known.instance.address != instance.address:
        return Target(instance)
    return replace(known, instance=instance)
