"""Stand-in for the metadata store of the users' platform: topics of records.

It implements the part of the protocol that the manager uses: conditional and
fenced appends, long-polling reads, and the newest record of each key.
"""

import base64
from collections import deque
from dataclasses import dataclass
from dataclasses import field
import struct
import threading
import time

from standins.serving import HttpRequest
from standins.serving import HttpResponse
from standins.serving import json_response

RECORD_LENGTH = struct.Struct(">I")
READ_HEADER = struct.Struct(">QQ")
PAGE_ITEMS = 500
MAX_READ_BYTES = 1 << 20
REMEMBERED_APPENDS = 5  # per producer; a repeat gets the original response
MAX_WAIT_S = 30


@dataclass(slots=True)
class Producer:
    """State that a partition keeps for a producer.

    Attributes:
      epoch: Highest epoch seen; appends with a lower one are fenced off.
      sequence: Sequence number of the latest append, or -1.
      recent_responses: Sequence numbers and responses of recent appends.
    """

    epoch: int = 0
    sequence: int = -1
    recent_responses: deque = field(
        default_factory=lambda: deque(maxlen=REMEMBERED_APPENDS)
    )


@dataclass(slots=True)
class Partition:
    """One partition of a topic.

    Attributes:
      records: Retained records.
      first_offset: Offset of the first retained record.
      newest_by_key: Offset and value of the newest record of each key.
      producers_by_name: Producers of fenced appends.
    """

    records: list[bytes] = field(default_factory=list)
    first_offset: int = 0
    newest_by_key: dict[bytes, tuple[int, bytes]] = field(default_factory=dict)
    producers_by_name: dict[str, Producer] = field(default_factory=dict)

    @property
    def end_offset(self) -> int:
        """Return the offset of the next record."""
        return self.first_offset + len(self.records)


class MetadataStore:
    """A store with all its topics; safe for concurrent use.

    Attributes:
      busy: Whether all requests are rejected with status 503.
      page_items: Most records in a page of a topic's newest records.
    """

    def __init__(self):
        """Initialize a store without topics."""
        self.busy = False
        self.page_items = PAGE_ITEMS
        self._changed = threading.Condition()
        self._partitions_by_topic: dict[str, Partition] = {}

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record to any topic, as operators and workers do.

        Args:
          topic: Name of the topic.
          key: Key of the record.
          value: Value of the record; an empty value deletes the key.
        """
        encoded_key = key.encode()
        with self._changed:
            partition = self._partition(topic)
            _append_record(
                partition, bytes((len(encoded_key),)) + encoded_key + value
            )
            self._changed.notify_all()

    def compact(self) -> None:
        """Drop all records but the newest one of each key."""
        with self._changed:
            for partition in self._partitions_by_topic.values():
                partition.first_offset = partition.end_offset
                partition.records.clear()

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle a request.

        Args:
          request: The request.
        Returns:
          The response.
        """
        if self.busy:
            return HttpResponse(503, b"busy")
        match request.path:
            case "/log-append":
                return self._handle_append(request)
            case "/log-read":
                return self._read_log(request)
            case "/log-newest":
                return self._list_newest(request)
        return HttpResponse(404, b"no such call")

    def _partition(self, topic: str) -> Partition:
        return self._partitions_by_topic.setdefault(topic, Partition())

    def _handle_append(self, request):
        query = request.query
        # Managers only read these topics; operators and workers write them.
        if query["Topic"] in ("keyed.op", "keyed.servers"):
            return HttpResponse(403, b"not yours")
        with self._changed:
            partition = self._partition(query["Topic"])
            early_response = _check_append(partition, query)
            if early_response is not None:
                return early_response
            offset = partition.end_offset
            for record in _split_records(request.body):
                _append_record(partition, record)
            response = json_response(
                {"Offset": offset, "EndOffset": partition.end_offset}
            )
            _remember_append(partition, query, response)
            self._changed.notify_all()
            return response

    def _read_log(self, request):
        query = request.query
        offset = int(query["From"])
        wait_s = min(int(query.get("WaitMs", 0)) / 1_000, MAX_WAIT_S)
        deadline_s = time.monotonic() + wait_s
        with self._changed:
            partition = self._partition(query["Topic"])
            while partition.end_offset <= offset:
                remaining_s = deadline_s - time.monotonic()
                if remaining_s <= 0 or not self._changed.wait(remaining_s):
                    break
            if offset < partition.first_offset:
                return json_response(
                    {"FirstOffset": partition.first_offset}, 410
                )
            body = READ_HEADER.pack(
                partition.end_offset, partition.first_offset
            )
            for record in partition.records[offset - partition.first_offset :]:
                if len(body) > MAX_READ_BYTES:
                    break
                body += RECORD_LENGTH.pack(len(record)) + record
            return HttpResponse(200, body)

    def _list_newest(self, request):
        after = request.query.get("After", "").encode()
        with self._changed:
            partition = self._partition(request.query["Topic"])
            keys = sorted(
                key for key in partition.newest_by_key if key > after
            )
            items = [
                {
                    "Key": key.decode(),
                    "Value": base64.b64encode(
                        partition.newest_by_key[key][1]
                    ).decode(),
                    "Offset": partition.newest_by_key[key][0],
                }
                for key in keys[: self.page_items]
            ]
            return json_response(
                {
                    "items": items,
                    "HasMore": len(keys) > self.page_items,
                    "EndOffset": partition.end_offset,
                }
            )


def _check_append(
    partition: Partition, query: dict[str, str]
) -> HttpResponse | None:
    """Check the conditions of an append.

    Returns:
      A rejection, the original response for a repeat, or None to append.
    """
    name = query.get("Producer")
    if name is not None:
        producer = partition.producers_by_name.setdefault(name, Producer())
        epoch = int(query["epoch"])
        if epoch < producer.epoch:
            return json_response({"Reason": "fenced"}, 409)
        if epoch == producer.epoch and producer.sequence >= 0:
            sequence = int(query["Seq"])
            for known_sequence, response in producer.recent_responses:
                if known_sequence == sequence:
                    return response
            if sequence != producer.sequence + 1:
                expected = producer.sequence + 1
                return json_response({"Reason": "seq", "Seq": expected}, 409)
    if "At" in query and int(query["At"]) != partition.end_offset:
        return json_response({"EndOffset": partition.end_offset}, 412)
    return None


def _remember_append(partition, query, response):
    """Keep the response to a producer's append for repeats of it."""
    name = query.get("Producer")
    if name is None:
        return
    producer = partition.producers_by_name[name]
    if int(query["epoch"]) > producer.epoch:
        producer.recent_responses.clear()
    producer.epoch = int(query["epoch"])
    producer.sequence = int(query["Seq"])
    producer.recent_responses.append((producer.sequence, response))


def _append_record(partition: Partition, record: bytes) -> None:
    """Append a record, which starts with its key and the key's length."""
    offset = partition.end_offset
    partition.records.append(record)
    key = record[1 : 1 + record[0]]
    value = record[1 + record[0] :]
    if value:
        partition.newest_by_key[key] = (offset, value)
    else:
        partition.newest_by_key.pop(key, None)


def _split_records(body: bytes) -> list[bytes]:
    """Split the body of an append into its length-prefixed records."""
    records = []
    position = 0
    while position < len(body):
        (length,) = RECORD_LENGTH.unpack_from(body, position)
        position += RECORD_LENGTH.size
        records.append(body[position : position + length])
        position += length
    return records
