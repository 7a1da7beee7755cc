"""Load generator of the soak: submits jobs, cancels some and polls them."""

from dataclasses import dataclass
from dataclasses import field
import json
import random
import threading
import time

from urllib3 import HTTPConnectionPool
from urllib3 import Timeout
from urllib3.exceptions import HTTPError

from soak.cluster import API_KEY
from soak.cluster import POOL_BY_QUEUE

HOST = "soak.example"
REQUEST_TIMEOUT = Timeout(connect=0.5, read=3.0)
REJECTED_STATUSES = (429, 503)  # guarantee that the submission had no effect
MAX_ATTEMPTS = 8
RETRY_INTERVAL_S = 0.3
CANCEL_SHARE = 0.1
MAX_STEPS = 3
MAX_TASKS_PER_STEP = 6
WIDE_TASKS = (10, 20)
WIDE_SECONDS = (0.2, 3.0)
LONG_SECONDS = (3.0, 8.0)
HEADERS = {"Authorization": f"Token {API_KEY}", "Host": HOST}


@dataclass(slots=True)
class SubmittedJob:
    """A submitted job and what the client has observed of it.

    Attributes:
      job_id: Identifier of the job.
      queue: Queue of the job.
      command: Command of all its tasks.
      step_sizes: Number of tasks of each step; each step depends on the
        previous one.
      accepted: Whether a submission succeeded.
      all_rejected: Whether all submissions were definitely rejected.
      cancel_sent_s: Monotonic time of the first cancel request, or 0.
      cancel_confirmed_s: Monotonic time at which it was confirmed, or 0.
      observed_states: Reported states, each preceded by its time.
      not_found_s: Times at which the accepted job was reported as unknown.
    """

    job_id: str
    queue: str
    command: str
    step_sizes: tuple[int, ...]
    accepted: bool = False
    all_rejected: bool = False
    cancel_sent_s: float = 0.0
    cancel_confirmed_s: float = 0.0
    observed_states: list[tuple[float, str]] = field(default_factory=list)
    not_found_s: list[float] = field(default_factory=list)


class LoadGenerator:
    """Submits random jobs and follows each in a thread of its own.

    Successive attempts for a job go to the managers in turn.
    """

    def __init__(
        self, addresses: list[str], seed: int, varied_share: float = 0.0
    ):
        """Initialize the generator.

        Args:
          addresses: "host:port" of each manager.
          seed: Seed for the jobs and their timing.
          varied_share: Share of jobs with many tasks, and of jobs with long
            ones.
        """
        self._varied_share = varied_share
        self._random = random.Random(seed)
        self._connections = []
        for address in addresses:
            host, _, port = address.rpartition(":")
            self._connections.append(
                HTTPConnectionPool(host, int(port), maxsize=8)
            )
        self.jobs: list[SubmittedJob] = []
        self._threads: list[threading.Thread] = []

    def submit_for(self, seconds: float, per_s: float) -> None:
        """Submit jobs for a while, then wait until all have been followed.

        Args:
          seconds: Time during which jobs are submitted.
          per_s: Mean number of jobs per second.
        """
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            job = self._generate_job()
            self.jobs.append(job)
            cancel = self._random.random() < CANCEL_SHARE
            first = self._random.randrange(len(self._connections))
            thread = threading.Thread(
                target=self._submit_and_follow,
                args=(job, first, cancel),
                daemon=True,
            )
            thread.start()
            self._threads.append(thread)
            time.sleep(self._random.expovariate(per_s))
        for thread in self._threads:
            thread.join()

    def submit(self, job: SubmittedJob) -> None:
        """Submit a job at the first manager, once.

        Args:
          job: The job; it counts as accepted if the manager says so.
        """
        self.jobs.append(job)
        status, _ = self._request("POST", job, _job_body(job), 0)
        job.accepted = status == 200

    def poll_state(self, job: SubmittedJob, first: int = 0) -> str:
        """Query the state of a job, trying one manager after another.

        Args:
          job: The job.
          first: Index of the manager to try first.
        Returns:
          State of the job, or "" if no manager reported one.
        """
        for attempt in range(len(self._connections)):
            status, content = self._request("GET", job, None, first + attempt)
            if status == 200:
                state = content.get("State", "")
                job.observed_states.append((time.monotonic(), state))
                return state
            if status == 410 and job.accepted:
                job.not_found_s.append(time.monotonic())
        return ""

    def _generate_job(self) -> SubmittedJob:
        rng = self._random
        step_sizes = tuple(
            rng.randint(1, MAX_TASKS_PER_STEP)
            for _ in range(rng.randint(1, MAX_STEPS))
        )
        seconds = rng.uniform(0.05, 1.5)
        cpu_milli = rng.choice((500, 1_000, 3_000))
        if self._varied_share:
            kind = rng.random()
            if kind < self._varied_share:
                step_sizes = (rng.randint(*WIDE_TASKS),)
                seconds, cpu_milli = rng.uniform(*WIDE_SECONDS), 500
            elif kind < 2 * self._varied_share:
                step_sizes = (rng.randint(1, 3),)
                seconds, cpu_milli = rng.uniform(*LONG_SECONDS), 500
        job_id = f"{rng.getrandbits(64):016x}"
        command = f"work {seconds:.3f} {cpu_milli} {job_id}"
        return SubmittedJob(
            job_id, rng.choice(sorted(POOL_BY_QUEUE)), command, step_sizes
        )

    def _submit_and_follow(
        self, job: SubmittedJob, first: int, cancel: bool
    ) -> None:
        """Submit a job until accepted, then cancel it or not and poll it."""
        rejections = 0
        for attempt in range(MAX_ATTEMPTS):
            status, _ = self._request(
                "POST", job, _job_body(job), first + attempt
            )
            if status == 200:
                job.accepted = True
                break
            rejections += status in REJECTED_STATUSES
            time.sleep(RETRY_INTERVAL_S)
        else:
            job.all_rejected = rejections == MAX_ATTEMPTS
            return
        if cancel:
            self._cancel(job, first)
        for attempt in range(MAX_ATTEMPTS):
            time.sleep(RETRY_INTERVAL_S)
            self.poll_state(job, first + attempt)

    def _cancel(self, job, first):
        for attempt in range(MAX_ATTEMPTS):
            job.cancel_sent_s = job.cancel_sent_s or time.monotonic()
            status, _ = self._request("DELETE", job, None, first + attempt)
            if status in (200, 410):
                job.cancel_confirmed_s = time.monotonic()
                return
            time.sleep(RETRY_INTERVAL_S)

    def _request(self, method, job, content, index) -> tuple[int, dict]:
        """Send a request; status 0 means that no complete response arrived."""
        pool = self._connections[index % len(self._connections)]
        body = None if content is None else json.dumps(content).encode()
        try:
            response = pool.urlopen(
                method,
                f"/{job.queue}/{job.job_id}",
                body=body,
                headers=HEADERS,
                retries=False,
                timeout=REQUEST_TIMEOUT,
            )
        except (HTTPError, OSError):
            return 0, {}
        return response.status, json.loads(response.data or b"{}")


def _job_body(job: SubmittedJob) -> dict:
    _, seconds, cpu_milli, _ = job.command.split()
    steps = [
        {
            "TaskCount": count,
            "Cpu": int(cpu_milli),
            "MemMb": 10,
            "EstimateMs": int(float(seconds) * 1_000),
            "After": [step - 1] if step else [],
        }
        for step, count in enumerate(job.step_sizes)
    ]
    return {"Spec": job.command, "Steps": steps}
