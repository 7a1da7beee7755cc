"""Deterministic simulation of a cluster whose nodes run the real reducer.

All random choices come from one seeded generator, so a seed always gives the
same history.  Messages are delayed, duplicated, reordered and lost, nodes are
paused, killed and restarted, and data centres are isolated.  Message delays
and run times at the targets are random numbers, whatever the load: bandwidth
and processors are not modelled.
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

LOG_READ_WAIT_MS = 2_000  # how long a read waits for a record
RECONNECT_MS = 300


@dataclass(frozen=True, slots=True)
class FaultRates:
    """Probabilities of faults of messages, targets and appends.

    Attributes:
      max_delay_ms: Upper bound of the delay of a message that is not late.
      late: Probability that a message takes 50 times its delay.
      lost: Probability that a message is lost.
      duplicated: Probability that a message arrives twice.
      response_lost: Probability that the response of a target is lost.
      connection_refused: Probability that a target refuses a connection, so
        that it receives nothing.
      append_response_lost: Probability that the response to an append is lost.
    """

    max_delay_ms: int = 3
    late: float = 0.02
    lost: float = 0.02
    duplicated: float = 0.02
    response_lost: float = 0.01
    connection_refused: float = 0.01
    append_response_lost: float = 0.1


NO_FAULTS = FaultRates(1, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0)


@dataclass(slots=True, eq=False)
class NodeProcess:
    """The simulated process of a node.

    Attributes:
      node: Name, kind and data centre of the node.
      state: State of the reducer.
      alive: Whether the process runs.
      paused_until_ms: Simulated time until which it handles no event.
      clock_skew_ms: Offset of its clock from simulated time.
      timers: Due time of each timer on the node's clock.
      start_count: Number of starts; events for an earlier start are dropped.
      stream_ids_by_peer: Id of the open stream to each connected peer.
    """

    node: Node
    state: State
    alive: bool = True
    paused_until_ms: int = 0
    clock_skew_ms: int = 0
    timers: dict = field(default_factory=dict)
    start_count: int = 1
    stream_ids_by_peer: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class RequestRun:
    """A run of a request at a target.

    Attributes:
      team: Team whose ceiling the request counts against.
      service: Name of the requested service.
      request_id: Identifier of the request.
      caller_id: Request id chosen by the caller, else `request_id`.
      entry: Name of the entry that sent the request.
      ceiling: Ceiling of the team as that entry knew it at the start.
    """

    team: str
    service: str
    request_id: str
    caller_id: str
    entry: str
    ceiling: int


class ClusterSimulation(EventScheduler):
    """Simulated nodes, targets and the shared log.

    Attributes:
      random: The only source of random numbers.
      fault_rates: Fault rates in force.
      instances: List of instances that the platform returns.
      log: Records of the shared log.
      processes_by_name: Process of each node.
      runs: Runs at the targets, by request id and attempt.
      replies: Replies to callers, each with the name of its entry.
      isolated_data_centres: Data centres without connection to the others
        and to the platform.
      platform_failing: Whether all calls to the platform fail.
      draw_run_time_ms: Draws the run time of a request at its target.
      on_start: Called when a run starts.
      on_end: Called when a run ends.
      on_reduced: Called after a node has handled an event.
    """

    def __init__(self, seed: int, fault_rates: FaultRates, instances=()):
        """Start with an empty log and without nodes.

        Args:
          seed: Seed of the random generator; runs of a seed are identical.
          fault_rates: Fault rates of messages, targets and appends.
          instances: List of instances that the platform returns.
        """
        super().__init__()
        self.random = Random(seed)
        self.fault_rates = fault_rates
        self.instances: tuple[Instance, ...] = tuple(instances)
        self.log: list[Record] = []
        self.processes_by_name: dict[str, NodeProcess] = {}
        self.runs: dict[tuple[str, int], RequestRun] = {}
        self.replies: list[tuple[str, Reply | Forward]] = []
        self.isolated_data_centres: set[str] = set()
        self.platform_failing = False
        self.draw_run_time_ms: Callable[[], int] = lambda: self.random.randint(
            5, 200
        )
        self.on_start: Callable[[RequestRun], None] = lambda run: None
        self.on_end: Callable[[RequestRun], None] = lambda run: None
        self.on_reduced: Callable[[NodeProcess], None] = lambda process: None
        self._last_stream_id = 0
        self._slots_by_target: dict[str, int] = {}

    def add_nodes(self, nodes: list[Node]) -> None:
        """Start nodes, each configured with all others as its peers.

        Args:
          nodes: The nodes.
        """
        for node in nodes:
            peers = Map((n.name, n) for n in nodes if n.name != node.name)
            identity = Identity(node, f"{node.name}:1", peers)
            process = NodeProcess(node, State(identity))
            process.clock_skew_ms = self.random.randint(0, 1_000_000)
            self.processes_by_name[node.name] = process
        for node in nodes:
            self._start(self.processes_by_name[node.name])

    def append(self, record: Record) -> None:
        """Append a record as an operator would.

        Args:
          record: The record.
        """
        self.log.append(record)

    def submit(self, name: str, build_request) -> None:
        """Submit a request to an entry, unless the entry is down.

        Args:
          name: Name of the entry.
          build_request: Function from the entry's clock to the request.
        """
        process = self.processes_by_name[name]
        if not process.alive:
            return
        request = build_request(self._clock_ms(process))
        self._deliver(process, lambda at_ms: RequestReceived(at_ms, request))
        wait_ms = request.deadline_ms - self._clock_ms(process)
        self.call_later(
            wait_ms,
            self._deliver,
            process,
            lambda at_ms: DeadlinePassed(at_ms, request.request_id),
            process.start_count,
        )

    def pause(self, name: str, duration_ms: int) -> None:
        """Pause a node; events are delivered after the pause.

        Args:
          name: Name of the node.
          duration_ms: Length of the pause.
        """
        process = self.processes_by_name[name]
        until_ms = self.now_ms + duration_ms
        process.paused_until_ms = max(process.paused_until_ms, until_ms)

    def kill(self, name: str, restart_after_ms: int | None) -> None:
        """Kill a node; its requests continue at the targets.

        Args:
          name: Name of the node.
          restart_after_ms: Delay until the restart, None for no restart.
        """
        process = self.processes_by_name[name]
        if not process.alive:
            return
        process.alive = False
        process.start_count += 1
        for peer in list(process.stream_ids_by_peer):
            self._break_stream(process, peer)
        if restart_after_ms is not None:
            self.call_later(restart_after_ms, self._restart, process)

    def stop(self, name: str, restart_after_ms: int | None) -> None:
        """Request a graceful stop, and kill the node after 8 seconds.

        A node that exits by itself restarts 200 ms later.  If that is within
        the 8 seconds, the kill hits the restarted node.

        Args:
          name: Name of the node.
          restart_after_ms: Delay from the kill to the restart, None for no
            restart.
        """
        process = self.processes_by_name[name]
        if process.alive:
            self._deliver(process, StopRequested)
            self.call_later(8_000, self.kill, name, restart_after_ms)

    def isolate_data_centre(self, data_centre: str, duration_ms: int) -> None:
        """Disconnect a data centre from the others and from the platform.

        Args:
          data_centre: Name of the data centre.
          duration_ms: Length of the partition.
        """
        self.isolated_data_centres.add(data_centre)
        self.call_later(
            duration_ms, self.isolated_data_centres.discard, data_centre
        )

    def fail_platform(self, duration_ms: int) -> None:
        """Fail every call to the platform for some time.

        Args:
          duration_ms: Length of the outage.
        """

        def restore():
            self.platform_failing = False

        self.platform_failing = True
        self.call_later(duration_ms, restore)

    def _clock_ms(self, process: NodeProcess) -> int:
        return self.now_ms + process.clock_skew_ms

    def _start(self, process: NodeProcess) -> None:
        process.state = State(process.state.identity)
        process.timers.clear()
        self._deliver(process, Started)
        for name in self.processes_by_name:
            if name != process.node.name:
                delay_ms = self.random.randint(0, RECONNECT_MS)
                self.call_later(
                    delay_ms, self._connect, process.node.name, name
                )

    def _restart(self, process: NodeProcess) -> None:
        identity = process.state.identity
        name = process.node.name
        incarnation = f"{name}:{process.start_count}"
        new_identity = Identity(
            process.node, incarnation, identity.peers_by_name
        )
        process.state = State(new_identity)
        process.alive = True
        process.paused_until_ms = 0
        self._start(process)

    def _is_reachable(self, first: NodeProcess, second: NodeProcess) -> bool:
        if not (first.alive and second.alive):
            return False
        if first.node.data_centre == second.node.data_centre:
            return True
        isolated = self.isolated_data_centres
        return not {first.node.data_centre, second.node.data_centre} & isolated

    def _connect(self, first_name: str, second_name: str) -> None:
        """Open a stream between two nodes; retry while they are partitioned.

        A retry ends when one of them is down: its restart opens a new stream.
        """
        first = self.processes_by_name[first_name]
        second = self.processes_by_name[second_name]
        if (
            not (first.alive and second.alive)
            or second_name in first.stream_ids_by_peer
        ):
            return
        if not self._is_reachable(first, second):
            self.call_later(
                RECONNECT_MS, self._connect, first_name, second_name
            )
            return
        self._last_stream_id += 1
        first.stream_ids_by_peer[second_name] = self._last_stream_id
        second.stream_ids_by_peer[first_name] = self._last_stream_id
        self._deliver(first, lambda at_ms: PeerConnected(at_ms, second_name))
        self._deliver(second, lambda at_ms: PeerConnected(at_ms, first_name))

    def _break_stream(self, process: NodeProcess, peer_name: str) -> None:
        """Close a stream at both ends, and schedule a reconnection."""
        if process.stream_ids_by_peer.pop(peer_name, None) is None:
            return
        peer = self.processes_by_name[peer_name]
        peer.stream_ids_by_peer.pop(process.node.name, None)
        name = process.node.name
        self._deliver(
            process, lambda at_ms: PeerDisconnected(at_ms, peer_name)
        )
        self._deliver(peer, lambda at_ms: PeerDisconnected(at_ms, name))
        delay_ms = RECONNECT_MS + self.random.randint(0, RECONNECT_MS)
        self.call_later(delay_ms, self._connect, name, peer_name)

    def _deliver(
        self,
        process: NodeProcess,
        make_event: Callable[[int], Event],
        start_count: int | None = None,
    ) -> None:
        """Pass an event to the reducer of a node, after its pause if any.

        The event is dropped if the node has been restarted meanwhile.
        """
        start_count = (
            process.start_count if start_count is None else start_count
        )
        if not process.alive or process.start_count != start_count:
            return
        if self.now_ms < process.paused_until_ms:
            delay_ms = process.paused_until_ms - self.now_ms
            self.call_later(
                delay_ms, self._deliver, process, make_event, start_count
            )
            return
        step = reduce(process.state, make_event(self._clock_ms(process)))
        process.state = step.state
        for effect in step.effects:
            self._perform(process, effect)
        self.on_reduced(process)

    def _perform(self, process: NodeProcess, effect) -> None:
        match effect:
            case Send(peer, message):
                self._send_message(process, peer, message)
            case SetTimer(timer, at_ms):
                self._set_timer(process, timer, at_ms)
            case Dispatch():
                self._dispatch(process, effect)
            case Reply() | Forward():
                self.replies.append((process.node.name, effect))
            case Disconnect(peer):
                self._break_stream(process, peer)
            case ReadLog(from_offset):
                self.call_later(
                    1,
                    self._read_log,
                    process,
                    from_offset,
                    process.start_count,
                    0,
                )
            case Append(record):
                self._append_record(process, record)
            case ListInstances():
                self._list_instances(process)
            case RebootInstance(operation):
                self._deliver_later(
                    process,
                    500,
                    lambda at_ms: InstanceRebooted(at_ms, operation, True),
                )
            case Exit():
                self.kill(process.node.name, 200)

    def _deliver_later(self, process, delay_ms, make_event) -> None:
        self.call_later(
            delay_ms, self._deliver, process, make_event, process.start_count
        )

    def _send_message(
        self, process: NodeProcess, peer_name: str, message
    ) -> None:
        """Send a message, subject to loss, duplication and delay."""
        fault_rates = self.fault_rates
        copies = 1
        if self.random.random() < fault_rates.lost:
            copies = 0
        elif self.random.random() < fault_rates.duplicated:
            copies = 2
        for _ in range(copies):
            delay_ms = self.random.uniform(0, fault_rates.max_delay_ms)
            if self.random.random() < fault_rates.late:
                delay_ms *= 50
            stream_id = process.stream_ids_by_peer.get(peer_name)
            self.call_later(
                delay_ms,
                self._receive_message,
                process,
                peer_name,
                message,
                stream_id,
            )

    def _receive_message(self, process, peer_name, message, stream_id) -> None:
        peer = self.processes_by_name[peer_name]
        name = process.node.name
        if peer.stream_ids_by_peer.get(name) != stream_id or stream_id is None:
            return
        if self._is_reachable(process, peer):
            self._deliver(
                peer, lambda at_ms: MessageReceived(at_ms, name, message)
            )

    def _set_timer(self, process: NodeProcess, timer, at_ms: int) -> None:
        process.timers[timer] = at_ms
        delay_ms = at_ms - self._clock_ms(process)
        self.call_later(
            delay_ms,
            self._fire_timer,
            process,
            timer,
            at_ms,
            process.start_count,
        )

    def _fire_timer(self, process, timer, at_ms, start_count) -> None:
        if (
            process.start_count == start_count
            and process.timers.get(timer) == at_ms
        ):
            del process.timers[timer]
            self._deliver(
                process,
                lambda clock_ms: TimerFired(clock_ms, timer),
                start_count,
            )

    def _is_platform_reachable(self, process: NodeProcess) -> bool:
        isolated = process.node.data_centre in self.isolated_data_centres
        return not isolated and not self.platform_failing

    def _read_log(self, process, from_offset, start_count, waited_ms) -> None:
        """Read the log; at its end, poll it until a record or a timeout.

        `waited_ms` is the time that this read has polled so far.
        """
        if not self._is_platform_reachable(process):
            self._deliver_later(
                process, 100, lambda at_ms: LogReadFailed(at_ms, "cut")
            )
            return
        records = self.log[from_offset:]
        if not records and waited_ms < LOG_READ_WAIT_MS:
            waited_ms += 20
            self.call_later(
                20,
                self._read_log,
                process,
                from_offset,
                start_count,
                waited_ms,
            )
            return
        entries = tuple(
            LogEntry(from_offset + index, record)
            for index, record in enumerate(records)
        )
        self._deliver(
            process, lambda at_ms: LogRead(at_ms, entries, 0), start_count
        )

    def _append_record(self, process: NodeProcess, record: Record) -> None:
        confirmed = False
        if self._is_platform_reachable(process):
            self.log.append(record)
            confirmed = (
                self.random.random() >= self.fault_rates.append_response_lost
            )
        delay_ms = self.random.randint(1, 10)
        record_id = record.record_id
        self._deliver_later(
            process,
            delay_ms,
            lambda at_ms: AppendEnded(at_ms, record_id, confirmed),
        )

    def _list_instances(self, process: NodeProcess) -> None:
        if self._is_platform_reachable(process):
            listed = self.instances
            self._deliver_later(
                process, 5, lambda at_ms: InstancesListed(at_ms, listed)
            )
        else:
            self._deliver_later(
                process, 5, lambda at_ms: InstancesNotListed(at_ms, "cut")
            )

    def _dispatch(self, process: NodeProcess, dispatch: Dispatch) -> None:
        """Send a request to its target, subject to faults and free slots.

        A target runs up to 8 requests at once, the default of an Instance.
        """
        if self._clock_ms(process) >= dispatch.not_after_ms:
            self._report_outcome(process, dispatch, 0, TooLate())
        elif self.random.random() < self.fault_rates.connection_refused:
            self._report_outcome(process, dispatch, 1, NotSent("refused"))
        elif self._slots_by_target.get(dispatch.target, 0) >= 8:
            self._report_outcome(process, dispatch, 1, Declined())
        else:
            self._run_request(process, dispatch)

    def _run_request(self, process: NodeProcess, dispatch: Dispatch) -> None:
        ticket = process.state.entry.tickets_by_request_id[dispatch.request_id]
        limit = process.state.agreed.limits_by_team[ticket.team]
        caller_id = ticket.request.caller_id or dispatch.request_id
        run = RequestRun(
            ticket.team,
            ticket.request.service,
            dispatch.request_id,
            caller_id,
            process.node.name,
            limit.ceiling,
        )
        key = (dispatch.request_id, dispatch.attempt)
        self.runs[key] = run
        slots = self._slots_by_target.get(dispatch.target, 0)
        self._slots_by_target[dispatch.target] = slots + 1
        self.on_start(run)
        remaining_ms = dispatch.deadline_ms - self._clock_ms(process)
        run_time_ms = min(
            self.draw_run_time_ms(), remaining_ms + LINGER_MS - 1
        )
        self.call_later(run_time_ms, self._end_run, key, dispatch.target)
        if self.random.random() < self.fault_rates.response_lost:
            lost_after_ms = self.random.randint(0, max(run_time_ms, 1))
            broken = Broken("lost", False)
            self._report_outcome(
                process, dispatch, min(lost_after_ms, remaining_ms), broken
            )
        elif run_time_ms > remaining_ms:
            self._report_outcome(
                process, dispatch, remaining_ms, Broken("slow", True)
            )
        else:
            self._report_outcome(
                process, dispatch, run_time_ms, Completed(200)
            )

    def _end_run(self, key, target) -> None:
        self._slots_by_target[target] -= 1
        self.on_end(self.runs.pop(key))

    def _report_outcome(self, process, dispatch, delay_ms, outcome) -> None:
        self._deliver_later(
            process,
            delay_ms,
            lambda at_ms: TargetAnswered(
                at_ms, dispatch.request_id, dispatch.attempt, outcome
            ),
        )


def make_nodes(
    entries: int, data_centres: int, stewards_per_data_centre: int = 1
) -> list[Node]:
    """Create entries and stewards spread over data centres.

    Args:
      entries: Number of entries.
      data_centres: Number of data centres.
      stewards_per_data_centre: Number of stewards in each data centre.
    Returns:
      The nodes.
    """
    nodes = [
        Node(f"entry-{i}", NodeKind.ENTRY, f"dc-{i % data_centres}", "")
        for i in range(entries)
    ]
    for data_centre in range(data_centres):
        for number in range(stewards_per_data_centre):
            name = f"steward-{data_centre}-{number}"
            nodes.append(Node(name, NodeKind.STEWARD, f"dc-{data_centre}", ""))
    return nodes
