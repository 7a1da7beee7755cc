"""Seeking units of ceilings: from peers, and from the log's account."""

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
    """Ask for units of a team whose waiting requests lack them.

    Questions stand with the peers until they change much, so that a team at
    its ceiling causes no stream of them.

    Args:
      state: State of the entry.
      team: Name of the team.
      at_ms: The node's clock.
    Returns:
      A Step with questions to peers, a withdrawal, or nothing.
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
    step = then(step, _withdraw, team, missing, at_ms)
    return then(step, _ask_peers, team, missing)


def review_units_request(state: State, team: str, at_ms: int) -> Step:
    """Repeat, change or take back a standing question.

    Args:
      state: State of the entry.
      team: Name of the team.
      at_ms: The node's clock.
    Returns:
      A Step; the timer goes on as long as units are missing.
    """
    asked = state.allotments.requested_by_team.get(team)
    if asked is None:
        return Step(state)
    missing = missing_units(state, team)
    if missing == 0:
        allotments = replace(
            state.allotments,
            requested_by_team=state.allotments.requested_by_team.delete(team),
        )
        return _ask_peers(replace(state, allotments=allotments), team, 0)
    timer = SetTimer(UnitsTimer(team), at_ms + UNITS_REQUEST_INTERVAL_MS)
    step = Step(state, (timer,))
    step = then(step, _withdraw, team, missing, at_ms)
    if asked // 2 <= missing <= asked * 2:
        return step
    allotments = replace(
        state.allotments,
        requested_by_team=state.allotments.requested_by_team.set(
            team, missing
        ),
    )
    step = Step(replace(step.state, allotments=allotments), step.effects)
    return then(step, _ask_peers, team, missing)


def repeat_units_requests(state: State) -> Step:
    """Repeat every standing question, since messages may have been lost.

    Args:
      state: State of the entry.
    Returns:
      A Step with the questions.
    """
    step = Step(state)
    for team in sorted(state.allotments.requested_by_team):
        step = then(step, _ask_peers, team, missing_units(state, team))
    return step


def _ask_peers(state, team, units):
    """Put a question to every entry."""
    question = UnitsAsked(team, units, held_units(state, team))
    return Step(state, send_all(state, NodeKind.ENTRY, question))


def withdraw_units(
    state: State, units_by_team: Map[str, int], at_ms: int
) -> Step:
    """Propose to take units out of the log's account.

    Args:
      state: State of the entry.
      units_by_team: Most units wanted for each team.
      at_ms: The node's clock.
    Returns:
      A Step; no team has two withdrawals under way.
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


def _withdraw(state, team, units, at_ms):
    """Withdraw units from the log's account when it has some to spare."""
    incarnation = state.identity.incarnation
    if incarnation not in state.agreed.members_by_incarnation:
        return Step(state)
    if team in state.allotments.withdrawals_by_team:
        return Step(state)
    if state.agreed.waiting_jobs_by_team.get(team, 0):
        return Step(state)
    if units == 0 or free_account_units(state.agreed, team) == 0:
        return Step(state)
    wanted = max(units, initial_units(state))
    return withdraw_units(state, Map({team: wanted}), at_ms)


def deposit_units(state: State, team: str, units: int, at_ms: int) -> Step:
    """Propose to put spare units into the log's account, for jobs.

    Args:
      state: State of the entry.
      team: Name of the team.
      units: Most units to put in.
      at_ms: The node's clock.
    Returns:
      A Step; the units count as given up from now on.
    """
    units = min(units, spare_units(state, team))
    if units <= 0:
        return Step(state)
    incarnation = state.identity.incarnation
    record_id = f"{incarnation}/deposit/{state.serial}"
    given = Map({team: units})
    deposits = state.allotments.deposits_by_record_id.set(record_id, given)
    changed = replace(
        state,
        serial=state.serial + 1,
        allotments=replace(state.allotments, deposits_by_record_id=deposits),
    )
    body = UnitsDeposited(incarnation, given)
    return propose(changed, record_id, body, at_ms)
