"""Fault-injection test of jobs on seeded random histories.

Two to four managers take turns as leader of a few workers.  Managers are
stopped, killed, paused and disconnected, workers restart, the store fails, and
calls are lost, delayed and duplicated.  Jobs are submitted and cancelled
around each change of the leader.  The checks compare what workers and callers
see and, at the end, the stored phase of each job: no task runs twice or before
the steps that it depends on, failed runs are counted, cancelled jobs stop, and
every accepted job ends after the last fault.  The result is the number of
violations.

`--without GUARD` disables a guard, to show that the checks detect its absence.
"""

from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
import os

from immutables import Map

from bench.jobprocesses import ManagerProcess
from bench.jobprocesses import NO_FAULTS
from bench.jobworkers import FAILING_COMMAND
from bench.jobworld import JobSimulation
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
from sesamehall.reducer.jobs import queue_pools
from sesamehall.reducer.jobs import reports
from sesamehall.reducer.jobs import runs
from sesamehall.reducer.jobs import task_placement
from sesamehall.reducer.jobs import workers

MAX_ATTEMPTS = 2
WARMUP_MS = 2_500  # until the first leader has connected to its workers
FAULT_PERIOD_MS = 12_000
RECOVERY_PERIOD_MS = 22_000  # late orders are executed, and all jobs end
LEADER_CHANGES = 4  # per history; others follow some of them, or an outage
FAULT_COUNT = 6  # per history, besides the changes of the leader
JOBS_PER_LEADER_CHANGE = 6
FAILING_JOB_TASKS = 3  # the first of them always fails
FAILING_JOB_MAX_ADVANCE_MS = 700  # the last failure may fall into the outage
RESPONSE_LAG_RANGE_MS = (50, 300)  # of a slow manager
CALL_TIMEOUT_MS = 3_000
CALL_ATTEMPTS = 8
TASK_SIZE = Size(1_000, 1_000)
# What the leader fails to do without each guard.
GUARDS = (
    # Wait with the ends and runs of a job that it has not read yet, instead of
    # treating them as those of an unknown job.
    "unread",
    # Wait with tasks of inherited jobs until workers have reported their runs.
    "unresolved",
    # Stop starting tasks and renewing leases once it has resigned.
    "resigning",
    # Store the end of a run before it is acknowledged to the worker.
    "stored",
    # Extend its record of a worker's lease when an order or a request for a
    # report extends the lease.
    "lease",
    # Check that its writes were confirmed recently, so that no other leader
    # can have begun its term.
    "confirmed",
    # Retry an append of unknown outcome before its sequence number is used for
    # other records.
    "sequence",
    # Keep an ended job until the write that contains the end is confirmed.
    "forgotten",
)


@dataclass(frozen=True, slots=True)
class HistoryResult:
    """Result of one history.

    Attributes:
      seed: Seed of the history.
      violations: Descriptions of the violations.
      starts: Number of started runs.
      terms: Number of leaders' terms.
    """

    seed: int
    violations: tuple[str, ...]
    starts: int
    terms: int


