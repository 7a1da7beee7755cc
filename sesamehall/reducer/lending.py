"""Lending of units between entry nodes.

A lender subtracts units before it sends them, as a running total of which the
largest wins.  A lost, late or repeated message can therefore delay units but
never count them twice.  Units are lent only to members known from the log, so
that the units of a departed incarnation can be recovered.

A place is room for one more request under a team's ceiling; it takes
`units_for(1, ceiling)` units.
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
    """Record a peer's request for units, and lend spare units.

    A steward's request for the log's account is not recorded; spare units are
    deposited immediately.

    Args:
      state: State of the entry node.
      peer: The peer.
      request: Its request, which replaces an earlier one.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with the units lent, or with the proposal of a deposit.
    """
    if request.for_account:
        return deposit_units(state, request.team, request.units, at_ms)
    requests = state.allotments.units_requests_by_team.get(
        request.team, EMPTY_MAP
    )
    if request.units > 0:
        open_request = UnitsRequest(request.units, request.units_held)
        requests = requests.set(peer.name, open_request)
    else:
        requests = drop_key(requests, peer.name)
    changed = _with_requests(state, request.team, requests)
    return lend_requested_units(changed, request.team)


def rebalance_units(state: State, team: str) -> Step:
    """Lend units to an entry node that holds fewer, when a place becomes free.

    This comes before the entry node uses the place itself.  Of the peers that
    requested units, the one with the fewest gets up to half of the difference,
    so that both hold about as many.  The difference must be at least two
    places, so that places do not circulate.

    Args:
      state: State of the entry node.
      team: Name of the team.
    Returns:
      A Step with the units lent.
    """
    requests = state.allotments.units_requests_by_team.get(team)
    limit = state.agreed.limits_by_team.get(team)
    if not requests or limit is None:
        return Step(state)
    name = _choose_borrower(requests)
    units_per_place = units_for(1, limit.ceiling)
    excess = held_units(state, team) - requests[name].units_held
    if excess < 2 * units_per_place or not _may_borrow(state, name):
        return Step(state)
    half = max(
        units_per_place, excess // 2 // units_per_place * units_per_place
    )
    units = min(spare_units(state, team), requests[name].units, half)
    return _lend(state, team, name, units) if units > 0 else Step(state)


def lend_requested_units(state: State, team: str) -> Step:
    """Lend spare units of a team to the peers that requested them.

    The peers are served in ascending order of the units that they hold, up to
    the first that cannot be served.  This comes after the entry node has used
    what it can.  If it lacks units itself, only the fraction of a place is
    spare.  It goes only to a peer whose name sorts before its own, so that
    fractions add up to places instead of circulating.

    Args:
      state: State of the entry node.
      team: Name of the team.
    Returns:
      A Step with the units lent.
    """
    step = Step(state)
    lacking = missing_units(state, team) > 0
    for _ in range(len(state.allotments.units_requests_by_team.get(team, ()))):
        requests = step.state.allotments.units_requests_by_team.get(team)
        name = _choose_borrower(requests)
        units = min(spare_units(step.state, team), requests[name].units)
        if lacking and name > state.identity.node.name:
            return step
        if units <= 0 or not _may_borrow(step.state, name):
            return step
        step = then(step, _lend, team, name, units)
    return step


def lend_all_units(state: State) -> Step:
    """Lend all spare units to a peer, if the log cannot take them back.

    Args:
      state: State of an entry node that is stopping.
    Returns:
      A Step with the units lent; none if no connected peer is a member.
    """
    borrowers = [
        name for name in state.peers_by_name if _may_borrow(state, name)
    ]
    step = Step(state)
    if not borrowers:
        return step
    for team in sorted(state.agreed.limits_by_team):
        units = spare_units(step.state, team)
        if units > 0:
            step = then(step, _lend, team, min(borrowers), units)
    return step


def receive_units(state: State, peer: Peer, message: UnitsSent) -> Step:
    """Add units that a peer has lent.

    Args:
      state: State of the entry node.
      peer: The sender.
      message: Running totals; the largest of each team wins.
    Returns:
      A Step that acknowledges the totals; none for a message that is not
      addressed to this incarnation or whose sender is not a member.
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
    # giver= and taker= name the lender and the borrower; tools that read the
    # logs match these keys.
    lines = tuple(
        log(UNITS_BORROWED, team=team, units=units, giver=peer.name)
        for team, units in sorted(gained.items())
    )
    return Step(
        replace(state, allotments=allotments),
        (Send(peer.name, confirmation),) + lines,
    )


def receive_confirmation(state: State, message: UnitsReceived) -> Step:
    """Record which totals a peer has acknowledged.

    Args:
      state: State of the entry node.
      message: Totals that the peer has received.
    Returns:
      A Step without effects; acknowledged totals are not sent again.
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
    """Resend the totals that a peer has not acknowledged.

    Args:
      state: State of the entry node.
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
    unconfirmed = Map(
        (team, total)
        for team, total in sent.items()
        if total > confirmed.get(team, 0)
    )
    if not unconfirmed:
        return Step(state)
    message = UnitsSent(
        state.identity.incarnation, peer.incarnation, unconfirmed
    )
    return Step(state, (Send(peer.name, message),))


def drop_units_requests(state: State, peer_name: str) -> State:
    """Drop a peer's requests for units, when its stream ends.

    Args:
      state: State of the entry node.
      peer_name: Name of the peer.
    Returns:
      The state without the peer's requests.
    """
    for team, requests in state.allotments.units_requests_by_team.items():
        if peer_name in requests:
            state = _with_requests(state, team, requests.delete(peer_name))
    return state


def _choose_borrower(requests):
    """Choose the peer that holds the fewest units; ties by name."""
    return min(requests, key=lambda name: (requests[name].units_held, name))


def _may_borrow(state, name):
    """Return whether units may be lent to a peer."""
    peer = state.peers_by_name.get(name)
    members = state.agreed.members_by_incarnation
    return peer is not None and peer.incarnation in members


def _lend(state, team, name, units):
    """Subtract units, and send the new total to the borrower."""
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
    requests = allotments.units_requests_by_team.get(team, EMPTY_MAP)
    open_request = requests.get(name)
    if open_request is not None and open_request.units > units:
        remaining = UnitsRequest(
            open_request.units - units, open_request.units_held + units
        )
        requests = requests.set(name, remaining)
    else:
        requests = drop_key(requests, name)
    changed = _with_requests(
        replace(state, allotments=allotments), team, requests
    )
    message = UnitsSent(
        state.identity.incarnation, incarnation, Map({team: total})
    )
    line = log(UNITS_LENT, team=team, units=units, taker=name)
    return Step(changed, (Send(name, message), line))


def _with_requests(state, team, requests):
    units_requests_by_team = state.allotments.units_requests_by_team
    if requests:
        units_requests_by_team = units_requests_by_team.set(team, requests)
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
