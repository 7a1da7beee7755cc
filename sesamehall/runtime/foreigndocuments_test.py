"""Tests of what callers and the platform send to entries and stewards."""

import json

from hypothesis import given
from hypothesis import strategies
import pytest

from sesamehall.codecs.packing import pack
from sesamehall.core.codes import DecodeError
from sesamehall.core.codes import PlatformError
from sesamehall.core.data import Instance
from sesamehall.core.effects import Append
from sesamehall.core.effects import ListInstances
from sesamehall.core.effects import ReadLog
from sesamehall.core.effects import RebootInstance
from sesamehall.core.effects import RunTask
from sesamehall.core.effects import StopTask
from sesamehall.core.events import AppendEnded
from sesamehall.core.events import InstanceRebooted
from sesamehall.core.events import InstancesNotListed
from sesamehall.core.events import LogReadFailed
from sesamehall.core.events import TaskEnded
from sesamehall.core.events import TaskRunning
from sesamehall.core.events import WorkerAnswered
from sesamehall.core.records import Record
from sesamehall.runtime import platformclient
from sesamehall.runtime.effectfailures import failure_event
from sesamehall.runtime.platformclient import InstanceClient
from sesamehall.runtime.requestparsing import BadRequest
from sesamehall.runtime.requestparsing import parse_job
from sesamehall.runtime.workerclient import decode_outcome

INSTANCE = {
    "name": "w1",
    "kind": "worker",
    "data_centre": "north",
    "rack": "r1",
    "address": "10.0.0.1:80",
    "pool": "p",
    "leaving": False,
    "slots": 8,
    "processors": 16,
    "memory_mb": 32_768,
    "accelerators": 0,
    "boot": "b1",
}
JOB = {"pool": "p", "command": "c", "processors": 1, "urgent": True}
ANY_VALUE = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.sampled_from([2**70, -1, 1e308, [[]], {}, "h:0", "a..b:1"])
    | strategies.text(strategies.characters(), max_size=20)
)


class FixedResponse:
    """A response of the platform."""

    def __init__(self, data):
        self.data = data


def list_instances(monkeypatch, data):
    """List the instances of a platform that answers with these bytes."""
    monkeypatch.setattr(
        platformclient, "_call", lambda *_, **__: FixedResponse(data)
    )
    return InstanceClient("10.0.0.1:80").list()


# Guards against a fleet whose list stands still: one odd instance made the
# whole list unreadable.
@pytest.mark.parametrize(
    "odd",
    [
        {**INSTANCE, "address": "10.0.0.1:0"},
        {**INSTANCE, "address": "a\n:80"},
        {**INSTANCE, "slots": 2**70},
        {**INSTANCE, "memory_mb": -1},
        {**INSTANCE, "name": "\ud800"},
        {**INSTANCE, "kind": "other"},
        {**INSTANCE, "kind": []},
        {**INSTANCE, "leaving": None},
        {"name": "w2"},
        [],
        None,
        5,
    ],
    ids=range(12),
)
def test_odd_instance_costs_itself_alone(monkeypatch, odd):
    data = json.dumps([odd, INSTANCE]).encode()
    (instance,) = list_instances(monkeypatch, data)
    assert instance.name == "w1"


@pytest.mark.parametrize(
    "data",
    [b"", b"{}", b"[" * 100_000, b"\xff", b"[" + b"9" * 5_000 + b"]"],
    ids=["empty", "object", "deep", "bytes", "large number"],
)
def test_list_that_is_none_is_reported(monkeypatch, data):
    with pytest.raises(PlatformError):
        list_instances(monkeypatch, data)


@given(field=strategies.sampled_from(sorted(INSTANCE)), value=ANY_VALUE)
def test_any_instance_can_be_sent_to_peers_or_is_skipped(field, value):
    with pytest.MonkeyPatch.context() as monkeypatch:
        data = json.dumps([{**INSTANCE, field: value}]).encode()
        instances = list_instances(monkeypatch, data)
    assert all(isinstance(instance, Instance) for instance in instances)
    assert pack(instances)


@given(
    field=strategies.sampled_from(
        ["pool", "command", "processors", "memory_mb", "urgent", "other"]
    ),
    value=ANY_VALUE,
)
def test_any_job_can_be_stored_or_is_rejected(field, value):
    try:
        job = parse_job(json.dumps({**JOB, field: value}).encode(), "id")
    except BadRequest:
        return
    assert pack(job)


@given(body=strategies.binary(max_size=100))
def test_any_body_is_a_job_or_is_rejected(body):
    try:
        assert pack(parse_job(body, "id"))
    except BadRequest:
        pass


@pytest.mark.parametrize(
    ("effect", "event_type"),
    [
        (ReadLog(0), LogReadFailed),
        (Append(Record("r", None)), AppendEnded),
        (ListInstances(), InstancesNotListed),
        (RebootInstance("w1", "op", "p"), InstanceRebooted),
        (RunTask("j", "h:1", 3, 5, "b", "c"), WorkerAnswered),
        (StopTask("j", "h:1", 3), WorkerAnswered),
    ],
    ids=lambda value: getattr(value, "__name__", type(value).__name__),
)
def test_failure_event_has_the_type_of_the_answer(effect, event_type):
    assert type(failure_event(effect, "test", 5)) is event_type


# Guards against a job that is never looked at again: an odd answer of its
# worker raised in the thread that called it.
@pytest.mark.parametrize(
    ("document", "outcome"),
    [
        ({"phase": "running"}, TaskRunning()),
        (
            {"phase": "ended", "succeeded": True, "detail": "ok"},
            TaskEnded(True, "ok"),
        ),
        ({"phase": "ended", "succeeded": "yes", "detail": "ok"}, None),
        ({"phase": "ended", "succeeded": True, "detail": "\ud800"}, None),
        ({"phase": ["running"]}, None),
        ({}, None),
    ],
    ids=["running", "ended", "type", "lone surrogate", "list", "empty"],
)
def test_outcome_of_a_task_is_decoded_or_rejected(document, outcome):
    if outcome is None:
        with pytest.raises(DecodeError):
            decode_outcome(document)
    else:
        assert decode_outcome(document) == outcome
