"""Stand-in for a worker of the users' platform; one lease covers all its runs.

It implements the worker's side of the protocol: fencing tokens, run numbers, a
lease measured on the worker's own clock, and a list of ended runs that are
reported until the manager acknowledges them.  It also records every run so
that tests can check the guarantees of the manager.
"""

from dataclasses import dataclass
import json
import threading
import time

from standins.serving import HttpRequest
from standins.serving import HttpResponse
from standins.serving import json_response

TARGET_HEADER = "target-instance"
POLL_INTERVAL_S = 0.01
MAX_LEASE_MS = 6_000
MAX_REPORTED_ENDED_RUNS = 500


@dataclass(slots=True)
class RunRecord:
    """A run of a task.

    Attributes:
      task_id: Identifier of the task.
      number: Number of the run; a task's later runs have higher numbers.
      fencing_token: Fencing token of the order that started it.
      command: Command of the task.
      cpu_milli: CPU demand in thousandths of a core, taken from the command.
      started_s: Monotonic time of its start.
      completes_s: Monotonic time at which its work is done.
      outcome: "done", "stopped", "lapsed" (lease expired) or "lost" (worker
        terminated); "" while it runs.
      ended_s: Monotonic time of its end.
      lease_expired: Whether the worker's lease expired at or after the end of
        the run, before a manager acknowledged the end.
      acknowledged: Whether a manager acknowledged its end before the lease
        expired.
    """

    task_id: str
    number: int
    fencing_token: int
    command: str
    cpu_milli: int
    started_s: float
    completes_s: float
    outcome: str = ""
    ended_s: float = 0.0
    lease_expired: bool = False
    acknowledged: bool = False


