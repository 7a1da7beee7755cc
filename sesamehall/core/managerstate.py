"""State of a manager: callers' jobs, and as leader all workers."""

from dataclasses import dataclass
from enum import Enum

from immutables import Map

from sesamehall.core.calls import JobCall
from sesamehall.core.data import EMPTY_MAP
from sesamehall.core.data import JobPhase
from sesamehall.core.fleet import Leader
from sesamehall.core.fleet import LeasedWorker
from sesamehall.core.fleet import Machine
from sesamehall.core.fleet import WorkerEntry
from sesamehall.core.manifest import Manifest
from sesamehall.core.manifest import Wave
from sesamehall.core.work import JobPlan
from sesamehall.core.work import NO_SIZE
from sesamehall.core.work import Progress
from sesamehall.core.work import Size
from sesamehall.core.work import TaskPlace


@dataclass(frozen=True, slots=True)
class Timing:
    """Bounds that the platform sets.

    Attributes:
      longest_lease_ms: Longest lease that a worker grants.
      stop_ms: Longest time that a worker takes to stop a run.
      notice_ms: Time after which a lasting task counts as down.
      order_pause_ms: Least time between orders of two leaders for a machine.
      move_ms: Time that a machine takes to move to another pool.
      maintenance_ms: Time that its maintenance takes.
      status_ms: Time for which an ended job is remembered.
    """

    longest_lease_ms: int = 6_000
    stop_ms: int = 200
    notice_ms: int = 4_500
    order_pause_ms: int = 3_000
    move_ms: int = 1_500
    maintenance_ms: int = 2_000
    status_ms: int = 120_000


@dataclass(frozen=True, slots=True)
class Following:
    """How far a log was read.

    Attributes:
      next_offset: Where to read on, -1 to begin with the newest of each key.
      reading: Whether a read is under way.
      fresh_ms: Clock up to which the log is known, or -1.
      failed_ms: Clock of the latest failure since then, or -1.
      grown_ms: Clock at which the log was last seen to have grown.
    """

    next_offset: int = -1
    reading: bool = False
    fresh_ms: int = -1
    failed_ms: int = -1
    grown_ms: int = 0


@dataclass(frozen=True, slots=True)
class Term:
    """This node's own time as the leader.

    Attributes:
      epoch: Fencing token, 0 while it does not lead.
      claiming: Epoch that it has asked for, or 0.
      began_ms: Clock at which the term began.
      confirmed_ms: Clock at which its latest stored write was sent.
      storing: Whether a write is under way.
      resigned: Whether its resignation is stored.
      beats: Heartbeats written.
      written_jobs: Jobs whose progress the write under way holds.
      written_workers: Workers whose record it holds.
      written_waves: Waves whose record it holds.
      written_machines: Machines that it says may have orders.
    """

    epoch: int = 0
    claiming: int = 0
    began_ms: int = 0
    confirmed_ms: int = 0
    storing: bool = False
    resigned: bool = False
    beats: int = 0
    written_jobs: tuple[Progress, ...] = ()
    written_workers: tuple[LeasedWorker, ...] = ()
    written_waves: tuple[int, ...] = ()
    written_machines: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Work:
    """A job that has not ended, as the leader works on it.

    Attributes:
      plan: The job.
      progress: How far it has come.
      accepted_ms: Clock at which this node first saw it.
      goal_ms: Clock at which it should be done.
      waiting: Tasks that may start.
      running: Number of tasks that run.
      inherited: Whether an earlier leader may have started tasks of it.
      work_left: Declared processor time of the tasks that are not done, in
        core-milliseconds.
    """

    plan: JobPlan
    progress: Progress
    accepted_ms: int
    goal_ms: int
    waiting: tuple[TaskPlace, ...] = ()
    running: int = 0
    inherited: bool = False
    work_left: float = 0.0


