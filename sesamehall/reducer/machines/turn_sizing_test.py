"""Tests of pool sizes in a deployment whose demand comes by turns."""

from immutables import Map
import pytest

from sesamehall.core.fleet import Machine
from sesamehall.core.fleet import MachineState
from sesamehall.core.fleetstate import FleetState
from sesamehall.core.fleetstate import SmoothedDemand
from sesamehall.core.manifest import Queue
from sesamehall.core.manifest import WorkerPool
from sesamehall.core.replacing import replace
from sesamehall.core.turnstate import ExpectedTurn
from sesamehall.core.turnstate import QueueLoad
from sesamehall.core.turnstate import Turn
from sesamehall.core.turnstate import TurnHistory
from sesamehall.core.turntiming import FIRST_TURN_HOLD_MS
from sesamehall.core.workstate import Arrivals
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_manifest
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import CAPACITY
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.machines.moves import choose_moves
from sesamehall.reducer.machines.sizing import PoolDemand
from sesamehall.reducer.machines.turn_forecasts import ended_turn_pool
from sesamehall.reducer.machines.turn_forecasts import forecast_load
from sesamehall.reducer.machines.turn_forecasts import is_first_turn
from sesamehall.reducer.machines.turn_sizing import apply_turns

PEAK = 40 * CAPACITY.cpu_milli  # load of 40 workers, in core-ms per second
BEGAN_MS = NOW_MS - 8_000
PAST = Turn(
    "quotes",
    BEGAN_MS,
    NOW_MS,
    peak_core_ms_per_s=PEAK,
    core_ms=5 * PEAK,
    weighted_age_ms=4_000 * 5 * PEAK,
)
DEMAND = {"a": PoolDemand(0, 1), "b": PoolDemand(2, 3)}


def build_turns(**others):
    """Build a leader that has seen a turn of "quotes", in pool "a".

    "prices", in pool "b", is a queue whose jobs cannot wait for machines.
    """
    manifest = build_manifest()
    prices = Queue("prices", "p.example", "/p/", "b")
    manifest = replace(
        manifest,
        queues_by_name=manifest.queues_by_name.set("prices", prices),
        pools_by_name=manifest.pools_by_name.set("b", WorkerPool("b")),
    )
    loads = Map(quotes=load(0), prices=load(0))
    fields = {"loads_by_queue": loads, "past": (PAST,), **others}
    workers = [build_worker("w1"), build_worker("w2")]
    turns = TurnHistory(**fields)
    return build_leader(*workers, manifest=manifest, turns=turns)


def load(core_ms_per_s, path_ms=500, seen=20):
    """Build a queue's load."""
    return QueueLoad(core_ms_per_s, 9, path_ms, seen, NOW_MS)


def expect(*queues, chance=1.0, missed=False):
    """Build an expectation of a turn."""
    return ExpectedTurn("quotes", queues, NOW_MS + 1_000, chance, missed)


RISING = Turn("prices", NOW_MS - 500)


@pytest.mark.parametrize(
    ("pattern", "turns", "least", "most"),
    [
        ("no turn was seen", {"past": (), "current": RISING}, 0, 0),
        ("none is expected", {}, 0, 0),
        ("expected", {"expected": expect("prices")}, 0.5, 0.9),
        (
            "one of many",
            {"expected": expect("prices", "x", chance=0.1)},
            0.1,
            0.2,
        ),
        (
            "expected, earlier ones did not come",
            {"expected": expect("prices"), "confidence": 0.25},
            0.2,
            0.5,
        ),
        (
            "failed to come",
            {"expected": expect("prices", missed=True)},
            0,
            0,
        ),
        (
            "has begun",
            {
                "current": replace(RISING, began_ms=NOW_MS - 2_500),
                "loads_by_queue": Map(prices=load(PEAK / 2)),
            },
            1,
            1,
        ),
        (
            "has begun, much lower than others",
            {
                "current": replace(RISING, began_ms=NOW_MS - 2_500),
                "loads_by_queue": Map(prices=load(PEAK / 20)),
            },
            0.15,
            0.15,
        ),
        (
            "is past its highest load",
            {
                "current": replace(RISING, began_ms=NOW_MS - 6_000),
                "loads_by_queue": Map(prices=load(PEAK)),
            },
            0,
            0,
        ),
        (
            "goals are not known",
            {
                "expected": expect("prices"),
                "loads_by_queue": Map(prices=load(0, seen=2)),
            },
            0,
            0,
        ),
    ],
    ids=lambda value: value if isinstance(value, str) else "",
)
def test_forecast(pattern, turns, least, most):
    """The forecast is a share of the highest load of the turn before."""
    share = forecast_load(build_turns(**turns), "b", NOW_MS) / PEAK
    assert least <= round(share, 3) <= most


