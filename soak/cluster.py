"""Cluster under test: manager processes on stand-ins for the platform."""

from dataclasses import dataclass
import json
import os
from pathlib import Path
import random
import re
import signal
import subprocess
import sys
import threading
import time

from cheroot.wsgi import Server

from soak.proxy import Proxy
from standins.cloudapi import CloudApi
from standins.jobworker import JobWorker
from standins.metadatastore import MetadataStore
from standins.serving import wsgi_application

POOLS = ("pool-a", "pool-b")
STANDBY_POOL = "pool-spare"
MACHINES = 8
RACK_SIZE = 4
WORKER_CPU_MILLI = 8_000
API_KEY = "soak-key"
TEAM = "soak"
HEARTBEAT_S = 0.5  # between renewals of the workers' registrations
MOVE_S = 0.5  # time that a machine's move or maintenance takes
SERVER_THREADS = 24
SLOWEST_CLOCK_RATE = 0.98
EXPIRED_AFTER_S = 3 * HEARTBEAT_S  # without a renewal, a registration goes
BOUND_MANAGER = Path(__file__).with_name("boundmanager.py")
TERM_BEGUN = re.compile(rb" 631 leadership begun epoch=(\d+)")
POOL_BY_QUEUE = {"quotes": POOLS[0], "bookings": POOLS[1]}


@dataclass(frozen=True, slots=True)
class Layout:
    """What the cluster consists of.

    Attributes:
      managers: Number of managers.
      zones: Names of the zones; managers and machines are spread over them in
        turn.
      cores: Processor cores that the settings of each manager state, or empty
        to state none.
      page_items: Most records in a page of the store's lists.
      drain_bounds: Limits of starts after a drain request in the managers'
        settings, or empty for none.
      tree: Work tree from which the managers run.
    """

    managers: int = 3
    zones: tuple[str, ...] = ("dc",)
    cores: tuple[float, ...] = ()
    page_items: int = 500
    drain_bounds: tuple[tuple[str, int], ...] = ()
    tree: Path = Path(__file__).parent.parent


@dataclass(slots=True)
class Incarnation:
    """A machine from the start of its worker until that stops.

    Attributes:
      machine: Name of the machine.
      pool: Pool of the machine.
      worker: Worker that runs on it.
      server: HTTP server of the worker.
      proxy: Proxy through which managers reach the worker.
      registered_s: Monotonic time of the latest renewal of its registration,
        or 0 if it has none.
    """

    machine: str
    pool: str
    worker: JobWorker
    server: Server
    proxy: Proxy
    registered_s: float = 0.0


