"""Application of log records about the role, instances, moves and jobs."""

from sesamehall.core.agreement import Agreed
from sesamehall.core.agreement import Placement
from sesamehall.core.agreement import Role
from sesamehall.core.agreement import Verdict
from sesamehall.core.data import JobPhase
from sesamehall.core.data import JobStatus
from sesamehall.core.data import Move
from sesamehall.core.data import TERMINAL_PHASES
from sesamehall.core.limits import ENDED_JOBS_KEPT
from sesamehall.core.records import InstanceJoined
from sesamehall.core.records import JobCancelled
from sesamehall.core.records import JobEnded
from sesamehall.core.records import JobPlaced
from sesamehall.core.records import JobSubmitted
from sesamehall.core.records import MoveFinished
from sesamehall.core.records import MoveStarted
from sesamehall.core.records import RoleClaimed
from sesamehall.core.replacing import replace
from sesamehall.reducer.accounts import account_places
from sesamehall.reducer.counts import add_count

ApplyResult = tuple[Agreed, Verdict]


def claim_role(agreed: Agreed, body: RoleClaimed, offset: int) -> ApplyResult:
    """Apply a steward's claim of the role; the first of concurrent ones wins.

    Args:
      agreed: State before the record.
      body: The claim.
      offset: Offset of the record, which becomes the epoch.
    Returns:
      The state after the record, and the verdict.
    """
    if body.expected_epoch != agreed.role.epoch:
        return agreed, Verdict.STALE_EPOCH
    role = Role(holder=body.holder, epoch=offset, renewed_offset=offset)
    return replace(agreed, role=role), Verdict.ACCEPTED


def check_epoch(agreed: Agreed, epoch: int, offset: int) -> ApplyResult:
    """Check that a writer's epoch is current; if so, renew the role.

    Args:
      agreed: State before the record.
      epoch: Epoch that the record carries.
      offset: Offset of the record.
    Returns:
      The state after the record, and the verdict.
    """
    if epoch != agreed.role.epoch:
        return agreed, Verdict.STALE_EPOCH
    role = replace(agreed.role, renewed_offset=offset)
    return replace(agreed, role=role), Verdict.ACCEPTED


def join_instance(agreed: Agreed, body: InstanceJoined) -> ApplyResult:
    """Apply the joining of an instance; a name may join only once.

    Args:
      agreed: State before the record.
      body: The record, whose epoch was checked already.
    Returns:
      The state after the record, and the verdict.
    """
    instance = body.instance
    if instance.name in agreed.placements_by_instance:
        return agreed, Verdict.ALREADY_DONE
    pool = agreed.pools_by_name.get(instance.pool)
    if pool is None or pool.kind != instance.kind:
        return agreed, Verdict.UNKNOWN_NAME
    return _put_placement(agreed, Placement(instance, instance.pool))


def start_move(agreed: Agreed, body: MoveStarted) -> ApplyResult:
    """Apply the start of a move.

    Args:
      agreed: State before the record.
      body: The record, whose epoch was checked already.
    Returns:
      The state after the record, and the verdict.
    """
    placement = agreed.placements_by_instance.get(body.instance)
    pool = agreed.pools_by_name.get(body.to_pool)
    if placement is None or pool is None:
        return agreed, Verdict.UNKNOWN_NAME
    if pool.kind != placement.instance.kind:
        return agreed, Verdict.UNKNOWN_NAME
    if placement.move is not None or placement.pool == body.to_pool:
        return agreed, Verdict.ALREADY_DONE
    move = Move(body.operation, body.instance, placement.pool, body.to_pool)
    moves = agreed.moves_by_operation.set(body.operation, move)
    changed = replace(agreed, moves_by_operation=moves)
    return _put_placement(changed, replace(placement, move=move))


def finish_move(agreed: Agreed, body: MoveFinished) -> ApplyResult:
    """Apply the end of a move.

    Args:
      agreed: State before the record.
      body: The record, whose epoch was checked already.
    Returns:
      The state after the record, and the verdict.
    """
    move = agreed.moves_by_operation.get(body.operation)
    if move is None:
        return agreed, Verdict.ALREADY_DONE
    placement = agreed.placements_by_instance[move.instance]
    moves = agreed.moves_by_operation.delete(body.operation)
    changed = replace(agreed, moves_by_operation=moves)
    return _put_placement(
        changed, replace(placement, pool=move.to_pool, move=None)
    )


def submit_job(agreed: Agreed, body: JobSubmitted) -> ApplyResult:
    """Apply the submission of a job.

    Args:
      agreed: State before the record.
      body: The job.
    Returns:
      The state after the record, and the verdict.
    """
    job = body.job
    if job.job_id in agreed.jobs_by_id:
        return agreed, Verdict.ALREADY_DONE
    if job.team not in agreed.plans_by_team:
        return agreed, Verdict.UNKNOWN_TEAM
    counts = add_count(agreed.waiting_jobs_by_team, job.team, 1)
    changed = replace(
        agreed,
        waiting_job_ids=agreed.waiting_job_ids.set(job.job_id, True),
        waiting_jobs_by_team=counts,
    )
    return _put_job(changed, JobStatus(job))


