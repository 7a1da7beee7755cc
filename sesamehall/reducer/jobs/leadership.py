"""The leader's term: its claim, the takeover of jobs and workers, its end.

A leader whose worker calls are slow is called behind (see leader_lag).  It
resigns, and then lets other nodes claim the role first for some time.
"""

from sesamehall.core.advicestate import AdviceState
from sesamehall.core.data import EMPTY_MAP
from sesamehall.core.effects import log
from sesamehall.core.fleet import Leader
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import WorkerEntry
from sesamehall.core.fleetstate import FleetState
from sesamehall.core.jobtiming import CLOCK_SLACK_PERCENT
from sesamehall.core.jobtiming import HANDOVER_COOLDOWN_MS
from sesamehall.core.jobtiming import LEADER_CLAIM_CORES_DELAY_MS
from sesamehall.core.jobtiming import LEADER_CLAIM_JITTER_MS
from sesamehall.core.jobtiming import LEADER_CLAIM_RECOVERY_DELAY_MS
from sesamehall.core.jobtiming import LEADER_CORES
from sesamehall.core.jobtiming import LEADER_TIMEOUT_MS
from sesamehall.core.jobtiming import LEASE_MS
from sesamehall.core.jobtiming import RENEWAL_CUTOFF_MS
from sesamehall.core.logevents import RECORDS_NOT_STORED
from sesamehall.core.logevents import RENEWALS_AWAITED
from sesamehall.core.logevents import TERM_BEGUN
from sesamehall.core.logevents import TERM_CLAIMED
from sesamehall.core.logevents import TERM_CONFIRMED_BY_RETRY
from sesamehall.core.logevents import TERM_ENDED
from sesamehall.core.managereffects import ForgetWorker
from sesamehall.core.managereffects import RevokeOrders
from sesamehall.core.managereffects import StoreProgress
from sesamehall.core.managerevents import ProgressStored
from sesamehall.core.managerevents import StoreOutcome
from sesamehall.core.managerstate import CallTimes
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.managerstate import StreamCursor
from sesamehall.core.managerstate import Term
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.core.workstate import Worker
from sesamehall.reducer.jobs.active_jobs import activate_job
from sesamehall.reducer.jobs.leases import earlier_renewals_ms
from sesamehall.reducer.jobs.state_updates import put_worker
from sesamehall.reducer.jobs.storing import apply_confirmed_write
from sesamehall.reducer.jobs.storing import LEADER_KEY
from sesamehall.reducer.jobs.storing import requeue_failed_write
from sesamehall.reducer.jobs.workers import watch_worker


def claim_if_vacant(manager: ManagerState, at_ms: int) -> Step:
    """Claim the leader role if it is vacant.

    It is vacant if there is no leader yet, if the leader has resigned or has
    stopped writing records, or if this node was the leader itself.

    Args:
      manager: State of a manager.
      at_ms: Current time on the node's clock.  The time up to which the
        records are known decides whether the role is vacant.
    Returns:
      A Step with the claim, or without effects.
    """
    term = manager.term
    if term.epoch or term.claimed_epoch or manager.stopping:
        return Step(manager)
    if manager.manifest is None or manager.jobs_cursor.next_offset < 0:
        return Step(manager)
    if not _is_claimable(manager):
        return Step(manager)
    previous = 0 if manager.leader is None else manager.leader.epoch
    epoch = previous + 1
    # The node may stop right after the claim, so the claim has to tell a
    # successor how long this node would have waited.
    renewals_end_ms = _renewals_end_ms(manager, at_ms)
    leader = Leader(
        manager.name,
        epoch,
        cores=manager.cores,
        earlier_renewals_ms=renewals_end_ms - at_ms,
    )
    claim = StoreProgress(
        epoch=epoch,
        records=(StoredRecord(LEADER_KEY, leader),),
        expected_end_offset=manager.progress_cursor.next_offset,
    )
    line = log(
        TERM_CLAIMED,
        epoch=epoch,
        cores=f"{manager.cores:.2f}",
        silent_ms=manager.progress_cursor.known_until_ms
        - manager.progress_cursor.last_growth_ms,
        offset=manager.progress_cursor.next_offset,
    )
    claimed_term = replace(term, claimed_epoch=epoch)
    return Step(replace(manager, term=claimed_term), (line, claim))


