"""Tests of queues that require advice from the external service."""

import pytest

from sesamehall.core.jobtiming import ADVICE_RETRY_MS
from sesamehall.core.managereffects import RequestAdvice
from sesamehall.core.managereffects import StartRun
from sesamehall.core.managerevents import AdviceGiven
from sesamehall.core.managerevents import AdviceNotGiven
from sesamehall.core.managerevents import OrderRefusal
from sesamehall.core.managerevents import RunAnswered
from sesamehall.core.replacing import replace
from sesamehall.reducer.jobs.advice import apply_advice
from sesamehall.reducer.jobs.advice import drop_job_tickets
from sesamehall.reducer.jobs.advice import handle_missing_advice
from sesamehall.reducer.jobs.advice import record_request
from sesamehall.reducer.jobs.advice_requests import MAX_WORKERS_PER_REQUEST
from sesamehall.reducer.jobs.orders import handle_start_answer
from sesamehall.reducer.jobs.testing import activate_jobs
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_manifest
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_registration
from sesamehall.reducer.jobs.testing import build_step
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import JOB_ID
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.jobs.testing import place_all
from sesamehall.reducer.jobs.testing import task

STEP = f"{JOB_ID}.0.0"


def build_leader_with_policy(*names, plan=None):
    """Build a leader with a job of a queue that requires advice."""
    manifest = build_manifest()
    queue = replace(manifest.queues_by_name["quotes"], requires_advice=True)
    queues = manifest.queues_by_name.set("quotes", queue)
    manifest = replace(manifest, queues_by_name=queues)
    workers = [build_worker(name) for name in names]
    manager = build_leader(*workers, manifest=manifest)
    return activate_jobs(manager, plan or build_plan())


def give_advice(manager, allowed, requested=("w1", "w2")):
    """Apply an answer of the service; its tickets are valid for 3 s."""
    tickets = tuple((name, f"t-{name}") for name in allowed)
    given = AdviceGiven(NOW_MS, NOW_MS, STEP, requested, tickets, 3_000)
    manager = record_request(manager, STEP, "guild", NOW_MS)
    return apply_advice(manager, given).state


def test_nothing_starts_without_advice():
    step = place_all(build_leader_with_policy("w1", "w2"))
    assert not effects_of(step, StartRun)
    assert effects_of(step, RequestAdvice) == [
        RequestAdvice(STEP, ("w1", "w2"))
    ]
    assert not effects_of(place_all(step.state), RequestAdvice)


@pytest.mark.parametrize(
    ("allowed", "later_ms", "started", "requested"),
    [
        (["w2"], 0, [("w2", "t-w2")], []),
        ([], 0, [], []),
        (["w2"], 2_499, [("w2", "t-w2")], []),
        (["w2"], 2_500, [], ["w2"]),
    ],
    ids=["one allowed", "none allowed", "still valid", "about to expire"],
)
def test_start_orders_carry_tickets(allowed, later_ms, started, requested):
    """A worker that the service has denied is not requested again."""
    manager = give_advice(build_leader_with_policy("w1", "w2"), allowed)
    for name in ("w1", "w2"):
        worker = manager.workers_by_id[name]
        worker = replace(worker, last_report_ms=NOW_MS + later_ms)
        workers = manager.workers_by_id.set(name, worker)
        manager = replace(manager, workers_by_id=workers)
    term = replace(manager.term, confirmed_ms=NOW_MS + later_ms)
    step = place_all(replace(manager, term=term), NOW_MS + later_ms)
    orders = effects_of(step, StartRun)
    assert [(order.worker_id, order.ticket) for order in orders] == started
    requests = effects_of(step, RequestAdvice)
    assert [list(request.worker_ids) for request in requests] == (
        [requested] if requested else []
    )


def test_ticket_applies_to_one_incarnation_of_a_worker():
    manager = give_advice(build_leader_with_policy("w1", "w2"), ["w1", "w2"])
    for name in ("w1", "w2"):
        worker = build_worker(name)
        worker = replace(
            worker, entry=build_registration(name, started_wall_ms=8)
        )
        workers = manager.workers_by_id.set(name, worker)
        manager = replace(manager, workers_by_id=workers)
    assert not effects_of(place_all(manager), StartRun)


@pytest.mark.parametrize(
    ("step", "names", "requested"),
    [
        (build_step(required_label="kind-b"), ["w1"], 0),
        (build_step(), [f"w{n}" for n in range(40)], MAX_WORKERS_PER_REQUEST),
    ],
    ids=["label missing", "many workers"],
)
def test_workers_in_a_request(step, names, requested):
    manager = build_leader_with_policy(*names, plan=build_plan(step))
    requests = effects_of(place_all(manager), RequestAdvice)
    assert sum(len(request.worker_ids) for request in requests) == requested


def test_advice_is_requested_again_after_a_failure():
    step = place_all(build_leader_with_policy("w1"))
    failed = AdviceNotGiven(NOW_MS, STEP, "status 429")
    manager = handle_missing_advice(step.state, failed).state
    assert effects_of(
        place_all(manager, NOW_MS + ADVICE_RETRY_MS), RequestAdvice
    )


def test_rejected_ticket_is_dropped():
    manager = give_advice(
        build_leader_with_policy("w1"), ["w1"], requested=("w1",)
    )
    manager = place_all(manager).state
    rejected = RunAnswered(NOW_MS, "w1", 1, task(), 1, OrderRefusal.NO_TICKET)
    manager = handle_start_answer(manager, rejected).state
    step = place_all(manager)
    assert not effects_of(step, StartRun)
    assert effects_of(step, RequestAdvice)


@pytest.mark.parametrize(
    ("ended", "kept"), [(JOB_ID, 0), (JOB_ID[:-1], 1)], ids=["own", "prefix"]
)
def test_end_of_a_job_drops_its_own_tickets(ended, kept):
    manager = give_advice(build_leader_with_policy("w1", "w2"), ["w1"])
    manager = drop_job_tickets(manager, ended)
    assert len(manager.advice.advice_by_step) == kept
