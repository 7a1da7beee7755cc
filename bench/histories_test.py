"""Tests that the checkers of histories detect disabled guards.

Each seed of a disabled guard is one whose faults need that guard.  With all
guards in force the same checkers must find no violation.
"""

import os
import subprocess
import sys

import pytest

from bench import at_most_once
from bench import ceiling_histories
from bench.demand import divide_max_min
from sesamehall.reducer import admission
from sesamehall.reducer import allotments
from sesamehall.reducer import lending
from sesamehall.reducer import role


@pytest.fixture(autouse=True)
def restore_guards(monkeypatch):
    """Restore the guards that a history has disabled."""
    for module, name in (
        (admission, "needs_claim"),
        (allotments, "places_for"),
        (lending, "_add_totals"),
        (lending, "spare_units"),
        (role, "ENTRY_EXPIRY_MS"),
    ):
        monkeypatch.setattr(module, name, getattr(module, name))


@pytest.mark.parametrize(
    ("seed", "disabled_guard", "violated"),
    [
        (1, "", False),
        (2, "", False),
        (1, "units", True),
        (4, "totals", True),
        (3, "spare", True),
    ],
)
def test_ceilings_hold_unless_a_guard_is_disabled(
    seed, disabled_guard, violated
):
    result = ceiling_histories.run_history(seed, disabled_guard)
    assert result.starts > 500
    assert (result.violations > 0) == violated


@pytest.mark.parametrize(
    ("seed", "claims_enabled", "violated"),
    [(2, True, False), (2, False, True)],
)
def test_ids_run_once_unless_claims_are_disabled(
    seed, claims_enabled, violated
):
    result = at_most_once.run_history(seed, claims_enabled)
    assert result.ids_run > 200 and result.false_refusals == 0
    assert (result.duplicate_runs > 0) == violated


HISTORY = """
from hashlib import sha256
from bench import ceiling_histories
from bench.driver import FaultRates
from bench.simulated_clusters import build_simulation
from sesamehall.codecs.wire import encode_record
spec = ceiling_histories.CLUSTER_SPEC
simulation = build_simulation(7, spec, FaultRates())
ceiling_histories.schedule_requests(simulation)
ceiling_histories.schedule_faults(simulation)
simulation.run(2_000)
digest = sha256()
for record in simulation.log:
    digest.update(encode_record(record))
print(len(simulation.log), len(simulation.replies), digest.hexdigest())
"""


def test_same_seed_gives_the_same_history_in_any_process():
    outputs = {
        subprocess.run(
            [sys.executable, "-c", HISTORY],
            capture_output=True,
            text=True,
            timeout=120,
            check=True,
            env=os.environ | {"PYTHONHASHSEED": hash_seed},
        ).stdout
        for hash_seed in ("1", "2", "3")
    }
    assert len(outputs) == 1


@pytest.mark.parametrize(
    ("capacities", "shares", "ceilings", "demand", "expected"),
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
def test_max_min_division(capacities, shares, ceilings, demand, expected):
    assert divide_max_min(capacities, shares, ceilings, demand) == expected
