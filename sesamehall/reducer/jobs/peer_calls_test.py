"""Tests of calls at a node that the store turns away while it serves others.

Load: a third of the nodes is refused by the store for 8 to 10 s, the leader
among them, and callers go on to call these nodes.
"""

from immutables import Map
import pytest

from sesamehall.core.calls import Accepted
from sesamehall.core.calls import CancelJob
from sesamehall.core.calls import CountPending
from sesamehall.core.calls import Forwarding
from sesamehall.core.calls import JobCall
from sesamehall.core.calls import JobDraft
from sesamehall.core.calls import Rejected
from sesamehall.core.calls import ShowJob
from sesamehall.core.calls import Shown
from sesamehall.core.calls import SubmitJob
from sesamehall.core.codes import JOB_UNCONFIRMED
from sesamehall.core.codes import KEY_REFUSED
from sesamehall.core.codes import LOG_UNREACHABLE
from sesamehall.core.codes import NO_SUCH_JOB
from sesamehall.core.codes import NOT_READY
from sesamehall.core.data import JobPhase
from sesamehall.core.fleet import Leader
from sesamehall.core.fleet import PeerNode
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.managereffects import AnswerCall
from sesamehall.core.managereffects import ReadStream
from sesamehall.core.managereffects import StoreJob
from sesamehall.core.managerevents import JobCalled
from sesamehall.core.managerevents import JobStored
from sesamehall.core.managerevents import StoreOutcome
from sesamehall.core.managerevents import StreamRead
from sesamehall.core.managerevents import StreamUnread
from sesamehall.core.managerstate import CallStage
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.managerstate import StreamCursor
from sesamehall.core.managerstate import WaitingCall
from sesamehall.core.peercalls import AnswerPeer
from sesamehall.core.peercalls import ForwardCall
from sesamehall.core.peercalls import KnownPeer
from sesamehall.core.peercalls import PeerAnswered
from sesamehall.core.peercalls import PeerAttempts
from sesamehall.core.peercalls import PeerCallReceived
from sesamehall.core.peercalls import PeerOutcome
from sesamehall.core.peercalls import PeerState
from sesamehall.core.peercalls import RegisterNode
from sesamehall.core.peertiming import MAX_PEERS
from sesamehall.core.replacing import replace
from sesamehall.core.work import JobPlan
from sesamehall.reducer.jobs.calls import advance_calls
from sesamehall.reducer.jobs.calls import handle_job_stored
from sesamehall.reducer.jobs.calls import is_manifest_current
from sesamehall.reducer.jobs.calls import receive_call
from sesamehall.reducer.jobs.forwarded_calls import forward_late_calls
from sesamehall.reducer.jobs.forwarded_calls import handle_peer_answer
from sesamehall.reducer.jobs.peer_calls import choose_peer
from sesamehall.reducer.jobs.peer_calls import is_turned_away
from sesamehall.reducer.jobs.peer_calls import record_peer
from sesamehall.reducer.jobs.peer_calls import record_peer_outcome
from sesamehall.reducer.jobs.peer_calls import register_node
from sesamehall.reducer.jobs.stream_reading import apply_stream_read
from sesamehall.reducer.jobs.stream_reading import handle_stream_read_failure
from sesamehall.reducer.jobs.stream_reading import read_due_streams
from sesamehall.reducer.jobs.testing import build_manifest
from sesamehall.reducer.jobs.testing import build_step
from sesamehall.reducer.jobs.testing import decisions_of
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import JOB_ID
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.jobs.testing import read_records

NAME = "edge-a-1"
LOCAL = ("edge-a-2", "edge-a-3", "edge-a-4")
REMOTE = ("edge-b-1", "edge-b-2")
SUBMIT = SubmitJob(JobDraft("spec", (build_step(),)))
PATH = f"/q/{JOB_ID}"
VERSION = 1  # of the manifest that every node here has at least


