"""What a manifest changes against the version in force."""

from collections.abc import Iterator

from sesamehall.core.manifest import Manifest
from sesamehall.core.manifest import Quota
from sesamehall.core.manifestfindings import CeilingChanged
from sesamehall.core.manifestfindings import KeysGiven
from sesamehall.core.manifestfindings import KeysWithdrawn
from sesamehall.core.manifestfindings import ManifestChange
from sesamehall.core.manifestfindings import PoolAdded
from sesamehall.core.manifestfindings import PoolDropped
from sesamehall.core.manifestfindings import QueueAdded
from sesamehall.core.manifestfindings import QueueChanged
from sesamehall.core.manifestfindings import QueueDropped
from sesamehall.core.manifestfindings import QueueMoved
from sesamehall.core.manifestfindings import TeamAdded
from sesamehall.core.manifestfindings import TeamDropped
from sesamehall.core.manifestfindings import VersionNotNewer
from sesamehall.core.manifestfindings import WeightChanged

COMPARED_QUEUE_FIELDS = (
    "host",
    "path_prefix",
    "priority",
    "max_attempts",
    "stretch",
    "slack_ms",
    "open_to_all",
    "requires_advice",
)


def check_version(
    manifest: Manifest, in_force: Manifest
) -> list[VersionNotNewer]:
    """Check that nodes will take a manifest for newer than that in force.

    Args:
      manifest: The manifest.
      in_force: The version in force.
    Returns:
      One finding, or none.
    """
    if manifest.version > in_force.version:
        return []
    return [VersionNotNewer(manifest.version, in_force.version)]


def list_changes(manifest: Manifest, in_force: Manifest) -> list:
    """List what changes when a manifest replaces the version in force.

    Args:
      manifest: The manifest.
      in_force: The version in force.
    Returns:
      Each a `ManifestChange`, by queue, pool and team.
    """
    return [
        *_queue_changes(manifest, in_force),
        *_pool_changes(manifest, in_force),
        *_team_changes(manifest, in_force),
        *_key_changes(manifest, in_force),
    ]


def _queue_changes(manifest, in_force) -> Iterator[ManifestChange]:
    old_by_name = in_force.queues_by_name
    for name, queue in sorted(manifest.queues_by_name.items()):
        old = old_by_name.get(name)
        if old is None:
            yield QueueAdded(name)
            continue
        if old.pool != queue.pool:
            yield QueueMoved(name, old.pool, queue.pool)
        for field in COMPARED_QUEUE_FIELDS:
            before, after = getattr(old, field), getattr(queue, field)
            if before != after:
                yield QueueChanged(name, field, str(before), str(after))
    for name in sorted(set(old_by_name) - set(manifest.queues_by_name)):
        yield QueueDropped(name)


def _pool_changes(manifest, in_force) -> Iterator[ManifestChange]:
    old_names = set(in_force.pools_by_name)
    names = set(manifest.pools_by_name)
    for name in sorted(names - old_names):
        yield PoolAdded(name)
    for name in sorted(old_names - names):
        yield PoolDropped(name)


def _team_changes(manifest, in_force) -> Iterator[ManifestChange]:
    old_by_team = in_force.quotas_by_team
    for team, quota in sorted(manifest.quotas_by_team.items()):
        if team not in old_by_team:
            yield TeamAdded(team)
            continue
        yield from _quota_changes(old_by_team[team], quota)
    for team in sorted(set(old_by_team) - set(manifest.quotas_by_team)):
        yield TeamDropped(team)


def _quota_changes(old: Quota, new: Quota) -> Iterator[ManifestChange]:
    if old.weight != new.weight:
        yield WeightChanged(new.team, old.weight, new.weight)
    if old.ceiling != new.ceiling:
        yield CeilingChanged(new.team, old.ceiling, new.ceiling)


def _key_changes(manifest, in_force) -> Iterator[ManifestChange]:
    """Count the keys that teams get and lose; keys are never shown."""
    old_pairs = set(in_force.team_by_key.items())
    pairs = set(manifest.team_by_key.items())
    for team, count in _count_by_team(pairs - old_pairs):
        yield KeysGiven(team, count)
    for team, count in _count_by_team(old_pairs - pairs):
        yield KeysWithdrawn(team, count)


def _count_by_team(pairs) -> list[tuple[str, int]]:
    teams = [team for _, team in pairs]
    return [(team, teams.count(team)) for team in sorted(set(teams))]
