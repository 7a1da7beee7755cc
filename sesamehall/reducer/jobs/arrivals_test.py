"""Tests of the arrival rates of jobs."""

import pytest

from sesamehall.reducer.jobs.arrivals import jobs_per_s
from sesamehall.reducer.jobs.arrivals import record_arrival
from sesamehall.reducer.jobs.arrivals import surge_jobs_per_s
from sesamehall.reducer.jobs.testing import build_leader

DURATION_MS = 6_000


def after_arrivals(period_ms):
    """Record arrivals of jobs at a constant rate."""
    manager = build_leader()
    for at_ms in range(0, DURATION_MS, period_ms):
        manager = record_arrival(manager, "quotes", at_ms)
    return manager


@pytest.mark.parametrize(
    ("period_ms", "low", "high"),
    [(40, 23, 28), (100, 8.5, 12), (1_000, 0, 3)],
    ids=["surge", "busy", "idle"],
)
def test_rate(period_ms, low, high):
    manager = after_arrivals(period_ms)
    assert low <= jobs_per_s(manager, "quotes", DURATION_MS) <= high


@pytest.mark.parametrize(
    ("period_ms", "low", "high"),
    [(20, 35, 45), (40, 14, 20), (100, 2, 7), (300, 0, 0.5), (1_000, 0, 0)],
    ids=["large surge", "surge", "busy", "quiet", "idle"],
)
def test_few_arrivals_are_not_a_surge(period_ms, low, high):
    manager = after_arrivals(period_ms)
    rate = surge_jobs_per_s(manager, "quotes", DURATION_MS)
    assert low <= rate <= high


def test_rate_decays():
    manager = after_arrivals(40)
    assert jobs_per_s(manager, "quotes", DURATION_MS + 6_000) < 0.01
    assert jobs_per_s(manager, "other", DURATION_MS) == 0
