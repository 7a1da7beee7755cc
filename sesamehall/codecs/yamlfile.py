"""Structuring of YAML files into frozen data classes.

Nothing is taken half: every problem of a file is found in one reading, and
each names the file, the line and the field.
"""

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from dataclasses import fields
from dataclasses import is_dataclass
from dataclasses import MISSING
from enum import Enum
from types import NoneType
from types import SimpleNamespace
from typing import Any
from typing import get_args
from typing import get_origin
from typing import get_type_hints

from yaml import compose
from yaml import MappingNode
from yaml import Node as YamlNode
from yaml import SafeLoader
from yaml import ScalarNode
from yaml import SequenceNode
from yaml import YAMLError
from yaml.constructor import ConstructorError

from sesamehall.core.codes import SettingsError
from sesamehall.core.data import Problem
from sesamehall.core.data import Source

BAD = object()  # stands for a value that has a problem


@dataclass(slots=True)
class Reading:
    """One reading of a file.

    Attributes:
      file: Name of the file.
      lines_by_field: Line of every field, counted from 1.
      problems: Problems found so far.
      checks_by_class: Checks of single values, as soon as they are whole.
    """

    file: str
    lines_by_field: dict[str, int] = field(default_factory=dict)
    problems: list[Problem] = field(default_factory=list)
    checks_by_class: dict[type, Callable] = field(default_factory=dict)

    def report(self, name: str, message: str, line: int = 0) -> Any:
        """Note a problem.

        Args:
          name: Dotted name of the field.
          message: What is wrong.
          line: Line of the field, 0 to look it up.
        Returns:
          The mark of a bad value.
        """
        line = line or self.line_of(name)
        source = Source(self.file, line)
        self.problems.append(Problem(source, name, message))
        return BAD

    def line_of(self, name: str) -> int:
        """Find the line of a field, or of what encloses it.

        Args:
          name: Dotted name of the field.
        Returns:
          The line, counted from 1.
        """
        while name and name not in self.lines_by_field:
            name = name.rpartition(".")[0]
        return self.lines_by_field.get(name, 1)


Check = Callable[[Any, Reading], None]


@dataclass(frozen=True, slots=True)
class Checks:
    """What is checked of a file beyond the types of its values.

    Attributes:
      by_class: Checks of single values: function of the value, the dotted
        name of its field, and the reading.
      whole: Check of the whole value, when all its types are right.
      fields: Check of the top level's fields; those that are wrong are
        missing from the value it gets.
    """

    by_class: Mapping[type, Callable[[Any, str, Reading], None]]
    whole: Check | None = None
    fields: Check | None = None


NO_CHECKS = Checks({})


def load_yaml(path: str, cls: type, checks: Checks = NO_CHECKS) -> Any:
    """Read a YAML file into a data class.

    Args:
      path: Name of the file.
      cls: The data class.
      checks: What is checked beyond the types.
    Returns:
      The value.
    Raises:
      SettingsError: The file is unreadable or has problems.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        problem = Problem(Source(path, 0), "", f"cannot be read: {error}")
        raise SettingsError((problem,)) from error
    return parse_yaml(path, text, cls, checks)


def parse_yaml(
    path: str, text: str, cls: type, checks: Checks = NO_CHECKS
) -> Any:
    """Structure a YAML text into a data class.

    Args:
      path: Name of the file, for the problems.
      text: The YAML text.
      cls: The data class.
      checks: What is checked beyond the types.
    Returns:
      The value.
    Raises:
      SettingsError: The text has problems.
    """
    reading = Reading(path, checks_by_class=dict(checks.by_class))
    try:
        node = compose(text, SafeLoader)
    except YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = 1 if mark is None else mark.line + 1
        reading.report("", f"not YAML: {error}".replace("\n", " "), line)
        raise SettingsError(reading.problems) from error
    except RecursionError as error:
        reading.report("", "nested too deep", 1)
        raise SettingsError(reading.problems) from error
    if node is None:
        reading.report("", "the file is empty")
        raise SettingsError(reading.problems)
    fields_by_name: dict[str, Any] = {}
    value = _structure(reading, node, cls, "", fields_by_name)
    if checks.fields is not None:
        checks.fields(SimpleNamespace(**fields_by_name), reading)
    if value is not BAD and checks.whole is not None:
        checks.whole(value, reading)
    if reading.problems:
        in_order = sorted(reading.problems, key=_by_line)
        raise SettingsError(in_order)
    return value


def _by_line(problem: Problem) -> tuple[int, str]:
    return problem.source.line, problem.field


def _structure(
    reading: Reading,
    node: YamlNode,
    hint: Any,
    name: str,
    good: dict[str, Any] | None = None,
) -> Any:
    """Structure one node as its hint says; note a class's good fields."""
    reading.lines_by_field[name] = node.start_mark.line + 1
    if get_origin(hint) is tuple:
        return _structure_tuple(reading, node, get_args(hint)[0], name)
    if is_dataclass(hint):
        good = {} if good is None else good
        return _structure_class(reading, node, hint, name, good)
    options = get_args(hint) or (hint,)
    return _structure_scalar(reading, node, options, name)


