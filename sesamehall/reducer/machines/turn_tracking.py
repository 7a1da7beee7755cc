"""Tracking of turns by the jobs that a node reads.

A turn begins when a queue gets more work than any other one, and ends when
another queue's turn begins or little of its own load is left.
"""

from sesamehall.core.replacing import replace
from sesamehall.core.turnstate import QueueLoad
from sesamehall.core.turnstate import Turn
from sesamehall.core.turnstate import TurnHistory
from sesamehall.core.turntiming import EXPECTED_BEGIN_SHARE
from sesamehall.core.turntiming import MIN_TURN_JOBS
from sesamehall.core.turntiming import MIN_TURN_MS
from sesamehall.core.turntiming import MIN_TURN_WORK_SHARE
from sesamehall.core.turntiming import PAST_TURNS
from sesamehall.core.turntiming import PATH_JOBS
from sesamehall.core.turntiming import PREPARE_MS
from sesamehall.core.turntiming import TURN_BEGIN_SHARE
from sesamehall.core.turntiming import TURN_DECLINE_SHARE
from sesamehall.core.turntiming import TURN_END_SHARE
from sesamehall.core.turntiming import TURN_LATE_MS
from sesamehall.core.turntiming import TURN_LOAD_DECAY_MS
from sesamehall.core.turntiming import TURN_RESUME_MS
from sesamehall.reducer.machines.turns import interval_ms
from sesamehall.reducer.machines.turns import load_at
from sesamehall.reducer.machines.turns import next_turn
from sesamehall.reducer.machines.turns import smooth_peak


def add_job(
    turns: TurnHistory, queue: str, core_ms: float, path_ms: int, at_ms: int
) -> TurnHistory:
    """Add an arriving job to the load of its queue.

    Args:
      turns: What was learnt so far.
      queue: Name of the job's queue.
      core_ms: Declared processor time of the job, in core-milliseconds.
      path_ms: Declared run time of its critical path.
      at_ms: Current time on the node's clock.
    Returns:
      What is known with the job.
    """
    old = load_at(turns, queue, at_ms)
    seen = min(old.seen + 1, PATH_JOBS)
    load = QueueLoad(
        core_ms_per_s=old.core_ms_per_s + core_ms * 1_000 / TURN_LOAD_DECAY_MS,
        jobs=old.jobs + 1,
        path_ms=old.path_ms + (path_ms - old.path_ms) / seen,
        seen=seen,
        at_ms=at_ms,
    )
    loads = turns.loads_by_queue.set(queue, load)
    turn = turns.current
    if turn is not None:
        turn = _add_work(turn, queue, core_ms, load)
    return replace(turns, loads_by_queue=loads, current=turn)


def _add_work(turn, queue, core_ms, load):
    """Add the work of a job to the current turn."""
    if queue != turn.queue:
        return replace(turn, other_core_ms=turn.other_core_ms + core_ms)
    age_ms = load.at_ms - turn.began_ms
    return replace(
        turn,
        peak_core_ms_per_s=max(turn.peak_core_ms_per_s, load.core_ms_per_s),
        core_ms=turn.core_ms + core_ms,
        weighted_age_ms=turn.weighted_age_ms + core_ms * age_ms,
    )


def advance_turns(turns: TurnHistory, at_ms: int) -> TurnHistory:
    """Begin, end and expect turns by the loads of the queues.

    Args:
      turns: What was learnt.
      at_ms: Current time on the node's clock.
    Returns:
      What is known now.
    """
    if not turns.loads_by_queue:
        return turns
    beginning = _beginning_queue(turns, at_ms)
    if beginning is not None:
        turns = _begin_turn(_end_turn(turns, at_ms), beginning, at_ms)
    elif turns.current is not None and _is_over(turns, at_ms):
        turns = _end_turn(turns, at_ms)
    if turns.expected is None:
        return _expect_turn(turns, at_ms)
    return _check_expected(turns, at_ms)


