"""Waves of maintenance: which machine is next, and how many at once."""

from sesamehall.core.effects import log
from sesamehall.core.fleet import Machine
from sesamehall.core.fleet import MachineState
from sesamehall.core.fleet import WaveStatus
from sesamehall.core.fleetstate import MachineOrder
from sesamehall.core.fleetstate import WaveProgress
from sesamehall.core.fleettiming import WAVE_CYCLE_MS
from sesamehall.core.fleettiming import WAVE_MARGIN_MS
from sesamehall.core.logevents import WAVE_COMPLETED
from sesamehall.core.managereffects import ReportWave
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.reducer.jobs.leases import may_have_untracked_runs
from sesamehall.reducer.machines.orders import decide_order
from sesamehall.reducer.machines.orders import is_free


def review_waves(manager: ManagerState, at_ms: int) -> Step:
    """Begin the maintenance of as many machines as is fit.

    Args:
      manager: State of the leader.
      at_ms: The node's clock.
    Returns:
      A Step.
    """
    step = Step(manager)
    for _, progress in sorted(manager.fleet.waves_by_number.items()):
        if not progress.completed:
            step = then(step, _review_wave, progress, at_ms)
    return step


def _review_wave(manager: ManagerState, progress: WaveProgress, at_ms: int):
    wave = progress.wave
    step = Step(manager)
    if not progress.start_reported:
        report = ReportWave(WaveStatus(wave.number, completed=False))
        progress = replace(progress, start_reported=True)
        step = Step(_put_wave(manager, progress), (report,))
    left = machines_left(step.state, progress)
    busy = machines_down(step.state, progress)
    if not left and not busy:
        return then(step, _complete, progress, at_ms)
    room = at_once_now(progress, len(left), at_ms) - len(busy)
    state = step.state
    pressed = is_pressed(progress, len(left), at_ms)
    chosen = _choose(state, left, pressed)
    for machine in chosen[: max(room, 0)]:
        state = decide_order(
            state, machine, MachineOrder.MAINTENANCE, "", wave.number, at_ms
        )
    return Step(state, step.effects)


def machines_left(
    manager: ManagerState, progress: WaveProgress
) -> list[Machine]:
    """List a wave's machines whose maintenance is not begun or ordered.

    Args:
      manager: State of the leader.
      progress: The wave.
    Returns:
      The machines; those that are gone for good are left out.
    """
    done = manager.maintained_by_wave.get(progress.wave.number, ())
    machines = manager.fleet.machines_by_name
    return [
        machines[name]
        for name in progress.wave.machines
        if name in machines
        and name not in done
        and not _is_ordered(manager, name, progress.wave.number)
    ]


def machines_down(manager: ManagerState, progress: WaveProgress) -> set[str]:
    """List a wave's machines that are down for it, or about to be.

    An order of an earlier leader may be carried out yet.

    Args:
      manager: State of the leader.
      progress: The wave.
    Returns:
      Their names.
    """
    number = progress.wave.number
    machines = manager.fleet.machines_by_name
    return {
        name
        for name in progress.wave.machines
        if _is_ordered(manager, name, number)
        or name in manager.fleet.inherited
        or (
            name in machines
            and machines[name].state is MachineState.MAINTENANCE
        )
    }


def _is_ordered(manager, name, number):
    order = manager.fleet.orders_by_machine.get(name)
    return order is not None and order.wave == number


def at_once_now(progress: WaveProgress, left: int, at_ms: int) -> int:
    """Choose how many machines shall be down at once.

    Args:
      progress: The wave.
      left: Machines that are still to come.
      at_ms: The node's clock.
    Returns:
      Enough to be done in time, and no more than the wave allows.
    """
    wave = progress.wave
    time_left_ms = progress.first_seen_ms + wave.within_ms - at_ms
    useful_ms = max(time_left_ms - WAVE_MARGIN_MS, WAVE_CYCLE_MS)
    rounds = max(useful_ms // WAVE_CYCLE_MS, 1)
    return min(-(-left // rounds) + 1, wave.max_unavailable)


def is_pressed(progress: WaveProgress, left: int, at_ms: int) -> bool:
    """Tell whether a wave can no longer wait for machines that are idle.

    Args:
      progress: The wave.
      left: Machines that are still to come.
      at_ms: The node's clock.
    Returns:
      True when the rounds that are left take all the time that is left.
    """
    wave = progress.wave
    time_left_ms = progress.first_seen_ms + wave.within_ms - at_ms
    rounds = -(-left // wave.max_unavailable)
    return time_left_ms <= rounds * WAVE_CYCLE_MS + WAVE_MARGIN_MS


def is_due(manager: ManagerState, machine: Machine) -> bool:
    """Tell whether a machine has maintenance before it.

    Args:
      manager: State of the leader.
      machine: The machine.
    Returns:
      True for a machine of a wave whose turn has not come.
    """
    return any(
        machine.name in progress.wave.machines
        and machine.name
        not in manager.maintained_by_wave.get(progress.wave.number, ())
        for progress in manager.fleet.waves_by_number.values()
        if not progress.completed
    )


def _choose(manager, left, pressed) -> list[Machine]:
    """List the machines that may be next, in this order.

    Tasks that end by themselves are waited for while there is time.  Lasting
    ones never leave, and a step's have to move one after the other, so their
    machines come first, one of each pool at a time.
    """
    free = [machine for machine in left if is_free(manager, machine)]
    free.sort(key=lambda machine: _cost(manager, machine))
    if pressed:
        return free
    idle = [machine for machine in free if not _is_in_use(manager, machine)]
    return _next_with_lasting(manager, free) + idle


def _next_with_lasting(manager, free) -> list[Machine]:
    """List the next machine of each pool that only emptying can free."""
    machines = manager.fleet.machines_by_name
    emptied = {
        machines[name].pool
        for name in manager.fleet.orders_by_machine
        if name in machines and _has_lasting(manager, machines[name])
    }
    next_by_pool: dict[str, Machine] = {}
    for machine in free:
        if machine.pool not in emptied and _has_lasting(manager, machine):
            next_by_pool.setdefault(machine.pool, machine)
    return list(next_by_pool.values())


def _has_lasting(manager, machine):
    """Tell whether lasting tasks are on a machine's worker."""
    worker = manager.workers_by_id.get(machine.worker_id)
    return worker is not None and any(
        manager.runs_by_task[task].long_running for task in worker.tasks
    )


def _is_in_use(manager, machine):
    worker = manager.workers_by_id.get(machine.worker_id)
    if worker is None:
        return False
    return bool(worker.tasks) or may_have_untracked_runs(worker)


def _cost(manager: ManagerState, machine: Machine):
    """Rank machines by what their maintenance interrupts."""
    worker = manager.workers_by_id.get(machine.worker_id)
    if worker is None:
        return (False, 0, 0, machine.name)
    return (
        may_have_untracked_runs(worker),
        len(worker.tasks),
        worker.used.cpu_milli,
        machine.name,
    )


def note_maintained(
    manager: ManagerState, number: int, machine: str
) -> ManagerState:
    """Note that the platform took the order to maintain a machine.

    Args:
      manager: State of the leader.
      number: Number of the wave.
      machine: Name of the machine.
    Returns:
      The state.
    """
    done = manager.maintained_by_wave.get(number, ())
    if machine in done:
        return manager
    maintained = manager.maintained_by_wave.set(number, done + (machine,))
    return replace(
        manager,
        maintained_by_wave=maintained,
        dirty_waves=manager.dirty_waves.set(number, True),
    )


def _complete(manager, progress, at_ms):
    """Tell the operators that a wave is done."""
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
