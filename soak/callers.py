"""Callers of the soak: they hand jobs in, cancel some, and ask for them."""

from dataclasses import dataclass
from dataclasses import field
import json
import random
import threading
import time

from urllib3 import HTTPConnectionPool
from urllib3 import Timeout
from urllib3.exceptions import HTTPError

from soak.world import KEY
from soak.world import QUEUES

HOST = "soak.example"
CALL_TIMEOUT = Timeout(connect=0.5, read=3.0)
NOT_ACCEPTED = (429, 503)  # says that the job never runs by this call
TRIES = 8
PAUSE_S = 0.3
CANCEL_SHARE = 0.1
STEPS_MOST = 3
TASKS_MOST = 6
HEADERS = {"Authorization": f"Token {KEY}", "Host": HOST}


@dataclass(slots=True)
class Handed:
    """A job as its caller knows it.

    Attributes:
      job_id: Its identifier.
      queue: Its queue.
      command: The text of its tasks.
      steps: Number of tasks of each step; a step waits for the one before.
      accepted: Whether a call was answered with success.
      refused_all: Whether every call was answered as not accepted.
      cancel_sent_s: Time at which cancelling was asked for, or 0.
      cancelled_s: Time at which that was answered with success, or 0.
      states: States that were shown, with the time of each first.
      unknown: Times at which an accepted job was said not to exist.
    """

    job_id: str
    queue: str
    command: str
    steps: tuple[int, ...]
    accepted: bool = False
    refused_all: bool = False
    cancel_sent_s: float = 0.0
    cancelled_s: float = 0.0
    states: list[tuple[float, str]] = field(default_factory=list)
    unknown: list[float] = field(default_factory=list)


class Callers:
    """Callers that use managers in turn, each job in a thread of its own."""

    def __init__(self, fronts: list[str], seed: int):
        """Prepare them.

        Args:
          fronts: "host:port" of every manager.
          seed: Seed of what they hand in.
        """
        self._random = random.Random(seed)
        self._pools = []
        for front in fronts:
            host, _, port = front.rpartition(":")
            self._pools.append(HTTPConnectionPool(host, int(port), maxsize=8))
        self.handed: list[Handed] = []
        self._threads: list[threading.Thread] = []

    def hand_in_for(self, seconds: float, per_s: float) -> None:
        """Hand jobs in for a while.

        Args:
          seconds: How long.
          per_s: Jobs a second.
        """
        until_s = time.monotonic() + seconds
        while time.monotonic() < until_s:
            job = self._draw()
            self.handed.append(job)
            cancels = self._random.random() < CANCEL_SHARE
            first = self._random.randrange(len(self._pools))
            thread = threading.Thread(
                target=self._follow, args=(job, first, cancels), daemon=True
            )
            thread.start()
            self._threads.append(thread)
            time.sleep(self._random.expovariate(per_s))
        for thread in self._threads:
            thread.join()

    def ask(self, job: Handed, first: int = 0) -> str:
        """Ask for a job's state, of one manager after the other.

        Args:
          job: The job.
          first: Number of the manager that is asked first.
        Returns:
          Its state, or "" where none could tell.
        """
        for number in range(len(self._pools)):
            status, content = self._call("GET", job, None, first + number)
            if status == 200:
                state = content.get("State", "")
                job.states.append((time.monotonic(), state))
                return state
            if status == 410 and job.accepted:
                job.unknown.append(time.monotonic())
        return ""

    def _draw(self) -> Handed:
        draw = self._random
        steps = tuple(
            draw.randint(1, TASKS_MOST)
            for _ in range(draw.randint(1, STEPS_MOST))
        )
        seconds = draw.uniform(0.05, 1.5)
        cpu_milli = draw.choice((500, 1_000, 3_000))
        job_id = f"{draw.getrandbits(64):016x}"
        command = f"work {seconds:.3f} {cpu_milli} {job_id}"
        return Handed(job_id, draw.choice(sorted(QUEUES)), command, steps)

    def _follow(self, job: Handed, first: int, cancels: bool) -> None:
        """Hand a job in until the answer is sure; then cancel it or ask."""
        refusals = 0
        for number in range(TRIES):
            status, _ = self._call("POST", job, _draft(job), first + number)
            if status == 200:
                job.accepted = True
                break
            refusals += status in NOT_ACCEPTED
            time.sleep(PAUSE_S)
        else:
            job.refused_all = refusals == TRIES
            return
        if cancels:
            self._cancel(job, first)
        for number in range(TRIES):
            time.sleep(PAUSE_S)
            self.ask(job, first + number)

    def _cancel(self, job, first):
        for number in range(TRIES):
            job.cancel_sent_s = job.cancel_sent_s or time.monotonic()
            status, _ = self._call("DELETE", job, None, first + number)
            if status in (200, 410):
                job.cancelled_s = time.monotonic()
                return
            time.sleep(PAUSE_S)

    def _call(self, method, job, content, index) -> tuple[int, dict]:
        """Make a call; status 0 stands for no whole answer."""
        pool = self._pools[index % len(self._pools)]
        body = None if content is None else json.dumps(content).encode()
        try:
            response = pool.urlopen(
                method,
                f"/{job.queue}/{job.job_id}",
                body=body,
                headers=HEADERS,
                retries=False,
                timeout=CALL_TIMEOUT,
            )
        except (HTTPError, OSError):
            return 0, {}
        return response.status, json.loads(response.data or b"{}")


def _draft(job: Handed) -> dict:
    _, seconds, cpu_milli, _ = job.command.split()
    steps = [
        {
            "TaskCount": count,
            "Cpu": int(cpu_milli),
            "MemMb": 10,
            "EstimateMs": int(float(seconds) * 1_000),
            "After": [number - 1] if number else [],
        }
        for number, count in enumerate(job.steps)
    ]
    return {"Spec": job.command, "Steps": steps}
