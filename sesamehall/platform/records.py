"""Encoding of the records of the store's keyed topics.

A record is prefixed with its length.  Its content is the length of the key in
one byte, the key, and the value.
"""

from collections.abc import Iterator
import logging
import struct

from sesamehall.codecs.jsonfields import decode_object
from sesamehall.codecs.packing import classes_of
from sesamehall.codecs.packing import pack
from sesamehall.codecs.packing import unpack
from sesamehall.core import data
from sesamehall.core import fleet
from sesamehall.core import work
from sesamehall.core.codes import DecodeError
from sesamehall.core.codes import SesamehallError
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import StoredValue
from sesamehall.core.fleet import Stream
from sesamehall.core.logevents import RECORD_UNREADABLE
from sesamehall.platform.operatordecoding import decode_drain_request
from sesamehall.platform.operatordecoding import decode_manifest
from sesamehall.platform.operatordecoding import decode_wave
from sesamehall.platform.operatordecoding import EVACUATION_KEY_PREFIX
from sesamehall.platform.operatordecoding import internal_key
from sesamehall.platform.operatordecoding import MANIFEST_KEY
from sesamehall.platform.operatordecoding import WAVE_KEY_PREFIX
from sesamehall.platform.workerdecoding import decode_worker
from sesamehall.runtime.effectfailures import describe_error

LOGGER = logging.getLogger("sesamehall")
RECORD_LENGTH = struct.Struct(">I")
MAX_KEY_BYTES = 255  # the length of a key is stored in one byte
MAX_RECORD_BYTES = 262_144  # the store refuses larger records
MAX_LOGGED_CHARS = 200  # of a key or a reason
MAX_UNREADABLE_KEYS = 1_000  # that are remembered
STORED_CLASSES = classes_of(data, work, fleet)


class RecordUnstorableError(SesamehallError):
    """A record cannot be encoded, or the store would refuse it every time."""


def encode_record(record: StoredRecord) -> bytes:
    """Encode a record of a keyed topic.

    Args:
      record: The record; one without a value deletes the key.
    Returns:
      The bytes, including their length prefix.
    Raises:
      RecordUnstorableError: The record cannot be encoded or is too large.
    """
    try:
        key = record.key.encode()
        value = b"" if record.value is None else pack(record.value)
    except (TypeError, ValueError, OverflowError) as error:
        raise RecordUnstorableError(describe_error(error)) from error
    if len(key) > MAX_KEY_BYTES:
        raise RecordUnstorableError(f"the key has {len(key)} bytes")
    framed = frame_record(key, value)
    if len(framed) > MAX_RECORD_BYTES:
        raise RecordUnstorableError(f"the record has {len(framed)} bytes")
    return framed


def frame_record(key: bytes, value: bytes) -> bytes:
    """Build the length-prefixed bytes of a record of a keyed topic.

    Args:
      key: The key, of at most MAX_KEY_BYTES.
      value: The value; empty to delete the key.
    Returns:
      The bytes, including their length prefix.
    """
    content = bytes((len(key),)) + key + value
    return RECORD_LENGTH.pack(len(content)) + content


class RecordDecoder:
    """Decodes records; an invalid one costs itself and a log line."""

    def __init__(self):
        """Create a decoder that has seen no record."""
        self._digests_of_unreadable: dict[tuple[Stream, str], int] = {}

    def decode(self, stream: Stream, key: str, value: bytes) -> StoredRecord:
        """Decode a record of a keyed topic.

        Args:
          stream: The stream.
          key: The key.
          value: Any bytes; empty if the key was deleted.
        Returns:
          The record, without a value if the key was deleted or the bytes are
          not valid.  An unreadable registration deregisters its worker.
        """
        stream_key = (stream, key)
        own_key = internal_key(key) if stream is Stream.OPERATOR else key
        record = StoredRecord(own_key, None)
        if value:
            try:
                decoded = _decode_value(stream, key, value)
                record = StoredRecord(own_key, decoded)
            except DecodeError as error:
                self._log_once(stream_key, value, str(error))
                return StoredRecord(
                    key if stream is Stream.WORKERS else "", None
                )
        self._digests_of_unreadable.pop(stream_key, None)
        return record

    def _log_once(self, stream_key, value, reason):
        """Log an unreadable record, once until its value changes."""
        digests = self._digests_of_unreadable
        digest = hash(value)
        if digests.get(stream_key) == digest:
            return
        if len(digests) >= MAX_UNREADABLE_KEYS:
            digests.clear()
        digests[stream_key] = digest
        stream, key = stream_key
        LOGGER.warning(
            "%d %s stream=%s key=%a reason=%a",
            RECORD_UNREADABLE.number,
            RECORD_UNREADABLE.name,
            stream.value,
            key[:MAX_LOGGED_CHARS],
            reason[:MAX_LOGGED_CHARS],
        )


def _decode_value(stream: Stream, key: str, value: bytes) -> StoredValue:
    match stream:
        case Stream.OPERATOR if key == MANIFEST_KEY:
            return decode_manifest(decode_object(value))
        case Stream.OPERATOR if key.startswith(WAVE_KEY_PREFIX):
            return decode_wave(decode_object(value))
        case Stream.OPERATOR if key.startswith(EVACUATION_KEY_PREFIX):
            return decode_drain_request(key, value)
        case Stream.OPERATOR:
            raise DecodeError("unknown key")
        case Stream.WORKERS:
            return decode_worker(key, decode_object(value))
    return unpack(value, STORED_CLASSES, StoredValue)


def split_records(body: bytes) -> Iterator[bytes]:
    """Split the body of a response into the contents of its records.

    Args:
      body: Records with their length prefixes.
    Returns:
      The contents, without the prefixes.
    """
    position = 0
    while position + RECORD_LENGTH.size <= len(body):
        (length,) = RECORD_LENGTH.unpack_from(body, position)
        position += RECORD_LENGTH.size
        yield body[position : position + length]
        position += length


def split_key(content: bytes) -> tuple[str, bytes]:
    """Split a record's content into key and value.

    Args:
      content: The content, without its length prefix.
    Returns:
      Key and value; invalid bytes in the key are replaced.
    """
    if not content:
        return "", b""
    end = 1 + content[0]
    return content[1:end].decode(errors="replace"), content[end:]
