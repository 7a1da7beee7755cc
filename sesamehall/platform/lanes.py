"""Threads that carry out calls one after the other."""

from collections.abc import Callable
import logging
from queue import SimpleQueue

from sesamehall.runtime.application import start_daemon_thread

LOGGER = logging.getLogger("sesamehall")


class Lane:
    """A thread that carries out what it is given, in order."""

    def __init__(self, name: str):
        """Begin the thread.

        Args:
          name: Name of the thread.
        """
        self._tasks: SimpleQueue[Callable[[], None] | None] = SimpleQueue()
        start_daemon_thread(self._run, name)

    def put(self, task: Callable[[], None]) -> None:
        """Hand in a call.

        Args:
          task: What to do; it must not raise.
        """
        self._tasks.put(task)

    def close(self) -> None:
        """End the thread after what it was given before."""
        self._tasks.put(None)

    def _run(self):
        while True:
            task = self._tasks.get()
            if task is None:
                return
            try:
                task()
            except Exception:
                LOGGER.exception("call failed")