def build_node(name):
    return PeerNode(name, name[5], f"{name}:7001", f"token of {name}")


def build_peers(*names, **others):
    known = {name: KnownPeer(build_node(name), NOW_MS) for name in names}
    return PeerState(build_node(NAME), by_name=Map(known), **others)


def build_manager(read_ago_ms=1_000, failed_ago_ms=500, peers=None, **others):
    """Build a node whose last read succeeded, and failed, some time ago.

    Without a failure, the store does not turn it away.
    """
    if peers is None:
        peers = build_peers(NAME, *LOCAL, *REMOTE)
    cursor = StreamCursor(1, known_until_ms=NOW_MS - read_ago_ms)
    cursor = replace(cursor, read_ms=NOW_MS - read_ago_ms)
    failed = cursor
    if failed_ago_ms is not None:
        failed = replace(cursor, failed_ms=NOW_MS - failed_ago_ms)
    fields = {
        "manifest": build_manifest(),
        "operator_cursor": cursor,
        "jobs_cursor": cursor,
        "progress_cursor": failed,
        "peers": peers,
        **others,
    }
    return ManagerState(NAME, **fields)


def build_call(kind=SUBMIT, forwarded=None, path=PATH, key="k"):
    return JobCall(1, NOW_MS, "q.example", path, key, kind, forwarded)


def receive(manager, kind=SUBMIT, **others):
    return receive_call(manager, JobCalled(NOW_MS, build_call(kind, **others)))


def answered(peer, answer, version=VERSION, at_ms=NOW_MS):
    outcome = PeerOutcome.ANSWERED
    return PeerAnswered(at_ms, 1, peer, outcome, answer, version)


def failed(peer, outcome, at_ms=NOW_MS):
    return PeerAnswered(at_ms, 1, peer, outcome, reason="reset")


def forwarded_to(step):
    """Name the peer that a step forwards its call to, or None."""
    for effect in effects_of(step, ForwardCall):
        return effect.peer.name


def answer_of(step):
    for effect in effects_of(step, AnswerCall):
        return effect.answer


@pytest.mark.parametrize(
    ("read_ago_ms", "failed_ago_ms", "sent_ago_ms", "expected"),
    [
        (1_000, None, None, False),
        (1_000, 500, None, True),
        (400, 500, None, False),
        (500, 500, None, False),
        (1_000, None, 399, False),
        (1_000, None, 400, True),
        (100, None, 600, False),
        (300, None, 600, True),
    ],
    ids=[
        "no failure",
        "failed since the last success",
        "another stream read since",
        "both at once",
        "read not overdue yet",
        "read overdue",
        "another stream read after it was overdue",
        "another stream read before it was overdue",
    ],
)
def test_node_notices_that_the_store_turns_it_away(
    read_ago_ms, failed_ago_ms, sent_ago_ms, expected
):
    manager = build_manager(read_ago_ms, failed_ago_ms)
    if sent_ago_ms is not None:
        cursor = replace(
            manager.progress_cursor,
            read_in_flight=True,
            sent_ms=NOW_MS - sent_ago_ms,
        )
        manager = replace(manager, progress_cursor=cursor)
    assert is_turned_away(manager, NOW_MS) is expected


def test_reads_leave_the_times_that_show_it():
    manager = build_manager(failed_ago_ms=None, read_ago_ms=5_000)
    step = read_due_streams(manager, NOW_MS)
    assert Stream.PROGRESS in [
        effect.stream for effect in effects_of(step, ReadStream)
    ]
    assert not is_turned_away(step.state, NOW_MS + 399)
    assert is_turned_away(step.state, NOW_MS + 400)
    unread = StreamUnread(NOW_MS, Stream.PROGRESS, "503")
    manager = handle_stream_read_failure(step.state, unread).state
    assert is_turned_away(manager, NOW_MS)
    assert not is_turned_away(read_records(manager, Stream.JOBS), NOW_MS)


