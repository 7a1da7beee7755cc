"""A small deployment: managers as processes, stand-ins for all else."""

from collections.abc import Callable
import http.client
import json
import os
from pathlib import Path
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

from review.harness3.executor import Executor
from review.harness3.httpserver import json_reply
from review.harness3.httpserver import Reply
from review.harness3.httpserver import Request
from review.harness3.httpserver import StandInServer
from standins.metadatastore import MetadataStore

ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.5
KEY = "key-of-the-tenant"
HOST = "hall.example"
MANAGER = ("-m", "sesamehall.scripts.manager")  # as in deploy/system.toml
BOUNDS = {
    "ContactMs": 3_000,
    "AckMs": 4_000,
    "GraceS": 6,
    "ConfigApplyMs": 2_000,
    "MaxStretchMs": 5_000,
    "QuotaOverrun": 0.1,
    "HoldMaxMs": 6_000,
    "StopMs": 200,
    "GangMs": 3_000,
    "cancel_ms": 3_000,
    "status_s": 120,
    "NoticeMs": 4_500,
    "MoveS": 1.5,
    "UpkeepS": 2,
    "LeaseMs": 3_000,
    "RequireFence": False,
}


class CouldNotRun(Exception):
    """The deployment did not come up, so the case shows nothing."""


class Place:
    """Where an executor runs: its machine, service, zone and address."""

    def __init__(self, executor_id, service, zone, rack):
        """Describe a place; `Lab.start_executor` starts a life there."""
        self.executor_id = executor_id
        self.service = service
        self.zone = zone
        self.rack = rack
        self.life: Executor | None = None
        self.server: StandInServer | None = None
        self.port = 0
        self.registers = True


class Advice:
    """The advice service: every executor may run every step.

    It answers one call after the other, since only the leader calls it.
    """

    def __init__(self, lab, decide_ms: int, interval_ms: int, valid_ms: int):
        """Start the service."""
        self._lab = lab
        self._decide_s = decide_ms / 1_000
        self._interval_s = interval_ms / 1_000
        self._valid_ms = valid_ms
        self._lock = threading.Lock()
        self._valid_until_s: dict[tuple[str, str, str], float] = {}
        self.address = StandInServer(self._advise).address

    def _advise(self, request: Request) -> Reply:
        call = json.loads(request.body)
        step, workers = call["Step"], call["Workers"]
        with self._lock:
            time.sleep(self._decide_s + self._interval_s * len(workers))
            until_s = time.monotonic() + self._valid_ms / 1_000
            good = []
            for executor_id in workers:
                ticket = f"{random.getrandbits(32):08x}"
                self._valid_until_s[step, executor_id, ticket] = until_s
                good.append([executor_id, ticket])
        self._lab.note(f"advice for {step} on {len(workers)} executors")
        return json_reply({"Good": good, "ValidMs": self._valid_ms})

    def allows(self, executor_id: str, order: dict) -> bool:
        """Check the ticket of a start."""
        step = order["Task"].rpartition(".")[0]
        key = (step, executor_id, order.get("Ticket", ""))
        return time.monotonic() < self._valid_until_s.get(key, 0.0)


