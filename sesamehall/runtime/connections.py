"""Target connections that detect bytes received beyond a response.

The HTTP library reads a response through its own buffer and discards what is
left in it.  A connection that received more bytes than the response must not
be reused, since the rest could be taken for the response to the next request.
"""

from http.client import HTTPResponse
from io import BufferedReader
from io import RawIOBase

from urllib3.connection import HTTPConnection
from urllib3.util.wait import wait_for_read


class CountingRawStream(RawIOBase):
    """Counts the bytes received from a socket.

    Attributes:
      count: Bytes received so far.
    """

    def __init__(self, raw: RawIOBase):
        """Wrap a socket's raw stream.

        Args:
          raw: The stream; closing this object closes it.
        """
        super().__init__()
        self.count = 0
        self._raw = raw

    def readable(self):
        """Return True: the stream is readable."""
        return True

    def readinto(self, buffer):
        """Read and count available bytes."""
        size = self._raw.readinto(buffer)
        self.count += size or 0
        return size

    def close(self):
        """Close the stream."""
        self._raw.close()
        super().close()


class CountingReader(BufferedReader):
    """Counts the bytes read from its buffer.

    Attributes:
      raw_stream: The underlying counting stream.
      consumed: Bytes read so far.
    """

    def __init__(self, raw: RawIOBase):
        """Create a reader with an empty buffer.

        Args:
          raw: A socket's raw stream.
        """
        self.raw_stream = CountingRawStream(raw)
        self.consumed = 0
        super().__init__(self.raw_stream)

    def read(self, *args):
        """Read and count bytes."""
        data = super().read(*args)
        self.consumed += len(data)
        return data

    def read1(self, *args):
        """Read and count bytes."""
        data = super().read1(*args)
        self.consumed += len(data)
        return data

    def readinto(self, buffer):
        """Read and count bytes."""
        size = super().readinto(buffer)
        self.consumed += size or 0
        return size

    def readline(self, *args):
        """Read a line and count its bytes."""
        data = super().readline(*args)
        self.consumed += len(data)
        return data


class CountingResponse(HTTPResponse):
    """A response that is read through a counting reader."""

    def __init__(self, sock, *args, **kwargs):
        """Create the response of a connection.

        Args:
          sock: The connection's socket.
          *args: Positional arguments of HTTPResponse.
          **kwargs: Keyword arguments of HTTPResponse.
        """
        super().__init__(sock, *args, **kwargs)
        self.fp = CountingReader(self.fp.detach())


class TargetConnection(HTTPConnection):
    """A connection to a target that tracks whether it can be reused."""

    def __init__(self, host: str, port: int, timeout: float):
        """Create the connection; `connect` opens it.

        Args:
          host: The target's host.
          port: The target's port.
          timeout: Connect timeout in seconds.
        """
        super().__init__(host, port, timeout=timeout)
        self._reader: CountingReader | None = None
        self.response_class = self._create_response

    def is_reusable(self) -> bool:
        """Check that it is open and received nothing after the last response.

        Returns:
          False if the connection must not be reused.
        """
        if self.sock is None or wait_for_read(self.sock, timeout=0):
            return False
        reader = self._reader
        return reader is None or reader.raw_stream.count == reader.consumed

    def _create_response(self, sock, *args, **kwargs):
        response = CountingResponse(sock, *args, **kwargs)
        self._reader = response.fp
        return response