@pytest.mark.parametrize(
    ("kind", "manager", "expected"),
    [
        (SUBMIT, build_manager(), True),
        (CancelJob(), build_manager(), True),
        (ShowJob(), build_manager(), True),
        (SUBMIT, build_manager(failed_ago_ms=None), False),
        (ShowJob(), build_manager(failed_ago_ms=None), False),
        (CountPending(), build_manager(), False),
        (CountPending(), build_manager(read_ago_ms=1_800), True),
        (SUBMIT, build_manager(1_800, failed_ago_ms=None), True),
        (SUBMIT, build_manager(manifest=None), True),
        (SUBMIT, build_manager(peers=PeerState()), False),
        (SUBMIT, build_manager(peers=build_peers(NAME)), False),
    ],
    ids=[
        "submission",
        "cancel",
        "state",
        "submission, store reached",
        "state, store reached",
        "count by a current manifest",
        "manifest too old",
        "manifest too old though no read failed",
        "no manifest",
        "no port for peers",
        "single node",
    ],
)
def test_call_is_forwarded_only_if_this_node_cannot_serve_it(
    kind, manager, expected
):
    path = "/q/" if isinstance(kind, CountPending) else PATH
    step = receive(manager, kind, path=path)
    assert (forwarded_to(step) is not None) is expected
    if expected:
        assert not effects_of(step, StoreJob)
        assert answer_of(step) is None


def test_forwarded_call_carries_the_newest_version_judged_by():
    peers = build_peers(NAME, *LOCAL, min_manifest_version=7)
    (effect,) = effects_of(receive(build_manager(peers=peers)), ForwardCall)
    assert effect.manifest_version == 7
    assert effect.not_after_ms == NOW_MS + 2_200


def in_flight(name, count):
    """Build calls whose reply from a peer is awaited."""
    waiting = WaitingCall(
        build_call(),
        JOB_ID,
        "guild",
        CallStage.FORWARDED,
        NOW_MS,
        NOW_MS + 1_000,
        peers=PeerAttempts((name,), name),
    )
    return Map({number: waiting for number in range(10, 10 + count)})


@pytest.mark.parametrize(
    ("manager", "tried", "expected"),
    [
        (build_manager(), (), LOCAL[0]),
        (build_manager(jitter_seed=2), (), LOCAL[1]),
        (build_manager(), LOCAL[:1], LOCAL[1]),
        (build_manager(), LOCAL[:2], REMOTE[0]),
        (build_manager(peers=build_peers(*LOCAL)), LOCAL[:2], LOCAL[2]),
        (build_manager(), LOCAL, None),
        (build_manager(leader=Leader(LOCAL[0], 1)), (), LOCAL[1]),
        (
            build_manager(
                leader=Leader(LOCAL[0], 1),
                peers=build_peers(NAME, LOCAL[0], *REMOTE),
            ),
            (),
            LOCAL[0],
        ),
        (build_manager(peers=build_peers(NAME, *REMOTE)), (), REMOTE[0]),
        (build_manager(calls_by_id=in_flight(LOCAL[0], 7)), (), LOCAL[0]),
        (build_manager(calls_by_id=in_flight(LOCAL[0], 8)), (), LOCAL[1]),
        (
            build_manager(
                peers=build_peers(
                    *LOCAL,
                    avoided_until_ms_by_name=Map(
                        {LOCAL[0]: NOW_MS + 1, LOCAL[1]: NOW_MS}
                    ),
                )
            ),
            (),
            LOCAL[2],
        ),
        (
            build_manager(
                peers=build_peers(
                    *LOCAL,
                    avoided_until_ms_by_name=Map(
                        {LOCAL[0]: NOW_MS, LOCAL[1]: NOW_MS + 1}
                    ),
                )
            ),
            LOCAL[2:],
            LOCAL[0],
        ),
        (
            build_manager(
                peers=build_peers(*LOCAL, paused_until_ms=NOW_MS + 1)
            ),
            (),
            None,
        ),
        (
            build_manager(
                peers=replace(
                    build_peers(),
                    by_name=Map(
                        {
                            LOCAL[0]: KnownPeer(
                                build_node(LOCAL[0]), NOW_MS - 1_800_000
                            )
                        }
                    ),
                )
            ),
            (),
            None,
        ),
    ],
    ids=[
        "same data centre",
        "another rotation",
        "not one that was tried",
        "third in another data centre",
        "third, no other data centre",
        "no fourth",
        "not the leader",
        "the leader before another data centre",
        "another data centre",
        "seven calls in flight",
        "eight calls in flight",
        "first one that has not failed",
        "one that failed, but not lately",
        "paused",
        "registration too old",
    ],
)
def test_choice_of_the_peer(manager, tried, expected):
    peer = choose_peer(manager, PeerAttempts(tried), NOW_MS)
    assert (peer and peer.name) == expected


