"""Real managers, one of which the store turns away while it serves the rest.

The failure that it answers: such a node refused all its callers, for 8 to
10 s, although its neighbours reached the store.
"""

import time

import pytest

from soak.callers import LoadGenerator
from soak.callers import SubmittedJob
from soak.cluster import Cluster
from soak.cluster import Layout
from soak.main import await_completion
from soak.main import await_start
from soak.promises import check_invariants
from soak.proxy import ProxyMode

MANAGERS = 3
REGISTERED = " 684 node registered for peers"
REGISTRATION_TIMEOUT_S = 20.0
REGISTRATIONS_READ_S = 2.0  # managers read the stream of jobs each second
MANIFEST_TOO_OLD_S = 3.0  # from then on the node can serve nothing itself
JOBS = 8


@pytest.mark.parametrize("mode", [ProxyMode.STALL, ProxyMode.DROP_RESPONSES])
def test_peer_serves_the_calls_of_a_node_turned_away(tmp_path, mode):
    cluster = Cluster(tmp_path, Layout(managers=MANAGERS), seed=5)
    try:
        for index in range(MANAGERS):
            cluster.start_manager(index)
        await_registrations(tmp_path)
        load = LoadGenerator([cluster.front_address(0)], 5)
        await_start(load)
        cluster.store_proxies[0].mode = mode
        time.sleep(MANIFEST_TOO_OLD_S)
        earlier = len(load.jobs)
        for number in range(JOBS):
            job_id = f"{number:016x}"
            command = f"work 0.1 500 {job_id}"
            load.submit(SubmittedJob(job_id, "quotes", command, (2,)))
        await_completion(load)
        cluster.store_proxies[0].mode = ProxyMode.FORWARD
        violations = check_invariants(load.jobs, cluster.workers)
    finally:
        cluster.close()
    jobs = load.jobs[earlier:]
    assert all(job.accepted for job in jobs)
    assert all(job.observed_states[-1][1] == "completed" for job in jobs)
    assert not violations


def await_registrations(folder):
    """Wait until all managers know their peers."""
    deadline_s = time.monotonic() + REGISTRATION_TIMEOUT_S
    registered = 0
    while registered < MANAGERS:
        assert time.monotonic() < deadline_s
        time.sleep(0.1)
        registered = sum(
            REGISTERED in path.read_text(errors="replace")
            for path in folder.glob("node-*.log")
        )
    time.sleep(REGISTRATIONS_READ_S)
