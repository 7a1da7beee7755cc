"""Tests of the settings file: cores, and problems in one line each."""

import pytest

from sesamehall.core.codes import SettingsError
from sesamehall.core.jobtiming import LEADER_CORES
from sesamehall.platform.settings import decode_settings
from sesamehall.platform.settings import load_settings

DOCUMENT = {
    "Node": "edge-1",
    "Zone": "dc-a",
    "Ip": "10.1.0.1",
    "Listen": {"Front": "10.1.0.1:1", "Ready": "10.1.0.1:2"},
    "platform": {"Address": "10.2.0.1:3"},
}


@pytest.mark.parametrize(
    ("limits", "expected"),
    [
        (None, LEADER_CORES),
        ({}, LEADER_CORES),
        ({"CpuShare": 0.516}, 0.516),
        ({"CpuShare": 0.5, "Cores": 3}, 1.5),
        ({"CpuShare": "half"}, None),
        ({"CpuShare": 0.5, "Cores": True}, None),
    ],
    ids=["missing", "empty", "share", "share of cores", "string", "boolean"],
)
def test_cores(limits, expected):
    document = {**DOCUMENT, "Limits": limits}
    if expected is None:
        with pytest.raises(SettingsError):
            decode_settings(document, "node.json")
    else:
        assert decode_settings(document, "node.json").cores == expected


@pytest.mark.parametrize(
    ("bounds", "expected"),
    [
        (None, (0, 0)),
        ({"EvacuateMs": 5_000}, (5_000, 0)),
        ({"EvacuateMs": 5_000, "MaxStretchMs": 6_000}, (5_000, 6_000)),
    ],
    ids=["no limit", "limit", "limit and stretch"],
)
def test_limit_of_starts_after_a_drain_request(bounds, expected):
    document = {**DOCUMENT, "Bounds": bounds}
    timing = decode_settings(document, "node.json").timing
    assert (timing.drain_within_ms, timing.max_stretch_ms) == expected


@pytest.mark.parametrize(
    ("ports", "address"),
    [
        (None, ""),
        ([7000, 7015], "10.1.0.1:7001"),
        ([7720, 7735], "10.1.0.1:7720"),
        ([6999, 7001], "10.1.0.1:6999"),
        ([7720, 7720], "10.1.0.1:7720"),
        ([7000, 7000], ""),
    ],
)
def test_port_for_peers_is_one_of_the_internal_ones(ports, address):
    document = {**DOCUMENT, "InternalPorts": ports}
    assert decode_settings(document, "node.json").peer_address == address


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"Node": None}, "Node"),
        ({"Ip": 5}, "Ip"),
        ({"Listen": {}}, "Listen.Front"),
        ({"Listen": {"Front": "h:0", "Ready": "h:2"}}, "Listen.Front"),
        ({"platform": {"Address": "nowhere"}}, "platform.Address"),
        ({"CloudApi": {"Address": "h:99999"}}, "CloudApi.Address"),
        ({"Advice": "a..b:1"}, "Advice"),
        ({"Bounds": {"MoveS": float("inf")}}, "Bounds.MoveS"),
        ({"Bounds": {"StopMs": -1}}, "Bounds.StopMs"),
        ({"InternalPorts": [7000]}, "InternalPorts"),
        ({"InternalPorts": ["7000", 7015]}, "InternalPorts"),
        ({"InternalPorts": [7000, 70_000]}, "InternalPorts"),
        ({"Limits": {"CpuShare": 0}}, "Limits"),
        ({"Limits": {"CpuShare": float("nan")}}, "Limits"),
    ],
    ids=lambda value: value if isinstance(value, str) else "",
)
def test_problem_names_its_field(change, field):
    with pytest.raises(SettingsError) as caught:
        decode_settings({**DOCUMENT, **change}, "node.json")
    assert caught.value.problems[0].field == field


@pytest.mark.parametrize(
    "content",
    [b"", b"{", b'{"Node": "\xff"}', b"[" * 100_000, b"[]", b"5"],
    ids=["empty", "cut off", "not UTF-8", "deep", "list", "number"],
)
def test_unreadable_file_is_a_settings_error(tmp_path, content):
    path = tmp_path / "node.json"
    path.write_bytes(content)
    with pytest.raises(SettingsError) as caught:
        load_settings({"SESAMEHALL_BOOT": str(path)})
    assert caught.value.problems
