"""Tests of workers that start again under their identifier."""

import pytest

from sesamehall.core.data import JobPhase
from sesamehall.core.managereffects import WatchWorker
from sesamehall.core.work import EndedRun
from sesamehall.core.work import RunEnd
from sesamehall.reducer.jobs.reports import take_report
from sesamehall.reducer.jobs.testing import build_entry
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_report
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import JOB_ID
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.jobs.testing import take_in
from sesamehall.reducer.jobs.testing import task
from sesamehall.reducer.jobs.workers import take_entry
from sesamehall.reducer.jobs.workers import watch_worker


@pytest.mark.parametrize("reached", [True, False])
@pytest.mark.parametrize("registered_first", [True, False])
def test_ends_of_a_new_life_are_counted_anew(reached, registered_first):
    """An end passed over as one of the earlier life has its task run again."""
    worker = build_worker("w1", reached=reached, ended=5, ended_stored=5)
    manager = take_in(build_leader(worker), build_plan())
    if registered_first:
        entry = build_entry("w1", born_ms=8)
        manager = take_entry(manager, entry, NOW_MS).state
    done = EndedRun(1, task(), 3, RunEnd.DONE)
    report = build_report("w1", (), [done], born_ms=8)
    manager = take_report(manager, report).state
    assert manager.works_by_id[JOB_ID].progress.phase is JobPhase.DONE
    assert manager.workers_by_id["w1"].ended_stored == 0


@pytest.mark.parametrize(
    ("change", "acknowledged"),
    [({}, 5), ({"reached": False}, 0), ({"silences": 1}, 0)],
    ids=["heard", "not heard in this term", "silent"],
)
def test_ends_are_acknowledged_to_a_life_that_was_heard(change, acknowledged):
    """A count of an earlier life makes the new one forget ends unseen."""
    worker = build_worker("w1", ended=5, ended_stored=5, **change)
    step = watch_worker(build_leader(worker), "w1", NOW_MS)
    (watch,) = effects_of(step, WatchWorker)
    assert watch.acknowledged == acknowledged
