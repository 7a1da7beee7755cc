"""Estimation of run times from a queue's finished steps and a step's tasks.

A step's run time is forecast in two stages. The queue's finished steps give a
line from the declared to the actual run time, and the variance around it. The
step's own tasks give a mean. Both are weighted by the inverse of their
variances. docs/design/run-time-forecasts.md says why.
"""

from math import exp
from math import log
from math import sqrt

from sesamehall.core.replacing import replace
from sesamehall.core.runtimes import INITIAL_BETWEEN_VARIANCE
from sesamehall.core.runtimes import INITIAL_LINE
from sesamehall.core.runtimes import LogNormal
from sesamehall.core.runtimes import NO_SAMPLES
from sesamehall.core.runtimes import QueueRunTimes
from sesamehall.core.runtimes import RunSample
from sesamehall.core.runtimes import RunTimeLine
from sesamehall.core.runtimes import StepSamples

MEAN_STEPS = 8  # window of the means, short so that a release is learnt soon
VARIANCE_STEPS = 60  # window of the variances and of the errors
WITHIN_TASKS = 300  # window of the variance within steps
# Number of measured steps that the initial values are worth.
INITIAL_LINE_STEPS = 2
INITIAL_VARIANCE_STEPS = 4
INITIAL_WITHIN_TASKS = 10
# A slope of 1 is worth this sum of squared deviations of declared run times.
INITIAL_SLOPE_WEIGHT = 1.0
PERCENT_ERROR = 10  # progress at which a running task has half the weight


def learn_step(
    queue: QueueRunTimes, declared_ms: float, samples: StepSamples
) -> QueueRunTimes:
    """Add a step to the averages of its queue.

    Args:
      queue: The averages.
      declared_ms: Declared run time of the step's tasks, above 0.
      samples: Its tasks, of which at least one was measured.
    Returns:
      The averages with the step.
    """
    declared = log(declared_ms)
    actual = _finished_log_sum(queue.line, samples) / samples.finished
    count = queue.count + 1
    mean_weight = 1 / min(count, MEAN_STEPS)
    weight = 1 / min(count, VARIANCE_STEPS)
    declared_change = declared - queue.mean_declared
    actual_change = actual - queue.mean_actual
    if count == 1:
        declared_change = actual_change = 0.0
        queue = replace(queue, mean_declared=declared, mean_actual=actual)
    # Deviations from the means before and after the step: their product has
    # the variance as its mean, also for the first steps.
    rest = 1 - mean_weight
    changed = replace(
        queue,
        count=count,
        mean_declared=queue.mean_declared + mean_weight * declared_change,
        mean_actual=queue.mean_actual + mean_weight * actual_change,
        declared_variance=_moved(
            queue.declared_variance, rest * declared_change**2, weight
        ),
        actual_variance=_moved(
            queue.actual_variance, rest * actual_change**2, weight
        ),
        covariance=_moved(
            queue.covariance, rest * declared_change * actual_change, weight
        ),
        error=_moved(
            queue.error,
            abs(actual - estimate(queue.line, declared_ms).mean),
            weight,
        ),
        declared_error=_moved(
            queue.declared_error, abs(actual - declared), weight
        ),
    )
    return replace(changed, line=fit_line(changed))


def _moved(average, value, weight):
    """Move an average towards a value."""
    return average + weight * (value - average)


def _finished_log_sum(line, samples):
    """Sum up the finished tasks, corrected for the order in which they end."""
    return samples.log_sum - sqrt(line.within_variance) * samples.rank_sum


def learn_deviations(
    queue: QueueRunTimes, samples: StepSamples
) -> QueueRunTimes:
    """Add the deviations of a step's tasks from their mean.

    Args:
      queue: The averages of its queue.
      samples: All tasks of the step, so that the long ones are among them.
    Returns:
      The averages.
    """
    freedom = samples.finished - 1
    if freedom < 1:
        return queue
    squares = samples.log_square_sum - samples.log_sum**2 / samples.finished
    count = queue.within_count + freedom
    variance = _moved(
        queue.within_variance,
        max(squares, 0.0) / freedom,
        freedom / (count + INITIAL_WITHIN_TASKS),
    )
    changed = replace(
        queue,
        within_variance=variance,
        within_count=min(count, WITHIN_TASKS),
    )
    return replace(changed, line=fit_line(changed))


