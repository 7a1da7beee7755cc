"""Tests of the checker of job histories."""

import pytest

from bench.jobchecks import JobChecker
from bench.jobworkers import SimulatedRun
from sesamehall.core.data import JobPhase
from sesamehall.core.work import RunEnd
from sesamehall.core.work import Size
from sesamehall.core.work import StepPlan

JOB_ID = "5c0e7a21d94b36f8"
TASK = f"{JOB_ID}.0.0.0"


class Checked:
    """A checker with a clock that the test sets, and a job with one task."""

    def __init__(self):
        """Submit the job at 0 ms."""
        self.now_ms = 0
        self.checker = JobChecker(lambda: self.now_ms, max_attempts=2)
        plan = StepPlan(1, Size(1, 1), 400)
        self.checker.record_submission(JOB_ID, (plan,))

    def start(self, number, at_ms):
        """Start a run and return it."""
        self.now_ms = at_ms
        run = SimulatedRun(TASK, number, f"w{number}", at_ms, 100)
        self.checker.check_start(run)
        return run

    def end(self, run, at_ms, outcome=RunEnd.DONE):
        """End a run."""
        run.outcome = outcome
        run.ended_ms = at_ms

    def acknowledge(self, run, lease_expired=False):
        """Acknowledge the end of a run."""
        run.lease_expired = lease_expired
        run.acknowledged = not lease_expired
        self.checker.check_acknowledged(run)

    def rules(self):
        """Return the names of the broken rules."""
        return [line.partition(" ")[0] for line in self.checker.violations]


@pytest.mark.parametrize("acknowledged_first", [True, False])
@pytest.mark.parametrize("runs_between", [0, 1, 2])
@pytest.mark.parametrize("start_ms", [100, 101, 5_000])
@pytest.mark.parametrize(
    ("lease_expired", "broken"), [(False, True), (True, False)]
)
def test_a_start_after_any_acknowledged_done_end_breaks_the_rule(
    acknowledged_first, runs_between, start_ms, lease_expired, broken
):
    checked = Checked()
    first = checked.start(1, 0)
    checked.end(first, 100)
    if acknowledged_first:
        checked.acknowledge(first, lease_expired)
    for number in range(2, runs_between + 2):
        between = checked.start(number, start_ms)
        checked.end(between, start_ms, RunEnd.STOPPED)
    checked.start(9, start_ms)
    if not acknowledged_first:
        checked.acknowledge(first, lease_expired)
    assert ("TWICE" in checked.rules()) == broken


@pytest.mark.parametrize(
    ("start_ms", "end", "broken"),
    [
        (99, None, True),
        (100, RunEnd.STOPPED, False),
        (100, RunEnd.LEASE_EXPIRED, False),
        (100, RunEnd.FAILED, False),
    ],
)
def test_a_start_beside_an_active_run_breaks_the_rule(start_ms, end, broken):
    checked = Checked()
    first = checked.start(1, 0)
    if end is not None:
        checked.end(first, 100, end)
        checked.acknowledge(first)
    checked.start(2, start_ms)
    assert ("TWICE" in checked.rules()) == broken


@pytest.mark.parametrize(
    ("faults_over", "start_ms", "broken"),
    [(True, 1_200, False), (True, 1_201, True), (False, 9_000, False)],
)
def test_a_start_long_after_its_job_was_shown_as_done_breaks_the_rule(
    faults_over, start_ms, broken
):
    checked = Checked()
    first = checked.start(1, 0)
    checked.end(first, 100)
    checked.now_ms = 200
    checked.checker.check_shown(JOB_ID, JobPhase.DONE)
    checked.checker.faults_over = faults_over
    checked.start(2, start_ms)
    assert ("TWICE" in checked.rules()) == broken


@pytest.mark.parametrize(
    ("ceiling", "broken"),
    [(2_000, 2), (3_000, 1), (3_700, 0), (0, 0)],
    ids=["two too many", "one", "a tenth and one task more", "no ceiling"],
)
def test_starts_above_a_ceiling_break_the_rule(ceiling, broken):
    """A team has five tasks of one core running."""
    checked = Checked()
    checker = checked.checker
    step = StepPlan(5, Size(1_000), 400)
    checker.record_submission(JOB_ID, (step,), "guild")
    if ceiling:
        checker.ceiling_by_team["guild"] = Size(ceiling)
    for index in range(5):
        task = f"{JOB_ID}.0.0.{index}"
        checker.check_start(SimulatedRun(task, 1, "w1", 0, 100))
    assert checked.rules() == ["QUOTA"] * broken


@pytest.mark.parametrize(
    ("begun", "cancelled", "broken"),
    [(False, False, True), (True, False, False), (False, True, False)],
)
def test_accepted_jobs_have_to_begin(begun, cancelled, broken):
    checked = Checked()
    if begun:
        checked.start(1, 0)
    if cancelled:
        checked.checker.cancelled_ms_by_job[JOB_ID] = 5
    checked.checker.check_begun(JOB_ID)
    assert checked.rules() == (["LOST"] if broken else [])
