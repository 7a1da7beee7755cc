"""Tests of the worker's stand-in against the published protocol."""

import json
import time

import pytest

from standins.jobworker import JobWorker
from standins.serving import HttpRequest

LEASE_MS = 150
TASK = "00000000000000aa.0.0.0"


def call(worker, path, **wish):
    """Make a call; give status and answer."""
    body = json.dumps({"FencingToken": 1, **wish}).encode()
    answer = worker.handle(HttpRequest("POST", "", path, {}, {}, body))
    return answer.status, json.loads(answer.body)


def start(worker, number=1, seconds=0.0, **wish):
    """Start a run under a short lease."""
    _, hold = call(worker, "/hold")
    fields = {"Task": TASK, "RunId": number, "Spec": f"work {seconds} 500"}
    deadline_ms = hold["ClockMs"] + LEASE_MS
    return call(
        worker, "/run-start", **{**fields, "DeadlineMs": deadline_ms, **wish}
    )


@pytest.mark.parametrize(
    ("pause_s", "acknowledged"),
    [(0.0, True), (2 * LEASE_MS / 1_000, False)],
    ids=["in time", "after the lease"],
)
def test_end_counts_as_noted_while_the_lease_lasts(pause_s, acknowledged):
    worker = JobWorker("w1")
    start(worker)
    worker.advance()
    time.sleep(pause_s)
    call(worker, "/hold", AckCursor=1)
    (record,) = worker.records
    assert (record.end, record.acknowledged) == ("done", acknowledged)


@pytest.mark.parametrize(
    ("orders", "status", "reason"),
    [
        ([{}], 200, None),
        ([{}, {}], 200, None),
        ([{"number": 2}, {"number": 1}], 409, "old"),
        ([{"FencingToken": 2}, {"number": 2}], 409, "fence"),
        ([{"DeadlineMs": 0}], 409, "late"),
    ],
    ids=["first", "repeat", "old run", "older leader", "too late"],
)
def test_starts(orders, status, reason):
    worker = JobWorker("w1")
    for order in orders[:-1]:
        start(worker, seconds=5.0, **order)
    fields = {"Task": TASK, "RunId": 1, "Spec": "work 5.0 500"}
    last = dict(orders[-1])
    fields["RunId"] = last.pop("number", 1)
    fields["DeadlineMs"] = LEASE_MS * 100
    answered, content = call(worker, "/run-start", **{**fields, **last})
    assert (answered, content.get("Reason")) == (status, reason)


def test_work_ends_with_its_lease():
    worker = JobWorker("w1")
    start(worker, seconds=5.0)
    time.sleep(2 * LEASE_MS / 1_000)
    _, lists = call(worker, "/hold")
    assert not lists["Active"]
    assert [row[3] for row in lists["Finished"]] == ["lapsed"]
