"""Records about the members and the log's account of ceiling units.

The account starts with all units of every ceiling.  Entries withdraw units
from it and lend them to each other.  The units of a departed incarnation
return to the account once every remaining member has settled with it.
"""

from immutables import Map

from sesamehall.core.agreement import Agreed
from sesamehall.core.agreement import EntryMember
from sesamehall.core.agreement import Settlement
from sesamehall.core.agreement import Verdict
from sesamehall.core.records import EntryExpired
from sesamehall.core.records import EntryJoined
from sesamehall.core.records import EntryLeft
from sesamehall.core.records import EntryRenewed
from sesamehall.core.records import UnitsDeposited
from sesamehall.core.records import UnitsSettled
from sesamehall.core.records import UnitsWithdrawn
from sesamehall.core.replacing import replace
from sesamehall.reducer.units import places_for
from sesamehall.reducer.units import units_for
from sesamehall.reducer.units import UNITS_PER_CEILING

ApplyResult = tuple[Agreed, Verdict]
UnitsByTeam = Map[str, int]
MemberBody = (
    EntryRenewed | EntryLeft | EntryExpired | UnitsWithdrawn | UnitsDeposited
)


def add_units(left: UnitsByTeam, right: UnitsByTeam, sign: int = 1):
    """Add one map of units to another.

    Args:
      left: Units by team.
      right: Units by team, to be added to them.
      sign: 1 to add, -1 to subtract.
    Returns:
      The sums by team.
    """
    with left.mutate() as changed:
        for team, units in right.items():
            changed[team] = changed.get(team, 0) + sign * units
        return changed.finish()


def account_units(agreed: Agreed, team: str) -> int:
    """Compute the units in the log's account.

    Args:
      agreed: The replicated state.
      team: Name of the team.
    Returns:
      The units, including those in use by running jobs.
    """
    return UNITS_PER_CEILING + agreed.account_delta_by_team.get(team, 0)


def account_places(agreed: Agreed, team: str) -> int:
    """Compute how many jobs the account's units allow.

    Args:
      agreed: The replicated state.
      team: Name of the team.
    Returns:
      The number of jobs that may run at once; 0 for a team without limit.
    """
    limit = agreed.limits_by_team.get(team)
    if limit is None:
        return 0
    return places_for(account_units(agreed, team), limit.ceiling)


def free_account_units(agreed: Agreed, team: str) -> int:
    """Compute the account's units that are not in use by running jobs.

    Args:
      agreed: The replicated state.
      team: Name of the team.
    Returns:
      The units that may be withdrawn, never below zero.
    """
    limit = agreed.limits_by_team.get(team)
    jobs = agreed.running_jobs_by_team.get(team, 0)
    if jobs == 0 or limit is None:
        return max(account_units(agreed, team), 0)
    bound = units_for(jobs, limit.ceiling)
    return max(account_units(agreed, team) - bound, 0)


def add_member(agreed: Agreed, body: EntryJoined, offset: int) -> ApplyResult:
    """Apply a record with which an entry node's incarnation becomes a member.

    Args:
      agreed: State before the record.
      body: The record.
      offset: Offset of the record.
    Returns:
      The state after the record, and the verdict on it.
    """
    known = body.incarnation in agreed.members_by_incarnation
    if known or body.incarnation in agreed.settlement.departed:
        return agreed, Verdict.ALREADY_DONE
    member = EntryMember(body.name, body.incarnation, offset)
    firsts = agreed.first_incarnation_by_name
    if body.name not in firsts:
        firsts = firsts.set(body.name, body.incarnation)
    changed = replace(agreed, first_incarnation_by_name=firsts)
    return _with_member(changed, member), Verdict.ACCEPTED


