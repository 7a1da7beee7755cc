"""Tests that the checks of job histories detect disabled guards.

Each seed of a disabled guard is one whose faults need that guard.  With all
guards in force the same checks must find no violation.
"""

import os
import subprocess
import sys

import pytest

from bench import job_histories
from bench.jobguards import disable_guard
from bench.jobguards import GUARDS
from sesamehall.reducer.jobs import adoption
from sesamehall.reducer.jobs import advice_requests
from sesamehall.reducer.jobs import leases
from sesamehall.reducer.jobs import orders
from sesamehall.reducer.jobs import placement_round
from sesamehall.reducer.jobs import queue_pools
from sesamehall.reducer.jobs import queueing
from sesamehall.reducer.jobs import reports
from sesamehall.reducer.jobs import runs
from sesamehall.reducer.jobs import task_placement
from sesamehall.reducer.jobs import workers


@pytest.fixture(autouse=True)
def restore_guards(monkeypatch):
    """Restore the guards that a history has disabled."""
    for module, name in (
        (reports, "is_job_unread"),
        (adoption, "is_job_unread"),
        (reports, "_apply_ends"),
        (advice_requests, "choose_candidate"),
        (placement_round, "unreported_by_team"),
        (queue_pools, "pool_may_have_untracked_runs"),
        (queue_pools, "possible_pools"),
        (task_placement, "extend_lease"),
        (orders, "extend_lease"),
        (workers, "extend_lease"),
        (leases, "is_resigning"),
        (runs, "_is_unstored"),
        (leases, "TERM_CONFIRMED_MS"),
        (queueing, "is_worker_drained"),
        (orders, "is_worker_drained"),
        (orders, "limit_start_ms"),
        (leases, "are_drains_known"),
    ):
        monkeypatch.setattr(module, name, getattr(module, name))


@pytest.mark.parametrize(
    ("seed", "disabled_guard", "violated"),
    [
        (2, "", False),
        (1, "", False),
        (6, "", False),
        (24, "", False),
        (12, "unread", True),
        (1, "unresolved", True),
        (1, "stored", True),
        (8, "lease", True),
        (5, "confirmed", True),
        (56, "sequence", True),
        (795, "resigning", True),
        (442, "forgotten", True),
    ],
)
def test_invariants_hold_unless_a_guard_is_disabled(
    seed, disabled_guard, violated
):
    result = job_histories.run_history(seed, disabled_guard)
    assert result.starts > 30 and result.terms > 1
    assert bool(result.violations) == violated


@pytest.mark.parametrize(
    ("scenario", "seed", "disabled_guard", "violated"),
    [
        ("zones", 0, "", False),
        ("zones", 1, "", False),
        ("zones", 29, "", False),
        ("zones", 1405, "", False),
        ("zones", 4, "", False),
        ("ends", 0, "", False),
        ("ends", 1, "", False),
        ("ends", 13, "", False),
        ("confirmations", 0, "", False),
        ("confirmations", 1, "", False),
        ("confirmations", 18, "", False),
        ("confirmations", 228, "", False),
        ("records", 0, "", False),
        ("records", 1, "", False),
        ("machines", 0, "", False),
        ("machines", 1, "", False),
        ("machines", 421, "", False),
        ("peers", 5, "", False),
        ("peers", 1, "", False),
        ("isolation", 0, "", False),
        ("isolation", 1, "", False),
        ("isolation", 38, "", False),
        ("routes", 0, "", False),
        ("routes", 47, "", False),
        ("drains", 0, "", False),
        ("drains", 2, "", False),
        ("drains", 31, "", False),
        ("drains", 47, "", False),
        ("restarts", 0, "", False),
        ("restarts", 138, "", False),
        ("restarts", 138, "incarnations", True),
        ("ceilings", 0, "", False),
        ("ceilings", 2, "", False),
        ("ceilings", 30, "", False),
        ("ceilings", 2, "unreported", True),
        ("advice", 1, "", False),
        ("advice", 16, "", False),
        ("advice", 16, "turns", True),
        ("drains", 0, "drained", True),
        ("drains", 47, "requests", True),
        ("zones", 37, "unread", True),
        ("zones", 0, "unresolved", True),
        ("zones", 4, "stored", True),
        ("zones", 4, "lease", True),
        ("zones", 10, "confirmed", True),
        ("confirmations", 8, "confirmed", True),
        ("routes", 47, "pools", True),
    ],
)
def test_invariants_hold_in_each_scenario_unless_a_guard_is_disabled(
    scenario, seed, disabled_guard, violated
):
    result = job_histories.run_history(seed, disabled_guard, scenario)
    assert result.starts > 30 and result.terms > 1
    assert bool(result.violations) == violated


def test_every_guard_is_named():
    for guard in GUARDS:
        disable_guard(guard)
    with pytest.raises(SystemExit):
        disable_guard("another")


HISTORY = """
from bench import job_histories
from bench.jobcallers import Caller
from bench.jobfaults import schedule_faults
simulation = job_histories.build_simulation(7)
caller = Caller(simulation)
job_histories.schedule_jobs(simulation, caller, 4)
schedule_faults(simulation, caller, 6)
simulation.run(6_000)
lengths = [len(log) for log in simulation.store.records_by_stream.values()]
print(lengths, simulation.checker.starts, simulation.checker.ends)
"""


def test_same_seed_gives_the_same_history_in_any_process():
    outputs = {
        subprocess.run(
            [sys.executable, "-c", HISTORY],
            capture_output=True,
            text=True,
            timeout=60,
            check=True,
            env=os.environ | {"PYTHONHASHSEED": hash_seed},
        ).stdout
        for hash_seed in ("1", "2", "3")
    }
    assert len(outputs) == 1