class JobWorker:
    """A worker, from its start until it terminates.

    Attributes:
      worker_id: Identifier of the worker.
      started_wall_ms: Time of its start, since 1970.
      records: All its runs, in the order of their starts.
      alive: Whether it has not terminated.
    """

    def __init__(self, worker_id: str, clock_rate: float = 1.0):
        """Initialize a worker without runs.

        Args:
          worker_id: Identifier of the worker; a restart takes a new one.
          clock_rate: Rate of its monotonic clock; the protocol allows 0.98 as
            the slowest.
        """
        self.worker_id = worker_id
        self.started_wall_ms = time.time_ns() // 1_000_000
        self.records: list[RunRecord] = []
        self.alive = True
        self._clock_rate = clock_rate
        self._started_s = time.monotonic()
        self._highest_token = 0
        self._lease_deadline_ms = 0
        self._active_by_task: dict[str, RunRecord] = {}
        self._highest_number_by_task: dict[str, int] = {}
        # Sequence number of the end, and the ended run.
        self._unacknowledged_runs: list[tuple[int, RunRecord]] = []
        self._last_end_sequence = 0
        self._changed = threading.Condition()

    def terminate(self) -> None:
        """Stop serving immediately; active runs are lost."""
        with self._changed:
            self.alive = False
            self._end_due_runs()
            for record in list(self._active_by_task.values()):
                self._end(record, "lost", time.monotonic())
            self._changed.notify_all()

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle a request of a manager.

        Args:
          request: The request.
        Returns:
          The response.
        """
        order = json.loads(request.body or b"{}")
        with self._changed:
            target = request.headers.get(TARGET_HEADER, self.worker_id)
            if not self.alive or target != self.worker_id:
                # Another incarnation of the machine is meant; managers read
                # only the status.
                return HttpResponse(421, b"another life")
            self._end_due_runs()
            if order.get("FencingToken", 0) < self._highest_token:
                return self._reject("fence")
            self._highest_token = order.get("FencingToken", 0)
            match request.path:
                case "/run-start":
                    return self._start(order)
                case "/run-stop":
                    return self._stop(order)
                case "/hold":
                    return self._renew_and_report(order)
                case "/pace":
                    # Runs are not throttled; the order is only acknowledged.
                    return self._ok_response({})
        return HttpResponse(404, b"no such call")

    def end_due_runs(self) -> None:
        """End runs that have completed or whose lease has expired."""
        with self._changed:
            self._end_due_runs()

    def _clock_ms(self) -> int:
        elapsed_s = time.monotonic() - self._started_s
        return int(elapsed_s * 1_000 * self._clock_rate)

    def _ok_response(self, content: dict) -> HttpResponse:
        """Respond with the worker's clock, its start time and the content."""
        return json_response(
            {
                "ClockMs": self._clock_ms(),
                "born": self.started_wall_ms,
                **content,
            }
        )

    def _reject(self, reason: str) -> HttpResponse:
        return json_response(
            {"ClockMs": self._clock_ms(), "Reason": reason}, 409
        )

    def _extend_lease(self, order):
        # It is too late to acknowledge these ends: once the lease has expired,
        # the tasks may run elsewhere.
        if self._clock_ms() >= self._lease_deadline_ms:
            for _, record in self._unacknowledged_runs:
                record.lease_expired = True
        deadline_ms = order.get("DeadlineMs")
        if deadline_ms is not None:
            latest_ms = self._clock_ms() + MAX_LEASE_MS
            self._lease_deadline_ms = max(
                self._lease_deadline_ms, min(deadline_ms, latest_ms)
            )

    def _start(self, order) -> HttpResponse:
        if order["DeadlineMs"] <= self._clock_ms():
            return self._reject("late")
        self._extend_lease(order)
        task_id, number = order["Task"], order["RunId"]
        active = self._active_by_task.get(task_id)
        if active is not None and active.number == number:
            return self._ok_response({})
        if number <= self._highest_number_by_task.get(task_id, 0):
            return self._reject("old")
        self._highest_number_by_task[task_id] = number
        work_s, cpu_milli = _parse_command(order["Spec"])
        now_s = time.monotonic()
        record = RunRecord(
            task_id,
            number,
            order["FencingToken"],
            order["Spec"],
            cpu_milli,
            now_s,
            now_s + work_s,
        )
        self.records.append(record)
        self._active_by_task[task_id] = record
        return self._ok_response({})

    def _stop(self, order) -> HttpResponse:
        task_id, number = order["Task"], order["RunId"]
        highest = max(self._highest_number_by_task.get(task_id, 0), number)
        self._highest_number_by_task[task_id] = highest
        record = self._active_by_task.get(task_id)
        if record is not None and record.number <= number:
            self._end(record, "stopped", time.monotonic())
        return self._ok_response({})

    def _renew_and_report(self, order) -> HttpResponse:
        """Renew the lease and report runs; wait until one has ended."""
        self._extend_lease(order)
        cursor = order.get("AckCursor", 0)
        for sequence, record in self._unacknowledged_runs:
            if sequence <= cursor:
                record.acknowledged = not record.lease_expired
        self._unacknowledged_runs = [
            row for row in self._unacknowledged_runs if row[0] > cursor
        ]
        deadline_s = time.monotonic() + order.get("WaitMs", 0) / 1_000
        while not self._unacknowledged_runs and self.alive:
            remaining_s = deadline_s - time.monotonic()
            if remaining_s <= 0:
                break
            self._changed.wait(min(remaining_s, POLL_INTERVAL_S))
            self._end_due_runs()
        # Task, run number, checkpoint, percent and load.  The last three are
        # fixed, as runs write no checkpoints and report no progress.
        active = [
            [record.task_id, record.number, "", 100, 0]
            for record in self._active_by_task.values()
        ]
        ended = [
            [sequence, record.task_id, record.number, record.outcome, ""]
            for sequence, record in self._unacknowledged_runs[
                :MAX_REPORTED_ENDED_RUNS
            ]
        ]
        return self._ok_response({"Active": active, "Finished": ended})

    def _end_due_runs(self):
        """End due runs at the times at which they were due."""
        now_s = time.monotonic()
        lease_s = self._lease_deadline_ms / 1_000 / self._clock_rate
        lease_end_s = self._started_s + lease_s
        active = self._active_by_task.values()
        for record in sorted(active, key=lambda run: run.completes_s):
            if record.completes_s <= min(now_s, lease_end_s):
                self._end(record, "done", record.completes_s)
            elif lease_end_s <= now_s:
                self._end(record, "lapsed", lease_end_s)

    def _end(self, record: RunRecord, outcome: str, ended_s: float) -> None:
        record.outcome = outcome
        record.ended_s = max(ended_s, record.started_s)
        del self._active_by_task[record.task_id]
        self._last_end_sequence += 1
        self._unacknowledged_runs.append((self._last_end_sequence, record))
        self._changed.notify_all()


def _parse_command(command: str) -> tuple[float, int]:
    """Parse a command "work SECONDS MILLICORES"; more words are ignored."""
    _, seconds, cpu_milli = command.split()[:3]
    return float(seconds), int(cpu_milli)
