"""Stand-in of a worker of the users' platform: runs tasks under one lease.

It keeps what the protocol asks of a worker (fences, run numbers, leases on
its own clock, ends that are listed until they are acknowledged) and a record
of every run, which tests compare with what was promised.
"""

from dataclasses import dataclass
import json
import threading
import time

from standins.serving import HttpRequest
from standins.serving import HttpResponse
from standins.serving import json_response

LIFE_HEADER = "target-instance"
TICK_S = 0.01
LONGEST_LEASE_MS = 6_000
LISTED_AT_ONCE = 500


@dataclass(slots=True)
class RunRecord:
    """A run, from its start to its end.

    Attributes:
      task: Identifier of the task.
      number: Number of the run.
      epoch: Fencing token of the order that started it.
      command: The text that came with it.
      cpu_milli: Processor room that its command names.
      began_s: Time of its start.
      due_s: Time at which it will have done its work.
      end: How it ended, or "" while it goes on.
      ended_s: Time of its end.
      lapsed: Whether the lease ran out between its end and the acknowledging.
      acknowledged: Whether its end was acknowledged before that.
    """

    task: str
    number: int
    epoch: int
    command: str
    cpu_milli: int
    began_s: float
    due_s: float
    end: str = ""
    ended_s: float = 0.0
    lapsed: bool = False
    acknowledged: bool = False


class JobWorker:
    """One life of a worker."""

    def __init__(self, worker_id: str, clock_rate: float = 1.0):
        """Begin empty.

        Args:
          worker_id: Identifier of this life.
          clock_rate: Speed of its steady clock; 0.98 is the slowest allowed.
        """
        self.worker_id = worker_id
        self.born_ms = time.time_ns() // 1_000_000
        self.records: list[RunRecord] = []
        self.alive = True
        self._clock_rate = clock_rate
        self._began_s = time.monotonic()
        self._fence = 0
        self._deadline_ms = 0
        self._active_by_task: dict[str, RunRecord] = {}
        self._highest_by_task: dict[str, int] = {}
        self._ended: list[tuple[int, RunRecord]] = []
        self._sequence = 0
        self._changed = threading.Condition()

    def die(self) -> None:
        """End this life at once; what runs is gone with it."""
        with self._changed:
            self.alive = False
            for record in list(self._active_by_task.values()):
                self._end(record, "lost")
            self._changed.notify_all()

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one call.

        Args:
          request: The call.
        Returns:
          The answer.
        """
        wish = json.loads(request.body or b"{}")
        with self._changed:
            life = request.headers.get(LIFE_HEADER, self.worker_id)
            if not self.alive or life != self.worker_id:
                return HttpResponse(421, b"another life")
            self._advance()
            if wish.get("FencingToken", 0) < self._fence:
                return self._refuse("fence")
            self._fence = wish.get("FencingToken", 0)
            match request.path:
                case "/run-start":
                    return self._start(wish)
                case "/run-stop":
                    return self._stop(wish)
                case "/hold":
                    return self._hold(wish)
                case "/pace":
                    return self._tell({})
        return HttpResponse(404, b"no such call")

    def advance(self) -> None:
        """End what has done its work, or whose lease is over."""
        with self._changed:
            self._advance()

    def _clock_ms(self) -> int:
        passed_s = time.monotonic() - self._began_s
        return int(passed_s * 1_000 * self._clock_rate)

    def _tell(self, content: dict) -> HttpResponse:
        return json_response(
            {"ClockMs": self._clock_ms(), "born": self.born_ms, **content}
        )

    def _refuse(self, reason: str) -> HttpResponse:
        return json_response(
            {"ClockMs": self._clock_ms(), "Reason": reason}, 409
        )

    def _extend(self, wish):
        if self._clock_ms() >= self._deadline_ms:
            for _, record in self._ended:
                record.lapsed = True
        until_ms = wish.get("DeadlineMs")
        if until_ms is not None:
            longest_ms = self._clock_ms() + LONGEST_LEASE_MS
            self._deadline_ms = max(
                self._deadline_ms, min(until_ms, longest_ms)
            )

    def _start(self, wish) -> HttpResponse:
        if wish["DeadlineMs"] <= self._clock_ms():
            return self._refuse("late")
        self._extend(wish)
        task, number = wish["Task"], wish["RunId"]
        active = self._active_by_task.get(task)
        if active is not None and active.number == number:
            return self._tell({})
        if number <= self._highest_by_task.get(task, 0):
            return self._refuse("old")
        self._highest_by_task[task] = number
        work_s, cpu_milli = _read_command(wish["Spec"])
        now_s = time.monotonic()
        record = RunRecord(
            task,
            number,
            wish["FencingToken"],
            wish["Spec"],
            cpu_milli,
            now_s,
            now_s + work_s,
        )
        self.records.append(record)
        self._active_by_task[task] = record
        return self._tell({})

    def _stop(self, wish) -> HttpResponse:
        task, number = wish["Task"], wish["RunId"]
        highest = max(self._highest_by_task.get(task, 0), number)
        self._highest_by_task[task] = highest
        record = self._active_by_task.get(task)
        if record is not None and record.number <= number:
            self._end(record, "stopped")
        return self._tell({})

    def _hold(self, wish) -> HttpResponse:
        self._extend(wish)
        cursor = wish.get("AckCursor", 0)
        for sequence, record in self._ended:
            if sequence <= cursor:
                record.acknowledged = not record.lapsed
        self._ended = [row for row in self._ended if row[0] > cursor]
        until_s = time.monotonic() + wish.get("WaitMs", 0) / 1_000
        while not self._ended and self.alive:
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                break
            self._changed.wait(min(left_s, TICK_S))
            self._advance()
        active = [
            [record.task, record.number, "", 100, 0]
            for record in self._active_by_task.values()
        ]
        finished = [
            [sequence, record.task, record.number, record.end, ""]
            for sequence, record in self._ended[:LISTED_AT_ONCE]
        ]
        return self._tell({"Active": active, "Finished": finished})

    def _advance(self):
        now_s = time.monotonic()
        lapsed = self._clock_ms() >= self._deadline_ms
        for record in list(self._active_by_task.values()):
            if record.due_s <= now_s:
                self._end(record, "done")
            elif lapsed:
                self._end(record, "lapsed")

    def _end(self, record: RunRecord, end: str) -> None:
        record.end = end
        record.ended_s = time.monotonic()
        del self._active_by_task[record.task]
        self._sequence += 1
        self._ended.append((self._sequence, record))
        self._changed.notify_all()


def _read_command(command: str) -> tuple[float, int]:
    """Read a command "work SECONDS MILLICORES"."""
    _, seconds, cpu_milli = command.split()[:3]
    return float(seconds), int(cpu_milli)
