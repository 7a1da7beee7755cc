"""Requests to the advice service: the steps that lack tickets, and for whom.

All pools share the service, so the steps of all of them are considered
whenever it is free.
"""

from collections.abc import Iterator

from sesamehall.core.advicestate import StepAdvice
from sesamehall.core.effects import log
from sesamehall.core.jobtiming import ADVICE_RETRY_MAX_MS
from sesamehall.core.jobtiming import ADVICE_RETRY_MS
from sesamehall.core.logevents import ADVICE_REQUESTED
from sesamehall.core.managereffects import RequestAdvice
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.sizes import fits
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.core.work import StepPlan
from sesamehall.core.work import TaskPlace
from sesamehall.core.workstate import ActiveJob
from sesamehall.core.workstate import Worker
from sesamehall.reducer.jobs.advice import is_known_to_be_allowed
from sesamehall.reducer.jobs.advice import needs_advice
from sesamehall.reducer.jobs.advice import record_request
from sesamehall.reducer.jobs.advice import requires_advice
from sesamehall.reducer.jobs.advice import step_name
from sesamehall.reducer.jobs.advice import ticket_for
from sesamehall.reducer.jobs.advice_turns import AdviceCandidate
from sesamehall.reducer.jobs.advice_turns import AdviceUse
from sesamehall.reducer.jobs.advice_turns import choose_candidate
from sesamehall.reducer.jobs.placement_round import has_required_label
from sesamehall.reducer.jobs.placement_round import PlacementRound
from sesamehall.reducer.jobs.placement_round import waiting_by_step
from sesamehall.reducer.jobs.queueing import available_workers
from sesamehall.reducer.jobs.queueing import ranked_jobs
from sesamehall.reducer.jobs.runs import schedule_placement

MAX_WORKERS_PER_REQUEST = 30  # each worker delays the answer


def request_advice(manager: ManagerState, at_ms: int) -> Step:
    """Request advice for one of the waiting steps that lack it.

    Args:
      manager: State of the leader.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with the request, or without effects if there is no such step or
      a request is in flight.
    """
    if manager.advice.in_flight_step:
        return Step(manager)
    candidates = [
        candidate
        for pool in _advised_pools(manager)
        for candidate in _pool_candidates(manager, pool, at_ms)
    ]
    chosen = choose_candidate(
        candidates,
        manager.advice.request_count,
        manager.advice.requested_ms_by_team,
    )
    if chosen is None:
        return Step(manager)
    line = log(
        ADVICE_REQUESTED,
        step=chosen.step,
        team=chosen.team,
        workers=len(chosen.worker_ids),
        use=chosen.use.value,
        waited_ms=at_ms - chosen.waiting_since_ms,
        startable=sum(item.use is AdviceUse.START for item in candidates),
    )
    request = RequestAdvice(chosen.step, chosen.worker_ids)
    manager = record_request(manager, chosen.step, chosen.team, at_ms)
    return Step(manager, (line, request))


def schedule_advised_placement(manager: ManagerState, at_ms: int) -> Step:
    """Schedule rounds for the pools whose steps wait for the advice service.

    Args:
      manager: State of a manager, after a request has ended.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with the timers of the rounds.
    """
    step = Step(manager)
    if not manager.term.epoch:
        return step
    for pool in _advised_pools(manager):
        step = then(step, schedule_placement, pool, at_ms)
    return step


def _advised_pools(manager: ManagerState) -> list[str]:
    """List the pools with waiting tasks of queues that require advice."""
    if manager.manifest is None:
        return []
    pools = {
        queue.pool
        for queue in manager.manifest.queues_by_name.values()
        if queue.requires_advice
    }
    return sorted(pool for pool in pools if manager.job_ids_by_pool.get(pool))


