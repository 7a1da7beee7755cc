"""Tests of a takeover soon after a job was submitted, in all event orders."""

from itertools import permutations

from immutables import Map
import pytest

from sesamehall.core.data import JobPhase
from sesamehall.core.fleet import Leader
from sesamehall.core.fleet import LeasedWorker
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.managereffects import StartRun
from sesamehall.core.managereffects import StopRun
from sesamehall.core.managereffects import StoreProgress
from sesamehall.core.managereffects import WatchWorker
from sesamehall.core.managerevents import ProgressStored
from sesamehall.core.managerevents import StoreOutcome
from sesamehall.core.managerevents import StreamRead
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.managerstate import StreamCursor
from sesamehall.core.step import then
from sesamehall.core.work import ActiveRun
from sesamehall.core.work import EndedRun
from sesamehall.core.work import RunEnd
from sesamehall.reducer.jobs.compacting import expand_progress
from sesamehall.reducer.jobs.leadership import claim_if_vacant
from sesamehall.reducer.jobs.leadership import handle_progress_stored
from sesamehall.reducer.jobs.reports import apply_report
from sesamehall.reducer.jobs.storing import commit
from sesamehall.reducer.jobs.stream_reading import apply_stream_read
from sesamehall.reducer.jobs.testing import build_manifest
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_registration
from sesamehall.reducer.jobs.testing import build_report
from sesamehall.reducer.jobs.testing import build_step
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import JOB_ID
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.jobs.testing import place_all
from sesamehall.reducer.jobs.testing import task
from sesamehall.reducer.jobs.workers import register_worker

EPOCH = 4
JOB_OFFSET = 1
JOB = build_plan(build_step(count=2))
# A test applies these events once in some order, then SETTLING_EVENTS.
EVENTS = (
    "ended",  # w1 reports that its run has ended
    "running",  # w2 reports that its run is active
    "read",  # the successor reads the job from the stream
    "store",  # it writes its changed records, if any
    "place",  # it places waiting tasks
)
# After the first of these rounds everything is applied, stored and
# acknowledged.  In the later rounds the successor must not send orders either.
SETTLING_EVENTS = EVENTS * 3


def build_successor(knows_job):
    """Build a node that has taken over from a leader that resigned."""
    names = ("w1", "w2")
    # The arguments are the identifier, address, pool and start time.
    leased = {name: LeasedWorker(name, "h:1", "a", 7) for name in names}
    plans = {JOB_ID: JOB} if knows_job else {}
    follower = ManagerState(
        "edge-2",
        manifest=build_manifest(),
        leader=Leader("edge-1", EPOCH - 1, resigned=True),
        jobs_cursor=StreamCursor(JOB_OFFSET, known_until_ms=NOW_MS),
        progress_cursor=StreamCursor(9, known_until_ms=NOW_MS),
        plans_by_id=Map(plans),
        team_by_job_id=Map(dict.fromkeys(plans, "guild")),
        leased_workers_by_id=Map(leased),
        pools_by_queue=Map(quotes=("a",)),
    )
    claiming = claim_if_vacant(follower, NOW_MS).state
    step = handle_progress_stored(claiming, _stored())
    for name in names:
        step = then(step, register_worker, build_registration(name), NOW_MS)
    return step.state


def _stored():
    return ProgressStored(NOW_MS, NOW_MS, EPOCH, StoreOutcome.STORED)


class Takeover:
    """A successor and the reports of two workers with one run of JOB each."""

    def __init__(self, knows_job):
        self.manager = build_successor(knows_job)
        self.acknowledged = 0
        self.orders = []

    def apply(self, event_name):
        """Apply one event to the successor and record its orders."""
        step = self._step(event_name)
        self.manager = step.state
        self.orders += effects_of(step, StartRun) + effects_of(step, StopRun)
        for watch in effects_of(step, WatchWorker):
            if watch.worker_id == "w1":
                self.acknowledged = watch.acknowledged

    def _step(self, event_name):
        match event_name:
            case "ended":
                # Sequence number 1; run number 1 of task 0.
                ended = [EndedRun(1, task(0), 1, RunEnd.DONE)]
                listed = ended[self.acknowledged :]
                report = build_report("w1", (), listed, epoch=EPOCH)
                return apply_report(self.manager, report)
            case "running":
                active = [ActiveRun(task(1), 1)]  # run number 1
                report = build_report("w2", active, epoch=EPOCH)
                return apply_report(self.manager, report)
            case "read":
                records = (StoredRecord(JOB_ID, JOB),)
                # An increment, known until NOW_MS; the next offset is 2.
                read = StreamRead(
                    NOW_MS, NOW_MS, 0, Stream.JOBS, records, 2, False
                )
                return apply_stream_read(self.manager, read)
            case "store":
                return self._store()
        return place_all(self.manager)

    def _store(self):
        step = commit(self.manager, NOW_MS + 1_000)
        if not effects_of(step, StoreProgress):
            return step
        return then(step, handle_progress_stored, _stored())


# Guards against tasks that run again after they were done, or twice at once: a
# successor receives runs and ends of a job before it has read the job.
@pytest.mark.parametrize("knows_job", [True, False])
@pytest.mark.parametrize("order", permutations(EVENTS), ids=",".join)
def test_run_of_the_predecessor_is_not_repeated(order, knows_job):
    takeover = Takeover(knows_job)
    for event_name in order + SETTLING_EVENTS:
        takeover.apply(event_name)
    assert not takeover.orders
    job = takeover.manager.active_jobs_by_id[JOB_ID]
    assert job.progress.phase is JobPhase.RUNNING
    stored = takeover.manager.progress_by_id[JOB_ID]
    assert expand_progress(stored, JOB) == job.progress
    assert takeover.acknowledged == 1
