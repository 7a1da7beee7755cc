"""Frames of the streams on which managers forward calls to each other.

A frame is a four-byte big-endian length, a message authentication code (MAC)
and a msgpack message.  The key of the MAC is the token of the node that is
called, which its registration in the store contains: only nodes read it.
"""

from hashlib import sha256
import hmac
import struct

from sesamehall.codecs.packing import classes_of
from sesamehall.codecs.packing import pack
from sesamehall.codecs.packing import unpack
from sesamehall.core import calls
from sesamehall.core import data
from sesamehall.core import peercalls
from sesamehall.core import work
from sesamehall.core.calls import CallAnswer
from sesamehall.core.calls import Rejected
from sesamehall.core.codes import DecodeError
from sesamehall.core.codes import RESULT_CODES
from sesamehall.core.peercalls import PeerCall
from sesamehall.core.peercalls import PeerRejection
from sesamehall.core.peercalls import PeerReply

FRAME_LENGTH = struct.Struct(">I")
MAX_FRAME_BYTES = 524_288  # twice the largest body of a caller's request
MAC_BYTES = 16
MAX_REMAINING_MS = 60_000  # a call that claims to wait longer is malformed
MESSAGE_CLASSES = classes_of(data, work, calls, peercalls)
CODES_BY_NUMBER = {code.number: code for code in RESULT_CODES}


def encode_call(call: PeerCall, token: str) -> bytes:
    """Encode a forwarded call as a frame.

    Args:
      call: The call.
      token: Token of the node that is called.
    Returns:
      The frame, with its length.
    """
    return _encode_frame(call, token)


def encode_reply(
    call: PeerCall, answer: CallAnswer, manifest_version: int, token: str
) -> bytes:
    """Encode the answer to a forwarded call as a frame.

    Args:
      call: The call.
      answer: The answer.
      manifest_version: Version of the manifest that it was judged by.
      token: Token of the node that was called.
    Returns:
      The frame, with its length.
    """
    match answer:
        case Rejected(code, retry_after_s):
            content = PeerRejection(code.number, retry_after_s)
        case _:
            content = answer
    reply = PeerReply(call.caller, call.number, content, manifest_version)
    return _encode_frame(reply, token)


def _encode_frame(message: PeerCall | PeerReply, token: str) -> bytes:
    body = pack(message)
    content = _mac(body, token) + body
    return FRAME_LENGTH.pack(len(content)) + content


def _mac(body: bytes, token: str) -> bytes:
    return hmac.digest(token.encode(), body, sha256)[:MAC_BYTES]


def decode_length(header: bytes) -> int:
    """Decode the length of the frame that follows.

    Args:
      header: The first bytes of a frame.
    Returns:
      Number of bytes that follow.
    Raises:
      DecodeError: No frame has this length.
    """
    (length,) = FRAME_LENGTH.unpack(header)
    if not MAC_BYTES < length <= MAX_FRAME_BYTES:
        raise DecodeError(f"frame of {length} bytes")
    return length


def decode_call(content: bytes, token: str) -> PeerCall:
    """Decode a forwarded call.

    Args:
      content: The frame without its length.
      token: Token of this node.
    Returns:
      The call.
    Raises:
      DecodeError: The sender does not know the token, or the message is not
        a valid call.
    """
    call = unpack(_authenticate(content, token), MESSAGE_CLASSES, PeerCall)
    if not 0 <= call.remaining_ms <= MAX_REMAINING_MS:
        raise DecodeError("remaining time out of range")
    return call


def decode_reply(
    content: bytes, call: PeerCall, token: str
) -> tuple[CallAnswer, int]:
    """Decode the answer to a forwarded call.

    Args:
      content: The frame without its length.
      call: The call.
      token: Token of the node that was called.
    Returns:
      The answer, and the version of the manifest that it was judged by.
    Raises:
      DecodeError: The sender does not know the token, or the message is not
        a valid answer to this call.
    """
    reply = unpack(_authenticate(content, token), MESSAGE_CLASSES, PeerReply)
    if (reply.caller, reply.number) != (call.caller, call.number):
        raise DecodeError("reply to another call")
    match reply.answer:
        case PeerRejection(number, retry_after_s):
            code = CODES_BY_NUMBER.get(number)
            if code is None:
                raise DecodeError(f"unknown result code {number}")
            return Rejected(code, retry_after_s), reply.manifest_version
        case answer:
            return answer, reply.manifest_version


def _authenticate(content: bytes, token: str) -> bytes:
    """Return the message of a frame whose sender knows the token."""
    mac, body = content[:MAC_BYTES], content[MAC_BYTES:]
    if not hmac.compare_digest(mac, _mac(body, token)):
        raise DecodeError("wrong authentication code")
    return body
