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
SAMPLE_MS = 25
WINDOW_MS = 1_000
SLOTS = 8
STEP = 0.5  # slots given at once by the plain division


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


def fill_evenly(
    capacities: dict[str, float],
    shares: dict[str, int],
    ceilings: dict[str, int],
    wanted: Counter[tuple[str, str]],
) -> Counter[str]:
    """Divide pools by weighted max-min over the fleet; the plain way.

    Gives small steps, each to the team that has least per share of all that
    could use one somewhere, out of the pool that is wanted least.

    Args:
      capacities: Slots of each service's pool that can be divided.
      shares: Weight of each team.
      ceilings: Most that each team may have over all services.
      wanted: Most that a team can use of a service, by team and service.
    Returns:
      What is due to each team over all services.
    """
    due: Counter[str] = Counter()
    free = dict(capacities)
    open_wants = dict(wanted)
    wants_by_service: Counter[str] = Counter()
    for (_, service), want in wanted.items():
        wants_by_service[service] += want
    while True:
        choices = [
            (
                due[team] / shares[team],
                team,
                wants_by_service[service] / free[service],
                service,
            )
            for (team, service), want in open_wants.items()
            if want > STEP / 2
            and free.get(service, 0) > STEP / 2
            and due[team] < ceilings[team]
        ]
        if not choices:
            return due
        _, team, _, service = min(choices)
        due[team] += STEP
        free[service] -= STEP
        open_wants[team, service] -= STEP
        wants_by_service[service] -= STEP


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
        teams = [team_name(i) for i in range(len(sizes.ceilings))]
        self._ceilings = dict(zip(teams, sizes.ceilings, strict=True))
        self._shares = dict(zip(teams, sizes.shares, strict=True))
        self._running: Counter[tuple[str, str]] = Counter()
        self._received: Counter[str] = Counter()
        self._due: Counter[str] = Counter()
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
        """Look at all queues once.

        Args:
          surging: Name of the service whose queue surges.
        """
        waiting = self._count_waiting()
        total: Counter[str] = Counter()
        for (team, _), running in self._running.items():
            total[team] += running
        self._received.update(total)
        self._due.update(self._divide(waiting))
        self._samples += 1
        eligible = any(
            waiting[team, surging] and total[team] < ceiling
            for team, ceiling in self._ceilings.items()
        )
        if eligible:
            self._full_samples += 1
            self._busy += sum(
                self._running[team, surging] for team in self._ceilings
            )
            self._capacity += self._sizes.executors * SLOTS

    def close_window(self) -> None:
        """Compare received with due over the window, if it was full."""
        if self._samples and self._full_samples > 0.9 * self._samples:
            self._errors.append(self._window_error())
        self._received.clear()
        self._due.clear()
        self._samples = self._full_samples = 0

    def _divide(self, waiting: Counter[tuple[str, str]]) -> Counter[str]:
        """Divide what runs at the moment by weighted max-min."""
        capacities: Counter[str] = Counter()
        wanted = Counter(waiting)
        for key, running in self._running.items():
            capacities[key[1]] += running
            wanted[key] += running
        return fill_evenly(capacities, self._shares, self._ceilings, wanted)

    def _window_error(self) -> float:
        """Compute the distance of received from due, in per cent."""
        distance = sum(
            abs(self._received[team] - self._due[team])
            for team in self._shares
        )
        return 100 * distance / 2 / sum(self._due.values())

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

    def _count_waiting(self) -> Counter[tuple[str, str]]:
        waiting: Counter[tuple[str, str]] = Counter()
        for host in self._world.hosts_by_name.values():
            for service, lines in host.state.entry.queues_by_service.items():
                for team, line in lines.items():
                    count = len(line.urgent) + len(line.normal)
                    waiting[team, service] += count
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
