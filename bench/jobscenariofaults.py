"""Faults of the scenarios of job histories."""

from collections.abc import Callable

from immutables import Map

from bench.jobcallers import Caller
from bench.jobfaults import change_leader
from bench.jobfaults import disconnect_worker
from bench.jobfaults import fail_store
from bench.jobfaults import FAULT_PERIOD_MS
from bench.jobfaults import restart_worker
from bench.jobprocesses import CallFaultRates
from bench.jobprocesses import ManagerProcess
from bench.jobprocesses import NO_FAULTS
from bench.jobscenarios import AdviceShortage
from bench.jobscenarios import DrainedDataCentre
from bench.jobscenarios import Fault
from bench.jobscenarios import IsolationInWave
from bench.jobscenarios import LargeProgress
from bench.jobscenarios import LostConfirmation
from bench.jobscenarios import MaintenanceWave
from bench.jobscenarios import ManyEnds
from bench.jobscenarios import NodesTurnedAway
from bench.jobscenarios import PartitionUnderCeiling
from bench.jobscenarios import QUEUE
from bench.jobscenarios import QueueMoves
from bench.jobscenarios import RestartsBeforeCuts
from bench.jobscenarios import Scenario
from bench.jobscenarios import ZonePartition
from bench.jobworld import JobSimulation
from sesamehall.core.draining import DRAIN_KEY_PREFIX
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.manifest import DrainRequest
from sesamehall.core.manifest import Wave
from sesamehall.core.replacing import replace

ZONES = 3  # managers and workers are dealt to them in turn
PARTITION_RANGE_MS = (5_000, 10_000)
PARTITION_JOBS = 8  # from shortly before a partition until shortly after it
PARTITION_JOBS_RANGE_MS = (-1_500, 1_500)
SUCCESSOR_CHANGE_RANGE_MS = (1_300, 3_500)  # after the partition
ISOLATED_WAVE_RANGE_MS = (0, 2_000)  # after the partition
QUICK_RESTART_RANGE_MS = (100, 800)
CONFIRMATION_JOBS = 8
CONFIRMATION_JOBS_RANGE_MS = (800, 2_800)  # after the append without answer
LOST_APPENDS = 3  # after the one whose retry is answered
CUT_RANGE_MS = (2_000, 6_000)  # of the zone from the other managers
WIDE_JOB_RUNS_RANGE_MS = (500, 4_000)  # before the leader changes
WAVE_JOBS = 12
WAVE_JOBS_RANGE_MS = (-500, 6_000)  # around the request of a wave
WAVE_MS = 10_000  # so short that machines are maintained at once
WAVE_CHANGE_RANGE_MS = (0, 5_000)  # from the wave until the leader changes
LOST_RESPONSES_RATE = 0.15  # during a wave
LOST_RESPONSES_MS = 6_000
DRAIN_JOBS = 16
DRAIN_JOBS_RANGE_MS = (-500, 9_000)  # around the request
DRAIN_RANGE_MS = (4_000, 10_000)  # until the request is taken back
DRAIN_CHANGE_RANGE_MS = (-1_500, 500)  # from it until the leader changes
TURNED_AWAY_JOBS = 20
TURNED_AWAY_RANGE_MS = (2_000, 10_000)
OUTAGE_RANGE_MS = (1_000, 6_000)
MOVED_JOBS = 8  # from before the first change of the queue's pool
MOVED_JOBS_RANGE_MS = (-6_000, 1_500)  # around the partition
QUEUE_MOVES = 4  # the last one names the queue
QUEUE_MOVES_RANGE_MS = (-4_500, 3_500)  # around the partition
DROPPED = ""  # in place of a pool: the manifest does not name the queue
RESTART_JOBS = 6
RESTART_JOBS_RANGE_MS = (-3_000, 1_500)  # around the restarts
RESTARTED_RATE = 0.6  # of the workers
CUT_AFTER_RANGE_MS = (200, 3_000)  # from the end of a worker to its cut
RESTARTED_CUT_RANGE_MS = (5_000, 9_000)
LATE_CALLS_RATE = 0.25  # while the workers restart
LATE_CALLS_MS = 8_000  # from before the restarts
LATE_CALLS_BEFORE_MS = 3_000
CEILING_JOBS = 16
CEILING_JOBS_RANGE_MS = (-3_000, 6_000)  # around the partition
BLOCKING_JOBS = 14  # their steps take longer than tickets are valid
BLOCKING_ADVANCE_MS = 4_000  # before the faults end
OTHER_JOBS = 3
OTHER_ADVANCE_MS = 1_000  # before the faults end
BEGUN_WITHIN_MS = 17_000  # from the end of the faults, as the rules say
OUTAGE_DELAY_RANGE_MS = (50, 1_000)  # after a wide job was submitted


