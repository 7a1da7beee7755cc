"""Encodings between our processes and in the log.

A frame on a peer's stream is a big-endian length of four bytes and a packed
message.  A record of the log is a packed record.
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

LENGTH = struct.Struct(">I")
FRAME_LIMIT_BYTES = 16 << 20  # the whole agreed state must fit in one frame
CLASSES = classes_of(data, agreement, records, messages)


def encode_frame(message: Message) -> bytes:
    """Encode a message as a frame.

    Args:
      message: The message.
    Returns:
      Length and packed message.
    """
    body = pack(message)
    return LENGTH.pack(len(body)) + body


def encode_record(record: Record) -> bytes:
    """Encode a record of the log.

    Args:
      record: The record.
    Returns:
      The packed record.
    """
    return pack(record)


def decode_record(body: bytes) -> Record | None:
    """Decode a record of the log.

    Args:
      body: Bytes that the log holds at an offset.
    Returns:
      The record, or None for bytes that form none; the rest of the log is
      read on.
    """
    try:
        return unpack(body, CLASSES, Record)
    except DecodeError:
        return None


@dataclass(slots=True)
class FrameReader:
    """Cuts a stream of bytes into messages.

    Attributes:
      buffer: Bytes received that do not form a whole frame yet.
    """

    buffer: bytearray = field(default_factory=bytearray)

    def feed(self, received: bytes) -> Iterator[Message]:
        """Take in bytes and give the messages that they complete.

        Args:
          received: Bytes from the stream.
        Yields:
          The messages, in order.
        Raises:
          DecodeError: The bytes do not form frames of known messages.
        """
        self.buffer += received
        while len(self.buffer) >= LENGTH.size:
            (length,) = LENGTH.unpack_from(self.buffer)
            if length > FRAME_LIMIT_BYTES:
                raise DecodeError(f"frame of {length} bytes")
            end = LENGTH.size + length
            if len(self.buffer) < end:
                return
            body = bytes(self.buffer[LENGTH.size : end])
            del self.buffer[:end]
            yield unpack(body, CLASSES, Message)
