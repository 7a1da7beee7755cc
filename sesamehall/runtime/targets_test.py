"""Tests of exchanges with targets that fail in every way, over sockets."""

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
from sesamehall.runtime.targets import Message
from sesamehall.runtime.targets import TargetClient

LIMIT_BYTES = 1000
MESSAGE = Message("POST", "/x?y", (("Host", "h"),), b"body")
GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
HELD_OPEN = None  # the fake target keeps the connection open and silent


@contextmanager
def fake_target(answers: list) -> Iterator[tuple[str, list]]:
    """Serve raw answers, one for each request, and note what came.

    A list in the answers begins a new connection; within it each item is
    sent for one request, and the connection is closed after the last one.
    """
    listener = socket.create_server(("127.0.0.1", 0))
    requests = []
    done = threading.Event()

    def serve():
        for number, connection_answers in enumerate(answers):
            sock, _ = listener.accept()
            with sock:
                for answer in connection_answers:
                    received = b""
                    while not received.endswith(b"body"):
                        chunk = sock.recv(65536)
                        if not chunk:
                            break
                        received += chunk
                    if not received:
                        break
                    requests.append((number, received))
                    if isinstance(answer, threading.Event):
                        answer.wait(10)
                        sock.sendall(GOOD)
                    elif answer is HELD_OPEN:
                        done.wait(10)
                    else:
                        sock.sendall(answer)

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
    ("answer", "outcome"),
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
def test_only_whole_own_answers_complete(answer, outcome):
    with fake_target([[answer]]) as (address, _):
        exchange = TargetClient(LIMIT_BYTES).exchange(
            build_dispatch(address), MESSAGE
        )
    assert isinstance(exchange.outcome, outcome)
    assert (exchange.answer is not None) == (outcome is Completed)


def test_slow_answer_is_awaited_beyond_the_connecting_time(monkeypatch):
    monkeypatch.setattr("sesamehall.runtime.targets.CONNECT_TIMEOUT_MS", 50)
    late = threading.Event()
    timer = threading.Timer(0.3, late.set)
    with fake_target([[late]]) as (address, _):
        timer.start()
        exchange = TargetClient(LIMIT_BYTES).exchange(
            build_dispatch(address), MESSAGE
        )
    assert isinstance(exchange.outcome, Completed)


def test_silent_target_times_out_at_the_deadline():
    with fake_target([[HELD_OPEN]]) as (address, _):
        exchange = TargetClient(LIMIT_BYTES).exchange(
            build_dispatch(address, wait_ms=100), MESSAGE
        )
    assert exchange.outcome.timed_out


def test_nobody_listening_is_not_sent():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
    exchange = TargetClient(LIMIT_BYTES).exchange(
        build_dispatch(address), MESSAGE
    )
    assert isinstance(exchange.outcome, NotSent)


def test_past_its_time_nothing_is_sent():
    with fake_target([[GOOD]]) as (address, requests):
        exchange = TargetClient(LIMIT_BYTES).exchange(
            build_dispatch(address, wait_ms=0), MESSAGE
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
def test_only_clean_connections_are_used_again(first, reused):
    answers = [[first, GOOD], [GOOD]] if reused else [[first], [GOOD]]
    with fake_target(answers) as (address, requests):
        client = TargetClient(LIMIT_BYTES)
        client.exchange(build_dispatch(address), MESSAGE)
        second = client.exchange(build_dispatch(address), MESSAGE)
        client.close()
        if reused:
            socket.create_connection(address.split(":")).close()
    assert isinstance(second.outcome, Completed)
    assert [number for number, _ in requests] == [0, 0 if reused else 1]


@pytest.mark.parametrize(("idempotent", "connection"), [(True, 0), (False, 1)])
def test_what_must_not_run_twice_avoids_old_connections(
    idempotent, connection, monkeypatch
):
    """The clock goes on by two seconds between the requests."""
    answers = [[GOOD, GOOD], [GOOD]]
    with fake_target(answers) as (address, requests):
        client = TargetClient(LIMIT_BYTES)
        client.exchange(build_dispatch(address), MESSAGE)
        later_ms = now_ms() + 2_000
        monkeypatch.setattr(
            "sesamehall.runtime.targets.now_ms", lambda: later_ms
        )
        dispatch = build_dispatch(address, 9_000, idempotent)
        client.exchange(dispatch, MESSAGE)
        client.close()
        if idempotent:
            socket.create_connection(address.split(":")).close()
    assert requests[1][0] == connection
