"""State of a manager: jobs as shown to callers, and the leader's own state.

All points in time are on this node's clock.
"""

from dataclasses import dataclass
from enum import Enum

from immutables import Map

from sesamehall.core.advicestate import AdviceState
from sesamehall.core.calls import JobCall
from sesamehall.core.codes import ResultCode
from sesamehall.core.data import EMPTY_MAP
from sesamehall.core.data import JobPhase
from sesamehall.core.draining import DrainingState
from sesamehall.core.fleet import CancelAsked
from sesamehall.core.fleet import Leader
from sesamehall.core.fleet import LeasedWorker
from sesamehall.core.fleet import OrderedMachines
from sesamehall.core.fleet import QueuePools
from sesamehall.core.fleetstate import FleetState
from sesamehall.core.jobtiming import LEADER_CORES
from sesamehall.core.jobtiming import ORDER_WINDOW_INITIAL
from sesamehall.core.manifest import Manifest
from sesamehall.core.peercalls import PeerAttempts
from sesamehall.core.peercalls import PeerState
from sesamehall.core.runtimes import QueueRunTimes
from sesamehall.core.shares import PoolShares
from sesamehall.core.turnstate import TurnHistory
from sesamehall.core.unreportedstate import EndedJob
from sesamehall.core.work import CompactProgress
from sesamehall.core.work import JobPlan
from sesamehall.core.work import Progress
from sesamehall.core.work import Size
from sesamehall.core.workstate import ActiveJob
from sesamehall.core.workstate import Arrivals
from sesamehall.core.workstate import Durations
from sesamehall.core.workstate import Run
from sesamehall.core.workstate import Worker


@dataclass(frozen=True, slots=True)
class Timing:
    """Time limits that the platform sets.

    `max_stop_ms`, `down_after_ms`, `move_ms`, `maintenance_ms` and
    `status_retention_ms` are read from the settings but not used yet.

    Attributes:
      max_lease_ms: Longest lease that a worker grants.
      max_stop_ms: Longest time that a worker takes to stop a run.
      down_after_ms: Time after which a long-running task counts as down.
      order_pause_ms: Minimum time between orders of two leaders for one
        machine.
      move_ms: Time that a machine takes to move to another pool.
      maintenance_ms: Time that a machine's maintenance takes.
      status_retention_ms: Time for which the status of an ended job is kept.
      drain_within_ms: Time after the request to drain a data centre from which
        nothing may start there, or 0 for no limit.
      max_stretch_ms: Time that is added to this while the store is unstable.
    """

    max_lease_ms: int = 6_000
    max_stop_ms: int = 200
    down_after_ms: int = 4_500
    order_pause_ms: int = 3_000
    move_ms: int = 1_500
    maintenance_ms: int = 2_000
    status_retention_ms: int = 120_000
    drain_within_ms: int = 0
    max_stretch_ms: int = 0


@dataclass(frozen=True)
class StreamCursor:
    """Read position in a stream of the platform's store.

    Attributes:
      next_offset: Offset to read next, or -1 to begin with the newest record
        of each key.
      read_in_flight: Whether a read is in flight.
      known_until_ms: Time up to which the content of the stream is known,
        or -1.
      failed_ms: Time of the latest failed read since the last successful
        one, or -1.
      last_growth_ms: Time at which new records were last read.
      recovered_ms: Time of the first successful read after failures, or -1.
      sent_ms: Time at which the latest read was sent, or -1.
      read_ms: Time of the latest successful read, or -1.
    """

    next_offset: int = -1
    read_in_flight: bool = False
    known_until_ms: int = -1
    failed_ms: int = -1
    last_growth_ms: int = 0
    recovered_ms: int = -1
    sent_ms: int = -1
    read_ms: int = -1


