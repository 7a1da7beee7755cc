"""Tests of calls that get no answer, or not a whole one."""

from contextlib import contextmanager
import socket
import threading

import pytest

from sesamehall.core.codes import PlatformError
from sesamehall.platform.http import Client

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


@contextmanager
def serving(handle):
    """Let a function serve one connection in a thread."""
    listener = socket.create_server(("127.0.0.1", 0))

    def run():
        connection, _ = listener.accept()
        with connection:
            handle(connection)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    try:
        yield f"127.0.0.1:{listener.getsockname()[1]}"
    finally:
        thread.join(5)
        listener.close()


def test_call_that_is_given_up_is_reset():
    """Nothing of it may arrive once a partition has healed."""
    seen = []

    def handle(connection):
        received = b""
        while not received.endswith(b"}"):
            received += connection.recv(65536)
        connection.settimeout(5)
        try:
            seen.append(connection.recv(65536))
        except ConnectionResetError:
            seen.append("reset")

    with serving(handle) as address:
        client = Client(address, 1)
        with pytest.raises(PlatformError):
            client.call_json("POST", "/x", {"a": 1}, timeout_s=0.2)
    assert seen == ["reset"]


@pytest.mark.parametrize(
    ("answer", "status"),
    [
        (OK, 200),
        (OK.replace(b"200 OK", b"409 Conflict"), 409),
        (OK[:-1], None),
        (b"nonsense\r\n\r\n", None),
        (b"", None),
    ],
    ids=["whole", "refused", "cut short", "no HTTP", "closed"],
)
def test_answer_is_whole_or_an_error(answer, status):
    def handle(connection):
        connection.recv(65536)
        connection.sendall(answer)

    with serving(handle) as address:
        client = Client(address, 1)
        if status is None:
            with pytest.raises(PlatformError):
                client.call("GET", "/x", timeout_s=0.5)
        else:
            assert client.call("GET", "/x").status == status


@pytest.mark.parametrize("body", [b"[]", b"{", b"\xff"])
def test_body_that_is_no_object(body):
    def handle(connection):
        connection.recv(65536)
        length = f"Content-Length: {len(body)}".encode()
        connection.sendall(
            b"HTTP/1.1 200 OK\r\n" + length + b"\r\n\r\n" + body
        )

    with serving(handle) as address:
        answer = Client(address, 1).call("GET", "/x")
        with pytest.raises(PlatformError):
            answer.json()
