"""Tests of the limit of attempts, also while it is unknown or changes."""

from immutables import Map
import pytest

from sesamehall.core.data import JobPhase
from sesamehall.core.managereffects import StartRun
from sesamehall.core.replacing import replace
from sesamehall.core.work import EndedRun
from sesamehall.core.work import Progress
from sesamehall.core.work import RunEnd
from sesamehall.core.work import StepProgress
from sesamehall.reducer.jobs.active_jobs import activate_job
from sesamehall.reducer.jobs.reports import apply_report
from sesamehall.reducer.jobs.testing import activate_jobs
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_manifest_with
from sesamehall.reducer.jobs.testing import build_manifest_without_queue
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_report
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import JOB_ID
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.jobs.testing import place_all
from sesamehall.reducer.jobs.testing import read_manifest
from sesamehall.reducer.jobs.testing import task

DROPPED = None  # the manifest does not name the queue


def build_limit(version, limit):
    """Build a manifest that allows `limit` attempts, or drops the queue."""
    if limit is DROPPED:
        return build_manifest_without_queue(version)
    return build_manifest_with(version, max_attempts=limit)


# Guards against a job that is shown as failed with attempts left, since its
# queue was dropped from the manifest when a run failed (review/4).
@pytest.mark.parametrize(
    ("limits", "phase", "started"),
    [
        ((4, DROPPED), JobPhase.RUNNING, 0),
        ((4, DROPPED, 4), JobPhase.RUNNING, 1),
        ((2, DROPPED, 2), JobPhase.RUNNING, 1),
        ((1, DROPPED), JobPhase.RUNNING, 0),
        ((1, DROPPED, 1), JobPhase.FAILED, 0),
        ((1, DROPPED, 2), JobPhase.RUNNING, 1),
        ((4, 1), JobPhase.FAILED, 0),
        ((4, 2), JobPhase.RUNNING, 1),
    ],
)
def test_failure_under_changing_manifests(limits, phase, started):
    """A run fails under the second manifest; the others follow."""
    first, second, *later = limits
    manager = build_leader(build_worker("w1"), manifest=build_limit(1, first))
    manager = place_all(activate_jobs(manager, build_plan())).state
    manager = read_manifest(manager, build_limit(2, second))
    ended = EndedRun(1, task(), 1, RunEnd.FAILED)
    manager = apply_report(manager, build_report("w1", ended=[ended])).state
    for version, limit in enumerate(later, 3):
        manager = read_manifest(manager, build_limit(version, limit))
    assert manager.active_jobs_by_id[JOB_ID].progress.phase is phase
    assert len(effects_of(place_all(manager), StartRun)) == started


# Guards against more runs than a queue allows: failures that were counted
# while it allowed more, or while it was dropped, are judged by a new manifest
# and by a new leader.
@pytest.mark.parametrize(
    ("done", "limit", "phase"),
    [
        (b"", 4, JobPhase.RUNNING),
        (b"", 3, JobPhase.FAILED),
        (b"", 1, JobPhase.FAILED),
        (b"", DROPPED, JobPhase.RUNNING),
        (b"\x01", 1, JobPhase.RUNNING),
    ],
    ids=["left", "none left", "lowered", "queue dropped", "done since"],
)
@pytest.mark.parametrize("takes_over", [True, False])
def test_stored_failures_count_under_each_manifest(
    done, limit, phase, takes_over
):
    steps = (StepProgress(done, ((0, 3),)), StepProgress())
    progress = Progress(JOB_ID, JobPhase.RUNNING, "", ((0, steps),))
    plan = build_plan()
    plan = replace(plan, steps=plan.steps * 2)
    manager = build_leader(
        build_worker("w1"),
        manifest=build_limit(1, limit if takes_over else 9),
        plans_by_id=Map({JOB_ID: plan}),
        progress_by_id=Map({JOB_ID: progress}),
    )
    manager = activate_job(manager, JOB_ID, True, NOW_MS).state
    if not takes_over:
        manager = read_manifest(manager, build_limit(2, limit))
    assert manager.active_jobs_by_id[JOB_ID].progress.phase is phase
