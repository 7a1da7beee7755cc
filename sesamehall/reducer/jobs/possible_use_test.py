"""Tests of what the untracked runs of a job may use."""

from immutables import Map
import pytest

from sesamehall.core.replacing import replace
from sesamehall.core.unreportedstate import PossibleUse
from sesamehall.core.work import Size
from sesamehall.core.work import StepProgress
from sesamehall.core.work import TaskPlace
from sesamehall.core.workstate import JobProgress
from sesamehall.reducer.jobs.possible_use import unreported_use
from sesamehall.reducer.jobs.progress import build_active_job
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_step
from sesamehall.reducer.jobs.testing import JOB_ID


def cores(count, memory_mb=0):
    """Build a size of whole cores."""
    return Size(count * 1_000, memory_mb)


def step(count, cpu=1, *after, **others):
    """Build a step of tasks of some cores."""
    return build_step(count, cores(cpu), depends_on=after, **others)


def done(*counts):
    """Build the progress of an occurrence: the first tasks of each step."""
    steps = (
        StepProgress(bytes([(1 << count) - 1]) if count else b"")
        for count in counts
    )
    return ((0, tuple(steps)),)


def use_of(steps, progress=(), tracked=(), **others):
    """Compute the use of a job, some tasks of which are tracked."""
    plan = replace(build_plan(*steps), **others)
    job = build_active_job(
        plan,
        JobProgress(JOB_ID, steps_by_occurrence=Map(progress)),
        None,
        0,
        0,
        True,
    )
    waiting = tuple(place for place in job.waiting if place not in tracked)
    return unreported_use(replace(job, waiting=waiting))


@pytest.mark.parametrize(
    ("steps", "progress", "tracked", "expected"),
    [
        ([step(3)], (), (), cores(3)),
        ([step(3, 2)], (), (), cores(6)),
        ([step(3)], done(1), (), cores(2)),
        ([step(3)], (), [TaskPlace(0, 0, 0)], cores(2)),
        ([step(1), step(5, 1, 0)], (), (), cores(5)),
        ([step(6), step(5, 1, 0)], (), (), cores(6)),
        ([step(1), step(5, 1, 0)], done(1, 2), (), cores(3)),
        ([step(2), step(5, 1, 0)], (), [TaskPlace(0, 0, 0)], cores(1)),
        ([step(1), step(5, 1, 0)], (), [TaskPlace(0, 0, 0)], cores(0)),
        ([step(1), step(2, 1, 0), step(4, 1, 1)], (), (), cores(4)),
        ([step(2), step(3)], (), (), cores(5)),
        ([step(2), step(3), step(4, 1, 0, 1)], (), (), cores(7)),
        ([step(1), step(2, 1, 0), step(3, 1, 0)], (), (), cores(5)),
    ],
    ids=[
        "tasks of one step",
        "tasks of several cores",
        "without those that are done",
        "without those that are tracked",
        "a step after one whose end may be unread",
        "one step of a chain at a time",
        "a step that has begun",
        "no step after one that is tracked",
        "no step after one that is tracked whole",
        "a chain of three",
        "steps beside each other",
        "a step after two",
        "two steps after one",
    ],
)
def test_use_by_plan_and_progress(steps, progress, tracked, expected):
    assert use_of(steps, progress, tracked).regular == expected


def test_best_effort_tasks_are_counted_by_themselves():
    use = use_of([step(2, 1, best_effort=True), step(3)])
    assert use == PossibleUse(cores(3), cores(2))


def test_occurrences_that_are_due_are_counted():
    use = use_of(
        [step(2)], occurrence_count=5, first_wall_ms=-2_500, period_ms=1_000
    )
    assert use.regular == cores(6)
