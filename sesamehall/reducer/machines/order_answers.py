"""The platform's answers to orders for machines."""

from sesamehall.core.effects import log
from sesamehall.core.fleetstate import MachineOrderKind
from sesamehall.core.fleetstate import PendingOrder
from sesamehall.core.logevents import MACHINE_ANSWER_STALE
from sesamehall.core.logevents import MACHINE_REFUSED
from sesamehall.core.managerevents import MachineAnswered
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.reducer.counts import drop_key
from sesamehall.reducer.jobs.leases import may_have_untracked_runs
from sesamehall.reducer.jobs.workers import end_incarnation
from sesamehall.reducer.machines.pending_orders import cancel_evacuation
from sesamehall.reducer.machines.pending_orders import put_order
from sesamehall.reducer.machines.waves import record_accepted_maintenance


def handle_machine_answer(
    manager: ManagerState, event: MachineAnswered
) -> Step:
    """Record that an order was accepted, or drop it if it was refused.

    Args:
      manager: State of a manager.
      event: The answer.
    Returns:
      A Step; after a failure without a clear answer the order is sent again,
      which is harmless.  If that is refused, the first may have been carried
      out, so the order is kept until the list of machines shows its outcome.
    """
    order = manager.fleet.orders_by_machine.get(event.machine)
    if order is None or not _is_own_answer(manager, order, event):
        return Step(manager)
    if order.accepted_ms >= 0:
        return Step(manager, _stale_answer_lines(manager, order, event))
    if event.done:
        lines = _stale_answer_lines(manager, order, event)
        return then(Step(manager, lines), _accept_order, order, event)
    line = log(MACHINE_REFUSED, machine=event.machine, reason=event.reason)
    if not event.refused:
        unsent = replace(order, last_sent_ms=-1)
        return Step(put_order(manager, event.machine, unsent), (line,))
    if order.send_count > 1:
        unresolved = replace(order, repeat_refused_ms=event.at_ms)
        return Step(put_order(manager, event.machine, unresolved), (line,))
    manager = cancel_evacuation(manager, order.worker_id)
    orders = drop_key(manager.fleet.orders_by_machine, event.machine)
    fleet = replace(manager.fleet, orders_by_machine=orders)
    return Step(replace(manager, fleet=fleet), (line,))


def _is_own_answer(manager, order, event):
    """Check that an answer is to an order of this term that was sent."""
    return event.epoch == manager.term.epoch and order.last_sent_ms >= 0


def _accept_order(manager, order, event):
    """Record that an order was accepted, and end its worker's incarnation.

    The order is sent once its worker is idle. A worker that has runs when the
    answer arrives got them later, so the order was carried out before, perhaps
    for an earlier leader, and did not end them.
    """
    order = replace(order, accepted_ms=event.at_ms)
    manager = put_order(manager, event.machine, order)
    if order.kind is MachineOrderKind.MAINTENANCE:
        manager = record_accepted_maintenance(
            manager, order.wave, event.machine
        )
    worker = manager.workers_by_id.get(order.worker_id)
    if worker is None or worker.tasks or may_have_untracked_runs(worker):
        return Step(manager)
    return end_incarnation(manager, order.worker_id, event.at_ms)


def _stale_answer_lines(manager, order: PendingOrder, event: MachineAnswered):
    """Build the log line of an acceptance that comes again or meets runs."""
    worker = manager.workers_by_id.get(order.worker_id)
    runs = 0 if worker is None else len(worker.tasks)
    accepted_before = order.accepted_ms >= 0
    if not event.done or not (runs or accepted_before):
        return ()
    line = log(
        MACHINE_ANSWER_STALE,
        machine=event.machine,
        order=order.kind.value,
        worker=order.worker_id,
        runs=runs,
        answer="repeated" if accepted_before else "first",
        sends=order.send_count,
        sent_ago_ms=event.at_ms - order.last_sent_ms,
        report_ago_ms=(
            event.at_ms - worker.last_report_ms if worker is not None else -1
        ),
    )
    return (line,)
