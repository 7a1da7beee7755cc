"""Differential test of the division of a pool, against filling in steps."""

from random import Random

import pytest

from sesamehall.core.shares import ResourceShares
from sesamehall.reducer.jobs.progressive_filling import divide_pool
from sesamehall.reducer.jobs.progressive_filling import RESOURCES

STEP = 1e-4  # dominant share per weight that the oracle adds at a time


def fill_in_steps(asked_by_team, weight_by_team):
    """Give each team a little by its weight until nothing more fits."""
    fair = dict.fromkeys(asked_by_team, 0.0)
    free = dict.fromkeys(RESOURCES, 1.0)
    rising = set(asked_by_team)
    while rising:
        for team in sorted(rising):
            asked = asked_by_team[team]
            step = weight_by_team[team] * STEP
            step = min(step, asked.dominant - fair[team])
            needs = {
                name: step * getattr(asked, name) / asked.dominant
                for name in RESOURCES
            }
            if step <= 0 or any(needs[name] > free[name] for name in needs):
                rising.discard(team)
                continue
            fair[team] += step
            for name, need in needs.items():
                free[name] -= need
    return fair


@pytest.mark.parametrize("seed", range(20))
def test_division_equals_filling_in_steps(seed):
    """Teams ask for different resources, some for less than their share."""
    random = Random(seed)
    teams = [f"t{number}" for number in range(random.randint(2, 12))]
    weights = {team: random.choice((1, 2, 5)) / 5 for team in teams}
    asked = {
        team: ResourceShares(
            random.uniform(0.01, 1.5),
            random.uniform(0.0, 0.8),
            random.choice((0.0, 0.0, random.uniform(0.0, 2.0))),
        )
        for team in teams
    }
    expected = fill_in_steps(asked, weights)
    divided = divide_pool(asked, weights)
    assert divided == pytest.approx(expected, abs=0.002)


@pytest.mark.parametrize(
    ("pattern", "asked", "weights", "expected"),
    [
        ("room for all", [0.4, 0.5], [1, 9], [0.4, 0.5]),
        (
            "one floods: the other gets all it asks",
            [7.5, 0.3],
            [1, 1],
            [0.7, 0.3],
        ),
        (
            "all flood: by weight",
            [5.0, 5.0, 5.0],
            [1, 1, 2],
            [0.25, 0.25, 0.5],
        ),
        (
            "unused share goes on by weight",
            [0.1, 5, 5],
            [8, 1, 2],
            [0.1, 0.3, 0.6],
        ),
        ("nothing asked", [0.0, 2.0], [1, 1], [0.0, 1.0]),
        ("huge and tiny weights", [2.0, 2.0], [1e6, 1e-3], [1.0, 1e-9]),
    ],
)
def test_division_by_processor_time(pattern, asked, weights, expected):
    shares = {str(i): ResourceShares(part) for i, part in enumerate(asked)}
    divided = divide_pool(shares, dict(zip("0123", weights, strict=False)))
    assert list(divided.values()) == pytest.approx(expected, abs=1e-6)


@pytest.mark.parametrize("seed", [42, 128, 144, 145])
def test_division_ends_with_large_weights(seed):
    """Rounding errors of large weights do not count as use of a resource."""
    random = Random(seed)
    asked = {}
    weights = {}
    for number in range(random.randint(2, 30)):
        parts = [
            random.choice(
                (0.0, random.uniform(0, 2), random.uniform(0, 0.001))
            )
            for _ in RESOURCES
        ]
        asked[f"t{number}"] = ResourceShares(*parts)
        weights[f"t{number}"] = random.choice(
            (0.001, 1.0, 1e6, random.uniform(0.001, 1e6))
        )
    divided = divide_pool(asked, weights)
    for resource in RESOURCES:
        used = sum(
            divided[team] * getattr(parts, resource) / parts.dominant
            for team, parts in asked.items()
            if parts.dominant
        )
        assert used <= 1 + 1e-6
    assert all(divided[team] <= asked[team].dominant + 1e-9 for team in asked)
