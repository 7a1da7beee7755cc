"""Tables of what becomes of ceiling units between entries and the log."""

from immutables import Map
import pytest

from sesamehall.core.agreement import EntryMember
from sesamehall.core.agreement import Verdict
from sesamehall.core.effects import Exit
from sesamehall.core.effects import Send
from sesamehall.core.events import Completed
from sesamehall.core.events import MessageReceived
from sesamehall.core.events import RequestReceived
from sesamehall.core.events import StopRequested
from sesamehall.core.events import TargetAnswered
from sesamehall.core.events import TimerFired
from sesamehall.core.messages import RecordsForwarded
from sesamehall.core.messages import UnitsAsked
from sesamehall.core.messages import UnitsSent
from sesamehall.core.records import EntryExpired
from sesamehall.core.records import EntryJoined
from sesamehall.core.records import EntryLeft
from sesamehall.core.records import EntryRenewed
from sesamehall.core.records import LogEntry
from sesamehall.core.records import Record
from sesamehall.core.records import UnitsDeposited
from sesamehall.core.records import UnitsSettled
from sesamehall.core.records import UnitsWithdrawn
from sesamehall.core.replacing import replace
from sesamehall.core.timers import BeatTimer
from sesamehall.reducer.accounts import account_units
from sesamehall.reducer.allotments import held_units
from sesamehall.reducer.state_machine import apply_entry
from sesamehall.reducer.testing import build_agreed
from sesamehall.reducer.testing import build_entry
from sesamehall.reducer.testing import build_request
from sesamehall.reducer.testing import CEILING
from sesamehall.reducer.testing import OWN_INCARNATION
from sesamehall.reducer.testing import PEER_INCARNATION
from sesamehall.reducer.testing import reduce_all
from sesamehall.reducer.units import places_for
from sesamehall.reducer.units import units_for
from sesamehall.reducer.units import UNITS_PER_CEILING

PLACE = units_for(1, CEILING)
LEFT = Record("left", EntryLeft(PEER_INCARNATION))


def message(body, at_ms=0):
    return MessageReceived(at_ms, "entry-a", body)


def sent(total, giver=PEER_INCARNATION, taker=OWN_INCARNATION):
    return message(UnitsSent(giver, taker, Map(red=total)))


def forward(*records, first=10):
    entries = tuple(
        LogEntry(first + index, record) for index, record in enumerate(records)
    )
    return MessageReceived(0, "steward-a", RecordsForwarded(entries))


@pytest.mark.parametrize("ceiling", [1, 3, 7, 100, 999_999, 1_000_000])
@pytest.mark.parametrize("holders", [1, 2, 9, 40])
def test_places_of_all_holders_stay_within_ceiling(ceiling, holders):
    part = UNITS_PER_CEILING // holders
    assert holders * places_for(part, ceiling) <= ceiling
    assert places_for(UNITS_PER_CEILING, ceiling) == ceiling
    for wanted in (1, ceiling // 2, ceiling):
        units = units_for(wanted, ceiling)
        assert (
            units <= UNITS_PER_CEILING and places_for(units, ceiling) == wanted
        )
        assert places_for(units - 1, ceiling) < max(wanted, 1)


@pytest.mark.parametrize(
    ("messages", "gained"),
    [
        ([sent(5)], 5),
        ([sent(5), sent(5)], 5),
        ([sent(5), sent(9)], 9),
        ([sent(9), sent(5)], 9),
        ([sent(5, taker="entry-b:0")], 0),
        ([sent(5, giver="entry-a:0")], 0),
    ],
)
def test_repeated_late_and_foreign_loans(messages, gained):
    before = build_entry(places=1)
    state, _ = reduce_all(before, *messages)
    assert held_units(state, "red") == held_units(before, "red") + gained


@pytest.mark.parametrize(
    ("held", "running", "asked", "given"),
    [
        (4, 0, 1, 1),
        (4, 0, 9, 4),
        (4, 3, 9, 1),
        (4, 4, 9, 0),
        (0, 0, 1, 0),
        (2, 0, 0, 0),
    ],
)
def test_only_spare_places_are_lent(held, running, asked, given):
    events = [
        RequestReceived(0, build_request(f"r{i}")) for i in range(running)
    ]
    question = UnitsAsked("red", asked * PLACE, 0)
    before, _ = reduce_all(build_entry(held), *events)
    state, effects = reduce_all(before, message(question))
    units = held_units(before, "red") - held_units(state, "red")
    assert units == given * PLACE
    totals = [
        effect.message.total_by_team["red"]
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, UnitsSent)
    ]
    assert totals == ([given * PLACE] if given else [])


