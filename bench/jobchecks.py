"""Checker of job histories: compares runs and answers with the invariants.

It compares the runs and their acknowledged ends at the workers, the answers to
callers, and the phase of each job that is stored when the history ends.  The
managers' state is not checked.  Violations carry the names of the broken
rules:

  TWICE: a task runs twice at once, or again after any earlier run of it was
    done, if that end is acknowledged then or later, or after its job was shown
    as done.
  BUDGET: a task runs again after its last permitted failure.
  ORDER: a step starts before the steps that it depends on are done.
  REFUSED: a rejected job runs.
  UNASKED: a task of a cancelled or ended job runs.
  QUOTA: a start brings what a team has running above its ceiling by more
    than a tenth and one task more.
  EVAC: a task starts in a drained data centre after the limit.
  MIXED: a job is shown as done before all its tasks are.
  LOST: a job is lost, does not begin or end, or is wrongly shown as failed.
  ERROR: the reducer raised an exception; recorded by the simulation.
"""

from collections import Counter
from collections import defaultdict

from bench.jobscenarios import Limits
from bench.jobworkers import SimulatedRun
from sesamehall.core.data import JobPhase
from sesamehall.core.jobtiming import START_LEASE_MS
from sesamehall.core.work import parse_task_id
from sesamehall.core.work import RunEnd
from sesamehall.core.work import Size
from sesamehall.core.work import StepPlan
from sesamehall.core.work import task_id
from sesamehall.core.work import TaskPlace

MAX_CANCEL_DELAY_MS = 3_000  # tasks may start this long after cancellation
OVERRUN_PERCENT = 110  # of a ceiling that may be in use
MAX_SHOWN_DELAY_MS = 1_000  # and this long after their job was shown as done
# A start that arrives late is void this long after it was decided, by the
# slowest clock that the protocol allows.
MAX_LATE_START_MS = START_LEASE_MS * 103 // 100


def max_drain_delay_ms(limits: Limits) -> int:
    """Compute how long after a drain request a task may still start.

    Args:
      limits: Limits of the simulated platform.
    Returns:
      The limit, and the time for which a start that is delivered late remains
      valid.
    """
    return limits.drain_within_ms + MAX_LATE_START_MS


