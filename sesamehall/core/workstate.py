"""The leader's view of jobs, runs and workers.

Points in time whose name ends in `_clock_ms` are on a worker's clock, those in
`_wall_ms` are counted since 1970, and all others are on this node's clock. A
watch is a long poll for a worker's lists of runs, which can also renew the
worker's lease.
"""

from dataclasses import dataclass
from enum import Enum

from immutables import Map

from sesamehall.core.data import EMPTY_MAP
from sesamehall.core.data import JobPhase
from sesamehall.core.fleet import WorkerEntry
from sesamehall.core.runtimes import RunSample
from sesamehall.core.runtimes import StepSamples
from sesamehall.core.work import JobPlan
from sesamehall.core.work import NO_SIZE
from sesamehall.core.work import Size
from sesamehall.core.work import StepProgress
from sesamehall.core.work import TaskPlace


@dataclass(frozen=True, slots=True)
class CriticalPath:
    """The longest chain of unfinished steps of a job's occurrence 0.

    Attributes:
      declared_ms: Sum of the declared run times of its steps.
      steps: Number of its steps.
    """

    declared_ms: int = 0
    steps: int = 0


@dataclass(frozen=True, slots=True)
class JobProgress:
    """The progress of a job, as the leader tracks it.

    It is stored as a CompactProgress.

    Attributes:
      job_id: Identifier of the job.
      phase: Phase of the job.
      detail: Human-readable reason for the final phase.
      completed: Bitmap of the occurrences whose tasks have all succeeded.
      steps_by_occurrence: Progress of the steps of each other occurrence that
        has any.
    """

    job_id: str
    phase: JobPhase = JobPhase.WAITING
    detail: str = ""
    completed: bytes = b""
    steps_by_occurrence: Map[int, tuple[StepProgress, ...]] = EMPTY_MAP


@dataclass(frozen=True)
class ActiveJob:
    """A job that has not ended, as the leader tracks it.

    Attributes:
      plan: The job.
      progress: Its progress.
      first_seen_ms: Time at which this node first saw it.
      goal_ms: Time by which it should be done.
      waiting: Tasks that may start.
      due_count: Number of occurrences whose tasks have been queued as due.
      running_count: Number of tasks with a run.
      inherited: Whether an earlier leader may have started tasks of it.
      remaining_core_ms: Declared processor time of the unfinished tasks, in
        core-milliseconds.
      critical_path: The longest chain of unfinished steps of occurrence 0.
      unfinished_by_step: Number of unfinished tasks of each step, over all
        occurrences.
      path_steps: Numbers of the unfinished steps of occurrence 0.
      samples_by_step: Run times of the tasks of steps that have started, by
        number of the step.
    """

    plan: JobPlan
    progress: JobProgress
    first_seen_ms: int
    goal_ms: int
    waiting: tuple[TaskPlace, ...] = ()
    due_count: int = 0
    running_count: int = 0
    inherited: bool = False
    remaining_core_ms: float = 0.0
    critical_path: CriticalPath = CriticalPath()
    unfinished_by_step: tuple[int, ...] = ()
    path_steps: tuple[int, ...] = ()
    samples_by_step: Map[int, StepSamples] = EMPTY_MAP


class RunState(Enum):
    """State of a run, from the start order to its end.

    A run has ended unread if its worker does not list it as active any more,
    while the leader does not know yet how it ended.
    """

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    ENDED_UNREAD = "ended unread"


@dataclass(frozen=True)
class Run:
    """A run of a task on a worker, or an order to start one.

    Attributes:
      task: Identifier of the task.
      job_id: Identifier of its job.
      place: Position of the task within the job.
      number: Number of the run.
      worker_id: The worker.
      team: Team that the run is charged to.
      size: Resources that the task requests. The team is charged all of
        them, the worker only `reserved_size`, which is less for a
        best-effort run.
      state: State of the run.
      first_sent_ms: Time at which the start order was first sent, or at which
        a run of an earlier leader was adopted.
      acknowledged_ms: Time at which the worker first acknowledged the run, or
        -1: by accepting the start order or a stop order, or by listing the
        run as active.
      started_clock_ms: The worker's clock when it accepted the start order, or
        -1 if unknown: before its answer, for an adopted run, and if the order
        had been sent again by then.
      send_count: Number of times that the start order was sent.
      start_void_ms: Time after which a worker no longer accepts the start
        order.
      checkpoint: Newest checkpoint, or "".
      percent: Completed share of the work, as last reported; of a
        long-running task the share of full speed.
      progressed_clock_ms: The worker's clock when `percent` was last seen to
        change. The worker's clock is used so that a pause of this node does
        not look like a stalled run.
      load: As last reported: the tail response time in milliseconds of a
        long-running task, or the cores that another task uses.
      speed_percent: Share of full speed that the run was last throttled to.
      long_running: Whether it runs until its job is cancelled.
      best_effort: Whether it uses only processor time that others leave idle.
      tail_latency_target_ms: Tail response time that it must keep, or 0.
      ticket: Ticket of the advice service, or "".
      sample: Run time extrapolated from its progress, as contained in the
        samples of its step, or None.
    """

    task: str
    job_id: str
    place: TaskPlace
    number: int
    worker_id: str
    team: str
    size: Size
    state: RunState
    first_sent_ms: int
    acknowledged_ms: int = -1
    started_clock_ms: int = -1
    send_count: int = 1
    start_void_ms: int = 0
    checkpoint: str = ""
    percent: int = 0
    progressed_clock_ms: int = 0
    load: float = 0.0
    speed_percent: int = 100
    long_running: bool = False
    best_effort: bool = False
    tail_latency_target_ms: int = 0
    ticket: str = ""
    sample: RunSample | None = None


