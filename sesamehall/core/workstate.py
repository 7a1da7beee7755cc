"""The leader's view of jobs, runs and workers."""

from dataclasses import dataclass
from enum import Enum

from immutables import Map

from sesamehall.core.data import EMPTY_MAP
from sesamehall.core.fleet import WorkerEntry
from sesamehall.core.work import JobPlan
from sesamehall.core.work import NO_SIZE
from sesamehall.core.work import Progress
from sesamehall.core.work import Size
from sesamehall.core.work import TaskPlace


@dataclass(frozen=True, slots=True)
class Chain:
    """The longest chain of steps of a job that are not done.

    Attributes:
      declared_ms: Time that its tasks declare.
      steps: Number of its steps.
    """

    declared_ms: int = 0
    steps: int = 0


@dataclass(frozen=True)
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
      chain: Its longest chain of steps that are not done.
    """

    plan: JobPlan
    progress: Progress
    accepted_ms: int
    goal_ms: int
    waiting: tuple[TaskPlace, ...] = ()
    running: int = 0
    inherited: bool = False
    work_left: float = 0.0
    chain: Chain = Chain()


class RunState(Enum):
    """How far an order to run a task has come."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(frozen=True)
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
      started_clock_ms: The worker's clock when it confirmed the only order,
        or -1 where it is not known when the run began.
      tries: How often the start was sent.
      lease_end_ms: Clock after which the start can no longer take effect.
      checkpoint: Newest checkpoint, or "".
      percent: Share of its work that is done, as last reported; of a lasting
        task the share of full speed.
      progressed_ms: The worker's clock when that share was last seen to
        change; a pause of this node must not look like one of the run.
      load: Response time tail or processor use as last reported.
      pace: Share of its speed that it was last told to work at.
      lasting: Whether it runs until it is cancelled.
      fills: Whether it takes only processor time left over.
      tail_target_ms: Response time that it must keep, or 0.
      ticket: Permission of the advice service, or "".
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
    started_clock_ms: int = -1
    tries: int = 1
    lease_end_ms: int = 0
    checkpoint: str = ""
    percent: int = 0
    progressed_ms: int = 0
    load: float = 0.0
    pace: int = 100
    lasting: bool = False
    fills: bool = False
    tail_target_ms: int = 0
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class Ticket:
    """What the advice service has said of a step and a worker.

    Attributes:
      text: What an order to start must carry; "" where the step must not
        run there.
      born_ms: Start of the worker's life for which it holds.
      until_ms: Clock until which it is valid.
    """

    text: str
    born_ms: int
    until_ms: int


@dataclass(frozen=True)
class Worker:
    """A worker as the leader knows it.

    Attributes:
      entry: What it registered.
      listed: Whether it is registered now.
      leased: Whether it is stored that runs may be on it.
      inherited: Whether an earlier leader may have started runs on it.
      reached: Whether it has answered in this term.
      met_ms: Clock at which its present life first answered in this term,
        or -1.
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
      over_ms: Clock at which that was known.
      fill_pace: Pace of what fills on it, in percent.
      fill_paced_ms: Clock at which that pace was chosen.
      strangers: Runs that it has listed, of jobs not read yet or that nobody
        wants; their room is not known.
    """

    entry: WorkerEntry
    listed: bool = True
    leased: bool = False
    inherited: bool = False
    reached: bool = False
    met_ms: int = -1
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
    over_ms: int = 0
    fill_pace: int = 100
    fill_paced_ms: int = 0
    strangers: int = 0


@dataclass(frozen=True, slots=True)
class Durations:
    """How long a queue's tasks take, against what they declare.

    Attributes:
      count: Tasks that were seen.
      declared_ms: Mean of the latest declared times.
      actual_ms: Mean of the latest times from start to end on the worker.
      delay_ms: Mean of the latest times from order to start and from the end
        until it was known.
    """

    count: int = 0
    declared_ms: float = 0.0
    actual_ms: float = 0.0
    delay_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Arrivals:
    """How fast a queue's jobs come.

    Attributes:
      jobs_per_s: Mean of the latest time, with old arrivals fading out.
      at_ms: Clock for which the mean holds.
    """

    jobs_per_s: float = 0.0
    at_ms: int = 0
