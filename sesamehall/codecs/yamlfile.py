"""Loading of YAML files into frozen data classes.

A file is accepted as a whole or rejected.  The problems of all fields are
reported together, with file, line and field.  A file that is not valid YAML
has one problem, the first error; and the check of the complete document runs
only if all its types are valid.
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

INVALID = object()  # placeholder for a value that has a problem


@dataclass(slots=True)
class ParseContext:
    """State of parsing one file.

    Attributes:
      file: Path of the file.
      lines_by_field_path: Line number of each field, starting at 1.
      problems: Problems found so far.
      checks_by_class: Check to run on each valid instance of a class.
    """

    file: str
    lines_by_field_path: dict[str, int] = field(default_factory=dict)
    problems: list[Problem] = field(default_factory=list)
    checks_by_class: dict[type, Callable] = field(default_factory=dict)

    def report(self, field_path: str, message: str, line: int = 0) -> Any:
        """Record a problem.

        Args:
          field_path: Dotted path of the field.
          message: What is wrong.
          line: Line of the field, or 0 to look it up.
        Returns:
          The placeholder for an invalid value.
        """
        line = line or self.line_of(field_path)
        source = Source(self.file, line)
        self.problems.append(Problem(source, field_path, message))
        return INVALID

    def line_of(self, field_path: str) -> int:
        """Return the line of a field, or of its closest known parent.

        Args:
          field_path: Dotted path of the field.
        Returns:
          The line number, starting at 1.
        """
        while field_path and field_path not in self.lines_by_field_path:
            field_path = field_path.rpartition(".")[0]
        return self.lines_by_field_path.get(field_path, 1)


DocumentCheck = Callable[[Any, ParseContext], None]


@dataclass(frozen=True, slots=True)
class Checks:
    """Checks of a file beyond the types of its values.

    Attributes:
      class_checks: For a class, the check of each of its instances whose types
        are valid; called with the instance, the dotted path of its field and
        the parse context.
      document_check: Check of the complete document; runs only if all types
        are valid.  Called with the value and the parse context.
      top_level_check: Check of the top-level fields, called with a namespace
        and the parse context; fields of invalid types are absent from the
        namespace.
    """

    class_checks: Mapping[type, Callable[[Any, str, ParseContext], None]]
    document_check: DocumentCheck | None = None
    top_level_check: DocumentCheck | None = None


NO_CHECKS = Checks({})


def load_yaml(path: str, cls: type, checks: Checks = NO_CHECKS) -> Any:
    """Load a YAML file into a data class.

    Args:
      path: Path of the file.
      cls: The data class.
      checks: Checks beyond the types.
    Returns:
      The value.
    Raises:
      SettingsError: The file cannot be read or is not valid.
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
    """Parse a YAML document into a data class.

    Args:
      path: Path of the file, for problem reports.
      text: The YAML document.
      cls: The data class.
      checks: Checks beyond the types.
    Returns:
      The value.
    Raises:
      SettingsError: The document is not valid.
    """
    context = ParseContext(path, checks_by_class=dict(checks.class_checks))
    try:
        node = compose(text, SafeLoader)
    except YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = 1 if mark is None else mark.line + 1
        context.report("", f"invalid YAML: {error}".replace("\n", " "), line)
        raise SettingsError(context.problems) from error
    except RecursionError as error:
        context.report("", "nesting too deep", 1)
        raise SettingsError(context.problems) from error
    if node is None:
        context.report("", "the file is empty")
        raise SettingsError(context.problems)
    valid_fields: dict[str, Any] = {}
    value = _convert_node(context, node, cls, "", valid_fields)
    if checks.top_level_check is not None:
        checks.top_level_check(SimpleNamespace(**valid_fields), context)
    if value is not INVALID and checks.document_check is not None:
        checks.document_check(value, context)
    if context.problems:
        ordered = sorted(context.problems, key=_sort_key)
        raise SettingsError(ordered)
    return value


def _sort_key(problem: Problem) -> tuple[int, str]:
    return problem.source.line, problem.field


