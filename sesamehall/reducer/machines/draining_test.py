"""Tests of draining: starts in a data centre that operators want empty."""

from immutables import Map
import pytest

from sesamehall.core.data import Node
from sesamehall.core.data import NodeKind
from sesamehall.core.draining import Drain
from sesamehall.core.draining import DrainingState
from sesamehall.core.events import TimerFired
from sesamehall.core.fleet import Machine
from sesamehall.core.fleet import MachineState
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.fleetstate import FleetState
from sesamehall.core.fleetstate import MachineOrderKind
from sesamehall.core.fleetstate import PendingOrder
from sesamehall.core.fleetstate import WaveProgress
from sesamehall.core.logevents import DRAIN_COMPLETED
from sesamehall.core.logevents import DRAIN_DOUBTFUL
from sesamehall.core.logevents import DRAIN_PROGRESS
from sesamehall.core.logevents import DRAIN_REQUESTED
from sesamehall.core.logevents import DRAIN_REVOKED
from sesamehall.core.managereffects import StartRun
from sesamehall.core.managereffects import StopRun
from sesamehall.core.managerevents import OrderRefusal
from sesamehall.core.managerevents import RunAnswered
from sesamehall.core.managerevents import StreamRead
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.managerstate import StreamCursor
from sesamehall.core.managerstate import Timing
from sesamehall.core.manifest import DrainRequest
from sesamehall.core.manifest import Quota
from sesamehall.core.manifest import Wave
from sesamehall.core.manifest import WorkerPool
from sesamehall.core.replacing import replace
from sesamehall.core.state import Identity
from sesamehall.core.state import State
from sesamehall.core.timers import ManagerTimer
from sesamehall.core.work import NO_SIZE
from sesamehall.core.workstate import Arrivals
from sesamehall.core.workstate import RunState
from sesamehall.reducer.jobs.leadership import end_term
from sesamehall.reducer.jobs.orders import handle_start_answer
from sesamehall.reducer.jobs.state_updates import drop_worker
from sesamehall.reducer.jobs.state_updates import put_worker
from sesamehall.reducer.jobs.stream_reading import apply_stream_read
from sesamehall.reducer.jobs.testing import activate_jobs
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_step
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import details_of
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.jobs.testing import OTHER_JOB_ID
from sesamehall.reducer.jobs.testing import place_all
from sesamehall.reducer.jobs.testing import SMALL
from sesamehall.reducer.jobs.testing import task
from sesamehall.reducer.machines.draining import advance_drains
from sesamehall.reducer.machines.fleet import advance_fleet
from sesamehall.reducer.manager_reducer import reduce_manager

UP = MachineState.UP
REQUEST = StoredRecord("drain/north", DrainRequest("north"))
UNREADABLE = StoredRecord("drain/north", DrainRequest("north", False))
DELETION = StoredRecord("drain/north", None)
WITHIN_MS = 5_000
STRETCH_MS = 6_000


def drains(*data_centres):
    """Build the state of drains that were read a second ago."""
    return DrainingState(
        Map((name, Drain(NOW_MS - 1_000)) for name in data_centres)
    )


def worker_in(name, data_centre, **others):
    """Build a worker of a data centre that is available for tasks."""
    worker = build_worker(name, **others)
    entry = replace(worker.entry, data_centre=data_centre)
    return replace(worker, entry=entry)


def build_two_centres(*plans, drained=("north",), **others):
    """Build a leader with a worker in each of two data centres."""
    manager = build_leader(
        worker_in("w1", "north"),
        worker_in("w2", "south"),
        draining=drains(*drained),
        **others,
    )
    return activate_jobs(manager, *plans)


def starts(step):
    """List the workers that were ordered to start a task."""
    return {order.worker_id for order in effects_of(step, StartRun)}


ONE_ON_EACH = build_plan(build_step(2, max_per_worker=1))


