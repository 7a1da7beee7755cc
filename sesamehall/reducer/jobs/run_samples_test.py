"""Tests of what is learnt from runs, and of what must not be."""

from math import inf
from math import log

import pytest

from sesamehall.core.logevents import RUN_TIMES_LEARNT
from sesamehall.core.managerevents import RunAnswered
from sesamehall.core.manifest import Queue
from sesamehall.core.replacing import replace
from sesamehall.core.runtimes import NO_SAMPLES
from sesamehall.core.work import ActiveRun
from sesamehall.core.work import EndedRun
from sesamehall.core.work import RunEnd
from sesamehall.core.workstate import ForecastBasis
from sesamehall.reducer.jobs.forecasts import forecast_critical_path_ms
from sesamehall.reducer.jobs.forecasts import forecast_goal_ms
from sesamehall.reducer.jobs.forecasts import forecast_job
from sesamehall.reducer.jobs.forecasts import forecast_remaining_core_ms
from sesamehall.reducer.jobs.forecasts import forecast_task
from sesamehall.reducer.jobs.orders import handle_start_answer
from sesamehall.reducer.jobs.progress import build_active_job
from sesamehall.reducer.jobs.reports import apply_report
from sesamehall.reducer.jobs.testing import activate_jobs
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_report
from sesamehall.reducer.jobs.testing import build_step
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import details_of
from sesamehall.reducer.jobs.testing import JOB_ID
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.jobs.testing import place_all
from sesamehall.reducer.jobs.testing import task

STEPS = (build_step(4), build_step(2, depends_on=(0,)))
DONE = RunEnd.DONE
LATER_MS = NOW_MS + 500


class History:
    """A leader with one worker that runs the tasks of one job."""

    def __init__(self, steps=STEPS, clock_ms=50_000):
        """Start all tasks that may start."""
        manager = activate_jobs(
            build_leader(build_worker("w1")), build_plan(*steps)
        )
        self.manager = place_all(manager).state
        self.lines = []
        self._sequence = 0
        for name in sorted(self.manager.runs_by_task):
            answer = RunAnswered(NOW_MS, "w1", 1, name, 1, None, clock_ms)
            self.manager = handle_start_answer(self.manager, answer).state

    def report(self, elapsed_ms, percents, ends=(), sent_ms=NOW_MS):
        """Apply a report some time after the start.

        Args:
          elapsed_ms: Time since the start.
          percents: Progress by index of the task of step 0.
          ends: Index, end and checkpoint of each run that has ended.
          sent_ms: Time at which the report was requested. Only if that was
            later than the start, runs that it lacks are lost.
        """
        active = [
            ActiveRun(task(index), 1, percent=percent)
            for index, percent in percents.items()
        ]
        ended = []
        for index, end, checkpoint in ends:
            self._sequence += 1
            ended.append(
                EndedRun(self._sequence, task(index), 1, end, checkpoint)
            )
        report = build_report(
            "w1", active, ended, NOW_MS + elapsed_ms, sent_ms=sent_ms
        )
        step = apply_report(self.manager, report)
        self.manager = step.state
        self.lines += details_of(step, RUN_TIMES_LEARNT)

    def job(self):
        """Return the job."""
        return self.manager.active_jobs_by_id[JOB_ID]


