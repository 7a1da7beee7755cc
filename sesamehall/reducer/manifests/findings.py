"""What is wrong or in vain in a manifest or a wave of maintenance."""

from collections.abc import Iterator

from sesamehall.core.fleettiming import WAVE_CYCLE_MS
from sesamehall.core.manifest import Manifest
from sesamehall.core.manifest import Queue
from sesamehall.core.manifest import Wave
from sesamehall.core.manifestfindings import GoalUnreachable
from sesamehall.core.manifestfindings import MachineRepeated
from sesamehall.core.manifestfindings import ManifestFinding
from sesamehall.core.manifestfindings import PoolUnused
from sesamehall.core.manifestfindings import QueueOnStandby
from sesamehall.core.manifestfindings import QueueOverlapped
from sesamehall.core.manifestfindings import QueueShadowed
from sesamehall.core.manifestfindings import QueueWithoutCallers
from sesamehall.core.manifestfindings import QueueWithoutPool
from sesamehall.core.manifestfindings import StandbyIgnored
from sesamehall.core.manifestfindings import TeamWithoutKeys
from sesamehall.core.manifestfindings import WaveTooShort
from sesamehall.core.manifestfindings import WaveUnlimited
from sesamehall.core.manifestfindings import WeightReplaced
from sesamehall.reducer.jobs.calls import JOB_ID_DIGITS
from sesamehall.reducer.jobs.calls import JOB_ID_LENGTH


def check_manifest(manifest: Manifest) -> list[ManifestFinding]:
    """Find entries that can never match, and settings that contradict.

    Args:
      manifest: The manifest.
    Returns:
      The findings, by queue, pool and team.
    """
    queues = list(manifest.queues_by_name.values())
    return [
        *_check_prefixes(queues),
        *_check_queues(manifest),
        *_check_pools(manifest),
        *_check_teams(manifest),
    ]


def check_wave(wave: Wave) -> list[ManifestFinding]:
    """Find what keeps a wave from being completed, or from its purpose.

    Args:
      wave: The wave.
    Returns:
      The findings.
    """
    return list(_check_wave(wave))


def _check_prefixes(queues: list[Queue]) -> Iterator[ManifestFinding]:
    """Compare the prefixes of queues with the same host."""
    ordered = sorted(queues, key=lambda queue: queue.name)
    for index, queue in enumerate(ordered):
        for other in ordered:
            if other.name == queue.name or other.host != queue.host:
                continue
            if other.path_prefix == queue.path_prefix:
                if other in ordered[:index]:
                    yield QueueShadowed(queue.name, other.name)
            elif _selects_jobs_of(other, queue):
                yield QueueOverlapped(queue.name, other.name)


def _selects_jobs_of(other: Queue, queue: Queue) -> bool:
    """Check whether another prefix matches paths of a queue's jobs."""
    if not other.path_prefix.startswith(queue.path_prefix):
        return False
    rest = other.path_prefix[len(queue.path_prefix) :]
    return len(rest) <= JOB_ID_LENGTH and JOB_ID_DIGITS.issuperset(rest)


def _check_queues(manifest) -> Iterator[ManifestFinding]:
    pools = manifest.pools_by_name
    for name, queue in sorted(manifest.queues_by_name.items()):
        if queue.pool not in pools:
            yield QueueWithoutPool(name, queue.pool)
        elif pools[queue.pool].standby:
            yield QueueOnStandby(name, queue.pool)
        if not queue.open_to_all and not manifest.team_by_key:
            yield QueueWithoutCallers(name)
        if queue.stretch < 1 and queue.slack_ms <= 0:
            yield GoalUnreachable(name, queue.stretch)


def _check_pools(manifest) -> Iterator[ManifestFinding]:
    used = {queue.pool for queue in manifest.queues_by_name.values()}
    first_standby = ""
    for name, pool in sorted(manifest.pools_by_name.items()):
        if pool.standby and first_standby:
            yield StandbyIgnored(name, first_standby)
        elif pool.standby:
            first_standby = name
        elif name not in used:
            yield PoolUnused(name)


def _check_teams(manifest) -> Iterator[ManifestFinding]:
    with_keys = set(manifest.team_by_key.values())
    for team, quota in sorted(manifest.quotas_by_team.items()):
        if team not in with_keys:
            yield TeamWithoutKeys(team)
        if quota.weight_defect is not None:
            yield WeightReplaced(team, quota.weight)


def _check_wave(wave) -> Iterator[ManifestFinding]:
    machines = sorted(set(wave.machines))
    for name in machines:
        if wave.machines.count(name) > 1:
            yield MachineRepeated(wave.number, name)
    cycles = -(-len(machines) // wave.max_unavailable)
    needed_ms = cycles * WAVE_CYCLE_MS
    if needed_ms > wave.within_ms:
        yield WaveTooShort(wave.number, needed_ms, wave.within_ms)
    if len(machines) > 1 and wave.max_unavailable >= len(machines):
        yield WaveUnlimited(wave.number)
