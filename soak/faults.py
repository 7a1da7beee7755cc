"""Faults that the soak injects from outside the managers, by a seed."""

from collections.abc import Callable
from dataclasses import dataclass
import random
import signal
import threading
import time

from soak.proxy import Passage
from soak.world import World

PAUSE_S = 0.6  # mean time between the beginnings of two faults
SHORTEST_S = 0.2
LONGEST_S = 4.0


@dataclass(frozen=True, slots=True)
class KillManager:
    """A process is killed and started again after a while."""


@dataclass(frozen=True, slots=True)
class StopManager:
    """A process is asked to stop and started again once it has."""


@dataclass(frozen=True, slots=True)
class FreezeManager:
    """A process stands still for a while."""


@dataclass(frozen=True, slots=True)
class KillAllManagers:
    """All processes are killed at once and started again."""


@dataclass(frozen=True, slots=True)
class DisturbStore:
    """One manager's way to the store is disturbed."""

    passage: Passage


@dataclass(frozen=True, slots=True)
class DisturbWorker:
    """The way of all managers to one worker is disturbed."""

    passage: Passage


@dataclass(frozen=True, slots=True)
class ResetStore:
    """One manager's connections to the store are reset."""


@dataclass(frozen=True, slots=True)
class StoreBusy:
    """The store answers nobody."""


@dataclass(frozen=True, slots=True)
class ForgetHistory:
    """The store drops all but the newest record of each key."""


@dataclass(frozen=True, slots=True)
class CrashWorker:
    """A worker crashes; its machine begins a new life after a while."""


Fault = (
    KillManager
    | StopManager
    | FreezeManager
    | KillAllManagers
    | DisturbStore
    | DisturbWorker
    | ResetStore
    | StoreBusy
    | ForgetHistory
    | CrashWorker
)
DISTURBANCES = (Passage.SLOW, Passage.SILENT, Passage.ANSWERS_LOST)
FAULTS: tuple[Fault, ...] = (
    KillManager(),
    StopManager(),
    FreezeManager(),
    FreezeManager(),
    KillAllManagers(),
    ResetStore(),
    StoreBusy(),
    ForgetHistory(),
    CrashWorker(),
    *map(DisturbStore, DISTURBANCES),
    *map(DisturbWorker, DISTURBANCES),
)


class Injector:
    """Injects faults one after the other; they overlap."""

    def __init__(self, world: World, seed: int, log: Callable[[str], None]):
        """Prepare the faults.

        Args:
          world: What they strike.
          seed: Seed of their kinds, times and victims.
          log: Takes a line for each.
        """
        self._world = world
        self._random = random.Random(seed)
        self._log = log
        self._threads: list[threading.Thread] = []
        self._held: set[int] = set()  # managers that a fault has in hand
        self._lock = threading.Lock()

    def inject_for(self, seconds: float) -> None:
        """Inject faults for a while, and wait until all are over.

        Args:
          seconds: How long new ones begin.
        """
        began_s = time.monotonic()
        while time.monotonic() < began_s + seconds:
            fault = self._random.choice(FAULTS)
            for_s = self._random.uniform(SHORTEST_S, LONGEST_S)
            victim = self._random.getrandbits(16)
            at_s = time.monotonic() - began_s
            self._log(f"{at_s:7.3f} {fault} for {for_s:.3f} victim {victim}")
            thread = threading.Thread(
                target=self._strike, args=(fault, for_s, victim), daemon=True
            )
            thread.start()
            self._threads.append(thread)
            time.sleep(self._random.expovariate(1 / PAUSE_S))
        for thread in self._threads:
            thread.join()

    def _strike(self, fault: Fault, for_s: float, victim: int) -> None:
        world = self._world
        index = victim % len(world.processes)
        match fault:
            case KillManager():
                self._with_manager(index, for_s, self._kill)
            case StopManager():
                self._with_manager(index, for_s, self._stop)
            case FreezeManager():
                self._with_manager(index, for_s, self._freeze)
            case KillAllManagers():
                for each in range(len(world.processes)):
                    threading.Thread(
                        target=self._with_manager,
                        args=(each, for_s, self._kill),
                        daemon=True,
                    ).start()
                time.sleep(for_s)
            case DisturbStore(passage):
                _disturb(world.store_proxies[index], passage, for_s)
            case ResetStore():
                world.store_proxies[index].reset()
            case StoreBusy():
                world.store.busy = True
                time.sleep(for_s)
                world.store.busy = False
            case ForgetHistory():
                world.store.compact()
            case DisturbWorker(passage):
                lives = sorted(world.lives_by_machine.items())
                if lives:
                    proxy = lives[victim % len(lives)][1].proxy
                    _disturb(proxy, passage, for_s)
            case CrashWorker():
                machines = sorted(world.lives_by_machine)
                if machines:
                    machine = machines[victim % len(machines)]
                    pool = world.end_life(machine)
                    time.sleep(for_s)
                    if pool:
                        world.begin_life(machine, pool)

    def _with_manager(self, index, for_s, act):
        """Act on a manager that no other fault has in hand."""
        with self._lock:
            if index in self._held:
                return
            self._held.add(index)
        try:
            act(index, for_s)
        finally:
            with self._lock:
                self._held.discard(index)

    def _kill(self, index, for_s):
        self._world.signal_manager(index, signal.SIGKILL)
        self._world.processes[index].wait()
        time.sleep(for_s / 4)
        self._world.start_manager(index)

    def _stop(self, index, for_s):
        self._world.signal_manager(index, signal.SIGTERM)
        self._world.processes[index].wait()
        self._world.start_manager(index)

    def _freeze(self, index, for_s):
        self._world.signal_manager(index, signal.SIGSTOP)
        time.sleep(for_s)
        self._world.signal_manager(index, signal.SIGCONT)


def _disturb(proxy, passage: Passage, for_s: float) -> None:
    proxy.passage = passage
    time.sleep(for_s)
    proxy.passage = Passage.OPEN
    if passage is not Passage.SLOW:
        proxy.reset()
