"""Tests of the manager's start and stop orders that are not accepted."""

import pytest

from sesamehall.core.effects import Log
from sesamehall.core.effects import SetTimer
from sesamehall.core.jobtiming import MAX_UNCLEAR_STARTS
from sesamehall.core.jobtiming import RENEWAL_CUTOFF_MS
from sesamehall.core.jobtiming import START_LEASE_MS
from sesamehall.core.jobtiming import START_RETRY_MS
from sesamehall.core.jobtiming import STOP_RETRY_MS
from sesamehall.core.logevents import RUN_ABANDONED
from sesamehall.core.logevents import RUN_REFUSED
from sesamehall.core.managereffects import StartRun
from sesamehall.core.managereffects import StopRun
from sesamehall.core.managerevents import OrderRefusal
from sesamehall.core.managerevents import RunAnswered
from sesamehall.core.managerevents import StopAnswered
from sesamehall.core.managerstate import Term
from sesamehall.core.replacing import replace
from sesamehall.core.timers import StartTimer
from sesamehall.core.timers import StopTimer
from sesamehall.core.workstate import RunState
from sesamehall.reducer.jobs.orders import build_start_order
from sesamehall.reducer.jobs.orders import handle_start_answer
from sesamehall.reducer.jobs.orders import handle_stop_answer
from sesamehall.reducer.jobs.orders import resend_start
from sesamehall.reducer.jobs.orders import resend_stop
from sesamehall.reducer.jobs.reports import apply_report
from sesamehall.reducer.jobs.runs import stop_run
from sesamehall.reducer.jobs.testing import activate_jobs
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_report
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import details_of
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.jobs.testing import place_all
from sesamehall.reducer.jobs.testing import task

TIMER = StopTimer("w1", task(), 1, OrderRefusal.SILENT)
# A worker with a newer epoch ends the term instead (see manager_reducer_test).
RESENT_AFTER = [
    refusal for refusal in OrderRefusal if refusal is not OrderRefusal.FENCED
]


def leader_stopping_a_run():
    """Build a leader that has sent a stop order for a run."""
    manager = activate_jobs(build_leader(build_worker("w1")), build_plan())
    manager = place_all(manager).state
    return stop_run(manager, manager.runs_by_task[task()], "cancelled").state


# Guards against a cancelled task that runs on (UNASKED): its worker refused
# the order to stop it, and the order was not sent again.
@pytest.mark.parametrize("refusal", RESENT_AFTER)
def test_stop_that_is_not_accepted_is_resent_after_a_pause(refusal):
    """A worker that reset connections received 530 orders in a second."""
    answer = StopAnswered(NOW_MS, "w1", 1, task(), 1, refusal)
    step = handle_stop_answer(leader_stopping_a_run(), answer)
    assert not effects_of(step, StopRun)
    (timer,) = effects_of(step, SetTimer)
    assert timer.at_ms == NOW_MS + STOP_RETRY_MS
    step = resend_stop(step.state, timer.timer)
    (order,) = effects_of(step, StopRun)
    assert (order.worker_id, order.task, order.number) == ("w1", task(), 1)
    (line,) = effects_of(step, Log)
    reasons = [field.value for field in line.details if field.name == "reason"]
    assert reasons == [f"not accepted: {refusal.value}"]


def test_accepted_stop_is_not_resent():
    answer = StopAnswered(NOW_MS, "w1", 1, task(), 1, None)
    step = handle_stop_answer(leader_stopping_a_run(), answer)
    assert not effects_of(step, SetTimer)
    assert not effects_of(step, StopRun)


@pytest.mark.parametrize(
    ("change", "stops"),
    [
        ({}, 1),
        ({"number": 2}, 0),
        ({"worker_id": "w2"}, 0),
        ({"state": RunState.RUNNING}, 0),
    ],
    ids=[
        "still stopping",
        "later run",
        "other worker",
        "running",
    ],
)
def test_stop_is_resent_only_while_the_run_is_stopping(change, stops):
    manager = leader_stopping_a_run()
    run = replace(manager.runs_by_task[task()], **change)
    runs = manager.runs_by_task.set(task(), run)
    step = resend_stop(replace(manager, runs_by_task=runs), TIMER)
    assert len(effects_of(step, StopRun)) == stops


def test_stop_of_an_ended_run_is_not_resent():
    assert not resend_stop(build_leader(), TIMER).effects


def answer_start(manager, refusal, at_ms=NOW_MS):
    """Let w1 answer the order to start the first run of the task."""
    answer = RunAnswered(at_ms, "w1", 1, task(), 1, refusal)
    return handle_start_answer(manager, answer)


# Guards against two runs of a task: the order may have been carried out.
@pytest.mark.parametrize(
    ("refusal", "kept", "quarantined"),
    [
        (OrderRefusal.UNCLEAR, True, True),
        (OrderRefusal.SILENT, True, False),
        (OrderRefusal.NO_ROOM, False, True),
        (OrderRefusal.UNHEALTHY, False, True),
        (OrderRefusal.MALFORMED, False, True),
        (OrderRefusal.OTHER_INCARNATION, False, True),
        (OrderRefusal.NOT_SENT, False, False),
    ],
)
def test_run_is_kept_unless_nothing_was_done(refusal, kept, quarantined):
    manager = activate_jobs(build_leader(build_worker("w1")), build_plan())
    manager = place_all(manager).state
    manager = answer_start(manager, refusal).state
    assert (task() in manager.runs_by_task) is kept
    worker = manager.workers_by_id["w1"]
    assert (worker.quarantined_until_ms > NOW_MS) is quarantined


