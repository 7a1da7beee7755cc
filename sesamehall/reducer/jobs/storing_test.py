"""Tests of the leader's writes, and of what they leave out."""

from immutables import Map
import pytest

from sesamehall.core.data import JobPhase
from sesamehall.core.data import TERMINAL_PHASES
from sesamehall.core.effects import Log
from sesamehall.core.logevents import PROGRESS_NOT_STORED
from sesamehall.core.logevents import RECORDS_LEFT_OUT
from sesamehall.core.logevents import RECORDS_STORED
from sesamehall.core.managereffects import StoreProgress
from sesamehall.core.managereffects import WatchWorker
from sesamehall.core.managerevents import ProgressStored
from sesamehall.core.managerevents import StoreOutcome
from sesamehall.core.replacing import replace
from sesamehall.core.step import then
from sesamehall.core.work import CompactProgress
from sesamehall.core.work import EndedRun
from sesamehall.core.work import RunEnd
from sesamehall.core.work import TaskPlace
from sesamehall.reducer.jobs.compacting import compact_progress
from sesamehall.reducer.jobs.leadership import handle_progress_stored
from sesamehall.reducer.jobs.progress import with_checkpoint
from sesamehall.reducer.jobs.progress import with_task_done
from sesamehall.reducer.jobs.reports import apply_report
from sesamehall.reducer.jobs.runs import end_job
from sesamehall.reducer.jobs.state_updates import put_job
from sesamehall.reducer.jobs.storing import commit
from sesamehall.reducer.jobs.storing import write_changed_records
from sesamehall.reducer.jobs.testing import activate_jobs
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_report
from sesamehall.reducer.jobs.testing import build_step
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import details_of
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import JOB_ID
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.jobs.testing import OTHER_JOB_ID
from sesamehall.reducer.jobs.testing import place_all
from sesamehall.reducer.jobs.testing import task


def build_leader_with_job_ended_during_write(phase):
    """Build a leader whose job and then its last run end during a write."""
    manager = activate_jobs(build_leader(build_worker("w1")), build_plan())
    manager = place_all(manager).state
    manager = end_job(manager, JOB_ID, phase, "test", NOW_MS).state
    manager = write_changed_records(manager, NOW_MS).state
    stopped = EndedRun(1, task(), 1, RunEnd.STOPPED)
    report = build_report("w1", (), [stopped], NOW_MS + 100)
    return apply_report(manager, report).state


def phases_written(manager):
    """List the jobs and phases that the next write contains."""
    (store,) = effects_of(
        write_changed_records(manager, NOW_MS), StoreProgress
    )
    values = [record.value for record in store.records]
    return [
        (value.job_id, value.phase)
        for value in values
        if isinstance(value, CompactProgress)
    ]


# Guards against tasks of an ended job that run again under the next leader:
# the job was removed while the write that contained its end was in flight.
@pytest.mark.parametrize("phase", [JobPhase.FAILED, JobPhase.CANCELLED])
@pytest.mark.parametrize(
    ("outcome", "written"),
    [
        (StoreOutcome.UNKNOWN, True),
        (StoreOutcome.REFUSED, True),
        (StoreOutcome.STORED, False),
    ],
)
def test_end_of_a_job_is_written_until_it_is_stored(phase, outcome, written):
    manager = build_leader_with_job_ended_during_write(phase)
    stored = ProgressStored(NOW_MS + 200, NOW_MS, 1, outcome)
    manager = handle_progress_stored(manager, stored).state
    expected = [(JOB_ID, phase)] if written else []
    assert phases_written(manager) == expected
    assert (JOB_ID in manager.active_jobs_by_id) is written


@pytest.mark.parametrize(
    ("dirty", "line_count"), [({}, 0), ({OTHER_JOB_ID: True}, 1)]
)
def test_progress_of_an_unknown_job_is_logged(dirty, line_count):
    manager = build_leader(dirty_jobs=Map(dirty))
    lines = effects_of(write_changed_records(manager, NOW_MS), Log)
    assert [line.event for line in lines] == [PROGRESS_NOT_STORED] * line_count


