"""A small fleet of processes on loopback: stand-ins, entries and stewards."""

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
    """Processes, their addresses and the folder for their files.

    Attributes:
      folder: Folder for settings and logs.
      processes_by_name: Processes that have been started and not stopped.
      addresses_by_name: "host:port" of each interface.
      instances: Instance list for the platform's /control/instances.
      http: HTTP client for requests to the processes.
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
        """Return the address of an interface, allocating a port on first use.

        Args:
          name: Name of the interface.
        Returns:
          "host:port".
        """
        if name not in self.addresses_by_name:
            self.addresses_by_name[name] = f"127.0.0.1:{_free_port()}"
        return self.addresses_by_name[name]

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Start a Python module as a process that logs to a file.

        Args:
          name: Name of the process.
          module: Python module to run.
          *arguments: Command-line arguments.
        """
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes_by_name[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def start_platform(self, retention_s: float = 3600) -> None:
        """Start the stand-in for the platform and wait until it serves.

        Args:
          retention_s: Retention time of records in its streams.
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
        """Start the stand-in for an instance and add it to `instances`.

        Args:
          name: Name of the instance.
          kind: "executor" or "worker".
          data_centre: Data centre of the instance.
          rack: Rack of the instance.
          pool: Pool for which the platform created it.
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
        """Publish `instances` as the platform's instance list."""
        self.control("instances", self.instances)

    def control(self, name: str, content) -> None:
        """Send a request to a control endpoint of the platform.

        Args:
          name: Name of the endpoint.
          content: Value for the JSON body.
        """
        url = f"http://{self.address('platform')}/control/{name}"
        self.http.request("POST", url, body=json.dumps(content).encode())

    def start_nodes(self, data_centres_by_name: dict[str, str]) -> None:
        """Start entries and stewards as peers of each other.

        Args:
          data_centres_by_name: Data centre of each node; nodes whose name
            starts with "entry" are entries, all others stewards.
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
        """Start an entry or steward whose settings file exists.

        Args:
          name: Name of the node.
        """
        path = str(self.folder / f"{name}.yaml")
        module = f"sesamehall.scripts.{_kind(name)}"
        self.start(name, module, "--settings", path)

    def operate(self, command: str, *arguments: str) -> str:
        """Run a command of the operator tool.

        Args:
          command: Name of the command.
          *arguments: Options in addition to --settings.
        Returns:
          Standard output without surrounding white space.
        Raises:
          RuntimeError: The command failed.
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
        """Wait until an HTTP interface responds.

        Args:
          address: "host:port".
          path: Path to request.
        Raises:
          RuntimeError: There was no response before the start timeout.
        """
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            try:
                self.http.request("GET", f"http://{address}{path}")
                return
            except HTTPError:
                time.sleep(POLL_S)
        raise RuntimeError(
            f"{address} did not respond before the start timeout"
        )

    def stop(self, name: str) -> int:
        """Stop a process with SIGTERM and wait until it exits.

        Args:
          name: Name of the process.
        Returns:
          Exit code of the process.
        """
        process = self.processes_by_name.pop(name)
        process.terminate()
        return process.wait(STOP_TIMEOUT_S)

    def kill(self, name: str) -> None:
        """Kill a process and wait until it exits.

        Args:
          name: Name of the process.
        """
        process = self.processes_by_name.pop(name)
        process.kill()
        process.wait(STOP_TIMEOUT_S)

    def close(self) -> None:
        """Kill all processes that still run."""
        for name in list(self.processes_by_name):
            self.kill(name)

    def write(self, name: str, value) -> str:
        """Write a YAML file to the folder.

        Args:
          name: File name without extension.
          value: Content of the file.
        Returns:
          Path of the file.
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
    """Response to a request of a caller.

    Attributes:
      status: HTTP status.
      code: Result code, or 0 if the response has none.
      headers: Headers of the response.
      body: Complete body.
    """

    status: int
    code: int
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class Caller:
    """A client of the entries.

    Attributes:
      http: HTTP client.
      key: API key, or "" to send none.
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
        """Send a request and read the response.

        Args:
          address: "host:port" of an entry.
          uri: Path and query string.
          service: Name of the service, or "" for the entry's own API.
          method: HTTP method.
          body: Body of the request.
          headers: Additional headers.
        Returns:
          The response.
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
    """Return a port that is currently free."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]
