"""Client for the platform's metadata store: topics of keyed records."""

import base64
from collections.abc import Iterator
from dataclasses import dataclass
import logging
import struct
from urllib.parse import urlencode

from sesamehall.codecs.packing import classes_of
from sesamehall.codecs.packing import pack
from sesamehall.codecs.packing import unpack
from sesamehall.core import data
from sesamehall.core import fleet
from sesamehall.core import work
from sesamehall.core.codes import DecodeError
from sesamehall.core.codes import PlatformError
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import StoredValue
from sesamehall.core.fleet import Stream
from sesamehall.core.logevents import RECORD_UNREADABLE
from sesamehall.core.managerevents import StoreOutcome
from sesamehall.platform.decoding import decode_manifest
from sesamehall.platform.decoding import decode_object
from sesamehall.platform.decoding import decode_wave
from sesamehall.platform.decoding import decode_worker
from sesamehall.platform.decoding import MANIFEST_KEY
from sesamehall.platform.decoding import WAVE_KEY_PREFIX
from sesamehall.platform.http import HttpClient
from sesamehall.platform.httpconnection import HttpResponse
from sesamehall.runtime.interpreter import now_ms

LOGGER = logging.getLogger("sesamehall")
RECORD_LENGTH = struct.Struct(">I")
READ_HEADER = struct.Struct(">QQ")  # end offset, first retained offset
TOPIC_BY_STREAM = {
    Stream.OPERATOR: "keyed.op",
    Stream.WORKERS: "keyed.servers",
    Stream.JOBS: "keyed.sesamehall-jobs",
    Stream.PROGRESS: "keyed.sesamehall-progress",
}
STATUS_TOPIC = "keyed.status"
RESPONSE_TIMEOUT_S = 1.2  # a slow store responds within this
PROBE_TIMEOUT_S = 0.4  # timeout of calls while the store is unreachable
UNREACHABLE_AFTER_MS = 1_500  # without any response from the store
PAGE_TIMEOUT_S = 2.0  # pages of up to 1 MB
STORED_CLASSES = classes_of(data, work, fleet)


class RecordsTruncatedError(PlatformError):
    """The stream no longer contains the requested records."""


@dataclass(frozen=True, slots=True)
class ReadResult:
    """Result of a read.

    Attributes:
      records: The records, in order.
      next_offset: Offset to read next.
      reached_end: Whether the stream has no records after these.
    """

    records: tuple[StoredRecord, ...]
    next_offset: int
    reached_end: bool = True


class StoreClient:
    """Reads and appends records; shared by all threads of a process.

    A call in flight at the start of an outage never gets a response, nor does
    a call that is sent during it.  While the store is unreachable, calls
    therefore time out sooner: otherwise threads would still wait for them
    when the store is back.
    """

    def __init__(self, address: str):
        """Create the client; it connects on its first call.

        Args:
          address: "host:port" of the store.
        """
        self._client = HttpClient(address, max_idle=6)
        self._responded_ms = now_ms()

    def _call(self, method, path, body=None, wait_ms=0) -> HttpResponse:
        """Call the store, which may wait for `wait_ms` before it responds."""
        unreachable = now_ms() - self._responded_ms >= UNREACHABLE_AFTER_MS
        timeout_s = PROBE_TIMEOUT_S if unreachable else RESPONSE_TIMEOUT_S
        response = self._client.call(
            method, path, body, timeout_s=wait_ms / 1_000 + timeout_s
        )
        self._responded_ms = now_ms()
        return response

    def read(
        self, stream: Stream, from_offset: int, wait_ms: int
    ) -> ReadResult:
        """Read records starting at an offset.

        Args:
          stream: The stream.
          from_offset: First offset to read.
          wait_ms: How long the store waits for a first record.
        Returns:
          The records.
        Raises:
          RecordsTruncatedError: The record at the offset was deleted.
          PlatformError: There was no valid response.
        """
        query = {
            "Topic": TOPIC_BY_STREAM[stream],
            "part": 0,
            "From": from_offset,
        }
        if wait_ms:
            query["WaitMs"] = wait_ms
        path = f"/log-read?{urlencode(query)}"
        response = self._call("GET", path, wait_ms=wait_ms)
        if response.status == 410:
            raise RecordsTruncatedError("records were deleted")
        _check_status(response)
        if len(response.body) < READ_HEADER.size:
            raise PlatformError("response without offsets")
        end, _ = READ_HEADER.unpack_from(response.body)
        record_bodies = list(_split_records(response.body[READ_HEADER.size :]))
        records = tuple(
            decode_record(stream, *_split_key(body)) for body in record_bodies
        )
        next_offset = from_offset + len(record_bodies)
        return ReadResult(records, next_offset, reached_end=next_offset >= end)

    def read_newest(self, stream: Stream) -> ReadResult:
        """Read the newest record of every key.

        Args:
          stream: The stream.
        Returns:
          The records; the next offset is that of newer ones.
        Raises:
          PlatformError: There was no valid response.
        """
        records: list[StoredRecord] = []
        next_offset = -1
        after = None
        while True:
            query = {"Topic": TOPIC_BY_STREAM[stream], "part": 0}
            if after is not None:
                query["After"] = after
            response = self._client.call(
                "GET",
                f"/log-newest?{urlencode(query)}",
                timeout_s=PAGE_TIMEOUT_S,
            )
            _check_status(response)
            page = response.json()
            if next_offset < 0:
                next_offset = page["EndOffset"]
            for item in page.get("items") or ():
                after = item["Key"]
                value = base64.b64decode(item["Value"])
                records.append(decode_record(stream, after, value))
            if not page.get("HasMore"):
                return ReadResult(tuple(records), next_offset)

    def append(self, stream: Stream, records: tuple[StoredRecord, ...]):
        """Append records without conditions; the writes must be idempotent.

        Args:
          stream: The stream.
          records: The records.
        Returns:
          Outcome of the write.
        """
        return self.append_conditionally(TOPIC_BY_STREAM[stream], {}, records)[
            0
        ]

    def append_conditionally(
        self, topic: str, query: dict, records: tuple[StoredRecord, ...]
    ) -> tuple[StoreOutcome, dict]:
        """Append records under conditions.

        Args:
          topic: Name of the topic.
          query: Conditions, as parameters of the store's protocol.
          records: The records.
        Returns:
          Outcome of the write, and the JSON object of the response.
        """
        body = b"".join(map(encode_record, records))
        return self._append(topic, query, body)

    def append_encoded(self, topic: str, body: bytes) -> bool:
        """Append records that are already encoded.

        Args:
          topic: Name of the topic.
          body: Bytes of the records.
        Returns:
          Whether the records are certainly stored.
        """
        return self._append(topic, {}, body)[0] is StoreOutcome.STORED

    def _append(self, topic, query, body):
        query = {"Topic": topic, "part": 0, **query}
        try:
            response = self._call(
                "POST", f"/log-append?{urlencode(query)}", body
            )
            document = response.json()
        except PlatformError:
            return StoreOutcome.UNKNOWN, {}
        if response.status == 200:
            return StoreOutcome.STORED, document
        if response.status == 409 and document.get("Reason") == "fenced":
            return StoreOutcome.FENCED, document
        return StoreOutcome.REFUSED, document