def test_progress_of_an_unknown_job_is_logged_with_the_ends_of_the_write():
    worker = build_worker("w1", last_applied_end_sequence=4)
    manager = build_leader(
        worker,
        dirty_jobs=Map({OTHER_JOB_ID: True}),
        dirty_workers=Map(w1=True),
    )
    step = write_changed_records(manager, NOW_MS)
    (line,) = details_of(step, PROGRESS_NOT_STORED)
    assert line == {"jobs": 1, "job": OTHER_JOB_ID, "ends": "w1:4"}


# Guards against a leader that loses its role over one record: the write goes
# on without it, and what it stands for is not taken as stored.
@pytest.mark.parametrize(
    ("unstorable", "recorded", "leased", "ends", "progress", "writes_again"),
    [
        ((), True, True, "w1:0", JOB_ID, False),
        (("worker/w1",), True, False, "", JOB_ID, False),
        ((JOB_ID,), False, True, "w1:0", "", True),
        ((JOB_ID, "worker/w1", "machines"), False, False, "", "", True),
    ],
    ids=["none", "worker", "job", "all"],
)
def test_unstorable_record_is_left_out_alone(
    unstorable, recorded, leased, ends, progress, writes_again
):
    worker = build_worker("w1", lease_recorded=False)
    manager = activate_jobs(
        build_leader(
            worker,
            dirty_workers=Map(w1=True),
            dirty_jobs=Map({JOB_ID: True}),
        ),
        build_plan(),
    )
    manager = write_changed_records(manager, NOW_MS).state
    stored = ProgressStored(
        NOW_MS + 5, NOW_MS, 1, StoreOutcome.STORED, unstorable
    )
    step = handle_progress_stored(manager, stored)
    manager = step.state
    assert manager.term.confirmed_ms == NOW_MS
    assert manager.term.write_in_flight is writes_again
    assert (JOB_ID in manager.phase_by_job_id) is recorded
    assert [
        (line["ends"], line["progress"])
        for line in details_of(step, RECORDS_STORED)
    ] == ([(ends, progress)] if ends or progress else [])
    assert [line["keys"] for line in details_of(step, RECORDS_LEFT_OUT)] == (
        [",".join(unstorable)] if unstorable else []
    )
    assert manager.workers_by_id["w1"].lease_recorded is leased
    assert not manager.dirty_workers


def build_leader_writing_an_end(worker_names=("w1", "w2")):
    """Build a leader that writes a task's end, of which it knows from w1."""
    workers = [build_worker(name) for name in worker_names]
    manager = build_leader(*workers, dirty_workers=Map(w2=True))
    manager = activate_jobs(manager, build_plan(build_step(count=2)))
    done = EndedRun(1, task(), 1, RunEnd.DONE)
    manager = apply_report(manager, build_report("w1", (), [done])).state
    return write_changed_records(manager, NOW_MS).state


def acknowledged_by(step):
    """Return the ends of w1 that watches acknowledge."""
    watches = effects_of(step, WatchWorker)
    return [watch.acknowledged for watch in watches if watch.worker_id == "w1"]


# Guards against tasks that run again after they were done: progress could not
# be stored, but the ends that it contained were acknowledged.
def test_end_is_acknowledged_only_once_its_progress_is_stored():
    manager = build_leader_writing_an_end()
    left_out = ProgressStored(
        NOW_MS + 5,
        NOW_MS,
        1,
        StoreOutcome.STORED,
        unstorable_keys=(JOB_ID,),
        held_keys=("worker/w1", "worker/w2"),
    )
    step = handle_progress_stored(manager, left_out)
    assert not acknowledged_by(step)
    (store,) = effects_of(step, StoreProgress)
    values = {record.key: record.value for record in store.records}
    assert values[JOB_ID].phase is JobPhase.FAILED
    assert values["worker/w1"].last_applied_end_sequence == 1
    assert "worker/w2" in values
    stored = ProgressStored(NOW_MS + 10, NOW_MS + 5, 1, StoreOutcome.STORED)
    step = handle_progress_stored(step.state, stored)
    assert acknowledged_by(step) == [1]
    assert step.state.phase_by_job_id[JOB_ID] is JobPhase.FAILED