@dataclass(frozen=True)
class Worker:
    """A worker as the leader tracks it.

    Attributes:
      entry: Its registration.
      registered: Whether it is registered now.
      lease_recorded: Whether a stored record says that the worker may have
        runs; it gets none before.
      incarnation_recorded: Whether that record is of its current incarnation,
        which gets no runs before.
      registered_start_ms: Start time in its newest registration, since 1970.
      inherited: Whether an earlier leader may have started runs on it.
      contacted: Whether it has answered in this term, and since its lease
        last expired.
      first_contact_ms: Time at which its current incarnation first answered
        in this term, and since its lease last expired, or -1.
      watch_in_flight: Whether a watch is in flight.
      clock_ms: The worker's clock at its latest report.
      last_report_ms: This node's clock at that report.
      lease_end_ms: Time after which nothing can run on it any more.
      long_lease_end_ms: End of the longest lease that a call meant for an
        earlier incarnation may have given to its current one, or 0.
      last_applied_end_sequence: Sequence number up to which its ended runs are
        applied.
      last_stored_end_sequence: Sequence number up to which its ended runs are
        stored.
      tasks: Tasks with a run on it or an order to start one, mapped to True.
      used: Resources that they reserve.
      unanswered_watches: Watches without an answer since the latest report.
      consecutive_failures: Failed runs since the latest run that succeeded.
      quarantined_until_ms: Time until which nothing is started on it.
      evacuating: Whether its machine is to be moved or maintained.
      terminated: Whether this incarnation has ended: an order for its machine
        was accepted, or no machine of the platform's list runs it.
      terminated_ms: Time at which that became known.
      best_effort_speed_percent: Speed that its best-effort tasks are
        throttled to.
      speed_changed_ms: Time at which that speed was chosen.
      untracked_runs: Number of reported runs that the leader does not track:
        active and ended runs of jobs that it has not read yet, runs that are
        not needed, and further runs of tracked tasks. Their size is unknown,
        so the worker gets no new tasks while there are any.
      unneeded_runs: Task and number of reported runs that were ordered to stop
        as not needed, mapped to True, so that each is logged once.
      reported_whole: Whether its latest report listed all ended runs. If not,
        further runs that the leader does not track may have ended on it.
    """

    entry: WorkerEntry
    registered: bool = True
    lease_recorded: bool = False
    incarnation_recorded: bool = True
    registered_start_ms: int = 0
    inherited: bool = False
    contacted: bool = False
    first_contact_ms: int = -1
    watch_in_flight: bool = False
    clock_ms: int = 0
    last_report_ms: int = -1
    lease_end_ms: int = 0
    long_lease_end_ms: int = 0
    last_applied_end_sequence: int = 0
    last_stored_end_sequence: int = 0
    tasks: Map[str, bool] = EMPTY_MAP
    used: Size = NO_SIZE
    unanswered_watches: int = 0
    consecutive_failures: int = 0
    quarantined_until_ms: int = 0
    evacuating: bool = False
    terminated: bool = False
    terminated_ms: int = 0
    best_effort_speed_percent: int = 100
    speed_changed_ms: int = 0
    untracked_runs: int = 0
    unneeded_runs: Map[tuple[str, int], bool] = EMPTY_MAP
    reported_whole: bool = True


@dataclass(frozen=True, slots=True)
class Durations:
    """Measured run times of a queue's tasks, next to their declared run times.

    Attributes:
      count: Number of tasks measured.
      declared_ms: Moving average of the declared run times.
      actual_ms: Moving average of the time from start to end on the worker.
      delay_ms: Moving average of the overhead: the time from the order to the
        start, plus the time from the end until it was known.
    """

    count: int = 0
    declared_ms: float = 0.0
    actual_ms: float = 0.0
    delay_ms: float = 0.0


class ForecastBasis(Enum):
    """What the forecast of a task's run time rests on."""

    DECLARED = "declared"
    QUEUE = "queue"
    STEP = "step"
    PROGRESS = "progress"


@dataclass(frozen=True, slots=True)
class RunForecast:
    """Expected run time of a task, on its worker, from start to end.

    Attributes:
      median_ms: Half of such tasks take no longer.
      high_ms: Nine tenths of such tasks take no longer.
      basis: What the forecast rests on.
    """

    median_ms: float
    high_ms: float
    basis: ForecastBasis


@dataclass(frozen=True, slots=True)
class JobForecast:
    """What a job will probably take, without delays of orders and reports.

    Attributes:
      core_ms: Processor time that its unfinished tasks need, in
        core-milliseconds.
      path_ms: Run time of its longest chain of unfinished steps, of
        occurrence 0.
      whole_path_ms: Run time of its longest chain of steps, finished or not.
    """

    core_ms: float
    path_ms: float
    whole_path_ms: float


@dataclass(frozen=True, slots=True)
class Arrivals:
    """Arrival rate of a queue's jobs.

    Attributes:
      jobs_per_s: Exponentially decaying average of the rate.
      at_ms: Time for which the average was computed.
    """

    jobs_per_s: float = 0.0
    at_ms: int = 0
