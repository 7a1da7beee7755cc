"""Problems of an input, as every program prints them."""

import sys
from typing import NoReturn

from sesamehall.core.codes import SettingsError
from sesamehall.core.data import Problem

EXIT_BAD_INPUT = 2


def describe(problem: Problem) -> str:
    """Write a problem as one line.

    Args:
      problem: The problem.
    Returns:
      "file:line: field message".
    """
    source = problem.source
    name = f"{problem.field} " if problem.field else ""
    return f"{source.file}:{source.line}: {name}{problem.message}"


def exit_with_problems(error: SettingsError) -> NoReturn:
    """List the problems of an input, and end with code 2.

    Args:
      error: Holds the problems.
    """
    for problem in error.problems:
        print(describe(problem), file=sys.stderr)
    raise SystemExit(EXIT_BAD_INPUT) from error
