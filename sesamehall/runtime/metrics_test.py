"""Tests of the metrics that are derived from log events."""

import pytest

from sesamehall.core.effects import log
from sesamehall.core.logevents import DECISIONS_TALLIED
from sesamehall.core.logevents import JOB_FINISHED
from sesamehall.core.logevents import RUN_ABANDONED
from sesamehall.core.logevents import RUN_END_LATE
from sesamehall.core.logevents import RUN_ORDERED
from sesamehall.core.logevents import WORKER_SILENT
from sesamehall.runtime.metrics import Metrics


def text_of(metrics):
    """Scrape the metrics."""
    seen = []
    (body,) = metrics({}, lambda status, headers: seen.append(status))
    assert seen == ["200 OK"]
    return body.decode()


@pytest.mark.parametrize(
    ("lines", "expected"),
    [
        (
            [log(WORKER_SILENT, worker="w")] * 2,
            'sesamehall_events_total{name="worker silent",number="621"} 2.0',
        ),
        (
            [log(JOB_FINISHED, job="j", took_ms=700)],
            'sesamehall_job_took_seconds_bucket{le="1.0"} 1.0',
        ),
        (
            [log(RUN_ORDERED, task="t", waited_ms=40)],
            "sesamehall_task_waited_seconds_sum 0.04",
        ),
        ([log(JOB_FINISHED, job="j")], "sesamehall_job_took_seconds_sum 0.0"),
        (
            [log(DECISIONS_TALLIED, oldest_ms=420, busy_ms=30)],
            "sesamehall_event_age_seconds_sum 0.42",
        ),
        (
            [log(DECISIONS_TALLIED, oldest_ms=420, busy_ms=30)],
            "sesamehall_deciding_seconds_sum 0.03",
        ),
        (
            [log(RUN_ABANDONED, task="t", reason="not listed")] * 2,
            'sesamehall_runs_given_up_total{reason="not listed"} 2.0',
        ),
        (
            [log(RUN_ABANDONED, task="t", reason="unhealthy")],
            'sesamehall_runs_given_up_total{reason="unhealthy"} 1.0',
        ),
        (
            [log(RUN_ABANDONED, task="t", reason=f"at {n}") for n in "abc"],
            'sesamehall_runs_given_up_total{reason="other"} 3.0',
        ),
        (
            [log(RUN_END_LATE, task="t", end="done")],
            'sesamehall_late_ends_total{end="done"} 1.0',
        ),
        ([], 'sesamehall_late_ends_total{end="failed"} 0.0'),
    ],
    ids=[
        "counter",
        "bucket",
        "sum",
        "event without its duration",
        "first of two durations",
        "second of two durations",
        "run given up",
        "run refused",
        "run given up for another reason",
        "late end",
        "no late end",
    ],
)
def test_metrics(lines, expected):
    metrics = Metrics()
    for line in lines:
        metrics.count(line)
    assert expected in text_of(metrics)
