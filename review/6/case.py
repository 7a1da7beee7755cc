"""One entry that cannot be read hangs every manager in turn."""

from concurrent.futures import ThreadPoolExecutor
import json
import threading
import time

from review.harness2.deployment import CannotRunError
from review.harness2.deployment import Deployment
from review.harness2.deployment import new_job_id
from review.harness2.deployment import Record
from review.harness2.deployment import run_case
from review.harness2.deployment import step

MANAGERS = 3
STEPS = 6  # of each job, one after the other
WORK_S = 0.5
JOBS = 6
RECORD_BYTES = 262_144  # most bytes of a record in the store
ENTRY_BYTES = 200_000
SETTLE_S = 2.0
TRAFFIC_S = 10.0  # of further calls, after the entry was written
FINISH_S = 14  # Bounds.finish_s
POLL_S = 1.0


def odd_entry() -> bytes:
    """Build an entry of another writer that cannot be read.

    It is a JSON document with another one as a text, as loggers write them,
    of which only the beginning was written.
    """
    rows = [{"host": f"h{number}", "ok": True} for number in range(20_000)]
    document = {"Service": "other", "Dump": json.dumps(rows)}
    return json.dumps(document).encode()[:ENTRY_BYTES]


def case(record: Record, trouble: bool) -> str:
    """Write the entry while jobs run; return what broke the rule."""
    deployment = Deployment(record, managers=MANAGERS)
    try:
        return _play(deployment, record, trouble)
    finally:
        deployment.close()


def _play(deployment, record, trouble):
    for index in range(MANAGERS):
        deployment.start_manager(index)
    deployment.await_ready()
    time.sleep(SETTLE_S)
    accepted = []
    for number in range(JOBS):
        job_id = new_job_id()
        steps = [
            step(2, WORK_S, [earlier - 1] if earlier else None)
            for earlier in range(STEPS)
        ]
        if deployment.submit(number % MANAGERS, job_id, steps, WORK_S) != 200:
            raise CannotRunError("a job was not accepted before the entry")
        accepted.append(job_id)
    # Without the disruption, the other writer leaves an entry as well, one
    # that is short.
    entry = odd_entry() if trouble else b"\xff\x00\xfe"
    if len(entry) > RECORD_BYTES - 100:
        raise CannotRunError("the entry is larger than a record")
    deployment.store.put("keyed.servers", "other-writer-1", entry)
    record.write(f"other writer: entry of {len(entry)} bytes")
    silence = _StatusChecks(deployment, record)
    end_s = time.monotonic() + TRAFFIC_S
    number = 0
    while time.monotonic() < end_s:
        job_id = new_job_id()
        index = number % MANAGERS
        if deployment.submit(index, job_id, [step(1, WORK_S)], WORK_S) == 200:
            accepted.append(job_id)
        number += 1
        time.sleep(POLL_S)
    record.write("clients: end of the traffic")
    time.sleep(FINISH_S)
    unfinished = _ask(deployment, accepted)
    silence.stop()
    deployment.write_runs()
    record.write(
        f"clients: {len(accepted)} jobs accepted, {len(unfinished)} of them"
        f" without a true end: {unfinished}"
    )
    record.write(f"platform: longest silence at /ready {silence.longest_s}")
    if unfinished:
        return (
            f"{len(unfinished)} of {len(accepted)} accepted jobs are not"
            f" answered or not run {FINISH_S} s after the end of the traffic;"
            f" longest silence of each manager {silence.longest_s} s"
        )
    return ""


def _ask(deployment, job_ids):
    """Ask for each job at every manager; list those without an end."""

    def ask(job_id):
        states = []
        for index in range(MANAGERS):
            states.append(deployment.state_of(index, job_id))
            if states[-1] == "completed":
                break
        return states

    with ThreadPoolExecutor(len(job_ids)) as executor:
        states_by_job = list(zip(job_ids, executor.map(ask, job_ids)))
    return [row for row in states_by_job if row[1][-1] != "completed"]


class _StatusChecks:
    """The platform's status checks, once a second at each manager."""

    def __init__(self, deployment, record):
        self.longest_s = [0.0] * MANAGERS
        self._deployment = deployment
        self._stopped = False
        for index in range(MANAGERS):
            threading.Thread(
                target=self._check, args=(index,), daemon=True
            ).start()

    def _check(self, index):
        answered_s = time.monotonic()
        while not self._stopped:
            if self._deployment.is_ready(index):
                answered_s = time.monotonic()
            silent_s = round(time.monotonic() - answered_s, 1)
            self.longest_s[index] = max(self.longest_s[index], silent_s)
            time.sleep(1)

    def stop(self):
        self._stopped = True


run_case(case)
