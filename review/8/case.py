"""An upkeep and a limit of absences wait for each other for good."""

import json
import time

from review.harness2.deployment import CannotRunError
from review.harness2.deployment import Deployment
from review.harness2.deployment import new_job_id
from review.harness2.deployment import QUEUE
from review.harness2.deployment import Record
from review.harness2.deployment import run_case
from review.harness2.deployment import step
from review.harness2.deployment import WORKER_CPU_MILLI
from soak.proxy import ProxyMode

MANAGERS = 3
WORKERS = 8  # of a service on the sheet
FULL = WORKERS - 2  # executors that others fill
LOST = WORKERS - 2  # number of the executor that is lost
ROOM = WORKERS - 1  # number of the executor that has room, and of its machine
LABEL = "c"  # of the executor that is lost
PAIR_CPU = 2_000  # of each of the two work items of the job in question
DAY_S = 3600.0
SETTLE_S = 2.5
FILL_S = 10.0
WAVE_AFTER_S = 0.5  # from the loss of the executor to the wave
COMPLETE_BY_S = 27  # the site's waves: for_s 26 to 27
ENTRY_LAPSE_S = 4.5  # three heartbeat intervals
LEASE_END_S = 6.0  # HoldMaxMs: by then nothing of the lost executor runs
CALM_S = 4.0  # LOST: the 3 s and the 4 s before are calm
IDLE_S = 3.0  # LOST: nothing runs for 3 s
WATCH_S = 45.0  # well beyond the wave's time


def case(record: Record, trouble: bool) -> str:
    """Lose an executor just before a wave; return what broke the rule."""
    deployment = Deployment(
        record,
        managers=MANAGERS,
        workers=WORKERS,
        worker_labels={LOST: ["a", LABEL, "r1-1"]},
    )
    try:
        return _play(deployment, record, trouble)
    finally:
        deployment.close()


def _lasting(deployment, record, name, count, cpu, **fields):
    """Hand in a job whose work items last, and wait until they run."""
    job_id = new_job_id()
    steps = [step(count, 0.7, Cpu=cpu, LongRunning=True, **fields)]
    if deployment.submit(0, job_id, steps, DAY_S) != 200:
        raise CannotRunError(f"the {name} job was not accepted")
    deadline_s = time.monotonic() + FILL_S
    while len(_active(deployment, job_id)) < count:
        if time.monotonic() > deadline_s:
            raise CannotRunError(f"the {name} job does not run")
        time.sleep(0.05)
    time.sleep(SETTLE_S)
    hosts = sorted(set(_active(deployment, job_id).values()))
    record.write(f"clients: {name} job {job_id} runs on {hosts}")
    return job_id


def _active(deployment, job_id):
    """Return the executor of each task of a job that runs now."""
    return {
        run.task_id: worker_id
        for worker_id, run in deployment.runs()
        if run.task_id.startswith(job_id) and not run.outcome
    }


def _play(deployment, record, trouble):
    for index in range(MANAGERS):
        deployment.start_manager(index)
    deployment.await_ready()
    ids = list(deployment.workers)
    lost, room = ids[LOST], ids[ROOM]
    _lasting(deployment, record, "filling", FULL, WORKER_CPU_MILLI)
    # This executor keeps room for one of the pair.
    _lasting(
        deployment,
        record,
        "labelled",
        1,
        WORKER_CPU_MILLI - PAIR_CPU,
        Requires=LABEL,
    )
    pair = _lasting(deployment, record, "pair", 2, PAIR_CPU, MayMiss=1)
    hosts = sorted(_active(deployment, pair).values())
    if hosts != [lost, room]:
        raise CannotRunError(f"the pair runs on {hosts}, not on two executors")
    deployment.workers[lost].terminate()
    deployment.worker_proxies[lost].mode = ProxyMode.STALL
    deployment.worker_proxies[lost].reset()
    lost_s = time.monotonic()
    record.write(f"executor {lost}: is lost for good")
    if trouble:
        time.sleep(WAVE_AFTER_S)
        machine = f"m{ROOM}"
        deployment.cloud.add_wave(1, (machine,))
        wave = {
            "Wave": 1,
            "Machines": [machine],
            "CompleteByS": COMPLETE_BY_S,
            "Cap": 1,
        }
        deployment.store.put("keyed.op", "wave/1", json.dumps(wave).encode())
        record.write(f"operator: wave 1 of {machine}, that of {room}")
    _sleep_until(lost_s + ENTRY_LAPSE_S)
    deployment.lapse(lost)
    deployment.cloud.set_worker(f"m{LOST}", "")
    _sleep_until(lost_s + LEASE_END_S)
    idle_s = _watch(deployment, pair, room)
    orders = list(deployment.cloud.orders)
    state = deployment.call(1, "GET", f"/{QUEUE}/{pair}")
    deployment.write_runs()
    record.write(
        f"pair: {state}; with less than two running for {idle_s:.1f} s;"
        f" orders for machines {orders}"
    )
    # So that the time of the wave is over as well.
    if idle_s > COMPLETE_BY_S + CALM_S + IDLE_S:
        free = WORKER_CPU_MILLI - PAIR_CPU
        return (
            f"an accepted work item that lasts, of {PAIR_CPU}, has nothing"
            f" running for {idle_s:.0f} s; {free} are free on an executor"
            f" that is up, and the upkeep has not begun ({len(orders)} orders)"
        )
    return ""


def _watch(deployment, job_id, worker_id):
    """Return how long one of the pair had nothing running at most.

    The executor with the room has to be up all the while.
    """
    since_s = time.monotonic()
    longest_s = 0.0
    end_s = since_s + WATCH_S
    while time.monotonic() < end_s:
        for worker in deployment.workers.values():
            worker.end_due_runs()
        now_s = time.monotonic()
        up = deployment.workers[worker_id].alive
        if len(_active(deployment, job_id)) == 2 or not up:
            since_s = now_s
        longest_s = max(longest_s, now_s - since_s)
        time.sleep(0.05)
    return longest_s


def _sleep_until(at_s):
    time.sleep(max(at_s - time.monotonic(), 0))


run_case(case)
