"""Measures how a steward's memory, processor time and traffic scale.

Each fleet size runs in a fresh process.  One steward of a fleet holds the
role: it alone places, moves and maintains for all.  It is the one measured
here.  It builds the replicated state of that size from records and handles
timers, lists, records and heartbeats on it.  The results go into
docs/capacity.json and the table in docs/CAPACITY.md.
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
TABLE_BEGIN = "<!-- begin of the measured table -->"
TABLE_END = "<!-- end of the measured table -->"
SLOW_EVENT_SAMPLES = 30  # timers, lists of instances
QUICK_EVENT_SAMPLES = 200  # renewals, heartbeats


@dataclass(frozen=True, slots=True)
class FleetSize:
    """Size of a fleet.

    Attributes:
      name: Name of the size in the table.
      teams: Number of teams, each with a plan, a limit and two keys.
      pools: Number of pools; nine of ten serve a service, the rest are worker
        pools.
      instances: Number of instances in the pools.
      jobs: Number of running jobs.
      entries: Number of entries, and of stewards.
    """

    name: str
    teams: int
    pools: int
    instances: int
    jobs: int
    entries: int


SIZES = (
    FleetSize("today", 6, 10, 80, 40, 9),
    FleetSize("a quarter", 63, 81, 320, 320, 10),
    FleetSize("half", 125, 162, 640, 640, 14),
    FleetSize("target", 250, 323, 1280, 1280, 20),
)


@dataclass(frozen=True, slots=True)
class StewardCost:
    """Measured costs of the steward that holds the role, at one size.

    Attributes:
      size: The fleet size.
      memory_mb: Peak memory of the process.
      bare_mb: Peak memory before any state was built.
      beat_us: Time to handle one periodic timer.
      list_us: Time to handle an unchanged list of instances.
      record_us: Time to apply one lease renewal and forward it.
      heartbeat_us: Time to handle one heartbeat of a peer.
      agreed_bytes: Encoded size of the replicated state.
      renewal_bytes: Encoded size of one forwarded renewal.
      heartbeat_bytes: Encoded size of a heartbeat.
    """

    size: FleetSize
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
        """Processor time of the steward in percent of a core."""
        peers = 2 * self.size.entries - 1  # entries and the other stewards
        us_per_s = self.beat_us + self.list_us  # one timer and list a second
        us_per_s += self.record_us * self.records_per_s
        us_per_s += self.heartbeat_us * peers  # one a second from each
        return us_per_s / 10_000  # 1 % of a core is 10,000 us/s

    @property
    def records_per_s(self) -> float:
        """Log records per second.

        Entries renew their leases every 10 s, and the holder of the role
        renews it every 2 s.  Records of jobs are proportional to the running
        jobs; 15 per second are assumed at the largest size.
        """
        job_records_per_s = 15 * self.size.jobs / SIZES[-1].jobs
        return self.size.entries / 10 + 0.5 + job_records_per_s

    @property
    def stream_bytes_per_s(self) -> float:
        """Bytes per second that a steward sends on its streams.

        It sends a heartbeat to each peer every second, and all log records to
        its followers.
        """
        peers = 2 * self.size.entries - 1  # entries and the other stewards
        followers = 2
        heartbeats = self.heartbeat_bytes * peers
        return heartbeats + (
            self.renewal_bytes * self.records_per_s * followers
        )


def build_records(size: FleetSize) -> list:
    """Build the log records that lead to a fleet in a steady state.

    Args:
      size: Size of the fleet.
    Returns:
      Bodies of the records in log order, first the claim of the role.
    """
    teams = [f"team-{i}" for i in range(size.teams)]
    pools = [f"pool-{i}" for i in range(size.pools)]
    kinds = [
        TargetKind.WORKER if i % 10 == 0 else TargetKind.EXECUTOR
        for i in range(size.pools)
    ]
    services = [p for p, k in zip(pools, kinds, strict=True) if k != kinds[0]]
    plans = PlansList(
        tuple(
            Plan(
                team,
                tuple(services[(i + j) % len(services)] for j in range(5)),
            )
            for i, team in enumerate(teams)
        ),
        tuple(Service(pool, pool) for pool in services),
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
        instance_name = f"instance-{index % size.instances}"
        bodies.append(JobSubmitted(job))
        bodies.append(JobPlaced(0, job.job_id, instance_name, "b"))
    return bodies


def build_instances(size: FleetSize) -> tuple[Instance, ...]:
    """Build the platform's list of instances."""
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


