"""Joining of instances to pools, and their moves between pools.

A move starts with a record in the log.  When the entries read it, they stop
sending requests to the instance, and each reports when it has none in flight
there.  When all members have reported and the instance's jobs have ended, it
is rebooted and joins its new pool.
"""

from immutables import Map

from sesamehall.core.agreement import Agreed
from sesamehall.core.agreement import Placement
from sesamehall.core.data import Move
from sesamehall.core.data import NodeKind
from sesamehall.core.data import Pool
from sesamehall.core.effects import log
from sesamehall.core.effects import RebootInstance
from sesamehall.core.events import InstanceRebooted
from sesamehall.core.logevents import MOVE_FINISHED
from sesamehall.core.logevents import MOVE_STARTED
from sesamehall.core.logevents import TARGET_DRAINED
from sesamehall.core.messages import DrainReported
from sesamehall.core.records import InstanceJoined
from sesamehall.core.records import MoveFinished
from sesamehall.core.records import MoveStarted
from sesamehall.core.replacing import replace
from sesamehall.core.state import State
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.reducer.broadcast import send_all
from sesamehall.reducer.role import propose_fenced


def join_instances(state: State, at_ms: int) -> Step:
    """Propose that new instances join the pool given in the platform's list.

    Args:
      state: State of the steward that holds the role.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with a proposal for each new instance.
    """
    step = Step(state)
    for instance in state.steward.instances:
        if instance.name in state.agreed.placements_by_instance:
            continue
        if instance.pool not in state.agreed.pools_by_name:
            continue
        body = InstanceJoined(state.agreed.role.epoch, instance)
        purpose = f"join/{instance.name}/{state.agreed.plans_version}"
        step = then(step, propose_fenced, purpose, body, at_ms)
    return step


def start_moves(state: State, at_ms: int) -> Step:
    """Move an instance from a spare pool to a pool below its minimum.

    Args:
      state: State of the steward that holds the role.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with at most one proposed move, and none while another proposal
      is pending, so that each decision takes the previous one into account.
    """
    agreed = state.agreed
    if _has_pending_move(state):
        return Step(state)
    for pool in _pools_below_minimum(state):
        placement = _choose_spare(state, pool)
        if placement is None:
            continue
        name = placement.instance.name
        operation = f"{agreed.role.epoch}-{agreed.next_offset}-{name}"
        body = MoveStarted(agreed.role.epoch, operation, name, pool.name)
        line = log(
            MOVE_STARTED,
            instance=name,
            from_pool=placement.pool,
            to_pool=pool.name,
            operation=operation,
        )
        step = propose_fenced(state, f"move/{operation}", body, at_ms)
        return Step(step.state, step.effects + (line,))
    return Step(state)


def finish_moves(state: State) -> Step:
    """Reboot the drained instances of unfinished moves.

    Args:
      state: State of the steward that holds the role.
    Returns:
      A Step with the reboots; repeated ones are harmless.
    """
    effects = tuple(
        RebootInstance(move.operation, move.instance, move.to_pool)
        for _, move in sorted(state.agreed.moves_by_operation.items())
        if _is_drained(state, move)
    )
    return Step(state, effects)


def receive_reboot(state: State, event: InstanceRebooted) -> Step:
    """Propose the end of a move after the instance's reboot.

    Args:
      state: State of the steward.
      event: The platform's answer.
    Returns:
      A Step with the proposal, or without effects if the reboot was not
      confirmed.
    """
    move = state.agreed.moves_by_operation.get(event.operation)
    if move is None or not event.confirmed:
        return Step(state)
    body = MoveFinished(state.agreed.role.epoch, move.operation)
    line = log(
        MOVE_FINISHED,
        instance=move.instance,
        to_pool=move.to_pool,
        operation=move.operation,
    )
    purpose = f"finish/{move.operation}"
    step = propose_fenced(state, purpose, body, event.at_ms)
    return Step(step.state, step.effects + (line,))


