"""Slowness: whether the leader's own node keeps up with its work.

A leader that gets too little processor, or whose link is full, decides and
sends late, whatever its settings say that it has.  Then the calls to all
workers are slow.  What an order waits for a thread is left out, since a few
workers that do not answer hold threads on any node.
"""

from sesamehall.core.effects import log
from sesamehall.core.jobtiming import LEADER_CORES
from sesamehall.core.jobtiming import QUICK_CALL_MS
from sesamehall.core.jobtiming import SLOW_CALL_CAP_MS
from sesamehall.core.jobtiming import SLOW_CALL_MS
from sesamehall.core.jobtiming import SLOW_CALLS_AVERAGED
from sesamehall.core.jobtiming import SLOW_FOR_MS
from sesamehall.core.logevents import LEADER_BEHIND
from sesamehall.core.managerevents import OrderRefusal
from sesamehall.core.managerevents import RunAnswered
from sesamehall.core.managerevents import StopAnswered
from sesamehall.core.managerstate import CallTimes
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step

UNANSWERED = (OrderRefusal.SILENT, OrderRefusal.NOT_SENT)


def record_call(
    manager: ManagerState, event: RunAnswered | StopAnswered
) -> Step:
    """Note how long a call took; a leader that falls behind hands over.

    It does not wait for another node to offer to lead: whatever it takes in
    is late.  One that has less processor than others does wait: offers tell
    it whether they live.

    Args:
      manager: State of a manager.
      event: The answer to an order.
    Returns:
      A Step with a line where the leader has fallen behind.
    """
    term = manager.term
    if not term.epoch or event.epoch != term.epoch:
        return Step(manager)
    if event.timing is None or event.refusal in UNANSWERED:
        return Step(manager)
    at_ms = event.at_ms
    calls = _next_times(term.call_times, at_ms - event.timing.sent_ms, at_ms)
    term = replace(term, call_times=calls)
    if not _hands_over(manager, calls, at_ms):
        return Step(replace(manager, term=term))
    line = log(
        LEADER_BEHIND,
        epoch=term.epoch,
        call_ms=int(calls.mean_ms),
        slow_ms=at_ms - calls.slow_since_ms,
        cores=f"{manager.cores:.2f}",
    )
    calls = replace(calls, behind=True)
    term = replace(term, call_times=calls, handover_since_ms=at_ms)
    return Step(replace(manager, term=term), (line,))


def _next_times(calls: CallTimes, took_ms: int, at_ms: int) -> CallTimes:
    """Take a call into the mean, and judge it."""
    change_ms = min(took_ms, SLOW_CALL_CAP_MS) - calls.mean_ms
    mean_ms = calls.mean_ms + change_ms / SLOW_CALLS_AVERAGED
    since_ms = calls.slow_since_ms
    if mean_ms < (SLOW_CALL_MS if since_ms < 0 else QUICK_CALL_MS):
        since_ms = -1
    elif since_ms < 0:
        since_ms = at_ms
    return replace(calls, mean_ms=mean_ms, slow_since_ms=since_ms)


def _hands_over(manager, calls, at_ms):
    """Tell whether calls have been slow for long enough to hand over."""
    if calls.mean_ms < SLOW_CALL_MS or manager.term.handover_since_ms >= 0:
        return False
    if at_ms - calls.slow_since_ms < SLOW_FOR_MS:
        return False
    weaker = manager.cores < min(manager.max_cores_seen, LEADER_CORES)
    return at_ms >= calls.grace_until_ms and not weaker
