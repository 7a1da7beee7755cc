"""Packing of the core types into msgpack, and checked unpacking.

A data class becomes an extension value that holds its name and its fields in
order.  Fields missing at the end take their defaults, and extra ones are
refused, so that two adjacent formats may differ by fields with defaults.
"""

from dataclasses import fields
from dataclasses import is_dataclass
from dataclasses import MISSING
from enum import Enum
from functools import cache
from types import NoneType
from types import UnionType
from typing import Any
from typing import get_args
from typing import get_origin
from typing import get_type_hints
from typing import Union

from immutables import Map
import msgpack

from sesamehall.core.codes import DecodeError

DATA_CLASS = 1
MAPPING = 2
ENUM = 3
MOST_DEPTH = 16  # deeper nesting is refused; no type of ours comes near


def pack(value: Any) -> bytes:
    """Pack a value made of core types.

    Args:
      value: Data classes, enums, maps, tuples and plain values.
    Returns:
      The msgpack bytes.
    """
    return msgpack.packb(value, default=_pack_special, strict_types=True)


def unpack(data: bytes, classes: dict[str, type], expected: Any) -> Any:
    """Unpack a value and check it against its type.

    Args:
      data: Bytes from outside, of any content.
      classes: Classes that may occur, by name.
      expected: Type that the value must have.
    Returns:
      The value.
    Raises:
      DecodeError: The bytes do not form a value of the type.
    """
    try:
        value = _unpack(data, classes, 0)
    except DecodeError:
        raise
    except (ValueError, TypeError, KeyError, RecursionError) as error:
        raise DecodeError(f"not a packed value: {error}") from error
    if not conforms(value, expected):
        raise DecodeError(f"not a {expected}: {type(value).__name__}")
    return value


def classes_of(*modules) -> dict[str, type]:
    """Collect the classes of modules that may be unpacked.

    Args:
      *modules: Modules that declare data classes and enums.
    Returns:
      The classes by name.
    """
    return {
        name: value
        for module in modules
        for name, value in vars(module).items()
        if isinstance(value, type)
        and (is_dataclass(value) or issubclass(value, Enum))
    }


def conforms(value: Any, hint: Any) -> bool:
    """Tell whether a value has a type, with everything inside it.

    Args:
      value: Any value.
      hint: A type hint of the kinds that the core types use.
    Returns:
      True when it has.
    """
    origin = get_origin(hint)
    if origin in (Union, UnionType):
        return any(conforms(value, choice) for choice in get_args(hint))
    if origin is tuple:
        return type(value) is tuple and _items_conform(value, get_args(hint))
    if origin is Map:
        key_hint, value_hint = get_args(hint)
        return isinstance(value, Map) and all(
            conforms(k, key_hint) and conforms(v, value_hint)
            for k, v in value.items()
        )
    if hint is None or hint is NoneType:
        return value is None
    return type(value) is hint and _fields_conform(value)


def _items_conform(value, hints):
    """Check a tuple of like items, or one of a fixed length."""
    if len(hints) == 2 and hints[1] is Ellipsis:
        return all(conforms(item, hints[0]) for item in value)
    return len(value) == len(hints) and all(map(conforms, value, hints))


def _fields_conform(value):
    if not is_dataclass(value):
        return True
    return all(
        conforms(getattr(value, name), hint)
        for name, hint in _hints(type(value)).items()
    )


@cache
def _hints(cls):
    return get_type_hints(cls)


@cache
def _field_names(cls):
    return tuple(field.name for field in fields(cls))


@cache
def _required_count(cls):
    return sum(
        field.default is MISSING and field.default_factory is MISSING
        for field in fields(cls)
    )


def _pack_special(value):
    """Pack what msgpack itself does not know."""
    if isinstance(value, tuple):
        return list(value)
    if isinstance(value, Map):
        return msgpack.ExtType(MAPPING, pack(dict(sorted(value.items()))))
    if isinstance(value, Enum):
        named = [type(value).__name__, value.value]
        return msgpack.ExtType(ENUM, pack(named))
    if is_dataclass(value):
        cls = type(value)
        items = [cls.__name__]
        items += [getattr(value, name) for name in _field_names(cls)]
        return msgpack.ExtType(DATA_CLASS, pack(items))
    raise TypeError(f"cannot pack {type(value).__name__}")


def _unpack(data, classes, depth):
    if depth > MOST_DEPTH:
        raise DecodeError("nested too deep")

    def unpack_special(code, payload):
        items = _unpack(bytes(payload), classes, depth + 1)
        return _build(code, items, classes)

    return msgpack.unpackb(
        data, ext_hook=unpack_special, use_list=False, strict_map_key=True
    )


def _build(code, items, classes):
    """Build a special value from its unpacked parts."""
    if code == MAPPING:
        return Map(items)
    name, *values = items
    cls = classes.get(name)
    if cls is None:
        raise DecodeError(f"unknown type {name}")
    if code == ENUM:
        return cls(*values)
    if code != DATA_CLASS or not is_dataclass(cls):
        raise DecodeError(f"unknown extension {code}")
    if not _required_count(cls) <= len(values) <= len(_field_names(cls)):
        raise DecodeError(f"{name} with {len(values)} fields")
    return cls(*values)
