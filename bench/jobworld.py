"""A small seeded driver that runs managers' reducers on a modelled platform.

Managers read and write a modelled store and give orders to modelled workers.
Their calls take a random time, are lost, stay without an answer, or are
carried out seconds later; managers are stopped, killed, paused and cut off.
Nothing here is a model of threads or connections: a manager handles one event
after the other, and a call that was sent to one life of a worker never
reaches the next one.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from random import Random

from bench.event_scheduler import EventScheduler
from bench.jobchecks import Checker
from bench.jobstore import JobStore
from bench.jobworkers import Life
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

WALL_MS = 1_700_000_000_000
STORE_TIMEOUT_MS = 1_200
RETRY_PAUSE_MS = 50
PROGRESS_TRIES = 3
WATCH_TIMEOUT_MS = 800
ORDER_TIMEOUT_MS = 500
EXPIRY_MS = 3_000  # an entry is dropped so long after its worker's end
SEQUENCES = 1 << 30
ROOM = Size(4_000, 8_000)
CORES_OF_HOSTS = (0.5, 1.07, 2.15)  # in turn


@dataclass(slots=True)
class Weather:
    """How badly calls fare.

    Attributes:
      lost: Chance that a call never arrives.
      unanswered: Chance that a call has effect and its answer is lost.
      late: Chance that a call to a worker is carried out 2 to 12 s later, or
        one to the store some seconds later, without an answer.
      doubled: Chance that a call to a worker is carried out at once and
        again 2 to 12 s later, without an answer.
      slow: Chance that a call takes up to 400 ms.
    """

    lost: float = 0.01
    unanswered: float = 0.02
    late: float = 0.01
    doubled: float = 0.01
    slow: float = 0.1


CALM = Weather(0.0, 0.0, 0.0, 0.0, 0.0)


@dataclass(slots=True)
class Writer:
    """A manager's appends as leader, one after the other.

    Attributes:
      epoch: Epoch of the latest.
      sequence: Number of the next append.
      unsettled: Records of an append whose outcome is not known.
      waiting: Writes that have not begun; the first is under way.
    """

    epoch: int = 0
    sequence: int = 0
    unsettled: tuple[StoredRecord, ...] = ()
    waiting: deque = field(default_factory=deque)


@dataclass(slots=True, eq=False)
class Host:
    """A manager: its reducer's state and what was held up for it.

    Attributes:
      name: Its name.
      state: The reducer's state.
      skew_ms: Its clock less the driver's.
      alive: Whether the process runs.
      starts: How often it was started.
      paused_until_ms: Until when it handles nothing.
      timers: When each timer is due.
      writer: Its appends as leader.
      storeless: Whether it is cut off from the store.
      unanswered: Whether its appends have effect and get no answer.
      unreached: Workers that it is cut off from.
      lag_ms: How much later than others it reads workers' answers.
    """

    name: str
    state: State
    skew_ms: int
    alive: bool = True
    starts: int = 1
    paused_until_ms: int = 0
    timers: dict = field(default_factory=dict)
    writer: Writer = field(default_factory=Writer)
    storeless: bool = False
    unanswered: bool = False
    unreached: set[str] = field(default_factory=set)
    lag_ms: int = 0

    @property
    def epoch(self) -> int:
        """Epoch of its term, 0 while it does not lead."""
        return self.state.manager.term.epoch


class JobWorld(EventScheduler):
    """A clock, a list of what comes next, managers, a store and workers."""

    def __init__(self, seed: int, attempts: int = 2, settles: bool = True):
        """Begin without managers and workers.

        Args:
          seed: Same seeds give the same history.
          attempts: Failed runs after which a task has failed.
          settles: Whether an append whose outcome is not known is repeated
            before another one takes its number.
        """
        super().__init__()
        self.random = Random(seed)
        self.weather = Weather()
        self.store = JobStore(on_append=self._wake_readers)
        self.checker = Checker(lambda: self.now_ms, attempts)
        self.hosts_by_name: dict[str, Host] = {}
        self.lives_by_address: dict[str, Life] = {}
        self.answers: dict[int, Callable] = {}
        self.on_log: Callable[[Host, Log], None] = lambda host, line: None
        self.on_effect: Callable = lambda host, effect: None
        self._settles = settles
        self._readers: dict[Stream, list[Callable]] = {s: [] for s in Stream}

    def add_manager(self, name: str) -> None:
        """Start a manager.

        Args:
          name: Its name.
        """
        skew_ms = self.random.randint(0, 1_000_000)
        host = Host(name, self._fresh_state(name), skew_ms)
        self.hosts_by_name[name] = host
        self.post(host, Started)

    def add_worker(self, address: str, worker_id: str) -> None:
        """Start a worker, under a new identifier or one that it had.

        Args:
          address: Its address.
          worker_id: Its identifier.
        """
        life = Life(
            worker_id=worker_id,
            born_ms=self.now_ms,
            rate=self.random.choice((1.0, 0.98)),
            random=self.random,
            plan=self.call_later,
            now=lambda: self.now_ms,
            checker=self.checker,
        )
        self.lives_by_address[address] = life
        self.call_later(
            self.random.randint(0, 600), self._register, address, life
        )

    def end_worker(self, address: str) -> None:
        """End a worker without warning.

        Args:
          address: Its address.
        """
        life = self.lives_by_address[address]
        if life.alive:
            life.die()
            self.call_later(EXPIRY_MS, self._expire, address, life)

    def kill(self, name: str, again_after_ms: int) -> None:
        """End a manager without warning, and start it again.

        Args:
          name: Its name.
          again_after_ms: When it is started again.
        """
        host = self.hosts_by_name[name]
        if host.alive:
            host.alive = False
            host.starts += 1
            self.call_later(again_after_ms, self._restart, host)

    def stop(self, name: str) -> None:
        """Ask a manager to stop; it is started again when it has ended.

        Args:
          name: Its name.
        """
        host = self.hosts_by_name[name]
        self.post(host, StopRequested)
        self.call_later(6_000, self._kill_if, host, host.starts)

    def pause(self, name: str, for_ms: int) -> None:
        """Let a manager handle nothing for a while.

        Args:
          name: Its name.
          for_ms: For how long.
        """
        host = self.hosts_by_name[name]
        until_ms = self.now_ms + for_ms
        host.paused_until_ms = max(host.paused_until_ms, until_ms)

    def leader(self) -> Host | None:
        """Find the manager that leads under the highest epoch.

        Returns:
          The manager, or None.
        """
        hosts = [host for host in self.hosts_by_name.values() if host.alive]
        leading = [host for host in hosts if host.epoch]
        return max(leading, key=lambda host: host.epoch, default=None)

    def post(
        self,
        host: Host,
        make: Callable[[int], Event],
        starts: int | None = None,
    ) -> None:
        """Let a manager handle an event, after its pause if it has one.

        Args:
          host: The manager.
          make: Builds the event from the manager's clock.
          starts: Start of the manager that it is for, None for this one.
        """
        starts = host.starts if starts is None else starts
        if not host.alive or host.starts != starts:
            return
        if self.now_ms < host.paused_until_ms:
            delay_ms = host.paused_until_ms - self.now_ms
            self.call_later(delay_ms, self.post, host, make, starts)
            return
        event = make(self.clock(host))
        try:
            step = reduce_manager(host.state, event)
        except Exception as error:  # the interpreter drops such an event too
            kind = type(event).__name__
            self.checker.violations.append(f"ERROR in {kind}: {error!r}")
            return
        host.state = step.state
        for effect in step.effects:
            self._perform(host, effect)

    def clock(self, host: Host) -> int:
        """Read a manager's clock.

        Args:
          host: The manager.
        Returns:
          Milliseconds.
        """
        return self.now_ms + host.skew_ms

    def _fresh_state(self, name):
        rank = self.random.randrange(1 << 32)
        identity = Identity(Node(name, NodeKind.MANAGER, "dc", ""), name)
        cores = CORES_OF_HOSTS[sum(name.encode()) % len(CORES_OF_HOSTS)]
        manager = ManagerState(name, rank, cores, timing=Timing())
        return State(identity, manager=manager)

    def _restart(self, host):
        host.state = self._fresh_state(host.name)
        host.alive = True
        host.paused_until_ms = 0
        host.timers.clear()
        host.writer = Writer()
        self.post(host, Started)

    def _kill_if(self, host, starts):
        if host.starts == starts:
            self.kill(host.name, 300)

    def _register(self, address, life):
        if not life.alive:
            return
        entry = WorkerEntry(
            worker_id=life.worker_id,
            address=address,
            pool="a",
            data_centre="dc",
            capacity=ROOM,
            started_wall_ms=WALL_MS + life.born_ms,
        )
        self.store.append(
            Stream.WORKERS, (StoredRecord(life.worker_id, entry),)
        )

    def _expire(self, address, life):
        now = self.lives_by_address[address]
        if now.alive and now.worker_id == life.worker_id:
            return
        self.store.append(
            Stream.WORKERS, (StoredRecord(life.worker_id, None),)
        )

    def _perform(self, host, effect) -> None:
        self.on_effect(host, effect)
        match effect:
            case SetTimer(timer, at_ms):
                host.timers[timer] = at_ms
                delay_ms = at_ms - self.clock(host)
                self.call_later(
                    delay_ms, self._fire, host, host.starts, timer, at_ms
                )
            case ReadStream():
                self._send(host, self._read, host, host.starts, effect)
            case StoreProgress():
                host.writer.waiting.append(effect)
                if len(host.writer.waiting) == 1:
                    self._send(host, self._write, host, host.starts)
            case OfferToLead():
                self._send(host, self._offer, host, host.starts, effect)
            case StoreJob():
                starts = host.starts
                self._send(host, self._store_job, host, starts, effect, False)
            case WatchWorker() | StartRun() | StopRun():
                self._send(host, self._call, host, host.starts, effect)
            case AnswerCall(call_id, answer):
                self.answers.pop(call_id, lambda answer: None)(answer)
            case ListMachines():
                self.call_later(
                    5, self.post, host, _list_no_machines, host.starts
                )
            case Log():
                self.on_log(host, effect)
            case Exit():
                self.kill(host.name, self.random.randint(200, 1_500))

    def _fire(self, host, starts, timer, at_ms):
        if host.timers.get(timer) == at_ms:
            self.post(host, lambda now_ms: TimerFired(now_ms, timer), starts)

    def _send(self, host, action, *arguments):
        """Begin a call from another thread of a manager's process."""
        self.call_later(
            self.random.random() * 2, self._begin, host, action, arguments
        )

    def _begin(self, host, action, arguments):
        """Begin a call, once the process is not paused, if it still runs."""
        if not host.alive or arguments[1] != host.starts:
            return
        if self.now_ms < host.paused_until_ms:
            delay_ms = host.paused_until_ms - self.now_ms
            self.call_later(delay_ms, self._begin, host, action, arguments)
            return
        action(*arguments)

    def _delay_ms(self):
        slow = self.random.random() < self.weather.slow
        return self.random.uniform(0, 400 if slow else 3)

    def _draw(self):
        """Draw what becomes of a call."""
        weather = self.weather
        chance = self.random.random()
        for name in ("lost", "unanswered", "late", "doubled"):
            chance -= getattr(weather, name)
            if chance < 0:
                return name
        return "answered"

    def _call_store(self, host, execute, done, timeout_ms=STORE_TIMEOUT_MS):
        """Let the store carry a call out; `done` gets None for silence."""
        fate = self._draw()
        delay_ms = self._delay_ms()
        if self._is_refused():
            self.call_later(delay_ms, done, StoreOutcome.REFUSED)
            return
        if host.storeless or self.store.down:
            fate = "lost"
        elif self.store.muted or host.unanswered:
            fate = "unanswered"
        if fate == "answered" and delay_ms < timeout_ms:
            self.call_later(delay_ms, lambda: self._answer(done, execute()))
            return
        if fate in ("late", "doubled"):
            delay_ms = self.random.randint(200, 8_000)
        if fate != "lost":
            self.call_later(delay_ms, execute)
        self.call_later(timeout_ms, done, None)

    def _answer(self, done, outcome):
        self.call_later(self._delay_ms(), done, outcome)

    def _read(self, host, starts, effect):
        """Read a log, waiting for a first record where that is asked for."""
        asked_ms = self.clock(host)
        whole = effect.from_offset < 0
        ends_ms = self.now_ms + effect.wait_ms
        answered = []

        def done(found):
            if found is None:
                self.post(host, unread, starts)
                return
            self.post(host, lambda at_ms: read(at_ms, *found), starts)

        def unread(at_ms):
            return StreamUnread(at_ms, effect.stream, "no answer")

        def read(at_ms, records, next_offset):
            known_ms = asked_ms
            if not records and not whole:
                known_ms = min(asked_ms + effect.wait_ms, at_ms)
            return StreamRead(
                at_ms,
                known_ms,
                WALL_MS + self.now_ms,
                effect.stream,
                records,
                next_offset,
                whole,
            )

        def look():
            """Answer once there is a record, or at the end of the wait."""
            found = self.store.read(effect.stream, effect.from_offset)
            if answered:
                return
            if found[0] or whole or self.now_ms >= ends_ms:
                answered.append(True)
                silent = self._is_silent(host)
                self.call_later(
                    self._delay_ms(), done, None if silent else found
                )
                return
            self._readers[effect.stream].append(look)

        def arrive():
            look()
            if not answered:
                self.call_later(ends_ms - self.now_ms, look)

        if self._is_refused():
            self.call_later(self._delay_ms(), done, None)
            return
        if self._is_silent(host) or self._draw() != "answered":
            self.call_later(STORE_TIMEOUT_MS + effect.wait_ms, done, None)
            return
        self.call_later(self._delay_ms(), arrive)

    def _is_silent(self, host):
        return host.storeless or self.store.down or self.store.muted

    def _is_refused(self):
        return self.store.down and self.store.refusing

    def _wake_readers(self, stream):
        readers, self._readers[stream] = self._readers[stream], []
        for look in readers:
            look()

    def _offer(self, host, _, effect):
        """Append an offer to lead once; whether it is stored is not told."""
        records = (StoredRecord("candidate", effect.candidate),)
        self._call_store(
            host,
            lambda: self.store.append(Stream.JOBS, records),
            lambda outcome: None,
        )

    def _store_job(self, host, starts, effect, unknown):
        """Append a job or cancelling until the outcome is known."""
        key = effect.value.job_id
        if isinstance(effect.value, CancelAsked):
            key += "/cancel"
        records = (StoredRecord(key, effect.value),)

        def done(outcome):
            refused = outcome is StoreOutcome.REFUSED
            silent = outcome is None or (unknown and refused)
            if silent and self.clock(host) < effect.not_after_ms:
                arguments = (host, starts, effect, True)
                self.call_later(
                    RETRY_PAUSE_MS,
                    self._begin,
                    host,
                    self._store_job,
                    arguments,
                )
                return
            ended = StoreOutcome.UNKNOWN if silent else outcome
            self.post(
                host,
                lambda at_ms: JobStored(at_ms, effect.call_id, ended),
                starts,
            )

        self._call_store(
            host, lambda: self.store.append(Stream.JOBS, records), done
        )

    def _write(self, host, starts, tries=PROGRESS_TRIES):
        """Append a leader's records; a repeat takes effect once."""
        writer = host.writer
        effect = writer.waiting[0]
        if effect.epoch != writer.epoch:
            writer.epoch = effect.epoch
            writer.sequence = self.random.randrange(1, SEQUENCES)
            writer.unsettled = ()
        claims = effect.expected_end_offset >= 0
        records = effect.records
        if self._settles and not claims:
            records = writer.unsettled or records
        sequence = writer.sequence
        asked_ms = self.clock(host)

        def execute():
            return self.store.append_fenced(
                effect.epoch, sequence, effect.expected_end_offset, records
            )

        def done(outcome):
            if not host.alive or host.starts != starts:
                return
            if outcome is StoreOutcome.STORED:
                writer.sequence += 1
                writer.unsettled = ()
                if records is not effect.records:
                    self._begin(host, self._write, (host, starts, tries))
                    return
            elif outcome is None and not claims:
                writer.unsettled = records
            certain = outcome in (StoreOutcome.STORED, StoreOutcome.FENCED)
            refused = claims and outcome is StoreOutcome.REFUSED
            if not certain and not refused and tries > 1:
                arguments = (host, starts, tries - 1)
                pause_ms = RETRY_PAUSE_MS
                self.call_later(
                    pause_ms, self._begin, host, self._write, arguments
                )
                return
            ended = outcome or StoreOutcome.UNKNOWN
            writer.waiting.popleft()
            if writer.waiting:
                self._send(host, self._write, host, starts)
            self.post(
                host,
                lambda at_ms: ProgressStored(
                    at_ms, asked_ms, effect.epoch, ended
                ),
                starts,
            )

        self._call_store(host, execute, done)

    def _call(self, host, starts, effect):
        """Call a worker; what it was sent binds to the life that gets it."""
        fate = self._draw()
        if effect.worker_id in host.unreached:
            fate = "lost"
        wait_ms = getattr(effect, "wait_ms", 0)
        timeout_ms = ORDER_TIMEOUT_MS
        if isinstance(effect, WatchWorker):
            timeout_ms = WATCH_TIMEOUT_MS + wait_ms
        asked_ms = self.clock(host)
        answered = []

        def done(outcome):
            if answered:
                return
            answered.append(True)
            self.post(
                host,
                lambda at_ms: _worker_event(at_ms, asked_ms, effect, outcome),
                starts,
            )

        def answer(life, outcome):
            if effect.worker_id in host.unreached or fate != "answered":
                return
            self.call_later(self._delay_ms() + host.lag_ms, done, outcome)

        def look(life, ends_ms):
            """Answer a call for lists at the first end or after its wait."""
            if not life.alive:
                answer(life, OrderRefusal.SILENT)
            elif life.ended or self.now_ms >= ends_ms:
                answer(life, life.lists())
            else:
                life.waiters.append(lambda: look(life, ends_ms))

        def execute(life):
            if not life.alive:
                return
            refusal = life.carry_out(effect)
            if refusal is not None or not isinstance(effect, WatchWorker):
                answer(life, refusal)
                return
            ends_ms = self.now_ms + wait_ms
            look(life, ends_ms)
            self.call_later(wait_ms, life._wake)

        def arrive():
            life = self.lives_by_address[effect.address]
            if not life.alive:
                answer(life, OrderRefusal.SILENT)
                return
            if life.worker_id != effect.worker_id:
                answer(life, OrderRefusal.OTHER_INCARNATION)
                return
            if fate != "late":
                execute(life)
            if fate in ("late", "doubled"):
                self.call_later(
                    self.random.randint(2_000, 12_000), execute, life
                )

        self.call_later(timeout_ms, done, OrderRefusal.SILENT)
        if fate != "lost":
            self.call_later(self._delay_ms(), arrive)


def _list_no_machines(at_ms):
    return MachinesListed(at_ms, at_ms, ())


def _worker_event(at_ms, asked_ms, effect, outcome):
    """Tell a manager what became of a call to a worker."""
    timing = OrderTiming(asked_ms, asked_ms)
    match effect:
        case WatchWorker(worker_id, _, epoch):
            if isinstance(outcome, OrderRefusal):
                return WorkerNotReported(at_ms, worker_id, epoch, outcome)
            return WorkerReported(
                at_ms=at_ms,
                sent_ms=asked_ms,
                worker_id=worker_id,
                epoch=epoch,
                clock_ms=outcome.clock_ms,
                started_wall_ms=WALL_MS + outcome.born_ms,
                active=outcome.active,
                ended=outcome.ended,
            )
        case StartRun(worker_id, _, epoch, task, number):
            names = (worker_id, epoch, task, number)
            return RunAnswered(at_ms, *names, outcome, timing=timing)
        case StopRun(worker_id, _, epoch, task, number):
            names = (worker_id, epoch, task, number)
            return StopAnswered(at_ms, *names, outcome, timing)