class Caller:
    """Submits jobs, requests their state and cancels some of them.

    Attributes:
      accepted: Ids of the accepted jobs, in order.
    """

    def __init__(self, simulation: JobSimulation):
        """Start without jobs.

        Args:
          simulation: Simulated managers and workers.
        """
        self._simulation = simulation
        self._serial = 0
        self.accepted: dict[str, bool] = {}

    def submit(self) -> None:
        """Submit a job with one or two small steps."""
        simulation = self._simulation
        self._serial += 1
        job_id = f"{self._serial:016x}"
        steps = [StepPlan(simulation.random.randint(1, 3), TASK_SIZE, 400)]
        if simulation.random.random() < 0.4:
            steps.append(StepPlan(1, TASK_SIZE, 300, depends_on=(0,)))
        self._submit(job_id, JobDraft("work", tuple(steps)))

    def submit_failing_job(self) -> None:
        """Submit a job whose first task always fails."""
        self._serial += 1
        job_id = f"{self._serial:016x}"
        steps = (StepPlan(FAILING_JOB_TASKS, TASK_SIZE, 400),)
        self._submit(job_id, JobDraft(FAILING_COMMAND, steps))

    def _submit(self, job_id, draft):
        self._simulation.checker.record_submission(job_id, draft.steps)
        self._call_manager(job_id, SubmitJob(draft), CALL_ATTEMPTS, False)

    def _call_manager(self, job_id, kind, attempts_left, maybe_applied):
        """Call a random manager; a timeout counts as the answer None.

        `maybe_applied` says whether an earlier attempt may have had effect.
        """
        simulation = self._simulation
        pending = [True]

        def handle_answer(answer):
            if pending:
                pending.clear()
                self._handle_answer(
                    job_id, kind, attempts_left, maybe_applied, answer
                )

        processes = [
            process
            for process in simulation.processes_by_name.values()
            if process.alive
        ]
        if processes:
            process = simulation.random.choice(processes)
            self._serial += 1
            call_id = self._serial
            simulation.on_answer_by_call_id[call_id] = handle_answer
            at_ms = simulation.clock_ms(process)
            path = f"/q/{job_id}"
            call = JobCall(call_id, at_ms, "q.example", path, "k", kind)
            simulation.deliver(process, lambda now_ms: JobCalled(now_ms, call))
        simulation.call_later(CALL_TIMEOUT_MS, handle_answer, None)

    def _handle_answer(
        self, job_id, kind, attempts_left, maybe_applied, answer
    ):
        simulation = self._simulation
        match kind, answer:
            case SubmitJob(), Accepted():
                self.accepted[job_id] = True
                self._schedule_calls(job_id)
                return
            case CancelJob(), Accepted():
                checker = simulation.checker
                checker.cancelled_ms_by_job.setdefault(
                    job_id, simulation.now_ms
                )
                return
            case ShowJob(), Shown(phase):
                simulation.checker.check_shown(job_id, phase)
                return
        rejected = (
            isinstance(answer, Rejected) and answer.code != JOB_UNCONFIRMED
        )
        if rejected and answer.code == NO_SUCH_JOB:
            simulation.checker.violations.append(
                f"LOST: {job_id} is not known"
            )
        maybe_applied = maybe_applied or not rejected
        if attempts_left > 1:
            delay_ms = simulation.random.randint(100, 500)
            simulation.call_later(
                delay_ms,
                self._call_manager,
                job_id,
                kind,
                attempts_left - 1,
                maybe_applied,
            )
        elif isinstance(kind, SubmitJob) and not maybe_applied:
            simulation.checker.record_rejection(job_id)

    def _schedule_calls(self, job_id):
        """Schedule requests for a job's state, and maybe its cancellation."""
        simulation = self._simulation
        for _ in range(2):
            delay_ms = simulation.random.randint(300, 4_000)
            simulation.call_later(
                delay_ms, self._call_manager, job_id, ShowJob(), 1, False
            )
        if simulation.random.random() < 0.15:
            delay_ms = simulation.random.randint(1, 1_500)
            simulation.call_later(
                delay_ms,
                self._call_manager,
                job_id,
                CancelJob(),
                CALL_ATTEMPTS,
                False,
            )


