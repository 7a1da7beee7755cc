"""The manager's client for the advice service: workers that may run a step."""

from collections.abc import Callable

from sesamehall.codecs.jsonfields import decode_integer
from sesamehall.codecs.jsonfields import decode_rows
from sesamehall.core.codes import PlatformError
from sesamehall.core.events import Event
from sesamehall.core.managereffects import RequestAdvice
from sesamehall.core.managerevents import AdviceGiven
from sesamehall.platform.http import HttpClient
from sesamehall.platform.serialexecutor import SerialExecutor
from sesamehall.platform.workerdecoding import decode_tickets
from sesamehall.runtime.guarding import perform_and_post
from sesamehall.runtime.interpreter import now_ms

RESPONSE_TIMEOUT_S = 5.0  # it takes time for each worker, and requests queue


class AdviceEffectHandler:
    """Performs requests to the advice service, one at a time."""

    def __init__(self, address: str, post_event: Callable[[Event], None]):
        """Start the thread; it connects on the first request.

        Args:
          address: "host:port" of the service, or "" if there is none.
          post_event: Queues an event for the interpreter.
        """
        self._client = HttpClient(address, 1) if address else None
        self._post_event = post_event
        self._executor = SerialExecutor("advice")

    def request(self, effect: RequestAdvice) -> None:
        """Request advice for a step; the response is posted as an event.

        Args:
          effect: The step and the workers that the request names.
        """
        self._executor.submit(
            lambda: perform_and_post(self._request, effect, self._post_event)
        )

    def _request(self, effect: RequestAdvice) -> Event:
        sent_ms = now_ms()
        request_body = {
            "Step": effect.step,
            "Workers": list(effect.worker_ids),
        }
        if self._client is None:
            raise PlatformError("no advice service is configured")
        response = self._client.call_json(
            "POST", "/advise", request_body, None, RESPONSE_TIMEOUT_S
        )
        if response.status != 200:
            raise PlatformError(f"status {response.status}")
        document = response.json()
        return AdviceGiven(
            at_ms=now_ms(),
            sent_ms=sent_ms,
            step=effect.step,
            worker_ids=effect.worker_ids,
            tickets=decode_tickets(decode_rows(document, "Good")),
            valid_ms=decode_integer(document, "ValidMs"),
        )
