"""Slopes of state, processor time and messages, and the page made of them.

Each size runs in a fresh process: an agreed state of that size is folded from
records, a steward that holds the role beats on it, and its memory is read.
The results go into docs/capacity.json and the table of docs/CAPACITY.md.
"""

from dataclasses import asdict
from dataclasses import dataclass
import json
from multiprocessing import get_context
from pathlib import Path
import time

from immutables import Map

from sesamehall.codecs.wire import encode_frame
from sesamehall.core.agreement import Agreed
from sesamehall.core.data import Instance
from sesamehall.core.data import Job
from sesamehall.core.data import Key
from sesamehall.core.data import Limit
from sesamehall.core.data import LimitsList
from sesamehall.core.data import Node
from sesamehall.core.data import NodeKind
from sesamehall.core.data import Plan
from sesamehall.core.data import PlansList
from sesamehall.core.data import Pool
from sesamehall.core.data import Service
from sesamehall.core.data import TargetKind
from sesamehall.core.events import InstancesListed
from sesamehall.core.events import LogRead
from sesamehall.core.events import MessageReceived
from sesamehall.core.events import PeerConnected
from sesamehall.core.events import Started
from sesamehall.core.events import TimerFired
from sesamehall.core.messages import AgreedForwarded
from sesamehall.core.messages import Follow
from sesamehall.core.messages import Heartbeat
from sesamehall.core.messages import Hello
from sesamehall.core.messages import RecordsForwarded
from sesamehall.core.records import EntryJoined
from sesamehall.core.records import EntryRenewed
from sesamehall.core.records import InstanceJoined
from sesamehall.core.records import JobPlaced
from sesamehall.core.records import JobSubmitted
from sesamehall.core.records import KeyGiven
from sesamehall.core.records import LimitsPublished
from sesamehall.core.records import LogEntry
from sesamehall.core.records import PlansPublished
from sesamehall.core.records import Record
from sesamehall.core.records import RoleClaimed
from sesamehall.core.records import UnitsDeposited
from sesamehall.core.replacing import replace
from sesamehall.core.state import Identity
from sesamehall.core.state import State
from sesamehall.core.timers import BeatTimer
from sesamehall.reducer.reduce import reduce

DOCS = Path(__file__).parents[1] / "docs"
BEGIN = "<!-- begin of the measured table -->"
END = "<!-- end of the measured table -->"
BEATS = 30
RENEWALS = 200


@dataclass(frozen=True, slots=True)
class Size:
    """How large a fleet is.

    Attributes:
      name: What it stands for.
      teams: Teams with a plan, a limit and two keys each.
      pools: Pools; nine of ten have a service.
      instances: Instances in them.
      jobs: Jobs that run.
      entries: Entries, and as many stewards.
    """

    name: str
    teams: int
    pools: int
    instances: int
    jobs: int
    entries: int


SIZES = (
    Size("today", 6, 10, 80, 40, 9),
    Size("a quarter", 63, 81, 320, 320, 10),
    Size("half", 125, 162, 640, 640, 14),
    Size("target", 250, 323, 1280, 1280, 20),
)


@dataclass(frozen=True, slots=True)
class Cost:
    """What a steward of that size costs.

    Attributes:
      size: The size.
      memory_mb: Most memory that the process has had.
      bare_mb: The same before there was any state.
      beat_us: Time of one beat with the role.
      list_us: Time to take in an unchanged list.
      record_us: Time to apply one renewal and pass it on.
      heartbeat_us: Time to take in one heartbeat.
      agreed_bytes: Size of the agreed state on a stream.
      renewal_bytes: Size of one forwarded renewal on a stream.
      heartbeat_bytes: Size of a heartbeat on a stream.
    """

    size: Size
    memory_mb: float
    bare_mb: float
    beat_us: float
    list_us: float
    record_us: float
    heartbeat_us: float
    agreed_bytes: int
    renewal_bytes: int
    heartbeat_bytes: int

    @property
    def core_percent(self) -> float:
        """Processor time of control, in per cent of a core."""
        peers = 2 * self.size.entries - 1
        per_s = self.beat_us + self.list_us
        per_s += self.record_us * self.records_per_s
        per_s += self.heartbeat_us * peers
        return per_s / 10_000

    @property
    def records_per_s(self) -> float:
        """Records of the log a second, jobs in proportion to the target."""
        jobs = 15 * self.size.jobs / SIZES[-1].jobs
        return self.size.entries / 10 + 0.5 + jobs

    @property
    def stream_bytes_per_s(self) -> float:
        """Bytes that a steward sends a second on its streams."""
        peers = 2 * self.size.entries - 1
        followers = 2
        heartbeats = self.heartbeat_bytes * peers
        return heartbeats + (
            self.renewal_bytes * self.records_per_s * followers
        )