def record_drain_report(state: State, report: DrainReported) -> Step:
    """Record that an entry has nothing in flight on an instance being moved.

    Args:
      state: State of the steward.
      report: The entry's report.
    Returns:
      A Step without effects.
    """
    name = _report_name(report.operation, report.incarnation)
    reports = state.steward.drain_reports.set(name, True)
    steward = replace(state.steward, drain_reports=reports)
    return Step(replace(state, steward=steward))


def drop_finished_drain_reports(state: State) -> State:
    """Drop the reports about finished moves.

    Args:
      state: State of the steward.
    Returns:
      The state with the reports about unfinished moves only.
    """
    moves = state.agreed.moves_by_operation
    reports = Map(
        (name, True)
        for name in state.steward.drain_reports
        if name.partition(">")[0] in moves
    )
    steward = replace(state.steward, drain_reports=reports)
    return replace(state, steward=steward)


def send_drain_reports(state: State) -> Step:
    """Report the moved instances on which this entry has nothing in flight.

    Args:
      state: State of the entry.
    Returns:
      A Step with the reports to the stewards; repeated ones are harmless.
    """
    effects = ()
    for _, move in sorted(state.agreed.moves_by_operation.items()):
        if state.entry.running_by_target.get(move.instance, 0):
            continue
        report = DrainReported(move.operation, state.identity.incarnation)
        line = log(TARGET_DRAINED, target=move.instance)
        effects += (line,) + send_all(state, NodeKind.STEWARD, report)
    return Step(state, effects)


def _pools_below_minimum(state: State) -> list[Pool]:
    """List the pools below their minimum, the largest shortfall first."""
    agreed = state.agreed
    shortfalls = []
    for pool in agreed.pools_by_name.values():
        if pool.spare or pool.minimum == 0:
            continue
        shortfall = pool.minimum - _count_after_moves(agreed, pool.name)
        if shortfall > 0:
            shortfalls.append((-shortfall, pool.name))
    return [agreed.pools_by_name[name] for _, name in sorted(shortfalls)]


def _count_after_moves(agreed: Agreed, pool: str) -> int:
    """Count the instances of a pool after all unfinished moves."""
    count = len(agreed.instance_names_by_pool.get(pool, ()))
    for move in agreed.moves_by_operation.values():
        count += (move.to_pool == pool) - (move.from_pool == pool)
    return count


def _choose_spare(state: State, pool: Pool) -> Placement | None:
    """Choose a spare instance in a rack with the pool's fewest instances."""
    agreed = state.agreed
    best = None
    best_rank = None
    for source in agreed.pools_by_name.values():
        if not source.spare or source.kind is not pool.kind:
            continue
        if _count_after_moves(agreed, source.name) <= source.minimum:
            continue
        for name in agreed.instance_names_by_pool.get(source.name, ()):
            placement = agreed.placements_by_instance[name]
            rank = (_count_in_rack(agreed, pool.name, placement), name)
            if placement.move is None and (
                best_rank is None or rank < best_rank
            ):
                best = placement
                best_rank = rank
    return best


def _count_in_rack(agreed, pool, placement):
    """Count a pool's instances in the rack of a candidate."""
    rack = placement.instance.rack
    return sum(
        agreed.placements_by_instance[name].instance.rack == rack
        for name in agreed.instance_names_by_pool.get(pool, ())
    )


def _is_drained(state: State, move: Move) -> bool:
    """Check that nothing runs on an instance and that nothing will start."""
    if move.instance in state.agreed.job_ids_by_worker:
        return False
    return all(
        _report_name(move.operation, incarnation)
        in state.steward.drain_reports
        for incarnation in state.agreed.members_by_incarnation
    )


def _report_name(operation, incarnation):
    return f"{operation}>{incarnation}"


def _has_pending_move(state):
    return any(
        isinstance(record.body, MoveStarted)
        for record in state.proposals_by_record_id.values()
    )
