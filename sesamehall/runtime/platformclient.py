"""The steward's client for the platform: log, instance list and reboots.

Three threads call the platform: one reads the log, one appends to it, and one
lists and reboots instances, so a slow response delays no other kind of call.
"""

from collections.abc import Callable
import json
import logging
from queue import SimpleQueue
import threading

import msgpack
from urllib3 import HTTPResponse
from urllib3 import PoolManager
from urllib3 import Timeout
from urllib3.exceptions import HTTPError

from sesamehall.codecs.addresses import is_address
from sesamehall.codecs.jsonfields import decode_boolean
from sesamehall.codecs.jsonfields import decode_integer
from sesamehall.codecs.jsonfields import decode_object
from sesamehall.codecs.jsonfields import decode_text
from sesamehall.codecs.wire import decode_record
from sesamehall.codecs.wire import encode_record
from sesamehall.core.codes import DecodeError
from sesamehall.core.codes import PlatformError
from sesamehall.core.data import Instance
from sesamehall.core.data import TargetKind
from sesamehall.core.effects import Append
from sesamehall.core.effects import Effect
from sesamehall.core.effects import ReadLog
from sesamehall.core.effects import RebootInstance
from sesamehall.core.events import AppendEnded
from sesamehall.core.events import Event
from sesamehall.core.events import InstanceRebooted
from sesamehall.core.events import InstancesListed
from sesamehall.core.events import LogRead
from sesamehall.core.logevents import RECORD_UNREADABLE
from sesamehall.core.records import LogEntry
from sesamehall.core.records import Record
from sesamehall.runtime.guarding import perform_and_post
from sesamehall.runtime.interpreter import now_ms

LOGGER = logging.getLogger("sesamehall")
READ_WAIT_MS = 2_000  # long-poll time of a read without new entries
CONNECT_TIMEOUT_S = 1
RESPONSE_TIMEOUT_S = 4  # must exceed READ_WAIT_MS
MAX_READ_ENTRIES = 500
MAX_LOGGED_CHARS = 200  # of an item that is not an instance
TARGET_KIND_BY_NAME = {kind.value: kind for kind in TargetKind}


class LogClient:
    """Reads and appends to one stream of the platform's log."""

    def __init__(self, address: str, stream: str):
        """Create the client; it connects on its first call.

        Args:
          address: "host:port" of the platform.
          stream: Name of the log's stream.
        """
        self._url = f"http://{address}/v1/streams/{stream}"
        self._pool = _new_pool()

    def read(
        self, from_offset: int, wait_ms: int
    ) -> tuple[int, tuple[LogEntry, ...]]:
        """Read entries starting at an offset.

        Args:
          from_offset: First offset to read.
          wait_ms: How long the platform waits for a first entry.
        Returns:
          The earliest offset in the log, and the entries in order.
        Raises:
          PlatformError: There was no response, or it was not valid.
        """
        fields = {
            "from": from_offset,
            "wait_ms": wait_ms,
            "most": MAX_READ_ENTRIES,
        }
        response = _call(self._pool, "GET", self._url, fields=fields)
        try:
            document = msgpack.unpackb(response.data)
            first = document["first"]
            bodies = document["records"]
            earliest = document["earliest"]
            entries = tuple(
                LogEntry(first + index, decode_record(body))
                for index, body in enumerate(bodies)
            )
        except (ValueError, TypeError, KeyError) as error:
            raise PlatformError(f"invalid response: {error}") from error
        return earliest, entries

    def append(self, record: Record) -> int:
        """Append a record.

        Args:
          record: The record.
        Returns:
          The offset that the platform assigned to it.
        Raises:
          PlatformError: There was no valid response; it may have taken effect.
        """
        body = encode_record(record)
        response = _call(self._pool, "POST", self._url, body=body)
        try:
            return decode_integer(decode_object(response.data), "offset")
        except DecodeError as error:
            raise PlatformError(f"invalid response: {error}") from error


class InstanceClient:
    """Lists and reboots the platform's instances."""

    def __init__(self, address: str):
        """Create the client; it connects on its first call.

        Args:
          address: "host:port" of the platform.
        """
        self._url = f"http://{address}/v1/instances"
        self._pool = _new_pool()

    def list(self) -> tuple[Instance, ...]:
        """List the live and leaving instances.

        Returns:
          The instances, in the platform's order.
        Raises:
          PlatformError: There was no response, or it was not valid.
        """
        response = _call(self._pool, "GET", self._url)
        try:
            items = json.loads(response.data)
        except (ValueError, RecursionError) as error:
            raise PlatformError(f"not JSON: {error}") from error
        if not isinstance(items, list):
            raise PlatformError("not a list of instances")
        decoded = map(_decode_or_skip, items)
        return tuple(item for item in decoded if item is not None)

    def reboot(self, effect: RebootInstance) -> bool:
        """Request a reboot.

        Args:
          effect: The reboot; its operation ID makes it idempotent.
        Returns:
          Whether the instance is back after the reboot.
        Raises:
          PlatformError: There was no valid response; it may have taken effect.
        """
        url = f"{self._url}/{effect.instance}/reboot"
        fields = {"operation": effect.operation, "pool": effect.pool}
        response = _call(self._pool, "POST", url, fields=fields)
        return response.status == 200


