"""Tests of requests: admission, routing and answers."""

from immutables import Map
import pytest

from sesamehall.core.agreement import Placement
from sesamehall.core.data import Move
from sesamehall.core.data import PresentedKey
from sesamehall.core.effects import Dispatch
from sesamehall.core.effects import Forward
from sesamehall.core.effects import Reply
from sesamehall.core.events import Broken
from sesamehall.core.events import CallerGone
from sesamehall.core.events import Completed
from sesamehall.core.events import DeadlinePassed
from sesamehall.core.events import Declined
from sesamehall.core.events import NotSent
from sesamehall.core.events import RequestReceived
from sesamehall.core.events import StopRequested
from sesamehall.core.events import TargetAnswered
from sesamehall.core.events import TimerFired
from sesamehall.core.events import TooLate
from sesamehall.core.replacing import replace
from sesamehall.core.timers import LingerTimer
from sesamehall.core.timers import ProbeTimer
from sesamehall.reducer.testing import build_entry_state
from sesamehall.reducer.testing import build_request
from sesamehall.reducer.testing import CEILING
from sesamehall.reducer.testing import DIGEST
from sesamehall.reducer.testing import INSTANCES
from sesamehall.reducer.testing import reduce_all

MOVE = Move("m", "ex-1", "pool", "other")

# Result codes in the tables below:
#   1000 answered                2008 deadline passed in queue
#   2001 key missing             2009 entry stopping
#   2002 key refused             2010 entry not ready
#   2003 not admitted            2012 team has no limit
#   2004 no such service         3001 answer lost
#   2007 queue full              3002 target too slow


def receive(request_id, team="red", at_ms=0, **changes):
    return RequestReceived(at_ms, build_request(request_id, team, **changes))


def answer(request_id, outcome, attempt=1, at_ms=5):
    return TargetAnswered(at_ms, request_id, attempt, outcome)


def summarize(effects):
    """Write dispatches as "request>target" and answers as "request:code"."""
    summary = []
    for effect in effects:
        match effect:
            case Dispatch():
                summary.append(f"{effect.request_id}>{effect.target}")
            case Forward(request_id):
                summary.append(f"{request_id}:1000")
            case Reply(request_id, code):
                summary.append(f"{request_id}:{code.number}")
    return summary


@pytest.mark.parametrize(
    ("changes", "code"),
    [
        ({"key": None}, 2001),
        ({"key": PresentedKey("key-red", bytes(32))}, 2002),
        ({"key": PresentedKey("key-nobody", DIGEST)}, 2002),
        ({"key": PresentedKey("key-nobody", bytes(32))}, 2002),
        ({"service": "forms"}, 2003),
        ({"service": "nothing"}, 2004),
    ],
)
def test_refused_on_arrival(changes, code):
    _, effects = reduce_all(build_entry_state(), receive("r", **changes))
    assert summarize(effects) == [f"r:{code}"]


@pytest.mark.parametrize(
    ("change", "code"),
    [
        (lambda a: replace(a, next_offset=0), 2010),
        (lambda a: replace(a, limits_by_team=Map()), 2012),
        (lambda a: replace(a, keys_by_id=Map()), 2002),
        (lambda a: replace(a, plans_by_team=Map()), 2003),
    ],
)
def test_refused_by_replicated_state(change, code):
    state = build_entry_state()
    state = replace(state, agreed=change(state.agreed))
    _, effects = reduce_all(state, receive("r"))
    assert summarize(effects) == [f"r:{code}"]


def test_open_service_charges_its_team():
    event = receive("r", service="forms", key=None)
    state, effects = reduce_all(build_entry_state(), event)
    assert summarize(effects) == ["r>ex-1"]
    assert state.entry.running_by_team == Map(blue=1)