def schedule_scenario(
    simulation: JobSimulation, caller: Caller, scenario: Scenario
) -> None:
    """Schedule the faults of a scenario, and jobs around them.

    Args:
      simulation: Simulated managers and workers.
      caller: Caller that submits the jobs.
      scenario: The scenario.
    """
    for fault in scenario.faults:
        _schedule_fault(simulation, caller, fault)


def _schedule_fault(
    simulation: JobSimulation, caller: Caller, fault: Fault
) -> None:
    """Schedule a fault at a random time, and jobs around it."""
    random = simulation.random
    at_ms = random.randrange(FAULT_PERIOD_MS)

    def submit_around(submit, count, range_ms):
        _submit_around(simulation, at_ms, submit, count, range_ms)

    def strike(strike_fault, *arguments, after_ms=0):
        simulation.call_later(
            at_ms + after_ms, strike_fault, simulation, *arguments
        )

    match fault:
        case ZonePartition():
            submit_around(
                caller.submit_long_job, PARTITION_JOBS, PARTITION_JOBS_RANGE_MS
            )
            strike(_partition_leader_zone)
        case QueueMoves():
            submit_around(
                caller.submit_long_job, MOVED_JOBS, MOVED_JOBS_RANGE_MS
            )
            _schedule_queue_moves(simulation, at_ms)
            strike(_partition_leader_zone)
        case IsolationInWave(number):
            submit_around(
                caller.submit, PARTITION_JOBS, PARTITION_JOBS_RANGE_MS
            )
            strike(_isolate_leader)
            wave_after_ms = random.randint(*ISOLATED_WAVE_RANGE_MS)
            strike(_request_wave, number, after_ms=wave_after_ms)
        case ManyEnds():
            duration_ms = random.randint(*OUTAGE_RANGE_MS)
            simulation.call_later(at_ms, caller.submit_wide_job)
            outage_after_ms = random.randint(*OUTAGE_DELAY_RANGE_MS)
            strike(fail_store, duration_ms, after_ms=outage_after_ms)
        case LostConfirmation():
            submit_around(
                caller.submit, CONFIRMATION_JOBS, CONFIRMATION_JOBS_RANGE_MS
            )
            strike(_lose_confirmation)
        case NodesTurnedAway():
            duration_ms = random.randint(*TURNED_AWAY_RANGE_MS)
            submit_around(
                caller.submit, TURNED_AWAY_JOBS, (0, duration_ms - 1)
            )
            strike(_turn_nodes_away, duration_ms)
        case LargeProgress():
            simulation.call_later(at_ms, caller.submit_wide_job)
            change_after_ms = random.randint(*WIDE_JOB_RUNS_RANGE_MS)
            strike(change_leader, after_ms=change_after_ms)
        case RestartsBeforeCuts():
            submit_around(
                caller.submit_long_job, RESTART_JOBS, RESTART_JOBS_RANGE_MS
            )
            strike(_carry_out_late, after_ms=-LATE_CALLS_BEFORE_MS)
            strike(_restart_and_cut_workers)
        case PartitionUnderCeiling():
            submit_around(
                caller.submit_long_job, CEILING_JOBS, CEILING_JOBS_RANGE_MS
            )
            strike(_isolate_leader)
        case AdviceShortage():
            _schedule_advice_shortage(simulation, caller)
        case DrainedDataCentre():
            submit_around(caller.submit, DRAIN_JOBS, DRAIN_JOBS_RANGE_MS)
            strike(_drain_data_centre)
            change_after_ms = random.randint(*DRAIN_CHANGE_RANGE_MS)
            strike(change_leader, after_ms=change_after_ms)
        case MaintenanceWave(number):
            submit_around(caller.submit, WAVE_JOBS, WAVE_JOBS_RANGE_MS)
            strike(_request_wave, number)
            change_after_ms = random.randint(*WAVE_CHANGE_RANGE_MS)
            strike(change_leader, after_ms=change_after_ms)


def _submit_around(
    simulation: JobSimulation,
    at_ms: int,
    submit: Callable[[], None],
    count: int,
    range_ms: tuple[int, int],
) -> None:
    """Schedule submissions at random times around a fault.

    Args:
      simulation: Simulated managers and workers.
      at_ms: Time of the fault.
      submit: Submits a job.
      count: Number of jobs.
      range_ms: First and last time, after that of the fault.
    """
    for _ in range(count):
        offset_ms = simulation.random.randint(*range_ms)
        simulation.call_later(at_ms + offset_ms, submit)


