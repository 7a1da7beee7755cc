"""Load by a recurring job of which thousands of occurrences have ended."""

from time import process_time_ns

from immutables import Map
import pytest

from sesamehall.core.data import JobPhase
from sesamehall.core.effects import SetTimer
from sesamehall.core.managereffects import StartRun
from sesamehall.core.replacing import replace
from sesamehall.core.timers import DueTimer
from sesamehall.core.work import all_bits
from sesamehall.core.work import CompactProgress
from sesamehall.core.work import EndedRun
from sesamehall.core.work import RunEnd
from sesamehall.reducer.jobs.active_jobs import activate_job
from sesamehall.reducer.jobs.active_jobs import start_due_occurrences
from sesamehall.reducer.jobs.compacting import compact_progress
from sesamehall.reducer.jobs.runs import apply_run_end
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import JOB_ID
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.jobs.testing import place_all

PERIOD_MS = 1_000
FEW = 100
MANY = 2_000
PLAYED = 20  # occurrences whose cost is measured
# The bitmap of what has ended is copied; nothing else may grow with it.
MAX_GROWTH = 5


def build_recurring(ended):
    """Build a leader of a job of which the first occurrences have ended."""
    plan = replace(
        build_plan(),
        occurrence_count=ended + PLAYED + 1,
        first_wall_ms=NOW_MS - ended * PERIOD_MS + 1,
        period_ms=PERIOD_MS,
    )
    progress = CompactProgress(JOB_ID, JobPhase.RUNNING, "", all_bits(ended))
    manager = build_leader(
        build_worker("w1"),
        plans_by_id=Map({JOB_ID: plan}),
        progress_by_id=Map({JOB_ID: progress}),
    )
    return activate_job(manager, JOB_ID, True, NOW_MS).state


def play_next(manager, number):
    """Let the next occurrence become due, run and end; return the state."""
    at_ms = NOW_MS + 1 + number * PERIOD_MS
    worker = replace(manager.workers_by_id["w1"], last_report_ms=at_ms)
    manager = replace(
        manager,
        workers_by_id=manager.workers_by_id.set("w1", worker),
        term=replace(manager.term, confirmed_ms=at_ms),
    )
    manager = start_due_occurrences(manager, JOB_ID, at_ms).state
    step = place_all(manager, at_ms)
    (order,) = effects_of(step, StartRun)
    end = EndedRun(number + 1, order.task, order.number, RunEnd.DONE, "")
    manager = apply_run_end(step.state, "w1", end, 10, at_ms).state
    job = manager.active_jobs_by_id[JOB_ID]
    compact_progress(job.progress, job.plan)
    return manager


def measure_ns(ended):
    """Measure the processor time of some occurrences, the least of three."""
    manager = build_recurring(ended)
    spent = []
    for _ in range(3):
        played = manager
        began_ns = process_time_ns()
        for number in range(PLAYED):
            played = play_next(played, number)
        spent.append(process_time_ns() - began_ns)
    return min(spent)


def test_cost_of_an_occurrence_does_not_grow_with_those_that_have_ended():
    """Guards against review/11: each leader was busy for seconds (LOST)."""
    assert measure_ns(MANY) <= MAX_GROWTH * measure_ns(FEW)


@pytest.mark.parametrize("ended", [0, 1, FEW])
def test_each_occurrence_runs_once(ended):
    manager = build_recurring(ended)
    assert not manager.active_jobs_by_id[JOB_ID].waiting
    for number in range(PLAYED):
        manager = play_next(manager, number)
    job = manager.active_jobs_by_id[JOB_ID]
    assert job.progress.completed == all_bits(ended + PLAYED)
    assert not job.progress.steps_by_occurrence
    assert job.progress.phase is JobPhase.RUNNING
    manager = play_next(manager, PLAYED)
    job = manager.active_jobs_by_id[JOB_ID]
    assert job.progress.phase is JobPhase.DONE


@pytest.mark.parametrize("late_ms", [0, 1, 40])
@pytest.mark.parametrize("period_ms", [0, 1, 7])
def test_timers_find_every_occurrence(period_ms, late_ms):
    """Guards against review/13: those due at once never started (LOST)."""
    plan = replace(
        build_plan(),
        occurrence_count=30,
        first_wall_ms=NOW_MS + 500,
        period_ms=period_ms,
    )
    manager = build_leader(plans_by_id=Map({JOB_ID: plan}))
    step = activate_job(manager, JOB_ID, False, NOW_MS)
    timers = []
    while (due_ms := _due_timer_ms(step)) is not None:
        assert due_ms not in timers
        timers.append(due_ms)
        step = start_due_occurrences(step.state, JOB_ID, due_ms + late_ms)
    assert len(step.state.active_jobs_by_id[JOB_ID].waiting) == 30
    assert timers[0] == NOW_MS + 500


def _due_timer_ms(step):
    """Find the time that a timer for the next occurrence is set to."""
    for effect in effects_of(step, SetTimer):
        if isinstance(effect.timer, DueTimer):
            return effect.at_ms
    return None
