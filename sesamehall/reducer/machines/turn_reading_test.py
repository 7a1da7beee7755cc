"""Tests of how nodes learn about turns, and of what the leader logs."""

from immutables import Map
import pytest

from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.logevents import TURN_BEGAN
from sesamehall.core.logevents import TURN_ENDED
from sesamehall.core.logevents import TURN_EXPECTED
from sesamehall.core.logevents import TURN_MISSED
from sesamehall.core.managerstate import Term
from sesamehall.core.replacing import replace
from sesamehall.core.turnstate import ExpectedTurn
from sesamehall.core.turnstate import QueueLoad
from sesamehall.core.turnstate import Turn
from sesamehall.core.turnstate import TurnHistory
from sesamehall.reducer.jobs.leadership import end_term
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_step
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import details_of
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.jobs.testing import read_records
from sesamehall.reducer.machines.turn_logging import log_turns

TURN = Turn("quotes", NOW_MS - 4_000, peak_core_ms_per_s=2_000)
ENDED = replace(TURN, ended_ms=NOW_MS, core_ms=8_000)
NEXT = ExpectedTurn("quotes", ("quotes",), NOW_MS + 500, 1.0)


@pytest.mark.parametrize(
    ("epoch", "step", "whole", "seen"),
    [
        (1, build_step(), False, 1),
        (0, build_step(), False, 1),
        (0, build_step(), True, 0),
        (0, build_step(long_running=True), False, 0),
    ],
    ids=["leader", "follower", "first read", "long-running"],
)
def test_every_node_learns_from_jobs(epoch, step, whole, seen):
    """The first read of a node holds jobs that arrived at any time."""
    term = Term(epoch, began_ms=NOW_MS, confirmed_ms=NOW_MS)
    manager = build_leader(build_worker("w1"), term=term)
    record = StoredRecord("job", build_plan(step))
    manager = read_records(manager, Stream.JOBS, record, covers_all_keys=whole)
    load = manager.turns.loads_by_queue.get("quotes", QueueLoad())
    assert load.seen == seen


def test_turns_outlive_a_term():
    turns = TurnHistory(past=(ENDED,))
    manager = build_leader(build_worker("w1"), turns=turns)
    assert end_term(manager, "test", NOW_MS).state.turns == turns


@pytest.mark.parametrize(
    ("logged", "turns", "events"),
    [
        (None, {}, []),
        (None, {"current": TURN}, [TURN_BEGAN]),
        (TURN, {"current": TURN, "expected": NEXT}, [TURN_EXPECTED]),
        (
            TURN,
            {"current": TURN, "expected": replace(NEXT, missed=True)},
            [TURN_MISSED],
        ),
        (TURN, {"past": (ENDED,)}, [TURN_ENDED]),
        (
            TURN,
            {"current": replace(TURN, began_ms=NOW_MS), "past": (ENDED,)},
            [TURN_ENDED, TURN_BEGAN],
        ),
    ],
    ids=["nothing", "began", "expected", "missed", "ended", "followed"],
)
def test_lines_once_for_each_change(logged, turns, events):
    loads = Map(quotes=QueueLoad(1_000, 3, 500, 3, NOW_MS))
    manager = build_leader(
        build_worker("w1"), turns=TurnHistory(loads, **turns)
    )
    fleet = replace(manager.fleet, logged_turn=logged)
    step = log_turns(replace(manager, fleet=fleet), NOW_MS)
    for event in (TURN_BEGAN, TURN_ENDED, TURN_EXPECTED, TURN_MISSED):
        assert len(details_of(step, event)) == events.count(event)
    assert not log_turns(step.state, NOW_MS).effects
