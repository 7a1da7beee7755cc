"""Stand-in of an executor: slots, work that takes time, faults on demand.

The query string steers it: work_ms is how long the request takes, held that it
runs until RELEASE_PATH was called, size how many bytes the answer has, fault
what goes wrong ("break" closes without an answer).  Any other call is answered
with what arrived.
"""

from hashlib import sha256
import json
import threading
import time

from standins.serving import Answer
from standins.serving import json_answer
from standins.serving import Question
from standins.serving import serve

WORK_MOST_MS = 60_000
RELEASE_PATH = "/standin/release"
NOT_RUN = (("Sesamehall-Not-Run", "1"),)


class Executor:
    """An executor's slots and its record of what it ran."""

    def __init__(self, name: str, slots: int):
        """Begin with all slots free.

        Args:
          name: Name of the instance, told in every answer.
          slots: Requests that run at once.
        """
        self._name = name
        self._slots = slots
        self._lock = threading.Lock()
        self._released = threading.Event()
        self._running = 0
        self._most_running = 0
        self._declined = 0
        self._runs_by_id: dict[str, int] = {}

    def answer(self, question: Question) -> Answer:
        """Run one request, or decline it when all slots are in use.

        Args:
          question: The request.
        Returns:
          The answer.
        """
        if question.path == "/standin/record":
            return self._record()
        if question.path == RELEASE_PATH:
            self._released.set()
            return Answer(200, b"")
        with self._lock:
            if self._running >= self._slots:
                self._declined += 1
                return Answer(503, b"all slots are in use", NOT_RUN)
            self._running += 1
            self._most_running = max(self._most_running, self._running)
            run_id = question.headers.get("x-work-id", "")
            if run_id:
                self._runs_by_id[run_id] = self._runs_by_id.get(run_id, 0) + 1
        try:
            return self._work(question)
        finally:
            with self._lock:
                self._running -= 1

    def _work(self, question) -> Answer:
        work_ms = min(int(question.query.get("work_ms", "0")), WORK_MOST_MS)
        if work_ms:
            time.sleep(work_ms / 1000)
        if "held" in question.query:
            self._released.wait(WORK_MOST_MS / 1000)
        if "size" in question.query:
            return Answer(200, b"x" * int(question.query["size"]))
        return json_answer(
            {
                "executor": self._name,
                "method": question.method,
                "uri": question.uri,
                "headers": question.headers,
                "body_sha256": sha256(question.body).hexdigest(),
            }
        )

    def _record(self) -> Answer:
        with self._lock:
            record = {
                "most_running": self._most_running,
                "declined": self._declined,
                "runs_by_id": self._runs_by_id,
            }
            return Answer(200, json.dumps(record).encode())


def run_executor(*, listen: str, name: str, slots: int = 8) -> None:
    """Serve requests until SIGTERM.

    Args:
      listen: "host:port".
      name: Name of the instance.
      slots: Requests that run at once.
    """
    executor = Executor(name, slots)
    serve(listen, executor.answer, threads=slots * 2 + 2)


if __name__ == "__main__":
    from defopt import run

    run(run_executor)
