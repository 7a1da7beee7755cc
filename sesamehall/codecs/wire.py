"""Encoding of messages between nodes and of records in the log.

A frame on a peer stream is a four-byte big-endian length followed by a msgpack
message.  A log record is a msgpack value without a length prefix.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
import struct

from sesamehall.codecs.packing import classes_of
from sesamehall.codecs.packing import pack
from sesamehall.codecs.packing import unpack
from sesamehall.core import agreement
from sesamehall.core import data
from sesamehall.core import messages
from sesamehall.core import records
from sesamehall.core.codes import DecodeError
from sesamehall.core.messages import Message
from sesamehall.core.records import Record

FRAME_HEADER = struct.Struct(">I")
FRAME_LIMIT_BYTES = 16 << 20  # one frame must hold the whole replicated state
WIRE_CLASSES = classes_of(data, agreement, records, messages)


def encode_frame(message: Message) -> bytes:
    """Encode a message as a frame.

    Args:
      message: The message.
    Returns:
      The length prefix and the encoded message.
    """
    body = pack(message)
    return FRAME_HEADER.pack(len(body)) + body


def encode_record(record: Record) -> bytes:
    """Encode a log record.

    Args:
      record: The record.
    Returns:
      The encoded record.
    """
    return pack(record)


def decode_record(body: bytes) -> Record | None:
    """Decode a log record.

    An undecodable record does not raise, so that reading the log can continue
    after it.

    Args:
      body: Content of the log at an offset.
    Returns:
      The record, or None if the bytes are not a valid record.
    """
    try:
        return unpack(body, WIRE_CLASSES, Record)
    except DecodeError:
        return None


@dataclass(slots=True)
class FrameReader:
    """Splits a byte stream into messages.

    Attributes:
      buffer: Received bytes of an incomplete frame.
    """

    buffer: bytearray = field(default_factory=bytearray)

    def feed(self, received: bytes) -> Iterator[Message]:
        """Add received bytes and decode the frames they complete.

        Args:
          received: Bytes from the stream.
        Yields:
          The messages, in order.
        Raises:
          DecodeError: A frame is too long or is not a known message.
        """
        self.buffer += received
        while len(self.buffer) >= FRAME_HEADER.size:
            (length,) = FRAME_HEADER.unpack_from(self.buffer)
            if length > FRAME_LIMIT_BYTES:
                raise DecodeError(f"frame of {length} bytes exceeds the limit")
            end = FRAME_HEADER.size + length
            if len(self.buffer) < end:
                return
            body = bytes(self.buffer[FRAME_HEADER.size : end])
            del self.buffer[:end]
            yield unpack(body, WIRE_CLASSES, Message)
