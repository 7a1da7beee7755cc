"""The leader's view of machines: orders, maintenance waves and pool sizes.

All points in time are on this node's clock.
"""

from dataclasses import dataclass
from enum import Enum

from immutables import Map

from sesamehall.core.data import EMPTY_MAP
from sesamehall.core.fleet import Machine
from sesamehall.core.manifest import Wave
from sesamehall.core.turnstate import ExpectedTurn
from sesamehall.core.turnstate import Turn


class MachineOrderKind(Enum):
    """Kind of an order for a machine."""

    MOVE = "move"
    MAINTENANCE = "maintenance"


@dataclass(frozen=True, slots=True)
class PendingOrder:
    """An order for a machine that is not known to be carried out yet.

    Attributes:
      kind: Kind of the order.
      pool: Pool to move to, or "" for maintenance.
      wave: Wave that requested the maintenance, or 0.
      worker_id: Worker that must be evacuated first, or "".
      decided_ms: Time at which the order was decided.
      advanced_ms: Time at which the evacuation last advanced: a task was
        stopped, or the worker had fewer tasks than before. -1 before that.
      task_count: Number of tasks that the worker had by then.
      last_sent_ms: Time at which it was last sent, or -1 while it waits to
        be sent, for example until its worker is evacuated.
      send_count: Number of times that it was sent.
      accepted_ms: Time at which the platform accepted it, or -1.
      repeat_refused_ms: Time at which the platform refused to carry it out
        again, while an earlier attempt had no clear answer, or -1. It may
        have been carried out; the list of machines shows it.
      stored: Whether a stored record says that the machine may have an order;
        the order is not sent before.
    """

    kind: MachineOrderKind
    pool: str
    wave: int
    worker_id: str
    decided_ms: int
    advanced_ms: int = -1
    task_count: int = 0
    last_sent_ms: int = -1
    send_count: int = 0
    accepted_ms: int = -1
    repeat_refused_ms: int = -1
    stored: bool = False


@dataclass(frozen=True, slots=True)
class WaveProgress:
    """Progress of a maintenance wave.

    Attributes:
      wave: The wave.
      first_seen_ms: Time at which this node first saw the wave.
      completed: Whether its completion was reported.
      start_reported: Whether its start was reported.
    """

    wave: Wave
    first_seen_ms: int
    completed: bool = False
    start_reported: bool = False


@dataclass(frozen=True, slots=True)
class Peak:
    """The highest recent demand of a pool.

    Attributes:
      workers: Number of workers that were needed.
      at_ms: Time at which they were needed.
    """

    workers: int
    at_ms: int


@dataclass(frozen=True, slots=True)
class SmoothedDemand:
    """Demand of a pool, as an exponentially decaying average.

    Attributes:
      workers: Number of workers.
      at_ms: Time for which the average was computed.
    """

    workers: float
    at_ms: int


@dataclass(frozen=True)
class FleetState:
    """Machines and the orders for them.

    Attributes:
      machines_by_name: Machines as last listed, also those that the newest
        list lacks for a moment.
      missing_since_ms_by_machine: Time at which a list first lacked a machine,
        of those that no list has had since.
      listed_ms: Time at which that list arrived, or -1.
      list_in_flight: Whether a request for the list is in flight.
      orders_by_machine: Orders that are not known to be carried out yet, by
        name of the machine.
      waves_by_number: Maintenance waves.
      peaks_by_pool: Highest recent demand of each pool, in workers.
      deferred_until_ms_by_machine: Time until which a machine whose order was
        withdrawn gets no other.
      last_decision_ms_by_machine: Time at which an order for a machine was
        last decided or sent.
      inherited: Machines for which an earlier leader may have sent orders
        that can still be carried out.
      targets_by_pool: Number of workers that each pool is to have.
      short_pools: Pools that cannot have as many workers as they want, since
        there are not enough machines, mapped to True.
      orders_unstored: Whether there are orders whose machines are not stored
        yet.
      smoothed_demand_by_pool: Demand of each pool, in a deployment with turns.
      logged_turn: Turn whose beginning was last logged, or None.
      logged_expectation: Expected turn that was last logged, or None.
    """

    machines_by_name: Map[str, Machine] = EMPTY_MAP
    missing_since_ms_by_machine: Map[str, int] = EMPTY_MAP
    listed_ms: int = -1
    list_in_flight: bool = False
    orders_by_machine: Map[str, PendingOrder] = EMPTY_MAP
    waves_by_number: Map[int, WaveProgress] = EMPTY_MAP
    peaks_by_pool: Map[str, Peak] = EMPTY_MAP
    deferred_until_ms_by_machine: Map[str, int] = EMPTY_MAP
    last_decision_ms_by_machine: Map[str, int] = EMPTY_MAP
    inherited: tuple[str, ...] = ()
    targets_by_pool: Map[str, int] = EMPTY_MAP
    short_pools: Map[str, bool] = EMPTY_MAP
    orders_unstored: bool = False
    smoothed_demand_by_pool: Map[str, SmoothedDemand] = EMPTY_MAP
    logged_turn: Turn | None = None
    logged_expectation: ExpectedTurn | None = None
