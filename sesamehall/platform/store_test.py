"""Tests of encoding and decoding of records, and of the store's timeouts."""

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
from sesamehall.core.fleet import QueuePools
from sesamehall.core.fleet import RunTimesRecord
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.fleet import WaveRecord
from sesamehall.core.jobtiming import LEADER_CLAIM_RECOVERY_DELAY_MS
from sesamehall.core.work import CompactProgress
from sesamehall.core.work import JobPlan
from sesamehall.core.work import Progress
from sesamehall.core.work import Size
from sesamehall.core.work import StepPlan
from sesamehall.core.work import StepProgress
from sesamehall.platform import store as store_module
from sesamehall.platform.httpconnection import CONNECT_TIMEOUT_S
from sesamehall.platform.httpconnection import HttpResponse
from sesamehall.platform.records import encode_record
from sesamehall.platform.records import RecordDecoder
from sesamehall.platform.store import PROBE_TIMEOUT_S
from sesamehall.platform.store import READ_HEADER
from sesamehall.platform.store import RESPONSE_TIMEOUT_S
from sesamehall.platform.store import StoreClient
from sesamehall.platform.store import TOPIC_BY_STREAM
from sesamehall.platform.store import UNREACHABLE_AFTER_MS
from sesamehall.platform.storehandler import RETRY_DELAY_S

decode_record = RecordDecoder().decode
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

COMPACT = CompactProgress(
    "ab" * 8,
    JobPhase.RUNNING,
    "",
    b"\x03",
    ((2, b"\x0f"),),
    ((2, 5, 1),),
    ((2, 5, "c0"),),
)


@pytest.mark.parametrize(
    ("stream", "value"),
    [
        (Stream.JOBS, JobPlan("ab" * 8, "q", "t", "spec", (STEP, STEP))),
        (Stream.JOBS, CancelAsked("ab" * 8)),
        (Stream.PROGRESS, PROGRESS),
        (Stream.PROGRESS, COMPACT),
        (Stream.PROGRESS, Progress("ab" * 8)),
        (Stream.JOBS, Candidate("edge-2", 3, 2.15)),
        (Stream.PROGRESS, Leader("edge-1", 3, True, 9, 0.516, True, 3_800)),
        (Stream.PROGRESS, LeasedWorker("i-1", "10.0.0.1:1", "p", 5, 7)),
        (Stream.PROGRESS, QueuePools("quotes", ("a", "b"))),
        (Stream.PROGRESS, WaveRecord(1, ("m-1", "m-2"))),
        (
            Stream.PROGRESS,
            RunTimesRecord("q", 9, 6.5, 7.0, 0.2, 0.25, 0.1, 0.04, 63),
        ),
    ],
    ids=lambda value: type(value).__name__,
)
def test_encoded_value_decodes_to_itself(stream, value):
    assert decode_record(stream, "k", pack(value)) == StoredRecord("k", value)


@pytest.mark.parametrize(
    ("stream", "key", "value", "expected_key"),
    [
        (Stream.PROGRESS, "k", b"\x00nonsense", ""),
        (Stream.OPERATOR, "config", b"{", ""),
        (Stream.OPERATOR, "other", b"{}", ""),
        (Stream.WORKERS, "i-1", b'{"Address": 5}', "i-1"),
        (Stream.WORKERS, "i-1", b"", "i-1"),
        (Stream.JOBS, "k", b"", "k"),
    ],
)
def test_undecodable_value_is_none(stream, key, value, expected_key):
    record = decode_record(stream, key, value)
    assert record == StoredRecord(expected_key, None)


@pytest.mark.parametrize(
    ("record", "data"),
    [
        (StoredRecord("ab", None), b"\x00\x00\x00\x03\x02ab"),
        (StoredRecord("", None), b"\x00\x00\x00\x01\x00"),
    ],
)
def test_encoded_record_bytes(record, data):
    assert encode_record(record) == data


# Guards against a single record that disables a node: an address without a
# host crashed the leader, one with an invalid port was called forever, and a
# number that is not finite kept the whole stream from being read.
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
def test_invalid_value_is_none(stream, key, field):
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


class FlakyClient:
    """A client of a store that may be unreachable; it records timeouts."""

    def __init__(self):
        self.unreachable = False
        self.timeouts_s = []

    def call(self, method, path, body=None, headers=None, timeout_s=1.0):
        self.timeouts_s.append(timeout_s)
        if self.unreachable:
            raise PlatformError("no answer")
        if path.startswith("/log-read"):
            return HttpResponse(200, READ_HEADER.pack(7, 0))
        return HttpResponse(200, b"{}")


def read_log(store):
    with suppress(PlatformError):
        store.read(Stream.PROGRESS, 7, 0)


def append_record(store):
    record = encode_record(StoredRecord("k", CancelAsked("ab" * 8)))
    store.append(TOPIC_BY_STREAM[Stream.JOBS], record)


# Guards against a leader that loses the role at the end of an outage, because
# its write still waits for a long timeout when the store is back.
@pytest.mark.parametrize("call", [read_log, append_record])
@pytest.mark.parametrize(
    ("outage_ms", "recovered", "expected_s"),
    [
        (0, False, RESPONSE_TIMEOUT_S),
        (UNREACHABLE_AFTER_MS - 1, False, RESPONSE_TIMEOUT_S),
        (UNREACHABLE_AFTER_MS, False, PROBE_TIMEOUT_S),
        (60_000, False, PROBE_TIMEOUT_S),
        (60_000, True, RESPONSE_TIMEOUT_S),
    ],
    ids=["start", "slow", "unreachable", "long outage", "recovered"],
)
def test_timeout_is_short_while_the_store_is_unreachable(
    monkeypatch, call, outage_ms, recovered, expected_s
):
    clock = [1_000]
    monkeypatch.setattr(store_module, "now_ms", lambda: clock[0])
    store = StoreClient("10.0.0.1:1")
    client = store._client = FlakyClient()
    call(store)
    client.unreachable = True
    clock[0] += outage_ms
    if recovered:
        client.unreachable = False
        call(store)
    call(store)
    assert client.timeouts_s[-1] == expected_s


def test_live_leader_retries_before_others_claim():
    """A write is retried sooner than other nodes claim the role."""
    max_retry_s = max(PROBE_TIMEOUT_S, CONNECT_TIMEOUT_S) + RETRY_DELAY_S
    assert max_retry_s * 1_000 < LEADER_CLAIM_RECOVERY_DELAY_MS
