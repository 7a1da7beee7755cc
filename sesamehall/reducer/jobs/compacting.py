"""The compact form in which the progress of a job is stored.

The store refuses records beyond a size, so the form takes a bit for each
occurrence that is completed, and a few bytes, with a bit for each task, for
each other one that has begun.
"""

from immutables import Map

from sesamehall.core.replacing import replace
from sesamehall.core.work import CompactProgress
from sesamehall.core.work import has_bit
from sesamehall.core.work import JobPlan
from sesamehall.core.work import Progress
from sesamehall.core.work import StepProgress
from sesamehall.core.work import with_bit
from sesamehall.core.workstate import JobProgress


def compact_progress(progress: JobProgress, plan: JobPlan) -> CompactProgress:
    """Build the stored form of a job's progress.

    Args:
      progress: The progress.
      plan: The job.
    Returns:
      The stored form, without failures and checkpoints of tasks that have
      succeeded.
    """
    offsets = _step_offsets(plan)
    done = []
    failures = []
    checkpoints = []
    for occurrence, progress_by_step in sorted(
        progress.steps_by_occurrence.items()
    ):
        bits = _flatten(progress_by_step, offsets)
        if bits:
            done.append((occurrence, _to_bytes(bits)))
        for offset, step in zip(offsets, progress_by_step, strict=False):
            failures += _unfinished(occurrence, offset, step, step.failures)
            checkpoints += _unfinished(
                occurrence, offset, step, step.checkpoints
            )
    return CompactProgress(
        job_id=progress.job_id,
        phase=progress.phase,
        detail=progress.detail,
        completed=progress.completed,
        done=tuple(done),
        failures=tuple(failures),
        checkpoints=tuple(checkpoints),
    )


def expand_progress(
    stored: Progress | CompactProgress, plan: JobPlan
) -> JobProgress:
    """Build a job's progress from its stored form.

    Args:
      stored: The stored form, or that of older versions.
      plan: The job.
    Returns:
      The progress.
    """
    match stored:
        case Progress():
            return _expand_older(stored, plan)
    offsets = _step_offsets(plan)
    all_done = (1 << offsets[-1]) - 1
    occurrences: dict[int, tuple[StepProgress, ...]] = {}
    for occurrence, bits in stored.done:
        number = int.from_bytes(bits, "little") & all_done
        occurrences[occurrence] = _unflatten(number, offsets)
    _add_rows(occurrences, stored.failures, _with_failures, offsets)
    _add_rows(occurrences, stored.checkpoints, _with_checkpoint, offsets)
    return JobProgress(
        stored.job_id,
        stored.phase,
        stored.detail,
        stored.completed,
        Map(occurrences),
    )


def _expand_older(stored: Progress, plan: JobPlan) -> JobProgress:
    """Separate the completed occurrences from those that have begun."""
    offsets = _step_offsets(plan)
    all_done = (1 << offsets[-1]) - 1
    completed = b""
    begun = {}
    for occurrence, progress_by_step in stored.occurrences:
        if _flatten(progress_by_step, offsets) == all_done:
            completed = with_bit(completed, occurrence)
        else:
            begun[occurrence] = progress_by_step
    return JobProgress(
        stored.job_id, stored.phase, stored.detail, completed, Map(begun)
    )


def _step_offsets(plan: JobPlan) -> list[int]:
    """Number each step's first task, and the end of the last one's tasks."""
    offsets = [0]
    for step in plan.steps:
        offsets.append(offsets[-1] + step.count)
    return offsets


def _flatten(progress_by_step, offsets):
    """Join the bitmaps of an occurrence's steps to one number."""
    bits = 0
    for offset, step in zip(offsets, progress_by_step, strict=False):
        bits |= int.from_bytes(step.done, "little") << offset
    return bits


def _unflatten(bits, offsets) -> tuple[StepProgress, ...]:
    """Split the number of an occurrence into bitmaps of its steps."""
    return tuple(
        StepProgress(_to_bytes(bits >> start & (1 << (end - start)) - 1))
        for start, end in zip(offsets, offsets[1:], strict=False)
    )


def _to_bytes(bits: int) -> bytes:
    return bits.to_bytes((bits.bit_length() + 7) // 8, "little")


def _unfinished(occurrence, offset, step, values):
    """Build the rows of a step's tasks that have not succeeded."""
    return [
        (occurrence, offset + index, value)
        for index, value in values
        if not has_bit(step.done, index)
    ]


def _add_rows(occurrences, rows, with_value, offsets):
    """Add the rows of unfinished tasks to the progress of occurrences."""
    for occurrence, task, value in rows:
        number = _step_of(task, offsets)
        steps = list(occurrences.get(occurrence) or _unflatten(0, offsets))
        index = task - offsets[number]
        steps[number] = with_value(steps[number], index, value)
        occurrences[occurrence] = tuple(steps)


def _with_failures(step, index, count):
    return replace(step, failures=(*step.failures, (index, count)))


def _with_checkpoint(step, index, checkpoint):
    return replace(step, checkpoints=(*step.checkpoints, (index, checkpoint)))


def _step_of(task, offsets):
    """Find the number of the step that a task belongs to."""
    return sum(start <= task for start in offsets[1:-1])
