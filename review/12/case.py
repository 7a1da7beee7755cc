"""LOST: a tenant at its Cap keeps the advice service from all others."""

import os
from pathlib import Path
import sys
import time

from review.harness3.lab import Advice
from review.harness3.lab import CouldNotRun
from review.harness3.lab import HOST
from review.harness3.lab import KEY
from review.harness3.lab import Lab
from review.harness3.lab import new_job_id
from review.harness3.lab import Place

FOLDER = Path(__file__).parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("zone-a", "zone-b")
EXECUTORS = 8
OTHER_KEY = "key-of-the-other-tenant"
CAP_CPU = 4_000  # of the tenant that sends more than it may run
OTHER_CAP_CPU = 40_000
EXCESS_JOBS = 12
DECIDE_MS = 200
INTERVAL_MS = 20
VALID_MS = 3_000  # as in the example of `fleetbench wire`
FINISH_S = 14.0  # finish_s
NOTHING_S = 3.0  # "for 3 s, a job has nothing running"


def manifest() -> dict:
    """Build the manifest: one queue with Advice, two tenants."""
    return {
        "Version": 3,
        "Routes": [
            {
                "Name": "roster",
                "Host": HOST,
                "PathPrefix": "/roster/",
                "Service": "svc-bookings",
                "Attempts": 4,
                "Stretch": 1.6,
                "TargetLatencyMs": 600,
                "Advice": {
                    "DecideMs": DECIDE_MS,
                    "IntervalMs": INTERVAL_MS,
                    "ValidMs": VALID_MS,
                },
            }
        ],
        "Services": [{"Name": "svc-bookings"}],
        "Tenants": [
            {
                "Name": "tenant-1",
                "ApiKeys": [KEY],
                "Weight": 10,
                "Cap": {"Cpu": CAP_CPU},
            },
            {
                "Name": "tenant-2",
                "ApiKeys": [OTHER_KEY],
                "Weight": 10,
                "Cap": {"Cpu": OTHER_CAP_CPU},
            },
        ],
    }


def job(spec: str, lasts: bool) -> dict:
    """Build a job of two work items of 1 core."""
    step = {"TaskCount": 2, "Cpu": 1_000, "MemMb": 64, "EstimateMs": 1_000}
    if lasts:
        step["LongRunning"] = True
    return {"Spec": spec, "Steps": [step]}


def submit(lab: Lab, key: str, body: dict) -> str:
    """Submit a job, which has to be accepted."""
    job_id = new_job_id()
    if not lab.submit(0, "/roster/", job_id, body, key):
        raise CouldNotRun("a job is not accepted")
    return job_id


def has_run(lab: Lab, job_id: str) -> bool:
    """Check whether a work item of a job has ever started."""
    return any(
        run.task.startswith(job_id)
        for place in lab.places.values()
        for run in place.life.runs
    )


def run(lab: Lab) -> int:
    """Play the case; return 1 if the rule was broken, else 0."""
    lab.advice = Advice(lab, DECIDE_MS, INTERVAL_MS, VALID_MS)
    lab.put_manifest(manifest())
    for index in range(EXECUTORS):
        zone = ZONES[index % len(ZONES)]
        place = Place(f"ex-{index}", "svc-bookings", zone, f"r1-{index // 4}")
        lab.add_executor(place, {"Cpu": 16_000, "MemMb": 32_000, "Gpu": 0})
    lab.start_managers()
    time.sleep(2)
    # The first tenant uses all of its Cap, and sends more.
    for _ in range(CAP_CPU // 2_000):
        submit(lab, KEY, job("last", True))
    time.sleep(4)
    if len(lab.running()) != CAP_CPU // 1_000:
        raise CouldNotRun("the first jobs do not start")
    if TROUBLE:
        for _ in range(EXCESS_JOBS):
            submit(lab, KEY, job("last", True))
    time.sleep(2)
    # The other tenant hands in a short job and one that lasts.
    others = [
        submit(lab, OTHER_KEY, job("work 1.0", False)),
        submit(lab, OTHER_KEY, job("last", True)),
    ]
    lab.note("end of the traffic")
    time.sleep(FINISH_S + NOTHING_S)
    broken = False
    used = 1_000 * len(lab.running())
    for job_id in others:
        _, answer = lab.call(1, "GET", f"/roster/{job_id}", None, OTHER_KEY)
        if not has_run(lab, job_id):
            broken = True
            lab.note(
                f"LOST broken: nothing of {job_id} has run"
                f" {FINISH_S + NOTHING_S:.0f} s after the traffic; it is"
                f" {answer.get('State')}; its tenant has nothing running,"
                f" {used} of {16_000 * EXECUTORS} of the service are in use"
            )
    return 1 if broken else 0


def main() -> int:
    """Run the case in a deployment of its own."""
    lab = Lab(FOLDER / "record.txt", ZONES)
    keep = os.environ.get("KEEP_LOGS")
    try:
        return run(lab)
    except CouldNotRun as error:
        lab.note(f"could not run: {error}")
        return 2
    finally:
        lab.close(Path(keep) if keep else None)


if __name__ == "__main__":
    sys.exit(main())
