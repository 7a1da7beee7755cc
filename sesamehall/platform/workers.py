"""Workers as the leader meets them: watched, and given orders."""

from collections.abc import Callable
from concurrent.futures import Executor
from concurrent.futures import ThreadPoolExecutor

from sesamehall.core.codes import DecodeError
from sesamehall.core.codes import PlatformError
from sesamehall.core.events import Event
from sesamehall.core.managereffects import ForgetWorker
from sesamehall.core.managereffects import StartRun
from sesamehall.core.managereffects import StopRun
from sesamehall.core.managereffects import ThrottleRun
from sesamehall.core.managereffects import WatchWorker
from sesamehall.core.managerevents import OrderRefusal
from sesamehall.core.managerevents import OrderTiming
from sesamehall.core.managerevents import RunAnswered
from sesamehall.core.managerevents import StopAnswered
from sesamehall.core.managerevents import WorkerNotReported
from sesamehall.core.managerevents import WorkerReported
from sesamehall.platform.decoding import decode_active_runs
from sesamehall.platform.decoding import decode_ended_runs
from sesamehall.platform.http import HttpClient
from sesamehall.platform.httpconnection import HttpResponse
from sesamehall.platform.serialexecutor import SerialExecutor
from sesamehall.runtime.interpreter import now_ms

LIFE_HEADER = "Target-Instance"
WATCH_TIMEOUT_S = 0.8  # a worker that answers later counts as silent
ORDER_TIMEOUT_S = 0.5  # an order without an answer is sent again after this
ORDERS_AT_ONCE = 32  # those without an answer must not hold up the others
CONNECTIONS = 16  # to one worker that are kept; a round fills it at once
REFUSAL_BY_REASON = {
    "fence": OrderRefusal.FENCED,
    "old": OrderRefusal.OLD_RUN,
    "late": OrderRefusal.TOO_LATE,
    "room": OrderRefusal.NO_ROOM,
    "ticket": OrderRefusal.NO_TICKET,
}


class WorkerLine:
    """The connections and the watching thread of one worker."""

    def __init__(
        self,
        worker_id: str,
        address: str,
        post: Callable[[Event], None],
        executor: Executor,
    ):
        """Prepare the line.

        Args:
          worker_id: Identifier of the worker.
          address: "host:port" of its HTTP interface.
          post: Takes the events.
          executor: Threads that give orders, for all workers.
        """
        self.address = address
        self._client = HttpClient(address, CONNECTIONS)
        self._headers = {LIFE_HEADER: worker_id}
        self._post = post
        self._watching = SerialExecutor(f"watch {worker_id}")
        self._executor = executor

    def watch(self, effect: WatchWorker) -> None:
        """Ask for the lists of runs.

        Args:
          effect: What to ask.
        """
        self._watching.submit(lambda: self._watch(effect))

    def order(self, effect: StartRun | StopRun | ThrottleRun) -> None:
        """Give an order; a later one does not wait for its answer.

        Args:
          effect: The order.
        """
        self._executor.submit(self._order, effect, now_ms())

    def close(self) -> None:
        """End the thread and close the connections."""
        self._watching.close()
        self._client.close()

    def _call(
        self, path: str, content: dict, timeout_s: float
    ) -> HttpResponse:
        return self._client.call_json(
            "POST", path, content, self._headers, timeout_s
        )

    def _watch(self, effect: WatchWorker) -> None:
        content = {
            "FencingToken": effect.epoch,
            "AckCursor": effect.acknowledged,
        }
        if effect.lease_until_ms >= 0:
            content["DeadlineMs"] = effect.lease_until_ms
        if effect.wait_ms:
            content["WaitMs"] = effect.wait_ms
        asked_ms = now_ms()
        timeout_s = effect.wait_ms / 1_000 + WATCH_TIMEOUT_S
        try:
            answer = self._call("/hold", content, timeout_s)
            refusal = _refusal(answer)
            if refusal is None:
                self._post(_decode_report(effect, asked_ms, answer))
                return
        except (PlatformError, DecodeError, KeyError):
            refusal = OrderRefusal.SILENT
        self._post(
            WorkerNotReported(
                now_ms(), effect.worker_id, effect.epoch, refusal
            )
        )

    def _order(
        self, effect: StartRun | StopRun | ThrottleRun, given_ms: int
    ) -> None:
        timing = OrderTiming(given_ms, sent_ms=now_ms())
        refusal, clock_ms = self._send_order(effect, timing.sent_ms)
        names = (effect.worker_id, effect.epoch, effect.task, effect.number)
        match effect:
            case StartRun():
                self._post(
                    RunAnswered(now_ms(), *names, refusal, clock_ms, timing)
                )
            case StopRun():
                self._post(StopAnswered(now_ms(), *names, refusal, timing))
            case ThrottleRun():
                pass  # the next report shows the pace that is kept

    def _send_order(self, effect, at_ms):
        """Send an order that is not void yet; read refusal and clock."""
        match effect:
            case StartRun(not_after_ms=not_after_ms) if at_ms >= not_after_ms:
                return OrderRefusal.NOT_SENT, -1
        path, content = _encode_order(effect)
        try:
            answer = self._call(path, content, ORDER_TIMEOUT_S)
            return _refusal(answer), decode_clock_ms(answer)
        except PlatformError:
            return OrderRefusal.SILENT, -1


