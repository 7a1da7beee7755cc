"""Load reports between entries.

An entry reports its requests in flight by team and by target, and its waiting
requests by queue.  The counts replace earlier ones; changes within a few
milliseconds are sent together.
"""

from immutables import Map

from sesamehall.core.data import NodeKind
from sesamehall.core.effects import Send
from sesamehall.core.effects import SetTimer
from sesamehall.core.limits import LOAD_REPORT_DELAY_MS
from sesamehall.core.limits import QUEUE_REPORT_MAX
from sesamehall.core.messages import LoadReported
from sesamehall.core.replacing import replace
from sesamehall.core.state import EntryState
from sesamehall.core.state import Peer
from sesamehall.core.state import State
from sesamehall.core.step import Step
from sesamehall.core.timers import LoadTimer
from sesamehall.reducer.allotments import has_place
from sesamehall.reducer.broadcast import send_all
from sesamehall.reducer.counts import replace_contribution


def record_load_change(
    state: State, team: str, target: str, at_ms: int
) -> Step:
    """Record that the load of a team and of a target has changed.

    Args:
      state: State of the entry.
      team: Name of the team.
      target: Name of the target.
      at_ms: Current time on the node's clock.
    Returns:
      A Step; sets the timer of the next report unless it is set.
    """
    entry = state.entry
    changed = replace(
        entry,
        changed_teams=entry.changed_teams.set(team, True),
        changed_targets=entry.changed_targets.set(target, True),
        report_scheduled=True,
    )
    changed_state = replace(state, entry=changed)
    if entry.report_scheduled:
        return Step(changed_state)
    timer = SetTimer(LoadTimer(), at_ms + LOAD_REPORT_DELAY_MS)
    return Step(changed_state, (timer,))


def schedule_report(state: State, at_ms: int) -> Step:
    """Set the timer of the next report, unless it is set.

    Args:
      state: State of the entry.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with the timer, or without effects.
    """
    if state.entry.report_scheduled:
        return Step(state)
    timer = SetTimer(LoadTimer(), at_ms + LOAD_REPORT_DELAY_MS)
    entry = replace(state.entry, report_scheduled=True)
    return Step(replace(state, entry=entry), (timer,))


def report_load_changes(state: State, at_ms: int) -> Step:
    """Report the counts that have changed since the last report.

    Args:
      state: State of the entry.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with a message to every entry, or without effects if no team's
      count and no queue has changed.
    """
    entry = state.entry
    queues = _count_queues(state, at_ms)
    emptied = Map((queue, 0) for queue in entry.reported_by_queue)
    changed_queues = Map(
        (queue, count)
        for queue, count in emptied.update(queues).items()
        if count != entry.reported_by_queue.get(queue, 0)
    )
    report = LoadReported(
        _select_counts(entry.running_by_team, entry.changed_teams),
        _select_counts(entry.running_by_target, entry.changed_targets),
        changed_queues,
    )
    cleared = replace(
        entry,
        report_scheduled=False,
        changed_teams=Map(),
        changed_targets=Map(),
        reported_by_queue=queues,
    )
    state = replace(state, entry=cleared)
    if not (report.running_by_team or report.waiting_by_queue):
        return Step(state)
    return Step(state, send_all(state, NodeKind.ENTRY, report))


def report_full_load(state: State, peer: str) -> Step:
    """Report all counts to a peer that has just connected.

    Args:
      state: State of the entry.
      peer: Name of the peer.
    Returns:
      A Step with one message.
    """
    entry = state.entry
    report = LoadReported(
        entry.running_by_team,
        entry.running_by_target,
        entry.reported_by_queue,
    )
    return Step(state, (Send(peer, report),))


def apply_load_report(state: State, peer: Peer, report: LoadReported) -> Step:
    """Apply another entry's load report.

    Args:
      state: State of the entry.
      peer: The sender.
      report: Counts that replace earlier ones of the same names.
    Returns:
      A Step with the new totals.
    """
    changed = replace(
        peer,
        running_by_team=peer.running_by_team.update(report.running_by_team),
        running_by_target=peer.running_by_target.update(
            report.running_by_target
        ),
        waiting_by_queue=peer.waiting_by_queue.update(report.waiting_by_queue),
    )
    entry = _update_remote_totals(state.entry, peer, report)
    peers = state.peers_by_name.set(peer.name, changed)
    return Step(replace(state, entry=entry, peers_by_name=peers))


def drop_peer_load(entry: EntryState, peer: Peer) -> EntryState:
    """Remove a peer's load from the totals when its stream ends.

    Args:
      entry: The entry's part of the state.
      peer: The peer.
    Returns:
      The entry's part with smaller totals.
    """
    zeros = LoadReported(
        Map((team, 0) for team in peer.running_by_team),
        Map((target, 0) for target in peer.running_by_target),
        Map((queue, 0) for queue in peer.waiting_by_queue),
    )
    return _update_remote_totals(entry, peer, zeros)


def _update_remote_totals(entry, peer, report):
    return replace(
        entry,
        remote_running_by_team=replace_contribution(
            entry.remote_running_by_team,
            peer.running_by_team,
            report.running_by_team,
        ),
        remote_running_by_target=replace_contribution(
            entry.remote_running_by_target,
            peer.running_by_target,
            report.running_by_target,
        ),
        remote_waiting_by_queue=replace_contribution(
            entry.remote_waiting_by_queue,
            peer.waiting_by_queue,
            report.waiting_by_queue,
        ),
    )


def queue_name(service: str, team: str) -> str:
    """Build the name of a team's queue for a service.

    Args:
      service: Name of the service.
      team: Name of the team.
    Returns:
      The name, as used in load reports.
    """
    return f"{service}/{team}"


def _count_queues(state: State, at_ms: int) -> Map[str, int]:
    """Count the requests that wait only for a slot, bounded per queue."""
    counts = {}
    for service, queues in state.entry.queues_by_service.items():
        for team, queue in queues.items():
            if has_place(state, team, at_ms):
                waiting = len(queue.urgent) + len(queue.normal)
                name = queue_name(service, team)
                counts[name] = min(waiting, QUEUE_REPORT_MAX)
    return Map(counts)


def _select_counts(counts, names):
    return Map((name, counts.get(name, 0)) for name in names)
