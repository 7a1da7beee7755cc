"""Modelled workers for job histories, as their protocol describes them."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from random import Random

from sesamehall.core.managereffects import StartRun
from sesamehall.core.managereffects import StopRun
from sesamehall.core.managereffects import WatchWorker
from sesamehall.core.managerevents import OrderRefusal
from sesamehall.core.work import ActiveRun
from sesamehall.core.work import EndedRun
from sesamehall.core.work import parse_task_id
from sesamehall.core.work import RunEnd

LONGEST_LEASE_MS = 6_000
STOP_MS = 200
FAILS = 0.12  # share of the runs that fail
LASTS = 0.25  # share of the runs that outlast most leases
FAILING_MS = (2, 300)
HOPELESS = "hopeless"  # command of a job whose first task always fails
SHORT_MS = (60, 900)
LONG_MS = (1_000, 5_000)


@dataclass(slots=True, eq=False)
class ModelRun:
    """A run on a worker.

    Attributes:
      task: Identifier of the task.
      number: Number of the run.
      worker_id: The worker.
      began_ms: Time of its start.
      took_ms: How long it takes unless it is stopped.
      end: How it ended, or None while it goes on.
      ended_ms: Time of its end.
      sequence: Place in the worker's list of ends.
      lapsed: Whether the lease ran out after its end.
      acknowledged: Whether its end was acknowledged before that.
    """

    task: str
    number: int
    worker_id: str
    began_ms: int
    took_ms: int
    end: RunEnd | None = None
    ended_ms: int = -1
    sequence: int = 0
    lapsed: bool = False
    acknowledged: bool = False


@dataclass(frozen=True, slots=True)
class Lists:
    """What a worker answers to a call for its lists.

    Attributes:
      clock_ms: Its own clock.
      born_ms: Time of its start.
      active: Runs that go on.
      ended: Runs that have ended and are not forgotten.
    """

    clock_ms: int
    born_ms: int
    active: tuple[ActiveRun, ...]
    ended: tuple[EndedRun, ...]


@dataclass(slots=True, eq=False)
class Life:
    """One life of a worker: it knows nothing of those before.

    Attributes:
      worker_id: Its identifier.
      born_ms: Time of its start.
      rate: Speed of its clock; 0.98 is the slowest that is allowed.
      random: Source of what its runs come to.
      plan: Calls a function after a time, given in milliseconds.
      now: Tells the time.
      checker: Is told of starts, ends and acknowledgements.
      alive: Whether it goes on.
      fence: Highest epoch that has called it.
      deadline_ms: End of its lease on its clock.
      count: Number of the latest end.
      active_by_task: Runs that go on.
      highest_by_task: Highest number that was run or stopped.
      ended: Ends that are not forgotten.
      waiters: Called at the next end.
    """

    worker_id: str
    born_ms: int
    rate: float
    random: Random
    plan: Callable
    now: Callable[[], int]
    checker: object
    alive: bool = True
    fence: int = 0
    deadline_ms: int = 0
    count: int = 0
    active_by_task: dict[str, ModelRun] = field(default_factory=dict)
    highest_by_task: dict[str, int] = field(default_factory=dict)
    ended: list[ModelRun] = field(default_factory=list)
    waiters: list[Callable[[], None]] = field(default_factory=list)

    def clock_ms(self) -> int:
        """Read its clock.

        Returns:
          Milliseconds since its start, as it counts them.
        """
        return int((self.now() - self.born_ms) * self.rate)

    def die(self) -> None:
        """End at once; what runs and what was listed is gone."""
        self.alive = False
        for run in self.active_by_task.values():
            self.checker.vanish(run)
        self.active_by_task.clear()
        self._wake()

    def carry_out(self, effect) -> OrderRefusal | None:
        """Carry an order out, or begin a call for the lists.

        Args:
          effect: The order or call.
        Returns:
          None when it was taken, else why not.
        """
        if effect.epoch < self.fence:
            return OrderRefusal.FENCED
        self.fence = effect.epoch
        match effect:
            case StartRun():
                return self._start(effect)
            case StopRun():
                return self._stop(effect)
            case WatchWorker():
                self._extend(effect.lease_until_ms)
                self._acknowledge(effect.acknowledged)
        return None

    def lists(self) -> Lists:
        """Tell what runs and what has ended.

        Returns:
          The lists.
        """
        active = tuple(
            ActiveRun(run.task, run.number, percent=self._percent(run))
            for run in self.active_by_task.values()
        )
        ended = tuple(
            EndedRun(run.sequence, run.task, run.number, run.end)
            for run in self.ended
        )
        return Lists(self.clock_ms(), self.born_ms, active, ended)

    def _percent(self, run):
        return 100 * (self.now() - run.began_ms) // run.took_ms

    def _extend(self, until_ms):
        if until_ms < 0:
            return
        until_ms = min(until_ms, self.clock_ms() + LONGEST_LEASE_MS)
        if until_ms <= self.deadline_ms:
            return
        self.deadline_ms = until_ms
        left_ms = (until_ms - self.clock_ms()) / self.rate
        self.plan(left_ms + 1, self._check_lease)

    def _check_lease(self):
        """End everything once the lease is over."""
        if not self.alive or self.clock_ms() < self.deadline_ms:
            return
        for run in self.ended:
            run.lapsed = True
        for run in list(self.active_by_task.values()):
            self._end(run, RunEnd.LEASE_EXPIRED)
            run.lapsed = True

    def _start(self, effect):
        if effect.lease_until_ms <= self.clock_ms():
            return OrderRefusal.TOO_LATE
        self._extend(effect.lease_until_ms)
        active = self.active_by_task.get(effect.task)
        if active is not None and active.number == effect.number:
            return None
        if effect.number <= self.highest_by_task.get(effect.task, 0):
            return OrderRefusal.OLD_RUN
        self.highest_by_task[effect.task] = effect.number
        how, took_ms = self._draw_end(effect)
        run = ModelRun(
            effect.task, effect.number, self.worker_id, self.now(), took_ms
        )
        if active is not None:
            self._end(active, RunEnd.STOPPED)
        self.active_by_task[effect.task] = run
        self.checker.start(run)
        self.plan(took_ms, self._end, run, how)
        return None

    def _draw_end(self, effect):
        """Draw how a run ends, and after how long."""
        if effect.command == HOPELESS:
            first = parse_task_id(effect.task)[1].index == 0
            if first:
                return RunEnd.FAILED, self.random.randint(*FAILING_MS)
            return RunEnd.DONE, self.random.randint(*LONG_MS)
        chance = self.random.random()
        if chance < FAILS:
            return RunEnd.FAILED, self.random.randint(*FAILING_MS)
        span_ms = LONG_MS if chance > 1 - LASTS else SHORT_MS
        return RunEnd.DONE, self.random.randint(*span_ms)

    def _stop(self, effect):
        highest = self.highest_by_task.get(effect.task, 0)
        self.highest_by_task[effect.task] = max(highest, effect.number)
        run = self.active_by_task.get(effect.task)
        if run is not None and run.number <= effect.number:
            delay_ms = self.random.randint(1, STOP_MS)
            self.plan(delay_ms, self._end, run, RunEnd.STOPPED)
        return None

    def _acknowledge(self, cursor):
        for run in self.ended:
            if run.sequence <= cursor:
                run.acknowledged = not run.lapsed
                self.checker.acknowledge(run)
        self.ended = [run for run in self.ended if run.sequence > cursor]

    def _end(self, run, how):
        if not self.alive or run.end is not None:
            return
        run.end = how
        run.ended_ms = self.now()
        self.count += 1
        run.sequence = self.count
        del self.active_by_task[run.task]
        self.ended.append(run)
        self.checker.end(run)
        self._wake()

    def _wake(self):
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            waiter()