@pytest.mark.parametrize(
    ("reports", "finished", "running_weights"),
    [
        ([(100, {0: 4}, [])], 0, []),
        ([(100, {0: 10, 1: 10}, [])], 0, [0.5, 0.5]),
        ([(100, {0: 10}, []), (150, {0: 15}, [])], 0, [0.5]),
        ([(100, {0: 10}, []), (300, {0: 30}, [])], 0, [0.9]),
        (
            [(100, {0: 10, 1: 10}, []), (900, {1: 10}, [(0, DONE, "")])],
            1,
            [0.5],
        ),
        ([(100, {0: 10}, []), (300, {}, [(0, RunEnd.FAILED, "")])], 0, []),
        ([(100, {0: 10}, []), (300, {}, [(0, RunEnd.STOPPED, "c")])], 0, []),
        (
            [(100, {0: 10}, []), (300, {}, [(0, RunEnd.LEASE_EXPIRED, "")])],
            0,
            [],
        ),
        ([(100, {0: 10, 1: 10}, []), (900, {0: 10}, [], LATER_MS)], 0, [0.5]),
    ],
    ids=[
        "too little progress",
        "progress of two",
        "a little more progress",
        "much more progress",
        "one is done",
        "failed",
        "stopped",
        "lapsed",
        "one is missing",
    ],
)
def test_samples_are_those_of_the_runs(reports, finished, running_weights):
    """The kept sums equal those over the runs, whatever way runs end."""
    history = History()
    for report in reports:
        history.report(*report)
    samples = history.job().samples_by_step.get(0, NO_SAMPLES)
    runs = history.manager.runs_by_task.values()
    kept = [run.sample for run in runs if run.sample is not None]
    weights = [sample.weight for sample in kept]
    assert sorted(weights) == pytest.approx(sorted(running_weights))
    assert samples.finished == finished
    assert samples.running_weight == pytest.approx(sum(weights))
    assert samples.running_sum == pytest.approx(
        sum(sample.weight * sample.log_ms for sample in kept)
    )


@pytest.mark.parametrize(
    ("steps", "clock_ms", "first_end", "learnt"),
    [
        (STEPS, 50_000, (DONE, ""), True),
        (STEPS, -1, (DONE, ""), False),
        (STEPS, 50_000, (RunEnd.FAILED, ""), False),
        ((build_step(8, size=STEPS[0].size),), 50_000, (DONE, ""), False),
        ((build_step(2, gang=True),), 50_000, (DONE, ""), True),
        ((build_step(2, long_running=True),), 50_000, (DONE, ""), False),
        ((replace(build_step(2), estimate_ms=0),), 50_000, (DONE, ""), False),
    ],
    ids=[
        "a quarter is done",
        "start time unknown",
        "failed",
        "an eighth is done",
        "gang",
        "long-running",
        "nothing declared",
    ],
)
def test_queue_learns_from_successful_runs(steps, clock_ms, first_end, learnt):
    history = History(steps, clock_ms)
    history.report(900, {}, [(0, *first_end)])
    queue = history.manager.run_times_by_queue.get("quotes")
    assert (queue is not None) == learnt
    if learnt:
        assert queue.count == 1
        assert log(850) < queue.mean_actual < log(1_400)


def test_resumed_runs_do_not_count():
    """A run that resumes from a checkpoint does only a part of the work."""
    history = History((build_step(),))
    history.report(100, {}, [(0, RunEnd.FAILED, "c1")])
    history.manager = place_all(history.manager, NOW_MS + 200).state
    answer = RunAnswered(NOW_MS + 200, "w1", 1, task(), 2, None, 50_200)
    history.manager = handle_start_answer(history.manager, answer).state
    active = [ActiveRun(task(), 2, percent=50)]
    report = build_report("w1", active, at_ms=NOW_MS + 300)
    history.manager = apply_report(history.manager, report).state
    assert history.job().samples_by_step.get(0, NO_SAMPLES) == NO_SAMPLES


def test_step_counts_once_and_is_logged():
    history = History()
    for index in range(4):
        history.report(1_000 + index, {}, [(index, DONE, "")])
    assert history.manager.run_times_by_queue["quotes"].count == 1
    assert history.job().samples_by_step[0].finished == 4
    (line,) = history.lines
    assert (line["queue"], line["steps"]) == ("quotes", 1)


