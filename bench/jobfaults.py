"""Faults of job histories: changes of the leader, of workers and the store."""

from bench.jobcallers import Caller
from bench.jobprocesses import ManagerProcess
from bench.jobprocesses import NO_FAULTS
from bench.jobworld import JobSimulation

FAULT_PERIOD_MS = 12_000
FAILING_JOB_MAX_ADVANCE_MS = 700  # the last failure may fall into the outage
RESPONSE_LAG_RANGE_MS = (50, 300)  # of a slow manager


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


def schedule_faults(
    simulation: JobSimulation, caller: Caller, count: int
) -> None:
    """Schedule restarts and disconnections of workers and store outages.

    Jobs that always fail are submitted shortly before each outage, so that
    some fail while the response to the leader's write is lost.

    Args:
      simulation: Simulated managers and workers.
      caller: Caller that submits these jobs.
      count: Number of faults.
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
    for index in range(count):
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
        delay_ms, simulation.add_worker, address, new_worker_id, worker.pool
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
        process.store_refuses = False
        process.append_responses_lost = False
        process.append_deliveries.clear()
        process.response_lag_ms = 0
        process.unreachable_workers.clear()
