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

from collections.abc import Callable
from random import Random
from time import process_time_ns

from bench.event_scheduler import EventScheduler
from bench.jobadvice import AdviceService
from bench.jobchecks import JobChecker
from bench.jobchecks import max_drain_delay_ms
from bench.jobmachines import CloudApi
from bench.jobprocesses import CallFaultRates
from bench.jobprocesses import ManagerProcess
from bench.jobprocesses import ProgressWriter
from bench.jobprocesses import WALL_CLOCK_START_MS
from bench.jobscenarios import Limits
from bench.jobstore import JobStore
from bench.jobworkers import WorkerIncarnation
from bench.peerlinks import PeerLinks
from bench.storecalls import StoreCalls
from bench.workercalls import WorkerCalls
from sesamehall.core.data import Node
from sesamehall.core.data import NodeKind
from sesamehall.core.effects import Exit
from sesamehall.core.effects import Log
from sesamehall.core.effects import SetTimer
from sesamehall.core.events import Event
from sesamehall.core.events import Started
from sesamehall.core.events import StopRequested
from sesamehall.core.events import TimerFired
from sesamehall.core.fleet import PeerNode
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.fleet import WorkerEntry
from sesamehall.core.managereffects import AnswerCall
from sesamehall.core.managereffects import AnswerPeer
from sesamehall.core.managereffects import ForwardCall
from sesamehall.core.managereffects import ListMachines
from sesamehall.core.managereffects import MaintainMachine
from sesamehall.core.managereffects import OfferToLead
from sesamehall.core.managereffects import ReadStream
from sesamehall.core.managereffects import RegisterNode
from sesamehall.core.managereffects import RequestAdvice
from sesamehall.core.managereffects import StartRun
from sesamehall.core.managereffects import StopRun
from sesamehall.core.managereffects import StoreJob
from sesamehall.core.managereffects import StoreProgress
from sesamehall.core.managereffects import WatchWorker
from sesamehall.core.managerevents import MachinesListed
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.managerstate import Timing
from sesamehall.core.peercalls import PeerState
from sesamehall.core.state import Identity
from sesamehall.core.state import State
from sesamehall.core.work import Size
from sesamehall.reducer.manager_reducer import reduce_manager

REGISTRATION_EXPIRY_MS = 3_000  # after the termination of the worker
WORKER_CAPACITY = Size(4_000, 8_000)
MANAGER_CORES = (0.5, 1.07, 2.15)  # chosen by the manager's name


