"""A small deployment: real managers, with stand-ins of all that they call.

The store, the workers and the cloud API are the project's own stand-ins. They
run in this process; each manager is a process of its own, started with the
command of the deploy file. All addresses are loopback addresses.
"""

from collections.abc import Callable
from http.client import HTTPConnection
from http.client import HTTPException
import json
import os
from pathlib import Path
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib

from cheroot.wsgi import Server

from soak.proxy import Proxy
from standins.cloudapi import CloudApi
from standins.jobworker import JobWorker
from standins.metadatastore import MetadataStore
from standins.serving import wsgi_application

ROOT = Path(__file__).resolve().parents[2]
HOST = "jobs.example"
QUEUE = "quick"
POOL = "pool-a"
TEAM = "team-1"
API_KEY = "key-1"
DEFAULT_CORES = 1.07  # of a machine of the sheets
STORE_LATENCY_S = 0.004  # the sheets say 4 ms an answer
HEARTBEAT_S = 1.5
CALL_TIMEOUT_S = 3.0  # time limit of the sheets' requests
SERVER_THREADS = 64
MAX_CHANNELS = 64  # of an executor on the sheets
WORKER_CPU_MILLI = 16_000
BOUNDS = {
    "ContactMs": 3000,
    "AckMs": 4000,
    "GraceS": 6,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "HoldMaxMs": 6000,
    "StopMs": 200,
    "GangMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "finish_s": 14,
    "status_s": 120,
    "NoticeMs": 4500,
    "MoveS": 1.5,
    "UpkeepS": 2,
    "LeaseMs": 3000,
}


TERM_BEGUN = re.compile(r" 631 leadership begun epoch=(\d+)")


class CannotRunError(Exception):
    """The case could not run, whatever the managers do."""


