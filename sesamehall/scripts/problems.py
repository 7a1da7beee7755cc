"""Printing of the problems of an input file, for all programs."""

import sys
from typing import NoReturn

from sesamehall.core.codes import SettingsError
from sesamehall.core.data import Problem

EXIT_BAD_INPUT = 2


def describe(problem: Problem) -> str:
    """Format a problem as one line.

    Args:
      problem: The problem.
    Returns:
      "file:line: field message".
    """
    source = problem.source
    name = f"{problem.field} " if problem.field else ""
    return f"{source.file}:{source.line}: {name}{problem.message}"


def exit_with_problems(error: SettingsError) -> NoReturn:
    """Print the problems of an input file and exit with code 2.

    Args:
      error: Contains the problems.
    """
    for problem in error.problems:
        print(describe(problem), file=sys.stderr)
    raise SystemExit(EXIT_BAD_INPUT) from error
