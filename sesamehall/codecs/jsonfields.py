"""Bounded decoding of the fields of JSON documents that others write.

Other programs write these documents, so any field may be missing, have the
wrong type or hold an extreme value.  Every function raises DecodeError for a
value that the rest of the system could not compute with or store.
"""

from collections.abc import Callable
import json

from sesamehall.core.codes import DecodeError

MAX_DEPTH = 200  # nested lists and objects; the parser takes some 900
MAX_INTEGER = 2**53 - 1  # every JSON implementation represents it exactly
MAX_NAME_BYTES = 200  # prefix and name must fit into a key of 255 bytes
MAX_TEXT_BYTES = 16_384  # opaque texts; a job's command has up to 4,000
MAX_REASON_CHARS = 200  # of an error message that quotes a document
AS_LIST = bytes.maketrans(b"{}", b"[]")
NO_BRACKETS = bytes(set(range(256)) - set(b"[]{}"))


def decode_object(data: bytes) -> dict:
    """Decode a JSON object.

    Args:
      data: Any bytes.
    Returns:
      The object.
    Raises:
      DecodeError: The bytes are not a JSON object, or it is nested too deeply.
    """
    _check_depth(data)
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise DecodeError(f"not JSON: {_shorten(error)}") from error
    if not isinstance(value, dict):
        raise DecodeError("not a JSON object")
    return value


def _check_depth(data: bytes) -> None:
    """Reject deep nesting before it reaches the recursive parser.

    Each round removes the innermost level of brackets.
    """
    if data.count(b"[") + data.count(b"{") <= MAX_DEPTH:
        return
    brackets = _without_strings(data).translate(AS_LIST, NO_BRACKETS)
    for _ in range(MAX_DEPTH):
        if not brackets:
            return
        brackets = brackets.replace(b"[]", b"")
    if brackets:
        raise DecodeError("nested too deeply, or not JSON")


def _without_strings(data: bytes) -> bytes:
    """Remove the strings of a JSON text, in time linear in its length.

    A string that is not closed extends to the end.
    """
    # Escaped backslashes go first: what follows a pair is not escaped.
    unescaped = data.replace(b"\\\\", b"").replace(b'\\"', b"")
    return b"".join(unescaped.split(b'"')[::2])


def decode_text(
    document: dict,
    name: str,
    default: str | None = None,
    max_bytes: int = MAX_NAME_BYTES,
) -> str:
    """Return a text field that can be stored.

    Args:
      document: The JSON object.
      name: Name of the field.
      default: Value of a missing or null field, or None if it is required.
      max_bytes: Maximum length, encoded.
    Returns:
      The text.
    Raises:
      DecodeError: The field is missing, not a string, too long, or contains
        characters that cannot be encoded.
    """
    value = document.get(name)
    if value is None and default is not None:
        return default
    return check_text(name, value, max_bytes)


def check_text(name: str, value, max_bytes: int = MAX_NAME_BYTES) -> str:
    """Check that a value is a text that can be stored.

    Args:
      name: Name of the field, for the error message.
      value: Any value.
      max_bytes: Maximum length, encoded.
    Returns:
      The text.
    Raises:
      DecodeError: The value is not such a text.
    """
    if type(value) is not str:
        raise DecodeError(f"{name} has type {type(value).__name__}")
    if value.isascii() and len(value) <= max_bytes:
        return value
    try:
        length = len(value.encode())
    except UnicodeEncodeError as error:
        raise DecodeError(f"{name} contains a lone surrogate") from error
    if length > max_bytes:
        raise DecodeError(f"{name} is longer than {max_bytes} bytes")
    return value


def decode_integer(
    document: dict,
    name: str,
    default: int | None = None,
    minimum: int = 0,
    maximum: int = MAX_INTEGER,
) -> int:
    """Return an integer field.

    Args:
      document: The JSON object.
      name: Name of the field.
      default: Value of a missing or null field, or None if it is required.
      minimum: Smallest valid value.
      maximum: Greatest valid value.
    Returns:
      The integer.
    Raises:
      DecodeError: The field is missing, not an integer or out of range.
    """
    value = document.get(name)
    if value is None and default is not None:
        return default
    return check_integer(name, value, minimum, maximum)


