"""Seeded fault injection into managers, workers and their connections."""

from collections.abc import Callable
from dataclasses import dataclass
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


class FaultInjector:
    """Injects random faults, which may overlap.

    With each fault, another writer leaves an odd entry in the store.

    A fault of a manager's process is skipped if that manager already has one
    in progress.  Where two faults of the store or of a link overlap, the first
    one to end also ends the other.
    """

    def __init__(
        self, cluster: Cluster, seed: int, log: Callable[[str], None]
    ):
        """Initialize the injector.

        Args:
          cluster: Where faults are injected.
          seed: Seed for the types, times and durations of faults and for the
            managers and workers that they affect.
          log: Called with a line of text for each fault.
        """
        self._cluster = cluster
        self._random = random.Random(seed)
        # Drawn apart, so that the faults of a seed stay the same.
        self._entry_random = random.Random(f"odd entries {seed}")
        self._log = log
        self._threads: list[threading.Thread] = []
        self._managers_with_fault: set[int] = set()
        self._lock = threading.Lock()

    def inject_for(self, seconds: float) -> None:
        """Inject faults for a while, then wait until their threads have ended.

        Args:
          seconds: Time during which new faults start.
        """
        started_s = time.monotonic()
        while time.monotonic() < started_s + seconds:
            fault = self._random.choice(FAULTS)
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
            time.sleep(self._random.expovariate(1 / MEAN_INTERVAL_S))
        for thread in self._threads:
            thread.join()

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
