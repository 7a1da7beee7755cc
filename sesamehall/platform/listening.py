"""Sockets that listen before the rest of the program is loaded.

Loading takes half a second; callers that come meanwhile wait in the queue of
a socket instead of being refused.
"""

from collections.abc import Mapping
from dataclasses import dataclass
import json
from socket import create_server
from socket import socket

SETTINGS_VARIABLE = "SESAMEHALL_BOOT"
BACKLOG = 128  # connections that wait to be accepted


@dataclass(frozen=True, slots=True)
class Listeners:
    """Sockets that listen.

    Attributes:
      front: For callers.
      ready: For the balancer.
    """

    front: socket
    ready: socket


def open_listeners(environment: Mapping[str, str]) -> Listeners | None:
    """Listen on the addresses that the settings name.

    Args:
      environment: Variables of the process.
    Returns:
      The sockets; None where the settings are not valid, which is reported
      once they are loaded whole.
    """
    try:
        with open(environment[SETTINGS_VARIABLE], encoding="utf-8") as file:
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
      The socket.
    Raises:
      OSError: The address cannot be listened on.
    """
    host, _, port = address.rpartition(":")
    return create_server((host, int(port)), backlog=BACKLOG)