@pytest.mark.parametrize(("slack_ms", "prepared"), [(0, True), (4_000, False)])
def test_jobs_that_can_wait_need_no_preparation(slack_ms, prepared):
    manager = build_turns(expected=expect("prices"))
    queues = manager.manifest.queues_by_name
    queue = replace(queues["prices"], slack_ms=slack_ms)
    manifest = replace(
        manager.manifest, queues_by_name=queues.set("prices", queue)
    )
    manager = replace(manager, manifest=manifest)
    assert bool(forecast_load(manager, "b", NOW_MS)) == prepared


@pytest.mark.parametrize(
    "turns",
    [{"past": ()}, {"past": (), "current": RISING}],
    ids=["noise", "first turn"],
)
def test_demand_is_unchanged_until_a_turn_has_ended(turns):
    manager = build_turns(**turns)
    _, demand = apply_turns(manager, DEMAND, NOW_MS)
    assert demand is DEMAND
    assert not ended_turn_pool(manager, NOW_MS)


@pytest.mark.parametrize(
    ("machines", "least", "most"), [(200, 25, 45), (10, 9, 9), (3, 3, 3)]
)
def test_expected_turn_gets_what_is_left(machines, least, most):
    """A wrong forecast must not take machines from jobs that have arrived."""
    names = [f"m{number}" for number in range(machines)]
    fleet = FleetState(machines_by_name=Map(dict.fromkeys(names)))
    manager = replace(
        build_turns(expected=expect("prices")),
        fleet=fleet,
    )
    _, demand = apply_turns(manager, DEMAND, NOW_MS)
    assert demand["a"].wanted_workers == 1
    assert least <= demand["b"].wanted_workers <= most


def test_short_peak_of_demand_is_smoothed():
    """Guards against sizes that swing by half of a pool within a second."""
    smoothed = Map(a=SmoothedDemand(1.0, NOW_MS - 100))
    manager = replace(
        build_turns(), fleet=FleetState(smoothed_demand_by_pool=smoothed)
    )
    wide = {**DEMAND, "a": PoolDemand(0, 61)}
    manager, demand = apply_turns(manager, wide, NOW_MS)
    assert demand["a"].wanted_workers == 1  # nothing runs that could use more
    manager, demand = apply_turns(manager, DEMAND, NOW_MS + 100)
    assert demand["b"].wanted_workers == 3


@pytest.mark.parametrize(("after_ms", "pool"), [(0, "a"), (60_000, "")])
def test_pool_of_the_turn_that_has_ended(after_ms, pool):
    """Its machines are moved first, and are not kept for long."""
    manager = build_turns(current=RISING)
    assert ended_turn_pool(manager, NOW_MS + after_ms) == pool


@pytest.mark.parametrize(
    ("begun", "pool", "after_ms", "first"),
    [
        (1, "b", 0, True),
        (1, "a", 0, False),
        (1, "b", FIRST_TURN_HOLD_MS, False),
        (2, "b", 0, False),
    ],
    ids=["its pool", "another pool", "later", "not the first"],
)
def test_pool_of_the_first_turn_is_not_reduced(begun, pool, after_ms, first):
    """Steady load with changing queues in front must not keep machines."""
    manager = build_turns(past=(), current=RISING, begun=begun)
    assert is_first_turn(manager, pool, NOW_MS + after_ms) == first


@pytest.mark.parametrize(
    ("ended_ago_ms", "spare_machines", "moves"),
    [(0, 1, True), (30_000, 1, True), (0, 40, True), (30_000, 40, False)],
    ids=["few", "few, long ago", "enough", "enough, long ago"],
)
def test_machines_move_straight_from_turn_to_turn(
    ended_ago_ms, spare_machines, moves
):
    """Guards against moves to standby and back within two seconds."""
    past = replace(
        PAST,
        began_ms=BEGAN_MS - ended_ago_ms,
        ended_ms=NOW_MS - ended_ago_ms,
    )
    manager = build_turns(past=(past,), expected=expect("prices"))
    up = MachineState.UP
    machines = [Machine(f"m{n}", "a", up, f"w{n}") for n in (1, 2)]
    machines += [
        Machine(f"p{n}", "spare", up) for n in range(1, spare_machines + 1)
    ]
    fleet = FleetState(
        machines_by_name=Map((listed.name, listed) for listed in machines),
        listed_ms=NOW_MS,
    )
    manager = replace(
        manager, fleet=fleet, arrivals_by_queue=Map(quotes=Arrivals())
    )
    orders = choose_moves(manager, NOW_MS).state.fleet.orders_by_machine
    to_next = [name for name, order in orders.items() if order.pool == "b"]
    assert "p1" in to_next
    assert ("m1" in to_next) == moves
