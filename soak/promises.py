"""Invariants of the soak, checked on what clients and workers observed."""

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import combinations

from soak.callers import SubmittedJob
from soak.cluster import WORKER_CPU_MILLI
from standins.jobworker import JobWorker
from standins.jobworker import RunRecord

CANCEL_GRACE_S = 3.0  # no task may start later after a confirmed cancellation
REPLICATION_GRACE_S = 3.0  # after this, all managers know an accepted job


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of an invariant.

    Attributes:
      invariant: Short name of the violation.
      detail: Evidence for it.
    """

    invariant: str
    detail: str


def check_invariants(
    jobs: list[SubmittedJob], workers: list[JobWorker]
) -> list[Violation]:
    """Check all invariants after a run.

    Args:
      jobs: Submitted jobs.
      workers: All workers, including those that have terminated.
    Returns:
      Violations that were found.
    """
    records = [record for worker in workers for record in worker.records]
    by_task: dict[str, list[RunRecord]] = {}
    for record in sorted(records, key=lambda run: run.started_s):
        by_task.setdefault(record.task_id, []).append(record)
    violations = []
    for runs in by_task.values():
        violations += _check_runs(runs)
    for worker in workers:
        violations += _check_capacity(worker)
    by_job = {job.job_id: job for job in jobs}
    for task, runs in by_task.items():
        violations += _check_submitted(
            by_job.get(task.partition(".")[0]), runs
        )
    for job in jobs:
        violations += _check_reported_states(job, by_task)
    return violations


def _check_runs(runs: list[RunRecord]) -> Iterator[Violation]:
    """Check that no task runs concurrently or after acknowledged success.

    Every pair counts: other runs may lie between the success and a rerun.

    Args:
      runs: All runs of one task, in the order of their starts.
    Yields:
      A violation for each pair of runs that must not both have happened.
    """
    for earlier, later in combinations(runs, 2):
        if not earlier.outcome or earlier.ended_s > later.started_s:
            yield Violation("concurrent runs", f"{earlier} and {later}")
        elif earlier.outcome == "done" and earlier.acknowledged:
            yield Violation("rerun after done", f"{earlier} and {later}")


def _check_capacity(worker: JobWorker) -> Iterator[Violation]:
    """Check that a worker never runs more than its CPU capacity."""
    changes = []
    for record in worker.records:
        changes.append((record.started_s, 1, record.cpu_milli))
        if record.outcome:
            changes.append((record.ended_s, 0, -record.cpu_milli))
    used = 0
    for at_s, _, cpu_milli in sorted(changes):
        used += cpu_milli
        if used > WORKER_CPU_MILLI:
            yield Violation(
                "over capacity", f"{worker.worker_id} {used} at {at_s:.3f}"
            )
            return


def _check_submitted(job: SubmittedJob | None, runs) -> Iterator[Violation]:
    """Check that runs belong to submitted jobs that may still run."""
    first = runs[0]
    if job is None or job.command != first.command:
        yield Violation("not submitted", f"{first}")
        return
    if job.all_rejected:
        yield Violation("rejected job ran", f"{first}")
    if (
        job.cancel_confirmed_s
        and runs[-1].started_s > job.cancel_confirmed_s + CANCEL_GRACE_S
    ):
        yield Violation("cancelled job ran", f"{job} {runs[-1]}")


def _check_reported_states(job: SubmittedJob, by_task) -> Iterator[Violation]:
    """Check that an accepted job stays known and completes as reported."""
    if not job.accepted:
        return
    for at_s in job.not_found_s:
        earlier = [
            seen_s
            for seen_s, _ in job.observed_states
            if seen_s < at_s - REPLICATION_GRACE_S
        ]
        if earlier:
            yield Violation("lost", f"{job.job_id} at {at_s:.3f}")
    if job.cancel_sent_s:
        return
    last = (
        job.observed_states[-1][1] if job.observed_states else "never reported"
    )
    if last != "completed":
        yield Violation("unfinished", f"{job.job_id} {last}")
        return
    for step, count in enumerate(job.step_sizes):
        for index in range(count):
            runs = by_task.get(f"{job.job_id}.0.{step}.{index}", ())
            if not any(run.outcome == "done" for run in runs):
                yield Violation("completed early", f"{job.job_id} {step}")
