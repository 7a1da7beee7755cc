"""Forecasts of how long tasks run."""

from sesamehall.core.managerstate import ManagerState
from sesamehall.core.workstate import ActiveJob
from sesamehall.core.workstate import ForecastBasis
from sesamehall.core.workstate import RunForecast
from sesamehall.reducer.jobs.durations import duration_ratio


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
    ratio = duration_ratio(manager, job.plan.queue)
    measured = job.plan.queue in manager.durations_by_queue
    basis = ForecastBasis.QUEUE if measured else ForecastBasis.DECLARED
    expected_ms = ratio * declared_ms
    return RunForecast(expected_ms, expected_ms, basis)


def forecast_remaining_core_ms(manager: ManagerState, job: ActiveJob) -> float:
    """Forecast the processor time that a job's unfinished tasks need.

    Args:
      manager: State of the leader.
      job: The job.
    Returns:
      Core-milliseconds.
    """
    return duration_ratio(manager, job.plan.queue) * job.remaining_core_ms


def forecast_critical_path_ms(manager: ManagerState, job: ActiveJob) -> float:
    """Forecast the run time of a job's longest chain of unfinished steps.

    Args:
      manager: State of the leader.
      job: The job.
    Returns:
      Milliseconds, without the delays of orders and reports.
    """
    ratio = duration_ratio(manager, job.plan.queue)
    return ratio * job.critical_path.declared_ms
