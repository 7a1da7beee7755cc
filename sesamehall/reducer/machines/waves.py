"""The manager's maintenance waves: which machines are ordered, and when.

This module decides orders; `machines.fleet` sends them. A machine of a wave is
unavailable while it is down for maintenance or may soon be.
"""

from sesamehall.core.effects import log
from sesamehall.core.fleet import Machine
from sesamehall.core.fleet import MachineState
from sesamehall.core.fleet import WaveStatus
from sesamehall.core.fleetstate import MachineOrderKind
from sesamehall.core.fleetstate import WaveProgress
from sesamehall.core.fleettiming import WAVE_CYCLE_MS
from sesamehall.core.fleettiming import WAVE_MARGIN_MS
from sesamehall.core.logevents import WAVE_COMPLETED
from sesamehall.core.logevents import WAVE_NOT_REPORTED
from sesamehall.core.managereffects import ReportWave
from sesamehall.core.managerevents import WaveNotReported
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.core.work import Size
from sesamehall.reducer.jobs.leases import may_have_untracked_runs
from sesamehall.reducer.machines.evacuation_room import may_be_evacuated
from sesamehall.reducer.machines.listing import lacks_wave_machine
from sesamehall.reducer.machines.pending_orders import accepts_orders
from sesamehall.reducer.machines.pending_orders import decide_order


def advance_waves(manager: ManagerState, at_ms: int) -> Step:
    """Decide maintenance orders for all waves that are not completed.

    Args:
      manager: State of the leader.
      at_ms: Current time on the node's clock.
    Returns:
      A Step that also reports the start or completion of waves.
    """
    step = Step(manager)
    for _, progress in sorted(manager.fleet.waves_by_number.items()):
        if not progress.completed:
            step = then(step, _advance_wave, progress, at_ms)
    return step


def _advance_wave(manager: ManagerState, progress: WaveProgress, at_ms: int):
    """Decide orders for the next machines of a wave, or complete the wave."""
    wave = progress.wave
    step = Step(manager)
    if not progress.start_reported:
        report = ReportWave(WaveStatus(wave.number, completed=False))
        progress = replace(progress, start_reported=True)
        step = Step(_put_wave(manager, progress), (report,))
    remaining = remaining_machines(step.state, progress)
    unavailable = unavailable_machines(step.state, progress)
    lacks_machine = lacks_wave_machine(step.state.fleet, progress, at_ms)
    if not remaining and not unavailable and not lacks_machine:
        return then(step, _complete_wave, progress, at_ms)
    max_orders = unavailable_limit(progress, len(remaining), at_ms) - len(
        unavailable
    )
    if max_orders <= 0:
        return step
    state = step.state
    time_short = is_time_short(progress, len(remaining), at_ms)
    room_by_id: dict[str, Size] = {}
    for machine in _next_machines(
        state, remaining, time_short, at_ms, room_by_id
    ):
        if max_orders <= 0:
            break
        if not may_be_evacuated(state, machine.worker_id, at_ms, room_by_id):
            continue
        max_orders -= 1
        state = decide_order(
            state,
            machine,
            MachineOrderKind.MAINTENANCE,
            "",
            wave.number,
            at_ms,
        )
    return Step(state, step.effects)


def handle_wave_not_reported(
    manager: ManagerState, event: WaveNotReported
) -> Step:
    """Report the status of a wave again that could not be written.

    Args:
      manager: State of a manager.
      event: The status and the reason of the failure.
    Returns:
      A Step; the next tick of a leader reports the status again.
    """
    number = event.status.number
    progress = manager.fleet.waves_by_number.get(number)
    if progress is None or not manager.term.epoch:
        return Step(manager)
    line = log(
        WAVE_NOT_REPORTED,
        wave=number,
        completed=int(event.status.completed),
        reason=event.reason,
    )
    match event.status:
        case WaveStatus(completed=True):
            progress = replace(progress, completed=False)
        case WaveStatus() if not progress.completed:
            progress = replace(progress, start_reported=False)
    return Step(_put_wave(manager, progress), (line,))


