"""Load on the advice service: more waiting steps than it can answer in time.

The service is played by its contract: one request at a time, answered after
a time that grows with the workers named.
"""

from immutables import Map
import pytest

from sesamehall.core.data import Node
from sesamehall.core.data import NodeKind
from sesamehall.core.managereffects import RequestAdvice
from sesamehall.core.managereffects import StartRun
from sesamehall.core.managerevents import AdviceGiven
from sesamehall.core.managerevents import AdviceNotGiven
from sesamehall.core.manifest import Quota
from sesamehall.core.manifest import WorkerPool
from sesamehall.core.replacing import replace
from sesamehall.core.state import Identity
from sesamehall.core.state import State
from sesamehall.core.work import Size
from sesamehall.reducer.jobs.placement_round import PlacementRound
from sesamehall.reducer.jobs.task_placement import place_tasks
from sesamehall.reducer.jobs.testing import activate_jobs
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_manifest
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_step
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.manager_reducer import reduce_manager

DECIDE_MS = 200
INTERVAL_MS = 20
VALID_MS = 3_000
PLAYED_MS = 10_000
TICK_MS = 20
POOLS = ("a", "b")
LATEST_START_MS = 3_000  # a job with room for it runs by then
LARGE = Size(4_000, 1_000)  # a whole worker


def build_advised_leader(workers, cap=Size()):
    """Build a leader with two pools, whose queues require advice."""
    manifest = build_manifest()
    queue = manifest.queues_by_name["quotes"]
    queues = {
        "quotes": replace(queue, requires_advice=True),
        "others": replace(
            queue, name="others", pool="b", requires_advice=True
        ),
    }
    manifest = replace(
        manifest,
        queues_by_name=Map(queues),
        pools_by_name=Map((name, WorkerPool(name)) for name in POOLS),
        quotas_by_team=Map(
            guild=Quota("guild", ceiling=cap), office=Quota("office")
        ),
    )
    manager = build_leader(
        *workers,
        manifest=manifest,
        pools_by_queue=Map(quotes=("a",), others=("b",)),
    )
    late_ms = NOW_MS + PLAYED_MS
    return replace(manager, term=replace(manager.term, confirmed_ms=late_ms))


def worker(name, pool="a", **others):
    """Build a worker that reports all the time."""
    built = build_worker(name, last_report_ms=NOW_MS + PLAYED_MS, **others)
    return replace(built, entry=replace(built.entry, pool=pool))


def plans(team, count, step, prefix, queue="quotes"):
    """Build jobs of one step."""
    return [
        replace(
            build_plan(step, job_id=f"{prefix}{number:015x}", team=team),
            queue=queue,
        )
        for number in range(count)
    ]


def play(manager, answer=lambda request: request.worker_ids):
    """Play some seconds; return the time of the first start of each job.

    Args:
      manager: State of the leader.
      answer: Returns the workers that get tickets, or None to fail.
    Returns:
      Milliseconds by identifier of the job, and the requests.
    """
    identity = Identity(Node("edge-1", NodeKind.MANAGER, "dc", ""), "edge-1")
    started_ms, requests, calls = {}, [], []
    for now_ms in range(NOW_MS, NOW_MS + PLAYED_MS, TICK_MS):
        steps = []
        for call in [call for call in calls if call[0] <= now_ms]:
            calls.remove(call)
            event = _answer(call[1], answer, call[0])
            step = reduce_manager(State(identity, manager=manager), event)
            manager = step.state.manager
            steps.append(step)
        for pool in POOLS:
            step = place_tasks(manager, pool, now_ms)
            manager = step.state
            steps.append(step)
        for step in steps:
            for order in effects_of(step, StartRun):
                job_id = order.task.partition(".")[0]
                started_ms.setdefault(job_id, now_ms - NOW_MS)
            for request in effects_of(step, RequestAdvice):
                took_ms = DECIDE_MS + INTERVAL_MS * len(request.worker_ids)
                calls.append((now_ms + took_ms, request))
                requests.append(request)
    return started_ms, requests


def _answer(request, answer, at_ms):
    good = answer(request)
    if good is None:
        return AdviceNotGiven(at_ms, request.step, "status 500")
    tickets = tuple((name, f"t-{name}") for name in good)
    return AdviceGiven(
        at_ms, at_ms, request.step, request.worker_ids, tickets, VALID_MS
    )


SMALL_STEP = build_step(long_running=True)
LARGE_STEP = build_step(size=LARGE, long_running=True)
FOUR_WORKERS = [worker(f"w{number}") for number in range(4)]
# So full that no task of LARGE fits.
BUSY_WORKERS = [
    worker(f"w{number}", used=Size(1_000, 1_000)) for number in range(4)
]


