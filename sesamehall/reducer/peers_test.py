"""Tests of streams: Hello, unexpected messages, timeouts."""

import pytest

from sesamehall.core.data import NodeKind
from sesamehall.core.effects import Disconnect
from sesamehall.core.events import MessageReceived
from sesamehall.core.events import PeerConnected
from sesamehall.core.events import TimerFired
from sesamehall.core.limits import PEER_TIMEOUT_MS
from sesamehall.core.messages import ClaimsAsked
from sesamehall.core.messages import DrainReported
from sesamehall.core.messages import Follow
from sesamehall.core.messages import Heartbeat
from sesamehall.core.messages import Hello
from sesamehall.core.messages import NEWEST_FORMAT
from sesamehall.core.messages import OLDEST_FORMAT
from sesamehall.core.timers import BeatTimer
from sesamehall.reducer.testing import build_entry_state
from sesamehall.reducer.testing import build_steward
from sesamehall.reducer.testing import reduce_all


def build_hello(name="entry-a", kind=NodeKind.ENTRY, newest=NEWEST_FORMAT):
    return Hello(name, kind, f"{name}:2", newest, OLDEST_FORMAT)


def has_disconnect(effects):
    return any(isinstance(effect, Disconnect) for effect in effects)


@pytest.mark.parametrize(
    ("first_message", "refused"),
    [
        (build_hello(), False),
        (build_hello(newest=NEWEST_FORMAT + 1), False),
        (build_hello(newest=OLDEST_FORMAT - 1), True),
        (build_hello(kind=NodeKind.STEWARD), True),
        (build_hello("nobody"), True),
        (build_hello("steward-a", NodeKind.STEWARD), True),
        (Heartbeat(0), True),
    ],
)
def test_first_message_must_be_a_valid_hello(first_message, refused):
    state, effects = reduce_all(
        build_entry_state(),
        PeerConnected(0, "entry-a"),
        MessageReceived(0, "entry-a", first_message),
    )
    assert has_disconnect(effects) == refused
    known = state.peers_by_name["entry-a"].incarnation
    assert known == ("" if refused else "entry-a:2")


@pytest.mark.parametrize(
    ("build", "message", "refused"),
    [
        (build_entry_state, Follow(0), True),
        (build_entry_state, DrainReported("m", "x"), True),
        (build_steward, ClaimsAsked(), True),
        (build_steward, Follow(0), False),
    ],
)
def test_messages_for_another_kind_of_node_close_the_stream(
    build, message, refused
):
    event = MessageReceived(0, "entry-a", message)
    _, effects = reduce_all(build(), event)
    assert has_disconnect(effects) == refused


@pytest.mark.parametrize(
    ("at_ms", "closed"),
    [(PEER_TIMEOUT_MS, False), (PEER_TIMEOUT_MS + 1, True)],
)
def test_silent_streams_are_closed(at_ms, closed):
    _, effects = reduce_all(
        build_entry_state(), TimerFired(at_ms, BeatTimer())
    )
    assert has_disconnect(effects) == closed


def test_entries_request_claims_only_from_entries():
    _, effects = reduce_all(build_entry_state(), TimerFired(1, BeatTimer()))
    receivers = [
        effect.peer
        for effect in effects
        if isinstance(getattr(effect, "message", None), ClaimsAsked)
    ]
    assert receivers == ["entry-a"]