def fit_line(queue: QueueRunTimes) -> RunTimeLine:
    """Fit the line from declared to actual run times of a queue.

    Args:
      queue: Averages over its finished steps.
    Returns:
      The line. With few steps it is drawn towards the declared run time.
    """
    steps = min(queue.count, VARIANCE_STEPS)
    slope = (steps * queue.covariance + INITIAL_SLOPE_WEIGHT) / (
        steps * queue.declared_variance + INITIAL_SLOPE_WEIGHT
    )
    slope = min(max(slope, 0.0), 1.0)
    between = max(
        queue.actual_variance
        - 2 * slope * queue.covariance
        + slope**2 * queue.declared_variance,
        0.0,
    )
    between += (INITIAL_BETWEEN_VARIANCE - between) * (
        INITIAL_VARIANCE_STEPS / (INITIAL_VARIANCE_STEPS + steps)
    )
    trust = queue.count / (queue.count + INITIAL_LINE_STEPS)
    intercept = queue.mean_actual - slope * queue.mean_declared
    return RunTimeLine(
        slope=_moved(INITIAL_LINE.slope, slope, trust),
        intercept=_moved(INITIAL_LINE.intercept, intercept, trust),
        between_variance=between,
        within_variance=queue.within_variance,
    )


def estimate(
    line: RunTimeLine, declared_ms: float, samples: StepSamples = NO_SAMPLES
) -> LogNormal:
    """Estimate the run time of a step's tasks.

    Args:
      line: The line of its queue.
      declared_ms: Declared run time, above 0.
      samples: What is known of the step's tasks.
    Returns:
      The distribution of a task's run time.
    """
    mean = line.intercept + line.slope * log(declared_ms)
    variance = line.between_variance
    weight = samples.finished + samples.running_weight
    if weight > 0:
        finished_sum = _finished_log_sum(line, samples)
        step_mean = (finished_sum + samples.running_sum) / weight
        gain = variance / (variance + line.within_variance / weight)
        mean += gain * (step_mean - mean)
        variance *= 1 - gain
    return LogNormal(mean, variance + line.within_variance)


def expected_ms(
    line: RunTimeLine, declared_ms: float, samples: StepSamples = NO_SAMPLES
) -> float:
    """Compute the mean run time that is expected of a step's tasks.

    Args:
      line: The line of its queue.
      declared_ms: Declared run time; if it is 0, so is the result.
      samples: What is known of the step's tasks.
    Returns:
      Milliseconds.
    """
    if declared_ms <= 0:
        return 0.0
    run_time = estimate(line, declared_ms, samples)
    return exp(run_time.mean + run_time.variance / 2)


def extrapolate(elapsed_ms: int, percent: int) -> RunSample:
    """Extrapolate the run time of a run that makes progress.

    Args:
      elapsed_ms: Time from its start until the progress was seen, above 0.
      percent: Completed share of its work, above 0.
    Returns:
      The sample; its weight is small while little progress was seen.
    """
    weight = percent**2 / (percent**2 + PERCENT_ERROR**2)
    return RunSample(percent, log(elapsed_ms * 100 / percent), weight)


def expected_rank_deviation(rank: int, size: int) -> float:
    """Compute by how much the shortest runs fall short of the mean.

    Args:
      rank: Rank of a run by its run time, from 1.
      size: Number of runs that are compared.
    Returns:
      Expected deviation from the mean, in standard deviations, by Blom's
      approximation.
    """
    if size < 2:
        return 0.0
    share = (rank - 0.375) / (size + 0.25)
    # The standard normal quantile, by Tukey's lambda distribution.
    return (share**0.135 - (1 - share) ** 0.135) / 0.1975
