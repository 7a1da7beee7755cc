"""Tests that runs of which no report has told count against ceilings.

A team has a ceiling of 4 cores, and its tasks take one each.  Worker w1 has
reported to the new leader, w2 has not.
"""

from immutables import Map
import pytest

from sesamehall.core.data import JobPhase
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.logevents import TASKS_WAITING
from sesamehall.core.managereffects import StartRun
from sesamehall.core.manifest import Quota
from sesamehall.core.manifest import WorkerPool
from sesamehall.core.replacing import replace
from sesamehall.core.work import ActiveRun
from sesamehall.core.work import CompactProgress
from sesamehall.core.work import NO_SIZE
from sesamehall.core.work import Size
from sesamehall.reducer.jobs.active_jobs import cancel_job
from sesamehall.reducer.jobs.ended_jobs import forget_ended_jobs
from sesamehall.reducer.jobs.reports import apply_report
from sesamehall.reducer.jobs.state_updates import put_worker
from sesamehall.reducer.jobs.storing import record_progress
from sesamehall.reducer.jobs.testing import activate_jobs
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_manifest
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_report
from sesamehall.reducer.jobs.testing import build_step
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import CAPACITY
from sesamehall.reducer.jobs.testing import details_of
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import JOB_ID
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.jobs.testing import OTHER_JOB_ID
from sesamehall.reducer.jobs.testing import place_all
from sesamehall.reducer.jobs.testing import read_records
from sesamehall.reducer.jobs.testing import task
from sesamehall.reducer.jobs.unreported_runs import unreported_by_team

CEILING = Size(cpu_milli=4_000)
ROOMY = Size(64_000, 64_000)


def build_manifest_with_pools():
    """Build a manifest with two teams, two queues and a pool for each."""
    manifest = build_manifest()
    queue = manifest.queues_by_name["quotes"]
    queues = {
        "quotes": queue,
        "others": replace(queue, name="others", pool="b"),
    }
    return replace(
        manifest,
        queues_by_name=Map(queues),
        pools_by_name=Map((name, WorkerPool(name)) for name in ("a", "b")),
        quotas_by_team=Map(
            guild=Quota("guild", ceiling=CEILING), office=Quota("office")
        ),
    )


def unheard_worker(name="w2", pool="a", capacity=ROOMY, **others):
    """Build a worker that has not answered the new leader."""
    fields = {
        "contacted": False,
        "first_contact_ms": -1,
        "inherited": True,
        "lease_end_ms": NOW_MS + 5_000,
        **others,
    }
    worker = build_worker(name, **fields)
    entry = replace(worker.entry, pool=pool, capacity=capacity)
    return replace(worker, entry=entry)


def build_successor(*unheard, **others):
    """Build a new leader that w1 has answered, and the given workers not."""
    worker = build_worker("w1")
    worker = replace(worker, entry=replace(worker.entry, capacity=ROOMY))
    return build_leader(
        worker,
        *(unheard or (unheard_worker(),)),
        manifest=build_manifest_with_pools(),
        pools_by_queue=Map(quotes=("a",), others=("b",)),
        **others,
    )


def inherited(count, job_id=JOB_ID, queue="quotes", **others):
    """Build a job whose tasks an earlier leader may have started."""
    step = build_step(count, **others)
    return replace(build_plan(step, job_id=job_id), queue=queue)


NEW_JOB = build_plan(build_step(4), job_id=OTHER_JOB_ID)


def starts(manager):
    """Count the tasks of the new job that are started."""
    orders = effects_of(place_all(manager), StartRun)
    return sum(order.task.startswith(OTHER_JOB_ID) for order in orders)


@pytest.mark.parametrize(
    ("unheard", "jobs", "expected"),
    [
        ([unheard_worker()], [inherited(4)], 0),
        ([unheard_worker()], [inherited(3)], 1),
        ([unheard_worker()], [], 4),
        ([unheard_worker(capacity=CAPACITY)], [inherited(9)], 0),
        (
            [unheard_worker(capacity=Size(2_000, 8_000))],
            [inherited(9)],
            2,
        ),
        ([unheard_worker(capacity=NO_SIZE)], [inherited(3)], 1),
        (
            [unheard_worker(capacity=Size(2_000, 8_000))],
            [inherited(3, best_effort=True)],
            1,
        ),
        ([unheard_worker(pool="b")], [inherited(4)], 4),
        ([unheard_worker(pool="b")], [inherited(3, queue="others")], 1),
        ([unheard_worker(lease_end_ms=0)], [inherited(4)], 4),
        (
            [
                unheard_worker(capacity=Size(1_000, 8_000)),
                unheard_worker("w3", "b"),
            ],
            [
                inherited(9),
                inherited(2, job_id="00000000000000cc", queue="others"),
            ],
            1,
        ),
    ],
    ids=[
        "all of the ceiling may run",
        "what is left is used",
        "nothing was inherited",
        "more than the ceiling",
        "no more than the worker has room for",
        "a worker whose room is not known",
        "tasks that reserve no processor time",
        "workers of another pool",
        "another queue of the team",
        "the worker can run nothing any more",
        "little room in one of two pools",
    ],
)
def test_what_unheard_workers_may_run_counts(unheard, jobs, expected):
    """Guards against review/14: a new leader exceeded a ceiling (QUOTA)."""
    manager = activate_jobs(build_successor(*unheard), *jobs, inherited=True)
    manager = activate_jobs(manager, NEW_JOB)
    assert len(effects_of(place_all(manager), StartRun)) == expected


