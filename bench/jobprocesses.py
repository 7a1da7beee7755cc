"""Simulated manager processes and the faults of their calls."""

from collections import deque
from dataclasses import dataclass
from dataclasses import field

from sesamehall.core.fleet import StoredRecord
from sesamehall.core.state import State

WALL_CLOCK_START_MS = 1_700_000_000_000  # time of day at simulated time 0


@dataclass(slots=True)
class CallFaultRates:
    """Probabilities of faults of calls.

    Attributes:
      lost: Probability that a call never arrives.
      response_lost: Probability that a call takes effect but its response is
        lost.
      late: Probability that a call is executed late, without a response: 2 to
        12 seconds at a worker, up to 8 seconds at the store.
      duplicated: Probability that a call to a worker is executed immediately
        and again 2 to 12 seconds later, without a response; a call to the
        store is late instead.
      slow: Probability that a request takes up to 400 ms instead of 3 ms;
        drawn again for the response.
    """

    lost: float = 0.01
    response_lost: float = 0.02
    late: float = 0.01
    duplicated: float = 0.01
    slow: float = 0.1


NO_FAULTS = CallFaultRates(0.0, 0.0, 0.0, 0.0, 0.0)


@dataclass(slots=True)
class ProgressWriter:
    """Appends of a manager as leader, one at a time.

    Attributes:
      epoch: Epoch of the latest append.
      sequence: Sequence number of the next append.
      unconfirmed: Records of an append whose outcome is unknown.
      unconfirmed_sent_ms: Time on the manager's clock at which that append,
        or a claim of unknown outcome, was first sent, or -1.
      queue: Appends in order; the first one is in flight.
    """

    epoch: int = 0
    sequence: int = 0
    unconfirmed: tuple[StoredRecord, ...] = ()
    unconfirmed_sent_ms: int = -1
    queue: deque = field(default_factory=deque)


@dataclass(slots=True, eq=False)
class ManagerProcess:
    """The simulated process of a manager, with the faults in force.

    Attributes:
      name: Name of the manager.
      state: State of the reducer.
      clock_skew_ms: Offset of its clock from simulated time.
      alive: Whether the process runs.
      start_count: Number of starts; events for an earlier start are dropped.
      paused_until_ms: Simulated time until which it handles no event.
      timers: Due time of each timer on the manager's clock.
      writer: Its appends as leader.
      store_unreachable: Whether its calls to the store are lost.
      store_refuses: Whether the store rejects its calls.
      append_responses_lost: Whether its appends take effect but their
        responses are lost.
      append_deliveries: Faults of its next appends, in order, "answered" for
        none; later ones are drawn.
      unreachable_workers: Ids of the workers that it cannot reach.
      response_lag_ms: Additional delay of the responses of workers.
    """

    name: str
    state: State
    clock_skew_ms: int
    alive: bool = True
    start_count: int = 1
    paused_until_ms: int = 0
    timers: dict = field(default_factory=dict)
    writer: ProgressWriter = field(default_factory=ProgressWriter)
    store_unreachable: bool = False
    store_refuses: bool = False
    append_responses_lost: bool = False
    append_deliveries: deque[str] = field(default_factory=deque)
    unreachable_workers: set[str] = field(default_factory=set)
    response_lag_ms: int = 0

    @property
    def epoch(self) -> int:
        """Epoch of its term as leader, 0 while it does not lead."""
        return self.state.manager.term.epoch
