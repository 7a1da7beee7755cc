"""Findings and changes of a manifest in operators' words."""

from sesamehall.core.manifestfindings import CeilingChanged
from sesamehall.core.manifestfindings import GoalUnreachable
from sesamehall.core.manifestfindings import KeysGiven
from sesamehall.core.manifestfindings import KeyShared
from sesamehall.core.manifestfindings import KeysWithdrawn
from sesamehall.core.manifestfindings import MachineRepeated
from sesamehall.core.manifestfindings import ManifestChange
from sesamehall.core.manifestfindings import ManifestFinding
from sesamehall.core.manifestfindings import PoolAdded
from sesamehall.core.manifestfindings import PoolDropped
from sesamehall.core.manifestfindings import PoolUnused
from sesamehall.core.manifestfindings import QueueAdded
from sesamehall.core.manifestfindings import QueueChanged
from sesamehall.core.manifestfindings import QueueDropped
from sesamehall.core.manifestfindings import QueueMoved
from sesamehall.core.manifestfindings import QueueOnStandby
from sesamehall.core.manifestfindings import QueueOverlapped
from sesamehall.core.manifestfindings import QueueShadowed
from sesamehall.core.manifestfindings import QueueWithoutCallers
from sesamehall.core.manifestfindings import QueueWithoutPool
from sesamehall.core.manifestfindings import StandbyIgnored
from sesamehall.core.manifestfindings import TeamAdded
from sesamehall.core.manifestfindings import TeamDropped
from sesamehall.core.manifestfindings import TeamWithoutKeys
from sesamehall.core.manifestfindings import VersionNotNewer
from sesamehall.core.manifestfindings import WaveTooShort
from sesamehall.core.manifestfindings import WaveUnlimited
from sesamehall.core.manifestfindings import WeightChanged
from sesamehall.core.manifestfindings import WeightReplaced
from sesamehall.core.work import Size


def describe_finding(finding: ManifestFinding) -> str:
    """Describe a finding, and what will come of it.

    Args:
      finding: The finding.
    Returns:
      A sentence without a full stop.
    """
    match finding:
        case QueueShadowed(queue, other):
            return (
                f"queue {queue} gets no calls: queue {other} has the same"
                " host and prefix"
            )
        case QueueOverlapped(queue, other):
            return (
                f"queue {queue} loses some of its jobs to queue {other}, whose"
                " prefix matches their paths too"
            )
        case QueueWithoutPool(queue, pool):
            return f"queue {queue} runs nothing: there is no pool {pool!a}"
        case QueueOnStandby(queue, pool):
            return (
                f"queue {queue} runs nothing: the machines of pool {pool} are"
                " switched off"
            )
        case QueueWithoutCallers(queue):
            return f"queue {queue} needs a key, and no team has one"
        case GoalUnreachable(queue, stretch):
            return (
                f"queue {queue} has late jobs only: a stretch of {stretch}"
                " gives them less time than they run"
            )
        case PoolUnused(pool):
            return f"pool {pool} has no queue"
        case StandbyIgnored(pool, other):
            return (
                f"pool {pool} gets no machines: pool {other} is on standby too"
            )
        case TeamWithoutKeys(team):
            return f"team {team} has no key"
        case KeyShared(team, other):
            return f"a key of team {team} counts for team {other}"
        case WeightReplaced(team, used):
            return f"the weight of team {team} cannot be used: {used:g} is"
        case WaveTooShort(wave, needed_ms, within_ms):
            return (
                f"wave {wave} will be late: it takes {needed_ms} ms with so"
                f" few machines at once, and may take {within_ms}"
            )
        case WaveUnlimited(wave):
            return f"wave {wave} may take all its machines down at once"
        case MachineRepeated(wave, machine):
            return f"wave {wave} names machine {machine} more than once"
        case VersionNotNewer(version, in_force):
            return f"version {version} will be ignored: {in_force} is in force"
    raise TypeError(f"no words for {type(finding).__name__}")


def describe_change(change: ManifestChange) -> str:
    """Describe a change, and what will come of it.

    Args:
      change: The change.
    Returns:
      A sentence without a full stop.
    """
    match change:
        case QueueAdded(queue):
            return f"queue {queue} is new"
        case QueueDropped(queue):
            return (
                f"queue {queue} is dropped: its callers are refused, its jobs"
                " wait until a version names it again"
            )
        case QueueMoved(queue, old_pool, new_pool):
            return (
                f"queue {queue} moves from pool {old_pool} to {new_pool}: what"
                " runs goes on, new tasks start there"
            )
        case QueueChanged(queue, field, old, new):
            return f"queue {queue}: {field} {old!a} becomes {new!a}"
        case PoolAdded(pool):
            return f"pool {pool} is new"
        case PoolDropped(pool):
            return f"pool {pool} is dropped: nothing is started on its workers"
        case TeamAdded(team):
            return f"team {team} is new"
        case TeamDropped(team):
            return f"team {team} is dropped: its jobs go on without a ceiling"
        case KeysGiven(team, count):
            return f"team {team} gets {count} new keys"
        case KeysWithdrawn(team, count):
            return (
                f"team {team} loses {count} keys: their callers are refused"
                " within seconds"
            )
        case WeightChanged(team, old, new):
            return f"team {team}: weight {old} becomes {new}"
        case CeilingChanged(team, old, new):
            return (
                f"team {team}: ceiling {_describe_size(old)} becomes"
                f" {_describe_size(new)}; what runs beyond it goes on"
            )
    raise TypeError(f"no words for {type(change).__name__}")


def _describe_size(size: Size) -> str:
    """Describe a ceiling, where 0 means no limit."""
    amounts = (
        (size.cpu_milli, "thousandths of a core"),
        (size.memory_mb, "MB"),
        (size.accelerators, "accelerators"),
    )
    named = [f"{amount} {unit}" for amount, unit in amounts if amount]
    return ", ".join(named) or "without limit"
