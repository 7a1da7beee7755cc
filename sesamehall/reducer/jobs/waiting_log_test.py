"""Tests of the log lines that tell what tasks wait for."""

import pytest

from sesamehall.core.effects import Log
from sesamehall.core.jobtiming import WAITING_LOG_PERIOD_MS
from sesamehall.core.logevents import TASKS_WAITING
from sesamehall.core.replacing import replace
from sesamehall.core.work import Size
from sesamehall.reducer.jobs.testing import activate_jobs
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_manifest
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_step
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.jobs.testing import place_all


def lines_of(step):
    """List the details of the lines on waiting, by name."""
    return [
        {detail.name: detail.value for detail in line.details}
        for line in effects_of(step, Log)
        if line.event is TASKS_WAITING
    ]


@pytest.mark.parametrize(
    ("workers", "ceiling", "inherited", "expected"),
    [
        ([build_worker("w1")], Size(), False, {"takers": 1, "free_cpu": 0}),
        ([], Size(), False, {"takers": 0, "others": ""}),
        (
            [
                build_worker("w1", unanswered_watches=1),
                build_worker("w2", lease_recorded=False),
            ],
            Size(),
            False,
            {"takers": 0, "others": "silent:1,unstored:1"},
        ),
        (
            [build_worker("w1"), build_worker("w2", contacted=False)],
            Size(),
            True,
            {"unresolved": 1, "inherited": 1, "timely": 0, "free_cpu": 4_000},
        ),
        (
            [build_worker("w1")],
            Size(cpu_milli=2_000),
            False,
            {"at_ceiling": 1, "tasks": 4},
        ),
    ],
    ids=["full", "no worker", "no taker", "unresolved", "ceiling"],
)
def test_line_tells_what_tasks_wait_for(workers, ceiling, inherited, expected):
    """Jobs came late, and no line told what they had waited for."""
    manager = build_leader(*workers, manifest=build_manifest(ceiling=ceiling))
    plan = build_plan(build_step(count=6))
    manager = activate_jobs(manager, plan, inherited=inherited)
    (line,) = lines_of(place_all(manager))
    assert expected.items() <= line.items()


@pytest.mark.parametrize(
    ("after_ms", "lines"),
    [(WAITING_LOG_PERIOD_MS - 1, 0), (WAITING_LOG_PERIOD_MS, 1)],
)
def test_lines_are_few(after_ms, lines):
    """A pool is placed many times a second while its tasks wait."""
    manager = activate_jobs(build_leader(), build_plan())
    manager = place_all(manager).state
    at_ms = NOW_MS + after_ms
    term = replace(manager.term, confirmed_ms=at_ms)
    manager = replace(manager, term=term)
    assert len(lines_of(place_all(manager, at_ms))) == lines


def test_nothing_is_told_of_a_pool_where_nothing_waits():
    manager = activate_jobs(build_leader(build_worker("w1")), build_plan())
    assert not lines_of(place_all(manager))
