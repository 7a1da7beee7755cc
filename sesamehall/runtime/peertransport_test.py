"""Tests of forwarded calls on loopback: peers that answer, fail or lie."""

from queue import SimpleQueue
import socket
import threading
import time

import pytest

from sesamehall.codecs.peerframes import decode_call
from sesamehall.codecs.peerframes import encode_reply
from sesamehall.core.calls import Accepted
from sesamehall.core.calls import JobCall
from sesamehall.core.calls import JobDraft
from sesamehall.core.calls import SubmitJob
from sesamehall.core.fleet import PeerNode
from sesamehall.core.peercalls import AnswerPeer
from sesamehall.core.peercalls import ForwardCall
from sesamehall.core.peercalls import PeerCallReceived
from sesamehall.core.peercalls import PeerOutcome
from sesamehall.core.replacing import replace
from sesamehall.core.work import Size
from sesamehall.core.work import StepPlan
from sesamehall.runtime import peerclient
from sesamehall.runtime import peerserver
from sesamehall.runtime.interpreter import now_ms
from sesamehall.runtime.peerclient import PeerClient
from sesamehall.runtime.peerconnection import PeerConnection
from sesamehall.runtime.peerserver import PeerServer

TOKEN = "0f" * 16
CALL = JobCall(
    call_id=5,
    at_ms=0,
    host="q.example",
    path="/q/1",
    key="k",
    kind=SubmitJob(JobDraft("spec", (StepPlan(1, Size(1, 1)),))),
)
WAIT_S = 10
PATIENCE_MS = 4_000  # a busy machine may run the threads late
SILENT_MS = 1_000  # time given to a peer that stays silent


def listen():
    listener = socket.create_server(("127.0.0.1", 0))
    host, port = listener.getsockname()
    return listener, PeerNode("edge-2", "dc", f"{host}:{port}", TOKEN)


def forward(client, peer, timeout_ms=PATIENCE_MS):
    client.forward(ForwardCall(CALL, peer, 3, now_ms() + timeout_ms))


def start_thread(target, *arguments):
    threading.Thread(target=target, args=arguments, daemon=True).start()


@pytest.fixture
def events():
    return SimpleQueue()


@pytest.fixture
def client(events, monkeypatch):
    monkeypatch.setattr(peerclient, "PEER_REPLY_TIMEOUT_MS", PATIENCE_MS)
    return PeerClient("edge-1", "edge-1:7", events.put)


@pytest.fixture
def server():
    """Run a server whose node accepts every call with version 4."""
    listener, peer = listen()
    received = []

    def post_event(event: PeerCallReceived):
        received.append(event.call)
        running.deliver(AnswerPeer(event.call.call_id, Accepted(), 4))

    running = PeerServer(listener, TOKEN, post_event)
    start_thread(running.serve)
    yield peer, received
    listener.close()


def test_call_is_answered_on_one_connection(client, events, server):
    peer, received = server
    for _ in range(3):
        forward(client, peer)
        event = events.get(timeout=WAIT_S)
        assert event.outcome is PeerOutcome.ANSWERED
        assert (event.call_id, event.peer) == (5, "edge-2")
        assert (event.answer, event.manifest_version) == (Accepted(), 4)
    assert [call.kind for call in received] == [CALL.kind] * 3
    assert {call.forwarded.node for call in received} == {"edge-1"}
    assert all(call.call_id < 0 for call in received)
    assert len(client._idle_by_peer[peer]) == 1


def test_server_rejects_node_that_does_not_know_the_token(
    client, events, server, caplog
):
    peer, received = server
    forward(client, replace(peer, token="wrong"))
    assert events.get(timeout=WAIT_S).outcome is PeerOutcome.LOST
    assert not received
    assert "683 peer frame rejected" in caplog.text


@pytest.mark.parametrize(
    "sent",
    [
        b"",
        b"GET / HTTP/1.1\r\n\r\n",
        b"\xff" * 64,
        b"\x00\x00\x00\x40partial",
    ],
    ids=["nothing", "http", "huge frame", "part of a frame"],
)
def test_server_goes_on_after_rubbish(client, events, server, sent):
    peer, _ = server
    host, _, port = peer.address.rpartition(":")
    with socket.create_connection((host, int(port))) as rubbish:
        rubbish.sendall(sent)
        forward(client, peer)
        event = events.get(timeout=WAIT_S)
    assert event.outcome is PeerOutcome.ANSWERED


