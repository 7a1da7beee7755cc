"""Fast copies of frozen data classes with some fields changed.

Equivalent to `dataclasses.replace` for classes without init-only fields, but
faster: decisions spend most of their time on copies.  The classes that
decisions change most often keep their fields in a dictionary instead of
slots, since a whole dictionary is copied at once.
"""

from dataclasses import fields
from functools import cache
from operator import attrgetter
from typing import TypeVar

Value = TypeVar("Value")


def replace(value: Value, **changes) -> Value:
    """Copy a data class with some fields changed.

    Args:
      value: A data class with at least two fields.
      **changes: New values by field name.
    Returns:
      The copy.
    Raises:
      KeyError: A name is not a field of the class.
    """
    cls = type(value)
    try:
        content = value.__dict__
    except AttributeError:
        return _replace_slots(cls, value, changes)
    copy = object.__new__(cls)
    copied = copy.__dict__
    copied.update(content)
    copied.update(changes)
    if len(copied) != len(content):
        raise KeyError(*(changes.keys() - content.keys()))
    return copy


def _replace_slots(cls, value, changes):
    """Copy a class with slots, field by field."""
    read_all, index_by_name = _layout(cls)
    values = list(read_all(value))
    for name, changed in changes.items():
        values[index_by_name[name]] = changed
    return cls(*values)


@cache
def _layout(cls):
    names = tuple(field.name for field in fields(cls))
    index_by_name = {name: index for index, name in enumerate(names)}
    return attrgetter(*names), index_by_name
