"""The platform as a steward meets it: its log, its list, its reboots.

Three threads wait for the platform: one reads the log, one appends, one
lists and reboots; so a slow answer to one holds up none of the others.
"""

from collections.abc import Callable
import json
from queue import SimpleQueue
import threading

import msgpack
from urllib3 import HTTPResponse
from urllib3 import PoolManager
from urllib3 import Timeout
from urllib3.exceptions import HTTPError

from sesamehall.codecs.wire import decode_record
from sesamehall.codecs.wire import encode_record
from sesamehall.core.codes import PlatformError
from sesamehall.core.data import Instance
from sesamehall.core.data import TargetKind
from sesamehall.core.effects import Append
from sesamehall.core.effects import ListInstances
from sesamehall.core.effects import ReadLog
from sesamehall.core.effects import RebootInstance
from sesamehall.core.events import AppendEnded
from sesamehall.core.events import Event
from sesamehall.core.events import InstanceRebooted
from sesamehall.core.events import InstancesListed
from sesamehall.core.events import InstancesNotListed
from sesamehall.core.events import LogRead
from sesamehall.core.events import LogReadFailed
from sesamehall.core.records import LogEntry
from sesamehall.core.records import Record
from sesamehall.runtime.interpreter import now_ms

WAIT_MS = 2_000  # the platform answers an idle read after this long
CONNECT_TIMEOUT_S = 1
ANSWER_TIMEOUT_S = 4  # must be longer than an idle read takes
READ_MOST = 500  # entries of one read


class LogClient:
    """Reads and appends to one stream of the platform's log."""

    def __init__(self, address: str, stream: str):
        """Prepare the client; it connects on its first call.

        Args:
          address: "host:port" of the platform.
          stream: Name of the log's stream.
        """
        self._url = f"http://{address}/v1/streams/{stream}"
        self._pool = _new_pool()

    def read(
        self, from_offset: int, wait_ms: int
    ) -> tuple[int, tuple[LogEntry, ...]]:
        """Read entries from an offset on.

        Args:
          from_offset: First offset wanted.
          wait_ms: How long the platform may wait for a first entry.
        Returns:
          The oldest offset that the log holds, and the entries in order.
        Raises:
          PlatformError: There was no answer, or not a valid one.
        """
        fields = {"from": from_offset, "wait_ms": wait_ms, "most": READ_MOST}
        response = _call(self._pool, "GET", self._url, fields=fields)
        try:
            answer = msgpack.unpackb(response.data)
            first = answer["first"]
            bodies = answer["records"]
            earliest = answer["earliest"]
            entries = tuple(
                LogEntry(first + index, decode_record(body))
                for index, body in enumerate(bodies)
            )
        except (ValueError, TypeError, KeyError) as error:
            raise PlatformError(f"bad answer: {error}") from error
        return earliest, entries

    def append(self, record: Record) -> int:
        """Append a record.

        Args:
          record: The record.
        Returns:
          The offset that the platform gave it.
        Raises:
          PlatformError: There was no answer; it may have taken effect.
        """
        body = encode_record(record)
        response = _call(self._pool, "POST", self._url, body=body)
        try:
            return json.loads(response.data)["offset"]
        except (ValueError, KeyError, TypeError) as error:
            raise PlatformError(f"bad answer: {error}") from error


class InstanceClient:
    """Lists and reboots the platform's instances."""

    def __init__(self, address: str):
        """Prepare the client; it connects on its first call.

        Args:
          address: "host:port" of the platform.
        """
        self._url = f"http://{address}/v1/instances"
        self._pool = _new_pool()

    def list(self) -> tuple[Instance, ...]:
        """Ask for the live and leaving instances.

        Returns:
          The instances, in the platform's order.
        Raises:
          PlatformError: There was no answer, or not a valid one.
        """
        response = _call(self._pool, "GET", self._url)
        try:
            return tuple(map(_read_instance, json.loads(response.data)))
        except (ValueError, TypeError, KeyError) as error:
            raise PlatformError(f"bad answer: {error}") from error

    def reboot(self, effect: RebootInstance) -> bool:
        """Ask for a reboot.

        Args:
          effect: The reboot, with the operation that makes it idempotent.
        Returns:
          Whether the instance has come back from it.
        Raises:
          PlatformError: There was no answer; it may have taken effect.
        """
        url = f"{self._url}/{effect.instance}/reboot"
        fields = {"operation": effect.operation, "pool": effect.pool}
        response = _call(self._pool, "POST", url, fields=fields)
        return response.status == 200