def remaining_machines(
    manager: ManagerState, progress: WaveProgress
) -> list[Machine]:
    """Return a wave's machines that still need an order for maintenance.

    Args:
      manager: State of the leader.
      progress: The wave.
    Returns:
      The machines that exist, without those that have a pending order for the
      wave or whose order the platform has accepted.
    """
    accepted = manager.maintenance_accepted_by_wave.get(
        progress.wave.number, ()
    )
    machines = manager.fleet.machines_by_name
    return [
        machines[name]
        for name in progress.wave.machines
        if name in machines
        and name not in accepted
        and not _is_ordered(manager, name, progress.wave.number)
    ]


def unavailable_machines(
    manager: ManagerState, progress: WaveProgress
) -> set[str]:
    """Return a wave's machines that are down for maintenance, or may soon be.

    These include machines that an earlier leader may have ordered, or this
    node in an earlier term, since such an order may still be carried out.

    Args:
      manager: State of the leader.
      progress: The wave.
    Returns:
      Their names.
    """
    wave_number = progress.wave.number
    machines = manager.fleet.machines_by_name
    ordered_earlier = manager.fleet.inherited + _ordered_by_itself(manager)
    return {
        name
        for name in progress.wave.machines
        if _is_ordered(manager, name, wave_number)
        or name in ordered_earlier
        or (
            name in machines
            and machines[name].state is MachineState.MAINTENANCE
        )
    }


def _ordered_by_itself(manager: ManagerState) -> tuple[str, ...]:
    """List machines that this node may have ordered in an earlier term."""
    ordered = manager.ordered_machines
    if ordered is None or ordered.node != manager.name:
        return ()
    return ordered.own


def _is_ordered(manager, name, wave_number):
    order = manager.fleet.orders_by_machine.get(name)
    return order is not None and order.wave == wave_number


