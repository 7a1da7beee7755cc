"""Tests of the frames between managers: round trips, and what is rejected."""

import pytest

from sesamehall.codecs.peerframes import decode_call
from sesamehall.codecs.peerframes import decode_length
from sesamehall.codecs.peerframes import decode_reply
from sesamehall.codecs.peerframes import encode_call
from sesamehall.codecs.peerframes import encode_reply
from sesamehall.codecs.peerframes import FRAME_LENGTH
from sesamehall.codecs.peerframes import MAX_FRAME_BYTES
from sesamehall.core.calls import Accepted
from sesamehall.core.calls import CancelJob
from sesamehall.core.calls import Counted
from sesamehall.core.calls import CountPending
from sesamehall.core.calls import JobDraft
from sesamehall.core.calls import Rejected
from sesamehall.core.calls import ShowJob
from sesamehall.core.calls import Shown
from sesamehall.core.calls import SubmitJob
from sesamehall.core.codes import DecodeError
from sesamehall.core.codes import KEY_REFUSED
from sesamehall.core.codes import NOT_READY
from sesamehall.core.data import JobPhase
from sesamehall.core.peercalls import PeerCall
from sesamehall.core.replacing import replace
from sesamehall.core.work import Size
from sesamehall.core.work import StepPlan

TOKEN = "0f" * 16
DRAFT = JobDraft("spec", (StepPlan(2, Size(1, 2), depends_on=(0,)),), 3)
CALL = PeerCall(
    "edge-1:7", 4, "edge-1", "q.example", "/q/1", "k", ShowJob(), 5, 800
)


def content_of(frame):
    return frame[FRAME_LENGTH.size :]


@pytest.mark.parametrize(
    "kind", [SubmitJob(DRAFT), CancelJob(), ShowJob(), CountPending()]
)
def test_call_is_decoded(kind):
    call = replace(CALL, kind=kind)
    frame = encode_call(call, TOKEN)
    assert decode_length(frame[: FRAME_LENGTH.size]) == len(content_of(frame))
    assert decode_call(content_of(frame), TOKEN) == call


@pytest.mark.parametrize(
    "answer",
    [
        Accepted(),
        Shown(JobPhase.RUNNING),
        Counted(7),
        Rejected(NOT_READY, 1),
        Rejected(KEY_REFUSED),
    ],
)
def test_reply_is_decoded(answer):
    frame = encode_reply(CALL, answer, 9, TOKEN)
    assert decode_reply(content_of(frame), CALL, TOKEN) == (answer, 9)


@pytest.mark.parametrize("length", [0, 16, MAX_FRAME_BYTES + 1, 2**32 - 1])
def test_length_out_of_range_is_rejected(length):
    with pytest.raises(DecodeError):
        decode_length(FRAME_LENGTH.pack(length))


@pytest.mark.parametrize(
    "content",
    [
        b"",
        b"rubbish that is longer than a code",
        content_of(encode_call(CALL, "another token")),
        content_of(encode_call(CALL, TOKEN))[:-1],
        content_of(encode_call(replace(CALL, path=5), TOKEN)),
        content_of(encode_call(replace(CALL, remaining_ms=-1), TOKEN)),
        content_of(encode_call(replace(CALL, remaining_ms=1 << 40), TOKEN)),
        content_of(encode_reply(CALL, Accepted(), 1, TOKEN)),
    ],
    ids=[
        "empty",
        "rubbish",
        "other token",
        "truncated",
        "path of another type",
        "negative time",
        "endless time",
        "reply instead of a call",
    ],
)
def test_invalid_call_is_rejected(content):
    with pytest.raises(DecodeError):
        decode_call(content, TOKEN)


@pytest.mark.parametrize(
    ("sent", "token"),
    [
        (encode_reply(CALL, Accepted(), 1, "another token"), TOKEN),
        (encode_reply(replace(CALL, number=3), Accepted(), 1, TOKEN), TOKEN),
        (encode_reply(replace(CALL, caller="x"), Accepted(), 1, TOKEN), TOKEN),
        (encode_call(CALL, TOKEN), TOKEN),
        (
            encode_reply(
                CALL, Rejected(replace(NOT_READY, number=9)), 1, TOKEN
            ),
            TOKEN,
        ),
    ],
    ids=[
        "other token",
        "reply to an earlier call",
        "reply to another process",
        "call instead of a reply",
        "unknown result code",
    ],
)
def test_invalid_reply_is_rejected(sent, token):
    with pytest.raises(DecodeError):
        decode_reply(content_of(sent), CALL, token)
