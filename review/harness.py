"""A small deployment for the cases: real managers, stand-ins for the rest.

The managers run as separate processes with the command of the deploy file.
The metadata store and the cloud API are the project's stand-ins, served by
this process, and the workers are the stand-ins below.  Every address is a
loopback address.
"""

from collections.abc import Callable
from dataclasses import dataclass
import http.client
import json
import os
from pathlib import Path
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

from cheroot.wsgi import Server

from soak.proxy import Proxy
from standins.cloudapi import CloudApi
from standins.metadatastore import MetadataStore
from standins.serving import HttpRequest
from standins.serving import HttpResponse
from standins.serving import json_response
from standins.serving import wsgi_application

REPOSITORY = Path(__file__).resolve().parent.parent
HEARTBEAT_S = 1.5  # between two registrations of a worker
TICK_S = 0.005  # between two looks for runs that have ended
MAX_WAIT_MS = 2_000  # of a poll
MAX_ENDS_LISTED = 500
SERVER_THREADS = 40
STORE_LIMIT_BYTES = 400_000_000  # "When 400 MB are stored in total"
STORE_KEEP_S = 20  # "20 s of history"
EXPIRY_PERIOD_S = 0.5
HOST = "hall.example"
API_KEY = "key-1"
TENANT = "team-1"
WATCHDOG_S = 115  # the longest time that a script runs
# The bounds that the page of the platform states.
BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "ContactMs": 3000,
    "AckMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": 6,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "DowngradeSlackMs": 250,
    "MaxStretchMs": 5000,
    "StrictRevoke": False,
    "RevokeMs": 5000,
    "QuotaWindowS": 5,
    "QuotaOverrun": 0.1,
    "QuotaSlack": 20,
    "RecoveryS": 12,
    "HoldMaxMs": 6000,
    "StopMs": 200,
    "GangMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "RemoteFactor": 1.5,
    "SaveS": 2,
    "RestoreMs": 600,
    "NoticeMs": 4500,
    "MoveS": 1.5,
    "UpkeepS": 2,
    "RequireFence": False,
    "LeaseMs": 3000,
    "ThawMs": 300,
    "PaceMs": 100,
    "HarmMs": 4000,
}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not run, so it shows nothing."""


class BoundedStore(MetadataStore):
    """The project's store with the limits that the platform's page states.

    Records older than `keep_s` expire, except for the newest of each key, and
    once 400 MB are stored in total, appends receive 507.
    """

    def __init__(self):
        """Start to expire records."""
        super().__init__()
        self.stored_bytes = 0
        self.refused_appends = 0
        threading.Thread(target=self._expire, daemon=True).start()

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle a request; an append to a full store is refused."""
        is_append = request.path == "/log-append"
        if is_append and self.stored_bytes >= STORE_LIMIT_BYTES:
            self.refused_appends += 1
            return HttpResponse(507, b"full")
        response = super().handle(request)
        if is_append and response.status == 200:
            with self._changed:
                self.stored_bytes += len(request.body)
        return response

    def _expire(self):
        ends: list[tuple[float, dict]] = []
        while True:
            time.sleep(EXPIRY_PERIOD_S)
            now_s = time.monotonic()
            with self._changed:
                partitions = self._partitions_by_topic
                current = {
                    name: partition.end_offset
                    for name, partition in partitions.items()
                }
                ends.append((now_s, current))
                while now_s - ends[0][0] > STORE_KEEP_S:
                    _, expired = ends.pop(0)
                    for name, offset in expired.items():
                        _drop_before(partitions[name], offset)
                self.stored_bytes = sum(map(_size, partitions.values()))


def _drop_before(partition, offset):
    count = max(offset - partition.first_offset, 0)
    if count:
        del partition.records[:count]
        partition.first_offset += count


def _size(partition):
    """Count the retained records, and the newest of each key before them."""
    retained = sum(map(len, partition.records))
    newest = sum(
        len(key) + len(value)
        for key, (offset, value) in partition.newest_by_key.items()
        if offset < partition.first_offset
    )
    return retained + newest


