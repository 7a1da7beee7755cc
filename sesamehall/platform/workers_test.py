"""Tests of what workers' answers tell."""

import pytest

from sesamehall.platform.http import Answer
from sesamehall.platform.workers import decode_clock_ms


@pytest.mark.parametrize(
    ("status", "body", "clock_ms"),
    [
        (200, b'{"ClockMs":482113}', 482_113),
        (200, b"", -1),
        (200, b"ok", -1),
        (200, b'{"ClockMs":"soon"}', -1),
        (409, b'{"ClockMs":482113,"Reason":"room"}', -1),
        (503, b"unhealthy", -1),
    ],
)
def test_clock_of_an_answer_to_an_order(status, body, clock_ms):
    """A body that cannot be read must not make an answer a silence."""
    assert decode_clock_ms(Answer(status, body)) == clock_ms