@pytest.mark.parametrize(
    ("events", "summary"),
    [
        ([receive("r"), answer("r", Completed(200))], ["r>ex-1", "r:1000"]),
        (
            [receive("r"), answer("r", Completed(200), attempt=2)],
            ["r>ex-1"],
        ),
        (
            [receive("r"), answer("r", NotSent("x"))],
            ["r>ex-1", "r>ex-2"],
        ),
        (
            [
                receive("r"),
                answer("r", NotSent("x")),
                answer("r", NotSent("x"), attempt=2),
                DeadlinePassed(30_000, "r"),
            ],
            ["r>ex-1", "r>ex-2", "r:2008"],
        ),
        (
            [receive("r"), answer("r", Broken("x", False))],
            ["r>ex-1", "r>ex-2"],
        ),
        (
            [receive("r"), answer("r", Broken("x", True))],
            ["r>ex-1", "r:3002"],
        ),
        (
            [
                receive("r", idempotent=False),
                answer("r", Broken("x", False)),
                answer("r", Completed(200)),
            ],
            ["r>ex-1", "r:3001"],
        ),
        (
            [receive("r", idempotent=False), answer("r", NotSent("x"))],
            ["r>ex-1", "r>ex-2"],
        ),
        (
            [receive("r", idempotent=False), answer("r", Declined())],
            ["r>ex-1", "r>ex-2"],
        ),
        (
            [receive("r"), answer("r", TooLate(), at_ms=40_000)],
            ["r>ex-1", "r:2008"],
        ),
        (
            [receive("r"), DeadlinePassed(30_000, "r")],
            ["r>ex-1"],
        ),
        (
            [receive("r"), StopRequested(1), receive("s")],
            ["r>ex-1", "s:2009"],
        ),
    ],
)
def test_outcome_of_a_request(events, summary):
    _, effects = reduce_all(build_entry_state(), *events)
    assert summarize(effects) == summary


@pytest.mark.parametrize(
    ("waiting", "disconnected", "served"),
    [
        (["s", "t", "u"], [], ["s", "t", "u"]),
        (["s", "t", "u"], ["s"], ["t", "u"]),
        (["s", "t", "u"], ["t"], ["s", "u"]),
        (["s", "t", "u"], ["u", "s", "t"], []),
        (["s", "!t", "u", "!v"], ["!t"], ["!v", "s", "u"]),
    ],
)
def test_queue_order_without_disconnected_callers(
    waiting, disconnected, served
):
    """One request runs at a time; names of urgent requests begin with "!"."""
    events = [receive("r")]
    events += [receive(name, urgent=name[0] == "!") for name in waiting]
    events += [CallerGone(1, name) for name in disconnected]
    running = "r"
    started = []
    state, _ = reduce_all(build_entry_state(places=1), *events)
    for _ in range(len(served)):
        state, effects = reduce_all(state, answer(running, Completed(200)))
        running = summarize(effects)[1].partition(">")[0]
        started.append(running)
    assert started == served
    state, effects = reduce_all(state, answer(running, Completed(200)))
    assert summarize(effects) == [f"{running}:1000"]
    assert state.entry == replace(
        build_entry_state().entry,
        retry_budget_milli=state.entry.retry_budget_milli,
        changed_teams=state.entry.changed_teams,
        changed_targets=state.entry.changed_targets,
        report_scheduled=state.entry.report_scheduled,
    )


@pytest.mark.parametrize(
    ("places", "count", "started"),
    [(0, 3, 0), (1, 3, 1), (3, 8, 3), (CEILING, 8, CEILING)],
)
def test_running_requests_stay_within_places(places, count, started):
    events = [receive(f"r{index}") for index in range(count)]
    state, _ = reduce_all(build_entry_state(places), *events)
    assert state.entry.running_by_team.get("red", 0) == started


def test_queue_is_bounded():
    events = [receive(f"r{index}") for index in range(9)]
    _, effects = reduce_all(build_entry_state(places=0), *events)
    assert summarize(effects) == ["r8:2007"]


