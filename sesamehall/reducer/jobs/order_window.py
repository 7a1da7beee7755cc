"""Flow control of start orders: a window of orders in flight.

Orders are queued for the threads that send them, and each order is void after
a while. If a leader issued more orders than it can send in that time, it
would send only void ones and nothing would start any more. So placement stops
while the window is full, and resumes when half of it is answered. The size of
the window follows the latency of the answers, as a congestion window does.
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
    """Record that a start order was issued.

    Args:
      manager: State of the leader.
      task: Identifier of the task.
      number: Number of the run.
      at_ms: Current time on the node's clock.
    Returns:
      The state.
    """
    orders = manager.start_ordered_ms_by_run.set((task, number), at_ms)
    return replace(manager, start_ordered_ms_by_run=orders)


def record_start_answer(
    manager: ManagerState, event: RunAnswered
) -> ManagerState:
    """Remove a start order from the window, and adapt the window's size.

    Args:
      manager: State of the leader.
      event: The answer, or why there is none. The size stays if the worker
        was silent.
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
    """Grow the window by one after a fast answer, cut it after a slow one."""
    if took_ms <= SLOW_ORDER_MS:
        return min(window + 1, ORDER_WINDOW_MAX)
    cut = max(window // ORDER_WINDOW_CUT_DIVISOR, 1)
    return max(window - cut, ORDER_WINDOW_MIN)


def available_orders(manager: ManagerState, pool: str) -> int:
    """Compute how many start orders a pool may issue now.

    Args:
      manager: State of the leader.
      pool: Name of the pool.
    Returns:
      Its share of the free part of the window, which is divided among this
      pool and the other blocked pools; 0 if the window is full.
    """
    free = manager.order_window - len(manager.start_ordered_ms_by_run)
    others = len(drop_key(manager.window_blocked_pools, pool))
    return max(-(-free // (1 + others)), 0)


def block_pool(manager: ManagerState, pool: str) -> ManagerState:
    """Block a pool until enough start orders are answered.

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
    """Unblock a pool whose placement round begins.

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
    """Schedule rounds for the blocked pools once half the window is free.

    Args:
      manager: State of the leader.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with the timers of the rounds, or without effects.
    """
    step = Step(manager)
    if len(manager.start_ordered_ms_by_run) > manager.order_window // 2:
        return step
    for pool in sorted(manager.window_blocked_pools):
        step = then(step, schedule_placement, pool, at_ms)
    return step


def expire_orders(manager: ManagerState, at_ms: int) -> Step:
    """Remove orders whose answer was lost within the process.

    Args:
      manager: State of a manager.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with the timers of rounds that become possible.
    """
    expired = [
        run
        for run, ordered_ms in manager.start_ordered_ms_by_run.items()
        if at_ms - ordered_ms >= ORDER_EXPIRY_MS
    ]
    orders = manager.start_ordered_ms_by_run
    for run in expired:
        orders = orders.delete(run)
    manager = replace(manager, start_ordered_ms_by_run=orders)
    return resume_blocked_pools(manager, at_ms)
