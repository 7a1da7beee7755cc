"""Forecasts of how long tasks run, learnt from finished and running ones.

Until a queue's first step has finished, a forecast equals what is declared.
"""

from math import exp
from math import sqrt

from sesamehall.core.managerstate import ManagerState
from sesamehall.core.manifest import Queue
from sesamehall.core.runtimes import INITIAL_LINE
from sesamehall.core.runtimes import NO_SAMPLES
from sesamehall.core.runtimes import RunTimeLine
from sesamehall.core.runtimes import StepSamples
from sesamehall.core.workstate import ActiveJob
from sesamehall.core.workstate import ForecastBasis
from sesamehall.core.workstate import JobForecast
from sesamehall.core.workstate import RunForecast
from sesamehall.reducer.jobs.run_time_model import estimate
from sesamehall.reducer.jobs.run_time_model import expected_ms

HIGH_DEVIATIONS = 1.2816  # of a normal distribution, to the quantile of .9


def forecast_task(
    manager: ManagerState, job: ActiveJob, step_number: int
) -> RunForecast:
    """Forecast how long a task of a step runs once it has started.

    Args:
      manager: State of the leader.
      job: The job.
      step_number: Number of the step within the job.
    Returns:
      The forecast; without finished runs it is the declared run time.
    """
    declared_ms = job.plan.steps[step_number].estimate_ms
    samples = job.samples_by_step.get(step_number, NO_SAMPLES)
    basis = _basis(manager, job, samples)
    if basis is ForecastBasis.DECLARED or declared_ms <= 0:
        return RunForecast(declared_ms, declared_ms, basis)
    run_time = estimate(_line(manager, job), declared_ms, samples)
    return RunForecast(
        median_ms=exp(run_time.mean),
        high_ms=exp(run_time.mean + HIGH_DEVIATIONS * sqrt(run_time.variance)),
        basis=basis,
    )


def _basis(manager, job, samples: StepSamples):
    """Find what the forecast of a step rests on for the most part."""
    if samples.finished:
        return ForecastBasis.STEP
    if samples.running_weight:
        return ForecastBasis.PROGRESS
    if job.plan.queue in manager.run_times_by_queue:
        return ForecastBasis.QUEUE
    return ForecastBasis.DECLARED


def _line(manager, job) -> RunTimeLine:
    """Find the line of a job's queue."""
    queue = manager.run_times_by_queue.get(job.plan.queue)
    return INITIAL_LINE if queue is None else queue.line


def forecast_job(manager: ManagerState, job: ActiveJob) -> JobForecast:
    """Forecast what a job takes.

    Args:
      manager: State of the leader.
      job: The job.
    Returns:
      The forecast.
    """
    line = _line(manager, job)
    core_ms = 0.0
    end_ms_by_step: list[float] = []
    whole_end_ms_by_step: list[float] = []
    for number, step in enumerate(job.plan.steps):
        samples = job.samples_by_step.get(number, NO_SAMPLES)
        task_ms = expected_ms(line, step.estimate_ms, samples)
        count = job.unfinished_by_step[number]
        core_ms += count * step.size.cpu_milli * task_ms / 1_000
        end_ms = _latest_end_ms(end_ms_by_step, step)
        if number in job.path_steps:
            end_ms += task_ms
        end_ms_by_step.append(end_ms)
        whole_end_ms = _latest_end_ms(whole_end_ms_by_step, step) + task_ms
        whole_end_ms_by_step.append(whole_end_ms)
    return JobForecast(
        core_ms,
        max(end_ms_by_step, default=0.0),
        max(whole_end_ms_by_step, default=0.0),
    )


def _latest_end_ms(end_ms_by_step, step):
    """Compute when the last of the steps ends that a step depends on."""
    if not step.depends_on:
        return 0.0
    return max(end_ms_by_step[earlier] for earlier in step.depends_on)


def forecast_goal_ms(
    job: ActiveJob, queue: Queue, forecast: JobForecast
) -> int:
    """Compute by when a job should be done, given what it will take.

    A goal is a multiple of what the job really takes. When the job is taken
    in, that is known from the declared run times only; a job that then proves
    to be longer has a later goal as well.

    Args:
      job: The job.
      queue: Its queue.
      forecast: What it will take.
    Returns:
      The time; of a job with due occurrences, its goal.
    """
    if job.plan.occurrence_count:
        return job.goal_ms
    path_ms = round(queue.stretch * forecast.whole_path_ms)
    return job.first_seen_ms + path_ms + queue.slack_ms


def forecast_remaining_core_ms(manager: ManagerState, job: ActiveJob) -> float:
    """Forecast the processor time that a job's unfinished tasks need.

    Args:
      manager: State of the leader.
      job: The job.
    Returns:
      Core-milliseconds.
    """
    return forecast_job(manager, job).core_ms


def forecast_critical_path_ms(manager: ManagerState, job: ActiveJob) -> float:
    """Forecast the run time of a job's longest chain of unfinished steps.

    Args:
      manager: State of the leader.
      job: The job; of its occurrences, only occurrence 0 is considered.
    Returns:
      Milliseconds, without the delays of orders and reports.
    """
    return forecast_job(manager, job).path_ms
