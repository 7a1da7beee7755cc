"""Reducer time per request at the planned size relative to the current size.

Both sizes run the same requests through one entry whose queues are never
empty.  The current size has 6 teams and 5 services, the planned size has 250
teams, 323 pools and 640 instances.  The result is the ratio of the two times,
at most 1.3.  The output also shows the worst case, in which all teams wait for
the same service.
"""

import time

from immutables import Map

from sesamehall.core.agreement import Agreed
from sesamehall.core.agreement import EntryMember
from sesamehall.core.agreement import Placement
from sesamehall.core.data import Instance
from sesamehall.core.data import Key
from sesamehall.core.data import Limit
from sesamehall.core.data import Node
from sesamehall.core.data import NodeKind
from sesamehall.core.data import Plan
from sesamehall.core.data import Pool
from sesamehall.core.data import PresentedKey
from sesamehall.core.data import Request
from sesamehall.core.data import Service
from sesamehall.core.data import TargetKind
from sesamehall.core.effects import Dispatch
from sesamehall.core.events import Completed
from sesamehall.core.events import RequestReceived
from sesamehall.core.events import TargetAnswered
from sesamehall.core.replacing import replace
from sesamehall.core.state import Allotments
from sesamehall.core.state import Identity
from sesamehall.core.state import Peer
from sesamehall.core.state import State
from sesamehall.reducer.operator_lists import index_services
from sesamehall.reducer.reduce import reduce
from sesamehall.reducer.targets import update_instances
from sesamehall.reducer.units import UNITS_PER_CEILING

REQUESTS = 4_000
QUEUED_REQUESTS = 60  # length of the queue throughout a measurement
REPETITIONS = 5
KEY_DIGEST = bytes(32)
STEWARD = Node("s", NodeKind.STEWARD, "dc", "")


def build_state(teams: int, pools: int, instances: int) -> State:
    """Build the state of an entry that holds all units of every ceiling.

    Args:
      teams: Number of teams; each may use five services.
      pools: Number of pools, each with one service.
      instances: Number of executors.
    Returns:
      The state.
    """
    plans = {}
    for index in range(teams):
        names = tuple(f"s{(index * 7 + i) % pools}" for i in range(5))
        plans[f"t{index}"] = Plan(f"t{index}", names)
    executors = tuple(
        Instance(
            f"e{i}", TargetKind.EXECUTOR, "dc", "r", "h:1", f"p{i % pools}"
        )
        for i in range(instances)
    )
    services = tuple(Service(f"s{i}", f"p{i}") for i in range(pools))
    units = Map((team, UNITS_PER_CEILING) for team in plans)
    agreed = Agreed(
        next_offset=1,
        plans_by_team=Map(plans),
        services_by_name=Map((s.name, s) for s in services),
        service_names_by_pool=index_services(services),
        pools_by_name=Map(
            (f"p{i}", Pool(f"p{i}", TargetKind.EXECUTOR)) for i in range(pools)
        ),
        limits_by_team=Map(
            (team, Limit(team, 1 + index % 4, 64))
            for index, team in enumerate(plans)
        ),
        keys_by_id=Map(
            (f"k-{t}", Key(f"k-{t}", t, KEY_DIGEST)) for t in plans
        ),
        members_by_incarnation=Map(e=EntryMember("e", "e", 0, units)),
        placements_by_instance=Map(
            (i.name, Placement(i, i.pool)) for i in executors
        ),
    )
    state = State(
        Identity(Node("e", NodeKind.ENTRY, "dc", ""), "e", Map(s=STEWARD)),
        agreed=agreed,
        peers_by_name=Map(s=Peer("s", "s", 0, log_end_known_ms=1 << 60)),
        allotments=Allotments(lease_end_ms=1 << 60),
    )
    return update_instances(state, executors)


def time_request(state: State, teams: int, pools: int) -> float:
    """Measure the reducer's time per request while others are queued.

    Args:
      state: Initial state.
      teams: Number of teams that submit requests.
      pools: Number of requested services.
    Returns:
      Microseconds per request, from its receipt to the target's answer.
    """
    running = []

    def apply_event(event):
        nonlocal state
        result = reduce(state, event)
        state = result.state
        for effect in result.effects:
            if isinstance(effect, Dispatch):
                running.append((effect.request_id, effect.attempt))

    def receive(index):
        team = f"t{index % teams}"
        service = state.agreed.plans_by_team[team].services[index % 5]
        if pools == 1:
            service = "s0"
        key = PresentedKey(f"k-{team}", KEY_DIGEST)
        request = Request(
            f"r{index}", None, service, key, True, False, 1 << 40
        )
        apply_event(RequestReceived(index, request))

    next_index = 0
    while sum(state.entry.waiting_by_team.values()) < QUEUED_REQUESTS:
        receive(next_index)
        next_index += 1
    start_s = time.perf_counter()
    for index in range(next_index, next_index + REQUESTS):
        receive(index)
        request_id, attempt = running.pop(0)
        answer = TargetAnswered(index, request_id, attempt, Completed(200))
        apply_event(answer)
    return (time.perf_counter() - start_s) * 1e6 / REQUESTS


def measure(teams: int, pools: int, instances: int, shared: bool) -> float:
    """Measure the time per request several times and return the minimum.

    Args:
      teams: Number of teams.
      pools: Number of pools.
      instances: Number of executors.
      shared: Whether all teams use the first service only.
    Returns:
      Microseconds per request.
    """
    state = build_state(teams, pools, instances)
    used_services = pools
    if shared:
        used_services = 1
        plans = Map(
            (team, Plan(team, ("s0",) * 5))
            for team in state.agreed.plans_by_team
        )
        agreed = state.agreed
        state = replace(state, agreed=replace(agreed, plans_by_team=plans))
    return min(
        time_request(state, teams, used_services) for _ in range(REPETITIONS)
    )


def run_all() -> None:
    """Measure and print the ratio."""
    current_us = measure(6, 5, 40, False)
    planned_us = measure(250, 323, 640, False)
    worst_case_us = measure(250, 323, 640, True)
    print(
        f"current size {current_us:.0f} us, planned size {planned_us:.0f} us"
        " per request; all 250 teams waiting for one service"
        f" {worst_case_us:.0f} us"
    )
    print(f"decision_cost={planned_us / current_us:.2f}")


if __name__ == "__main__":
    run_all()