def test_start_with_unclear_answers_is_resent_until_the_list_decides():
    manager = activate_jobs(build_leader(build_worker("w1")), build_plan())
    manager = place_all(manager).state
    at_ms = NOW_MS
    for _ in range(MAX_UNCLEAR_STARTS - 1):
        step = answer_start(manager, OrderRefusal.UNCLEAR, at_ms)
        assert not effects_of(step, StartRun)
        (timer,) = effects_of(step, SetTimer)
        assert timer.at_ms == at_ms + START_RETRY_MS
        at_ms = timer.at_ms
        step = resend_start(step.state, timer.timer, at_ms)
        (order,) = effects_of(step, StartRun)
        assert (order.task, order.number) == (task(), 1)
        manager = step.state
    step = answer_start(manager, OrderRefusal.UNCLEAR, at_ms)
    assert not effects_of(step, SetTimer)
    void_ms = step.state.runs_by_task[task()].start_void_ms
    for sent_ms, kept in ((void_ms, True), (void_ms + 1, False)):
        report = build_report("w1", at_ms=void_ms + 5, sent_ms=sent_ms)
        listed = apply_report(step.state, report).state
        assert (task() in listed.runs_by_task) is kept


@pytest.mark.parametrize(
    ("change", "starts"),
    [
        ({}, 1),
        ({"number": 2}, 0),
        ({"worker_id": "w2"}, 0),
        ({"state": RunState.RUNNING}, 0),
        ({"state": RunState.STOPPING}, 0),
    ],
    ids=["still starting", "later run", "other worker", "running", "stopping"],
)
def test_start_is_resent_only_while_the_run_is_starting(change, starts):
    manager = activate_jobs(build_leader(build_worker("w1")), build_plan())
    manager = place_all(manager).state
    run = replace(manager.runs_by_task[task()], **change)
    runs = manager.runs_by_task.set(task(), run)
    manager = replace(manager, runs_by_task=runs)
    step = resend_start(manager, StartTimer("w1", task(), 1), NOW_MS + 300)
    assert len(effects_of(step, StartRun)) == starts


# Guards against a paused leader that acts on a permission that has run out:
# the sending thread compares this time with the clock just before it sends.
@pytest.mark.parametrize(
    ("confirmed_ago_ms", "valid_ms"),
    [
        (0, START_LEASE_MS),
        (RENEWAL_CUTOFF_MS - START_LEASE_MS, START_LEASE_MS),
        (RENEWAL_CUTOFF_MS - 100, 100),
        (RENEWAL_CUTOFF_MS, 0),
    ],
)
def test_start_order_is_void_once_its_permission_has_ended(
    confirmed_ago_ms, valid_ms
):
    manager = activate_jobs(build_leader(build_worker("w1")), build_plan())
    manager = place_all(manager).state
    (run,) = manager.runs_by_task.values()
    term = replace(manager.term, confirmed_ms=NOW_MS - confirmed_ago_ms)
    manager = replace(manager, term=term)
    order = build_start_order(manager, run, "spec", NOW_MS)
    assert order.not_after_ms == NOW_MS + valid_ms


@pytest.mark.parametrize(
    ("refusal", "status", "refused", "given_up"),
    [
        (None, 200, [], []),
        (OrderRefusal.SILENT, 0, [], []),
        (OrderRefusal.NO_ROOM, 409, [("no room", 409)], ["no room"]),
        (OrderRefusal.MALFORMED, 502, [("malformed", 502)], ["malformed"]),
        (
            OrderRefusal.NOT_SENT,
            0,
            [("not sent in time", 0)],
            ["not sent in time"],
        ),
    ],
)
def test_refused_start_is_logged_with_its_status(
    refusal, status, refused, given_up
):
    manager = activate_jobs(build_leader(build_worker("w1")), build_plan())
    manager = place_all(manager).state
    answer = RunAnswered(
        NOW_MS + 5, "w1", 1, task(), 1, refusal, status=status
    )
    step = handle_start_answer(manager, answer)
    lines = details_of(step, RUN_REFUSED)
    assert [(line["reason"], line["status"]) for line in lines] == refused
    lines = details_of(step, RUN_ABANDONED)
    assert [line["reason"] for line in lines] == given_up


# Guards against tasks without a run for tens of seconds (LOST): a task failed
# so often that a new leader's run numbers were below those of the workers,
# which refused each start, and each refusal set a worker aside.
@pytest.mark.parametrize(
    ("epoch", "highest_seen", "max_refusals"),
    [(2, 16, 0), (2, 161, 5), (5, 161, 4), (2, 5_000, 10), (3, 1 << 20, 18)],
)
def test_run_numbers_of_a_new_leader_pass_those_that_a_worker_has_seen(
    epoch, highest_seen, max_refusals
):
    term = Term(epoch, began_ms=NOW_MS - 5_000, confirmed_ms=NOW_MS)
    manager = build_leader(build_worker("w1"), term=term)
    step = place_all(activate_jobs(manager, build_plan()))
    (order,) = effects_of(step, StartRun)
    refusals = 0
    while order.number <= highest_seen:
        refusals += 1
        refusal = OrderRefusal.OLD_RUN
        answer = RunAnswered(
            NOW_MS, "w1", epoch, task(), order.number, refusal
        )
        manager = handle_start_answer(step.state, answer).state
        assert not manager.workers_by_id["w1"].quarantined_until_ms
        step = place_all(manager)
        (order,) = effects_of(step, StartRun)
    assert refusals <= max_refusals
