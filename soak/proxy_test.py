"""Tests that proxies cut off the clients that they are told to."""

import socket
import threading

import pytest

from soak.boundmanager import bind_connections
from soak.proxy import Proxy

CUT_IP = "127.0.0.2"
OTHER_IP = "127.0.0.3"
WAIT_S = 1.0


@pytest.fixture(name="proxy")
def proxy_to_echo():
    """Start a proxy to a server that sends back what it receives."""
    listener = socket.create_server(("127.0.0.1", 0))

    def echo(connection):
        while data := connection.recv(100):
            connection.sendall(data)

    def accept():
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            threading.Thread(
                target=echo, args=(connection,), daemon=True
            ).start()

    threading.Thread(target=accept, daemon=True).start()
    proxy = Proxy("127.0.0.1:%d" % listener.getsockname()[1])
    yield proxy
    proxy.close()
    listener.close()


def connect(proxy, source):
    """Connect to a proxy from an address."""
    host, _, port = proxy.address.rpartition(":")
    connection = socket.create_connection(
        (host, int(port)), timeout=WAIT_S, source_address=(source, 0)
    )
    return connection


def is_answered(connection):
    """Send a byte and check whether it comes back in time."""
    connection.sendall(b"x")
    try:
        return connection.recv(1) == b"x"
    except TimeoutError:
        return False


@pytest.mark.parametrize(
    ("source", "reset", "while_cut", "afterwards"),
    [
        (OTHER_IP, False, True, True),
        (CUT_IP, False, False, True),
        (CUT_IP, True, False, False),
    ],
    ids=["another client", "held up and delivered", "held up and lost"],
)
def test_cut_holds_up_its_clients(proxy, source, reset, while_cut, afterwards):
    connection = connect(proxy, source)
    assert is_answered(connection)
    proxy.cut_sources = frozenset((CUT_IP,))
    assert is_answered(connection) == while_cut
    if reset:
        proxy.reset(proxy.cut_sources)
    proxy.cut_sources = frozenset()
    try:
        received = connection.recv(1) if not while_cut else b"x"
    except OSError:
        received = b""
    assert (received == b"x") == afterwards
    connection.close()


def test_connections_come_from_the_bound_address(proxy, monkeypatch):
    monkeypatch.setattr(socket.socket, "connect", socket.socket.connect)
    bind_connections(OTHER_IP)
    host, _, port = proxy.address.rpartition(":")
    with socket.create_connection((host, int(port)), WAIT_S) as connection:
        assert connection.getsockname()[0] == OTHER_IP