class Record:
    """The file that says what was sent, answered and run."""

    def __init__(self, path: Path):
        self._file = open(path, "w", encoding="utf-8", buffering=1)
        self._lock = threading.Lock()
        self._started_s = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the time since the start in seconds."""
        elapsed_s = time.monotonic() - self._started_s
        with self._lock:
            self._file.write(f"{elapsed_s:8.3f} {text}\n")


class Deployment:
    """Stand-ins and managers; `close` ends all processes that it started."""

    def __init__(
        self,
        record: Record,
        managers: int = 3,
        workers: int = 4,
        worker_class: type[JobWorker] = JobWorker,
        wrap_worker: Callable | None = None,
        routes: list[dict] | None = None,
        tenants: list[dict] | None = None,
        cores: tuple[float, ...] = (),
        machines: dict[str, str] | None = None,
        store: MetadataStore | None = None,
        proxy_class: type = Proxy,
        worker_labels: dict[int, list[str]] | None = None,
    ):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.count = managers
        self.store = store or MetadataStore()
        self.store_server = start_server(self._handle_store)
        store_address = address_of(self.store_server)
        # Each manager reaches the store through a proxy of its own.
        self.store_proxies = [Proxy(store_address) for _ in range(managers)]
        self._subnet = _free_subnet(managers)
        self._cores = cores
        self._processes: dict[int, subprocess.Popen] = {}
        self._closed = False
        self._proxy_class = proxy_class
        self.workers: dict[str, JobWorker] = {}
        self.worker_proxies: dict[str, Proxy] = {}
        self._entries: dict[str, dict] = {}
        self.unreachable: set[str] = set()  # workers cut off from the store
        self._worker_servers: list[Server] = []
        for number in range(workers):
            # In the order of the machines.
            worker = worker_class(f"i-{number}{random.getrandbits(28):07x}")
            labels = (worker_labels or {}).get(number)
            self.add_worker(worker, number, wrap_worker, labels)
        pool_by_machine = machines or {
            f"m{number}": POOL for number in range(workers)
        }
        self.cloud = CloudApi(pool_by_machine, lambda machine, pool: None)
        for machine, worker_id in zip(
            pool_by_machine, self.workers, strict=False
        ):
            self.cloud.set_worker(machine, worker_id)
        self.cloud_server = start_server(self.cloud.handle)
        cloud_address = address_of(self.cloud_server)
        self.cloud_proxies = [Proxy(cloud_address) for _ in range(managers)]
        self.put_manifest(1, routes, tenants)
        threading.Thread(target=self._send_heartbeats, daemon=True).start()

    def _handle_store(self, request):
        time.sleep(STORE_LATENCY_S)
        return self.store.handle(request)

    def register(self, worker, labels) -> None:
        """Register a worker that has started again."""
        self._entries[worker.worker_id].update(
            {"born": worker.started_wall_ms, "Seq": 1, "Labels": labels}
        )
        self._register(worker.worker_id)

    def add_worker(
        self, worker, number, wrap_worker=None, labels=None
    ) -> None:
        """Serve a worker, through a proxy, and register it."""
        handle = worker.handle if wrap_worker is None else wrap_worker(worker)
        server = start_server(handle)
        self._worker_servers.append(server)
        proxy = self._proxy_class(address_of(server))
        self.workers[worker.worker_id] = worker
        self.worker_proxies[worker.worker_id] = proxy
        self._entries[worker.worker_id] = {
            "Service": POOL,
            "Address": proxy.address,
            "Zone": "zone-a",
            "Version": "v1",
            "Slots": 8,
            "State": "ready",
            "ColdLeftMs": 0,
            "Seq": 1,
            "Capacity": {"Cpu": WORKER_CPU_MILLI, "MemMb": 32_768, "Gpu": 0},
            "Labels": labels or ["a", f"r1-{number // 4}"],
            "born": worker.started_wall_ms,
        }
        self._register(worker.worker_id)

    def lapse(self, worker_id: str) -> None:
        """Remove the entry of a worker that does not reach the store."""
        self.unreachable.add(worker_id)
        self.store.put("keyed.servers", worker_id, b"")

    def _register(self, worker_id: str) -> None:
        value = json.dumps(self._entries[worker_id]).encode()
        self.store.put("keyed.servers", worker_id, value)

    def _send_heartbeats(self):
        while not self._closed:
            for worker_id, worker in list(self.workers.items()):
                worker.end_due_runs()
                if worker.alive and worker_id not in self.unreachable:
                    self._entries[worker_id]["Seq"] += 1
                    self._register(worker_id)
            time.sleep(HEARTBEAT_S)

    def put_manifest(self, version, routes=None, tenants=None) -> None:
        """Confirm a manifest, as the operator does."""
        manifest = {
            "Version": version,
            "Routes": routes or [route(QUEUE)],
            "Services": [
                {
                    "Name": POOL,
                    "HealthPath": "/health",
                    "RejectsOverload": False,
                    "Standby": False,
                }
            ],
            "Tenants": tenants
            or [
                {
                    "Name": TEAM,
                    "ApiKeys": [API_KEY],
                    "Weight": 10,
                    "Cap": {"Cpu": 0, "MemMb": 0, "Gpu": 0},
                }
            ],
        }
        self.store.put("keyed.op", "config", json.dumps(manifest).encode())
        self.record.write(f"operator: manifest {version} confirmed")

    def ip(self, index: int) -> str:
        """Return the loopback address of a manager's machine."""
        return f"{self._subnet}.{index + 1}"

    def start_manager(self, index: int) -> None:
        """Start a manager with the command of the deploy file."""
        settings = self.folder / f"node-{index}.json"
        settings.write_text(json.dumps(self._settings(index)))
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            command = tomllib.load(file)["roles"]["manager"]["run"].split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["SESAMEHALL_BOOT"] = str(settings)
        environment["PYTHONPATH"] = f"{ROOT / 'target' / 'deps'}:{ROOT}"
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with open(self.folder / f"node-{index}.log", "ab") as log:
            self._processes[index] = subprocess.Popen(
                command,
                cwd=ROOT,
                stdout=log,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
                env=environment,
            )
        self.record.write(f"platform: machine {index} started")

    def _settings(self, index):
        ip = self.ip(index)
        return {
            "Node": f"edge-zone-a-{index}",
            "Role": "manager",
            "MachineClass": "edge",
            "Serves": ["edge"],
            "Ip": ip,
            "Zone": "zone-a",
            "Region": "region",
            "Zones": {"zone-a": "region"},
            "Listen": {
                "Front": f"{ip}:8340",
                "Ready": f"{ip}:8343",
            },
            "InternalPorts": [7000, 7015],
            "Bootstrap": True,
            "Limits": {
                "CpuShare": self._cores_of(index) / 2,
                "Cores": 2,
                "MemoryMb": 300,
                "MaxFds": 4100,
            },
            "DataDir": None,
            "HeartbeatMs": 1500,
            "Bounds": BOUNDS,
            "ControlMode": "rpc",
            "platform": {
                "Address": self.store_proxies[index].address,
                "form": "log",
                "RecordBytes": 262144,
            },
            "CloudApi": {
                "Address": self.cloud_proxies[index].address,
                "RatePerS": 64.0,
                "Duties": [],
                "DutyPerS": 64.0,
            },
        }

    def _cores_of(self, index):
        return self._cores[index] if self._cores else DEFAULT_CORES

    def signal_manager(self, index: int, number: signal.Signals) -> None:
        """Send a signal to a manager that this deployment started."""
        process = self._processes[index]
        if process.poll() is None:
            process.send_signal(number)
            self.record.write(f"platform: machine {index} gets {number.name}")

    def exit_code(self, index: int) -> int | None:
        """Return the exit code of a manager, or None while it runs."""
        return self._processes[index].poll()

    def memory_mb(self, index: int) -> float:
        """Return the resident memory of a manager."""
        path = f"/proc/{self._processes[index].pid}/status"
        try:
            with open(path, encoding="ascii") as file:
                lines = file.read().splitlines()
        except OSError:
            return 0.0
        sizes = [int(row.split()[1]) for row in lines if "VmRSS:" in row]
        return sizes[0] / 1024 if sizes else 0.0

    def log_text(self, index: int) -> str:
        """Return what a manager has logged."""
        path = self.folder / f"node-{index}.log"
        return path.read_text(errors="replace")

    def is_ready(self, index: int) -> bool:
        """Send the platform's status check."""
        connection = HTTPConnection(self.ip(index), 8343, timeout=1)
        try:
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        except (OSError, HTTPException):
            return False
        finally:
            connection.close()

    def await_ready(self, timeout_s: float = 20) -> None:
        """Wait until all managers are ready and a first job is done."""
        deadline_s = time.monotonic() + timeout_s
        while not all(self.is_ready(index) for index in self._processes):
            if time.monotonic() > deadline_s:
                raise CannotRunError("the managers are not ready")
            time.sleep(0.2)
        job_id = new_job_id()
        status = self.submit(0, job_id, [step(1, 0.1)])
        while self.state_of(0, job_id) != "completed":
            if time.monotonic() > deadline_s:
                raise CannotRunError(f"no first job is done (POST {status})")
            time.sleep(0.2)

    def submit(self, index, job_id, steps, work_s=0.1, **fields) -> int:
        """Hand a job in; return the status, or 0 without an answer."""
        document = {
            "Spec": f"work {work_s} 500",
            "Steps": steps,
            **fields,
        }
        return self.call(index, "POST", f"/{QUEUE}/{job_id}", document)[0]

    def state_of(self, index, job_id) -> str:
        """Ask for a job's state; return it, or the status as text."""
        status, document = self.call(index, "GET", f"/{QUEUE}/{job_id}")
        return document.get("State", str(status))

    def call(self, index, method, path, document=None):
        """Call a manager once over a new channel, as a client does."""
        return call(
            self.record, self.ip(index), method, path, document, API_KEY
        )

    def leader(self) -> tuple[int, int]:
        """Return epoch and index of the manager that leads, by the logs."""
        terms = []
        for index in self._processes:
            epochs = TERM_BEGUN.findall(self.log_text(index))
            terms.append((max(map(int, epochs), default=0), index))
        return max(terms)

    def runs(self) -> list:
        """Return the runs of all workers with the worker's identifier."""
        return [
            (worker_id, run)
            for worker_id, worker in self.workers.items()
            for run in list(worker.records)
        ]

    def write_runs(self) -> None:
        """Write what the workers have run."""
        for worker_id, run in self.runs():
            self.record.write(
                f"worker {worker_id}: ran {run.task_id} run {run.number}"
                f" {run.outcome or 'active'}"
            )

    def close(self) -> None:
        """End all managers and stop the stand-ins."""
        self._closed = True
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if os.environ.get("KEEP_LOGS") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, attempts=4, **fields) -> dict:
    """Build a route of the manifest."""
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": f"/{name}/",
        "Kind": "non_idempotent",
        "TimeoutMs": 3000,
        "TargetLatencyMs": 600,
        "Priority": 0,
        "Service": POOL,
        "Attempts": attempts,
        "Stretch": 1.6,
        "Anonymous": False,
        **fields,
    }


