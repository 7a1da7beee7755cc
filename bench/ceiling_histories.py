"""Fault-injection test of ceilings on seeded random histories.

Nine entries in four data centres serve six teams while messages are lost,
delayed, duplicated and reordered, nodes are paused, killed and restarted, data
centres are isolated, the platform fails and operators change ceilings.  A
violation is a start after which a team has more requests in flight than the
highest ceiling that any entry with one of them in flight knew when it started
it.  The result is the number of violations.

`--broken NAME` disables a guard, to show that the checker detects its absence.
"""

from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
import os

from bench.driver import ClusterSimulation
from bench.driver import FaultRates
from bench.driver import RequestRun
from bench.simulated_clusters import build_limits
from bench.simulated_clusters import build_simulation
from bench.simulated_clusters import ClusterSpec
from bench.simulated_clusters import request_builder
from bench.simulated_clusters import service_name
from bench.simulated_clusters import team_name
from sesamehall.core.records import LimitsPublished
from sesamehall.core.records import Record
from sesamehall.core.replacing import replace
from sesamehall.reducer import allotments
from sesamehall.reducer import lending
from sesamehall.reducer import role
from sesamehall.reducer.units import UNITS_PER_CEILING

CLUSTER_SPEC = ClusterSpec(
    9, 4, 3, 4, (24, 16, 12, 8, 5, 3), (4, 4, 3, 2, 1, 1)
)
TRAFFIC_MS = 12_000
IDLE_PERIOD_MS = 1_320_000  # longer than the lease of a dead entry
IDLE_HISTORY_INTERVAL = 20  # one history in 20 has an idle period
REQUESTS_PER_S = 150
FAULT_COUNT = 10


@dataclass(frozen=True, slots=True)
class HistoryResult:
    """Result of one history.

    Attributes:
      seed: Seed of the history.
      violations: Number of starts beyond the ceiling.
      starts: Number of all starts.
      detail: Description of the first violation.
    """

    seed: int
    violations: int
    starts: int
    detail: str


class CeilingChecker:
    """Counts the running requests of each team and checks every start."""

    def __init__(self, simulation: ClusterSimulation):
        """Install the callbacks for starts and ends of requests.

        Args:
          simulation: Simulated cluster; its callbacks are replaced.
        """
        self._simulation = simulation
        self._running_by_team: Counter[str] = Counter()
        self.violations = 0
        self.starts = 0
        self.detail = ""
        simulation.on_start = self._start
        simulation.on_end = self._end

    def _start(self, run: RequestRun) -> None:
        self.starts += 1
        self._running_by_team[run.team] += 1
        running = self._running_by_team[run.team]
        bound = max(
            other.ceiling
            for other in self._simulation.runs.values()
            if other.team == run.team
        )
        if running > bound:
            self.violations += 1
            self.detail = self.detail or (
                f"{self._simulation.now_ms} ms: {running} of {run.team} run,"
                f" ceiling {bound}, last start at {run.entry}"
            )

    def _end(self, run: RequestRun) -> None:
        self._running_by_team[run.team] -= 1


def run_history(seed: int, disabled_guard: str = "") -> HistoryResult:
    """Run one history.

    Args:
      seed: Seed of the random generator; runs of a seed are identical.
      disabled_guard: Name of the guard to disable, "" for none.
    Returns:
      The result.
    """
    disable_guard(disabled_guard)
    simulation = build_simulation(seed, CLUSTER_SPEC, FaultRates())
    checker = CeilingChecker(simulation)
    schedule_requests(simulation)
    schedule_faults(simulation)
    simulation.run(TRAFFIC_MS)
    if seed % IDLE_HISTORY_INTERVAL == 0:
        simulation.fault_rates = replace(simulation.fault_rates, late=0.0)
        simulation.run(IDLE_PERIOD_MS)
        schedule_requests(simulation)
        simulation.run(TRAFFIC_MS)
    return HistoryResult(
        seed, checker.violations, checker.starts, checker.detail
    )


def schedule_requests(simulation: ClusterSimulation) -> None:
    """Schedule requests of all teams, most of them of one team at a time.

    Args:
      simulation: Simulated cluster.
    """
    count = TRAFFIC_MS * REQUESTS_PER_S // 1000
    teams = len(CLUSTER_SPEC.ceilings)
    for index in range(count):
        at_ms = index * TRAFFIC_MS // count
        busy_team = at_ms * teams // TRAFFIC_MS
        team = busy_team
        if simulation.random.random() < 0.4:
            team = simulation.random.randrange(teams)
        name = f"entry-{simulation.random.randrange(CLUSTER_SPEC.entries)}"
        service = service_name(
            simulation.random.randrange(CLUSTER_SPEC.services)
        )
        request = request_builder(
            f"{simulation.now_ms}-{index}", team_name(team), service, 3_000
        )
        simulation.call_later(at_ms, simulation.submit, name, request)


