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

    def __init__(
        self,
        pool_by_machine: dict[str, str],
        move: Callable,
        stop: Callable | None = None,
        zone_by_machine: dict[str, str] | None = None,
    ):
        """Initialize the API with all machines up.

        Args:
          pool_by_machine: Initial pool of each machine.
          move: Moves a machine to a pool, given both names; it stops the
            worker of the machine and returns once a new one has started.
          stop: Stops the worker of a machine, given its name, before an order
            for the machine is answered; None leaves it to `move`.
          zone_by_machine: Zone of each machine; None for one zone.
        """
        self._lock = threading.Lock()
        self._pool_by_machine = dict(pool_by_machine)
        self._worker_by_machine: dict[str, str] = {}
        self._state_by_machine: dict[str, str] = {}
        self._wave_by_machine: dict[str, int] = {}
        self._waves: dict[int, tuple[str, ...]] = {}
        self._zone_by_machine = zone_by_machine or {}
        self._move = move
        self._stop = stop
        self.orders: list[tuple[str, str, int]] = []

    def set_worker(self, machine: str, worker_id: str) -> None:
        """Set the worker that runs on a machine.

        Args:
          machine: Name of the machine.
          worker_id: Identifier of the worker, or "" for none.
        """
        with self._lock:
            self._worker_by_machine[machine] = worker_id

    def add_wave(self, number: int, machines: tuple[str, ...]) -> None:
        """Accept upkeep orders of a wave.

        Args:
          number: Number of the wave.
          machines: Names of its machines.
        """
        with self._lock:
            self._waves[number] = machines

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
            case "/machine-upkeep":
                return self._start_upkeep(request)
        return HttpResponse(404, b"no such call")

    def _list_machines(self):
        with self._lock:
            machines = [
                {
                    "Machine": name,
                    "Pool": pool,
                    "State": self._state_by_machine.get(name, "up"),
                    "Zone": self._zone_by_machine.get(name, "dc"),
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
        with self._lock:
            if machine not in self._pool_by_machine:
                return json_response({"Reason": "unknown"}, 400)
            if self._pool_by_machine[machine] == pool:
                return json_response({})
            if machine in self._state_by_machine:
                return json_response({"Reason": "busy"}, 409)
            self._pool_by_machine[machine] = pool
            self._take_down(request, machine, "moving")
        return self._restart(machine)

    def _start_upkeep(self, request):
        order = json.loads(request.body)
        machine, wave = order["Machine"], order["Wave"]
        with self._lock:
            if machine not in self._pool_by_machine:
                return json_response({"Reason": "unknown"}, 400)
            if machine not in self._waves.get(wave, ()):
                return json_response({"Reason": "wave"}, 409)
            if self._wave_by_machine.get(machine) == wave:
                return json_response({})
            if machine in self._state_by_machine:
                return json_response({"Reason": "busy"}, 409)
            self._wave_by_machine[machine] = wave
            self._take_down(request, machine, "upkeep")
        return self._restart(machine)

    def _take_down(self, request, machine, state):
        """Record an accepted order; the lock is held."""
        holder = request.headers[HOLDER_HEADER]
        fencing_token = int(request.headers[FENCING_TOKEN_HEADER])
        self.orders.append((holder, machine, fencing_token))
        self._state_by_machine[machine] = state
        self._worker_by_machine[machine] = ""

    def _restart(self, machine):
        """Stop a machine's worker and let another one start in its pool."""
        if self._stop is not None:
            self._stop(machine)
        pool = self._pool_by_machine[machine]
        threading.Thread(
            target=self._complete_order, args=(machine, pool), daemon=True
        ).start()
        return json_response({})

    def _complete_order(self, machine, pool):
        self._move(machine, pool)
        with self._lock:
            self._state_by_machine.pop(machine, None)
