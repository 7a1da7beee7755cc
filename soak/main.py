"""Run the soak with `python -m soak.main --seeds 50`."""

from dataclasses import replace
from pathlib import Path
import random
import signal
import sys
import tempfile
import threading
import time

from defopt import run

from soak.callers import LoadGenerator
from soak.cluster import Cluster
from soak.drains import check_drains
from soak.drains import ZoneDrainer
from soak.faults import FaultInjector
from soak.promises import check_invariants
from soak.promises import Violation
from soak.scenario import draw_scenario
from soak.scenario import Scenario

START_TIMEOUT_S = 30.0  # a busy machine takes this long to start all managers
COMPLETION_TIMEOUT_S = 25.0  # for accepted jobs to end after the last fault
POLL_INTERVAL_S = 0.5


def run_seed(
    seed: int, folder: Path, seconds: float, scenario: Scenario = Scenario()
) -> list[Violation]:
    """Run the soak with one seed.

    Args:
      seed: Seed for jobs, faults and workers.
      folder: Folder for settings, logs and the list of injected faults.
      seconds: Time during which jobs are submitted and faults injected.
      scenario: The cluster, its load and the faults to draw from.
    Returns:
      Violations of invariants.
    """
    cluster = Cluster(folder, scenario.layout, seed)
    managers = range(scenario.layout.managers)
    try:
        for index in managers:
            cluster.start_manager(index)
        addresses = [cluster.front_address(index) for index in managers]
        load = LoadGenerator(addresses, seed, scenario.varied_share)
        await_start(load)
        with open(folder / "faults.log", "w", encoding="utf-8") as log:

            def log_fault(line):
                print(line, file=log, flush=True)

            log_fault(f"{scenario}")
            injector = FaultInjector(
                cluster,
                seed,
                log_fault,
                scenario.faults,
                scenario.mean_interval_s,
            )
            injecting = threading.Thread(
                target=injector.inject_for, args=(seconds,), daemon=True
            )
            injecting.start()
            drainer = ZoneDrainer(cluster, seed, log_fault)
            draining = threading.Thread(
                target=drainer.drain_for, args=(seconds,), daemon=True
            )
            if scenario.drains:
                draining.start()
            load.submit_for(seconds, scenario.jobs_per_s)
            injecting.join()
            if scenario.drains:
                draining.join()
        await_completion(load)
        starts = sum(len(worker.records) for worker in cluster.workers)
        epoch, _ = cluster.leader()
        print(f"jobs={len(load.jobs)} starts={starts} terms={epoch}")
        violations = check_invariants(load.jobs, cluster.workers)
        violations += check_drains(
            drainer.drains, cluster.workers, cluster.zone_of_worker
        )
        return violations
    finally:
        cluster.close()


def await_start(load: LoadGenerator) -> None:
    """Wait until the managers accept jobs.

    Jobs of rounds in which none was accepted are discarded, not checked.

    Args:
      load: Submits the jobs.
    Raises:
      SystemExit: No manager accepted a job in time.
    """
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline_s:
        load.submit_for(POLL_INTERVAL_S, 1 / POLL_INTERVAL_S)
        if any(job.accepted for job in load.jobs):
            return
        load.jobs.clear()
    raise SystemExit("no manager accepted a job before the start timeout")


def await_completion(load: LoadGenerator) -> None:
    """Poll the accepted jobs until all have ended or the timeout expires.

    Args:
      load: Has submitted the jobs.
    """
    unfinished = [job for job in load.jobs if job.accepted]
    deadline_s = time.monotonic() + COMPLETION_TIMEOUT_S
    while unfinished and time.monotonic() < deadline_s:
        unfinished = [
            job
            for job in unfinished
            if load.poll_state(job) not in ("completed", "cancelled", "failed")
        ]
        time.sleep(POLL_INTERVAL_S)


def main(
    *,
    seeds: int = 1,
    first: int = 0,
    seconds: float = 20.0,
    plain: bool = False,
    tree: Path | None = None,
) -> None:
    """Run a number of seeds; the last line is soak=NUMBER of violations.

    Args:
      seeds: Number of consecutive seeds to run.
      first: First seed, or 0 to draw one at random.
      seconds: Time per seed during which jobs and faults are generated.
      plain: Whether all managers are equal and in one zone.
      tree: Work tree from which the managers run, or none for this one.
    """
    signal.signal(signal.SIGTERM, _exit)
    first = first or random.randrange(1, 1 << 30)
    total = 0
    for seed in range(first, first + seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        scenario = Scenario() if plain else draw_scenario(seed)
        if tree is not None:
            layout = replace(scenario.layout, tree=tree.resolve())
            scenario = replace(scenario, layout=layout)
        violations = run_seed(seed, folder, seconds, scenario)
        total += len(violations)
        print(f"seed={seed} violations={len(violations)} logs={folder}")
        for violation in violations[:5]:
            print(f"  {violation.invariant}: {violation.detail}")
        sys.stdout.flush()
    print(f"soak={total}")
    sys.exit(1 if total else 0)


def _exit(number, frame):
    """Exit through SystemExit so that the cluster's processes are killed."""
    raise SystemExit(1)


if __name__ == "__main__":
    run(main)
