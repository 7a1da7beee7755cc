"""The interpreter: reduces events one by one and has effects carried out."""

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
from sesamehall.core.managerevents import OrderRefusal
from sesamehall.core.managerevents import StreamRead
from sesamehall.core.managerevents import StreamUnread
from sesamehall.core.managerevents import WorkerNotReported
from sesamehall.core.managerevents import WorkerReported
from sesamehall.core.state import State
from sesamehall.core.timers import Timer
from sesamehall.reducer.reduce import reduce
from sesamehall.runtime.tallies import order_answer
from sesamehall.runtime.tallies import Taken

LOGGER = logging.getLogger("sesamehall")
ORDERS = (StartRun, StopRun)
FAILED_TIMER_RETRY_MS = 500  # pause before a timer is tried again


def now_ms() -> int:
    """Read the node's steady clock, which counts suspended time.

    Returns:
      Milliseconds since an arbitrary point.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


class Interpreter:
    """Owns a node's state and its timers.

    Attributes:
      state: The state after the latest event.
    """

    def __init__(
        self,
        state: State,
        perform: Callable[[Effect], None],
        record: Callable[[Event], None] | None = None,
        observe: Callable[[Taken], None] | None = None,
    ):
        """Take over a state.

        Args:
          state: State of a node that has not done anything.
          perform: Carries out an effect; it must not block.
          record: Takes every event before it is reduced, or None.
          observe: Takes what each event cost, or None.
        """
        self.state = state
        self._perform = perform
        self._record = record
        self._observe = observe
        self._events: SimpleQueue[Event] = SimpleQueue()
        self._held: Event | None = None
        self._due: list[tuple[int, int, Timer]] = []
        self._times_by_timer: dict[Timer, int] = {}
        self._serial = 0
        self._running = True

    def post(self, event: Event) -> None:
        """Hand in an event from any thread.

        Args:
          event: What has happened.
        """
        self._events.put(event)

    def run(self) -> None:
        """Reduce events until a decision ends the process."""
        while self._running:
            event = self._next_event()
            if event is None:
                continue
            if self._observe is None:
                self._reduce(event)
            else:
                self._observe(self._reduce_timed(event))

    def _next_event(self) -> Event | None:
        """Take what happened first, or wait, but no longer than a timer.

        A timer does not overtake events that came before it was due: a
        process that is behind would do for each of them what it can do once
        for all.
        """
        due_ms = self._next_due_ms()
        if due_ms is None or due_ms > now_ms():
            return self._await_event(due_ms)
        if self._held is None and not self._events.empty():
            self._held = self._events.get()
        if self._held is not None and self._held.at_ms <= due_ms:
            return self._take_held()
        _, _, timer = heapq.heappop(self._due)
        del self._times_by_timer[timer]
        return TimerFired(now_ms(), timer)

    def _await_event(self, due_ms: int | None) -> Event | None:
        """Wait for an event until a timer is due."""
        if self._held is not None:
            return self._take_held()
        timeout_s = None
        if due_ms is not None:
            timeout_s = max(due_ms - now_ms(), 0) / 1000 + 0.0005
        try:
            return self._events.get(timeout=timeout_s)
        except Empty:
            return None

    def _take_held(self) -> Event:
        """Take the event that was compared with a timer."""
        event = self._held
        self._held = None
        return event

    def _next_due_ms(self) -> int | None:
        """Find when the next timer is due, skipping those set anew since."""
        while self._due:
            at_ms, _, timer = self._due[0]
            if self._times_by_timer.get(timer) == at_ms:
                return at_ms
            heapq.heappop(self._due)
        return None

    def _reduce_timed(self, event: Event) -> Taken:
        """Reduce an event, and tell how late it was and what it cost."""
        at_ms = now_ms()
        waiting = self._events.qsize()
        began_ns = time.perf_counter_ns()
        orders = self._reduce(event)
        named = event.timer if isinstance(event, TimerFired) else event
        return Taken(
            kind=type(named).__name__,
            at_ms=at_ms,
            age_ms=at_ms - event.at_ms,
            waiting=waiting,
            took_us=(time.perf_counter_ns() - began_ns) // 1_000,
            orders=orders,
            order_answer=order_answer(event),
        )

    def _reduce(self, event: Event) -> int:
        """Reduce an event; returns the number of orders to workers."""
        if self._record is not None:
            self._record(event)
        try:
            step = reduce(self.state, event)
        except Exception:
            LOGGER.exception("reducing %s", type(event).__name__)
            self._perform(log(INTERNAL_ERROR, kind=type(event).__name__))
            self._recover(event)
            return 0
        self.state = step.state
        for effect in step.effects:
            self._carry_out(effect)
        return sum(isinstance(effect, ORDERS) for effect in step.effects)

    def _recover(self, event: Event) -> None:
        """Let what hangs on an event go on that could not be reduced.

        A timer is tried again later; an answer counts as missing.  Else a
        pool, a worker or a log would stand still for as long as the process
        lives, since the state says that something is under way.
        """
        match event:
            case TimerFired(_, timer):
                due_ms = now_ms() + FAILED_TIMER_RETRY_MS
                self._carry_out(SetTimer(timer, due_ms))
            case WorkerReported(_, _, worker_id, epoch):
                refusal = OrderRefusal.SILENT
                self.post(
                    WorkerNotReported(now_ms(), worker_id, epoch, refusal)
                )
            case StreamRead():
                reason = "the records could not be taken in"
                self.post(StreamUnread(now_ms(), event.stream, reason))

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case SetTimer(timer, at_ms):
                self._times_by_timer[timer] = at_ms
                self._serial += 1
                heapq.heappush(self._due, (at_ms, self._serial, timer))
            case Exit():
                self._running = False
                self._perform(effect)
            case Log() if not LOGGER.isEnabledFor(effect.event.level):
                pass
            case _:
                self._perform(effect)
