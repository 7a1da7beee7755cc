"""The leader's view of machines: orders, waves and sizes of pools."""

from dataclasses import dataclass
from enum import Enum

from immutables import Map

from sesamehall.core.data import EMPTY_MAP
from sesamehall.core.fleet import Machine
from sesamehall.core.manifest import Wave


class MachineOrder(Enum):
    """What was asked of a machine."""

    MOVE = "move"
    MAINTENANCE = "maintenance"


@dataclass(frozen=True, slots=True)
class PendingOrder:
    """An order for a machine that is not seen to be carried out yet.

    Attributes:
      order: What was asked.
      pool: Pool to join, or "" for maintenance.
      wave: Wave that asked for maintenance, or 0.
      worker_id: Worker that has to be empty first, or "".
      since_ms: Clock at which it was decided.
      sent_ms: Clock at which it was last sent, or -1 while its worker
        empties.
      tries: How often it was sent.
      done_ms: Clock at which the platform took it, or -1.
      stored: Whether it is stored that the machine may have an order.
    """

    order: MachineOrder
    pool: str
    wave: int
    worker_id: str
    since_ms: int
    sent_ms: int = -1
    tries: int = 0
    done_ms: int = -1
    stored: bool = False


@dataclass(frozen=True, slots=True)
class WaveProgress:
    """A wave of maintenance as the leader works on it.

    Attributes:
      wave: The wave.
      seen_ms: Clock at which this node first saw it.
      completed: Whether its end was reported.
      reported: Whether its beginning was reported.
    """

    wave: Wave
    seen_ms: int
    completed: bool = False
    reported: bool = False


@dataclass(frozen=True, slots=True)
class Peak:
    """The highest of a pool's needs in the latest time.

    Attributes:
      workers: Workers that were needed.
      at_ms: Clock at which they were.
    """

    workers: int
    at_ms: int


@dataclass(frozen=True)
class FleetState:
    """Machines, and what is to happen to them.

    Attributes:
      machines_by_name: Machines as last listed.
      listed_ms: Clock of that list, or -1.
      listing: Whether a list is under way.
      orders_by_machine: Orders that are not carried out yet.
      waves_by_number: Waves of maintenance.
      peaks_by_pool: Workers that each pool has needed of late.
      touched_ms_by_machine: Clock of the latest decision for a machine.
      inherited: Machines that an earlier leader may have orders for.
      targets_by_pool: Workers that each pool shall have.
      unstored: Whether there are machines with orders not stored yet.
    """

    machines_by_name: Map[str, Machine] = EMPTY_MAP
    listed_ms: int = -1
    listing: bool = False
    orders_by_machine: Map[str, PendingOrder] = EMPTY_MAP
    waves_by_number: Map[int, WaveProgress] = EMPTY_MAP
    peaks_by_pool: Map[str, Peak] = EMPTY_MAP
    touched_ms_by_machine: Map[str, int] = EMPTY_MAP
    inherited: tuple[str, ...] = ()
    targets_by_pool: Map[str, int] = EMPTY_MAP
    unstored: bool = False
