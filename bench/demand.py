"""Benchmark demand on a simulated cluster: queues surge in turn.

The demand on one service at a time rises for a few seconds to five times its
mean, which exceeds the capacity of its pool; all others are at a twentieth of
their mean.  A sampler compares the slots that each team occupies with its
weighted max-min fair allocation.
"""

from collections import Counter
from dataclasses import dataclass

from bench.driver import ClusterSimulation
from bench.driver import RequestRun
from bench.simulated_clusters import ClusterSpec
from bench.simulated_clusters import request_builder
from bench.simulated_clusters import REQUEST_TIMEOUT_MS
from bench.simulated_clusters import service_name
from bench.simulated_clusters import team_name

SURGE_DURATION_MS = 3_000
WORK_RANGE_MS = (60, 140)  # shortest and longest run time of a request
SURGE_LOAD_RATIO = 1.6  # demand over the pool's capacity during a surge
# A twentieth of the mean load, which is a fifth of the surge load.
IDLE_LOAD_RATIO = SURGE_LOAD_RATIO / 100
SAMPLE_INTERVAL_MS = 25
WINDOW_MS = 1_000
SLOTS_PER_EXECUTOR = 8
STEP_SLOTS = 0.5  # granularity of the max-min division


@dataclass(frozen=True, slots=True)
class DemandMetrics:
    """Metrics of a run under demand.

    Attributes:
      share_error: Mean difference between occupied and fair slots, in percent
        of the fair slots.
      slots_used: Percentage of the surging pool's slots that are busy while a
        request that may use them waits.
      started: Number of requests that started to run.
    """

    share_error: float
    slots_used: float
    started: int


def divide_max_min(
    slots_by_service: dict[str, float],
    shares: dict[str, int],
    ceilings: dict[str, int],
    demand: Counter[tuple[str, str]],
) -> Counter[str]:
    """Divide the slots of all pools by weighted max-min fairness.

    Progressive filling: gives out small steps, each to the team with the
    fewest slots per share among those that can still use one, from the pool
    with the least unmet demand per free slot.

    Args:
      slots_by_service: Slots to divide, by the service of their pool.
      shares: Weight of each team.
      ceilings: Maximum slots of each team over all services.
      demand: Maximum slots that a team can use, by team and service.
    Returns:
      Fair slots of each team over all services.
    """
    fair_slots: Counter[str] = Counter()
    free_slots = dict(slots_by_service)
    unmet_demand = dict(demand)
    unmet_by_service: Counter[str] = Counter()
    for (_, service), unmet in demand.items():
        unmet_by_service[service] += unmet
    while True:
        candidates = [
            (
                fair_slots[team] / shares[team],
                team,
                unmet_by_service[service] / free_slots[service],
                service,
            )
            for (team, service), unmet in unmet_demand.items()
            if unmet > STEP_SLOTS / 2
            and free_slots.get(service, 0) > STEP_SLOTS / 2
            and fair_slots[team] < ceilings[team]
        ]
        if not candidates:
            return fair_slots
        _, team, _, service = min(candidates)
        fair_slots[team] += STEP_SLOTS
        free_slots[service] -= STEP_SLOTS
        unmet_demand[team, service] -= STEP_SLOTS
        unmet_by_service[service] -= STEP_SLOTS


