"""Tests of workers that restart under the same identifier."""

import pytest

from sesamehall.core.data import JobPhase
from sesamehall.core.managereffects import StartRun
from sesamehall.core.managereffects import StopRun
from sesamehall.core.managereffects import WatchWorker
from sesamehall.core.managerevents import StopAnswered
from sesamehall.core.replacing import replace
from sesamehall.core.work import ActiveRun
from sesamehall.core.work import EndedRun
from sesamehall.core.work import RunEnd
from sesamehall.reducer.jobs.orders import handle_stop_answer
from sesamehall.reducer.jobs.reports import apply_report
from sesamehall.reducer.jobs.state_updates import put_run
from sesamehall.reducer.jobs.testing import activate_jobs
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_registration
from sesamehall.reducer.jobs.testing import build_report
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import JOB_ID
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.jobs.testing import place_all
from sesamehall.reducer.jobs.testing import task
from sesamehall.reducer.jobs.workers import register_worker
from sesamehall.reducer.jobs.workers import watch_worker


@pytest.mark.parametrize("contacted", [True, False])
@pytest.mark.parametrize("registered_first", [True, False])
def test_ends_of_a_new_incarnation_are_applied(contacted, registered_first):
    """Guards against reruns: an end was taken for one applied earlier."""
    worker = build_worker(
        "w1",
        contacted=contacted,
        last_applied_end_sequence=5,
        last_stored_end_sequence=5,
    )
    manager = activate_jobs(build_leader(worker), build_plan())
    if registered_first:
        entry = build_registration("w1", started_wall_ms=8)
        manager = register_worker(manager, entry, NOW_MS).state
    done = EndedRun(1, task(), 3, RunEnd.DONE)
    report = build_report("w1", (), [done], started_wall_ms=8)
    manager = apply_report(manager, report).state
    assert manager.active_jobs_by_id[JOB_ID].progress.phase is JobPhase.DONE
    assert manager.workers_by_id["w1"].last_stored_end_sequence == 0


@pytest.mark.parametrize(
    ("change", "acknowledged"),
    [({}, 5), ({"contacted": False}, 0), ({"unanswered_watches": 1}, 0)],
    ids=["reported", "no report in this term", "silent"],
)
def test_ends_are_acknowledged_only_after_a_report(change, acknowledged):
    """Guards against acknowledging ends that the leader has not seen."""
    worker = build_worker(
        "w1", last_applied_end_sequence=5, last_stored_end_sequence=5, **change
    )
    step = watch_worker(build_leader(worker), "w1", NOW_MS)
    (watch,) = effects_of(step, WatchWorker)
    assert watch.acknowledged == acknowledged


def leader_with_run(acknowledged_ms=-1):
    """Build a leader that has started a task on w1."""
    manager = activate_jobs(build_leader(build_worker("w1")), build_plan())
    manager = place_all(manager).state
    run = replace(
        manager.runs_by_task[task()], acknowledged_ms=acknowledged_ms
    )
    return put_run(manager, run)


def report_of_new_incarnation(
    active=(), at_ms=NOW_MS + 20, requested_ms=NOW_MS + 10
):
    return build_report(
        "w1", active, at_ms=at_ms, sent_ms=requested_ms, started_wall_ms=8
    )


@pytest.mark.parametrize(
    ("acknowledged_ms", "active", "kept", "stops"),
    [
        (NOW_MS + 5, (), False, 0),
        (NOW_MS + 15, (), True, 0),
        (-1, (), True, 1),
        (-1, (ActiveRun(task(), 1),), True, 0),
    ],
    ids=["of the earlier one", "answered since", "in flight", "arrived"],
)
def test_run_that_a_new_incarnation_may_have(
    acknowledged_ms, active, kept, stops
):
    """Guards against two runs: the order may reach the new incarnation."""
    manager = leader_with_run(acknowledged_ms)
    step = apply_report(manager, report_of_new_incarnation(active))
    assert (task() in step.state.runs_by_task) == kept
    assert len(effects_of(step, StopRun)) == stops


@pytest.mark.parametrize(
    ("requested_ms", "kept"), [(NOW_MS + 25, True), (NOW_MS + 35, False)]
)
def test_run_in_flight_is_abandoned_once_it_is_void(requested_ms, kept):
    """A worker never starts a run after a stop order for it."""
    manager = apply_report(
        leader_with_run(), report_of_new_incarnation()
    ).state
    answer = StopAnswered(NOW_MS + 30, "w1", 1, task(), 1, None)
    manager = handle_stop_answer(manager, answer).state
    report = report_of_new_incarnation((), NOW_MS + 40, requested_ms)
    manager = apply_report(manager, report).state
    assert (task() in manager.runs_by_task) == kept


def unconfirmed(manager, for_ms):
    """Set the time for which the term has not been confirmed."""
    term = replace(manager.term, confirmed_ms=NOW_MS - for_ms)
    return replace(manager, term=term)


@pytest.mark.parametrize(
    ("for_ms", "kept"), [(0, False), (800, False), (2_000, True)]
)
def test_run_of_an_earlier_incarnation_without_confirmation(for_ms, kept):
    """Another leader may know its end; the worker lost its fencing token."""
    manager = unconfirmed(leader_with_run(NOW_MS + 5), for_ms)
    manager = apply_report(manager, report_of_new_incarnation()).state
    assert (task() in manager.runs_by_task) == kept


@pytest.mark.parametrize(
    ("contact_ago_ms", "for_ms", "starts"),
    [(5_000, 2_000, 1), (500, 2_000, 0), (500, 100, 1), (-1, 100, 0)],
    ids=["answered before", "answered since", "confirmed", "registered only"],
)
def test_starts_on_a_new_incarnation_without_confirmation(
    contact_ago_ms, for_ms, starts
):
    """Another leader may have started the task on another worker."""
    contact_ms = NOW_MS - contact_ago_ms if contact_ago_ms >= 0 else -1
    manager = build_leader(build_worker("w1", first_contact_ms=contact_ms))
    manager = unconfirmed(activate_jobs(manager, build_plan()), for_ms)
    job = manager.active_jobs_by_id[JOB_ID]
    jobs = manager.active_jobs_by_id.set(
        JOB_ID, replace(job, first_seen_ms=NOW_MS - 9_000)
    )
    step = place_all(replace(manager, active_jobs_by_id=jobs))
    assert len(effects_of(step, StartRun)) == starts
