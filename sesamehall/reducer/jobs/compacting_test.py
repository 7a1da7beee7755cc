"""Tests of the stored form of progress, and of its size."""

import pytest

from sesamehall.core.data import JobPhase
from sesamehall.core.managereffects import StoreProgress
from sesamehall.core.replacing import replace
from sesamehall.core.work import Progress
from sesamehall.core.work import StepProgress
from sesamehall.platform.records import encode_record
from sesamehall.platform.records import MAX_RECORD_BYTES
from sesamehall.reducer.jobs.compacting import compact_progress
from sesamehall.reducer.jobs.compacting import expand_progress
from sesamehall.reducer.jobs.progress import step_progress
from sesamehall.reducer.jobs.state_updates import put_job
from sesamehall.reducer.jobs.storing import write_changed_records
from sesamehall.reducer.jobs.testing import activate_jobs
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_step
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import JOB_ID
from sesamehall.reducer.jobs.testing import NOW_MS

NONE = StepProgress()
ALL_OF_TEN = StepProgress(b"\xff\x03")
ONE = StepProgress(b"\x01")
FAILED = StepProgress(b"", ((2, 1), (7, 3)))
SAVED = StepProgress(b"\x04", (), ((3, "c3"), (9, "c9")))
PLAN = replace(
    build_plan(build_step(10), build_step(1), build_step(10)),
    occurrence_count=20,
)


@pytest.mark.parametrize(
    "occurrences",
    [
        (),
        ((0, (ALL_OF_TEN, NONE, NONE)),),
        ((0, (NONE, ONE, NONE)),),
        ((0, (ALL_OF_TEN, ONE, ALL_OF_TEN)),),
        ((3, (ALL_OF_TEN, ONE, ALL_OF_TEN)), (19, (NONE, NONE, FAILED))),
        ((5, (FAILED, NONE, NONE)),),
        ((5, (SAVED, ONE, FAILED)), (6, (NONE, NONE, SAVED))),
        tuple((number, (ALL_OF_TEN, ONE, ALL_OF_TEN)) for number in range(20)),
    ],
    ids=[
        "none",
        "first step done",
        "second step done",
        "completed",
        "completed and failed",
        "only failures",
        "checkpoints",
        "all completed",
    ],
)
def test_stored_progress_expands_to_itself(occurrences):
    older = Progress(JOB_ID, JobPhase.RUNNING, "why", occurrences)
    progress = expand_progress(older, PLAN)
    stored = compact_progress(progress, PLAN)
    assert expand_progress(stored, PLAN) == progress
    assert (stored.phase, stored.detail) == (older.phase, older.detail)
    by_occurrence = dict(occurrences)
    for number in range(PLAN.occurrence_count):
        expected = by_occurrence.get(number, (NONE,) * 3)
        assert step_progress(progress, PLAN, number) == expected


# Only unfinished tasks fail a job or resume from a checkpoint.
def test_failures_and_checkpoints_of_done_tasks_are_not_stored():
    step = StepProgress(b"\x01", ((0, 1), (1, 2)), ((0, "c0"), (1, "c1")))
    older = Progress(JOB_ID, JobPhase.RUNNING, "", ((0, (step, NONE, NONE)),))
    stored = compact_progress(expand_progress(older, PLAN), PLAN)
    assert stored.failures == ((0, 1, 2),)
    assert stored.checkpoints == ((0, 1, "c1"),)


# Guards against tasks that run again after they were done: progress beyond
# the size of a record was not stored, but the ends were acknowledged.
@pytest.mark.parametrize("step_tasks", [1, 10])
@pytest.mark.parametrize(
    "steps_done", [1, 4, 5], ids=["first step", "all but one", "completed"]
)
def test_progress_of_many_occurrences_fits_into_a_record(
    step_tasks, steps_done
):
    plan = replace(
        build_plan(*[build_step(step_tasks)] * 5),
        occurrence_count=2_700,
        period_ms=1,
    )
    done = StepProgress(((1 << step_tasks) - 1).to_bytes(2, "little"))
    by_step = (done,) * steps_done + (NONE,) * (5 - steps_done)
    occurrences = tuple((number, by_step) for number in range(2_700))
    older = Progress(JOB_ID, JobPhase.RUNNING, "", occurrences)
    progress = expand_progress(older, plan)
    manager = activate_jobs(build_leader(), plan)
    job = replace(manager.active_jobs_by_id[JOB_ID], progress=progress)
    manager = put_job(manager, job)
    manager = replace(manager, dirty_jobs=manager.dirty_jobs.set(JOB_ID, True))
    (store,) = effects_of(
        write_changed_records(manager, NOW_MS), StoreProgress
    )
    (record,) = [record for record in store.records if record.key == JOB_ID]
    assert len(encode_record(record)) < MAX_RECORD_BYTES // 2
