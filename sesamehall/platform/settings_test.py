"""Tests of the number of cores in the settings."""

import pytest

from sesamehall.core.codes import SettingsError
from sesamehall.core.jobtiming import LEADER_CORES
from sesamehall.platform.settings import decode_settings

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
