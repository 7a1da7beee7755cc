"""Stand-in of the platform: log streams, instances, faults on demand.

GET  /v1/streams/NAME?from=N&wait_ms=W&most=M   records from an offset on
POST /v1/streams/NAME                           append the body as a record
GET  /v1/instances                              the list, as old as the lag
POST /v1/instances/NAME/reboot                  idempotent by operation
POST /control/instances                         replace the list
POST /control/faults                            outage and lost answers
"""

from collections import deque
from dataclasses import dataclass
from dataclasses import field
import json
import threading
import time

import msgpack

from standins.serving import Answer
from standins.serving import json_answer
from standins.serving import Question
from standins.serving import serve

WAIT_MOST_MS = 5_000


@dataclass(slots=True)
class Stream:
    """One log stream.

    Attributes:
      first: Offset of the oldest record kept.
      records: Bytes and time of arrival, oldest first.
    """

    first: int = 0
    records: deque[tuple[float, bytes]] = field(default_factory=deque)


@dataclass(slots=True)
class Faults:
    """What goes wrong at the moment.

    Attributes:
      down: Whether every call fails.
      lose_answers: How many appends take effect without their answer.
      delay_ms: Pause before every answer.
    """

    down: bool = False
    lose_answers: int = 0
    delay_ms: int = 0


class Platform:
    """The platform's state, shared by all server threads."""

    def __init__(self, retention_s: float, list_lag_s: float):
        """Begin with an empty log and an empty list.

        Args:
          retention_s: How long records are kept.
          list_lag_s: How old the list of instances is when it is given.
        """
        self._retention_s = retention_s
        self._list_lag_s = list_lag_s
        self._changed = threading.Condition()
        self._streams_by_name: dict[str, Stream] = {}
        self._lists: deque[tuple[float, list]] = deque([(0.0, [])])
        self._operations: set[str] = set()
        self._boots_by_instance: dict[str, int] = {}
        self._faults = Faults()

    def answer(self, question: Question) -> Answer:
        """Answer one call.

        Args:
          question: The call.
        Returns:
          The answer.
        """
        if question.path.startswith("/control/"):
            return self._control(question)
        with self._changed:
            faults = self._faults
        if faults.delay_ms:
            time.sleep(faults.delay_ms / 1000)
        if faults.down:
            return Answer(503, b"down")
        match (question.method, *question.path.strip("/").split("/")):
            case ("GET", "v1", "streams", name):
                return self._read(name, question)
            case ("POST", "v1", "streams", name):
                return self._append(name, question.body)
            case ("GET", "v1", "instances"):
                return json_answer(self._list())
            case ("POST", "v1", "instances", name, "reboot"):
                return self._reboot(name, question)
        return Answer(404, b"no such call")

    def _read(self, name, question) -> Answer:
        offset = int(question.query.get("from", "0"))
        wait_ms = int(question.query.get("wait_ms", "0"))
        most = int(question.query.get("most", "100"))
        with self._changed:
            stream = self._streams_by_name.setdefault(name, Stream())
            self._changed.wait_for(
                lambda: self._end(stream) > offset or self._faults.down,
                min(wait_ms, WAIT_MOST_MS) / 1000,
            )
            if self._faults.down:
                return Answer(503, b"down")
            self._forget(stream)
            first = max(offset, stream.first)
            begin = first - stream.first
            records = list(stream.records)[begin : begin + most]
            body = {
                "earliest": stream.first,
                "first": first,
                "records": [record for _, record in records],
            }
        return Answer(200, msgpack.packb(body))

    def _append(self, name, body) -> Answer:
        with self._changed:
            stream = self._streams_by_name.setdefault(name, Stream())
            offset = self._end(stream)
            stream.records.append((time.monotonic(), body))
            self._changed.notify_all()
            if self._faults.lose_answers > 0:
                self._faults.lose_answers -= 1
                return Answer(503, b"answer lost")
        return json_answer({"offset": offset})

    def _end(self, stream):
        return stream.first + len(stream.records)

    def _forget(self, stream):
        oldest = time.monotonic() - self._retention_s
        while stream.records and stream.records[0][0] < oldest:
            stream.records.popleft()
            stream.first += 1

    def _list(self):
        """Give the newest list that is older than the lag."""
        now = time.monotonic()
        with self._changed:
            while (
                len(self._lists) > 1
                and self._lists[1][0] + self._list_lag_s <= now
            ):
                self._lists.popleft()
            return [self._with_boot(item) for item in self._lists[0][1]]

    def _with_boot(self, item):
        boots = self._boots_by_instance.get(item["name"], 0)
        return item | {"boot": f"boot-{boots}"}

    def _reboot(self, name, question) -> Answer:
        operation = question.form["operation"]
        with self._changed:
            if operation not in self._operations:
                self._operations.add(operation)
                boots = self._boots_by_instance.get(name, 0)
                self._boots_by_instance[name] = boots + 1
        return json_answer({"done": True})

    def _control(self, question) -> Answer:
        wish = json.loads(question.body)
        with self._changed:
            if question.path == "/control/instances":
                self._lists.append((time.monotonic(), wish))
            elif question.path == "/control/faults":
                self._faults = Faults(**wish)
            else:
                return Answer(404, b"no such control")
            self._changed.notify_all()
        return json_answer({"done": True})


def run_platform(
    *, listen: str, retention_s: float = 3600, list_lag_s: float = 0.5
) -> None:
    """Serve the platform's interfaces until SIGTERM.

    Args:
      listen: "host:port".
      retention_s: How long records are kept.
      list_lag_s: How old the list of instances is when it is given.
    """
    platform = Platform(retention_s, list_lag_s)
    serve(listen, platform.answer, threads=32)


if __name__ == "__main__":
    from defopt import run

    run(run_platform)
