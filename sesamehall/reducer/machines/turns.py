"""What can be told from the turns that a node has seen."""

from math import exp

from sesamehall.core.turnstate import ExpectedTurn
from sesamehall.core.turnstate import QueueLoad
from sesamehall.core.turnstate import Turn
from sesamehall.core.turnstate import TurnHistory
from sesamehall.core.turntiming import GUESS_CHANCE
from sesamehall.core.turntiming import TURN_INTERVALS
from sesamehall.core.turntiming import TURN_LOAD_DECAY_MS
from sesamehall.core.turntiming import TURN_PEAK_TO_MEAN
from sesamehall.core.turntiming import TURNS_VALID_MS


def load_at(turns: TurnHistory, queue: str, at_ms: int) -> QueueLoad:
    """Return the load of a queue, decayed up to now.

    Args:
      turns: What was learnt.
      queue: Name of the queue.
      at_ms: Current time on the node's clock.
    Returns:
      The load.
    """
    load = turns.loads_by_queue.get(queue, QueueLoad(at_ms=at_ms))
    left = exp(-max(at_ms - load.at_ms, 0) / TURN_LOAD_DECAY_MS)
    return QueueLoad(
        core_ms_per_s=load.core_ms_per_s * left,
        jobs=load.jobs * left,
        path_ms=load.path_ms,
        seen=load.seen,
        at_ms=at_ms,
    )


def has_turns(turns: TurnHistory, at_ms: int) -> bool:
    """Check whether demand comes by turns.

    Args:
      turns: What was learnt.
      at_ms: Current time on the node's clock.
    Returns:
      True for TURNS_VALID_MS after a turn that counts has ended.
    """
    if not turns.past:
        return False
    return at_ms - turns.past[-1].ended_ms <= TURNS_VALID_MS


def peak_of(turns: TurnHistory, queue: str) -> float:
    """Return the highest load that a turn of a queue is expected to reach.

    Args:
      turns: What was learnt.
      queue: Name of the queue.
    Returns:
      Core-milliseconds per second: those of the queue's latest turn, or the
      mean of the other queues' turns, or 0 without any turn.
    """
    if not turns.past:
        return 0.0
    for turn in reversed(turns.past):
        if turn.queue == queue:
            return smooth_peak(turn)
    return sum(map(smooth_peak, turns.past)) / len(turns.past)


def smooth_peak(turn: Turn) -> float:
    """Estimate the highest load of a turn without chance.

    A few large jobs that arrive close together exceed the load of the turn,
    so its mean load limits it.

    Args:
      turn: A turn that has ended.
    Returns:
      Core-milliseconds per second.
    """
    mean = turn.core_ms * 1_000 / (turn.ended_ms - turn.began_ms)
    return min(turn.peak_core_ms_per_s, TURN_PEAK_TO_MEAN * mean)


def rise_ms(turns: TurnHistory) -> int:
    """Return the time from the beginning of a turn to its middle.

    Turns are taken to rise and fall evenly, so they are at their highest then.

    Args:
      turns: What was learnt; at least one turn has ended.
    Returns:
      The median of the latest turns, in milliseconds.
    """
    return _median([_middle_ms(turn) for turn in turns.past[-TURN_INTERVALS:]])


def _middle_ms(turn):
    """Return the mean age of a turn at which its work arrived."""
    return int(turn.weighted_age_ms / turn.core_ms)


def interval_ms(turns: TurnHistory) -> int | None:
    """Return the time from the beginning of a turn to that of the next one.

    Args:
      turns: What was learnt.
    Returns:
      The median of the latest turns, in milliseconds, or None if it is not
      known.
    """
    began_ms = [turn.began_ms for turn in turns.past[-TURN_INTERVALS:]]
    if turns.current is not None:
        began_ms.append(turns.current.began_ms)
    if len(began_ms) < 2:
        return None
    return _median(
        [
            later - earlier
            for earlier, later in zip(began_ms, began_ms[1:], strict=False)
        ]
    )


def _median(values):
    """Return the middle one of some values, the lower one of two."""
    return sorted(values)[(len(values) - 1) // 2]


def next_turn(turns: TurnHistory, begins_ms: int) -> ExpectedTurn:
    """Find the queues of which one is expected to have the next turn.

    Args:
      turns: What was learnt; there is a current turn.
      begins_ms: Time at which the next turn is expected to begin.
    Returns:
      A turn of the queue that last followed the current turn's one; otherwise
      of those that had no turn so far; otherwise of the one whose turn is the
      longest ago.
    """
    latest = turns.current.queue
    names = [turn.queue for turn in turns.past] + [latest]
    for name, follower in reversed(list(zip(names, names[1:], strict=False))):
        if name == latest:
            return ExpectedTurn(latest, (follower,), begins_ms, 1.0)
    unseen = sorted(set(turns.loads_by_queue) - set(names))
    if unseen:
        chance = 1 / len(unseen)
        return ExpectedTurn(latest, tuple(unseen), begins_ms, chance)
    last_index = {name: index for index, name in enumerate(names)}
    oldest = min(last_index, key=last_index.get)
    return ExpectedTurn(latest, (oldest,), begins_ms, GUESS_CHANCE)