def run_history(seed: int, disabled_guard: str = "") -> HistoryResult:
    """Run one history.

    Args:
      seed: Seed of the random generator; runs of a seed are identical.
      disabled_guard: Name of the guard to disable, "" for none.
    Returns:
      The result.
    """
    disable_guard(disabled_guard)
    simulation = build_simulation(
        seed, retry_unconfirmed=disabled_guard != "sequence"
    )
    caller = Caller(simulation)
    simulation.run(WARMUP_MS)
    schedule_jobs(simulation, caller)
    schedule_faults(simulation, caller)
    simulation.run(FAULT_PERIOD_MS)
    end_faults(simulation)
    simulation.run(RECOVERY_PERIOD_MS // 2)
    simulation.checker.faults_over = True
    simulation.run(RECOVERY_PERIOD_MS // 2)
    for job_id in caller.accepted:
        stored = simulation.store.newest_value(Stream.PROGRESS, job_id)
        phase = stored.phase if isinstance(stored, Progress) else None
        simulation.checker.check_completed(job_id, phase)
    violations = tuple(simulation.checker.violations)
    return HistoryResult(
        seed, violations, simulation.checker.starts, simulation.store.epoch
    )


def build_simulation(
    seed: int, retry_unconfirmed: bool = True
) -> JobSimulation:
    """Build a simulation with managers, workers and a manifest.

    Args:
      seed: Seed of the random generator; runs of a seed are identical.
      retry_unconfirmed: Whether an append of unknown outcome is retried
        before the next one uses its sequence number.
    Returns:
      The simulation.
    """
    simulation = JobSimulation(seed, MAX_ATTEMPTS, retry_unconfirmed)
    queue = Queue("quotes", "q.example", "/q/", "a", max_attempts=MAX_ATTEMPTS)
    manifest = Manifest(
        version=1,
        queues_by_name=Map(quotes=queue),
        pools_by_name=Map(a=WorkerPool("a")),
        quotas_by_team=Map(guild=Quota("guild")),
        team_by_key=Map(k="guild"),
    )
    simulation.store.append(
        Stream.OPERATOR, (StoredRecord("config", manifest),)
    )
    for index in range(simulation.random.randint(2, 4)):
        simulation.add_manager(f"edge-{index}")
    for index in range(simulation.random.randint(2, 4)):
        simulation.add_worker(f"10.0.0.{index}:80", f"w{index}")
    return simulation


def schedule_jobs(simulation: JobSimulation, caller: Caller) -> None:
    """Schedule submissions of jobs, most of them around leader changes.

    Args:
      simulation: Simulated managers and workers.
      caller: Caller that submits them.
    """
    for _ in range(10):
        simulation.call_later(
            simulation.random.randrange(FAULT_PERIOD_MS), caller.submit
        )
    for _ in range(LEADER_CHANGES):
        at_ms = simulation.random.randrange(FAULT_PERIOD_MS)
        for _ in range(JOBS_PER_LEADER_CHANGE):
            # Up to 700 ms before the change, or up to 200 ms after it.
            advance_ms = simulation.random.randint(-200, 700)
            simulation.call_later(at_ms - advance_ms, caller.submit)
        simulation.call_later(at_ms, change_leader, simulation)
        if simulation.random.random() < 0.4:
            second_change_after_ms = simulation.random.randint(200, 2_000)
            simulation.call_later(
                at_ms + second_change_after_ms, change_leader, simulation
            )


def change_leader(simulation: JobSimulation) -> None:
    """Stop, kill, pause or slow down the leader, or cut it off from the store.

    A slow leader receives the responses of workers late.  In 40 % of the cases
    the workers are also partitioned, and the leader reaches only one of them.

    Args:
      simulation: Simulated managers and workers.
    """
    process = simulation.leader()
    if process is None or simulation.fault_rates is NO_FAULTS:
        return
    random = simulation.random
    duration_ms = random.randint(500, 13_000)
    if random.random() < 0.4:
        partition_workers(simulation, process, duration_ms)
    faults = (
        "stop",
        "stop",
        "stop",
        "kill",
        "pause",
        "disconnect",
        "disconnect",
        "slow",
    )
    match random.choice(faults):
        case "stop":
            process.append_responses_lost = random.random() < 0.5
            simulation.call_later(
                2_000, setattr, process, "append_responses_lost", False
            )
            simulation.stop(process.name)
        case "kill":
            simulation.kill(process.name, random.randint(200, 3_000))
        case "pause":
            simulation.pause(process.name, random.randint(300, 5_000))
        case "disconnect":
            process.store_unreachable = True
            simulation.call_later(
                duration_ms, setattr, process, "store_unreachable", False
            )
        case "slow":
            process.response_lag_ms = random.randint(*RESPONSE_LAG_RANGE_MS)
            simulation.call_later(
                duration_ms, setattr, process, "response_lag_ms", 0
            )


def partition_workers(
    simulation: JobSimulation, process: ManagerProcess, duration_ms: int
) -> None:
    """Partition the workers: a manager reaches one, the others the rest.

    Args:
      simulation: Simulated managers and workers.
      process: The manager.
      duration_ms: Length of the partition.
    """
    addresses = list(simulation.workers_by_address)
    reachable_address = simulation.random.choice(addresses)
    others = [
        name for name in simulation.processes_by_name if name != process.name
    ]
    for address in addresses:
        manager_names = (
            others if address == reachable_address else [process.name]
        )
        disconnect_worker(simulation, address, manager_names, duration_ms)


def schedule_faults(simulation: JobSimulation, caller: Caller) -> None:
    """Schedule restarts and disconnections of workers and store outages.

    Jobs that always fail are submitted shortly before each outage, so that
    some fail while the response to the leader's write is lost.

    Args:
      simulation: Simulated managers and workers.
      caller: Caller that submits these jobs.
    """
    random = simulation.random
    faults = (
        "restart",
        "restart",
        "replace",
        "disconnect one",
        "disconnect all",
        "store outage",
        "store outage",
    )
    for index in range(FAULT_COUNT):
        at_ms = random.randrange(FAULT_PERIOD_MS)
        duration_ms = random.randint(300, 7_000)
        address = random.choice(list(simulation.workers_by_address))
        match random.choice(faults):
            case "restart":
                simulation.call_later(
                    at_ms, restart_worker, simulation, address, ""
                )
            case "replace":
                worker_id = f"n{index}"
                simulation.call_later(
                    at_ms, restart_worker, simulation, address, worker_id
                )
            case "disconnect one":
                manager_name = random.choice(
                    list(simulation.processes_by_name)
                )
                simulation.call_later(
                    at_ms,
                    disconnect_worker,
                    simulation,
                    address,
                    [manager_name],
                    duration_ms,
                )
            case "disconnect all":
                manager_names = list(simulation.processes_by_name)
                simulation.call_later(
                    at_ms,
                    disconnect_worker,
                    simulation,
                    address,
                    manager_names,
                    duration_ms,
                )
            case "store outage":
                simulation.call_later(
                    at_ms, fail_store, simulation, duration_ms
                )
                advance_ms = random.randint(0, FAILING_JOB_MAX_ADVANCE_MS)
                simulation.call_later(
                    at_ms - advance_ms, caller.submit_failing_job
                )


def fail_store(simulation: JobSimulation, duration_ms: int) -> None:
    """Make the store lose its responses for some time, then all calls.

    In half of the cases it rejects these calls instead of losing them, and in
    half of the cases the leader changes soon after the outage.  The same
    random delay passes from the first lost response until all calls fail, and
    from the end of the outage until the leader changes.

    Args:
      simulation: Simulated managers and workers.
      duration_ms: Length of the outage.
    """
    delay_ms = simulation.random.randint(1, min(400, duration_ms))
    simulation.store.responses_lost = True
    simulation.store.rejects_calls = simulation.random.random() < 0.5
    simulation.call_later(
        delay_ms, setattr, simulation.store, "unavailable", True
    )
    simulation.call_later(
        duration_ms, setattr, simulation.store, "responses_lost", False
    )
    simulation.call_later(
        duration_ms + 1, setattr, simulation.store, "unavailable", False
    )
    if simulation.random.random() < 0.5:
        simulation.call_later(
            duration_ms + delay_ms, change_leader, simulation
        )


def restart_worker(
    simulation: JobSimulation, address: str, worker_id: str
) -> None:
    """Terminate a worker and start another at the same address later.

    Args:
      simulation: Simulated managers and workers.
      address: Address of the worker.
      worker_id: Identifier of the new worker, "" for that of the terminated
        one.
    """
    worker = simulation.workers_by_address[address]
    if not worker.alive:
        return
    simulation.terminate_worker(address)
    delay_ms = simulation.random.choice((30, 300, 1_500, 5_000))
    new_worker_id = worker_id or worker.worker_id
    simulation.call_later(
        delay_ms, simulation.add_worker, address, new_worker_id
    )


def disconnect_worker(
    simulation: JobSimulation,
    address: str,
    manager_names: list[str],
    duration_ms: int,
) -> None:
    """Disconnect a worker from some managers.

    Args:
      simulation: Simulated managers and workers.
      address: Address of the worker.
      manager_names: Names of the managers.
      duration_ms: Length of the disconnection.
    """
    worker_id = simulation.workers_by_address[address].worker_id
    for manager_name in manager_names:
        unreachable_workers = simulation.processes_by_name[
            manager_name
        ].unreachable_workers
        unreachable_workers.add(worker_id)
        simulation.call_later(
            duration_ms, unreachable_workers.discard, worker_id
        )


def end_faults(simulation: JobSimulation) -> None:
    """End all faults of calls, the store and the connections.

    Pauses and restarts that are in progress still complete.

    Args:
      simulation: Simulated managers and workers.
    """
    simulation.fault_rates = NO_FAULTS
    simulation.store.responses_lost = False
    simulation.store.unavailable = False
    for process in simulation.processes_by_name.values():
        process.store_unreachable = False
        process.append_responses_lost = False
        process.response_lag_ms = 0
        process.unreachable_workers.clear()


def disable_guard(name: str) -> None:
    """Disable a guard of the reducer in this process.

    Args:
      name: Name of the guard, "" for none.  "sequence" is a guard of the
        simulated writer, which `run_history` disables.
    """
    match name:
        case "" | "sequence":
            pass
        case "unread":
            reports._is_job_unread = lambda manager, task: False
        case "unresolved":
            queue_pools.pool_may_have_untracked_runs = (
                lambda manager, pool: False
            )
        case "resigning":
            leases.is_resigning = lambda manager: False
        case "stored":
            reports._apply_ends = _apply_ends_as_stored
        case "lease":
            for module in (orders, task_placement, workers):
                module.extend_lease = lambda worker, until_ms: worker
        case "confirmed":
            leases.TERM_CONFIRMED_MS = 1 << 40
        case "forgotten":
            runs._is_unstored = _is_dirty
        case _:
            raise SystemExit(f"unknown guard {name}")


def _is_dirty(manager, job_id):
    """Check whether a job has changes that no write contains yet.

    Unlike `runs._is_unstored`, it ignores a write in flight.
    """
    return job_id in manager.dirty_jobs


# `disable_guard` replaces the function in its module.
original_apply_ends = reports._apply_ends


def _apply_ends_as_stored(manager, event):
    """Apply ends and treat them as stored, so they are acknowledged early."""
    step = original_apply_ends(manager, event)
    worker = step.state.workers_by_id[event.worker_id]
    worker = replace(
        worker, last_stored_end_sequence=worker.last_applied_end_sequence
    )
    workers_by_id = step.state.workers_by_id.set(event.worker_id, worker)
    state = replace(step.state, workers_by_id=workers_by_id)
    return replace(step, state=state)


def run_all(*, histories: int = 1000, seed: int = 0, without: str = "") -> int:
    """Run histories in parallel and print the number of violations.

    Args:
      histories: Number of histories.
      seed: Seed of the first history; the others follow it.
      without: Name of the guard to disable, "" for none.
    Returns:
      The number of violations.
    """
    seeds = range(seed, seed + histories)
    with ProcessPoolExecutor(max(os.cpu_count() // 2, 1)) as processes:
        results = list(
            processes.map(
                run_history, seeds, [without] * histories, chunksize=4
            )
        )
    failed = [result for result in results if result.violations]
    for result in failed[:10]:
        print(f"seed {result.seed}: {result.violations[0]}")
    counts_by_rule = Counter(
        line.partition(" ")[0]
        for result in failed
        for line in result.violations
    )
    starts = sum(result.starts for result in results)
    terms = sum(result.terms for result in results)
    print(f"{histories} histories, {terms} terms, {starts} starts")
    print(f"{len(failed)} histories with violations: {dict(counts_by_rule)}")
    violations = sum(counts_by_rule.values())
    print(f"job_histories={violations}")
    return violations


if __name__ == "__main__":
    from defopt import run

    run(run_all)