def test_other_teams_start_meanwhile():
    manager = activate_jobs(build_successor(), inherited(4), inherited=True)
    manager = activate_jobs(manager, replace(NEW_JOB, team="office"))
    assert starts(manager) == 4


@pytest.mark.parametrize(
    ("active", "expected"), [(4, 0), (1, 0), (0, 0)], ids=str
)
def test_reports_replace_what_may_run(active, expected):
    """The inherited job comes first: it starts what does not run yet."""
    manager = activate_jobs(build_successor(), inherited(4), inherited=True)
    manager = activate_jobs(manager, NEW_JOB)
    runs = [ActiveRun(task(index), 1) for index in range(active)]
    manager = apply_report(manager, build_report("w2", runs)).state
    assert unreported_by_team(manager) == {"guild": NO_SIZE}
    orders = effects_of(place_all(manager), StartRun)
    assert len(orders) == 4 - active
    assert starts(manager) == expected


def test_nothing_is_started_under_a_ceiling_before_all_jobs_are_read():
    manager = activate_jobs(build_successor(jobs_caught_up=False), NEW_JOB)
    assert starts(manager) == 0
    manager = replace(manager, jobs_caught_up=True)
    assert starts(manager) == 4


def test_runs_of_a_job_cancelled_in_this_term_count():
    """Its runs on the silent worker go on until their lease ends."""
    manager = activate_jobs(build_successor(), inherited(4), inherited=True)
    manager = cancel_job(manager, JOB_ID, NOW_MS).state
    manager = activate_jobs(manager, NEW_JOB)
    assert starts(manager) == 0
    stored = CompactProgress(JOB_ID, JobPhase.CANCELLED)
    manager = record_progress(manager, stored, NOW_MS)
    assert starts(manager) == 0
    worker = replace(manager.workers_by_id["w2"], lease_end_ms=0)
    assert starts(put_worker(manager, worker)) == 4


@pytest.mark.parametrize(
    ("phase", "expected"),
    [(JobPhase.CANCELLED, 0), (JobPhase.FAILED, 0), (JobPhase.DONE, 4)],
    ids=str,
)
@pytest.mark.parametrize("plan_first", [True, False], ids=str)
def test_runs_of_a_job_that_ended_before_this_term_count(
    phase, expected, plan_first
):
    manager = replace(build_successor(), term=build_leader().term)
    epoch = manager.term.epoch
    follower = replace(manager, term=replace(manager.term, epoch=0))
    records = [
        (Stream.JOBS, StoredRecord(JOB_ID, inherited(4))),
        (
            Stream.PROGRESS,
            StoredRecord(JOB_ID, CompactProgress(JOB_ID, phase)),
        ),
    ]
    for stream, record in records if plan_first else reversed(records):
        follower = read_records(follower, stream, record)
    manager = replace(follower, term=replace(manager.term, epoch=epoch))
    manager = activate_jobs(manager, NEW_JOB)
    assert starts(manager) == expected


def test_ended_jobs_are_forgotten_when_no_run_can_be_left():
    manager = activate_jobs(build_successor(), inherited(4), inherited=True)
    manager = cancel_job(manager, JOB_ID, NOW_MS).state
    assert forget_ended_jobs(manager, NOW_MS + 14_999).ended_jobs_by_id
    assert not forget_ended_jobs(manager, NOW_MS + 15_000).ended_jobs_by_id


def test_runs_to_be_stopped_of_a_job_that_goes_on_count():
    """A second run of a task is stopped, and uses resources until then."""
    manager = activate_jobs(build_successor(), inherited(1), inherited=True)
    for name in ("w1", "w2"):
        report = build_report(name, [ActiveRun(task(), 1)])
        manager = apply_report(manager, report).state
    manager = activate_jobs(manager, NEW_JOB)
    assert starts(manager) == 2
    manager = apply_report(manager, build_report("w2")).state
    assert starts(manager) == 3


def test_own_jobs_that_end_are_counted_once():
    """Runs that the leader tracks are charged already."""
    manager = build_successor()
    manager = activate_jobs(manager, replace(NEW_JOB, job_id=JOB_ID))
    manager = place_all(manager).state
    manager = cancel_job(manager, JOB_ID, NOW_MS).state
    assert unreported_by_team(manager) == {"guild": NO_SIZE}
    later_term = replace(manager.term, epoch=7)
    manager = replace(manager, term=later_term)
    assert unreported_by_team(manager) == {"guild": Size(4_000, 4_000)}


def test_waiting_line_tells_what_is_held_back():
    manager = activate_jobs(build_successor(), inherited(4), inherited=True)
    manager = activate_jobs(manager, NEW_JOB)
    (details,) = details_of(place_all(manager), TASKS_WAITING)
    assert details["at_ceiling"] == 0
    assert details["unreported_at_ceiling"] == 2
