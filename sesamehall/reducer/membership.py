"""An entry's part in the ceilings: joining, renewing, settling, leaving."""

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
    """Tell whether this incarnation takes part in the ceilings.

    Args:
      state: State of the entry.
    Returns:
      True once the joining record was read back, until the entry is gone.
    """
    incarnation = state.identity.incarnation
    return incarnation in state.agreed.members_by_incarnation


def maintain_lease(state: State, at_ms: int) -> Step:
    """Join, or renew the lease when it is time.

    The lease counts from the first time that its record was asked for, and
    those who judge it count from the time they read that record, which is
    later; so the holder always stops first.

    Args:
      state: State of the entry.
      at_ms: The node's clock.
    Returns:
      A Step with a proposal, or none.
    """
    if state.agreed.next_offset == 0 or state.allotments.renewal_record_id:
        return Step(state)
    incarnation = state.identity.incarnation
    if not is_member(state):
        body = EntryJoined(state.identity.node.name, incarnation)
        return _ask_lease(state, f"{incarnation}/join", body, at_ms)
    if at_ms - state.allotments.renewal_proposed_ms < ENTRY_RENEWAL_MS:
        return Step(state)
    record_id = f"{incarnation}/renew/{at_ms}"
    return _ask_lease(state, record_id, EntryRenewed(incarnation), at_ms)


def replenish_reserve(state: State, at_ms: int) -> Step:
    """Withdraw what lies unused in the log's account, for times of a cut.

    Args:
      state: State of the entry.
      at_ms: The node's clock.
    Returns:
      A Step with one withdrawal for all teams of which little is held.
    """
    if not is_member(state):
        return Step(state)
    part = initial_units(state)
    units_by_team = Map(
        (team, part - held_units(state, team))
        for team in state.agreed.limits_by_team
        if held_units(state, team) < part // 2
        and team not in state.allotments.withdrawals_by_team
        and not state.agreed.waiting_jobs_by_team.get(team, 0)
        and free_account_units(state.agreed, team) > part
    )
    if not units_by_team:
        return Step(state)
    return withdraw_units(state, units_by_team, at_ms)


def reconcile_membership(state: State, at_ms: int) -> Step:
    """Bring the entry's own books in line with the agreed state.

    Args:
      state: State of the entry, its agreed state brought up to date.
      at_ms: The node's clock.
    Returns:
      A Step with settlements, a first withdrawal, or a new incarnation.
    """
    state = _drop_judged_units(_drop_settled(state))
    record_id = state.allotments.renewal_record_id
    if record_id in state.agreed.verdicts_by_record_id:
        return _conclude_lease(state, at_ms)
    if not is_member(state):
        return _notice_gone(state)
    return _settle_gone(state, at_ms)


def _ask_lease(state, record_id, body, at_ms):
    allotments = replace(
        state.allotments,
        renewal_record_id=record_id,
        renewal_proposed_ms=at_ms,
    )
    return propose(
        replace(state, allotments=allotments), record_id, body, at_ms
    )


def _conclude_lease(state, at_ms):
    """Prolong the lease by the record that was read back."""
    joining = state.allotments.lease_end_ms == 0
    allotments = replace(state.allotments, renewal_record_id="")
    state = replace(state, allotments=allotments)
    if not is_member(state):
        return _notice_gone(state)
    lease_end_ms = allotments.renewal_proposed_ms + ENTRY_LEASE_MS
    allotments = replace(allotments, lease_end_ms=lease_end_ms)
    step = Step(replace(state, allotments=allotments))
    if joining:
        step = then(step, _welcome, at_ms)
    return then(step, _settle_gone, at_ms)


def _welcome(state, at_ms):
    """Begin to take part in the ceilings."""
    line = log(ENTRY_JOINED, incarnation=state.identity.incarnation)
    return then(Step(state, (line,)), replenish_reserve, at_ms)


def _notice_gone(state):
    """Begin a new incarnation when the old one was declared gone."""
    leaving = state.phase is not Phase.SERVING
    if leaving or state.allotments.lease_end_ms == 0:
        return Step(state)
    line = log(ENTRY_LEASE_EXPIRED, incarnation=state.identity.incarnation)
    identity = replace(
        state.identity, incarnation=f"{state.identity.incarnation}+"
    )
    wants = state.allotments.units_requests_by_team
    fresh = replace(
        state,
        identity=identity,
        allotments=Allotments(units_requests_by_team=wants),
    )
    greeting = build_hello(identity)
    greetings = tuple(
        Send(name, greeting) for name in sorted(state.peers_by_name)
    )
    return Step(fresh, (line,) + greetings)


def build_hello(identity: Identity) -> Hello:
    """Build the message that introduces this node.

    Args:
      identity: Who the node is.
    Returns:
      The message, with the protocol formats that the node speaks.
    """
    node = identity.node
    return Hello(
        node.name,
        node.kind,
        identity.incarnation,
        NEWEST_FORMAT,
        OLDEST_FORMAT,
    )


def _settle_gone(state, at_ms):
    """Propose the final totals with incarnations that are gone."""
    if not state.agreed.settlement.unsettled_pairs:
        return Step(state)
    decisions = tuple(
        _settlement_of(departed, at_ms)
        for departed in sorted(state.agreed.settlement.departed)
    )
    return chain(state, *decisions)


def _settlement_of(departed, at_ms):
    def decide(state):
        me = state.identity.incarnation
        if (
            settlement_pair(me, departed)
            not in state.agreed.settlement.unsettled_pairs
        ):
            return Step(state)
        body = UnitsSettled(
            incarnation=me,
            departed=departed,
            sent_by_team=state.allotments.sent_by_incarnation.get(
                departed, EMPTY_MAP
            ),
            received_by_team=state.allotments.received_by_incarnation.get(
                departed, EMPTY_MAP
            ),
        )
        return propose(state, f"{me}/settle/{departed}", body, at_ms)

    return decide


def _drop_settled(state):
    """Drop the totals that the log has taken over into the grants."""
    allotments = state.allotments
    me = state.identity.incarnation
    traded = set(allotments.sent_by_incarnation) | set(
        allotments.received_by_incarnation
    )
    for other in sorted(traded):
        if other in state.agreed.members_by_incarnation:
            continue
        if (
            settlement_pair(me, other)
            in state.agreed.settlement.unsettled_pairs
        ):
            continue
        allotments = _without(allotments, other)
    if allotments is state.allotments:
        return state
    return replace(state, allotments=allotments)


def _without(allotments, other):
    """Drop all totals with one incarnation."""
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


def _drop_judged_units(state):
    """Drop the deposits and withdrawals that were read back."""
    allotments = state.allotments
    judged = state.agreed.verdicts_by_record_id
    deposits = Map(
        (record_id, units)
        for record_id, units in allotments.deposits_by_record_id.items()
        if record_id not in judged
    )
    withdrawals = Map(
        (team, record_id)
        for team, record_id in allotments.withdrawals_by_team.items()
        if record_id not in judged
    )
    changed = replace(
        allotments,
        deposits_by_record_id=deposits,
        withdrawals_by_team=withdrawals,
    )
    return replace(state, allotments=changed)
