"""Serialization of the core types to msgpack, with type-checked decoding.

A data class is encoded as an extension value that holds its class name and its
fields in order.  Missing trailing fields take their defaults and extra fields
are rejected, so two adjacent format versions may differ only by trailing
fields that have defaults.
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

EXT_DATA_CLASS = 1
EXT_MAPPING = 2
EXT_ENUM = 3
MAX_DEPTH = 16  # well above the nesting of any core type


def pack(value: Any) -> bytes:
    """Serialize a value made of core types.

    Args:
      value: Data classes, enums, maps, tuples and scalars.
    Returns:
      The msgpack bytes.
    """
    return msgpack.packb(value, default=_pack_extension, strict_types=True)


def unpack(data: bytes, classes: dict[str, type], expected: Any) -> Any:
    """Deserialize a value and check it against a type.

    Args:
      data: Untrusted bytes.
      classes: Classes that the value may contain, by name.
      expected: Type hint that the value must match.
    Returns:
      The value.
    Raises:
      DecodeError: The bytes are not an encoded value of this type.
    """
    try:
        value = _unpack(data, classes, 0)
    except DecodeError:
        raise
    except (ValueError, TypeError, KeyError, RecursionError) as error:
        raise DecodeError(f"malformed value: {error}") from error
    if not conforms(value, expected):
        raise DecodeError(f"expected {expected}, got {type(value).__name__}")
    return value


def classes_of(*modules) -> dict[str, type]:
    """Collect the data classes and enums that modules define.

    Args:
      *modules: Modules to search.
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
    """Check recursively whether a value matches a type hint.

    Args:
      value: The value to check.
      hint: A type hint of a kind that the core types use.
    Returns:
      True if the value and all values nested in it match.
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
    """Check a homogeneous tuple or a tuple of fixed length."""
    if len(hints) == 2 and hints[1] is Ellipsis:
        return all(conforms(item, hints[0]) for item in value)
    return len(value) == len(hints) and all(map(conforms, value, hints))


def _fields_conform(value):
    if not is_dataclass(value):
        return True
    return all(
        conforms(getattr(value, name), hint)
        for name, hint in _field_types(type(value)).items()
    )


@cache
def _field_types(cls):
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


def _pack_extension(value):
    """Encode types that msgpack does not support natively."""
    if isinstance(value, tuple):
        return list(value)
    if isinstance(value, Map):
        return msgpack.ExtType(EXT_MAPPING, pack(dict(sorted(value.items()))))
    if isinstance(value, Enum):
        tagged = [type(value).__name__, value.value]
        return msgpack.ExtType(EXT_ENUM, pack(tagged))
    if is_dataclass(value):
        cls = type(value)
        items = [cls.__name__]
        items += [getattr(value, name) for name in _field_names(cls)]
        return msgpack.ExtType(EXT_DATA_CLASS, pack(items))
    raise TypeError(f"cannot pack {type(value).__name__}")


def _unpack(data, classes, depth):
    if depth > MAX_DEPTH:
        raise DecodeError("nesting too deep")

    def unpack_extension(code, payload):
        items = _unpack(bytes(payload), classes, depth + 1)
        return _build_extension(code, items, classes)

    return msgpack.unpackb(
        data, ext_hook=unpack_extension, use_list=False, strict_map_key=True
    )


def _build_extension(code, items, classes):
    """Build the value of an extension type from its decoded items."""
    if code == EXT_MAPPING:
        return Map(items)
    name, *values = items
    cls = classes.get(name)
    if cls is None:
        raise DecodeError(f"unknown class {name}")
    if code == EXT_ENUM:
        return cls(*values)
    if code != EXT_DATA_CLASS or not is_dataclass(cls):
        raise DecodeError(f"unknown extension type {code}")
    if not _required_count(cls) <= len(values) <= len(_field_names(cls)):
        raise DecodeError(f"{name} does not have {len(values)} fields")
    return cls(*values)
