"""Tests of orders about machines, on a stand-in of the cloud interface."""

import json
from queue import SimpleQueue

import pytest

from sesamehall.core.managereffects import MaintainMachine
from sesamehall.core.managereffects import MoveMachine
from sesamehall.core.replacing import replace
from sesamehall.platform.http import HttpResponse
from sesamehall.platform.machines import MachineGate
from sesamehall.runtime.interpreter import now_ms

WAIT_S = 5


class RecordingClient:
    """A client of a cloud interface that takes every order."""

    def __init__(self):
        self.paths = []

    def call_json(self, method, path, content, headers, timeout_s):
        self.paths.append(path)
        return HttpResponse(200, json.dumps({}).encode())


# Guards against AVAIL and ONE: a leader was paused between its decision and
# the call, and woke when another led and had started tasks on the machine.
@pytest.mark.parametrize(
    ("order", "time_left_ms", "paths"),
    [
        (MoveMachine("m1", "a", 3, 0), 60_000, ["/machine-move"]),
        (MoveMachine("m1", "a", 3, 0), 0, []),
        (MaintainMachine("m1", 1, 3, 0), 60_000, ["/machine-upkeep"]),
        (MaintainMachine("m1", 1, 3, 0), -2_000, []),
    ],
    ids=["move", "late move", "maintenance", "late maintenance"],
)
def test_order_is_sent_in_its_time_or_not_at_all(order, time_left_ms, paths):
    client = RecordingClient()
    answers = SimpleQueue()
    gate = MachineGate("edge-1", client, answers.put)
    gate.order(replace(order, not_after_ms=now_ms() + time_left_ms))
    answer = answers.get(timeout=WAIT_S)
    assert client.paths == paths
    assert (answer.done, answer.refused) == (bool(paths), False)