@pytest.mark.parametrize(
    ("workers", "cap", "blocking", "answer", "waiting"),
    [
        (
            FOUR_WORKERS,
            Size(cpu_milli=500),
            plans("guild", 12, SMALL_STEP, "1"),
            lambda request: request.worker_ids,
            plans("office", 1, build_step(), "2"),
        ),
        (
            BUSY_WORKERS,
            Size(),
            plans("guild", 12, LARGE_STEP, "1"),
            lambda request: request.worker_ids,
            plans("office", 1, build_step(), "2"),
        ),
        (
            FOUR_WORKERS,
            Size(),
            plans("guild", 1, SMALL_STEP, "1"),
            lambda request: (
                None if request.step.startswith("1") else request.worker_ids
            ),
            plans("office", 2, build_step(), "2"),
        ),
        (
            FOUR_WORKERS + [worker("v0", "b")],
            Size(cpu_milli=500),
            plans("guild", 12, SMALL_STEP, "1"),
            lambda request: request.worker_ids,
            plans("office", 1, build_step(), "2", "others"),
        ),
        (
            [worker(f"w{number:03}") for number in range(4)],
            Size(),
            plans("guild", 40, SMALL_STEP, "1"),
            lambda request: (),
            plans("office", 2, build_step(), "2"),
        ),
    ],
    ids=[
        "at its ceiling",
        "no room",
        "the service fails",
        "another pool",
        "allowed nowhere",
    ],
)
def test_steps_that_cannot_start_keep_the_service_from_no_other(
    workers, cap, blocking, answer, waiting
):
    """Guards against review/12: accepted jobs never started (LOST)."""
    manager = activate_jobs(
        build_advised_leader(workers, cap), *blocking, *waiting
    )
    started_ms, _ = play(
        manager,
        lambda request: (
            request.worker_ids
            if request.step.startswith("2")
            else answer(request)
        ),
    )
    for plan in waiting:
        assert started_ms.get(plan.job_id, PLAYED_MS) <= LATEST_START_MS


def test_worker_with_room_is_named_first():
    """Of more workers than one request names, few may have room."""
    full = Size(4_000, 8_000)
    workers = [worker(f"w{number:03}", used=full) for number in range(200)]
    workers.append(worker("w999"))
    manager = activate_jobs(
        build_advised_leader(workers), build_plan(SMALL_STEP)
    )
    started_ms, requests = play(manager)
    assert requests[0].worker_ids[0] == "w999"
    assert max(started_ms.values()) <= LATEST_START_MS


def test_large_step_is_advised_beside_small_ones():
    """Without tickets no worker would be held back for it."""
    small = plans("office", 400, build_step(), "2")
    large = plans("guild", 1, LARGE_STEP, "1")
    manager = activate_jobs(build_advised_leader(BUSY_WORKERS), *small, *large)
    _, requests = play(manager)
    steps = [request.step for request in requests]
    assert any(step.startswith("1") for step in steps[:10])


def test_steps_at_their_ceiling_cost_no_comparison_with_workers(monkeypatch):
    """A team may send many times its usual; of its steps one is listed."""
    compared = []
    original = PlacementRound.room_by_worker_id

    def count(round_, job, place):
        compared.append(job.plan.job_id)
        return original(round_, job, place)

    monkeypatch.setattr(PlacementRound, "room_by_worker_id", count)
    blocking = plans("guild", 300, SMALL_STEP, "1")
    waiting = plans("office", 2, build_step(), "2")
    manager = build_advised_leader(FOUR_WORKERS, Size(cpu_milli=500))
    manager = activate_jobs(manager, *blocking, *waiting)
    step = place_tasks(manager, "a", NOW_MS)
    assert len(effects_of(step, RequestAdvice)) == 1
    assert len(compared) == len(waiting)


def test_failing_service_is_not_called_without_pause():
    manager = activate_jobs(
        build_advised_leader(FOUR_WORKERS), build_plan(SMALL_STEP)
    )
    _, requests = play(manager, lambda request: None)
    assert 4 <= len(requests) <= 8


def test_answer_for_an_ended_job_leaves_nothing():
    manager = activate_jobs(
        build_advised_leader(FOUR_WORKERS), build_plan(SMALL_STEP)
    )
    _, requests = play(manager)
    assert requests
    identity = Identity(Node("edge-1", NodeKind.MANAGER, "dc", ""), "edge-1")
    step = place_tasks(manager, "a", NOW_MS)
    request = effects_of(step, RequestAdvice)[0]
    ended = step.state
    ended = replace(
        ended,
        advice=replace(ended.advice, advice_by_step=Map()),
        active_jobs_by_id=Map(),
    )
    event = _answer(request, lambda asked: asked.worker_ids, NOW_MS + 200)
    step = reduce_manager(State(identity, manager=ended), event)
    assert not step.state.manager.advice.advice_by_step
    assert not step.state.manager.advice.in_flight_step
