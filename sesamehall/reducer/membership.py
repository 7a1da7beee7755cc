"""An entry's membership: joining, renewing its lease, settling, rejoining."""

from immutables import Map

from sesamehall.core.data import EMPTY_MAP
from sesamehall.core.effects import log
from sesamehall.core.effects import Send
from sesamehall.core.limits import ENTRY_LEASE_MS
from sesamehall.core.limits import ENTRY_RENEWAL_MS
from sesamehall.core.logevents import ENTRY_JOINED
from sesamehall.core.logevents import ENTRY_LEASE_EXPIRED
from sesamehall.core.messages import Hello
from sesamehall.core.messages import NEWEST_FORMAT
from sesamehall.core.messages import OLDEST_FORMAT
from sesamehall.core.records import EntryJoined
from sesamehall.core.records import EntryRenewed
from sesamehall.core.records import UnitsSettled
from sesamehall.core.replacing import replace
from sesamehall.core.state import Allotments
from sesamehall.core.state import Identity
from sesamehall.core.state import Phase
from sesamehall.core.state import State
from sesamehall.core.step import chain
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.reducer.accounts import add_units
from sesamehall.reducer.accounts import free_account_units
from sesamehall.reducer.accounts import settlement_pair
from sesamehall.reducer.allotments import held_units
from sesamehall.reducer.allotments import initial_units
from sesamehall.reducer.counts import drop_key
from sesamehall.reducer.proposals import propose
from sesamehall.reducer.units_requests import withdraw_units


def is_member(state: State) -> bool:
    """Return whether this incarnation is a member that may hold units.

    Args:
      state: State of the entry.
    Returns:
      True from reading back its EntryJoined record until it leaves or
      expires.
    """
    incarnation = state.identity.incarnation
    return incarnation in state.agreed.members_by_incarnation


def maintain_lease(state: State, at_ms: int) -> Step:
    """Join, or renew the lease when it is due.

    The entry counts its lease from the first proposal of the record, the
    holder of the role from reading that record, which is later.  So the
    entry always stops before it is declared expired.

    Args:
      state: State of the entry.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with a proposal, or none.
    """
    # next_offset is 0 until log entries or a snapshot have been received.
    if state.agreed.next_offset == 0 or state.allotments.renewal_record_id:
        return Step(state)
    incarnation = state.identity.incarnation
    if not is_member(state):
        body = EntryJoined(state.identity.node.name, incarnation)
        return _propose_lease(state, f"{incarnation}/join", body, at_ms)
    if at_ms - state.allotments.renewal_proposed_ms < ENTRY_RENEWAL_MS:
        return Step(state)
    record_id = f"{incarnation}/renew/{at_ms}"
    return _propose_lease(state, record_id, EntryRenewed(incarnation), at_ms)


def replenish_reserve(state: State, at_ms: int) -> Step:
    """Withdraw free units from the log's account up to the entry's reserve.

    The reserve, its initial units, lets the entry run requests while a network
    partition keeps it from the log.

    Args:
      state: State of the entry.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with one withdrawal, or none.  It includes each team of which
      this entry holds less than half of its reserve, unless a withdrawal is
      pending, jobs of the team wait, or the account has no more than the
      reserve free.
    """
    if not is_member(state):
        return Step(state)
    reserve = initial_units(state)
    units_by_team = Map(
        (team, reserve - held_units(state, team))
        for team in state.agreed.limits_by_team
        if held_units(state, team) < reserve // 2
        and team not in state.allotments.withdrawals_by_team
        and not state.agreed.waiting_jobs_by_team.get(team, 0)
        and free_account_units(state.agreed, team) > reserve
    )
    if not units_by_team:
        return Step(state)
    return withdraw_units(state, units_by_team, at_ms)


def reconcile_membership(state: State, at_ms: int) -> Step:
    """Update the entry's membership and units to the replicated state.

    Args:
      state: State of the entry, with the new replicated state.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with settlements, a first withdrawal, or a new incarnation.
    """
    state = _drop_completed_transfers(_drop_settled(state))
    record_id = state.allotments.renewal_record_id
    if record_id in state.agreed.verdicts_by_record_id:
        return _extend_lease(state, at_ms)
    if not is_member(state):
        return _rejoin_if_expired(state)
    return _settle_departed(state, at_ms)


def _propose_lease(state, record_id, body, at_ms):
    allotments = replace(
        state.allotments,
        renewal_record_id=record_id,
        renewal_proposed_ms=at_ms,
    )
    return propose(
        replace(state, allotments=allotments), record_id, body, at_ms
    )


