"""Tests that the catalogues in docs/ match the code."""

from pathlib import Path
import re

import pytest

from sesamehall.core.codes import RESULT_CODES
from sesamehall.core.logevents import LOG_EVENTS

DOCS = Path(__file__).parents[2] / "docs"


def read_rows(name, columns):
    """Read the table rows of a page that begin with a number."""
    text = (DOCS / name).read_text()
    rows = []
    for line in text.splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if re.fullmatch(r"\d+", cells[0]) and len(cells) == columns:
            rows.append(tuple(cells))
    return rows


CODE_ROWS = [
    (
        str(code.number),
        code.name,
        code.outcome.value,
        str(code.http_status or "the target's"),
        code.advice,
    )
    for code in RESULT_CODES
]
EVENT_ROWS = [
    (
        str(event.number),
        event.name,
        {20: "info", 30: "warning", 40: "error"}[event.level],
        event.action,
    )
    for event in LOG_EVENTS
]


@pytest.mark.parametrize(
    ("page", "rows"),
    [("ERRORS.md", CODE_ROWS), ("EVENTS.md", EVENT_ROWS)],
)
def test_page_equals_code(page, rows):
    assert read_rows(page, len(rows[0])) == rows


@pytest.mark.parametrize("rows", [CODE_ROWS, EVENT_ROWS])
def test_numbers_are_unique(rows):
    numbers = [row[0] for row in rows]
    assert len(numbers) == len(set(numbers))


@pytest.mark.parametrize("code", RESULT_CODES, ids=lambda code: code.name)
def test_first_digit_gives_outcome(code):
    digit = {"ran": 1, "not run": 2, "unknown": 3}[code.outcome.value]
    assert code.number // 1000 == digit
