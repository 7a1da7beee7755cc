"""Stand-in for an executor, written from PROTOCOL.md.

It starts whatever it is told (`RejectsOverload` false).  A Spec is "work
SECONDS" or "last".  All runs share one lease on the executor's own clock.
"""

from dataclasses import dataclass
import json
import threading
import time

from review.harness3.httpserver import json_reply
from review.harness3.httpserver import Reply
from review.harness3.httpserver import Request

HOLD_MAX_MS = 6_000
POLL_S = 0.01


@dataclass(slots=True)
class Run:
    """A run; `end` is "" while it is active."""

    task: str
    number: int
    token: int
    spec: str
    started_s: float
    work_s: float
    end: str = ""
    ended_s: float = 0.0
    percent: int = 100


class Executor:
    """One life of an executor, from its start to its crash."""

    def __init__(self, executor_id: str, capacity: dict, lab):
        """Start a life; `lab` records what happens."""
        self.executor_id = executor_id
        self.capacity = capacity
        self.born_ms = time.time_ns() // 1_000_000
        self.runs: list[Run] = []
        self.alive = True
        # Tells whether a request reaches the executor, by its fencing token.
        self.reaches = lambda token: True
        self._lab = lab
        self._began_s = time.monotonic()
        self._token = 0
        self._deadline_ms = 0
        self._active: dict[str, Run] = {}
        self._highest: dict[str, int] = {}
        self._ends: list[tuple[int, Run]] = []
        self._last_end = 0
        self._changed = threading.Condition()

    def crash(self) -> None:
        """End this life; everything that runs on it terminates."""
        with self._changed:
            self._settle()
            self.alive = False
            for run in list(self._active.values()):
                self._end(run, "crashed")
            self._changed.notify_all()

    def settle(self) -> None:
        """End the runs that are due."""
        with self._changed:
            if self.alive:
                self._settle()

    def end_run(self, task: str, how: str) -> None:
        """End an active run, as its program does by itself."""
        with self._changed:
            self._end(self._active[task], how)

    def active(self) -> list[Run]:
        """List the active runs."""
        with self._changed:
            return list(self._active.values())

    def lease_end_s(self) -> float:
        """Return the end of the lease, in monotonic time."""
        return self._began_s + self._deadline_ms / 1_000

    def handle(self, request: Request) -> Reply:
        """Serve a call of a manager."""
        order = json.loads(request.body or b"{}")
        token = order.get("FencingToken", 0)
        if not self.reaches(token):
            # A partition: the bytes do not arrive, and nobody answers.
            while self.alive and not self.reaches(token):
                time.sleep(0.05)
            return Reply(0)
        with self._changed:
            if not self.alive:
                return Reply(0)
            target = request.headers.get("target-instance", self.executor_id)
            if target != self.executor_id:
                return json_reply({}, 421)
            self._settle()
            if token < self._token:
                return self._refuse("fence")
            self._token = token
            match request.path:
                case "/run-start":
                    return self._start(order)
                case "/run-stop":
                    return self._stop(order)
                case "/hold":
                    return self._hold(order)
                case "/pace":
                    return self._answer({})
        return json_reply({}, 404)

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._began_s) * 1_000)

    def _answer(self, fields) -> Reply:
        return json_reply(
            {"ClockMs": self._clock_ms(), "born": self.born_ms, **fields}
        )

    def _refuse(self, reason) -> Reply:
        return json_reply(
            {
                "ClockMs": self._clock_ms(),
                "born": self.born_ms,
                "Reason": reason,
            },
            409,
        )

    def _extend(self, order):
        deadline_ms = order.get("DeadlineMs")
        if deadline_ms is not None:
            latest_ms = self._clock_ms() + HOLD_MAX_MS
            self._deadline_ms = max(
                self._deadline_ms, min(deadline_ms, latest_ms)
            )

    def _start(self, order) -> Reply:
        if order["DeadlineMs"] <= self._clock_ms():
            return self._refuse("late")
        self._extend(order)
        task, number = order["Task"], order["RunId"]
        run = self._active.get(task)
        if run is not None and run.number == number:
            return self._answer({})
        if number <= self._highest.get(task, 0):
            return self._refuse("old")
        advice = self._lab.advice
        if advice is not None and not advice.allows(self.executor_id, order):
            return self._refuse("ticket")
        self._highest[task] = number
        words = order["Spec"].split()
        work_s = float("inf") if words[0] == "last" else float(words[1])
        run = Run(
            task,
            number,
            order["FencingToken"],
            order["Spec"],
            time.monotonic(),
            work_s,
        )
        self._active[task] = run
        self.runs.append(run)
        self._lab.started(self, run)
        return self._answer({})

    def _stop(self, order) -> Reply:
        task, number = order["Task"], order["RunId"]
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self._active.get(task)
        if run is not None and run.number <= number:
            self._end(run, "stopped")
        return self._answer({})

    def _hold(self, order) -> Reply:
        self._extend(order)
        cursor = order.get("AckCursor", 0)
        self._ends = [row for row in self._ends if row[0] > cursor]
        until_s = time.monotonic() + min(order.get("WaitMs", 0), 2_000) / 1e3
        while not self._ends and self.alive:
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                break
            self._changed.wait(min(left_s, POLL_S))
            if self.alive:
                self._settle()
        if not self.alive:
            return Reply(0)
        active = [
            [run.task, run.number, "", self._percent(run), 0]
            for run in self._active.values()
        ]
        ended = [
            [number, run.task, run.number, run.end, ""]
            for number, run in self._ends[:500]
        ]
        return self._answer({"Active": active, "Finished": ended})

    def _percent(self, run) -> int:
        if run.work_s == float("inf"):
            return 100
        share = (time.monotonic() - run.started_s) / max(run.work_s, 0.001)
        return min(int(share * 100), 99)

    def _settle(self):
        now_s = time.monotonic()
        lapse_s = self._began_s + self._deadline_ms / 1_000
        for run in list(self._active.values()):
            done_s = run.started_s + run.work_s
            if done_s <= min(now_s, lapse_s):
                self._end(run, "done")
            elif lapse_s <= now_s:
                self._end(run, "lapsed")

    def _end(self, run, how):
        run.end = how
        run.ended_s = time.monotonic()
        del self._active[run.task]
        self._last_end += 1
        self._ends.append((self._last_end, run))
        self._lab.ended(self, run)
        self._changed.notify_all()