def step(count, estimate_s, after=None, **fields) -> dict:
    """Build a step of a job."""
    document = {
        "TaskCount": count,
        "Cpu": 500,
        "MemMb": 256,
        "EstimateMs": int(estimate_s * 1000),
        **fields,
    }
    if after is not None:
        document["After"] = after
    return document


def call(record, ip, method, path, document=None, key=API_KEY):
    """Call a manager; return status and document, or 0 and {}."""
    connection = HTTPConnection(ip, 8340, timeout=CALL_TIMEOUT_S)
    headers = {"Host": HOST, "Timeout-Ms": "3000"}
    if key:
        headers["Authorization"] = f"Token {key}"
    body = None
    if document is not None:
        body = json.dumps(document)
        headers["Content-Type"] = "application/json"
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        content = response.read()
        status = response.status
    except (OSError, HTTPException) as error:
        record.write(
            f"client: {method} {path} at {ip}: no answer"
            f" ({type(error).__name__})"
        )
        return 0, {}
    finally:
        connection.close()
    record.write(
        f"client: {method} {path} at {ip}: {status} {content[:60].decode()}"
    )
    return status, json.loads(content) if content else {}


def new_job_id() -> str:
    """Return an identifier of a job."""
    return f"{random.getrandbits(64):016x}"


