"""Promises that the soak checks, from what callers and workers have seen."""

from collections.abc import Iterator
from dataclasses import dataclass

from soak.callers import Handed
from soak.world import ROOM_MILLI
from standins.jobworker import JobWorker
from standins.jobworker import RunRecord

CANCEL_S = 3.0  # no task starts later than this after a confirmed cancel
VISIBLE_S = 3.0  # an accepted job is known everywhere after this


@dataclass(frozen=True, slots=True)
class Breach:
    """A promise that was not kept.

    Attributes:
      promise: Short name of the promise.
      detail: What was seen.
    """

    promise: str
    detail: str


def check(handed: list[Handed], workers: list[JobWorker]) -> list[Breach]:
    """Check all promises after a run.

    Args:
      handed: Jobs that callers handed in.
      workers: Workers of all lives.
    Returns:
      What was not kept.
    """
    records = [record for worker in workers for record in worker.records]
    by_task: dict[str, list[RunRecord]] = {}
    for record in sorted(records, key=lambda one: one.started_s):
        by_task.setdefault(record.task_id, []).append(record)
    breaches = []
    for runs in by_task.values():
        breaches += _check_runs(runs)
    for worker in workers:
        breaches += _check_room(worker)
    by_job = {job.job_id: job for job in handed}
    for task, runs in by_task.items():
        breaches += _check_wanted(by_job.get(task.partition(".")[0]), runs)
    for job in handed:
        breaches += _check_shown(job, by_task)
    return breaches


def _check_runs(runs: list[RunRecord]) -> Iterator[Breach]:
    """No task runs twice at once, nor after an acknowledged good end."""
    for earlier, later in zip(runs, runs[1:], strict=False):
        if not earlier.outcome or earlier.ended_s > later.started_s:
            yield Breach("twice at once", f"{earlier} and {later}")
    for earlier, later in zip(runs, runs[1:], strict=False):
        settled = earlier.outcome == "done" and earlier.acknowledged
        if settled and earlier.ended_s <= later.started_s:
            yield Breach("again after done", f"{earlier} and {later}")


def _check_room(worker: JobWorker) -> Iterator[Breach]:
    """A worker never runs more than it has room for."""
    changes = []
    for record in worker.records:
        changes.append((record.started_s, 1, record.cpu_milli))
        if record.outcome:
            changes.append((record.ended_s, 0, -record.cpu_milli))
    used = 0
    for at_s, _, cpu_milli in sorted(changes):
        used += cpu_milli
        if used > ROOM_MILLI:
            yield Breach("room", f"{worker.worker_id} {used} at {at_s:.3f}")
            return


def _check_wanted(job: Handed | None, runs) -> Iterator[Breach]:
    """Only what callers handed in runs, and not long after a cancel."""
    first = runs[0]
    if job is None or job.command != first.command:
        yield Breach("unasked", f"{first}")
        return
    if job.refused_all:
        yield Breach("refused, yet run", f"{first}")
    if job.cancelled_s and runs[-1].started_s > job.cancelled_s + CANCEL_S:
        yield Breach("cancelled, yet run", f"{job} {runs[-1]}")


def _check_shown(job: Handed, by_task) -> Iterator[Breach]:
    """An accepted job stays known, and ends as it is said to."""
    if not job.accepted:
        return
    for at_s in job.unknown:
        shown = [one for one, _ in job.states if one < at_s - VISIBLE_S]
        if shown:
            yield Breach("lost", f"{job.job_id} at {at_s:.3f}")
    if job.cancel_sent_s:
        return
    last = job.states[-1][1] if job.states else "never shown"
    if last != "completed":
        yield Breach("unfinished", f"{job.job_id} {last}")
        return
    for step, count in enumerate(job.steps):
        for index in range(count):
            runs = by_task.get(f"{job.job_id}.0.{step}.{index}", ())
            if not any(run.outcome == "done" for run in runs):
                yield Breach("completed too soon", f"{job.job_id} {step}")
