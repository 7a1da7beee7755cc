"""Case: work of a queue that has changed its service is started again."""

import time

from review.harness import CannotRun
from review.harness import Deployment
from review.harness import main
from review.harness import route
from review.harness import step
from review.harness import TROUBLE
from soak.proxy import ProxyMode
from standins.serving import HttpResponse

CUT_S = 5.5  # as `zone_cut` in the site file
APPLY_S = 2.0  # `ConfigApplyMs`
ITEMS = 4
ITEM_MS = 20_000
ITEM_MILLI = 2_000
LEADER = 0  # in zone z-a, with the workers of `bookings`
FIRST_TERM = 1
PATIENCE_S = 0.4  # a manager waits longer than this for any answer


def cut_zone(deployment: Deployment, until_s: float) -> None:
    """Cut zone z-a off from the store and from zone z-b.

    The leader of the first term is in z-a, its successors are in z-b.  So a
    worker tells by the term of a request from which zone it comes.
    """
    deployment.store_proxies[LEADER].mode = ProxyMode.STALL

    def swallow_from(is_cut):
        def answers(path, order):
            if not is_cut(order.get("FencingToken", 0)):
                return None
            left_s = until_s - time.monotonic()
            time.sleep(max(left_s, 0))
            if left_s < PATIENCE_S:
                return None
            return HttpResponse(503, b"")  # its sender has gone

        return answers

    for worker in deployment.workers_by_pool["bookings"]:
        worker.answers = swallow_from(lambda token: token > FIRST_TERM)
    for worker in deployment.workers_by_pool["quotes"]:
        worker.answers = swallow_from(lambda token: token == FIRST_TERM)


def heal(deployment: Deployment) -> None:
    """End the partition; what it has held up is lost."""
    for worker in deployment.workers:
        worker.answers = None
    deployment.store_proxies[LEADER].reset()
    deployment.store_proxies[LEADER].mode = ProxyMode.FORWARD


def running_twice(deployment: Deployment) -> list[str]:
    """List the runs that overlap an earlier run of the same work item."""
    now_s = deployment.record.now_s()
    found = []
    earlier = {}
    for run in deployment.all_runs():
        for other in earlier.setdefault(run.task, []):
            other_end_s = other.ended_s if other.ended_s >= 0 else now_s
            if run.started_s < other_end_s:
                end_s = run.ended_s if run.ended_s >= 0 else now_s
                both_s = min(end_s, other_end_s) - run.started_s
                found.append(
                    f"{run.task} runs on {other.worker_id} and on"
                    f" {run.worker_id} for {both_s:.3f} s from"
                    f" {run.started_s:.3f}"
                )
        earlier[run.task].append(run)
    return found


def case(deployment: Deployment) -> str:
    """Cut off the zone of the leader after a queue has changed its service."""
    both = [route("match", "bookings"), route("photo", "quotes")]
    deployment.put_manifest(1, both)
    deployment.start_managers([LEADER])
    deployment.start_managers([1, 2])
    record = deployment.record
    if deployment.leader() != LEADER:
        raise CannotRun("the leader is not in the zone to be cut off")
    job = {
        "Spec": f"work {ITEM_MS} {ITEM_MILLI}",
        "Steps": [step(ITEMS, ITEM_MILLI, ITEM_MS)],
    }
    if not deployment.submit("/match/00000000000000d1", job):
        raise CannotRun("the job was not accepted")
    time.sleep(2.0)
    deployment.put_manifest(4, [route("photo", "quotes")])
    time.sleep(APPLY_S)
    moved = [route("match", "quotes"), route("photo", "quotes")]
    deployment.put_manifest(7, moved)
    time.sleep(2 * APPLY_S)
    if TROUBLE:
        record.write("case", "zone z-a is cut off")
        cut_zone(deployment, time.monotonic() + CUT_S)
    time.sleep(CUT_S)
    if TROUBLE:
        heal(deployment)
        record.write("case", "the cut has healed")
    time.sleep(4.0)
    found = running_twice(deployment)
    for line in found:
        record.write("check", line)
    if not found:
        return ""
    return f"{len(found)} work items run twice at once; {found[0]}"


main(
    Deployment(
        __file__,
        {"bookings": 4, "quotes": 4},
        zone_by_pool={"bookings": "z-a", "quotes": "z-b"},
        zone_by_manager={0: "z-a", 1: "z-b", 2: "z-b"},
    ),
    case,
)
