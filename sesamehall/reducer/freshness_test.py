"""Tests of when keys are accepted: log outages and partitions."""

from immutables import Map
import pytest

from sesamehall.core.data import Node
from sesamehall.core.data import NodeKind
from sesamehall.core.effects import Dispatch
from sesamehall.core.events import MessageReceived
from sesamehall.core.events import PeerConnected
from sesamehall.core.events import RequestReceived
from sesamehall.core.messages import Heartbeat
from sesamehall.core.messages import Hello
from sesamehall.core.replacing import replace
from sesamehall.reducer.testing import build_entry_state
from sesamehall.reducer.testing import build_request
from sesamehall.reducer.testing import reduce_all

NODES = Map(
    near=Node("near", NodeKind.STEWARD, "north", ""),
    far=Node("far", NodeKind.STEWARD, "south", ""),
)
NOW_MS = 100_000


def receive_heartbeat(name, at_ms, age_ms, next_offset=10):
    """Build the events of a steward that connects and sends a heartbeat."""
    hello = Hello(name, NodeKind.STEWARD, f"{name}:1", 1, 1)
    return [
        PeerConnected(at_ms, name),
        MessageReceived(at_ms, name, hello),
        MessageReceived(at_ms, name, Heartbeat(next_offset, age_ms)),
    ]


@pytest.mark.parametrize(
    ("heartbeats", "key", "accepted"),
    [
        ([("near", NOW_MS, 0)], True, True),
        ([("far", NOW_MS, 0)], True, True),
        ([("near", NOW_MS, 4_000)], True, True),
        ([("near", NOW_MS, 4_001)], True, False),
        ([("near", NOW_MS, -1)], True, False),
        ([("near", NOW_MS, 0, 11)], True, False),
        ([("near", NOW_MS, 9_000), ("far", NOW_MS, 9_000)], True, True),
        ([("near", NOW_MS, -1), ("far", NOW_MS, -1)], True, True),
        (
            [("near", NOW_MS, 9_000), ("far", NOW_MS - 4_001, 9_000)],
            True,
            False,
        ),
        # Only this entry is behind; record 10 may withdraw the key.
        ([("near", NOW_MS, 0, 11), ("far", NOW_MS, 0, 11)], True, False),
        ([("near", NOW_MS, 0, 11), ("far", NOW_MS, 9_000, 11)], True, False),
        (
            [("near", NOW_MS, 9_000, 11), ("far", NOW_MS, 9_000, 11)],
            True,
            True,
        ),
        ([], True, False),
        ([], False, True),
        ([("near", NOW_MS, 9_000)], False, True),
    ],
)
def test_keys_are_accepted_while_withdrawals_are_known(
    heartbeats, key, accepted
):
    state = build_entry_state()
    identity = replace(state.identity, peers_by_name=NODES)
    state = replace(state, identity=identity, peers_by_name=Map())
    for heartbeat in heartbeats:
        state, _ = reduce_all(state, *receive_heartbeat(*heartbeat))
    request = build_request("r", deadline_ms=NOW_MS + 1_000)
    if not key:
        request = replace(request, key=None, service="forms")
    _, effects = reduce_all(state, RequestReceived(NOW_MS, request))
    assert any(isinstance(effect, Dispatch) for effect in effects) == accepted
