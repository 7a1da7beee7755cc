"""Tests that the measured stream of events is repeatable and places work."""

import pytest

from bench import manager_cost
from bench.manager_cost import measure


@pytest.mark.parametrize("workers", [10, 25])
def test_demand_is_placed_and_repeatable(monkeypatch, workers):
    monkeypatch.setattr(manager_cost, "MEASURED_MS", 4_000)
    first = measure(workers)
    second = measure(workers)
    assert first.orders == second.orders > workers
    assert set(first.us_by_kind) == set(second.us_by_kind)
    assert first.us_per_order() > 0
    assert {"PlaceTimer", "WorkerReported", "ManagerTimer"} <= set(
        first.us_by_kind
    )
