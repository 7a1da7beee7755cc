"""Event scheduler of the simulations, with a simulated clock."""

from collections.abc import Callable
import heapq


class EventScheduler:
    """A scheduler whose clock advances only from one action to the next.

    Attributes:
      now_ms: Simulated time in milliseconds.
    """

    def __init__(self):
        """Start at time 0 with an empty queue."""
        self.now_ms = 0
        self._planned: list = []
        self._serial = 0

    def call_later(
        self, delay_ms: float, action: Callable, *arguments
    ) -> None:
        """Schedule an action; equal times run in the order of the calls.

        Args:
          delay_ms: Delay from now; a negative one counts as 0.
          action: Function to call.
          *arguments: Its arguments.
        """
        self._serial += 1
        due_ms = self.now_ms + max(int(delay_ms), 0)
        planned = (due_ms, self._serial, action, arguments)
        heapq.heappush(self._planned, planned)

    def run(self, for_ms: int) -> None:
        """Run the actions that fall due within a period, in order of time.

        Args:
          for_ms: Length of the period, by which the clock advances.
        """
        ends_ms = self.now_ms + for_ms
        while self._planned and self._planned[0][0] <= ends_ms:
            self.now_ms, _, action, arguments = heapq.heappop(self._planned)
            action(*arguments)
        self.now_ms = ends_ms
