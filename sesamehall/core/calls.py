"""Calls about jobs and their answers, apart from any encoding."""

from dataclasses import dataclass

from sesamehall.core.codes import ResultCode
from sesamehall.core.data import JobPhase
from sesamehall.core.work import StepPlan


@dataclass(frozen=True, slots=True)
class JobDraft:
    """A job as it stands in a call; queue and team are not known yet.

    Attributes:
      command: Opaque text for the workers.
      steps: The steps, in the order of their numbers.
      times: How often the steps run; 0 for once and at once.
      first_wall_ms: Due time of the first occurrence, since 1970.
      period_ms: Time from one occurrence to the next.
    """

    command: str
    steps: tuple[StepPlan, ...]
    times: int = 0
    first_wall_ms: int = 0
    period_ms: int = 0


@dataclass(frozen=True, slots=True)
class SubmitJob:
    """Hands a job in.

    Attributes:
      draft: The job.
    """

    draft: JobDraft


@dataclass(frozen=True, slots=True)
class ShowJob:
    """Asks how far a job has come."""


@dataclass(frozen=True, slots=True)
class CancelJob:
    """Asks to stop a job."""


@dataclass(frozen=True, slots=True)
class CountPending:
    """Asks how many jobs of a queue have not started."""


CallKind = SubmitJob | ShowJob | CancelJob | CountPending


@dataclass(frozen=True, slots=True)
class JobCall:
    """A caller's call.

    Attributes:
      call_id: Identifier of the call within this process.
      at_ms: The node's clock when it came.
      host: Host that the caller named.
      path: Path that the caller named.
      key: Key that was shown, or "".
      kind: What is asked for.
    """

    call_id: int
    at_ms: int
    host: str
    path: str
    key: str
    kind: CallKind


@dataclass(frozen=True, slots=True)
class Accepted:
    """The job, or its cancelling, is stored."""


@dataclass(frozen=True, slots=True)
class Shown:
    """How far the job has come.

    Attributes:
      phase: Its phase.
    """

    phase: JobPhase


@dataclass(frozen=True, slots=True)
class Counted:
    """How many jobs of a queue have not started.

    Attributes:
      pending: Their number.
    """

    pending: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """The call was not carried out, or nobody can tell.

    Attributes:
      code: Why.
      retry_after_s: When to come back, 0 for no advice.
    """

    code: ResultCode
    retry_after_s: int = 0


CallAnswer = Accepted | Shown | Counted | Rejected
