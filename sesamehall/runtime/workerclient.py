"""The steward's client for workers: starts, renews and stops tasks."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
import json

from urllib3 import PoolManager
from urllib3 import Timeout
from urllib3.exceptions import HTTPError

from sesamehall.core.effects import RunTask
from sesamehall.core.effects import StopTask
from sesamehall.core.events import Event
from sesamehall.core.events import TaskEnded
from sesamehall.core.events import TaskOutcome
from sesamehall.core.events import TaskRunning
from sesamehall.core.events import TaskSilent
from sesamehall.core.events import TaskUnknown
from sesamehall.core.events import WorkerAnswered
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
        self._executor.submit(self._call, effect)

    def stop(self) -> None:
        """Cancel the calls that have not started."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _call(self, effect: RunTask | StopTask) -> None:
        try:
            outcome = self._send(effect)
        except (HTTPError, OSError, ValueError, KeyError) as error:
            outcome = TaskSilent(type(error).__name__)
        self._post_event(WorkerAnswered(now_ms(), effect.job_id, outcome))

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
        return _decode_outcome(json.loads(response.data))


def _decode_outcome(document: dict) -> TaskOutcome:
    if document["phase"] == "running":
        return TaskRunning()
    return TaskEnded(bool(document["succeeded"]), str(document["detail"]))
