"""Simulated time: a clock, and a list of what comes next."""

from collections.abc import Callable
import heapq


class Agenda:
    """A clock that only moves when what was planned is done.

    Attributes:
      now_ms: What the clock shows.
    """

    def __init__(self):
        """Begin at 0 with nothing planned."""
        self.now_ms = 0
        self._planned: list = []
        self._serial = 0

    def at(self, delay_ms: float, action: Callable, *arguments) -> None:
        """Plan an action.

        Args:
          delay_ms: How long from now.
          action: What to do.
          *arguments: Its arguments.
        """
        self._serial += 1
        due_ms = self.now_ms + max(int(delay_ms), 0)
        planned = (due_ms, self._serial, action, arguments)
        heapq.heappush(self._planned, planned)

    def run(self, for_ms: int) -> None:
        """Do what is planned, in the order of time.

        Args:
          for_ms: For how long.
        """
        ends_ms = self.now_ms + for_ms
        while self._planned and self._planned[0][0] <= ends_ms:
            self.now_ms, _, action, arguments = heapq.heappop(self._planned)
            action(*arguments)
        self.now_ms = ends_ms
