"""Small states and helpers for the tests of the reducer."""

from immutables import Map

from sesamehall.core.agreement import Agreed
from sesamehall.core.agreement import EntryMember
from sesamehall.core.agreement import Placement
from sesamehall.core.agreement import Role
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
from sesamehall.core.effects import Log
from sesamehall.core.effects import SetTimer
from sesamehall.core.replacing import replace
from sesamehall.core.state import Allotments
from sesamehall.core.state import EntryState
from sesamehall.core.state import Identity
from sesamehall.core.state import Peer
from sesamehall.core.state import State
from sesamehall.core.state import Target
from sesamehall.reducer.operator_lists import index_services
from sesamehall.reducer.reduce import reduce
from sesamehall.reducer.units import units_for

DIGEST = bytes(range(32))
CEILING = 4
FAR_FUTURE_MS = 1_000_000
OWN_INCARNATION = "entry-b:1"
PEER_INCARNATION = "entry-a:1"
KEYS = {name: Key(f"key-{name}", name, DIGEST) for name in ("red", "blue")}
SERVICES = (Service("quotes", "pool"), Service("forms", "pool", "blue"))
INSTANCES = tuple(
    Instance(name, TargetKind.EXECUTOR, "north", "r", "h:1", "pool", slots=2)
    for name in ("ex-1", "ex-2")
)
WORKERS = tuple(
    Instance(name, TargetKind.WORKER, "north", name, "h:1", "batch")
    for name in ("wk-1", "wk-2")
)
PEERS = Map(
    {
        "entry-a": Node("entry-a", NodeKind.ENTRY, "north", ""),
        "steward-a": Node("steward-a", NodeKind.STEWARD, "north", ""),
    }
)


def build_agreed(places: int = CEILING) -> Agreed:
    """Build a replicated state with two teams and two members.

    Args:
      places: Places of each ceiling that this entry has withdrawn.
    Returns:
      The state; the other member has withdrawn nothing.
    """
    units = Map((team, units_for(places, CEILING)) for team in KEYS)
    account_deltas = Map((team, -units) for team, units in units.items())
    members = {
        OWN_INCARNATION: EntryMember("entry-b", OWN_INCARNATION, 1, units),
        PEER_INCARNATION: EntryMember("entry-a", PEER_INCARNATION, 2),
    }
    instances = INSTANCES + WORKERS
    return Agreed(
        next_offset=10,
        plans_version=1,
        limits_version=1,
        plans_by_team=Map(
            red=Plan("red", ("quotes",), ("batch",)),
            blue=Plan("blue", ("quotes",), ("batch",)),
        ),
        services_by_name=Map((s.name, s) for s in SERVICES),
        service_names_by_pool=index_services(SERVICES),
        pools_by_name=Map(
            pool=Pool("pool", TargetKind.EXECUTOR),
            batch=Pool("batch", TargetKind.WORKER),
        ),
        limits_by_team=Map(
            red=Limit("red", 1, CEILING), blue=Limit("blue", 3, CEILING)
        ),
        keys_by_id=Map((key.key_id, key) for key in KEYS.values()),
        role=Role("steward-b/steward-b:1", 5, 5),
        members_by_incarnation=Map(members),
        account_delta_by_team=account_deltas,
        placements_by_instance=Map(
            (i.name, Placement(i, i.pool)) for i in instances
        ),
        instance_names_by_pool=Map(
            pool=("ex-1", "ex-2"), batch=("wk-1", "wk-2")
        ),
    )


def build_entry_state(places: int = CEILING) -> State:
    """Build the state of an entry that serves two teams on two executors.

    Args:
      places: Places of each team's ceiling that it holds.
    Returns:
      The state; an entry and a steward are connected.
    """
    node = Node("entry-b", NodeKind.ENTRY, "north", "")
    peers = Map(
        (name, Peer(name, f"{name}:1", 0, log_end_known_ms=FAR_FUTURE_MS))
        for name in PEERS
    )
    return State(
        identity=Identity(node, OWN_INCARNATION, PEERS, queue_limit=8),
        agreed=build_agreed(places),
        peers_by_name=peers,
        entry=EntryState(
            targets_by_name=Map((i.name, Target(i)) for i in INSTANCES),
            targets_by_pool=Map(pool=("ex-1", "ex-2")),
            instances=INSTANCES,
        ),
        allotments=Allotments(lease_end_ms=FAR_FUTURE_MS),
    )


def build_steward() -> State:
    """Build the state of a steward that holds the role.

    Returns:
      The state; an entry and a steward are connected.
    """
    entry = build_entry_state()
    node = Node("steward-b", NodeKind.STEWARD, "north", "")
    identity = Identity(node, "steward-b:1", PEERS)
    instances = INSTANCES + WORKERS
    steward = replace(
        entry.steward,
        instances=instances,
        instances_by_name=Map((i.name, i) for i in instances),
        instances_listed=True,
    )
    return State(
        identity=identity,
        agreed=entry.agreed,
        peers_by_name=entry.peers_by_name,
        steward=steward,
    )


def build_request(request_id: str, team: str = "red", **changes) -> Request:
    """Build a request of a team to the service "quotes".

    Args:
      request_id: Identifier of the request.
      team: Team whose key it presents.
      **changes: Fields with other values.
    Returns:
      The request.
    """
    request = Request(
        request_id=request_id,
        caller_id=None,
        service="quotes",
        key=PresentedKey(f"key-{team}", DIGEST),
        idempotent=True,
        urgent=False,
        deadline_ms=30_000,
    )
    return replace(request, **changes)


def reduce_all(state: State, *events) -> tuple[State, list]:
    """Reduce several events.

    Args:
      state: State before the first event.
      *events: The events.
    Returns:
      The final state, and the effects except log lines and timers.
    """
    effects = []
    for event in events:
        step = reduce(state, event)
        state = step.state
        effects += step.effects
    filtered = [e for e in effects if not isinstance(e, Log | SetTimer)]
    return state, filtered
