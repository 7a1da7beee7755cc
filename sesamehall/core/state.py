"""State of one node: what the reducer maps to its successor."""

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
    """Where a node stands between its start and its end."""

    SERVING = "serving"
    STOPPING = "stopping"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class Identity:
    """Who this node is; all of it comes from the settings.

    Attributes:
      node: The node itself.
      incarnation: Identifier of this start of the process.
      peers_by_name: All other nodes it keeps streams with.
      queue_limit: Most waiting requests of one team at this entry.
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
      incarnation: Identifier of its process, "" before its Hello.
      heard_ms: Clock at which its latest message arrived.
      next_offset: First offset of the log that it has not applied.
      log_known_ms: Clock at which that was the end of the log, by its word.
      running_by_team: Requests that it said it has in flight.
      running_by_target: The same for each target.
      waiting_by_queue: Requests that it said wait for a slot alone.
    """

    name: str
    incarnation: str
    heard_ms: int
    next_offset: int = 0
    log_known_ms: int = -1
    running_by_team: Map[str, int] = EMPTY_MAP
    running_by_target: Map[str, int] = EMPTY_MAP
    waiting_by_queue: Map[str, int] = EMPTY_MAP


@dataclass(frozen=True, slots=True)
class Ticket:
    """A request that was admitted and is not answered yet.

    Attributes:
      request: The request.
      team: Team that it is charged to.
      received_ms: Clock at which it arrived.
      attempt: Number of attempts made.
      target: Target that runs it, or "" while it waits.
      tried: Targets that did not run it.
    """

    request: Request
    team: str
    received_ms: int
    attempt: int = 0
    target: str = ""
    tried: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Line:
    """A team's waiting requests for one service, oldest first.

    Ids of requests that were answered meanwhile may still stand in it.

    Attributes:
      urgent: Identifiers that go first.
      normal: The other identifiers.
    """

    urgent: tuple[str, ...] = ()
    normal: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Target:
    """An instance as a routing decision sees it.

    Attributes:
      instance: The instance as the platform lists it.
      failures: Attempts that failed since the last success.
      aside: Whether no request goes to it until it is probed.
      probing: Whether a single request is on its way to find out.
    """

    instance: Instance
    failures: int = 0
    aside: bool = False
    probing: bool = False


@dataclass(frozen=True, slots=True)
class JobCall:
    """A caller's job call that waits for its record to be read back.

    Attributes:
      record_id: Identifier of the record.
      job_id: Identifier of the job.
      team: Team of the caller.
      cancels: Whether it cancels the job; else it hands the job in.
    """

    record_id: str
    job_id: str
    team: str
    cancels: bool


@dataclass(frozen=True, slots=True)
class EntryState:
    """What an entry keeps of requests, targets and job calls.

    Attributes:
      tickets_by_request_id: Admitted requests without an answer.
      lines_by_service: For each service, the lines of its teams.
      waiting_by_team: Number of waiting requests.
      running_by_team: Requests in flight, lingering ones included.
      running_by_target: The same for each target.
      lingering_by_attempt: Broken attempts that may still be running.
      targets_by_name: Instances that requests may go to.
      targets_by_pool: Their names for each pool, sorted.
      retry_budget_milli: Retries that may be spent, in thousandths.
      elsewhere_by_team: Requests that other entries have in flight.
      elsewhere_by_target: The same for each target.
      elsewhere_by_line: Requests that wait for a slot at other entries.
      reported_by_line: What was last reported of the own lines.
      instances: The platform's list, as a steward forwarded it.
      report_due: Whether the timer of the next report is set.
      changed_teams: Teams whose load is not yet reported, mapped to True.
      changed_targets: The same for targets.
      job_calls_by_id: Job calls that wait for their records.
    """

    tickets_by_request_id: Map[str, Ticket] = EMPTY_MAP
    lines_by_service: Map[str, Map[str, Line]] = EMPTY_MAP
    waiting_by_team: Map[str, int] = EMPTY_MAP
    running_by_team: Map[str, int] = EMPTY_MAP
    running_by_target: Map[str, int] = EMPTY_MAP
    lingering_by_attempt: Map[str, Ticket] = EMPTY_MAP
    targets_by_name: Map[str, Target] = EMPTY_MAP
    targets_by_pool: Map[str, tuple[str, ...]] = EMPTY_MAP
    retry_budget_milli: int = 10_000
    elsewhere_by_team: Map[str, int] = EMPTY_MAP
    elsewhere_by_target: Map[str, int] = EMPTY_MAP
    elsewhere_by_line: Map[str, int] = EMPTY_MAP
    reported_by_line: Map[str, int] = EMPTY_MAP
    instances: tuple[Instance, ...] = ()
    report_due: bool = False
    changed_teams: Map[str, bool] = EMPTY_MAP
    changed_targets: Map[str, bool] = EMPTY_MAP
    job_calls_by_id: Map[str, JobCall] = EMPTY_MAP


@dataclass(frozen=True, slots=True)
class Claim:
    """A caller's request id that this holder has granted.

    Attributes:
      owner: Request that it was granted to.
      holders: Names of the entries that may grant it.
    """

    owner: str
    holders: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Ballot:
    """A request that waits for its caller's id to be granted.

    Attributes:
      ticket: The request.
      holders: Names of the entries that may grant the id.
      granted: Those that have.
      denied: Those that could not.
      taken: Whether one said that another request has the id.
    """

    ticket: Ticket
    holders: tuple[str, ...]
    granted: tuple[str, ...] = ()
    denied: tuple[str, ...] = ()
    taken: bool = False


