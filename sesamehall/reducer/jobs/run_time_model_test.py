"""Tests of the estimation of run times."""

from math import log

import pytest

from sesamehall.core.runtimes import INITIAL_LINE
from sesamehall.core.runtimes import QueueRunTimes
from sesamehall.core.runtimes import RunTimeLine
from sesamehall.core.runtimes import StepSamples
from sesamehall.reducer.jobs.run_time_model import estimate
from sesamehall.reducer.jobs.run_time_model import expected_ms
from sesamehall.reducer.jobs.run_time_model import expected_rank_deviation
from sesamehall.reducer.jobs.run_time_model import extrapolate
from sesamehall.reducer.jobs.run_time_model import fit_line
from sesamehall.reducer.jobs.run_time_model import learn_deviations
from sesamehall.reducer.jobs.run_time_model import learn_step

LINE = RunTimeLine(
    slope=0.0,
    intercept=log(1_000),
    between_variance=0.25,
    within_variance=0.04,
)


def samples_of(*run_times_ms, **others):
    """Build the samples of a step whose tasks have all finished."""
    logs = [log(run_time_ms) for run_time_ms in run_times_ms]
    return StepSamples(
        len(logs), sum(logs), sum(value**2 for value in logs), **others
    )


def learn_all(steps, queue=QueueRunTimes()):
    """Learn steps, each given by its declared and its actual run time."""
    for declared_ms, actual_ms in steps:
        queue = learn_step(queue, declared_ms, samples_of(actual_ms))
    return queue


@pytest.mark.parametrize(
    ("steps", "slope", "declared_ms", "median_ms"),
    [
        ([], 1.0, 700, 605),
        ([(500, 1_000), (1_000, 2_000), (2_000, 4_000)], 1.0, 700, 1_400),
        ([(500, 1_000), (1_000, 1_000), (2_000, 1_000)], 0.0, 700, 1_000),
        ([(500, 2_000), (1_000, 1_000), (2_000, 500)], 0.0, 700, 1_000),
        ([(1_000, 500), (1_000, 1_000), (1_000, 2_000)], 1.0, 1_000, 1_000),
    ],
    ids=[
        "nothing measured",
        "declared well, off by a factor",
        "declared tells nothing",
        "declared misleads",
        "all declare the same",
    ],
)
def test_declared_run_times_count_as_much_as_they_tell(
    steps, slope, declared_ms, median_ms
):
    queue = learn_all(steps * 100)
    assert queue.line.slope == pytest.approx(slope, abs=0.1)
    median = estimate(queue.line, declared_ms).mean
    assert median == pytest.approx(log(median_ms), abs=0.1)
    assert queue.line == (fit_line(queue) if steps else INITIAL_LINE)


@pytest.mark.parametrize("declared_ms", [1, 700, 60_000])
def test_without_measured_steps_the_declared_run_time_is_expected(declared_ms):
    assert expected_ms(INITIAL_LINE, declared_ms) == pytest.approx(declared_ms)


@pytest.mark.parametrize(
    ("before", "factor"),
    [([(1_000, 1_000)], 2.0), ([(500, 500), (2_000, 2_000)], 0.5)],
)
def test_release_is_learnt_within_some_steps(before, factor):
    """A release may change all run times of a queue at once."""
    queue = learn_all(before * 200)
    after = [(declared, factor * actual) for declared, actual in before]
    queue = learn_all((after * 20)[:20], queue)
    median = estimate(queue.line, 1_000).mean
    assert median == pytest.approx(log(factor * 1_000), abs=0.1)


@pytest.mark.parametrize(
    ("samples", "low_ms", "high_ms"),
    [
        (StepSamples(), 999, 1_001),
        (samples_of(3_000), 2_300, 2_800),
        (samples_of(*(3_000,) * 8), 2_900, 3_000),
        (samples_of(3_000, rank_sum=-1.4), 3_000, 3_900),
        (
            StepSamples(running_weight=0.1, running_sum=0.1 * log(3_000)),
            1_300,
            1_800,
        ),
        (
            StepSamples(running_weight=6, running_sum=6 * log(3_000)),
            2_800,
            3_000,
        ),
    ],
    ids=[
        "nothing known",
        "one task finished",
        "all finished",
        "the first of several to finish",
        "little progress",
        "much progress of several",
    ],
)
def test_own_tasks_of_a_step_outweigh_its_queue(samples, low_ms, high_ms):
    run_time = estimate(LINE, 700, samples)
    assert log(low_ms) <= run_time.mean <= log(high_ms)
    unknown = estimate(LINE, 700)
    assert LINE.within_variance < run_time.variance <= unknown.variance


@pytest.mark.parametrize(
    ("percent", "weight"), [(1, 0.01), (10, 0.5), (90, 0.99)]
)
def test_extrapolation_counts_as_much_as_the_progress_shows(percent, weight):
    sample = extrapolate(20 * percent, percent)
    assert sample.log_ms == pytest.approx(log(2_000))
    assert sample.weight == pytest.approx(weight, abs=0.01)


@pytest.mark.parametrize(
    ("size", "lowest"), [(1, 0.0), (2, -0.56), (8, -1.42), (100, -2.51)]
)
def test_shortest_runs_end_first(size, lowest):
    """The lowest is the expected minimum of normally distributed values."""
    deviations = [
        expected_rank_deviation(rank, size) for rank in range(1, size + 1)
    ]
    assert deviations[0] == pytest.approx(lowest, abs=0.04)
    assert sum(deviations) == pytest.approx(0.0, abs=1e-9)


def test_deviations_within_steps_are_pooled():
    queue = QueueRunTimes()
    for _ in range(100):
        queue = learn_deviations(queue, samples_of(700, 1_000))
        queue = learn_deviations(queue, samples_of(5_000))
    expected = (log(1_000) - log(700)) ** 2 / 2
    assert queue.line.within_variance == pytest.approx(expected, rel=0.1)
