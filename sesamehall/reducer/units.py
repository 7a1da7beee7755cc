"""Arithmetic of ceilings split into units.

A team's ceiling, whatever its height, is cut into WHOLE units.  A holder of
some units may run the whole number of requests that they are worth at the
ceiling in force, rounded down; so the sum over all holders never exceeds the
ceiling, and a changed ceiling needs no redistribution.
"""

WHOLE = 1 << 30  # fewer would round off places of ceilings above a million


def places(units: int, ceiling: int) -> int:
    """Compute how many requests some units are worth.

    Args:
      units: Units held, negative for an overdrawn holder.
      ceiling: Ceiling of the team in force.
    Returns:
      The number of requests that may run at once, never below zero.
    """
    return max(units, 0) * ceiling // WHOLE


def units_for(requests: int, ceiling: int) -> int:
    """Compute the fewest units that are worth a number of requests.

    Args:
      requests: Number of requests that shall run at once.
      ceiling: Ceiling of the team in force, at least 1.
    Returns:
      The number of units, at most WHOLE for a number within the ceiling.
    """
    return -(-requests * WHOLE // ceiling)