def claimable_from_ms(manager: ManagerState) -> int | None:
    """Compute when this node may claim the role if no record is written.

    A node that led last and has not resigned claims the role without delay.

    Args:
      manager: State of a manager.
    Returns:
      Time at which the leader timeout, unless the leader has resigned, and
      the claim delay of this node have passed since the latest record.  None
      before the leader's records are read.
    """
    progress = manager.progress_cursor
    if progress.next_offset < 0 or progress.known_until_ms < 0:
        return None
    leader = manager.leader
    vacant_from_ms = progress.last_growth_ms
    if leader is not None and not leader.resigned:
        vacant_from_ms += LEADER_TIMEOUT_MS
        if leader.node == manager.name and not _is_backing_off(manager):
            # This node's own term: its process has restarted or ended it.
            return progress.known_until_ms
    if progress.recovered_ms >= 0:
        vacant_from_ms = max(
            vacant_from_ms,
            progress.recovered_ms + LEADER_CLAIM_RECOVERY_DELAY_MS,
        )
    return vacant_from_ms + _claim_delay_ms(manager)


def _is_claimable(manager: ManagerState) -> bool:
    """Check whether no record was written until the role is claimable."""
    from_ms = claimable_from_ms(manager)
    return (
        from_ms is not None
        and manager.progress_cursor.known_until_ms >= from_ms
    )


def _claim_delay_ms(manager: ManagerState) -> int:
    """Compute how long this node waits so that others can claim first.

    The leader decides for all workers, so nodes with more processor cores
    claim earlier, and a random delay orders equal ones.  Each node counts from
    its own read of the leader's latest record.  These reads differ by up to
    their period, so the delay of a weak node is longer than that.  Cores are
    compared with the most that any leader or candidate had, but at most
    LEADER_CORES, and with LEADER_CORES before any is known.  A node that was
    behind as the leader waits longest.
    """
    wanted_cores = min(manager.max_cores_seen or LEADER_CORES, LEADER_CORES)
    missing_ratio = max(wanted_cores - manager.cores, 0.0) / wanted_cores
    if _is_backing_off(manager):
        missing_ratio = 1.0
    return (
        int(missing_ratio * LEADER_CLAIM_CORES_DELAY_MS)
        + manager.jitter_seed % LEADER_CLAIM_JITTER_MS
    )


def _is_backing_off(manager: ManagerState) -> bool:
    """Check whether this node lets all others claim the role first."""
    known_until_ms = manager.progress_cursor.known_until_ms
    return known_until_ms < manager.claim_backoff_until_ms


def handle_progress_stored(
    manager: ManagerState, event: ProgressStored
) -> Step:
    """Handle the outcome of writing the leader's records or a claim.

    Args:
      manager: State of a manager.
      event: The outcome.
    Returns:
      A Step.
    """
    term = manager.term
    if term.claimed_epoch == event.epoch:
        return _handle_claim_stored(manager, event)
    if term.epoch != event.epoch:
        return Step(manager)
    match event.outcome:
        case StoreOutcome.STORED:
            step = Step(manager, _retry_lines(event))
            return then(step, apply_confirmed_write, event)
        case StoreOutcome.FENCED:
            return end_term(manager, "fenced in the log", event.at_ms)
    line = log(RECORDS_NOT_STORED, outcome=event.outcome.value)
    return Step(requeue_failed_write(manager), (line,))


def _handle_claim_stored(manager, event):
    """Begin the term if the claim was stored, else remain a follower."""
    manager = replace(manager, term=Term())
    if event.outcome is StoreOutcome.STORED:
        return then(Step(manager, _retry_lines(event)), _begin_term, event)
    return Step(manager)


def _retry_lines(event: ProgressStored):
    """Build the log line of a write that was confirmed after a retry.

    The term counts as confirmed from `counts_ago_ms` before, when the records
    were first sent without being refused.
    """
    if event.attempts <= 1:
        return ()
    line = log(
        TERM_CONFIRMED_BY_RETRY,
        epoch=event.epoch,
        attempt=event.attempts,
        counts_ago_ms=event.at_ms - event.sent_ms,
    )
    return (line,)