def _schedule_advice_shortage(
    simulation: JobSimulation, caller: Caller
) -> None:
    """Let more steps wait as the faults end than the service can answer."""
    for _ in range(BLOCKING_JOBS):
        simulation.call_later(
            FAULT_PERIOD_MS - BLOCKING_ADVANCE_MS, caller.submit_lasting_job
        )
    for _ in range(OTHER_JOBS):
        simulation.call_later(
            FAULT_PERIOD_MS - OTHER_ADVANCE_MS, caller.submit_for_other_team
        )
    simulation.call_later(
        FAULT_PERIOD_MS + BEGUN_WITHIN_MS, caller.check_begun
    )


def _drain_data_centre(simulation: JobSimulation) -> None:
    """Request that nothing more is started in a data centre, for a while."""
    random = simulation.random
    name = random.choice(
        sorted(set(simulation.data_centre_by_address.values()))
    )
    if name in simulation.checker.drained_ms_by_data_centre:
        return
    key = f"{DRAIN_KEY_PREFIX}{name}"
    request = StoredRecord(key, DrainRequest(name))
    simulation.store.append(Stream.OPERATOR, (request,))
    simulation.checker.drained_ms_by_data_centre[name] = simulation.now_ms
    duration_ms = random.randint(*DRAIN_RANGE_MS)
    simulation.call_later(duration_ms, _revoke_drain, simulation, name)


def _revoke_drain(simulation: JobSimulation, name: str) -> None:
    deletion = StoredRecord(f"{DRAIN_KEY_PREFIX}{name}", None)
    simulation.store.append(Stream.OPERATOR, (deletion,))
    del simulation.checker.drained_ms_by_data_centre[name]


def _partition_leader_zone(simulation: JobSimulation) -> None:
    """Cut the leader off with the workers of its zone; change the next one."""
    process = _isolate_leader(simulation)
    if process is None:
        return
    random = simulation.random
    for _ in range(random.randint(1, 2)):
        simulation.call_later(
            random.randint(*SUCCESSOR_CHANGE_RANGE_MS),
            _change_successor,
            simulation,
            process,
        )


def _isolate_leader(simulation: JobSimulation) -> ManagerProcess | None:
    """Cut the leader off from the store and the workers of other zones.

    Args:
      simulation: Simulated managers and workers.
    Returns:
      The leader, None if no one leads.
    """
    process = simulation.leader()
    if process is None or simulation.fault_rates is NO_FAULTS:
        return None
    duration_ms = simulation.random.randint(*PARTITION_RANGE_MS)
    process.store_unreachable = True
    simulation.call_later(
        duration_ms, setattr, process, "store_unreachable", False
    )
    _cut_workers(simulation, process, duration_ms)
    return process


def _carry_out_late(simulation: JobSimulation) -> None:
    """Carry out more calls late, or more than once, for a while."""
    rates = simulation.fault_rates
    if rates is NO_FAULTS:
        return
    for name in ("late", "duplicated"):
        usual_rate = getattr(rates, name)
        setattr(rates, name, LATE_CALLS_RATE / 2)
        simulation.call_later(LATE_CALLS_MS, setattr, rates, name, usual_rate)


def _restart_and_cut_workers(simulation: JobSimulation) -> None:
    """Restart some workers under their identifiers, then cut them off."""
    if simulation.fault_rates is NO_FAULTS:
        return
    random = simulation.random
    names = list(simulation.processes_by_name)
    for address in list(simulation.workers_by_address):
        if random.random() > RESTARTED_RATE:
            continue
        restart_worker(simulation, address, "")
        simulation.call_later(
            random.randint(*CUT_AFTER_RANGE_MS),
            disconnect_worker,
            simulation,
            address,
            names,
            random.randint(*RESTARTED_CUT_RANGE_MS),
        )
    if random.random() < 0.5:
        change_ms = random.randint(*CUT_AFTER_RANGE_MS)
        simulation.call_later(change_ms, change_leader, simulation)


