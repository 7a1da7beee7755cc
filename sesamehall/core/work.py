"""Jobs, steps, tasks and runs: what teams submit, and its progress.

A job has steps, a step has tasks, and a task is run until one of its runs
succeeds.
"""

from dataclasses import dataclass
from enum import Enum

from sesamehall.core.data import JobPhase

MAX_TASK_NUMBER_DIGITS = 9  # of an occurrence, a step or an index


@dataclass(frozen=True, slots=True)
class Size:
    """Resources that a task requests, or that a worker or a team has.

    Attributes:
      cpu_milli: Thousandths of a processor core.
      memory_mb: Memory in MiB.
      accelerators: Number of accelerators.
    """

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0


NO_SIZE = Size()


@dataclass(frozen=True, slots=True)
class StepPlan:
    """A step of a job: a set of identical tasks.

    Attributes:
      count: Number of tasks.
      size: Resources that each task requests.
      estimate_ms: Declared run time of a task; may be far off.
      depends_on: Numbers of the steps that must complete first.
      gang: Whether the tasks can only run all together (gang scheduling).
      same_rack: Whether the tasks run slower when spread over racks.
      required_label: Label that a worker must have, or "".
      data_rack: Rack that holds the data, or "".
      max_per_worker: Maximum number of tasks of the step on one worker, or 0
        for no limit.
      speculative: Whether several runs of a task may be active at once.
      long_running: Whether the tasks run until the job is cancelled.
      image: Name of what the tasks run; tasks with the same image behave
        alike.
      tail_latency_target_ms: Tail response time that a long-running task must
        keep, or 0.
      best_effort: Whether the tasks use only processor time that other tasks
        leave idle.
      max_unavailable: Number of tasks of the step that the leader itself may
        take down at once, or 0 for no limit.
      writes_checkpoints: Whether the tasks write checkpoints.
    """

    count: int
    size: Size = NO_SIZE
    estimate_ms: int = 0
    depends_on: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    tail_latency_target_ms: int = 0
    best_effort: bool = False
    max_unavailable: int = 0
    writes_checkpoints: bool = False


@dataclass(frozen=True, slots=True)
class JobPlan:
    """A job as a team submitted it.

    Attributes:
      job_id: Identifier chosen by the caller, unique in the fleet.
      queue: Name of the queue.
      team: Team that the job is charged to, or "" on a queue open to all.
      command: Opaque text for the workers.
      steps: The steps, in the order of their numbers.
      occurrence_count: Number of times that the steps run; 0 to run them once
        and immediately.
      first_wall_ms: Due time of the first occurrence, since 1970.
      period_ms: Time from one occurrence to the next.
    """

    job_id: str
    queue: str
    team: str
    command: str
    steps: tuple[StepPlan, ...]
    occurrence_count: int = 0
    first_wall_ms: int = 0
    period_ms: int = 0


@dataclass(frozen=True, slots=True)
class StepProgress:
    """Progress of a step within one occurrence.

    Attributes:
      done: Bitmap of the tasks that have succeeded, lowest bit first.
      failures: Index and number of failed runs, of tasks that had any.
      checkpoints: Index and newest checkpoint, of tasks that have one.
    """

    done: bytes = b""
    failures: tuple[tuple[int, int], ...] = ()
    checkpoints: tuple[tuple[int, str], ...] = ()


@dataclass(frozen=True, slots=True)
class Progress:
    """The progress of a job as older versions stored it.

    Attributes:
      job_id: Identifier of the job.
      phase: Phase of the job.
      detail: Human-readable reason for the final phase.
      occurrences: Number of an occurrence and the progress of its steps;
        occurrences without progress are left out.
    """

    job_id: str
    phase: JobPhase = JobPhase.WAITING
    detail: str = ""
    occurrences: tuple[tuple[int, tuple[StepProgress, ...]], ...] = ()


