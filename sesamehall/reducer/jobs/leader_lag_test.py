"""Tests of a leader that gets less processor than its settings say."""

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
from sesamehall.reducer.managing import reduce_manager

CORES = 2.15
CALL_EVERY_MS = 10
QUICK_MS = 6
SLOW_MS = 150
SILENT_MS = 500


class Course:
    """A leader whose calls take a given time, and its records."""

    def __init__(self, manager):
        node = Node("edge-1", NodeKind.MANAGER, "dc", "10.0.0.1:80")
        self.state = State(Identity(node, "edge-1:1"), manager=manager)
        self.at_ms = NOW_MS
        self.leaders = []

    def take(self, event):
        """Reduce an event; each write is stored at once."""
        step = reduce_manager(self.state, event)
        self.state = step.state
        for effect in effects_of(step, StoreProgress):
            records = [record.value for record in effect.records]
            self.leaders += [one for one in records if type(one) is Leader]
            stored = StoreOutcome.STORED
            self.take(
                ProgressStored(self.at_ms, self.at_ms, effect.epoch, stored)
            )

    def call(self, took_ms, length_ms, refusal=None, waited_ms=0):
        """Let calls take so long for a while."""
        epoch = self.state.manager.term.epoch
        for _ in range(0, length_ms, CALL_EVERY_MS):
            self.at_ms += CALL_EVERY_MS
            sent_ms = self.at_ms - took_ms
            timing = OrderTiming(sent_ms - waited_ms, sent_ms)
            names = ("w1", epoch, "none.0.0.0", 1)
            self.take(RunAnswered(self.at_ms, *names, refusal, -1, timing))
            if self.at_ms % 100 == 0:
                self.take(TimerFired(self.at_ms, ManagerTimer()))

    def leads(self):
        return self.state.manager.term.epoch > 0


def build_course(cores=CORES, **others):
    leader = Leader("edge-1", 1, cores=cores)
    return Course(build_leader(cores=cores, leader=leader, **others))


# Guards against a leader on a node that turned slow: it kept the role, and
# hardly anything started, since by its settings it was strong enough.
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
        "a burst",
        "two bursts",
        "slow for long",
        "hardly quick again",
        "workers do not answer",
        "orders wait for a thread",
        "one worker is slow",
    ],
)
def test_slow_leader_resigns(calls, leads):
    course = build_course()
    for call in calls:
        course.call(*call)
    last = course.leaders[-1]
    assert course.leads() is leads
    assert (last.resigned, last.behind) == (not leads, not leads)


@pytest.mark.parametrize(
    ("cores", "most_cores", "leads"),
    [
        (0.5, 2.15, True),
        (0.5, 0.5, False),
        (1.07, 0.0, False),
        (2.15, 8.0, False),
    ],
    ids=["weaker", "as strong", "others not known", "strong enough"],
)
def test_leader_weaker_than_others_waits_for_an_offer(
    cores, most_cores, leads
):
    course = build_course(cores, max_cores_seen=most_cores)
    course.call(SLOW_MS, 2_000)
    assert course.leads() is leads


def begin_term_after(leader):
    """Let a node's claim be stored, after the term of another leader."""
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


# Guards against nodes that take turns while the load, not a node, is too much.
@pytest.mark.parametrize(
    ("was_behind", "length_ms", "leads"),
    [
        (False, 2_000, False),
        (True, 2_000, True),
        (True, HANDOVER_COOLDOWN_MS + 500, False),
    ],
    ids=["after a quick one", "at rest", "rested"],
)
def test_successor_of_a_slow_leader_rests(was_behind, length_ms, leads):
    old = Leader("edge-2", 3, True, cores=CORES, behind=was_behind)
    course = Course(begin_term_after(old))
    course.call(SLOW_MS, length_ms)
    assert course.leads() is leads


def test_node_that_was_behind_lets_others_claim_first():
    course = build_course()
    course.call(SLOW_MS, 2_000)
    yields_ms = course.state.manager.claim_backoff_until_ms - course.at_ms
    assert 0 < HANDOVER_COOLDOWN_MS - yields_ms < 1_000