class WorkerLines:
    """The lines to all workers, made when first needed."""

    def __init__(self, post: Callable[[Event], None]):
        """Prepare them.

        Args:
          post: Takes the events.
        """
        self._post = post
        self._executor = ThreadPoolExecutor(ORDERS_AT_ONCE, "order")
        self._lines_by_id: dict[str, WorkerLine] = {}

    def watch(self, effect: WatchWorker) -> None:
        """Ask a worker for its lists of runs.

        Args:
          effect: What to ask.
        """
        self._line(effect).watch(effect)

    def order(self, effect: StartRun | StopRun | ThrottleRun) -> None:
        """Give a worker an order.

        Args:
          effect: The order.
        """
        self._line(effect).order(effect)

    def forget(self, effect: ForgetWorker) -> None:
        """Close the line to a worker.

        Args:
          effect: Names the worker.
        """
        line = self._lines_by_id.pop(effect.worker_id, None)
        if line is not None:
            line.close()

    def _line(self, effect):
        line = self._lines_by_id.get(effect.worker_id)
        if line is not None and line.address == effect.address:
            return line
        if line is not None:
            line.close()
        line = WorkerLine(
            effect.worker_id, effect.address, self._post, self._executor
        )
        self._lines_by_id[effect.worker_id] = line
        return line


def _encode_order(effect) -> tuple[str, dict]:
    """Encode an order as a path and a JSON object."""
    content = {
        "Task": effect.task,
        "RunId": effect.number,
        "FencingToken": effect.epoch,
    }
    match effect:
        case StartRun():
            content["Spec"] = effect.command
            content["DeadlineMs"] = effect.lease_until_ms
            if effect.checkpoint:
                content["Checkpoint"] = effect.checkpoint
            if effect.ticket:
                content["Ticket"] = effect.ticket
            return "/run-start", content
        case StopRun():
            return "/run-stop", content
    content["Percent"] = effect.percent
    return "/pace", content


def _refusal(answer: HttpResponse) -> OrderRefusal | None:
    """Tell why a worker did not do what it was told, if it did not."""
    match answer.status:
        case 200:
            return None
        case 409:
            reason = answer.json().get("Reason")
            return REFUSAL_BY_REASON.get(reason, OrderRefusal.MALFORMED)
        case 421:
            return OrderRefusal.OTHER_INCARNATION
        case 429 | 503:
            return OrderRefusal.UNHEALTHY
    return OrderRefusal.MALFORMED


def decode_clock_ms(answer: HttpResponse) -> int:
    """Read the worker's clock from its answer to an order.

    Args:
      answer: The answer.
    Returns:
      The clock, or -1 where the answer names none.
    """
    if answer.status != 200:
        return -1
    try:
        clock_ms = answer.json().get("ClockMs")
    except PlatformError:
        return -1
    return clock_ms if type(clock_ms) is int else -1


def _decode_report(effect, asked_ms, answer) -> WorkerReported:
    content = answer.json()
    born_ms = content.get("born")
    return WorkerReported(
        at_ms=now_ms(),
        sent_ms=asked_ms,
        worker_id=effect.worker_id,
        epoch=effect.epoch,
        clock_ms=content["ClockMs"],
        started_wall_ms=born_ms if type(born_ms) is int else 0,
        active=decode_active_runs(content.get("Active") or []),
        ended=decode_ended_runs(content.get("Finished") or []),
    )
