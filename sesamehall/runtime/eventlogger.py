"""Writing of numbered log events, with a statsd counter for each."""

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


class EventLogger:
    """Writes log events and counts them by number in statsd.

    The format of a line is: number, name, and a name=value pair per detail.
    """

    def __init__(self, node_name: str, statsd_address: str):
        """Create the logger and the statsd client, if one is configured.

        Args:
          node_name: Name of the node, used in the prefix of the metrics.
          statsd_address: "host:port", or "" for none.
        """
        self._statsd = None
        if statsd_address:
            host, _, port = statsd_address.rpartition(":")
            self._statsd = StatsClient(
                host, int(port), prefix=f"sesamehall.{node_name}"
            )

    def write(self, effect: Log) -> None:
        """Write one line and increment its counter.

        Args:
          effect: The log event and its details.
        """
        event = effect.event
        details = " ".join(
            f"{detail.name}={_quote_value(detail.value)}"
            for detail in effect.details
        )
        LOGGER.log(event.level, "%d %s %s", event.number, event.name, details)
        if self._statsd is not None:
            self._statsd.incr(f"events.{event.number}")


def open_history(path: str) -> Callable[[Event], None] | None:
    """Open the history file, which records every event for replay.

    Args:
      path: Path of the file, or "" for none.
    Returns:
      A function that appends an event to the file, or None.
    """
    if not path:
        return None
    file = open(path, "ab", buffering=0)

    def record(event: Event) -> None:
        body = pack(event)
        file.write(len(body).to_bytes(4, "big") + body)

    return record


def _quote_value(value):
    """Quote a value that contains spaces or unprintable characters."""
    text = str(value)
    if text.isprintable() and " " not in text and text:
        return text
    return repr(text)
