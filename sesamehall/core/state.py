"""State of a node, which the reducer maps to its successor.

Times are readings of the node's monotonic clock in milliseconds.

Each team's ceiling is divided into a fixed number of units.  The account in
the replicated log contains the units that no entry holds.  Entries withdraw
units from the account, deposit units in it, and lend units to each other.
After an incarnation of an entry has left or expired, each remaining member
settles with it: it writes the totals of the units that it has sent to and
received from that incarnation to the log.  Once all members have done so, the
units that the incarnation held return to the account.
"""

from dataclasses import dataclass
from enum import Enum

from immutables import Map

from sesamehall.core.agreement import Agreed
from sesamehall.core.data import EMPTY_MAP
from sesamehall.core.data import Instance
from sesamehall.core.data import Node
from sesamehall.core.data import Request
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.records import LogEntry
from sesamehall.core.records import Record


class Phase(Enum):
    """Stage of a node's lifecycle."""

    SERVING = "serving"
    STOPPING = "stopping"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class Identity:
    """Identity and fixed settings of a node.

    Attributes:
      node: The node itself.
      incarnation: Unique identifier of this run of the process; an entry
        appends "+" each time its lease has expired.
      peers_by_name: All nodes that it keeps streams with.
      queue_limit: Most waiting requests of a team at this entry.
    """

    node: Node
    incarnation: str
    peers_by_name: Map[str, Node] = EMPTY_MAP
    queue_limit: int = 256


@dataclass(frozen=True, slots=True)
class Peer:
    """An open stream to another node.

    Attributes:
      name: Name of the node.
      incarnation: Incarnation of the node, "" before its Hello.
      last_message_ms: Time at which its latest message arrived.
      next_offset: First offset of the log that it has not applied.
      log_end_known_ms: Latest time at which the peer knew that it had read
        to the end of the log, or -1.
      running_by_team: Requests that it reported in flight, by team.
      running_by_target: The same by target.
      waiting_by_queue: Requests that it reported as waiting only for a slot,
        by queue "service/team".
    """

    name: str
    incarnation: str
    last_message_ms: int
    next_offset: int = 0
    log_end_known_ms: int = -1
    running_by_team: Map[str, int] = EMPTY_MAP
    running_by_target: Map[str, int] = EMPTY_MAP
    waiting_by_queue: Map[str, int] = EMPTY_MAP


@dataclass(frozen=True, slots=True)
class Ticket:
    """A request that this entry has admitted and not answered yet.

    It is unrelated to the tickets of the advice service.

    Attributes:
      request: The request.
      team: Team that it is charged to.
      received_ms: Time at which it arrived.
      attempt: Number of attempts made.
      target: Target of the attempt in flight, or "" while it waits.
      tried: Targets that further attempts avoid.
    """

    request: Request
    team: str
    received_ms: int
    attempt: int = 0
    target: str = ""
    tried: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class TeamQueue:
    """A team's queue of requests for a service, oldest first.

    It may still contain requests that have been answered, which are skipped.

    Attributes:
      urgent: Identifiers of urgent requests, which go first.
      normal: Identifiers of the other requests.
    """

    urgent: tuple[str, ...] = ()
    normal: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Target:
    """An executor with what this entry knows of its health.

    Attributes:
      instance: The instance as the platform lists it.
      failures: Attempts that failed since the last success.
      quarantined: Whether it gets no requests until a timer ends the pause,
        because it failed repeatedly or was full.
      probing: Whether it gets a single request at a time until one succeeds.
    """

    instance: Instance
    failures: int = 0
    quarantined: bool = False
    probing: bool = False


@dataclass(frozen=True, slots=True)
class PendingJobCall:
    """A job call that waits for its record to be read back from the log.

    Attributes:
      record_id: Identifier of the record.
      job_id: Identifier of the job.
      team: Team of the caller.
      cancels: Whether it cancels the job; otherwise it submits the job.
    """

    record_id: str
    job_id: str
    team: str
    cancels: bool


