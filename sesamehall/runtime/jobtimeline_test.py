"""Tests of the timeline of a job that is built from logs."""

import pytest

from sesamehall.runtime.jobtimeline import build_timeline
from sesamehall.runtime.jobtimeline import parse_lines

JOB = "5c0e7a21d94b36f8"
DAY = "2026-01-01 10:00"
LOG = f"""
  1.5 edge-a {DAY}:01,500 INFO 600 call answered call=1 job={JOB}
  1.6 edge-b {DAY}:01,600 INFO 602 job taken in job={JOB}
  1.7 edge-b {DAY}:01,700 INFO 610 run ordered task={JOB}.0.0.0 worker=w1
  1.8 edge-b {DAY}:01,800 INFO 610 run ordered task=ff.0.0.0 worker=w2
  2.0 edge-b {DAY}:02,000 WARNING 621 worker silent worker=w1 tasks=1
  2.1 edge-b {DAY}:02,100 WARNING 621 worker silent worker=w2 tasks=1
  3.0 edge-c {DAY}:03,000 INFO 631 leadership begun epoch=2
  Traceback (most recent call last):
  4.0 edge-c {DAY}:04,000 INFO 603 job finished job={JOB} phase=done
  5.0 edge-c {DAY}:05,000 WARNING 632 leadership lost epoch=2
"""


@pytest.mark.parametrize(
    ("job_id", "numbers"),
    [(JOB, [600, 602, 610, 621, 631, 603]), ("0" * 16, [])],
    ids=["known", "unknown"],
)
def test_timeline_of_a_job(job_id, numbers):
    lines = parse_lines(LOG.splitlines(), "file")
    timeline = build_timeline(lines, job_id)
    assert [line.number for line in timeline] == numbers


@pytest.mark.parametrize(
    ("text", "node"),
    [
        ("2026-01-01 10:00:01,500 INFO 900 node started node=x", "file"),
        ("1.5 edge-a 2026-01-01 10:00:01,500 INFO 900 node", "edge-a"),
    ],
)
def test_node_of_a_line(text, node):
    (line,) = parse_lines([text], "file")
    assert line.node == node