class JobChecker:
    """Records runs and answers, and collects violations.

    Attributes:
      cancelled_ms_by_job: Time at which a cancellation was accepted.
      violations: Descriptions of the violations.
      faults_over: Whether the faults ended so long ago that delays are
        bounded; starts after a cancellation, or after a job was shown as
        done, are checked only then.
      drained_ms_by_data_centre: Time of the drain requests in force.
      data_centre_by_worker_id: Data centres of the workers.
      max_drain_delay_ms: Time after a drain request from which no start in
        its data centre is permitted.
      ceiling_by_team: Ceilings of the teams that have one; only processor
        time is checked.
      starts: Number of started runs.
      ends: Number of ended runs by outcome, without those that were lost with
        their worker.
    """

    def __init__(self, read_clock_ms, max_attempts: int):
        """Start without jobs and runs.

        Args:
          read_clock_ms: Returns the simulated time in milliseconds.
          max_attempts: Number of failed runs after which a task has failed.
        """
        self._read_clock_ms = read_clock_ms
        self._max_attempts = max_attempts
        self._steps_by_job: dict[str, tuple[StepPlan, ...]] = {}
        self._runs_by_task: dict[str, list[SimulatedRun]] = defaultdict(list)
        self._team_by_job: dict[str, str] = {}
        self._rejected_by_job: dict[str, bool] = {}
        self._shown_done_ms_by_job: dict[str, int] = {}
        self.cancelled_ms_by_job: dict[str, int] = {}
        self.violations: list[str] = []
        self.drained_ms_by_data_centre: dict[str, int] = {}
        self.data_centre_by_worker_id: dict[str, str] = {}
        self.max_drain_delay_ms = 0
        self.faults_over = False
        self.ceiling_by_team: dict[str, Size] = {}
        self.starts = 0
        self.ends: Counter[str] = Counter()

    def record_submission(
        self, job_id: str, steps: tuple[StepPlan, ...], team: str = ""
    ) -> None:
        """Record the submission of a job.

        Args:
          job_id: Identifier of the job.
          steps: Steps of the job.
          team: Team that submits it.
        """
        self._steps_by_job[job_id] = steps
        self._team_by_job[job_id] = team

    def record_rejection(self, job_id: str) -> None:
        """Record that all attempts to submit a job were rejected.

        Args:
          job_id: Identifier of the job.
        """
        self._rejected_by_job[job_id] = True
        self._record_violation_if(
            self._was_started(job_id), "REFUSED", job_id, "ran"
        )

    def check_start(self, run: SimulatedRun) -> None:
        """Check the start of a run against the runs before it.

        Args:
          run: The run.
        """
        self.starts += 1
        others = self._runs_by_task[run.task_id]
        for other in others:
            self._record_violation_if(
                other.outcome is None, "TWICE", run.task_id, other, run
            )
            done = other.outcome is RunEnd.DONE and other.acknowledged
            self._record_violation_if(done, "TWICE", run.task_id, other, run)
        failed = [
            earlier for earlier in others if _is_counted_failure(earlier)
        ]
        exhausted = len(failed) >= self._max_attempts
        self._record_violation_if(
            exhausted, "BUDGET", run.task_id, failed, run
        )
        late = self._is_after(
            self.drained_ms_by_data_centre,
            self.data_centre_by_worker_id.get(run.worker_id),
            self.max_drain_delay_ms,
        )
        self._record_violation_if(late, "EVAC", run.task_id, run)
        others.append(run)
        job_id, place = parse_task_id(run.task_id)
        self._check_ceiling(job_id, run)
        rejected = self._rejected_by_job.get(job_id, False)
        self._record_violation_if(rejected, "REFUSED", run.task_id, run)
        for number in self._steps_by_job[job_id][place.step].depends_on:
            early = not self._is_step_done(job_id, number)
            self._record_violation_if(early, "ORDER", run.task_id, run)
        if not self.faults_over:
            return
        late = self._is_after(
            self.cancelled_ms_by_job, job_id, MAX_CANCEL_DELAY_MS
        )
        self._record_violation_if(late, "UNASKED", run.task_id, run)
        late = self._is_after(
            self._shown_done_ms_by_job, job_id, MAX_SHOWN_DELAY_MS
        )
        self._record_violation_if(late, "TWICE", run.task_id, run)

    def _check_ceiling(self, job_id, run):
        """Check what the team of a started run has running."""
        team = self._team_by_job.get(job_id, "")
        ceiling = self.ceiling_by_team.get(team)
        if ceiling is None:
            return
        limit = ceiling.cpu_milli * OVERRUN_PERCENT // 100
        limit += self._cpu_milli(run.task_id)
        running = [
            task
            for task, runs in self._runs_by_task.items()
            for other in runs
            if other.outcome is None
            and self._team_by_job[parse_task_id(task)[0]] == team
        ]
        used = sum(map(self._cpu_milli, running))
        self._record_violation_if(
            used > limit, "QUOTA", run.task_id, used, "of", limit, run
        )

    def _cpu_milli(self, task):
        job_id, place = parse_task_id(task)
        return self._steps_by_job[job_id][place.step].size.cpu_milli

    def check_begun(self, job_id: str) -> None:
        """Check that a job that nobody has cancelled has begun.

        Args:
          job_id: Identifier of an accepted job.
        """
        waits = (
            job_id not in self.cancelled_ms_by_job
            and not self._was_started(job_id)
        )
        self._record_violation_if(waits, "LOST", job_id, "has not begun")

    def _is_after(self, times_ms_by_name, name, delay_ms):
        """Check whether a name's time, if any, is longer ago than a delay."""
        at_ms = times_ms_by_name.get(name)
        return at_ms is not None and self._read_clock_ms() - at_ms > delay_ms

    def record_end(self, run: SimulatedRun) -> None:
        """Count an ended run.

        Args:
          run: The run.
        """
        self.ends[run.outcome.value] += 1

    def record_loss(self, run: SimulatedRun) -> None:
        """Record that a run was lost when its worker terminated.

        It counts as expired, so it is neither done nor failed.

        Args:
          run: The run.
        """
        run.outcome = RunEnd.LEASE_EXPIRED
        run.ended_ms = self._read_clock_ms()

    def check_acknowledged(self, run: SimulatedRun) -> None:
        """Check for runs started between an end and its acknowledgement.

        When those started, `check_start` did not count the end yet, since
        only acknowledged ends are binding.

        Args:
          run: The run whose end is acknowledged now.
        """
        if not run.acknowledged:
            return
        others = self._runs_by_task[run.task_id]
        # The runs are in the order of their starts, also within a millisecond.
        later = [
            other
            for other in others[others.index(run) + 1 :]
            if other.started_ms >= run.ended_ms
        ]
        if run.outcome is RunEnd.DONE:
            self._record_violation_if(
                bool(later), "TWICE", run.task_id, run, later
            )
        failed = [other for other in others if _is_counted_failure(other)]
        if run.outcome is RunEnd.FAILED and len(failed) == self._max_attempts:
            last_ms = max(other.ended_ms for other in failed)
            started_after = any(other.started_ms > last_ms for other in others)
            self._record_violation_if(
                started_after, "BUDGET", run.task_id, failed
            )

    def check_shown(self, job_id: str, phase: JobPhase) -> None:
        """Check the phase of a job that a caller is shown.

        Args:
          job_id: Identifier of the job.
          phase: The shown phase.
        """
        if phase is JobPhase.DONE:
            self._shown_done_ms_by_job.setdefault(
                job_id, self._read_clock_ms()
            )
            numbers = range(len(self._steps_by_job[job_id]))
            done = all(
                self._is_step_done(job_id, number) for number in numbers
            )
            self._record_violation_if(
                not done, "MIXED", job_id, "shown as done"
            )
        if phase is JobPhase.FAILED:
            self._record_violation_if(
                not self._has_failed(job_id), "LOST", job_id, "shown as failed"
            )

    def check_completed(self, job_id: str, phase: JobPhase | None) -> None:
        """Check that a job has ended at the end of the recovery period.

        Args:
          job_id: Identifier of the job.
          phase: Stored phase of the job.
        """
        ended = phase in (JobPhase.DONE, JobPhase.FAILED, JobPhase.CANCELLED)
        self._record_violation_if(not ended, "LOST", job_id, f"still {phase}")
        if ended:
            self.check_shown(job_id, phase)
        for task, runs in self._runs_by_task.items():
            if task.startswith(job_id):
                still_running = any(run.outcome is None for run in runs)
                self._record_violation_if(
                    still_running, "UNASKED", task, "still runs"
                )

    def _is_step_done(self, job_id, number):
        count = self._steps_by_job[job_id][number].count
        return all(
            any(
                run.outcome is RunEnd.DONE
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
            sum(run.outcome is RunEnd.FAILED for run in runs)
            >= self._max_attempts
            for task, runs in self._runs_by_task.items()
            if task.startswith(job_id)
        )

    def _record_violation_if(self, broken, rule, name, *details):
        if broken:
            shown = " ".join(map(str, details))
            self.violations.append(
                f"{rule} at {self._read_clock_ms()} ms: {name} {shown}"
            )


def _is_counted_failure(run):
    return run.outcome is RunEnd.FAILED and run.acknowledged
