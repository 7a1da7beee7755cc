"""What the entry points share: settings or a list of their problems."""

from collections.abc import Callable
import sys
from typing import Any

from sesamehall.codecs.yamlfile import Checks
from sesamehall.codecs.yamlfile import load_yaml
from sesamehall.core.codes import SettingsError
from sesamehall.scripts.problems import exit_with_problems


def load_or_exit(path: str, cls: type, checks: Checks) -> Any:
    """Read a file, or list its problems and end with code 2.

    Args:
      path: Name of the file.
      cls: Data class of its content.
      checks: What is checked beyond the types.
    Returns:
      The value.
    """
    try:
        return load_yaml(path, cls, checks)
    except SettingsError as error:
        exit_with_problems(error)


def run_daemon(program: Callable) -> None:
    """Run a daemon whose only option names its settings.

    The parser with the help texts is loaded only where it is needed: it
    takes 6 MB of the memory that a node may spend on control.

    Args:
      program: Function of the settings file.
    """
    match sys.argv[1:]:
        case ["--settings", path]:
            program(settings=path)
        case _:
            from defopt import run

            run(program)
