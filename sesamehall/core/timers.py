"""Timers that decisions set, as data; setting an equal timer replaces it."""

from dataclasses import dataclass

from sesamehall.core.managerevents import OrderRefusal


@dataclass(frozen=True, slots=True)
class BeatTimer:
    """Triggers heartbeats, repeated messages and periodic decisions."""


@dataclass(frozen=True, slots=True)
class LoadTimer:
    """Triggers a load report to peers, after a delay that batches changes."""


@dataclass(frozen=True, slots=True)
class YieldTimer:
    """Ends the wait for other entries to use the slots yielded to them.

    Attributes:
      service: Service whose requests are waiting.
    """

    service: str


@dataclass(frozen=True, slots=True)
class ClaimTimer:
    """Ends the wait for votes on a caller's request id.

    Attributes:
      request_id: Identifier of the request.
    """

    request_id: str


@dataclass(frozen=True, slots=True)
class LingerTimer:
    """Frees the slot of an attempt of unknown outcome, which must have ended.

    Attributes:
      attempt: Name of the attempt, "request#number".
    """

    attempt: str


@dataclass(frozen=True, slots=True)
class UnitsTimer:
    """Triggers a review of the request to peers for units of a ceiling.

    Attributes:
      team: Name of the team.
    """

    team: str


@dataclass(frozen=True, slots=True)
class ProbeTimer:
    """Ends the quarantine or the pause of a target.

    Attributes:
      target: Name of the instance.
    """

    target: str


@dataclass(frozen=True, slots=True)
class ReadLogTimer:
    """Triggers another read of the log after a failure."""


@dataclass(frozen=True, slots=True)
class ListTimer:
    """Triggers another read of the list of instances."""


@dataclass(frozen=True, slots=True)
class AppendTimer:
    """Triggers another append of a record unless it was read back.

    Attributes:
      record_id: Identifier of the record.
    """

    record_id: str


@dataclass(frozen=True, slots=True)
class TaskTimer:
    """Triggers the renewal of a task's lease.

    Attributes:
      job_id: Identifier of the job.
    """

    job_id: str


@dataclass(frozen=True, slots=True)
class ManagerTimer:
    """Triggers a manager's periodic decisions."""


@dataclass(frozen=True, slots=True)
class PlaceTimer:
    """Triggers a placement round for the tasks of a pool.

    Attributes:
      pool: Name of the pool.
    """

    pool: str


@dataclass(frozen=True, slots=True)
class DueTimer:
    """Triggers a check whether the next occurrence of a job is due.

    Attributes:
      job_id: Identifier of the job.
    """

    job_id: str


@dataclass(frozen=True, slots=True)
class WatchTimer:
    """Triggers another call to a worker that does not answer.

    Attributes:
      worker_id: Identifier of the worker.
    """

    worker_id: str


@dataclass(frozen=True, slots=True)
class StopTimer:
    """Triggers a repetition of an order to stop a run that was not accepted.

    Attributes:
      worker_id: Identifier of the worker.
      task: Identifier of the task.
      number: Number of the run.
      refusal: Why the worker did not accept the order.
    """

    worker_id: str
    task: str
    number: int
    refusal: OrderRefusal


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Triggers a repetition of a start order whose answer was unclear.

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
    | StartTimer
)
