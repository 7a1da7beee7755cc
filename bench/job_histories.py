"""Seeded histories of jobs under faults: counts the broken promises.

Two to four managers lead a few workers in turn while they are stopped,
killed, paused and cut off, workers restart, the store is down, and calls are
lost, late and doubled.  Jobs are handed in and cancelled around each change
of the leader.  Workers and callers are what is checked: no task runs twice,
none starts before its turn, failed runs are counted, cancelled jobs stop, and
every job that was accepted ends once the faults are over.

`--without GUARD` takes a guard out, to show that the checks find it.
"""

from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
import os

from immutables import Map

from bench.jobworkers import HOPELESS
from bench.jobworld import CALM
from bench.jobworld import Host
from bench.jobworld import JobWorld
from sesamehall.core.calls import Accepted
from sesamehall.core.calls import CancelJob
from sesamehall.core.calls import JobCall
from sesamehall.core.calls import JobDraft
from sesamehall.core.calls import Rejected
from sesamehall.core.calls import ShowJob
from sesamehall.core.calls import Shown
from sesamehall.core.calls import SubmitJob
from sesamehall.core.codes import JOB_UNCONFIRMED
from sesamehall.core.codes import NO_SUCH_JOB
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.managerevents import JobCalled
from sesamehall.core.manifest import Manifest
from sesamehall.core.manifest import Queue
from sesamehall.core.manifest import Quota
from sesamehall.core.manifest import WorkerPool
from sesamehall.core.replacing import replace
from sesamehall.core.work import Progress
from sesamehall.core.work import Size
from sesamehall.core.work import StepPlan
from sesamehall.reducer.jobs import leases
from sesamehall.reducer.jobs import orders
from sesamehall.reducer.jobs import queueing
from sesamehall.reducer.jobs import reports
from sesamehall.reducer.jobs import runs
from sesamehall.reducer.jobs import task_placement
from sesamehall.reducer.jobs import workers

ATTEMPTS = 2
SETTLE_MS = 2_500  # until the first leader has met its workers
TROUBLE_MS = 12_000
QUIET_MS = 22_000  # the latest order is carried out, and all jobs are done
MOMENTS = 4  # changes of the leader in a history
FAULTS = 6  # further faults
JOBS_AROUND = 6  # jobs handed in around such a change
HOPELESS_TASKS = 3  # tasks of a job of which one always fails
HOPELESS_EARLY_MS = 700  # its last failure falls into an outage by chance
LAG_MS = (50, 300)  # how much later a slow manager reads answers
CALL_WAIT_MS = 3_000
TRIES = 8  # of a caller
SIZE = Size(1_000, 1_000)
GUARDS = (
    "unread",
    "unresolved",
    "resigning",
    "stored",
    "lease",
    "confirmed",
    "sequence",
    "forgotten",
)


@dataclass(frozen=True, slots=True)
class Found:
    """What one history came to.

    Attributes:
      seed: Seed of the history.
      violations: Broken promises.
      starts: Runs that were started.
      terms: Terms of leaders.
    """

    seed: int
    violations: tuple[str, ...]
    starts: int
    terms: int


