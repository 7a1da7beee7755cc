"""Fault-injection test of at-most-once runs on seeded random histories.

Callers submit the same request id, of a request that must not run twice, to
several entries within seconds, while nodes are paused, killed, stopped and
restarted and data centres are isolated.  The result is the number of ids that
ran more than once plus the number of requests that were answered "not run"
although they ran.  The output also shows the duplicate runs without claims of
ids, and the ratio of requests refused because a single run was not assured.
"""

from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
import os

from bench.ceiling_histories import CLUSTER_SPEC
from bench.ceiling_histories import schedule_faults
from bench.driver import ClusterSimulation
from bench.driver import FaultRates
from bench.driver import RequestRun
from bench.simulated_clusters import build_simulation
from bench.simulated_clusters import request_builder
from bench.simulated_clusters import service_name
from bench.simulated_clusters import team_name
from sesamehall.core.codes import Outcome
from sesamehall.core.codes import SINGLE_RUN_NOT_ASSURED
from sesamehall.core.effects import Reply
from sesamehall.reducer import admission

TRAFFIC_MS = 12_000
ID_COUNT = 500
SUBMISSIONS_PER_ID = 3


@dataclass(frozen=True, slots=True)
class HistoryResult:
    """Result of one history.

    Attributes:
      seed: Seed of the history.
      duplicate_runs: Number of ids that ran more than once.
      false_refusals: Number of requests that ran and were answered "not run".
      ids_run: Number of ids that ran.
      refused: Number of requests refused because a single run was not assured.
    """

    seed: int
    duplicate_runs: int
    false_refusals: int
    ids_run: int
    refused: int


def run_history(seed: int, claims_enabled: bool = True) -> HistoryResult:
    """Run one history.

    Args:
      seed: Seed of the random generator; runs of a seed are identical.
      claims_enabled: Whether entries claim an id before they run it.
    Returns:
      The result.
    """
    if not claims_enabled:
        admission.needs_claim = lambda request: False
    simulation = build_simulation(seed, CLUSTER_SPEC, FaultRates())
    runs_by_id: Counter[str] = Counter()
    run_requests = set()

    def record_start(run: RequestRun) -> None:
        runs_by_id[f"{run.team}/{run.caller_id}"] += 1
        run_requests.add(run.request_id)

    simulation.on_start = record_start
    _schedule_requests(simulation)
    schedule_faults(simulation)
    simulation.run(TRAFFIC_MS)
    replies = [r for _, r in simulation.replies if isinstance(r, Reply)]
    return HistoryResult(
        seed=seed,
        duplicate_runs=sum(runs > 1 for runs in runs_by_id.values()),
        false_refusals=sum(
            reply.code.outcome is Outcome.NOT_RUN
            and reply.request_id in run_requests
            for reply in replies
        ),
        ids_run=len(runs_by_id),
        refused=sum(reply.code is SINGLE_RUN_NOT_ASSURED for reply in replies),
    )


def _schedule_requests(simulation: ClusterSimulation) -> None:
    """Schedule the submissions of each id to random entries."""
    random = simulation.random
    for index in range(ID_COUNT):
        team = team_name(random.randrange(len(CLUSTER_SPEC.ceilings)))
        service = service_name(random.randrange(CLUSTER_SPEC.services))
        at_ms = random.randrange(TRAFFIC_MS)
        for repeat in range(SUBMISSIONS_PER_ID):
            request = request_builder(
                f"{index}-{repeat}",
                team,
                service,
                3_000,
                idempotent=False,
                caller_id=f"id-{index}",
            )
            entry = f"entry-{random.randrange(CLUSTER_SPEC.entries)}"
            simulation.call_later(at_ms, simulation.submit, entry, request)
            at_ms += random.choice((0, 1, 20, 500, 4_000))


def run_all(*, histories: int = 1000, first_seed: int = 0) -> int:
    """Run histories in parallel and print the number of violations.

    Args:
      histories: Number of histories; a tenth as many run without claims.
      first_seed: Seed of the first history; the others follow it.
    Returns:
      The number of duplicate runs and false refusals.
    """
    seeds = range(first_seed, first_seed + histories)
    with ProcessPoolExecutor(os.cpu_count()) as processes:
        results = list(processes.map(run_history, seeds, chunksize=4))
    unguarded_seeds = range(first_seed, first_seed + max(histories // 10, 1))
    with ProcessPoolExecutor(os.cpu_count()) as processes:
        unclaimed = list(
            processes.map(
                run_history, unguarded_seeds, [False] * len(unguarded_seeds)
            )
        )
    for result in results:
        if result.duplicate_runs or result.false_refusals:
            print(f"seed {result.seed}: {result}")
    ids_run = sum(result.ids_run for result in results)
    refused = sum(result.refused for result in results)
    total = histories * ID_COUNT * SUBMISSIONS_PER_ID
    print(
        f"{histories} histories: {ids_run} of {histories * ID_COUNT} ids ran;"
        f" {refused} of {total} requests"
        f" ({100 * refused / total:.2f} %) refused for safety; without claims"
        f" {sum(result.duplicate_runs for result in unclaimed)} ids ran more"
        f" than once in {len(unclaimed)} histories"
    )
    value = sum(
        result.duplicate_runs + result.false_refusals for result in results
    )
    print(f"at_most_once={value}")
    return value


if __name__ == "__main__":
    from defopt import run

    run(run_all)
