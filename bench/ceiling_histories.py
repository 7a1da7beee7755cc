"""Seeded histories of ceilings under faults: counts the violations.

Nine entries in four data centres serve six teams while messages are lost,
late, doubled and out of order, nodes are paused, killed and replaced, data
centres are cut off, the platform is down and operators change ceilings.  A
violation is a start that puts more requests of a team in flight than any
ceiling that an entry with one of them in flight had in force.

`--broken NAME` takes a guard out, to show that the checker finds it.
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

SIZES = ClusterSpec(9, 4, 3, 4, (24, 16, 12, 8, 5, 3), (4, 4, 3, 2, 1, 1))
TRAFFIC_MS = 12_000
QUIET_MS = 1_320_000  # long enough for a dead entry's lease to run out
LONG_EVERY = 20  # every so many histories go through a quiet time
REQUESTS_PER_S = 150
FAULTS = 10


@dataclass(frozen=True, slots=True)
class Found:
    """What one history came to.

    Attributes:
      seed: Seed of the history.
      violations: Starts beyond the ceiling.
      starts: Starts in all.
      detail: The first violation, for a person to read.
    """

    seed: int
    violations: int
    starts: int
    detail: str


class CeilingChecker:
    """Watches the starts and ends of requests at the targets."""

    def __init__(self, simulation: ClusterSimulation):
        """Begin to watch.

        Args:
          simulation: The world; its callbacks are taken over.
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


def run_history(seed: int, broken: str = "") -> Found:
    """Run one history.

    Args:
      seed: Same seeds give the same history.
      broken: Guard to take out, "" for none.
    Returns:
      What was found.
    """
    take_guard_out(broken)
    simulation = build_simulation(seed, SIZES, FaultRates())
    checker = CeilingChecker(simulation)
    plan_traffic(simulation)
    plan_faults(simulation)
    simulation.run(TRAFFIC_MS)
    if seed % LONG_EVERY == 0:
        simulation.fault_rates = replace(simulation.fault_rates, late=0.0)
        simulation.run(QUIET_MS)
        plan_traffic(simulation)
        simulation.run(TRAFFIC_MS)
    return Found(seed, checker.violations, checker.starts, checker.detail)


def plan_traffic(simulation: ClusterSimulation) -> None:
    """Plan requests of all teams, mostly of one team at a time.

    Args:
      simulation: The world.
    """
    count = TRAFFIC_MS * REQUESTS_PER_S // 1000
    teams = len(SIZES.ceilings)
    for index in range(count):
        at_ms = index * TRAFFIC_MS // count
        surging = at_ms * teams // TRAFFIC_MS
        team = surging
        if simulation.random.random() < 0.4:
            team = simulation.random.randrange(teams)
        name = f"entry-{simulation.random.randrange(SIZES.entries)}"
        service = service_name(simulation.random.randrange(SIZES.services))
        request = request_builder(
            f"{simulation.now_ms}-{index}", team_name(team), service, 3_000
        )
        simulation.call_later(at_ms, simulation.submit, name, request)


def plan_faults(simulation: ClusterSimulation) -> None:
    """Plan pauses, deaths, cuts, outages, stops and changed ceilings.

    Args:
      simulation: The world.
    """
    random = simulation.random
    names = list(simulation.processes_by_name)
    entries = [name for name in names if name.startswith("entry")]
    for index in range(FAULTS):
        at_ms = random.randrange(TRAFFIC_MS)
        lasts_ms = random.randrange(100, 8_000)
        match random.randrange(6):
            case 0:
                simulation.call_later(
                    at_ms, simulation.pause, random.choice(names), lasts_ms
                )
            case 1:
                after_ms = random.choice((None, 300, 3_000))
                simulation.call_later(
                    at_ms, simulation.kill, random.choice(names), after_ms
                )
            case 2:
                centre = f"dc-{random.randrange(SIZES.data_centres)}"
                simulation.call_later(
                    at_ms, simulation.isolate_data_centre, centre, lasts_ms
                )
            case 3:
                simulation.call_later(
                    at_ms, simulation.fail_platform, lasts_ms
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
    """Publish other ceilings, as an operator would.

    Args:
      simulation: The world.
      index: Makes the record's id unique.
    """
    ceilings = tuple(
        max(1, ceiling * simulation.random.choice((1, 2, 4, 8)) // 4)
        for ceiling in SIZES.ceilings
    )
    versions = [
        host.state.agreed.limits_version
        for host in simulation.processes_by_name.values()
    ]
    limits = build_limits(ceilings, SIZES.shares)
    body = LimitsPublished(max(versions), limits)
    simulation.append(Record(f"limits-{simulation.now_ms}-{index}", body))


def take_guard_out(name: str) -> None:
    """Replace a guard by its absence, in this process.

    Args:
      name: Name of the guard, "" to leave all of them.
    """
    match name:
        case "":
            pass
        case "units":
            allotments.places_for = lambda units, ceiling: ceiling
        case "totals":
            lending._add_totals = _add_blindly
        case "expiry":
            role.ENTRY_EXPIRY_MS = 2_000
        case "spare":
            lending.spare_units = allotments.held_units
        case _:
            raise SystemExit(f"no guard {name}")


def _add_blindly(totals, gained):
    """Count a tenth of a ceiling for every message, new or repeated."""
    return totals.update(
        {
            team: totals.get(team, 0) + UNITS_PER_CEILING // 10
            for team in gained
        }
    )


def run_all(
    *, histories: int = 1000, first_seed: int = 0, broken: str = ""
) -> int:
    """Run the histories and print the number of violations.

    Args:
      histories: Number of histories.
      first_seed: Seed of the first one; the others follow.
      broken: Guard to take out: units, totals, expiry or spare.
    Returns:
      The number of violations.
    """
    seeds = range(first_seed, first_seed + histories)
    arguments = [broken] * histories
    with ProcessPoolExecutor(os.cpu_count()) as processes:
        founds = list(
            processes.map(run_history, seeds, arguments, chunksize=4)
        )
    bad = [found for found in founds if found.violations]
    for found in bad[:5]:
        print(f"seed {found.seed}: {found.violations}, {found.detail}")
    starts = sum(found.starts for found in founds)
    print(f"{histories} histories, {starts} starts, {len(bad)} bad")
    violations = sum(found.violations for found in founds)
    print(f"ceiling_histories={violations}")
    return violations


if __name__ == "__main__":
    from defopt import run

    run(run_all)
