"""Cluster under test: manager processes on stand-ins for the platform."""

from dataclasses import dataclass
import json
import os
from pathlib import Path
import random
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
MOVE_S = 0.5  # time that a machine takes to move
SERVER_THREADS = 24
SLOWEST_CLOCK_RATE = 0.98
POOL_BY_QUEUE = {"quotes": POOLS[0], "bookings": POOLS[1]}


@dataclass(slots=True)
class Incarnation:
    """A machine from the start of its worker until that stops.

    Attributes:
      machine: Name of the machine.
      pool: Pool of the machine.
      worker: Worker that runs on it.
      server: HTTP server of the worker.
      proxy: Proxy through which managers reach the worker.
    """

    machine: str
    pool: str
    worker: JobWorker
    server: Server
    proxy: Proxy


class Cluster:
    """Stand-ins that run in threads, and manager processes that use them.

    Managers are identified by an index, from 0.  The manager with index 1 has
    the name edge-1 in its settings and logs to node-1.log.

    Attributes:
      store: Stand-in for the metadata store.
      store_proxies: Proxy through which each manager reaches the store.
      cloud: Stand-in for the cloud API.
      incarnations_by_machine: Machines that have a worker.
      workers: All workers that were started, including terminated ones.
      manager_processes: Process of each manager, or None before its start.
    """

    def __init__(self, folder: Path, manager_count: int, seed: int):
        """Start the stand-ins, but no managers.

        Args:
          folder: Folder for settings and logs.
          manager_count: Number of managers.
          seed: Seed for worker identifiers and clock rates.
        """
        self._folder = folder
        self._random = random.Random(seed)
        self.store = MetadataStore()
        self._store_server = _start_server(self.store.handle)
        store_address = _address(self._store_server)
        self.store_proxies = [
            Proxy(store_address) for _ in range(manager_count)
        ]
        pools = (POOLS[0], POOLS[0], POOLS[1], POOLS[1])
        pool_by_machine = {
            f"m{number}": (
                pools[number] if number < len(pools) else STANDBY_POOL
            )
            for number in range(MACHINES)
        }
        self.cloud = CloudApi(pool_by_machine, self._move)
        self._cloud_server = _start_server(self.cloud.handle)
        self._lock = threading.Lock()
        self.incarnations_by_machine: dict[str, Incarnation] = {}
        self.workers: list[JobWorker] = []
        self.manager_processes: list[subprocess.Popen | None] = [
            None
        ] * manager_count
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
        environment = {**os.environ, "SESAMEHALL_BOOT": str(settings)}
        with open(self._folder / f"node-{index}.log", "ab") as log:
            self.manager_processes[index] = subprocess.Popen(
                [sys.executable, "-m", "sesamehall.scripts.manager"],
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

    def _register(self, incarnation):
        if not incarnation.worker.alive:
            return
        rack = int(incarnation.machine[1:]) // RACK_SIZE
        entry = {
            "Service": incarnation.pool,
            "Address": incarnation.proxy.address,
            "Zone": "dc",
            "Version": "v1",
            "Slots": 8,
            "State": "ready",
            "ColdLeftMs": 0,
            "Seq": 1,
            "Capacity": {"Cpu": WORKER_CPU_MILLI, "MemMb": 65_536, "Gpu": 0},
            "Labels": ["a", f"r1-{rack}"],
            "born": incarnation.worker.started_wall_ms,
        }
        worker_id = incarnation.worker.worker_id
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
        return {
            "Node": f"edge-{index}",
            "Ip": ip,
            "Zone": "dc",
            "Listen": {
                "Front": self.front_address(index),
                "Ready": f"{ip}:8343",
            },
            "platform": {"Address": self.store_proxies[index].address},
            "CloudApi": {"Address": _address(self._cloud_server)},
            "Bounds": {"MoveS": MOVE_S},
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
