"""Jobs of several steps: what teams hand in and how far it has come.

A job has steps, a step has tasks, and a task has runs: one run after the
other until one of them ends well.
"""

from dataclasses import dataclass
from enum import Enum

from sesamehall.core.data import JobPhase
from sesamehall.core.replacing import replace


@dataclass(frozen=True, slots=True)
class Size:
    """Room that a task needs, or that a worker or a team has.

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
    """A set of like tasks of a job.

    Attributes:
      count: Number of tasks.
      size: Room that each task declares.
      estimate_ms: Declared run time of a task; may be far off.
      after: Numbers of the steps that must be done first.
      gang: Whether the tasks work only all together.
      same_rack: Whether they are slower when spread over racks.
      label: Label that a worker must have, or "".
      rack: Rack that holds the data, or "".
      most_per_worker: Most tasks of the step on one worker, 0 for any.
      copies: Whether several runs of a task may go on at once.
      lasting: Whether the tasks run until the job is cancelled.
      image: Name of what the tasks run; like images behave alike.
      tail_target_ms: Response time that a lasting task must keep, or 0.
      fills: Whether the tasks take only processor time left over.
      may_miss: Tasks of the step that may be down by our own doing, or 0
        where it is not bounded.
      saves: Whether the tasks write checkpoints.
    """

    count: int
    size: Size = NO_SIZE
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    rack: str = ""
    most_per_worker: int = 0
    copies: bool = False
    lasting: bool = False
    image: str = ""
    tail_target_ms: int = 0
    fills: bool = False
    may_miss: int = 0
    saves: bool = False


@dataclass(frozen=True, slots=True)
class JobPlan:
    """A job as a team handed it in.

    Attributes:
      job_id: Identifier chosen by the caller, unique over the fleet.
      queue: Name of the queue.
      team: Team that it is charged to, or "" on a queue open to all.
      command: Opaque text for the workers.
      steps: The steps, in the order of their numbers.
      times: How often the steps run; 0 for once and at once.
      first_wall_ms: Due time of the first occurrence, since 1970.
      period_ms: Time from one occurrence to the next.
    """

    job_id: str
    queue: str
    team: str
    command: str
    steps: tuple[StepPlan, ...]
    times: int = 0
    first_wall_ms: int = 0
    period_ms: int = 0


@dataclass(frozen=True, slots=True)
class StepProgress:
    """How far a step of one occurrence has come.

    Attributes:
      done: Bitmap of the tasks that have ended well, lowest bit first.
      failures: Index and number of failed runs, of tasks that had any.
      checkpoints: Index and newest checkpoint, of tasks that have one.
    """

    done: bytes = b""
    failures: tuple[tuple[int, int], ...] = ()
    checkpoints: tuple[tuple[int, str], ...] = ()


@dataclass(frozen=True, slots=True)
class Progress:
    """What is stored of a job beside its plan.

    Attributes:
      job_id: Identifier of the job.
      phase: How far the job has come.
      detail: Why it ended so, for a person to read.
      occurrences: Number of an occurrence and progress of its steps; those
        without progress are left out.
    """

    job_id: str
    phase: JobPhase = JobPhase.WAITING
    detail: str = ""
    occurrences: tuple[tuple[int, tuple[StepProgress, ...]], ...] = ()


class RunEnd(Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    GANG_BROKEN = "gang broken"
    GANG_INCOMPLETE = "gang incomplete"


@dataclass(frozen=True, slots=True)
class TaskPlace:
    """Where a task stands within its job.

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
    """A run that a worker reports as going on.

    Attributes:
      task: Identifier of the task.
      number: Number of the run.
      checkpoint: Newest checkpoint, or "".
      percent: Share of its work that is done; of a lasting task the share of
        full speed, 100 where it serves.
      load: Response time tail in ms of a lasting task, else cores in use.
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
      sequence: Place in the worker's list of ends, counted from 1.
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
    """Name a task.

    Args:
      job_id: Identifier of its job.
      place: Where it stands within the job.
    Returns:
      An identifier unique over the fleet.
    """
    return f"{job_id}.{place.occurrence}.{place.step}.{place.index}"


def split_task_id(task: str) -> tuple[str, TaskPlace] | None:
    """Take a task's identifier apart.

    Args:
      task: An identifier, of any content.
    Returns:
      Identifier of the job and place within it, or None for other text.
    """
    job_id, *numbers = task.split(".")
    if len(numbers) != 3 or not all(part.isdecimal() for part in numbers):
        return None
    return job_id, TaskPlace(*map(int, numbers))


def has_bit(bits: bytes, index: int) -> bool:
    """Tell whether a bit of a bitmap is set.

    Args:
      bits: The bitmap.
      index: Number of the bit.
    Returns:
      True when it is set.
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


def count_bits(bits: bytes) -> int:
    """Count the bits that are set.

    Args:
      bits: The bitmap.
    Returns:
      Their number.
    """
    return int.from_bytes(bits, "little").bit_count()


def add_size(one: Size, other: Size, sign: int = 1) -> Size:
    """Add or subtract room.

    Args:
      one: The first.
      other: The second.
      sign: 1 to add the second, -1 to subtract it.
    Returns:
      The sum or the difference.
    """
    return Size(
        one.cpu_milli + sign * other.cpu_milli,
        one.memory_mb + sign * other.memory_mb,
        one.accelerators + sign * other.accelerators,
    )


def room_taken(size: Size, fills: bool) -> Size:
    """Compute the room that a task takes on its worker.

    Args:
      size: Size of the task.
      fills: Whether it takes only processor time left over.
    Returns:
      Its size; what fills takes no processor time from others.
    """
    return replace(size, cpu_milli=0) if fills else size


def fits(size: Size, room: Size) -> bool:
    """Tell whether something fits.

    Args:
      size: Room that it needs.
      room: Room that there is.
    Returns:
      True when it fits.
    """
    return (
        size.cpu_milli <= room.cpu_milli
        and size.memory_mb <= room.memory_mb
        and size.accelerators <= room.accelerators
    )
