"""Tests of what is learnt from the times that tasks take."""

import pytest

from sesamehall.core.managerevents import RunAnswered
from sesamehall.core.work import ActiveRun
from sesamehall.core.work import EndedRun
from sesamehall.core.work import RunEnd
from sesamehall.reducer.jobs.durations import duration_ratio
from sesamehall.reducer.jobs.durations import mean_occupancy_ms
from sesamehall.reducer.jobs.durations import occupancy_ratio
from sesamehall.reducer.jobs.durations import record_duration
from sesamehall.reducer.jobs.orders import handle_start_answer
from sesamehall.reducer.jobs.queueing import available_workers
from sesamehall.reducer.jobs.queueing import rank_waiting_jobs
from sesamehall.reducer.jobs.reports import apply_report
from sesamehall.reducer.jobs.testing import activate_jobs
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_report
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import JOB_ID
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.jobs.testing import OTHER_JOB_ID
from sesamehall.reducer.jobs.testing import place_all
from sesamehall.reducer.jobs.testing import task


def after_tasks(count, declared_ms, actual_ms):
    """Build a leader that has seen tasks of one kind."""
    manager = build_leader(build_worker("w1"))
    for _ in range(count):
        manager = record_duration(manager, "quotes", declared_ms, actual_ms)
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
        manager = record_duration(manager, "quotes", 500, 1_000)
    assert duration_ratio(manager, "quotes") > 1.9
    assert mean_occupancy_ms(manager, "a") > 900


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
    manager = started(NOW_MS + 10)
    ended = EndedRun(1, task(), 1, end, checkpoint)
    report = build_report("w1", (), [ended], NOW_MS + 710, sent_ms=NOW_MS)
    manager = apply_report(manager, report).state
    assert len(manager.durations_by_queue) == seen
    if seen:
        assert manager.durations_by_queue["quotes"].actual_ms == 700


def started(at_ms, clock_ms=50_010):
    """Build a leader with a task whose start its worker has confirmed."""
    manager = activate_jobs(build_leader(build_worker("w1")), build_plan())
    manager = place_all(manager).state
    answer = RunAnswered(at_ms, "w1", 1, task(), 1, None, clock_ms)
    return handle_start_answer(manager, answer).state


@pytest.mark.parametrize(
    ("pattern", "answer_clock_ms", "percents", "asked_ms", "expected"),
    [
        ("the call was there before the run", 50_010, [], 0, (1_990, 10)),
        ("the call came late, the run was seen", 50_010, [25], 900, (360, 0)),
        ("the latest look counts", 50_010, [25, 50], 900, (380, 0)),
        ("the call came late, the run was not seen", 50_010, [], 900, None),
        ("the run was seen too early to tell", 50_010, [20], 900, None),
        ("the worker gave no clock", -1, [50], 900, None),
    ],
    ids=lambda value: value if isinstance(value, str) else None,
)
def test_load_of_the_leader_makes_no_task_longer(
    pattern, answer_clock_ms, percents, asked_ms, expected
):
    """In a surge the leader learnt its own lag as the time of tasks.

    All goals grew with it, up to 2.7 times, and late jobs seemed in time.
    """
    manager = started(NOW_MS + 10, answer_clock_ms)
    for number, percent in enumerate(percents, 1):
        active = [ActiveRun(task(), 1, percent=percent)]
        report = build_report("w1", active, at_ms=NOW_MS + 100 * number)
        manager = apply_report(manager, report).state
    ended = [EndedRun(1, task(), 1, RunEnd.DONE)]
    at_ms = NOW_MS + 2_000
    report = build_report("w1", (), ended, at_ms, sent_ms=NOW_MS + asked_ms)
    manager = apply_report(manager, report).state
    durations = manager.durations_by_queue.get("quotes")
    if expected is None:
        assert durations is None
        return
    own_ms, late_ms = expected
    assert durations.actual_ms == own_ms
    assert durations.delay_ms == (late_ms or 2_000 - own_ms)


@pytest.mark.parametrize(
    ("delay", "ratio", "occupied", "goal_ms", "chain_ms"),
    [(0, 1.0, 1.0, 500, 500), (250, 1.0, 1.5, 500, 750)],
)
def test_delay_takes_room_and_time_but_moves_no_goal(
    delay, ratio, occupied, goal_ms, chain_ms
):
    manager = build_leader(build_worker("w1"))
    for _ in range(50):
        manager = record_duration(manager, "quotes", 500, 500, delay)
    manager = activate_jobs(manager, build_plan())
    assert duration_ratio(manager, "quotes") == ratio
    assert occupancy_ratio(manager, "quotes") == occupied
    assert mean_occupancy_ms(manager, "a") == 500 + delay
    assert manager.active_jobs_by_id[JOB_ID].goal_ms - NOW_MS == goal_ms
    ranking = rank_waiting_jobs(
        manager, "a", available_workers(manager, "a", NOW_MS), NOW_MS
    )
    (candidate,) = ranking.timely + ranking.late
    assert candidate.critical_path_ms == chain_ms


def test_goals_follow_what_was_seen():
    """The users' goal grows with the true chain, not the declared one."""
    manager = after_tasks(50, 500, 1_000)
    manager = activate_jobs(manager, build_plan())
    plain = activate_jobs(build_leader(), build_plan(job_id=OTHER_JOB_ID))
    slow = manager.active_jobs_by_id[JOB_ID].goal_ms - NOW_MS
    declared = plain.active_jobs_by_id[OTHER_JOB_ID].goal_ms - NOW_MS
    assert slow == 2 * declared