class Record:
    """The file that says what was sent, answered and run."""

    def __init__(self, folder: Path):
        """Open record.txt in the folder of a case."""
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self._lock = threading.Lock()
        self.started_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started_s

    def write(self, source: str, text: str) -> None:
        """Write a line, and a few of them to standard output too."""
        line = f"{self.now_s():8.3f} {source:8} {text}"
        with self._lock:
            self._file.write(line + "\n")
            self._file.flush()
        if source == "case":
            print(line, flush=True)


@dataclass(slots=True)
class Run:
    """A run on a worker: its number, its times and how it ends."""

    task: str
    number: int
    token: int
    worker_id: str
    started_s: float
    cpu_milli: int
    ends_s: float | None  # None: it runs until it is stopped
    how: str
    saves: bool
    ended_s: float = -1.0
    ended: str = ""
    acknowledged_s: float = -1.0
    lapsed_unread: bool = False


def parse_spec(task: str, spec: str) -> tuple[float | None, str, int, bool]:
    """Parse "work MS CPU", "save MS CPU", "fail MS CPU" or "last CPU"."""
    words = spec.split()
    match words[0]:
        case "last":
            return None, "", int(words[1]), False
        case "fail":
            return int(words[1]) / 1_000, "failed", int(words[2]), False
        case "save":
            return int(words[1]) / 1_000, "done", int(words[2]), True
    return int(words[1]) / 1_000, "done", int(words[2]), False


