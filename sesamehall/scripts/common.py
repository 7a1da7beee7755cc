"""Functions shared by the entry points: load settings, run daemons."""

from collections.abc import Callable
import sys
from typing import Any

from sesamehall.codecs.yamlfile import Checks
from sesamehall.codecs.yamlfile import load_yaml
from sesamehall.core.codes import SettingsError
from sesamehall.scripts.problems import exit_with_problems


def load_or_exit(path: str, cls: type, checks: Checks) -> Any:
    """Load a file, or print its problems and exit with code 2.

    Args:
      path: Path of the file.
      cls: Data class of its content.
      checks: Checks beyond the types.
    Returns:
      The value.
    """
    try:
        return load_yaml(path, cls, checks)
    except SettingsError as error:
        exit_with_problems(error)


def run_daemon(program: Callable) -> None:
    """Run a daemon that has --settings as its only option.

    The argument parser is imported only if it is needed, since it takes 6 MB
    of the memory budget of a control node.

    Args:
      program: Runs the daemon with the path of a settings file.
    """
    match sys.argv[1:]:
        case ["--settings", path]:
            program(settings=path)
        case _:
            from defopt import run

            run(program)