@pytest.mark.parametrize(
    ("drained", "first_data_centre", "machine_data_centre", "expected"),
    [
        ((), "north", "", {"w1", "w2"}),
        (("north",), "north", "", {"w2"}),
        (("north",), "north", "south", {"w2"}),
        (("east",), "north", "", {"w1", "w2"}),
        (("north", "south"), "north", "", set()),
        (("north",), "", "", {"w2"}),
        (("north",), "", "north", {"w2"}),
        (("north",), "", "south", {"w1", "w2"}),
    ],
    ids=[
        "none drained",
        "one drained",
        "the registration counts before the machine",
        "another one drained",
        "all drained",
        "data centre unknown",
        "data centre of the machine drained",
        "data centre of the machine not drained",
    ],
)
def test_no_start_in_a_drained_data_centre(
    drained, first_data_centre, machine_data_centre, expected
):
    machine = Machine("m1", "a", UP, "w1", machine_data_centre)
    manager = build_leader(
        worker_in("w1", first_data_centre),
        worker_in("w2", "south"),
        draining=drains(*drained),
        fleet=FleetState(machines_by_name=Map(m1=machine)),
    )
    assert starts(place_all(activate_jobs(manager, ONE_ON_EACH))) == expected


# Guards against a start after the limit: an order whose answer was lost may
# not have arrived before.
@pytest.mark.parametrize(("drained", "repeats"), [((), 1), (("north",), 0)])
def test_order_without_answer_is_not_repeated(drained, repeats):
    manager = build_leader(worker_in("w1", "north"))
    manager = place_all(activate_jobs(manager, build_plan())).state
    manager = replace(manager, draining=drains(*drained))
    answer = RunAnswered(
        at_ms=NOW_MS + 500,
        worker_id="w1",
        epoch=1,
        task=task(),
        number=1,
        clock_ms=0,
        refusal=OrderRefusal.SILENT,
    )
    step = handle_start_answer(manager, answer)
    assert len(effects_of(step, StartRun)) == repeats


# Guards against starts by a leader that reads a request late: the limit counts
# from when the request was stored, which is later than the newest known time.
@pytest.mark.parametrize(
    ("known_ago_ms", "failing", "within_ms", "valid_ms"),
    [
        (0, False, WITHIN_MS, 2_500),
        (3_000, False, WITHIN_MS, 1_000),
        (3_999, False, WITHIN_MS, 1),
        (4_000, False, WITHIN_MS, None),
        (3_000, True, WITHIN_MS, 1_000),
        (4_000, True, WITHIN_MS, 2_500),
        (9_000, True, WITHIN_MS, 1_000),
        (10_000, True, WITHIN_MS, None),
        (None, False, WITHIN_MS, None),
        (10_000, False, 0, 2_500),
        (None, False, 0, 2_500),
        (1_799, False, 500, 1),
        (1_800, False, 500, None),
    ],
    ids=[
        "just read",
        "order ends at the limit",
        "just before the limit",
        "limit reached",
        "store fails for a moment",
        "store fails for long",
        "end of the stretch",
        "stretch is over",
        "never read to its end",
        "no limit set",
        "no limit set, never read",
        "limit below the period of reads",
        "that limit reached",
    ],
)
def test_start_needs_a_recent_read_of_requests(
    known_ago_ms, failing, within_ms, valid_ms
):
    cursor = StreamCursor(
        known_until_ms=-1 if known_ago_ms is None else NOW_MS - known_ago_ms,
        failed_ms=NOW_MS - 100 if failing else -1,
    )
    timing = Timing(drain_within_ms=within_ms, max_stretch_ms=STRETCH_MS)
    manager = build_leader(
        worker_in("w1", "north"), operator_cursor=cursor, timing=timing
    )
    step = place_all(activate_jobs(manager, build_plan()))
    limits = [
        order.not_after_ms - NOW_MS for order in effects_of(step, StartRun)
    ]
    assert limits == ([] if valid_ms is None else [valid_ms])


@pytest.mark.parametrize("leads", [True, False], ids=["leader", "follower"])
@pytest.mark.parametrize(
    ("reads", "drained", "events"),
    [
        ([((REQUEST,), False)], True, [DRAIN_REQUESTED]),
        ([((REQUEST,), True)], True, [DRAIN_REQUESTED]),
        ([((REQUEST, REQUEST), False)], True, [DRAIN_REQUESTED]),
        (
            [((REQUEST,), False), ((DELETION,), False)],
            False,
            [DRAIN_REQUESTED, DRAIN_REVOKED],
        ),
        (
            [((REQUEST,), False), ((), True)],
            False,
            [DRAIN_REQUESTED, DRAIN_REVOKED],
        ),
        ([((REQUEST,), False), ((REQUEST,), True)], True, [DRAIN_REQUESTED]),
        ([((REQUEST,), False), ((), False)], True, [DRAIN_REQUESTED]),
        ([((DELETION,), False)], False, []),
        (
            [((UNREADABLE,), False), ((UNREADABLE,), False)],
            True,
            [DRAIN_REQUESTED, DRAIN_DOUBTFUL],
        ),
    ],
    ids=[
        "read",
        "in a complete list",
        "written twice",
        "deleted",
        "missing in a complete list",
        "listed again",
        "no news",
        "deletion alone",
        "content unreadable, twice",
    ],
)
def test_request_holds_until_it_is_deleted(leads, reads, drained, events):
    manager = build_leader() if leads else ManagerState("edge-2")
    seen = []
    for records, covers_all_keys in reads:
        read = StreamRead(
            NOW_MS, NOW_MS, 0, Stream.OPERATOR, records, 9, covers_all_keys
        )
        step = apply_stream_read(manager, read)
        seen += [effect.event for effect in step.effects]
        manager = step.state
    assert ("north" in manager.draining.drains_by_data_centre) == drained
    assert seen == events