@pytest.mark.parametrize(
    "answer",
    [
        Accepted(),
        Shown(JobPhase.DONE),
        Rejected(KEY_REFUSED),
        Rejected(NO_SUCH_JOB),
    ],
)
def test_answer_of_a_peer_is_passed_on(answer):
    manager = receive(build_manager()).state
    step = handle_peer_answer(manager, answered(LOCAL[0], answer))
    assert answer_of(step) == answer
    assert not step.state.calls_by_id


INABLE = Rejected(NOT_READY, 1)
UNSTORED = Rejected(LOG_UNREACHABLE, 1)
UNCLEAR = Rejected(JOB_UNCONFIRMED)
SENT_TO = LOCAL[:2] + REMOTE[:1]  # in the order in which they are tried


@pytest.mark.parametrize(
    ("replies", "answer"),
    [
        ([INABLE, Accepted()], Accepted()),
        ([UNSTORED, PeerOutcome.NOT_SENT, Accepted()], Accepted()),
        ([PeerOutcome.LOST, Accepted()], Accepted()),
        ([PeerOutcome.LOST, Rejected(KEY_REFUSED)], UNCLEAR),
        ([UNCLEAR, INABLE, INABLE], UNCLEAR),
        ([PeerOutcome.LOST, INABLE, INABLE], UNCLEAR),
        ([PeerOutcome.NOT_SENT, PeerOutcome.NOT_SENT, INABLE], INABLE),
    ],
    ids=[
        "peer turned away too",
        "one refused, one cut off",
        "answer lost, then confirmed",
        "answer lost, then refused",
        "unclear, others cannot serve",
        "answer lost, others cannot serve",
        "certainly not stored",
    ],
)
def test_next_peer_is_tried_and_a_refusal_is_true(replies, answer):
    # The manifest is too old, so the node cannot serve the call itself.
    step = receive(build_manager(read_ago_ms=2_000))
    for peer, reply in zip(SENT_TO, replies):
        assert forwarded_to(step) == peer
        assert answer_of(step) is None
        if isinstance(reply, PeerOutcome):
            event = failed(peer, reply)
        else:
            event = answered(peer, reply)
        step = handle_peer_answer(step.state, event)
    assert answer_of(step) == answer
    assert forwarded_to(step) is None


def test_node_tries_the_store_itself_after_the_last_peer():
    step = receive(build_manager())
    for peer in SENT_TO:
        step = handle_peer_answer(step.state, answered(peer, INABLE))
    (store,) = effects_of(step, StoreJob)
    assert isinstance(store.value, JobPlan)
    refused = JobStored(NOW_MS, 1, StoreOutcome.REFUSED)
    step = handle_job_stored(step.state, refused)
    assert answer_of(step) == UNSTORED


