"""Callers of job histories: they submit, show and cancel jobs."""

from bench.jobworkers import FAILING_COMMAND
from bench.jobworkers import LONG_COMMAND
from bench.jobworld import JobSimulation
from sesamehall.core.calls import Accepted
from sesamehall.core.calls import CancelJob
from sesamehall.core.calls import JobCall
from sesamehall.core.calls import JobDraft
from sesamehall.core.calls import Rejected
from sesamehall.core.calls import ShowJob
from sesamehall.core.calls import Shown
from sesamehall.core.calls import SubmitJob
from sesamehall.core.codes import JOB_UNCONFIRMED
from sesamehall.core.codes import NO_SUCH_JOB
from sesamehall.core.managerevents import JobCalled
from sesamehall.core.work import Size
from sesamehall.core.work import StepPlan

CALL_TIMEOUT_MS = 3_000
CALL_ATTEMPTS = 8
FAILING_JOB_TASKS = 3  # the first of them always fails
LONG_JOB_TASKS = 2
WIDE_JOB_TASKS = 40
TEAM_BY_KEY = {"k": "guild", "k2": "office"}  # the first one is usual
TASK_SIZE = Size(1_000, 1_000)


class Caller:
    """Submits jobs, requests their state and cancels some of them.

    Attributes:
      accepted: Ids of the accepted jobs, in order.
    """

    def __init__(self, simulation: JobSimulation):
        """Start without jobs.

        Args:
          simulation: Simulated managers and workers.
        """
        self._simulation = simulation
        self._serial = 0
        self.accepted: dict[str, bool] = {}
        self._key_by_job: dict[str, str] = {}

    def submit(self) -> None:
        """Submit a job with one or two small steps."""
        simulation = self._simulation
        self._serial += 1
        job_id = f"{self._serial:016x}"
        steps = [StepPlan(simulation.random.randint(1, 3), TASK_SIZE, 400)]
        if simulation.random.random() < 0.4:
            steps.append(StepPlan(1, TASK_SIZE, 300, depends_on=(0,)))
        self._submit(job_id, JobDraft("work", tuple(steps)))

    def submit_failing_job(self) -> None:
        """Submit a job whose first task always fails."""
        self._serial += 1
        job_id = f"{self._serial:016x}"
        steps = (StepPlan(FAILING_JOB_TASKS, TASK_SIZE, 400),)
        self._submit(job_id, JobDraft(FAILING_COMMAND, steps))

    def submit_long_job(self) -> None:
        """Submit a job whose tasks all take long."""
        self._serial += 1
        job_id = f"{self._serial:016x}"
        steps = (StepPlan(LONG_JOB_TASKS, TASK_SIZE, 3_000),)
        self._submit(job_id, JobDraft(LONG_COMMAND, steps))

    def submit_lasting_job(self) -> None:
        """Submit a job of long-running tasks, which rank before others."""
        self._serial += 1
        job_id = f"{self._serial:016x}"
        step = StepPlan(LONG_JOB_TASKS, TASK_SIZE, 3_000, long_running=True)
        self._submit(job_id, JobDraft(LONG_COMMAND, (step,)))

    def submit_for_other_team(self) -> None:
        """Submit a small job of the second team."""
        self._serial += 1
        job_id = f"{self._serial:016x}"
        self._key_by_job[job_id] = "k2"
        steps = (StepPlan(1, TASK_SIZE, 400),)
        self._submit(job_id, JobDraft("work", steps))

    def check_begun(self) -> None:
        """Check that the accepted jobs of the second team have begun."""
        for job_id in self._key_by_job:
            if job_id in self.accepted:
                self._simulation.checker.check_begun(job_id)

    def submit_wide_job(self) -> None:
        """Submit a job with many tasks."""
        self._serial += 1
        job_id = f"{self._serial:016x}"
        steps = (StepPlan(WIDE_JOB_TASKS, TASK_SIZE, 400),)
        self._submit(job_id, JobDraft("work", steps))

    def _submit(self, job_id, draft):
        team = TEAM_BY_KEY[self._key_by_job.get(job_id, "k")]
        self._simulation.checker.record_submission(job_id, draft.steps, team)
        self._call_manager(job_id, SubmitJob(draft), CALL_ATTEMPTS, False)

    def _call_manager(self, job_id, kind, attempts_left, maybe_applied):
        """Call a random manager; a timeout counts as the answer None.

        `maybe_applied` says whether an earlier attempt may have had effect.
        """
        simulation = self._simulation
        pending = [True]

        def handle_answer(answer):
            if pending:
                pending.clear()
                self._handle_answer(
                    job_id, kind, attempts_left, maybe_applied, answer
                )

        processes = [
            process
            for process in simulation.processes_by_name.values()
            if process.alive
        ]
        if processes:
            process = simulation.random.choice(processes)
            self._serial += 1
            call_id = self._serial
            simulation.on_answer_by_call_id[call_id] = handle_answer
            at_ms = simulation.clock_ms(process)
            path = f"/q/{job_id}"
            key = self._key_by_job.get(job_id, "k")
            call = JobCall(call_id, at_ms, "q.example", path, key, kind)
            simulation.deliver(process, lambda now_ms: JobCalled(now_ms, call))
        simulation.call_later(CALL_TIMEOUT_MS, handle_answer, None)

    def _handle_answer(
        self, job_id, kind, attempts_left, maybe_applied, answer
    ):
        simulation = self._simulation
        match kind, answer:
            case SubmitJob(), Accepted():
                self.accepted[job_id] = True
                self._schedule_calls(job_id)
                return
            case CancelJob(), Accepted():
                checker = simulation.checker
                checker.cancelled_ms_by_job.setdefault(
                    job_id, simulation.now_ms
                )
                return
            case ShowJob(), Shown(phase):
                simulation.checker.check_shown(job_id, phase)
                return
        rejected = (
            isinstance(answer, Rejected) and answer.code != JOB_UNCONFIRMED
        )
        if rejected and answer.code == NO_SUCH_JOB:
            simulation.checker.violations.append(
                f"LOST: {job_id} is not known"
            )
        maybe_applied = maybe_applied or not rejected
        if attempts_left > 1:
            delay_ms = simulation.random.randint(100, 500)
            simulation.call_later(
                delay_ms,
                self._call_manager,
                job_id,
                kind,
                attempts_left - 1,
                maybe_applied,
            )
        elif isinstance(kind, SubmitJob) and not maybe_applied:
            simulation.checker.record_rejection(job_id)

    def _schedule_calls(self, job_id):
        """Schedule requests for a job's state, and maybe its cancellation."""
        simulation = self._simulation
        for _ in range(2):
            delay_ms = simulation.random.randint(300, 4_000)
            simulation.call_later(
                delay_ms, self._call_manager, job_id, ShowJob(), 1, False
            )
        if simulation.random.random() < 0.15:
            delay_ms = simulation.random.randint(1, 1_500)
            simulation.call_later(
                delay_ms,
                self._call_manager,
                job_id,
                CancelJob(),
                CALL_ATTEMPTS,
                False,
            )
