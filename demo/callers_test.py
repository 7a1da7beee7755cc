"""Tests of an entry's HTTP interface on real processes."""

from concurrent.futures import ThreadPoolExecutor
import json
import socket

import pytest

from demo.fleet import Caller
from demo.fleet import Fleet
from demo.main import await_condition
from demo.main import build_plans
from demo.main import LIMITS
from standins.executor import RELEASE_PATH

WAIT_S = 20
REQUEST_HEAD = b"GET /x HTTP/1.1\r\nHost: h\r\nSesamehall-Service: quotes\r\n"


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    """Run one entry, one steward and one executor."""
    fleet = Fleet(tmp_path_factory.mktemp("fleet"))
    try:
        fleet.start_platform()
        fleet.start_instance("ex-1", "executor", "north", "r", "quotes")
        fleet.list_instances()
        fleet.start_nodes({"entry-a": "north", "steward-a": "north"})
        plans = fleet.write("plans", build_plans(1))
        fleet.operate("publish", "--plans", plans)
        fleet.operate("publish", "--limits", fleet.write("limits", LIMITS))
        yield fleet
    finally:
        fleet.close()


@pytest.fixture(scope="module")
def caller(fleet):
    """Return a caller whose key the entry accepts."""
    caller = Caller(fleet.http, fleet.operate("give-key", "--team", "guild"))
    address = fleet.address("entry-a")
    await_condition(
        lambda: caller.send(address, "/", "quotes").code == 1000, "serving"
    )
    return caller


def exchange(fleet, *pieces):
    """Send raw bytes; read to the end of the headers or of the connection."""
    host, _, port = fleet.address("entry-a").partition(":")
    with socket.create_connection((host, int(port)), timeout=WAIT_S) as sock:
        for piece in pieces:
            sock.sendall(piece)
        received = b""
        while b"\r\n\r\n" not in received:
            chunk = sock.recv(65536)
            if not chunk:
                break
            received += chunk
    return received


def result_code(received):
    for line in received.split(b"\r\n"):
        name, _, value = line.partition(b": ")
        if name.lower() == b"sesamehall-result":
            return int(value)
    return int(received.split(b" ")[1])


@pytest.mark.parametrize(
    ("pieces", "code"),
    [
        ([REQUEST_HEAD + b"\r\n"], 2001),
        ([REQUEST_HEAD + b"Authorization: Basic eA==\r\n\r\n"], 2005),
        ([REQUEST_HEAD + b"Authorization: Bearer nobody.x\r\n\r\n"], 2002),
        ([b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"], 2005),
        ([REQUEST_HEAD + b"Sesamehall-Deadline-Ms: -1\r\n\r\n"], 2005),
        ([REQUEST_HEAD + b"Sesamehall-Idempotent: maybe\r\n\r\n"], 2005),
        (
            [
                REQUEST_HEAD + b"Content-Length: 4\r\n",
                b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            ],
            2005,
        ),
        (
            [REQUEST_HEAD + b"Content-Length: 4\r\nContent-Length: 5\r\n\r\n"],
            400,
        ),
        ([REQUEST_HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n"], 501),
        ([REQUEST_HEAD + b"Content-Length: 99999999\r\n\r\n"], 2006),
        ([REQUEST_HEAD + b"X: " + b"y" * 40000 + b"\r\n\r\n"], 413),
        ([b"GARBAGE\r\n\r\n"], 400),
        ([REQUEST_HEAD + b"Sesamehall_Service: forms\r\n\r\n"], 2001),
    ],
)
def test_bad_requests_are_rejected(fleet, caller, pieces, code):
    assert result_code(exchange(fleet, *pieces)) == code
    address = fleet.address("entry-a")
    assert caller.send(address, "/", "quotes").code == 1000


@pytest.mark.parametrize(
    ("method", "uri", "body"),
    [
        ("GET", "/a%2Fb/../c;d?q=%20+&q=2&empty=", b""),
        ("POST", "/", b"x" * 100_000),
        ("PUT", "/%C3%A9", b"\0\xff"),
        ("DELETE", "/?", b""),
        ("PATCH", "/sesamehall/v2/", b"{}"),
    ],
)
def test_requests_reach_the_target_unchanged(fleet, caller, method, uri, body):
    headers = {
        "X-Own": "a, b",
        "Accept": "x/y",
        "Connection": "X-Hop",
        "X-Hop": "1",
    }
    address = fleet.address("entry-a")
    direct = fleet.address("ex-1")
    results = [
        caller.send(a, uri, "quotes", method, body, headers)
        for a in (address, direct)
    ]
    received, expected = (json.loads(result.body) for result in results)
    for name in ("method", "uri", "body_sha256"):
        assert received[name] == expected[name]
    end_to_end = dict(expected["headers"])
    for name in ("connection", "x-hop", "authorization", "host"):
        end_to_end.pop(name, None)
    for name, value in end_to_end.items():
        assert received["headers"].get(name) == value, name
    assert "x-hop" not in received["headers"]
    assert "authorization" not in received["headers"]


@pytest.mark.parametrize("size", [0, 1, 70_000, 1_000_000])
def test_responses_arrive_complete(fleet, caller, size):
    result = caller.send(fleet.address("entry-a"), f"/?size={size}", "quotes")
    assert (result.code, len(result.body)) == (1000, size)


def test_queued_request_of_a_disconnected_caller_is_dropped(fleet, caller):
    """Fill all eight slots, queue a request and close its connection."""
    address = fleet.address("entry-a")
    executor = fleet.address("ex-1")

    def status():
        url = f"http://{address}/sesamehall/v1/status"
        return fleet.http.request("GET", url).json()

    await_condition(lambda: status()["running"] == 0, "all slots free")
    head = REQUEST_HEAD + b"Authorization: Bearer " + caller.key.encode()
    host, _, port = address.partition(":")
    with ThreadPoolExecutor(8) as threads:
        for _ in range(8):
            threads.submit(caller.send, address, "/?held=1", "quotes")
        try:
            await_condition(lambda: status()["running"] == 8, "slots in use")
            with socket.create_connection((host, int(port))) as sock:
                sock.sendall(head + b"\r\n\r\n")
                await_condition(lambda: status()["waiting"] == 1, "waiting")
            await_condition(lambda: status()["waiting"] == 0, "dropped")
            assert status()["running"] == 8
        finally:
            fleet.http.request("GET", f"http://{executor}{RELEASE_PATH}")


def test_keys_are_not_logged(fleet, caller):
    secret = caller.key.partition(".")[2]
    logs = "".join(path.read_text() for path in fleet.folder.glob("*.log"))
    assert "request routed" in logs and secret not in logs


def test_response_over_the_size_limit_is_not_forwarded(fleet, caller):
    uri = f"/?size={9 << 20}"
    result = caller.send(fleet.address("entry-a"), uri, "quotes", "POST")
    assert result.code == 3001