@dataclass(frozen=True, slots=True)
class Batch:
    """Content of a leader's write, besides its heartbeat.

    Attributes:
      jobs: Progress of jobs.
      workers: Workers that may have runs.
      dropped_workers: Workers whose record the write deletes.
      waves: Waves whose record the write contains.
      machines: Machines that may have orders, or None if the write contains
        no record about machines.
      queues: Queues and the pools that may run their tasks.
      dropped_queues: Queues whose record the write deletes.
    """

    jobs: tuple[CompactProgress, ...] = ()
    workers: tuple[LeasedWorker, ...] = ()
    dropped_workers: tuple[str, ...] = ()
    waves: tuple[int, ...] = ()
    machines: tuple[str, ...] | None = None
    queues: tuple[QueuePools, ...] = ()
    dropped_queues: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class CallTimes:
    """Latency of the leader's calls to workers, used to detect a slow node.

    Attributes:
      mean_ms: Moving average of the time from sending an order to its answer.
      slow_since_ms: Time since which the average is too high, or -1.
      grace_until_ms: Time before which the leader does not count as behind.
      behind: Whether it hands the leader role over because calls were slow.
    """

    mean_ms: float = 0.0
    slow_since_ms: int = -1
    grace_until_ms: int = 0
    behind: bool = False


@dataclass(frozen=True)
class Term:
    """This node's own term as the leader.

    Attributes:
      epoch: Fencing token, or 0 while the node does not lead.
      claimed_epoch: Epoch that the node has claimed, or 0.
      began_ms: Time at which the term began.
      confirmed_ms: Time at which the latest confirmed write was sent.
      write_in_flight: Whether a write is in flight.
      resigned: Whether the resignation is stored.
      handover_since_ms: Time at which the handover of the leader role began,
        or -1.
      heartbeats: Number of heartbeats written.
      batch_in_flight: Content of the write in flight.
      call_times: Latency of calls to workers.
    """

    epoch: int = 0
    claimed_epoch: int = 0
    began_ms: int = 0
    confirmed_ms: int = 0
    write_in_flight: bool = False
    resigned: bool = False
    handover_since_ms: int = -1
    heartbeats: int = 0
    batch_in_flight: Batch = Batch()
    call_times: CallTimes = CallTimes()


@dataclass(frozen=True, slots=True)
class LeadershipOffer:
    """When this node next offers to replace a weaker leader.

    Attributes:
      epoch: Term of that leader.
      due_ms: Time at which the offer is due.
    """

    epoch: int = 0
    due_ms: int = 0


class CallStage(Enum):
    """What a call waits for."""

    STORING = "storing"
    READING_JOBS = "reading jobs"
    READING_PROGRESS = "reading progress"
    FORWARDED = "forwarded"


@dataclass(frozen=True, slots=True)
class WaitingCall:
    """A call that is not answered yet.

    Attributes:
      call: The call.
      job_id: Job that the call is about.
      team: Team of the caller.
      stage: What the call waits for.
      since_ms: Time at which this stage began.
      deadline_ms: Time at which the call times out.
      peers: Peers that it was forwarded to; in the stage FORWARDED it waits
        for them alone.
      may_be_stored: Whether its record may be stored although neither this
        node nor a peer has confirmed it.
      own_failure: How this node failed to serve it, or None before it tried.
    """

    call: JobCall
    job_id: str
    team: str
    stage: CallStage
    since_ms: int
    deadline_ms: int
    peers: PeerAttempts = PeerAttempts()
    may_be_stored: bool = False
    own_failure: ResultCode | None = None