def _convert_node(
    context: ParseContext,
    node: YamlNode,
    hint: Any,
    field_path: str,
    valid_fields: dict[str, Any] | None = None,
) -> Any:
    """Convert a node to a type.

    Args:
      context: State of parsing the file.
      node: The node.
      hint: The type.
      field_path: Dotted path of the field, "" for the document.
      valid_fields: If the type is a data class, its fields with valid types
        are added to this dictionary, also when others are not valid.
    Returns:
      The value, or the placeholder for an invalid value.
    """
    context.lines_by_field_path[field_path] = node.start_mark.line + 1
    if get_origin(hint) is tuple:
        return _convert_sequence(context, node, get_args(hint)[0], field_path)
    if is_dataclass(hint):
        valid_fields = {} if valid_fields is None else valid_fields
        return _convert_mapping(context, node, hint, field_path, valid_fields)
    allowed_types = get_args(hint) or (hint,)
    return _convert_scalar(context, node, allowed_types, field_path)


def _convert_sequence(context, node, hint, field_path):
    if not isinstance(node, SequenceNode):
        return context.report(field_path, "must be a list")
    items = tuple(
        _convert_node(context, item, hint, f"{field_path}.{index}")
        for index, item in enumerate(node.value)
    )
    return INVALID if INVALID in items else items


def _convert_mapping(context, node, cls, field_path, valid_fields):
    """Convert a mapping to a data class and add its fields to valid_fields."""
    if not isinstance(node, MappingNode):
        return context.report(field_path, "must be a mapping")
    nodes_by_field = _index_nodes(context, node, cls, field_path)
    hints = get_type_hints(cls)
    is_valid = True
    for spec in fields(cls):
        child_path = _join_path(field_path, spec.name)
        value = spec.default
        if spec.name in nodes_by_field:
            node = nodes_by_field[spec.name]
            value = _convert_node(context, node, hints[spec.name], child_path)
        elif value is MISSING:
            value = context.report(child_path, "is missing")
        if value is INVALID:
            is_valid = False
        else:
            valid_fields[spec.name] = value
    if not is_valid:
        return INVALID
    built = cls(**valid_fields)
    if cls in context.checks_by_class:
        context.checks_by_class[cls](built, field_path, context)
    return built


def _index_nodes(context, node, cls, field_path):
    """Index a mapping by key; report unknown and duplicate keys."""
    known = {spec.name for spec in fields(cls)}
    nodes_by_field = {}
    for key_node, value_node in node.value:
        key = key_node.value if isinstance(key_node, ScalarNode) else "?"
        child_path = _join_path(field_path, key)
        line = key_node.start_mark.line + 1
        if key not in known:
            context.report(child_path, "is not a known field", line)
        elif key in nodes_by_field:
            context.report(child_path, "is a duplicate field", line)
        else:
            nodes_by_field[key] = value_node
    return nodes_by_field


def _convert_scalar(context, node, allowed_types, field_path):
    """Convert a string, integer, boolean, enum value or null."""
    expected = " or ".join(
        _describe(allowed_type) for allowed_type in allowed_types
    )
    if not isinstance(node, ScalarNode):
        return context.report(field_path, f"must be {expected}")
    try:
        value = SafeLoader("").construct_object(node)
    except (ConstructorError, ValueError):
        return context.report(field_path, f"must be {expected}")
    for allowed_type in allowed_types:
        if isinstance(allowed_type, type) and issubclass(allowed_type, Enum):
            if value in [member.value for member in allowed_type]:
                return allowed_type(value)
        elif type(value) is allowed_type:
            return value
    return context.report(
        field_path, f"must be {expected}, not {node.value!r}"
    )


def _describe(allowed_type):
    """Describe a type of a scalar for a problem report."""
    if issubclass(allowed_type, Enum):
        return "one of " + ", ".join(member.value for member in allowed_type)
    names = {
        str: "a string",
        int: "an integer",
        bool: "true or false",
        NoneType: "empty",
    }
    return names[allowed_type]


def _join_path(parent_path, field_name):
    return f"{parent_path}.{field_name}" if parent_path else field_name
