"""Simulated clusters for the benchmarks: lists, keys, executors, requests."""

from dataclasses import dataclass

from bench.driver import ClusterSimulation
from bench.driver import FaultRates
from bench.driver import make_nodes
from sesamehall.core.data import Instance
from sesamehall.core.data import Key
from sesamehall.core.data import Limit
from sesamehall.core.data import LimitsList
from sesamehall.core.data import Plan
from sesamehall.core.data import PlansList
from sesamehall.core.data import Pool
from sesamehall.core.data import PresentedKey
from sesamehall.core.data import Request
from sesamehall.core.data import Service
from sesamehall.core.data import TargetKind
from sesamehall.core.records import KeyGiven
from sesamehall.core.records import LimitsPublished
from sesamehall.core.records import PlansPublished
from sesamehall.core.records import Record

KEY_DIGEST = bytes(range(32))
REQUEST_TIMEOUT_MS = 10_000  # from the submission to the deadline


@dataclass(frozen=True, slots=True)
class ClusterSpec:
    """Size of a simulated cluster, and the limits of its teams.

    Attributes:
      entries: Number of entries.
      data_centres: Number of data centres.
      services: Number of services; each has its own pool.
      executors: Number of executors of each service.
      ceilings: Ceiling of each team.
      shares: Share of each team.
    """

    entries: int
    data_centres: int
    services: int
    executors: int
    ceilings: tuple[int, ...]
    shares: tuple[int, ...]


GUILD = ClusterSpec(9, 4, 5, 8, (120, 120, 90, 60, 40, 40), (4, 4, 3, 2, 1, 1))
AGUAS = ClusterSpec(8, 3, 5, 6, (90, 90, 60, 45, 30, 30), (4, 4, 3, 2, 1, 1))


def team_name(index: int) -> str:
    """Name a team by its index."""
    return f"team-{index}"


def service_name(index: int) -> str:
    """Name a service by its index."""
    return f"service-{index}"


def build_simulation(
    seed: int,
    spec: ClusterSpec,
    fault_rates: FaultRates,
    settle_ms: int = 4_000,
) -> ClusterSimulation:
    """Build a simulated cluster whose entries have joined and share ceilings.

    Args:
      seed: Seed of the random generator; runs of a seed are identical.
      spec: Size of the cluster.
      fault_rates: Fault rates of messages and targets, in force at once.
      settle_ms: Simulated time to run before it is returned.
    Returns:
      The simulated cluster.
    """
    simulation = ClusterSimulation(seed, fault_rates, build_executors(spec))
    simulation.append(Record("plans", PlansPublished(0, build_plans(spec))))
    limits = build_limits(spec.ceilings, spec.shares)
    simulation.append(Record("limits-0", LimitsPublished(0, limits)))
    for index in range(len(spec.ceilings)):
        team = team_name(index)
        key = Key(f"key-{team}", team, KEY_DIGEST)
        simulation.append(Record(f"key-{team}", KeyGiven(key)))
    simulation.add_nodes(make_nodes(spec.entries, spec.data_centres))
    simulation.run(settle_ms)
    return simulation


def build_plans(spec: ClusterSpec) -> PlansList:
    """Build plans that let every team use every service."""
    services = tuple(service_name(i) for i in range(spec.services))
    return PlansList(
        tuple(Plan(team_name(i), services) for i in range(len(spec.ceilings))),
        tuple(Service(name, f"pool-{name}") for name in services),
        tuple(Pool(f"pool-{name}", TargetKind.EXECUTOR) for name in services),
    )


def build_limits(
    ceilings: tuple[int, ...], shares: tuple[int, ...]
) -> LimitsList:
    """Build limits from ceilings and shares in the order of the teams."""
    pairs = zip(ceilings, shares, strict=True)
    return LimitsList(
        tuple(
            Limit(team_name(index), share, ceiling)
            for index, (ceiling, share) in enumerate(pairs)
        )
    )


def build_executors(spec: ClusterSpec) -> tuple[Instance, ...]:
    """Build the executors of all services, spread over data centres."""
    return tuple(
        Instance(
            name=f"executor-{service}-{index}",
            kind=TargetKind.EXECUTOR,
            data_centre=f"dc-{index % spec.data_centres}",
            rack=f"rack-{index}",
            address="",
            pool=f"pool-{service_name(service)}",
        )
        for service in range(spec.services)
        for index in range(spec.executors)
    )


def request_builder(
    request_id: str,
    team: str,
    service: str,
    timeout_ms: int = REQUEST_TIMEOUT_MS,
    idempotent: bool = True,
    caller_id: str | None = None,
):
    """Create a function that builds a request at the time of its arrival.

    The deadline is a time of the receiving entry's clock, which is known only
    on arrival.

    Args:
      request_id: Identifier unique in the cluster.
      team: Team whose key it presents.
      service: Name of the requested service.
      timeout_ms: Time from its arrival to its deadline.
      idempotent: Whether it may be retried.
      caller_id: Request id chosen by the caller, None for none.
    Returns:
      Function from the entry's clock in milliseconds to the request.
    """
    key = PresentedKey(f"key-{team}", KEY_DIGEST)

    def build(clock_ms: int) -> Request:
        return Request(
            request_id=request_id,
            caller_id=caller_id,
            service=service,
            key=key,
            idempotent=idempotent,
            urgent=False,
            deadline_ms=clock_ms + timeout_ms,
        )

    return build
