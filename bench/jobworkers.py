"""Simulated workers of job histories, which follow the workers' protocol."""

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

MAX_LEASE_MS = 6_000  # a worker limits longer leases to this
MAX_STOP_MS = 200
FAILURE_RATE = 0.12
LONG_RUN_RATE = 0.25  # long runs outlast most leases
FAILED_RUN_MS = (2, 300)
FAILING_COMMAND = "failing"  # command of a job whose first task always fails
LONG_COMMAND = "long"  # command of a job whose tasks all take long
SHORT_RUN_MS = (60, 900)
LONG_RUN_MS = (1_000, 5_000)


@dataclass(slots=True, eq=False)
class SimulatedRun:
    """A run of a task on a worker.

    Attributes:
      task_id: Identifier of the task.
      number: Number of the run.
      worker_id: Identifier of the worker.
      started_ms: Simulated time of the start.
      run_time_ms: Duration of the run unless it is stopped.
      outcome: How the run ended, None while it is active.
      ended_ms: Simulated time of the end, -1 while it is active.
      end_sequence: Sequence number of the end at the worker.
      lease_expired: Whether the worker's lease expired at or after the end.
      acknowledged: Whether the end was acknowledged before the lease expired.
    """

    task_id: str
    number: int
    worker_id: str
    started_ms: int
    run_time_ms: int
    outcome: RunEnd | None = None
    ended_ms: int = -1
    end_sequence: int = 0
    lease_expired: bool = False
    acknowledged: bool = False


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """Response of a worker to a watch call.

    Attributes:
      clock_ms: Clock of the worker.
      started_ms: Simulated time of the worker's start.
      active: Active runs.
      ended: First ended runs that are not yet acknowledged.
      is_whole: Whether these are certainly all of them.
    """

    clock_ms: int
    started_ms: int
    active: tuple[ActiveRun, ...]
    ended: tuple[EndedRun, ...]
    is_whole: bool


