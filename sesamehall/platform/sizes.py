"""Decoding of amounts of resources, which several documents contain."""

from sesamehall.codecs.jsonfields import decode_integer
from sesamehall.codecs.jsonfields import MAX_INTEGER
from sesamehall.core.work import Size

UNBOUNDED = Size(MAX_INTEGER, MAX_INTEGER, MAX_INTEGER)


def decode_size(document: dict, maximum: Size = UNBOUNDED) -> Size:
    """Decode an amount of resources.

    Args:
      document: The JSON object; missing fields count as 0.
      maximum: Greatest valid amounts.
    Returns:
      The size.
    Raises:
      DecodeError: A field has another type or is out of range.
    """
    return Size(
        cpu_milli=decode_integer(
            document, "Cpu", 0, maximum=maximum.cpu_milli
        ),
        memory_mb=decode_integer(
            document, "MemMb", 0, maximum=maximum.memory_mb
        ),
        accelerators=decode_integer(
            document, "Gpu", 0, maximum=maximum.accelerators
        ),
    )
