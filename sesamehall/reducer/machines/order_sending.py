"""Orders for machines: evacuation of the worker, then the order."""

from sesamehall.core.effects import log
from sesamehall.core.fleetstate import MachineOrderKind
from sesamehall.core.fleettiming import MACHINE_ORDER_CONFIRMED_MS
from sesamehall.core.fleettiming import MACHINE_ORDER_RETRY_MS
from sesamehall.core.logevents import MACHINE_ORDER_WITHDRAWN
from sesamehall.core.logevents import MACHINE_ORDERED
from sesamehall.core.managereffects import MaintainMachine
from sesamehall.core.managereffects import MoveMachine
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step
from sesamehall.reducer.jobs.leases import may_have_untracked_runs
from sesamehall.reducer.jobs.runs import schedule_placement
from sesamehall.reducer.machines.evacuation import evacuate_worker
from sesamehall.reducer.machines.evacuation_room import withdrawal_reason
from sesamehall.reducer.machines.evacuation_room import WithdrawalReason
from sesamehall.reducer.machines.pending_orders import put_order
from sesamehall.reducer.machines.pending_orders import rebind_order
from sesamehall.reducer.machines.pending_orders import withdraw_order


def advance_order(
    manager: ManagerState, machine_name: str, at_ms: int
) -> Step:
    """Evacuate the worker of a machine, then send the order.

    Args:
      manager: State of the leader.
      machine_name: Name of a machine with an order.
      at_ms: Current time on the node's clock.
    Returns:
      A Step; an order that cannot be sent is withdrawn.
    """
    order = manager.fleet.orders_by_machine[machine_name]
    answered = order.accepted_ms >= 0 or order.repeat_refused_ms >= 0
    if answered:
        return Step(manager)
    reason = withdrawal_reason(manager, order, at_ms)
    if reason is not None:
        return _withdraw(manager, machine_name, reason, at_ms)
    if not order.stored:
        return Step(manager)
    if (
        order.last_sent_ms >= 0
        and at_ms - order.last_sent_ms < MACHINE_ORDER_RETRY_MS
    ):
        return Step(manager)
    manager = rebind_order(manager, machine_name)
    order = manager.fleet.orders_by_machine[machine_name]
    worker = manager.workers_by_id.get(order.worker_id)
    if worker is not None and may_have_untracked_runs(worker):
        return Step(manager)
    if worker is not None and worker.tasks:
        return _evacuate(manager, machine_name, at_ms)
    return _send_order(manager, machine_name, at_ms)


def _send_order(manager: ManagerState, machine_name: str, at_ms: int) -> Step:
    """Send an order for a machine whose worker has no tasks."""
    order = manager.fleet.orders_by_machine[machine_name]
    last_decisions = manager.fleet.last_decision_ms_by_machine.set(
        machine_name, at_ms
    )
    line = log(
        MACHINE_ORDERED,
        machine=machine_name,
        order=order.kind.value,
        pool=order.pool,
        wave=order.wave,
        worker=order.worker_id,
        waited_ms=at_ms - order.decided_ms,
    )
    epoch = manager.term.epoch
    not_after_ms = manager.term.confirmed_ms + MACHINE_ORDER_CONFIRMED_MS
    match order.kind:
        case MachineOrderKind.MOVE:
            effect = MoveMachine(machine_name, order.pool, epoch, not_after_ms)
        case MachineOrderKind.MAINTENANCE:
            effect = MaintainMachine(
                machine_name, order.wave, epoch, not_after_ms
            )
    order = replace(order, last_sent_ms=at_ms, send_count=order.send_count + 1)
    manager = put_order(manager, machine_name, order)
    fleet = replace(manager.fleet, last_decision_ms_by_machine=last_decisions)
    return Step(replace(manager, fleet=fleet), (line, effect))


def _evacuate(manager: ManagerState, machine_name: str, at_ms: int) -> Step:
    """Stop the tasks that may be stopped, and record whether some were."""
    order = manager.fleet.orders_by_machine[machine_name]
    step = evacuate_worker(manager, order.worker_id, order.decided_ms, at_ms)
    task_count = len(manager.workers_by_id[order.worker_id].tasks)
    if step.effects or task_count < order.task_count:
        order = replace(order, advanced_ms=at_ms, task_count=task_count)
    return Step(put_order(step.state, machine_name, order), step.effects)


def _withdraw(
    manager: ManagerState, machine_name: str, reason: WithdrawalReason, at_ms
) -> Step:
    """Withdraw an order, and give its worker tasks again."""
    order = manager.fleet.orders_by_machine[machine_name]
    line = log(
        MACHINE_ORDER_WITHDRAWN,
        machine=machine_name,
        order=order.kind.value,
        wave=order.wave,
        worker=order.worker_id,
        reason=reason.value,
        waited_ms=at_ms - order.decided_ms,
    )
    manager = withdraw_order(manager, machine_name, at_ms)
    worker = manager.workers_by_id.get(order.worker_id)
    if worker is None:
        return Step(manager, (line,))
    step = schedule_placement(manager, worker.entry.pool, at_ms)
    return Step(step.state, (line,) + step.effects)
