"""Seeded histories of repeated request ids: counts doubled runs and lies.

Callers hand the same id of a request that must not run twice in at several
entries within seconds, while nodes are paused, killed, stopped and replaced
and data centres are cut off.  The value is the number of ids that ran twice
and of requests that were answered "not run" although they ran.  Beside it:
the same with the ids unguarded, and the part refused for safety.
"""

from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
import os

from bench.ceiling_histories import plan_faults
from bench.ceiling_histories import SIZES
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
IDS = 500
REPEATS = 3


@dataclass(frozen=True, slots=True)
class Found:
    """What one history came to.

    Attributes:
      seed: Seed of the history.
      doubled: Ids that ran more than once.
      lies: Requests answered "not run" that ran.
      ran: Ids that ran.
      refused: Requests refused because a single run was not assured.
    """

    seed: int
    doubled: int
    lies: int
    ran: int
    refused: int


def run_history(seed: int, guarded: bool = True) -> Found:
    """Run one history.

    Args:
      seed: Same seeds give the same history.
      guarded: Whether ids are claimed.
    Returns:
      What was found.
    """
    if not guarded:
        admission.needs_claim = lambda request: False
    simulation = build_simulation(seed, SIZES, FaultRates())
    runs_by_id: Counter[str] = Counter()
    run_requests = set()

    def note(run: RequestRun) -> None:
        runs_by_id[f"{run.team}/{run.caller_id}"] += 1
        run_requests.add(run.request_id)

    simulation.on_start = note
    _plan_ids(simulation)
    plan_faults(simulation)
    simulation.run(TRAFFIC_MS)
    replies = [r for _, r in simulation.replies if isinstance(r, Reply)]
    return Found(
        seed=seed,
        doubled=sum(runs > 1 for runs in runs_by_id.values()),
        lies=sum(
            reply.code.outcome is Outcome.NOT_RUN
            and reply.request_id in run_requests
            for reply in replies
        ),
        ran=len(runs_by_id),
        refused=sum(reply.code is SINGLE_RUN_NOT_ASSURED for reply in replies),
    )


def _plan_ids(simulation: ClusterSimulation) -> None:
    """Plan each id at several entries within seconds."""
    random = simulation.random
    for index in range(IDS):
        team = team_name(random.randrange(len(SIZES.ceilings)))
        service = service_name(random.randrange(SIZES.services))
        at_ms = random.randrange(TRAFFIC_MS)
        for repeat in range(REPEATS):
            request = request_builder(
                f"{index}-{repeat}",
                team,
                service,
                3_000,
                idempotent=False,
                caller_id=f"id-{index}",
            )
            entry = f"entry-{random.randrange(SIZES.entries)}"
            simulation.call_later(at_ms, simulation.submit, entry, request)
            at_ms += random.choice((0, 1, 20, 500, 4_000))


def run_all(*, histories: int = 1000, first_seed: int = 0) -> int:
    """Run the histories and print the number of doubled runs and lies.

    Args:
      histories: Number of histories; a tenth as many run unguarded.
      first_seed: Seed of the first one; the others follow.
    Returns:
      The value.
    """
    seeds = range(first_seed, first_seed + histories)
    with ProcessPoolExecutor(os.cpu_count()) as processes:
        founds = list(processes.map(run_history, seeds, chunksize=4))
    few = range(first_seed, first_seed + max(histories // 10, 1))
    with ProcessPoolExecutor(os.cpu_count()) as processes:
        bare = list(processes.map(run_history, few, [False] * len(few)))
    for found in founds:
        if found.doubled or found.lies:
            print(f"seed {found.seed}: {found}")
    ran = sum(found.ran for found in founds)
    refused = sum(found.refused for found in founds)
    total = histories * IDS * REPEATS
    print(
        f"{histories} histories: {ran} of {histories * IDS} ids ran;"
        f" {refused} of {total} requests"
        f" ({100 * refused / total:.2f} %) refused for safety;"
        f" unguarded {sum(found.doubled for found in bare)} doubled in"
        f" {len(bare)} histories"
    )
    value = sum(found.doubled + found.lies for found in founds)
    print(f"at_most_once={value}")
    return value


if __name__ == "__main__":
    from defopt import run

    run(run_all)
