"""Tests of the handover from a weak leader to a stronger node."""

from immutables import Map
import pytest

from sesamehall.core.data import Node
from sesamehall.core.data import NodeKind
from sesamehall.core.events import StopRequested
from sesamehall.core.events import TimerFired
from sesamehall.core.fleet import Candidate
from sesamehall.core.fleet import Leader
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.jobtiming import HANDOVER_COOLDOWN_MS
from sesamehall.core.jobtiming import MANAGER_TICK_MS
from sesamehall.core.jobtiming import RESIGN_TIMEOUT_MS
from sesamehall.core.managereffects import OfferToLead
from sesamehall.core.managereffects import RevokeOrders
from sesamehall.core.managereffects import StoreProgress
from sesamehall.core.managerevents import ProgressStored
from sesamehall.core.managerevents import StoreOutcome
from sesamehall.core.managerevents import StreamRead
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.managerstate import StreamCursor
from sesamehall.core.managerstate import Term
from sesamehall.core.replacing import replace
from sesamehall.core.state import Identity
from sesamehall.core.state import State
from sesamehall.core.timers import ManagerTimer
from sesamehall.reducer.jobs.handover import offer_to_lead
from sesamehall.reducer.jobs.leadership import claim_if_vacant
from sesamehall.reducer.jobs.leadership import claimable_from_ms
from sesamehall.reducer.jobs.leadership import end_term
from sesamehall.reducer.jobs.stream_reading import apply_stream_read
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_manifest
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.manager_reducer import reduce_manager

WEAK = Leader("edge-1", 3, cores=0.516)
STRONG_CORES = 2.15


def build_strong(**others):
    """Build a strong node that follows a weak leader."""
    fields = {
        "cores": STRONG_CORES,
        "ready": True,
        "manifest": build_manifest(),
        "leader": WEAK,
        **others,
    }
    return ManagerState("edge-2", **fields)


def offers_within(manager, length_ms):
    """List the ticks at which a node offers to lead."""
    offers = []
    for after_ms in range(0, length_ms, MANAGER_TICK_MS):
        step = offer_to_lead(manager, NOW_MS + after_ms)
        offers += [after_ms] * len(effects_of(step, OfferToLead))
        manager = step.state
    return offers


# Guards against a weak node that leads while strong ones are alive: throughput
# was too low, since its threads waited for the processor.
@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ({}, [500, 3_500]),
        ({"jitter_seed": 999}, [1_500, 4_500]),
        ({"cores": 0.7}, []),
        ({"leader": Leader("edge-1", 3, cores=2.0), "cores": 8.0}, []),
        ({"leader": Leader("edge-1", 3)}, []),
        ({"leader": Leader("edge-1", 3, resigned=True, cores=0.5)}, []),
        ({"leader": None}, []),
        ({"ready": False}, []),
        ({"term": Term(claimed_epoch=4)}, []),
        ({"term": Term(epoch=3)}, []),
    ],
    ids=[
        "stronger",
        "longest jitter",
        "not enough stronger",
        "the leader is strong enough",
        "the leader's cores are unknown",
        "the leader resigns",
        "no leader",
        "not ready",
        "claims the role",
        "leads",
    ],
)
def test_strong_node_offers_to_lead(change, expected):
    assert offers_within(build_strong(**change), 5_000) == expected


def read_of(candidate):
    """Build a read of the jobs stream that contains an offer."""
    record = StoredRecord("candidate", candidate)
    return StreamRead(NOW_MS, NOW_MS, 0, Stream.JOBS, (record,), 2, False)


def test_one_nodes_offer_postpones_those_of_others():
    manager = build_strong(jobs_cursor=StreamCursor(1))
    offer = read_of(Candidate("edge-3", 3, STRONG_CORES))
    manager = apply_stream_read(manager, offer).state
    assert offers_within(manager, 3_000) == []


class WeakLeader:
    """A weak leader that processes events."""

    def __init__(self, **others):
        manager = build_leader(cores=0.516, leader=WEAK, **others)
        node = Node("edge-1", NodeKind.MANAGER, "dc", "10.0.0.1:80")
        self.state = State(Identity(node, "edge-1:1"), manager=manager)

    def reduce(self, event):
        step = reduce_manager(self.state, event)
        self.state = step.state
        return effects_of(step, StoreProgress)

    def tick(self, at_ms):
        return self.reduce(TimerFired(at_ms, ManagerTimer()))


@pytest.mark.parametrize(
    ("candidate", "resigns"),
    [
        (Candidate("edge-2", 1, STRONG_CORES), True),
        (Candidate("edge-2", 0, STRONG_CORES), False),
        (Candidate("edge-2", 1, 0.6), False),
    ],
    ids=["stronger", "offered to an earlier leader", "not enough stronger"],
)
def test_weak_leader_resigns_for_a_stronger_node(candidate, resigns):
    leader = WeakLeader()
    leader.reduce(read_of(candidate))
    stores = leader.tick(NOW_MS + 100)
    records = [record.value for store in stores for record in store.records]
    resigned = [
        value.resigned for value in records if isinstance(value, Leader)
    ]
    assert (True in resigned) is resigns
    if not resigns:
        return
    stored = ProgressStored(NOW_MS + 110, NOW_MS, 1, StoreOutcome.STORED)
    leader.reduce(stored)
    leader.tick(NOW_MS + 200)
    assert not leader.state.manager.term.epoch


