"""Prometheus counters and histograms that are derived from log events.

Every log event increments a counter, some of them one by a detail as well;
durations in the details of some events are observed in histograms.
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
from sesamehall.core.logevents import RUN_ABANDONED
from sesamehall.core.logevents import RUN_END_LATE
from sesamehall.core.logevents import RUN_ORDERED
from sesamehall.core.managerevents import OrderRefusal
from sesamehall.core.work import RunEnd

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
OTHER_LABEL = "other"
GIVEN_UP_REASONS = ("lease expired", "machine ordered", "not listed")
GIVEN_UP_REASONS += tuple(refusal.value for refusal in OrderRefusal)
# Each has one label, the detail named; values not listed count as "other".
COUNTERS = (
    (
        RUN_ABANDONED,
        "reason",
        "runs_given_up",
        "Runs given up by the leader, by reason.",
        GIVEN_UP_REASONS,
    ),
    (
        RUN_END_LATE,
        "end",
        "late_ends",
        "Reported ends of runs that the leader does not track, by end.",
        tuple(end.value for end in RunEnd),
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
        self._counters_by_detail = {
            (event.number, detail): self._build_counters(
                detail, name, text, values
            )
            for event, detail, name, text, values in COUNTERS
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

    def _build_counters(self, detail, name, text, values):
        """Create a counter for each value of its label."""
        counter = Counter(
            f"sesamehall_{name}", text, [detail], registry=self._registry
        )
        return {
            value: counter.labels(value) for value in (*values, OTHER_LABEL)
        }

    def count(self, effect: Log) -> None:
        """Count a log event, also by its details, and observe its durations.

        Args:
          effect: The log event and its details.
        """
        number = effect.event.number
        self._counters_by_number[number].inc()
        for detail in effect.details:
            counters = self._counters_by_detail.get((number, detail.name))
            if counters is not None:
                counters.get(detail.value, counters[OTHER_LABEL]).inc()
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
