"""Lending units of ceilings between entries.

A giver subtracts units before it sends them, as a running total of which the
largest wins; so a message that is lost, late or repeated can delay units but
never count them twice.  Only members known from the log are given any, which
lets the units of an incarnation that is gone be found again.
"""

from immutables import Map

from sesamehall.core.data import EMPTY_MAP
from sesamehall.core.effects import log
from sesamehall.core.effects import Send
from sesamehall.core.logevents import UNITS_BORROWED
from sesamehall.core.logevents import UNITS_LENT
from sesamehall.core.messages import UnitsAsked
from sesamehall.core.messages import UnitsReceived
from sesamehall.core.messages import UnitsSent
from sesamehall.core.replacing import replace
from sesamehall.core.state import Peer
from sesamehall.core.state import State
from sesamehall.core.state import UnitsRequest
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.reducer.allotments import held_units
from sesamehall.reducer.allotments import missing_units
from sesamehall.reducer.allotments import spare_units
from sesamehall.reducer.counts import add_count
from sesamehall.reducer.counts import drop_key
from sesamehall.reducer.units import units_for
from sesamehall.reducer.units_requests import deposit_units


def receive_units_request(
    state: State, peer: Peer, request: UnitsAsked, at_ms: int
) -> Step:
    """Note what a peer asks for, and give what can be spared at once.

    Args:
      state: State of the entry.
      peer: The peer.
      request: Its question; it replaces an earlier one.
      at_ms: The node's clock.
    Returns:
      A Step with the units given.
    """
    if request.for_account:
        return deposit_units(state, request.team, request.units, at_ms)
    wants = state.allotments.units_requests_by_team.get(
        request.team, EMPTY_MAP
    )
    if request.units > 0:
        want = UnitsRequest(request.units, request.units_held)
        wants = wants.set(peer.name, want)
    else:
        wants = drop_key(wants, peer.name)
    changed = _with_wants(state, request.team, wants)
    return lend_requested_units(changed, request.team)


