"""Log lines that show what the leader believes about turns."""

from sesamehall.core.effects import log
from sesamehall.core.logevents import TURN_BEGAN
from sesamehall.core.logevents import TURN_ENDED
from sesamehall.core.logevents import TURN_EXPECTED
from sesamehall.core.logevents import TURN_MISSED
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step
from sesamehall.reducer.machines.turn_forecasts import start_slack_ms
from sesamehall.reducer.machines.turns import peak_of


def log_turns(manager: ManagerState, at_ms: int) -> Step:
    """Log what has changed in the turns since the last call.

    Args:
      manager: State of the leader.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with the lines.
    """
    lines = _turn_lines(manager, at_ms) + _expectation_lines(manager, at_ms)
    if not lines:
        return Step(manager)
    fleet = replace(
        manager.fleet,
        logged_turn=manager.turns.current,
        logged_expectation=manager.turns.expected,
    )
    return Step(replace(manager, fleet=fleet), lines)


def _turn_lines(manager, at_ms):
    """Build the lines for a turn that has begun, ended or been followed."""
    old = manager.fleet.logged_turn
    new = manager.turns.current
    if _is_same(old, new):
        return ()
    lines = ()
    if old is not None:
        lines += (_ended_line(manager.turns, old, at_ms),)
    if new is not None:
        lines += (_began_line(manager, new, at_ms),)
    return lines


def _is_same(one, other):
    """Check whether two views are of the same turn, or both are None."""
    if one is None or other is None:
        return one is other
    return one.queue == other.queue and one.began_ms == other.began_ms


def _ended_line(turns, turn, at_ms):
    """Build the line for a turn that has ended."""
    latest = turns.past[-1] if turns.past else None
    counts = _is_same(latest, turn)
    if counts:
        turn = latest
    return log(
        TURN_ENDED,
        queue=turn.queue,
        counts=int(counts),
        lasted_ms=at_ms - turn.began_ms,
        peak_cores=round(turn.peak_core_ms_per_s / 1_000),
    )


def _began_line(manager, turn, at_ms):
    """Build the line for a turn that has begun."""
    turns = manager.turns
    return log(
        TURN_BEGAN,
        queue=turn.queue,
        ago_ms=at_ms - turn.began_ms,
        peak_cores=round(peak_of(turns, turn.queue) / 1_000),
        turns=len(turns.past),
        slack_ms=round(start_slack_ms(manager, turn.queue)),
        confidence=f"{turns.confidence:.2f}",
    )


def _expectation_lines(manager, at_ms):
    """Build the line for an expectation that is new or was missed."""
    new = manager.turns.expected
    if new is None or new == manager.fleet.logged_expectation:
        return ()
    event = TURN_MISSED if new.missed else TURN_EXPECTED
    return (
        log(
            event,
            after=new.after,
            queues=",".join(new.queues),
            chance=f"{new.chance:.2f}",
            in_ms=new.begins_ms - at_ms,
            confidence=f"{manager.turns.confidence:.2f}",
        ),
    )