@pytest.mark.parametrize(
    ("holding", "given"), [(0, 1), (2, 1), (3, 0), (4, 0)]
)
def test_a_busy_entry_evens_out(holding, given):
    """It holds four places, runs four, has one waiting; then one ends."""
    events = [RequestReceived(0, build_request(f"r{i}")) for i in range(5)]
    state, _ = reduce_all(build_entry(4), *events)
    question = UnitsAsked("red", 4 * PLACE, holding * PLACE)
    state, _ = reduce_all(state, message(question))
    assert PEER_INCARNATION not in state.allotments.sent_by_incarnation
    ended = TargetAnswered(1, "r0", 1, Completed(200))
    state, _ = reduce_all(state, ended)
    total = state.allotments.sent_by_incarnation.get(
        PEER_INCARNATION, Map()
    ).get("red", 0)
    assert total == given * PLACE


@pytest.mark.parametrize(("places_held", "given"), [(3, 1), (4, 2)])
def test_places_without_slots_are_lent(places_held, given):
    """Two of the four slots are used elsewhere; waiting does not help."""
    state = build_entry(places_held)
    elsewhere = Map({"ex-1": 1, "ex-2": 1})
    entry = replace(state.entry, remote_running_by_target=elsewhere)
    state = replace(state, entry=entry)
    events = [RequestReceived(0, build_request(f"r{i}")) for i in range(5)]
    state, _ = reduce_all(state, *events)
    question = UnitsAsked("red", 4 * PLACE, 0)
    state, _ = reduce_all(state, message(question))
    total = state.allotments.sent_by_incarnation.get(
        PEER_INCARNATION, Map()
    ).get("red", 0)
    assert total == given * PLACE


def judge(*bodies):
    agreed = build_agreed(places=1)
    verdicts = []
    for index, body in enumerate(bodies):
        record = Record(f"r{index}", body)
        entry = LogEntry(agreed.next_offset, record)
        agreed, verdict = apply_entry(agreed, entry)
        verdicts.append(verdict)
    return agreed, verdicts


RED = Map(red=PLACE)
NONE = Map()
EXPIRED = EntryExpired(5, PEER_INCARNATION, 2)


