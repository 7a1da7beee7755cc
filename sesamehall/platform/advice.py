"""The platform's advice service: on which workers a step may run."""

from collections.abc import Callable

from sesamehall.core.codes import DecodeError
from sesamehall.core.codes import PlatformError
from sesamehall.core.events import Event
from sesamehall.core.managereffects import RequestAdvice
from sesamehall.core.managerevents import AdviceGiven
from sesamehall.core.managerevents import AdviceNotGiven
from sesamehall.platform.decoding import decode_tickets
from sesamehall.platform.decoding import field
from sesamehall.platform.http import HttpClient
from sesamehall.platform.serialexecutor import SerialExecutor
from sesamehall.runtime.interpreter import now_ms

ANSWER_TIMEOUT_S = 5.0  # the service thinks for each worker, calls wait


class AdviceGate:
    """Asks the advice service, one call after the other."""

    def __init__(self, address: str, post: Callable[[Event], None]):
        """Begin the thread; it connects on its first call.

        Args:
          address: "host:port" of the service, or "" where there is none.
          post: Takes the events.
        """
        self._client = HttpClient(address, 1) if address else None
        self._post = post
        self._lane = SerialExecutor("advice")

    def ask(self, effect: RequestAdvice) -> None:
        """Ask about a step; the answer comes as an event.

        Args:
          effect: What to ask.
        """
        self._lane.submit(lambda: self._ask(effect))

    def _ask(self, effect):
        asked_ms = now_ms()
        content = {"Step": effect.step, "Workers": list(effect.worker_ids)}
        try:
            if self._client is None:
                raise PlatformError("the settings name no advice service")
            answer = self._client.call_json(
                "POST", "/advise", content, None, ANSWER_TIMEOUT_S
            )
            if answer.status != 200:
                raise PlatformError(f"status {answer.status}")
            document = answer.json()
            tickets = decode_tickets(field(document, "Good", list, []))
            valid_ms = field(document, "ValidMs", int)
        except (PlatformError, DecodeError) as error:
            self._post(AdviceNotGiven(now_ms(), effect.step, str(error)))
            return
        self._post(
            AdviceGiven(
                at_ms=now_ms(),
                sent_ms=asked_ms,
                step=effect.step,
                worker_ids=effect.worker_ids,
                tickets=tickets,
                valid_ms=valid_ms,
            )
        )