class Cluster:
    """Stand-ins that run in threads, and manager processes that use them.

    Managers are identified by an index, from 0.  The manager with index 1 has
    the name edge-1 in its settings and logs to node-1.log.

    Attributes:
      store: Stand-in for the metadata store.
      store_proxies: Proxy through which each manager reaches the store.
      cloud_proxies: Proxy through which each manager reaches the cloud API.
      layout: What the cluster consists of.
      cloud: Stand-in for the cloud API.
      incarnations_by_machine: Machines that have a worker.
      workers: All workers that were started, including terminated ones.
      manager_processes: Process of each manager, or None before its start.
    """

    def __init__(self, folder: Path, layout: Layout, seed: int):
        """Start the stand-ins, but no managers.

        Args:
          folder: Folder for settings and logs.
          layout: What the cluster consists of.
          seed: Seed for worker identifiers and clock rates.
        """
        self._folder = folder
        self._random = random.Random(seed)
        self.layout = layout
        self.store = MetadataStore()
        self.store.page_items = layout.page_items
        self._store_server = _start_server(self.store.handle)
        store_address = _address(self._store_server)
        self.store_proxies = [
            Proxy(store_address) for _ in range(layout.managers)
        ]
        pools = (POOLS[0], POOLS[0], POOLS[1], POOLS[1])
        pool_by_machine = {
            f"m{number}": (
                pools[number] if number < len(pools) else STANDBY_POOL
            )
            for number in range(MACHINES)
        }
        self.cloud = CloudApi(
            pool_by_machine,
            self._move,
            self.stop_worker,
            {name: self._zone_of_machine(name) for name in pool_by_machine},
        )
        self._cloud_server = _start_server(self.cloud.handle)
        cloud_address = _address(self._cloud_server)
        self.cloud_proxies = [
            Proxy(cloud_address) for _ in range(layout.managers)
        ]
        self._lock = threading.Lock()
        self.incarnations_by_machine: dict[str, Incarnation] = {}
        self.workers: list[JobWorker] = []
        self.manager_processes: list[subprocess.Popen | None] = [
            None
        ] * layout.managers
        self._cut_zone = ""
        self._log_positions = [0] * layout.managers
        self._last_terms = [0] * layout.managers
        self._waves = 0
        self._closed = False
        self._put_manifest()
        for machine, pool in pool_by_machine.items():
            if pool != STANDBY_POOL:
                self.start_worker(machine, pool)
        threading.Thread(target=self._send_heartbeats, daemon=True).start()

    def front_address(self, index: int) -> str:
        """Return the address at which clients reach a manager.

        Args:
          index: Index of the manager.
        Returns:
          "host:port".
        """
        return f"{_loopback_ip(index)}:8340"

    def start_manager(self, index: int) -> None:
        """Start the process of a manager.

        Args:
          index: Index of the manager.
        """
        settings = self._folder / f"node-{index}.json"
        settings.write_text(json.dumps(self._settings(index)))
        # SETTINGS_PATH_VARIABLE in sesamehall/platform/listening.py
        environment = {
            **os.environ,
            "SESAMEHALL_BOOT": str(settings),
            "PYTHONPATH": str(self.layout.tree),
        }
        with open(self._folder / f"node-{index}.log", "ab") as log:
            self.manager_processes[index] = subprocess.Popen(
                [sys.executable, str(BOUND_MANAGER), _loopback_ip(index)],
                cwd=self.layout.tree,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
            )

    def signal_manager(self, index: int, signal_number: int) -> None:
        """Send a signal to the process of a manager if it still runs.

        Args:
          index: Index of the manager.
          signal_number: Number of the signal.
        """
        process = self.manager_processes[index]
        if process is not None and process.poll() is None:
            process.send_signal(signal_number)

    def leader(self) -> tuple[int, int]:
        """Find the manager whose term began last, from the logs.

        Returns:
          Epoch and index of the manager, or (0, -1) before the first term.
        """
        for index in range(self.layout.managers):
            path = self._folder / f"node-{index}.log"
            if not path.exists():
                continue
            with open(path, "rb") as log:
                log.seek(self._log_positions[index])
                text = log.read()
            complete = text[: text.rfind(b"\n") + 1]
            self._log_positions[index] += len(complete)
            epochs = map(int, TERM_BEGUN.findall(complete))
            self._last_terms[index] = max(
                epochs, default=self._last_terms[index]
            )
        epoch = max(self._last_terms)
        return epoch, self._last_terms.index(epoch) if epoch else -1

    def zone_of_manager(self, index: int) -> str:
        """Return the zone of a manager.

        Args:
          index: Index of the manager.
        Returns:
          Name of the zone.
        """
        return self.layout.zones[index % len(self.layout.zones)]

    def cut_zone(self, zone: str, cloud: bool = True) -> None:
        """Cut a zone's managers and workers off from the store and the rest.

        Args:
          zone: Name of the zone; an earlier cut must have ended.
          cloud: Whether its managers are cut off from the cloud API too.
        """
        self._cut_zone = zone
        for index, proxy in self._platform_proxies(zone, cloud):
            proxy.cut_sources = frozenset((_loopback_ip(index),))
        with self._lock:
            for incarnation in self.incarnations_by_machine.values():
                self._apply_cut(incarnation)

    def heal_zone(self, deliver: bool) -> None:
        """End the cut of a zone.

        Args:
          deliver: Whether requests that the cut has held up arrive now,
            instead of being lost.
        """
        proxies = [
            proxy
            for _, proxy in self._platform_proxies(self._cut_zone, cloud=True)
        ]
        self._cut_zone = ""
        with self._lock:
            proxies += [
                incarnation.proxy
                for incarnation in self.incarnations_by_machine.values()
            ]
        for proxy in proxies:
            if not deliver:
                proxy.reset(proxy.cut_sources)
            proxy.cut_sources = frozenset()

    def start_wave(self, within_s: int, max_unavailable: int) -> None:
        """Ask for the maintenance of all machines that have a worker.

        Args:
          within_s: Time until its end, in seconds.
          max_unavailable: Most machines in maintenance at once.
        """
        with self._lock:
            machines = sorted(self.incarnations_by_machine)
            self._waves += 1
            number = self._waves
        self.cloud.add_wave(number, tuple(machines))
        wave = {
            "Wave": number,
            "Machines": machines,
            "CompleteByS": within_s,
            "Cap": max_unavailable,
        }
        self.store.put("keyed.op", f"wave/{number}", json.dumps(wave).encode())

    def put_drain(self, zone: str, value: bytes) -> None:
        """Write the request to drain a zone, as an operator does.

        Args:
          zone: Name of the zone.
          value: Value of the record; an empty value takes the request back.
        """
        self.store.put("keyed.op", f"evacuate/{zone}", value)

    def zone_of_worker(self, worker_id: str) -> str:
        """Return the zone of a worker.

        Args:
          worker_id: Its identifier, which contains the name of its machine.
        Returns:
          Name of the zone.
        """
        return self._zone_of_machine(worker_id.split("-")[1])

    def close(self) -> None:
        """Kill all managers and stop the HTTP servers of the stand-ins.

        The servers stop in threads that are not awaited; the proxies stay open
        until this process exits.
        """
        self._closed = True
        for index, process in enumerate(self.manager_processes):
            self.signal_manager(index, signal.SIGCONT)
            self.signal_manager(index, signal.SIGKILL)
            if process is not None:
                process.wait()
        servers = [
            item.server for item in self.incarnations_by_machine.values()
        ]
        for server in [self._store_server, self._cloud_server, *servers]:
            threading.Thread(target=server.stop, daemon=True).start()

    def start_worker(self, machine: str, pool: str) -> None:
        """Start a worker on a machine and register it in the store.

        Args:
          machine: Name of the machine.
          pool: Pool of the machine.
        """
        worker_id = f"i-{machine}-{self._random.getrandbits(32):08x}"
        rate = self._random.uniform(SLOWEST_CLOCK_RATE, 1.0)
        worker = JobWorker(worker_id, rate)
        server = _start_server(worker.handle)
        proxy = Proxy(_address(server))
        incarnation = Incarnation(machine, pool, worker, server, proxy)
        with self._lock:
            self._apply_cut(incarnation)
            self.incarnations_by_machine[machine] = incarnation
            self.workers.append(worker)
        self.cloud.set_worker(machine, worker_id)
        self._register(incarnation)

    def stop_worker(self, machine: str) -> str:
        """Stop the worker of a machine abruptly and delete its registration.

        Args:
          machine: Name of the machine.
        Returns:
          Pool of the machine, or "" if it had no worker.
        """
        with self._lock:
            incarnation = self.incarnations_by_machine.pop(machine, None)
        if incarnation is None:
            return ""
        incarnation.worker.terminate()
        self.cloud.set_worker(machine, "")
        incarnation.proxy.close()
        threading.Thread(target=incarnation.server.stop, daemon=True).start()
        self.store.put("keyed.servers", incarnation.worker.worker_id, b"")
        return incarnation.pool

    def _move(self, machine, pool):
        """Move a machine to another pool, as the cloud API requests."""
        self.stop_worker(machine)
        time.sleep(MOVE_S)
        if pool != STANDBY_POOL and not self._closed:
            self.start_worker(machine, pool)

    def _send_heartbeats(self):
        """Renew registrations and end due runs of all workers periodically."""
        while not self._closed:
            with self._lock:
                incarnations = list(self.incarnations_by_machine.values())
            for incarnation in incarnations:
                incarnation.worker.end_due_runs()
                self._register(incarnation)
            time.sleep(HEARTBEAT_S)

    def _platform_proxies(
        self, zone: str, cloud: bool
    ) -> list[tuple[int, Proxy]]:
        """List the proxies of a zone's managers, with their indexes."""
        return [
            (index, proxy)
            for proxies in (
                self.store_proxies,
                self.cloud_proxies if cloud else (),
            )
            for index, proxy in enumerate(proxies)
            if self.zone_of_manager(index) == zone
        ]

    def _zone_of_machine(self, machine: str) -> str:
        return self.layout.zones[int(machine[1:]) % len(self.layout.zones)]

    def _apply_cut(self, incarnation: Incarnation) -> None:
        """Cut a worker off from the managers beyond the cut, if any."""
        inside = self._zone_of_machine(incarnation.machine) == self._cut_zone
        incarnation.proxy.cut_sources = frozenset(
            _loopback_ip(index)
            for index in range(self.layout.managers)
            if self._cut_zone
            and inside != (self.zone_of_manager(index) == self._cut_zone)
        )

    def _register(self, incarnation):
        """Renew a registration; delete it after too long a cut."""
        if not incarnation.worker.alive:
            return
        zone = self._zone_of_machine(incarnation.machine)
        worker_id = incarnation.worker.worker_id
        now_s = time.monotonic()
        if zone == self._cut_zone:
            if 0 < incarnation.registered_s < now_s - EXPIRED_AFTER_S:
                self.store.put("keyed.servers", worker_id, b"")
                incarnation.registered_s = 0.0
            return
        incarnation.registered_s = now_s
        rack = int(incarnation.machine[1:]) // RACK_SIZE
        entry = {
            "Service": incarnation.pool,
            "Address": incarnation.proxy.address,
            "Zone": zone,
            "Version": "v1",
            "Slots": 8,
            "State": "ready",
            "ColdLeftMs": 0,
            "Seq": 1,
            "Capacity": {"Cpu": WORKER_CPU_MILLI, "MemMb": 65_536, "Gpu": 0},
            "Labels": ["a", f"r1-{rack}"],
            "born": incarnation.worker.started_wall_ms,
        }
        self.store.put("keyed.servers", worker_id, json.dumps(entry).encode())

    def _put_manifest(self):
        routes = [
            {
                "Name": name,
                "Host": "soak.example",
                "PathPrefix": f"/{name}/",
                "Service": pool,
                "Attempts": 4,
                "Stretch": 1.6,
                "TargetLatencyMs": 600,
            }
            for name, pool in POOL_BY_QUEUE.items()
        ]
        services = [{"Name": name} for name in POOLS]
        services.append({"Name": STANDBY_POOL, "Standby": True})
        tenant = {"Name": TEAM, "ApiKeys": [API_KEY], "Weight": 10, "Cap": {}}
        manifest = {
            "Version": 1,
            "Routes": routes,
            "Services": services,
            "Tenants": [tenant],
        }
        self.store.put("keyed.op", "config", json.dumps(manifest).encode())

    def _settings(self, index):
        ip = _loopback_ip(index)
        cores = self.layout.cores
        limits = (
            {"Limits": {"CpuShare": 1, "Cores": cores[index]}} if cores else {}
        )
        return {
            **limits,
            "Node": f"edge-{index}",
            "Ip": ip,
            "Zone": self.zone_of_manager(index),
            "Listen": {
                "Front": self.front_address(index),
                "Ready": f"{ip}:8343",
            },
            "platform": {"Address": self.store_proxies[index].address},
            "CloudApi": {"Address": self.cloud_proxies[index].address},
            "InternalPorts": [7000, 7015],
            "Bounds": {
                "MoveS": MOVE_S,
                "UpkeepS": MOVE_S,
                **dict(self.layout.drain_bounds),
            },
        }


def _loopback_ip(index: int) -> str:
    """Return the loopback address of a manager of this soak process.

    It depends on the process ID, so that concurrent soaks do not collide on
    the managers' fixed ports.
    """
    pid = os.getpid()
    return f"127.{1 + pid % 250}.{pid // 250 % 250}.{index + 1}"


def _start_server(handle) -> Server:
    """Serve a stand-in in background threads on a free port."""
    server = Server(
        ("127.0.0.1", 0), wsgi_application(handle), numthreads=SERVER_THREADS
    )
    server.shutdown_timeout = 0
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    return server


def _address(server: Server) -> str:
    host, port = server.bind_addr[:2]
    return f"{host}:{port}"