@dataclass(slots=True, eq=False)
class WorkerIncarnation:
    """One incarnation of a worker, without the state of earlier ones.

    Attributes:
      worker_id: Identifier of the worker.
      started_ms: Simulated time of the start.
      clock_rate: Rate of its clock; the protocol allows no less than 0.98.
      random: Random generator of the simulation.
      call_later: Schedules a function after a delay in milliseconds.
      now_ms: Returns the simulated time.
      checker: Checker that observes starts, ends and acknowledgements.
      ends_per_report: Maximum number of ends in a report.
      writes_checkpoints: Whether its runs write checkpoints.
      pool: Pool that it belongs to.
      long_run_ms: Least and greatest duration of its long runs.
      alive: Whether the process runs.
      highest_epoch: Highest epoch received; calls with a lower one are fenced.
      lease_end_ms: End of the lease on the worker's clock.
      last_end_sequence: Sequence number of the latest end.
      active_by_task: Active runs.
      highest_run_number_by_task: Highest run number started or stopped.
      ended: Ended runs that are not yet acknowledged.
      waiters: Functions to call at the next end.
      has_valid_ticket: Checks the ticket of a start order, or None if its
        queue requires none.
      draw_end: Draws the outcome and the run time of a start order, in place
        of the usual ones, or None.
    """

    worker_id: str
    started_ms: int
    clock_rate: float
    random: Random
    call_later: Callable
    now_ms: Callable[[], int]
    checker: object
    ends_per_report: int
    writes_checkpoints: bool
    pool: str = "a"
    long_run_ms: tuple[int, int] = LONG_RUN_MS
    alive: bool = True
    highest_epoch: int = 0
    lease_end_ms: int = 0
    last_end_sequence: int = 0
    active_by_task: dict[str, SimulatedRun] = field(default_factory=dict)
    highest_run_number_by_task: dict[str, int] = field(default_factory=dict)
    ended: list[SimulatedRun] = field(default_factory=list)
    waiters: list[Callable[[], None]] = field(default_factory=list)
    has_valid_ticket: Callable[[StartRun], bool] | None = None
    draw_end: Callable[[StartRun], tuple[RunEnd, int]] | None = None

    def clock_ms(self) -> int:
        """Return the milliseconds since the start on the worker's clock."""
        return int((self.now_ms() - self.started_ms) * self.clock_rate)

    def terminate(self) -> None:
        """Terminate the process; its runs and unacknowledged ends are lost."""
        self.alive = False
        for run in self.active_by_task.values():
            self.checker.record_loss(run)
        self.active_by_task.clear()
        self.notify_waiters()

    def execute(self, effect) -> OrderRefusal | None:
        """Execute an order, or the lease and acknowledgement of a watch call.

        Args:
          effect: The order or watch call.
        Returns:
          None if it was accepted, else the reason for the refusal.
        """
        if effect.epoch < self.highest_epoch:
            return OrderRefusal.FENCED
        self.highest_epoch = effect.epoch
        match effect:
            case StartRun():
                return self._start(effect)
            case StopRun():
                return self._stop(effect)
            case WatchWorker():
                self._extend(effect.lease_until_ms)
                self._acknowledge(effect.acknowledged)
        return None

    def report(self) -> WorkerReport:
        """Build the response to a watch call.

        Returns:
          The active runs and the first ends that are not yet acknowledged.
        """
        active = tuple(
            ActiveRun(
                run.task_id,
                run.number,
                self._checkpoint(run),
                self._progress_percent(run),
            )
            for run in self.active_by_task.values()
        )
        ended = tuple(
            EndedRun(
                run.end_sequence,
                run.task_id,
                run.number,
                run.outcome,
                self._checkpoint(run),
            )
            for run in self.ended[: self.ends_per_report]
        )
        is_whole = len(ended) < self.ends_per_report
        return WorkerReport(
            self.clock_ms(), self.started_ms, active, ended, is_whole
        )

    def _checkpoint(self, run):
        if not self.writes_checkpoints or run.outcome is RunEnd.DONE:
            return ""
        return f"{run.task_id}/{run.number}"

    def _progress_percent(self, run):
        return 100 * (self.now_ms() - run.started_ms) // run.run_time_ms

    def _extend(self, until_ms):
        if until_ms < 0:
            return
        until_ms = min(until_ms, self.clock_ms() + MAX_LEASE_MS)
        if until_ms <= self.lease_end_ms:
            return
        self.lease_end_ms = until_ms
        remaining_ms = (until_ms - self.clock_ms()) / self.clock_rate
        self.call_later(remaining_ms + 1, self._check_lease)

    def _check_lease(self):
        """End all active runs if the lease has expired."""
        if not self.alive or self.clock_ms() < self.lease_end_ms:
            return
        for run in self.ended:
            run.lease_expired = True
        for run in list(self.active_by_task.values()):
            self._end(run, RunEnd.LEASE_EXPIRED)
            run.lease_expired = True

    def _start(self, effect):
        if effect.lease_until_ms <= self.clock_ms():
            return OrderRefusal.TOO_LATE
        self._extend(effect.lease_until_ms)
        active = self.active_by_task.get(effect.task)
        if active is not None and active.number == effect.number:
            return None
        if effect.number <= self.highest_run_number_by_task.get(
            effect.task, 0
        ):
            return OrderRefusal.OLD_RUN
        if self.has_valid_ticket and not self.has_valid_ticket(effect):
            return OrderRefusal.NO_TICKET
        self.highest_run_number_by_task[effect.task] = effect.number
        outcome, run_time_ms = self._draw_end(effect)
        run = SimulatedRun(
            effect.task,
            effect.number,
            self.worker_id,
            self.now_ms(),
            run_time_ms,
        )
        if active is not None:
            self._end(active, RunEnd.STOPPED)
        self.active_by_task[effect.task] = run
        self.checker.check_start(run)
        self.call_later(run_time_ms, self._end, run, outcome)
        return None

    def _draw_end(self, effect):
        """Draw the outcome and the run time of a run."""
        if self.draw_end is not None:
            return self.draw_end(effect)
        if effect.command == FAILING_COMMAND:
            first = parse_task_id(effect.task)[1].index == 0
            if first:
                return RunEnd.FAILED, self.random.randint(*FAILED_RUN_MS)
            return RunEnd.DONE, self.random.randint(*self.long_run_ms)
        if effect.command == LONG_COMMAND:
            return RunEnd.DONE, self.random.randint(*self.long_run_ms)
        chance = self.random.random()
        if chance < FAILURE_RATE:
            return RunEnd.FAILED, self.random.randint(*FAILED_RUN_MS)
        run_time_range_ms = (
            self.long_run_ms if chance > 1 - LONG_RUN_RATE else SHORT_RUN_MS
        )
        return RunEnd.DONE, self.random.randint(*run_time_range_ms)

    def _stop(self, effect):
        highest_number = self.highest_run_number_by_task.get(effect.task, 0)
        self.highest_run_number_by_task[effect.task] = max(
            highest_number, effect.number
        )
        run = self.active_by_task.get(effect.task)
        if run is not None and run.number <= effect.number:
            delay_ms = self.random.randint(1, MAX_STOP_MS)
            self.call_later(delay_ms, self._end, run, RunEnd.STOPPED)
        return None

    def _acknowledge(self, acknowledged_end):
        for run in self.ended:
            if run.end_sequence <= acknowledged_end:
                run.acknowledged = not run.lease_expired
                self.checker.check_acknowledged(run)
        self.ended = [
            run for run in self.ended if run.end_sequence > acknowledged_end
        ]

    def _end(self, run, outcome):
        if not self.alive or run.outcome is not None:
            return
        run.outcome = outcome
        run.ended_ms = self.now_ms()
        self.last_end_sequence += 1
        run.end_sequence = self.last_end_sequence
        del self.active_by_task[run.task_id]
        self.ended.append(run)
        self.checker.record_end(run)
        self.notify_waiters()

    def notify_waiters(self):
        """Call the waiting functions once."""
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            waiter()
