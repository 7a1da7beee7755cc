"""Tests of the cloud API stand-in against the platform's protocol."""

import json
import time

import pytest

from standins.cloudapi import CloudApi
from standins.serving import HttpRequest

ORDER_TIMEOUT_S = 5.0
HEADERS = {"lease-holder": "edge-0", "fencing-token": "1"}
MOVE = ("/machine-move", {"Machine": "m0", "Pool": "pool-b"})
UPKEEP = ("/machine-upkeep", {"Machine": "m0", "Wave": 7})


def call(cloud, path, content=None):
    """Send a request; return the status and the decoded response."""
    body = json.dumps(content or {}).encode()
    response = cloud.handle(HttpRequest("POST", "", path, {}, HEADERS, body))
    return response.status, json.loads(response.body)


def await_up(cloud):
    """Wait until all machines are up."""
    deadline_s = time.monotonic() + ORDER_TIMEOUT_S
    while any(
        machine["State"] != "up"
        for machine in call(cloud, "/machines")[1]["Machines"]
    ):
        assert time.monotonic() < deadline_s
        time.sleep(0.01)


@pytest.mark.parametrize(
    ("earlier", "order", "status", "reason", "moves"),
    [
        ([], MOVE, 200, None, ["pool-b"]),
        ([MOVE], MOVE, 200, None, ["pool-b"]),
        ([], UPKEEP, 200, None, ["pool-a"]),
        ([UPKEEP], UPKEEP, 200, None, ["pool-a"]),
        ([], (UPKEEP[0], {"Machine": "m0", "Wave": 8}), 409, "wave", []),
        ([], (UPKEEP[0], {"Machine": "m1", "Wave": 7}), 409, "wave", []),
        ([], (UPKEEP[0], {"Machine": "x", "Wave": 7}), 400, "unknown", []),
    ],
    ids=[
        "move",
        "repeated move",
        "upkeep",
        "repeated upkeep",
        "unknown wave",
        "machine of no wave",
        "unknown machine",
    ],
)
def test_order_is_carried_out_once(earlier, order, status, reason, moves):
    stopped = []
    moved = []
    cloud = CloudApi(
        {"m0": "pool-a", "m1": "pool-a"},
        lambda machine, pool: moved.append(pool),
        stopped.append,
    )
    cloud.add_wave(7, ("m0",))
    for path, content in earlier:
        call(cloud, path, content)
        await_up(cloud)
    received, content = call(cloud, *order)
    assert (received, content.get("Reason")) == (status, reason)
    await_up(cloud)
    assert moved == moves
    assert len(stopped) == len(moves)


def test_machine_is_busy_until_its_worker_has_started():
    moving = []
    cloud = CloudApi(
        {"m0": "pool-a"}, lambda *_: moving.append(1) or time.sleep(0.3)
    )
    cloud.add_wave(7, ("m0",))
    call(cloud, *MOVE)
    status, content = call(cloud, *UPKEEP)
    assert (status, content["Reason"]) == (409, "busy")
    await_up(cloud)
    assert call(cloud, *UPKEEP)[0] == 200