def _extend_lease(state, at_ms):
    """Extend the lease after its record was read back."""
    # lease_end_ms is 0 until the incarnation has joined.
    joining = state.allotments.lease_end_ms == 0
    allotments = replace(state.allotments, renewal_record_id="")
    state = replace(state, allotments=allotments)
    if not is_member(state):
        return _rejoin_if_expired(state)
    lease_end_ms = allotments.renewal_proposed_ms + ENTRY_LEASE_MS
    allotments = replace(allotments, lease_end_ms=lease_end_ms)
    step = Step(replace(state, allotments=allotments))
    if joining:
        step = then(step, _start_membership, at_ms)
    return then(step, _settle_departed, at_ms)


def _start_membership(state, at_ms):
    """Log that the entry has joined, and withdraw its first units."""
    line = log(ENTRY_JOINED, incarnation=state.identity.incarnation)
    return then(Step(state, (line,)), replenish_reserve, at_ms)


def _rejoin_if_expired(state):
    """Start a new incarnation after the old one expired.

    An incarnation that has not joined yet (its lease_end_ms is 0) is kept.
    """
    leaving = state.phase is not Phase.SERVING
    if leaving or state.allotments.lease_end_ms == 0:
        return Step(state)
    line = log(ENTRY_LEASE_EXPIRED, incarnation=state.identity.incarnation)
    identity = replace(
        state.identity, incarnation=f"{state.identity.incarnation}+"
    )
    requests = state.allotments.units_requests_by_team
    restarted = replace(
        state,
        identity=identity,
        allotments=Allotments(units_requests_by_team=requests),
    )
    hello = build_hello(identity)
    hellos = tuple(Send(name, hello) for name in sorted(state.peers_by_name))
    return Step(restarted, (line,) + hellos)


def build_hello(identity: Identity) -> Hello:
    """Build the first message on a stream.

    Args:
      identity: Identity of the node.
    Returns:
      The message, with the protocol formats that the node supports.
    """
    node = identity.node
    return Hello(
        node.name,
        node.kind,
        identity.incarnation,
        NEWEST_FORMAT,
        OLDEST_FORMAT,
    )


def _settle_departed(state, at_ms):
    """Propose the settlements with departed incarnations.

    Each record has the final totals of the units sent to and received from
    one of them.
    """
    if not state.agreed.settlement.unsettled_pairs:
        return Step(state)
    decisions = tuple(
        _settlement_decision(departed, at_ms)
        for departed in sorted(state.agreed.settlement.departed)
    )
    return chain(state, *decisions)


def _settlement_decision(departed, at_ms):
    def decide(state):
        own_incarnation = state.identity.incarnation
        if (
            settlement_pair(own_incarnation, departed)
            not in state.agreed.settlement.unsettled_pairs
        ):
            return Step(state)
        body = UnitsSettled(
            incarnation=own_incarnation,
            departed=departed,
            sent_by_team=state.allotments.sent_by_incarnation.get(
                departed, EMPTY_MAP
            ),
            received_by_team=state.allotments.received_by_incarnation.get(
                departed, EMPTY_MAP
            ),
        )
        return propose(
            state, f"{own_incarnation}/settle/{departed}", body, at_ms
        )

    return decide


def _drop_settled(state):
    """Drop the totals with departed incarnations that are settled.

    The settlement has adjusted this member's granted_by_team by these totals.
    """
    allotments = state.allotments
    own_incarnation = state.identity.incarnation
    counterparts = set(allotments.sent_by_incarnation) | set(
        allotments.received_by_incarnation
    )
    for other in sorted(counterparts):
        if other in state.agreed.members_by_incarnation:
            continue
        if (
            settlement_pair(own_incarnation, other)
            in state.agreed.settlement.unsettled_pairs
        ):
            continue
        allotments = _without_totals(allotments, other)
    if allotments is state.allotments:
        return state
    return replace(state, allotments=allotments)


def _without_totals(allotments, other):
    """Drop all totals with an incarnation."""
    sent = allotments.sent_by_incarnation.get(other, EMPTY_MAP)
    received = allotments.received_by_incarnation.get(other, EMPTY_MAP)
    net = add_units(allotments.net_by_team, sent)
    net = add_units(net, received, -1)
    return replace(
        allotments,
        net_by_team=net,
        sent_by_incarnation=drop_key(allotments.sent_by_incarnation, other),
        received_by_incarnation=drop_key(
            allotments.received_by_incarnation, other
        ),
        confirmed_by_incarnation=drop_key(
            allotments.confirmed_by_incarnation, other
        ),
    )


def _drop_completed_transfers(state):
    """Drop deposits and withdrawals whose records were read back."""
    allotments = state.allotments
    verdicts = state.agreed.verdicts_by_record_id
    deposits = Map(
        (record_id, units)
        for record_id, units in allotments.deposits_by_record_id.items()
        if record_id not in verdicts
    )
    withdrawals = Map(
        (team, record_id)
        for team, record_id in allotments.withdrawals_by_team.items()
        if record_id not in verdicts
    )
    changed = replace(
        allotments,
        deposits_by_record_id=deposits,
        withdrawals_by_team=withdrawals,
    )
    return replace(state, allotments=changed)
