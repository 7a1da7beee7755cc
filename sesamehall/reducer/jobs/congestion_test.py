"""Tests of a leader that decides faster than its orders can be sent.

The load: a pool with far more waiting tasks and room than the leader's threads
can start, as on a node with little processor or beside silent workers.
"""

from collections import deque
from heapq import heappop
from heapq import heappush
from itertools import count

import pytest

from sesamehall.core.data import Node
from sesamehall.core.data import NodeKind
from sesamehall.core.effects import SetTimer
from sesamehall.core.events import TimerFired
from sesamehall.core.managereffects import StartRun
from sesamehall.core.managereffects import StoreProgress
from sesamehall.core.managerevents import OrderRefusal
from sesamehall.core.managerevents import ProgressStored
from sesamehall.core.managerevents import RunAnswered
from sesamehall.core.managerevents import StoreOutcome
from sesamehall.core.state import Identity
from sesamehall.core.state import State
from sesamehall.core.timers import PlaceTimer
from sesamehall.core.work import ActiveRun
from sesamehall.core.work import EndedRun
from sesamehall.core.work import RunEnd
from sesamehall.reducer.jobs.testing import activate_jobs
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_report
from sesamehall.reducer.jobs.testing import build_step
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.managing import reduce_manager

TASK_MS = 500  # time that a run takes
REPORT_MS = 500  # a worker reports at least so often
STORE_MS = 5  # time of a write
WORKERS = 40
TASKS_A_WORKER = 4


class Course:
    """A leader, its workers and a line that sends one order at a time."""

    def __init__(self, workers, jobs, order_ms):
        """Begin with idle workers and jobs of eight tasks each."""
        names = [f"w{number:03}" for number in range(workers)]
        manager = build_leader(*(build_worker(name) for name in names))
        plans = (
            build_plan(build_step(count=8), job_id=f"{number:016x}")
            for number in range(jobs)
        )
        manager = activate_jobs(manager, *plans)
        node = Node("edge-1", NodeKind.MANAGER, "dc", "10.0.0.1:80")
        self.state = State(Identity(node, "edge-1:1"), manager=manager)
        self.order_ms = order_ms
        self.line = deque()
        self.active_by_worker = {name: {} for name in names}
        self.ended_by_worker = {name: [] for name in names}
        self.begun_ms = []
        self.void_ms = []
        self.serial = count()
        self.due = []
        for name in names:
            self.at(NOW_MS + REPORT_MS, self.report_on, name)
        self.at(NOW_MS + 1, self.take, TimerFired(NOW_MS, PlaceTimer("a")))

    def at(self, at_ms, act, *arguments):
        """Let something happen later."""
        heappush(self.due, (at_ms, next(self.serial), act, arguments))

    def run(self, run_ms):
        """Play so much of the course."""
        while self.due[0][0] < NOW_MS + run_ms:
            self.now_ms, _, act, arguments = heappop(self.due)
            act(*arguments)

    def take(self, event):
        """Reduce an event that happens now."""
        step = reduce_manager(self.state, event)
        self.state = step.state
        for effect in step.effects:
            self.perform(effect)

    def perform(self, effect):
        match effect:
            case SetTimer(timer, at_ms):
                event = TimerFired(at_ms, timer)
                self.at(max(at_ms, self.now_ms), self.take, event)
            case StartRun():
                self.line.append(effect)
                if len(self.line) == 1:
                    self.at(self.now_ms, self.send_next)
            case StoreProgress():
                stored = ProgressStored(
                    self.now_ms + STORE_MS,
                    self.now_ms,
                    effect.epoch,
                    StoreOutcome.STORED,
                )
                self.at(self.now_ms + STORE_MS, self.take, stored)

    def send_next(self):
        """Send the next order of the line, unless it is void."""
        if self.now_ms < self.line[0].not_after_ms:
            self.at(self.now_ms + self.order_ms, self.order)
            return
        self.void_ms.append(self.now_ms - NOW_MS)
        self.answer(OrderRefusal.NOT_SENT)

    def order(self):
        """Let a worker answer an order to start."""
        effect = self.line[0]
        clock_ms = 50_000 + self.now_ms - NOW_MS
        if effect.lease_until_ms <= clock_ms:
            self.void_ms.append(self.now_ms - NOW_MS)
            self.answer(OrderRefusal.TOO_LATE)
            return
        self.begin(effect)
        self.answer(None)

    def answer(self, refusal):
        """Tell what became of the order that is first in the line."""
        effect = self.line.popleft()
        if self.line:
            self.at(self.now_ms, self.send_next)
        names = (effect.worker_id, effect.epoch, effect.task, effect.number)
        self.take(RunAnswered(self.now_ms, *names, refusal))

    def begin(self, effect):
        self.begun_ms.append(self.now_ms - NOW_MS)
        active = self.active_by_worker[effect.worker_id]
        active[effect.task] = ActiveRun(effect.task, effect.number)
        names = (effect.worker_id, effect.task)
        self.at(self.now_ms + TASK_MS, self.end, *names)

    def end(self, worker_id, task):
        """Let a run end, and its worker report it."""
        run = self.active_by_worker[worker_id].pop(task)
        ended = self.ended_by_worker[worker_id]
        sequence = len(ended) + 1
        ended.append(EndedRun(sequence, task, run.number, RunEnd.DONE))
        self.report(worker_id)

    def report_on(self, worker_id):
        self.report(worker_id)
        self.at(self.now_ms + REPORT_MS, self.report_on, worker_id)

    def report(self, worker_id):
        active = self.active_by_worker[worker_id].values()
        ended = self.ended_by_worker[worker_id][-1:]
        at_ms = self.now_ms
        self.take(build_report(worker_id, active, ended, at_ms, sent_ms=0))


# Guards against a leader all of whose orders are void when they are sent:
# more of them waited to be sent than could be sent while they were valid.
@pytest.mark.parametrize(
    ("order_ms", "jobs", "run_ms"),
    [(50, 40, 8_000), (25, 60, 8_000), (2, 160, 3_000)],
    ids=["20 a second", "40 a second", "more than room"],
)
def test_orders_do_not_wait_until_they_are_void(order_ms, jobs, run_ms):
    course = Course(WORKERS, jobs, order_ms)
    course.run(run_ms)
    counted_ms = run_ms // 2
    begun = sum(at_ms >= counted_ms for at_ms in course.begun_ms)
    by_room = WORKERS * TASKS_A_WORKER / TASK_MS
    most = min(1 / order_ms, by_room) * counted_ms
    assert begun >= 0.8 * most
    assert all(at_ms < counted_ms for at_ms in course.void_ms)
