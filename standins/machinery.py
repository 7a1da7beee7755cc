"""Stand-in of the users' platform's cloud interface: machines and pools."""

from collections.abc import Callable
import json
import threading

from standins.serving import HttpRequest
from standins.serving import HttpResponse
from standins.serving import json_response

HOLDER_HEADER = "lease-holder"
FENCE_HEADER = "fencing-token"


class Machinery:
    """Machines that move between pools."""

    def __init__(self, pool_by_machine: dict[str, str], move: Callable):
        """Begin with all machines up.

        Args:
          pool_by_machine: The machines and their pools.
          move: Called with a machine and its new pool; ends its worker's
            life, and returns when another has begun.
        """
        self._lock = threading.Lock()
        self._pool_by_machine = dict(pool_by_machine)
        self._worker_by_machine: dict[str, str] = {}
        self._moving: set[str] = set()
        self._move = move
        self.orders: list[tuple[str, str, int]] = []

    def note_worker(self, machine: str, worker_id: str) -> None:
        """Note which worker is the life of a machine.

        Args:
          machine: Name of the machine.
          worker_id: The worker, or "" for none.
        """
        with self._lock:
            self._worker_by_machine[machine] = worker_id

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one call.

        Args:
          request: The call.
        Returns:
          The answer.
        """
        match request.path:
            case "/machines":
                return self._list()
            case "/machine-move":
                return self._take_move(request)
        return HttpResponse(404, b"no such call")

    def _list(self):
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

    def _take_move(self, request):
        wish = json.loads(request.body)
        machine, pool = wish["Machine"], wish["Pool"]
        holder = request.headers[HOLDER_HEADER]
        fence = int(request.headers[FENCE_HEADER])
        with self._lock:
            if machine not in self._pool_by_machine:
                return json_response({"Reason": "unknown"}, 400)
            if self._pool_by_machine[machine] == pool:
                return json_response({})
            if machine in self._moving:
                return json_response({"Reason": "busy"}, 409)
            self.orders.append((holder, machine, fence))
            self._moving.add(machine)
            self._pool_by_machine[machine] = pool
            self._worker_by_machine[machine] = ""
        threading.Thread(
            target=self._finish, args=(machine, pool), daemon=True
        ).start()
        return json_response({})

    def _finish(self, machine, pool):
        self._move(machine, pool)
        with self._lock:
            self._moving.discard(machine)