@dataclass(frozen=True, slots=True)
class EntryState:
    """Requests, targets and job calls of an entry.

    Attributes:
      tickets_by_request_id: Admitted requests without an answer.
      queues_by_service: Queues by service and team.
      waiting_by_team: Number of waiting requests.
      running_by_team: Requests in flight, including lingering attempts.
      running_by_target: The same by target.
      lingering_by_attempt: Attempts whose outcome is unknown and that may
        still be running, by name "request#number".
      targets_by_name: Instances that requests may be sent to.
      targets_by_pool: Names of the targets of each pool, sorted.
      retry_budget_milli: Retries that may be spent, in thousandths.
      remote_running_by_team: Requests in flight at other entries.
      remote_running_by_target: The same by target.
      remote_waiting_by_queue: Requests that wait only for a slot at other
        entries, by queue "service/team".
      reported_by_queue: Latest reported lengths of this entry's queues.
      instances: The platform's list, as forwarded by a steward.
      report_scheduled: Whether the timer of the next load report is set.
      changed_teams: Teams with unreported changes of load, mapped to True.
      changed_targets: The same for targets.
      job_calls_by_id: Job calls that wait for their records.
    """

    tickets_by_request_id: Map[str, Ticket] = EMPTY_MAP
    queues_by_service: Map[str, Map[str, TeamQueue]] = EMPTY_MAP
    waiting_by_team: Map[str, int] = EMPTY_MAP
    running_by_team: Map[str, int] = EMPTY_MAP
    running_by_target: Map[str, int] = EMPTY_MAP
    lingering_by_attempt: Map[str, Ticket] = EMPTY_MAP
    targets_by_name: Map[str, Target] = EMPTY_MAP
    targets_by_pool: Map[str, tuple[str, ...]] = EMPTY_MAP
    retry_budget_milli: int = 10_000
    remote_running_by_team: Map[str, int] = EMPTY_MAP
    remote_running_by_target: Map[str, int] = EMPTY_MAP
    remote_waiting_by_queue: Map[str, int] = EMPTY_MAP
    reported_by_queue: Map[str, int] = EMPTY_MAP
    instances: tuple[Instance, ...] = ()
    report_scheduled: bool = False
    changed_teams: Map[str, bool] = EMPTY_MAP
    changed_targets: Map[str, bool] = EMPTY_MAP
    job_calls_by_id: Map[str, PendingJobCall] = EMPTY_MAP


@dataclass(frozen=True, slots=True)
class Claim:
    """A caller's request id that this entry has granted, as a voter.

    Attributes:
      request_id: Identifier of the request that it was granted to.
      voters: Names of the entries that vote on the id.
    """

    request_id: str
    voters: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Ballot:
    """A request that waits for votes on its caller's request id.

    Attributes:
      ticket: The request.
      voters: Names of the entries that vote on the id.
      granted_by: Voters that have granted it.
      denied_by: Voters that have answered without granting it.
      taken: Whether a voter has granted the id to another request.
    """

    ticket: Ticket
    voters: tuple[str, ...]
    granted_by: tuple[str, ...] = ()
    denied_by: tuple[str, ...] = ()
    taken: bool = False


@dataclass(frozen=True, slots=True)
class Claims:
    """An entry's votes on callers' request ids, and its own pending claims.

    Granted claims are kept for one to two periods of retention.

    Attributes:
      current_by_name: Claims granted in the current period.
      previous_by_name: Claims granted in the previous period.
      period_start_ms: Time at which the current period began.
      started_ms: Time at which the process began.
      complete: Whether the claims include all that this entry may have
        granted before a restart.
      synced_peers: Peers that have sent all their claims since the start,
        mapped to True.
      ballots_by_request_id: Requests that wait for votes.
    """

    current_by_name: Map[str, Claim] = EMPTY_MAP
    previous_by_name: Map[str, Claim] = EMPTY_MAP
    period_start_ms: int = 0
    started_ms: int = 0
    complete: bool = False
    synced_peers: Map[str, bool] = EMPTY_MAP
    ballots_by_request_id: Map[str, Ballot] = EMPTY_MAP


@dataclass(frozen=True, slots=True)
class UnitsRequest:
    """A peer's request for units of a team's ceiling.

    Attributes:
      units: Units requested.
      units_held: Units that the peer holds.
    """

    units: int
    units_held: int


@dataclass(frozen=True, slots=True)
class Allotments:
    """The units of the ceilings that an entry holds, and its lease on them.

    Totals are running totals, kept for each incarnation of a peer.

    Attributes:
      sent_by_incarnation: Total units sent, by receiver and team.
      received_by_incarnation: Total units received, by sender and team.
      confirmed_by_incarnation: Totals that the receivers have confirmed, by
        receiver and team.
      net_by_team: Units received less units sent, over all incarnations
        that are not settled.
      deposits_by_record_id: Deposits that were not read back yet.
      withdrawals_by_team: Records of withdrawals not read back yet.
      requested_by_team: Units in the latest requests to peers.
      units_requests_by_team: Open requests of peers, by team and peer.
      renewal_record_id: Record that renews the lease, or "".
      renewal_proposed_ms: Time at which that record was first proposed.
      lease_end_ms: Time after which the entry may start nothing.
    """

    sent_by_incarnation: Map[str, Map[str, int]] = EMPTY_MAP
    received_by_incarnation: Map[str, Map[str, int]] = EMPTY_MAP
    confirmed_by_incarnation: Map[str, Map[str, int]] = EMPTY_MAP
    net_by_team: Map[str, int] = EMPTY_MAP
    deposits_by_record_id: Map[str, Map[str, int]] = EMPTY_MAP
    withdrawals_by_team: Map[str, str] = EMPTY_MAP
    requested_by_team: Map[str, int] = EMPTY_MAP
    units_requests_by_team: Map[str, Map[str, UnitsRequest]] = EMPTY_MAP
    renewal_record_id: str = ""
    renewal_proposed_ms: int = 0
    lease_end_ms: int = 0