def check_integer(
    name: str, value, minimum: int = 0, maximum: int = MAX_INTEGER
) -> int:
    """Check that a value is an integer within a range.

    Args:
      name: Name of the field, for the error message.
      value: Any value; a boolean is not an integer.
      minimum: Smallest valid value.
      maximum: Greatest valid value.
    Returns:
      The integer.
    Raises:
      DecodeError: The value is not such an integer.
    """
    if type(value) is not int:
        raise DecodeError(f"{name} has type {type(value).__name__}")
    if not minimum <= value <= maximum:
        raise DecodeError(f"{name} is out of range")
    return value


def decode_number(document: dict, name: str, default: float) -> float:
    """Return a field that holds a number of at least 0.

    Args:
      document: The JSON object.
      name: Name of the field.
      default: Value of a missing or null field.
    Returns:
      The number, at most MAX_INTEGER.
    Raises:
      DecodeError: The field is not a number or out of range.
    """
    value = document.get(name)
    return default if value is None else check_number(name, value)


def check_number(name: str, value) -> float:
    """Check that a value is a number from 0 to MAX_INTEGER.

    Args:
      name: Name of the field, for the error message.
      value: Any value; a boolean is not a number.
    Returns:
      The number.
    Raises:
      DecodeError: The value is not such a number; the JSON parser accepts
        infinity and NaN.
    """
    if type(value) not in (int, float):
        raise DecodeError(f"{name} has type {type(value).__name__}")
    if not 0 <= value <= MAX_INTEGER:  # false for NaN
        raise DecodeError(f"{name} is out of range")
    return float(value)


def decode_boolean(
    document: dict, name: str, default: bool | None = None
) -> bool:
    """Return a Boolean field.

    Args:
      document: The JSON object.
      name: Name of the field.
      default: Value of a missing or null field, or None if it is required.
    Returns:
      The value.
    Raises:
      DecodeError: The field is missing or has another type.
    """
    return _decode_typed(document, name, bool, default)


def decode_nested(
    document: dict, name: str, default: dict | None = None
) -> dict:
    """Return a field that holds an object.

    Args:
      document: The JSON object.
      name: Name of the field.
      default: Value of a missing or null field, or None if it is required.
    Returns:
      The nested object.
    Raises:
      DecodeError: The field is missing or has another type.
    """
    return _decode_typed(document, name, dict, default)


def decode_rows(document: dict, name: str) -> list:
    """Return a list field, which is empty if it is missing or null.

    Args:
      document: The JSON object.
      name: Name of the field.
    Returns:
      The list; its items may be anything.
    Raises:
      DecodeError: The field has another type.
    """
    return _decode_typed(document, name, list, [])


def decode_list(document: dict, name: str, decode: Callable) -> tuple:
    """Decode a list of objects.

    Args:
      document: The JSON object that contains the list.
      name: Name of the list; a missing list counts as empty.
      decode: Decodes one object.
    Returns:
      The decoded objects.
    Raises:
      DecodeError: The field or one of the objects is not valid.
    """
    rows = decode_rows(document, name)
    if not all(isinstance(row, dict) for row in rows):
        raise DecodeError(f"{name} must contain only objects")
    return tuple(map(decode, rows))


def decode_texts(document: dict, name: str) -> tuple[str, ...]:
    """Decode a list of names.

    Args:
      document: The JSON object that contains the list.
      name: Name of the list; a missing list counts as empty.
    Returns:
      The names.
    Raises:
      DecodeError: The field or one of the names is not valid.
    """
    return tuple(
        check_text(name, item) for item in decode_rows(document, name)
    )


def _decode_typed(document, name, field_type, default):
    """Return a field of one type, required if it has no default."""
    value = document.get(name)
    if value is None and default is not None:
        return default
    if type(value) is not field_type:
        raise DecodeError(f"{name} has type {type(value).__name__}")
    return value


def _shorten(error: Exception) -> str:
    return str(error)[:MAX_REASON_CHARS]
