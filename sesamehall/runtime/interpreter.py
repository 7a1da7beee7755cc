"""The interpreter: reduces events one at a time and performs the effects."""

from collections.abc import Callable
import heapq
import logging
from queue import Empty
from queue import SimpleQueue
import time

from sesamehall.core.effects import Effect
from sesamehall.core.effects import Exit
from sesamehall.core.effects import log
from sesamehall.core.effects import Log
from sesamehall.core.effects import SetTimer
from sesamehall.core.events import Event
from sesamehall.core.events import TimerFired
from sesamehall.core.logevents import INTERNAL_ERROR
from sesamehall.core.managereffects import StartRun
from sesamehall.core.managereffects import StopRun
from sesamehall.core.managerevents import AdviceGiven
from sesamehall.core.managerevents import AdviceNotGiven
from sesamehall.core.managerevents import MachinesListed
from sesamehall.core.managerevents import MachinesNotListed
from sesamehall.core.managerevents import OrderRefusal
from sesamehall.core.managerevents import ProgressStored
from sesamehall.core.managerevents import StoreOutcome
from sesamehall.core.managerevents import StreamRead
from sesamehall.core.managerevents import StreamUnread
from sesamehall.core.managerevents import WorkerNotReported
from sesamehall.core.managerevents import WorkerReported
from sesamehall.core.state import State
from sesamehall.core.timers import Timer
from sesamehall.reducer.reduce import reduce
from sesamehall.runtime.effectfailures import describe_error
from sesamehall.runtime.effectfailures import failure_event
from sesamehall.runtime.tallies import order_latency
from sesamehall.runtime.tallies import ReducedEvent

LOGGER = logging.getLogger("sesamehall")
# Orders counted in the statistics.  ThrottleRun is left out: its response is
# not posted as an event, so the statistics do not cover it either.
COUNTED_ORDERS = (StartRun, StopRun)
NOT_REDUCED = "the answer could not be applied"
FAILED_TIMER_RETRY_MS = 500  # until a timer whose event failed fires again


