"""Tests of the turns at the advice service."""

import pytest

from sesamehall.reducer.jobs.advice_turns import AdviceCandidate
from sesamehall.reducer.jobs.advice_turns import AdviceUse
from sesamehall.reducer.jobs.advice_turns import choose_candidate
from sesamehall.reducer.jobs.advice_turns import Turn
from sesamehall.reducer.jobs.advice_turns import TURNS

RANK_TURN = TURNS.index(Turn.HIGHEST_RANK)
WAIT_TURN = TURNS.index(Turn.LONGEST_WAIT)
ROOM_TURN = TURNS.index(Turn.ROOM_MISSING)


def candidate(step, use=AdviceUse.START, **others):
    """Build a step that lacks a ticket for one worker."""
    fields = {
        "team": "guild",
        "rank": 0,
        "waiting_since_ms": 100,
        "requested": False,
        **others,
    }
    return AdviceCandidate(step, use=use, worker_ids=("w1",), **fields)


NO_ROOM = candidate("no room", AdviceUse.ROOM_MISSING)
CAPPED = candidate("capped", AdviceUse.AT_CEILING)
FIRST = candidate("first")
SECOND = candidate("second", rank=1, waiting_since_ms=50)
FAILED = candidate("failed", requested=True, waiting_since_ms=60)
OTHER_TEAM = candidate("other team", team="office", rank=7)
OTHER_POOL = candidate("other pool", waiting_since_ms=90)


@pytest.mark.parametrize(
    ("candidates", "turn", "chosen"),
    [
        ([], RANK_TURN, None),
        ([CAPPED], RANK_TURN, CAPPED),
        ([CAPPED, NO_ROOM], RANK_TURN, NO_ROOM),
        ([CAPPED, NO_ROOM, SECOND], RANK_TURN, SECOND),
        ([CAPPED, NO_ROOM, SECOND], WAIT_TURN, SECOND),
        ([CAPPED, NO_ROOM, SECOND], ROOM_TURN, NO_ROOM),
        ([CAPPED, SECOND], ROOM_TURN, SECOND),
        ([FIRST, SECOND], RANK_TURN, FIRST),
        ([FIRST, SECOND], WAIT_TURN, SECOND),
        ([FAILED, SECOND], RANK_TURN, SECOND),
        ([FAILED], RANK_TURN, FAILED),
        ([FIRST, SECOND, OTHER_TEAM], WAIT_TURN, OTHER_TEAM),
        ([FIRST, OTHER_POOL], RANK_TURN, OTHER_POOL),
    ],
    ids=[
        "nothing waits",
        "only a step at its ceiling",
        "room counts before a ceiling",
        "a step that can start, by rank",
        "a step that can start, by its wait",
        "a step without room has its turn",
        "a step at its ceiling has none",
        "rank",
        "wait",
        "one that failed has no turn by rank",
        "one that failed is requested again",
        "the team that was served longest ago",
        "of two pools the one that waits longer",
    ],
)
def test_step_that_is_requested_next(candidates, turn, chosen):
    assert choose_candidate(candidates, turn, {"guild": 10}) is chosen


def test_every_step_that_can_start_has_its_turn():
    """A step that never gets an answer takes no turn twice in a row."""
    waiting = {f"step {number}": -1 for number in range(5)}
    served = []
    for count in range(20):
        candidates = [
            candidate(
                name,
                rank=rank,
                requested=requested_ms >= 0,
                waiting_since_ms=max(requested_ms, 0),
            )
            for rank, (name, requested_ms) in enumerate(waiting.items())
        ]
        chosen = choose_candidate(candidates, count, {"guild": 0})
        waiting[chosen.step] = 100 + count
        served.append(chosen.step)
    assert sorted(served) == sorted(list(waiting) * 4)
