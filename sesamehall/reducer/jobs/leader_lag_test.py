"""Tests of a leader whose node is slower than its settings say."""

import pytest

from sesamehall.core.data import Node
from sesamehall.core.data import NodeKind
from sesamehall.core.events import TimerFired
from sesamehall.core.fleet import Leader
from sesamehall.core.jobtiming import HANDOVER_COOLDOWN_MS
from sesamehall.core.managereffects import StoreProgress
from sesamehall.core.managerevents import OrderRefusal
from sesamehall.core.managerevents import OrderTiming
from sesamehall.core.managerevents import ProgressStored
from sesamehall.core.managerevents import RunAnswered
from sesamehall.core.managerevents import StoreOutcome
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.managerstate import Term
from sesamehall.core.state import Identity
from sesamehall.core.state import State
from sesamehall.core.timers import ManagerTimer
from sesamehall.reducer.jobs.leadership import handle_progress_stored
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_manifest
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.manager_reducer import reduce_manager

CORES = 2.15
CALL_EVERY_MS = 10
QUICK_MS = 6
SLOW_MS = 150
SILENT_MS = 500


class SimulatedLeader:
    """A leader whose calls have a given latency, and its leader records."""

    def __init__(self, manager):
        node = Node("edge-1", NodeKind.MANAGER, "dc", "10.0.0.1:80")
        self.state = State(Identity(node, "edge-1:1"), manager=manager)
        self.at_ms = NOW_MS
        self.leader_records = []

    def reduce(self, event):
        """Reduce an event, and store each write immediately."""
        step = reduce_manager(self.state, event)
        self.state = step.state
        for effect in effects_of(step, StoreProgress):
            records = [record.value for record in effect.records]
            self.leader_records += [
                value for value in records if type(value) is Leader
            ]
            stored = StoreOutcome.STORED
            self.reduce(
                ProgressStored(self.at_ms, self.at_ms, effect.epoch, stored)
            )

    def call(self, took_ms, length_ms, refusal=None, waited_ms=0):
        """Answer calls with the given latency for `length_ms`."""
        epoch = self.state.manager.term.epoch
        for _ in range(0, length_ms, CALL_EVERY_MS):
            self.at_ms += CALL_EVERY_MS
            sent_ms = self.at_ms - took_ms
            timing = OrderTiming(sent_ms - waited_ms, sent_ms)
            names = ("w1", epoch, "none.0.0.0", 1)
            self.reduce(RunAnswered(self.at_ms, *names, refusal, -1, timing))
            if self.at_ms % 100 == 0:
                self.reduce(TimerFired(self.at_ms, ManagerTimer()))

    def leads(self):
        return self.state.manager.term.epoch > 0


def build_simulated_leader(cores=CORES, **others):
    leader = Leader("edge-1", 1, cores=cores)
    return SimulatedLeader(build_leader(cores=cores, leader=leader, **others))


# Guards against a leader whose node has become slow: it kept the role, since
# its settings said that it was strong enough, and hardly any task started.
@pytest.mark.parametrize(
    ("calls", "leads"),
    [
        ([(QUICK_MS, 4_000)], True),
        ([(SLOW_MS, 900)], True),
        ([(SLOW_MS, 900), (QUICK_MS, 600), (SLOW_MS, 900)], True),
        ([(SLOW_MS, 2_000)], False),
        ([(SLOW_MS, 600), (QUICK_MS, 50), (SLOW_MS, 600)], False),
        ([(SILENT_MS, 4_000, OrderRefusal.SILENT)], True),
        ([(QUICK_MS, 4_000, None, 900)], True),
        ([(QUICK_MS, 90), (1_000, 10)] * 40, True),
    ],
    ids=[
        "quick",
        "one burst",
        "two bursts",
        "slow for long",
        "interruption too short",
        "workers do not answer",
        "orders wait for a thread",
        "one worker is slow",
    ],
)
def test_slow_leader_resigns(calls, leads):
    leader = build_simulated_leader()
    for call in calls:
        leader.call(*call)
    last = leader.leader_records[-1]
    assert leader.leads() is leads
    assert (last.resigned, last.behind) == (not leads, not leads)


@pytest.mark.parametrize(
    ("cores", "max_cores_seen", "leads"),
    [
        (0.5, 2.15, True),
        (0.5, 0.5, False),
        (1.07, 0.0, False),
        (2.15, 8.0, False),
    ],
    ids=["weaker", "as strong", "other nodes unknown", "strong enough"],
)
def test_leader_weaker_than_others_waits_for_an_offer(
    cores, max_cores_seen, leads
):
    leader = build_simulated_leader(cores, max_cores_seen=max_cores_seen)
    leader.call(SLOW_MS, 2_000)
    assert leader.leads() is leads


def begin_term_after(leader):
    """Begin a term after that of another leader."""
    manager = ManagerState(
        "edge-1",
        cores=CORES,
        manifest=build_manifest(),
        leader=leader,
        term=Term(claimed_epoch=leader.epoch + 1),
    )
    stored = StoreOutcome.STORED
    event = ProgressStored(NOW_MS, NOW_MS, leader.epoch + 1, stored)
    return handle_progress_stored(manager, event).state


# Guards against nodes that swap the role while the load, not a node, is the
# cause of slow calls.
@pytest.mark.parametrize(
    ("was_behind", "length_ms", "leads"),
    [
        (False, 2_000, False),
        (True, 2_000, True),
        (True, HANDOVER_COOLDOWN_MS + 500, False),
    ],
    ids=["predecessor was quick", "within cooldown", "after cooldown"],
)
def test_successor_of_a_slow_leader_has_a_cooldown(
    was_behind, length_ms, leads
):
    old = Leader("edge-2", 3, True, cores=CORES, behind=was_behind)
    leader = SimulatedLeader(begin_term_after(old))
    leader.call(SLOW_MS, length_ms)
    assert leader.leads() is leads


def test_node_that_was_behind_backs_off_from_claims():
    leader = build_simulated_leader()
    leader.call(SLOW_MS, 2_000)
    backoff_ms = leader.state.manager.claim_backoff_until_ms - leader.at_ms
    assert 0 < HANDOVER_COOLDOWN_MS - backoff_ms < 1_000
