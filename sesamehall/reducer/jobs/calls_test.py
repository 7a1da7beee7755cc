"""Tests of calls about jobs."""

import pytest

from sesamehall.core.calls import Accepted
from sesamehall.core.calls import CancelJob
from sesamehall.core.calls import Counted
from sesamehall.core.calls import CountPending
from sesamehall.core.calls import JobCall
from sesamehall.core.calls import JobDraft
from sesamehall.core.calls import Rejected
from sesamehall.core.calls import ShowJob
from sesamehall.core.calls import Shown
from sesamehall.core.calls import SubmitJob
from sesamehall.core.codes import JOB_UNCONFIRMED
from sesamehall.core.codes import KEY_MISSING
from sesamehall.core.codes import KEY_REFUSED
from sesamehall.core.codes import LOG_UNREACHABLE
from sesamehall.core.codes import MALFORMED
from sesamehall.core.codes import NO_SUCH_JOB
from sesamehall.core.codes import NO_SUCH_SERVICE
from sesamehall.core.codes import NOT_READY
from sesamehall.core.codes import TOO_LARGE
from sesamehall.core.data import JobPhase
from sesamehall.core.fleet import CancelAsked
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.managereffects import AnswerCall
from sesamehall.core.managereffects import StoreJob
from sesamehall.core.managerevents import JobCalled
from sesamehall.core.managerevents import JobStored
from sesamehall.core.managerevents import StoreOutcome
from sesamehall.core.managerevents import StreamRead
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.managerstate import StreamCursor
from sesamehall.core.manifest import Queue
from sesamehall.core.replacing import replace
from sesamehall.core.work import JobPlan
from sesamehall.core.work import Progress
from sesamehall.reducer.jobs.calls import advance_calls
from sesamehall.reducer.jobs.calls import find_queue
from sesamehall.reducer.jobs.calls import handle_job_stored
from sesamehall.reducer.jobs.calls import receive_call
from sesamehall.reducer.jobs.stream_reading import apply_stream_read
from sesamehall.reducer.jobs.testing import activate_jobs
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_manifest
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_step
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import JOB_ID
from sesamehall.reducer.jobs.testing import NOW_MS

SUBMIT = SubmitJob(JobDraft("spec", (build_step(),)))


def build_follower(*progress, manifest_ms=NOW_MS):
    """Build a node that does not lead and knows one job."""
    manager = ManagerState(
        "edge-2",
        manifest=build_manifest(),
        operator_cursor=StreamCursor(1, known_until_ms=manifest_ms),
        jobs_cursor=StreamCursor(1, known_until_ms=NOW_MS - 500),
        progress_cursor=StreamCursor(1, known_until_ms=NOW_MS - 500),
    )
    records = (StoredRecord(JOB_ID, build_plan()),)
    manager = read(manager, Stream.JOBS, records, NOW_MS - 500)
    stored = tuple(StoredRecord(job.job_id, job) for job in progress)
    return read(manager, Stream.PROGRESS, stored, NOW_MS - 500)


def read(manager, stream, records, known_ms):
    """Apply records that a node has read."""
    event = StreamRead(known_ms, known_ms, 0, stream, records, 1, False)
    return apply_stream_read(manager, event).state


def call(kind, path=f"/q/{JOB_ID}", key="k", host="q.example"):
    return JobCalled(NOW_MS, JobCall(1, NOW_MS, host, path, key, kind))


def answers_of(step):
    return [effect.answer for effect in effects_of(step, AnswerCall)]


@pytest.mark.parametrize(
    ("kind", "path", "key", "code"),
    [
        (ShowJob(), "/other/", "k", NO_SUCH_SERVICE),
        (ShowJob(), f"/q/{JOB_ID}", "", KEY_MISSING),
        (ShowJob(), f"/q/{JOB_ID}", "x", KEY_REFUSED),
        (ShowJob(), "/q/short", "k", NO_SUCH_JOB),
        (CountPending(), "/q/more/", "k", NO_SUCH_JOB),
        (SubmitJob(JobDraft("", ())), "/q/" + "0" * 16, "k", MALFORMED),
    ],
    ids=[
        "unknown queue",
        "no key",
        "unknown key",
        "invalid identifier",
        "path below the queue",
        "no steps",
    ],
)
def test_call_is_rejected_at_once(kind, path, key, code):
    step = receive_call(build_follower(), call(kind, path, key))
    assert answers_of(step) == [Rejected(code)]


