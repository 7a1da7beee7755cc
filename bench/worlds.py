"""Worlds for the measurements: lists, keys, executors and demand."""

from dataclasses import dataclass

from bench.driver import make_nodes
from bench.driver import Weather
from bench.driver import World
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

DIGEST = bytes(range(32))
WAIT_MS = 10_000  # time that callers give their requests


@dataclass(frozen=True, slots=True)
class Sizes:
    """How large a world is.

    Attributes:
      entries: Number of entries.
      data_centres: Number of data centres.
      services: Number of services, each with a pool of its own.
      executors: Executors of each service.
      ceilings: Ceiling of each team.
      shares: Share of each team.
    """

    entries: int
    data_centres: int
    services: int
    executors: int
    ceilings: tuple[int, ...]
    shares: tuple[int, ...]


GUILD = Sizes(9, 4, 5, 8, (120, 120, 90, 60, 40, 40), (4, 4, 3, 2, 1, 1))
AGUAS = Sizes(8, 3, 5, 6, (90, 90, 60, 45, 30, 30), (4, 4, 3, 2, 1, 1))


def team_name(index: int) -> str:
    """Name a team by its index."""
    return f"team-{index}"


def service_name(index: int) -> str:
    """Name a service by its index."""
    return f"service-{index}"


def build_world(
    seed: int, sizes: Sizes, weather: Weather, settle_ms: int = 4_000
) -> World:
    """Build a world whose nodes have joined and share the ceilings.

    Args:
      seed: Same seeds give the same history.
      sizes: How large it is.
      weather: How badly messages and targets fare from the start.
      settle_ms: How long it runs before it is handed over.
    Returns:
      The world.
    """
    world = World(seed, weather, build_executors(sizes))
    world.append(Record("plans", PlansPublished(0, build_plans(sizes))))
    limits = build_limits(sizes.ceilings, sizes.shares)
    world.append(Record("limits-0", LimitsPublished(0, limits)))
    for index in range(len(sizes.ceilings)):
        team = team_name(index)
        key = Key(f"key-{team}", team, DIGEST)
        world.append(Record(f"key-{team}", KeyGiven(key)))
    world.add_nodes(make_nodes(sizes.entries, sizes.data_centres))
    world.run(settle_ms)
    return world


def build_plans(sizes: Sizes) -> PlansList:
    """Build plans by which every team may use every service."""
    names = tuple(service_name(i) for i in range(sizes.services))
    return PlansList(
        tuple(Plan(team_name(i), names) for i in range(len(sizes.ceilings))),
        tuple(Service(name, f"pool-{name}") for name in names),
        tuple(Pool(f"pool-{name}", TargetKind.EXECUTOR) for name in names),
    )


def build_limits(
    ceilings: tuple[int, ...], shares: tuple[int, ...]
) -> LimitsList:
    """Build limits from ceilings and shares in the teams' order."""
    pairs = zip(ceilings, shares, strict=True)
    return LimitsList(
        tuple(
            Limit(team_name(index), share, ceiling)
            for index, (ceiling, share) in enumerate(pairs)
        )
    )


def build_executors(sizes: Sizes) -> tuple[Instance, ...]:
    """Build executors of all services, spread over the data centres."""
    return tuple(
        Instance(
            name=f"executor-{service}-{index}",
            kind=TargetKind.EXECUTOR,
            data_centre=f"dc-{index % sizes.data_centres}",
            rack=f"rack-{index}",
            address="",
            pool=f"pool-{service_name(service)}",
        )
        for service in range(sizes.services)
        for index in range(sizes.executors)
    )


def make_request(
    request_id: str,
    team: str,
    service: str,
    wait_ms: int = WAIT_MS,
    idempotent: bool = True,
    caller_id: str | None = None,
):
    """Make what builds a request at the clock of the entry that gets it.

    Args:
      request_id: Identifier unique over the world.
      team: Team whose key it shows.
      service: Service asked for.
      wait_ms: Time until its deadline.
      idempotent: Whether it may be retried.
      caller_id: The caller's own identifier.
    Returns:
      Function of a clock that gives the request.
    """
    key = PresentedKey(f"key-{team}", DIGEST)

    def build(clock_ms: int) -> Request:
        return Request(
            request_id=request_id,
            caller_id=caller_id,
            service=service,
            key=key,
            idempotent=idempotent,
            urgent=False,
            deadline_ms=clock_ms + wait_ms,
        )

    return build
