"""Tests of what is learnt from the times that tasks take."""

import pytest

from sesamehall.core.work import EndedRun
from sesamehall.core.work import RunEnd
from sesamehall.reducer.jobs.durations import duration_ratio
from sesamehall.reducer.jobs.durations import mean_duration_ms
from sesamehall.reducer.jobs.durations import note_duration
from sesamehall.reducer.jobs.reports import take_report
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_report
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import JOB_ID
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.jobs.testing import OTHER_JOB_ID
from sesamehall.reducer.jobs.testing import place_all
from sesamehall.reducer.jobs.testing import take_in
from sesamehall.reducer.jobs.testing import task


def after_tasks(count, declared_ms, actual_ms):
    """Build a leader that has seen tasks of one kind."""
    manager = build_leader(build_worker("w1"))
    for _ in range(count):
        manager = note_duration(manager, "quotes", declared_ms, actual_ms)
    return manager


@pytest.mark.parametrize(
    ("count", "declared_ms", "actual_ms", "ratio"),
    [
        (9, 500, 1_000, 1.0),
        (10, 500, 1_000, 2.0),
        (200, 1_000, 500, 0.5),
        (50, 10, 9_000, 4.0),
        (50, 0, 9_000, 1.0),
    ],
    ids=["too few", "slower", "faster", "accident", "declares nothing"],
)
def test_ratio(count, declared_ms, actual_ms, ratio):
    manager = after_tasks(count, declared_ms, actual_ms)
    assert duration_ratio(manager, "quotes") == pytest.approx(ratio)


def test_latest_tasks_count_most():
    manager = after_tasks(200, 500, 500)
    for _ in range(200):
        manager = note_duration(manager, "quotes", 500, 1_000)
    assert duration_ratio(manager, "quotes") > 1.9
    assert mean_duration_ms(manager, "a") > 900


@pytest.mark.parametrize(
    ("end", "checkpoint", "seen"),
    [
        (RunEnd.DONE, "", 1),
        (RunEnd.FAILED, "", 0),
        (RunEnd.STOPPED, "", 0),
        (RunEnd.DONE, "c1", 1),
    ],
)
def test_only_whole_runs_that_end_well_are_learnt_from(end, checkpoint, seen):
    manager = take_in(build_leader(build_worker("w1")), build_plan())
    manager = place_all(manager).state
    ended = EndedRun(1, task(), 1, end, checkpoint)
    report = build_report("w1", (), [ended], at_ms=NOW_MS + 700)
    manager = take_report(manager, report).state
    assert len(manager.durations_by_queue) == seen
    if seen:
        assert manager.durations_by_queue["quotes"].actual_ms == 700


def test_goals_follow_what_was_seen():
    """The users' goal grows with the true chain, not the declared one."""
    manager = after_tasks(50, 500, 1_000)
    manager = take_in(manager, build_plan())
    plain = take_in(build_leader(), build_plan(job_id=OTHER_JOB_ID))
    slow = manager.works_by_id[JOB_ID].goal_ms - NOW_MS
    declared = plain.works_by_id[OTHER_JOB_ID].goal_ms - NOW_MS
    assert slow == 2 * declared
