"""Fault-injection test of jobs on seeded random histories.

Two to four managers take turns as leader of a few workers.  Managers are
stopped, killed, paused and disconnected, workers restart, the store fails, and
calls are lost, delayed and duplicated.  Jobs are submitted and cancelled
around each change of the leader.  The checks compare what workers and callers
see and, at the end, the stored phase of each job: no task runs twice or before
the steps that it depends on, failed runs are counted, cancelled jobs stop, and
every accepted job ends after the last fault.  The result is the number of
violations.

Histories take turns in the scenarios, each of which adds faults of one kind.
`--scenario NAME` runs one scenario alone.

`--without GUARD` disables a guard, to show that the checks detect its absence.
"""

from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
import os

from immutables import Map

from bench.jobcallers import Caller
from bench.jobcallers import TEAM_BY_KEY
from bench.jobfaults import change_leader
from bench.jobfaults import end_faults
from bench.jobfaults import FAULT_PERIOD_MS
from bench.jobfaults import schedule_faults
from bench.jobguards import disable_guard
from bench.jobscenariofaults import schedule_scenario
from bench.jobscenarios import Limits
from bench.jobscenarios import MAX_ATTEMPTS
from bench.jobscenarios import QUEUE
from bench.jobscenarios import SCENARIOS_BY_NAME
from bench.jobworld import JobSimulation
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.manifest import Manifest
from sesamehall.core.manifest import Quota
from sesamehall.core.manifest import WorkerPool
from sesamehall.core.replacing import replace
from sesamehall.core.work import CompactProgress
from sesamehall.core.work import NO_SIZE

WARMUP_MS = 2_500  # until the first leader has connected to its workers
JOBS_PER_LEADER_CHANGE = 6


@dataclass(frozen=True, slots=True)
class HistoryResult:
    """Result of one history.

    Attributes:
      seed: Seed of the history.
      scenario: Name of its scenario.
      violations: Descriptions of the violations.
      starts: Number of started runs.
      terms: Number of leaders' terms.
    """

    seed: int
    scenario: str
    violations: tuple[str, ...]
    starts: int
    terms: int