@pytest.mark.parametrize(
    ("outcome", "answer"),
    [(StoreOutcome.REFUSED, UNSTORED), (StoreOutcome.UNKNOWN, UNCLEAR)],
)
def test_peer_is_asked_after_the_own_write_failed(outcome, answer):
    step = receive(build_manager(failed_ago_ms=None))
    assert effects_of(step, StoreJob)
    step = handle_job_stored(step.state, JobStored(NOW_MS, 1, outcome))
    for peer in SENT_TO:
        assert forwarded_to(step) == peer
        step = handle_peer_answer(step.state, answered(peer, INABLE))
    assert answer_of(step) == answer


# Failure: the store falls silent while a job is being stored.
@pytest.mark.parametrize(
    ("events", "answer"),
    [
        ([answered(LOCAL[0], Accepted())], Accepted()),
        ([answered(LOCAL[0], Rejected(KEY_REFUSED))], UNCLEAR),
        ([JobStored(NOW_MS, 1, StoreOutcome.STORED)], Accepted()),
        (
            [
                JobStored(NOW_MS, 1, StoreOutcome.REFUSED),
                answered(LOCAL[0], Rejected(KEY_REFUSED)),
            ],
            Rejected(KEY_REFUSED),
        ),
        (
            [
                JobStored(NOW_MS, 1, StoreOutcome.UNKNOWN),
                answered(LOCAL[0], Rejected(KEY_REFUSED)),
            ],
            UNCLEAR,
        ),
        (
            [
                *[answered(peer, INABLE) for peer in SENT_TO],
                JobStored(NOW_MS, 1, StoreOutcome.REFUSED),
            ],
            UNSTORED,
        ),
        (
            [
                failed(LOCAL[0], PeerOutcome.LOST),
                *[answered(peer, INABLE) for peer in SENT_TO[1:]],
                JobStored(NOW_MS, 1, StoreOutcome.REFUSED),
            ],
            UNCLEAR,
        ),
    ],
    ids=[
        "peer accepts",
        "peer refuses, own write on its way",
        "own write succeeds first",
        "own write refused, peer refuses",
        "own write unclear, peer refuses",
        "peers cannot serve, own write refused",
        "answer of a peer lost, own write refused",
    ],
)
def test_peer_is_asked_while_the_own_write_is_late(events, answer):
    manager = receive(build_manager(failed_ago_ms=None)).state
    cursor = replace(manager.progress_cursor, failed_ms=NOW_MS)
    manager = replace(manager, progress_cursor=cursor)
    step = forward_late_calls(manager, NOW_MS)
    assert forwarded_to(step) == LOCAL[0]
    again = forward_late_calls(step.state, NOW_MS + 100)
    assert forwarded_to(again) is None
    for event in events:
        assert answer_of(step) is None
        if isinstance(event, JobStored):
            step = handle_job_stored(step.state, event)
        else:
            step = handle_peer_answer(step.state, event)
    assert answer_of(step) == answer


# The request is stored already, so a lost answer leaves nothing open.
def test_peer_is_asked_whose_job_a_stored_cancel_request_is_about():
    step = receive(build_manager(failed_ago_ms=None), CancelJob())
    manager = step.state
    cursor = replace(manager.progress_cursor, failed_ms=NOW_MS)
    stored = JobStored(NOW_MS, 1, StoreOutcome.STORED)
    step = handle_job_stored(replace(manager, progress_cursor=cursor), stored)
    assert forwarded_to(step) == LOCAL[0]
    lost = failed(LOCAL[0], PeerOutcome.LOST)
    manager = handle_peer_answer(step.state, lost).state
    read = StreamRead(NOW_MS + 5, NOW_MS + 5, 0, Stream.JOBS, (), 1, False)
    manager = apply_stream_read(manager, read).state
    step = advance_calls(manager, NOW_MS + 5)
    assert answer_of(step) == Rejected(NO_SUCH_JOB)


