"""Prometheus counters and histograms that are derived from log events.

Every log event increments a counter; durations in the details of some events
are observed in histograms.
"""

from collections.abc import Iterable

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import generate_latest
from prometheus_client import Histogram
from prometheus_client.exposition import CONTENT_TYPE_PLAIN_0_0_4

from sesamehall.core.effects import Log
from sesamehall.core.logevents import CALL_ANSWERED
from sesamehall.core.logevents import CALL_REJECTED
from sesamehall.core.logevents import DECISIONS_TALLIED
from sesamehall.core.logevents import JOB_FINISHED
from sesamehall.core.logevents import LOG_EVENTS
from sesamehall.core.logevents import RUN_ORDERED

BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 3, 5, 10, 30)
HISTOGRAMS = (
    (CALL_ANSWERED, "took_ms", "call_answered", "Time to a call's answer."),
    (CALL_REJECTED, "took_ms", "call_rejected", "Time to a call's rejection."),
    (RUN_ORDERED, "waited_ms", "task_waited", "From a job's arrival."),
    (JOB_FINISHED, "took_ms", "job_took", "From a job's arrival to its end."),
    (
        DECISIONS_TALLIED,
        "oldest_ms",
        "event_age",
        "Greatest age of an event when it was taken, by second.",
    ),
    (
        DECISIONS_TALLIED,
        "busy_ms",
        "deciding",
        "Time spent on decisions in a second.",
    ),
)


class Metrics:
    """The counters and histograms of one process, as a WSGI application."""

    def __init__(self):
        """Create the metrics with all counts at zero."""
        self._registry = CollectorRegistry(auto_describe=False)
        self._event_counter = Counter(
            "sesamehall_events",
            "Log lines by number and name (docs/EVENTS.md).",
            ["number", "name"],
            registry=self._registry,
        )
        self._counters_by_number = {
            event.number: self._event_counter.labels(
                str(event.number), event.name
            )
            for event in LOG_EVENTS
        }
        self._histograms_by_detail = {
            (event.number, detail): Histogram(
                f"sesamehall_{name}_seconds",
                text,
                buckets=BUCKETS_S,
                registry=self._registry,
            )
            for event, detail, name, text in HISTOGRAMS
        }

    def count(self, effect: Log) -> None:
        """Count a log event and observe its durations.

        Args:
          effect: The log event and its details.
        """
        number = effect.event.number
        self._counters_by_number[number].inc()
        for detail in effect.details:
            histogram = self._histograms_by_detail.get((number, detail.name))
            if histogram is not None:
                histogram.observe(detail.value / 1_000)

    def __call__(self, environ: dict, start_response) -> Iterable[bytes]:
        """Serve the metrics in the Prometheus text format.

        Args:
          environ: The request.
          start_response: Receives status and headers.
        Returns:
          The body of the response.
        """
        body = generate_latest(self._registry)
        headers = [
            ("Content-Type", CONTENT_TYPE_PLAIN_0_0_4),
            ("Content-Length", str(len(body))),
        ]
        start_response("200 OK", headers)
        return [body]
