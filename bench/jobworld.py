"""Deterministic simulation of managers that run the real reducer.

The store and the workers are simulated.  All random choices come from one
seeded generator, so a seed always gives the same history.  Calls are delayed,
lost, left without a response, or executed seconds later; managers are stopped,
killed, paused and disconnected.  Threads and connections are not modelled: a
manager handles one event after the other, and a call to a worker goes to the
incarnation that has the address when the call arrives.  If a worker restarted
under the same identifier, that may be a later incarnation than the manager
knows.  A copy that is executed seconds later takes effect only on the
incarnation that received the call.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from random import Random
from time import process_time_ns

from bench.event_scheduler import EventScheduler
from bench.jobchecks import JobChecker
from bench.jobstore import JobStore
from bench.jobworkers import WorkerIncarnation
from sesamehall.core.data import Node
from sesamehall.core.data import NodeKind
from sesamehall.core.effects import Exit
from sesamehall.core.effects import Log
from sesamehall.core.effects import SetTimer
from sesamehall.core.events import Event
from sesamehall.core.events import Started
from sesamehall.core.events import StopRequested
from sesamehall.core.events import TimerFired
from sesamehall.core.fleet import CancelAsked
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.fleet import WorkerEntry
from sesamehall.core.managereffects import AnswerCall
from sesamehall.core.managereffects import ListMachines
from sesamehall.core.managereffects import OfferToLead
from sesamehall.core.managereffects import ReadStream
from sesamehall.core.managereffects import StartRun
from sesamehall.core.managereffects import StopRun
from sesamehall.core.managereffects import StoreJob
from sesamehall.core.managereffects import StoreProgress
from sesamehall.core.managereffects import WatchWorker
from sesamehall.core.managerevents import JobStored
from sesamehall.core.managerevents import MachinesListed
from sesamehall.core.managerevents import OrderRefusal
from sesamehall.core.managerevents import OrderTiming
from sesamehall.core.managerevents import ProgressStored
from sesamehall.core.managerevents import RunAnswered
from sesamehall.core.managerevents import StopAnswered
from sesamehall.core.managerevents import StoreOutcome
from sesamehall.core.managerevents import StreamRead
from sesamehall.core.managerevents import StreamUnread
from sesamehall.core.managerevents import WorkerNotReported
from sesamehall.core.managerevents import WorkerReported
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.managerstate import Timing
from sesamehall.core.state import Identity
from sesamehall.core.state import State
from sesamehall.core.work import Size
from sesamehall.reducer.manager_reducer import reduce_manager

WALL_CLOCK_START_MS = 1_700_000_000_000
STORE_TIMEOUT_MS = 1_200
RETRY_PAUSE_MS = 50
PROGRESS_ATTEMPTS = 3
WATCH_TIMEOUT_MS = 800
ORDER_TIMEOUT_MS = 500
REGISTRATION_EXPIRY_MS = 3_000  # after the termination of the worker
FIRST_SEQUENCE_LIMIT = 1 << 30
WORKER_CAPACITY = Size(4_000, 8_000)
MANAGER_CORES = (0.5, 1.07, 2.15)  # chosen by the manager's name


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
      queue: Appends in order; the first one is in flight.
    """

    epoch: int = 0
    sequence: int = 0
    unconfirmed: tuple[StoredRecord, ...] = ()
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
      append_responses_lost: Whether its appends take effect but their
        responses are lost.
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
    append_responses_lost: bool = False
    unreachable_workers: set[str] = field(default_factory=set)
    response_lag_ms: int = 0

    @property
    def epoch(self) -> int:
        """Epoch of its term as leader, 0 while it does not lead."""
        return self.state.manager.term.epoch