class Worker:
    """A worker that starts what it is told to and holds leases."""

    def __init__(
        self,
        worker_id: str,
        record: Record,
        behaviour: Callable = parse_spec,
        quiet: bool = False,
    ):
        """Create a worker without runs."""
        self.worker_id = worker_id
        self.born_ms = time.time_ns() // 1_000_000
        self.runs: list[Run] = []
        self.answers: Callable | None = None  # replaces answers if not None
        self._record = record
        self._behaviour = behaviour
        self._quiet = quiet
        self._started_s = time.monotonic()
        self._changed = threading.Condition()
        self._token = 0
        self._lease_ms = 0
        self._active: dict[str, Run] = {}
        self._highest: dict[str, int] = {}
        self._ends: list[tuple[int, Run, str]] = []
        self._last_end = 0

    def clock_ms(self) -> int:
        """Return the worker's own clock."""
        return int((time.monotonic() - self._started_s) * 1_000)

    def active_runs(self) -> list[Run]:
        """Return the runs that have not ended."""
        with self._changed:
            return list(self._active.values())

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer an order or a poll."""
        order = json.loads(request.body or b"{}")
        if self.answers is not None:
            response = self.answers(request.path, order)
            if response is not None:
                self._log(f"{request.path} answered {response.status}", order)
                return response
        with self._changed:
            if request.headers.get("target-instance") != self.worker_id:
                return HttpResponse(421, b"")
            self.end_due_runs()
            if order.get("FencingToken", 0) < self._token:
                return self._refuse(order, "fence")
            self._token = order.get("FencingToken", 0)
            match request.path:
                case "/run-start":
                    return self._start(order)
                case "/run-stop":
                    return self._stop(order)
                case "/hold":
                    return self._hold(order)
                case "/pace":
                    return self._answer({})
        return HttpResponse(404, b"")

    def end_due_runs(self) -> None:
        """End the runs that are through, or all if the lease is over."""
        with self._changed:
            now_s = time.monotonic()
            lapsed = self.clock_ms() >= self._lease_ms
            if lapsed:
                for _, run, _ in self._ends:
                    run.lapsed_unread = True
            for run in list(self._active.values()):
                if run.ends_s is not None and run.ends_s <= now_s:
                    self._end(run, run.how)
                elif lapsed:
                    self._end(run, "lapsed")

    def _log(self, text, order):
        if not self._quiet:
            task, number = order.get("Task", "-"), order.get("RunId", 0)
            token = order.get("FencingToken", 0)
            self._record.write(
                self.worker_id, f"{text} {task} run {number} token {token}"
            )

    def _answer(self, content, status=200):
        clock = {"ClockMs": self.clock_ms(), "born": self.born_ms}
        return json_response({**clock, **content}, status)

    def _refuse(self, order, reason):
        self._log(f"refused: {reason}", order)
        return self._answer({"Reason": reason}, 409)

    def _extend(self, order):
        deadline_ms = order.get("DeadlineMs")
        if deadline_ms is not None:
            latest_ms = self.clock_ms() + BOUNDS["HoldMaxMs"]
            deadline_ms = min(deadline_ms, latest_ms)
            self._lease_ms = max(self._lease_ms, deadline_ms)

    def _start(self, order):
        task, number = order["Task"], order["RunId"]
        active = self._active.get(task)
        if active is not None and active.number == number:
            self._extend(order)
            return self._answer({})
        if order["DeadlineMs"] <= self.clock_ms():
            return self._refuse(order, "late")
        self._extend(order)
        if number <= self._highest.get(task, 0):
            return self._refuse(order, "old")
        self._highest[task] = number
        length_s, how, cpu, saves = self._behaviour(task, order["Spec"])
        now_s = time.monotonic()
        run = Run(
            task=task,
            number=number,
            token=order["FencingToken"],
            worker_id=self.worker_id,
            started_s=self._record.now_s(),
            cpu_milli=cpu,
            ends_s=None if length_s is None else now_s + length_s,
            how=how,
            saves=saves,
        )
        self.runs.append(run)
        self._active[task] = run
        self._log("started", order)
        return self._answer({})

    def _stop(self, order):
        task, number = order["Task"], order["RunId"]
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self._active.get(task)
        if run is not None and run.number <= number:
            self._end(run, "stopped")
        return self._answer({})

    def _hold(self, order):
        self._extend(order)
        cursor = order.get("AckCursor", 0)
        for number, run, _ in self._ends:
            if number <= cursor and run.acknowledged_s < 0:
                run.acknowledged_s = self._record.now_s()
        self._ends = [row for row in self._ends if row[0] > cursor]
        wait_s = min(order.get("WaitMs", 0), MAX_WAIT_MS) / 1_000
        until_s = time.monotonic() + wait_s
        while not self._ends:
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                break
            self._changed.wait(left_s)
        active = [
            [run.task, run.number, "", self._percent(run), 0]
            for run in self._active.values()
        ]
        ends = [
            [number, run.task, run.number, run.ended, saved]
            for number, run, saved in self._ends[:MAX_ENDS_LISTED]
        ]
        return self._answer({"Active": active, "Finished": ends})

    def _percent(self, run):
        if run.ends_s is None:
            return 100
        length_s = run.ends_s - self._record.started_s - run.started_s
        elapsed_s = self._record.now_s() - run.started_s
        return min(int(100 * elapsed_s / max(length_s, 0.001)), 99)

    def _end(self, run, how):
        run.ended = how
        run.ended_s = self._record.now_s()
        del self._active[run.task]
        self._last_end += 1
        saved = f"{self._last_end:016x}" if run.saves else ""
        self._ends.append((self._last_end, run, saved))
        self._changed.notify_all()
        if not self._quiet:
            self._record.write(
                self.worker_id, f"ended {how} {run.task} run {run.number}"
            )


class Deployment:
    """Managers and stand-ins; `close` ends all that it has started."""

    def __init__(
        self,
        case_file: str,
        pools: dict[str, int],
        manager_count: int = 3,
        cpu_milli: int = 16_000,
        behaviour: Callable = parse_spec,
        quiet: bool = False,
        zone_by_pool: dict[str, str] | None = None,
        zone_by_manager: dict[int, str] | None = None,
    ):
        """Start the stand-ins with `pools` workers, but no managers."""
        self.folder = Path(case_file).resolve().parent
        self.record = Record(self.folder)
        self._temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self._cpu_milli = cpu_milli
        self._closed = False
        self._quiet = quiet
        self._zone_by_pool = zone_by_pool or {}
        self._zone_by_manager = zone_by_manager or {}
        self.processes: dict[int, subprocess.Popen] = {}
        self._network = _free_network(manager_count)
        self.store = BoundedStore()
        self._servers = [_serve(self.store.handle)]
        store_address = _address(self._servers[0])
        self.store_proxies = [
            Proxy(store_address) for _ in range(manager_count)
        ]
        self.workers: list[Worker] = []
        self.workers_by_pool: dict[str, list[Worker]] = {}
        self._entries: list[tuple[Worker, dict]] = []
        pool_by_machine: dict[str, str] = {}
        for pool, count in pools.items():
            for number in range(count):
                worker = Worker(
                    f"{pool}-{number}", self.record, behaviour, quiet
                )
                self._add_worker(worker, pool, number)
                pool_by_machine[f"m-{worker.worker_id}"] = pool
        self._cloud = CloudApi(pool_by_machine, lambda machine, pool: None)
        for worker in self.workers:
            machine = f"m-{worker.worker_id}"
            self._cloud.set_worker(machine, worker.worker_id)
        self._servers.append(_serve(self._cloud.handle))
        threading.Thread(target=self._tick, daemon=True).start()
        watchdog = threading.Timer(WATCHDOG_S, self._give_up)
        watchdog.daemon = True
        watchdog.start()

    def _add_worker(self, worker, pool, number):
        server = _serve(worker.handle)
        self._servers.append(server)
        self.workers.append(worker)
        self.workers_by_pool.setdefault(pool, []).append(worker)
        entry = {
            "Service": pool,
            "Address": _address(server),
            "Zone": self._zone_by_pool.get(pool, "z-a"),
            "Version": "v1",
            "Slots": 8,
            "State": "ready",
            "ColdLeftMs": 0,
            "Seq": 0,
            "Capacity": {"Cpu": self._cpu_milli, "MemMb": 32_768, "Gpu": 0},
            "Labels": ["a", f"r1-{number // 4}"],
            "born": worker.born_ms,
        }
        self._entries.append((worker, entry))

    def put_manifest(
        self, version: int, routes: list[dict], cap: dict | None = None
    ) -> None:
        """Write a manifest, as the operator does."""
        tenant = {
            "Name": TENANT,
            "ApiKeys": [API_KEY],
            "Weight": 10,
            "Cap": cap or {},
        }
        manifest = {
            "Version": version,
            "Routes": routes,
            "Services": [{"Name": pool} for pool in self.workers_by_pool],
            "Tenants": [tenant],
            "Limits": {},
        }
        body = json.dumps(manifest).encode()
        self.store.put("keyed.op", "config", body)
        names = ",".join(row["Name"] for row in routes)
        self.record.write("operator", f"manifest {version}: routes {names}")

    def start_manager(self, index: int) -> None:
        """Start a manager with the command of the deploy file."""
        settings = self._temporary / f"node-{index}.json"
        settings.write_text(json.dumps(self._settings(index)))
        with open(REPOSITORY / "deploy" / "system.toml", "rb") as file:
            command = tomllib.load(file)["roles"]["manager"]["run"].split()
        paths = [str(REPOSITORY), str(REPOSITORY / "target" / "deps")]
        environment = {
            **os.environ,
            "SESAMEHALL_BOOT": str(settings),
            "PYTHONPATH": os.pathsep.join(paths),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with open(self._temporary / f"node-{index}.log", "ab") as log:
            self.processes[index] = subprocess.Popen(
                [sys.executable, *command[1:]],
                cwd=REPOSITORY,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
            )
        self.record.write("case", f"manager {index} started")

    def start_managers(self, indexes: list[int] | None = None) -> None:
        """Start managers and wait until each serves and one leads."""
        if indexes is None:
            indexes = list(range(len(self.store_proxies)))
        for index in indexes:
            self.start_manager(index)
        deadline_s = time.monotonic() + 30
        while time.monotonic() < deadline_s:
            ready = all(self._is_ready(index) for index in self.processes)
            if ready and self.leader() is not None:
                time.sleep(1.0)  # the leader meets its workers
                return
            time.sleep(0.1)
        raise CannotRun("the managers did not become ready")

    def _is_ready(self, index):
        try:
            connection = http.client.HTTPConnection(
                f"{self._network}.{index + 1}", 8343, timeout=1
            )
            connection.request("GET", "/ready")
            status = connection.getresponse().status
            connection.close()
        except (OSError, http.client.HTTPException):
            return False
        return status == 200

    def leader(self) -> int | None:
        """Return the manager that last wrote the record of the leader."""
        topic = "keyed.sesamehall-progress"
        partition = self.store._partitions_by_topic.get(topic)
        newest = None
        if partition is not None:
            newest = partition.newest_by_key.get(b"leader")
        if newest is None:
            return None
        for index in range(len(self.store_proxies)):
            if f"edge-{index}".encode() in newest[1]:
                return index
        return None

    def kill(self, index: int) -> None:
        """Kill a manager."""
        self.processes[index].send_signal(signal.SIGKILL)
        self.processes[index].wait()
        self.record.write("case", f"manager {index} killed (SIGKILL)")

    def call(
        self,
        index: int,
        method: str,
        path: str,
        document: dict | None = None,
        quiet: bool = False,
    ) -> tuple[int | None, dict]:
        """Send a client's call; the status is None without an answer."""
        body = None if document is None else json.dumps(document)
        headers = {
            "Host": HOST,
            "Authorization": f"Token {API_KEY}",
            "Content-Type": "application/json",
        }
        address = f"{self._network}.{index + 1}"
        status, content = None, {}
        try:
            connection = http.client.HTTPConnection(address, 8340, timeout=3)
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            raw = response.read()
            status = response.status
            connection.close()
            content = json.loads(raw or b"{}")
        except (OSError, http.client.HTTPException, ValueError):
            pass
        if not quiet:
            text = f"{method} {path} at {index} -> {status} {content}"
            self.record.write("client", text)
        return status, content

    def submit(self, path: str, document: dict, quiet: bool = False) -> bool:
        """Hand in a job, with the retries of a client.

        Without an answer, and after 502 and 504, the same id is sent again to
        another manager; after 429 and 503 too, a second later.
        """
        alive = sorted(self.processes)
        for attempt in range(5):
            index = alive[attempt % len(alive)]
            status, _ = self.call(index, "POST", path, document, quiet)
            if status is not None and 200 <= status < 300:
                return True
            if status in (429, 503):
                time.sleep(1.0)
            elif status not in (None, 502, 504):
                return False
        return False

    def ask(self, path: str, attempts: int = 5) -> tuple[int | None, dict]:
        """Send a GET until a manager answers with 200 or 410."""
        status, content = None, {}
        for attempt in range(attempts):
            indexes = sorted(
                index
                for index, process in self.processes.items()
                if process.poll() is None
            )
            index = indexes[attempt % len(indexes)]
            status, content = self.call(index, "GET", path)
            if status in (200, 410):
                break
            time.sleep(0.5)
        return status, content

    def all_runs(self) -> list[Run]:
        """Return the runs of all workers, by their start."""
        runs = [run for worker in self.workers for run in worker.runs]
        return sorted(runs, key=lambda run: run.started_s)

    def write_runs(self) -> None:
        """Write all runs to the record if they were not written one by one."""
        if not self._quiet:
            return
        for run in self.all_runs():
            self.record.write(
                "run",
                f"{run.task} run {run.number} token {run.token} on"
                f" {run.worker_id}: {run.started_s:.3f} to"
                f" {run.ended_s:.3f} {run.ended or 'active'}",
            )

    def close(self) -> None:
        """End all processes that were started."""
        self._closed = True
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs in {self._temporary}")
        else:
            shutil.rmtree(self._temporary, ignore_errors=True)

    def _give_up(self):
        self.record.write("case", "not finished in time")
        self.close()
        os._exit(2)

    def _tick(self):
        """End due runs, and renew the registrations of all workers."""
        next_beat_s = 0.0
        beats = 0
        while not self._closed:
            for worker in self.workers:
                worker.end_due_runs()
            if time.monotonic() >= next_beat_s:
                next_beat_s = time.monotonic() + HEARTBEAT_S
                beats += 1
                for worker, entry in self._entries:
                    body = json.dumps({**entry, "Seq": beats}).encode()
                    self.store.put("keyed.servers", worker.worker_id, body)
            time.sleep(TICK_S)

    def _settings(self, index):
        ip = f"{self._network}.{index + 1}"
        return {
            "Node": f"edge-{index}",
            "Role": "manager",
            "MachineClass": "edge",
            "Serves": ["edge"],
            "Ip": ip,
            "Zone": self._zone_by_manager.get(index, "z-a"),
            "Region": "r-1",
            "Zones": {"z-a": "r-1", "z-b": "r-1"},
            "Listen": {"Front": f"{ip}:8340", "Ready": f"{ip}:8343"},
            "InternalPorts": [7000, 7015],
            "Seeds": [],
            "Bootstrap": True,
            "Limits": {"CpuShare": 1.0, "Cores": 2, "MemoryMb": 300},
            "HeartbeatMs": int(HEARTBEAT_S * 1_000),
            "Bounds": BOUNDS,
            "ControlMode": "rpc",
            "platform": {
                "Address": self.store_proxies[index].address,
                "form": "log",
                "WritesPerS": 800,
                "ReadsPerS": 2000,
                "parts": 16,
                "RecordBytes": 262144,
                "CallBytes": 2097152,
                "keep_s": 20,
                "PartMb": 200,
            },
            "CloudApi": {
                "Address": _address(self._servers[-1]),
                "RatePerS": 64.0,
                "Duties": [],
                "DutyPerS": 64.0,
            },
        }


