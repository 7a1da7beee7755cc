"""State of a manager: callers' jobs, and as leader all workers."""

from dataclasses import dataclass
from enum import Enum

from immutables import Map

from sesamehall.core.calls import JobCall
from sesamehall.core.data import EMPTY_MAP
from sesamehall.core.data import JobPhase
from sesamehall.core.fleet import Leader
from sesamehall.core.fleet import LeasedWorker
from sesamehall.core.fleet import OrderedMachines
from sesamehall.core.fleetstate import FleetState
from sesamehall.core.jobtiming import LEADER_CORES
from sesamehall.core.jobtiming import ORDER_WINDOW_INITIAL
from sesamehall.core.manifest import Manifest
from sesamehall.core.work import JobPlan
from sesamehall.core.work import Progress
from sesamehall.core.work import Size
from sesamehall.core.workstate import ActiveJob
from sesamehall.core.workstate import Arrivals
from sesamehall.core.workstate import Durations
from sesamehall.core.workstate import Run
from sesamehall.core.workstate import Ticket
from sesamehall.core.workstate import Worker


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


@dataclass(frozen=True)
class Following:
    """How far a log was read.

    Attributes:
      next_offset: Where to read on, -1 to begin with the newest of each key.
      reading: Whether a read is under way.
      fresh_ms: Clock up to which the log is known, or -1.
      failed_ms: Clock of the latest failure since then, or -1.
      grown_ms: Clock at which the log was last seen to have grown.
      back_ms: Clock at which it could be read again after failures, or -1.
    """

    next_offset: int = -1
    reading: bool = False
    fresh_ms: int = -1
    failed_ms: int = -1
    grown_ms: int = 0
    back_ms: int = -1


@dataclass(frozen=True, slots=True)
class Batch:
    """What a write of the leader holds beside the heartbeat.

    Attributes:
      jobs: Progress of jobs.
      workers: Workers on which runs may be.
      dropped_workers: Workers whose record it drops.
      waves: Waves whose record it holds.
      machines: Machines that it says may have orders, or None where it tells
        nothing of machines.
    """

    jobs: tuple[Progress, ...] = ()
    workers: tuple[LeasedWorker, ...] = ()
    dropped_workers: tuple[str, ...] = ()
    waves: tuple[int, ...] = ()
    machines: tuple[str, ...] | None = None


@dataclass(frozen=True, slots=True)
class CallTimes:
    """How long the leader's calls to workers take, to tell a slow node.

    Attributes:
      mean_ms: Mean time from sending an order to its answer.
      slow_since_ms: Clock since which that is too long, or -1.
      judged_from_ms: Clock from which on the leader may count as behind.
      behind: Whether it hands the role over because calls were slow.
    """

    mean_ms: float = 0.0
    slow_since_ms: int = -1
    judged_from_ms: int = 0
    behind: bool = False


@dataclass(frozen=True)
class Term:
    """This node's own time as the leader.

    Attributes:
      epoch: Fencing token, 0 while it does not lead.
      claiming: Epoch that it has asked for, or 0.
      began_ms: Clock at which the term began.
      confirmed_ms: Clock at which its latest stored write was sent.
      storing: Whether a write is under way.
      resigned: Whether its resignation is stored.
      handover_ms: Clock at which it began to hand the role over, or -1.
      beats: Heartbeats written.
      written: What the write under way holds.
      calls: How long calls to workers take.
    """

    epoch: int = 0
    claiming: int = 0
    began_ms: int = 0
    confirmed_ms: int = 0
    storing: bool = False
    resigned: bool = False
    handover_ms: int = -1
    beats: int = 0
    written: Batch = Batch()
    calls: CallTimes = CallTimes()


@dataclass(frozen=True, slots=True)
class Offer:
    """When this node offers next to lead in the place of a weaker leader.

    Attributes:
      epoch: Term of that leader.
      due_ms: Clock at which it does.
    """

    epoch: int = 0
    due_ms: int = 0


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


