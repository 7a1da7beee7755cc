"""The steward's client for workers: starts, renews and stops tasks."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
import json

from urllib3 import PoolManager
from urllib3 import Timeout
from urllib3.exceptions import HTTPError

from sesamehall.codecs.jsonfields import decode_boolean
from sesamehall.codecs.jsonfields import decode_object
from sesamehall.codecs.jsonfields import decode_text
from sesamehall.codecs.jsonfields import MAX_TEXT_BYTES
from sesamehall.core.effects import RunTask
from sesamehall.core.effects import StopTask
from sesamehall.core.events import Event
from sesamehall.core.events import TaskEnded
from sesamehall.core.events import TaskOutcome
from sesamehall.core.events import TaskRunning
from sesamehall.core.events import TaskSilent
from sesamehall.core.events import TaskUnknown
from sesamehall.core.events import WorkerAnswered
from sesamehall.runtime.guarding import perform_and_post
from sesamehall.runtime.interpreter import now_ms

MAX_CONCURRENT_CALLS = 4
TIMEOUT = Timeout(connect=1, read=2)


class WorkerEffectHandler:
    """Performs a steward's effects on workers."""

    def __init__(self, post_event: Callable[[Event], None]):
        """Create the thread pool; threads start with the first call.

        Args:
          post_event: Queues an event for the interpreter.
        """
        self._post_event = post_event
        self._pool = PoolManager(retries=False, timeout=TIMEOUT)
        self._executor = ThreadPoolExecutor(MAX_CONCURRENT_CALLS, "workers")

    def perform(self, effect: RunTask | StopTask) -> None:
        """Perform an effect in a thread of the pool.

        Args:
          effect: The task to start, renew or stop.
        """
        self._executor.submit(
            perform_and_post, self._call, effect, self._post_event
        )

    def stop(self) -> None:
        """Cancel the calls that have not started."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _call(self, effect: RunTask | StopTask) -> Event:
        try:
            outcome = self._send(effect)
        except (HTTPError, OSError) as error:
            outcome = TaskSilent(type(error).__name__)
        return WorkerAnswered(now_ms(), effect.job_id, outcome)

    def _send(self, effect: RunTask | StopTask) -> TaskOutcome:
        url = f"http://{effect.address}/tasks/{effect.job_id}"
        match effect:
            case RunTask():
                document = {
                    "epoch": effect.epoch,
                    "lease_ms": effect.lease_ms,
                    "boot": effect.boot,
                    "command": effect.command,
                }
                response = self._pool.request(
                    "PUT", url, body=json.dumps(document).encode()
                )
            case StopTask():
                fields = {"epoch": str(effect.epoch)}
                response = self._pool.request("DELETE", url, fields=fields)
        if response.status == 404:
            return TaskUnknown()
        if response.status != 200:
            return TaskSilent(f"status {response.status}")
        return decode_outcome(decode_object(response.data))


def decode_outcome(document: dict) -> TaskOutcome:
    """Decode what a worker says of a task that it knows.

    Args:
      document: The JSON object.
    Returns:
      The outcome.
    Raises:
      DecodeError: The document does not say whether the task runs.
    """
    if decode_text(document, "phase") == "running":
        return TaskRunning()
    return TaskEnded(
        decode_boolean(document, "succeeded"),
        decode_text(document, "detail", max_bytes=MAX_TEXT_BYTES),
    )
