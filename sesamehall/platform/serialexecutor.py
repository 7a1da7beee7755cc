"""A thread that runs calls one after the other."""

from collections.abc import Callable
import logging
from queue import SimpleQueue

from sesamehall.runtime.application import start_daemon_thread

LOGGER = logging.getLogger("sesamehall")


class SerialExecutor:
    """Runs calls in one thread, in the order of submission."""

    def __init__(self, name: str):
        """Start the thread.

        Args:
          name: Name of the thread.
        """
        self._calls: SimpleQueue[Callable[[], None] | None] = SimpleQueue()
        start_daemon_thread(self._run, name)

    def submit(self, call: Callable[[], None]) -> None:
        """Queue a call.

        Args:
          call: The function to call; an exception is only logged.
        """
        self._calls.put(call)

    def close(self) -> None:
        """End the thread after the calls that are already queued."""
        self._calls.put(None)

    def _run(self):
        while True:
            call = self._calls.get()
            if call is None:
                return
            try:
                call()
            except Exception:
                LOGGER.exception("call failed")
