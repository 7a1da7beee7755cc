"""Detection of a leader that is behind: its node is too slow for its work.

A leader with too little processor time or a saturated network link decides
and sends late, whatever its settings say.  Its start and stop orders to all
workers then take long.  The time that an order waits for a thread is not
counted, since a few workers that do not answer can block threads on any node.
"""

from sesamehall.core.effects import log
from sesamehall.core.jobtiming import LEADER_CORES
from sesamehall.core.jobtiming import QUICK_WORKER_CALL_MS
from sesamehall.core.jobtiming import SLOW_WORKER_CALL_MS
from sesamehall.core.jobtiming import SLOW_WORKER_CALLS_MIN_MS
from sesamehall.core.jobtiming import WORKER_CALL_CAP_MS
from sesamehall.core.jobtiming import WORKER_CALLS_AVERAGED
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
    """Record an order's latency; begin a handover if the leader is behind.

    A leader that is behind does not wait for another node to offer to lead,
    since it would process the offer late.  A leader with fewer cores than
    others does wait, since an offer shows that a stronger node is alive.

    Args:
      manager: State of a manager.
      event: The answer to an order.
    Returns:
      A Step with a log line if the leader is behind since this answer.
    """
    term = manager.term
    if not term.epoch or event.epoch != term.epoch:
        return Step(manager)
    if event.timing is None or event.refusal in UNANSWERED:
        return Step(manager)
    at_ms = event.at_ms
    call_times = _updated_call_times(
        term.call_times, at_ms - event.timing.sent_ms, at_ms
    )
    term = replace(term, call_times=call_times)
    if not _should_hand_over(manager, call_times, at_ms):
        return Step(replace(manager, term=term))
    line = log(
        LEADER_BEHIND,
        epoch=term.epoch,
        call_ms=int(call_times.mean_ms),
        slow_ms=at_ms - call_times.slow_since_ms,
        cores=f"{manager.cores:.2f}",
    )
    call_times = replace(call_times, behind=True)
    term = replace(term, call_times=call_times, handover_since_ms=at_ms)
    return Step(replace(manager, term=term), (line,))


def _updated_call_times(
    call_times: CallTimes, took_ms: int, at_ms: int
) -> CallTimes:
    """Add a call to the mean, and update since when calls are slow."""
    change_ms = min(took_ms, WORKER_CALL_CAP_MS) - call_times.mean_ms
    mean_ms = call_times.mean_ms + change_ms / WORKER_CALLS_AVERAGED
    since_ms = call_times.slow_since_ms
    if mean_ms < (
        SLOW_WORKER_CALL_MS if since_ms < 0 else QUICK_WORKER_CALL_MS
    ):
        since_ms = -1
    elif since_ms < 0:
        since_ms = at_ms
    return replace(call_times, mean_ms=mean_ms, slow_since_ms=since_ms)


def _should_hand_over(manager, call_times, at_ms):
    """Check whether calls have been slow for long enough to hand over."""
    if (
        call_times.mean_ms < SLOW_WORKER_CALL_MS
        or manager.term.handover_since_ms >= 0
    ):
        return False
    if at_ms - call_times.slow_since_ms < SLOW_WORKER_CALLS_MIN_MS:
        return False
    weaker = manager.cores < min(manager.max_cores_seen, LEADER_CORES)
    return at_ms >= call_times.grace_until_ms and not weaker