def build_records(size: Size) -> list:
    """Build the records of a fleet that stands still.

    Args:
      size: How large it is.
    Returns:
      Bodies of records in order; the role's claim comes first.
    """
    teams = [f"team-{i}" for i in range(size.teams)]
    pools = [f"pool-{i}" for i in range(size.pools)]
    kinds = [
        TargetKind.WORKER if i % 10 == 0 else TargetKind.EXECUTOR
        for i in range(size.pools)
    ]
    served = [p for p, k in zip(pools, kinds, strict=True) if k != kinds[0]]
    plans = PlansList(
        tuple(
            Plan(team, tuple(served[(i + j) % len(served)] for j in range(5)))
            for i, team in enumerate(teams)
        ),
        tuple(Service(pool, pool) for pool in served),
        tuple(Pool(p, k, 2) for p, k in zip(pools, kinds, strict=True)),
    )
    limits = LimitsList(tuple(Limit(team, 1, 10_000) for team in teams))
    bodies = [
        RoleClaimed("steward-0/steward-0:1", -1),
        PlansPublished(0, plans),
        LimitsPublished(0, limits),
    ]
    for index in range(2 * size.teams):
        key = Key(f"key-{index}", teams[index // 2], bytes(32))
        bodies.append(KeyGiven(key))
    bodies += [EntryJoined(f"entry-{i}", f"e{i}") for i in range(size.entries)]
    for instance in build_instances(size):
        bodies.append(InstanceJoined(0, instance))
    bodies.append(UnitsDeposited("e0", Map((team, 0) for team in teams)))
    for index in range(size.jobs):
        job = Job(f"job-{index}", teams[index % size.teams], pools[0], "c")
        worker = f"instance-{index % size.instances}"
        bodies.append(JobSubmitted(job))
        bodies.append(JobPlaced(0, job.job_id, worker, "b"))
    return bodies


def build_instances(size: Size) -> tuple[Instance, ...]:
    """Build the platform's list of a size."""
    return tuple(
        Instance(
            f"instance-{i}",
            (
                TargetKind.WORKER
                if i % size.pools % 10 == 0
                else TargetKind.EXECUTOR
            ),
            f"dc-{i % 5}",
            f"rack-{i // 4}",
            f"10.0.{i // 250}.{i % 250}:80",
            f"pool-{i % size.pools}",
        )
        for i in range(size.instances)
    )


def measure(size: Size) -> Cost:
    """Measure a size; to be called in a fresh process.

    Args:
      size: How large the fleet is.
    Returns:
      What a steward costs.
    """
    # What the program loads counts too.
    import sesamehall.runtime.steward  # noqa: F401

    bare_mb = read_peak_mb()
    state = _settle(size)
    memory_mb = read_peak_mb()
    beat_us = _time(
        [TimerFired(1_000 + i, BeatTimer()) for i in range(BEATS)], state
    )
    instances = build_instances(size)
    list_us = _time(
        [InstancesListed(2_000 + i, instances) for i in range(BEATS)], state
    )
    entries = _renewals(state)
    record_us = _time([LogRead(3_000, (e,), 0) for e in entries], state)
    beat = Heartbeat(state.agreed.next_offset)
    heartbeat_us = _time(
        [MessageReceived(3_000, "steward-1", beat)] * RENEWALS, state
    )
    return Cost(
        size=size,
        memory_mb=round(memory_mb, 1),
        bare_mb=round(bare_mb, 1),
        beat_us=round(beat_us),
        list_us=round(list_us),
        record_us=round(record_us),
        heartbeat_us=round(heartbeat_us),
        agreed_bytes=len(encode_frame(AgreedForwarded(state.agreed))),
        renewal_bytes=len(encode_frame(RecordsForwarded(entries[:1]))),
        heartbeat_bytes=len(encode_frame(beat)),
    )


def read_peak_mb() -> float:
    """Read the most memory that this process has had."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    raise RuntimeError("no VmHWM")


def _settle(size: Size) -> State:
    """Fold the records into a steward that holds the role."""
    nodes = [
        Node(f"{kind.value}-{i}", kind, f"dc-{i % 5}", "")
        for kind in NodeKind
        for i in range(size.entries)
    ]
    me = next(node for node in nodes if node.name == "steward-0")
    peers = Map((n.name, n) for n in nodes if n is not me)
    state = State(Identity(me, "steward-0:1", peers), agreed=Agreed())
    events = [Started(0), InstancesListed(0, build_instances(size))]
    for name, node in peers.items():
        hello = Hello(name, node.kind, f"{name}:1", 1, 1)
        events.append(PeerConnected(0, name))
        events.append(MessageReceived(0, name, hello))
    events.append(MessageReceived(0, "entry-0", Follow(0)))
    events.append(MessageReceived(0, "entry-5", Follow(0)))
    for event in events:
        state = reduce(state, event).state
    bodies = build_records(size)
    for begin in range(0, len(bodies), 500):
        entries = tuple(
            LogEntry(begin + i, Record(f"record-{begin + i}", body))
            for i, body in enumerate(bodies[begin : begin + 500])
        )
        state = reduce(state, LogRead(0, entries, 0)).state
    watched = replace(state.steward, role_seen_ms=1_000)
    return replace(state, steward=watched)


def _renewals(state: State) -> list[LogEntry]:
    first = state.agreed.next_offset
    return [
        LogEntry(first + i, Record(f"renewal-{i}", EntryRenewed("e0")))
        for i in range(RENEWALS)
    ]


def _time(events, state: State) -> float:
    """Time events in microseconds each, the best of three."""
    times = []
    for _ in range(3):
        current = state
        began = time.perf_counter()
        for event in events:
            current = reduce(current, event).state
        times.append((time.perf_counter() - began) * 1e6 / len(events))
    return min(times)


def run_all() -> None:
    """Measure all sizes, write the results and the table."""
    costs = []
    for size in SIZES:
        with get_context("spawn").Pool(1) as process:
            costs.append(process.apply(measure, (size,)))
    results = [asdict(cost) for cost in costs]
    text = json.dumps(results, indent=1) + "\n"
    (DOCS / "capacity.json").write_text(text)
    write_table(costs)
    target = costs[-1]
    value = max(
        target.memory_mb / 32,
        target.core_percent / 2.5,
        target.stream_bytes_per_s / 18_000,
    )
    print(
        f"target: {target.memory_mb} MB, {target.core_percent:.2f} % of a"
        f" core, {target.stream_bytes_per_s / 1000:.1f} KB/s"
    )
    print(f"control_cost={value:.2f}")


def write_table(costs: list[Cost]) -> None:
    """Put the table into docs/CAPACITY.md.

    Args:
      costs: Results, the smallest size first.
    """
    lines = [
        "| a steward with the role at | teams / pools / instances / jobs /"
        " entries | memory, MB | of it bare | beat, us | list, us |"
        " record, us | heartbeat, us | core, % | agreed state, KB |"
        " sent, KB/s |",
        "|---|---|---|---|---|---|---|---|---|---|---|",
    ]
    for cost in costs:
        size = cost.size
        lines.append(
            f"| {size.name} | {size.teams} / {size.pools} /"
            f" {size.instances} / {size.jobs} / {size.entries} |"
            f" {cost.memory_mb} | {cost.bare_mb} | {cost.beat_us} |"
            f" {cost.list_us} | {cost.record_us} | {cost.heartbeat_us} |"
            f" {cost.core_percent:.2f} | {cost.agreed_bytes / 1000:.0f} |"
            f" {cost.stream_bytes_per_s / 1000:.1f} |"
        )
    page = (DOCS / "CAPACITY.md").read_text()
    before, _, rest = page.partition(BEGIN)
    after = rest.partition(END)[2]
    table = "\n".join(lines)
    (DOCS / "CAPACITY.md").write_text(
        f"{before}{BEGIN}\n{table}\n{END}{after}"
    )


if __name__ == "__main__":
    run_all()
