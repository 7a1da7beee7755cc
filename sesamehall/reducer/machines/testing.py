"""Builders for tests of decisions about machines."""

from immutables import Map

from sesamehall.core.fleet import Machine
from sesamehall.core.fleet import MachineState
from sesamehall.core.fleetstate import FleetState
from sesamehall.core.fleetstate import MachineOrderKind
from sesamehall.core.fleetstate import PendingOrder
from sesamehall.core.fleetstate import WaveProgress
from sesamehall.core.manifest import Wave
from sesamehall.core.replacing import replace
from sesamehall.core.workstate import Arrivals
from sesamehall.reducer.jobs.testing import activate_jobs
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_step
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.jobs.testing import OTHER_JOB_ID
from sesamehall.reducer.jobs.testing import place_all
from sesamehall.reducer.jobs.testing import SMALL

UP = MachineState.UP
POOL_MACHINES = tuple(Machine(f"m{n}", "a", UP, f"w{n}") for n in range(1, 5))
STANDBY_MACHINES = tuple(Machine(f"p{n}", "spare", UP) for n in range(1, 4))


def build_fleet(machines, plans=(), **fleet):
    """Build a leader with a list of machines and their workers."""
    workers = [
        build_worker(machine.worker_id)
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
    )
    return place_all(activate_jobs(manager, *plans)).state


def mark_orders_stored(manager):
    """Mark all decided orders as stored."""
    orders = Map(
        (name, replace(order, stored=True))
        for name, order in manager.fleet.orders_by_machine.items()
    )
    fleet = replace(manager.fleet, orders_by_machine=orders)
    return replace(manager, fleet=fleet)


WIDE_JOB = build_plan(build_step(30, SMALL))
LONG_RUNNING_ON_ALL = build_plan(
    build_step(4, long_running=True, max_per_worker=1)
)
FINITE_ON_ALL = build_plan(
    build_step(4, max_per_worker=1), job_id=OTHER_JOB_ID
)
LONG_RUNNING_ON_TWO = build_plan(
    build_step(2, long_running=True, max_per_worker=1)
)


def build_waves(max_unavailable=2, within_ms=20_000):
    names = tuple(machine.name for machine in POOL_MACHINES)
    wave = Wave(1, names, within_ms, max_unavailable)
    return Map({1: WaveProgress(wave, NOW_MS)})


NOT_CONTACTED = {"contacted": False, "lease_end_ms": NOW_MS + 3_000}


MAINTENANCE_ORDER = PendingOrder(
    MachineOrderKind.MAINTENANCE, "", 1, "w1", NOW_MS, stored=True
)
