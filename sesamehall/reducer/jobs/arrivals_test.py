"""Tests of the rates at which jobs come."""

import pytest

from sesamehall.reducer.jobs.arrivals import jobs_per_s
from sesamehall.reducer.jobs.arrivals import record_arrival
from sesamehall.reducer.jobs.arrivals import surge_jobs_per_s
from sesamehall.reducer.jobs.testing import build_leader

LONG_MS = 6_000


def after_arrivals(period_ms):
    """Let jobs come at a steady rate for a while."""
    manager = build_leader()
    for at_ms in range(0, LONG_MS, period_ms):
        manager = record_arrival(manager, "quotes", at_ms)
    return manager


@pytest.mark.parametrize(
    ("period_ms", "low", "high"),
    [(40, 23, 28), (100, 8.5, 12), (1_000, 0, 3)],
    ids=["surge", "busy", "calm"],
)
def test_rate(period_ms, low, high):
    manager = after_arrivals(period_ms)
    assert low <= jobs_per_s(manager, "quotes", LONG_MS) <= high


@pytest.mark.parametrize(
    ("period_ms", "low", "high"),
    [(20, 35, 45), (40, 14, 20), (100, 2, 7), (300, 0, 0.5), (1_000, 0, 0)],
    ids=["flood", "surge", "busy", "by chance", "calm"],
)
def test_few_jobs_are_no_surge(period_ms, low, high):
    manager = after_arrivals(period_ms)
    rate = surge_jobs_per_s(manager, "quotes", LONG_MS)
    assert low <= rate <= high


def test_rate_fades_out():
    manager = after_arrivals(40)
    assert jobs_per_s(manager, "quotes", LONG_MS + 6_000) < 0.01
    assert jobs_per_s(manager, "other", LONG_MS) == 0