def now_ms() -> int:
    """Return the node's monotonic clock, which includes suspended time.

    Returns:
      Milliseconds since an arbitrary point in time.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


class Interpreter:
    """Owns a node's state, event queue and timers.

    Attributes:
      state: The state after the last event.
    """

    def __init__(
        self,
        state: State,
        perform: Callable[[Effect], None],
        record_event: Callable[[Event], None] | None = None,
        observe: Callable[[ReducedEvent], None] | None = None,
    ):
        """Create an interpreter.

        Args:
          state: Initial state of the node.
          perform: Performs an effect; it must not block.
          record_event: Records every event before it is reduced, or None.
          observe: Receives the cost of each event, or None.
        """
        self.state = state
        self._perform = perform
        self._record = record_event
        self._observe = observe
        self._events: SimpleQueue[Event] = SimpleQueue()
        self._peeked_event: Event | None = None
        self._timer_heap: list[tuple[int, int, Timer]] = []
        self._due_ms_by_timer: dict[Timer, int] = {}
        self._timer_sequence = 0  # orders timers with the same due time
        self._running = True

    def post_event(self, event: Event) -> None:
        """Queue an event; may be called from any thread.

        Args:
          event: The event.
        """
        self._events.put(event)

    def run(self) -> None:
        """Reduce events until an Exit effect."""
        while self._running:
            event = self._next_event()
            if event is None:
                continue
            if self._observe is None:
                self._reduce(event)
            else:
                self._observe(self._reduce_measured(event))

    def _next_event(self) -> Event | None:
        """Take the next event, or wait for one until the next timer is due.

        Queued events are taken in their order.  A due timer fires before the
        next queued event, unless that event is from before the timer was due.
        Events set timers with a short delay, to do some work once for many
        events.  If such a timer overtook a backlog, the work would be done
        again after each event of the backlog.

        Returns:
          The event, or None if the wait ended without one.
        """
        due_ms = self._next_due_ms()
        if due_ms is None or due_ms > now_ms():
            return self._await_event(due_ms)
        if self._peeked_event is None and not self._events.empty():
            self._peeked_event = self._events.get()
        if (
            self._peeked_event is not None
            and self._peeked_event.at_ms <= due_ms
        ):
            return self._pop_peeked_event()
        _, _, timer = heapq.heappop(self._timer_heap)
        del self._due_ms_by_timer[timer]
        return TimerFired(now_ms(), timer)

    def _await_event(self, due_ms: int | None) -> Event | None:
        """Wait for an event; return None once the next timer is due."""
        if self._peeked_event is not None:
            return self._pop_peeked_event()
        timeout_s = None
        if due_ms is not None:
            # Half a millisecond more, so that the timer is due after the wait.
            timeout_s = max(due_ms - now_ms(), 0) / 1000 + 0.0005
        try:
            return self._events.get(timeout=timeout_s)
        except Empty:
            return None

    def _pop_peeked_event(self) -> Event:
        """Return the event that was dequeued to compare it with a timer."""
        event = self._peeked_event
        self._peeked_event = None
        return event

    def _next_due_ms(self) -> int | None:
        """Return when the next timer is due; drop outdated heap entries.

        A timer that is set again stays in the heap with its previous due time.
        """
        while self._timer_heap:
            due_ms, _, timer = self._timer_heap[0]
            if self._due_ms_by_timer.get(timer) == due_ms:
                return due_ms
            heapq.heappop(self._timer_heap)
        return None

    def _reduce_measured(self, event: Event) -> ReducedEvent:
        """Reduce an event and measure its delay and cost."""
        at_ms = now_ms()
        queue_length = self._events.qsize()
        started_ns = time.perf_counter_ns()
        order_count = self._reduce(event)
        kind_source = event.timer if isinstance(event, TimerFired) else event
        return ReducedEvent(
            kind=type(kind_source).__name__,
            at_ms=at_ms,
            age_ms=at_ms - event.at_ms,
            queue_length=queue_length,
            duration_us=(time.perf_counter_ns() - started_ns) // 1_000,
            order_count=order_count,
            order_latency=order_latency(event),
        )

    def _reduce(self, event: Event) -> int:
        """Reduce an event; return how many start and stop orders it caused."""
        if self._record is not None:
            self._record(event)
        try:
            step = reduce(self.state, event)
        except Exception:
            LOGGER.exception("failed to reduce %s", type(event).__name__)
            self._perform(log(INTERNAL_ERROR, kind=type(event).__name__))
            self._recover(event)
            return 0
        self.state = step.state
        for effect in step.effects:
            self._perform_effect(effect)
        return sum(
            isinstance(effect, COUNTED_ORDERS) for effect in step.effects
        )

    def _recover(self, event: Event) -> None:
        """Replace an event that could not be reduced, if others depend on it.

        A timer is set again.  An answer that a worker, a log, the term or the
        fleet waits for is posted as failed, since the state says that the call
        is still in flight: they would be stuck until the process restarts, and
        so would a pool without its timer.  Other events are dropped; calls
        and orders expire.
        """
        match event:
            case TimerFired(_, timer):
                due_ms = now_ms() + FAILED_TIMER_RETRY_MS
                self._perform_effect(SetTimer(timer, due_ms))
            case WorkerReported(_, _, worker_id, epoch):
                refusal = OrderRefusal.SILENT
                self.post_event(
                    WorkerNotReported(now_ms(), worker_id, epoch, refusal)
                )
            case StreamRead():
                self.post_event(
                    StreamUnread(now_ms(), event.stream, NOT_REDUCED)
                )
            case ProgressStored(_, sent_ms, epoch, outcome) if (
                outcome is not StoreOutcome.UNKNOWN
            ):
                unknown = StoreOutcome.UNKNOWN
                self.post_event(
                    ProgressStored(now_ms(), sent_ms, epoch, unknown)
                )
            case MachinesListed():
                self.post_event(MachinesNotListed(now_ms(), NOT_REDUCED))
            case AdviceGiven(step=step):
                self.post_event(AdviceNotGiven(now_ms(), step, NOT_REDUCED))

    def _perform_effect(self, effect: Effect) -> None:
        match effect:
            case SetTimer(timer, due_ms):
                self._due_ms_by_timer[timer] = due_ms
                self._timer_sequence += 1
                heapq.heappush(
                    self._timer_heap, (due_ms, self._timer_sequence, timer)
                )
            case Exit():
                self._running = False
                self._perform(effect)
            case Log() if not LOGGER.isEnabledFor(effect.event.level):
                pass
            case _:
                self._perform_guarded(effect)

    def _perform_guarded(self, effect: Effect) -> None:
        """Perform an effect; an error fails the effect, not the process."""
        try:
            self._perform(effect)
        except Exception as error:
            LOGGER.exception("failed to perform %s", type(effect).__name__)
            reason = describe_error(error)
            event = failure_event(effect, reason, now_ms())
            if event is not None:
                self.post_event(event)
