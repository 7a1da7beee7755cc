"""Orders to start that have no answer yet, and how many there may be.

Orders wait for a thread that sends them, and each is void after a while.  A
leader that gives more of them than it can send in that time sends only void
ones, and nothing starts any more.  So placing stops while as many as a window
holds have no answer, and goes on when half of them have one.  The window
follows the time that answers take, as a congestion window does.
"""

from sesamehall.core.jobtiming import ORDER_EXPIRY_MS
from sesamehall.core.jobtiming import ORDER_WINDOW_CUT_DIVISOR
from sesamehall.core.jobtiming import ORDER_WINDOW_MAX
from sesamehall.core.jobtiming import ORDER_WINDOW_MIN
from sesamehall.core.jobtiming import SLOW_ORDER_MS
from sesamehall.core.managerevents import OrderRefusal
from sesamehall.core.managerevents import RunAnswered
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.reducer.counts import drop_key
from sesamehall.reducer.jobs.runs import schedule_placement


def record_start_order(
    manager: ManagerState, task: str, number: int, at_ms: int
) -> ManagerState:
    """Note that an order to start was given.

    Args:
      manager: State of the leader.
      task: Identifier of the task.
      number: Number of the run.
      at_ms: The node's clock.
    Returns:
      The state.
    """
    orders = manager.start_ordered_ms_by_run.set((task, number), at_ms)
    return replace(manager, start_ordered_ms_by_run=orders)


def record_start_answer(
    manager: ManagerState, event: RunAnswered
) -> ManagerState:
    """Note the answer to an order to start, and how long it took.

    Args:
      manager: State of the leader.
      event: The answer, or that there was none.
    Returns:
      The state.
    """
    run = (event.task, event.number)
    ordered_ms = manager.start_ordered_ms_by_run.get(run)
    if ordered_ms is None:
        return manager
    order_window = manager.order_window
    if event.refusal is not OrderRefusal.SILENT:
        took_ms = event.at_ms - ordered_ms
        order_window = _next_window(order_window, took_ms)
    return replace(
        manager,
        start_ordered_ms_by_run=manager.start_ordered_ms_by_run.delete(run),
        order_window=order_window,
    )


def _next_window(window, took_ms):
    """Widen the window after a quick answer, narrow it after a slow one."""
    if took_ms <= SLOW_ORDER_MS:
        return min(window + 1, ORDER_WINDOW_MAX)
    cut = max(window // ORDER_WINDOW_CUT_DIVISOR, 1)
    return max(window - cut, ORDER_WINDOW_MIN)


def available_orders(manager: ManagerState, pool: str) -> int:
    """Count the orders to start that a pool may give now.

    Args:
      manager: State of the leader.
      pool: Name of the pool.
    Returns:
      Its part of those that may be given, shared with the pools that wait
      for answers too; 0 when none may.
    """
    left = manager.order_window - len(manager.start_ordered_ms_by_run)
    others = len(drop_key(manager.window_blocked_pools, pool))
    return max(-(-left // (1 + others)), 0)


def block_pool(manager: ManagerState, pool: str) -> ManagerState:
    """Let a pool wait for answers to orders.

    Args:
      manager: State of the leader.
      pool: Name of the pool.
    Returns:
      The state.
    """
    return replace(
        manager,
        window_blocked_pools=manager.window_blocked_pools.set(pool, True),
    )


def unblock_pool(manager: ManagerState, pool: str) -> ManagerState:
    """Let a pool's round begin.

    Args:
      manager: State of the leader.
      pool: Name of the pool.
    Returns:
      The state.
    """
    if pool not in manager.window_blocked_pools:
        return manager
    return replace(
        manager, window_blocked_pools=manager.window_blocked_pools.delete(pool)
    )


def resume_blocked_pools(manager: ManagerState, at_ms: int) -> Step:
    """Have the pools placed that wait, once enough orders have an answer.

    Args:
      manager: State of the leader.
      at_ms: The node's clock.
    Returns:
      A Step with the timers of their rounds.
    """
    step = Step(manager)
    if len(manager.start_ordered_ms_by_run) > manager.order_window // 2:
        return step
    for pool in sorted(manager.window_blocked_pools):
        step = then(step, schedule_placement, pool, at_ms)
    return step


def expire_orders(manager: ManagerState, at_ms: int) -> Step:
    """Forget orders whose answer has been lost within the process.

    Args:
      manager: State of a manager.
      at_ms: The node's clock.
    Returns:
      A Step.
    """
    lost = [
        run
        for run, ordered_ms in manager.start_ordered_ms_by_run.items()
        if at_ms - ordered_ms >= ORDER_EXPIRY_MS
    ]
    orders = manager.start_ordered_ms_by_run
    for run in lost:
        orders = orders.delete(run)
    manager = replace(manager, start_ordered_ms_by_run=orders)
    return resume_blocked_pools(manager, at_ms)
