"""Tests of the cost of applying a worker's report.

Guards against a leader that copies its whole state once for each active run:
each report lists all of them.
"""

import pytest

from sesamehall.core import replacing
from sesamehall.core.managereffects import StartRun
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.work import ActiveRun
from sesamehall.core.work import Size
from sesamehall.reducer.jobs import reports
from sesamehall.reducer.jobs import state_updates
from sesamehall.reducer.jobs import workers
from sesamehall.reducer.jobs.testing import activate_jobs
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_report
from sesamehall.reducer.jobs.testing import build_step
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import place_all
from sesamehall.reducer.jobs.testing import task

MAX_COPIES = 4  # copies of the state for a report without changes
TINY = Size(10, 10)


@pytest.mark.parametrize("count", [1, 10, 40])
def test_number_of_state_copies_does_not_depend_on_runs(monkeypatch, count):
    leader = build_leader(build_worker("w"))
    leader = activate_jobs(leader, build_plan(build_step(count, size=TINY)))
    step = place_all(leader)
    assert len(effects_of(step, StartRun)) == count
    active = [
        ActiveRun(task(index), 1, "", percent=40) for index in range(count)
    ]
    copies = []

    def count_copies(value, **changes):
        if isinstance(value, ManagerState):
            copies.append(sorted(changes))
        return replacing.replace(value, **changes)

    for module in (state_updates, reports, workers):
        monkeypatch.setattr(module, "replace", count_copies)
    step = reports.apply_report(step.state, build_report("w", active))
    assert [run.percent for run in step.state.runs_by_task.values()] == (
        [40] * count
    )
    assert len(copies) <= MAX_COPIES