def measure(size: FleetSize) -> StewardCost:
    """Measure the costs at one size; run it in a fresh process.

    Args:
      size: Size of the fleet.
    Returns:
      Costs of the steward.
    """
    # A steward daemon has these modules in memory, so `bare_mb` includes them.
    import sesamehall.runtime.steward  # noqa: F401

    bare_mb = read_peak_mb()
    state = _build_steward(size)
    memory_mb = read_peak_mb()
    beat_us = _time_events_us(
        [
            TimerFired(1_000 + i, BeatTimer())
            for i in range(SLOW_EVENT_SAMPLES)
        ],
        state,
    )
    instances = build_instances(size)
    list_us = _time_events_us(
        [
            InstancesListed(2_000 + i, instances)
            for i in range(SLOW_EVENT_SAMPLES)
        ],
        state,
    )
    renewals = _build_renewals(state)
    record_us = _time_events_us(
        [LogRead(3_000, (renewal,), 0) for renewal in renewals], state
    )
    heartbeat = Heartbeat(state.agreed.next_offset)
    heartbeat_us = _time_events_us(
        [MessageReceived(3_000, "steward-1", heartbeat)] * QUICK_EVENT_SAMPLES,
        state,
    )
    return StewardCost(
        size=size,
        memory_mb=round(memory_mb, 1),
        bare_mb=round(bare_mb, 1),
        beat_us=round(beat_us),
        list_us=round(list_us),
        record_us=round(record_us),
        heartbeat_us=round(heartbeat_us),
        agreed_bytes=len(encode_frame(AgreedForwarded(state.agreed))),
        renewal_bytes=len(encode_frame(RecordsForwarded(renewals[:1]))),
        heartbeat_bytes=len(encode_frame(heartbeat)),
    )


def read_peak_mb() -> float:
    """Read the peak resident memory of this process."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    raise RuntimeError("/proc/self/status has no VmHWM line")


def _build_steward(size: FleetSize) -> State:
    """Build the state of a steward that holds the role from records.

    It is connected to nodes of all kinds; the managers among them have no
    part in the computed costs.
    """
    nodes = [
        Node(f"{kind.value}-{i}", kind, f"dc-{i % 5}", "")
        for kind in NodeKind
        for i in range(size.entries)
    ]
    own_node = next(node for node in nodes if node.name == "steward-0")
    peers = Map((n.name, n) for n in nodes if n is not own_node)
    state = State(Identity(own_node, "steward-0:1", peers), agreed=Agreed())
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
    for offset in range(0, len(bodies), 500):
        log_entries = tuple(
            LogEntry(offset + i, Record(f"record-{offset + i}", body))
            for i, body in enumerate(bodies[offset : offset + 500])
        )
        state = reduce(state, LogRead(0, log_entries, 0)).state
    steward = replace(state.steward, role_seen_ms=1_000)
    return replace(state, steward=steward)


def _build_renewals(state: State) -> list[LogEntry]:
    first = state.agreed.next_offset
    return [
        LogEntry(first + i, Record(f"renewal-{i}", EntryRenewed("e0")))
        for i in range(QUICK_EVENT_SAMPLES)
    ]


def _time_events_us(events, state: State) -> float:
    """Time the handling of events; return the best of three, per event."""
    times = []
    for _ in range(3):
        current = state
        started_at = time.perf_counter()
        for event in events:
            current = reduce(current, event).state
        times.append((time.perf_counter() - started_at) * 1e6 / len(events))
    return min(times)


def run_all() -> None:
    """Measure all sizes, and write the results and the table."""
    costs = []
    for size in SIZES:
        with get_context("spawn").Pool(1) as process:
            costs.append(process.apply(measure, (size,)))
    results = [asdict(cost) for cost in costs]
    text = json.dumps(results, indent=1) + "\n"
    (DOCS / "capacity.json").write_text(text)
    write_table(costs)
    target = costs[-1]
    # Ratios to the bounds: 32 MB, 2.5 % of a core, 18 KB/s.
    worst_ratio = max(
        target.memory_mb / 32,
        target.core_percent / 2.5,
        target.stream_bytes_per_s / 18_000,
    )
    print(
        f"target: {target.memory_mb} MB, {target.core_percent:.2f} % of a"
        f" core, {target.stream_bytes_per_s / 1000:.1f} KB/s"
    )
    print(f"control_cost={worst_ratio:.2f}")


def write_table(costs: list[StewardCost]) -> None:
    """Replace the table in docs/CAPACITY.md.

    Args:
      costs: Costs by size, the smallest size first.
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
    before, _, rest = page.partition(TABLE_BEGIN)
    after = rest.partition(TABLE_END)[2]
    table = "\n".join(lines)
    (DOCS / "CAPACITY.md").write_text(
        f"{before}{TABLE_BEGIN}\n{table}\n{TABLE_END}{after}"
    )


if __name__ == "__main__":
    run_all()
