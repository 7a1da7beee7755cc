"""Tests of the stored pools of queues that the manifest may move."""

from immutables import Map
import pytest

from sesamehall.core.fleet import Leader
from sesamehall.core.fleet import QueuePools
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.managereffects import StartRun
from sesamehall.core.managereffects import StoreProgress
from sesamehall.core.managerevents import ProgressStored
from sesamehall.core.managerevents import StoreOutcome
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.core.work import ActiveRun
from sesamehall.reducer.jobs.leadership import handle_progress_stored
from sesamehall.reducer.jobs.reports import apply_report
from sesamehall.reducer.jobs.state_updates import put_worker
from sesamehall.reducer.jobs.storing import write_changed_records
from sesamehall.reducer.jobs.task_placement import place_tasks
from sesamehall.reducer.jobs.testing import activate_jobs
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_manifest_with
from sesamehall.reducer.jobs.testing import build_manifest_without_queue
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_report
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.jobs.testing import place_all
from sesamehall.reducer.jobs.testing import read_manifest
from sesamehall.reducer.jobs.testing import read_records
from sesamehall.reducer.jobs.testing import task

NO_RECORD = None
DROPPED = None  # the manifest does not name the queue


def build_pool_worker(name, pool, **others):
    """Build a worker of a pool that is available for tasks."""
    worker = build_worker(name, **others)
    return replace(worker, entry=replace(worker.entry, pool=pool))


def send_queue_to(pool, version=2):
    """Build a manifest that sends the queue to a pool, or drops it."""
    if pool is DROPPED:
        return build_manifest_without_queue(version)
    return build_manifest_with(version, pool=pool)


def written_pools(step):
    """List the pools that a write stores for the queue, None if it deletes."""
    (store,) = effects_of(step, StoreProgress)
    return [
        record.value and record.value.pools
        for record in store.records
        if record.key == "queue/quotes"
    ]


def store_changes(manager, outcome=StoreOutcome.STORED):
    """Write the changed records, with the given outcome."""
    manager = write_changed_records(manager, NOW_MS).state
    stored = ProgressStored(NOW_MS, NOW_MS, manager.term.epoch, outcome)
    return handle_progress_stored(manager, stored).state


def place_after_write(manager, pool, outcome=StoreOutcome.STORED):
    """Place the tasks of a pool, write what that needs, and place again."""
    first = place_tasks(manager, pool, NOW_MS)
    step = Step(store_changes(first.state, outcome), first.effects)
    return then(step, place_tasks, pool, NOW_MS)


# Guards against two runs of a task at once: its queue changed its pool, and a
# new leader asked only the workers of the new pool for runs (review/3).
@pytest.mark.parametrize(
    ("stored", "silent_pool", "starts"),
    [
        (("a", "b"), "a", 0),
        (("a", "b"), "b", 0),
        (("a", "b"), "c", 1),
        (("b",), "a", 1),
        (("a",), "a", 0),
        (NO_RECORD, "a", 0),
        (NO_RECORD, "c", 0),
    ],
)
def test_inherited_tasks_wait_for_all_pools_of_their_queue(
    stored, silent_pool, starts
):
    pools = {} if stored is NO_RECORD else {"quotes": stored}
    manager = build_leader(
        build_pool_worker("w1", silent_pool, contacted=False),
        build_pool_worker("w2", "b"),
        manifest=send_queue_to("b"),
        pools_by_queue=Map(pools),
    )
    manager = activate_jobs(manager, build_plan(), inherited=True)
    step = place_after_write(manager, "b")
    assert len(effects_of(step, StartRun)) == starts


def test_run_in_the_earlier_pool_is_adopted():
    manager = build_leader(
        build_pool_worker("w1", "a", contacted=False),
        build_pool_worker("w2", "b"),
        manifest=send_queue_to("b"),
        pools_by_queue=Map(quotes=("a", "b")),
    )
    manager = activate_jobs(manager, build_plan(), inherited=True)
    report = build_report("w1", [ActiveRun(task(), 1)])
    manager = apply_report(manager, report).state
    assert not effects_of(place_tasks(manager, "b", NOW_MS), StartRun)
    assert manager.runs_by_task[task()].worker_id == "w1"


# Guards against a successor that cannot tell where tasks may run: the record
# is stored before the first of them is started.
@pytest.mark.parametrize(
    ("outcome", "starts", "written_again"),
    [
        (StoreOutcome.STORED, 1, []),
        (StoreOutcome.REFUSED, 0, [("a",)]),
        (StoreOutcome.UNKNOWN, 0, [("a",)]),
    ],
)
def test_pool_is_stored_before_the_first_start(outcome, starts, written_again):
    manager = build_leader(build_worker("w1"), pools_by_queue=Map())
    manager = activate_jobs(manager, build_plan())
    step = place_all(manager)
    assert not effects_of(step, StartRun)
    assert written_pools(write_changed_records(step.state, NOW_MS)) == [("a",)]
    step = place_after_write(manager, "a", outcome)
    assert len(effects_of(step, StartRun)) == starts
    assert (
        written_pools(write_changed_records(step.state, NOW_MS))
        == written_again
    )


