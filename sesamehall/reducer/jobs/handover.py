"""Handover of the leader role from a weak node to a stronger one.

Nodes race for a vacant leader role, and a node that held it claims it again
after a restart.  So a weak node may lead while stronger ones are alive.  The
stronger nodes offer to lead, and the weak leader resigns.
"""

from sesamehall.core.effects import log
from sesamehall.core.fleet import Candidate
from sesamehall.core.jobtiming import HANDOVER_COOLDOWN_MS
from sesamehall.core.jobtiming import HANDOVER_CORES_RATIO
from sesamehall.core.jobtiming import LEADER_CORES
from sesamehall.core.jobtiming import OFFER_DELAY_MS
from sesamehall.core.jobtiming import OFFER_JITTER_MS
from sesamehall.core.jobtiming import OFFER_RETRY_MS
from sesamehall.core.jobtiming import RESIGN_TIMEOUT_MS
from sesamehall.core.logevents import HANDOVER_BEGUN
from sesamehall.core.logevents import HANDOVER_OFFERED
from sesamehall.core.managereffects import OfferToLead
from sesamehall.core.managereffects import RevokeOrders
from sesamehall.core.managerstate import LeadershipOffer
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.reducer.jobs.leadership import end_term
from sesamehall.reducer.jobs.storing import write_changed_records


def offer_to_lead(manager: ManagerState, at_ms: int) -> Step:
    """Offer to lead in place of a weak leader.

    The first offer to a new leader is delayed, and nodes offer at different
    times, since one offer is enough.

    Args:
      manager: State of a manager.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with the offer, or without effects.
    """
    if not _can_replace_leader(manager):
        return Step(manager)
    leader = manager.leader
    if manager.leadership_offer.epoch != leader.epoch:
        delay_ms = OFFER_DELAY_MS + manager.jitter_seed % OFFER_JITTER_MS
        offer = LeadershipOffer(leader.epoch, at_ms + delay_ms)
        return Step(replace(manager, leadership_offer=offer))
    if at_ms < manager.leadership_offer.due_ms:
        return Step(manager)
    candidate = Candidate(manager.name, leader.epoch, manager.cores)
    line = log(
        HANDOVER_OFFERED,
        epoch=leader.epoch,
        leader=leader.node,
        leader_cores=f"{leader.cores:.2f}",
        cores=f"{manager.cores:.2f}",
    )
    manager = _postpone_offer(manager, leader.epoch, at_ms)
    return Step(manager, (line, OfferToLead(candidate)))


def _can_replace_leader(manager):
    """Check that this node could lead and the leader is too weak."""
    leader = manager.leader
    if leader is None or leader.resigned or not leader.cores:
        return False
    if manager.term.epoch or manager.term.claimed_epoch or not manager.ready:
        return False
    return _is_handover_worthwhile(manager.cores, leader.cores)


def _is_handover_worthwhile(cores, leader_cores):
    """Check whether a handover between these nodes is worth its cost."""
    if leader_cores >= LEADER_CORES:
        return False
    return cores >= leader_cores * HANDOVER_CORES_RATIO


def _postpone_offer(manager, epoch, at_ms):
    return replace(
        manager,
        leadership_offer=LeadershipOffer(epoch, at_ms + OFFER_RETRY_MS),
    )


def handle_candidate(
    manager: ManagerState, candidate: Candidate, at_ms: int
) -> Step:
    """Begin a handover to a stronger node, or postpone this node's own.

    Args:
      manager: State of a manager.
      candidate: Offer of another node to lead.
      at_ms: Current time on the node's clock.
    Returns:
      A Step.
    """
    max_cores_seen = max(manager.max_cores_seen, candidate.cores)
    manager = replace(manager, max_cores_seen=max_cores_seen)
    term = manager.term
    if not term.epoch:
        return Step(_postpone_offer(manager, candidate.epoch, at_ms))
    if candidate.epoch != term.epoch or term.handover_since_ms >= 0:
        return Step(manager)
    if not _is_handover_worthwhile(candidate.cores, manager.cores):
        return Step(manager)
    line = log(
        HANDOVER_BEGUN,
        epoch=term.epoch,
        candidate=candidate.node,
        candidate_cores=f"{candidate.cores:.2f}",
    )
    term = replace(term, handover_since_ms=at_ms)
    return Step(replace(manager, term=term), (line,))


def continue_handover(manager: ManagerState, at_ms: int) -> Step:
    """Resign if a handover is in progress.

    Args:
      manager: State of a manager.
      at_ms: Current time on the node's clock.
    Returns:
      A Step without effects unless a handover is in progress.
    """
    if not manager.term.epoch or manager.term.handover_since_ms < 0:
        return Step(manager)
    return resign(
        manager, manager.term.handover_since_ms, "handed over", at_ms
    )


def resign(
    manager: ManagerState, since_ms: int, reason: str, at_ms: int
) -> Step:
    """Store the resignation, and end the term once it is stored.

    Args:
      manager: State of the leader.
      since_ms: Time at which the leader began to hand over the role.
      reason: Reason, for the log.
      at_ms: Current time on the node's clock.
    Returns:
      A Step.
    """
    if at_ms - since_ms >= RESIGN_TIMEOUT_MS:
        # Without its resignation in the log, the role would look like this
        # node's own, to be claimed at once.
        backoff_ms = at_ms + HANDOVER_COOLDOWN_MS
        manager = replace(manager, claim_backoff_until_ms=backoff_ms)
        return end_term(manager, f"{reason}, not stored", at_ms)
    if manager.term.write_in_flight:
        return Step(manager)
    if manager.term.resigned:
        return end_term(manager, reason, at_ms)
    resigned = replace(manager.leader, resigned=True)
    revocation = Step(
        replace(manager, leader=resigned), (RevokeOrders(manager.term.epoch),)
    )
    return then(revocation, write_changed_records, at_ms)