def unavailable_limit(
    progress: WaveProgress, remaining_count: int, at_ms: int
) -> int:
    """Compute how many machines of a wave may be unavailable at once.

    The machines without an order are divided evenly among the maintenance
    cycles for which there is time, WAVE_MARGIN_MS before the deadline. The
    limit is one machine more than that, as a margin.

    Args:
      progress: The wave.
      remaining_count: Number of machines without an order.
      at_ms: Current time on the node's clock.
    Returns:
      The limit, at most the wave's max_unavailable.
    """
    wave = progress.wave
    time_left_ms = progress.first_seen_ms + wave.within_ms - at_ms
    usable_ms = max(time_left_ms - WAVE_MARGIN_MS, WAVE_CYCLE_MS)
    cycles = max(usable_ms // WAVE_CYCLE_MS, 1)
    return min(-(-remaining_count // cycles) + 1, wave.max_unavailable)


def is_time_short(
    progress: WaveProgress, remaining_count: int, at_ms: int
) -> bool:
    """Check whether a wave can no longer wait until machines are idle.

    Args:
      progress: The wave.
      remaining_count: Number of machines without an order.
      at_ms: Current time on the node's clock.
    Returns:
      True if the maintenance cycles that are still needed, with as many
      machines unavailable as allowed, take all the time that is left.
    """
    wave = progress.wave
    time_left_ms = progress.first_seen_ms + wave.within_ms - at_ms
    cycles = -(-remaining_count // wave.max_unavailable)
    return time_left_ms <= cycles * WAVE_CYCLE_MS + WAVE_MARGIN_MS


def needs_maintenance(manager: ManagerState, machine: Machine) -> bool:
    """Check whether a machine still needs maintenance for a wave.

    Args:
      manager: State of the leader.
      machine: The machine.
    Returns:
      True if a wave that is not completed contains the machine and the
      platform has not accepted an order for its maintenance.
    """
    return any(
        machine.name in progress.wave.machines
        and machine.name
        not in manager.maintenance_accepted_by_wave.get(
            progress.wave.number, ()
        )
        for progress in manager.fleet.waves_by_number.values()
        if not progress.completed
    )


def _next_machines(
    manager, remaining, time_short, at_ms, room_by_id
) -> list[Machine]:
    """Return the machines that may be maintained next, in order.

    While there is time, a machine with finite tasks waits until these have
    completed. Long-running tasks do not complete, so their machines cannot
    wait. Those machines come first. Only one of them is ordered at a time in
    each pool, since the tasks of one job step must move one after the other.
    """
    available = [
        machine for machine in remaining if accepts_orders(manager, machine)
    ]
    available.sort(key=lambda machine: _interruption_cost(manager, machine))
    if time_short:
        return available
    idle = [
        machine for machine in available if not _is_in_use(manager, machine)
    ]
    hosts = _next_long_running_hosts(manager, available, at_ms, room_by_id)
    return hosts + idle


def _next_long_running_hosts(
    manager, available, at_ms, room_by_id
) -> list[Machine]:
    """Return the next machine with long-running tasks of each pool.

    Leaves out pools where such a machine has an order already, and machines
    whose tasks have no room elsewhere.
    """
    machines = manager.fleet.machines_by_name
    busy_pools = {
        machines[name].pool
        for name in manager.fleet.orders_by_machine
        if name in machines and _hosts_long_running(manager, machines[name])
    }
    next_by_pool: dict[str, Machine] = {}
    for machine in available:
        if (
            machine.pool not in busy_pools
            and machine.pool not in next_by_pool
            and _hosts_long_running(manager, machine)
            and may_be_evacuated(manager, machine.worker_id, at_ms, room_by_id)
        ):
            next_by_pool[machine.pool] = machine
    return list(next_by_pool.values())


def _hosts_long_running(manager, machine):
    """Check whether a machine's worker has long-running tasks."""
    worker = manager.workers_by_id.get(machine.worker_id)
    return worker is not None and any(
        manager.runs_by_task[task].long_running for task in worker.tasks
    )


def _is_in_use(manager, machine):
    worker = manager.workers_by_id.get(machine.worker_id)
    if worker is None:
        return False
    return bool(worker.tasks) or may_have_untracked_runs(worker)


def _interruption_cost(manager: ManagerState, machine: Machine):
    """Build a sort key: machines with less to interrupt come first."""
    worker = manager.workers_by_id.get(machine.worker_id)
    if worker is None:
        return (False, 0, 0, machine.name)
    return (
        may_have_untracked_runs(worker),
        len(worker.tasks),
        worker.used.cpu_milli,
        machine.name,
    )


def record_accepted_maintenance(
    manager: ManagerState, wave_number: int, machine_name: str
) -> ManagerState:
    """Record that the platform accepted the order to maintain a machine.

    Args:
      manager: State of the leader.
      wave_number: Number of the wave.
      machine_name: Name of the machine.
    Returns:
      The state.
    """
    accepted = manager.maintenance_accepted_by_wave.get(wave_number, ())
    if machine_name in accepted:
        return manager
    accepted_by_wave = manager.maintenance_accepted_by_wave.set(
        wave_number, accepted + (machine_name,)
    )
    return replace(
        manager,
        maintenance_accepted_by_wave=accepted_by_wave,
        dirty_waves=manager.dirty_waves.set(wave_number, True),
    )


def _complete_wave(manager, progress, at_ms):
    """Record that a wave is completed and report it to the operators."""
    wave = progress.wave
    line = log(
        WAVE_COMPLETED,
        wave=wave.number,
        machines=len(wave.machines),
        took_ms=at_ms - progress.first_seen_ms,
    )
    report = ReportWave(WaveStatus(wave.number, completed=True))
    manager = _put_wave(manager, replace(progress, completed=True))
    return Step(manager, (line, report))


def _put_wave(manager, progress):
    waves = manager.fleet.waves_by_number.set(progress.wave.number, progress)
    return replace(
        manager, fleet=replace(manager.fleet, waves_by_number=waves)
    )
