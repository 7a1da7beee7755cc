"""Client for the platform's metadata store: topics of keyed records."""

import base64
from dataclasses import dataclass
import struct
from urllib.parse import urlencode

from sesamehall.codecs.jsonfields import decode_integer
from sesamehall.codecs.jsonfields import decode_list
from sesamehall.core.codes import DecodeError
from sesamehall.core.codes import PlatformError
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.managerevents import StoreOutcome
from sesamehall.platform.http import HttpClient
from sesamehall.platform.httpconnection import HttpResponse
from sesamehall.platform.records import RecordDecoder
from sesamehall.platform.records import split_key
from sesamehall.platform.records import split_records
from sesamehall.runtime.effectfailures import describe_error
from sesamehall.runtime.interpreter import now_ms

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
REFUSED_STATUSES = (400, 403, 409, 412, 429, 503, 507)  # nothing was stored


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
        self._decoder = RecordDecoder()

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
        records = tuple(
            self._decoder.decode(stream, *split_key(content))
            for content in split_records(response.body[READ_HEADER.size :])
        )
        next_offset = from_offset + len(records)
        return ReadResult(records, next_offset, reached_end=next_offset >= end)

    def read_newest(self, stream: Stream) -> ReadResult:
        """Read the newest record of every key.

        Args:
          stream: The stream.
        Returns:
          The records; the next offset is that of newer ones.
        Raises:
          PlatformError: There was no valid response.
          DecodeError: A page is not valid.
        """
        records: list[StoredRecord] = []
        page = self._read_page(stream, None)
        next_offset = decode_integer(page, "EndOffset")
        while True:
            items = decode_list(page, "items", _decode_item)
            records += [
                self._decoder.decode(stream, key, value)
                for key, value in items
            ]
            if not items or not page.get("HasMore"):
                return ReadResult(tuple(records), next_offset)
            page = self._read_page(stream, items[-1][0])

    def _read_page(self, stream: Stream, after: str | None) -> dict:
        """Read the newest records of the keys that follow a key."""
        query = {"Topic": TOPIC_BY_STREAM[stream], "part": 0}
        if after is not None:
            query["After"] = after
        # A key may contain what JSON can express but UTF-8 cannot.
        path = f"/log-newest?{urlencode(query, errors='surrogatepass')}"
        response = self._client.call("GET", path, timeout_s=PAGE_TIMEOUT_S)
        _check_status(response)
        return response.json()

    def append(self, topic: str, body: bytes) -> StoreOutcome:
        """Append records without conditions; the writes must be idempotent.

        Args:
          topic: Name of the topic.
          body: The encoded records.
        Returns:
          Outcome of the write.
        """
        return self.append_conditionally(topic, {}, body)[0]

    def append_conditionally(
        self, topic: str, query: dict, body: bytes
    ) -> tuple[StoreOutcome, dict]:
        """Append records under conditions.

        Args:
          topic: Name of the topic.
          query: Conditions, as parameters of the store's protocol.
          body: The encoded records.
        Returns:
          Outcome of the write, and the JSON object of the response.
        """
        query = {"Topic": topic, "part": 0, **query}
        try:
            response = self._call(
                "POST", f"/log-append?{urlencode(query)}", body
            )
            document = response.json() if response.status in (200, 409) else {}
        except PlatformError:
            return StoreOutcome.UNKNOWN, {}
        match response.status:
            case 200:
                return StoreOutcome.STORED, document
            case 409 if document.get("Reason") == "fenced":
                return StoreOutcome.FENCED, document
            case status if status in REFUSED_STATUSES:
                return StoreOutcome.REFUSED, document
        return StoreOutcome.UNKNOWN, document


def _decode_item(row: dict) -> tuple[str, bytes]:
    """Decode key and value of an item in a page of newest records."""
    key = row.get("Key")
    if type(key) is not str:
        raise DecodeError("Key must be a string")
    try:
        return key, base64.b64decode(row.get("Value") or "")
    except (TypeError, ValueError) as error:
        raise DecodeError(describe_error(error)) from error


def _check_status(response):
    if response.status != 200:
        raise PlatformError(f"status {response.status}")