def _begin_term(manager: ManagerState, event: ProgressStored) -> Step:
    """Take over all jobs and workers."""
    at_ms = event.at_ms
    line = log(
        TERM_BEGUN,
        epoch=event.epoch,
        cores=f"{manager.cores:.2f}",
        jobs=len(manager.plans_by_id),
        workers=len(manager.leased_workers_by_id),
    )
    renewals_end_ms = _renewals_end_ms(manager, at_ms)
    max_length_ms = LEASE_MS * (100 + CLOCK_SLACK_PERCENT) // 100
    lease_end_ms = renewals_end_ms + max_length_ms
    renewals_line = log(
        RENEWALS_AWAITED,
        epoch=event.epoch,
        renewals_ms=renewals_end_ms - at_ms,
        leases_ms=lease_end_ms - at_ms,
        earlier_ms=earlier_renewals_ms(manager, at_ms),
        predecessor="" if manager.leader is None else manager.leader.node,
        predecessor_epoch=(
            0 if manager.leader is None else manager.leader.epoch
        ),
        stopped=_why_stopped(manager),
    )
    manager = replace(
        manager,
        term=Term(
            epoch=event.epoch,
            began_ms=at_ms,
            confirmed_ms=event.sent_ms,
            call_times=CallTimes(
                grace_until_ms=_behind_grace_end_ms(manager, at_ms)
            ),
        ),
        leader=Leader(manager.name, event.epoch, cores=manager.cores),
        earlier_renewals_end_ms=renewals_end_ms,
        jobs_caught_up=False,
        workers_cursor=StreamCursor(),
        fleet=_build_fleet(manager),
    )
    step = Step(manager, (line, renewals_line))
    for job_id in sorted(manager.plans_by_id):
        step = then(step, activate_job, job_id, True, at_ms)
    for _, leased in sorted(manager.leased_workers_by_id.items()):
        step = then(step, _inherit_worker, leased, lease_end_ms, at_ms)
    return step


def _renewals_end_ms(manager, at_ms):
    """Compute until when earlier leaders may renew leases, at least `at_ms`.

    The leader that this node replaces has written nothing for
    LEADER_TIMEOUT_MS.  It renews none if it has resigned, or if it was this
    node, but the leaders before it may do so still.
    """
    renewals_end_ms = max(at_ms, manager.earlier_renewals_end_ms)
    leader = manager.leader
    if leader is not None and (leader.resigned or leader.node == manager.name):
        return renewals_end_ms
    silent_since_ms = at_ms - LEADER_TIMEOUT_MS
    return max(renewals_end_ms, silent_since_ms + RENEWAL_CUTOFF_MS)


def _why_stopped(manager: ManagerState) -> str:
    """Describe why the last leader renews no leases, for the log."""
    match manager.leader:
        case None:
            return "no: none known"
        case Leader(resigned=True):
            return "resigned"
        case Leader(node=manager.name):
            return "own name"
    return "no: silent"


def _behind_grace_end_ms(manager, at_ms):
    """Compute the time from which a new leader may count as behind.

    If its predecessor resigned because it was behind, the load may be the
    cause rather than the node, so the new leader has a cooldown first.
    """
    old = manager.leader
    if old is None or not old.behind:
        return at_ms
    return at_ms + HANDOVER_COOLDOWN_MS


def record_leader(
    manager: ManagerState, leader: Leader, at_ms: int
) -> ManagerState:
    """Record the current leader and how long earlier ones may renew leases.

    A replaced leader that is cut off from the store may renew leases until
    its last confirmed write is too old.  A leader that has resigned, or whose
    node leads again, renews none.  This node may not have read the records of
    all leaders, so the new one's record tells how long those before it may
    renew leases.  It was written earlier than it is read, so the time from
    now on is no shorter than that.

    Args:
      manager: State of a manager.
      leader: The newest record of a leader.
      at_ms: Current time on the node's clock.
    Returns:
      The state.
    """
    old = manager.leader
    renewals_end_ms = manager.earlier_renewals_end_ms
    if old is None or old.epoch < leader.epoch:
        told_ms = at_ms + leader.earlier_renewals_ms
        renewals_end_ms = max(renewals_end_ms, told_ms)
    replaced = old is not None and old.epoch < leader.epoch
    if replaced and not old.resigned and old.node != leader.node:
        cut_off_ms = manager.leader_seen_ms + RENEWAL_CUTOFF_MS
        renewals_end_ms = max(renewals_end_ms, cut_off_ms)
    return replace(
        manager,
        leader=leader,
        leader_seen_ms=at_ms,
        max_cores_seen=max(manager.max_cores_seen, leader.cores),
        earlier_renewals_end_ms=renewals_end_ms,
    )


