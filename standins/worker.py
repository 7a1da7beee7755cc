"""Stand-in of a worker: runs tasks under leases.

PUT    /tasks/ID            start the task or renew its lease
DELETE /tasks/ID            stop the task
GET    /standin/record      how often each task was started

A command "sleep SECONDS" takes that long; "fail" fails at once.
"""

from dataclasses import dataclass
import json
import threading
import time

from standins.serving import Answer
from standins.serving import json_answer
from standins.serving import Question
from standins.serving import serve


@dataclass(slots=True)
class Task:
    """A task and its lease.

    Attributes:
      ends_at: Clock at which it will have run to its end.
      lease_ends_at: Clock at which it stops without a renewal.
      succeeds: Whether it ends well.
      ended: Whether its end was decided, and how.
      detail: What is told about the end.
    """

    ends_at: float
    lease_ends_at: float
    succeeds: bool
    ended: bool = False
    detail: str = ""


class Worker:
    """A worker's tasks of this boot."""

    def __init__(self):
        """Begin without a task."""
        self._lock = threading.Lock()
        self._tasks_by_id: dict[str, Task] = {}
        self._epoch = -1
        self._starts_by_id: dict[str, int] = {}

    def answer(self, question: Question) -> Answer:
        """Answer one call.

        Args:
          question: The call.
        Returns:
          The answer.
        """
        if question.path == "/standin/record":
            return json_answer(self._starts_by_id)
        task_id = question.path.removeprefix("/tasks/")
        with self._lock:
            match question.method:
                case "PUT":
                    return self._run(task_id, json.loads(question.body))
                case "DELETE":
                    return self._stop(task_id, question.query)
        return Answer(404, b"no such call")

    def _run(self, task_id, wish) -> Answer:
        if wish["epoch"] < self._epoch:
            return Answer(409, b"stale epoch")
        self._epoch = wish["epoch"]
        now = time.monotonic()
        task = self._tasks_by_id.get(task_id)
        if task is None:
            task = _new_task(wish["command"], now)
            self._tasks_by_id[task_id] = task
            starts = self._starts_by_id.get(task_id, 0)
            self._starts_by_id[task_id] = starts + 1
        _advance(task, now)
        task.lease_ends_at = now + wish["lease_ms"] / 1000
        return _tell(task)

    def _stop(self, task_id, query) -> Answer:
        epoch = int(query["epoch"])
        task = self._tasks_by_id.get(task_id)
        if epoch < self._epoch:
            return Answer(409, b"stale epoch")
        if task is None:
            return Answer(404, b"no such task")
        _advance(task, time.monotonic())
        if not task.ended:
            task.ended = True
            task.succeeds = False
            task.detail = "stopped"
        return _tell(task)


def _new_task(command: str, now: float) -> Task:
    word, _, argument = command.partition(" ")
    seconds = float(argument) if word == "sleep" else 0.0
    return Task(now + seconds, now, word != "fail")


def _advance(task: Task, now: float) -> None:
    """Decide a task's end by the clock: its own, or that of its lease."""
    if task.ended or now < min(task.ends_at, task.lease_ends_at):
        return
    started_now = task.lease_ends_at == now
    if task.ends_at <= task.lease_ends_at or started_now:
        if task.ends_at <= now:
            task.ended = True
            task.detail = "finished" if task.succeeds else "failed"
    else:
        task.ended = True
        task.succeeds = False
        task.detail = "lease lapsed"


def _tell(task: Task) -> Answer:
    if not task.ended:
        return json_answer({"phase": "running"})
    return json_answer(
        {
            "phase": "ended",
            "succeeded": task.succeeds,
            "detail": task.detail,
        }
    )


def run_worker(*, listen: str) -> None:
    """Serve a steward's calls until SIGTERM.

    Args:
      listen: "host:port".
    """
    serve(listen, Worker().answer, threads=8)


if __name__ == "__main__":
    from defopt import run

    run(run_worker)
