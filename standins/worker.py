"""Stand-in for a worker of the steward that runs tasks under leases.

PUT    /tasks/ID            start the task or renew its lease
DELETE /tasks/ID            stop the task
GET    /standin/record      number of starts by task

The command "sleep SECONDS" runs for that long; "fail" fails immediately.
"""

from dataclasses import dataclass
import json
import threading
import time

from standins.serving import HttpRequest
from standins.serving import HttpResponse
from standins.serving import json_response
from standins.serving import serve


@dataclass(slots=True)
class Task:
    """A task and its lease.

    Attributes:
      completes_at: Monotonic time at which the task completes.
      lease_expires_at: Monotonic time at which the task is stopped unless its
        lease is renewed.
      succeeds: Whether the task succeeds.
      ended: Whether the task has ended.
      detail: Reason for the end, as reported to the steward.
    """

    completes_at: float
    lease_expires_at: float
    succeeds: bool
    ended: bool = False
    detail: str = ""


class Worker:
    """Tasks that a worker has run since it started."""

    def __init__(self):
        """Initialize a worker without tasks."""
        self._lock = threading.Lock()
        self._tasks_by_id: dict[str, Task] = {}
        self._highest_epoch = -1
        self._starts_by_id: dict[str, int] = {}

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle a request of the steward.

        Args:
          request: The request.
        Returns:
          The response.
        """
        if request.path == "/standin/record":
            return json_response(self._starts_by_id)
        task_id = request.path.removeprefix("/tasks/")
        with self._lock:
            match request.method:
                case "PUT":
                    return self._start_or_renew(
                        task_id, json.loads(request.body)
                    )
                case "DELETE":
                    return self._stop(task_id, request.query)
        return HttpResponse(404, b"no such call")

    def _start_or_renew(self, task_id, order) -> HttpResponse:
        if order["epoch"] < self._highest_epoch:
            return HttpResponse(409, b"stale epoch")
        self._highest_epoch = order["epoch"]
        now = time.monotonic()
        task = self._tasks_by_id.get(task_id)
        if task is None:
            task = _new_task(order["command"], now)
            self._tasks_by_id[task_id] = task
            starts = self._starts_by_id.get(task_id, 0)
            self._starts_by_id[task_id] = starts + 1
        _advance(task, now)
        task.lease_expires_at = now + order["lease_ms"] / 1000
        return _status_response(task)

    def _stop(self, task_id, query) -> HttpResponse:
        epoch = int(query["epoch"])
        task = self._tasks_by_id.get(task_id)
        if epoch < self._highest_epoch:
            return HttpResponse(409, b"stale epoch")
        if task is None:
            return HttpResponse(404, b"no such task")
        _advance(task, time.monotonic())
        if not task.ended:
            task.ended = True
            task.succeeds = False
            task.detail = "stopped"
        return _status_response(task)


def _new_task(command: str, now: float) -> Task:
    verb, _, argument = command.partition(" ")
    seconds = float(argument) if verb == "sleep" else 0.0
    return Task(now + seconds, now, verb != "fail")


def _advance(task: Task, now: float) -> None:
    """End a task that has completed or whose lease has expired."""
    if task.ended or now < min(task.completes_at, task.lease_expires_at):
        return
    just_started = task.lease_expires_at == now
    if task.completes_at <= task.lease_expires_at or just_started:
        if task.completes_at <= now:
            task.ended = True
            task.detail = "finished" if task.succeeds else "failed"
    else:
        task.ended = True
        task.succeeds = False
        task.detail = "lease lapsed"


def _status_response(task: Task) -> HttpResponse:
    if not task.ended:
        return json_response({"phase": "running"})
    return json_response(
        {
            "phase": "ended",
            "succeeded": task.succeeds,
            "detail": task.detail,
        }
    )


def run_worker(*, listen: str) -> None:
    """Serve requests of a steward until SIGTERM or SIGINT.

    Args:
      listen: "host:port" to listen on.
    """
    serve(listen, Worker().handle, threads=8)


if __name__ == "__main__":
    from defopt import run

    run(run_worker)
