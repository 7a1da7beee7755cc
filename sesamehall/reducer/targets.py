"""Targets of an entry: listed executors that belong to a pool."""

from collections.abc import Iterable

from immutables import Map

from sesamehall.core.data import Instance
from sesamehall.core.data import TargetKind
from sesamehall.core.replacing import replace
from sesamehall.core.state import State
from sesamehall.core.state import Target


def update_instances(state: State, instances: tuple[Instance, ...]) -> State:
    """Apply the platform's list of instances, forwarded by a steward.

    Args:
      state: State of the entry.
      instances: All instances, including those that are leaving.
    Returns:
      The state with updated targets.
    """
    entry = replace(state.entry, instances=instances)
    return refresh_targets(replace(state, entry=entry))


def refresh_targets(state: State) -> State:
    """Derive the targets from the list and the replicated placements.

    The known health of a target is kept unless its address changes.

    Args:
      state: State of the entry.
    Returns:
      The state with updated targets.
    """
    targets = {}
    names_by_pool = {}
    for instance in state.entry.instances:
        placement = state.agreed.placements_by_instance.get(instance.name)
        if instance.kind is not TargetKind.EXECUTOR or placement is None:
            continue
        previous = state.entry.targets_by_name.get(instance.name)
        targets[instance.name] = _update_target(previous, instance)
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
      targets: Names of targets; unknown ones are skipped.
    Returns:
      Names of the pools, sorted, without duplicates.
    """
    placements = state.agreed.placements_by_instance
    return sorted(
        {placements[name].pool for name in targets if name in placements}
    )


def _update_target(previous, instance):
    if previous is None or previous.instance.address != instance.address:
        return Target(instance)
    return replace(previous, instance=instance)