def _schedule_queue_moves(simulation: JobSimulation, at_ms: int) -> None:
    """Schedule manifests that move or drop the queue; the last one names it.

    Args:
      simulation: Simulated managers and workers.
      at_ms: Time of the partition.
    """
    random = simulation.random
    offsets_ms = sorted(
        random.randint(*QUEUE_MOVES_RANGE_MS) for _ in range(QUEUE_MOVES)
    )
    pools = simulation.limits.pools
    for offset_ms in offsets_ms[:-1]:
        pool = random.choice(pools + (DROPPED,))
        simulation.call_later(at_ms + offset_ms, move_queue, simulation, pool)
    last_ms = max(at_ms + offsets_ms[-1], FAULT_PERIOD_MS)
    simulation.call_later(
        last_ms, move_queue, simulation, random.choice(pools)
    )


def move_queue(simulation: JobSimulation, pool: str) -> None:
    """Publish a manifest that sends the queue to a pool.

    Args:
      simulation: Simulated managers and workers.
      pool: The pool, or DROPPED.
    """
    manifest = simulation.store.newest_value(Stream.OPERATOR, "config")
    queues = Map()
    if pool != DROPPED:
        queues = Map(quotes=replace(QUEUE, pool=pool))
    manifest = replace(
        manifest, version=manifest.version + 1, queues_by_name=queues
    )
    simulation.store.append(
        Stream.OPERATOR, (StoredRecord("config", manifest),)
    )


def _lose_confirmation(simulation: JobSimulation) -> None:
    """Lose a response to the leader's append, and the appends after it."""
    process = simulation.leader()
    if process is None or simulation.fault_rates is NO_FAULTS:
        return
    process.append_deliveries.extend(
        ("response_lost", "answered") + ("lost",) * LOST_APPENDS
    )
    _cut_workers(simulation, process, simulation.random.randint(*CUT_RANGE_MS))


def _turn_nodes_away(simulation: JobSimulation, duration_ms: int) -> None:
    """Let the store reject some managers, or not answer them.

    In half of the cases one of the others is killed meanwhile.
    """
    random = simulation.random
    processes = list(simulation.processes_by_name.values())
    random.shuffle(processes)
    leader = simulation.leader()
    if leader is not None and random.random() < 0.5:
        processes.remove(leader)
        processes.insert(0, leader)
    affected = max(len(processes) // 3, 1)
    fault = random.choice(("store_refuses", "store_unreachable"))
    for process in processes[:affected]:
        setattr(process, fault, True)
        simulation.call_later(duration_ms, setattr, process, fault, False)
    if random.random() < 0.5:
        simulation.call_later(
            random.randrange(duration_ms),
            simulation.kill,
            processes[-1].name,
            random.randint(*QUICK_RESTART_RANGE_MS),
        )


def _request_wave(simulation: JobSimulation, number: int) -> None:
    """Request maintenance of all machines, and lose more responses."""
    count = len(simulation.workers_by_address)
    names = tuple(f"m{index}" for index in range(count))
    wave = Wave(number, names, WAVE_MS, simulation.random.randint(1, 2))
    record = StoredRecord(f"wave/{number}", wave)
    simulation.store.append(Stream.OPERATOR, (record,))
    rates = simulation.fault_rates
    if rates is NO_FAULTS:
        return
    usual_rate = CallFaultRates().response_lost
    rates.response_lost = LOST_RESPONSES_RATE
    simulation.call_later(
        LOST_RESPONSES_MS, setattr, rates, "response_lost", usual_rate
    )


def _cut_workers(
    simulation: JobSimulation, process: ManagerProcess, duration_ms: int
) -> None:
    """Cut a manager and the workers of its zone off from the others.

    Args:
      simulation: Simulated managers and workers.
      process: The manager.
      duration_ms: Length of the disconnection.
    """
    names = list(simulation.processes_by_name)
    others = [name for name in names if name != process.name]
    zone = _zone(names, process.name)
    addresses = list(simulation.workers_by_address)
    for address in addresses:
        same_zone = _zone(addresses, address) == zone
        disconnected = others if same_zone else [process.name]
        disconnect_worker(simulation, address, disconnected, duration_ms)


def _zone(names: list[str], name: str) -> int:
    return names.index(name) % ZONES


def _change_successor(
    simulation: JobSimulation, predecessor: ManagerProcess
) -> None:
    """Stop the leader, or kill it and restart it quickly.

    Args:
      simulation: Simulated managers and workers.
      predecessor: The manager that was cut off, which is left alone.
    """
    process = simulation.leader()
    if process in (None, predecessor) or simulation.fault_rates is NO_FAULTS:
        return
    restart_after_ms = simulation.random.randint(*QUICK_RESTART_RANGE_MS)
    if simulation.random.random() < 0.5:
        simulation.stop(process.name)
    else:
        simulation.kill(process.name, restart_after_ms)
