"""Error of forecast run times over seeded histories.

The real reducer of one manager runs histories without faults of calls on
simulated workers (see run_time_histories). Forecasts are compared with what
the tasks then take: once when the leader first sees the step, and once when a
tenth of its tasks have ended, for the others. The baselines are what the
caller declares, and the queue's ratio of measured to declared run times.

An error is the absolute logarithm of forecast over actual run time, averaged
over the tasks of a step and then over the steps. The result is the error after
a tenth relative to that of the ratio: the mean over the histories in which
declared run times tell little. At the start it should not be above 1 in any.
"""

from collections import defaultdict
from dataclasses import dataclass
from math import log
from statistics import mean

from bench.run_time_histories import RunTimeHistory
from bench.run_time_histories import RunTimeWorld
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.runtimes import NO_SAMPLES
from sesamehall.core.work import task_id
from sesamehall.core.work import TaskPlace
from sesamehall.core.workstate import ActiveJob
from sesamehall.reducer.jobs.durations import duration_ratio
from sesamehall.reducer.jobs.forecasts import forecast_task
from sesamehall.reducer.jobs.progress import is_task_done

SEEDS = (1, 2, 3)
METHODS = ("declared", "ratio", "forecast")
# Two fleets were measured: between .43 and .64, within .14 to .27, and
# correlations from .12 to .57.
UNINFORMATIVE = (
    RunTimeHistory("typical"),
    RunTimeHistory("low correlation", between=0.45, correlation=0.12),
    RunTimeHistory(
        "high correlation", between=0.6, within=0.27, correlation=0.57
    ),
    RunTimeHistory(
        "more tasks than room", workers=9, tasks=24, jobs_per_s=1.2
    ),
    RunTimeHistory("release", released_factor=2.0, workers=40),
    RunTimeHistory(
        "failures and slow workers", failure_rate=0.1, slow_rate=0.1
    ),
)
INFORMATIVE = (
    RunTimeHistory("declared well", between=0.45, correlation=0.98),
    RunTimeHistory(
        "declared well, release",
        between=0.45,
        correlation=0.98,
        released_factor=2.0,
        workers=40,
    ),
)


@dataclass(frozen=True, slots=True)
class StepForecasts:
    """Forecasts of a step's tasks at some time.

    Attributes:
      ms_by_method: Forecast run time by method.
      tasks: Tasks that had not ended.
    """

    ms_by_method: dict[str, float]
    tasks: tuple[str, ...]


class ForecastObserver:
    """Collects forecasts while a history runs."""

    def __init__(self, world: RunTimeWorld):
        """Start to observe a history.

        Args:
          world: The history before it runs.
        """
        self.at_start_by_step: dict[tuple[str, int], StepForecasts] = {}
        self.at_tenth_by_step: dict[tuple[str, int], StepForecasts] = {}
        self._world = world
        world.simulation.on_reduced = self._observe

    def _observe(self, *_):
        """Look at all jobs after an event."""
        (process,) = self._world.simulation.processes_by_name.values()
        manager = process.state.manager
        for job in manager.active_jobs_by_id.values():
            for number in job.path_steps:
                self._observe_step(manager, job, number)

    def _observe_step(self, manager, job, number):
        key = (job.plan.job_id, number)
        if key not in self.at_start_by_step:
            self.at_start_by_step[key] = build_forecasts(manager, job, number)
        finished = job.samples_by_step.get(number, NO_SAMPLES).finished
        tenth = finished * 10 >= job.plan.steps[number].count
        if finished and tenth and key not in self.at_tenth_by_step:
            self.at_tenth_by_step[key] = build_forecasts(manager, job, number)

    def errors(
        self, forecasts_by_step: dict[tuple[str, int], StepForecasts]
    ) -> dict[str, float]:
        """Compute the mean error of each method.

        Args:
          forecasts_by_step: Forecasts made at comparable times.
        Returns:
          Mean errors by method.
        """
        errors_by_method = defaultdict(list)
        for forecasts in forecasts_by_step.values():
            actual_ms = [
                self._world.run_time_ms_by_task[task]
                for task in forecasts.tasks
                if task in self._world.run_time_ms_by_task
            ]
            for method, forecast_ms in forecasts.ms_by_method.items():
                if actual_ms:
                    errors_by_method[method].append(
                        mean(abs(log(forecast_ms / ms)) for ms in actual_ms)
                    )
        return {name: mean(errors_by_method[name]) for name in METHODS}


def build_forecasts(
    manager: ManagerState, job: ActiveJob, number: int
) -> StepForecasts:
    """Forecast the run time of a step's tasks by all methods.

    Args:
      manager: State of the leader.
      job: The job.
      number: Number of the step.
    Returns:
      The forecasts.
    """
    step = job.plan.steps[number]
    ratio = duration_ratio(manager, job.plan.queue)
    places = [TaskPlace(0, number, index) for index in range(step.count)]
    return StepForecasts(
        ms_by_method={
            "declared": step.estimate_ms,
            "ratio": ratio * step.estimate_ms,
            "forecast": forecast_task(manager, job, number).median_ms,
        },
        tasks=tuple(
            task_id(job.plan.job_id, place)
            for place in places
            if not is_task_done(job, place)
        ),
    )


@dataclass(frozen=True, slots=True)
class HistoryErrors:
    """Errors over a history.

    Attributes:
      steps: Number of steps.
      at_start: Mean errors by method when a step is first seen.
      at_tenth: The same once a tenth of its tasks have ended.
    """

    steps: int
    at_start: dict[str, float]
    at_tenth: dict[str, float]


def measure(history: RunTimeHistory, seed: int) -> HistoryErrors:
    """Run a history and compute the errors.

    Args:
      history: Parameters of the history.
      seed: Seed of all random choices.
    Returns:
      The errors.
    """
    world = RunTimeWorld(history, seed)
    observer = ForecastObserver(world)
    world.run()
    return HistoryErrors(
        len(observer.at_tenth_by_step),
        observer.errors(observer.at_start_by_step),
        observer.errors(observer.at_tenth_by_step),
    )


def print_errors(history: RunTimeHistory) -> list[HistoryErrors]:
    """Run a history with all seeds and print the errors.

    Args:
      history: Parameters of the history.
    Returns:
      The errors for each seed.
    """
    results = [measure(history, seed) for seed in SEEDS]
    print(f"{history.name}: {sum(result.steps for result in results)} steps")
    for title, errors in (
        ("at the start", [result.at_start for result in results]),
        ("after a tenth", [result.at_tenth for result in results]),
    ):
        values = "  ".join(
            f"{method} {mean(error[method] for error in errors):.3f}"
            for method in METHODS
        )
        print(f"  {title:14} {values}")
    return results


def relative_error(results: list[HistoryErrors]) -> float:
    """Compute the error after a tenth relative to that of the ratio.

    Args:
      results: Errors for each seed.
    Returns:
      The ratio of the mean errors.
    """
    forecast = mean(result.at_tenth["forecast"] for result in results)
    return forecast / mean(result.at_tenth["ratio"] for result in results)


def main() -> None:
    """Print all errors; the last line is forecast_error=RATIO."""
    for history in INFORMATIVE:
        print_errors(history)
    relative = [
        relative_error(print_errors(history)) for history in UNINFORMATIVE
    ]
    print(f"forecast_error={mean(relative):.2f}")


if __name__ == "__main__":
    main()
