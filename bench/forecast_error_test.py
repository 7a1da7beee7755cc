"""Tests that forecasts are as good as was asked for, in seeded histories."""

import pytest

from bench.forecast_error import INFORMATIVE
from bench.forecast_error import measure
from bench.forecast_error import UNINFORMATIVE

MAX_AT_TENTH = 0.5  # of the error of the ratio, once a tenth has ended
MAX_AT_START = 1.0


@pytest.mark.parametrize(
    ("history", "limit_at_tenth"),
    [
        (UNINFORMATIVE[0], MAX_AT_TENTH),
        (UNINFORMATIVE[-1], MAX_AT_TENTH),
        (INFORMATIVE[0], 1.0),
    ],
    ids=lambda value: getattr(value, "name", None),
)
def test_forecasts_are_better_than_the_ratio(history, limit_at_tenth):
    errors = measure(history, seed=1)
    at_tenth = errors.at_tenth
    assert at_tenth["forecast"] <= limit_at_tenth * at_tenth["ratio"]
    at_start = errors.at_start
    assert at_start["forecast"] <= MAX_AT_START * at_start["ratio"]


def test_histories_are_repeatable():
    history = UNINFORMATIVE[3]
    assert measure(history, seed=5) == measure(history, seed=5)
