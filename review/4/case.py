"""Case: while its route is dropped, a job fails after a single failed run."""

import time

from review.harness import CannotRun
from review.harness import Deployment
from review.harness import main
from review.harness import parse_spec
from review.harness import route
from review.harness import step
from review.harness import TROUBLE

ATTEMPTS = 4
FIRST_RUN_MS = 4_000  # then the first run of the work item fails
JOB = "00000000000000b1"
PATH = f"/match/{JOB}"


def fail_once(task: str, spec: str):
    """Let the first run of each work item fail, and the next succeed."""
    _, _, cpu, _ = parse_spec(task, spec)
    if task in SEEN:
        return 0.5, "done", cpu, False
    SEEN.add(task)
    return FIRST_RUN_MS / 1_000, "failed", cpu, False


SEEN: set[str] = set()


def case(deployment: Deployment) -> str:
    """Drop a route for some seconds and add it again unchanged."""
    both = [route("match", "bookings", ATTEMPTS), route("photo", "bookings")]
    deployment.put_manifest(1, both)
    deployment.start_managers()
    job = {"Spec": "work 500 1000", "Steps": [step(1, 1000, 4_000)]}
    if not deployment.submit(PATH, job):
        raise CannotRun("the job was not accepted")
    time.sleep(1.0)
    if TROUBLE:
        deployment.put_manifest(4, [route("photo", "bookings")])
    time.sleep(5.0)  # the run fails meanwhile
    if TROUBLE:
        deployment.put_manifest(7, both)
    time.sleep(6.0)
    status, content = deployment.ask(PATH)
    runs = deployment.all_runs()
    failed = sum(run.ended == "failed" for run in runs)
    if status == 200 and content["State"] == "failed":
        return (
            f"the job is shown as failed after {failed} failed run of its"
            f" work item; its route has Attempts {ATTEMPTS}"
        )
    deployment.record.write("case", f"shown: {status} {content}")
    return ""


main(Deployment(__file__, {"bookings": 4}, behaviour=fail_once), case)
