"""Tests of the entries' claims: requests with an id run at most once."""

from immutables import Map
import pytest

from sesamehall.core.data import Node
from sesamehall.core.data import NodeKind
from sesamehall.core.effects import Dispatch
from sesamehall.core.effects import Reply
from sesamehall.core.effects import Send
from sesamehall.core.events import DeadlinePassed
from sesamehall.core.events import MessageReceived
from sesamehall.core.events import NotSent
from sesamehall.core.events import RequestReceived
from sesamehall.core.events import TargetAnswered
from sesamehall.core.events import TimerFired
from sesamehall.core.limits import ID_CLAIM_RETENTION_MS
from sesamehall.core.messages import ClaimAnswered
from sesamehall.core.messages import ClaimAsked
from sesamehall.core.messages import ClaimReleased
from sesamehall.core.messages import ClaimsAsked
from sesamehall.core.messages import ClaimsTold
from sesamehall.core.messages import Vote
from sesamehall.core.replacing import replace
from sesamehall.core.state import Claims
from sesamehall.core.timers import BeatTimer
from sesamehall.core.timers import ClaimTimer
from sesamehall.reducer.claims import choose_voters
from sesamehall.reducer.testing import build_entry_state
from sesamehall.reducer.testing import build_request
from sesamehall.reducer.testing import reduce_all

NAME = "red/c"
COMPLETE = Claims(complete=True)


def receive(request_id, at_ms=0):
    request = build_request(request_id, idempotent=False, caller_id="c")
    return RequestReceived(at_ms, request)


def from_peer(message, at_ms=0):
    return MessageReceived(at_ms, "entry-a", message)


def vote(request_id, answer):
    return from_peer(ClaimAnswered(NAME, request_id, answer))


def summarize(effects):
    outcomes = []
    for effect in effects:
        match effect:
            case Dispatch(request_id):
                outcomes.append(f"{request_id} runs")
            case Reply(request_id, code):
                outcomes.append(f"{request_id} {code.number}")
            case Send(_, ClaimAsked(_, claimant)):
                outcomes.append(f"{claimant}?")
            case Send(_, ClaimReleased(_, claimant)):
                outcomes.append(f"{claimant} released")
            case Send(_, ClaimAnswered(_, claimant, answer)):
                outcomes.append(f"{claimant} {answer.value}")
    return outcomes


@pytest.mark.parametrize(
    ("events", "outcomes"),
    [
        ([receive("r"), vote("r", Vote.GRANTED)], ["r?", "r runs"]),
        (
            [receive("r"), vote("r", Vote.TAKEN)],
            ["r?", "r released", "r 3004"],
        ),
        (
            [receive("r"), vote("r", Vote.UNKNOWN)],
            ["r?", "r released", "r 2017"],
        ),
        (
            [receive("r"), TimerFired(1_000, ClaimTimer("r"))],
            ["r?", "r released", "r 2017"],
        ),
        (
            [receive("r"), DeadlinePassed(9, "r"), vote("r", Vote.GRANTED)],
            ["r?", "r released", "r 2008"],
        ),
        (
            [
                receive("r"),
                vote("r", Vote.GRANTED),
                vote("r", Vote.GRANTED),
                TimerFired(1_000, ClaimTimer("r")),
            ],
            ["r?", "r runs"],
        ),
        (
            [receive("r"), receive("s"), vote("r", Vote.GRANTED)],
            ["r?", "s?", "s released", "s 3004", "r runs"],
        ),
        (
            [
                receive("r"),
                vote("r", Vote.TAKEN),
                receive("s"),
                vote("s", Vote.GRANTED),
            ],
            ["r?", "r released", "r 3004", "s?", "s runs"],
        ),
        ([from_peer(ClaimAsked(NAME, "x"))], ["x granted"]),
        (
            [
                from_peer(ClaimAsked(NAME, "x")),
                from_peer(ClaimAsked(NAME, "x")),
            ],
            ["x granted", "x granted"],
        ),
        (
            [
                from_peer(ClaimAsked(NAME, "x")),
                from_peer(ClaimAsked(NAME, "y")),
            ],
            ["x granted", "y taken"],
        ),
        (
            [
                from_peer(ClaimAsked(NAME, "x")),
                from_peer(ClaimReleased(NAME, "y")),
                from_peer(ClaimAsked(NAME, "y")),
                from_peer(ClaimReleased(NAME, "x")),
                from_peer(ClaimAsked(NAME, "y")),
            ],
            ["x granted", "y taken", "y granted"],
        ),
    ],
)
def test_votes(events, outcomes):
    state = replace(build_entry_state(), claims=COMPLETE)
    _, effects = reduce_all(state, *events)
    assert summarize(effects) == outcomes


