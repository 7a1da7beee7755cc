"""The role of the one writer for placing, moving and maintenance.

The log alone decides who holds it: the holder writes at least every
ROLE_RENEWAL_MS, and whoever has read no word of it for ROLE_SILENT_MS while
the log was readable claims the role; of racing claims the first one wins.
"""

from immutables import Map

from sesamehall.core.data import EMPTY_MAP
from sesamehall.core.effects import log
from sesamehall.core.limits import CLOCK_DRIFT_PERCENT
from sesamehall.core.limits import ENTRY_LEASE_MS
from sesamehall.core.limits import LINGER_MS
from sesamehall.core.limits import REQUEST_MAX_MS
from sesamehall.core.limits import ROLE_RENEWAL_MS
from sesamehall.core.limits import ROLE_TIMEOUT_MS
from sesamehall.core.limits import SNAPSHOT_PERIOD_MS
from sesamehall.core.logevents import ENTRY_GONE
from sesamehall.core.records import EntryExpired
from sesamehall.core.records import RecordBody
from sesamehall.core.records import RoleClaimed
from sesamehall.core.records import RoleRenewed
from sesamehall.core.records import SnapshotWritten
from sesamehall.core.replacing import replace
from sesamehall.core.state import State
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.reducer.proposals import propose

ENTRY_EXPIRY_MS = (
    (ENTRY_LEASE_MS + REQUEST_MAX_MS + LINGER_MS)
    * (100 + CLOCK_DRIFT_PERCENT)
    // 100
)  # sooner, a paused entry's requests could run beside their successors'


def holder_name(state: State) -> str:
    """Name this process as a holder of the role.

    Args:
      state: State of the steward.
    Returns:
      A name that no other process has, not even a restarted one.
    """
    return f"{state.identity.node.name}/{state.identity.incarnation}"


def holds_role(state: State) -> bool:
    """Tell whether this steward holds the role, as far as it has read.

    Args:
      state: State of the steward.
    Returns:
      True from the reading of the own claim to that of another's.
    """
    return state.agreed.role.holder == holder_name(state)


def maintain_role(state: State, at_ms: int) -> Step:
    """Claim, renew or leave the role alone.

    Args:
      state: State of the steward.
      at_ms: The node's clock.
    Returns:
      A Step with a proposal, or none.
    """
    role = state.agreed.role
    if role.renewed_offset != state.steward.role_seen_offset:
        steward = replace(
            state.steward,
            role_seen_ms=at_ms,
            role_seen_offset=role.renewed_offset,
        )
        state = replace(state, steward=steward)
    silent_ms = at_ms - state.steward.role_seen_ms
    if holds_role(state):
        if silent_ms < ROLE_RENEWAL_MS:
            return Step(state)
        record_id = f"{holder_name(state)}/role/{at_ms}"
        return propose(state, record_id, RoleRenewed(role.epoch), at_ms)
    readable = state.steward.log_read_failures == 0
    if not readable or (role.epoch >= 0 and silent_ms < ROLE_TIMEOUT_MS):
        return Step(state)
    body = RoleClaimed(holder_name(state), role.epoch)
    record_id = f"{holder_name(state)}/claim/{role.epoch}"
    return propose(state, record_id, body, at_ms)


def propose_fenced(
    state: State, purpose: str, body: RecordBody, at_ms: int
) -> Step:
    """Propose a record as the holder of the role.

    Args:
      state: State of the steward.
      purpose: What it is for; unique within the epoch.
      body: What is proposed, with the epoch in force.
      at_ms: The node's clock.
    Returns:
      A Step with the proposal.
    """
    record_id = f"{state.agreed.role.epoch}/{purpose}"
    return propose(state, record_id, body, at_ms)


def expire_entries(state: State, at_ms: int) -> Step:
    """Declare entries gone whose lease and longest request have run out.

    Args:
      state: State of the steward that holds the role.
      at_ms: The node's clock.
    Returns:
      A Step with the declarations.
    """
    step = Step(_note_renewals(state, at_ms))
    for _, member in sorted(state.agreed.members_by_incarnation.items()):
        seen_ms = step.state.steward.renewals_seen_ms[_renewal_name(member)]
        if at_ms - seen_ms < ENTRY_EXPIRY_MS:
            continue
        body = EntryExpired(
            epoch=state.agreed.role.epoch,
            incarnation=member.incarnation,
            renewed_offset=member.renewed_offset,
        )
        purpose = f"expire/{_renewal_name(member)}"
        step = then(step, propose_fenced, purpose, body, at_ms)
        line = log(ENTRY_GONE, incarnation=member.incarnation)
        step = Step(step.state, step.effects + (line,))
    return step


def write_snapshot(state: State, at_ms: int) -> Step:
    """Write the agreed state again, well before its records expire.

    Args:
      state: State of the steward that holds the role.
      at_ms: The node's clock.
    Returns:
      A Step with the proposal when the latest snapshot is old enough.
    """
    steward = state.steward
    offset = state.agreed.snapshot_offset
    if steward.snapshot_seen_offset != offset:
        seen = replace(
            steward, snapshot_seen_ms=at_ms, snapshot_seen_offset=offset
        )
        return Step(replace(state, steward=seen))
    if at_ms - steward.snapshot_seen_ms < SNAPSHOT_PERIOD_MS:
        return Step(state)
    body = SnapshotWritten(state.agreed.role.epoch, state.agreed)
    return propose_fenced(state, f"snapshot/{offset}", body, at_ms)


def _note_renewals(state, at_ms):
    """Note when each member's latest renewal was first known here.

    While the log is unreachable nobody can renew, so all begin anew.
    """
    seen = state.steward.renewals_seen_ms
    if state.steward.log_read_failures:
        seen = EMPTY_MAP
    names = map(_renewal_name, state.agreed.members_by_incarnation.values())
    renewals_seen_ms = Map((name, seen.get(name, at_ms)) for name in names)
    steward = replace(state.steward, renewals_seen_ms=renewals_seen_ms)
    return replace(state, steward=steward)


def _renewal_name(member):
    return f"{member.incarnation}@{member.renewed_offset}"
