"""Checks of what teams use against their ceilings."""

from sesamehall.core.managerstate import ManagerState
from sesamehall.core.sizes import fits
from sesamehall.core.work import NO_SIZE
from sesamehall.core.work import Size


def is_within_ceiling(manager: ManagerState, team: str, used: Size) -> bool:
    """Check a team's resource use against its ceiling.

    Args:
      manager: State of the leader.
      team: The team.
      used: Resources that its runs would use.
    Returns:
      False if a resource is above its ceiling. A ceiling of 0 limits nothing.
    """
    quota = manager.manifest.quotas_by_team.get(team)
    if quota is None:
        return True
    return fits(limited_part(used, quota.ceiling), quota.ceiling)


def has_ceiling(manager: ManagerState, team: str) -> bool:
    """Check whether a team's resource use is limited.

    Args:
      manager: State of the leader.
      team: The team.
    Returns:
      True if it has a ceiling for some resource.
    """
    quota = manager.manifest.quotas_by_team.get(team)
    return quota is not None and quota.ceiling != NO_SIZE


def limited_part(used: Size, ceiling: Size) -> Size:
    """Return resources with those set to 0 that a ceiling does not limit.

    Args:
      used: Resources.
      ceiling: A ceiling, 0 for what it does not limit.
    Returns:
      The resources.
    """
    return Size(
        used.cpu_milli if ceiling.cpu_milli else 0,
        used.memory_mb if ceiling.memory_mb else 0,
        used.accelerators if ceiling.accelerators else 0,
    )
