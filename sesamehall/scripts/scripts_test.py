"""Tests of the entry points: help, exit codes, problems on standard error."""

import json
import os
import subprocess
import sys

import pytest


def run(program, *arguments, **environment):
    """Run a program with no other settings in its environment."""
    module = f"sesamehall.scripts.{program}"
    inherited = {
        name: value
        for name, value in os.environ.items()
        if name != "SESAMEHALL_BOOT"
    }
    return subprocess.run(
        [sys.executable, "-m", module, *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        env={**inherited, **environment},
    )


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        (["entry", "--help"], ["--settings", "SIGTERM"]),
        (["steward", "--help"], ["--settings", "SIGTERM"]),
        (["manager", "--help"], ["SESAMEHALL_BOOT", "SIGTERM"]),
        (["operator", "--help"], ["publish", "give-key", "in-force"]),
        (["operator", "publish", "--help"], ["--plans", "--based-on"]),
    ],
)
def test_help_mentions_options_and_commands(arguments, expected):
    result = run(*arguments)
    assert result.returncode == 0
    assert all(word in result.stdout for word in expected)


@pytest.mark.parametrize(
    ("arguments", "text", "problems"),
    [
        (["entry", "--settings"], "name: a\nhttp: x\n", 3),
        (["steward", "--settings"], "name: [a]\nplatform: h:1\n", 3),
        (["operator", "check", "--plans"], "plans: 1\npools: 2\n", 2),
        (
            ["operator", "check", "--limits"],
            "limits:\n- {team: a, share: 0, ceiling: 0}\n",
            2,
        ),
        (["operator", "show", "--settings"], "platform: nowhere\n", 1),
    ],
)
def test_problems_are_printed_with_exit_code_2(
    tmp_path, arguments, text, problems
):
    path = tmp_path / "input.yaml"
    path.write_text(text)
    result = run(*arguments, str(path))
    assert result.returncode == 2
    lines = result.stderr.splitlines()
    assert len(lines) == problems
    assert all(line.startswith(f"{path}:") for line in lines)


ROUTE = {"Name": "r", "Host": "h", "PathPrefix": "/r/", "Service": "a"}
MANIFEST = {
    "Version": 2,
    "Routes": [ROUTE],
    "Services": [{"Name": "a"}],
    "Tenants": [{"Name": "t", "Weight": 2, "ApiKeys": ["secret"]}],
}


@pytest.mark.parametrize(
    ("change", "code", "lines"),
    [
        ({}, 0, ["no problems"]),
        (
            {"Routes": [ROUTE | {"Service": "b"}]},
            1,
            [":8: Routes.0.Service: queue r", ":13: Services.0.Name: pool a"],
        ),
        (
            {"Tenants": [{"Name": "t", "ApiKeys": ["k"], "Weight": 0}]},
            1,
            [":22: Tenants.0.Weight: the weight of team t"],
        ),
        (
            {"Tenants": [{"Name": 5}, 7]},
            2,
            [":17: Tenants.0", ":20: Tenants.1"],
        ),
        ({"Routes": 5}, 2, [":1: "]),
        ({"Version": "x"}, 2, [":1: "]),
    ],
    ids=[
        "valid",
        "pool that is not named",
        "weight",
        "two invalid entries",
        "no list",
        "version",
    ],
)
def test_check_of_a_manifest(tmp_path, change, code, lines):
    path = tmp_path / "manifest.json"
    path.write_text(json.dumps(MANIFEST | change, indent=1))
    result = run("operator", "check", "--manifest", str(path))
    assert result.returncode == code
    printed = (result.stdout + result.stderr).splitlines()
    assert len(printed) == len(lines)
    assert all(start in line for start, line in zip(lines, printed))
    assert "secret" not in result.stdout


@pytest.mark.parametrize(
    ("data", "code"),
    [(b"", 2), (b"\xff", 2), (b"[" * 5_000, 2), (b"{}", 2), (b"[1]", 2)],
)
def test_check_of_a_file_that_is_no_manifest(tmp_path, data, code):
    path = tmp_path / "manifest.json"
    path.write_bytes(data)
    result = run("operator", "check", "--manifest", str(path))
    assert result.returncode == code
    assert result.stderr.startswith(f"{path}:1: ")
    assert len(result.stderr.splitlines()) == 1


def test_check_shows_changes_and_findings_as_json(tmp_path):
    new = tmp_path / "new.json"
    new.write_text(json.dumps(MANIFEST | {"Version": 1, "Tenants": []}))
    old = tmp_path / "old.json"
    old.write_text(json.dumps(MANIFEST))
    files = ["--manifest", str(new), "--in-force", str(old)]
    result = run("operator", "check", *files, "--format", "json")
    assert result.returncode == 1
    rows = json.loads(result.stdout)
    assert [row["kind"] for row in rows] == ["finding"] * 2 + ["change"] * 2


def test_check_without_the_store_exits_with_code_3(tmp_path):
    path = tmp_path / "manifest.json"
    path.write_text(json.dumps(MANIFEST))
    arguments = ["--manifest", str(path), "--store", "127.0.0.1:1"]
    result = run("operator", "check", *arguments)
    assert result.returncode == 3
    assert "cannot be read" in result.stdout


def test_unreachable_log_exits_with_code_3(tmp_path):
    path = tmp_path / "operator.yaml"
    path.write_text("platform: 127.0.0.1:1\ntimeout_s: 1\n")
    result = run("operator", "show", "--settings", str(path))
    assert result.returncode == 3
    assert "cannot be read" in result.stderr


MANAGER_SETTINGS = {
    "Node": "edge-1",
    "Zone": "dc-a",
    "Ip": "127.0.0.1",
    "Listen": {"Front": "192.0.2.1:8340", "Ready": "192.0.2.1:8343"},
    "platform": {"Address": "127.0.0.1:1"},
}


@pytest.mark.parametrize(
    ("text", "named"),
    [
        (None, "SESAMEHALL_BOOT"),
        ("{", "node.json"),
        (json.dumps({**MANAGER_SETTINGS, "Node": 5}), "Node"),
        (json.dumps({**MANAGER_SETTINGS, "platform": {}}), "platform.Address"),
        (json.dumps(MANAGER_SETTINGS).replace("8340", "0"), "Listen.Front"),
        # Addresses of no interface of this machine.
        (json.dumps(MANAGER_SETTINGS), "Listen"),
    ],
    ids=["missing", "not JSON", "type", "no address", "port", "unusable"],
)
def test_manager_names_the_setting_and_exits_with_code_2(
    tmp_path, text, named
):
    environment = {}
    if text is not None:
        path = tmp_path / "node.json"
        path.write_text(text)
        environment = {"SESAMEHALL_BOOT": str(path)}
    result = run("manager", **environment)
    assert result.returncode == 2
    (line,) = result.stderr.splitlines()
    assert named in line


def test_unknown_option_of_the_manager_exits_with_code_2():
    assert run("manager", "--unknown").returncode == 2
