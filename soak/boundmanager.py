"""Run a manager whose connections come from an address of its own.

The address is the first argument, so that proxies can tell managers apart.
The module is run by its path: the manager may be one of another work tree.
"""

import runpy
import socket
import sys

# The port is chosen when the socket connects (IP_BIND_ADDRESS_NO_PORT).
BIND_WITHOUT_PORT = 24


def bind_connections(ip: str) -> None:
    """Let all later connections of this process come from an address.

    Args:
      ip: The address, on the loopback interface.
    """
    connect = socket.socket.connect

    def connect_bound(self, address):
        if self.family == socket.AF_INET and not self.getsockname()[1]:
            self.setsockopt(socket.IPPROTO_IP, BIND_WITHOUT_PORT, 1)
            self.bind((ip, 0))
        return connect(self, address)

    socket.socket.connect = connect_bound


if __name__ == "__main__":
    bind_connections(sys.argv.pop(1))
    runpy.run_module("sesamehall.scripts.manager", run_name="__main__")
