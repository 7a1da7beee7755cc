"""Tests of queues whose policy an outside service tells."""

import pytest

from sesamehall.core.managereffects import RequestAdvice
from sesamehall.core.managereffects import StartRun
from sesamehall.core.managerevents import AdviceGiven
from sesamehall.core.managerevents import AdviceNotGiven
from sesamehall.core.managerevents import OrderRefusal
from sesamehall.core.managerevents import RunAnswered
from sesamehall.core.replacing import replace
from sesamehall.reducer.jobs.advice import apply_advice
from sesamehall.reducer.jobs.advice import handle_missing_advice
from sesamehall.reducer.jobs.advice import MAX_WORKERS_PER_REQUEST
from sesamehall.reducer.jobs.orders import handle_start_answer
from sesamehall.reducer.jobs.testing import activate_jobs
from sesamehall.reducer.jobs.testing import build_entry
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_manifest
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_step
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import JOB_ID
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.jobs.testing import place_all
from sesamehall.reducer.jobs.testing import task

STEP = f"{JOB_ID}.0.0"


def build_advised(*names, plan=None):
    """Build a leader with a job on a queue that has a policy."""
    manifest = build_manifest()
    queue = replace(manifest.queues_by_name["quotes"], requires_advice=True)
    queues = manifest.queues_by_name.set("quotes", queue)
    manifest = replace(manifest, queues_by_name=queues)
    workers = [build_worker(name) for name in names]
    manager = build_leader(*workers, manifest=manifest)
    return activate_jobs(manager, plan or build_plan())


def advise(manager, good, asked=("w1", "w2")):
    """Let the service answer; the tickets are valid for 3 s."""
    tickets = tuple((name, f"t-{name}") for name in good)
    given = AdviceGiven(NOW_MS, NOW_MS, STEP, asked, tickets, 3_000)
    return apply_advice(
        replace(manager, advice_in_flight_step=STEP), given
    ).state


def test_nothing_starts_before_advice():
    step = place_all(build_advised("w1", "w2"))
    assert not effects_of(step, StartRun)
    assert effects_of(step, RequestAdvice) == [
        RequestAdvice(STEP, ("w1", "w2"))
    ]
    assert not effects_of(place_all(step.state), RequestAdvice)


@pytest.mark.parametrize(
    ("good", "later_ms", "started", "asked"),
    [
        (["w2"], 0, [("w2", "t-w2")], []),
        ([], 0, [], []),
        (["w2"], 2_499, [("w2", "t-w2")], []),
        (["w2"], 2_500, [], ["w2"]),
    ],
    ids=["one may", "none may", "just valid", "about to run out"],
)
def test_starts_carry_tickets(good, later_ms, started, asked):
    """What the service has denied stays so, and is not asked again."""
    manager = advise(build_advised("w1", "w2"), good)
    for name in ("w1", "w2"):
        worker = manager.workers_by_id[name]
        worker = replace(worker, last_report_ms=NOW_MS + later_ms)
        workers = manager.workers_by_id.set(name, worker)
        manager = replace(manager, workers_by_id=workers)
    term = replace(manager.term, confirmed_ms=NOW_MS + later_ms)
    step = place_all(replace(manager, term=term), NOW_MS + later_ms)
    orders = effects_of(step, StartRun)
    assert [(one.worker_id, one.ticket) for one in orders] == started
    asks = effects_of(step, RequestAdvice)
    assert [list(ask.worker_ids) for ask in asks] == ([asked] if asked else [])


def test_ticket_holds_for_one_life_of_a_worker():
    manager = advise(build_advised("w1", "w2"), ["w1", "w2"])
    for name in ("w1", "w2"):
        worker = build_worker(name)
        worker = replace(worker, entry=build_entry(name, started_wall_ms=8))
        workers = manager.workers_by_id.set(name, worker)
        manager = replace(manager, workers_by_id=workers)
    assert not effects_of(place_all(manager), StartRun)


@pytest.mark.parametrize(
    ("step", "names", "asked"),
    [
        (build_step(required_label="kind-b"), ["w1"], 0),
        (build_step(), [f"w{n}" for n in range(40)], MAX_WORKERS_PER_REQUEST),
    ],
    ids=["label missing", "many workers"],
)
def test_who_is_asked_about(step, names, asked):
    manager = build_advised(*names, plan=build_plan(step))
    asks = effects_of(place_all(manager), RequestAdvice)
    assert sum(len(ask.worker_ids) for ask in asks) == asked


def test_service_that_fails_is_asked_again():
    step = place_all(build_advised("w1"))
    failed = AdviceNotGiven(NOW_MS, STEP, "status 429")
    manager = handle_missing_advice(step.state, failed).state
    assert effects_of(place_all(manager), RequestAdvice)


def test_refused_ticket_is_dropped():
    manager = advise(build_advised("w1"), ["w1"], asked=("w1",))
    manager = place_all(manager).state
    refused = RunAnswered(NOW_MS, "w1", 1, task(), 1, OrderRefusal.NO_TICKET)
    manager = handle_start_answer(manager, refused).state
    step = place_all(manager)
    assert not effects_of(step, StartRun)
    assert effects_of(step, RequestAdvice)
