"""Tests of the attempts that an entry sends to targets."""

from types import SimpleNamespace

import pytest

from sesamehall.core.events import Broken
from sesamehall.core.events import Completed
from sesamehall.runtime.callerfrontend import CallerFrontend
from sesamehall.runtime.targetclient import Exchange
from sesamehall.runtime.targetclient import ProxiedRequest

REQUEST = ProxiedRequest("GET", "/", (), b"")


# Guards against a team's place and a target's slot that stay charged: an
# attempt that raised was never answered.
@pytest.mark.parametrize(
    ("result", "outcome"),
    [
        (Exchange(Completed(200)), Completed(200)),
        (
            UnicodeError("label too long"),
            Broken("UnicodeError: label too long", False),
        ),
        (MemoryError(), Broken("MemoryError: ", False)),
    ],
    ids=["answered", "odd address", "no memory"],
)
def test_attempt_is_answered_whatever_it_raises(monkeypatch, result, outcome):
    events = []
    frontend = CallerFrontend(
        SimpleNamespace(body_limit_bytes=1), "e:1", events.append, None
    )

    def exchange(dispatch, request):
        if isinstance(result, Exception):
            raise result
        return result

    monkeypatch.setattr(frontend._targets, "exchange", exchange)
    dispatch = SimpleNamespace(request_id="r", attempt=1)
    frontend._send_attempt(dispatch, REQUEST)
    (event,) = events
    assert (event.request_id, event.outcome) == ("r", outcome)