def _beginning_queue(turns, at_ms):
    """Find the queue whose turn begins now, or None.

    It is the one with the most work, or one whose turn is expected, which may
    begin while the work of the turn before is not yet at its end.
    """
    loads = {
        queue: load_at(turns, queue, at_ms) for queue in turns.loads_by_queue
    }
    lowest_peak = _lowest_peak(turns)
    expected = turns.expected
    if expected is not None and not expected.missed:
        for queue in expected.queues:
            load = loads.get(queue, QueueLoad())
            least = EXPECTED_BEGIN_SHARE * lowest_peak
            if _may_begin(turns, queue, load, least):
                return queue
    leading = max(sorted(loads), key=lambda name: loads[name].core_ms_per_s)
    least = TURN_BEGIN_SHARE * lowest_peak
    if not _may_begin(turns, leading, loads[leading], least):
        return None
    return None if _has_just_passed(turns, leading, at_ms) else leading


def _lowest_peak(turns):
    """Return the lowest peak of the turns so far, or 0 before the first."""
    peaks = [smooth_peak(turn) for turn in turns.past]
    if not peaks and turns.current is not None:
        peaks = [turns.current.peak_core_ms_per_s]
    return min(peaks, default=0.0)


def _may_begin(turns, queue, load, least):
    """Check whether a queue without the turn has the load for one."""
    if turns.current is not None and turns.current.queue == queue:
        return False
    return load.jobs >= MIN_TURN_JOBS and load.core_ms_per_s >= least


def _has_just_passed(turns, queue, at_ms):
    """Check whether the rest of a turn still exceeds the turn after it."""
    if turns.current is None or not turns.past:
        return False
    latest = turns.past[-1]
    return (
        latest.queue == queue and at_ms - turns.current.began_ms < MIN_TURN_MS
    )


def _begin_turn(turns, queue, at_ms):
    """Begin the turn of a queue, or resume it after a short interruption."""
    latest = turns.past[-1] if turns.past else None
    resumed = (
        latest is not None
        and latest.queue == queue
        and at_ms - latest.ended_ms < TURN_RESUME_MS
    )
    if resumed:
        turn = replace(latest, ended_ms=-1)
        return replace(turns, current=turn, past=turns.past[:-1])
    load = load_at(turns, queue, at_ms).core_ms_per_s
    turn = Turn(queue, at_ms, peak_core_ms_per_s=load)
    return _judge_expected(replace(turns, current=turn, begun=turns.begun + 1))


def _judge_expected(turns):
    """Judge by the turn that has begun whether one was expected.

    A turn of another queue than expected begins an order that is learnt.
    """
    expected = turns.expected
    if expected is None or turns.current.queue == expected.after:
        return turns
    turns = replace(turns, expected=None)
    if expected.missed:
        return turns
    return replace(turns, confidence=(turns.confidence + 1) / 2)


def _is_over(turns, at_ms):
    """Check whether little of the current turn's load is left."""
    turn = turns.current
    load = load_at(turns, turn.queue, at_ms)
    return load.core_ms_per_s < TURN_END_SHARE * turn.peak_core_ms_per_s


def _end_turn(turns, at_ms):
    """End the current turn, if any, and remember it if it counts."""
    turn = turns.current
    if turn is None:
        return turns
    past = turns.past
    if _counts(turn, at_ms):
        past = (past + (replace(turn, ended_ms=at_ms),))[-PAST_TURNS:]
    return replace(turns, current=None, past=past)


def _counts(turn, at_ms):
    """Check that a turn that ends was neither short nor chance."""
    all_core_ms = turn.core_ms + turn.other_core_ms
    return (
        at_ms - turn.began_ms >= MIN_TURN_MS
        and turn.core_ms > 0
        and turn.core_ms >= MIN_TURN_WORK_SHARE * all_core_ms
    )


def _expect_turn(turns, at_ms):
    """Expect the next turn once it is about to begin."""
    turn = turns.current
    if turn is None:
        return turns
    interval = interval_ms(turns)
    if interval is not None:
        begins_ms = turn.began_ms + interval
        if at_ms < begins_ms - PREPARE_MS:
            return turns
    else:
        load = load_at(turns, turn.queue, at_ms)
        decline = TURN_DECLINE_SHARE * turn.peak_core_ms_per_s
        young = at_ms - turn.began_ms < MIN_TURN_MS
        if young or load.core_ms_per_s >= decline:
            return turns
        begins_ms = at_ms
    return replace(turns, expected=next_turn(turns, begins_ms))


def _check_expected(turns, at_ms):
    """Give up an expectation that did not come true in time."""
    expected = turns.expected
    if expected.missed or at_ms - expected.begins_ms <= TURN_LATE_MS:
        return turns
    missed = replace(expected, missed=True)
    return replace(turns, expected=missed, confidence=turns.confidence / 2)
