"""Reports of the load between entries.

An entry tells the others what it has in flight for each team and on each
target, as counts that replace earlier ones; changes of a few milliseconds
travel together.
"""

from immutables import Map

from sesamehall.core.data import NodeKind
from sesamehall.core.effects import Send
from sesamehall.core.effects import SetTimer
from sesamehall.core.limits import LOAD_REPORT_MS
from sesamehall.core.messages import LoadReported
from sesamehall.core.replacing import replace
from sesamehall.core.state import EntryState
from sesamehall.core.state import Peer
from sesamehall.core.state import State
from sesamehall.core.step import Step
from sesamehall.core.timers import LoadTimer
from sesamehall.reducer.counts import shift_counts


def note_load(state: State, team: str, target: str, at_ms: int) -> Step:
    """Note that a team's and a target's load have changed.

    Args:
      state: State of the entry.
      team: Name of the team.
      target: Name of the target.
      at_ms: The node's clock.
    Returns:
      A Step; it sets the timer of the report if none is set.
    """
    entry = state.entry
    pending = bool(entry.changed_teams)
    changed = replace(
        entry,
        changed_teams=entry.changed_teams.set(team, True),
        changed_targets=entry.changed_targets.set(target, True),
    )
    effects = ()
    if not pending:
        effects = (SetTimer(LoadTimer(), at_ms + LOAD_REPORT_MS),)
    return Step(replace(state, entry=changed), effects)


def report_changes(state: State) -> Step:
    """Report the load that has changed since the last report.

    Args:
      state: State of the entry.
    Returns:
      A Step with a message to every entry.
    """
    entry = state.entry
    report = LoadReported(
        _pick(entry.running_by_team, entry.changed_teams),
        _pick(entry.running_by_target, entry.changed_targets),
    )
    cleared = replace(entry, changed_teams=Map(), changed_targets=Map())
    return _send_all(replace(state, entry=cleared), report)


def report_whole(state: State, peer: str) -> Step:
    """Report the whole load to a peer that has just connected.

    Args:
      state: State of the entry.
      peer: Name of the peer.
    Returns:
      A Step with one message.
    """
    entry = state.entry
    report = LoadReported(entry.running_by_team, entry.running_by_target)
    return Step(state, (Send(peer, report),))


def take_report(state: State, peer: Peer, report: LoadReported) -> Step:
    """Take in what another entry has in flight.

    Args:
      state: State of the entry.
      peer: The sender.
      report: Counts that replace the earlier ones of the same names.
    Returns:
      A Step with the new sums.
    """
    changed = replace(
        peer,
        running_by_team=peer.running_by_team.update(report.running_by_team),
        running_by_target=peer.running_by_target.update(
            report.running_by_target
        ),
    )
    entry = _shift(state.entry, peer, report)
    peers = state.peers_by_name.set(peer.name, changed)
    return Step(replace(state, entry=entry, peers_by_name=peers))


def forget_reports(entry: EntryState, peer: Peer) -> EntryState:
    """Take a peer's load out of the sums, when its stream ends.

    Args:
      entry: The entry's part of the state.
      peer: The peer.
    Returns:
      The entry's part with smaller sums.
    """
    nothing = LoadReported(
        Map((team, 0) for team in peer.running_by_team),
        Map((target, 0) for target in peer.running_by_target),
    )
    return _shift(entry, peer, nothing)


def _shift(entry, peer, report):
    return replace(
        entry,
        elsewhere_by_team=shift_counts(
            entry.elsewhere_by_team,
            peer.running_by_team,
            report.running_by_team,
        ),
        elsewhere_by_target=shift_counts(
            entry.elsewhere_by_target,
            peer.running_by_target,
            report.running_by_target,
        ),
    )


def _pick(counts, names):
    return Map((name, counts.get(name, 0)) for name in names)


def _send_all(state, message):
    peers_by_name = state.identity.peers_by_name
    return Step(
        state,
        tuple(
            Send(name, message)
            for name in state.peers_by_name
            if peers_by_name[name].kind is NodeKind.ENTRY
        ),
    )
