"""A small fleet of real processes on loopback: stand-ins and daemons."""

from dataclasses import dataclass
from dataclasses import field
import json
from pathlib import Path
import socket
import subprocess
import sys
import time

from urllib3 import PoolManager
from urllib3 import Retry
from urllib3.exceptions import HTTPError
import yaml

START_TIMEOUT_S = 20
STOP_TIMEOUT_S = 20
POLL_S = 0.05


@dataclass(slots=True)
class Fleet:
    """Processes, their addresses and their folder.

    Attributes:
      folder: Takes settings and logs.
      processes_by_name: Running processes.
      addresses_by_name: "host:port" of each interface.
      instances: The platform's list, as its control takes it.
      http: Client for calls to any of them.
    """

    folder: Path
    processes_by_name: dict[str, subprocess.Popen] = field(
        default_factory=dict
    )
    addresses_by_name: dict[str, str] = field(default_factory=dict)
    instances: list[dict] = field(default_factory=list)
    http: PoolManager = field(
        default_factory=lambda: PoolManager(retries=False, maxsize=32)
    )

    def address(self, name: str) -> str:
        """Give an interface an address of its own.

        Args:
          name: Name of the interface.
        Returns:
          "host:port", the same one each time.
        """
        if name not in self.addresses_by_name:
            self.addresses_by_name[name] = f"127.0.0.1:{_free_port()}"
        return self.addresses_by_name[name]

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Start a process.

        Args:
          name: Name of the process.
          module: Python module to run.
          *arguments: Its command line.
        """
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes_by_name[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def start_platform(self, retention_s: float = 3600) -> None:
        """Start the stand-in of the platform.

        Args:
          retention_s: How long its log keeps records.
        """
        self.start(
            "platform",
            "standins.platform",
            "--listen",
            self.address("platform"),
            "--retention-s",
            str(retention_s),
        )
        self.await_http(self.address("platform"), "/v1/instances")

    def start_instance(
        self, name: str, kind: str, data_centre: str, rack: str, pool: str
    ) -> None:
        """Start the stand-in of an instance and note it for the list.

        Args:
          name: Name of the instance.
          kind: "executor" or "worker".
          data_centre: Its data centre.
          rack: Its rack.
          pool: Pool that the platform made it for.
        """
        address = self.address(name)
        extra = ("--name", name) if kind == "executor" else ()
        self.start(name, f"standins.{kind}", "--listen", address, *extra)
        self.instances.append(
            {
                "name": name,
                "kind": kind,
                "data_centre": data_centre,
                "rack": rack,
                "address": address,
                "pool": pool,
                "leaving": False,
                "slots": 8,
                "processors": 16,
                "memory_mb": 32768,
                "accelerators": 0,
            }
        )

    def list_instances(self) -> None:
        """Make the platform list the instances as they stand here."""
        self.control("instances", self.instances)

    def control(self, name: str, wish) -> None:
        """Call one of the platform's controls.

        Args:
          name: Name of the control.
          wish: Its JSON body.
        """
        url = f"http://{self.address('platform')}/control/{name}"
        self.http.request("POST", url, body=json.dumps(wish).encode())

    def start_nodes(self, data_centres_by_name: dict[str, str]) -> None:
        """Start entries and stewards that all know of each other.

        Args:
          data_centres_by_name: Data centre of each node; a name that
            begins with "entry" is an entry's.
        """
        peers = [
            {
                "name": name,
                "kind": _kind(name),
                "data_centre": data_centre,
                "address": self.address(f"{name}-stream"),
            }
            for name, data_centre in data_centres_by_name.items()
        ]
        for name, data_centre in data_centres_by_name.items():
            others = [peer for peer in peers if peer["name"] != name]
            self._write_settings(name, data_centre, others)
            self.start_node(name)
        entries = [
            self.address(name)
            for name in data_centres_by_name
            if _kind(name) == "entry"
        ]
        settings = {
            "platform": self.address("platform"),
            "entries": entries,
        }
        self._write("operator", settings)
        for address in entries:
            self.await_http(address, "/sesamehall/v1/status")

    def start_node(self, name: str) -> None:
        """Start an entry or steward whose settings are written.

        Args:
          name: Name of the node.
        """
        path = str(self.folder / f"{name}.yaml")
        module = f"sesamehall.scripts.{_kind(name)}"
        self.start(name, module, "--settings", path)

    def operate(self, command: str, *arguments: str) -> str:
        """Run the operators' command line.

        Args:
          command: Its command.
          *arguments: Options beside the settings.
        Returns:
          What it printed.
        """
        path = str(self.folder / "operator.yaml")
        module = "sesamehall.scripts.operator"
        result = subprocess.run(
            [
                sys.executable,
                "-m",
                module,
                command,
                "--settings",
                path,
                *arguments,
            ],
            capture_output=True,
            text=True,
            timeout=60,
        )
        if result.returncode:
            raise RuntimeError(f"{command}: {result.stderr or result.stdout}")
        return result.stdout.strip()

    def await_http(self, address: str, path: str) -> None:
        """Wait until an interface answers.

        Args:
          address: "host:port".
          path: Path to ask for.
        """
        ends_at = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < ends_at:
            try:
                self.http.request("GET", f"http://{address}{path}")
                return
            except HTTPError:
                time.sleep(POLL_S)
        raise RuntimeError(f"{address} does not answer")

    def stop(self, name: str) -> int:
        """Ask a process to stop, and wait for its end.

        Args:
          name: Name of the process.
        Returns:
          Its exit code.
        """
        process = self.processes_by_name.pop(name)
        process.terminate()
        return process.wait(STOP_TIMEOUT_S)

    def kill(self, name: str) -> None:
        """End a process without warning.

        Args:
          name: Name of the process.
        """
        process = self.processes_by_name.pop(name)
        process.kill()
        process.wait(STOP_TIMEOUT_S)

    def close(self) -> None:
        """End every process that still runs."""
        for name in list(self.processes_by_name):
            self.kill(name)

    def write(self, name: str, value) -> str:
        """Write a YAML file into the folder.

        Args:
          name: Name of the file without its ending.
          value: Its content.
        Returns:
          The file's path.
        """
        return self._write(name, value)

    def _write_settings(self, name, data_centre, others):
        settings = {
            "name": name,
            "data_centre": data_centre,
            "stream": self.address(f"{name}-stream"),
            "peers": others,
        }
        if _kind(name) == "entry":
            settings["http"] = self.address(name)
        else:
            settings["platform"] = self.address("platform")
        self._write(name, settings)

    def _write(self, name, value):
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(value, sort_keys=False))
        return str(path)


@dataclass(frozen=True, slots=True)
class Result:
    """A caller's answer.

    Attributes:
      status: HTTP status.
      code: Numbered result code, 0 if there was none.
      headers: Headers of the answer.
      body: The whole body.
    """

    status: int
    code: int
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class Caller:
    """Someone who hands in work with a key.

    Attributes:
      http: The client.
      key: The key, "" for none.
    """

    http: PoolManager
    key: str = ""

    def send(
        self,
        address: str,
        uri: str,
        service: str = "",
        method: str = "GET",
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Result:
        """Send one request and read its answer.

        Args:
          address: "host:port" of an entry.
          uri: Path and query string.
          service: Name of the service, "" for the entry's own interface.
          method: HTTP method.
          body: The body.
          headers: Further headers.
        Returns:
          The answer.
        """
        all_headers = dict(headers or {})
        if service:
            all_headers["Sesamehall-Service"] = service
        if self.key:
            all_headers["Authorization"] = f"Bearer {self.key}"
        response = self.http.request(
            method,
            f"http://{address}{uri}",
            body=body,
            headers=all_headers,
            retries=Retry(0, redirect=0),
            redirect=False,
        )
        code = int(response.headers.get("Sesamehall-Result", "0"))
        return Result(
            response.status, code, dict(response.headers), response.data
        )


def _kind(name: str) -> str:
    return "entry" if name.startswith("entry") else "steward"


def _free_port() -> int:
    """Find a port that nobody listens on at the moment."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]
