"""Stand-in for an executor with a fixed number of slots.

Query parameters control how a request runs: `work_ms` sets its duration,
`held` blocks it until RELEASE_PATH is called, and `size` sets the length of
the response body.  Without `size`, the response describes the request, so that
tests can check what reached the executor.
"""

from hashlib import sha256
import json
import threading
import time

from standins.serving import HttpRequest
from standins.serving import HttpResponse
from standins.serving import json_response
from standins.serving import serve

MAX_WORK_MS = 60_000
RELEASE_PATH = "/standin/release"
NOT_RUN_HEADERS = (("Sesamehall-Not-Run", "1"),)


class Executor:
    """Slots of an executor and counters of the requests that it ran."""

    def __init__(self, name: str, slots: int):
        """Initialize an executor with all slots free.

        Args:
          name: Name of the instance, included in responses.
          slots: Maximum number of concurrent requests.
        """
        self._name = name
        self._slots = slots
        self._lock = threading.Lock()
        self._released = threading.Event()
        self._running = 0
        self._most_running = 0
        self._declined = 0
        self._runs_by_id: dict[str, int] = {}

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Run a request, or decline it if all slots are in use.

        Args:
          request: The request.
        Returns:
          The response.
        """
        if request.path == "/standin/record":
            return self._counters()
        if request.path == RELEASE_PATH:
            self._released.set()
            return HttpResponse(200, b"")
        with self._lock:
            if self._running >= self._slots:
                self._declined += 1
                return HttpResponse(
                    503, b"all slots are in use", NOT_RUN_HEADERS
                )
            self._running += 1
            self._most_running = max(self._most_running, self._running)
            run_id = request.headers.get("x-work-id", "")
            if run_id:
                self._runs_by_id[run_id] = self._runs_by_id.get(run_id, 0) + 1
        try:
            return self._execute(request)
        finally:
            with self._lock:
                self._running -= 1

    def _execute(self, request) -> HttpResponse:
        work_ms = min(int(request.query.get("work_ms", "0")), MAX_WORK_MS)
        if work_ms:
            time.sleep(work_ms / 1000)
        if "held" in request.query:
            self._released.wait(MAX_WORK_MS / 1000)
        if "size" in request.query:
            return HttpResponse(200, b"x" * int(request.query["size"]))
        return json_response(
            {
                "executor": self._name,
                "method": request.method,
                "uri": request.uri,
                "headers": request.headers,
                "body_sha256": sha256(request.body).hexdigest(),
            }
        )

    def _counters(self) -> HttpResponse:
        with self._lock:
            counters = {
                "most_running": self._most_running,
                "declined": self._declined,
                "runs_by_id": self._runs_by_id,
            }
            return HttpResponse(200, json.dumps(counters).encode())


def run_executor(*, listen: str, name: str, slots: int = 8) -> None:
    """Serve requests until SIGTERM or SIGINT.

    Args:
      listen: "host:port" to listen on.
      name: Name of the instance.
      slots: Maximum number of concurrent requests.
    """
    executor = Executor(name, slots)
    serve(listen, executor.handle, threads=slots * 2 + 2)


if __name__ == "__main__":
    from defopt import run

    run(run_executor)
