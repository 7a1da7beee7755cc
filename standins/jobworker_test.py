"""Tests of the worker stand-in against the worker protocol."""

import json
import time

import pytest

from standins.jobworker import JobWorker
from standins.serving import HttpRequest

LEASE_MS = 150
TASK = "00000000000000aa.0.0.0"


def call(worker, path, **order):
    """Send a request; return the status and the decoded response."""
    body = json.dumps({"FencingToken": 1, **order}).encode()
    response = worker.handle(HttpRequest("POST", "", path, {}, {}, body))
    return response.status, json.loads(response.body)


def start(worker, number=1, seconds=0.0, **order):
    """Start a run under a short lease."""
    _, report = call(worker, "/hold")
    fields = {"Task": TASK, "RunId": number, "Spec": f"work {seconds} 500"}
    deadline_ms = report["ClockMs"] + LEASE_MS
    return call(
        worker, "/run-start", **{**fields, "DeadlineMs": deadline_ms, **order}
    )


@pytest.mark.parametrize(
    ("pause_s", "acknowledged"),
    [(0.0, True), (2 * LEASE_MS / 1_000, False)],
    ids=["within the lease", "after the lease"],
)
def test_end_is_acknowledged_only_under_a_valid_lease(pause_s, acknowledged):
    worker = JobWorker("w1")
    start(worker)
    worker.end_due_runs()
    time.sleep(pause_s)
    call(worker, "/hold", AckCursor=1)
    (record,) = worker.records
    assert (record.outcome, record.acknowledged) == ("done", acknowledged)


@pytest.mark.parametrize(
    ("orders", "status", "reason"),
    [
        ([{}], 200, None),
        ([{}, {}], 200, None),
        ([{"number": 2}, {"number": 1}], 409, "old"),
        ([{"FencingToken": 2}, {"number": 2}], 409, "fence"),
        ([{"DeadlineMs": 0}], 409, "late"),
    ],
    ids=["first", "repeat", "old run", "deposed leader", "deadline passed"],
)
def test_start_is_accepted_or_rejected(orders, status, reason):
    worker = JobWorker("w1")
    for order in orders[:-1]:
        start(worker, seconds=5.0, **order)
    fields = {"Task": TASK, "RunId": 1, "Spec": "work 5.0 500"}
    last = dict(orders[-1])
    fields["RunId"] = last.pop("number", 1)
    fields["DeadlineMs"] = LEASE_MS * 100
    received_status, content = call(worker, "/run-start", **{**fields, **last})
    assert (received_status, content.get("Reason")) == (status, reason)


@pytest.mark.parametrize(
    ("seconds", "outcome", "length_s"),
    [(5.0, "lapsed", 0.15), (0.2, "lapsed", 0.15), (0.1, "done", 0.1)],
    ids=["never done", "done after the lease", "done within the lease"],
)
def test_run_ends_in_time_though_seen_later(seconds, outcome, length_s):
    worker = JobWorker("w1")
    start(worker, seconds=seconds)
    time.sleep(2 * LEASE_MS / 1_000)
    _, report = call(worker, "/hold")
    (record,) = worker.records
    assert not report["Active"]
    assert [row[3] for row in report["Finished"]] == [outcome]
    assert record.ended_s - record.started_s == pytest.approx(
        length_s, abs=0.05
    )
