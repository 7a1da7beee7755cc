"""Tests that core and reducer do no I/O and define only frozen classes.

A module that imports only the listed modules can reach no clock, random
source, socket or thread.
"""

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
ALLOWED = {
    "collections.abc",
    "dataclasses",
    "enum",
    "fractions",
    "functools",
    "hashlib",
    "heapq",
    "hmac",
    "immutables",
    "math",
    "operator",
    "typing",
}
EXTRA_ALLOWED = {"core/logevents.py": {"logging"}}  # for the log levels
MODULES = sorted(
    path
    for folder in ("core", "reducer")
    for path in (ROOT / folder).rglob("*.py")
    if not path.name.endswith("_test.py")
)


def imported_modules(path):
    """Yield the names of the modules that a module imports."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom):
            yield node.module
        elif isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
def test_imports_are_pure(path):
    allowed = ALLOWED | EXTRA_ALLOWED.get(
        path.relative_to(ROOT).as_posix(), set()
    )
    for name in imported_modules(path):
        is_internal = name.startswith(
            ("sesamehall.core", "sesamehall.reducer")
        )
        assert is_internal or name in allowed, name


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
def test_classes_are_frozen(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ClassDef):
            continue
        bases = {base.id for base in node.bases if hasattr(base, "id")}
        if bases & {"Enum", "Exception", "SesamehallError"}:
            continue
        decorators = " ".join(
            ast.unparse(decorator) for decorator in node.decorator_list
        )
        assert "frozen=True" in decorators, node.name