class JobSimulation(EventScheduler):
    """Simulated managers, workers and store.

    Attributes:
      limits: Limits of the simulated platform.
      random: The only source of random numbers.
      fault_rates: Fault rates in force.
      binds_calls: Whether calls to workers reach only the incarnation that
        they are meant for.
      store: The store.
      cloud_api: The cloud API, whose list of machines is empty unless the
        limits say that it has machines.
      peer_links: Carries the calls that managers forward to each other.
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
        self,
        seed: int,
        max_attempts: int = 2,
        retry_unconfirmed: bool = True,
        limits: Limits = Limits(),
    ):
        """Start without managers and workers.

        Args:
          seed: Seed of the random generator; runs of a seed are identical.
          max_attempts: Number of failed runs after which a task has failed.
          retry_unconfirmed: Whether an append of unknown outcome is retried
            before the next one uses its sequence number.
          limits: Limits of the simulated platform.
        """
        super().__init__()
        self.limits = limits
        self.random = Random(seed)
        self.fault_rates = CallFaultRates()
        self.binds_calls = True
        self._store_calls = StoreCalls(
            self, retry_unconfirmed, limits.checkpoints_per_record
        )
        self._worker_calls = WorkerCalls(self, limits.start_clocks)
        self.cloud_api = CloudApi(self)
        self.peer_links = PeerLinks(self)
        self._advice_service = None
        if limits.advice is not None:
            self._advice_service = AdviceService(self, limits.advice)
        self.store = JobStore(on_append=self._store_calls.notify_readers)
        self.checker = JobChecker(lambda: self.now_ms, max_attempts)
        self.checker.max_drain_delay_ms = max_drain_delay_ms(limits)
        self.processes_by_name: dict[str, ManagerProcess] = {}
        self.workers_by_address: dict[str, WorkerIncarnation] = {}
        self.data_centre_by_address: dict[str, str] = {}
        self.on_answer_by_call_id: dict[int, Callable] = {}
        self.on_log: Callable[[ManagerProcess, Log], None] = (
            lambda process, line: None
        )
        self.on_effect: Callable = lambda process, effect: None
        self.on_reduced: Callable[[Event, int], None] = lambda event, ns: None

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
            ends_per_report=self.limits.ends_per_report,
            writes_checkpoints=self.limits.checkpoints_per_record >= 0,
            pool=pool,
            long_run_ms=self.limits.long_run_ms,
        )
        if self._advice_service is not None:
            worker.has_valid_ticket = self._has_valid_ticket
        self.workers_by_address[address] = worker
        data_centre = self._data_centre(address)
        self.checker.data_centre_by_worker_id[worker_id] = data_centre
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

    def _has_valid_ticket(self, order):
        return self._advice_service.is_valid(
            order.task, order.worker_id, order.ticket
        )

    def _data_centre(self, address):
        """Deal addresses to data centres in turn."""
        names = self.data_centre_by_address
        number = len(names) % self.limits.data_centres
        return names.setdefault(address, f"dc-{number}")

    def _initial_state(self, name):
        jitter_seed = self.random.randrange(1 << 32)
        identity = Identity(Node(name, NodeKind.MANAGER, "dc", ""), name)
        cores = MANAGER_CORES[sum(name.encode()) % len(MANAGER_CORES)]
        timing = Timing(drain_within_ms=self.limits.drain_within_ms)
        peers = PeerState()
        if self.limits.has_peers:
            token = str(self.random.randrange(1 << 32))
            peers = PeerState(PeerNode(name, "dc", name, token))
        manager = ManagerState(
            name, jitter_seed, cores, timing=timing, peers=peers
        )
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
            data_centre=self._data_centre(address),
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
                self.schedule_call(
                    process,
                    self._store_calls.read_stream,
                    process,
                    process.start_count,
                    effect,
                )
            case StoreProgress():
                process.writer.queue.append(effect)
                if len(process.writer.queue) == 1:
                    self.schedule_call(
                        process,
                        self._store_calls.append_progress,
                        process,
                        process.start_count,
                    )
            case OfferToLead():
                self.schedule_call(
                    process,
                    self._store_calls.append_offer,
                    process,
                    process.start_count,
                    effect,
                )
            case RegisterNode():
                self.schedule_call(
                    process,
                    self.peer_links.register,
                    process,
                    process.start_count,
                    effect,
                )
            case ForwardCall():
                self.schedule_call(
                    process,
                    self.peer_links.forward,
                    process,
                    process.start_count,
                    effect,
                )
            case RequestAdvice():
                self.schedule_call(
                    process,
                    self._advice_service.request,
                    process,
                    process.start_count,
                    effect,
                )
            case AnswerPeer():
                self.peer_links.answer(effect)
            case StoreJob():
                start_count = process.start_count
                self.schedule_call(
                    process,
                    self._store_calls.store_job,
                    process,
                    start_count,
                    effect,
                )
            case WatchWorker() | StartRun() | StopRun():
                self.schedule_call(
                    process,
                    self._worker_calls.call,
                    process,
                    process.start_count,
                    effect,
                )
            case AnswerCall(call_id, answer):
                self.on_answer_by_call_id.pop(call_id, lambda answer: None)(
                    answer
                )
            case ListMachines() if self.limits.has_machines:
                self.schedule_call(
                    process,
                    self.cloud_api.list_machines,
                    process,
                    process.start_count,
                    effect,
                )
            case MaintainMachine():
                self.schedule_call(
                    process,
                    self.cloud_api.send_order,
                    process,
                    process.start_count,
                    effect,
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

    def schedule_call(
        self, process: ManagerProcess, action: Callable, *arguments
    ) -> None:
        """Schedule a call, as if another thread of the manager made it.

        Args:
          process: The manager.
          action: Function that executes the call.
          *arguments: Its arguments.  The first is the process, the second its
            start count when the call was requested.
        """
        self.call_later(
            self.random.random() * 2,
            self.start_call,
            process,
            action,
            arguments,
        )

    def start_call(
        self, process: ManagerProcess, action: Callable, arguments: tuple
    ) -> None:
        """Start a call, after the pause if any.

        The call is dropped if the manager has been restarted meanwhile.

        Args:
          process: The manager.
          action: Function that executes the call.
          arguments: Its arguments, as for `schedule_call`.
        """
        if not process.alive or arguments[1] != process.start_count:
            return
        if self.now_ms < process.paused_until_ms:
            delay_ms = process.paused_until_ms - self.now_ms
            self.call_later(
                delay_ms, self.start_call, process, action, arguments
            )
            return
        action(*arguments)

    def draw_delay_ms(self) -> float:
        """Draw the delay of a request or of a response, in milliseconds."""
        slow = self.random.random() < self.fault_rates.slow
        return self.random.uniform(0, 400 if slow else 3)

    def draw_delivery(self) -> str:
        """Draw the fault of a call, "answered" for none."""
        fault_rates = self.fault_rates
        chance = self.random.random()
        for name in ("lost", "response_lost", "late", "duplicated"):
            chance -= getattr(fault_rates, name)
            if chance < 0:
                return name
        return "answered"


def _list_no_machines(at_ms):
    return MachinesListed(at_ms, at_ms, ())