def _pool_candidates(
    manager: ManagerState, pool: str, at_ms: int
) -> Iterator[AdviceCandidate]:
    """List the steps of a pool that lack tickets, highest rank first.

    Of the steps that no answer could start now only the first are listed.
    """
    workers = available_workers(manager, pool, at_ms)
    round_ = PlacementRound.begin(manager, workers, at_ms)
    listed: set[AdviceUse] = set()
    rank = 0
    for job in ranked_jobs(manager, pool, workers, at_ms):
        if not requires_advice(manager, job):
            continue
        for step, places in waiting_by_step(job):
            rank += 1
            if not _is_request_due(round_, job, step, places):
                continue
            # There may be thousands of steps, so the ceiling comes first.
            if not round_.is_below_ceiling(job, places[0]):
                use, room = AdviceUse.AT_CEILING, {}
            else:
                room = round_.room_by_worker_id(job, places[0])
                use = _use(round_, job, places[0], room)
            if use in listed:
                continue
            candidate = _candidate(round_, job, step, places[0], room, use)
            if candidate is None:
                continue
            if use is not AdviceUse.START:
                listed.add(use)
            yield replace(candidate, rank=rank)


def _is_request_due(
    round_: PlacementRound,
    job: ActiveJob,
    step: StepPlan,
    places: list[TaskPlace],
) -> bool:
    """Check that a step may be requested now and, as a gang, is complete."""
    if step.gang and len(places) < step.count:
        return False
    known = _known_advice(round_.manager, job, places[0])
    return _retry_from_ms(known) <= round_.at_ms


def _known_advice(manager, job, place) -> StepAdvice:
    name = step_name(job, place)
    return manager.advice.advice_by_step.get(name, StepAdvice())


def _candidate(
    round_: PlacementRound,
    job: ActiveJob,
    step: StepPlan,
    place: TaskPlace,
    room: dict[str, int],
    use: AdviceUse,
) -> AdviceCandidate | None:
    """Describe a step, or return None if it lacks no ticket."""
    manager = round_.manager
    name = step_name(job, place)
    lacking = [
        worker
        for worker in round_.workers_by_id.values()
        if has_required_label(step, worker)
        and fits(step.size, worker.entry.capacity)
        and needs_advice(manager, name, worker, round_.at_ms)
    ]
    if not lacking:
        return None
    known = _known_advice(manager, job, place)
    return AdviceCandidate(
        step=name,
        team=job.plan.team,
        rank=0,
        waiting_since_ms=max(known.requested_ms, job.first_seen_ms),
        requested=known.requested_ms >= 0,
        use=use,
        worker_ids=_worker_ids(manager, name, room, lacking),
    )


def _retry_from_ms(known: StepAdvice) -> int:
    """Compute from when a step is requested again after failures."""
    if not known.failures:
        return known.requested_ms
    pause_ms = ADVICE_RETRY_MS << min(known.failures - 1, 8)
    return known.requested_ms + min(pause_ms, ADVICE_RETRY_MAX_MS)


def _use(
    round_: PlacementRound,
    job: ActiveJob,
    place: TaskPlace,
    room: dict[str, int],
) -> AdviceUse:
    """Tell what an answer for a step below its ceiling could be used for.

    A step with tickets for enough workers with room needs none to start.
    """
    manager = round_.manager
    step = job.plan.steps[place.step]
    wanted = step.count if step.gang else 1
    name = step_name(job, place)
    with_ticket = 0
    without_ticket = 0
    for worker_id, count in room.items():
        worker = round_.workers_by_id[worker_id]
        if ticket_for(manager, name, worker, round_.at_ms):
            with_ticket += count
        elif needs_advice(manager, name, worker, round_.at_ms):
            without_ticket += count
    if with_ticket < wanted <= with_ticket + without_ticket:
        return AdviceUse.START
    return AdviceUse.ROOM_MISSING


def _worker_ids(manager, name, room, lacking: list[Worker]):
    """Choose the workers of a request: those with room first.

    Of these come first those that the step is known to be allowed on.
    """

    def order(worker):
        worker_id = worker.entry.worker_id
        known = is_known_to_be_allowed(manager, name, worker)
        return (worker_id not in room, not known, worker_id)

    chosen = sorted(lacking, key=order)[:MAX_WORKERS_PER_REQUEST]
    return tuple(worker.entry.worker_id for worker in chosen)