def rebalance_units(state: State, team: str) -> Step:
    """Share a place that became free with entries that hold fewer.

    Called before the entry uses the place itself; it gives one only to a
    peer that holds two places less, so that places do not go round.

    Args:
      state: State of the entry.
      team: Name of the team.
    Returns:
      A Step with the units given.
    """
    wants = state.allotments.units_requests_by_team.get(team)
    limit = state.agreed.limits_by_team.get(team)
    if not wants or limit is None:
        return Step(state)
    name = _neediest(wants)
    place = units_for(1, limit.ceiling)
    ahead = held_units(state, team) - wants[name].units_held
    if ahead < 2 * place or not _is_taker(state, name):
        return Step(state)
    half = max(place, ahead // 2 // place * place)
    units = min(spare_units(state, team), wants[name].units, half)
    return _give(state, team, name, units) if units > 0 else Step(state)


def lend_requested_units(state: State, team: str) -> Step:
    """Give spare units of a team to the peers that asked for them.

    Called after the entry has used what it can.  If it lacks units itself,
    only the fraction of a place is left, which goes to a peer whose name
    sorts first; so fractions gather instead of going round.

    Args:
      state: State of the entry.
      team: Name of the team.
    Returns:
      A Step with the units given.
    """
    step = Step(state)
    lacking = missing_units(state, team) > 0
    for _ in range(len(state.allotments.units_requests_by_team.get(team, ()))):
        wants = step.state.allotments.units_requests_by_team.get(team)
        name = _neediest(wants)
        units = min(spare_units(step.state, team), wants[name].units)
        if lacking and name > state.identity.node.name:
            return step
        if units <= 0 or not _is_taker(step.state, name):
            return step
        step = then(step, _give, team, name, units)
    return step


def lend_all_units(state: State) -> Step:
    """Give all spare units to a peer, when the log cannot take them back.

    Args:
      state: State of an entry that stops.
    Returns:
      A Step with the units given; none without a member to give them to.
    """
    takers = [name for name in state.peers_by_name if _is_taker(state, name)]
    step = Step(state)
    if not takers:
        return step
    for team in sorted(state.agreed.limits_by_team):
        units = spare_units(step.state, team)
        if units > 0:
            step = then(step, _give, team, min(takers), units)
    return step


def receive_units(state: State, peer: Peer, message: UnitsSent) -> Step:
    """Take units that a peer has given.

    Args:
      state: State of the entry.
      peer: The sender.
      message: Running totals; the largest of each team wins.
    Returns:
      A Step that confirms the totals, or none for one not addressed to
      this incarnation or from an incarnation that is not a member.
    """
    if message.borrower != state.identity.incarnation:
        return Step(state)
    if message.lender not in state.agreed.members_by_incarnation:
        return Step(state)
    known = state.allotments.received_by_incarnation.get(
        message.lender, EMPTY_MAP
    )
    gained = Map(
        (team, total - known.get(team, 0))
        for team, total in message.total_by_team.items()
        if total > known.get(team, 0)
    )
    totals = _add_totals(known, gained)
    allotments = replace(
        state.allotments,
        received_by_incarnation=state.allotments.received_by_incarnation.set(
            message.lender, totals
        ),
        net_by_team=_add_totals(state.allotments.net_by_team, gained),
    )
    confirmation = UnitsReceived(
        message.lender,
        message.borrower,
        Map((team, totals[team]) for team in message.total_by_team),
    )
    lines = tuple(
        log(UNITS_BORROWED, team=team, units=units, giver=peer.name)
        for team, units in sorted(gained.items())
    )
    return Step(
        replace(state, allotments=allotments),
        (Send(peer.name, confirmation),) + lines,
    )


def receive_confirmation(state: State, message: UnitsReceived) -> Step:
    """Note which totals a peer has taken.

    Args:
      state: State of the entry.
      message: Totals that the peer has taken.
    Returns:
      A Step; confirmed totals are not sent again.
    """
    if message.lender != state.identity.incarnation:
        return Step(state)
    known = state.allotments.confirmed_by_incarnation.get(
        message.borrower, EMPTY_MAP
    )
    newer = Map(
        (team, total)
        for team, total in message.total_by_team.items()
        if total > known.get(team, 0)
    )
    confirmed = state.allotments.confirmed_by_incarnation.set(
        message.borrower, known.update(newer)
    )
    allotments = replace(state.allotments, confirmed_by_incarnation=confirmed)
    return Step(replace(state, allotments=allotments))


def resend_units(state: State, peer: Peer) -> Step:
    """Send the totals again that a peer has not confirmed.

    Args:
      state: State of the entry.
      peer: The peer.
    Returns:
      A Step with one message, or none.
    """
    sent = state.allotments.sent_by_incarnation.get(
        peer.incarnation, EMPTY_MAP
    )
    confirmed = state.allotments.confirmed_by_incarnation.get(
        peer.incarnation, EMPTY_MAP
    )
    open_totals = Map(
        (team, total)
        for team, total in sent.items()
        if total > confirmed.get(team, 0)
    )
    if not open_totals:
        return Step(state)
    message = UnitsSent(
        state.identity.incarnation, peer.incarnation, open_totals
    )
    return Step(state, (Send(peer.name, message),))


def drop_units_requests(state: State, peer_name: str) -> State:
    """Forget what a peer asked for, when its stream ends.

    Args:
      state: State of the entry.
      peer_name: Name of the peer.
    Returns:
      The state without the peer's questions.
    """
    for team, wants in state.allotments.units_requests_by_team.items():
        if peer_name in wants:
            state = _with_wants(state, team, wants.delete(peer_name))
    return state


def _neediest(wants):
    """Choose the peer that holds least, by name among equals."""
    return min(wants, key=lambda name: (wants[name].units_held, name))


def _is_taker(state, name):
    """Tell whether a peer may be given units."""
    peer = state.peers_by_name.get(name)
    members = state.agreed.members_by_incarnation
    return peer is not None and peer.incarnation in members


def _give(state, team, name, units):
    """Subtract units and send the new total to a peer."""
    incarnation = state.peers_by_name[name].incarnation
    sent = state.allotments.sent_by_incarnation.get(incarnation, EMPTY_MAP)
    total = sent.get(team, 0) + units
    allotments = replace(
        state.allotments,
        sent_by_incarnation=state.allotments.sent_by_incarnation.set(
            incarnation, sent.set(team, total)
        ),
        net_by_team=add_count(state.allotments.net_by_team, team, -units),
    )
    wants = allotments.units_requests_by_team.get(team, EMPTY_MAP)
    want = wants.get(name)
    if want is not None and want.units > units:
        left = UnitsRequest(want.units - units, want.units_held + units)
        wants = wants.set(name, left)
    else:
        wants = drop_key(wants, name)
    changed = _with_wants(replace(state, allotments=allotments), team, wants)
    message = UnitsSent(
        state.identity.incarnation, incarnation, Map({team: total})
    )
    line = log(UNITS_LENT, team=team, units=units, taker=name)
    return Step(changed, (Send(name, message), line))


def _with_wants(state, team, wants):
    units_requests_by_team = state.allotments.units_requests_by_team
    if wants:
        units_requests_by_team = units_requests_by_team.set(team, wants)
    else:
        units_requests_by_team = drop_key(units_requests_by_team, team)
    allotments = replace(
        state.allotments, units_requests_by_team=units_requests_by_team
    )
    return replace(state, allotments=allotments)


def _add_totals(totals, gained):
    return totals.update(
        {team: totals.get(team, 0) + units for team, units in gained.items()}
    )
