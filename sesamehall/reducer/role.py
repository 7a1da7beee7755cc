"""The role of placing, moving and maintaining, held by one steward.

The log alone decides who holds the role.  The holder writes at least every
ROLE_RENEWAL_MS.  A steward that reads no record of the holder for
ROLE_TIMEOUT_MS while the log is readable claims the role; of concurrent
claims the first in the log wins.
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

# With a shorter period, requests of a paused entry could still run while
# its units are already in use elsewhere.
ENTRY_EXPIRY_MS = (
    (ENTRY_LEASE_MS + REQUEST_MAX_MS + LINGER_MS)
    * (100 + CLOCK_DRIFT_PERCENT)
    // 100
)


def holder_name(state: State) -> str:
    """Build the name under which this process holds the role.

    Args:
      state: State of the steward.
    Returns:
      A name that is unique to this process, also across restarts.
    """
    return f"{state.identity.node.name}/{state.identity.incarnation}"


def holds_role(state: State) -> bool:
    """Return whether this steward holds the role, as far as it has read.

    Args:
      state: State of the steward.
    Returns:
      True from reading its own accepted claim until it reads another one.
    """
    return state.agreed.role.holder == holder_name(state)


def maintain_role(state: State, at_ms: int) -> Step:
    """Renew the role, or claim it if its holder timed out.

    Args:
      state: State of the steward.
      at_ms: Current time on the node's clock.
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
    since_renewal_ms = at_ms - state.steward.role_seen_ms
    if holds_role(state):
        if since_renewal_ms < ROLE_RENEWAL_MS:
            return Step(state)
        record_id = f"{holder_name(state)}/role/{at_ms}"
        return propose(state, record_id, RoleRenewed(role.epoch), at_ms)
    readable = state.steward.log_read_failures == 0
    if not readable or (
        role.epoch >= 0 and since_renewal_ms < ROLE_TIMEOUT_MS
    ):
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
      purpose: Suffix of the record id, unique within the epoch.
      body: The proposal, with the current epoch.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with the proposal.
    """
    record_id = f"{state.agreed.role.epoch}/{purpose}"
    return propose(state, record_id, body, at_ms)


def expire_entries(state: State, at_ms: int) -> Step:
    """Propose the expiry of entries that stopped renewing their lease.

    An entry expires only after its longest possible request has ended.

    Args:
      state: State of the steward that holds the role.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with the proposals.
    """
    step = Step(_record_renewals(state, at_ms))
    for _, member in sorted(state.agreed.members_by_incarnation.items()):
        seen_ms = step.state.steward.renewals_seen_ms[_renewal_key(member)]
        if at_ms - seen_ms < ENTRY_EXPIRY_MS:
            continue
        body = EntryExpired(
            epoch=state.agreed.role.epoch,
            incarnation=member.incarnation,
            renewed_offset=member.renewed_offset,
        )
        purpose = f"expire/{_renewal_key(member)}"
        step = then(step, propose_fenced, purpose, body, at_ms)
        line = log(ENTRY_GONE, incarnation=member.incarnation)
        step = Step(step.state, step.effects + (line,))
    return step


def write_snapshot(state: State, at_ms: int) -> Step:
    """Write a snapshot of the replicated state, well before records expire.

    Args:
      state: State of the steward that holds the role.
      at_ms: Current time on the node's clock.
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


def _record_renewals(state, at_ms):
    """Record when this steward first saw each member's latest renewal.

    While the log is unreadable no entry can renew, so all periods restart.
    """
    seen = state.steward.renewals_seen_ms
    if state.steward.log_read_failures:
        seen = EMPTY_MAP
    keys = map(_renewal_key, state.agreed.members_by_incarnation.values())
    renewals_seen_ms = Map((key, seen.get(key, at_ms)) for key in keys)
    steward = replace(state.steward, renewals_seen_ms=renewals_seen_ms)
    return replace(state, steward=steward)


def _renewal_key(member):
    return f"{member.incarnation}@{member.renewed_offset}"
