"""The manager's HTTP clients for workers: poll runs and send orders.

The workers' protocol names the paths and fields: /hold polls a worker and
renews its lease, /pace throttles a run, and "born" is the time at which a
worker started.
"""

from collections.abc import Callable
from concurrent.futures import Executor
from concurrent.futures import ThreadPoolExecutor

from sesamehall.core.codes import PlatformError
from sesamehall.core.events import Event
from sesamehall.core.managereffects import ForgetWorker
from sesamehall.core.managereffects import RevokeOrders
from sesamehall.core.managereffects import StartRun
from sesamehall.core.managereffects import StopRun
from sesamehall.core.managereffects import ThrottleRun
from sesamehall.core.managereffects import WatchWorker
from sesamehall.core.managerevents import OrderRefusal
from sesamehall.core.managerevents import OrderTiming
from sesamehall.core.managerevents import RunAnswered
from sesamehall.core.managerevents import StopAnswered
from sesamehall.core.managerevents import WorkerNotReported
from sesamehall.platform.httpconnection import HttpResponse
from sesamehall.platform.incarnationhttp import CallExpiredError
from sesamehall.platform.incarnationhttp import CallNotSentError
from sesamehall.platform.incarnationhttp import IncarnationClient
from sesamehall.platform.incarnationhttp import JsonRequest
from sesamehall.platform.orderfence import OrderFence
from sesamehall.platform.serialexecutor import SerialExecutor
from sesamehall.platform.workerresponses import decode_clock_ms
from sesamehall.platform.workerresponses import decode_refusal
from sesamehall.platform.workerresponses import decode_report
from sesamehall.platform.workerresponses import decode_start_ms
from sesamehall.runtime.guarding import perform_and_post
from sesamehall.runtime.interpreter import now_ms

TARGET_INSTANCE_HEADER = "Target-Instance"
WATCH_TIMEOUT_S = 0.8  # beyond the requested wait; then it counts as silent
ORDER_TIMEOUT_S = 0.5  # a start order without a response is resent after this
MAX_CONCURRENT_ORDERS = 32  # unanswered orders must not delay the others
MAX_IDLE_CONNECTIONS = 16  # per worker; a placement round sends it many orders


class WorkerClient:
    """Client for one worker: its connections and the thread that polls it.

    Attributes:
      address: "host:port" of the worker's HTTP interface.
    """

    def __init__(
        self,
        worker_id: str,
        address: str,
        post_event: Callable[[Event], None],
        order_executor: Executor,
        order_fence: OrderFence,
    ):
        """Create the client; it connects on its first call.

        Args:
          worker_id: Identifier of the worker.
          address: "host:port" of its HTTP interface.
          post_event: Queues an event for the interpreter.
          order_executor: Thread pool that sends the orders to all workers.
          order_fence: Tells which start orders must not be sent any more.
        """
        self.address = address
        self._client = IncarnationClient(
            address, MAX_IDLE_CONNECTIONS, decode_start_ms
        )
        self._headers = {TARGET_INSTANCE_HEADER: worker_id}
        self._post_event = post_event
        self._watch_executor = SerialExecutor(f"watch {worker_id}")
        self._order_executor = order_executor
        self._order_fence = order_fence

    def watch(self, effect: WatchWorker) -> None:
        """Request the worker's lists of runs; the result becomes an event.

        Args:
          effect: The request.
        """
        self._watch_executor.submit(
            lambda: perform_and_post(self._watch, effect, self._post_event)
        )

    def send_order(self, effect: StartRun | StopRun | ThrottleRun) -> None:
        """Send an order from a thread of the pool, without waiting for it.

        The response to a start or stop order becomes an event.

        Args:
          effect: The order.
        """
        issued_ms = now_ms()
        self._order_executor.submit(
            perform_and_post,
            lambda order: self._process_order(order, issued_ms),
            effect,
            self._post_event,
        )

    def close(self) -> None:
        """End the thread and close the connections."""
        self._watch_executor.close()
        self._client.close()

    def _request(
        self, path: str, document: dict, timeout_s: float
    ) -> JsonRequest:
        return JsonRequest(path, document, self._headers, timeout_s)

    def _handshake(self, epoch: int) -> JsonRequest:
        """Build a request for the lists of runs that changes nothing else."""
        document = {"FencingToken": epoch, "AckCursor": 0}
        return self._request("/hold", document, ORDER_TIMEOUT_S)

    def _watch(self, effect: WatchWorker) -> Event:
        document = {
            "FencingToken": effect.epoch,
            "AckCursor": effect.acknowledged,
        }
        if effect.lease_until_ms >= 0:
            document["DeadlineMs"] = effect.lease_until_ms
        if effect.wait_ms:
            document["WaitMs"] = effect.wait_ms
        sent_ms = now_ms()
        timeout_s = effect.wait_ms / 1_000 + WATCH_TIMEOUT_S
        request = self._request("/hold", document, timeout_s)
        try:
            response = self._send_watch(effect, request)
        except CallNotSentError as error:
            # It answers the watch all the same: with the lists of another
            # incarnation, or with a refusal.
            response = error.response
        refusal = decode_refusal(response)
        if refusal is None:
            return decode_report(effect, sent_ms, response)
        return WorkerNotReported(
            now_ms(), effect.worker_id, effect.epoch, refusal
        )

    def _send_watch(
        self, effect: WatchWorker, request: JsonRequest
    ) -> HttpResponse:
        if effect.lease_until_ms < 0 and not effect.acknowledged:
            return self._client.ask(request)
        return self._client.call_incarnation(
            effect.started_wall_ms, request, self._handshake(effect.epoch)
        )

    def _process_order(
        self, effect: StartRun | StopRun | ThrottleRun, issued_ms: int
    ) -> Event | None:
        """Send an order that was issued earlier, and return its outcome."""
        timing = OrderTiming(issued_ms, sent_ms=now_ms())
        refusal, clock_ms, status = self._send_unless_expired(effect)
        order_key = (
            effect.worker_id,
            effect.epoch,
            effect.task,
            effect.number,
        )
        match effect:
            case StartRun():
                return RunAnswered(
                    now_ms(), *order_key, refusal, clock_ms, timing, status
                )
            case StopRun():
                return StopAnswered(now_ms(), *order_key, refusal, timing)
        return None  # the next report contains the actual speed

    def _may_send(self, effect: StartRun | StopRun | ThrottleRun) -> bool:
        """Check whether an order may still be sent; others than starts may."""
        match effect:
            case StartRun():
                return self._order_fence.may_send(effect, now_ms())
        return True

    def _send_unless_expired(self, effect):
        """Send an order, but no start order that must not be sent any more.

        Return the reason of a refusal, or None, the worker's clock, and the
        status of its response, or 0.
        """
        if not self._may_send(effect):
            return OrderRefusal.NOT_SENT, -1, 0
        path, document = _encode_order(effect)
        try:
            response = self._client.call_incarnation(
                effect.started_wall_ms,
                self._request(path, document, ORDER_TIMEOUT_S),
                self._handshake(effect.epoch),
                lambda: self._may_send(effect),
            )
        except CallExpiredError:
            return OrderRefusal.NOT_SENT, -1, 0
        except CallNotSentError as error:
            refusal = decode_refusal(error.response) or OrderRefusal.RESTARTED
            return refusal, -1, error.response.status
        except PlatformError:
            return OrderRefusal.SILENT, -1, 0
        refusal = decode_refusal(response)
        return refusal, decode_clock_ms(response), response.status


