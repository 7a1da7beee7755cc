"""Seeded fault injection into managers, workers and their connections."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime
import random
import signal
import threading
import time

from soak.cluster import Cluster
from soak.oddentries import ODD_ENTRIES
from soak.proxy import ProxyMode

MEAN_INTERVAL_S = 0.6  # between the starts of two faults
MIN_DURATION_S = 0.2
MAX_DURATION_S = 4.0
MIN_CUT_S = 1.0
MAX_CUT_S = 12.0
LEADERS_REPLACED = (1, 3)
NEW_LEADER_TIMEOUT_S = 6.0  # until the next term of a series begins
LEADER_POLL_S = 0.05
TERM_LENGTH_S = (0.1, 1.0)  # of the leaders in a series
WAVE_LENGTH_S = 8
WAVE_MACHINES = 2  # in maintenance at once


@dataclass(frozen=True, slots=True)
class KillManager:
    """Kill a manager and restart it after a delay."""


@dataclass(frozen=True, slots=True)
class StopManager:
    """Stop a manager gracefully and restart it once it has exited."""


@dataclass(frozen=True, slots=True)
class PauseManager:
    """Suspend a manager's process for a while."""


@dataclass(frozen=True, slots=True)
class KillAllManagers:
    """Kill all managers at once and restart them after a delay.

    Managers that have another fault in progress are left out.
    """


@dataclass(frozen=True, slots=True)
class DegradeStoreLink:
    """Degrade the connections of one manager to the store."""

    mode: ProxyMode


@dataclass(frozen=True, slots=True)
class DegradeWorkerLink:
    """Degrade the connections of all managers to one worker."""

    mode: ProxyMode


@dataclass(frozen=True, slots=True)
class ResetStoreConnections:
    """Reset the connections of one manager to the store."""


@dataclass(frozen=True, slots=True)
class FailStore:
    """Let the store reject all requests for a while."""


@dataclass(frozen=True, slots=True)
class CompactStore:
    """Let the store drop all but the newest record of each key."""


@dataclass(frozen=True, slots=True)
class CrashWorker:
    """Crash a worker; its machine starts another after a delay."""


@dataclass(frozen=True, slots=True)
class CutZone:
    """Cut off a zone with its managers and workers.

    Attributes:
      leader: Whether it is the leader's zone, else one drawn at random.
    """

    leader: bool


@dataclass(frozen=True, slots=True)
class ReplaceLeaders:
    """Restart each new leader soon after its term has begun, several times.

    Attributes:
      hold_first: How the leader before these is held up meanwhile.
      signal_number: Signal that ends the leaders.
      restart_others: Whether all other managers restart when the first new
        term has begun, and so have not seen the leader before it.
    """

    hold_first: "CutZone | PauseManager | None"
    signal_number: signal.Signals
    restart_others: bool


@dataclass(frozen=True, slots=True)
class LoseLeaderAnswers:
    """Lose the store's responses to the leader, then deliver them again."""


@dataclass(frozen=True, slots=True)
class DegradeCloudLink:
    """Degrade the connections of all managers to the cloud API."""

    mode: ProxyMode


@dataclass(frozen=True, slots=True)
class MaintainMachines:
    """Ask for the maintenance of all machines in use."""


Fault = (
    KillManager
    | StopManager
    | PauseManager
    | KillAllManagers
    | DegradeStoreLink
    | DegradeWorkerLink
    | ResetStoreConnections
    | FailStore
    | CompactStore
    | CrashWorker
    | CutZone
    | ReplaceLeaders
    | LoseLeaderAnswers
    | DegradeCloudLink
    | MaintainMachines
)
DEGRADED_MODES = (
    ProxyMode.DELAY,
    ProxyMode.STALL,
    ProxyMode.DROP_RESPONSES,
)
FAULTS: tuple[Fault, ...] = (
    KillManager(),
    StopManager(),
    PauseManager(),
    PauseManager(),  # listed twice to be drawn twice as often
    KillAllManagers(),
    ResetStoreConnections(),
    FailStore(),
    CompactStore(),
    CrashWorker(),
    *map(DegradeStoreLink, DEGRADED_MODES),
    *map(DegradeWorkerLink, DEGRADED_MODES),
)
SERIES_WITH_CUT: tuple[Fault, ...] = tuple(
    ReplaceLeaders(CutZone(leader=True), signal_number, restart_others)
    for signal_number in (signal.SIGTERM, signal.SIGKILL)
    for restart_others in (False, True)
)
ZONE_FAULTS: tuple[Fault, ...] = (
    CutZone(leader=True),
    CutZone(leader=False),
    *SERIES_WITH_CUT,
    *(
        ReplaceLeaders(hold_first, signal_number, restart_others=False)
        for hold_first in (PauseManager(), None)
        for signal_number in (signal.SIGTERM, signal.SIGKILL)
    ),
    LoseLeaderAnswers(),
    *map(DegradeCloudLink, DEGRADED_MODES),
    MaintainMachines(),
)