@pytest.mark.parametrize(("age_ms", "rejected"), [(1_799, 0), (1_800, 1)])
def test_stale_manifest_rejects_calls(age_ms, rejected):
    manager = build_follower(manifest_ms=NOW_MS - age_ms)
    step = receive_call(manager, call(CountPending(), "/q/"))
    codes = [
        answer.code
        for answer in answers_of(step)
        if isinstance(answer, Rejected)
    ]
    assert codes == [NOT_READY] * rejected


@pytest.mark.parametrize(
    ("progress", "kind", "answer"),
    [
        ((), SUBMIT, Accepted()),
        ((), CountPending(), Counted(1)),
        ((Progress(JOB_ID, JobPhase.RUNNING),), CountPending(), Counted(0)),
        (
            (Progress(JOB_ID, JobPhase.DONE),),
            ShowJob(),
            Shown(JobPhase.DONE),
        ),
        ((Progress(JOB_ID, JobPhase.FAILED),), CancelJob(), Accepted()),
    ],
    ids=[
        "submitted again",
        "pending",
        "none pending",
        "ended",
        "cancelled too late",
    ],
)
def test_call_is_answered_at_once(progress, kind, answer):
    path = "/q/" if isinstance(kind, CountPending) else f"/q/{JOB_ID}"
    step = receive_call(build_follower(*progress), call(kind, path))
    assert answers_of(step) == [answer]


@pytest.mark.parametrize(
    ("outcome", "answer"),
    [
        (StoreOutcome.STORED, Accepted()),
        (StoreOutcome.REFUSED, Rejected(LOG_UNREACHABLE, 1)),
        (StoreOutcome.UNKNOWN, Rejected(JOB_UNCONFIRMED)),
        (StoreOutcome.UNSTORABLE, Rejected(TOO_LARGE)),
    ],
)
def test_submission_is_answered_after_the_write(outcome, answer):
    path = "/q/" + "0" * 16
    step = receive_call(build_follower(), call(SUBMIT, path))
    assert answers_of(step) == []
    (store,) = effects_of(step, StoreJob)
    assert isinstance(store.value, JobPlan)
    assert store.value.team == "guild"
    step = handle_job_stored(step.state, JobStored(NOW_MS, 1, outcome))
    assert answers_of(step) == [answer]


@pytest.mark.parametrize(
    ("path", "stream", "records", "answer"),
    [
        (
            f"/q/{JOB_ID}",
            Stream.PROGRESS,
            (StoredRecord(JOB_ID, Progress(JOB_ID, JobPhase.DONE)),),
            Shown(JobPhase.DONE),
        ),
        (f"/q/{JOB_ID}", Stream.PROGRESS, (), Shown(JobPhase.WAITING)),
        ("/q/" + "0" * 16, Stream.JOBS, (), Rejected(NO_SUCH_JOB)),
    ],
    ids=["done meanwhile", "unchanged", "unknown"],
)
def test_follower_reads_the_log_before_it_shows_a_job(
    path, stream, records, answer
):
    step = receive_call(build_follower(), call(ShowJob(), path))
    assert answers_of(step) == []
    stale = read(step.state, stream, (), NOW_MS - 1)
    assert answers_of(advance_calls(stale, NOW_MS)) == []
    fresh = read(step.state, stream, records, NOW_MS + 5)
    assert answers_of(advance_calls(fresh, NOW_MS + 5)) == [answer]