@dataclass(frozen=True, slots=True)
class CompactProgress:
    """The stored progress of a job; its plan is stored separately.

    The tasks of an occurrence are numbered through its steps in their order.

    Attributes:
      job_id: Identifier of the job.
      phase: Phase of the job.
      detail: Human-readable reason for the final phase.
      completed: Bitmap of the occurrences whose tasks have all succeeded.
      done: Number of each other occurrence with tasks that have succeeded, and
        the bitmap of these tasks.
      failures: Occurrence, task and number of failed runs, of unfinished tasks
        that had any.
      checkpoints: Occurrence, task and newest checkpoint, of unfinished tasks
        that have one.
    """

    job_id: str
    phase: JobPhase
    detail: str = ""
    completed: bytes = b""
    done: tuple[tuple[int, bytes], ...] = ()
    failures: tuple[tuple[int, int, int], ...] = ()
    checkpoints: tuple[tuple[int, int, str], ...] = ()


class RunEnd(Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    GANG_BROKEN = "gang broken"
    GANG_INCOMPLETE = "gang incomplete"


@dataclass(frozen=True, slots=True)
class TaskPlace:
    """Position of a task within its job.

    Attributes:
      occurrence: Number of the occurrence, 0 for the only one.
      step: Number of the step.
      index: Number of the task within the step.
    """

    occurrence: int
    step: int
    index: int


@dataclass(frozen=True, slots=True)
class ActiveRun:
    """A run that a worker reports as active.

    Attributes:
      task: Identifier of the task.
      number: Number of the run.
      checkpoint: Newest checkpoint, or "".
      percent: Completed share of the work; of a long-running task the share
        of full speed, 100 while it serves.
      load: Tail response time in ms of a long-running task, else cores in use.
    """

    task: str
    number: int
    checkpoint: str = ""
    percent: int = 0
    load: float = 0.0


@dataclass(frozen=True, slots=True)
class EndedRun:
    """A run that a worker reports as ended.

    Attributes:
      sequence: Position in the worker's list of ended runs, counted from 1.
      task: Identifier of the task.
      number: Number of the run.
      end: How it ended.
      checkpoint: Newest checkpoint, or "".
    """

    sequence: int
    task: str
    number: int
    end: RunEnd
    checkpoint: str = ""


def task_id(job_id: str, place: TaskPlace) -> str:
    """Build the identifier of a task.

    Args:
      job_id: Identifier of its job.
      place: Position of the task within the job.
    Returns:
      An identifier unique in the fleet.
    """
    return f"{job_id}.{place.occurrence}.{place.step}.{place.index}"


def parse_task_id(task: str) -> tuple[str, TaskPlace] | None:
    """Parse the identifier of a task.

    Args:
      task: An identifier, of any content.
    Returns:
      The job's identifier and the position within the job, or None if the
      text is not a task identifier.
    """
    job_id, *numbers = task.split(".")
    if len(numbers) != 3 or not all(map(_is_task_number, numbers)):
        return None
    return job_id, TaskPlace(*map(int, numbers))


def _is_task_number(text):
    """Check for a number that is short enough to be converted and used."""
    return (
        text.isascii()
        and text.isdecimal()
        and len(text) <= MAX_TASK_NUMBER_DIGITS
    )


def has_bit(bits: bytes, index: int) -> bool:
    """Check whether a bit of a bitmap is set.

    Args:
      bits: The bitmap.
      index: Number of the bit.
    Returns:
      True if it is set.
    """
    byte = index >> 3
    return byte < len(bits) and bool(bits[byte] >> (index & 7) & 1)


def with_bit(bits: bytes, index: int) -> bytes:
    """Set a bit of a bitmap.

    Args:
      bits: The bitmap.
      index: Number of the bit.
    Returns:
      The bitmap with the bit set.
    """
    size = max(len(bits), (index >> 3) + 1)
    number = int.from_bytes(bits, "little") | 1 << index
    return number.to_bytes(size, "little")


def all_bits(count: int) -> bytes:
    """Build a bitmap whose first bits are set.

    Args:
      count: Number of bits.
    Returns:
      The bitmap.
    """
    return ((1 << count) - 1).to_bytes((count + 7) // 8, "little")


def count_bits(bits: bytes) -> int:
    """Count the bits that are set.

    Args:
      bits: The bitmap.
    Returns:
      The number of set bits.
    """
    return int.from_bytes(bits, "little").bit_count()
