"""Test helpers that build manager states and select effects."""

from immutables import Map

from sesamehall.core.effects import Effect
from sesamehall.core.effects import Log
from sesamehall.core.effects import SetTimer
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.fleet import WorkerEntry
from sesamehall.core.logevents import LogEvent
from sesamehall.core.managerevents import StreamRead
from sesamehall.core.managerevents import WorkerReported
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.managerstate import Term
from sesamehall.core.manifest import Manifest
from sesamehall.core.manifest import Queue
from sesamehall.core.manifest import Quota
from sesamehall.core.manifest import WorkerPool
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step
from sesamehall.core.work import JobPlan
from sesamehall.core.work import Size
from sesamehall.core.work import StepPlan
from sesamehall.core.work import task_id
from sesamehall.core.work import TaskPlace
from sesamehall.core.workstate import Worker
from sesamehall.reducer.jobs.active_jobs import activate_job
from sesamehall.reducer.jobs.state_updates import put_worker
from sesamehall.reducer.jobs.stream_reading import apply_stream_read
from sesamehall.reducer.jobs.task_placement import place_tasks

NOW_MS = 100_000
JOB_ID = "00000000000000aa"
OTHER_JOB_ID = "00000000000000bb"
CAPACITY = Size(4_000, 8_000)
SMALL = Size(1_000, 1_000)


def build_step(count=1, size=SMALL, **others):
    """Build a step whose tasks are estimated to take 500 ms."""
    return StepPlan(count, size, estimate_ms=500, **others)


def build_plan(*steps, job_id=JOB_ID, team="guild"):
    """Build a job of the queue "quotes"."""
    return JobPlan(job_id, "quotes", team, "spec", steps or (build_step(),))


def build_manifest(**quota):
    """Build a manifest with one queue, its pool, and a standby pool."""
    queue = Queue("quotes", "q.example", "/q/", "a", max_attempts=2)
    quotas = {"guild": Quota("guild", **quota)}
    pools = {
        "a": WorkerPool("a"),
        "spare": WorkerPool("spare", standby=True),
    }
    return Manifest(
        version=1,
        queues_by_name=Map(quotes=queue),
        pools_by_name=Map(pools),
        quotas_by_team=Map(quotas),
        team_by_key=Map({"k": "guild"}),
    )


def build_manifest_with(version=2, **queue_fields):
    """Build a later manifest whose queue has other values in some fields."""
    manifest = replace(build_manifest(), version=version)
    queue = replace(manifest.queues_by_name["quotes"], **queue_fields)
    return replace(manifest, queues_by_name=Map(quotes=queue))


def build_manifest_without_queue(version=2):
    """Build a later manifest that does not name the queue."""
    return replace(build_manifest(), version=version, queues_by_name=Map())


def build_registration(name, **others):
    """Build the registration of a worker of pool "a"."""
    fields = {
        "capacity": CAPACITY,
        "rack": "r1-1",
        # A smaller time is that of an earlier incarnation, a greater one that
        # of a later incarnation.
        "started_wall_ms": 7,
        **others,
    }
    return WorkerEntry(name, "10.0.0.1:80", "a", "dc", **fields)


def build_worker(name, **others):
    """Build a worker that is available for tasks."""
    fields = {
        "lease_recorded": True,
        "contacted": True,
        "first_contact_ms": NOW_MS - 60_000,
        "clock_ms": 50_000,
        "last_report_ms": NOW_MS,
        "lease_end_ms": NOW_MS,
        **others,
    }
    return Worker(build_registration(name), **fields)


def build_leader(*workers, manifest=None, **others):
    """Build a leader whose latest write has just been confirmed."""
    term = Term(epoch=1, began_ms=NOW_MS - 5_000, confirmed_ms=NOW_MS)
    manager = ManagerState(
        "edge-1",
        manifest=manifest or build_manifest(),
        term=others.pop("term", term),
        **{
            "jobs_caught_up": True,
            "pools_by_queue": Map(quotes=("a",)),
            **others,
        },
    )
    for worker in workers:
        manager = put_worker(manager, worker)
    return manager


def activate_jobs(manager, *plans, inherited=False):
    """Add jobs to a leader and activate them."""
    for plan in plans:
        manager = replace(
            manager,
            plans_by_id=manager.plans_by_id.set(plan.job_id, plan),
            team_by_job_id=manager.team_by_job_id.set(plan.job_id, plan.team),
        )
        step = activate_job(manager, plan.job_id, inherited, NOW_MS)
        manager = step.state
    return manager


def read_records(manager, stream, *records, covers_all_keys=False):
    """Let a manager read records of a stream."""
    read = StreamRead(NOW_MS, NOW_MS, 0, stream, records, 9, covers_all_keys)
    return apply_stream_read(manager, read).state


def read_manifest(manager, manifest):
    """Let a manager read a manifest."""
    record = StoredRecord("config", manifest)
    return read_records(manager, Stream.OPERATOR, record)


def place_all(manager, at_ms=NOW_MS) -> Step:
    """Place the waiting tasks of pool "a"."""
    return place_tasks(manager, "a", at_ms)


def build_report(worker_id, active=(), ended=(), at_ms=NOW_MS, **others):
    """Build a worker's report of its runs."""
    fields = {
        "started_wall_ms": 7,
        "epoch": 1,
        "sent_ms": at_ms,
        "is_whole": True,
        **others,
    }
    return WorkerReported(
        at_ms=at_ms,
        worker_id=worker_id,
        clock_ms=50_000 + at_ms - NOW_MS,
        active=tuple(active),
        ended=tuple(ended),
        **fields,
    )


def task(index=0, step=0, job_id=JOB_ID):
    """Return the identifier of a task."""
    return task_id(job_id, TaskPlace(0, step, index))


def effects_of(step: Step, kind: type) -> list[Effect]:
    """List the effects of the given class."""
    return [effect for effect in step.effects if isinstance(effect, kind)]


def details_of(step: Step, event: LogEvent) -> list[dict]:
    """List the details of the log lines of an event."""
    return [
        {field.name: field.value for field in line.details}
        for line in effects_of(step, Log)
        if line.event == event
    ]


def decisions_of(step: Step) -> list[Effect]:
    """List the effects other than log lines and timers."""
    return [
        effect
        for effect in step.effects
        if not isinstance(effect, Log | SetTimer)
    ]
