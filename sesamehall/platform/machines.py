"""The platform's cloud interface: machines listed, moved and maintained."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from urllib.parse import urlencode

from sesamehall.core.codes import DecodeError
from sesamehall.core.codes import PlatformError
from sesamehall.core.events import Event
from sesamehall.core.fleet import Machine
from sesamehall.core.managereffects import MaintainMachine
from sesamehall.core.managereffects import MoveMachine
from sesamehall.core.managerevents import MachineAnswered
from sesamehall.core.managerevents import MachinesListed
from sesamehall.core.managerevents import MachinesNotListed
from sesamehall.platform.decoding import decode_list
from sesamehall.platform.decoding import decode_machine
from sesamehall.platform.http import HttpClient
from sesamehall.runtime.interpreter import now_ms

CALLS_AT_ONCE = 8  # a call without an answer must not hold up the others
REFUSED_STATUSES = (400, 409)
ANSWER_TIMEOUT_S = 1.0  # the cloud interface may be slow


class MachineGate:
    """Lists machines and gives orders about them."""

    def __init__(
        self, node: str, client: HttpClient, post: Callable[[Event], None]
    ):
        """Prepare the gate.

        Args:
          node: Name of this node, which holds the lease on the machines.
          client: Calls the cloud interface.
          post: Takes the events.
        """
        self._node = node
        self._client = client
        self._post = post
        self._executor = ThreadPoolExecutor(CALLS_AT_ONCE, "machines")

    def list(self) -> None:
        """List all machines; they come as an event."""
        self._executor.submit(self._list)

    def order(self, effect: MoveMachine | MaintainMachine) -> None:
        """Give an order about a machine, if it is not too late for it.

        The time is looked at last, by the thread that sends: the process may
        have been paused since the decision.

        Args:
          effect: The order.
        """
        self._executor.submit(self._order, effect)

    def _list(self):
        asked_ms = now_ms()
        try:
            machines = self._read_pages()
        except (PlatformError, DecodeError) as error:
            self._post(MachinesNotListed(now_ms(), str(error)))
            return
        self._post(MachinesListed(now_ms(), asked_ms, machines))

    def _read_pages(self) -> tuple[Machine, ...]:
        machines: tuple[Machine, ...] = ()
        token = None
        while True:
            query = f"?{urlencode({'PageToken': token})}" if token else ""
            answer = self._client.call(
                "GET", f"/machines{query}", timeout_s=ANSWER_TIMEOUT_S
            )
            if answer.status != 200:
                raise PlatformError(f"status {answer.status}")
            page = answer.json()
            machines += decode_list(page, "Machines", decode_machine)
            token = page.get("NextToken")
            if not token:
                return machines

    def _order(self, effect):
        path = "/machine-move"
        content = {"Machine": effect.machine}
        match effect:
            case MoveMachine():
                content["Pool"] = effect.pool
            case MaintainMachine():
                path = "/machine-upkeep"
                content["Wave"] = effect.wave
        headers = {
            "Lease-Holder": self._node,
            "Fencing-Token": str(effect.epoch),
        }
        done = False
        refused = False
        if now_ms() >= effect.not_after_ms:
            self._post_answer(effect, done, refused, "too late to be sent")
            return
        try:
            answer = self._client.call_json(
                "POST", path, content, headers, ANSWER_TIMEOUT_S
            )
            done = answer.status == 200
            refused = answer.status in REFUSED_STATUSES
            reason = f"status {answer.status} {answer.body[:80]!r}"
        except PlatformError as error:
            reason = str(error)
        self._post_answer(effect, done, refused, "" if done else reason)

    def _post_answer(self, effect, done, refused, reason):
        self._post(
            MachineAnswered(now_ms(), effect.machine, done, refused, reason)
        )
