"""What workers and callers see of job histories, against the promises."""

from collections import Counter
from collections import defaultdict

from bench.jobworkers import ModelRun
from sesamehall.core.data import JobPhase
from sesamehall.core.work import parse_task_id
from sesamehall.core.work import RunEnd
from sesamehall.core.work import StepPlan
from sesamehall.core.work import task_id
from sesamehall.core.work import TaskPlace

CANCEL_MS = 3_000  # no task starts later than this after a stored cancelling


class Checker:
    """Watches runs, ends and answers; writes violations down."""

    def __init__(self, now, attempts: int):
        """Begin to watch.

        Args:
          now: Tells the time.
          attempts: Failed runs after which a task has failed.
        """
        self._now = now
        self._attempts = attempts
        self._steps_by_job: dict[str, tuple[StepPlan, ...]] = {}
        self._runs_by_task: dict[str, list[ModelRun]] = defaultdict(list)
        self._refused_by_job: dict[str, bool] = {}
        self.cancelled_ms_by_job: dict[str, int] = {}
        self.violations: list[str] = []
        self.calm = False
        self.starts = 0
        self.ends: Counter[str] = Counter()

    def submit(self, job_id: str, steps: tuple[StepPlan, ...]) -> None:
        """Note that a job is handed in.

        Args:
          job_id: Its identifier.
          steps: Its steps.
        """
        self._steps_by_job[job_id] = steps

    def note_refused(self, job_id: str) -> None:
        """Note that every try to hand a job in was refused.

        Args:
          job_id: Its identifier.
        """
        self._refused_by_job[job_id] = True
        self._blame_if(self._was_started(job_id), "REFUSED", job_id, "ran")

    def start(self, run: ModelRun) -> None:
        """Check a start.

        Args:
          run: The run.
        """
        self.starts += 1
        others = self._runs_by_task[run.task]
        for other in others:
            self._blame_if(other.end is None, "TWICE", run.task, other, run)
            good = other.end is RunEnd.DONE and other.acknowledged
            self._blame_if(good, "TWICE", run.task, other, run)
        failed = [one for one in others if _is_counted_failure(one)]
        spent = len(failed) >= self._attempts
        self._blame_if(spent, "BUDGET", run.task, failed, run)
        others.append(run)
        job_id, place = parse_task_id(run.task)
        refused = self._refused_by_job.get(job_id, False)
        self._blame_if(refused, "REFUSED", run.task, run)
        for number in self._steps_by_job[job_id][place.step].depends_on:
            early = not self._is_step_done(job_id, number)
            self._blame_if(early, "ORDER", run.task, run)
        cancelled_ms = self.cancelled_ms_by_job.get(job_id)
        if self.calm and cancelled_ms is not None:
            late = self._now() - cancelled_ms > CANCEL_MS
            self._blame_if(late, "UNASKED", run.task, run)

    def end(self, run: ModelRun) -> None:
        """Count an end.

        Args:
          run: The run.
        """
        self.ends[run.end.value] += 1

    def vanish(self, run: ModelRun) -> None:
        """Note that a run is gone with its worker's life.

        Args:
          run: The run.
        """
        run.end = RunEnd.LEASE_EXPIRED
        run.ended_ms = self._now()

    def acknowledge(self, run: ModelRun) -> None:
        """Check what was started since an end that is acknowledged now.

        Args:
          run: The run that has ended.
        """
        if not run.acknowledged:
            return
        others = self._runs_by_task[run.task]
        later = [one for one in others if one.began_ms > run.ended_ms]
        if run.end is RunEnd.DONE:
            self._blame_if(bool(later), "TWICE", run.task, run, later)
        failed = [one for one in others if _is_counted_failure(one)]
        if run.end is RunEnd.FAILED and len(failed) == self._attempts:
            last_ms = max(one.ended_ms for one in failed)
            over = any(one.began_ms > last_ms for one in others)
            self._blame_if(over, "BUDGET", run.task, failed)

    def show(self, job_id: str, phase: JobPhase) -> None:
        """Check what a caller is told of a job.

        Args:
          job_id: Its identifier.
          phase: What is told.
        """
        if phase is JobPhase.DONE:
            numbers = range(len(self._steps_by_job[job_id]))
            done = all(self._is_step_done(job_id, one) for one in numbers)
            self._blame_if(not done, "MIXED", job_id, "shown as done")
        if phase is JobPhase.FAILED:
            self._blame_if(
                not self._has_failed(job_id), "LOST", job_id, "shown as failed"
            )

    def check_ended(self, job_id: str, phase: JobPhase | None) -> None:
        """Check that a job has ended some time after the last fault.

        Args:
          job_id: Its identifier.
          phase: Its stored phase.
        """
        ended = phase in (JobPhase.DONE, JobPhase.FAILED, JobPhase.CANCELLED)
        self._blame_if(not ended, "LOST", job_id, f"still {phase}")
        if ended:
            self.show(job_id, phase)
        for task, runs in self._runs_by_task.items():
            if task.startswith(job_id):
                goes_on = any(run.end is None for run in runs)
                self._blame_if(goes_on, "UNASKED", task, "goes on")

    def _is_step_done(self, job_id, number):
        count = self._steps_by_job[job_id][number].count
        return all(
            any(
                run.end is RunEnd.DONE
                for run in self._runs_by_task[
                    task_id(job_id, TaskPlace(0, number, index))
                ]
            )
            for index in range(count)
        )

    def _was_started(self, job_id):
        return any(
            runs and task.startswith(job_id)
            for task, runs in self._runs_by_task.items()
        )

    def _has_failed(self, job_id):
        return any(
            sum(run.end is RunEnd.FAILED for run in runs) >= self._attempts
            for task, runs in self._runs_by_task.items()
            if task.startswith(job_id)
        )

    def _blame_if(self, broken, promise, name, *details):
        if broken:
            shown = " ".join(map(str, details))
            self.violations.append(
                f"{promise} at {self._now()} ms: {name} {shown}"
            )


def _is_counted_failure(run):
    return run.end is RunEnd.FAILED and run.acknowledged
