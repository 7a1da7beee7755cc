"""Stand-in for the platform: log streams, instances and injected faults.

GET  /v1/streams/NAME?from=N&wait_ms=W&most=M   long poll from an offset
POST /v1/streams/NAME                           append the body as a record
GET  /v1/instances                              list instances, with a lag
POST /v1/instances/NAME/reboot                  idempotent by operation
POST /control/instances                         replace the instance list
POST /control/faults                            replace the injected faults
"""

from collections import deque
from dataclasses import dataclass
from dataclasses import field
import json
import threading
import time

import msgpack

from standins.serving import HttpRequest
from standins.serving import HttpResponse
from standins.serving import json_response
from standins.serving import serve

MAX_WAIT_MS = 5_000


@dataclass(slots=True)
class Stream:
    """One log stream.

    Attributes:
      first_offset: Offset of the oldest retained record.
      records: Arrival time and content of each record, oldest first.
    """

    first_offset: int = 0
    records: deque[tuple[float, bytes]] = field(default_factory=deque)


@dataclass(slots=True)
class Faults:
    """Faults that are injected at present; the names are JSON keys.

    Attributes:
      down: Whether all requests fail, except those under /control/.
      lose_answers: Number of appends that are stored although the response
        reports a failure.
      delay_ms: Delay before each response.
    """

    down: bool = False
    lose_answers: int = 0
    delay_ms: int = 0


class Platform:
    """State of the platform, shared by all server threads."""

    def __init__(self, retention_s: float, list_lag_s: float):
        """Initialize a platform with empty streams and no instances.

        Args:
          retention_s: Retention time of records.
          list_lag_s: Delay before a change of the instance list is visible.
        """
        self._retention_s = retention_s
        self._list_lag_s = list_lag_s
        self._changed = threading.Condition()
        self._streams_by_name: dict[str, Stream] = {}
        self._instance_lists: deque[tuple[float, list]] = deque([(0.0, [])])
        self._operations: set[str] = set()
        self._boots_by_instance: dict[str, int] = {}
        self._faults = Faults()

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle a request.

        Args:
          request: The request.
        Returns:
          The response.
        """
        if request.path.startswith("/control/"):
            return self._control(request)
        with self._changed:
            faults = self._faults
        if faults.delay_ms:
            time.sleep(faults.delay_ms / 1000)
        if faults.down:
            return HttpResponse(503, b"down")
        match (request.method, *request.path.strip("/").split("/")):
            case ("GET", "v1", "streams", name):
                return self._read(name, request)
            case ("POST", "v1", "streams", name):
                return self._append(name, request.body)
            case ("GET", "v1", "instances"):
                return json_response(self._list_instances())
            case ("POST", "v1", "instances", name, "reboot"):
                return self._reboot(name, request)
        return HttpResponse(404, b"no such call")

    def _read(self, name, request) -> HttpResponse:
        offset = int(request.query.get("from", "0"))
        wait_ms = int(request.query.get("wait_ms", "0"))
        limit = int(request.query.get("most", "100"))
        with self._changed:
            stream = self._streams_by_name.setdefault(name, Stream())
            self._changed.wait_for(
                lambda: self._end_offset(stream) > offset or self._faults.down,
                min(wait_ms, MAX_WAIT_MS) / 1000,
            )
            if self._faults.down:
                return HttpResponse(503, b"down")
            self._expire_records(stream)
            first = max(offset, stream.first_offset)
            start = first - stream.first_offset
            records = list(stream.records)[start : start + limit]
            body = {
                "earliest": stream.first_offset,
                "first": first,
                "records": [record for _, record in records],
            }
        return HttpResponse(200, msgpack.packb(body))

    def _append(self, name, body) -> HttpResponse:
        with self._changed:
            stream = self._streams_by_name.setdefault(name, Stream())
            offset = self._end_offset(stream)
            stream.records.append((time.monotonic(), body))
            self._changed.notify_all()
            if self._faults.lose_answers > 0:
                self._faults.lose_answers -= 1
                return HttpResponse(503, b"answer lost")
        return json_response({"offset": offset})

    def _end_offset(self, stream):
        return stream.first_offset + len(stream.records)

    def _expire_records(self, stream):
        cutoff = time.monotonic() - self._retention_s
        while stream.records and stream.records[0][0] < cutoff:
            stream.records.popleft()
            stream.first_offset += 1

    def _list_instances(self):
        """Return the newest instance list that is older than the lag."""
        now = time.monotonic()
        with self._changed:
            while (
                len(self._instance_lists) > 1
                and self._instance_lists[1][0] + self._list_lag_s <= now
            ):
                self._instance_lists.popleft()
            return [
                self._with_boot(instance)
                for instance in self._instance_lists[0][1]
            ]

    def _with_boot(self, instance):
        boots = self._boots_by_instance.get(instance["name"], 0)
        return instance | {"boot": f"boot-{boots}"}

    def _reboot(self, name, request) -> HttpResponse:
        operation = request.form["operation"]
        with self._changed:
            if operation not in self._operations:
                self._operations.add(operation)
                boots = self._boots_by_instance.get(name, 0)
                self._boots_by_instance[name] = boots + 1
        return json_response({"done": True})

    def _control(self, request) -> HttpResponse:
        content = json.loads(request.body)
        with self._changed:
            if request.path == "/control/instances":
                self._instance_lists.append((time.monotonic(), content))
            elif request.path == "/control/faults":
                self._faults = Faults(**content)
            else:
                return HttpResponse(404, b"no such control")
            self._changed.notify_all()
        return json_response({"done": True})


def run_platform(
    *, listen: str, retention_s: float = 3600, list_lag_s: float = 0.5
) -> None:
    """Serve the platform until SIGTERM or SIGINT.

    Args:
      listen: "host:port" to listen on.
      retention_s: Retention time of records.
      list_lag_s: Delay before a change of the instance list is visible.
    """
    platform = Platform(retention_s, list_lag_s)
    serve(listen, platform.handle, threads=32)


if __name__ == "__main__":
    from defopt import run

    run(run_platform)