class Caller:
    """Hands jobs in, asks for them and cancels some."""

    def __init__(self, world: JobWorld):
        """Begin without jobs.

        Args:
          world: The world.
        """
        self._world = world
        self._serial = 0
        self.accepted: dict[str, bool] = {}

    def submit(self) -> None:
        """Hand a small job in."""
        world = self._world
        self._serial += 1
        job_id = f"{self._serial:016x}"
        steps = [StepPlan(world.random.randint(1, 3), SIZE, 400)]
        if world.random.random() < 0.4:
            steps.append(StepPlan(1, SIZE, 300, depends_on=(0,)))
        self._submit(job_id, JobDraft("work", tuple(steps)))

    def submit_hopeless(self) -> None:
        """Hand in a job whose first task always fails beside the others."""
        self._serial += 1
        job_id = f"{self._serial:016x}"
        steps = (StepPlan(HOPELESS_TASKS, SIZE, 400),)
        self._submit(job_id, JobDraft(HOPELESS, steps))

    def _submit(self, job_id, draft):
        self._world.checker.submit(job_id, draft.steps)
        self._try(job_id, SubmitJob(draft), TRIES, False)

    def _try(self, job_id, kind, tries, unsure):
        """Call a manager; without an answer call another one."""
        world = self._world
        open_tries = [True]

        def take(answer):
            if open_tries:
                open_tries.clear()
                self._take(job_id, kind, tries, unsure, answer)

        hosts = [host for host in world.hosts_by_name.values() if host.alive]
        if hosts:
            host = world.random.choice(hosts)
            self._serial += 1
            call_id = self._serial
            world.answers[call_id] = take
            at_ms = world.clock(host)
            path = f"/q/{job_id}"
            call = JobCall(call_id, at_ms, "q.example", path, "k", kind)
            world.post(host, lambda now_ms: JobCalled(now_ms, call))
        world.call_later(CALL_WAIT_MS, take, None)

    def _take(self, job_id, kind, tries, unsure, answer):
        world = self._world
        match kind, answer:
            case SubmitJob(), Accepted():
                self.accepted[job_id] = True
                self._plan_calls(job_id)
                return
            case CancelJob(), Accepted():
                checker = world.checker
                checker.cancelled_ms_by_job.setdefault(job_id, world.now_ms)
                return
            case ShowJob(), Shown(phase):
                world.checker.show(job_id, phase)
                return
        refused = (
            isinstance(answer, Rejected) and answer.code != JOB_UNCONFIRMED
        )
        if refused and answer.code == NO_SUCH_JOB:
            world.checker.violations.append(f"LOST: {job_id} is not known")
        unsure = unsure or not refused
        if tries > 1:
            delay_ms = world.random.randint(100, 500)
            world.call_later(
                delay_ms, self._try, job_id, kind, tries - 1, unsure
            )
        elif isinstance(kind, SubmitJob) and not unsure:
            world.checker.note_refused(job_id)

    def _plan_calls(self, job_id):
        """Ask for a job now and then, and cancel it, sometimes."""
        world = self._world
        for _ in range(2):
            delay_ms = world.random.randint(300, 4_000)
            world.call_later(delay_ms, self._try, job_id, ShowJob(), 1, False)
        if world.random.random() < 0.15:
            delay_ms = world.random.randint(1, 1_500)
            world.call_later(
                delay_ms, self._try, job_id, CancelJob(), TRIES, False
            )


