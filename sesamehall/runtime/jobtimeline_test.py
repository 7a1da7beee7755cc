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


AGAIN_LOG = f"""
  1.1 edge-b {DAY}:01,100 INFO 610 run ordered task={JOB}.0.0.0 run=1 worker=w1
  1.2 edge-b {DAY}:01,200 INFO 625 run given up task={JOB}.0.0.0 worker=w1
  1.3 edge-b {DAY}:01,300 INFO 612 run ended task={JOB}.0.0.0 worker=w1 seq=5
  1.4 edge-b {DAY}:01,400 INFO 627 end of an untracked run task={JOB}.0.0.0
"""


@pytest.mark.parametrize(
    ("text", "shown"),
    [
        ("01,350 INFO 645 records stored ends=w2:9,w1:5 progress=''", True),
        ("01,350 INFO 645 records stored ends=w1:7", True),
        ("01,350 INFO 645 records stored ends=w1:4", False),
        ("01,350 INFO 645 records stored ends=w11:5", False),
        ("01,350 INFO 645 records stored ends=''", False),
        ("01,250 INFO 645 records stored ends=w1:5", False),
        (f"01,250 INFO 645 records stored progress=ff,{JOB}", True),
        ("01,150 INFO 626 runs not listed worker=w1 runs=1", True),
        ("01,150 INFO 626 runs not listed worker=w2 runs=1", False),
        ("01,150 INFO 629 worker lease over worker=w1", True),
        ("01,150 INFO 637 earlier leaders' renewals epoch=3", True),
        ("01,150 INFO 638 leadership confirmed by a retry epoch=3", True),
        ("01,150 WARNING 647 records left out keys=worker/w1", True),
        ("01,150 INFO 657 stale machine answer worker=w1", True),
        ("09,150 INFO 657 stale machine answer worker=w1", False),
        ("01,150 INFO 628 worker used again worker=w1", True),
        ("01,150 INFO 624 ends held back worker=w1", True),
    ],
)
def test_lines_that_explain_a_second_run(text, shown):
    lines = [f"1.0 edge-b {DAY}:{text}", *AGAIN_LOG.splitlines()]
    timeline = build_timeline(parse_lines(lines, "file"), JOB)
    number = int(text.split()[2])
    assert (number in [line.number for line in timeline]) is shown
    assert {610, 612, 625, 627} <= {line.number for line in timeline}


def test_only_the_first_write_that_covers_an_end_is_shown():
    stored = [
        f"1.5 edge-b {DAY}:01,5{n}0 INFO 645 records stored ends=w1:{n + 4}"
        for n in range(4)
    ]
    lines = [*stored, *AGAIN_LOG.splitlines()]
    timeline = build_timeline(parse_lines(lines, "file"), JOB)
    assert [line.text for line in timeline if line.number == 645] == [
        "records stored ends=w1:5"
    ]


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
