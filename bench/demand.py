"""The users' demand on a world: queues that surge by turns.

Each queue in its turn asks five times its mean for some seconds, more than
its pool holds, and a twentieth of its mean in between.  A sampler watches
what each team has in flight and waiting, and what is due to it.
"""

from collections import Counter
from dataclasses import dataclass

from bench.driver import Run
from bench.driver import World
from bench.worlds import make_request
from bench.worlds import service_name
from bench.worlds import Sizes
from bench.worlds import team_name
from bench.worlds import WAIT_MS

SURGE_MS = 3_000
WORK_MS = (60, 140)  # shortest and longest run of a request
SURGE_LOAD = 1.6  # demand of a surging queue over what its pool holds
QUIET_LOAD = SURGE_LOAD / 100  # a twentieth of the mean, a surge being five
SAMPLE_MS = 10
WINDOW_MS = 1_000
SLOTS = 8


@dataclass(frozen=True, slots=True)
class Figures:
    """What a run of the demand came to.

    Attributes:
      share_error: Mean distance of received from due, in per cent of due.
      slots_used: Slots busy while work that may use them waits, per cent.
      answered: Requests that ran.
    """

    share_error: float
    slots_used: float
    answered: int


def water_fill(
    capacity: float, shares: list[float], caps: list[float]
) -> list[float]:
    """Divide a capacity by weighted max-min with caps; the plain way.

    Args:
      capacity: What is to be divided.
      shares: Weight of each part, above zero.
      caps: Most that each part can take.
    Returns:
      What is due to each part.
    """
    due = [0.0] * len(shares)
    hungry = {i for i, cap in enumerate(caps) if cap > 0}
    while hungry and capacity > 1e-9:
        level = capacity / sum(shares[i] for i in hungry)
        full = {i for i in hungry if caps[i] - due[i] <= level * shares[i]}
        for i in full or hungry:
            gain = min(caps[i] - due[i], level * shares[i])
            due[i] += gain
            capacity -= gain
        if not full:
            break
        hungry -= full
    return due


class Sampler:
    """Watches a world under demand."""

    def __init__(self, world: World, sizes: Sizes):
        """Begin to watch.

        Args:
          world: The world; its callbacks are taken over.
          sizes: How large it is.
        """
        self._world = world
        self._sizes = sizes
        self._running: Counter[tuple[str, str]] = Counter()
        self._received: Counter[str] = Counter()
        self._wanted: Counter[str] = Counter()
        self._full_samples = 0
        self._samples = 0
        self._errors: list[float] = []
        self._busy = 0
        self._capacity = 0
        self.started = 0
        world.on_start = self._start
        world.on_end = self._end

    def _start(self, run: Run) -> None:
        self.started += 1
        self._running[run.team, run.service] += 1

    def _end(self, run: Run) -> None:
        self._running[run.team, run.service] -= 1

    def sample(self, surging: str) -> None:
        """Look at the surging queue once.

        Args:
          surging: Name of its service.
        """
        waiting = self._count_waiting(surging)
        total: Counter[str] = Counter()
        for (team, _), running in self._running.items():
            total[team] += running
        slots = self._sizes.executors * SLOTS
        busy = 0
        eligible = False
        for index, ceiling in enumerate(self._sizes.ceilings):
            team = team_name(index)
            running = self._running[team, surging]
            busy += running
            self._received[team] += running
            self._wanted[team] += min(running + waiting[team], ceiling)
            eligible |= waiting[team] > 0 and total[team] < ceiling
        self._samples += 1
        if eligible:
            self._full_samples += 1
            self._busy += busy
            self._capacity += slots

    def close_window(self) -> None:
        """Compare received with due over the window, if it was full."""
        teams = [team_name(i) for i in range(len(self._sizes.ceilings))]
        if self._samples and self._full_samples > 0.9 * self._samples:
            capacity = sum(self._received.values())
            shares = [float(share) for share in self._sizes.shares]
            caps = [float(self._wanted[team]) for team in teams]
            due = water_fill(capacity, shares, caps)
            distance = sum(
                abs(self._received[team] - due[i])
                for i, team in enumerate(teams)
            )
            self._errors.append(100 * distance / 2 / capacity)
        self._received.clear()
        self._wanted.clear()
        self._samples = self._full_samples = 0

    def figures(self) -> Figures:
        """Sum up.

        Returns:
          The figures of the whole run.
        """
        errors = self._errors or [100.0]
        return Figures(
            share_error=sum(errors) / len(errors),
            slots_used=100 * self._busy / max(self._capacity, 1),
            answered=self.started,
        )

    def _count_waiting(self, service: str) -> Counter:
        waiting: Counter[str] = Counter()
        for host in self._world.hosts_by_name.values():
            lines = host.state.entry.lines_by_service.get(service, {})
            for team, line in lines.items():
                waiting[team] += len(line.urgent) + len(line.normal)
        return waiting


def run_demand(world: World, sizes: Sizes, rounds: int = 1) -> Figures:
    """Let the queues surge by turns and watch.

    Args:
      world: A world that has settled.
      sizes: How large it is.
      rounds: How often each queue surges.
    Returns:
      The figures.
    """
    sampler = Sampler(world, sizes)
    world.work_ms = lambda: world.random.randint(*WORK_MS)
    surges = sizes.services * rounds
    for surge in range(surges):
        surging = surge % sizes.services
        _plan_surge(world, sizes, surge, surging)
        for step in range(SURGE_MS // SAMPLE_MS):
            world.run(SAMPLE_MS)
            at_ms = step * SAMPLE_MS
            if at_ms >= WINDOW_MS:
                sampler.sample(service_name(surging))
                if (at_ms + SAMPLE_MS) % WINDOW_MS == 0:
                    sampler.close_window()
    return sampler.figures()


def _plan_surge(world, sizes, surge, surging):
    """Plan the requests of one surge, from all teams at random entries."""
    mean_work_ms = sum(WORK_MS) / 2
    holds_per_ms = sizes.executors * SLOTS / mean_work_ms
    for service in range(sizes.services):
        load = SURGE_LOAD if service == surging else QUIET_LOAD
        count = int(holds_per_ms * load * SURGE_MS)
        for index in range(count):
            team = world.random.randrange(len(sizes.ceilings))
            entry = f"entry-{world.random.randrange(sizes.entries)}"
            request = make_request(
                f"{surge}-{service}-{index}",
                team_name(team),
                service_name(service),
                WAIT_MS,
            )
            at_ms = index * SURGE_MS / count
            world.at(at_ms, world.hand_in, entry, request)