@dataclass(frozen=True, slots=True)
class Claims:
    """What an entry knows of callers' request ids that must run once.

    Attributes:
      newer_by_name: Claims granted in this period.
      older_by_name: Claims granted in the period before.
      period_ms: Clock at which this period began.
      began_ms: Clock at which the process began.
      sighted: Whether all claims of the last period are remembered.
      told: Peers that have told what they remember, mapped to True.
      ballots_by_request_id: Requests that wait for votes.
    """

    newer_by_name: Map[str, Claim] = EMPTY_MAP
    older_by_name: Map[str, Claim] = EMPTY_MAP
    period_ms: int = 0
    began_ms: int = 0
    sighted: bool = False
    told: Map[str, bool] = EMPTY_MAP
    ballots_by_request_id: Map[str, Ballot] = EMPTY_MAP


@dataclass(frozen=True, slots=True)
class Want:
    """Units of a team's ceiling that a peer asked for.

    Attributes:
      units: Units that would serve.
      units_held: Units that the peer holds.
    """

    units: int
    units_held: int


@dataclass(frozen=True, slots=True)
class Allotments:
    """An entry's part of every ceiling, in units.

    Attributes:
      sent: For each taker's incarnation, running totals by team.
      received: For each giver's incarnation, running totals by team.
      confirmed: For each taker's incarnation, totals it has confirmed.
      net_by_team: Received less sent, over all incarnations not settled.
      deposits_by_record_id: Deposits not read back yet.
      withdrawals_by_team: Records of withdrawals not read back yet.
      asked_by_team: Units that peers were last asked for, by team.
      wants_by_team: What peers asked for and did not get yet.
      renewal_record_id: Record that prolongs the lease, or "".
      renewal_asked_ms: Clock at which that record was first asked for.
      lease_end_ms: Clock after which nothing may be started.
    """

    sent: Map[str, Map[str, int]] = EMPTY_MAP
    received: Map[str, Map[str, int]] = EMPTY_MAP
    confirmed: Map[str, Map[str, int]] = EMPTY_MAP
    net_by_team: Map[str, int] = EMPTY_MAP
    deposits_by_record_id: Map[str, Map[str, int]] = EMPTY_MAP
    withdrawals_by_team: Map[str, str] = EMPTY_MAP
    asked_by_team: Map[str, int] = EMPTY_MAP
    wants_by_team: Map[str, Map[str, Want]] = EMPTY_MAP
    renewal_record_id: str = ""
    renewal_asked_ms: int = 0
    lease_end_ms: int = 0


@dataclass(frozen=True, slots=True)
class TaskWatch:
    """What the holder of the role knows of a placed job's task.

    Attributes:
      answered_ms: Clock of the worker's latest answer.
      renewed_ms: Clock at which the latest renewal was sent.
    """

    answered_ms: int
    renewed_ms: int


@dataclass(frozen=True, slots=True)
class StewardState:
    """What a steward keeps of the log, the fleet and its own intents.

    Attributes:
      reading: Whether a read of the log is under way.
      read_ms: Clock of the latest answer to a read of the log, or -1.
      seeking_offset: Where a snapshot is looked for, -1 for no search.
      snapshot_seen_ms: Clock at which the latest snapshot was first known.
      snapshot_seen_offset: Offset of that snapshot.
      log_failures: Reads of the log that failed since the last success.
      recent_entries: The newest entries of the log, without gaps.
      instances: The platform's list as last seen, sorted by name.
      instances_by_name: The same by name.
      listed: Whether the platform's list was ever seen.
      followers_by_peer: First offset not sent yet, by peer.
      drained: Reports "operation>incarnation", mapped to True.
      role_seen_ms: Clock at which the holder's latest record was read.
      role_seen_offset: Offset of that record.
      members_seen_ms: Clock at which a renewal "incarnation@offset" was
        first known.
      tasks_by_job_id: Tasks of placed jobs.
    """

    reading: bool = False
    read_ms: int = -1
    seeking_offset: int = -1
    snapshot_seen_ms: int = 0
    snapshot_seen_offset: int = -2
    log_failures: int = 0
    recent_entries: tuple[LogEntry, ...] = ()
    instances: tuple[Instance, ...] = ()
    instances_by_name: Map[str, Instance] = EMPTY_MAP
    listed: bool = False
    followers_by_peer: Map[str, int] = EMPTY_MAP
    drained: Map[str, bool] = EMPTY_MAP
    role_seen_ms: int = 0
    role_seen_offset: int = -1
    members_seen_ms: Map[str, int] = EMPTY_MAP
    tasks_by_job_id: Map[str, TaskWatch] = EMPTY_MAP


@dataclass(frozen=True)
class State:
    """Everything that a node knows.

    Attributes:
      identity: Who the node is.
      phase: Where it stands between start and end.
      stopping_ms: Clock at which it was asked to stop.
      serial: Number that makes the next identifier unique.
      agreed: What follows from the log as far as it was read.
      peers_by_name: Open streams.
      proposals_by_record_id: Records not read back yet.
      entry: An entry's part; stays empty in a steward.
      allotments: An entry's part of the ceilings.
      claims: Callers' request ids that an entry remembers.
      steward: A steward's part; stays empty in an entry.
      manager: A manager's part; None in an entry and in a steward.
    """

    identity: Identity
    phase: Phase = Phase.SERVING
    stopping_ms: int = 0
    serial: int = 0
    agreed: Agreed = Agreed()
    peers_by_name: Map[str, Peer] = EMPTY_MAP
    proposals_by_record_id: Map[str, Record] = EMPTY_MAP
    entry: EntryState = EntryState()
    allotments: Allotments = Allotments()
    claims: Claims = Claims()
    steward: StewardState = StewardState()
    manager: ManagerState | None = None
