"""Tests that a new leader takes over what was learnt about run times."""

from dataclasses import replace as changed
from math import inf
from math import nan

from immutables import Map
import pytest

from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.managereffects import StoreProgress
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.runtimes import QueueRunTimes
from sesamehall.core.runtimes import StepSamples
from sesamehall.reducer.jobs.run_time_model import learn_step
from sesamehall.reducer.jobs.run_time_records import run_times_records
from sesamehall.reducer.jobs.storing import write_changed_records
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.jobs.testing import read_records


def leader_after(steps):
    """Build a leader that has learnt from some steps of a queue."""
    queue = QueueRunTimes()
    for number in range(steps):
        samples = StepSamples(1, 6.0 + number % 3, (6.0 + number % 3) ** 2)
        queue = learn_step(queue, 500 + number, samples)
    return build_leader(run_times_by_queue=Map(quotes=queue))


def read_by_follower(record):
    """Let a follower read a record, and return what it knows."""
    manager = read_records(ManagerState("edge-2"), Stream.PROGRESS, record)
    return manager.run_times_by_queue


@pytest.mark.parametrize(
    ("steps", "written"), [(0, 0), (19, 0), (20, 1), (500, 1)]
)
def test_record_joins_a_write_after_some_steps(steps, written):
    step = write_changed_records(leader_after(steps), NOW_MS)
    (store,) = effects_of(step, StoreProgress)
    keys = [record.key for record in store.records]
    assert keys.count("runtimes/quotes") == written
    assert not run_times_records(step.state)


def test_follower_forecasts_like_the_leader():
    manager = leader_after(30)
    (record,) = run_times_records(manager)
    known = read_by_follower(record)["quotes"]
    assert known.line == manager.run_times_by_queue["quotes"].line
    read = read_records(
        ManagerState("edge-2", run_times_by_queue=Map(quotes=known)),
        Stream.PROGRESS,
        StoredRecord(record.key, None),
    )
    assert not read.run_times_by_queue


@pytest.mark.parametrize(
    "change",
    [
        {"count": 0},
        {"within_count": -1},
        {"within_variance": -0.1},
        {"actual_variance": nan},
        {"mean_actual": 900.0},
        {"covariance": -inf},
    ],
    ids=lambda change: next(iter(change)),
)
def test_impossible_record_is_ignored(change):
    """A forecast from it would raise an error in every placement round."""
    (record,) = run_times_records(leader_after(30))
    value = changed(record.value, **change)
    assert not read_by_follower(StoredRecord(record.key, value))
