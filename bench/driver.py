"""A small seeded driver that runs many real reducers against each other.

It hands their messages on late, twice, out of order or never, pauses, kills
and replaces nodes, cuts data centres off, and fires their timers.  It models
no network, hardware or cluster: a message takes a random time, and a target
runs a request for a random time.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from random import Random

from immutables import Map

from bench.event_scheduler import EventScheduler
from sesamehall.core.data import Instance
from sesamehall.core.data import Node
from sesamehall.core.data import NodeKind
from sesamehall.core.effects import Append
from sesamehall.core.effects import Disconnect
from sesamehall.core.effects import Dispatch
from sesamehall.core.effects import Exit
from sesamehall.core.effects import Forward
from sesamehall.core.effects import ListInstances
from sesamehall.core.effects import ReadLog
from sesamehall.core.effects import RebootInstance
from sesamehall.core.effects import Reply
from sesamehall.core.effects import Send
from sesamehall.core.effects import SetTimer
from sesamehall.core.events import AppendEnded
from sesamehall.core.events import Broken
from sesamehall.core.events import Completed
from sesamehall.core.events import DeadlinePassed
from sesamehall.core.events import Declined
from sesamehall.core.events import Event
from sesamehall.core.events import InstanceRebooted
from sesamehall.core.events import InstancesListed
from sesamehall.core.events import InstancesNotListed
from sesamehall.core.events import LogRead
from sesamehall.core.events import LogReadFailed
from sesamehall.core.events import MessageReceived
from sesamehall.core.events import NotSent
from sesamehall.core.events import PeerConnected
from sesamehall.core.events import PeerDisconnected
from sesamehall.core.events import RequestReceived
from sesamehall.core.events import Started
from sesamehall.core.events import StopRequested
from sesamehall.core.events import TargetAnswered
from sesamehall.core.events import TimerFired
from sesamehall.core.events import TooLate
from sesamehall.core.limits import LINGER_MS
from sesamehall.core.records import LogEntry
from sesamehall.core.records import Record
from sesamehall.core.state import Identity
from sesamehall.core.state import State
from sesamehall.reducer.reduce import reduce

IDLE_READ_MS = 2_000
RECONNECT_MS = 300


@dataclass(frozen=True, slots=True)
class Weather:
    """How badly messages and targets fare.

    Attributes:
      delay_ms: Longest usual delay of a message.
      late: Chance that a message takes up to 50 times as long.
      lost: Chance that a message is lost.
      doubled: Chance that a message arrives twice.
      broken: Chance that a target's answer is lost.
      refused: Chance that a target gets no byte.
      append_lost: Chance that an append's answer is lost.
    """

    delay_ms: int = 3
    late: float = 0.02
    lost: float = 0.02
    doubled: float = 0.02
    broken: float = 0.01
    refused: float = 0.01
    append_lost: float = 0.1


CALM = Weather(1, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0)


@dataclass(slots=True, eq=False)
class Host:
    """One node: its reducer's state and what was held up for it.

    Attributes:
      node: Name, kind and data centre.
      state: The reducer's state.
      alive: Whether the process runs.
      paused_until_ms: Until when it handles nothing.
      skew_ms: Its clock less the driver's.
      timers: When each timer is due, by timer.
      starts: How often it was started.
      streams: Open streams: their number, by peer.
    """

    node: Node
    state: State
    alive: bool = True
    paused_until_ms: int = 0
    skew_ms: int = 0
    timers: dict = field(default_factory=dict)
    starts: int = 1
    streams: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class Run:
    """A request that a target is running.

    Attributes:
      team: Team that it is charged to.
      service: Service that it was handed in to.
      request_id: Identifier of the request.
      caller_id: The caller's id, or the request's own.
      host: Entry that sent it.
      ceiling: Team's ceiling as that entry knew it.
    """

    team: str
    service: str
    request_id: str
    caller_id: str
    host: str
    ceiling: int


class World(EventScheduler):
    """The driver: a clock, a list of what comes next, nodes and a log."""

    def __init__(self, seed: int, weather: Weather, instances=()):
        """Begin with an empty log and no node.

        Args:
          seed: Same seeds give the same history.
          weather: How badly messages and targets fare.
          instances: The platform's list.
        """
        super().__init__()
        self.random = Random(seed)
        self.weather = weather
        self.instances: tuple[Instance, ...] = tuple(instances)
        self.log: list[Record] = []
        self.hosts_by_name: dict[str, Host] = {}
        self.runs: dict[tuple[str, int], Run] = {}
        self.replies: list[tuple[str, Reply | Forward]] = []
        self.cut_data_centres: set[str] = set()
        self.platform_down = False
        self.work_ms: Callable[[], int] = lambda: self.random.randint(5, 200)
        self.on_start: Callable[[Run], None] = lambda run: None
        self.on_end: Callable[[Run], None] = lambda run: None
        self.on_reduced: Callable[[Host], None] = lambda host: None
        self._streams = 0
        self._slots_by_target: dict[str, int] = {}

    def add_nodes(self, nodes: list[Node]) -> None:
        """Start nodes that all know of each other.

        Args:
          nodes: The nodes.
        """
        for node in nodes:
            peers = Map((n.name, n) for n in nodes if n.name != node.name)
            identity = Identity(node, f"{node.name}:1", peers)
            host = Host(node, State(identity))
            host.skew_ms = self.random.randint(0, 1_000_000)
            self.hosts_by_name[node.name] = host
        for node in nodes:
            self._boot(self.hosts_by_name[node.name])

    def append(self, record: Record) -> None:
        """Append a record as an operator would.

        Args:
          record: The record.
        """
        self.log.append(record)

    def hand_in(self, name: str, request) -> None:
        """Let a caller hand a request in at an entry.

        Args:
          name: Name of the entry.
          request: Function of the entry's clock that gives the request.
        """
        host = self.hosts_by_name[name]
        if not host.alive:
            return
        made = request(self._clock(host))
        self._post(host, lambda at_ms: RequestReceived(at_ms, made))
        wait_ms = made.deadline_ms - self._clock(host)
        self.call_later(
            wait_ms,
            self._post,
            host,
            lambda at_ms: DeadlinePassed(at_ms, made.request_id),
            host.starts,
        )

    def pause(self, name: str, for_ms: int) -> None:
        """Let a node handle nothing for a while.

        Args:
          name: Name of the node.
          for_ms: For how long.
        """
        host = self.hosts_by_name[name]
        until_ms = self.now_ms + for_ms
        host.paused_until_ms = max(host.paused_until_ms, until_ms)

    def kill(self, name: str, replace_after_ms: int | None) -> None:
        """End a node without warning; its requests run on at the targets.

        Args:
          name: Name of the node.
          replace_after_ms: When it is started anew, None for never.
        """
        host = self.hosts_by_name[name]
        if not host.alive:
            return
        host.alive = False
        host.starts += 1
        for peer in list(host.streams):
            self._break_stream(host, peer)
        if replace_after_ms is not None:
            self.call_later(replace_after_ms, self._restart, host)

    def stop(self, name: str, replace_after_ms: int | None) -> None:
        """Ask a node to stop gracefully, and replace it when it has ended.

        Args:
          name: Name of the node.
          replace_after_ms: How long after that, None for never.
        """
        host = self.hosts_by_name[name]
        if host.alive:
            self._post(host, StopRequested)
            self.call_later(8_000, self.kill, name, replace_after_ms)

    def cut(self, data_centre: str, for_ms: int) -> None:
        """Cut a data centre off from the others and from the platform.

        Args:
          data_centre: Its name.
          for_ms: For how long.
        """
        self.cut_data_centres.add(data_centre)
        self.call_later(for_ms, self.cut_data_centres.discard, data_centre)

    def take_platform_down(self, for_ms: int) -> None:
        """Let every call to the platform fail for a while.

        Args:
          for_ms: For how long.
        """

        def restore():
            self.platform_down = False

        self.platform_down = True
        self.call_later(for_ms, restore)

    def _clock(self, host: Host) -> int:
        return self.now_ms + host.skew_ms

    def _boot(self, host: Host) -> None:
        host.state = State(host.state.identity)
        host.timers.clear()
        self._post(host, Started)
        for name in self.hosts_by_name:
            if name != host.node.name:
                delay_ms = self.random.randint(0, RECONNECT_MS)
                self.call_later(delay_ms, self._connect, host.node.name, name)

    def _restart(self, host: Host) -> None:
        identity = host.state.identity
        name = host.node.name
        incarnation = f"{name}:{host.starts}"
        fresh = Identity(host.node, incarnation, identity.peers_by_name)
        host.state = State(fresh)
        host.alive = True
        host.paused_until_ms = 0
        self._boot(host)

    def _reachable(self, one: Host, other: Host) -> bool:
        if not (one.alive and other.alive):
            return False
        if one.node.data_centre == other.node.data_centre:
            return True
        cut = self.cut_data_centres
        return not {one.node.data_centre, other.node.data_centre} & cut

    def _connect(self, one_name: str, other_name: str) -> None:
        """Open a stream between two nodes, or try again later."""
        one = self.hosts_by_name[one_name]
        other = self.hosts_by_name[other_name]
        if not (one.alive and other.alive) or other_name in one.streams:
            return
        if not self._reachable(one, other):
            self.call_later(RECONNECT_MS, self._connect, one_name, other_name)
            return
        self._streams += 1
        one.streams[other_name] = self._streams
        other.streams[one_name] = self._streams
        self._post(one, lambda at_ms: PeerConnected(at_ms, other_name))
        self._post(other, lambda at_ms: PeerConnected(at_ms, one_name))

    def _break_stream(self, host: Host, peer_name: str) -> None:
        """Close a stream at both ends, and plan a new one."""
        if host.streams.pop(peer_name, None) is None:
            return
        peer = self.hosts_by_name[peer_name]
        peer.streams.pop(host.node.name, None)
        name = host.node.name
        self._post(host, lambda at_ms: PeerDisconnected(at_ms, peer_name))
        self._post(peer, lambda at_ms: PeerDisconnected(at_ms, name))
        delay_ms = RECONNECT_MS + self.random.randint(0, RECONNECT_MS)
        self.call_later(delay_ms, self._connect, name, peer_name)

    def _post(
        self,
        host: Host,
        make: Callable[[int], Event],
        starts: int | None = None,
    ) -> None:
        """Let a node handle an event, after its pause if it has one."""
        starts = host.starts if starts is None else starts
        if not host.alive or host.starts != starts:
            return
        if self.now_ms < host.paused_until_ms:
            delay_ms = host.paused_until_ms - self.now_ms
            self.call_later(delay_ms, self._post, host, make, starts)
            return
        step = reduce(host.state, make(self._clock(host)))
        host.state = step.state
        for effect in step.effects:
            self._perform(host, effect)
        self.on_reduced(host)

    def _perform(self, host: Host, effect) -> None:
        match effect:
            case Send(peer, message):
                self._send(host, peer, message)
            case SetTimer(timer, at_ms):
                self._set_timer(host, timer, at_ms)
            case Dispatch():
                self._dispatch(host, effect)
            case Reply() | Forward():
                self.replies.append((host.node.name, effect))
            case Disconnect(peer):
                self._break_stream(host, peer)
            case ReadLog(from_offset):
                self.call_later(
                    1, self._read_log, host, from_offset, host.starts, 0
                )
            case Append(record):
                self._append(host, record)
            case ListInstances():
                self._list(host)
            case RebootInstance(operation):
                self._later(
                    host,
                    500,
                    lambda at_ms: InstanceRebooted(at_ms, operation, True),
                )
            case Exit():
                self.kill(host.node.name, 200)

    def _later(self, host, delay_ms, make) -> None:
        self.call_later(delay_ms, self._post, host, make, host.starts)

    def _send(self, host: Host, peer_name: str, message) -> None:
        """Hand a message on as the weather has it."""
        weather = self.weather
        copies = 1
        if self.random.random() < weather.lost:
            copies = 0
        elif self.random.random() < weather.doubled:
            copies = 2
        for _ in range(copies):
            delay_ms = self.random.uniform(0, weather.delay_ms)
            if self.random.random() < weather.late:
                delay_ms *= 50
            stream = host.streams.get(peer_name)
            self.call_later(
                delay_ms, self._arrive, host, peer_name, message, stream
            )

    def _arrive(self, host, peer_name, message, stream) -> None:
        peer = self.hosts_by_name[peer_name]
        name = host.node.name
        if peer.streams.get(name) != stream or stream is None:
            return
        if self._reachable(host, peer):
            self._post(
                peer, lambda at_ms: MessageReceived(at_ms, name, message)
            )

    def _set_timer(self, host: Host, timer, at_ms: int) -> None:
        host.timers[timer] = at_ms
        delay_ms = at_ms - self._clock(host)
        self.call_later(delay_ms, self._fire, host, timer, at_ms, host.starts)

    def _fire(self, host, timer, at_ms, starts) -> None:
        if host.starts == starts and host.timers.get(timer) == at_ms:
            del host.timers[timer]
            self._post(
                host, lambda clock_ms: TimerFired(clock_ms, timer), starts
            )

    def _platform_reachable(self, host: Host) -> bool:
        cut = host.node.data_centre in self.cut_data_centres
        return not cut and not self.platform_down

    def _read_log(self, host, from_offset, starts, waited_ms) -> None:
        """Answer a read of the log; an idle one waits in small steps."""
        if not self._platform_reachable(host):
            self._later(host, 100, lambda at_ms: LogReadFailed(at_ms, "cut"))
            return
        bodies = self.log[from_offset:]
        if not bodies and waited_ms < IDLE_READ_MS:
            waited_ms += 20
            self.call_later(
                20, self._read_log, host, from_offset, starts, waited_ms
            )
            return
        entries = tuple(
            LogEntry(from_offset + index, record)
            for index, record in enumerate(bodies)
        )
        self._post(host, lambda at_ms: LogRead(at_ms, entries, 0), starts)

    def _append(self, host: Host, record: Record) -> None:
        confirmed = False
        if self._platform_reachable(host):
            self.log.append(record)
            confirmed = self.random.random() >= self.weather.append_lost
        delay_ms = self.random.randint(1, 10)
        record_id = record.record_id
        self._later(
            host,
            delay_ms,
            lambda at_ms: AppendEnded(at_ms, record_id, confirmed),
        )

    def _list(self, host: Host) -> None:
        if self._platform_reachable(host):
            listed = self.instances
            self._later(host, 5, lambda at_ms: InstancesListed(at_ms, listed))
        else:
            self._later(
                host, 5, lambda at_ms: InstancesNotListed(at_ms, "cut")
            )

    def _dispatch(self, host: Host, dispatch: Dispatch) -> None:
        """Let a target run a request, as the weather has it."""
        if self._clock(host) >= dispatch.not_after_ms:
            self._answer(host, dispatch, 0, TooLate())
        elif self.random.random() < self.weather.refused:
            self._answer(host, dispatch, 1, NotSent("refused"))
        elif self._slots_by_target.get(dispatch.target, 0) >= 8:
            self._answer(host, dispatch, 1, Declined())
        else:
            self._start_run(host, dispatch)

    def _start_run(self, host: Host, dispatch: Dispatch) -> None:
        ticket = host.state.entry.tickets_by_request_id[dispatch.request_id]
        limit = host.state.agreed.limits_by_team[ticket.team]
        caller_id = ticket.request.caller_id or dispatch.request_id
        run = Run(
            ticket.team,
            ticket.request.service,
            dispatch.request_id,
            caller_id,
            host.node.name,
            limit.ceiling,
        )
        key = (dispatch.request_id, dispatch.attempt)
        self.runs[key] = run
        slots = self._slots_by_target.get(dispatch.target, 0)
        self._slots_by_target[dispatch.target] = slots + 1
        self.on_start(run)
        left_ms = dispatch.deadline_ms - self._clock(host)
        work_ms = min(self.work_ms(), left_ms + LINGER_MS - 1)
        self.call_later(work_ms, self._end_run, key, dispatch.target)
        if self.random.random() < self.weather.broken:
            early_ms = self.random.randint(0, max(work_ms, 1))
            broken = Broken("lost", False)
            self._answer(host, dispatch, min(early_ms, left_ms), broken)
        elif work_ms > left_ms:
            self._answer(host, dispatch, left_ms, Broken("slow", True))
        else:
            self._answer(host, dispatch, work_ms, Completed(200))

    def _end_run(self, key, target) -> None:
        self._slots_by_target[target] -= 1
        self.on_end(self.runs.pop(key))

    def _answer(self, host, dispatch, delay_ms, outcome) -> None:
        self._later(
            host,
            delay_ms,
            lambda at_ms: TargetAnswered(
                at_ms, dispatch.request_id, dispatch.attempt, outcome
            ),
        )


def make_nodes(
    entries: int, data_centres: int, stewards_each: int = 1
) -> list[Node]:
    """Name entries and stewards spread over data centres.

    Args:
      entries: Number of entries.
      data_centres: Number of data centres.
      stewards_each: Number of stewards in each of them.
    Returns:
      The nodes.
    """
    nodes = [
        Node(f"entry-{i}", NodeKind.ENTRY, f"dc-{i % data_centres}", "")
        for i in range(entries)
    ]
    for place in range(data_centres):
        for number in range(stewards_each):
            name = f"steward-{place}-{number}"
            nodes.append(Node(name, NodeKind.STEWARD, f"dc-{place}", ""))
    return nodes