@pytest.mark.parametrize(
    ("stored", "pool_of_run", "silent_pool", "written"),
    [
        (("a",), "a", "c", ("a", "b")),
        (("a",), "", "c", ("b",)),
        (("a", "c"), "", "c", ("b", "c")),
        (("a", "c"), "a", "c", ("a", "b", "c")),
        (NO_RECORD, "", "c", ("b", "c")),
    ],
    ids=[
        "run in the earlier pool",
        "no run",
        "run possible",
        "run and run possible",
        "no record",
    ],
)
def test_record_names_the_pools_that_may_have_runs(
    stored, pool_of_run, silent_pool, written
):
    """A queue that often changes its pool does not gather all of them."""
    manager = build_leader(
        build_pool_worker("w1", "a"),
        build_pool_worker("w2", "b"),
        build_pool_worker("w3", silent_pool, contacted=False),
        pools_by_queue=Map({} if stored is NO_RECORD else {"quotes": stored}),
    )
    manager = activate_jobs(manager, build_plan())
    if pool_of_run:
        report = build_report("w1", [ActiveRun(task(), 1)])
        manager = apply_report(manager, report).state
        manager = activate_jobs(manager, build_plan(job_id="00000000000000bb"))
    manager = read_manifest(manager, send_queue_to("b"))
    manager = place_tasks(manager, "b", NOW_MS).state
    assert written_pools(write_changed_records(manager, NOW_MS)) == [written]


# Guards against inherited tasks that wait for pools without runs.
@pytest.mark.parametrize(
    ("stored", "active_in", "untracked_in", "written"),
    [
        (("a", "b"), "", "", [("b",)]),
        (("a", "b"), "a", "", []),
        (("a", "b"), "", "a", []),
        (("b",), "", "", []),
        (("b",), "a", "", [("a", "b")]),
    ],
    ids=[
        "no run left",
        "run left",
        "run possible",
        "one pool",
        "run that was held up",
    ],
)
def test_record_follows_the_runs(stored, active_in, untracked_in, written):
    manager = build_leader(
        build_pool_worker("w1", "a"),
        build_pool_worker("w2", "b"),
        build_pool_worker("w3", untracked_in or "c", untracked_runs=1),
        manifest=send_queue_to("b"),
        pools_by_queue=Map(quotes=stored),
    )
    manager = activate_jobs(
        manager, build_plan(), build_plan(job_id="00000000000000bb")
    )
    if active_in:
        report = build_report("w1", [ActiveRun(task(), 1)])
        manager = apply_report(manager, report).state
    manager = place_tasks(manager, "b", NOW_MS).state
    assert written_pools(write_changed_records(manager, NOW_MS)) == written


# Guards against a start in a pool that a write in flight takes out of the
# record: the manifest sends the queue back while the write has no answer.
@pytest.mark.parametrize(
    ("pool", "starts", "written"),
    [("a", 0, [("a",)]), ("b", 1, [])],
    ids=["taken out", "kept"],
)
def test_pool_is_not_used_while_it_leaves_the_record(pool, starts, written):
    manager = build_leader(
        build_pool_worker("w1", "a"),
        build_pool_worker("w2", "b", quarantined_until_ms=NOW_MS + 1),
        manifest=send_queue_to("b"),
        pools_by_queue=Map(quotes=("a", "b")),
    )
    manager = activate_jobs(manager, build_plan())
    manager = place_tasks(manager, "b", NOW_MS).state
    writing = write_changed_records(manager, NOW_MS)
    assert written_pools(writing) == [("b",)]
    worker = build_pool_worker("w2", "b")
    manager = put_worker(writing.state, worker)
    manager = read_manifest(manager, send_queue_to(pool, version=3))
    step = place_tasks(manager, pool, NOW_MS)
    assert len(effects_of(step, StartRun)) == starts
    stored = ProgressStored(NOW_MS, NOW_MS, 1, StoreOutcome.STORED)
    manager = handle_progress_stored(step.state, stored).state
    manager = place_tasks(manager, pool, NOW_MS).state
    assert written_pools(write_changed_records(manager, NOW_MS)) == written


# Guards against records of queues that stay for ever.
@pytest.mark.parametrize(
    ("plans", "pool", "written", "kept"),
    [
        ((), DROPPED, [None], False),
        ((build_plan(),), DROPPED, [], True),
        ((), "a", [], True),
    ],
    ids=["dropped", "dropped with a job", "named"],
)
def test_record_of_a_dropped_queue_is_deleted(plans, pool, written, kept):
    manager = activate_jobs(build_leader(build_worker("w1")), *plans)
    manager = read_manifest(manager, send_queue_to(pool))
    assert written_pools(write_changed_records(manager, NOW_MS)) == written
    assert ("quotes" in store_changes(manager).pools_by_queue) == kept


STORED = StoredRecord("queue/quotes", QueuePools("quotes", ("a", "b")))
DELETED = StoredRecord("queue/quotes", None)
LEADER = StoredRecord("leader", Leader("edge-1", 3))


@pytest.mark.parametrize(
    ("records", "covers_all_keys", "pools"),
    [
        ((STORED,), False, ("a", "b")),
        ((LEADER,), False, ("c",)),
        ((DELETED,), False, None),
        ((LEADER,), True, None),
        ((STORED, LEADER), True, ("a", "b")),
    ],
    ids=["changed", "unchanged", "deleted", "not listed", "listed"],
)
def test_follower_knows_the_stored_pools(records, covers_all_keys, pools):
    manager = ManagerState("edge-2", pools_by_queue=Map(quotes=("c",)))
    manager = read_records(
        manager, Stream.PROGRESS, *records, covers_all_keys=covers_all_keys
    )
    assert manager.pools_by_queue.get("quotes") == pools
