"""Requests of operators to drain data centres, and their withdrawal."""

from sesamehall.core.draining import Drain
from sesamehall.core.draining import DRAIN_KEY_PREFIX
from sesamehall.core.draining import DrainingState
from sesamehall.core.effects import log
from sesamehall.core.logevents import DRAIN_DOUBTFUL
from sesamehall.core.logevents import DRAIN_REQUESTED
from sesamehall.core.logevents import DRAIN_REVOKED
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.manifest import DrainRequest
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.reducer.jobs.runs import schedule_placement


def apply_drain_request(
    manager: ManagerState, request: DrainRequest, at_ms: int
) -> Step:
    """Drain a data centre; a repeated request changes nothing.

    Args:
      manager: State of a manager.
      request: The request.
      at_ms: Current time on the node's clock.
    Returns:
      A Step.
    """
    name = request.data_centre
    drains = manager.draining.drains_by_data_centre
    step = Step(manager)
    if name not in drains:
        line = log(DRAIN_REQUESTED, data_centre=name, drained=len(drains) + 1)
        step = Step(put_drain(manager, name, Drain(at_ms)), (line,))
    if not request.readable:
        step = then(step, warn_once, name, "content unreadable")
    return step


def revoke_drain(manager: ManagerState, data_centre: str, at_ms: int) -> Step:
    """Use a data centre again.

    Args:
      manager: State of a manager.
      data_centre: Its name.
      at_ms: Current time on the node's clock.
    Returns:
      A Step; a leader places the waiting tasks again.
    """
    drains = manager.draining.drains_by_data_centre
    if data_centre not in drains:
        return Step(manager)
    line = log(
        DRAIN_REVOKED,
        data_centre=data_centre,
        drained_ms=at_ms - drains[data_centre].first_seen_ms,
    )
    draining = DrainingState(drains.delete(data_centre))
    step = Step(replace(manager, draining=draining), (line,))
    if manager.term.epoch:
        for pool in sorted(manager.job_ids_by_pool):
            step = then(step, schedule_placement, pool, at_ms)
    return step


def revoke_unlisted_drains(
    manager: ManagerState, listed_keys: set[str], at_ms: int
) -> Step:
    """Use the data centres again whose request a complete list lacks.

    Args:
      manager: State of a manager.
      listed_keys: Keys of all records of the operators' stream.
      at_ms: Current time on the node's clock.
    Returns:
      A Step.
    """
    step = Step(manager)
    for data_centre in sorted(manager.draining.drains_by_data_centre):
        if DRAIN_KEY_PREFIX + data_centre not in listed_keys:
            step = then(step, revoke_drain, data_centre, at_ms)
    return step


def warn_once(manager: ManagerState, data_centre: str, reason: str) -> Step:
    """Log a doubtful request once for each reason.

    Args:
      manager: State of a manager.
      data_centre: Name of a drained data centre.
      reason: Why it is doubtful.
    Returns:
      A Step, without effects if the reason was logged before.
    """
    drain = manager.draining.drains_by_data_centre[data_centre]
    if reason in drain.warnings:
        return Step(manager)
    drain = replace(drain, warnings=drain.warnings + (reason,))
    line = log(DRAIN_DOUBTFUL, data_centre=ascii(data_centre), reason=reason)
    return Step(put_drain(manager, data_centre, drain), (line,))


def put_drain(
    manager: ManagerState, data_centre: str, drain: Drain
) -> ManagerState:
    """Store a drain.

    Args:
      manager: State of a manager.
      data_centre: Name of the data centre.
      drain: The drain.
    Returns:
      The state.
    """
    drains = manager.draining.drains_by_data_centre.set(data_centre, drain)
    return replace(manager, draining=DrainingState(drains))
