"""Short soak runs with fixed seeds on real manager processes."""

import re

import pytest

from soak.callers import LoadGenerator
from soak.cluster import Cluster
from soak.cluster import Layout
from soak.main import await_completion
from soak.main import await_start
from soak.main import run_seed
from soak.oddentries import ODD_ENTRIES
from soak.promises import check_invariants

# Seed and duration in seconds. Seeds that have failed stay, with the cause.
RUNS = [
    (1, 6.0),  # has not failed: kills all managers while some are suspended
    # "rerun after done" on a worker whose link stalled for 3.8 s: it reported
    # the end of a run only after its lease had expired and the task ran
    # elsewhere, which the protocol allows. The check had wrongly counted the
    # end as acknowledged in time.
    (712, 12.0),
]


@pytest.mark.parametrize(("seed", "seconds"), RUNS)
def test_invariants_hold(seed, seconds, tmp_path):
    assert not run_seed(seed, tmp_path, seconds)


ODD_ENTRY_JOBS_S = 6.0  # several times as long as the role can stay vacant


# Guards against a fleet without a leader: one entry of another writer, whose
# worker's record could not be encoded, took the role from each leader in turn.
def test_odd_entries_cost_neither_role_nor_work(tmp_path):
    cluster = Cluster(tmp_path, Layout(), seed=7)
    try:
        for index in range(3):
            cluster.start_manager(index)
        addresses = [cluster.front_address(index) for index in range(3)]
        load = LoadGenerator(addresses, 7)
        await_start(load)
        for entry in ODD_ENTRIES:
            cluster.store.put(entry.topic, entry.key, entry.value)
        load.submit_for(ODD_ENTRY_JOBS_S, 4.0)
        await_completion(load)
        violations = check_invariants(load.jobs, cluster.workers)
    finally:
        cluster.close()
    logs = "".join(
        path.read_text(errors="replace") for path in tmp_path.glob("*.log")
    )
    assert not violations
    assert "Traceback" not in logs
    assert logs.count(" 631 leadership begun") == 1
    silent = set(re.findall(r" 621 worker silent worker=(\S+)", logs))
    moved = set(re.findall(r" 650 machine ordered .* worker=(\S+)", logs))
    assert silent <= moved
    for entry in ODD_ENTRIES:
        lines = [
            line
            for line in logs.splitlines()
            if " 302 " in line and f"key={entry.key!a}" in line
        ]
        assert len(lines) <= 3 * 2  # each manager; at most once a change
        assert all(len(line) < 1_000 for line in lines)
