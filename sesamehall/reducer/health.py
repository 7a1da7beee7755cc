"""Health of targets: those that fail are quarantined and then probed."""

from sesamehall.core.effects import log
from sesamehall.core.effects import SetTimer
from sesamehall.core.limits import BUSY_PAUSE_MS
from sesamehall.core.limits import TARGET_QUARANTINE_FAILURES
from sesamehall.core.limits import TARGET_QUARANTINE_MAX_MS
from sesamehall.core.limits import TARGET_QUARANTINE_MS
from sesamehall.core.logevents import TARGET_QUARANTINED
from sesamehall.core.logevents import TARGET_RECOVERED
from sesamehall.core.replacing import replace
from sesamehall.core.state import State
from sesamehall.core.state import Target
from sesamehall.core.step import Step
from sesamehall.core.timers import ProbeTimer


def record_success(state: State, name: str) -> Step:
    """Record that a target returned a complete response.

    Args:
      state: State of the entry.
      name: Name of the target.
    Returns:
      A Step; clears the target's failures and ends a probe.
    """
    target = state.entry.targets_by_name.get(name)
    if target is None or not (target.failures or target.quarantined):
        return Step(state)
    healthy = Target(target.instance)
    effects = (log(TARGET_RECOVERED, target=name),) if target.probing else ()
    return Step(_with_target(state, healthy), effects)


def record_failure(state: State, name: str, reason: str, at_ms: int) -> Step:
    """Record that a target returned no complete response.

    Args:
      state: State of the entry.
      name: Name of the target.
      reason: Reason for the log line.
      at_ms: Current time on the node's clock.
    Returns:
      A Step; quarantines the target after several consecutive failures.
    """
    target = state.entry.targets_by_name.get(name)
    if target is None or target.quarantined:
        return Step(state)
    failed = replace(target, failures=target.failures + 1)
    if failed.failures < TARGET_QUARANTINE_FAILURES:
        return Step(_with_target(state, failed))
    excess = failed.failures - TARGET_QUARANTINE_FAILURES
    pause_ms = min(
        TARGET_QUARANTINE_MS << min(excess, 10), TARGET_QUARANTINE_MAX_MS
    )
    paused = replace(failed, quarantined=True, probing=False)
    line = log(
        TARGET_QUARANTINED,
        target=name,
        failures=failed.failures,
        reason=reason,
    )
    timer = SetTimer(ProbeTimer(name), at_ms + pause_ms)
    return Step(_with_target(state, paused), (line, timer))


def pause_full_target(state: State, name: str, at_ms: int) -> Step:
    """Pause a target that declined a request because its slots are in use.

    Args:
      state: State of the entry.
      name: Name of the target.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with the timer that ends the pause; no failure is counted.
    """
    target = state.entry.targets_by_name.get(name)
    if target is None or target.quarantined:
        return Step(state)
    paused = replace(target, quarantined=True)
    timer = SetTimer(ProbeTimer(name), at_ms + BUSY_PAUSE_MS)
    return Step(_with_target(state, paused), (timer,))


def resume_target(state: State, name: str) -> Step:
    """Use a paused or quarantined target again.

    One that was failing gets a single request at a time until one succeeds.

    Args:
      state: State of the entry.
      name: Name of the target.
    Returns:
      A Step without effects.
    """
    target = state.entry.targets_by_name.get(name)
    if target is None:
        return Step(state)
    failing = target.failures >= TARGET_QUARANTINE_FAILURES
    return Step(
        _with_target(
            state, replace(target, quarantined=False, probing=failing)
        )
    )


def _with_target(state, target):
    targets = state.entry.targets_by_name.set(target.instance.name, target)
    entry = replace(state.entry, targets_by_name=targets)
    return replace(state, entry=entry)