def apply_member_record(
    agreed: Agreed, body: MemberBody, offset: int
) -> ApplyResult:
    """Apply a record of a member, or of the expiry of one.

    Args:
      agreed: State before the record.
      body: The record; its epoch, if any, has been checked.
      offset: Offset of the record.
    Returns:
      The state after the record, and the verdict on it.
    """
    member = agreed.members_by_incarnation.get(body.incarnation)
    if member is None:
        return agreed, Verdict.UNKNOWN_NAME
    match body:
        case EntryRenewed():
            renewed = replace(member, renewed_offset=offset)
            return _with_member(agreed, renewed), Verdict.ACCEPTED
        case EntryLeft():
            return _remove_member(agreed, member), Verdict.ACCEPTED
        case EntryExpired(_, _, renewed_offset):
            if member.renewed_offset != renewed_offset:
                return agreed, Verdict.STALE_EPOCH
            return _remove_member(agreed, member), Verdict.ACCEPTED
        case UnitsWithdrawn(_, units_by_team):
            granted = _limit_to_free(agreed, units_by_team)
            return _transfer(agreed, member, granted), Verdict.ACCEPTED
        case UnitsDeposited(_, units_by_team):
            negated = add_units(Map(), units_by_team, -1)
            return _transfer(agreed, member, negated), Verdict.ACCEPTED


def settle_units(agreed: Agreed, body: UnitsSettled) -> ApplyResult:
    """Apply a member's final totals with a departed incarnation.

    Args:
      agreed: State before the record.
      body: The record.
    Returns:
      The state after the record, and the verdict on it.
    """
    pair = settlement_pair(body.incarnation, body.departed)
    if pair not in agreed.settlement.unsettled_pairs:
        return agreed, Verdict.ALREADY_DONE
    member = agreed.members_by_incarnation[body.incarnation]
    net_sent = add_units(body.sent_by_team, body.received_by_team, -1)
    granted = add_units(member.granted_by_team, net_sent, -1)
    settlement = replace(
        agreed.settlement,
        unsettled_pairs=agreed.settlement.unsettled_pairs.delete(pair),
        units_by_team=add_units(agreed.settlement.units_by_team, net_sent),
    )
    changed = replace(
        _with_member(agreed, replace(member, granted_by_team=granted)),
        settlement=settlement,
    )
    return _finish_settlement(changed), Verdict.ACCEPTED


def settlement_pair(member: str, departed: str) -> str:
    """Build the key of the settlement between two incarnations.

    Args:
      member: Incarnation of the member.
      departed: The departed incarnation.
    Returns:
      The key "member>departed", as in Settlement.unsettled_pairs.
    """
    return f"{member}>{departed}"


def _limit_to_free(agreed, units_by_team):
    """Limit the units requested of each team to the account's free units."""
    return Map(
        (team, min(max(units, 0), free_account_units(agreed, team)))
        for team, units in units_by_team.items()
    )


def _with_member(agreed, member):
    members = agreed.members_by_incarnation.set(member.incarnation, member)
    return replace(agreed, members_by_incarnation=members)


def _transfer(agreed, member, units_by_team):
    """Transfer units from the account to a member; negative ones return."""
    granted = add_units(member.granted_by_team, units_by_team)
    changed = _with_member(agreed, replace(member, granted_by_team=granted))
    account = add_units(agreed.account_delta_by_team, units_by_team, -1)
    return replace(changed, account_delta_by_team=account)


def _remove_member(agreed, member):
    """Remove a member and start the settlement of its units."""
    departed = member.incarnation
    members = agreed.members_by_incarnation.delete(departed)
    unsettled = Map(
        (pair, True)
        for pair in agreed.settlement.unsettled_pairs
        if not pair.startswith(f"{departed}>")
    )
    for incarnation in members:
        unsettled = unsettled.set(settlement_pair(incarnation, departed), True)
    settlement = Settlement(
        departed=agreed.settlement.departed.set(departed, True),
        unsettled_pairs=unsettled,
        units_by_team=add_units(
            agreed.settlement.units_by_team, member.granted_by_team
        ),
    )
    changed = replace(
        agreed, members_by_incarnation=members, settlement=settlement
    )
    return _finish_settlement(changed)


def _finish_settlement(agreed):
    """Return the collected units once all pairs are settled."""
    if agreed.settlement.unsettled_pairs:
        return agreed
    account = add_units(
        agreed.account_delta_by_team, agreed.settlement.units_by_team
    )
    return replace(
        agreed, account_delta_by_team=account, settlement=Settlement()
    )