# Guards against a node whose memory or thread limit is reached for a moment:
# it stayed registered, and its peers' calls were never read again.
def test_server_goes_on_after_threads_could_not_start(
    client, events, server, monkeypatch
):
    peer, _ = server
    failed_count = peerserver.MAX_CONNECTIONS
    failures = [RuntimeError("can't start new thread")] * failed_count
    start = peerserver.start_daemon_thread

    def fail_at_first(target, name):
        if failures:
            raise failures.pop()
        return start(target, name)

    monkeypatch.setattr(peerserver, "start_daemon_thread", fail_at_first)
    monkeypatch.setattr(peerserver, "ACCEPT_RETRY_S", 0.01)
    outcomes = []
    for _ in range(failed_count + 1):
        forward(client, peer)
        outcomes.append(events.get(timeout=WAIT_S).outcome)
    assert set(outcomes[:-1]) == {PeerOutcome.LOST}
    assert outcomes[-1] is PeerOutcome.ANSWERED


def reply_with(build_reply):
    """Answer the first call with the bytes that a function returns.

    It gets the call; None closes the connection without an answer.
    """

    def serve(listener):
        sock, _ = listener.accept()
        connection = PeerConnection(sock)
        content = connection.receive(WAIT_S, WAIT_S)
        frame = build_reply(decode_call(content, TOKEN))
        if frame is not None:
            connection.send(frame, WAIT_S)
            time.sleep(0.05)  # the peer reads the frame before the reset
        connection.close()

    return serve


def read_and_reset(listener):
    sock, _ = listener.accept()
    sock.recv(1)
    PeerConnection(sock).close()


def stay_silent(listener):
    accepted = listener.accept()
    time.sleep(WAIT_S)
    return accepted


@pytest.mark.parametrize(
    "serve",
    [
        stay_silent,
        read_and_reset,
        reply_with(lambda call: None),
        reply_with(lambda call: b"\x00" * 64),
        reply_with(lambda call: b"\xff" * 64),
        reply_with(lambda call: encode_reply(call, Accepted(), 4, TOKEN)[:9]),
        reply_with(lambda call: encode_reply(call, Accepted(), 4, "other")),
        reply_with(
            lambda call: encode_reply(
                replace(call, number=call.number - 1), Accepted(), 4, TOKEN
            )
        ),
    ],
    ids=[
        "silent",
        "resets within the call",
        "closes after the call",
        "rubbish",
        "huge frame",
        "answer lost halfway",
        "does not know the token",
        "answers another call",
    ],
)
def test_failed_peer_is_noticed(client, events, serve):
    listener, peer = listen()
    start_thread(serve, listener)
    forward(client, peer, SILENT_MS if serve is stay_silent else PATIENCE_MS)
    assert events.get(timeout=WAIT_S / 2).outcome is PeerOutcome.LOST
    assert peer not in client._idle_by_peer
    listener.close()


@pytest.mark.parametrize("fill_backlog", [False, True])
def test_call_is_not_sent_without_a_connection(client, events, fill_backlog):
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    host, port = listener.getsockname()
    blockers = []
    if fill_backlog:  # later connections are silently dropped
        listener.listen(0)
        for _ in range(2):
            blockers.append(socket.socket())
            blockers[-1].setblocking(False)
            blockers[-1].connect_ex((host, port))
    forward(client, PeerNode("edge-2", "dc", f"{host}:{port}", TOKEN))
    assert events.get(timeout=WAIT_S).outcome is PeerOutcome.NOT_SENT
    for sock in (listener, *blockers):
        sock.close()


@pytest.mark.parametrize(
    "error", [TypeError("odd"), UnicodeError("odd"), MemoryError()]
)
def test_unexpected_error_leaves_the_outcome_unknown(
    client, events, server, monkeypatch, error
):
    def raise_error(*_):
        raise error

    monkeypatch.setattr(peerclient, "encode_call", raise_error)
    peer, _ = server
    forward(client, peer)
    assert events.get(timeout=WAIT_S).outcome is PeerOutcome.LOST


def test_call_without_time_is_not_sent(client, events, server):
    peer, received = server
    forward(client, peer, timeout_ms=0)
    assert events.get(timeout=WAIT_S).outcome is PeerOutcome.NOT_SENT
    assert not received
