"""The manager's client for the cloud API: lists, moves, maintains machines."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from urllib.parse import urlencode

from sesamehall.codecs.jsonfields import decode_list
from sesamehall.core.codes import PlatformError
from sesamehall.core.events import Event
from sesamehall.core.fleet import Machine
from sesamehall.core.managereffects import ListMachines
from sesamehall.core.managereffects import MaintainMachine
from sesamehall.core.managereffects import MoveMachine
from sesamehall.core.managereffects import RevokeOrders
from sesamehall.core.managerevents import MachineAnswered
from sesamehall.core.managerevents import MachinesListed
from sesamehall.platform.http import HttpClient
from sesamehall.platform.http import HttpResponse
from sesamehall.platform.orderfence import OrderFence
from sesamehall.platform.workerdecoding import decode_machine
from sesamehall.runtime.guarding import perform_and_post
from sesamehall.runtime.interpreter import now_ms

MAX_CONCURRENT_CALLS = 8  # a call without a response must not delay the others
REJECTION_REASONS = ("fence", "busy", "wave")  # of a response 409
RESPONSE_TIMEOUT_S = 1.0  # the cloud API may be slow


class MachineEffectHandler:
    """Performs the effects that list machines or order changes to them."""

    def __init__(
        self,
        node: str,
        client: HttpClient,
        post_event: Callable[[Event], None],
    ):
        """Create the thread pool; threads start with the first call.

        Args:
          node: Name of this node, the lease holder that orders name.
          client: HTTP client of the cloud API.
          post_event: Queues an event for the interpreter.
        """
        self._node = node
        self._client = client
        self._post_event = post_event
        self._executor = ThreadPoolExecutor(MAX_CONCURRENT_CALLS, "machines")
        self._order_fence = OrderFence()

    def list_machines(self, effect: ListMachines) -> None:
        """List all machines; the result is posted as an event.

        Args:
          effect: The request.
        """
        self._executor.submit(
            perform_and_post, self._list_machines, effect, self._post_event
        )

    def send_order(self, effect: MoveMachine | MaintainMachine) -> None:
        """Send an order for a machine unless it has expired or was revoked.

        The sending thread checks that immediately before the call, since the
        process may have been paused after the decision.

        Args:
          effect: The order.
        """
        self._executor.submit(
            perform_and_post, self._send_order, effect, self._post_event
        )

    def revoke_orders(self, effect: RevokeOrders) -> None:
        """Revoke the orders that still wait for a thread.

        Args:
          effect: The term whose orders are revoked.
        """
        self._order_fence.revoke(effect)

    def _list_machines(self, _: ListMachines) -> Event:
        sent_ms = now_ms()
        machines = self._fetch_all_pages()
        return MachinesListed(now_ms(), sent_ms, machines)

    def _fetch_all_pages(self) -> tuple[Machine, ...]:
        machines: list[Machine] = []
        page_token = None
        tokens: set[str] = set()
        while True:
            query = (
                f"?{urlencode({'PageToken': page_token})}"
                if page_token
                else ""
            )
            response = self._client.call(
                "GET", f"/machines{query}", timeout_s=RESPONSE_TIMEOUT_S
            )
            if response.status != 200:
                raise PlatformError(f"status {response.status}")
            page = response.json()
            machines += decode_list(page, "Machines", decode_machine)
            page_token = page.get("NextToken")
            if not page_token:
                return tuple(machines)
            # A list that goes round would be read for ever.
            if type(page_token) is not str or page_token in tokens:
                raise PlatformError(f"invalid NextToken {page_token!r:.80}")
            tokens.add(page_token)

    def _send_order(self, effect: MoveMachine | MaintainMachine) -> Event:
        path = "/machine-move"
        document = {"Machine": effect.machine}
        match effect:
            case MoveMachine():
                document["Pool"] = effect.pool
            case MaintainMachine():
                path = "/machine-upkeep"
                document["Wave"] = effect.wave
        headers = {
            "Lease-Holder": self._node,
            "Fencing-Token": str(effect.epoch),
        }
        if not self._order_fence.may_send(effect, now_ms()):
            reason = "expired or revoked"
            return MachineAnswered(
                now_ms(),
                effect.machine,
                effect.epoch,
                done=False,
                reason=reason,
            )
        response = self._client.call_json(
            "POST", path, document, headers, RESPONSE_TIMEOUT_S
        )
        done = response.status == 200
        reason = f"status {response.status} {response.body[:80]!r}"
        return MachineAnswered(
            at_ms=now_ms(),
            machine=effect.machine,
            epoch=effect.epoch,
            done=done,
            refused=is_rejected(response),
            reason="" if done else reason,
        )


def is_rejected(response: HttpResponse) -> bool:
    """Check whether the platform certainly has not carried out an order.

    Args:
      response: The response to the order.
    Returns:
      True only for the answers that the platform's API names.
    """
    match response.status:
        case 400:
            return True
        case 409:
            return _decode_reason(response) in REJECTION_REASONS
    return False


def _decode_reason(response):
    try:
        return response.json().get("Reason")
    except PlatformError:
        return None