def route(name: str, pool: str, attempts: int = 4) -> dict:
    """Build a route of a manifest."""
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": f"/{name}/",
        "Service": pool,
        "Attempts": attempts,
        "Stretch": 1.6,
        "TargetLatencyMs": 600,
    }


def step(count: int, cpu: int, estimate_ms: int, **fields) -> dict:
    """Build a step of a job."""
    return {
        "TaskCount": count,
        "Cpu": cpu,
        "MemMb": 64,
        "EstimateMs": estimate_ms,
        **fields,
    }


def main(deployment: Deployment, case: Callable[[Deployment], str]) -> None:
    """Run a case and exit: 1 rule broken, 0 it held, 2 it could not run.

    The case returns what it saw that breaks the rule, or "".
    """
    code = 2
    try:
        broken = case(deployment)
        code = 1 if broken else 0
        deployment.record.write("case", f"rule broken: {broken or 'no'}")
    except Exception as error:
        text = f"could not run: {type(error).__name__}: {error}"
        deployment.record.write("case", text)
    finally:
        deployment.write_runs()
        deployment.close()
    os._exit(code)


def _exit_as_not_run(kind, error, trace) -> None:
    """Exit with 2 after an error outside `main`, not with 1."""
    print(f"could not run: {kind.__name__}: {error}", flush=True)
    os._exit(2)


sys.excepthook = _exit_as_not_run


def _free_network(count: int) -> str:
    """Find a loopback network whose first addresses have free ports."""
    for attempt in range(250):
        number = os.getpid() + attempt
        network = f"127.{1 + number % 250}.{number // 250 % 250}"
        if all(
            _is_free(f"{network}.{index + 1}", port)
            for index in range(count)
            for port in (8340, 8343, 7000)
        ):
            return network
    raise CannotRun("no free ports")


def _is_free(host, port):
    try:
        socket.create_server((host, port)).close()
    except OSError:
        return False
    return True


def _serve(handle) -> Server:
    server = Server(
        ("127.0.0.1", 0), wsgi_application(handle), numthreads=SERVER_THREADS
    )
    server.shutdown_timeout = 0
    server.error_log = lambda *_, **__: None  # clients that went away
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    return server


def _address(server) -> str:
    host, port = server.bind_addr[:2]
    return f"{host}:{port}"
