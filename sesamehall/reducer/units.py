"""Conversion between units and places of a team's ceiling.

Every ceiling is divided into UNITS_PER_CEILING units, whatever its height.  A
holder of units may run as many requests as they are worth at the current
ceiling, rounded down.  The sum over all holders therefore never exceeds the
ceiling, and a change of the ceiling redistributes no units.
"""

# Fewer units would lose places of ceilings above a million to rounding.
UNITS_PER_CEILING = 1 << 30


def places_for(units: int, ceiling: int) -> int:
    """Compute how many requests some units are worth.

    Args:
      units: Units held, negative for an overdrawn holder.
      ceiling: Current ceiling of the team.
    Returns:
      The number of requests that may run at once, never below zero.
    """
    return max(units, 0) * ceiling // UNITS_PER_CEILING


def units_for(requests: int, ceiling: int) -> int:
    """Compute the fewest units that are worth a number of requests.

    Args:
      requests: Number of requests to run at once.
      ceiling: Current ceiling of the team, at least 1.
    Returns:
      The number of units, at most UNITS_PER_CEILING if the requests are
      within the ceiling.
    """
    return -(-requests * UNITS_PER_CEILING // ceiling)