@pytest.mark.parametrize(
    ("lease_end_ms", "started"), [(0, 0), (9, 0), (10, 0), (11, 1)]
)
def test_nothing_starts_after_the_lease(lease_end_ms, started):
    state = build_entry_state()
    allotments = replace(state.allotments, lease_end_ms=lease_end_ms)
    state = replace(state, allotments=allotments)
    state, _ = reduce_all(state, receive("r", at_ms=10))
    assert len(state.entry.running_by_team) == started


@pytest.mark.parametrize(
    ("instance", "placement", "target"),
    [
        (INSTANCES[0], Placement(INSTANCES[0], "pool"), "ex-1"),
        (INSTANCES[0], Placement(INSTANCES[0], "pool", MOVE), "ex-2"),
        (
            replace(INSTANCES[0], leaving=True),
            Placement(INSTANCES[0], "pool"),
            "ex-2",
        ),
        (
            replace(INSTANCES[0], data_centre="south"),
            Placement(INSTANCES[0], "pool"),
            "ex-2",
        ),
    ],
)
def test_leaving_and_distant_targets_are_avoided(instance, placement, target):
    state = build_entry_state()
    first = state.entry.targets_by_name["ex-1"]
    targets = state.entry.targets_by_name.set(
        "ex-1", replace(first, instance=instance)
    )
    placements = state.agreed.placements_by_instance.set("ex-1", placement)
    state = replace(
        state,
        entry=replace(state.entry, targets_by_name=targets),
        agreed=replace(state.agreed, placements_by_instance=placements),
    )
    _, effects = reduce_all(state, receive("r"))
    assert summarize(effects) == [f"r>{target}"]


def test_failing_target_is_quarantined_and_probed():
    state = build_entry_state()
    for index in range(3):
        name = f"r{index}"
        state, _ = reduce_all(
            state,
            receive(name),
            answer(name, NotSent("down")),
            answer(name, Completed(200), attempt=2),
        )
    state, effects = reduce_all(state, receive("s"), receive("t"))
    assert summarize(effects) == ["s>ex-2", "t>ex-2"]
    state, effects = reduce_all(
        state,
        TimerFired(2_000, ProbeTimer("ex-1")),
        receive("u"),
        receive("v"),
    )
    assert summarize(effects) == ["u>ex-1"]
    state, effects = reduce_all(state, answer("u", Completed(200)))
    assert summarize(effects) == ["u:1000", "v>ex-1"]


@pytest.mark.parametrize(("idempotent", "running"), [(False, 1), (True, 2)])
def test_unknown_outcome_stays_charged(idempotent, running):
    event = receive("r", idempotent=idempotent)
    state, _ = reduce_all(
        build_entry_state(), event, answer("r", Broken("x", False))
    )
    assert state.entry.running_by_team["red"] == running
    state, _ = reduce_all(state, TimerFired(32_000, LingerTimer("r#1")))
    assert state.entry.running_by_team.get("red", 0) == running - 1


@pytest.mark.parametrize(
    ("red", "blue", "first"),
    [(0, 0, "blue"), (0, 1, "blue"), (0, 3, "red"), (1, 3, "blue")],
)
def test_free_slot_goes_to_team_with_fewest_requests_per_share(
    red, blue, first
):
    """Red has share 1 and blue share 3.

    When a slot becomes free, 1 request of red and 2 of blue run here.  The
    numbers for other entries are chosen so that the totals are `red` and
    `blue`; negative ones do not occur otherwise.
    """
    state = build_entry_state()
    state, _ = reduce_all(
        state, *[receive(f"x{i}", ("red", "blue")[i % 2]) for i in range(4)]
    )
    state, _ = reduce_all(state, receive("r"), receive("b", "blue"))
    remote_running = Map(red=red - 1, blue=blue - 2)
    entry = replace(state.entry, remote_running_by_team=remote_running)
    state = replace(state, entry=entry)
    _, effects = reduce_all(state, answer("x0", Completed(200)))
    started = summarize(effects)[1]
    assert started[0] == first[0]