def run_history(seed: int, without: str = "") -> Found:
    """Run one history.

    Args:
      seed: Same seeds give the same history.
      without: Guard to take out, "" for none.
    Returns:
      What was found.
    """
    take_guard_out(without)
    world = build_world(seed, settles=without != "sequence")
    caller = Caller(world)
    world.run(SETTLE_MS)
    plan_jobs(world, caller)
    plan_faults(world, caller)
    world.run(TROUBLE_MS)
    end_faults(world)
    world.run(QUIET_MS // 2)
    world.checker.calm = True
    world.run(QUIET_MS // 2)
    for job_id in caller.accepted:
        stored = world.store.newest(Stream.PROGRESS, job_id)
        phase = stored.phase if isinstance(stored, Progress) else None
        world.checker.check_ended(job_id, phase)
    violations = tuple(world.checker.violations)
    return Found(seed, violations, world.checker.starts, world.store.epoch)


def build_world(seed: int, settles: bool = True) -> JobWorld:
    """Build managers, workers and a manifest.

    Args:
      seed: Seed of the history.
      settles: Whether appends of unknown outcome are settled first.
    Returns:
      The world.
    """
    world = JobWorld(seed, ATTEMPTS, settles)
    queue = Queue("quotes", "q.example", "/q/", "a", max_attempts=ATTEMPTS)
    manifest = Manifest(
        version=1,
        queues_by_name=Map(quotes=queue),
        pools_by_name=Map(a=WorkerPool("a")),
        quotas_by_team=Map(guild=Quota("guild")),
        team_by_key=Map(k="guild"),
    )
    world.store.append(Stream.OPERATOR, (StoredRecord("config", manifest),))
    for index in range(world.random.randint(2, 4)):
        world.add_manager(f"edge-{index}")
    for index in range(world.random.randint(2, 4)):
        world.add_worker(f"10.0.0.{index}:80", f"w{index}")
    return world


def plan_jobs(world: JobWorld, caller: Caller) -> None:
    """Hand jobs in now and then.

    Args:
      world: The world.
      caller: Who hands them in.
    """
    for _ in range(10):
        world.call_later(world.random.randrange(TROUBLE_MS), caller.submit)
    for _ in range(MOMENTS):
        at_ms = world.random.randrange(TROUBLE_MS)
        for _ in range(JOBS_AROUND):
            early_ms = world.random.randint(-200, 700)
            world.call_later(at_ms - early_ms, caller.submit)
        world.call_later(at_ms, change_leader, world)
        if world.random.random() < 0.4:
            again_ms = world.random.randint(200, 2_000)
            world.call_later(at_ms + again_ms, change_leader, world)


def change_leader(world: JobWorld) -> None:
    """Stop, kill, pause, slow down or cut off the leader.

    Now and then one of the workers is on its side of a split.

    Args:
      world: The world.
    """
    host = world.leader()
    if host is None or world.weather is CALM:
        return
    random = world.random
    lasts_ms = random.randint(500, 13_000)
    if random.random() < 0.4:
        split_workers(world, host, lasts_ms)
    kinds = ("stop", "stop", "stop", "kill", "pause", "cut", "cut", "slow")
    match random.choice(kinds):
        case "stop":
            host.unanswered = random.random() < 0.5
            world.call_later(2_000, setattr, host, "unanswered", False)
            world.stop(host.name)
        case "kill":
            world.kill(host.name, random.randint(200, 3_000))
        case "pause":
            world.pause(host.name, random.randint(300, 5_000))
        case "cut":
            host.storeless = True
            world.call_later(lasts_ms, setattr, host, "storeless", False)
        case "slow":
            host.lag_ms = random.randint(*LAG_MS)
            world.call_later(lasts_ms, setattr, host, "lag_ms", 0)


def split_workers(world: JobWorld, host: Host, lasts_ms: int) -> None:
    """Let a manager reach one worker only, and the others all but that.

    Args:
      world: The world.
      host: The manager.
      lasts_ms: For how long.
    """
    addresses = list(world.lives_by_address)
    near = world.random.choice(addresses)
    others = [name for name in world.hosts_by_name if name != host.name]
    for address in addresses:
        names = others if address == near else [host.name]
        cut_worker(world, address, names, lasts_ms)


def plan_faults(world: JobWorld, caller: Caller) -> None:
    """Plan restarts and cuts of workers, and outages of the store.

    Some jobs fail about the beginning of an outage, while the leader's write
    is left without an answer.

    Args:
      world: The world.
      caller: Who hands these jobs in.
    """
    random = world.random
    kinds = ("same", "same", "other", "cut", "cuts", "down", "down")
    for index in range(FAULTS):
        at_ms = random.randrange(TROUBLE_MS)
        lasts_ms = random.randint(300, 7_000)
        address = random.choice(list(world.lives_by_address))
        match random.choice(kinds):
            case "same":
                world.call_later(at_ms, restart_worker, world, address, "")
            case "other":
                name = f"n{index}"
                world.call_later(at_ms, restart_worker, world, address, name)
            case "cut":
                name = random.choice(list(world.hosts_by_name))
                world.call_later(
                    at_ms, cut_worker, world, address, [name], lasts_ms
                )
            case "cuts":
                names = list(world.hosts_by_name)
                world.call_later(
                    at_ms, cut_worker, world, address, names, lasts_ms
                )
            case "down":
                world.call_later(at_ms, take_store_down, world, lasts_ms)
                early_ms = random.randint(0, HOPELESS_EARLY_MS)
                world.call_later(at_ms - early_ms, caller.submit_hopeless)


def take_store_down(world: JobWorld, lasts_ms: int) -> None:
    """Let the store lose its answers for a moment, then all calls.

    Half of the time it refuses these calls instead, and half of the time the
    leader changes soon after it is back.

    Args:
      world: The world.
      lasts_ms: How long no call is answered.
    """
    muted_ms = world.random.randint(1, min(400, lasts_ms))
    world.store.muted = True
    world.store.refusing = world.random.random() < 0.5
    world.call_later(muted_ms, setattr, world.store, "down", True)
    world.call_later(lasts_ms, setattr, world.store, "muted", False)
    world.call_later(lasts_ms + 1, setattr, world.store, "down", False)
    if world.random.random() < 0.5:
        world.call_later(lasts_ms + muted_ms, change_leader, world)


def restart_worker(world: JobWorld, address: str, worker_id: str) -> None:
    """End a worker and start one at its address.

    Args:
      world: The world.
      address: Its address.
      worker_id: Identifier of the new one, "" for the same as before.
    """
    life = world.lives_by_address[address]
    if not life.alive:
        return
    world.end_worker(address)
    delay_ms = world.random.choice((30, 300, 1_500, 5_000))
    name = worker_id or life.worker_id
    world.call_later(delay_ms, world.add_worker, address, name)


def cut_worker(
    world: JobWorld, address: str, names: list[str], lasts_ms: int
) -> None:
    """Cut a worker off from some managers.

    Args:
      world: The world.
      address: Its address.
      names: The managers.
      lasts_ms: For how long.
    """
    worker_id = world.lives_by_address[address].worker_id
    for name in names:
        unreached = world.hosts_by_name[name].unreached
        unreached.add(worker_id)
        world.call_later(lasts_ms, unreached.discard, worker_id)


def end_faults(world: JobWorld) -> None:
    """Let everything work again.

    Args:
      world: The world.
    """
    world.weather = CALM
    world.store.muted = False
    world.store.down = False
    for host in world.hosts_by_name.values():
        host.storeless = False
        host.unanswered = False
        host.lag_ms = 0
        host.unreached.clear()


def take_guard_out(name: str) -> None:
    """Replace a guard by its absence, in this process.

    Args:
      name: Name of the guard, "" to leave all of them.
    """
    match name:
        case "" | "sequence":
            pass
        case "unread":
            reports._is_unread = lambda manager, task: False
        case "unresolved":
            queueing.pool_may_have_untracked_runs = lambda manager, pool: False
        case "resigning":
            leases.is_resigning = lambda manager: False
        case "stored":
            reports._apply_ends = _take_ends_as_stored
        case "lease":
            for module in (orders, task_placement, workers):
                module.extend_lease = lambda worker, until_ms: worker
        case "confirmed":
            leases.START_CONFIRMED_MS = 1 << 40
        case "forgotten":
            runs._is_unstored = _has_changed
        case _:
            raise SystemExit(f"no guard {name}")


def _has_changed(manager, job_id):
    """Ask only for changes that no write holds yet."""
    return job_id in manager.dirty_jobs


take_ends = reports._apply_ends


def _take_ends_as_stored(manager, event):
    """Take ends in as if they were stored already."""
    step = take_ends(manager, event)
    worker = step.state.workers_by_id[event.worker_id]
    worker = replace(worker, last_stored_end=worker.last_applied_end)
    workers_by_id = step.state.workers_by_id.set(event.worker_id, worker)
    state = replace(step.state, workers_by_id=workers_by_id)
    return replace(step, state=state)


def run_all(*, histories: int = 1000, seed: int = 0, without: str = "") -> int:
    """Run the histories and print the number of broken promises.

    Args:
      histories: Number of histories.
      seed: Seed of the first one; the others follow.
      without: Guard to take out, "" for none.
    Returns:
      The number of broken promises.
    """
    seeds = range(seed, seed + histories)
    with ProcessPoolExecutor(max(os.cpu_count() // 2, 1)) as processes:
        founds = list(
            processes.map(
                run_history, seeds, [without] * histories, chunksize=4
            )
        )
    bad = [found for found in founds if found.violations]
    for found in bad[:10]:
        print(f"seed {found.seed}: {found.violations[0]}")
    kinds = Counter(
        line.partition(" ")[0] for found in bad for line in found.violations
    )
    starts = sum(found.starts for found in founds)
    terms = sum(found.terms for found in founds)
    print(f"{histories} histories, {terms} terms, {starts} starts")
    print(f"{len(bad)} bad histories: {dict(kinds)}")
    violations = sum(kinds.values())
    print(f"job_histories={violations}")
    return violations


if __name__ == "__main__":
    from defopt import run

    run(run_all)
