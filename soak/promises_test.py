"""Tests that the soak's checks find each kind of violation."""

from dataclasses import replace

import pytest

from soak.callers import SubmittedJob
from soak.cluster import WORKER_CPU_MILLI
from soak.promises import check_invariants
from standins.jobworker import JobWorker
from standins.jobworker import RunRecord

ID = "00000000000000aa"
JOB = SubmittedJob(
    ID,
    "quotes",
    "work 1",
    (1,),
    accepted=True,
    observed_states=[(9.0, "completed")],
)
RUN = RunRecord(
    f"{ID}.0.0.0",
    1,
    1,
    "work 1",
    500,
    1.0,
    2.0,
    "done",
    2.0,
    acknowledged=True,
)
LAPSED = replace(RUN, outcome="lapsed", acknowledged=False)
FAILED_LATER = replace(RUN, outcome="failed", started_s=3.0, ended_s=3.5)


def violations_of(job, *runs_of_workers):
    """Check a job against the runs recorded by some workers."""
    workers = []
    for number, runs in enumerate(runs_of_workers):
        worker = JobWorker(f"w{number}")
        worker.records = list(runs)
        workers.append(worker)
    return [
        violation.invariant for violation in check_invariants([job], workers)
    ]


@pytest.mark.parametrize(
    ("job", "runs", "violations"),
    [
        (JOB, [[RUN]], []),
        (JOB, [[LAPSED], [replace(RUN, started_s=2.5)]], []),
        (JOB, [[RUN], [replace(RUN, started_s=1.5)]], ["concurrent runs"]),
        (
            JOB,
            [[RUN], [replace(RUN, started_s=2.5, outcome="stopped")]],
            ["rerun after done"],
        ),
        (
            JOB,
            [[RUN], [FAILED_LATER, replace(RUN, started_s=4.0, ended_s=5.0)]],
            ["rerun after done", "rerun after done"],
        ),
        (
            JOB,
            [
                [replace(RUN, ended_s=6.0)],
                [replace(FAILED_LATER, outcome="lost")],
                [replace(RUN, started_s=4.0, ended_s=5.0)],
            ],
            ["concurrent runs", "concurrent runs"],
        ),
        (
            JOB,
            [
                [replace(RUN, outcome="", ended_s=0.0)],
                [FAILED_LATER],
                [replace(RUN, started_s=4.0, ended_s=5.0)],
            ],
            ["concurrent runs", "concurrent runs"],
        ),
        (
            JOB,
            [[replace(RUN, cpu_milli=WORKER_CPU_MILLI + 1)]],
            ["over capacity"],
        ),
        (JOB, [[replace(RUN, command="other")]], ["not submitted"]),
        (
            replace(JOB, accepted=False, all_rejected=True),
            [[RUN]],
            ["rejected job ran"],
        ),
        (
            replace(JOB, cancel_sent_s=0.1, cancel_confirmed_s=0.2),
            [[replace(RUN, started_s=3.3)]],
            ["cancelled job ran"],
        ),
        (replace(JOB, not_found_s=[20.0]), [[RUN]], ["lost"]),
        (
            replace(JOB, observed_states=[(9.0, "running")]),
            [[RUN]],
            ["unfinished"],
        ),
        (JOB, [[LAPSED]], ["completed early"]),
    ],
    ids=[
        "no violation",
        "rerun after its lease expired",
        "concurrent runs",
        "rerun after done",
        "rerun after done and failure",
        "concurrent with the run after the next",
        "concurrent with all later runs",
        "over capacity",
        "not submitted",
        "rejected",
        "cancelled",
        "lost",
        "unfinished",
        "completed early",
    ],
)
def test_violation_is_found(job, runs, violations):
    assert violations_of(job, *runs) == violations
