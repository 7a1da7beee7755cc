"""Tests of a leader that issues orders faster than it can send them.

Load: a pool with far more waiting tasks and free workers than the leader's
threads can send orders to, as on a node with little processor time or with
silent workers that block threads.
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
from sesamehall.reducer.manager_reducer import reduce_manager

TASK_MS = 500  # duration of a run
REPORT_MS = 500  # maximum time between reports of a worker
STORE_MS = 5  # duration of a write
WORKERS = 40
TASKS_PER_WORKER = 4


class Simulation:
    """A leader, its workers, and a queue that sends one order at a time."""

    def __init__(self, workers, jobs, order_ms):
        """Set up idle workers and jobs of eight tasks each."""
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
        self.send_queue = deque()
        self.active_by_worker = {name: {} for name in names}
        self.ended_by_worker = {name: [] for name in names}
        self.started_ms = []
        self.void_ms = []
        self.counter = count()
        self.scheduled = []
        for name in names:
            self.call_at(NOW_MS + REPORT_MS, self.report_periodically, name)
        self.call_at(
            NOW_MS + 1, self.reduce, TimerFired(NOW_MS, PlaceTimer("a"))
        )

    def call_at(self, at_ms, action, *arguments):
        """Schedule an action."""
        heappush(
            self.scheduled, (at_ms, next(self.counter), action, arguments)
        )

    def run(self, run_ms):
        """Run the simulation for a time."""
        while self.scheduled[0][0] < NOW_MS + run_ms:
            self.now_ms, _, action, arguments = heappop(self.scheduled)
            action(*arguments)

    def reduce(self, event):
        """Reduce an event, and carry out its effects."""
        step = reduce_manager(self.state, event)
        self.state = step.state
        for effect in step.effects:
            self.perform(effect)

    def perform(self, effect):
        match effect:
            case SetTimer(timer, at_ms):
                event = TimerFired(at_ms, timer)
                self.call_at(max(at_ms, self.now_ms), self.reduce, event)
            case StartRun():
                self.send_queue.append(effect)
                if len(self.send_queue) == 1:
                    self.call_at(self.now_ms, self.send_next)
            case StoreProgress():
                stored = ProgressStored(
                    self.now_ms + STORE_MS,
                    self.now_ms,
                    effect.epoch,
                    StoreOutcome.STORED,
                )
                self.call_at(self.now_ms + STORE_MS, self.reduce, stored)

    def send_next(self):
        """Send the first order of the queue, unless it is void."""
        if self.now_ms < self.send_queue[0].not_after_ms:
            self.call_at(self.now_ms + self.order_ms, self.deliver)
            return
        self.void_ms.append(self.now_ms - NOW_MS)
        self.answer(OrderRefusal.NOT_SENT)

    def deliver(self):
        """Deliver the first order of the queue to its worker."""
        effect = self.send_queue[0]
        clock_ms = 50_000 + self.now_ms - NOW_MS
        if effect.lease_until_ms <= clock_ms:
            self.void_ms.append(self.now_ms - NOW_MS)
            self.answer(OrderRefusal.TOO_LATE)
            return
        self.start_run(effect)
        self.answer(None)

    def answer(self, refusal):
        """Report the result of the first order of the queue."""
        effect = self.send_queue.popleft()
        if self.send_queue:
            self.call_at(self.now_ms, self.send_next)
        names = (effect.worker_id, effect.epoch, effect.task, effect.number)
        self.reduce(RunAnswered(self.now_ms, *names, refusal))

    def start_run(self, effect):
        self.started_ms.append(self.now_ms - NOW_MS)
        active = self.active_by_worker[effect.worker_id]
        active[effect.task] = ActiveRun(effect.task, effect.number)
        names = (effect.worker_id, effect.task)
        self.call_at(self.now_ms + TASK_MS, self.end_run, *names)

    def end_run(self, worker_id, task):
        """End a run; its worker reports it immediately."""
        run = self.active_by_worker[worker_id].pop(task)
        ended = self.ended_by_worker[worker_id]
        sequence = len(ended) + 1
        ended.append(EndedRun(sequence, task, run.number, RunEnd.DONE))
        self.report(worker_id)

    def report_periodically(self, worker_id):
        self.report(worker_id)
        self.call_at(
            self.now_ms + REPORT_MS, self.report_periodically, worker_id
        )

    def report(self, worker_id):
        active = self.active_by_worker[worker_id].values()
        ended = self.ended_by_worker[worker_id][-1:]
        at_ms = self.now_ms
        self.reduce(build_report(worker_id, active, ended, at_ms, sent_ms=0))


# Guards against a leader whose orders are all void by the time that they are
# sent, because more are queued than can be sent while they are valid.
@pytest.mark.parametrize(
    ("order_ms", "jobs", "run_ms"),
    [(50, 40, 8_000), (25, 60, 8_000), (2, 160, 3_000)],
    ids=["20 per second", "40 per second", "limited by the workers"],
)
def test_orders_are_sent_before_they_are_void(order_ms, jobs, run_ms):
    simulation = Simulation(WORKERS, jobs, order_ms)
    simulation.run(run_ms)
    counted_ms = run_ms // 2
    started = sum(at_ms >= counted_ms for at_ms in simulation.started_ms)
    worker_limit = WORKERS * TASKS_PER_WORKER / TASK_MS
    possible = min(1 / order_ms, worker_limit) * counted_ms
    assert started >= 0.8 * possible
    assert all(at_ms < counted_ms for at_ms in simulation.void_ms)