@pytest.mark.parametrize(
    ("attempt_outcomes", "released"),
    [([NotSent("x")] * 2, True), ([], False)],
)
def test_claim_is_released_only_if_nothing_ran(attempt_outcomes, released):
    state = replace(build_entry_state(), claims=COMPLETE)
    events = [receive("r"), vote("r", Vote.GRANTED)]
    events += [
        TargetAnswered(1, "r", attempt, answer)
        for attempt, answer in enumerate(attempt_outcomes, 1)
    ]
    events += [DeadlinePassed(30_000, "r")]
    _, effects = reduce_all(state, *events)
    assert ("r released" in summarize(effects)) == released


BEAT = TimerFired(5, BeatTimer())
AFTER_RETENTION = TimerFired(ID_CLAIM_RETENTION_MS, BeatTimer())
CLAIM = from_peer(ClaimAsked(NAME, "x"), ID_CLAIM_RETENTION_MS)


@pytest.mark.parametrize(
    ("events", "outcomes"),
    [
        ([CLAIM], ["x blind"]),
        ([BEAT, CLAIM], ["x blind"]),
        ([AFTER_RETENTION, CLAIM], ["x granted"]),
        ([from_peer(ClaimsTold(Map(), True)), BEAT, CLAIM], ["x blind"]),
        ([from_peer(ClaimsTold(Map(), False)), CLAIM], ["x granted"]),
        (
            [from_peer(ClaimsTold(Map({NAME: "y"}), False)), CLAIM],
            ["x taken"],
        ),
        (
            [from_peer(ClaimsTold(Map({NAME: "y"}), True)), CLAIM],
            ["x taken"],
        ),
    ],
)
def test_restarted_voter_votes_unknown_until_synced(events, outcomes):
    _, effects = reduce_all(build_entry_state(), *events)
    assert summarize(effects) == outcomes


def test_claims_are_sent_and_expire_after_two_periods():
    state = replace(build_entry_state(), claims=COMPLETE)
    state, effects = reduce_all(
        state, from_peer(ClaimAsked(NAME, "x")), from_peer(ClaimsAsked())
    )
    assert effects[-1].message == ClaimsTold(Map({NAME: "x"}), False)
    for period, votes in ((1, ["y taken"]), (2, ["y granted"])):
        at_ms = period * ID_CLAIM_RETENTION_MS
        state, _ = reduce_all(state, TimerFired(at_ms, BeatTimer()))
        assert (
            summarize(
                reduce_all(state, from_peer(ClaimAsked(NAME, "y"), at_ms))[1]
            )
            == votes
        )


@pytest.mark.parametrize(
    ("centres", "spread"), [("aabbcc", 3), ("aaabbb", 2), ("aaaaaa", 1)]
)
def test_voters_are_spread_and_the_same_on_all_entries(centres, spread):
    nodes = [
        Node(f"e{index}", NodeKind.ENTRY, centre, "")
        for index, centre in enumerate(centres)
    ]
    found = set()
    for node in nodes:
        peers = Map((n.name, n) for n in nodes if n is not node)
        identity = replace(
            build_entry_state().identity, node=node, peers_by_name=peers
        )
        state = replace(build_entry_state(), identity=identity)
        found.add(choose_voters(state, NAME))
    (voters,) = found
    assert len({centres[int(name[1])] for name in voters}) == spread
    assert len(set(voters)) == 3
