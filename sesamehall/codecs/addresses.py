"""Texts that name a host and a port."""

PORT_DIGITS = 5  # of the highest port
PORT_MOST = 65_535


def is_address(value: str) -> bool:
    """Tell whether a text names a host and a port.

    Args:
      value: The text.
    Returns:
      True for "host:port" with a port that there can be.
    """
    host, colon, port = value.rpartition(":")
    if not host or not colon or not port.isdecimal():
        return False
    return len(port) <= PORT_DIGITS and int(port) <= PORT_MOST
