"""Loads that are forecast from the turns that a node has seen."""

from sesamehall.core.fleettiming import MACHINE_JOIN_MS
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.turntiming import FIRST_TURN_HOLD_MS
from sesamehall.core.turntiming import FORECAST_LEAD_MS
from sesamehall.core.turntiming import PATH_JOBS_MIN
from sesamehall.core.turntiming import PREPARE_GAIN
from sesamehall.core.turntiming import TURN_GROWTH_LIMIT
from sesamehall.core.turntiming import TURN_LATE_MS
from sesamehall.core.turntiming import TURN_LOAD_DECAY_MS
from sesamehall.core.workstate import Durations
from sesamehall.reducer.jobs.durations import AVERAGED_TASKS
from sesamehall.reducer.jobs.durations import duration_ratio
from sesamehall.reducer.machines.turns import has_turns
from sesamehall.reducer.machines.turns import load_at
from sesamehall.reducer.machines.turns import peak_of
from sesamehall.reducer.machines.turns import rise_ms


def forecast_load(manager: ManagerState, pool: str, at_ms: int) -> float:
    """Forecast the load of a pool for which machines should be ordered now.

    Args:
      manager: State of the leader.
      pool: Name of the pool.
      at_ms: Current time on the node's clock.
    Returns:
      Core-milliseconds per second; 0 unless demand comes by turns.
    """
    if not has_turns(manager.turns, at_ms):
        return 0.0
    return sum(
        _run_time_ratio(manager, name) * _queue_load(manager, name, at_ms)
        for name in manager.turns.loads_by_queue
        if _pool_of(manager, name) == pool
    )


def _pool_of(manager, queue):
    """Return the pool of a queue, or "" if the manifest does not name it."""
    entry = manager.manifest.queues_by_name.get(queue)
    return "" if entry is None else entry.pool


def _run_time_ratio(manager, queue):
    """Estimate measured divided by declared run times of a queue's tasks.

    The first few tasks of a turn that have ended are not representative, so
    the ratio is 1 without tasks, and the measured one after many.
    """
    count = manager.durations_by_queue.get(queue, Durations()).count
    weight = count / (count + AVERAGED_TASKS)
    return 1 + weight * (duration_ratio(manager, queue) - 1)


def _queue_load(manager, queue, at_ms):
    """Forecast the load of a queue for which machines should be ordered.

    Jobs that can wait longer need machines later.
    """
    turns = manager.turns
    if turns.loads_by_queue[queue].seen < PATH_JOBS_MIN:
        return 0.0
    lead_ms = max(FORECAST_LEAD_MS - start_slack_ms(manager, queue), 0)
    return max(
        _rising_load(turns, queue, lead_ms, at_ms),
        _prepared_load(turns, queue, lead_ms, at_ms),
    )


def _rising_load(turns, queue, lead_ms, at_ms):
    """Forecast the load of a turn that has begun until its peak is due.

    The forecast lies on a line from the beginning to the peak, and is limited
    to a multiple of the load that was seen.
    """
    turn = turns.current
    if turn is None or turn.queue != queue:
        return 0.0
    age_ms = at_ms - turn.began_ms
    if age_ms > rise_ms(turns):
        return 0.0
    seen = load_at(turns, queue, at_ms).core_ms_per_s
    return min(
        _load_at_age(turns, queue, age_ms + lead_ms), TURN_GROWTH_LIMIT * seen
    )


def _load_at_age(turns, queue, age_ms):
    """Forecast the load of a turn at some time after its beginning."""
    # The beginning of a turn is seen about this late.
    share = age_ms / (rise_ms(turns) + TURN_LOAD_DECAY_MS)
    return min(share, 1.0) * peak_of(turns, queue)


def _prepared_load(turns, queue, lead_ms, at_ms):
    """Forecast the load of a turn before machines ordered for it join."""
    chance = _turn_chance(turns, queue, at_ms)
    weight = min(PREPARE_GAIN * turns.confidence * chance, 1.0)
    return weight * _load_at_age(turns, queue, lead_ms) if weight else 0.0


def _turn_chance(turns, queue, at_ms):
    """Estimate the probability that a queue's turn begins or has begun."""
    expected = turns.expected
    if expected is not None:
        if queue in expected.queues and not expected.missed:
            return expected.chance
    turn = turns.current
    if turn is None or turn.queue != queue:
        return 0.0
    return 1.0 if at_ms - turn.began_ms < MACHINE_JOIN_MS else 0.0


def start_slack_ms(manager: ManagerState, queue: str) -> float:
    """Compute how long a queue's jobs can wait for machines on average.

    Args:
      manager: State of the leader.
      queue: Name of a queue that had jobs.
    Returns:
      Time from the arrival to the latest start by which a job meets its goal,
      in milliseconds; 0 if the manifest does not name the queue.
    """
    entry = manager.manifest.queues_by_name.get(queue)
    if entry is None:
        return 0.0
    path_ms = manager.turns.loads_by_queue[queue].path_ms
    path_ms *= _run_time_ratio(manager, queue)
    return (entry.stretch - 1) * path_ms + entry.slack_ms


def is_rising(manager: ManagerState, pool: str, at_ms: int) -> bool:
    """Check whether a pool has the current turn, before its highest load.

    Args:
      manager: State of the leader.
      pool: Name of the pool.
      at_ms: Current time on the node's clock.
    Returns:
      True until the highest load is due; False unless demand comes by turns.
    """
    turns = manager.turns
    turn = turns.current
    if turn is None or not has_turns(turns, at_ms):
        return False
    has_turn = _pool_of(manager, turn.queue) == pool
    return has_turn and at_ms - turn.began_ms <= rise_ms(turns)


def ended_turn_pool(manager: ManagerState, at_ms: int) -> str:
    """Return the pool whose turn has just ended.

    Args:
      manager: State of the leader.
      at_ms: Current time on the node's clock.
    Returns:
      Name of the pool, or "" if there is none.
    """
    if not manager.turns.past:
        return ""
    latest = manager.turns.past[-1]
    if at_ms - latest.ended_ms > TURN_LATE_MS:
        return ""
    return _pool_of(manager, latest.queue)


def is_first_turn(manager: ManagerState, pool: str, at_ms: int) -> bool:
    """Check whether a pool has the first turn that this node has seen.

    Its height is unknown.

    Args:
      manager: State of the leader.
      pool: Name of the pool.
      at_ms: Current time on the node's clock.
    Returns:
      True for some time after the beginning.
    """
    turns = manager.turns
    if turns.current is None or turns.begun != 1:
        return False
    if at_ms - turns.current.began_ms >= FIRST_TURN_HOLD_MS:
        return False
    return _pool_of(manager, turns.current.queue) == pool
