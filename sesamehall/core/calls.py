"""Calls about jobs and their answers, independent of any encoding."""

from dataclasses import dataclass

from sesamehall.core.codes import ResultCode
from sesamehall.core.data import JobPhase
from sesamehall.core.work import StepPlan


@dataclass(frozen=True, slots=True)
class JobDraft:
    """A job as contained in a call, before its queue and team are known.

    Attributes:
      command: Opaque text for the workers.
      steps: The steps, in the order of their numbers.
      occurrence_count: Number of times that the steps run; 0 to run them once
        and immediately.
      first_wall_ms: Due time of the first occurrence, since 1970.
      period_ms: Time from one occurrence to the next.
    """

    command: str
    steps: tuple[StepPlan, ...]
    occurrence_count: int = 0
    first_wall_ms: int = 0
    period_ms: int = 0


@dataclass(frozen=True, slots=True)
class SubmitJob:
    """Submits a job.

    Attributes:
      draft: The job.
    """

    draft: JobDraft


@dataclass(frozen=True, slots=True)
class ShowJob:
    """Requests the phase of a job."""


@dataclass(frozen=True, slots=True)
class CancelJob:
    """Requests the cancellation of a job."""


@dataclass(frozen=True, slots=True)
class CountPending:
    """Requests the number of jobs of a queue that have not started."""


CallKind = SubmitJob | ShowJob | CancelJob | CountPending


@dataclass(frozen=True, slots=True)
class Forwarding:
    """How a call came from a peer instead of a caller.

    Attributes:
      node: Name of the peer.
      manifest_version: The call must not be judged by an older manifest.
      deadline_ms: Time at which the peer stops waiting for the answer.
    """

    node: str
    manifest_version: int
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class JobCall:
    """A caller's call.

    Attributes:
      call_id: Identifier of the call within this process.
      at_ms: Time at which the call arrived.
      host: Host name of the request.
      path: Path of the request.
      key: Presented key, or "".
      kind: Kind of the call, with its arguments.
      forwarded: How it came from a peer, or None for a caller's own call.
    """

    call_id: int
    at_ms: int
    host: str
    path: str
    key: str
    kind: CallKind
    forwarded: Forwarding | None = None


@dataclass(frozen=True, slots=True)
class Accepted:
    """The job, or the request to cancel it, is stored."""


@dataclass(frozen=True, slots=True)
class Shown:
    """The phase of the job.

    Attributes:
      phase: Its phase.
    """

    phase: JobPhase


@dataclass(frozen=True, slots=True)
class Counted:
    """The number of jobs of a queue that have not started.

    Attributes:
      pending: Their number.
    """

    pending: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """The call was rejected, or its outcome is unknown.

    Attributes:
      code: Result code.
      retry_after_s: Delay before a retry, or 0 for no recommendation.
    """

    code: ResultCode
    retry_after_s: int = 0


CallAnswer = Accepted | Shown | Counted | Rejected