# Guards against a team that cancels another team's job: the job was read while
# the request was being stored, and the answer did not say whose job it is.
@pytest.mark.parametrize(
    ("owner", "answer"),
    [
        ("guild", Accepted()),
        ("other", Rejected(NO_SUCH_JOB)),
        ("", Accepted()),
    ],
)
def test_cancel_request_for_a_job_read_meanwhile(owner, answer):
    other_id = "0" * 16
    step = receive_call(build_follower(), call(CancelJob(), f"/q/{other_id}"))
    plan = build_plan(job_id=other_id, team=owner)
    record = StoredRecord(other_id, plan)
    manager = read(step.state, Stream.JOBS, (record,), NOW_MS + 3)
    stored = JobStored(NOW_MS + 5, 1, StoreOutcome.STORED)
    step = handle_job_stored(manager, stored)
    later = advance_calls(step.state, NOW_MS + 5)
    assert answers_of(step) + answers_of(later) == [answer]


@pytest.mark.parametrize(
    ("job_id", "answer"),
    [(JOB_ID, Accepted()), ("0" * 16, Rejected(NO_SUCH_JOB))],
)
def test_cancel_request_is_stored_before_the_answer(job_id, answer):
    path = f"/q/{job_id}"
    step = receive_call(build_follower(), call(CancelJob(), path))
    (store,) = effects_of(step, StoreJob)
    assert store.value == CancelAsked(job_id, "guild")
    stored = JobStored(NOW_MS, 1, StoreOutcome.STORED)
    step = handle_job_stored(step.state, stored)
    manager = read(step.state, Stream.JOBS, (), NOW_MS + 5)
    later = advance_calls(manager, NOW_MS + 5)
    assert answers_of(step) + answers_of(later) == [answer]


# Guards against a refusal that is not true: a cancel whose write had no answer
# may be stored, and was answered as not run.
@pytest.mark.parametrize(
    ("kind", "answer"),
    [
        (SUBMIT, Rejected(JOB_UNCONFIRMED)),
        (ShowJob(), Rejected(NOT_READY, 1)),
        (CancelJob(), Rejected(JOB_UNCONFIRMED)),
    ],
    ids=["submit", "show", "cancel"],
)
def test_call_times_out_without_the_store(kind, answer):
    path = "/q/" + "0" * 16
    step = receive_call(build_follower(), call(kind, path))
    assert answers_of(advance_calls(step.state, NOW_MS + 2_199)) == []
    assert answers_of(advance_calls(step.state, NOW_MS + 2_200)) == [answer]


def test_job_of_another_team_is_not_shown():
    manager = build_follower()
    teams = manager.team_by_job_id.set(JOB_ID, "others")
    step = receive_call(
        replace(manager, team_by_job_id=teams), call(ShowJob())
    )
    assert answers_of(step) == [Rejected(NO_SUCH_JOB)]


@pytest.mark.parametrize(
    ("confirmed_ago_ms", "answers"),
    [(0, [Shown(JobPhase.WAITING)]), (900, [])],
)
def test_only_a_confirmed_leader_shows_a_job_without_reading(
    confirmed_ago_ms, answers
):
    manager = activate_jobs(build_leader(), build_plan())
    confirmed_ms = NOW_MS - confirmed_ago_ms
    manager = replace(
        manager,
        operator_cursor=StreamCursor(1, known_until_ms=NOW_MS),
        term=replace(manager.term, confirmed_ms=confirmed_ms),
    )
    assert answers_of(receive_call(manager, call(ShowJob()))) == answers


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("q.example", "/q/x", "quotes"),
        ("q.example", "/q/long/x", "longer"),
        ("q.example", "/r/x", None),
        ("r.example", "/q/x", None),
    ],
)
def test_longest_path_prefix_selects_the_queue(host, path, name):
    manifest = build_manifest()
    longer = Queue("longer", "q.example", "/q/long/", "a")
    queues = manifest.queues_by_name.set("longer", longer)
    found = find_queue(replace(manifest, queues_by_name=queues), host, path)
    assert (found and found.name) == name
