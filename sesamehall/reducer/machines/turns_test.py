"""Tests of what is learnt from patterns of arrivals.

Each pattern is a list of turns: queue, beginning and length in seconds, and
the highest rate in jobs per second, reached in the middle of the turn.
"""

from random import Random

import pytest

from sesamehall.core.turnstate import TurnHistory
from sesamehall.reducer.machines.turn_tracking import add_job
from sesamehall.reducer.machines.turn_tracking import advance_turns
from sesamehall.reducer.machines.turns import has_turns
from sesamehall.reducer.machines.turns import interval_ms
from sesamehall.reducer.machines.turns import load_at
from sesamehall.reducer.machines.turns import peak_of
from sesamehall.reducer.machines.turns import rise_ms

STEP_MS = 100
CORE_MS = 1_000
QUIET_JOBS_PER_S = 0.5
QUEUES = "abcd"


def rate_of(pattern, queue, at_s):
    """Return the rate of a queue at a time, in jobs per second."""
    rate = QUIET_JOBS_PER_S
    for name, begin_s, length_s, peak in pattern:
        if name == queue and begin_s <= at_s < begin_s + length_s:
            from_middle = abs(at_s - begin_s - length_s / 2)
            rate += peak * (1 - from_middle / (length_s / 2))
    return rate


def play(pattern, end_s, seed=None):
    """Yield what is known after each STEP_MS of a pattern.

    Arrivals are spread evenly, or at random with a seed.
    """
    turns = TurnHistory()
    random = Random(seed)
    due = dict.fromkeys(QUEUES, 0.5)
    for at_ms in range(0, int(end_s * 1_000), STEP_MS):
        for queue in QUEUES:
            due[queue] += rate_of(pattern, queue, at_ms / 1_000) / 10
            while due[queue] >= 1:
                due[queue] -= 1 if seed is None else random.expovariate(1)
                turns = add_job(turns, queue, CORE_MS, 500, at_ms)
        turns = advance_turns(turns, at_ms)
        yield at_ms, turns


def rotate(order, count, length_s=8, peak=40):
    """Build contiguous turns in a repeated order."""
    return [
        (order[number % len(order)], number * length_s, length_s, peak)
        for number in range(count)
    ]


def last_of(pattern, end_s, seed=None):
    """Return what is known at the end of a pattern."""
    *_, (_, turns) = play(pattern, end_s, seed)
    return turns


@pytest.mark.parametrize("seed", [None, 1, 2, 3])
def test_contiguous_turns(seed):
    """From the second rotation on, each turn is expected before it begins."""
    began = []
    expected_queues = ()
    for at_ms, turns in play(rotate(QUEUES, 9), 70, seed):
        if turns.expected is not None and not turns.expected.missed:
            expected_queues = turns.expected.queues
        turn = turns.current
        if turn is not None and turn.began_ms == at_ms:
            began.append((turn.queue, at_ms, expected_queues))
    assert [queue for queue, _, _ in began] == list("abcdabcda")
    for number, (queue, at_ms, expected_queues) in enumerate(began):
        assert 0 <= at_ms - 8_000 * number <= 2_000
        if number:
            assert queue in expected_queues
        if number > 4:
            assert expected_queues == (queue,)


@pytest.mark.parametrize(
    ("pattern", "end_s", "queues"),
    [
        (rotate("abcd", 1), 7.6, ("b", "c", "d")),
        (rotate("abcd", 2), 15, ("c", "d")),
        (rotate("abcd", 3), 23, ("d",)),
        (rotate("abcd", 4), 31, ("a",)),
        (rotate("abcd", 4) + [("c", 32, 8, 40)], 39, ("d",)),
        (rotate("abcd", 5) + [("c", 40, 8, 40), ("a", 48, 8, 40)], 55, "c"),
    ],
    ids=[
        "three had none",
        "two had none",
        "one had none",
        "the longest ago",
        "order known from the first rotation",
        "changed order",
    ],
)
def test_next_turn(pattern, end_s, queues):
    assert last_of(pattern, end_s).expected.queues == tuple(queues)


def test_turn_that_fails_to_come():
    turns = last_of(rotate("abcd", 2), 22)
    assert turns.expected.missed
    assert turns.confidence == 0.5
    late = last_of(rotate("abcd", 2) + [("c", 23, 8, 40)], 28)
    assert late.current.queue == "c"
    assert late.expected is None


def test_turn_twice_as_high():
    before = last_of(rotate("abcd", 4), 31)
    after = last_of(rotate("abcd", 4) + [("a", 32, 8, 80)], 42)
    assert peak_of(after, "a") > 1.5 * peak_of(before, "a")
    assert peak_of(after, "b") == peak_of(before, "b")


def test_period_that_drifts():
    """Expected beginnings stay within a second and a half of the real ones."""
    lengths_s = [8, 8.5, 9, 9.5, 10, 10.5, 11, 11.5]
    begins_s = [sum(lengths_s[:number]) for number in range(8)]
    pattern = [
        (QUEUES[number % 4], begins_s[number], lengths_s[number], 40)
        for number in range(8)
    ]
    turns = last_of(pattern, sum(lengths_s) - 2)
    assert abs(interval_ms(turns) - 1_000 * lengths_s[-1]) <= 1_500
    assert 2_500 <= rise_ms(turns) <= 6_000


STEADY = [(queue, -1_000, 2_200, 8) for queue in QUEUES]


@pytest.mark.parametrize(
    "pattern",
    [STEADY, STEADY[:1], STEADY[:2], []],
    ids=["four steady queues", "one", "two", "few jobs"],
)
@pytest.mark.parametrize("seed", range(5))
def test_noise_without_turns(pattern, seed):
    """No turn counts, so that pools are sized and moved as without turns."""
    assert last_of(pattern, 120, seed).past == ()


def test_chance_does_not_interrupt_a_turn():
    """A few jobs of another queue while the load of the turn declines."""
    pattern = rotate("abcd", 2) + [("d", 15.4, 0.4, 30)]
    turns = last_of(pattern + [("c", 16, 8, 40)], 22)
    assert [turn.queue for turn in turns.past][:2] == ["a", "b"]
    assert turns.current.queue == "c"


@pytest.mark.parametrize("core_ms", [0, CORE_MS])
def test_turn_without_work_does_not_count(core_ms):
    """Jobs of no size, or a few that a node reads late, all at once."""
    turns = TurnHistory()
    for at_ms in (0, 0, 0, 10_000, 20_000):
        turns = add_job(turns, "a", core_ms, 500, at_ms)
        turns = advance_turns(turns, at_ms)
    assert turns.begun and not turns.past


@pytest.mark.parametrize(("after_s", "has"), [(0, True), (61, False)])
def test_turns_that_have_ceased(after_s, has):
    turns = last_of(rotate("abcd", 4), 36)
    assert has_turns(turns, (36 + after_s) * 1_000) == has


def test_load_decays():
    turns = add_job(TurnHistory(), "a", CORE_MS, 500, 0)
    assert load_at(turns, "a", 0).core_ms_per_s == CORE_MS
    assert load_at(turns, "a", 3_000).core_ms_per_s < 0.05 * CORE_MS
    assert load_at(turns, "b", 0).core_ms_per_s == 0