@pytest.mark.parametrize(
    ("reports", "basis", "low_ms", "high_ms"),
    [
        ([], ForecastBasis.DECLARED, 500, 500),
        ([(200, {0: 10}, [])], ForecastBasis.PROGRESS, 600, 2_000),
        ([(800, {0: 40}, [(1, DONE, "")])], ForecastBasis.STEP, 800, 2_000),
    ],
)
def test_forecast_of_a_step_rests_on_its_own_tasks(
    reports, basis, low_ms, high_ms
):
    history = History()
    before_ms = forecast_remaining_core_ms(history.manager, history.job())
    for report in reports:
        history.report(*report)
    manager, job = history.manager, history.job()
    forecast = forecast_task(manager, job, 0)
    assert forecast.basis is basis
    assert low_ms <= forecast.median_ms <= high_ms
    assert forecast.median_ms <= forecast.high_ms
    if reports:
        assert forecast_critical_path_ms(manager, job) > 1_000
        after_ms = forecast_remaining_core_ms(manager, job)
        done = history.job().unfinished_by_step[0] < 4
        assert after_ms > before_ms * (3 / 4 if done else 1)


@pytest.mark.parametrize(
    ("reports", "low_ms", "high_ms"),
    [
        ([], 2_100, 2_100),
        ([(200, {0: 10}, [])], 3_000, 6_000),
        ([(100, {0: 40}, [])], 1_000, 2_000),
    ],
    ids=["nothing known", "longer than declared", "shorter than declared"],
)
def test_goal_of_a_job_follows_what_it_takes(reports, low_ms, high_ms):
    """Guards against jobs that are late because they declare too little.

    With a goal from the declared run times and a path from the forecast, such
    a job went behind all others at once.
    """
    history = History()
    for report in reports:
        history.report(*report)
    queue = Queue("quotes", "q", "/", "a", stretch=2.0, slack_ms=100)
    forecast = forecast_job(history.manager, history.job())
    goal_ms = forecast_goal_ms(history.job(), queue, forecast)
    assert low_ms <= goal_ms - NOW_MS <= high_ms
    assert goal_ms - NOW_MS - 100 == pytest.approx(2 * forecast.path_ms, abs=1)


def test_kept_counts_of_a_job_equal_those_computed_anew():
    history = History()
    for index in range(4):
        history.report(1_000 + index, {}, [(index, DONE, "")])
        job = history.job()
        again = build_active_job(
            job.plan, job.progress, None, 0, NOW_MS, inherited=False
        )
        assert job.unfinished_by_step == again.unfinished_by_step
        assert job.path_steps == again.path_steps


# Guards against a report that is dropped as a whole, since a logarithm or an
# exponential of what it tells is out of range.
@pytest.mark.parametrize("declared_ms", [0, 1, 2**53 - 1])
@pytest.mark.parametrize("elapsed_ms", [-1, 0, 1, 2**52])
@pytest.mark.parametrize("percent", [0, 5, 100, 2**53 - 1])
def test_absurd_times_are_applied_and_forecast(
    declared_ms, elapsed_ms, percent
):
    declared = replace(build_step(4), estimate_ms=declared_ms)
    history = History((declared, replace(declared, depends_on=(0,))))
    history.report(elapsed_ms, {index: percent for index in range(4)})
    ends = [(0, DONE, ""), (1, DONE, "")]
    history.report(elapsed_ms, {2: percent, 3: percent}, ends)
    assert len(history.manager.runs_by_task) == 2
    history.report(elapsed_ms, {}, [(2, DONE, ""), (3, DONE, "")])
    job = history.manager.active_jobs_by_id[JOB_ID]
    assert job.unfinished_by_step == (0, 4)
    forecast = forecast_job(history.manager, job)
    task_forecast = forecast_task(history.manager, job, 1)
    for value in (
        forecast.core_ms,
        forecast.whole_path_ms,
        task_forecast.high_ms,
    ):
        assert 0 <= value < inf
    goal_ms = forecast_goal_ms(
        job, Queue("quotes", "h", "/", "a", stretch=4.0), forecast
    )
    assert goal_ms >= job.first_seen_ms
