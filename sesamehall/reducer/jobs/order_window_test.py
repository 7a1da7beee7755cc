"""Tests of the window of start orders in flight."""

from immutables import Map
import pytest

from sesamehall.core.jobtiming import ORDER_EXPIRY_MS
from sesamehall.core.jobtiming import ORDER_WINDOW_MAX
from sesamehall.core.jobtiming import ORDER_WINDOW_MIN
from sesamehall.core.jobtiming import SLOW_ORDER_MS
from sesamehall.core.managereffects import StartRun
from sesamehall.core.managerevents import OrderRefusal
from sesamehall.core.managerevents import RunAnswered
from sesamehall.core.replacing import replace
from sesamehall.reducer.jobs.order_window import available_orders
from sesamehall.reducer.jobs.order_window import expire_orders
from sesamehall.reducer.jobs.orders import handle_start_answer
from sesamehall.reducer.jobs.testing import activate_jobs
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_step
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.jobs.testing import place_all
from sesamehall.reducer.jobs.testing import task

SLOW_MS = SLOW_ORDER_MS + 1


def leader_with_tasks(window, **others):
    """Build a leader with four tasks and a worker that fits them."""
    manager = build_leader(build_worker("w1"), order_window=window, **others)
    return activate_jobs(manager, build_plan(build_step(count=4)))


def answer(manager, index=0, at_ms=NOW_MS, refusal=None):
    """Apply a worker's answer to the start order of a task."""
    event = RunAnswered(at_ms, "w1", 1, task(index), 1, refusal)
    return handle_start_answer(manager, event)


@pytest.mark.parametrize(
    ("window", "starts", "blocked"),
    [(1, 1, True), (3, 3, True), (4, 4, False), (9, 4, False)],
)
def test_orders_in_flight_do_not_exceed_the_window(window, starts, blocked):
    step = place_all(leader_with_tasks(window))
    assert len(effects_of(step, StartRun)) == starts
    again = place_all(step.state)
    assert len(effects_of(again, StartRun)) == 0
    assert ("a" in again.state.window_blocked_pools) is blocked


def test_gang_may_exceed_the_window():
    manager = build_leader(build_worker("w1"), order_window=2)
    manager = activate_jobs(
        manager, build_plan(build_step(count=4, gang=True))
    )
    assert len(effects_of(place_all(manager), StartRun)) == 4


@pytest.mark.parametrize(
    ("answers", "scheduled"), [(1, False), (2, True)], ids=["too few", "half"]
)
def test_blocked_pool_resumes_after_answers(answers, scheduled):
    manager = build_leader(
        build_worker("w1"), build_worker("w2"), order_window=4
    )
    manager = activate_jobs(manager, build_plan(build_step(count=8)))
    step = place_all(manager)
    orders = effects_of(step, StartRun)
    manager = replace(step.state, order_window=4)
    for order in orders[:answers]:
        names = (order.worker_id, order.epoch, order.task, order.number)
        not_sent = RunAnswered(NOW_MS, *names, OrderRefusal.NOT_SENT)
        manager = handle_start_answer(manager, not_sent).state
        manager = replace(
            manager, order_window=4, placement_scheduled_pools=Map()
        )
    step = handle_start_answer(manager, not_sent)
    assert ("a" in step.state.placement_scheduled_pools) is scheduled


@pytest.mark.parametrize(
    ("blocked", "orders"),
    [((), 8), (("a",), 8), (("b",), 4), (("a", "b", "c"), 3)],
    ids=["none", "this pool", "another pool", "two other pools"],
)
def test_blocked_pools_share_the_free_window(blocked, orders):
    pools = Map((pool, True) for pool in blocked)
    manager = build_leader(order_window=8, window_blocked_pools=pools)
    assert available_orders(manager, "a") == orders


@pytest.mark.parametrize(
    ("window", "took_ms", "refusal", "expected"),
    [
        (100, SLOW_ORDER_MS, None, 101),
        (100, SLOW_MS, None, 94),
        (100, SLOW_MS, OrderRefusal.NOT_SENT, 94),
        (100, SLOW_MS, OrderRefusal.SILENT, 100),
        (ORDER_WINDOW_MAX, 0, None, ORDER_WINDOW_MAX),
        (ORDER_WINDOW_MIN, SLOW_MS, None, ORDER_WINDOW_MIN),
    ],
    ids=[
        "fast",
        "slow",
        "void before it was sent",
        "silent worker, no change",
        "maximum",
        "minimum",
    ],
)
def test_window_follows_the_latency_of_answers(
    window, took_ms, refusal, expected
):
    manager = place_all(leader_with_tasks(window)).state
    step = answer(manager, at_ms=NOW_MS + took_ms, refusal=refusal)
    assert step.state.order_window == expected


# Guards against a leader that stops placing tasks: an order whose answer is
# lost within the process would take up the window forever.
@pytest.mark.parametrize(
    ("age_ms", "orders"),
    [(ORDER_EXPIRY_MS - 1, 1), (ORDER_EXPIRY_MS, 0)],
)
def test_order_without_any_answer_expires(age_ms, orders):
    manager = place_all(leader_with_tasks(1)).state
    manager = expire_orders(manager, NOW_MS + age_ms).state
    assert len(manager.start_ordered_ms_by_run) == orders


@pytest.mark.parametrize(
    ("refusal", "quarantined"),
    [(OrderRefusal.NOT_SENT, False), (OrderRefusal.NO_ROOM, True)],
)
def test_order_that_was_not_sent_does_not_quarantine_its_worker(
    refusal, quarantined
):
    manager = place_all(leader_with_tasks(9)).state
    manager = answer(manager, refusal=refusal).state
    assert (
        manager.workers_by_id["w1"].quarantined_until_ms > NOW_MS
    ) is quarantined
    assert task() not in manager.runs_by_task
