"""Tests of the tables of benchmark runs."""

import pytest

from bench.measures import price_table
from bench.measures import read_runs
from bench.measures import worth_table


def entry(at, score=0.5, cmd="score", **day):
    """Build a journal entry with one day."""
    row = {
        "name": "quiet-1",
        "G": 0.6,
        "served": 0.9,
        "top": 0.7,
        "prices": [
            ["seconds of machines in pools", 800.4, 0.21],
            ["machines moved", 150.0, 0.04],
        ],
        "rules": {},
        **day,
    }
    return {
        "cmd": cmd,
        "site": "site",
        "at": [at, at],
        "head": "0123456789",
        "score": score,
        "days": [row],
    }


EARLY = entry("2026-12-04T12:06:59Z", rules={"TWICE": 2})
LATE = entry("2026-12-04T13:30:31Z", G=0.65)


@pytest.mark.parametrize(
    ("entries", "times"),
    [
        ([LATE, EARLY], ["12:06", "13:30"]),
        ([entry("2026-12-04T12:06:59Z", score=None)], []),
        ([entry("2026-12-04T12:06:59Z", cmd="hunt")], []),
    ],
    ids=["in order", "not finished", "no score"],
)
def test_only_complete_runs_are_read(entries, times):
    assert [one.at[11:16] for one in read_runs(entries)] == times


def test_worth_table():
    assert worth_table(read_runs([EARLY, LATE]))[2:] == [
        "| upper mark |  |  | 0.700 |",
        "| 12-04 12:06 | 0123456 | 0.500 | 0.600 (TWICE) |",
        "| 12-04 13:30 | 0123456 | 0.500 | 0.650 |",
    ]


def test_price_table():
    (benchmark_run,) = read_runs([LATE])
    assert price_table(benchmark_run)[2:] == [
        "| quiet-1 | 0.900 | 800 | 0.210 | 150 | 0 |"
    ]