class Lab:
    """The deployment of one script."""

    def __init__(self, record: Path, zones: tuple[str, ...]):
        """Start the store and the cloud API; a manager for each zone."""
        # A script that is ended early ends its processes too.
        signal.signal(signal.SIGTERM, _exit_early)
        self.zones = zones
        self.store = MetadataStore()
        self.places: dict[str, Place] = {}
        self.processes: list[subprocess.Popen | None] = [None] * len(zones)
        self.store_open = [True] * len(zones)
        self.on_start: Callable[[Executor, object], None] | None = None
        self.active: dict[int, tuple[Executor, object]] = {}
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._record = open(record, "w", encoding="utf-8")
        self._lock = threading.RLock()
        self._began_s = time.monotonic()
        self._closed = False
        self._ips = _free_ips(len(zones))
        self._stores = [
            StandInServer(self._store_handler(index))
            for index in range(len(zones))
        ]
        self._cloud = StandInServer(self._list_machines)
        self.advice: Advice | None = None
        threading.Thread(target=self._beat, daemon=True).start()

    # What is recorded.

    def note(self, text: str) -> None:
        """Write a line with the time to the record."""
        with self._lock:
            if not self._record.closed:
                at_s = time.monotonic() - self._began_s
                self._record.write(f"{at_s:8.3f} {text}\n")

    def started(self, life: Executor, run) -> None:
        """Record the start of a run."""
        with self._lock:
            self.active[id(run)] = (life, run)
        self.note(
            f"start {run.task} run={run.number} fence={run.token}"
            f" on={life.executor_id}"
        )
        if self.on_start is not None:
            self.on_start(life, run)

    def ended(self, life: Executor, run) -> None:
        """Record the end of a run."""
        with self._lock:
            self.active.pop(id(run), None)
        self.note(
            f"end   {run.task} run={run.number} {run.end}"
            f" on={life.executor_id}"
        )

    def running(self) -> list[tuple[Executor, object]]:
        """List the runs at work now, without those that are due to end."""
        now_s = time.monotonic()
        with self._lock:
            rows = list(self.active.values())
        return [
            (life, run)
            for life, run in rows
            if life.alive
            and run.started_s + run.work_s > now_s
            and life.lease_end_s() > now_s
        ]

    # Executors.

    def add_executor(self, place: Place, capacity: dict) -> None:
        """Add a place and start its first life."""
        self.places[place.executor_id] = place
        self.start_executor(place, capacity)

    def start_executor(
        self, place: Place, capacity: dict, registers_after_s: float = 0.0
    ) -> None:
        """Start a life at a place; it serves, and registers.

        A later life registers with its first heartbeat, `registers_after_s`
        after its start.
        """
        life = Executor(place.executor_id, capacity, self)
        with self._lock:
            place.life = life
        if not place.port:
            place.server = StandInServer(life.handle)
            place.port = place.server.port
            self.register(place)
        else:
            place.registers = False
            place.server = StandInServer(life.handle, port=place.port)
        self.note(
            f"executor {place.executor_id} starts, capacity"
            f" {capacity['Cpu']}, born {life.born_ms}"
        )
        if not place.registers:
            time.sleep(registers_after_s)
            place.registers = True
            self.register(place)
            self.note(f"executor {place.executor_id} has registered")

    def crash_executor(self, place: Place) -> None:
        """Crash the life at a place; it says nothing."""
        with self._lock:
            life, server = place.life, place.server
            place.life = None
        life.crash()
        server.close()
        self.note(f"executor {place.executor_id} crashes")

    def register(self, place: Place) -> None:
        """Write an executor's registration."""
        life = place.life
        if life is None or not place.registers:
            return
        entry = {
            "Service": place.service,
            "Address": f"127.0.0.1:{place.port}",
            "Zone": place.zone,
            "Version": "v1",
            "Slots": 8,
            "State": "ready",
            "ColdLeftMs": 0,
            "Seq": int((time.monotonic() - self._began_s) * 1_000),
            "Capacity": life.capacity,
            "Labels": ["kind-a", place.rack],
            "born": life.born_ms,
        }
        data = json.dumps(entry).encode()
        self.store.put("keyed.servers", place.executor_id, data)

    def _beat(self):
        beaten_s = 0.0
        while not self._closed:
            with self._lock:
                places = list(self.places.values())
            for place in places:
                if place.life is not None:
                    place.life.settle()
            if time.monotonic() - beaten_s >= HEARTBEAT_S:
                beaten_s = time.monotonic()
                for place in places:
                    self.register(place)
            time.sleep(0.02)

    # The platform.

    def put_manifest(self, manifest: dict) -> None:
        """Write a manifest, as the operator does."""
        data = json.dumps(manifest).encode()
        self.store.put("keyed.op", "config", data)
        self.note(f"manifest version {manifest['Version']}")

    def _store_handler(self, index):
        def handle(request: Request) -> Reply:
            if not self._wait_open(index):
                return Reply(0)
            reply = self.store.handle(request)
            if not self.store_open[index]:
                self._wait_open(index)
                return Reply(0)  # the cut has swallowed the response
            return Reply(reply.status, reply.body)

        return handle

    def _wait_open(self, index) -> bool:
        """Hold a request up while its manager is cut off from the store."""
        if self.store_open[index]:
            return True
        while not self.store_open[index] and not self._closed:
            time.sleep(0.05)
        return False

    def _list_machines(self, request: Request) -> Reply:
        if request.path != "/machines":
            return json_reply({"Reason": "busy"}, 409)
        with self._lock:
            rows = [
                {
                    "Machine": f"machine-{place.executor_id}",
                    "Pool": place.service,
                    "State": "up",
                    "Zone": place.zone,
                    "Labels": ["kind-a", place.rack],
                    "Capacity": {},
                    "Id": place.executor_id,
                }
                for place in self.places.values()
            ]
        return json_reply({"Machines": rows})

    # Managers.

    def start_manager(self, index: int) -> None:
        """Start the manager of a zone with the deploy file's command."""
        ip = self._ips[index]
        zone = self.zones[index]
        settings = {
            "Node": f"edge-{zone}-1",
            "Role": "manager",
            "MachineClass": "edge",
            "Serves": ["edge"],
            "Ip": ip,
            "Zone": zone,
            "Region": "region",
            "Zones": dict.fromkeys(self.zones, "region"),
            "Listen": {"Front": f"{ip}:8340", "Ready": f"{ip}:8343"},
            "InternalPorts": [7_000, 7_015],
            "Bootstrap": True,
            "Limits": {"CpuShare": 0.537, "Cores": 2, "MemoryMb": 300},
            "HeartbeatMs": int(HEARTBEAT_S * 1_000),
            "Bounds": BOUNDS,
            "ControlMode": "rpc",
            "platform": {
                "Address": self._stores[index].address,
                "form": "log",
            },
            "CloudApi": {"Address": self._cloud.address},
        }
        if self.advice is not None:
            settings["Advice"] = self.advice.address
        path = self._folder / f"node-{index}.json"
        path.write_text(json.dumps(settings))
        paths = [str(ROOT / "target" / "deps"), str(ROOT)]
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": os.pathsep.join(paths),
            "PYTHONDONTWRITEBYTECODE": "1",
            "SESAMEHALL_BOOT": str(path),
        }
        with open(self._folder / f"node-{index}.log", "ab") as log:
            self.processes[index] = subprocess.Popen(
                [sys.executable, *MANAGER],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.note(f"manager {index} starts in {zone}")

    def start_managers(self, timeout_s: float = 20.0) -> None:
        """Start all managers and wait until they are ready."""
        for index in range(len(self.zones)):
            self.start_manager(index)
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            if all(map(self.is_ready, range(len(self.zones)))):
                return
            time.sleep(0.1)
        raise CouldNotRun("the managers are not ready")

    def is_ready(self, index: int) -> bool:
        """Check a manager's readiness as the platform does."""
        try:
            connection = http.client.HTTPConnection(
                self._ips[index], 8343, timeout=1
            )
            connection.request("GET", "/ready")
            status = connection.getresponse().status
            connection.close()
        except OSError:
            return False
        return status == 200

    def log_of(self, index: int) -> str:
        """Return what a manager has logged."""
        path = self._folder / f"node-{index}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    def leader(self) -> tuple[int, int]:
        """Return index and epoch of the leader, from the newest record."""
        best = (-1, 0)
        for index in range(len(self.zones)):
            for line in self.log_of(index).splitlines():
                if " 631 " in line and "epoch=" in line:
                    epoch = int(line.partition("epoch=")[2].split()[0])
                    if epoch > best[1]:
                        best = (index, epoch)
        return best

    # Clients.

    def call(
        self,
        index: int,
        method: str,
        path: str,
        body: dict | None = None,
        key: str = KEY,
    ) -> tuple[int, dict]:
        """Send a client's call; status 0 means that there is no answer."""
        data = None if body is None else json.dumps(body).encode()
        headers = {"Host": HOST, "Authorization": f"Token {key}"}
        try:
            connection = http.client.HTTPConnection(
                self._ips[index], 8340, timeout=3
            )
            connection.request(method, path, data, headers)
            response = connection.getresponse()
            status, content = response.status, response.read()
            connection.close()
        except (OSError, http.client.HTTPException):
            status, content = 0, b"{}"
        self.note(f"call {method} {path} at {index} -> {status}")
        try:
            return status, json.loads(content or b"{}")
        except ValueError:
            return status, {}

    def submit(
        self, index: int, prefix: str, job_id: str, job: dict, key: str = KEY
    ) -> bool:
        """Submit a job until a manager accepts it."""
        for attempt in range(5):
            at = (index + attempt) % len(self.zones)
            status, _ = self.call(at, "POST", f"{prefix}{job_id}", job, key)
            if status == 200:
                return True
            time.sleep(0.2)
        return False

    def close(self, keep: Path | None = None) -> None:
        """End all processes that were started, and remove the folder."""
        self._closed = True
        for process in self.processes:
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()
        if keep is not None:
            keep.mkdir(parents=True, exist_ok=True)
            for log in self._folder.glob("*.log"):
                shutil.copy(log, keep)
        with self._lock:
            self._record.close()
        shutil.rmtree(self._folder, ignore_errors=True)


def _exit_early(number, frame):
    raise SystemExit(2)


def new_job_id() -> str:
    """Choose the identifier of a job."""
    return f"{random.getrandbits(64):016x}"


def _free_ips(count: int) -> list[str]:
    """Choose loopback addresses with the managers' ports free."""
    ips = []
    for _ in range(1_000):
        ip = ".".join(
            ["127"] + [str(random.randrange(2, 250)) for _ in range(3)]
        )
        try:
            for port in (8340, 8343, 7_000, 7_001):
                with socket.socket() as probe:
                    probe.bind((ip, port))
        except OSError:
            continue
        ips.append(ip)
        if len(ips) == count:
            return ips
    raise CouldNotRun("no free addresses")
