"""Tests of orders for machines, with a stand-in for the cloud API's client."""

import json
from queue import SimpleQueue

import pytest

from sesamehall.core.managereffects import MaintainMachine
from sesamehall.core.managereffects import MoveMachine
from sesamehall.core.managereffects import RevokeOrders
from sesamehall.core.replacing import replace
from sesamehall.platform.http import HttpResponse
from sesamehall.platform.machines import MachineEffectHandler
from sesamehall.runtime.interpreter import now_ms

WAIT_S = 5


class RecordingClient:
    """A client of a cloud API that accepts every order."""

    def __init__(self):
        self.paths = []

    def call_json(self, method, path, document, headers, timeout_s):
        self.paths.append(path)
        return HttpResponse(200, json.dumps({}).encode())


# Guards against an order that ends another leader's runs (invariants AVAIL and
# ONE): the process was paused between the decision and the call, and resumed
# after another leader had started tasks on the machine.
@pytest.mark.parametrize(
    ("order", "time_left_ms", "paths"),
    [
        (MoveMachine("m1", "a", 3, 0), 60_000, ["/machine-move"]),
        (MoveMachine("m1", "a", 3, 0), 0, []),
        (MaintainMachine("m1", 1, 3, 0), 60_000, ["/machine-upkeep"]),
        (MaintainMachine("m1", 1, 3, 0), -2_000, []),
    ],
    ids=["move", "expired move", "maintenance", "expired maintenance"],
)
def test_order_is_sent_unless_expired(order, time_left_ms, paths):
    client = RecordingClient()
    events = SimpleQueue()
    handler = MachineEffectHandler("edge-1", client, events.put)
    handler.send_order(replace(order, not_after_ms=now_ms() + time_left_ms))
    event = events.get(timeout=WAIT_S)
    assert client.paths == paths
    assert (event.done, event.refused) == (bool(paths), False)


# Guards against an order that ends another leader's runs, or comes less than
# the pause before that leader's own: it waited for a thread while its leader
# resigned, whose successor does not wait for it.
@pytest.mark.parametrize(
    ("order", "revoked_epoch", "paths"),
    [
        (MoveMachine("m1", "a", 3, 0), 2, ["/machine-move"]),
        (MoveMachine("m1", "a", 3, 0), 3, []),
        (MoveMachine("m1", "a", 3, 0), 4, []),
        (MaintainMachine("m1", 1, 3, 0), 2, ["/machine-upkeep"]),
        (MaintainMachine("m1", 1, 3, 0), 3, []),
    ],
    ids=[
        "move, earlier term",
        "move, own term",
        "move, later term",
        "maintenance, earlier term",
        "maintenance, own term",
    ],
)
def test_revoked_order_is_not_sent(order, revoked_epoch, paths):
    client = RecordingClient()
    events = SimpleQueue()
    handler = MachineEffectHandler("edge-1", client, events.put)
    handler.revoke_orders(RevokeOrders(revoked_epoch))
    handler.send_order(replace(order, not_after_ms=now_ms() + 60_000))
    event = events.get(timeout=WAIT_S)
    assert client.paths == paths
    assert (event.done, event.refused) == (bool(paths), False)