@pytest.mark.parametrize(
    ("kind", "answer"),
    [(SUBMIT, UNCLEAR), (CancelJob(), UNCLEAR), (ShowJob(), INABLE)],
)
def test_forwarded_call_times_out(kind, answer):
    manager = receive(build_manager(), kind).state
    assert answer_of(advance_calls(manager, NOW_MS + 2_199)) is None
    assert answer_of(advance_calls(manager, NOW_MS + 2_200)) == answer


@pytest.mark.parametrize(
    ("manager", "version", "serves"),
    [
        (build_manager(failed_ago_ms=None), VERSION, True),
        (build_manager(failed_ago_ms=None), VERSION + 1, False),
        (build_manager(), VERSION, False),
        (build_manager(1_800, failed_ago_ms=None), VERSION, False),
        (build_manager(failed_ago_ms=None, stopping=True), VERSION, False),
    ],
    ids=[
        "reaches the store",
        "has an older manifest",
        "turned away itself",
        "manifest too old",
        "stops",
    ],
)
def test_peer_serves_a_call_or_refuses_it_at_once(manager, version, serves):
    forwarding = Forwarding("edge-a-9", version, NOW_MS + 800)
    call = build_call(forwarded=forwarding)
    step = receive_call(manager, PeerCallReceived(NOW_MS, call))
    assert forwarded_to(step) is None
    if serves:
        (store,) = effects_of(step, StoreJob)
        assert store.not_after_ms == NOW_MS + 800
        stored = JobStored(NOW_MS, 1, StoreOutcome.STORED)
        step = handle_job_stored(step.state, stored)
    answer = Accepted() if serves else INABLE
    assert decisions_of(step) == [AnswerPeer(1, answer, VERSION)]


@pytest.mark.parametrize("outcome", [StoreOutcome.REFUSED])
def test_forwarded_call_is_not_forwarded_again(outcome):
    forwarding = Forwarding("edge-a-9", VERSION, NOW_MS + 800)
    call = build_call(forwarded=forwarding)
    manager = build_manager(failed_ago_ms=None)
    step = receive_call(manager, PeerCallReceived(NOW_MS, call))
    step = handle_job_stored(step.state, JobStored(NOW_MS, 1, outcome))
    assert decisions_of(step) == [AnswerPeer(1, UNSTORED, VERSION)]


# Guards against a node that goes back to an older manifest: a peer judged by
# a newer one, and then this node can serve calls itself again.
def test_node_does_not_judge_by_an_older_manifest_than_its_peer():
    manager = receive(build_manager()).state
    event = answered(LOCAL[0], Accepted(), VERSION + 1)
    manager = handle_peer_answer(manager, event).state
    assert not is_manifest_current(manager, NOW_MS)
    newer = replace(build_manifest(), version=VERSION + 1)
    record = StoredRecord("config", newer)
    manager = read_records(manager, Stream.OPERATOR, record)
    assert is_manifest_current(manager, NOW_MS)


@pytest.mark.parametrize(
    ("events", "avoided", "paused_ms"),
    [
        ([failed(LOCAL[0], PeerOutcome.LOST)], {LOCAL[0]: 3_000}, 0),
        ([failed(LOCAL[0], PeerOutcome.NOT_SENT)], {LOCAL[0]: 3_000}, 0),
        ([answered(LOCAL[0], INABLE)], {LOCAL[0]: 1_000}, 0),
        ([answered(LOCAL[0], Accepted())], {}, 0),
        ([answered(name, INABLE) for name in LOCAL] * 2, None, 500),
        (
            [
                answered(LOCAL[0], INABLE),
                failed(LOCAL[1], PeerOutcome.LOST),
                failed(REMOTE[0], PeerOutcome.NOT_SENT),
            ]
            * 2,
            None,
            500,
        ),
        (
            [
                *[answered(name, INABLE) for name in LOCAL],
                answered(LOCAL[1], Accepted()),
                *[answered(name, INABLE) for name in LOCAL],
            ],
            None,
            0,
        ),
        (
            [answered(LOCAL[0], INABLE), answered(LOCAL[0], Accepted())],
            {},
            0,
        ),
    ],
    ids=[
        "answer lost",
        "cut off",
        "cannot serve",
        "served",
        "store down for all",
        "cut off from peers as well",
        "one of them served",
        "served again",
    ],
)
def test_outcomes_decide_which_peers_are_avoided(events, avoided, paused_ms):
    manager = build_manager()
    for event in events:
        manager = handle_peer_answer(manager, event).state
    peers = manager.peers
    if avoided is not None:
        assert dict(peers.avoided_until_ms_by_name) == {
            name: NOW_MS + pause_ms for name, pause_ms in avoided.items()
        }
    assert peers.paused_until_ms == (paused_ms and NOW_MS + paused_ms)


