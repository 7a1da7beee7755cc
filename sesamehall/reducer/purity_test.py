"""Test that decisions reach no clock, random source, socket or thread."""

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
LEVELS_ONLY = {"core/logevents.py": {"logging"}}
MODULES = sorted(
    path
    for folder in ("core", "reducer")
    for path in (ROOT / folder).rglob("*.py")
    if not path.name.endswith("_test.py")
)


def imported(path):
    """List the modules that a module imports."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom):
            yield node.module
        elif isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
def test_imports_are_pure(path):
    allowed = ALLOWED | LEVELS_ONLY.get(
        path.relative_to(ROOT).as_posix(), set()
    )
    for name in imported(path):
        ours = name.startswith(("sesamehall.core", "sesamehall.reducer"))
        assert ours or name in allowed, name


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
def test_classes_are_frozen(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ClassDef):
            continue
        bases = {base.id for base in node.bases if hasattr(base, "id")}
        if bases & {"Enum", "Exception", "SesamehallError"}:
            continue
        marks = " ".join(ast.unparse(mark) for mark in node.decorator_list)
        assert "frozen=True" in marks, node.name