def test_request_outlasts_a_term():
    manager = build_two_centres()
    assert end_term(manager, "fenced", NOW_MS).state.draining == drains(
        "north"
    )


def test_waiting_tasks_start_once_it_is_taken_back():
    manager = build_two_centres(build_plan(), drained=("north", "south"))
    manager = place_all(manager).state
    assert not manager.runs_by_task
    for data_centre in ("north", "south"):
        deletion = StoredRecord(f"drain/{data_centre}", None)
        read = StreamRead(
            NOW_MS, NOW_MS, 0, Stream.OPERATOR, (deletion,), 9, False
        )
        manager = apply_stream_read(manager, read).state
    assert manager.placement_scheduled_pools.get("a")
    assert starts(place_all(manager))


def build_running(
    plan, drained=("north",), changes=None, free=True, evacuating=False
):
    """Build a leader with a task running in each of two data centres."""
    manager = build_two_centres(plan, drained=())
    manager = place_all(manager).state
    runs = manager.runs_by_task
    for name, run in runs.items():
        running = replace(run, state=RunState.RUNNING, percent=100)
        if run.worker_id == "w2":
            running = replace(running, **(changes or {}))
        runs = runs.set(name, running)
    manager = replace(manager, runs_by_task=runs, draining=drains(*drained))
    other = replace(manager.workers_by_id["w2"], evacuating=evacuating)
    manager = put_worker(manager, other)
    if not free:
        return manager
    spare = worker_in("w3", "south")
    return replace(
        manager,
        workers_by_id=manager.workers_by_id.set("w3", spare),
        worker_ids_by_pool=Map(a=Map(w1=True, w2=True, w3=True)),
    )


def long_running_plan(count=2, **others):
    """Build a job whose long-running tasks are spread over workers."""
    return build_plan(
        build_step(count, long_running=True, max_per_worker=1, **others)
    )


@pytest.mark.parametrize(
    ("plan", "settings", "stopped"),
    [
        (long_running_plan(), {}, ["w1"]),
        (long_running_plan(), {"drained": ()}, []),
        (long_running_plan(), {"drained": ("north", "south")}, []),
        (long_running_plan(), {"free": False}, []),
        (long_running_plan(max_unavailable=1), {}, ["w1"]),
        (
            long_running_plan(max_unavailable=1),
            {"changes": {"percent": 40}},
            [],
        ),
        (long_running_plan(), {"changes": {"percent": 40}}, []),
        (
            long_running_plan(max_unavailable=2),
            {"changes": {"state": RunState.STARTING}},
            [],
        ),
        (long_running_plan(max_unavailable=2), {"evacuating": True}, []),
        (long_running_plan(gang=True), {}, []),
        (ONE_ON_EACH, {}, []),
    ],
    ids=[
        "moves",
        "nothing drained",
        "all drained",
        "no room elsewhere",
        "one may be unavailable",
        "another one is unavailable already",
        "no limit: one at a time all the same",
        "another one of the pool is starting",
        "another one of the pool makes way for an order",
        "gang",
        "finite tasks run to their end",
    ],
)
def test_long_running_tasks_move_one_after_the_other(plan, settings, stopped):
    step = advance_drains(build_running(plan, **settings), NOW_MS)
    orders = effects_of(step, StopRun)
    assert [order.worker_id for order in orders] == stopped
    again = advance_drains(step.state, NOW_MS)
    assert not effects_of(again, StopRun)