def schedule_faults(simulation: ClusterSimulation) -> None:
    """Schedule pauses, kills, partitions, outages, stops and new ceilings.

    Args:
      simulation: Simulated cluster.
    """
    random = simulation.random
    names = list(simulation.processes_by_name)
    entries = [name for name in names if name.startswith("entry")]
    for index in range(FAULT_COUNT):
        at_ms = random.randrange(TRAFFIC_MS)
        duration_ms = random.randrange(100, 8_000)
        match random.randrange(6):
            case 0:
                simulation.call_later(
                    at_ms, simulation.pause, random.choice(names), duration_ms
                )
            case 1:
                restart_after_ms = random.choice((None, 300, 3_000))
                simulation.call_later(
                    at_ms,
                    simulation.kill,
                    random.choice(names),
                    restart_after_ms,
                )
            case 2:
                data_centre = (
                    f"dc-{random.randrange(CLUSTER_SPEC.data_centres)}"
                )
                simulation.call_later(
                    at_ms,
                    simulation.isolate_data_centre,
                    data_centre,
                    duration_ms,
                )
            case 3:
                simulation.call_later(
                    at_ms, simulation.fail_platform, duration_ms
                )
            case 4:
                simulation.call_later(
                    at_ms, simulation.stop, random.choice(entries), 500
                )
            case 5:
                simulation.call_later(
                    at_ms, change_ceilings, simulation, index
                )


def change_ceilings(simulation: ClusterSimulation, index: int) -> None:
    """Publish new ceilings, from a quarter to twice the configured ones.

    Args:
      simulation: Simulated cluster.
      index: Number that makes the id of the record unique.
    """
    ceilings = tuple(
        max(1, ceiling * simulation.random.choice((1, 2, 4, 8)) // 4)
        for ceiling in CLUSTER_SPEC.ceilings
    )
    versions = [
        process.state.agreed.limits_version
        for process in simulation.processes_by_name.values()
    ]
    limits = build_limits(ceilings, CLUSTER_SPEC.shares)
    body = LimitsPublished(max(versions), limits)
    simulation.append(Record(f"limits-{simulation.now_ms}-{index}", body))


def disable_guard(name: str) -> None:
    """Disable a guard of the reducer in this process.

    Args:
      name: Name of the guard, "" for none.
    """
    match name:
        case "":
            pass
        case "units":
            allotments.places_for = lambda units, ceiling: ceiling
        case "totals":
            lending._add_totals = _add_without_deduplication
        case "expiry":
            role.ENTRY_EXPIRY_MS = 2_000
        case "spare":
            lending.spare_units = allotments.held_units
        case _:
            raise SystemExit(f"unknown guard {name}")


def _add_without_deduplication(totals, gained):
    """Add a tenth of a ceiling for every message, also for a duplicate."""
    return totals.update(
        {
            team: totals.get(team, 0) + UNITS_PER_CEILING // 10
            for team in gained
        }
    )


def run_all(
    *, histories: int = 1000, first_seed: int = 0, broken: str = ""
) -> int:
    """Run histories in parallel and print the number of violations.

    Args:
      histories: Number of histories.
      first_seed: Seed of the first history; the others follow it.
      broken: Guard to disable: units, totals, expiry or spare.
    Returns:
      The number of violations.
    """
    seeds = range(first_seed, first_seed + histories)
    arguments = [broken] * histories
    with ProcessPoolExecutor(os.cpu_count()) as processes:
        results = list(
            processes.map(run_history, seeds, arguments, chunksize=4)
        )
    failed = [result for result in results if result.violations]
    for result in failed[:5]:
        print(f"seed {result.seed}: {result.violations}, {result.detail}")
    starts = sum(result.starts for result in results)
    print(
        f"{histories} histories, {starts} starts,"
        f" {len(failed)} histories with violations"
    )
    violations = sum(result.violations for result in results)
    print(f"ceiling_histories={violations}")
    return violations


if __name__ == "__main__":
    from defopt import run

    run(run_all)