class FaultInjector:
    """Injects random faults, which may overlap.

    With each fault, another writer leaves an odd entry in the store.

    A fault of a manager's process is skipped if that manager already has one
    in progress.  Where two faults of the store or of a link overlap, the first
    one to end also ends the other.
    """

    def __init__(
        self,
        cluster: Cluster,
        seed: int,
        log: Callable[[str], None],
        faults: tuple[Fault, ...] = FAULTS,
        mean_interval_s: float = MEAN_INTERVAL_S,
    ):
        """Initialize the injector.

        Args:
          cluster: Where faults are injected.
          seed: Seed for the types, times and durations of faults and for the
            managers and workers that they affect.
          log: Called with a line of text for each fault.
          faults: Faults to draw from.
          mean_interval_s: Mean time between the starts of two faults.
        """
        self._faults = faults
        self._mean_interval_s = mean_interval_s
        self._cluster = cluster
        self._random = random.Random(seed)
        # Drawn apart, so that the faults of a seed stay the same.
        self._entry_random = random.Random(f"odd entries {seed}")
        self._log = log
        self._threads: list[threading.Thread] = []
        self._managers_with_fault: set[int] = set()
        self._cutting = threading.Lock()
        self._replacing = threading.Lock()
        self._lock = threading.Lock()

    def inject_for(self, seconds: float) -> None:
        """Inject faults for a while, then wait until their threads have ended.

        Args:
          seconds: Time during which new faults start.
        """
        started_s = time.monotonic()
        while time.monotonic() < started_s + seconds:
            fault = self._random.choice(self._faults)
            duration_s = self._random.uniform(MIN_DURATION_S, MAX_DURATION_S)
            # Selects a manager or worker, modulo their number at that time.
            selector = self._random.getrandbits(16)
            at_s = time.monotonic() - started_s
            self._log(
                f"{at_s:7.3f} s {fault} for {duration_s:.3f} s,"
                f" selector {selector}"
            )
            thread = threading.Thread(
                target=self._inject,
                args=(fault, duration_s, selector),
                daemon=True,
            )
            thread.start()
            self._threads.append(thread)
            self._put_odd_entry()
            time.sleep(self._random.expovariate(1 / self._mean_interval_s))
        for thread in self._threads:
            thread.join()

    def _log_step(self, text: str) -> None:
        """Log a step of a fault with the time that managers log."""
        wall = datetime.now().strftime("%H:%M:%S,%f")[:-3]
        self._log(f"  {wall} {text}")

    def _put_odd_entry(self) -> None:
        """Put an odd entry into a topic that other writers reach."""
        entry = self._entry_random.choice(ODD_ENTRIES)
        self._log(f"odd entry {entry.topic} {entry.key!a} {entry.value[:60]}")
        self._cluster.store.put(entry.topic, entry.key, entry.value)

    def _inject(self, fault: Fault, duration_s: float, selector: int) -> None:
        """Inject a fault and end it.

        Args:
          fault: The fault.
          duration_s: How long it lasts, for faults that last.
          selector: Number that selects the affected manager or worker.
        """
        cluster = self._cluster
        index = selector % len(cluster.manager_processes)
        match fault:
            case KillManager():
                self._run_exclusively(index, duration_s, self._kill)
            case StopManager():
                self._run_exclusively(index, duration_s, self._stop)
            case PauseManager():
                self._run_exclusively(index, duration_s, self._pause)
            case KillAllManagers():
                for manager_index in range(len(cluster.manager_processes)):
                    threading.Thread(
                        target=self._run_exclusively,
                        args=(manager_index, duration_s, self._kill),
                        daemon=True,
                    ).start()
                # These threads are not joined; their managers restart after a
                # quarter of this time.
                time.sleep(duration_s)
            case DegradeStoreLink(mode):
                _degrade(cluster.store_proxies[index], mode, duration_s)
            case ResetStoreConnections():
                cluster.store_proxies[index].reset()
            case FailStore():
                cluster.store.busy = True
                time.sleep(duration_s)
                cluster.store.busy = False
            case CompactStore():
                cluster.store.compact()
            case DegradeWorkerLink(mode):
                incarnations = sorted(cluster.incarnations_by_machine.items())
                if incarnations:
                    proxy = incarnations[selector % len(incarnations)][1].proxy
                    _degrade(proxy, mode, duration_s)
            case CrashWorker():
                machines = sorted(cluster.incarnations_by_machine)
                if machines:
                    machine = machines[selector % len(machines)]
                    pool = cluster.stop_worker(machine)
                    time.sleep(duration_s)
                    if pool:
                        cluster.start_worker(machine, pool)
            case CutZone():
                share = (duration_s - MIN_DURATION_S) / (
                    MAX_DURATION_S - MIN_DURATION_S
                )
                cut_s = MIN_CUT_S + share * (MAX_CUT_S - MIN_CUT_S)
                self._cut(fault, selector, threading.Event(), cut_s)
            case ReplaceLeaders():
                self._replace_leaders(fault, selector)
            case LoseLeaderAnswers():
                _, leader = cluster.leader()
                proxy = cluster.store_proxies[leader]
                _degrade(proxy, ProxyMode.DROP_RESPONSES, duration_s)
            case DegradeCloudLink(mode):
                for proxy in cluster.cloud_proxies:
                    proxy.mode = mode
                time.sleep(duration_s)
                for proxy in cluster.cloud_proxies:
                    proxy.mode = ProxyMode.FORWARD
                    proxy.reset()
            case MaintainMachines():
                cluster.start_wave(WAVE_LENGTH_S, WAVE_MACHINES)

    def _cut(self, fault, selector, release, longest_s):
        """Cut off a zone until released, unless another one is cut off."""
        if not self._cutting.acquire(blocking=False):
            return
        try:
            _, leader = self._cluster.leader()
            index = leader if fault.leader else selector
            zone = self._cluster.zone_of_manager(index)
            self._log_step(f"zone {zone} is cut off, leader {leader}")
            self._cluster.cut_zone(zone, cloud=bool(selector & 2))
            release.wait(longest_s)
            self._log_step(f"zone {zone} heals")
            self._cluster.heal_zone(deliver=bool(selector & 1))
        finally:
            self._cutting.release()

    def _replace_leaders(self, fault: ReplaceLeaders, selector: int) -> None:
        """Restart new leaders in turn while the first one is held up."""
        if not self._replacing.acquire(blocking=False):
            return
        rng = random.Random(selector)
        release = threading.Event()
        epoch, first = self._cluster.leader()
        hold = self._hold_leader(fault.hold_first, first, selector, release)
        try:
            if fault.hold_first is None:
                self._end_leader(first, fault.signal_number)
            for number in range(rng.randint(*LEADERS_REPLACED)):
                epoch, leader = self._await_leader_after(epoch)
                if leader < 0:
                    break
                if fault.restart_others and not number:
                    self._restart_others((first, leader))
                time.sleep(rng.uniform(*TERM_LENGTH_S))
                self._end_leader(leader, fault.signal_number)
            time.sleep(rng.uniform(MIN_DURATION_S, MAX_DURATION_S))
        finally:
            release.set()
            hold.join()
            self._replacing.release()

    def _hold_leader(self, hold, leader, selector, release):
        """Hold a leader up in a thread, until released."""

        def run():
            match hold:
                case CutZone():
                    self._cut(hold, selector, release, MAX_CUT_S)
                case PauseManager():
                    self._run_exclusively(
                        leader,
                        MAX_CUT_S,
                        lambda *_: self._pause_until(leader, release),
                    )

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        return thread

    def _await_leader_after(self, epoch: int) -> tuple[int, int]:
        """Wait for the next term; return its epoch and leader, or 0 and -1."""
        deadline_s = time.monotonic() + NEW_LEADER_TIMEOUT_S
        while time.monotonic() < deadline_s:
            latest, leader = self._cluster.leader()
            if latest > epoch:
                return latest, leader
            time.sleep(LEADER_POLL_S)
        return 0, -1

    def _restart_others(self, spared: tuple[int, ...]) -> None:
        """Kill and restart all managers but some, without waiting."""
        for index in range(len(self._cluster.manager_processes)):
            if index not in spared:
                threading.Thread(
                    target=self._run_exclusively,
                    args=(index, 0.0, self._kill),
                    daemon=True,
                ).start()

    def _end_leader(self, index, signal_number):
        self._log_step(f"leader {index} receives signal {signal_number}")
        end = self._stop if signal_number == signal.SIGTERM else self._kill
        self._run_exclusively(index, 0.0, end)

    def _run_exclusively(self, index, duration_s, inject):
        """Inject a fault unless the manager already has one in progress."""
        with self._lock:
            if index in self._managers_with_fault:
                return
            self._managers_with_fault.add(index)
        try:
            inject(index, duration_s)
        finally:
            with self._lock:
                self._managers_with_fault.discard(index)

    def _kill(self, index, duration_s):
        self._cluster.signal_manager(index, signal.SIGKILL)
        self._cluster.manager_processes[index].wait()
        time.sleep(duration_s / 4)  # a short outage, at most a second
        self._cluster.start_manager(index)

    def _stop(self, index, duration_s):
        self._cluster.signal_manager(index, signal.SIGTERM)
        self._cluster.manager_processes[index].wait()
        self._cluster.start_manager(index)

    def _pause_until(self, index, release):
        self._log_step(f"leader {index} is suspended")
        self._cluster.signal_manager(index, signal.SIGSTOP)
        release.wait(MAX_CUT_S)
        self._log_step(f"manager {index} resumes")
        self._cluster.signal_manager(index, signal.SIGCONT)

    def _pause(self, index, duration_s):
        self._cluster.signal_manager(index, signal.SIGSTOP)
        time.sleep(duration_s)
        self._cluster.signal_manager(index, signal.SIGCONT)


def _degrade(proxy, mode: ProxyMode, duration_s: float) -> None:
    """Degrade a proxy's connections for a while."""
    proxy.mode = mode
    time.sleep(duration_s)
    proxy.mode = ProxyMode.FORWARD
    # Calls that stalled or whose responses were dropped fail immediately,
    # instead of waiting for a timeout.  A delay drops nothing.
    if mode is not ProxyMode.DELAY:
        proxy.reset()
