"""Tests of frames and records: round trips, split and invalid input."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
from immutables import Map
import pytest

from sesamehall.codecs.packing import pack
from sesamehall.codecs.wire import decode_record
from sesamehall.codecs.wire import encode_frame
from sesamehall.codecs.wire import encode_record
from sesamehall.codecs.wire import FRAME_LIMIT_BYTES
from sesamehall.codecs.wire import FrameReader
from sesamehall.core.agreement import Agreed
from sesamehall.core.agreement import Role
from sesamehall.core.codes import DecodeError
from sesamehall.core.data import Instance
from sesamehall.core.data import Key
from sesamehall.core.data import NodeKind
from sesamehall.core.data import TargetKind
from sesamehall.core.messages import AgreedForwarded
from sesamehall.core.messages import Heartbeat
from sesamehall.core.messages import Hello
from sesamehall.core.messages import InstancesForwarded
from sesamehall.core.messages import UnitsSent
from sesamehall.core.records import KeyGiven
from sesamehall.core.records import KeyWithdrawn
from sesamehall.core.records import Record

KEY = Key("k", "team", bytes(32))
INSTANCE = Instance("i", TargetKind.WORKER, "dc", "r", "h:1", "p")
MESSAGES = [
    Heartbeat(7),
    Hello("a", NodeKind.ENTRY, "a:1", 1, 1),
    UnitsSent("a", "b", Map({"t": 5})),
    InstancesForwarded((INSTANCE, INSTANCE)),
    AgreedForwarded(Agreed(keys_by_id=Map(k=KEY), role=Role("s", 3, 4))),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
@pytest.mark.parametrize("chunk_size", [1, 3, 1000])
def test_frames_split_at_any_byte_are_decoded(message, chunk_size):
    data = encode_frame(message) + encode_frame(Heartbeat(1))
    reader = FrameReader()
    messages = []
    for start in range(0, len(data), chunk_size):
        messages += reader.feed(data[start : start + chunk_size])
    assert messages == [message, Heartbeat(1)]


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xc1",
        pack(KEY),
        pack(Record("r", KeyGiven(KEY)))[:-1],
        pack(Record("r", KeyGiven(KEY))) + b"\0",
        pack(Record("r", Heartbeat(1))),
        pack(Record(5, KeyWithdrawn("k"))),
        pack(Record("r", KeyWithdrawn(None))),
        pack(["Record", "r"]),
    ],
)
def test_invalid_record_decodes_to_none(body):
    assert decode_record(body) is None


def test_record_round_trip():
    record = Record("r", KeyGiven(KEY))
    assert decode_record(encode_record(record)) == record


@pytest.mark.parametrize(
    "data",
    [
        (FRAME_LIMIT_BYTES + 1).to_bytes(4, "big"),
        b"\0\0\0\1\xc1",
        b"\0\0\0\1\x05",
        (len(pack(KEY))).to_bytes(4, "big") + pack(KEY),
    ],
)
def test_invalid_frame_is_rejected(data):
    with pytest.raises(DecodeError):
        list(FrameReader().feed(data))


@settings(max_examples=300, derandomize=True, deadline=None)
@given(strategies.binary(max_size=200))
def test_random_bytes_decode_or_raise_decode_error(data):
    decode_record(data)
    frame = len(data).to_bytes(4, "big") + data
    try:
        list(FrameReader().feed(frame))
    except DecodeError:
        pass


@settings(max_examples=200, derandomize=True, deadline=None)
@given(strategies.integers(0, 500), strategies.integers(0, 255))
def test_corrupted_record_never_raises(position, value):
    body = bytearray(encode_record(Record("r", KeyGiven(KEY))))
    body[position % len(body)] = value
    decode_record(bytes(body))


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
@given(
    position=strategies.integers(0, 500),
    inserted=strategies.binary(max_size=12),
    removed=strategies.integers(0, 12),
)
def test_changed_frame_is_a_storable_message_or_rejected(
    message, position, inserted, removed
):
    body = encode_frame(message)[4:]
    position %= len(body)
    body = body[:position] + inserted + body[position + removed :]
    try:
        messages = list(FrameReader().feed(len(body).to_bytes(4) + body))
    except DecodeError:
        return
    for decoded in messages:
        assert encode_frame(decoded)