def test_peer_that_has_restarted_is_not_avoided_any_more():
    manager = handle_peer_answer(
        build_manager(), failed(LOCAL[0], PeerOutcome.LOST)
    ).state
    same = record_peer(manager, build_node(LOCAL[0]), NOW_MS)
    assert LOCAL[0] in same.peers.avoided_until_ms_by_name
    restarted = replace(build_node(LOCAL[0]), token="new")
    manager = record_peer(manager, restarted, NOW_MS)
    assert LOCAL[0] not in manager.peers.avoided_until_ms_by_name


# Guards against state that grows with every node that ever failed.
def test_no_more_is_remembered_than_the_latest_nodes():
    manager = build_manager(peers=build_peers())
    for number in range(MAX_PEERS + 50):
        node = build_node(f"edge-a-{number}")
        manager = record_peer(manager, node, NOW_MS + number)
        lost = failed(node.name, PeerOutcome.LOST, NOW_MS + number)
        manager = record_peer_outcome(manager, lost)
    assert len(manager.peers.by_name) == MAX_PEERS
    assert "edge-a-49" not in manager.peers.by_name
    assert len(manager.peers.avoided_until_ms_by_name) == MAX_PEERS


def test_registration_is_read_from_the_stream_of_jobs():
    node = build_node("edge-b-7")
    record = StoredRecord("node/edge-b-7", node)
    manager = read_records(build_manager(), Stream.JOBS, record)
    assert manager.peers.by_name["edge-b-7"].node == node


OLD_OWN = KnownPeer(replace(build_node(NAME), token="old"), NOW_MS)


@pytest.mark.parametrize(
    ("peers", "others", "registers"),
    [
        (PeerState(), {}, False),
        (build_peers(), {}, True),
        (build_peers(NAME), {}, False),
        (replace(build_peers(), by_name=Map({NAME: OLD_OWN})), {}, True),
        (build_peers(), {"jobs_cursor": StreamCursor()}, False),
        (build_peers(), {"stopping": True}, False),
    ],
    ids=[
        "no port",
        "not registered",
        "registered",
        "earlier process registered",
        "stream not read",
        "stops",
    ],
)
def test_node_registers_once_the_stream_does_not_show_it(
    peers, others, registers
):
    manager = build_manager(peers=peers, jitter_seed=300, **others)
    step = register_node(manager, NOW_MS)
    assert not effects_of(step, RegisterNode)
    early = register_node(step.state, NOW_MS + 299)
    assert not effects_of(early, RegisterNode)
    step = register_node(step.state, NOW_MS + 300)
    assert effects_of(step, RegisterNode) == (
        [RegisterNode(peers.own)] if registers else []
    )
    soon = register_node(step.state, NOW_MS + 5_299)
    assert not effects_of(soon, RegisterNode)


@pytest.mark.parametrize(
    ("age_ms", "renews"), [(599_000, False), (600_000, True)]
)
def test_registration_is_renewed(age_ms, renews):
    peers = replace(build_peers(NAME), registration_due_ms=1)
    manager = build_manager(peers=peers)
    step = register_node(manager, NOW_MS + age_ms)
    assert bool(effects_of(step, RegisterNode)) is renews
