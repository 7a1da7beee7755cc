"""Stand-in for the cloud API of the users' platform: machines and pools."""

from collections.abc import Callable
import json
import threading

from standins.serving import HttpRequest
from standins.serving import HttpResponse
from standins.serving import json_response

HOLDER_HEADER = "lease-holder"
FENCING_TOKEN_HEADER = "fencing-token"


class CloudApi:
    """Machines and the pools between which they can be moved."""

    def __init__(self, pool_by_machine: dict[str, str], move: Callable):
        """Initialize the API with all machines up.

        Args:
          pool_by_machine: Initial pool of each machine.
          move: Moves a machine to a pool, given both names; it stops the
            worker of the machine and returns once a new one has started.
        """
        self._lock = threading.Lock()
        self._pool_by_machine = dict(pool_by_machine)
        self._worker_by_machine: dict[str, str] = {}
        self._moving: set[str] = set()
        self._move = move
        self.orders: list[tuple[str, str, int]] = []

    def set_worker(self, machine: str, worker_id: str) -> None:
        """Set the worker that runs on a machine.

        Args:
          machine: Name of the machine.
          worker_id: Identifier of the worker, or "" for none.
        """
        with self._lock:
            self._worker_by_machine[machine] = worker_id

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle a request of a manager.

        Args:
          request: The request.
        Returns:
          The response.
        """
        match request.path:
            case "/machines":
                return self._list_machines()
            case "/machine-move":
                return self._start_move(request)
        return HttpResponse(404, b"no such call")

    def _list_machines(self):
        with self._lock:
            machines = [
                {
                    "Machine": name,
                    "Pool": pool,
                    "State": "moving" if name in self._moving else "up",
                    "Zone": "dc",
                    "Labels": [],
                    "Capacity": {},
                    "Id": self._worker_by_machine.get(name, ""),
                }
                for name, pool in sorted(self._pool_by_machine.items())
            ]
        return json_response({"Machines": machines})

    def _start_move(self, request):
        order = json.loads(request.body)
        machine, pool = order["Machine"], order["Pool"]
        holder = request.headers[HOLDER_HEADER]
        fencing_token = int(request.headers[FENCING_TOKEN_HEADER])
        with self._lock:
            if machine not in self._pool_by_machine:
                return json_response({"Reason": "unknown"}, 400)
            if self._pool_by_machine[machine] == pool:
                return json_response({})
            if machine in self._moving:
                return json_response({"Reason": "busy"}, 409)
            self.orders.append((holder, machine, fencing_token))
            self._moving.add(machine)
            self._pool_by_machine[machine] = pool
            self._worker_by_machine[machine] = ""
        threading.Thread(
            target=self._complete_move, args=(machine, pool), daemon=True
        ).start()
        return json_response({})

    def _complete_move(self, machine, pool):
        self._move(machine, pool)
        with self._lock:
            self._moving.discard(machine)
