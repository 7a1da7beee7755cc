"""Timers that the decisions set, as data; a second setting replaces it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BeatTimer:
    """Heartbeats, repeated messages and periodic decisions."""


@dataclass(frozen=True, slots=True)
class LoadTimer:
    """Batches changes of the load before they are reported to peers."""


@dataclass(frozen=True, slots=True)
class YieldTimer:
    """Slots left to other entries were not taken in time.

    Attributes:
      service: Service whose requests waited.
    """

    service: str


@dataclass(frozen=True, slots=True)
class ClaimTimer:
    """Votes for a caller's request id are overdue.

    Attributes:
      request_id: Identifier of the request.
    """

    request_id: str


@dataclass(frozen=True, slots=True)
class LingerTimer:
    """An attempt of unknown outcome can no longer be running.

    Attributes:
      attempt: Name of the attempt, "request#number".
    """

    attempt: str


@dataclass(frozen=True, slots=True)
class UnitsTimer:
    """What is asked of peers for a team's ceiling may have changed.

    Attributes:
      team: Name of the team.
    """

    team: str


@dataclass(frozen=True, slots=True)
class ProbeTimer:
    """A target that was set aside may be tried again.

    Attributes:
      target: Name of the instance.
    """

    target: str


@dataclass(frozen=True, slots=True)
class ReadLogTimer:
    """The log is to be read again after a failure."""


@dataclass(frozen=True, slots=True)
class ListTimer:
    """The list of instances is to be read again."""


@dataclass(frozen=True, slots=True)
class AppendTimer:
    """An append is to be repeated unless its record was read back.

    Attributes:
      record_id: Identifier of the record.
    """

    record_id: str


@dataclass(frozen=True, slots=True)
class TaskTimer:
    """The lease of a task is to be renewed.

    Attributes:
      job_id: Identifier of the job.
    """

    job_id: str


@dataclass(frozen=True, slots=True)
class ManagerTimer:
    """A manager does what is done regularly."""


@dataclass(frozen=True, slots=True)
class PlaceTimer:
    """Tasks of a pool may find room.

    Attributes:
      pool: Name of the pool.
    """

    pool: str


@dataclass(frozen=True, slots=True)
class DueTimer:
    """An occurrence of a job may be due.

    Attributes:
      job_id: Identifier of the job.
    """

    job_id: str


@dataclass(frozen=True, slots=True)
class WatchTimer:
    """A silent worker is asked again.

    Attributes:
      worker_id: Identifier of the worker.
    """

    worker_id: str


@dataclass(frozen=True, slots=True)
class StopTimer:
    """An order to stop a run that got no answer is sent again.

    Attributes:
      worker_id: Identifier of the worker.
      task: Identifier of the task.
      number: Number of the run.
    """

    worker_id: str
    task: str
    number: int


Timer = (
    BeatTimer
    | LoadTimer
    | YieldTimer
    | ClaimTimer
    | LingerTimer
    | UnitsTimer
    | ProbeTimer
    | ReadLogTimer
    | ListTimer
    | AppendTimer
    | TaskTimer
    | ManagerTimer
    | PlaceTimer
    | DueTimer
    | WatchTimer
    | StopTimer
)