# Guards against a drain that never ends: a job that can't start, whatever room
# there is, does not need the room that the next task moves to.
@pytest.mark.parametrize(
    ("step", "ceiling", "stopped"),
    [
        (build_step(1, long_running=True), NO_SIZE, []),
        (build_step(1, long_running=True), SMALL, ["w1"]),
        (build_step(9, long_running=True, gang=True), NO_SIZE, ["w1"]),
    ],
    ids=["can start", "at its team's ceiling", "gang larger than the room"],
)
def test_move_waits_only_for_a_job_that_can_start(step, ceiling, stopped):
    manager = build_running(long_running_plan(max_unavailable=1))
    waiting = build_plan(step, job_id=OTHER_JOB_ID, team="other")
    manager = activate_jobs(manager, waiting)
    quotas = manager.manifest.quotas_by_team.set(
        "other", Quota("other", ceiling=ceiling)
    )
    manager = replace(
        manager,
        manifest=replace(manager.manifest, quotas_by_team=quotas),
        used_by_team=manager.used_by_team.set("other", ceiling),
    )
    step = advance_drains(manager, NOW_MS)
    stops = effects_of(step, StopRun)
    assert [order.worker_id for order in stops] == stopped


def build_machines(*machines, drained=("north",), plans=(), **fleet):
    """Build a leader with machines, of which some have a worker."""
    workers = [
        worker_in(machine.worker_id, machine.data_centre)
        for machine in machines
        if machine.worker_id
    ]
    fields = {
        "machines_by_name": Map((listed.name, listed) for listed in machines),
        "listed_ms": NOW_MS,
        **fleet,
    }
    manager = build_leader(
        *workers,
        fleet=FleetState(**fields),
        arrivals_by_queue=Map(quotes=Arrivals()),
        draining=drains(*drained),
    )
    return place_all(activate_jobs(manager, *plans)).state


def machine_in(name, data_centre, pool="a"):
    """Build a machine, with a worker unless it is on standby."""
    worker_id = f"w-{name}" if pool == "a" else ""
    return Machine(name, pool, UP, worker_id, data_centre)


WIDE_JOB = build_plan(build_step(30))
STANDBY = (
    machine_in("s1", "north", "spare"),
    machine_in("s2", "south", "spare"),
    machine_in("s3", "", "spare"),
)


@pytest.mark.parametrize(
    ("machines", "plans", "drained", "expected"),
    [
        (
            (machine_in("m1", "south"), *STANDBY),
            [WIDE_JOB],
            (),
            {"s1": "a", "s2": "a", "s3": "a"},
        ),
        (
            (machine_in("m1", "south"), *STANDBY),
            [WIDE_JOB],
            ("north",),
            {"s2": "a"},
        ),
        (
            (
                machine_in("m1", "north"),
                machine_in("m2", "south"),
                *STANDBY,
            ),
            [build_plan(build_step(4))],
            ("north",),
            {"m1": "spare", "s2": "a"},
        ),
        (
            tuple(machine_in(f"m{n}", "north") for n in range(1, 5))
            + (machine_in("n1", "south"),),
            [],
            ("north",),
            {"m1": "spare", "m2": "spare"},
        ),
    ],
    ids=[
        "none drained",
        "standby machines there stay",
        "idle machines there are released and replaced",
        "a few at a time",
    ],
)
def test_pools_do_without_drained_machines(machines, plans, drained, expected):
    manager = build_machines(*machines, drained=drained, plans=plans)
    manager = advance_fleet(manager, NOW_MS).state
    orders = manager.fleet.orders_by_machine
    assert {name: order.pool for name, order in orders.items()} == expected


@pytest.mark.parametrize(
    ("drained", "target"),
    [((), 4), (("north",), 2)],
    ids=["none drained", "one drained"],
)
def test_pools_share_the_usable_machines(drained, target):
    machines = (machine_in("m1", "south"), *STANDBY)
    manager = build_machines(*machines, drained=drained, plans=[WIDE_JOB])
    manager = advance_fleet(manager, NOW_MS).state
    assert manager.fleet.targets_by_pool["a"] == target


