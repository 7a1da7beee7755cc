"""Listening sockets that are opened before the rest of the program is loaded.

Loading takes half a second.  Connections of callers wait in a socket's backlog
meanwhile instead of being refused.
"""

from collections.abc import Mapping
from dataclasses import dataclass
import json
from socket import create_server
from socket import socket

SETTINGS_PATH_VARIABLE = "SESAMEHALL_BOOT"
LISTEN_BACKLOG = 128  # connections waiting to be accepted


@dataclass(frozen=True, slots=True)
class Listeners:
    """Listening sockets.

    Attributes:
      front_socket: For callers.
      readiness_socket: For the load balancer's health check.
    """

    front_socket: socket
    readiness_socket: socket


def open_listeners(environment: Mapping[str, str]) -> Listeners | None:
    """Listen on the addresses in the settings file.

    Args:
      environment: Environment variables of the process.
    Returns:
      The sockets, or None if the settings are not valid; loading all of them
      later reports the reason.
    """
    try:
        with open(
            environment[SETTINGS_PATH_VARIABLE], encoding="utf-8"
        ) as file:
            addresses = json.load(file)["Listen"]
        return Listeners(
            listen(addresses["Front"]), listen(addresses["Ready"])
        )
    except (OSError, ValueError, KeyError, TypeError):
        return None


def listen(address: str) -> socket:
    """Listen on an address.

    Args:
      address: "host:port".
    Returns:
      The listening socket.
    Raises:
      OSError: Listening on the address failed.
    """
    host, _, port = address.rpartition(":")
    return create_server((host, int(port)), backlog=LISTEN_BACKLOG)