@pytest.mark.parametrize(
    ("bodies", "verdicts", "account"),
    [
        ([UnitsWithdrawn(PEER_INCARNATION, RED)], "accepted", 2),
        (
            [UnitsWithdrawn(PEER_INCARNATION, Map(red=9 * PLACE))],
            "accepted",
            0,
        ),
        ([UnitsWithdrawn(PEER_INCARNATION, Map(red=-PLACE))], "accepted", 3),
        ([UnitsWithdrawn("nobody", RED)], "unknown name", 3),
        ([UnitsDeposited(OWN_INCARNATION, RED)], "accepted", 4),
        ([EntryJoined("entry-a", PEER_INCARNATION)], "already done", 3),
        ([EntryLeft("nobody")], "unknown name", 3),
        ([EntryExpired(4, PEER_INCARNATION, 2)], "stale epoch", 3),
        ([EntryExpired(5, PEER_INCARNATION, 1)], "stale epoch", 3),
        (
            [EntryRenewed(PEER_INCARNATION), EXPIRED],
            "accepted, stale epoch",
            3,
        ),
        ([EXPIRED], "accepted", 3),
        (
            [
                UnitsWithdrawn(PEER_INCARNATION, RED),
                EXPIRED,
                UnitsSettled(OWN_INCARNATION, PEER_INCARNATION, NONE, NONE),
            ],
            "accepted, accepted, accepted",
            3,
        ),
        (
            [
                UnitsWithdrawn(PEER_INCARNATION, RED),
                EntryLeft(PEER_INCARNATION),
                UnitsSettled(OWN_INCARNATION, PEER_INCARNATION, NONE, RED),
            ],
            "accepted, accepted, accepted",
            2,
        ),
        (
            [
                EntryLeft(PEER_INCARNATION),
                UnitsSettled(OWN_INCARNATION, PEER_INCARNATION, RED, NONE),
                UnitsSettled(OWN_INCARNATION, PEER_INCARNATION, RED, NONE),
            ],
            "accepted, accepted, already done",
            4,
        ),
        (
            [EntryLeft(OWN_INCARNATION), EntryLeft(PEER_INCARNATION)],
            "accepted, accepted",
            4,
        ),
    ],
)
def test_account(bodies, verdicts, account):
    agreed, found = judge(*bodies)
    assert ", ".join(verdict.value for verdict in found) == verdicts
    assert account_units(agreed, "red") == account * PLACE


def test_units_are_conserved_when_a_member_leaves():
    """What it held, lent and borrowed comes to the whole ceiling again."""
    state, _ = reduce_all(build_entry(places=2), sent(PLACE))
    question = UnitsAsked("red", 2 * PLACE, 0)
    state, _ = reduce_all(state, message(question))
    held = held_units(state, "red")
    state, effects = reduce_all(state, forward(LEFT))
    settled = [
        effect.message.record
        for effect in effects
        if getattr(effect, "peer", "") == "steward-a"
    ]
    assert isinstance(settled[0].body, UnitsSettled)
    state, _ = reduce_all(state, sent(3 * PLACE), forward(*settled, first=11))
    assert held_units(state, "red") == held
    assert (
        not state.allotments.sent_by_incarnation
        and not state.allotments.received_by_incarnation
    )
    assert account_units(state.agreed, "red") + held == UNITS_PER_CEILING


@pytest.mark.parametrize(
    ("body", "verdict"),
    [(EntryJoined("entry-c", "entry-c:1"), Verdict.ACCEPTED)],
)
def test_joining_is_known_by_incarnation(body, verdict):
    agreed, verdicts = judge(body)
    assert verdicts == [verdict]
    member = agreed.members_by_incarnation["entry-c:1"]
    assert member == EntryMember("entry-c", "entry-c:1", 10)


def test_expired_entry_begins_a_new_incarnation():
    expired = Record("x", EntryExpired(5, OWN_INCARNATION, 1))
    state, effects = reduce_all(build_entry(), forward(expired))
    assert state.identity.incarnation == f"{OWN_INCARNATION}+"
    assert held_units(state, "red") == 0
    state, effects = reduce_all(state, RequestReceived(1, build_request("r")))
    assert state.entry.running_by_team.get("red", 0) == 0


@pytest.mark.parametrize(
    ("at_ms", "running", "given", "ended"),
    [
        (0, 0, 0, False),
        (3_999, 0, 0, False),
        (4_000, 0, 3, False),
        (4_000, 1, 0, False),
        (6_000, 0, 0, True),
    ],
)
def test_stopping_entry_gives_its_units_away(at_ms, running, given, ended):
    """Without an answer of the log the units go to a peer, then it ends."""
    events = [
        RequestReceived(0, build_request(f"r{i}")) for i in range(running)
    ]
    state, _ = reduce_all(build_entry(3), *events, StopRequested(0))
    state, effects = reduce_all(state, TimerFired(at_ms, BeatTimer()))
    total = state.allotments.sent_by_incarnation.get(
        PEER_INCARNATION, Map()
    ).get("red", 0)
    assert total == given * PLACE
    assert any(isinstance(effect, Exit) for effect in effects) == ended
