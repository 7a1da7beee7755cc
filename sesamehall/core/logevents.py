"""Catalogue of numbered log events.

docs/EVENTS.md holds the same table; a test keeps the two equal.
"""

from dataclasses import dataclass
import logging


@dataclass(frozen=True, slots=True)
class LogEvent:
    """A kind of log line.

    Attributes:
      number: Number of the event; never reused for another one.
      name: Short name.
      level: Log level, a constant of the logging module.
      action: What an operator should do about it.
    """

    number: int
    name: str
    level: int
    action: str


def _info(number, name, action="Nothing; kept to explain decisions."):
    return LogEvent(number, name, logging.INFO, action)


def _warning(number, name, action):
    return LogEvent(number, name, logging.WARNING, action)


REQUEST_ROUTED = _info(100, "request routed")
REQUEST_REFUSED = _info(101, "request refused")
REQUEST_RETRIED = _info(102, "request retried")
REQUEST_ANSWERED = _info(103, "request answered")
REQUEST_OUTCOME_UNKNOWN = _warning(
    104,
    "request outcome unknown",
    "Look at the target named; many such lines point to a sick target.",
)
TARGET_QUARANTINED = _warning(
    110, "target set aside", "Look at the target; it is probed by itself."
)
TARGET_RECOVERED = _info(111, "target back")
TARGET_DRAINED = _info(112, "target drained")

UNITS_LENT = _info(200, "ceiling units given")
UNITS_BORROWED = _info(201, "ceiling units taken")
ENTRY_JOINED = _info(210, "entry joined")
ENTRY_GONE = _info(211, "entry gone")
ENTRY_LEASE_EXPIRED = _warning(
    212,
    "entry lease over",
    "Restore the entry's way to the log; it starts nothing until then.",
)

RECORD_ACCEPTED = _info(300, "record accepted")
RECORD_REFUSED = _warning(
    301,
    "record refused",
    "If it was your edit, make it again from the newest.",
)
RECORD_UNREADABLE = _warning(
    302, "record unreadable", "Find the writer; a version may be too new."
)
LOG_UNREACHABLE = _warning(
    303, "log unreachable", "Look at the platform; serving goes on."
)
LOG_REACHABLE = _info(304, "log back")
LOG_RECORDS_EXPIRED = _warning(
    305,
    "log forgot records",
    "Check the retention; the state is taken from a peer.",
)
INSTANCES_NOT_LISTED = _warning(
    306, "instances not listed", "Look at the platform; the last list stays."
)

SNAPSHOT_APPLIED = _info(307, "snapshot taken over")
RECORD_NOT_APPLIED = _warning(
    308, "record not applied", "Report it with its line; other records go on."
)
RECORD_UNSTORABLE = _warning(
    309, "record unstorable", "Report it with its line; other records go on."
)

PEER_CONNECTED = _info(400, "peer connected")
PEER_LOST = _warning(
    401, "peer lost", "If many at once, look at the network between them."
)
PEER_REFUSED = _warning(
    402, "peer refused", "Compare the settings and versions of the two nodes."
)

JOB_PLACED = _info(510, "job placed")
JOB_ENDED = _info(511, "job ended")
JOB_DEFERRED = _info(512, "job held back")
MOVE_STARTED = _info(521, "move started")
MOVE_FINISHED = _info(522, "move finished")

