"""Connections to targets that know whether an answer was all that came.

The library reads answers through a buffer of its own and drops what is left
in it; a connection on which more than the answer arrived must not be used
again, since the rest could pass for the answer to the next request.
"""

from http.client import HTTPResponse
from io import BufferedReader
from io import RawIOBase

from urllib3.connection import HTTPConnection
from urllib3.util.wait import wait_for_read


class CountingRaw(RawIOBase):
    """Counts the bytes that arrive from a socket.

    Attributes:
      count: Bytes so far.
    """

    def __init__(self, raw: RawIOBase):
        """Take over a socket's raw stream.

        Args:
          raw: The stream; it is closed with this one.
        """
        super().__init__()
        self.count = 0
        self._raw = raw

    def readable(self):
        """Tell that it can be read."""
        return True

    def readinto(self, buffer):
        """Read what has arrived, and count it."""
        size = self._raw.readinto(buffer)
        self.count += size or 0
        return size

    def close(self):
        """Close the stream."""
        self._raw.close()
        super().close()


class CountingReader(BufferedReader):
    """Counts the bytes that are taken out of its buffer.

    Attributes:
      arrived: The counting stream under it.
      taken: Bytes so far.
    """

    def __init__(self, raw: RawIOBase):
        """Begin with an empty buffer.

        Args:
          raw: A socket's raw stream.
        """
        self.arrived = CountingRaw(raw)
        self.taken = 0
        super().__init__(self.arrived)

    def read(self, *arguments):
        """Read bytes, and count them."""
        data = super().read(*arguments)
        self.taken += len(data)
        return data

    def read1(self, *arguments):
        """Read bytes, and count them."""
        data = super().read1(*arguments)
        self.taken += len(data)
        return data

    def readinto(self, buffer):
        """Read bytes, and count them."""
        size = super().readinto(buffer)
        self.taken += size or 0
        return size

    def readline(self, *arguments):
        """Read a line, and count its bytes."""
        data = super().readline(*arguments)
        self.taken += len(data)
        return data


class CountingResponse(HTTPResponse):
    """An answer that is read through a counting reader."""

    def __init__(self, sock, *arguments, **options):
        """Begin to read an answer.

        Args:
          sock: The connection's socket.
          *arguments: As for the library's own class.
          **options: The same.
        """
        super().__init__(sock, *arguments, **options)
        self.fp = CountingReader(self.fp.detach())


class TargetConnection(HTTPConnection):
    """A connection to a target."""

    def __init__(self, host: str, port: int, timeout: float):
        """Prepare the connection; it connects on `connect`.

        Args:
          host: The target's host.
          port: The target's port.
          timeout: Seconds that connecting may take.
        """
        super().__init__(host, port, timeout=timeout)
        self._reader: CountingReader | None = None
        self.response_class = self._begin_response

    def is_quiet(self) -> bool:
        """Tell whether it is open and nothing came after the last answer.

        Returns:
          False for a connection that must not be used again.
        """
        if self.sock is None or wait_for_read(self.sock, timeout=0):
            return False
        reader = self._reader
        return reader is None or reader.arrived.count == reader.taken

    def _begin_response(self, sock, *arguments, **options):
        response = CountingResponse(sock, *arguments, **options)
        self._reader = response.fp
        return response