class PlatformLink:
    """Carries out a steward's effects on the platform."""

    def __init__(
        self, address: str, stream: str, post: Callable[[Event], None]
    ):
        """Prepare the threads; `start` begins them.

        Args:
          address: "host:port" of the platform.
          stream: Name of the log's stream.
          post: Takes the events.
        """
        self._log = LogClient(address, stream)
        self._appends = LogClient(address, stream)
        self._instances = InstanceClient(address)
        self._post = post
        self._lanes = [
            Lane("log-read", self._read),
            Lane("log-append", self._append),
            Lane("instances", self._manage),
        ]

    def start(self) -> None:
        """Begin the threads."""
        for lane in self._lanes:
            lane.start()

    def perform(self, effect) -> None:
        """Carry out an effect in its thread.

        Args:
          effect: ReadLog, Append, ListInstances or RebootInstance.
        """
        read_lane, append_lane, instance_lane = self._lanes
        match effect:
            case ReadLog():
                read_lane.put(effect)
            case Append():
                append_lane.put(effect)
            case _:
                instance_lane.put(effect)

    def _read(self, effect: ReadLog) -> None:
        try:
            earliest, entries = self._log.read(effect.from_offset, WAIT_MS)
        except PlatformError as error:
            self._post(LogReadFailed(now_ms(), str(error)))
        else:
            self._post(LogRead(now_ms(), entries, earliest))

    def _append(self, effect: Append) -> None:
        record_id = effect.record.record_id
        try:
            self._appends.append(effect.record)
        except PlatformError:
            self._post(AppendEnded(now_ms(), record_id, False))
        else:
            self._post(AppendEnded(now_ms(), record_id, True))

    def _manage(self, effect) -> None:
        match effect:
            case ListInstances():
                self._list()
            case RebootInstance():
                self._reboot(effect)

    def _list(self) -> None:
        try:
            instances = self._instances.list()
        except PlatformError as error:
            self._post(InstancesNotListed(now_ms(), str(error)))
        else:
            self._post(InstancesListed(now_ms(), instances))

    def _reboot(self, effect: RebootInstance) -> None:
        try:
            done = self._instances.reboot(effect)
        except PlatformError:
            done = False
        self._post(InstanceRebooted(now_ms(), effect.operation, done))


class Lane:
    """A thread that carries out effects one after the other."""

    def __init__(self, name: str, carry_out: Callable):
        """Prepare the thread.

        Args:
          name: Name of the thread.
          carry_out: Function of an effect; it may block.
        """
        self._effects: SimpleQueue = SimpleQueue()
        self._carry_out = carry_out
        self._thread = threading.Thread(
            target=self._run, name=name, daemon=True
        )

    def start(self) -> None:
        """Begin the thread; it ends with the process."""
        self._thread.start()

    def put(self, effect) -> None:
        """Hand in an effect.

        Args:
          effect: What is to be done.
        """
        self._effects.put(effect)

    def _run(self) -> None:
        while True:
            self._carry_out(self._effects.get())


def _new_pool() -> PoolManager:
    timeout = Timeout(connect=CONNECT_TIMEOUT_S, read=ANSWER_TIMEOUT_S)
    return PoolManager(retries=False, timeout=timeout)


def _call(
    pool: PoolManager, method: str, url: str, **arguments
) -> HTTPResponse:
    """Call the platform; every failure becomes a PlatformError."""
    if "fields" in arguments and method == "POST":
        arguments["encode_multipart"] = False
    try:
        response = pool.request(method, url, **arguments)
    except (HTTPError, OSError) as error:
        raise PlatformError(type(error).__name__) from error
    if response.status >= 500:
        raise PlatformError(f"status {response.status}")
    return response


def _read_instance(item: dict) -> Instance:
    """Translate an item of the platform's list."""
    return Instance(
        name=item["name"],
        kind=TargetKind(item["kind"]),
        data_centre=item["data_centre"],
        rack=item["rack"],
        address=item["address"],
        pool=item["pool"],
        leaving=item["leaving"],
        slots=item["slots"],
        processors=item["processors"],
        memory_mb=item["memory_mb"],
        accelerators=item["accelerators"],
        boot=item["boot"],
    )
