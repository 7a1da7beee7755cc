"""Measured run times of queues, steps and runs, as logarithms.

Run times are products of many factors, so their logarithms are averaged. All
logarithms are natural, and those of run times in milliseconds.
"""

from dataclasses import dataclass

INITIAL_BETWEEN_VARIANCE = 0.25  # of a queue without measured steps
INITIAL_WITHIN_VARIANCE = 0.04


@dataclass(frozen=True, slots=True)
class RunTimeLine:
    """Relation of a queue's actual run times to the declared ones.

    Attributes:
      slope: Change of the logarithm of the actual run time for a change of
        that of the declared one. Between 0, if declared run times tell
        nothing, and 1.
      intercept: Logarithm of the actual run time where that of the declared
        one is 0.
      between_variance: Variance of steps around the line.
      within_variance: Variance of a step's tasks around their mean.
    """

    slope: float = 1.0
    intercept: float = (
        -(INITIAL_BETWEEN_VARIANCE + INITIAL_WITHIN_VARIANCE) / 2
    )
    between_variance: float = INITIAL_BETWEEN_VARIANCE
    within_variance: float = INITIAL_WITHIN_VARIANCE


INITIAL_LINE = RunTimeLine()


@dataclass(frozen=True, slots=True)
class LogNormal:
    """Distribution of a run time whose logarithm is normally distributed.

    Attributes:
      mean: Mean of the logarithm.
      variance: Variance of the logarithm.
    """

    mean: float
    variance: float


@dataclass(frozen=True, slots=True)
class QueueRunTimes:
    """Moving averages over the steps of a queue that were measured.

    Attributes:
      count: Number of steps.
      mean_declared: Mean logarithm of their declared run times.
      mean_actual: Mean logarithm of their actual run times.
      declared_variance: Variance of the logarithm of the declared run time.
      actual_variance: Variance of the logarithm of the actual run time.
      covariance: Covariance of both.
      within_variance: Variance of a step's tasks around their mean.
      within_count: Number of tasks that it is averaged over.
      error: Mean absolute error of the logarithm that was forecast for a step
        before it ran.
      declared_error: That of the declared run time.
      line: What forecasts of steps that have not run rest on; computed from
        the other attributes.
      logged_ms: Time at which the averages were last logged, or -1.
      stored_count: Number of steps that the stored record contains.
    """

    count: int = 0
    mean_declared: float = 0.0
    mean_actual: float = 0.0
    declared_variance: float = 0.0
    actual_variance: float = 0.0
    covariance: float = 0.0
    within_variance: float = INITIAL_WITHIN_VARIANCE
    within_count: int = 0
    error: float = 0.0
    declared_error: float = 0.0
    line: RunTimeLine = INITIAL_LINE
    logged_ms: int = -1
    stored_count: int = 0


@dataclass(frozen=True, slots=True)
class RunSample:
    """Run time extrapolated from the progress of a run.

    Attributes:
      percent: Progress that it was extrapolated from.
      log_ms: Logarithm of the run time.
      weight: Weight relative to a finished task.
    """

    percent: int
    log_ms: float
    weight: float


@dataclass(frozen=True, slots=True)
class FirstWave:
    """The runs of a step that were under way when its first one succeeded.

    The shortest of them succeed first, so each is compared with the run time
    that is expected of its rank.

    Attributes:
      size: Number of these runs.
      ended: Number of them that have succeeded.
      sent_until_ms: Their start orders were sent up to this time.
    """

    size: int
    ended: int
    sent_until_ms: int


@dataclass(frozen=True, slots=True)
class StepSamples:
    """What is known of the run times of a step's tasks.

    Attributes:
      finished: Number of finished tasks.
      log_sum: Sum of the logarithms of their run times.
      log_square_sum: Sum of the squares of these.
      rank_sum: Sum of their expected deviations from the mean of their step,
        given the order in which they ended, in standard deviations.
      running_weight: Sum of the weights of the samples of running tasks.
      running_sum: Sum of their logarithms times their weights.
      first_wave: The runs that the first one to succeed was compared with, or
        None before.
      learnt: Whether the averages of the queue contain the step.
    """

    finished: int = 0
    log_sum: float = 0.0
    log_square_sum: float = 0.0
    rank_sum: float = 0.0
    running_weight: float = 0.0
    running_sum: float = 0.0
    first_wave: FirstWave | None = None
    learnt: bool = False


NO_SAMPLES = StepSamples()
