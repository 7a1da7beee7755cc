"""The log's account of ceiling units, and who takes part in the ceilings.

The account begins with the whole of every ceiling.  Entries withdraw units
and lend them to each other; the units of an incarnation that is gone come
back once every remaining member has settled its totals with it.
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
      right: Units by team, multiplied by the sign.
      sign: 1 to add, -1 to subtract.
    Returns:
      A map with the sums.
    """
    with left.mutate() as changed:
        for team, units in right.items():
            changed[team] = changed.get(team, 0) + sign * units
        return changed.finish()


def account_units(agreed: Agreed, team: str) -> int:
    """Compute the units in the log's account.

    Args:
      agreed: The agreed state.
      team: Name of the team.
    Returns:
      The units, those behind running jobs included.
    """
    return UNITS_PER_CEILING + agreed.account_delta_by_team.get(team, 0)


def account_places(agreed: Agreed, team: str) -> int:
    """Compute how many jobs the account's units are worth.

    Args:
      agreed: The agreed state.
      team: Name of the team.
    Returns:
      The number of jobs that may run at once; 0 for a team without limit.
    """
    limit = agreed.limits_by_team.get(team)
    if limit is None:
        return 0
    return places_for(account_units(agreed, team), limit.ceiling)


def free_account_units(agreed: Agreed, team: str) -> int:
    """Compute the units that no running job stands on.

    Args:
      agreed: The agreed state.
      team: Name of the team.
    Returns:
      Units that may be withdrawn, never below zero.
    """
    limit = agreed.limits_by_team.get(team)
    jobs = agreed.running_jobs_by_team.get(team, 0)
    if jobs == 0 or limit is None:
        return max(account_units(agreed, team), 0)
    bound = units_for(jobs, limit.ceiling)
    return max(account_units(agreed, team) - bound, 0)


def join_entry(agreed: Agreed, body: EntryJoined, offset: int) -> ApplyResult:
    """Judge an incarnation's wish to take part in the ceilings.

    Args:
      agreed: State before the record.
      body: The record.
      offset: Offset of the record.
    Returns:
      The state after it and the verdict.
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
    """Judge a record about an incarnation that must be a member.

    Args:
      agreed: State before the record.
      body: The record, its epoch already checked if it has one.
      offset: Offset of the record.
    Returns:
      The state after it and the verdict.
    """
    member = agreed.members_by_incarnation.get(body.incarnation)
    if member is None:
        return agreed, Verdict.UNKNOWN_NAME
    match body:
        case EntryRenewed():
            renewed = replace(member, renewed_offset=offset)
            return _with_member(agreed, renewed), Verdict.ACCEPTED
        case EntryLeft():
            return _collect(agreed, member), Verdict.ACCEPTED
        case EntryExpired(_, _, renewed_offset):
            if member.renewed_offset != renewed_offset:
                return agreed, Verdict.STALE_EPOCH
            return _collect(agreed, member), Verdict.ACCEPTED
        case UnitsWithdrawn(_, units_by_team):
            granted = _cut_to_free(agreed, units_by_team)
            return _transfer(agreed, member, granted), Verdict.ACCEPTED
        case UnitsDeposited(_, units_by_team):
            given = add_units(Map(), units_by_team, -1)
            return _transfer(agreed, member, given), Verdict.ACCEPTED


def settle_units(agreed: Agreed, body: UnitsSettled) -> ApplyResult:
    """Judge a member's final totals with an incarnation that is gone.

    Args:
      agreed: State before the record.
      body: The record.
    Returns:
      The state after it and the verdict.
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
    return _conclude(changed), Verdict.ACCEPTED


def settlement_pair(member: str, departed: str) -> str:
    """Name the settlement between two incarnations.

    Args:
      member: Incarnation that remains.
      departed: Incarnation that is gone.
    Returns:
      The name, as it stands in a Settlement.
    """
    return f"{member}>{departed}"


def _cut_to_free(agreed, units_by_team):
    """Cut what is wanted of each team to what is free in the account."""
    return Map(
        (team, min(max(units, 0), free_account_units(agreed, team)))
        for team, units in units_by_team.items()
    )


def _with_member(agreed, member):
    members = agreed.members_by_incarnation.set(member.incarnation, member)
    return replace(agreed, members_by_incarnation=members)


def _transfer(agreed, member, units_by_team):
    """Move units from the account to a member, negative ones back."""
    granted = add_units(member.granted_by_team, units_by_team)
    changed = _with_member(agreed, replace(member, granted_by_team=granted))
    account = add_units(agreed.account_delta_by_team, units_by_team, -1)
    return replace(changed, account_delta_by_team=account)


def _collect(agreed, member):
    """Begin to collect the units of a member that is gone."""
    departed = member.incarnation
    members = agreed.members_by_incarnation.delete(departed)
    missing = Map(
        (pair, True)
        for pair in agreed.settlement.unsettled_pairs
        if not pair.startswith(f"{departed}>")
    )
    for incarnation in members:
        missing = missing.set(settlement_pair(incarnation, departed), True)
    settlement = Settlement(
        departed=agreed.settlement.departed.set(departed, True),
        unsettled_pairs=missing,
        units_by_team=add_units(
            agreed.settlement.units_by_team, member.granted_by_team
        ),
    )
    changed = replace(
        agreed, members_by_incarnation=members, settlement=settlement
    )
    return _conclude(changed)


def _conclude(agreed):
    """Give the collected units to the account once nothing is missing."""
    if agreed.settlement.unsettled_pairs:
        return agreed
    account = add_units(
        agreed.account_delta_by_team, agreed.settlement.units_by_team
    )
    return replace(
        agreed, account_delta_by_team=account, settlement=Settlement()
    )
