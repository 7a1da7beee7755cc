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
