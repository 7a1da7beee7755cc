"""Tests of the checks of manifests and waves, and of their wording."""

from typing import get_args

from immutables import Map
import pytest

from sesamehall.core.manifest import Manifest
from sesamehall.core.manifest import Queue
from sesamehall.core.manifest import Quota
from sesamehall.core.manifest import Wave
from sesamehall.core.manifest import WeightDefect
from sesamehall.core.manifest import WorkerPool
from sesamehall.core.manifestfindings import CeilingChanged
from sesamehall.core.manifestfindings import GoalUnreachable
from sesamehall.core.manifestfindings import KeysGiven
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
from sesamehall.core.replacing import replace
from sesamehall.core.work import NO_SIZE
from sesamehall.core.work import Size
from sesamehall.reducer.manifests.changes import check_version
from sesamehall.reducer.manifests.changes import list_changes
from sesamehall.reducer.manifests.findings import check_manifest
from sesamehall.reducer.manifests.findings import check_wave
from sesamehall.reducer.manifests.wording import describe_change
from sesamehall.reducer.manifests.wording import describe_finding

QUOTES = Queue("quotes", "q.example", "/q/", "a", stretch=1.6)
BOOKINGS = Queue("bookings", "q.example", "/b/", "a", stretch=1.6)
KEYS = Map(k1="guild", k2="guild")


def build(*queues, pools=("a",), standby=("spare",), keys=KEYS, **quotas):
    """Build a manifest with queues, pools, keys, and weights of teams."""
    named = {name: WorkerPool(name) for name in pools}
    named |= {name: WorkerPool(name, standby=True) for name in standby}
    return Manifest(
        version=4,
        queues_by_name=Map((queue.name, queue) for queue in queues),
        pools_by_name=Map(named),
        quotas_by_team=Map(
            (team, Quota(team, weight))
            for team, weight in (quotas or {"guild": 1}).items()
        ),
        team_by_key=keys,
    )


@pytest.mark.parametrize(
    ("manifest", "expected"),
    [
        (build(QUOTES, BOOKINGS), []),
        (
            build(QUOTES, replace(BOOKINGS, path_prefix="/q/")),
            [QueueShadowed("quotes", "bookings")],
        ),
        (
            build(QUOTES, replace(BOOKINGS, path_prefix="/q/0a")),
            [QueueOverlapped("quotes", "bookings")],
        ),
        (build(QUOTES, replace(BOOKINGS, path_prefix="/q/new/")), []),
        (
            build(QUOTES, replace(BOOKINGS, host="b", path_prefix="/q/")),
            [],
        ),
        (
            build(replace(QUOTES, pool="b"), BOOKINGS),
            [QueueWithoutPool("quotes", "b")],
        ),
        (
            build(replace(QUOTES, pool="spare"), BOOKINGS),
            [QueueOnStandby("quotes", "spare")],
        ),
        (
            build(QUOTES, replace(BOOKINGS, open_to_all=True), keys=Map()),
            [QueueWithoutCallers("quotes"), TeamWithoutKeys("guild")],
        ),
        (
            build(replace(QUOTES, stretch=0.5)),
            [GoalUnreachable("quotes", 0.5)],
        ),
        (build(replace(QUOTES, stretch=0.5, slack_ms=600)), []),
        (build(QUOTES, pools=("a", "b")), [PoolUnused("b")]),
        (
            build(QUOTES, standby=("s1", "s2")),
            [StandbyIgnored("s2", "s1")],
        ),
        (build(QUOTES, guild=1, hall=3), [TeamWithoutKeys("hall")]),
        (
            replace(
                build(QUOTES),
                quotas_by_team=Map(
                    guild=Quota("guild", weight_defect=WeightDefect.TOO_LARGE)
                ),
            ),
            [WeightReplaced("guild", 1.0)],
        ),
    ],
)
def test_findings_of_a_manifest(manifest, expected):
    assert check_manifest(manifest) == expected


@pytest.mark.parametrize(
    ("machines", "within_ms", "max_unavailable", "expected"),
    [
        (("m1", "m2"), 12_000, 1, []),
        (("m1", "m2"), 11_999, 1, [WaveTooShort(1, 12_000, 11_999)]),
        (("m1", "m2"), 60_000, 2, [WaveUnlimited(1)]),
        (("m1",), 60_000, 1, []),
        (("m1", "m2", "m1"), 60_000, 1, [MachineRepeated(1, "m1")]),
    ],
)
def test_findings_of_a_wave(machines, within_ms, max_unavailable, expected):
    wave = Wave(1, machines, within_ms, max_unavailable)
    assert check_wave(wave) == expected


IN_FORCE = build(QUOTES, guild=2)


@pytest.mark.parametrize(
    ("manifest", "expected"),
    [
        (IN_FORCE, []),
        (build(QUOTES, BOOKINGS, guild=2), [QueueAdded("bookings")]),
        (
            build(BOOKINGS, guild=2),
            [QueueAdded("bookings"), QueueDropped("quotes")],
        ),
        (
            build(replace(QUOTES, pool="b"), pools=("b",), guild=2),
            [QueueMoved("quotes", "a", "b"), PoolAdded("b"), PoolDropped("a")],
        ),
        (
            build(replace(QUOTES, max_attempts=3), guild=2),
            [QueueChanged("quotes", "max_attempts", "1", "3")],
        ),
        (build(QUOTES, guild=5), [WeightChanged("guild", 2, 5)]),
        (build(QUOTES, hall=2), [TeamAdded("hall"), TeamDropped("guild")]),
        (
            build(QUOTES, keys=Map(k1="guild", k3="guild"), guild=2),
            [KeysGiven("guild", 1), KeysWithdrawn("guild", 1)],
        ),
        (
            build(QUOTES, keys=Map(k1="guild", k2="hall"), guild=2),
            [KeysGiven("hall", 1), KeysWithdrawn("guild", 1)],
        ),
        (
            replace(
                IN_FORCE,
                quotas_by_team=Map(guild=Quota("guild", 2, Size(4_000, 0))),
            ),
            [CeilingChanged("guild", NO_SIZE, Size(4_000, 0))],
        ),
    ],
)
def test_changes_against_the_version_in_force(manifest, expected):
    assert list_changes(manifest, IN_FORCE) == expected


@pytest.mark.parametrize(
    ("version", "expected"),
    [(5, []), (4, [VersionNotNewer(4, 4)]), (3, [VersionNotNewer(3, 4)])],
)
def test_version_that_nodes_ignore(version, expected):
    manifest = replace(IN_FORCE, version=version)
    assert check_version(manifest, IN_FORCE) == expected


@pytest.mark.parametrize(
    ("describe", "kinds"),
    [
        (describe_finding, get_args(ManifestFinding)),
        (describe_change, get_args(ManifestChange)),
    ],
    ids=["findings", "changes"],
)
def test_every_kind_has_words(describe, kinds):
    for kind in kinds:
        fields = [
            Size(1_000, 0) if "Size" in str(field.type) else 1
            for field in kind.__dataclass_fields__.values()
        ]
        assert describe(kind(*fields))
