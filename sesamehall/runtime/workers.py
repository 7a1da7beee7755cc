"""Workers as a steward meets them: start, renew and stop tasks by HTTP."""

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

THREADS = 4  # calls to workers under way at once
TIMEOUT = Timeout(connect=1, read=2)


class WorkerLink:
    """Carries out a steward's effects on workers."""

    def __init__(self, post: Callable[[Event], None]):
        """Prepare the threads; they begin with the first call.

        Args:
          post: Takes the events.
        """
        self._post = post
        self._pool = PoolManager(retries=False, timeout=TIMEOUT)
        self._threads = ThreadPoolExecutor(THREADS, "workers")

    def perform(self, effect: RunTask | StopTask) -> None:
        """Carry out an effect in a thread.

        Args:
          effect: The call.
        """
        self._threads.submit(self._call, effect)

    def stop(self) -> None:
        """Drop the calls that have not begun."""
        self._threads.shutdown(wait=False, cancel_futures=True)

    def _call(self, effect: RunTask | StopTask) -> None:
        try:
            outcome = self._exchange(effect)
        except (HTTPError, OSError, ValueError, KeyError) as error:
            outcome = TaskSilent(type(error).__name__)
        self._post(WorkerAnswered(now_ms(), effect.job_id, outcome))

    def _exchange(self, effect: RunTask | StopTask) -> TaskOutcome:
        url = f"http://{effect.address}/tasks/{effect.job_id}"
        match effect:
            case RunTask():
                wish = {
                    "epoch": effect.epoch,
                    "lease_ms": effect.lease_ms,
                    "boot": effect.boot,
                    "command": effect.command,
                }
                response = self._pool.request(
                    "PUT", url, body=json.dumps(wish).encode()
                )
            case StopTask():
                fields = {"epoch": str(effect.epoch)}
                response = self._pool.request("DELETE", url, fields=fields)
        if response.status == 404:
            return TaskUnknown()
        if response.status != 200:
            return TaskSilent(f"status {response.status}")
        return _read_outcome(json.loads(response.data))


def _read_outcome(answer: dict) -> TaskOutcome:
    if answer["phase"] == "running":
        return TaskRunning()
    return TaskEnded(bool(answer["succeeded"]), str(answer["detail"]))
