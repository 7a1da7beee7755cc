"""QUOTA: a zone is cut off; the next leader exceeds a tenant's Cap."""

import os
from pathlib import Path
import sys
import time

from review.harness3.lab import CouldNotRun
from review.harness3.lab import HOST
from review.harness3.lab import KEY
from review.harness3.lab import Lab
from review.harness3.lab import new_job_id
from review.harness3.lab import Place

FOLDER = Path(__file__).parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("zone-a", "zone-b", "zone-c")
TENANT = "tenant-1"
CAP_CPU = 12_000
ITEM_CPU = 1_000
OVERRUN = 0.1  # QuotaOverrun
CUT_S = 6.0  # the site's zone cuts last 5.1 to 6.4 s


def manifest() -> dict:
    """Build the manifest: one queue, one tenant with a Cap."""
    return {
        "Version": 3,
        "Routes": [
            {
                "Name": "bookings",
                "Host": HOST,
                "PathPrefix": "/bookings/",
                "Service": "svc-bookings",
                "Attempts": 4,
                "Stretch": 1.6,
                "TargetLatencyMs": 600,
            }
        ],
        "Services": [{"Name": "svc-bookings"}],
        "Tenants": [
            {
                "Name": TENANT,
                "ApiKeys": [KEY],
                "Weight": 10,
                "Cap": {"Cpu": CAP_CPU},
            }
        ],
    }


def lasting_job() -> dict:
    """Build a job whose work items last, spread over three executors."""
    return {
        "Spec": "last",
        "Steps": [
            {
                "TaskCount": 12,
                "Cpu": ITEM_CPU,
                "MemMb": 64,
                "EstimateMs": 1_000,
                "LongRunning": True,
                "MaxPerServer": 4,
            }
        ],
    }


def short_job() -> dict:
    """Build a job of four work items of 3 s."""
    return {
        "Spec": "work 3.0",
        "Steps": [
            {
                "TaskCount": 4,
                "Cpu": ITEM_CPU,
                "MemMb": 64,
                "EstimateMs": 3_000,
            }
        ],
    }


def run(lab: Lab) -> int:
    """Play the case; return 1 if the rule was broken, else 0."""
    broken = []

    def check(life, started):
        cpu = ITEM_CPU * len(lab.running())
        if cpu > CAP_CPU * (1 + OVERRUN) + ITEM_CPU:
            broken.append(cpu)
            lab.note(
                f"QUOTA broken: {TENANT} has {cpu} running after the start of"
                f" {started.task}, Cap {CAP_CPU}"
            )

    lab.on_start = check
    lab.put_manifest(manifest())
    for index, zone in enumerate(ZONES):
        place = Place(f"ex-{index}", "svc-bookings", zone, f"r1-{index}")
        lab.add_executor(place, {"Cpu": 16_000, "MemMb": 32_000, "Gpu": 0})
    lab.start_managers()
    time.sleep(2)
    if not lab.submit(0, "/bookings/", new_job_id(), lasting_job()):
        raise CouldNotRun("the first job is not accepted")
    until_s = time.monotonic() + 10
    while len(lab.running()) < 12:
        if time.monotonic() > until_s:
            raise CouldNotRun("the first job does not start")
        time.sleep(0.1)
    time.sleep(2)
    leader, epoch = lab.leader()
    others = [index for index in range(len(ZONES)) if index != leader]
    lab.note(f"leader: manager {leader}, fence {epoch}")
    if TROUBLE:
        # The link of the leader's zone: its manager loses the store, and the
        # other managers, which have later fences, lose its executor.
        lab.note(f"{ZONES[leader]} is cut off")
        lab.store_open[leader] = False
        place = lab.places[f"ex-{leader}"]
        place.life.reaches = lambda token: token <= epoch
        place.registers = False
    cut_s = time.monotonic()
    while time.monotonic() - cut_s < CUT_S:
        lab.submit(others[0], "/bookings/", new_job_id(), short_job())
        time.sleep(0.5)
    if TROUBLE:
        lab.note("the cut ends")
        place.life.reaches = lambda token: True
        place.registers = True
        lab.store_open[leader] = True
    time.sleep(6)
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
