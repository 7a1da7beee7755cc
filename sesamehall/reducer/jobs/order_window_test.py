"""Tests of the bound on orders to start that have no answer."""

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


def leader_with_tasks(most, **others):
    """Build a leader with four tasks and room for them."""
    manager = build_leader(build_worker("w1"), order_window=most, **others)
    return activate_jobs(manager, build_plan(build_step(count=4)))


def answer(manager, index=0, at_ms=NOW_MS, refusal=None):
    """Let a worker answer the order to start a task."""
    event = RunAnswered(at_ms, "w1", 1, task(index), 1, refusal)
    return handle_start_answer(manager, event)


@pytest.mark.parametrize(
    ("most", "starts", "held"),
    [(1, 1, True), (3, 3, True), (4, 4, False), (9, 4, False)],
)
def test_no_more_orders_than_the_window_holds(most, starts, held):
    step = place_all(leader_with_tasks(most))
    assert len(effects_of(step, StartRun)) == starts
    again = place_all(step.state)
    assert len(effects_of(again, StartRun)) == 0
    assert ("a" in again.state.window_blocked_pools) is held


def test_gang_is_started_whole():
    manager = build_leader(build_worker("w1"), order_window=2)
    manager = activate_jobs(
        manager, build_plan(build_step(count=4, gang=True))
    )
    assert len(effects_of(place_all(manager), StartRun)) == 4


@pytest.mark.parametrize(
    ("answers", "placed"), [(1, False), (2, True)], ids=["too few", "half"]
)
def test_held_pool_goes_on_after_answers(answers, placed):
    manager = build_leader(
        build_worker("w1"), build_worker("w2"), order_window=4
    )
    manager = activate_jobs(manager, build_plan(build_step(count=8)))
    step = place_all(manager)
    orders = effects_of(step, StartRun)
    manager = replace(step.state, order_window=4)
    for order in orders[:answers]:
        names = (order.worker_id, order.epoch, order.task, order.number)
        slow = RunAnswered(NOW_MS, *names, OrderRefusal.NOT_SENT)
        manager = handle_start_answer(manager, slow).state
        manager = replace(
            manager, order_window=4, placement_scheduled_pools=Map()
        )
    step = handle_start_answer(manager, slow)
    assert ("a" in step.state.placement_scheduled_pools) is placed


@pytest.mark.parametrize(
    ("held", "left"),
    [((), 8), (("a",), 8), (("b",), 4), (("a", "b", "c"), 3)],
    ids=["alone", "the same pool", "another waits", "two others wait"],
)
def test_pools_that_wait_share_what_is_left(held, left):
    pools = Map((pool, True) for pool in held)
    manager = build_leader(order_window=8, window_blocked_pools=pools)
    assert available_orders(manager, "a") == left


@pytest.mark.parametrize(
    ("most", "took_ms", "refusal", "expected"),
    [
        (100, SLOW_ORDER_MS, None, 101),
        (100, SLOW_MS, None, 94),
        (100, SLOW_MS, OrderRefusal.NOT_SENT, 94),
        (100, SLOW_MS, OrderRefusal.SILENT, 100),
        (ORDER_WINDOW_MAX, 0, None, ORDER_WINDOW_MAX),
        (ORDER_WINDOW_MIN, SLOW_MS, None, ORDER_WINDOW_MIN),
    ],
    ids=[
        "in time",
        "slow",
        "void before it was sent",
        "a silent worker tells nothing",
        "widest",
        "narrowest",
    ],
)
def test_window_follows_the_time_of_answers(most, took_ms, refusal, expected):
    manager = place_all(leader_with_tasks(most)).state
    step = answer(manager, at_ms=NOW_MS + took_ms, refusal=refusal)
    assert step.state.order_window == expected


# Guards against a leader that places nothing more: an answer that is lost
# within the process would count as outstanding for good.
@pytest.mark.parametrize(
    ("age_ms", "left"),
    [(ORDER_EXPIRY_MS - 1, 1), (ORDER_EXPIRY_MS, 0)],
)
def test_order_without_any_answer_is_forgotten(age_ms, left):
    manager = place_all(leader_with_tasks(1)).state
    manager = expire_orders(manager, NOW_MS + age_ms).state
    assert len(manager.start_ordered_ms_by_run) == left


@pytest.mark.parametrize(
    ("refusal", "aside"),
    [(OrderRefusal.NOT_SENT, False), (OrderRefusal.NO_ROOM, True)],
)
def test_order_that_was_not_sent_is_no_fault_of_its_worker(refusal, aside):
    manager = place_all(leader_with_tasks(9)).state
    manager = answer(manager, refusal=refusal).state
    assert (manager.workers_by_id["w1"].quarantined_until_ms > NOW_MS) is aside
    assert task() not in manager.runs_by_task