def place_job(agreed: Agreed, body: JobPlaced) -> ApplyResult:
    """Apply the placement of a job, unless it would exceed the ceiling.

    Args:
      agreed: State before the record.
      body: The record, whose epoch was checked already.
    Returns:
      The state after the record, and the verdict.
    """
    status = agreed.jobs_by_id.get(body.job_id)
    placement = agreed.placements_by_instance.get(body.worker)
    if status is None or placement is None:
        return agreed, Verdict.UNKNOWN_NAME
    if status.phase is not JobPhase.WAITING or placement.move is not None:
        return agreed, Verdict.ALREADY_DONE
    team = status.job.team
    running = agreed.running_jobs_by_team.get(team, 0)
    if running >= account_places(agreed, team):
        return agreed, Verdict.CEILING_REACHED
    job_ids = agreed.job_ids_by_worker.get(body.worker, ())
    changed = replace(
        _remove_waiting_job(agreed, status),
        running_jobs_by_team=add_count(agreed.running_jobs_by_team, team, 1),
        job_ids_by_worker=agreed.job_ids_by_worker.set(
            body.worker, job_ids + (body.job_id,)
        ),
    )
    placed = replace(
        status, phase=JobPhase.RUNNING, worker=body.worker, boot=body.boot
    )
    return _put_job(changed, placed)


def end_job(agreed: Agreed, body: JobEnded) -> ApplyResult:
    """Apply the end of a job.

    Args:
      agreed: State before the record.
      body: The record, whose epoch was checked already.
    Returns:
      The state after the record, and the verdict.
    """
    status = agreed.jobs_by_id.get(body.job_id)
    if status is None:
        return agreed, Verdict.UNKNOWN_NAME
    if status.phase in TERMINAL_PHASES:
        return agreed, Verdict.ALREADY_DONE
    ended = replace(status, phase=body.phase, detail=body.detail)
    if status.phase is JobPhase.WAITING:
        return _put_job(_remove_waiting_job(agreed, status), ended)
    return _put_job(_remove_running_job(agreed, status), ended)


def cancel_job(agreed: Agreed, body: JobCancelled) -> ApplyResult:
    """Apply a cancellation.

    A waiting job ends immediately.  For a running job the request is recorded,
    so that its task is stopped.

    Args:
      agreed: State before the record.
      body: The record.
    Returns:
      The state after the record, and the verdict.
    """
    status = agreed.jobs_by_id.get(body.job_id)
    if status is None:
        return agreed, Verdict.UNKNOWN_NAME
    if status.phase in TERMINAL_PHASES:
        return agreed, Verdict.ALREADY_DONE
    if status.phase is JobPhase.WAITING:
        ended = replace(
            status, phase=JobPhase.CANCELLED, cancel_requested=True
        )
        return _put_job(_remove_waiting_job(agreed, status), ended)
    return _put_job(agreed, replace(status, cancel_requested=True))


def _put_placement(agreed, placement):
    """Store a placement and update the index by pool."""
    name = placement.instance.name
    previous = agreed.placements_by_instance.get(name)
    names_by_pool = agreed.instance_names_by_pool
    if previous is None or previous.pool != placement.pool:
        if previous is not None:
            remaining = tuple(
                n for n in names_by_pool[previous.pool] if n != name
            )
            names_by_pool = names_by_pool.set(previous.pool, remaining)
        names = names_by_pool.get(placement.pool, ()) + (name,)
        names_by_pool = names_by_pool.set(placement.pool, tuple(sorted(names)))
    changed = replace(
        agreed,
        placements_by_instance=agreed.placements_by_instance.set(
            name, placement
        ),
        instance_names_by_pool=names_by_pool,
    )
    return changed, Verdict.ACCEPTED


def _remove_waiting_job(agreed, status):
    """Remove a job from the waiting jobs."""
    job = status.job
    return replace(
        agreed,
        waiting_job_ids=agreed.waiting_job_ids.delete(job.job_id),
        waiting_jobs_by_team=add_count(
            agreed.waiting_jobs_by_team, job.team, -1
        ),
    )


def _remove_running_job(agreed, status):
    """Remove a job from its worker and from its team's count."""
    job = status.job
    remaining = tuple(
        job_id
        for job_id in agreed.job_ids_by_worker[status.worker]
        if job_id != job.job_id
    )
    if remaining:
        job_ids = agreed.job_ids_by_worker.set(status.worker, remaining)
    else:
        job_ids = agreed.job_ids_by_worker.delete(status.worker)
    counts = add_count(agreed.running_jobs_by_team, job.team, -1)
    return replace(
        agreed, job_ids_by_worker=job_ids, running_jobs_by_team=counts
    )


def _put_job(agreed, status):
    """Store a job's state; only the newest ended jobs are kept."""
    job_id = status.job.job_id
    jobs = agreed.jobs_by_id.set(job_id, status)
    if status.phase not in TERMINAL_PHASES:
        return replace(agreed, jobs_by_id=jobs), Verdict.ACCEPTED
    ended = agreed.ended_job_ids + (job_id,)
    if len(ended) > ENDED_JOBS_KEPT:
        jobs = jobs.delete(ended[0])
        ended = ended[1:]
    changed = replace(agreed, jobs_by_id=jobs, ended_job_ids=ended)
    return changed, Verdict.ACCEPTED