CALL_ANSWERED = _info(600, "call answered")
CALL_REJECTED = _info(601, "call rejected")
JOB_RECEIVED = _info(602, "job taken in")
JOB_FINISHED = _info(603, "job finished")
CANCEL_RECEIVED = _info(604, "cancelling taken in")
RUN_ORDERED = _info(610, "run ordered")
RUN_REFUSED = _info(611, "run refused")
RUN_ENDED = _info(612, "run ended")
RUN_ADOPTED = _info(613, "run adopted")
RUN_STOP_REQUESTED = _info(614, "run to be stopped")
ADVICE_APPLIED = _info(615, "advice taken in")
ADVICE_MISSING = _warning(
    616, "no advice", "Look at the advice service; it is asked again."
)
WORKER_THROTTLED = _info(617, "filling tasks paced")
RUN_STALLED = _warning(
    618, "run stands still", "If often on one worker, look at it."
)
TASKS_WAITING = _info(619, "tasks waiting")
WORKER_REACHED = _info(620, "worker reached")
WORKER_SILENT = _warning(
    621, "worker silent", "Look at the worker; its tasks restart elsewhere."
)
WORKER_GONE = _info(622, "worker gone")
WORKER_QUARANTINED = _warning(
    623, "worker set aside", "Look at the worker; it is tried again."
)
RUN_ENDS_DEFERRED = _info(624, "ends held back")
RUN_ABANDONED = _info(625, "run given up")
RUNS_NOT_LISTED = _info(626, "runs not listed")
RUN_END_LATE = _info(627, "end of an untracked run")
WORKER_RESUMED = _info(628, "worker used again")
WORKER_LEASE_EXPIRED = _info(629, "worker lease over")
TERM_CLAIMED = _info(630, "leadership claimed")
TERM_BEGUN = _info(631, "leadership begun")
TERM_ENDED = _warning(
    632, "leadership lost", "Nothing; another node leads. Often: look at both."
)
JOBS_CAUGHT_UP = _info(633, "jobs caught up")
HANDOVER_OFFERED = _info(634, "stronger node offers to lead")
HANDOVER_BEGUN = _info(635, "handover begun")
LEADER_BEHIND = _warning(
    636, "leader behind", "Look at the node's processor and link; it yields."
)
RENEWALS_AWAITED = _info(637, "earlier leaders' renewals")
TERM_CONFIRMED_BY_RETRY = _info(638, "leadership confirmed by a retry")
ADVICE_REQUESTED = _info(639, "advice requested")
STREAM_UNREADABLE = _warning(
    640, "stream unread", "Look at the platform's store and the way to it."
)
STREAM_READABLE = _info(641, "stream read again")
MANIFEST_APPLIED = _info(642, "manifest in force")
READINESS_CHANGED = _info(643, "readiness changed")
RECORDS_NOT_STORED = _warning(
    644, "records not stored", "Look at the platform's store; work goes on."
)
RECORDS_STORED = _info(645, "records stored")
PROGRESS_NOT_STORED = _warning(
    646,
    "progress of an unknown job not stored",
    "Report it: the job may run again under the next leader.",
)
RECORDS_LEFT_OUT = _warning(
    647, "records left out", "Report it with the line 309 before it."
)
MACHINE_ORDERED = _info(650, "machine ordered")
MACHINE_REFUSED = _info(651, "machine order refused")
WAVE_RECEIVED = _info(652, "wave taken in")
WAVE_COMPLETED = _info(653, "wave completed")
MACHINES_NOT_LISTED = _warning(
    654, "machines not listed", "Look at the platform's cloud interface."
)
POOLS_SIZED = _info(655, "pools sized")
WAVE_NOT_REPORTED = _warning(
    656, "wave not reported", "Look at the platform's store; it is repeated."
)
MACHINE_ANSWER_STALE = _info(657, "stale machine answer")
MACHINE_ORDER_WITHDRAWN = _info(658, "machine order withdrawn")
DRAIN_REQUESTED = _info(660, "data centre drained")
DRAIN_REVOKED = _info(661, "data centre in use again")
DRAIN_DOUBTFUL = _warning(
    662, "drain doubtful", "Look at the request; it holds until it is deleted."
)
DRAIN_PROGRESS = _info(
    663, "drain in progress", "Wait; the runs left are moved or end."
)
DRAIN_COMPLETED = _info(664, "data centre empty", "It runs nothing now.")
RUN_TIMES_LEARNT = _info(665, "run times learnt")
TEAMS_SHARE_POOL = _info(670, "teams share a pool")
WEIGHT_REPLACED = _warning(
    671, "team weight replaced", "Correct the weight; the one named applies."
)
TEAM_GONE_WITH_JOBS = _warning(
    672,
    "team gone with jobs",
    "Cancel its jobs or list it again; they go on with the mean weight.",
)
CALL_FORWARDED = _info(680, "call forwarded")
PEER_ANSWERED = _info(681, "peer answered")
PEER_FAILED = _warning(
    682, "peer failed", "If many name one peer, look at it and the way there."
)
PEER_FRAME_REJECTED = _warning(
    683, "peer frame rejected", "Find the sender; it is none of the fleet."
)
NODE_REGISTERED = _info(684, "node registered for peers")
PEER_PORT_UNUSABLE = _warning(
    685, "peer port unusable", "Free the port; serving goes on without peers."
)
TURN_BEGAN = _info(690, "turn began")
TURN_ENDED = _info(691, "turn ended")
TURN_EXPECTED = _info(692, "turn expected")
TURN_MISSED = _info(693, "expected turn missed")

NODE_STARTED = _info(900, "node started")
NODE_STOPPING = _info(901, "node stopping")
NODE_STOPPED = _info(902, "node stopped")
DECISIONS_TALLIED = _info(
    903,
    "decisions tallied",
    "If oldest_ms or call_ms grows, this node's processor is the bound.",
)
LOG_LINES_DROPPED = _warning(
    910, "log lines dropped", "Read standard output faster."
)
INTERNAL_ERROR = LogEvent(
    999, "internal error", logging.ERROR, "Report it with the history file."
)

LOG_EVENTS = tuple(
    value for value in list(globals().values()) if isinstance(value, LogEvent)
)