def test_machine_there_is_not_given_to_another_pool():
    """Pool "b" has more than it needs, and its first machine is drained."""
    machines = (machine_in("n1", "south"),) + tuple(
        machine_in(f"m{n}", data_centre)
        for n, data_centre in enumerate(("north", "south", "south"), 1)
    )
    manager = build_machines(*machines, plans=[WIDE_JOB])
    pools = manager.manifest.pools_by_name.set("b", WorkerPool("b"))
    manifest = replace(manager.manifest, pools_by_name=pools)
    listed = Map(
        (machine.name, replace(machine, pool="b" if "m" in name else "a"))
        for name, machine in manager.fleet.machines_by_name.items()
    )
    fleet = replace(manager.fleet, machines_by_name=listed)
    manager = replace(manager, manifest=manifest, fleet=fleet)
    for worker_id, worker in manager.workers_by_id.items():
        if "m" in worker_id:
            manager = drop_worker(manager, worker_id)
            entry = replace(worker.entry, pool="b")
            idle = replace(worker, entry=entry, tasks=Map())
            manager = put_worker(manager, idle)
    orders = advance_fleet(manager, NOW_MS).state.fleet.orders_by_machine
    assert orders["m1"].pool == "spare"
    assert orders["m2"].pool == "a"


def test_leader_looks_after_drains_on_each_tick():
    node = Node("edge-1", NodeKind.MANAGER, "dc", "10.0.0.9:80")
    state = State(Identity(node, "edge-1/1"), manager=build_two_centres())
    step = reduce_manager(state, TimerFired(NOW_MS, ManagerTimer()))
    assert details_of(step, DRAIN_COMPLETED)


@pytest.mark.parametrize(
    ("pool", "send_count", "kept"),
    [("a", 0, False), ("a", 1, True), ("spare", 0, True)],
    ids=["into use", "sent already", "on standby"],
)
def test_move_into_use_is_dropped_unless_sent(pool, send_count, kept):
    order = PendingOrder(
        MachineOrderKind.MOVE, pool, 0, "", NOW_MS, send_count=send_count
    )
    manager = build_machines(
        machine_in("s1", "north", "spare"),
        machine_in("m2", "south"),
        orders_by_machine=Map(s1=order),
        plans=[WIDE_JOB],
    )
    orders = advance_fleet(manager, NOW_MS).state.fleet.orders_by_machine
    assert ("s1" in orders) == kept


def test_maintenance_goes_on_in_a_drained_data_centre():
    wave = WaveProgress(Wave(1, ("s1",), 60_000, 1), NOW_MS)
    manager = build_machines(
        machine_in("s1", "north", "spare"),
        machine_in("m2", "south"),
        waves_by_number=Map({1: wave}),
    )
    orders = advance_fleet(manager, NOW_MS).state.fleet.orders_by_machine
    assert orders["s1"].kind is MachineOrderKind.MAINTENANCE


@pytest.mark.parametrize(
    ("drained", "listed_ms", "reasons"),
    [
        (("north",), NOW_MS, []),
        (("east",), NOW_MS, ["no such data centre"]),
        (("east",), -1, []),
        (("north", "south"), NOW_MS, ["no data centre left in use"]),
    ],
    ids=["sound", "unknown", "machines not listed yet", "all drained"],
)
def test_doubtful_request_is_logged_once(drained, listed_ms, reasons):
    manager = build_machines(
        machine_in("m1", "north"),
        machine_in("m2", "south"),
        drained=drained,
        listed_ms=listed_ms,
    )
    step = advance_drains(manager, NOW_MS)
    lines = details_of(step, DRAIN_DOUBTFUL)
    assert [line["reason"] for line in lines] == reasons
    again = advance_drains(step.state, NOW_MS + 60_000)
    assert not details_of(again, DRAIN_DOUBTFUL)


LEFT = {"workers": 1, "finite": 1, "long_running": 0, "unheard": 0}


@pytest.mark.parametrize(
    ("runs", "after_ms", "progress", "completed"),
    [
        (True, (0,), [LEFT], 0),
        (True, (0, 1_999), [LEFT], 0),
        (True, (0, 2_000), [LEFT, LEFT], 0),
        (False, (0, 2_000, 4_000), [], 1),
    ],
    ids=["first", "too soon", "periodic", "empty, logged once"],
)
def test_remaining_runs_are_logged(runs, after_ms, progress, completed):
    manager = build_running(ONE_ON_EACH)
    if not runs:
        manager = build_two_centres()
    lines = []
    ends = []
    for ms in after_ms:
        step = advance_drains(manager, NOW_MS + ms)
        lines += details_of(step, DRAIN_PROGRESS)
        ends += details_of(step, DRAIN_COMPLETED)
        manager = step.state
    expected = [{"data_centre": "north", **counts} for counts in progress]
    assert lines == expected
    assert len(ends) == completed