def _build_fleet(manager):
    """Build the fleet state of a new term or of a follower.

    It keeps the waves, and the machines that other nodes may have sent orders
    for.
    """
    return FleetState(
        waves_by_number=manager.fleet.waves_by_number,
        inherited=_ordered_by_others(manager),
    )


def _ordered_by_others(manager):
    """List the machines that other nodes may have sent orders for recently.

    Orders of this node's own earlier terms need no pause: the orders come from
    the same node, and those terms have ended.
    """
    ordered = manager.ordered_machines
    if ordered is None:
        return ()
    if ordered.node == manager.name:
        return ordered.others
    return ordered.own + ordered.others


def _inherit_worker(manager, leased, lease_end_ms, at_ms):
    """Take over a worker that may have runs of earlier leaders."""
    entry = WorkerEntry(
        worker_id=leased.worker_id,
        address=leased.address,
        pool=leased.pool,
        data_centre="",
        started_wall_ms=leased.started_wall_ms,
    )
    long_lease_end_ms = manager.long_lease_ends_by_worker_id.get(
        leased.worker_id, 0
    )
    worker = Worker(
        entry,
        registered=False,
        lease_recorded=True,
        inherited=True,
        lease_end_ms=max(lease_end_ms, long_lease_end_ms),
        long_lease_end_ms=long_lease_end_ms,
        last_applied_end_sequence=leased.last_applied_end_sequence,
        last_stored_end_sequence=leased.last_applied_end_sequence,
    )
    return watch_worker(put_worker(manager, worker), leased.worker_id, at_ms)


def end_term(manager: ManagerState, reason: str, at_ms: int) -> Step:
    """End this node's term and discard its state as the leader.

    Args:
      manager: State of the leader.
      reason: Reason, for the log.
      at_ms: Current time on the node's clock.
    Returns:
      A Step.
    """
    epoch = manager.term.epoch
    line = log(TERM_ENDED, epoch=epoch, reason=reason)
    forget_effects = tuple(
        ForgetWorker(worker_id) for worker_id in sorted(manager.workers_by_id)
    )
    claim_backoff_until_ms = manager.claim_backoff_until_ms
    if manager.term.call_times.behind:
        claim_backoff_until_ms = at_ms + HANDOVER_COOLDOWN_MS
    manager = replace(
        manager,
        term=Term(),
        claim_backoff_until_ms=claim_backoff_until_ms,
        progress_cursor=StreamCursor(last_growth_ms=at_ms),
        workers_cursor=StreamCursor(),
        active_jobs_by_id=EMPTY_MAP,
        runs_by_task=EMPTY_MAP,
        highest_run_number_by_task=EMPTY_MAP,
        last_failed_worker_by_task=EMPTY_MAP,
        stall_count_by_task=EMPTY_MAP,
        workers_by_id=EMPTY_MAP,
        worker_ids_by_pool=EMPTY_MAP,
        job_ids_by_pool=EMPTY_MAP,
        used_by_team=EMPTY_MAP,
        shares_by_pool=EMPTY_MAP,
        dirty_jobs=EMPTY_MAP,
        dirty_workers=EMPTY_MAP,
        dirty_waves=EMPTY_MAP,
        dirty_queues=EMPTY_MAP,
        job_end_unstored=False,
        advice=AdviceState(),
        placement_scheduled_pools=EMPTY_MAP,
        start_ordered_ms_by_run=EMPTY_MAP,
        window_blocked_pools=EMPTY_MAP,
        waiting_logged_ms_by_pool=EMPTY_MAP,
        fleet=_build_fleet(manager),
    )
    revocation = RevokeOrders(epoch)
    return Step(manager, (line, revocation) + forget_effects)
