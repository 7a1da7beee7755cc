"""Tests that the soak notices starts in a drained zone."""

from dataclasses import replace

import pytest

from soak.drains import check_drains
from soak.drains import START_LIMIT_S
from soak.drains import ZoneDrain
from soak.main import run_seed
from soak.scenario import DRAIN_BOUNDS
from soak.scenario import draw_scenario
from standins.jobworker import JobWorker
from standins.jobworker import RunRecord

DRAIN = ZoneDrain("north", 100.0, 120.0)
RUN = RunRecord("aa.0.0.0", 1, 1, "work 1", 500, 0.0, 0.0)


@pytest.mark.parametrize(
    ("zone", "started_s", "expected"),
    [
        ("north", 99.0, []),
        ("north", 100.0 + START_LIMIT_S, []),
        ("north", 100.1 + START_LIMIT_S, ["start in a drained zone"]),
        ("north", 119.9, ["start in a drained zone"]),
        ("north", 120.1, []),
        ("south", 119.9, []),
    ],
    ids=["before", "in time", "late", "before its end", "after", "elsewhere"],
)
def test_late_start_is_noticed(zone, started_s, expected):
    worker = JobWorker("w1")
    worker.records = [replace(RUN, started_s=started_s)]
    violations = check_drains([DRAIN], [worker], lambda worker_id: zone)
    assert [violation.invariant for violation in violations] == expected


# Seed and duration in seconds. Its drains meet the faults drawn for it.
@pytest.mark.parametrize(("seed", "seconds"), [(41, 12.0)])
def test_nothing_starts_in_a_drained_zone(seed, seconds, tmp_path):
    scenario = draw_scenario(seed)
    layout = replace(scenario.layout, drain_bounds=DRAIN_BOUNDS)
    scenario = replace(scenario, layout=layout, drains=True)
    assert not run_seed(seed, tmp_path, seconds, scenario)
