"""Numbered log lines and the counters that go with them."""

from collections.abc import Callable
import logging
import sys

from statsd import StatsClient

from sesamehall.codecs.packing import pack
from sesamehall.core.effects import Log
from sesamehall.core.events import Event

LOGGER = logging.getLogger("sesamehall")
LINE_FORMAT = "%(asctime)s %(levelname)s %(message)s"


def set_up_logging() -> None:
    """Send log lines to standard output."""
    logging.basicConfig(
        stream=sys.stdout, level=logging.INFO, format=LINE_FORMAT
    )


class Logbook:
    """Writes log lines and counts them.

    A line reads: number, name, then name=value for each detail.
    """

    def __init__(self, node_name: str, statsd_address: str):
        """Open the way to the metrics daemon, if there is one.

        Args:
          node_name: Name of the node, part of every metric's name.
          statsd_address: "host:port", or "" for none.
        """
        self._metrics = None
        if statsd_address:
            host, _, port = statsd_address.rpartition(":")
            self._metrics = StatsClient(
                host, int(port), prefix=f"sesamehall.{node_name}"
            )

    def write(self, effect: Log) -> None:
        """Write one line and count it.

        Args:
          effect: The line.
        """
        event = effect.event
        details = " ".join(
            f"{detail.name}={_quote(detail.value)}"
            for detail in effect.details
        )
        LOGGER.log(event.level, "%d %s %s", event.number, event.name, details)
        if self._metrics is not None:
            self._metrics.incr(f"events.{event.number}")


def open_history(path: str) -> Callable[[Event], None] | None:
    """Open the file that takes every event, for replay.

    Args:
      path: Name of the file, or "" for none.
    Returns:
      A function that writes an event, or None.
    """
    if not path:
        return None
    file = open(path, "ab", buffering=0)

    def record(event: Event) -> None:
        body = pack(event)
        file.write(len(body).to_bytes(4, "big") + body)

    return record


def _quote(value):
    """Keep a value on its line and free of spaces."""
    text = str(value)
    if text.isprintable() and " " not in text and text:
        return text
    return repr(text)