def start_server(handle) -> Server:
    """Serve a stand-in in background threads on a free port."""
    server = Server(
        ("127.0.0.1", 0), wsgi_application(handle), numthreads=SERVER_THREADS
    )
    server.shutdown_timeout = 0
    server.keep_alive_conn_limit = MAX_CHANNELS
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    return server


def address_of(server: Server) -> str:
    """Return "host:port" of a server."""
    host, port = server.bind_addr[:2]
    return f"{host}:{port}"


def _free_subnet(count: int) -> str:
    """Find loopback addresses on which the managers' ports are free."""
    for _ in range(50):
        subnet = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}"
        if all(
            _is_free(f"{subnet}.{number + 1}", port)
            for number in range(count)
            for port in (8340, 8343, 7000, 7001)
        ):
            return subnet
    raise CannotRunError("no loopback addresses with free ports")


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


def run_case(case: Callable[[Record, bool], str]) -> None:
    """Run a case and exit with its result.

    The case gets the record and whether the disruption happens. It returns
    what broke the rule, or "" if the rule held.
    """
    record = Record(Path(os.environ["CASE_FOLDER"]) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"case: with {'the' if trouble else 'no'} disruption")
    code = 2
    try:
        finding = case(record, trouble)
        code = 1 if finding else 0
        result = f"broken: {finding}" if finding else "held"
    except Exception as error:
        result = f"could not run: {type(error).__name__}: {error}"
    record.write(f"result: {result}")
    print(result, flush=True)
    os._exit(code)