@dataclass(frozen=True, slots=True)
class TaskWatch:
    """What the steward that places jobs knows of a placed job's task.

    Attributes:
      last_answer_ms: Time of the worker's latest answer.
      last_renewal_ms: Time at which the latest renewal was sent.
      final_call_ms: Time at which the worker was called a last time, after
        the lease had expired, or -1.
    """

    last_answer_ms: int
    last_renewal_ms: int
    final_call_ms: int = -1


@dataclass(frozen=True, slots=True)
class StewardState:
    """A steward's view of the log, the instances and the tasks.

    The holder of the role is the steward that places jobs, moves instances
    and declares entries expired.

    Attributes:
      read_in_flight: Whether a read of the log is in flight.
      last_read_ms: Time of the latest successful read of the log, or -1.
      snapshot_search_offset: Offset at which the search for a snapshot
        continues, or -1 when none is needed.
      snapshot_seen_ms: Time at which the latest snapshot was first seen.
      snapshot_seen_offset: Offset of that snapshot.
      log_read_failures: Reads of the log that failed since the last success.
      recent_log_entries: The newest log entries, without gaps.
      instances: The latest list of instances, sorted by name.
      instances_by_name: The same by name.
      instances_listed: Whether the platform has ever sent its list.
      next_offset_by_follower: First offset that was not sent to a follower.
      drain_reports: Received reports "operation>incarnation", mapped to
        True.
      role_seen_ms: Time at which the latest record of the holder of the role
        was first seen.
      role_seen_offset: Offset of that record.
      renewals_seen_ms: Time at which a renewal was first seen, by name
        "incarnation@offset".
      tasks_by_job_id: Tasks of placed jobs.
    """

    read_in_flight: bool = False
    last_read_ms: int = -1
    snapshot_search_offset: int = -1
    snapshot_seen_ms: int = 0
    # Differs from every Agreed.snapshot_offset, which is -1 before the first.
    snapshot_seen_offset: int = -2
    log_read_failures: int = 0
    recent_log_entries: tuple[LogEntry, ...] = ()
    instances: tuple[Instance, ...] = ()
    instances_by_name: Map[str, Instance] = EMPTY_MAP
    instances_listed: bool = False
    next_offset_by_follower: Map[str, int] = EMPTY_MAP
    drain_reports: Map[str, bool] = EMPTY_MAP
    role_seen_ms: int = 0
    role_seen_offset: int = -1
    renewals_seen_ms: Map[str, int] = EMPTY_MAP
    tasks_by_job_id: Map[str, TaskWatch] = EMPTY_MAP


@dataclass(frozen=True)
class State:
    """Whole state of a node.

    Attributes:
      identity: Identity of the node.
      phase: Stage of the node's lifecycle.
      stop_wait_start_ms: Time from which a stopping entry waits for the log;
        set again as long as it has requests, lingering attempts, job calls
        or ballots.
      serial: Counter that makes record ids unique.
      agreed: State replicated through the log, as far as it was read.
      peers_by_name: Peers with an open stream.
      proposals_by_record_id: Proposed records that were not read back yet.
      entry: State of an entry; unused on other nodes.
      allotments: Units of the ceilings that an entry holds.
      claims: Claims of callers' request ids at an entry.
      steward: State of a steward; unused on other nodes.
      manager: State of a manager; None on other nodes.
    """

    identity: Identity
    phase: Phase = Phase.SERVING
    stop_wait_start_ms: int = 0
    serial: int = 0
    agreed: Agreed = Agreed()
    peers_by_name: Map[str, Peer] = EMPTY_MAP
    proposals_by_record_id: Map[str, Record] = EMPTY_MAP
    entry: EntryState = EntryState()
    allotments: Allotments = Allotments()
    claims: Claims = Claims()
    steward: StewardState = StewardState()
    manager: ManagerState | None = None
