"""Stand-in of the users' platform's metadata store: a log with topics.

It speaks the part of the published protocol that the manager uses: appends
under conditions and fences, long reads, and the newest record of each key.
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

LENGTH = struct.Struct(">I")
HEAD = struct.Struct(">QQ")
PAGE_ITEMS = 500
READ_BYTES = 1 << 20
REPEATS_KNOWN = 5  # appends whose repeat gets the first answer again
LONGEST_WAIT_S = 30


@dataclass(slots=True)
class Producer:
    """What a partition knows of a producer.

    Attributes:
      epoch: Highest epoch seen.
      sequence: Sequence number of its latest append, or -1.
      answers: The latest appends' numbers and answers.
    """

    epoch: int = 0
    sequence: int = -1
    answers: deque = field(default_factory=lambda: deque(maxlen=REPEATS_KNOWN))


@dataclass(slots=True)
class Partition:
    """One partition of a topic.

    Attributes:
      contents: Records that are retained.
      first: Offset of the first of them.
      newest_by_key: Offset and value of the newest record of each key.
      producers_by_name: Producers that appended under a fence.
    """

    contents: list[bytes] = field(default_factory=list)
    first: int = 0
    newest_by_key: dict[bytes, tuple[int, bytes]] = field(default_factory=dict)
    producers_by_name: dict[str, Producer] = field(default_factory=dict)

    @property
    def end(self) -> int:
        """Tell the offset of the next record."""
        return self.first + len(self.contents)


class MetadataStore:
    """All topics, as a server in many threads answers for them."""

    def __init__(self):
        """Begin with no topic."""
        self.busy = False
        self._changed = threading.Condition()
        self._partitions_by_topic: dict[str, Partition] = {}

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record as the operator or a worker does.

        Args:
          topic: Name of the topic.
          key: The key.
          value: The value; empty to drop the key.
        """
        name = key.encode()
        with self._changed:
            partition = self._partition(topic)
            _append(partition, bytes((len(name),)) + name + value)
            self._changed.notify_all()

    def forget_history(self) -> None:
        """Drop all records but the newest of each key."""
        with self._changed:
            for partition in self._partitions_by_topic.values():
                partition.first = partition.end
                partition.contents.clear()

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one call.

        Args:
          request: The call.
        Returns:
          The answer.
        """
        if self.busy:
            return HttpResponse(503, b"busy")
        match request.path:
            case "/log-append":
                return self._append(request)
            case "/log-read":
                return self._read(request)
            case "/log-newest":
                return self._newest(request)
        return HttpResponse(404, b"no such call")

    def _partition(self, topic: str) -> Partition:
        return self._partitions_by_topic.setdefault(topic, Partition())

    def _append(self, request):
        query = request.query
        if query["Topic"] in ("keyed.op", "keyed.servers"):
            return HttpResponse(403, b"not yours")
        with self._changed:
            partition = self._partition(query["Topic"])
            refusal = _refuse(partition, query)
            if refusal is not None:
                return refusal
            offset = partition.end
            for content in _split(request.body):
                _append(partition, content)
            answer = json_response(
                {"Offset": offset, "EndOffset": partition.end}
            )
            _note_append(partition, query, answer)
            self._changed.notify_all()
            return answer

    def _read(self, request):
        query = request.query
        offset = int(query["From"])
        wait_s = min(int(query.get("WaitMs", 0)) / 1_000, LONGEST_WAIT_S)
        until = time.monotonic() + wait_s
        with self._changed:
            partition = self._partition(query["Topic"])
            while partition.end <= offset:
                left_s = until - time.monotonic()
                if left_s <= 0 or not self._changed.wait(left_s):
                    break
            if offset < partition.first:
                return json_response({"FirstOffset": partition.first}, 410)
            body = HEAD.pack(partition.end, partition.first)
            for content in partition.contents[offset - partition.first :]:
                if len(body) > READ_BYTES:
                    break
                body += LENGTH.pack(len(content)) + content
            return HttpResponse(200, body)

    def _newest(self, request):
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
                for key in keys[:PAGE_ITEMS]
            ]
            return json_response(
                {
                    "items": items,
                    "HasMore": len(keys) > PAGE_ITEMS,
                    "EndOffset": partition.end,
                }
            )


def _refuse(
    partition: Partition, query: dict[str, str]
) -> HttpResponse | None:
    """Refuse an append whose conditions do not hold, or answer a repeat."""
    name = query.get("Producer")
    if name is not None:
        producer = partition.producers_by_name.setdefault(name, Producer())
        epoch = int(query["epoch"])
        if epoch < producer.epoch:
            return json_response({"Reason": "fenced"}, 409)
        if epoch == producer.epoch and producer.sequence >= 0:
            sequence = int(query["Seq"])
            for known, answer in producer.answers:
                if known == sequence:
                    return answer
            if sequence != producer.sequence + 1:
                expected = producer.sequence + 1
                return json_response({"Reason": "seq", "Seq": expected}, 409)
    if "At" in query and int(query["At"]) != partition.end:
        return json_response({"EndOffset": partition.end}, 412)
    return None


def _note_append(partition, query, answer):
    name = query.get("Producer")
    if name is None:
        return
    producer = partition.producers_by_name[name]
    if int(query["epoch"]) > producer.epoch:
        producer.answers.clear()
    producer.epoch = int(query["epoch"])
    producer.sequence = int(query["Seq"])
    producer.answers.append((producer.sequence, answer))


def _append(partition: Partition, content: bytes) -> None:
    """Append a keyed record."""
    offset = partition.end
    partition.contents.append(content)
    key = content[1 : 1 + content[0]]
    value = content[1 + content[0] :]
    if value:
        partition.newest_by_key[key] = (offset, value)
    else:
        partition.newest_by_key.pop(key, None)


def _split(body: bytes) -> list[bytes]:
    """Cut a body into the contents of its records."""
    contents = []
    place = 0
    while place < len(body):
        (length,) = LENGTH.unpack_from(body, place)
        place += LENGTH.size
        contents.append(body[place : place + length])
        place += length
    return contents
