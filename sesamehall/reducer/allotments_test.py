"""Tests of ceiling units: lending, the log's account and settlements."""

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
from sesamehall.reducer.state_machine import apply_log_entry
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
ENTRY_LEFT = Record("left", EntryLeft(PEER_INCARNATION))


def receive(body, at_ms=0):
    return MessageReceived(at_ms, "entry-a", body)


def units_sent(total, lender=PEER_INCARNATION, borrower=OWN_INCARNATION):
    return receive(UnitsSent(lender, borrower, Map(red=total)))


def receive_records(*records, first=10):
    entries = tuple(
        LogEntry(first + index, record) for index, record in enumerate(records)
    )
    return MessageReceived(0, "steward-a", RecordsForwarded(entries))


@pytest.mark.parametrize("ceiling", [1, 3, 7, 100, 999_999, 1_000_000])
@pytest.mark.parametrize("entries", [1, 2, 9, 40])
def test_places_of_all_entries_stay_within_ceiling(ceiling, entries):
    units_each = UNITS_PER_CEILING // entries
    assert entries * places_for(units_each, ceiling) <= ceiling
    assert places_for(UNITS_PER_CEILING, ceiling) == ceiling
    for count in (1, ceiling // 2, ceiling):
        units = units_for(count, ceiling)
        assert (
            units <= UNITS_PER_CEILING and places_for(units, ceiling) == count
        )
        assert places_for(units - 1, ceiling) < max(count, 1)


@pytest.mark.parametrize(
    ("messages", "gained"),
    [
        ([units_sent(5)], 5),
        ([units_sent(5), units_sent(5)], 5),
        ([units_sent(5), units_sent(9)], 9),
        ([units_sent(9), units_sent(5)], 9),
        ([units_sent(5, borrower="entry-b:0")], 0),
        ([units_sent(5, lender="entry-a:0")], 0),
    ],
)
def test_repeated_late_and_misaddressed_loans(messages, gained):
    before = build_entry(places=1)
    state, _ = reduce_all(before, *messages)
    assert held_units(state, "red") == held_units(before, "red") + gained


@pytest.mark.parametrize(
    ("held", "running", "requested", "lent"),
    [
        (4, 0, 1, 1),
        (4, 0, 9, 4),
        (4, 3, 9, 1),
        (4, 4, 9, 0),
        (0, 0, 1, 0),
        (2, 0, 0, 0),
    ],
)
def test_only_spare_places_are_lent(held, running, requested, lent):
    events = [
        RequestReceived(0, build_request(f"r{i}")) for i in range(running)
    ]
    request = UnitsAsked("red", requested * PLACE, 0)
    before, _ = reduce_all(build_entry(held), *events)
    state, effects = reduce_all(before, receive(request))
    units = held_units(before, "red") - held_units(state, "red")
    assert units == lent * PLACE
    totals = [
        effect.message.total_by_team["red"]
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, UnitsSent)
    ]
    assert totals == ([lent * PLACE] if lent else [])


@pytest.mark.parametrize(
    ("places_held", "lent"), [(0, 1), (2, 1), (3, 0), (4, 0)]
)
def test_busy_entry_lends_to_an_entry_with_fewer_places(places_held, lent):
    """All four places are in use and a request waits; then one is freed."""
    events = [RequestReceived(0, build_request(f"r{i}")) for i in range(5)]
    state, _ = reduce_all(build_entry(4), *events)
    request = UnitsAsked("red", 4 * PLACE, places_held * PLACE)
    state, _ = reduce_all(state, receive(request))
    assert PEER_INCARNATION not in state.allotments.sent_by_incarnation
    answered = TargetAnswered(1, "r0", 1, Completed(200))
    state, _ = reduce_all(state, answered)
    total = state.allotments.sent_by_incarnation.get(
        PEER_INCARNATION, Map()
    ).get("red", 0)
    assert total == lent * PLACE


@pytest.mark.parametrize(("places_held", "lent"), [(3, 1), (4, 2)])
def test_places_without_slots_are_lent(places_held, lent):
    """Other entries use two of four slots, so waiting requests lack slots."""
    state = build_entry(places_held)
    elsewhere = Map({"ex-1": 1, "ex-2": 1})
    entry = replace(state.entry, remote_running_by_target=elsewhere)
    state = replace(state, entry=entry)
    events = [RequestReceived(0, build_request(f"r{i}")) for i in range(5)]
    state, _ = reduce_all(state, *events)
    request = UnitsAsked("red", 4 * PLACE, 0)
    state, _ = reduce_all(state, receive(request))
    total = state.allotments.sent_by_incarnation.get(
        PEER_INCARNATION, Map()
    ).get("red", 0)
    assert total == lent * PLACE


def apply_records(*bodies):
    agreed = build_agreed(places=1)
    verdicts = []
    for index, body in enumerate(bodies):
        record = Record(f"r{index}", body)
        entry = LogEntry(agreed.next_offset, record)
        agreed, verdict = apply_log_entry(agreed, entry)
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
def test_account_and_verdicts(bodies, verdicts, account):
    agreed, found_verdicts = apply_records(*bodies)
    assert ", ".join(verdict.value for verdict in found_verdicts) == verdicts
    assert account_units(agreed, "red") == account * PLACE


def test_units_are_conserved_when_a_member_leaves():
    """The account and the entry hold the whole ceiling after settlement."""
    state, _ = reduce_all(build_entry(places=2), units_sent(PLACE))
    request = UnitsAsked("red", 2 * PLACE, 0)
    state, _ = reduce_all(state, receive(request))
    held = held_units(state, "red")
    state, effects = reduce_all(state, receive_records(ENTRY_LEFT))
    settled = [
        effect.message.record
        for effect in effects
        if getattr(effect, "peer", "") == "steward-a"
    ]
    assert isinstance(settled[0].body, UnitsSettled)
    state, _ = reduce_all(
        state, units_sent(3 * PLACE), receive_records(*settled, first=11)
    )
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
def test_members_are_kept_by_incarnation(body, verdict):
    agreed, verdicts = apply_records(body)
    assert verdicts == [verdict]
    member = agreed.members_by_incarnation["entry-c:1"]
    assert member == EntryMember("entry-c", "entry-c:1", 10)


def test_expired_entry_starts_a_new_incarnation():
    expired = Record("x", EntryExpired(5, OWN_INCARNATION, 1))
    state, effects = reduce_all(build_entry(), receive_records(expired))
    assert state.identity.incarnation == f"{OWN_INCARNATION}+"
    assert held_units(state, "red") == 0
    state, effects = reduce_all(state, RequestReceived(1, build_request("r")))
    assert state.entry.running_by_team.get("red", 0) == 0


@pytest.mark.parametrize(
    ("at_ms", "running", "lent", "exited"),
    [
        (0, 0, 0, False),
        (3_999, 0, 0, False),
        (4_000, 0, 3, False),
        (4_000, 1, 0, False),
        (6_000, 0, 0, True),
    ],
)
def test_stopping_entry_lends_its_units(at_ms, running, lent, exited):
    """Without a confirmation of the log it lends its units, then exits."""
    events = [
        RequestReceived(0, build_request(f"r{i}")) for i in range(running)
    ]
    state, _ = reduce_all(build_entry(3), *events, StopRequested(0))
    state, effects = reduce_all(state, TimerFired(at_ms, BeatTimer()))
    total = state.allotments.sent_by_incarnation.get(
        PEER_INCARNATION, Map()
    ).get("red", 0)
    assert total == lent * PLACE
    assert any(isinstance(effect, Exit) for effect in effects) == exited
