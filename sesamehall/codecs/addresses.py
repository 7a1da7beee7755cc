"""Validation of network addresses."""

MAX_PORT_DIGITS = 5  # bounds the text before it is converted to a number
MAX_PORT = 65_535


def is_address(value: str) -> bool:
    """Check whether a string is a host and port.

    Args:
      value: The string to check.
    Returns:
      True for "host:port" with a port up to 65535.
    """
    host, colon, port = value.rpartition(":")
    if not host or not colon or not port.isdecimal():
        return False
    return len(port) <= MAX_PORT_DIGITS and int(port) <= MAX_PORT
