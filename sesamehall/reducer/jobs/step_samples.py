"""Samples of a job's steps: what their runs have taken or will take."""

from math import log

from immutables import Map

from sesamehall.core.replacing import replace
from sesamehall.core.runtimes import FirstWave
from sesamehall.core.runtimes import NO_SAMPLES
from sesamehall.core.runtimes import RunSample
from sesamehall.core.runtimes import StepSamples
from sesamehall.core.workstate import ActiveJob
from sesamehall.core.workstate import Run
from sesamehall.reducer.jobs.run_time_model import expected_rank_deviation

MIN_WEIGHT = 1e-9  # smaller sums of weights are rounding errors


def without_sample(job: ActiveJob, run: Run) -> Map[int, StepSamples]:
    """Take out what the progress of a run has contributed.

    Args:
      job: Its job.
      run: A run that ends, for any reason.
    Returns:
      The samples by step.
    """
    samples = job.samples_by_step.get(run.place.step)
    if run.sample is None or samples is None:
        return job.samples_by_step
    samples = _with_extrapolation(samples, run.sample, -1)
    return job.samples_by_step.set(run.place.step, samples)


def with_sample(
    job: ActiveJob, run: Run, sample: RunSample
) -> Map[int, StepSamples]:
    """Replace what the progress of a run has contributed.

    Args:
      job: Its job.
      run: The run, with its earlier sample.
      sample: Its new sample.
    Returns:
      The samples by step.
    """
    by_step = without_sample(job, run)
    samples = by_step.get(run.place.step, NO_SAMPLES)
    samples = _with_extrapolation(samples, sample, 1)
    return by_step.set(run.place.step, samples)


def _with_extrapolation(samples, sample, sign):
    """Add a running task's sample, or take it out."""
    weight = samples.running_weight + sign * sample.weight
    weighted = samples.running_sum + sign * sample.weight * sample.log_ms
    if weight < MIN_WEIGHT:
        weight = weighted = 0.0
    return replace(samples, running_weight=weight, running_sum=weighted)


def with_finished_task(
    samples: StepSamples, run: Run, run_time_ms: int
) -> StepSamples:
    """Add a task that has succeeded.

    Args:
      samples: Samples of its step, with a first wave.
      run: Its run.
      run_time_ms: Time that it took on the worker, above 0.
    Returns:
      The samples.
    """
    actual = log(run_time_ms)
    changed = replace(
        samples,
        finished=samples.finished + 1,
        log_sum=samples.log_sum + actual,
        log_square_sum=samples.log_square_sum + actual**2,
    )
    wave = samples.first_wave
    if run.first_sent_ms > wave.sent_until_ms or wave.ended == wave.size:
        return changed
    wave = replace(wave, ended=wave.ended + 1)
    deviation = expected_rank_deviation(wave.ended, wave.size)
    return replace(
        changed, rank_sum=samples.rank_sum + deviation, first_wave=wave
    )


def build_first_wave(run: Run, siblings: list[Run], at_ms: int) -> FirstWave:
    """Find the runs that the first successful run of a step is compared with.

    These are the ones that have been under way for at least half as long.

    Args:
      run: The run.
      siblings: Other runs of its step.
      at_ms: Current time on the node's clock.
    Returns:
      The wave, without an ended run.
    """
    sent_until_ms = (run.first_sent_ms + at_ms) // 2
    others = sum(
        sibling.first_sent_ms <= sent_until_ms for sibling in siblings
    )
    return FirstWave(1 + others, 0, sent_until_ms)