class PlatformEffectHandler:
    """Performs a steward's effects on the platform."""

    def __init__(
        self, address: str, stream: str, post_event: Callable[[Event], None]
    ):
        """Create the threads; `start` starts them.

        Args:
          address: "host:port" of the platform.
          stream: Name of the log's stream.
          post_event: Queues an event for the interpreter.
        """
        self._log = LogClient(address, stream)
        self._append_log = LogClient(address, stream)
        self._instances = InstanceClient(address)
        self._threads = [
            EffectThread("log-read", self._read, post_event),
            EffectThread("log-append", self._append, post_event),
            EffectThread("instances", self._call_instances, post_event),
        ]

    def start(self) -> None:
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def perform(self, effect) -> None:
        """Perform an effect in its thread.

        Args:
          effect: ReadLog, Append, ListInstances or RebootInstance.
        """
        read_thread, append_thread, instance_thread = self._threads
        match effect:
            case ReadLog():
                read_thread.submit(effect)
            case Append():
                append_thread.submit(effect)
            case _:
                instance_thread.submit(effect)

    def _read(self, effect: ReadLog) -> Event:
        earliest, entries = self._log.read(effect.from_offset, READ_WAIT_MS)
        return LogRead(now_ms(), entries, earliest)

    def _append(self, effect: Append) -> Event:
        self._append_log.append(effect.record)
        return AppendEnded(now_ms(), effect.record.record_id, True)

    def _call_instances(self, effect) -> Event:
        match effect:
            case RebootInstance():
                done = self._instances.reboot(effect)
                return InstanceRebooted(now_ms(), effect.operation, done)
        return InstancesListed(now_ms(), self._instances.list())


class EffectThread:
    """A thread that performs effects sequentially."""

    def __init__(
        self,
        name: str,
        handler: Callable[[Effect], Event],
        post_event: Callable[[Event], None],
    ):
        """Create the thread.

        Args:
          name: Name of the thread.
          handler: Performs an effect and returns its event; it may block.
          post_event: Queues an event for the interpreter.
        """
        self._effects: SimpleQueue = SimpleQueue()
        self._handler = handler
        self._post_event = post_event
        self._thread = threading.Thread(
            target=self._run, name=name, daemon=True
        )

    def start(self) -> None:
        """Start the thread; it runs until the process exits."""
        self._thread.start()

    def submit(self, effect) -> None:
        """Queue an effect.

        Args:
          effect: The effect to perform.
        """
        self._effects.put(effect)

    def _run(self) -> None:
        while True:
            perform_and_post(
                self._handler, self._effects.get(), self._post_event
            )


def _new_pool() -> PoolManager:
    timeout = Timeout(connect=CONNECT_TIMEOUT_S, read=RESPONSE_TIMEOUT_S)
    return PoolManager(retries=False, timeout=timeout)


def _call(pool: PoolManager, method: str, url: str, **kwargs) -> HTTPResponse:
    """Call the platform; raise PlatformError for every failure."""
    if "fields" in kwargs and method == "POST":
        kwargs["encode_multipart"] = False
    try:
        response = pool.request(method, url, **kwargs)
    except (HTTPError, OSError) as error:
        raise PlatformError(type(error).__name__) from error
    if response.status >= 500:
        raise PlatformError(f"status {response.status}")
    return response


def _decode_or_skip(item) -> Instance | None:
    """Decode an item of the platform's instance list, or log why not."""
    try:
        if type(item) is not dict:
            raise DecodeError("not an object")
        return _decode_instance(item)
    except DecodeError as error:
        LOGGER.warning(
            "%d %s item=%a reason=%a",
            RECORD_UNREADABLE.number,
            RECORD_UNREADABLE.name,
            str(item)[:MAX_LOGGED_CHARS],
            str(error),
        )
        return None


def _decode_instance(item: dict) -> Instance:
    kind = TARGET_KIND_BY_NAME.get(decode_text(item, "kind"))
    if kind is None:
        raise DecodeError("unknown kind")
    address = decode_text(item, "address")
    if not is_address(address):
        raise DecodeError("address is not host:port")
    return Instance(
        name=decode_text(item, "name"),
        kind=kind,
        data_centre=decode_text(item, "data_centre"),
        rack=decode_text(item, "rack"),
        address=address,
        pool=decode_text(item, "pool"),
        leaving=decode_boolean(item, "leaving"),
        slots=decode_integer(item, "slots"),
        processors=decode_integer(item, "processors"),
        memory_mb=decode_integer(item, "memory_mb"),
        accelerators=decode_integer(item, "accelerators"),
        boot=decode_text(item, "boot"),
    )
