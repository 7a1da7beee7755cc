"""The platform's metadata store: a log with topics, as a client meets it."""

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
LENGTH = struct.Struct(">I")
HEAD = struct.Struct(">QQ")  # end, and first offset that is retained
TOPIC_BY_STREAM = {
    Stream.OPERATOR: "keyed.op",
    Stream.WORKERS: "keyed.servers",
    Stream.JOBS: "keyed.sesamehall-jobs",
    Stream.PROGRESS: "keyed.sesamehall-progress",
}
STATUS_TOPIC = "keyed.status"
ANSWER_TIMEOUT_S = 1.2  # a slow store answers within this
PROBE_TIMEOUT_S = 0.4  # of calls while the store is away
AWAY_AFTER_MS = 1_500  # a store that answers nothing for so long is away
PAGE_TIMEOUT_S = 2.0  # pages of up to 1 MB
CLASSES = classes_of(data, work, fleet)


class ForgottenError(PlatformError):
    """The log no longer holds the records that were asked for."""


@dataclass(frozen=True, slots=True)
class Piece:
    """Records of a log.

    Attributes:
      records: The records, in order.
      next_offset: Where to read on.
      whole: Whether the log held nothing after them.
    """

    records: tuple[StoredRecord, ...]
    next_offset: int
    whole: bool = True


class StoreClient:
    """Reads and appends; one client for all threads of a process.

    A call that was under way when the store went away is never answered, nor
    is one that was sent meanwhile.  So calls are given up sooner while it is
    away: else they would be waited for when it is back.
    """

    def __init__(self, address: str):
        """Prepare the client; it connects on its first call.

        Args:
          address: "host:port" of the store.
        """
        self._client = HttpClient(address, max_idle=6)
        self._answered_ms = now_ms()

    def _call(self, method, path, body=None, wait_ms=0) -> HttpResponse:
        """Call the store, which may wait before it answers."""
        away = now_ms() - self._answered_ms >= AWAY_AFTER_MS
        timeout_s = PROBE_TIMEOUT_S if away else ANSWER_TIMEOUT_S
        answer = self._client.call(
            method, path, body, timeout_s=wait_ms / 1_000 + timeout_s
        )
        self._answered_ms = now_ms()
        return answer

    def read(self, stream: Stream, from_offset: int, wait_ms: int) -> Piece:
        """Read records from an offset on.

        Args:
          stream: The log.
          from_offset: First offset wanted.
          wait_ms: How long to wait for a first record.
        Returns:
          The records.
        Raises:
          ForgottenError: The first of them is no longer there.
          PlatformError: There was no answer, or not a valid one.
        """
        query = {
            "Topic": TOPIC_BY_STREAM[stream],
            "part": 0,
            "From": from_offset,
        }
        if wait_ms:
            query["WaitMs"] = wait_ms
        path = f"/log-read?{urlencode(query)}"
        answer = self._call("GET", path, wait_ms=wait_ms)
        if answer.status == 410:
            raise ForgottenError("records are gone")
        _expect_ok(answer)
        if len(answer.body) < HEAD.size:
            raise PlatformError("answer without offsets")
        end, _ = HEAD.unpack_from(answer.body)
        bodies = list(_split(answer.body[HEAD.size :]))
        records = tuple(
            decode_record(stream, *_split_key(body)) for body in bodies
        )
        next_offset = from_offset + len(bodies)
        return Piece(records, next_offset, whole=next_offset >= end)

    def read_newest(self, stream: Stream) -> Piece:
        """Read the newest record of every key.

        Args:
          stream: The log.
        Returns:
          The records, and the offset from which newer ones follow.
        Raises:
          PlatformError: There was no answer, or not a valid one.
        """
        records: list[StoredRecord] = []
        next_offset = -1
        after = None
        while True:
            query = {"Topic": TOPIC_BY_STREAM[stream], "part": 0}
            if after is not None:
                query["After"] = after
            answer = self._client.call(
                "GET",
                f"/log-newest?{urlencode(query)}",
                timeout_s=PAGE_TIMEOUT_S,
            )
            _expect_ok(answer)
            page = answer.json()
            if next_offset < 0:
                next_offset = page["EndOffset"]
            for item in page.get("items") or ():
                after = item["Key"]
                value = base64.b64decode(item["Value"])
                records.append(decode_record(stream, after, value))
            if not page.get("HasMore"):
                return Piece(tuple(records), next_offset)

    def append(self, stream: Stream, records: tuple[StoredRecord, ...]):
        """Append records that may be repeated without harm.

        Args:
          stream: The log.
          records: The records.
        Returns:
          What became of them.
        """
        return self.append_bytes(TOPIC_BY_STREAM[stream], {}, records)[0]

    def append_bytes(
        self, topic: str, query: dict, records: tuple[StoredRecord, ...]
    ) -> tuple[StoreOutcome, dict]:
        """Append records under conditions.

        Args:
          topic: Name of the topic.
          query: Conditions, in the store's words.
          records: The records.
        Returns:
          What became of them, and the store's answer.
        """
        body = b"".join(map(encode_record, records))
        return self._append(topic, query, body)

    def append_raw(self, topic: str, body: bytes) -> bool:
        """Append records that are encoded already.

        Args:
          topic: Name of the topic.
          body: The records' bytes.
        Returns:
          Whether they are certainly stored.
        """
        return self._append(topic, {}, body)[0] is StoreOutcome.STORED

    def _append(self, topic, query, body):
        query = {"Topic": topic, "part": 0, **query}
        try:
            answer = self._call(
                "POST", f"/log-append?{urlencode(query)}", body
            )
            content = answer.json()
        except PlatformError:
            return StoreOutcome.UNKNOWN, {}
        if answer.status == 200:
            return StoreOutcome.STORED, content
        if answer.status == 409 and content.get("Reason") == "fenced":
            return StoreOutcome.FENCED, content
        return StoreOutcome.REFUSED, content


def encode_record(record: StoredRecord) -> bytes:
    """Encode a record of a keyed topic.

    Args:
      record: The record; without a value it drops the key.
    Returns:
      Length, length of the key, key and packed value.
    """
    key = record.key.encode()
    value = b"" if record.value is None else pack(record.value)
    return frame(key, value)


def frame(key: bytes, value: bytes) -> bytes:
    """Build the bytes of a record of a keyed topic.

    Args:
      key: The key.
      value: The value; empty to drop the key.
    Returns:
      The bytes, with their length in front.
    """
    content = bytes((len(key),)) + key + value
    return LENGTH.pack(len(content)) + content


def decode_record(stream: Stream, key: str, value: bytes) -> StoredRecord:
    """Decode a record of a keyed topic.

    Args:
      stream: The log.
      key: The key.
      value: Bytes of any content; empty where the key is dropped.
    Returns:
      The record; without a value also where the bytes form none.
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
    return unpack(value, CLASSES, StoredValue)


def _split(body: bytes) -> Iterator[bytes]:
    """Cut an answer into the contents of its records."""
    place = 0
    while place + LENGTH.size <= len(body):
        (length,) = LENGTH.unpack_from(body, place)
        place += LENGTH.size
        yield body[place : place + length]
        place += length


def _split_key(content: bytes) -> tuple[str, bytes]:
    """Take a keyed record's content apart."""
    if not content:
        return "", b""
    end = 1 + content[0]
    return content[1:end].decode(errors="replace"), content[end:]


def _expect_ok(answer):
    if answer.status != 200:
        raise PlatformError(f"status {answer.status}")
