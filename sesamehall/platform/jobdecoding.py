"""Decoding of the jobs that callers submit."""

from sesamehall.codecs.jsonfields import check_integer
from sesamehall.codecs.jsonfields import decode_boolean
from sesamehall.codecs.jsonfields import decode_integer
from sesamehall.codecs.jsonfields import decode_list
from sesamehall.codecs.jsonfields import decode_number
from sesamehall.codecs.jsonfields import decode_rows
from sesamehall.codecs.jsonfields import decode_text
from sesamehall.codecs.jsonfields import MAX_TEXT_BYTES
from sesamehall.core.calls import JobDraft
from sesamehall.core.codes import DecodeError
from sesamehall.core.work import StepPlan
from sesamehall.platform.sizes import decode_size

MAX_JOB_TASKS = 10_000  # of one occurrence; a job with more is rejected
MAX_OCCURRENCES = 100_000  # a job with more is rejected


def decode_draft(document: dict) -> JobDraft:
    """Decode a job as submitted by a caller.

    Args:
      document: The JSON object.
    Returns:
      The job.
    Raises:
      DecodeError: The job is not valid.
    """
    steps = decode_list(document, "Steps", _decode_step)
    if sum(step.count for step in steps) > MAX_JOB_TASKS:
        raise DecodeError("Steps have too many tasks")
    for number, step in enumerate(steps):
        if any(not 0 <= other < number for other in step.depends_on):
            raise DecodeError("After must name earlier steps only")
    return JobDraft(
        command=decode_text(document, "Spec", "", max_bytes=MAX_TEXT_BYTES),
        steps=steps,
        occurrence_count=decode_integer(
            document, "Times", 0, maximum=MAX_OCCURRENCES
        ),
        first_wall_ms=decode_integer(document, "FirstMs", 0),
        period_ms=decode_integer(document, "PeriodMs", 0),
    )


def _decode_step(row):
    return StepPlan(
        count=decode_integer(
            row, "TaskCount", minimum=1, maximum=MAX_JOB_TASKS
        ),
        size=decode_size(row),
        estimate_ms=int(decode_number(row, "EstimateMs", 0.0)),
        depends_on=tuple(
            check_integer("After", number)
            for number in decode_rows(row, "After")
        ),
        gang=decode_boolean(row, "Gang", False),
        same_rack=decode_boolean(row, "SameRack", False),
        required_label=decode_text(row, "Requires", ""),
        data_rack=decode_text(row, "Affinity", ""),
        max_per_worker=decode_integer(row, "MaxPerServer", 0),
        speculative=decode_boolean(row, "Speculative", False),
        long_running=decode_boolean(row, "LongRunning", False),
        image=decode_text(row, "Image", ""),
        tail_latency_target_ms=int(decode_number(row, "TargetMs", 0.0)),
        # The tasks use only processor time that other tasks leave idle.
        best_effort=decode_boolean(row, "Fills", False),
        # Tasks that the leader itself may take down at once; the limit does
        # not cover deadlines or failures.
        max_unavailable=decode_integer(row, "MayMiss", 0),
        writes_checkpoints=decode_boolean(row, "Checkpoints", False),
    )
