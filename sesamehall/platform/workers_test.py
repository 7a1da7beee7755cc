"""Tests of what workers' answers tell."""

from concurrent.futures import ThreadPoolExecutor

import pytest

from sesamehall.core.managereffects import StartRun
from sesamehall.core.managerevents import OrderRefusal
from sesamehall.platform.http import HttpResponse
from sesamehall.platform.workers import decode_clock_ms
from sesamehall.platform.workers import WorkerLine
from sesamehall.runtime.interpreter import now_ms


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
    assert decode_clock_ms(HttpResponse(status, body)) == clock_ms


# Guards against a leader that spends its threads on orders that no worker
# would carry out any more.
@pytest.mark.parametrize(
    ("left_ms", "expected"),
    [(0, OrderRefusal.NOT_SENT), (60_000, OrderRefusal.SILENT)],
    ids=["void", "valid, and nobody answers"],
)
def test_void_order_is_not_sent(left_ms, expected):
    events = []
    with ThreadPoolExecutor(1) as executor:
        line = WorkerLine("w1", "127.0.0.1:1", events.append, executor)
        order = StartRun(
            worker_id="w1",
            address="127.0.0.1:1",
            epoch=1,
            task="t",
            number=1,
            command="spec",
            lease_until_ms=0,
            not_after_ms=now_ms() + left_ms,
            checkpoint="",
        )
        line.order(order)
    line.close()
    assert [event.refusal for event in events] == [expected]
