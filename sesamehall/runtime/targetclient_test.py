"""Tests of requests to failing targets, over real sockets."""

from collections.abc import Iterator
from contextlib import contextmanager
import socket
import threading

import pytest

from sesamehall.core.effects import Dispatch
from sesamehall.core.events import Broken
from sesamehall.core.events import Completed
from sesamehall.core.events import Declined
from sesamehall.core.events import NotSent
from sesamehall.core.events import TooLate
from sesamehall.runtime.interpreter import now_ms
from sesamehall.runtime.targetclient import ProxiedRequest
from sesamehall.runtime.targetclient import TargetClient

LIMIT_BYTES = 1000
REQUEST = ProxiedRequest("POST", "/x?y", (("Host", "h"),), b"body")
GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
NO_RESPONSE = None  # the fake target sends nothing and stays connected


@contextmanager
def fake_target(responses: list) -> Iterator[tuple[str, list]]:
    """Serve raw responses, one per request, and record the requests.

    Each list in the responses serves one connection; its items answer one
    request each, and the connection is closed after the last one.
    """
    listener = socket.create_server(("127.0.0.1", 0))
    requests = []
    done = threading.Event()

    def serve():
        for number, connection_responses in enumerate(responses):
            sock, _ = listener.accept()
            with sock:
                for response in connection_responses:
                    received = b""
                    while not received.endswith(b"body"):
                        chunk = sock.recv(65536)
                        if not chunk:
                            break
                        received += chunk
                    if not received:
                        break
                    requests.append((number, received))
                    if isinstance(response, threading.Event):
                        response.wait(10)
                        sock.sendall(GOOD)
                    elif response is NO_RESPONSE:
                        done.wait(10)
                    else:
                        sock.sendall(response)

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    try:
        yield f"127.0.0.1:{listener.getsockname()[1]}", requests
    finally:
        done.set()
        thread.join(5)
        listener.close()


def build_dispatch(address, wait_ms=5_000, idempotent=False):
    deadline_ms = now_ms() + wait_ms
    return Dispatch(
        "r", 1, "ex", address, idempotent, deadline_ms, deadline_ms
    )


@pytest.mark.parametrize(
    ("response", "outcome"),
    [
        (GOOD, Completed),
        (b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", Completed),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nok\r\n0\r\n\r\n",
            Completed,
        ),
        (
            b"HTTP/1.1 503 Full\r\nSesamehall-Not-Run: 1\r\n"
            b"Content-Length: 0\r\n\r\n",
            Declined,
        ),
        (b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", Completed),
        (b"", Broken),
        (b"HTTP/1.1 20", Broken),
        (b"garbage\r\n\r\n", Broken),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", Broken),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok",
            Broken,
        ),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + b"x" * 2000,
            Broken,
        ),
        (
            b"HTTP/1.1 200 OK\r\nSesamehall-Request-Id: s\r\n"
            b"Content-Length: 2\r\n\r\nok",
            Broken,
        ),
    ],
)
def test_only_complete_matching_responses_are_completed(response, outcome):
    with fake_target([[response]]) as (address, _):
        exchange = TargetClient(LIMIT_BYTES).exchange(
            build_dispatch(address), REQUEST
        )
    assert isinstance(exchange.outcome, outcome)
    assert (exchange.response is not None) == (outcome is Completed)


def test_response_may_take_longer_than_connect_timeout(monkeypatch):
    monkeypatch.setattr(
        "sesamehall.runtime.targetclient.CONNECT_TIMEOUT_MS", 50
    )
    release = threading.Event()
    timer = threading.Timer(0.3, release.set)
    with fake_target([[release]]) as (address, _):
        timer.start()
        exchange = TargetClient(LIMIT_BYTES).exchange(
            build_dispatch(address), REQUEST
        )
    assert isinstance(exchange.outcome, Completed)


def test_silent_target_times_out_at_the_deadline():
    with fake_target([[NO_RESPONSE]]) as (address, _):
        exchange = TargetClient(LIMIT_BYTES).exchange(
            build_dispatch(address, wait_ms=100), REQUEST
        )
    assert exchange.outcome.timed_out


def test_refused_connection_is_not_sent():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
    exchange = TargetClient(LIMIT_BYTES).exchange(
        build_dispatch(address), REQUEST
    )
    assert isinstance(exchange.outcome, NotSent)


def test_nothing_is_sent_after_the_deadline():
    with fake_target([[GOOD]]) as (address, requests):
        exchange = TargetClient(LIMIT_BYTES).exchange(
            build_dispatch(address, wait_ms=0), REQUEST
        )
        assert exchange.outcome == TooLate()
        assert requests == []


@pytest.mark.parametrize(
    ("first", "reused"),
    [
        (GOOD, True),
        (GOOD + b"HTTP/1.1 200 OK\r\n", False),
        (GOOD.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"), False),
        (GOOD.replace(b"1.1", b"1.0"), False),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", False),
    ],
)
def test_only_clean_connections_are_reused(first, reused):
    responses = [[first, GOOD], [GOOD]] if reused else [[first], [GOOD]]
    with fake_target(responses) as (address, requests):
        client = TargetClient(LIMIT_BYTES)
        client.exchange(build_dispatch(address), REQUEST)
        second = client.exchange(build_dispatch(address), REQUEST)
        client.close()
        if reused:
            socket.create_connection(address.split(":")).close()
    assert isinstance(second.outcome, Completed)
    assert [number for number, _ in requests] == [0, 0 if reused else 1]


@pytest.mark.parametrize(("idempotent", "connection"), [(True, 0), (False, 1)])
def test_non_idempotent_request_avoids_old_connections(
    idempotent, connection, monkeypatch
):
    """The clock advances by two seconds between the requests."""
    responses = [[GOOD, GOOD], [GOOD]]
    with fake_target(responses) as (address, requests):
        client = TargetClient(LIMIT_BYTES)
        client.exchange(build_dispatch(address), REQUEST)
        later_ms = now_ms() + 2_000
        monkeypatch.setattr(
            "sesamehall.runtime.targetclient.now_ms", lambda: later_ms
        )
        dispatch = build_dispatch(address, 9_000, idempotent)
        client.exchange(dispatch, REQUEST)
        client.close()
        if idempotent:
            socket.create_connection(address.split(":")).close()
    assert requests[1][0] == connection