class Sampler:
    """Samples the slots that teams occupy, and their fair allocation."""

    def __init__(self, simulation: ClusterSimulation, spec: ClusterSpec):
        """Install the callbacks for starts and ends of requests.

        Args:
          simulation: Simulated cluster; its callbacks are replaced.
          spec: Size of the cluster.
        """
        self._simulation = simulation
        self._spec = spec
        teams = [team_name(i) for i in range(len(spec.ceilings))]
        self._ceilings = dict(zip(teams, spec.ceilings, strict=True))
        self._shares = dict(zip(teams, spec.shares, strict=True))
        self._running: Counter[tuple[str, str]] = Counter()
        self._received_slots: Counter[str] = Counter()
        self._fair_slots: Counter[str] = Counter()
        self._saturated_samples = 0
        self._samples = 0
        self._errors: list[float] = []
        self._busy_slots = 0
        self._total_slots = 0
        self.started = 0
        simulation.on_start = self._start
        simulation.on_end = self._end

    def _start(self, run: RequestRun) -> None:
        self.started += 1
        self._running[run.team, run.service] += 1

    def _end(self, run: RequestRun) -> None:
        self._running[run.team, run.service] -= 1

    def sample(self, surging: str) -> None:
        """Take one sample of all queues.

        Args:
          surging: Name of the service under surge load.
        """
        waiting = self._count_waiting()
        running_by_team: Counter[str] = Counter()
        for (team, _), running in self._running.items():
            running_by_team[team] += running
        self._received_slots.update(running_by_team)
        self._fair_slots.update(self._compute_fair_slots(waiting))
        self._samples += 1
        saturated = any(
            waiting[team, surging] and running_by_team[team] < ceiling
            for team, ceiling in self._ceilings.items()
        )
        if saturated:
            self._saturated_samples += 1
            self._busy_slots += sum(
                self._running[team, surging] for team in self._ceilings
            )
            self._total_slots += self._spec.executors * SLOTS_PER_EXECUTOR

    def close_window(self) -> None:
        """Record the window's error if the surging pool was saturated.

        Windows with at most 90 % saturated samples are left out.
        """
        if self._samples and self._saturated_samples > 0.9 * self._samples:
            self._errors.append(self._compute_error())
        self._received_slots.clear()
        self._fair_slots.clear()
        self._samples = self._saturated_samples = 0

    def _compute_fair_slots(
        self, waiting: Counter[tuple[str, str]]
    ) -> Counter[str]:
        """Divide the slots that are occupied now by max-min fairness."""
        slots_by_service: Counter[str] = Counter()
        demand = Counter(waiting)
        for key, running in self._running.items():
            slots_by_service[key[1]] += running
            demand[key] += running
        return divide_max_min(
            slots_by_service, self._shares, self._ceilings, demand
        )

    def _compute_error(self) -> float:
        """Compute the difference from the fair slots in percent."""
        distance = sum(
            abs(self._received_slots[team] - self._fair_slots[team])
            for team in self._shares
        )
        return 100 * distance / 2 / sum(self._fair_slots.values())

    def compute_metrics(self) -> DemandMetrics:
        """Compute the metrics of the run.

        Returns:
          The metrics; the share error is 100 % if no window was saturated.
        """
        errors = self._errors or [100.0]
        return DemandMetrics(
            share_error=sum(errors) / len(errors),
            slots_used=100 * self._busy_slots / max(self._total_slots, 1),
            started=self.started,
        )

    def _count_waiting(self) -> Counter[tuple[str, str]]:
        waiting: Counter[tuple[str, str]] = Counter()
        for process in self._simulation.processes_by_name.values():
            for (
                service,
                queues,
            ) in process.state.entry.queues_by_service.items():
                for team, queue in queues.items():
                    count = len(queue.urgent) + len(queue.normal)
                    waiting[team, service] += count
        return waiting


def run_demand(
    simulation: ClusterSimulation, spec: ClusterSpec, rounds: int = 1
) -> DemandMetrics:
    """Apply surge load to each service in turn and sample the result.

    Args:
      simulation: Simulated cluster in a steady state.
      spec: Size of the cluster.
      rounds: Number of surges of each service.
    Returns:
      The metrics.
    """
    sampler = Sampler(simulation, spec)
    simulation.draw_run_time_ms = lambda: simulation.random.randint(
        *WORK_RANGE_MS
    )
    surges = spec.services * rounds
    for surge in range(surges):
        surging = surge % spec.services
        _schedule_surge(simulation, spec, surge, surging)
        for step in range(SURGE_DURATION_MS // SAMPLE_INTERVAL_MS):
            simulation.run(SAMPLE_INTERVAL_MS)
            at_ms = step * SAMPLE_INTERVAL_MS
            if at_ms >= WINDOW_MS:
                sampler.sample(service_name(surging))
                if (at_ms + SAMPLE_INTERVAL_MS) % WINDOW_MS == 0:
                    sampler.close_window()
    return sampler.compute_metrics()


def _schedule_surge(simulation, spec, surge, surging):
    """Schedule the requests of one surge, of random teams and entries."""
    mean_work_ms = sum(WORK_RANGE_MS) / 2
    capacity_per_ms = spec.executors * SLOTS_PER_EXECUTOR / mean_work_ms
    for service in range(spec.services):
        load = SURGE_LOAD_RATIO if service == surging else IDLE_LOAD_RATIO
        count = int(capacity_per_ms * load * SURGE_DURATION_MS)
        for index in range(count):
            team = simulation.random.randrange(len(spec.ceilings))
            entry = f"entry-{simulation.random.randrange(spec.entries)}"
            request = request_builder(
                f"{surge}-{service}-{index}",
                team_name(team),
                service_name(service),
                REQUEST_TIMEOUT_MS,
            )
            at_ms = index * SURGE_DURATION_MS / count
            simulation.call_later(at_ms, simulation.submit, entry, request)