# Guards against a job that is shown as failed although it can be done: only
# its checkpoints are too large.
def test_checkpoints_are_dropped_before_a_job_ends_as_failed():
    manager = activate_jobs(build_leader(), build_plan(build_step(count=2)))
    job = manager.active_jobs_by_id[JOB_ID]
    job = with_checkpoint(job, TaskPlace(0, 0, 0), "saved")
    manager = replace(
        put_job(manager, with_task_done(job, TaskPlace(0, 0, 1))),
        dirty_jobs=Map({JOB_ID: True}),
    )
    manager = write_changed_records(manager, NOW_MS).state
    left_out = ProgressStored(
        NOW_MS + 5, NOW_MS, 1, StoreOutcome.STORED, (JOB_ID,)
    )
    step = handle_progress_stored(manager, left_out)
    step = then(step, commit, NOW_MS + 50)
    (store,) = effects_of(step, StoreProgress)
    (progress,) = [
        record.value for record in store.records if record.key == JOB_ID
    ]
    assert progress.phase is JobPhase.RUNNING
    assert (progress.checkpoints, progress.done) == ((), ((0, b"\x02"),))


# Guards against a job that is shown as failed although it may be tried again:
# its failure was stored, but not that the worker's end was applied, so the
# next leader counted it again.
def test_other_progress_is_written_again_with_the_held_workers():
    manager = activate_jobs(
        build_leader(build_worker("w1")),
        build_plan(),
        build_plan(job_id=OTHER_JOB_ID),
    )
    failed = EndedRun(1, task(job_id=OTHER_JOB_ID), 1, RunEnd.FAILED)
    manager = apply_report(manager, build_report("w1", (), [failed])).state
    dirty = manager.dirty_jobs.set(JOB_ID, True)
    manager = replace(manager, dirty_jobs=dirty)
    manager = write_changed_records(manager, NOW_MS).state
    left_out = ProgressStored(
        NOW_MS + 5,
        NOW_MS,
        1,
        StoreOutcome.STORED,
        unstorable_keys=(JOB_ID,),
        held_keys=(OTHER_JOB_ID, "worker/w1"),
    )
    step = handle_progress_stored(manager, left_out)
    assert OTHER_JOB_ID not in step.state.phase_by_job_id
    (store,) = effects_of(step, StoreProgress)
    keys = {record.key for record in store.records}
    assert keys >= {JOB_ID, OTHER_JOB_ID, "worker/w1"}


# Guards against tasks that run again after they were done: the record of an
# ended job grew by checkpoints, did not fit, and was not written any more.
@pytest.mark.parametrize(
    ("phase", "kept"),
    [
        (JobPhase.RUNNING, True),
        (JobPhase.FAILED, False),
        (JobPhase.CANCELLED, False),
    ],
)
def test_ended_job_takes_no_checkpoints(phase, kept):
    manager = activate_jobs(build_leader(build_worker("w1")), build_plan())
    if phase in TERMINAL_PHASES:
        manager = end_job(manager, JOB_ID, phase, "test", NOW_MS).state
    stopped = EndedRun(1, task(), 1, RunEnd.STOPPED, "saved")
    manager = apply_report(manager, build_report("w1", (), [stopped])).state
    job = manager.active_jobs_by_id[JOB_ID]
    assert bool(compact_progress(job.progress, job.plan).checkpoints) is kept


def test_job_that_ended_while_its_progress_was_refused_keeps_its_end():
    manager = build_leader_writing_an_end()
    done = EndedRun(2, task(1), 1, RunEnd.DONE)
    manager = apply_report(manager, build_report("w1", (), [done])).state
    left_out = ProgressStored(
        NOW_MS + 5, NOW_MS, 1, StoreOutcome.STORED, (JOB_ID,), ("worker/w1",)
    )
    step = handle_progress_stored(manager, left_out)
    (store,) = effects_of(step, StoreProgress)
    values = {record.key: record.value for record in store.records}
    assert values[JOB_ID].phase is JobPhase.DONE
    assert values["worker/w1"].last_applied_end_sequence == 2
