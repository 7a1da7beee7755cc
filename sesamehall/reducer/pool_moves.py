"""Moving: instances join pools, and go from one pool to another.

A move is an intent on the log.  Entries stop sending to the instance when
they read it and report once nothing is in flight there; only when all have,
and its tasks have ended, the instance is rebooted and joins its new pool.
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
    """Take listed instances that are new into the pool they were made for.

    Args:
      state: State of the steward that holds the role.
      at_ms: The node's clock.
    Returns:
      A Step with a proposal for each.
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
    """Fill pools that are below their minimum from spare pools.

    Args:
      state: State of the steward that holds the role.
      at_ms: The node's clock.
    Returns:
      A Step with at most one new move, so that each sees the one before.
    """
    agreed = state.agreed
    if _has_open_move(state):
        return Step(state)
    for pool in _pools_in_need(state):
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
    """Reboot the instances that are drained.

    Args:
      state: State of the steward that holds the role.
    Returns:
      A Step with the reboots; repeats of one are harmless.
    """
    effects = tuple(
        RebootInstance(move.operation, move.instance, move.to_pool)
        for _, move in sorted(state.agreed.moves_by_operation.items())
        if _is_drained(state, move)
    )
    return Step(state, effects)


def receive_reboot(state: State, event: InstanceRebooted) -> Step:
    """Let a rebooted instance join its new pool.

    Args:
      state: State of the steward.
      event: The platform's answer.
    Returns:
      A Step with the proposal, or none for a reboot not confirmed.
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
    """Note that an entry has nothing in flight on a moving instance.

    Args:
      state: State of the steward.
      report: The entry's report.
    Returns:
      A Step without effects.
    """
    name = _report_name(report.operation, report.incarnation)
    drained = state.steward.drain_reports.set(name, True)
    steward = replace(state.steward, drain_reports=drained)
    return Step(replace(state, steward=steward))


def drop_finished_drain_reports(state: State) -> State:
    """Forget the reports about moves that are finished.

    Args:
      state: State of the steward.
    Returns:
      The state with the reports about open moves alone.
    """
    moves = state.agreed.moves_by_operation
    drained = Map(
        (name, True)
        for name in state.steward.drain_reports
        if name.partition(">")[0] in moves
    )
    steward = replace(state.steward, drain_reports=drained)
    return replace(state, steward=steward)


def send_drain_reports(state: State) -> Step:
    """Tell the stewards which moving instances are free of this entry.

    Args:
      state: State of the entry.
    Returns:
      A Step with the reports; repeating them is harmless.
    """
    effects = ()
    for _, move in sorted(state.agreed.moves_by_operation.items()):
        if state.entry.running_by_target.get(move.instance, 0):
            continue
        report = DrainReported(move.operation, state.identity.incarnation)
        line = log(TARGET_DRAINED, target=move.instance)
        effects += (line,) + send_all(state, NodeKind.STEWARD, report)
    return Step(state, effects)


def _pools_in_need(state: State) -> list[Pool]:
    """List the pools below their minimum, the neediest first."""
    agreed = state.agreed
    needs = []
    for pool in agreed.pools_by_name.values():
        if pool.spare or pool.minimum == 0:
            continue
        lacking = pool.minimum - _expected(agreed, pool.name)
        if lacking > 0:
            needs.append((-lacking, pool.name))
    return [agreed.pools_by_name[name] for _, name in sorted(needs)]


def _expected(agreed: Agreed, pool: str) -> int:
    """Count the instances of a pool once all open moves are finished."""
    count = len(agreed.instance_names_by_pool.get(pool, ()))
    for move in agreed.moves_by_operation.values():
        count += (move.to_pool == pool) - (move.from_pool == pool)
    return count


def _choose_spare(state: State, pool: Pool) -> Placement | None:
    """Choose a spare instance in a rack where the pool has fewest."""
    agreed = state.agreed
    best = None
    best_rank = None
    for source in agreed.pools_by_name.values():
        if not source.spare or source.kind is not pool.kind:
            continue
        if _expected(agreed, source.name) <= source.minimum:
            continue
        for name in agreed.instance_names_by_pool.get(source.name, ()):
            placement = agreed.placements_by_instance[name]
            rank = (_neighbours(agreed, pool.name, placement), name)
            if placement.move is None and (
                best_rank is None or rank < best_rank
            ):
                best = placement
                best_rank = rank
    return best


def _neighbours(agreed, pool, placement):
    """Count a pool's instances in the rack of another instance."""
    rack = placement.instance.rack
    return sum(
        agreed.placements_by_instance[name].instance.rack == rack
        for name in agreed.instance_names_by_pool.get(pool, ())
    )


def _is_drained(state: State, move: Move) -> bool:
    """Tell whether nothing runs on an instance and nothing will."""
    if move.instance in state.agreed.job_ids_by_worker:
        return False
    return all(
        _report_name(move.operation, incarnation)
        in state.steward.drain_reports
        for incarnation in state.agreed.members_by_incarnation
    )


def _report_name(operation, incarnation):
    return f"{operation}>{incarnation}"


def _has_open_move(state):
    return any(
        isinstance(record.body, MoveStarted)
        for record in state.proposals_by_record_id.values()
    )
