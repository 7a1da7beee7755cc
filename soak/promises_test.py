"""Tests of the soak's checks: each finds the breach that it is for."""

from dataclasses import replace

import pytest

from soak.callers import Handed
from soak.promises import check
from soak.world import ROOM_MILLI
from standins.jobworker import JobWorker
from standins.jobworker import RunRecord

ID = "00000000000000aa"
JOB = Handed(
    ID, "quotes", "work 1", (1,), accepted=True, states=[(9.0, "completed")]
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


def breaches_of(job, *runs_of_workers):
    """Check one job and the runs of some workers."""
    workers = []
    for number, runs in enumerate(runs_of_workers):
        worker = JobWorker(f"w{number}")
        worker.records = list(runs)
        workers.append(worker)
    return [breach.promise for breach in check([job], workers)]


@pytest.mark.parametrize(
    ("job", "runs", "breaches"),
    [
        (JOB, [[RUN]], []),
        (JOB, [[LAPSED], [replace(RUN, started_s=2.5)]], []),
        (JOB, [[RUN], [replace(RUN, started_s=1.5)]], ["twice at once"]),
        (
            JOB,
            [[RUN], [replace(RUN, started_s=2.5, outcome="stopped")]],
            ["again after done"],
        ),
        (JOB, [[replace(RUN, cpu_milli=ROOM_MILLI + 1)]], ["room"]),
        (JOB, [[replace(RUN, command="other")]], ["unasked"]),
        (
            replace(JOB, accepted=False, refused_all=True),
            [[RUN]],
            ["refused, yet run"],
        ),
        (
            replace(JOB, cancel_sent_s=0.1, cancelled_s=0.2),
            [[replace(RUN, started_s=3.3)]],
            ["cancelled, yet run"],
        ),
        (replace(JOB, unknown=[20.0]), [[RUN]], ["lost"]),
        (replace(JOB, states=[(9.0, "running")]), [[RUN]], ["unfinished"]),
        (JOB, [[LAPSED]], ["completed too soon"]),
    ],
    ids=[
        "kept",
        "run again after its lease",
        "twice at once",
        "again after done",
        "room",
        "unasked",
        "refused",
        "cancelled",
        "lost",
        "unfinished",
        "completed too soon",
    ],
)
def test_breach_is_found(job, runs, breaches):
    assert breaches_of(job, *runs) == breaches