# Guards against a fleet without a leader: during an outage the resignation is
# not stored, and no other node may claim the role before the term ends.
def test_handover_ends_during_a_store_outage():
    leader = WeakLeader()
    leader.reduce(read_of(Candidate("edge-2", 1, STRONG_CORES)))
    leader.tick(NOW_MS + 100)
    leader.tick(NOW_MS + RESIGN_TIMEOUT_MS - 1)
    assert leader.state.manager.term.epoch
    leader.tick(NOW_MS + RESIGN_TIMEOUT_MS)
    assert not leader.state.manager.term.epoch


@pytest.mark.parametrize("cores", [0.516, STRONG_CORES])
def test_strong_node_claims_a_role_that_was_handed_over(cores):
    """Guards against a weak node that claims the role it has handed over."""
    resigned = Leader("edge-2", 3, resigned=True, cores=0.516)
    progress = StreamCursor(
        9, known_until_ms=NOW_MS, last_growth_ms=NOW_MS - 200
    )
    manager = build_strong(
        leader=resigned,
        cores=cores,
        jobs_cursor=StreamCursor(1, known_until_ms=NOW_MS),
        progress_cursor=progress,
    )
    claims = effects_of(claim_if_vacant(manager, NOW_MS), StoreProgress)
    assert bool(claims) is (cores == STRONG_CORES)


# Guards against a leader that cannot resign: each confirmed write was followed
# by the next one immediately, so the resignation was never written.
@pytest.mark.parametrize(
    "event",
    [
        read_of(Candidate("edge-2", 1, STRONG_CORES)),
        StopRequested(NOW_MS),
    ],
    ids=["handover", "stop"],
)
def test_busy_leader_resigns_with_its_next_write(event):
    leader = WeakLeader(dirty_waves=Map({7: True}))
    manager = leader.state.manager
    manager = replace(
        manager,
        term=replace(manager.term, write_in_flight=True),
        maintenance_accepted_by_wave=Map({7: ("m1",)}),
    )
    leader.state = replace(leader.state, manager=manager)
    assert not leader.reduce(event)
    stored = ProgressStored(NOW_MS + 100, NOW_MS + 50, 1, StoreOutcome.STORED)
    (store,) = leader.reduce(stored)
    assert [record.value.resigned for record in store.records[-1:]] == [True]


# Guards against a role that never moves: a leader whose resignation was not
# stored saw its own term in the log and claimed the role again at once.
def test_leader_whose_resignation_was_not_stored_claims_last():
    leader = WeakLeader()
    leader.reduce(read_of(Candidate("edge-2", 1, STRONG_CORES)))
    leader.tick(NOW_MS + 100)
    ended_ms = NOW_MS + RESIGN_TIMEOUT_MS
    leader.tick(ended_ms)
    manager = replace(
        leader.state.manager,
        leader=Leader("edge-1", 1, cores=0.516),
        jobs_cursor=StreamCursor(1, known_until_ms=ended_ms),
        progress_cursor=StreamCursor(
            9, known_until_ms=ended_ms, last_growth_ms=ended_ms
        ),
    )
    strong = build_strong(
        leader=manager.leader, progress_cursor=manager.progress_cursor
    )
    assert claimable_from_ms(manager) > claimable_from_ms(strong)
    later_ms = ended_ms + HANDOVER_COOLDOWN_MS
    cursor = replace(manager.progress_cursor, known_until_ms=later_ms)
    manager = replace(manager, progress_cursor=cursor)
    assert claimable_from_ms(manager) == later_ms


# Guards against two nodes that act at once: a successor does not wait for the
# silence of a leader that has resigned, whose orders may still be queued.
@pytest.mark.parametrize(
    "event",
    [read_of(Candidate("edge-2", 1, STRONG_CORES)), StopRequested(NOW_MS)],
    ids=["handover", "stop"],
)
def test_queued_orders_are_revoked_before_the_resignation_is_sent(event):
    leader = WeakLeader()
    first = reduce_manager(leader.state, event)
    tick = TimerFired(NOW_MS + 100, ManagerTimer())
    second = reduce_manager(first.state, tick)
    effects = [
        effect
        for effect in first.effects + second.effects
        if isinstance(effect, RevokeOrders | StoreProgress)
    ]
    assert effects[0] == RevokeOrders(1)
    assert isinstance(effects[1], StoreProgress)


def test_queued_orders_are_revoked_when_the_term_ends():
    step = end_term(build_leader(), "test", NOW_MS)
    assert effects_of(step, RevokeOrders) == [RevokeOrders(1)]