class JobSimulation(EventScheduler):
    """Simulated managers, workers and store.

    Attributes:
      random: The only source of random numbers.
      fault_rates: Fault rates in force.
      store: The store.
      checker: Observes the workers and the callers' answers.
      processes_by_name: Process of each manager.
      workers_by_address: Latest incarnation of the worker at each address.
      on_answer_by_call_id: Callbacks for the answers to callers.
      on_log: Called with each log line of a manager.
      on_effect: Called with each effect of a manager before it is performed.
      on_reduced: Called with each event and the processor time of its
        reduction, in nanoseconds.
    """

    def __init__(
        self, seed: int, max_attempts: int = 2, retry_unconfirmed: bool = True
    ):
        """Start without managers and workers.

        Args:
          seed: Seed of the random generator; runs of a seed are identical.
          max_attempts: Number of failed runs after which a task has failed.
          retry_unconfirmed: Whether an append of unknown outcome is retried
            before the next one uses its sequence number.
        """
        super().__init__()
        self.random = Random(seed)
        self.fault_rates = CallFaultRates()
        self.store = JobStore(on_append=self._notify_readers)
        self.checker = JobChecker(lambda: self.now_ms, max_attempts)
        self.processes_by_name: dict[str, ManagerProcess] = {}
        self.workers_by_address: dict[str, WorkerIncarnation] = {}
        self.on_answer_by_call_id: dict[int, Callable] = {}
        self.on_log: Callable[[ManagerProcess, Log], None] = (
            lambda process, line: None
        )
        self.on_effect: Callable = lambda process, effect: None
        self.on_reduced: Callable[[Event, int], None] = lambda event, ns: None
        self._retries_unconfirmed = retry_unconfirmed
        self._read_waiters: dict[Stream, list[Callable]] = {
            s: [] for s in Stream
        }

    def add_manager(self, name: str) -> None:
        """Start a manager.

        Args:
          name: Name of the manager.
        """
        clock_skew_ms = self.random.randint(0, 1_000_000)
        process = ManagerProcess(
            name, self._initial_state(name), clock_skew_ms
        )
        self.processes_by_name[name] = process
        self.deliver(process, Started)

    def add_worker(
        self,
        address: str,
        worker_id: str,
        pool: str = "a",
        capacity: Size = WORKER_CAPACITY,
    ) -> None:
        """Start a worker and register it within 600 ms.

        Args:
          address: Address of the worker.
          worker_id: Identifier, which an earlier worker may have had.
          pool: Pool that it belongs to.
          capacity: Resources that it has.
        """
        worker = WorkerIncarnation(
            worker_id=worker_id,
            started_ms=self.now_ms,
            clock_rate=self.random.choice((1.0, 0.98)),
            random=self.random,
            call_later=self.call_later,
            now_ms=lambda: self.now_ms,
            checker=self.checker,
        )
        self.workers_by_address[address] = worker
        self.call_later(
            self.random.randint(0, 600),
            self._register_worker,
            address,
            worker,
            pool,
            capacity,
        )

    def terminate_worker(self, address: str) -> None:
        """Terminate a worker; its registration expires later.

        Args:
          address: Address of the worker.
        """
        worker = self.workers_by_address[address]
        if worker.alive:
            worker.terminate()
            self.call_later(
                REGISTRATION_EXPIRY_MS,
                self._expire_registration,
                address,
                worker,
            )

    def kill(self, name: str, restart_after_ms: int) -> None:
        """Kill a manager and restart it.

        Args:
          name: Name of the manager.
          restart_after_ms: Delay until the restart.
        """
        process = self.processes_by_name[name]
        if process.alive:
            process.alive = False
            process.start_count += 1
            self.call_later(restart_after_ms, self._restart, process)

    def stop(self, name: str) -> None:
        """Request a graceful stop; the manager is restarted after its exit.

        It is killed if it has not exited after 6 seconds.

        Args:
          name: Name of the manager.
        """
        process = self.processes_by_name[name]
        self.deliver(process, StopRequested)
        self.call_later(
            6_000, self._kill_unless_restarted, process, process.start_count
        )

    def pause(self, name: str, duration_ms: int) -> None:
        """Pause a manager; its events and new calls wait until the pause ends.

        Args:
          name: Name of the manager.
          duration_ms: Length of the pause.
        """
        process = self.processes_by_name[name]
        until_ms = self.now_ms + duration_ms
        process.paused_until_ms = max(process.paused_until_ms, until_ms)

    def leader(self) -> ManagerProcess | None:
        """Return the leader with the highest epoch, None if no one leads."""
        processes = [
            process
            for process in self.processes_by_name.values()
            if process.alive
        ]
        leading = [process for process in processes if process.epoch]
        return max(leading, key=lambda process: process.epoch, default=None)

    def deliver(
        self,
        process: ManagerProcess,
        make_event: Callable[[int], Event],
        start_count: int | None = None,
    ) -> None:
        """Pass an event to the reducer of a manager, after its pause if any.

        The event is dropped if the manager has been restarted meanwhile.

        Args:
          process: The manager.
          make_event: Function from the manager's clock to the event.
          start_count: Start of the manager for which the event is meant, None
            for the current one.
        """
        start_count = (
            process.start_count if start_count is None else start_count
        )
        if not process.alive or process.start_count != start_count:
            return
        if self.now_ms < process.paused_until_ms:
            delay_ms = process.paused_until_ms - self.now_ms
            self.call_later(
                delay_ms, self.deliver, process, make_event, start_count
            )
            return
        event = make_event(self.clock_ms(process))
        started_ns = process_time_ns()
        try:
            step = reduce_manager(process.state, event)
        except Exception as error:
            # The event is dropped.  The interpreter would also set a failed
            # timer again, and treat a failed report or read as unanswered.
            kind = type(event).__name__
            self.checker.violations.append(f"ERROR in {kind}: {error!r}")
            return
        self.on_reduced(event, process_time_ns() - started_ns)
        process.state = step.state
        for effect in step.effects:
            self._perform(process, effect)

    def clock_ms(self, process: ManagerProcess) -> int:
        """Return the time on a manager's clock in milliseconds."""
        return self.now_ms + process.clock_skew_ms

    def _initial_state(self, name):
        jitter_seed = self.random.randrange(1 << 32)
        identity = Identity(Node(name, NodeKind.MANAGER, "dc", ""), name)
        cores = MANAGER_CORES[sum(name.encode()) % len(MANAGER_CORES)]
        manager = ManagerState(name, jitter_seed, cores, timing=Timing())
        return State(identity, manager=manager)

    def _restart(self, process):
        process.state = self._initial_state(process.name)
        process.alive = True
        process.paused_until_ms = 0
        process.timers.clear()
        process.writer = ProgressWriter()
        self.deliver(process, Started)

    def _kill_unless_restarted(self, process, start_count):
        if process.start_count == start_count:
            self.kill(process.name, 300)

    def _register_worker(self, address, worker, pool, capacity):
        if not worker.alive:
            return
        entry = WorkerEntry(
            worker_id=worker.worker_id,
            address=address,
            pool=pool,
            data_centre="dc",
            capacity=capacity,
            started_wall_ms=WALL_CLOCK_START_MS + worker.started_ms,
        )
        self.store.append(
            Stream.WORKERS, (StoredRecord(worker.worker_id, entry),)
        )

    def _expire_registration(self, address, worker):
        latest = self.workers_by_address[address]
        if latest.alive and latest.worker_id == worker.worker_id:
            return
        self.store.append(
            Stream.WORKERS, (StoredRecord(worker.worker_id, None),)
        )

    def _perform(self, process, effect) -> None:
        self.on_effect(process, effect)
        match effect:
            case SetTimer(timer, at_ms):
                process.timers[timer] = at_ms
                delay_ms = at_ms - self.clock_ms(process)
                self.call_later(
                    delay_ms,
                    self._fire_timer,
                    process,
                    process.start_count,
                    timer,
                    at_ms,
                )
            case ReadStream():
                self._schedule_call(
                    process,
                    self._read_stream,
                    process,
                    process.start_count,
                    effect,
                )
            case StoreProgress():
                process.writer.queue.append(effect)
                if len(process.writer.queue) == 1:
                    self._schedule_call(
                        process,
                        self._append_progress,
                        process,
                        process.start_count,
                    )
            case OfferToLead():
                self._schedule_call(
                    process,
                    self._append_offer,
                    process,
                    process.start_count,
                    effect,
                )
            case StoreJob():
                start_count = process.start_count
                self._schedule_call(
                    process,
                    self._store_job,
                    process,
                    start_count,
                    effect,
                    False,
                )
            case WatchWorker() | StartRun() | StopRun():
                self._schedule_call(
                    process,
                    self._call_worker,
                    process,
                    process.start_count,
                    effect,
                )
            case AnswerCall(call_id, answer):
                self.on_answer_by_call_id.pop(call_id, lambda answer: None)(
                    answer
                )
            case ListMachines():
                self.call_later(
                    5,
                    self.deliver,
                    process,
                    _list_no_machines,
                    process.start_count,
                )
            case Log():
                self.on_log(process, effect)
            case Exit():
                self.kill(process.name, self.random.randint(200, 1_500))

    def _fire_timer(self, process, start_count, timer, at_ms):
        if process.timers.get(timer) == at_ms:
            self.deliver(
                process, lambda now_ms: TimerFired(now_ms, timer), start_count
            )

    def _schedule_call(self, process, action, *arguments):
        """Schedule a call, as if another thread of the manager made it.

        `arguments` are those of the action.  The first is the process, the
        second its start count when the call was requested.
        """
        self.call_later(
            self.random.random() * 2,
            self._start_call,
            process,
            action,
            arguments,
        )

    def _start_call(self, process, action, arguments):
        """Start a call, after the pause if any.

        The call is dropped if the manager has been restarted meanwhile.
        """
        if not process.alive or arguments[1] != process.start_count:
            return
        if self.now_ms < process.paused_until_ms:
            delay_ms = process.paused_until_ms - self.now_ms
            self.call_later(
                delay_ms, self._start_call, process, action, arguments
            )
            return
        action(*arguments)

    def _delay_ms(self):
        slow = self.random.random() < self.fault_rates.slow
        return self.random.uniform(0, 400 if slow else 3)

    def _draw_delivery(self):
        """Draw the fault of a call, "answered" for none."""
        fault_rates = self.fault_rates
        chance = self.random.random()
        for name in ("lost", "response_lost", "late", "duplicated"):
            chance -= getattr(fault_rates, name)
            if chance < 0:
                return name
        return "answered"

    def _call_store(
        self, process, execute, on_outcome, timeout_ms=STORE_TIMEOUT_MS
    ):
        """Execute a call to the store; its outcome is None on a timeout."""
        delivery = self._draw_delivery()
        delay_ms = self._delay_ms()
        if self._is_call_rejected():
            self.call_later(delay_ms, on_outcome, StoreOutcome.REFUSED)
            return
        if process.store_unreachable or self.store.unavailable:
            delivery = "lost"
        elif self.store.responses_lost or process.append_responses_lost:
            delivery = "response_lost"
        if delivery == "answered" and delay_ms < timeout_ms:
            self.call_later(
                delay_ms, lambda: self._respond(on_outcome, execute())
            )
            return
        if delivery in ("late", "duplicated"):
            delay_ms = self.random.randint(200, 8_000)
        if delivery != "lost":
            self.call_later(delay_ms, execute)
        self.call_later(timeout_ms, on_outcome, None)

    def _respond(self, on_outcome, outcome):
        self.call_later(self._delay_ms(), on_outcome, outcome)

    def _read_stream(self, process, start_count, effect):
        """Read a stream; at its end, wait up to `wait_ms` for a record.

        A negative offset reads the newest record of each key immediately.  Any
        fault that is drawn for the call loses it.
        """
        sent_ms = self.clock_ms(process)
        covers_all_keys = effect.from_offset < 0
        wait_end_ms = self.now_ms + effect.wait_ms
        answered = []

        def on_outcome(found):
            if found is None:
                self.deliver(process, build_stream_unread, start_count)
                return
            self.deliver(
                process,
                lambda at_ms: build_stream_read(at_ms, *found),
                start_count,
            )

        def build_stream_unread(at_ms):
            return StreamUnread(at_ms, effect.stream, "no answer")

        def build_stream_read(at_ms, records, next_offset):
            known_until_ms = sent_ms
            if not records and not covers_all_keys:
                known_until_ms = min(sent_ms + effect.wait_ms, at_ms)
            return StreamRead(
                at_ms,
                known_until_ms,
                WALL_CLOCK_START_MS + self.now_ms,
                effect.stream,
                records,
                next_offset,
                covers_all_keys,
            )

        def try_respond():
            """Respond if there is a record or the wait has ended."""
            found = self.store.read(effect.stream, effect.from_offset)
            if answered:
                return
            if found[0] or covers_all_keys or self.now_ms >= wait_end_ms:
                answered.append(True)
                response_lost = self._is_store_silent(process)
                self.call_later(
                    self._delay_ms(),
                    on_outcome,
                    None if response_lost else found,
                )
                return
            self._read_waiters[effect.stream].append(try_respond)

        def receive():
            try_respond()
            if not answered:
                self.call_later(wait_end_ms - self.now_ms, try_respond)

        if self._is_call_rejected():
            self.call_later(self._delay_ms(), on_outcome, None)
            return
        if (
            self._is_store_silent(process)
            or self._draw_delivery() != "answered"
        ):
            self.call_later(
                STORE_TIMEOUT_MS + effect.wait_ms, on_outcome, None
            )
            return
        self.call_later(self._delay_ms(), receive)

    def _is_store_silent(self, process):
        """Check whether calls get no response, or are lost altogether."""
        return (
            process.store_unreachable
            or self.store.unavailable
            or self.store.responses_lost
        )

    def _is_call_rejected(self):
        return self.store.unavailable and self.store.rejects_calls

    def _notify_readers(self, stream):
        readers, self._read_waiters[stream] = self._read_waiters[stream], []
        for try_respond in readers:
            try_respond()

    def _append_offer(self, process, _, effect):
        """Append an offer to lead; the outcome is not reported."""
        records = (StoredRecord("candidate", effect.candidate),)
        self._call_store(
            process,
            lambda: self.store.append(Stream.JOBS, records),
            lambda outcome: None,
        )

    def _store_job(self, process, start_count, effect, maybe_stored):
        """Append a job or cancellation, with retries until the deadline.

        A rejection is conclusive only if no earlier attempt may have been
        stored.
        """
        key = effect.value.job_id
        if isinstance(effect.value, CancelAsked):
            key += "/cancel"
        records = (StoredRecord(key, effect.value),)

        def on_outcome(outcome):
            refused = outcome is StoreOutcome.REFUSED
            outcome_unknown = outcome is None or (maybe_stored and refused)
            if (
                outcome_unknown
                and self.clock_ms(process) < effect.not_after_ms
            ):
                arguments = (process, start_count, effect, True)
                self.call_later(
                    RETRY_PAUSE_MS,
                    self._start_call,
                    process,
                    self._store_job,
                    arguments,
                )
                return
            reported = StoreOutcome.UNKNOWN if outcome_unknown else outcome
            self.deliver(
                process,
                lambda at_ms: JobStored(at_ms, effect.call_id, reported),
                start_count,
            )

        self._call_store(
            process,
            lambda: self.store.append(Stream.JOBS, records),
            on_outcome,
        )

    def _append_progress(
        self, process, start_count, attempts_left=PROGRESS_ATTEMPTS
    ):
        """Append the first queued records of a leader, with retries.

        If the outcome of an append is unknown, its records are appended again
        first, under the same sequence number.  New records under that number
        would be lost if the earlier append had succeeded: the store would
        discard them as a retry.
        """
        writer = process.writer
        effect = writer.queue[0]
        if effect.epoch != writer.epoch:
            writer.epoch = effect.epoch
            writer.sequence = self.random.randrange(1, FIRST_SEQUENCE_LIMIT)
            writer.unconfirmed = ()
        is_claim = effect.expected_end_offset >= 0
        records = effect.records
        if self._retries_unconfirmed and not is_claim:
            records = writer.unconfirmed or records
        sequence = writer.sequence
        sent_ms = self.clock_ms(process)

        def execute():
            return self.store.append_fenced(
                effect.epoch, sequence, effect.expected_end_offset, records
            )

        def on_outcome(outcome):
            if not process.alive or process.start_count != start_count:
                return
            if outcome is StoreOutcome.STORED:
                writer.sequence += 1
                writer.unconfirmed = ()
                if records is not effect.records:
                    self._start_call(
                        process,
                        self._append_progress,
                        (process, start_count, attempts_left),
                    )
                    return
            elif outcome is None and not is_claim:
                writer.unconfirmed = records
            conclusive = outcome in (StoreOutcome.STORED, StoreOutcome.FENCED)
            claim_refused = is_claim and outcome is StoreOutcome.REFUSED
            if not conclusive and not claim_refused and attempts_left > 1:
                arguments = (process, start_count, attempts_left - 1)
                pause_ms = RETRY_PAUSE_MS
                self.call_later(
                    pause_ms,
                    self._start_call,
                    process,
                    self._append_progress,
                    arguments,
                )
                return
            reported = outcome or StoreOutcome.UNKNOWN
            writer.queue.popleft()
            if writer.queue:
                self._schedule_call(
                    process, self._append_progress, process, start_count
                )
            self.deliver(
                process,
                lambda at_ms: ProgressStored(
                    at_ms, sent_ms, effect.epoch, reported
                ),
                start_count,
            )

        self._call_store(process, execute, on_outcome)

    def _call_worker(self, process, start_count, effect):
        """Call a worker; only the incarnation that receives it executes it."""
        delivery = self._draw_delivery()
        if effect.worker_id in process.unreachable_workers:
            delivery = "lost"
        wait_ms = getattr(effect, "wait_ms", 0)
        timeout_ms = ORDER_TIMEOUT_MS
        if isinstance(effect, WatchWorker):
            timeout_ms = WATCH_TIMEOUT_MS + wait_ms
        sent_ms = self.clock_ms(process)
        answered = []

        def on_outcome(outcome):
            if answered:
                return
            answered.append(True)
            self.deliver(
                process,
                lambda at_ms: _worker_event(at_ms, sent_ms, effect, outcome),
                start_count,
            )

        def respond(worker, outcome):
            if (
                effect.worker_id in process.unreachable_workers
                or delivery != "answered"
            ):
                return
            self.call_later(
                self._delay_ms() + process.response_lag_ms, on_outcome, outcome
            )

        def try_respond(worker, wait_end_ms):
            """Respond if a run has ended or the wait is over, else wait."""
            if not worker.alive:
                respond(worker, OrderRefusal.SILENT)
            elif worker.ended or self.now_ms >= wait_end_ms:
                respond(worker, worker.report())
            else:
                worker.waiters.append(lambda: try_respond(worker, wait_end_ms))

        def execute(worker):
            if not worker.alive:
                return
            refusal = worker.execute(effect)
            if refusal is not None or not isinstance(effect, WatchWorker):
                respond(worker, refusal)
                return
            wait_end_ms = self.now_ms + wait_ms
            try_respond(worker, wait_end_ms)
            self.call_later(wait_ms, worker.notify_waiters)

        def receive():
            worker = self.workers_by_address[effect.address]
            if not worker.alive:
                respond(worker, OrderRefusal.SILENT)
                return
            if worker.worker_id != effect.worker_id:
                respond(worker, OrderRefusal.OTHER_INCARNATION)
                return
            if delivery != "late":
                execute(worker)
            if delivery in ("late", "duplicated"):
                self.call_later(
                    self.random.randint(2_000, 12_000), execute, worker
                )

        self.call_later(timeout_ms, on_outcome, OrderRefusal.SILENT)
        if delivery != "lost":
            self.call_later(self._delay_ms(), receive)


def _list_no_machines(at_ms):
    return MachinesListed(at_ms, at_ms, ())


def _worker_event(at_ms, sent_ms, effect, outcome):
    """Build the event that reports the outcome of a call to a worker.

    `order_key` identifies the run and the order that the event refers to.
    """
    timing = OrderTiming(sent_ms, sent_ms)
    match effect:
        case WatchWorker(worker_id, _, epoch):
            if isinstance(outcome, OrderRefusal):
                return WorkerNotReported(at_ms, worker_id, epoch, outcome)
            return WorkerReported(
                at_ms=at_ms,
                sent_ms=sent_ms,
                worker_id=worker_id,
                epoch=epoch,
                clock_ms=outcome.clock_ms,
                started_wall_ms=WALL_CLOCK_START_MS + outcome.started_ms,
                active=outcome.active,
                ended=outcome.ended,
            )
        case StartRun(worker_id, _, epoch, task, number):
            order_key = (worker_id, epoch, task, number)
            return RunAnswered(at_ms, *order_key, outcome, timing=timing)
        case StopRun(worker_id, _, epoch, task, number):
            order_key = (worker_id, epoch, task, number)
            return StopAnswered(at_ms, *order_key, outcome, timing)