def run_history(
    seed: int, disabled_guard: str = "", scenario_name: str = "general"
) -> HistoryResult:
    """Run one history.

    Args:
      seed: Seed of the random generator; runs of a seed are identical.
      disabled_guard: Name of the guard to disable, "" for none.
      scenario_name: Name of the scenario.
    Returns:
      The result.
    """
    disable_guard(disabled_guard)
    scenario = SCENARIOS_BY_NAME[scenario_name]
    simulation = build_simulation(
        seed,
        retry_unconfirmed=disabled_guard != "sequence",
        limits=scenario.limits,
    )
    simulation.binds_calls = disabled_guard != "incarnations"
    caller = Caller(simulation)
    simulation.run(WARMUP_MS)
    schedule_jobs(simulation, caller, scenario.leader_changes)
    schedule_faults(simulation, caller, scenario.general_faults)
    schedule_scenario(simulation, caller, scenario)
    simulation.run(FAULT_PERIOD_MS)
    end_faults(simulation)
    simulation.run(scenario.recovery_ms // 2)
    simulation.checker.faults_over = True
    simulation.run(scenario.recovery_ms // 2)
    for job_id in caller.accepted:
        stored = simulation.store.newest_value(Stream.PROGRESS, job_id)
        phase = stored.phase if isinstance(stored, CompactProgress) else None
        simulation.checker.check_completed(job_id, phase)
    violations = tuple(simulation.checker.violations)
    return HistoryResult(
        seed,
        scenario_name,
        violations,
        simulation.checker.starts,
        simulation.store.epoch,
    )


def build_simulation(
    seed: int, retry_unconfirmed: bool = True, limits: Limits = Limits()
) -> JobSimulation:
    """Build a simulation with managers, workers and a manifest.

    Args:
      seed: Seed of the random generator; runs of a seed are identical.
      retry_unconfirmed: Whether an append of unknown outcome is retried
        before the next one uses its sequence number.
      limits: Limits of the simulated platform.
    Returns:
      The simulation.
    """
    simulation = JobSimulation(seed, MAX_ATTEMPTS, retry_unconfirmed, limits)
    manifest = build_manifest(limits)
    for team, quota in manifest.quotas_by_team.items():
        if quota.ceiling != NO_SIZE:
            simulation.checker.ceiling_by_team[team] = quota.ceiling
    simulation.store.append(
        Stream.OPERATOR, (StoredRecord("config", manifest),)
    )
    for index in range(simulation.random.randint(2, 4)):
        simulation.add_manager(f"edge-{index}")
    for index in range(simulation.random.randint(2, 4)):
        address = f"10.0.0.{index}:80"
        pool = limits.pools[index % len(limits.pools)]
        simulation.add_worker(address, f"w{index}", pool)
        simulation.cloud_api.add_machine(f"m{index}", address)
    return simulation


def build_manifest(limits: Limits) -> Manifest:
    """Build the first manifest of a history.

    Args:
      limits: Limits of the simulated platform.
    Returns:
      A manifest with one queue, and with a second team if it needs advice.
    """
    teams = ["guild"] if limits.advice is None else ["guild", "office"]
    quotas = {team: Quota(team) for team in teams}
    quotas["guild"] = replace(quotas["guild"], ceiling=limits.ceiling)
    queue = replace(QUEUE, requires_advice=limits.advice is not None)
    return Manifest(
        version=1,
        queues_by_name=Map(quotes=queue),
        pools_by_name=Map((name, WorkerPool(name)) for name in limits.pools),
        quotas_by_team=Map(quotas),
        team_by_key=Map(
            (key, team) for key, team in TEAM_BY_KEY.items() if team in teams
        ),
    )


def schedule_jobs(
    simulation: JobSimulation, caller: Caller, leader_changes: int
) -> None:
    """Schedule submissions of jobs, most of them around leader changes.

    Args:
      simulation: Simulated managers and workers.
      caller: Caller that submits them.
      leader_changes: Number of changes of the leader; others follow some.
    """
    for _ in range(10):
        simulation.call_later(
            simulation.random.randrange(FAULT_PERIOD_MS), caller.submit
        )
    for _ in range(leader_changes):
        at_ms = simulation.random.randrange(FAULT_PERIOD_MS)
        for _ in range(JOBS_PER_LEADER_CHANGE):
            # Up to 700 ms before the change, or up to 200 ms after it.
            advance_ms = simulation.random.randint(-200, 700)
            simulation.call_later(at_ms - advance_ms, caller.submit)
        simulation.call_later(at_ms, change_leader, simulation)
        if simulation.random.random() < 0.4:
            second_change_after_ms = simulation.random.randint(200, 2_000)
            simulation.call_later(
                at_ms + second_change_after_ms, change_leader, simulation
            )


def run_all(
    *,
    histories: int = 1000,
    seed: int = 0,
    without: str = "",
    scenario: str = "",
) -> int:
    """Run histories in parallel and print the number of violations.

    Args:
      histories: Number of histories.
      seed: Seed of the first history; the others follow it.
      without: Name of the guard to disable, "" for none.
      scenario: Name of the only scenario, "" for all in turn.
    Returns:
      The number of violations.
    """
    seeds = range(seed, seed + histories)
    names = [scenario] if scenario else list(SCENARIOS_BY_NAME)
    scenarios = [names[seed % len(names)] for seed in seeds]
    with ProcessPoolExecutor(max(os.cpu_count() // 2, 1)) as processes:
        results = list(
            processes.map(
                run_history,
                seeds,
                [without] * histories,
                scenarios,
                chunksize=4,
            )
        )
    failed = [result for result in results if result.violations]
    for result in failed[:10]:
        print(f"seed {result.seed} of scenario {result.scenario}:")
        print(f"  {result.violations[0]}")
    counts_by_rule = Counter(
        line.partition(" ")[0]
        for result in failed
        for line in result.violations
    )
    starts = sum(result.starts for result in results)
    terms = sum(result.terms for result in results)
    print(f"{histories} histories, {terms} terms, {starts} starts")
    print(f"{len(failed)} histories with violations: {dict(counts_by_rule)}")
    violations = sum(counts_by_rule.values())
    print(f"job_histories={violations}")
    return violations


if __name__ == "__main__":
    from defopt import run

    run(run_all)
