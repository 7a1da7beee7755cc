"""Health of targets: those that fail are set aside and probed."""

from sesamehall.core.effects import log
from sesamehall.core.effects import SetTimer
from sesamehall.core.limits import BUSY_PAUSE_MS
from sesamehall.core.limits import QUARANTINE_FAILURES
from sesamehall.core.limits import QUARANTINE_MAX_MS
from sesamehall.core.limits import QUARANTINE_MS
from sesamehall.core.logevents import TARGET_QUARANTINED
from sesamehall.core.logevents import TARGET_RECOVERED
from sesamehall.core.replacing import replace
from sesamehall.core.state import State
from sesamehall.core.state import Target
from sesamehall.core.step import Step
from sesamehall.core.timers import ProbeTimer


def record_success(state: State, name: str) -> Step:
    """Note that a target gave a whole answer.

    Args:
      state: State of the entry.
      name: Name of the target.
    Returns:
      A Step; a target that was being probed is back in use.
    """
    target = state.entry.targets_by_name.get(name)
    if target is None or not (target.failures or target.quarantined):
        return Step(state)
    healthy = Target(target.instance)
    effects = (log(TARGET_RECOVERED, target=name),) if target.probing else ()
    return Step(_with_target(state, healthy), effects)


def record_failure(state: State, name: str, reason: str, at_ms: int) -> Step:
    """Note that a target gave no whole answer.

    Args:
      state: State of the entry.
      name: Name of the target.
      reason: Why, for the log.
      at_ms: The node's clock.
    Returns:
      A Step; the target is set aside after some failures in a row.
    """
    target = state.entry.targets_by_name.get(name)
    if target is None or target.quarantined:
        return Step(state)
    failed = replace(target, failures=target.failures + 1)
    if failed.failures < QUARANTINE_FAILURES:
        return Step(_with_target(state, failed))
    excess = failed.failures - QUARANTINE_FAILURES
    pause_ms = min(QUARANTINE_MS << min(excess, 10), QUARANTINE_MAX_MS)
    aside = replace(failed, quarantined=True, probing=False)
    line = log(
        TARGET_QUARANTINED,
        target=name,
        failures=failed.failures,
        reason=reason,
    )
    timer = SetTimer(ProbeTimer(name), at_ms + pause_ms)
    return Step(_with_target(state, aside), (line, timer))


def pause_full_target(state: State, name: str, at_ms: int) -> Step:
    """Note that a target declined a request, its slots being in use.

    Args:
      state: State of the entry.
      name: Name of the target.
      at_ms: The node's clock.
    Returns:
      A Step; the target rests for a moment without counting as sick.
    """
    target = state.entry.targets_by_name.get(name)
    if target is None or target.quarantined:
        return Step(state)
    resting = replace(target, quarantined=True)
    timer = SetTimer(ProbeTimer(name), at_ms + BUSY_PAUSE_MS)
    return Step(_with_target(state, resting), (timer,))


def resume_target(state: State, name: str) -> Step:
    """Let a target that was set aside have a request again.

    A sick one gets a single request until that has succeeded.

    Args:
      state: State of the entry.
      name: Name of the target.
    Returns:
      A Step with the target in use.
    """
    target = state.entry.targets_by_name.get(name)
    if target is None:
        return Step(state)
    sick = target.failures >= QUARANTINE_FAILURES
    return Step(
        _with_target(state, replace(target, quarantined=False, probing=sick))
    )


def _with_target(state, target):
    targets = state.entry.targets_by_name.set(target.instance.name, target)
    entry = replace(state.entry, targets_by_name=targets)
    return replace(state, entry=entry)
