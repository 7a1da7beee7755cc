"""A leader's decisions per order, as the number of workers grows.

The real reducer of one manager runs a seeded day without faults on simulated
workers and a simulated store (see jobworld).  Demand comes by turns: each pool
in its turn asks five times its mean and a twentieth in between, in proportion
to the number of workers.  The figure is processor time of the reducer, for
each start or stop order, less what reading the clock takes; encoding, threads
and sockets are not in it, nor are machines that move.  The result is its ratio
from the largest to the smallest fleet.
"""

from collections import Counter
from dataclasses import dataclass
from itertools import pairwise
from statistics import median
from time import process_time_ns

from immutables import Map

from bench.jobprocesses import ManagerProcess
from bench.jobprocesses import NO_FAULTS
from bench.jobworld import JobSimulation
from sesamehall.core.calls import JobCall
from sesamehall.core.calls import JobDraft
from sesamehall.core.calls import SubmitJob
from sesamehall.core.events import Event
from sesamehall.core.events import TimerFired
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.managereffects import StartRun
from sesamehall.core.managereffects import StopRun
from sesamehall.core.managerevents import JobCalled
from sesamehall.core.manifest import Manifest
from sesamehall.core.manifest import Queue
from sesamehall.core.manifest import Quota
from sesamehall.core.manifest import WorkerPool
from sesamehall.core.work import Size
from sesamehall.core.work import StepPlan

WORKER_COUNTS = (40, 180, 272, 640)
POOLS = 5
TEAMS = 29
WORKER_CAPACITY = Size(16_000, 32_768)
TASK_SIZE = Size(2_300, 1_024)
TASK_ESTIMATE_MS = 800
MAX_EXTRA_TASKS = 8  # a job has 8 to 16 tasks
JOBS_PER_WORKER_S = 0.12  # mean over all pools
TURN_MS = 2_000  # each pool in its turn
TURN_FACTOR = 5.0
CALM_FACTOR = 0.05
WARMUP_MS = 4_000  # the claim of the role, and the first reports
MEASURED_MS = 20_000  # two rounds of turns
SEED = 26
CLOCK_READINGS = 1_000


@dataclass(frozen=True, slots=True)
class DecisionCost:
    """Cost of a leader's decisions over the measured time.

    Attributes:
      workers: Number of workers.
      orders: Number of start and stop orders.
      us_by_kind: Processor time by kind of event or timer, in microseconds.
    """

    workers: int
    orders: int
    us_by_kind: Map[str, float]

    def us_per_order(self) -> float:
        """Return the processor time for each order, in microseconds."""
        return sum(self.us_by_kind.values()) / max(self.orders, 1)


def clock_cost_ns() -> float:
    """Measure the processor time that one reading of the clock takes.

    Returns:
      Nanoseconds: the median of many readings.
    """
    readings = [process_time_ns() for _ in range(CLOCK_READINGS)]
    return median(later - earlier for earlier, later in pairwise(readings))


class CostMeter:
    """Sums the time of the reducer and counts orders, from a moment on."""

    def __init__(self, simulation: JobSimulation):
        """Start to observe a simulation.

        Args:
          simulation: The simulation.
        """
        self._ns_by_kind: Counter[str] = Counter()
        self._clock_ns = clock_cost_ns()
        self._orders = 0
        simulation.on_reduced = self._add_event
        simulation.on_effect = self._add_effect

    def result(self, workers: int) -> DecisionCost:
        """Return what was measured.

        Args:
          workers: Number of workers.
        Returns:
          The cost.
        """
        us_by_kind = Map(
            (kind, ns / 1_000) for kind, ns in self._ns_by_kind.items()
        )
        return DecisionCost(workers, self._orders, us_by_kind)

    def _add_event(self, event: Event, spent_ns: int) -> None:
        source = event.timer if isinstance(event, TimerFired) else event
        self._ns_by_kind[type(source).__name__] += spent_ns - self._clock_ns

    def _add_effect(self, _: ManagerProcess, effect) -> None:
        self._orders += isinstance(effect, StartRun | StopRun)


