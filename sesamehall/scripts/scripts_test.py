"""Tests of the entry points: help, exit codes, problems on standard error."""

import subprocess
import sys

import pytest


def run(program, *arguments):
    module = f"sesamehall.scripts.{program}"
    return subprocess.run(
        [sys.executable, "-m", module, *arguments],
        capture_output=True,
        text=True,
        timeout=60,
    )


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        (["entry", "--help"], ["--settings", "SIGTERM"]),
        (["steward", "--help"], ["--settings", "SIGTERM"]),
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
