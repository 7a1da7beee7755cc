"""Tests of the records that managers store and read back."""

from contextlib import suppress
import json
from math import inf
from math import nan

import pytest

from sesamehall.codecs.packing import pack
from sesamehall.core.codes import PlatformError
from sesamehall.core.data import JobPhase
from sesamehall.core.fleet import CancelAsked
from sesamehall.core.fleet import Candidate
from sesamehall.core.fleet import Leader
from sesamehall.core.fleet import LeasedWorker
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.fleet import WaveRecord
from sesamehall.core.jobtiming import CLAIM_RECOVERY_DELAY_MS
from sesamehall.core.work import JobPlan
from sesamehall.core.work import Progress
from sesamehall.core.work import Size
from sesamehall.core.work import StepPlan
from sesamehall.core.work import StepProgress
from sesamehall.platform import store as store_module
from sesamehall.platform.httpconnection import CONNECT_TIMEOUT_S
from sesamehall.platform.httpconnection import HttpResponse
from sesamehall.platform.store import ANSWER_TIMEOUT_S
from sesamehall.platform.store import AWAY_AFTER_MS
from sesamehall.platform.store import decode_record
from sesamehall.platform.store import encode_record
from sesamehall.platform.store import HEAD
from sesamehall.platform.store import PROBE_TIMEOUT_S
from sesamehall.platform.store import StoreClient
from sesamehall.platform.streams import RETRY_PAUSE_S

STEP = StepPlan(
    3, Size(500, 256), 900, (0,), data_rack="r1-3", writes_checkpoints=True
)
PROGRESS = Progress(
    "ab" * 8,
    JobPhase.RUNNING,
    "",
    (
        (
            0,
            (
                StepProgress(b"\x0f", ((1, 2),), ((0, "c0"),)),
                StepProgress(),
            ),
        ),
    ),
)


@pytest.mark.parametrize(
    ("stream", "value"),
    [
        (Stream.JOBS, JobPlan("ab" * 8, "q", "t", "spec", (STEP, STEP))),
        (Stream.JOBS, CancelAsked("ab" * 8)),
        (Stream.PROGRESS, PROGRESS),
        (Stream.PROGRESS, Progress("ab" * 8)),
        (Stream.JOBS, Candidate("edge-2", 3, 2.15)),
        (Stream.PROGRESS, Leader("edge-1", 3, True, 9, 0.516)),
        (Stream.PROGRESS, LeasedWorker("i-1", "10.0.0.1:1", "p", 5, 7)),
        (Stream.PROGRESS, WaveRecord(1, ("m-1", "m-2"))),
    ],
    ids=lambda value: type(value).__name__,
)
def test_stored_value_is_read_back(stream, value):
    assert decode_record(stream, "k", pack(value)) == StoredRecord("k", value)


@pytest.mark.parametrize(
    ("stream", "key", "value", "kept_key"),
    [
        (Stream.PROGRESS, "k", b"\x00nonsense", ""),
        (Stream.OPERATOR, "config", b"{", ""),
        (Stream.OPERATOR, "other", b"{}", ""),
        (Stream.WORKERS, "i-1", b'{"Address": 5}', "i-1"),
        (Stream.WORKERS, "i-1", b"", "i-1"),
        (Stream.JOBS, "k", b"", "k"),
    ],
)
def test_unreadable_value_is_none(stream, key, value, kept_key):
    record = decode_record(stream, key, value)
    assert record == StoredRecord(kept_key, None)


@pytest.mark.parametrize(
    ("record", "data"),
    [
        (StoredRecord("ab", None), b"\x00\x00\x00\x03\x02ab"),
        (StoredRecord("", None), b"\x00\x00\x00\x01\x00"),
    ],
)
def test_record_is_framed(record, data):
    assert encode_record(record) == data


# Guards against a record that stops a node: an address without a host ends
# the leader's process, one whose port is no port is called without an end, and
# a number that is none keeps the whole log from being read.
@pytest.mark.parametrize(
    ("stream", "key", "field"),
    [
        (Stream.WORKERS, "i-1", {"Address": "80"}),
        (Stream.WORKERS, "i-1", {"Address": ":80"}),
        (Stream.WORKERS, "i-1", {"Address": "a:" + "9" * 30}),
        (Stream.WORKERS, "i-1", {"Address": "a:x"}),
        (Stream.OPERATOR, "wave/1", {"CompleteByS": inf}),
        (Stream.OPERATOR, "wave/1", {"CompleteByS": nan}),
        (Stream.OPERATOR, "wave/1", {"CompleteByS": "9"}),
    ],
)
def test_value_of_no_use_is_none(stream, key, field):
    valid = {
        Stream.WORKERS: {
            "State": "ready",
            "Address": "a:80",
            "Service": "s",
            "Capacity": {"Cpu": 1_000},
        },
        Stream.OPERATOR: {"Wave": 1, "Machines": [], "CompleteByS": 9},
    }
    value = json.dumps(valid[stream] | field).encode()
    assert decode_record(stream, key, value).value is None


class SilentClient:
    """A client of a store that may be away; it notes how long it waits."""

    def __init__(self):
        self.away = False
        self.timeouts_s = []

    def call(self, method, path, body=None, headers=None, timeout_s=1.0):
        self.timeouts_s.append(timeout_s)
        if self.away:
            raise PlatformError("no answer")
        if path.startswith("/log-read"):
            return HttpResponse(200, HEAD.pack(7, 0))
        return HttpResponse(200, b"{}")


def read_log(store):
    with suppress(PlatformError):
        store.read(Stream.PROGRESS, 7, 0)


def append_record(store):
    store.append(Stream.JOBS, (StoredRecord("k", CancelAsked("ab" * 8)),))


# Guards against a leader that loses the role at the end of an outage: its
# write waited out a long timeout while the store was back.
@pytest.mark.parametrize("call", [read_log, append_record])
@pytest.mark.parametrize(
    ("away_ms", "back", "expected_s"),
    [
        (0, False, ANSWER_TIMEOUT_S),
        (AWAY_AFTER_MS - 1, False, ANSWER_TIMEOUT_S),
        (AWAY_AFTER_MS, False, PROBE_TIMEOUT_S),
        (60_000, False, PROBE_TIMEOUT_S),
        (60_000, True, ANSWER_TIMEOUT_S),
    ],
    ids=["at once", "slow", "away", "away for long", "back"],
)
def test_calls_are_given_up_soon_while_the_store_is_away(
    monkeypatch, call, away_ms, back, expected_s
):
    clock = [1_000]
    monkeypatch.setattr(store_module, "now_ms", lambda: clock[0])
    store = StoreClient("10.0.0.1:1")
    client = store._client = SilentClient()
    call(store)
    client.away = True
    clock[0] += away_ms
    if back:
        client.away = False
        call(store)
    call(store)
    assert client.timeouts_s[-1] == expected_s


def test_a_living_leader_writes_before_others_claim():
    """The longest that a write takes to begin anew is below their wait."""
    pause_s = max(PROBE_TIMEOUT_S, CONNECT_TIMEOUT_S) + RETRY_PAUSE_S
    assert pause_s * 1_000 < CLAIM_RECOVERY_DELAY_MS