@dataclass(frozen=True)
class ManagerState:
    """The whole state of a manager.

    Attributes:
      name: Name of the node.
      jitter_seed: Random number drawn at the start; spreads the claims and
        offers of different nodes over time.
      cores: Processor cores that the node may use.
      timing: Time limits that the platform sets.
      stopping: Whether a stop of the node was requested.
      stop_requested_ms: Time at which the stop was requested.
      ready: Whether the node reports to the load balancer that it serves
        calls.
      manifest: The newest manifest, or None before the first.
      operator_cursor: Read position in the operators' stream.
      workers_cursor: Read position in the stream of workers.
      jobs_cursor: Read position in the stream of jobs.
      progress_cursor: Read position in the stream of the leader's records.
      plans_by_id: Submitted jobs, without those that are known to have ended.
      first_seen_ms_by_job_id: Time at which this node first read each of
        them.
      team_by_job_id: Team of every known job.
      phase_by_job_id: Stored phase of the jobs that have progress.
      ended_ms_by_job_id: Time at which a job was first known to have ended.
      ended_jobs_by_id: Jobs that have ended recently while runs of them may go
        on.
      cancelled_by_job_id: Jobs with a cancel request of their team.
      early_cancels_by_job_id: Cancel requests that were read before their job.
      progress_by_id: Stored progress of the jobs that have not ended.
      leased_workers_by_id: Workers on which a leader may have started runs.
      long_lease_ends_by_worker_id: Ends of the long leases that these records
        tell, counted from when they were read.
      pools_by_queue: Stored pools on whose workers tasks of a queue may run;
        tasks are started only in these.
      leader: The newest leader record, or None.
      leader_seen_ms: Time at which it was read.
      earlier_renewals_end_ms: Time until which the leaders before that one
        may renew leases; its records tell other nodes.
      term: This node's own term as the leader.
      max_cores_seen: Most processor cores reported by any leader or by any
        node that offered to lead, or 0 before any.
      leadership_offer: When this node next offers to replace a weaker leader.
      claim_backoff_until_ms: Time until which this node lets others claim
        the leader role first, since it was behind when it led.
      jobs_caught_up: Whether all jobs that an earlier leader may have known
        are read. Jobs read later have certainly not been started.
      calls_by_id: Calls that are not answered yet.
      active_jobs_by_id: Jobs that have not ended; filled while this node
        leads.
      runs_by_task: Runs that may be active; filled while this node leads.
      highest_run_number_by_task: Highest run number of each task that was
        run.
      last_failed_worker_by_task: Worker on which a run of the task last
        failed, by "job.step.index"; the key has no occurrence, so all
        occurrences of a task share it.
      stall_count_by_task: Number of runs of a task that were stopped because
        they stalled.
      workers_by_id: Workers; filled while this node leads.
      worker_ids_by_pool: Their identifiers, mapped to True.
      job_ids_by_pool: Jobs with tasks that may start, mapped to True.
      used_by_team: Resources that a team's runs reserve.
      shares_by_pool: Division of each pool among the teams.
      arrivals_by_queue: Arrival rate of jobs.
      durations_by_queue: Measured run times of tasks.
      run_times_by_queue: Averages that run times are forecast from.
      mean_core_ms_by_queue: Mean processor time of a job, in
        core-milliseconds, of the queues that had any.
      dirty_jobs: Jobs whose progress is not stored yet.
      dirty_workers: Workers whose record is not stored yet.
      dirty_waves: Waves whose record is not stored yet.
      dirty_queues: Queues whose record of pools is not stored yet.
      ordered_machines: Stored record of the machines that leaders before this
        node's term may have ordered, or None; also None later in the term,
        once those orders have been carried out or never will be.
      maintenance_accepted_by_wave: Machines of a wave for which the platform
        has accepted an order for maintenance.
      job_end_unstored: Whether a job has ended and that is not stored yet.
      placement_scheduled_pools: Pools with a scheduled placement round,
        mapped to True.
      start_ordered_ms_by_run: Time at which a start order without an answer
        was sent, by task and run number.
      order_window: Maximum number of start orders in flight.
      window_blocked_pools: Pools whose placement waits until fewer start
        orders are in flight, mapped to True.
      waiting_logged_ms_by_pool: Time at which a pool's waiting tasks were
        last logged.
      advice: Requests to the advice service and its answers.
      wall_offset_ms: Time of day minus the node's clock.
      fleet: Machines and the orders for them.
      draining: Data centres in which nothing may be started.
      peers: What this node knows of its peers.
      turns: What the node has learnt about the turns of the queues.
    """

    name: str
    jitter_seed: int = 0
    cores: float = LEADER_CORES
    timing: Timing = Timing()
    stopping: bool = False
    stop_requested_ms: int = 0
    ready: bool = False
    manifest: Manifest | None = None
    operator_cursor: StreamCursor = StreamCursor()
    workers_cursor: StreamCursor = StreamCursor()
    jobs_cursor: StreamCursor = StreamCursor()
    progress_cursor: StreamCursor = StreamCursor()
    plans_by_id: Map[str, JobPlan] = EMPTY_MAP
    first_seen_ms_by_job_id: Map[str, int] = EMPTY_MAP
    team_by_job_id: Map[str, str] = EMPTY_MAP
    phase_by_job_id: Map[str, JobPhase] = EMPTY_MAP
    ended_ms_by_job_id: Map[str, int] = EMPTY_MAP
    ended_jobs_by_id: Map[str, EndedJob] = EMPTY_MAP
    cancelled_by_job_id: Map[str, bool] = EMPTY_MAP
    early_cancels_by_job_id: Map[str, tuple[CancelAsked, ...]] = EMPTY_MAP
    progress_by_id: Map[str, Progress | CompactProgress] = EMPTY_MAP
    leased_workers_by_id: Map[str, LeasedWorker] = EMPTY_MAP
    long_lease_ends_by_worker_id: Map[str, int] = EMPTY_MAP
    pools_by_queue: Map[str, tuple[str, ...]] = EMPTY_MAP
    leader: Leader | None = None
    leader_seen_ms: int = 0
    earlier_renewals_end_ms: int = 0
    term: Term = Term()
    max_cores_seen: float = 0.0
    leadership_offer: LeadershipOffer = LeadershipOffer()
    claim_backoff_until_ms: int = 0
    jobs_caught_up: bool = False
    calls_by_id: Map[int, WaitingCall] = EMPTY_MAP
    active_jobs_by_id: Map[str, ActiveJob] = EMPTY_MAP
    runs_by_task: Map[str, Run] = EMPTY_MAP
    highest_run_number_by_task: Map[str, int] = EMPTY_MAP
    last_failed_worker_by_task: Map[str, str] = EMPTY_MAP
    stall_count_by_task: Map[str, int] = EMPTY_MAP
    workers_by_id: Map[str, Worker] = EMPTY_MAP
    worker_ids_by_pool: Map[str, Map[str, bool]] = EMPTY_MAP
    job_ids_by_pool: Map[str, Map[str, bool]] = EMPTY_MAP
    used_by_team: Map[str, Size] = EMPTY_MAP
    shares_by_pool: Map[str, PoolShares] = EMPTY_MAP
    arrivals_by_queue: Map[str, Arrivals] = EMPTY_MAP
    durations_by_queue: Map[str, Durations] = EMPTY_MAP
    run_times_by_queue: Map[str, QueueRunTimes] = EMPTY_MAP
    mean_core_ms_by_queue: Map[str, float] = EMPTY_MAP
    dirty_jobs: Map[str, bool] = EMPTY_MAP
    dirty_workers: Map[str, bool] = EMPTY_MAP
    dirty_waves: Map[int, bool] = EMPTY_MAP
    dirty_queues: Map[str, bool] = EMPTY_MAP
    ordered_machines: OrderedMachines | None = None
    maintenance_accepted_by_wave: Map[int, tuple[str, ...]] = EMPTY_MAP
    job_end_unstored: bool = False
    placement_scheduled_pools: Map[str, bool] = EMPTY_MAP
    start_ordered_ms_by_run: Map[tuple[str, int], int] = EMPTY_MAP
    order_window: int = ORDER_WINDOW_INITIAL
    window_blocked_pools: Map[str, bool] = EMPTY_MAP
    waiting_logged_ms_by_pool: Map[str, int] = EMPTY_MAP
    advice: AdviceState = AdviceState()
    wall_offset_ms: int = 0
    fleet: FleetState = FleetState()
    draining: DrainingState = DrainingState()
    peers: PeerState = PeerState()
    turns: TurnHistory = TurnHistory()