class RunState(Enum):
    """How far an order to run a task has come."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(frozen=True, slots=True)
class Run:
    """A task on a worker, or on its way there.

    Attributes:
      task: Identifier of the task.
      job_id: Identifier of its job.
      place: Where it stands within the job.
      number: Number of the run.
      worker_id: The worker.
      team: Team that it is charged to.
      size: Room that it takes.
      state: How far the order has come.
      sent_ms: Clock at which the start was first sent.
      answered_ms: Clock at which the worker confirmed it, or -1.
      tries: How often the start was sent.
      lease_end_ms: Clock after which the start can no longer take effect.
      checkpoint: Newest checkpoint, or "".
      percent: Share of full speed as last reported.
      load: Response time tail or processor use as last reported.
      pace: Share of its speed that it was last told to work at.
      lasting: Whether it runs until it is cancelled.
      fills: Whether it takes only processor time left over.
      tail_target_ms: Response time that it must keep, or 0.
    """

    task: str
    job_id: str
    place: TaskPlace
    number: int
    worker_id: str
    team: str
    size: Size
    state: RunState
    sent_ms: int
    answered_ms: int = -1
    tries: int = 1
    lease_end_ms: int = 0
    checkpoint: str = ""
    percent: int = 0
    load: float = 0.0
    pace: int = 100
    lasting: bool = False
    fills: bool = False
    tail_target_ms: int = 0


@dataclass(frozen=True, slots=True)
class Worker:
    """A worker as the leader knows it.

    Attributes:
      entry: What it registered.
      listed: Whether it is registered now.
      leased: Whether it is stored that runs may be on it.
      reached: Whether it has answered in this term.
      watching: Whether a call for its lists is under way.
      clock_ms: The worker's clock at its latest answer.
      seen_ms: Clock of this node at that answer.
      answered_ms: Clock at which the latest answered call was sent.
      lease_end_ms: Clock after which nothing can run on it any more.
      ended: Ends up to this one were taken in.
      ended_stored: Ends up to this one are stored.
      tasks: Tasks on it or on their way, mapped to True.
      used: Room that they take.
      silences: Calls without an answer since the latest answer.
      failures: Runs that failed since the latest that ended well.
      aside_until_ms: Clock until which nothing is started on it.
      leaving: Whether its machine is to be moved or maintained.
      over: Whether its life was ended by an order for its machine.
      strangers: Runs on it that nobody wants; their room is not known.
    """

    entry: WorkerEntry
    listed: bool = True
    leased: bool = False
    reached: bool = False
    watching: bool = False
    clock_ms: int = 0
    seen_ms: int = -1
    answered_ms: int = -1
    lease_end_ms: int = 0
    ended: int = 0
    ended_stored: int = 0
    tasks: Map[str, bool] = EMPTY_MAP
    used: Size = NO_SIZE
    silences: int = 0
    failures: int = 0
    aside_until_ms: int = 0
    leaving: bool = False
    over: bool = False
    strangers: int = 0


class CallStage(Enum):
    """What a call waits for."""

    STORING = "storing"
    READING_JOBS = "reading jobs"
    READING_PROGRESS = "reading progress"


@dataclass(frozen=True, slots=True)
class WaitingCall:
    """A call that is not answered yet.

    Attributes:
      call: The call.
      job_id: Job that it is about.
      team: Team of the caller.
      stage: What it waits for.
      since_ms: Clock at which it began to wait for that.
      ends_ms: Clock at which it is given up.
    """

    call: JobCall
    job_id: str
    team: str
    stage: CallStage
    since_ms: int
    ends_ms: int


class MachineOrder(Enum):
    """What was asked of a machine."""

    MOVE = "move"
    MAINTENANCE = "maintenance"


@dataclass(frozen=True, slots=True)
class PendingOrder:
    """An order for a machine that is not seen to be carried out yet.

    Attributes:
      order: What was asked.
      pool: Pool to join, or "" for maintenance.
      wave: Wave that asked for maintenance, or 0.
      worker_id: Worker that has to be empty first, or "".
      since_ms: Clock at which it was decided.
      sent_ms: Clock at which it was last sent, or -1 while its worker
        empties.
      done_ms: Clock at which the platform took it, or -1.
      stored: Whether it is stored that the machine may have an order.
    """

    order: MachineOrder
    pool: str
    wave: int
    worker_id: str
    since_ms: int
    sent_ms: int = -1
    done_ms: int = -1
    stored: bool = False


@dataclass(frozen=True, slots=True)
class WaveProgress:
    """A wave of maintenance as the leader works on it.

    Attributes:
      wave: The wave.
      seen_ms: Clock at which this node first saw it.
      completed: Whether its end was reported.
      reported: Whether its beginning was reported.
    """

    wave: Wave
    seen_ms: int
    completed: bool = False
    reported: bool = False


@dataclass(frozen=True, slots=True)
class Peak:
    """The highest of a pool's needs in the latest time.

    Attributes:
      workers: Workers that were needed.
      at_ms: Clock at which they were.
    """

    workers: int
    at_ms: int


@dataclass(frozen=True, slots=True)
class Arrivals:
    """How fast a queue's jobs come.

    Attributes:
      jobs_per_s: Mean of the latest time, with old arrivals fading out.
      at_ms: Clock for which the mean holds.
    """

    jobs_per_s: float = 0.0
    at_ms: int = 0


@dataclass(frozen=True, slots=True)
class FleetState:
    """Machines, and what is to happen to them.

    Attributes:
      machines_by_name: Machines as last listed.
      listed_ms: Clock of that list, or -1.
      listing: Whether a list is under way.
      orders_by_machine: Orders that are not carried out yet.
      waves_by_number: Waves of maintenance.
      peaks_by_pool: Workers that each pool has needed of late.
      touched_ms_by_machine: Clock of the latest decision for a machine.
      inherited: Machines that an earlier leader may have orders for.
      targets_by_pool: Workers that each pool shall have.
      unstored: Whether there are machines with orders not stored yet.
    """

    machines_by_name: Map[str, Machine] = EMPTY_MAP
    listed_ms: int = -1
    listing: bool = False
    orders_by_machine: Map[str, PendingOrder] = EMPTY_MAP
    waves_by_number: Map[int, WaveProgress] = EMPTY_MAP
    peaks_by_pool: Map[str, Peak] = EMPTY_MAP
    touched_ms_by_machine: Map[str, int] = EMPTY_MAP
    inherited: tuple[str, ...] = ()
    targets_by_pool: Map[str, int] = EMPTY_MAP
    unstored: bool = False


@dataclass(frozen=True, slots=True)
class ManagerState:
    """Everything that a manager knows.

    Attributes:
      name: Name of the node.
      rank: Number drawn at the start; spreads the nodes' claims of the role.
      timing: Bounds that the platform sets.
      stopping: Whether it was asked to stop.
      stopping_ms: Clock at which it was.
      ready: Whether the balancer was told that it takes calls.
      manifest: The newest manifest, or None before the first.
      operator, workers, jobs, progress: How far each log was read.
      plans_by_id: Jobs as handed in; of ended ones only while they are new.
      team_by_job_id: Team of every known job.
      queue_by_job_id: Queue of every known job.
      phase_by_job_id: Stored phase of the jobs that have progress.
      ended_ms_by_job_id: Clock at which a job was first known to have ended.
      cancelled_by_job_id: Jobs that somebody asked to stop.
      progress_by_id: Stored progress of the jobs that have not ended.
      leased_by_id: Workers on which a leader may have started something.
      leader: The newest record of a leader, or None.
      term: This node's own time as the leader.
      jobs_known: Whether all jobs that an earlier leader may have known are
        known, so that later ones are certainly not started.
      calls_by_id: Calls that are not answered yet.
      works_by_id: Jobs that have not ended, while this node leads.
      runs_by_task: Runs that may be going on, while this node leads.
      numbers_by_task: Highest number of a run, of tasks that have run.
      failed_on_by_task: Worker on which a task last failed.
      workers_by_id: Workers, while this node leads.
      worker_ids_by_pool: Their identifiers, mapped to True.
      job_ids_by_pool: Jobs with tasks that may start, mapped to True.
      used_by_team: Room that a team's runs take.
      arrivals_by_queue: How fast jobs come.
      mean_work_by_queue: Processor time of a mean job, in
        core-milliseconds, of the queues that had any.
      dirty_jobs: Jobs whose progress is not stored yet.
      dirty_workers: Workers whose record is not stored yet.
      dirty_waves: Waves whose record is not stored yet.
      ordered_machines: Machines that a leader may have orders for, as it is
        stored.
      maintained_by_wave: Machines whose maintenance in a wave has begun.
      ended_now: Whether a job's end waits to be stored.
      placing_pools: Pools whose next round of placing is due.
      wall_offset_ms: Time of day less the node's clock.
      fleet: Machines, and what is to happen to them.
    """

    name: str
    rank: int = 0
    timing: Timing = Timing()
    stopping: bool = False
    stopping_ms: int = 0
    ready: bool = False
    manifest: Manifest | None = None
    operator: Following = Following()
    workers: Following = Following()
    jobs: Following = Following()
    progress: Following = Following()
    plans_by_id: Map[str, JobPlan] = EMPTY_MAP
    team_by_job_id: Map[str, str] = EMPTY_MAP
    queue_by_job_id: Map[str, str] = EMPTY_MAP
    phase_by_job_id: Map[str, JobPhase] = EMPTY_MAP
    ended_ms_by_job_id: Map[str, int] = EMPTY_MAP
    cancelled_by_job_id: Map[str, bool] = EMPTY_MAP
    progress_by_id: Map[str, Progress] = EMPTY_MAP
    leased_by_id: Map[str, LeasedWorker] = EMPTY_MAP
    leader: Leader | None = None
    term: Term = Term()
    jobs_known: bool = False
    calls_by_id: Map[int, WaitingCall] = EMPTY_MAP
    works_by_id: Map[str, Work] = EMPTY_MAP
    runs_by_task: Map[str, Run] = EMPTY_MAP
    numbers_by_task: Map[str, int] = EMPTY_MAP
    failed_on_by_task: Map[str, str] = EMPTY_MAP
    workers_by_id: Map[str, Worker] = EMPTY_MAP
    worker_ids_by_pool: Map[str, Map[str, bool]] = EMPTY_MAP
    job_ids_by_pool: Map[str, Map[str, bool]] = EMPTY_MAP
    used_by_team: Map[str, Size] = EMPTY_MAP
    arrivals_by_queue: Map[str, Arrivals] = EMPTY_MAP
    mean_work_by_queue: Map[str, float] = EMPTY_MAP
    dirty_jobs: Map[str, bool] = EMPTY_MAP
    dirty_workers: Map[str, bool] = EMPTY_MAP
    dirty_waves: Map[int, bool] = EMPTY_MAP
    ordered_machines: tuple[str, ...] = ()
    maintained_by_wave: Map[int, tuple[str, ...]] = EMPTY_MAP
    ended_now: bool = False
    placing_pools: Map[str, bool] = EMPTY_MAP
    wall_offset_ms: int = 0
    fleet: FleetState = FleetState()
