"""Requests for units to peers, and transfers with the log's account."""

from immutables import Map

from sesamehall.core.data import NodeKind
from sesamehall.core.effects import SetTimer
from sesamehall.core.limits import UNITS_REQUEST_INTERVAL_MS
from sesamehall.core.messages import UnitsAsked
from sesamehall.core.records import UnitsDeposited
from sesamehall.core.records import UnitsWithdrawn
from sesamehall.core.replacing import replace
from sesamehall.core.state import State
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.core.timers import UnitsTimer
from sesamehall.reducer.accounts import free_account_units
from sesamehall.reducer.allotments import held_units
from sesamehall.reducer.allotments import initial_units
from sesamehall.reducer.allotments import missing_units
from sesamehall.reducer.allotments import spare_units
from sesamehall.reducer.broadcast import send_all
from sesamehall.reducer.proposals import propose


def request_units(state: State, team: str, at_ms: int) -> Step:
    """Request the units that a team's waiting requests lack.

    Requests to peers stand until the amount changes by more than a factor
    of two, so that a team at its ceiling does not cause a stream of messages.

    Args:
      state: State of the entry.
      team: Name of the team.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with requests to peers and a withdrawal, if units are missing.
    """
    if team in state.allotments.requested_by_team:
        return Step(state)
    missing = missing_units(state, team)
    if missing == 0:
        return Step(state)
    allotments = replace(
        state.allotments,
        requested_by_team=state.allotments.requested_by_team.set(
            team, missing
        ),
    )
    timer = SetTimer(UnitsTimer(team), at_ms + UNITS_REQUEST_INTERVAL_MS)
    step = Step(replace(state, allotments=allotments), (timer,))
    step = then(step, _withdraw_missing, team, missing, at_ms)
    return then(step, _request_from_peers, team, missing)


def review_units_request(state: State, team: str, at_ms: int) -> Step:
    """Change or cancel the standing request for a team's units.

    Args:
      state: State of the entry.
      team: Name of the team.
      at_ms: Current time on the node's clock.
    Returns:
      A Step; the timer is set again as long as units are missing.
    """
    requested = state.allotments.requested_by_team.get(team)
    if requested is None:
        return Step(state)
    missing = missing_units(state, team)
    if missing == 0:
        allotments = replace(
            state.allotments,
            requested_by_team=state.allotments.requested_by_team.delete(team),
        )
        return _request_from_peers(
            replace(state, allotments=allotments), team, 0
        )
    timer = SetTimer(UnitsTimer(team), at_ms + UNITS_REQUEST_INTERVAL_MS)
    step = Step(state, (timer,))
    step = then(step, _withdraw_missing, team, missing, at_ms)
    if requested // 2 <= missing <= requested * 2:
        return step
    allotments = replace(
        state.allotments,
        requested_by_team=state.allotments.requested_by_team.set(
            team, missing
        ),
    )
    step = Step(replace(step.state, allotments=allotments), step.effects)
    return then(step, _request_from_peers, team, missing)


def repeat_units_requests(state: State) -> Step:
    """Repeat every standing request, as messages may have been lost.

    Args:
      state: State of the entry.
    Returns:
      A Step with the requests, for the units missing now.
    """
    step = Step(state)
    for team in sorted(state.allotments.requested_by_team):
        step = then(
            step, _request_from_peers, team, missing_units(state, team)
        )
    return step


def _request_from_peers(state, team, units):
    """Send a request for units to every connected entry."""
    request = UnitsAsked(team, units, held_units(state, team))
    return Step(state, send_all(state, NodeKind.ENTRY, request))


def withdraw_units(
    state: State, units_by_team: Map[str, int], at_ms: int
) -> Step:
    """Propose a withdrawal of units from the log's account.

    Args:
      state: State of the entry.
      units_by_team: Maximum of units for each team.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with the proposal; the teams must have no pending withdrawal.
    """
    record_id = f"{state.identity.incarnation}/withdraw/{state.serial}"
    pending = state.allotments.withdrawals_by_team.update(
        {team: record_id for team in units_by_team}
    )
    changed = replace(
        state,
        serial=state.serial + 1,
        allotments=replace(state.allotments, withdrawals_by_team=pending),
    )
    body = UnitsWithdrawn(state.identity.incarnation, units_by_team)
    return propose(changed, record_id, body, at_ms)


def _withdraw_missing(state, team, units, at_ms):
    """Withdraw units from the log's account, if it has free ones.

    Waiting jobs go first: they need the units in the account.
    """
    incarnation = state.identity.incarnation
    if incarnation not in state.agreed.members_by_incarnation:
        return Step(state)
    if team in state.allotments.withdrawals_by_team:
        return Step(state)
    if state.agreed.waiting_jobs_by_team.get(team, 0):
        return Step(state)
    if units == 0 or free_account_units(state.agreed, team) == 0:
        return Step(state)
    units_requested = max(units, initial_units(state))
    return withdraw_units(state, Map({team: units_requested}), at_ms)


def deposit_units(state: State, team: str, units: int, at_ms: int) -> Step:
    """Propose a deposit of spare units in the log's account, for jobs.

    Args:
      state: State of the entry.
      team: Name of the team.
      units: Maximum of units to deposit.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with the proposal; the entry stops using the units now.
    """
    units = min(units, spare_units(state, team))
    if units <= 0:
        return Step(state)
    incarnation = state.identity.incarnation
    record_id = f"{incarnation}/deposit/{state.serial}"
    units_by_team = Map({team: units})
    deposits = state.allotments.deposits_by_record_id.set(
        record_id, units_by_team
    )
    changed = replace(
        state,
        serial=state.serial + 1,
        allotments=replace(state.allotments, deposits_by_record_id=deposits),
    )
    body = UnitsDeposited(incarnation, units_by_team)
    return propose(changed, record_id, body, at_ms)