def _structure_tuple(reading, node, hint, name):
    if not isinstance(node, SequenceNode):
        return reading.report(name, "must be a list")
    items = tuple(
        _structure(reading, item, hint, f"{name}.{index}")
        for index, item in enumerate(node.value)
    )
    return BAD if BAD in items else items


def _structure_class(reading, node, cls, name, good):
    if not isinstance(node, MappingNode):
        return reading.report(name, "must be a mapping")
    nodes_by_field = _nodes_by_field(reading, node, cls, name)
    hints = get_type_hints(cls)
    whole = True
    for member in fields(cls):
        inner = _join(name, member.name)
        value = member.default
        if member.name in nodes_by_field:
            node = nodes_by_field[member.name]
            value = _structure(reading, node, hints[member.name], inner)
        elif value is MISSING:
            value = reading.report(inner, "is missing")
        if value is BAD:
            whole = False
        else:
            good[member.name] = value
    if not whole:
        return BAD
    built = cls(**good)
    if cls in reading.checks_by_class:
        reading.checks_by_class[cls](built, name, reading)
    return built


def _nodes_by_field(reading, node, cls, name):
    """Index a mapping; unknown and repeated keys are problems."""
    known = {member.name for member in fields(cls)}
    nodes_by_field = {}
    for key_node, value_node in node.value:
        key = key_node.value if isinstance(key_node, ScalarNode) else "?"
        inner = _join(name, key)
        line = key_node.start_mark.line + 1
        if key not in known:
            reading.report(inner, "is not a known field", line)
        elif key in nodes_by_field:
            reading.report(inner, "stands twice", line)
        else:
            nodes_by_field[key] = value_node
    return nodes_by_field


def _structure_scalar(reading, node, options, name):
    """Structure a text, number, truth value, choice or nothing."""
    wanted = " or ".join(_describe(option) for option in options)
    if not isinstance(node, ScalarNode):
        return reading.report(name, f"must be {wanted}")
    try:
        value = SafeLoader("").construct_object(node)
    except (ConstructorError, ValueError):
        return reading.report(name, f"must be {wanted}")
    for option in options:
        if isinstance(option, type) and issubclass(option, Enum):
            if value in [choice.value for choice in option]:
                return option(value)
        elif type(value) is option:
            return value
    return reading.report(name, f"must be {wanted}, not {node.value!r}")


def _describe(option):
    if issubclass(option, Enum):
        return "one of " + ", ".join(choice.value for choice in option)
    names = {
        str: "a text",
        int: "a whole number",
        bool: "true or false",
        NoneType: "empty",
    }
    return names[option]


def _join(name, inner):
    return f"{name}.{inner}" if name else inner