@dataclass(frozen=True)
class ManagerState:
    """Everything that a manager knows.

    Attributes:
      name: Name of the node.
      rank: Number drawn at the start; spreads the nodes' claims of the role.
      cores: Processor cores that the node may use.
      timing: Bounds that the platform sets.
      stopping: Whether it was asked to stop.
      stopping_ms: Clock at which it was.
      ready: Whether the balancer was told that it takes calls.
      manifest: The newest manifest, or None before the first.
      operator, workers, jobs, progress: How far each log was read.
      plans_by_id: Jobs as handed in; of ended ones only while they are new.
      seen_ms_by_job_id: Clock at which this node first read each of them.
      team_by_job_id: Team of every known job.
      queue_by_job_id: Queue of every known job.
      phase_by_job_id: Stored phase of the jobs that have progress.
      ended_ms_by_job_id: Clock at which a job was first known to have ended.
      cancelled_by_job_id: Jobs that somebody asked to stop.
      progress_by_id: Stored progress of the jobs that have not ended.
      leased_by_id: Workers on which a leader may have started something.
      leader: The newest record of a leader, or None.
      leader_seen_ms: Clock at which it was read.
      renewals_end_ms: Clock until which leaders before that one may renew
        leases.
      term: This node's own time as the leader.
      most_cores: Most processor cores that a leader or a node that offered to
        lead was seen to have, or 0 before any.
      offer: When it offers to lead in the place of a weaker leader.
      yields_until_ms: Clock until which it lets others claim the role first,
        since it was behind when it led.
      jobs_known: Whether all jobs that an earlier leader may have known are
        known, so that later ones are certainly not started.
      calls_by_id: Calls that are not answered yet.
      works_by_id: Jobs that have not ended, while this node leads.
      runs_by_task: Runs that may be going on, while this node leads.
      numbers_by_task: Highest number of a run, of tasks that have run.
      failed_on_by_task: Worker on which a task last failed.
      stalls_by_task: How often runs of a task were stopped as standing still.
      workers_by_id: Workers, while this node leads.
      worker_ids_by_pool: Their identifiers, mapped to True.
      job_ids_by_pool: Jobs with tasks that may start, mapped to True.
      used_by_team: Room that a team's runs take.
      arrivals_by_queue: How fast jobs come.
      durations_by_queue: How long tasks take.
      mean_work_by_queue: Processor time of a mean job, in
        core-milliseconds, of the queues that had any.
      dirty_jobs: Jobs whose progress is not stored yet.
      dirty_workers: Workers whose record is not stored yet.
      dirty_waves: Waves whose record is not stored yet.
      ordered_machines: Machines that leaders may have orders for, as it is
        stored, or None.
      maintained_by_wave: Machines whose maintenance in a wave has begun.
      ended_now: Whether a job's end waits to be stored.
      placing_pools: Pools whose next round of placing is due.
      ordered_ms_by_run: Clock at which a start was ordered that has no answer
        yet, by task and number.
      order_window: Number of orders to start that may have no answer.
      held_pools: Pools whose placing waits for such answers, mapped to True.
      waits_told_by_pool: Clock at which a pool's waiting was last logged.
      tickets_by_step: What the advice service has said, by step and worker.
      advising: Step that the advice service is being asked about, or "".
      wall_offset_ms: Time of day less the node's clock.
      fleet: Machines, and what is to happen to them.
    """

    name: str
    rank: int = 0
    cores: float = LEADER_CORES
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
    seen_ms_by_job_id: Map[str, int] = EMPTY_MAP
    team_by_job_id: Map[str, str] = EMPTY_MAP
    queue_by_job_id: Map[str, str] = EMPTY_MAP
    phase_by_job_id: Map[str, JobPhase] = EMPTY_MAP
    ended_ms_by_job_id: Map[str, int] = EMPTY_MAP
    cancelled_by_job_id: Map[str, bool] = EMPTY_MAP
    progress_by_id: Map[str, Progress] = EMPTY_MAP
    leased_by_id: Map[str, LeasedWorker] = EMPTY_MAP
    leader: Leader | None = None
    leader_seen_ms: int = 0
    renewals_end_ms: int = 0
    term: Term = Term()
    most_cores: float = 0.0
    offer: Offer = Offer()
    yields_until_ms: int = 0
    jobs_known: bool = False
    calls_by_id: Map[int, WaitingCall] = EMPTY_MAP
    works_by_id: Map[str, ActiveJob] = EMPTY_MAP
    runs_by_task: Map[str, Run] = EMPTY_MAP
    numbers_by_task: Map[str, int] = EMPTY_MAP
    failed_on_by_task: Map[str, str] = EMPTY_MAP
    stalls_by_task: Map[str, int] = EMPTY_MAP
    workers_by_id: Map[str, Worker] = EMPTY_MAP
    worker_ids_by_pool: Map[str, Map[str, bool]] = EMPTY_MAP
    job_ids_by_pool: Map[str, Map[str, bool]] = EMPTY_MAP
    used_by_team: Map[str, Size] = EMPTY_MAP
    arrivals_by_queue: Map[str, Arrivals] = EMPTY_MAP
    durations_by_queue: Map[str, Durations] = EMPTY_MAP
    mean_work_by_queue: Map[str, float] = EMPTY_MAP
    dirty_jobs: Map[str, bool] = EMPTY_MAP
    dirty_workers: Map[str, bool] = EMPTY_MAP
    dirty_waves: Map[int, bool] = EMPTY_MAP
    ordered_machines: OrderedMachines | None = None
    maintained_by_wave: Map[int, tuple[str, ...]] = EMPTY_MAP
    ended_now: bool = False
    placing_pools: Map[str, bool] = EMPTY_MAP
    ordered_ms_by_run: Map[tuple[str, int], int] = EMPTY_MAP
    order_window: int = ORDER_WINDOW_INITIAL
    held_pools: Map[str, bool] = EMPTY_MAP
    waits_told_by_pool: Map[str, int] = EMPTY_MAP
    tickets_by_step: Map[str, Map[str, Ticket]] = EMPTY_MAP
    advising: str = ""
    wall_offset_ms: int = 0
    fleet: FleetState = FleetState()
