"""Seeded histories of jobs whose run times differ from what they declare.

A step has a run time that only its own tasks share: its logarithm is normally
distributed, and that of the declared run time is correlated with it. The
tasks of a step deviate little from it.
"""

from dataclasses import dataclass
from math import exp
from math import log
from math import sqrt
from random import Random

from immutables import Map

from bench.jobprocesses import NO_FAULTS
from bench.jobscenarios import Limits
from bench.jobworkers import FAILED_RUN_MS
from bench.jobworld import JobSimulation
from sesamehall.core.calls import JobCall
from sesamehall.core.calls import JobDraft
from sesamehall.core.calls import SubmitJob
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.managereffects import StartRun
from sesamehall.core.managerevents import JobCalled
from sesamehall.core.manifest import Manifest
from sesamehall.core.manifest import Queue
from sesamehall.core.manifest import Quota
from sesamehall.core.manifest import WorkerPool
from sesamehall.core.work import parse_task_id
from sesamehall.core.work import RunEnd
from sesamehall.core.work import Size
from sesamehall.core.work import StepPlan

QUEUE = "q"
WORKER_CAPACITY = Size(16_000, 32_768)
TASK_SIZE = Size(2_000, 1_024)
TYPICAL_MS = 900  # median of the run times
DECLARED_DEVIATION = 0.45  # of the logarithm of the declared run time
SECOND_STEP_RATE = 0.6
WARMUP_MS = 4_000  # the claim of the role, and the first reports
JOBS_MS = 60_000  # time in which jobs are submitted
DRAIN_MS = 30_000  # time in which the last ones finish


@dataclass(frozen=True, slots=True)
class RunTimeHistory:
    """Parameters of a history.

    Attributes:
      name: Name, for the output.
      between: Standard deviation of the logarithm of the run time between
        steps.
      within: The same, between the tasks of a step.
      correlation: Correlation of the logarithms of declared and actual run
        times.
      released_factor: Factor of all run times from half the time on.
      failure_rate: Share of runs that fail early.
      slow_rate: Share of workers that take twice as long.
      tasks: Number of tasks of a step.
      workers: Number of workers.
      jobs_per_s: Rate of jobs.
    """

    name: str
    between: float = 0.5
    within: float = 0.2
    correlation: float = 0.35
    released_factor: float = 1.0
    failure_rate: float = 0.0
    slow_rate: float = 0.0
    tasks: int = 8
    workers: int = 20
    jobs_per_s: float = 5.0


class RunTimeWorld:
    """A simulated manager with workers, and the run times of its tasks.

    Attributes:
      simulation: The simulation.
      run_time_ms_by_task: What the successful runs of tasks take.
    """

    def __init__(self, history: RunTimeHistory, seed: int):
        """Start the manager and the workers.

        Args:
          history: Parameters of the history.
          seed: Seed of all random choices.
        """
        self.simulation = JobSimulation(seed, limits=Limits(start_clocks=True))
        self.run_time_ms_by_task: dict[str, int] = {}
        self._history = history
        self._random = Random(seed)
        self._log_ms_by_step: dict[tuple[str, int], float] = {}
        self._jobs = 0
        self.simulation.fault_rates = NO_FAULTS
        record = StoredRecord("config", _build_manifest())
        self.simulation.store.append(Stream.OPERATOR, (record,))
        self.simulation.add_manager("edge-1")
        for number in range(history.workers):
            self._add_worker(number)

    def run(self) -> None:
        """Run the history from its start to its end."""
        self.simulation.run(WARMUP_MS)
        jobs = round(self._history.jobs_per_s * JOBS_MS / 1_000)
        for number in range(jobs):
            due_ms = JOBS_MS * number // jobs + self._random.randrange(100)
            self.simulation.call_later(due_ms, self._submit, number)
        self.simulation.run(JOBS_MS + DRAIN_MS)

    def _add_worker(self, number):
        address = f"10.0.0.{number + 1}:80"
        self.simulation.add_worker(address, f"w{number}", "a", WORKER_CAPACITY)
        slow = self._random.random() < self._history.slow_rate
        worker = self.simulation.workers_by_address[address]
        worker.draw_end = lambda order: self._draw_end(order, slow)

    def _draw_end(self, order: StartRun, slow: bool):
        """Draw the outcome and the run time of a run."""
        if self._random.random() < self._history.failure_rate:
            return RunEnd.FAILED, self._random.randint(*FAILED_RUN_MS)
        job_id, place = parse_task_id(order.task)
        step_log_ms = self._log_ms_by_step[job_id, place.step]
        log_ms = self._random.gauss(step_log_ms, self._history.within)
        run_time_ms = round(exp(log_ms) * (2 if slow else 1))
        self.run_time_ms_by_task[order.task] = run_time_ms
        return RunEnd.DONE, run_time_ms

    def _submit(self, number):
        """Submit a job of one or two steps."""
        job_id = f"{number:016x}"
        steps = [self._draw_step(job_id, 0, ())]
        if self._random.random() < SECOND_STEP_RATE:
            steps.append(self._draw_step(job_id, 1, (0,)))
        draft = JobDraft("work", tuple(steps))
        self.simulation.checker.record_submission(job_id, draft.steps)
        (process,) = self.simulation.processes_by_name.values()

        def build_event(at_ms):
            path = f"/{QUEUE}/{job_id}"
            kind = SubmitJob(draft)
            call = JobCall(number, at_ms, "q.example", path, "k", kind)
            return JobCalled(at_ms, call)

        self.simulation.deliver(process, build_event)

    def _draw_step(self, job_id, number, depends_on):
        """Draw what a step takes and what it declares."""
        history = self._history
        deviation = self._random.gauss(0, 1)
        noise = self._random.gauss(0, 1)
        released = self.simulation.now_ms > WARMUP_MS + JOBS_MS / 2
        factor = history.released_factor if released else 1.0
        run_time_ms = TYPICAL_MS * factor * exp(history.between * deviation)
        self._log_ms_by_step[job_id, number] = log(run_time_ms)
        declared_deviation = (
            history.correlation * deviation
            + sqrt(1 - history.correlation**2) * noise
        )
        declared_ms = TYPICAL_MS * exp(DECLARED_DEVIATION * declared_deviation)
        return StepPlan(
            history.tasks, TASK_SIZE, round(declared_ms), depends_on
        )


def _build_manifest():
    """Build a manifest with one queue and its pool."""
    queue = Queue(
        QUEUE, "q.example", f"/{QUEUE}/", "a", max_attempts=5, stretch=3.0
    )
    return Manifest(
        version=1,
        queues_by_name=Map({QUEUE: queue}),
        pools_by_name=Map(a=WorkerPool("a")),
        quotas_by_team=Map(t=Quota("t")),
        team_by_key=Map(k="t"),
    )