class WorkerClients:
    """Clients for all workers, created on first use."""

    def __init__(self, post_event: Callable[[Event], None]):
        """Create the thread pool that sends orders.

        Args:
          post_event: Queues an event for the interpreter.
        """
        self._post_event = post_event
        self._order_executor = ThreadPoolExecutor(
            MAX_CONCURRENT_ORDERS, "order"
        )
        self._order_fence = OrderFence()
        self._clients_by_id: dict[str, WorkerClient] = {}

    def watch(self, effect: WatchWorker) -> None:
        """Request a worker's lists of runs; the result becomes an event.

        Args:
          effect: The request.
        """
        self._client_for(effect).watch(effect)

    def send_order(self, effect: StartRun | StopRun | ThrottleRun) -> None:
        """Send an order to a worker.

        Args:
          effect: The order.
        """
        self._client_for(effect).send_order(effect)

    def revoke_orders(self, effect: RevokeOrders) -> None:
        """Revoke the start orders that still wait for a thread.

        Args:
          effect: The term whose orders are revoked.
        """
        self._order_fence.revoke(effect)

    def release(self, effect: ForgetWorker) -> None:
        """Close the client for a worker.

        Args:
          effect: Identifies the worker.
        """
        client = self._clients_by_id.pop(effect.worker_id, None)
        if client is not None:
            client.close()

    def _client_for(self, effect):
        client = self._clients_by_id.get(effect.worker_id)
        if client is not None and client.address == effect.address:
            return client
        if client is not None:
            client.close()
        client = WorkerClient(
            effect.worker_id,
            effect.address,
            self._post_event,
            self._order_executor,
            self._order_fence,
        )
        self._clients_by_id[effect.worker_id] = client
        return client


def _encode_order(effect) -> tuple[str, dict]:
    """Encode an order as a path and a JSON object."""
    document = {
        "Task": effect.task,
        "RunId": effect.number,
        "FencingToken": effect.epoch,
    }
    match effect:
        case StartRun():
            document["Spec"] = effect.command
            document["DeadlineMs"] = effect.lease_until_ms
            if effect.checkpoint:
                document["Checkpoint"] = effect.checkpoint
            if effect.ticket:
                document["Ticket"] = effect.ticket
            return "/run-start", document
        case StopRun():
            return "/run-stop", document
    document["Percent"] = effect.percent
    return "/pace", document