def build_fleet(seed: int, workers: int) -> JobSimulation:
    """Build a simulation with one manager, five pools and their workers.

    Args:
      seed: Seed of the random generator.
      workers: Number of workers over all pools.
    Returns:
      The simulation.
    """
    simulation = JobSimulation(seed)
    simulation.fault_rates = NO_FAULTS
    pools = [f"p{number}" for number in range(POOLS)]
    manifest = Manifest(
        version=1,
        queues_by_name=Map(
            (pool, Queue(pool, "q.example", f"/{pool}/", pool))
            for pool in pools
        ),
        pools_by_name=Map((pool, WorkerPool(pool)) for pool in pools),
        quotas_by_team=Map((f"t{n}", Quota(f"t{n}")) for n in range(TEAMS)),
        team_by_key=Map((f"k{n}", f"t{n}") for n in range(TEAMS)),
    )
    simulation.store.append(
        Stream.OPERATOR, (StoredRecord("config", manifest),)
    )
    simulation.add_manager("edge-1")
    for number in range(workers):
        simulation.add_worker(
            f"10.0.{number // 250}.{number % 250 + 1}:80",
            f"w{number}",
            pools[number % POOLS],
            WORKER_CAPACITY,
        )
    return simulation


def schedule_demand(simulation: JobSimulation, workers: int) -> None:
    """Schedule the jobs of the measured time, pool by pool in its turn.

    Args:
      simulation: The simulation, at the beginning of the measured time.
      workers: Number of workers over all pools.
    """
    jobs_per_pool_s = workers * JOBS_PER_WORKER_S / POOLS
    number = 0
    for start_ms in range(0, MEASURED_MS, TURN_MS):
        busy_pool = start_ms // TURN_MS % POOLS
        for pool in range(POOLS):
            factor = TURN_FACTOR if pool == busy_pool else CALM_FACTOR
            jobs = round(jobs_per_pool_s * factor * TURN_MS / 1_000)
            for _ in range(jobs):
                number += 1
                delay_ms = start_ms + simulation.random.randrange(TURN_MS)
                simulation.call_later(
                    delay_ms, submit_job, simulation, number, f"p{pool}"
                )


def submit_job(simulation: JobSimulation, number: int, pool: str) -> None:
    """Submit a job of one or two steps to the manager.

    Args:
      simulation: The simulation.
      number: Number of the job, from 1.
      pool: Pool of its queue.
    """
    count = 8 + simulation.random.randrange(MAX_EXTRA_TASKS + 1)
    first = StepPlan(count // 2, TASK_SIZE, TASK_ESTIMATE_MS)
    second = StepPlan(
        count - count // 2, TASK_SIZE, TASK_ESTIMATE_MS, depends_on=(0,)
    )
    job_id = f"{number:016x}"
    draft = JobDraft("work", (first, second))
    simulation.checker.record_submission(job_id, draft.steps)
    (process,) = simulation.processes_by_name.values()

    def build_event(at_ms):
        call = JobCall(
            call_id=number,
            at_ms=at_ms,
            host="q.example",
            path=f"/{pool}/{job_id}",
            key=f"k{number % TEAMS}",
            kind=SubmitJob(draft),
        )
        return JobCalled(at_ms, call)

    simulation.deliver(process, build_event)


def measure(workers: int, seed: int = SEED) -> DecisionCost:
    """Measure a fleet of one size.

    Args:
      workers: Number of workers over all pools.
      seed: Seed of the random generator; the same events for each build.
    Returns:
      The cost.
    """
    simulation = build_fleet(seed, workers)
    simulation.run(WARMUP_MS)
    meter = CostMeter(simulation)
    schedule_demand(simulation, workers)
    simulation.run(MEASURED_MS)
    return meter.result(workers)


def main() -> None:
    """Print the cost by size and kind; the last line is manager_cost=RATIO."""
    costs = [measure(workers) for workers in WORKER_COUNTS]
    for cost in costs:
        print(
            f"{cost.workers} workers: {cost.orders} orders,"
            f" {cost.us_per_order():.0f} us each"
        )
        by_cost = sorted(cost.us_by_kind.items(), key=lambda item: -item[1])
        for kind, spent_us in by_cost:
            print(f"  {kind:18} {spent_us / max(cost.orders, 1):8.1f} us")
    ratio = costs[-1].us_per_order() / costs[0].us_per_order()
    print(f"manager_cost={ratio:.2f}")


if __name__ == "__main__":
    main()
