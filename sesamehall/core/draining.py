"""Drains of data centres: what operators request, and what was logged of it.

All points in time are on this node's clock.
"""

from dataclasses import dataclass

from immutables import Map

from sesamehall.core.data import EMPTY_MAP

DRAIN_KEY_PREFIX = "drain/"  # of a request's key in the operators' stream
DRAIN_LOG_PERIOD_MS = 2_000  # between log lines about what still runs
DRAIN_MOVES_PER_TICK = 2  # idle machines; leaves room for moves into use
# An order that is void this long before the limit arrives within it.
DRAIN_ORDER_MARGIN_MS = 1_000


@dataclass(frozen=True, slots=True)
class Drain:
    """A data centre in which nothing may be started.

    Attributes:
      first_seen_ms: Time at which this node first read the request.
      warnings: Reasons for which the request was logged as doubtful.
      logged_ms: Time at which the runs that are left were last logged, or -1.
      completed: Whether no runs were left when they were last counted.
    """

    first_seen_ms: int
    warnings: tuple[str, ...] = ()
    logged_ms: int = -1
    completed: bool = False


@dataclass(frozen=True, slots=True)
class DrainingState:
    """The drains that are in force.

    Attributes:
      drains_by_data_centre: The drains.
    """

    drains_by_data_centre: Map[str, Drain] = EMPTY_MAP
