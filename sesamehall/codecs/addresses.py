"""Validation of network addresses."""

import re

MAX_PORT = 65_535
MAX_HOST_CHARS = 253  # limit of the name service; longer names fail to resolve
# Labels as the resolver accepts them, in ASCII only.
HOST = re.compile(r"[A-Za-z0-9_-]{1,63}(\.[A-Za-z0-9_-]{1,63})*")
PORT = re.compile(r"[0-9]{1,5}")


def is_address(value: str) -> bool:
    """Check whether a string is a host and port that can be connected to.

    Args:
      value: The string to check.
    Returns:
      True for "host:port" with a valid host and a port from 1 to 65535.
    """
    host, _, port = value.rpartition(":")
    if len(host) > MAX_HOST_CHARS or not HOST.fullmatch(host):
        return False
    return bool(PORT.fullmatch(port)) and 1 <= int(port) <= MAX_PORT
