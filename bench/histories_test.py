"""Tests that the histories' checkers find broken guards, and nothing else."""

import pytest

from bench import at_most_once
from bench import ceiling_histories
from bench.demand import fill_evenly
from bench.driver import Weather
from bench.worlds import build_world
from sesamehall.codecs.wire import encode_record
from sesamehall.reducer import admission
from sesamehall.reducer import allotments
from sesamehall.reducer import lending
from sesamehall.reducer import role


@pytest.fixture(autouse=True)
def whole_guards(monkeypatch):
    """Put back every guard that a history takes out."""
    for module, name in (
        (admission, "needs_claim"),
        (allotments, "places"),
        (lending, "_add"),
        (lending, "spare_units"),
        (role, "GONE_AFTER_MS"),
    ):
        monkeypatch.setattr(module, name, getattr(module, name))


@pytest.mark.parametrize(
    ("seed", "broken", "found"),
    [
        (1, "", False),
        (2, "", False),
        (1, "units", True),
        (4, "totals", True),
        (3, "spare", True),
    ],
)
def test_ceilings_hold_unless_a_guard_is_out(seed, broken, found):
    result = ceiling_histories.run_history(seed, broken)
    assert result.starts > 500
    assert (result.violations > 0) == found


@pytest.mark.parametrize(
    ("seed", "guarded", "doubled"), [(1, True, False), (1, False, True)]
)
def test_ids_run_once_unless_unguarded(seed, guarded, doubled):
    result = at_most_once.run_history(seed, guarded)
    assert result.ran > 200 and result.lies == 0
    assert (result.doubled > 0) == doubled


def test_same_seed_gives_the_same_history():
    logs = []
    for _ in range(2):
        world = build_world(7, ceiling_histories.SIZES, Weather())
        ceiling_histories.plan_traffic(world)
        ceiling_histories.plan_faults(world)
        world.run(2_000)
        logs.append([encode_record(record) for record in world.log])
    assert logs[0] == logs[1] and len(logs[0]) > 20


@pytest.mark.parametrize(
    ("capacities", "shares", "ceilings", "wanted", "due"),
    [
        ({"s": 9}, {"a": 1, "b": 2}, {"a": 9, "b": 9}, {}, {}),
        (
            {"s": 9},
            {"a": 1, "b": 2},
            {"a": 9, "b": 9},
            {("a", "s"): 9, ("b", "s"): 9},
            {"a": 3, "b": 6},
        ),
        (
            {"s": 9},
            {"a": 1, "b": 2},
            {"a": 9, "b": 4},
            {("a", "s"): 9, ("b", "s"): 9},
            {"a": 5, "b": 4},
        ),
        (
            {"s": 6, "t": 6},
            {"a": 1, "b": 1},
            {"a": 9, "b": 9},
            {("a", "s"): 9, ("b", "s"): 9, ("b", "t"): 9},
            {"a": 6, "b": 6},
        ),
    ],
)
def test_plain_division(capacities, shares, ceilings, wanted, due):
    assert fill_evenly(capacities, shares, ceilings, wanted) == due
