"""The soak's world: managers as processes, the platform as stand-ins."""

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
STANDBY = "pool-spare"
MACHINES = 8
RACK_SIZE = 4
ROOM_MILLI = 8_000
KEY = "soak-key"
TEAM = "soak"
BEAT_S = 0.5
MOVE_S = 0.5
SERVER_THREADS = 24
SLOWEST_CLOCK = 0.98
QUEUES = {"quotes": POOLS[0], "bookings": POOLS[1]}


@dataclass(slots=True)
class Life:
    """One life of a machine.

    Attributes:
      machine: Name of the machine.
      pool: Pool that it belongs to.
      worker: Its worker.
      server: HTTP server of the worker.
      proxy: What managers connect to.
    """

    machine: str
    pool: str
    worker: JobWorker
    server: Server
    proxy: Proxy


class World:
    """Stand-ins in threads, and manager processes that use them."""

    def __init__(self, folder: Path, managers: int, seed: int):
        """Begin the stand-ins; managers are started one by one.

        Args:
          folder: Takes settings and logs.
          managers: Number of managers.
          seed: Seed of the workers' clocks.
        """
        self._folder = folder
        self._random = random.Random(seed)
        self.store = MetadataStore()
        self._store_server = _serve(self.store.handle)
        store_address = _address(self._store_server)
        self.store_proxies = [Proxy(store_address) for _ in range(managers)]
        pools = (POOLS[0], POOLS[0], POOLS[1], POOLS[1])
        pool_by_machine = {
            f"m{number}": pools[number] if number < len(pools) else STANDBY
            for number in range(MACHINES)
        }
        self.cloud = CloudApi(pool_by_machine, self._move)
        self._cloud_server = _serve(self.cloud.handle)
        self._lock = threading.Lock()
        self.lives_by_machine: dict[str, Life] = {}
        self.workers: list[JobWorker] = []
        self.processes: list[subprocess.Popen | None] = [None] * managers
        self._ended = False
        self._put_manifest()
        for machine, pool in pool_by_machine.items():
            if pool != STANDBY:
                self.begin_life(machine, pool)
        threading.Thread(target=self._beat, daemon=True).start()

    def front(self, index: int) -> str:
        """Tell where callers reach a manager.

        Args:
          index: Number of the manager.
        Returns:
          "host:port".
        """
        return f"{_loopback(index)}:8340"

    def start_manager(self, index: int) -> None:
        """Start a manager's process.

        Args:
          index: Number of the manager.
        """
        settings = self._folder / f"node-{index}.json"
        settings.write_text(json.dumps(self._settings(index)))
        environment = {**os.environ, "SESAMEHALL_BOOT": str(settings)}
        with open(self._folder / f"node-{index}.log", "ab") as log:
            self.processes[index] = subprocess.Popen(
                [sys.executable, "-m", "sesamehall.scripts.manager"],
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
            )

    def signal_manager(self, index: int, number: int) -> None:
        """Send a signal to a manager's process, if it still runs.

        Args:
          index: Number of the manager.
          number: The signal.
        """
        process = self.processes[index]
        if process is not None and process.poll() is None:
            process.send_signal(number)

    def end(self) -> None:
        """End all managers, by their ids, and the stand-ins."""
        self._ended = True
        for index, process in enumerate(self.processes):
            self.signal_manager(index, signal.SIGCONT)
            self.signal_manager(index, signal.SIGKILL)
            if process is not None:
                process.wait()
        servers = [life.server for life in self.lives_by_machine.values()]
        for server in [self._store_server, self._cloud_server, *servers]:
            threading.Thread(target=server.stop, daemon=True).start()

    def begin_life(self, machine: str, pool: str) -> None:
        """Begin a life of a machine; it registers itself.

        Args:
          machine: Name of the machine.
          pool: Pool that it belongs to.
        """
        worker_id = f"i-{machine}-{self._random.getrandbits(32):08x}"
        rate = self._random.uniform(SLOWEST_CLOCK, 1.0)
        worker = JobWorker(worker_id, rate)
        server = _serve(worker.handle)
        proxy = Proxy(_address(server))
        life = Life(machine, pool, worker, server, proxy)
        with self._lock:
            self.lives_by_machine[machine] = life
            self.workers.append(worker)
        self.cloud.set_worker(machine, worker_id)
        self._register(life)

    def end_life(self, machine: str) -> str:
        """End a machine's life, as in a crash.

        Args:
          machine: Name of the machine.
        Returns:
          The pool that it belonged to, or "" where it had no life.
        """
        with self._lock:
            life = self.lives_by_machine.pop(machine, None)
        if life is None:
            return ""
        life.worker.terminate()
        self.cloud.set_worker(machine, "")
        life.proxy.close()
        threading.Thread(target=life.server.stop, daemon=True).start()
        self.store.put("keyed.servers", life.worker.worker_id, b"")
        return life.pool

    def _move(self, machine, pool):
        """Carry a move out."""
        self.end_life(machine)
        time.sleep(MOVE_S)
        if pool != STANDBY and not self._ended:
            self.begin_life(machine, pool)

    def _beat(self):
        """Let workers register again and again, and tasks end in time."""
        while not self._ended:
            with self._lock:
                lives = list(self.lives_by_machine.values())
            for life in lives:
                life.worker.advance()
                self._register(life)
            time.sleep(BEAT_S)

    def _register(self, life):
        if not life.worker.alive:
            return
        rack = int(life.machine[1:]) // RACK_SIZE
        entry = {
            "Service": life.pool,
            "Address": life.proxy.address,
            "Zone": "dc",
            "Version": "v1",
            "Slots": 8,
            "State": "ready",
            "ColdLeftMs": 0,
            "Seq": 1,
            "Capacity": {"Cpu": ROOM_MILLI, "MemMb": 65_536, "Gpu": 0},
            "Labels": ["a", f"r1-{rack}"],
            "born": life.worker.started_ms,
        }
        name = life.worker.worker_id
        self.store.put("keyed.servers", name, json.dumps(entry).encode())

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
            for name, pool in QUEUES.items()
        ]
        services = [{"Name": name} for name in POOLS]
        services.append({"Name": STANDBY, "Standby": True})
        tenant = {"Name": TEAM, "ApiKeys": [KEY], "Weight": 10, "Cap": {}}
        manifest = {
            "Version": 1,
            "Routes": routes,
            "Services": services,
            "Tenants": [tenant],
        }
        self.store.put("keyed.op", "config", json.dumps(manifest).encode())

    def _settings(self, index):
        ip = _loopback(index)
        return {
            "Node": f"edge-{index}",
            "Ip": ip,
            "Zone": "dc",
            "Listen": {
                "Front": self.front(index),
                "Ready": f"{ip}:8343",
            },
            "platform": {"Address": self.store_proxies[index].address},
            "CloudApi": {"Address": _address(self._cloud_server)},
            "Bounds": {"MoveS": MOVE_S},
        }


def _loopback(index: int) -> str:
    """Give a manager a loopback address, another in each soak's process."""
    process = os.getpid()
    return f"127.{1 + process % 250}.{process // 250 % 250}.{index + 1}"


def _serve(answer) -> Server:
    """Serve a stand-in in threads, on a port that is free."""
    server = Server(
        ("127.0.0.1", 0), wsgi_application(answer), numthreads=SERVER_THREADS
    )
    server.shutdown_timeout = 0
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    return server


def _address(server: Server) -> str:
    host, port = server.bind_addr[:2]
    return f"{host}:{port}"