def encode_record(record: StoredRecord) -> bytes:
    """Encode a record of a keyed topic.

    Args:
      record: The record; one without a value deletes the key.
    Returns:
      The bytes, including their length prefix.
    """
    key = record.key.encode()
    value = b"" if record.value is None else pack(record.value)
    return frame_record(key, value)


def frame_record(key: bytes, value: bytes) -> bytes:
    """Build the length-prefixed bytes of a record of a keyed topic.

    The content is the length of the key in one byte, the key and the value.

    Args:
      key: The key.
      value: The value; empty to delete the key.
    Returns:
      The bytes, including their length prefix.
    """
    content = bytes((len(key),)) + key + value
    return RECORD_LENGTH.pack(len(content)) + content


def decode_record(stream: Stream, key: str, value: bytes) -> StoredRecord:
    """Decode a record of a keyed topic.

    Args:
      stream: The stream.
      key: The key.
      value: Any bytes; empty if the key was deleted.
    Returns:
      The record; it has no value either if the bytes are not valid.
    """
    if not value:
        return StoredRecord(key, None)
    try:
        return StoredRecord(key, _decode_value(stream, key, value))
    except DecodeError as error:
        LOGGER.warning(
            "%d %s stream=%s key=%s reason=%r",
            RECORD_UNREADABLE.number,
            RECORD_UNREADABLE.name,
            stream.value,
            key,
            str(error),
        )
        return StoredRecord("" if stream is not Stream.WORKERS else key, None)


def _decode_value(stream: Stream, key: str, value: bytes) -> StoredValue:
    match stream:
        case Stream.OPERATOR if key == MANIFEST_KEY:
            return decode_manifest(decode_object(value))
        case Stream.OPERATOR if key.startswith(WAVE_KEY_PREFIX):
            return decode_wave(decode_object(value))
        case Stream.OPERATOR:
            raise DecodeError(f"unknown key {key}")
        case Stream.WORKERS:
            return decode_worker(key, decode_object(value))
    return unpack(value, STORED_CLASSES, StoredValue)


def _split_records(body: bytes) -> Iterator[bytes]:
    """Split the body of a response into its length-prefixed records."""
    position = 0
    while position + RECORD_LENGTH.size <= len(body):
        (length,) = RECORD_LENGTH.unpack_from(body, position)
        position += RECORD_LENGTH.size
        yield body[position : position + length]
        position += length


def _split_key(content: bytes) -> tuple[str, bytes]:
    """Split a record's content into key and value."""
    if not content:
        return "", b""
    end = 1 + content[0]
    return content[1:end].decode(errors="replace"), content[end:]


def _check_status(response):
    if response.status != 200:
        raise PlatformError(f"status {response.status}")
