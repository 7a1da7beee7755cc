"""Runs the soak: `python -m soak.main --seeds 50`."""

from pathlib import Path
import random
import signal
import sys
import tempfile
import threading
import time

from defopt import run

from soak.callers import Callers
from soak.faults import FaultInjector
from soak.promises import Breach
from soak.promises import check
from soak.world import World

MANAGERS = 3
START_S = 30.0  # a busy machine takes this long to start them all
SETTLE_S = 25.0  # all accepted work is done this long after the last fault
POLL_S = 0.5
JOBS_PER_S = 4.0


def run_seed(seed: int, folder: Path, seconds: float) -> list[Breach]:
    """Run one seed.

    Args:
      seed: Seed of jobs and faults.
      folder: Takes settings, logs and the list of faults.
      seconds: How long jobs and faults come.
    Returns:
      Promises that were not kept.
    """
    world = World(folder, MANAGERS, seed)
    try:
        for index in range(MANAGERS):
            world.start_manager(index)
        fronts = [world.front(index) for index in range(MANAGERS)]
        callers = Callers(fronts, seed)
        _await_start(callers)
        with open(folder / "faults.log", "w", encoding="utf-8") as log:

            def note(line):
                print(line, file=log, flush=True)

            injector = FaultInjector(world, seed, note)
            striking = threading.Thread(
                target=injector.inject_for, args=(seconds,), daemon=True
            )
            striking.start()
            callers.hand_in_for(seconds, JOBS_PER_S)
            striking.join()
        _await_ends(callers)
        return check(callers.handed, world.workers)
    finally:
        world.end()


def _await_start(callers):
    """Wait until jobs are taken; these are not among those checked."""
    until_s = time.monotonic() + START_S
    while time.monotonic() < until_s:
        callers.hand_in_for(POLL_S, 1 / POLL_S)
        if any(job.accepted for job in callers.handed):
            return
        callers.handed.clear()
    raise SystemExit("no manager takes jobs")


def _await_ends(callers):
    """Ask for all accepted jobs until they have ended."""
    open_jobs = [job for job in callers.handed if job.accepted]
    until_s = time.monotonic() + SETTLE_S
    while open_jobs and time.monotonic() < until_s:
        open_jobs = [
            job
            for job in open_jobs
            if callers.ask(job) not in ("completed", "cancelled", "failed")
        ]
        time.sleep(POLL_S)


def main(*, seeds: int = 1, first: int = 0, seconds: float = 20.0) -> None:
    """Run some seeds; the last line is soak=NUMBER of broken promises.

    Args:
      seeds: Number of seeds.
      first: The first seed; 0 draws one.
      seconds: How long jobs and faults come in each.
    """
    signal.signal(signal.SIGTERM, _end)
    first = first or random.randrange(1, 1 << 30)
    total = 0
    for seed in range(first, first + seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        breaches = run_seed(seed, folder, seconds)
        total += len(breaches)
        print(f"seed={seed} breaches={len(breaches)} logs={folder}")
        for breach in breaches[:5]:
            print(f"  {breach.promise}: {breach.detail}")
        sys.stdout.flush()
    print(f"soak={total}")
    sys.exit(1 if total else 0)


def _end(number, frame):
    """End as by an interrupt, so that no manager is left."""
    raise SystemExit(1)


if __name__ == "__main__":
    run(main)
