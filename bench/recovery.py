"""Injects failures into real processes and checks the answers to callers.

While requests keep arriving, it takes the platform down, kills the steward
that holds the role, kills and restarts an entry, and pauses an entry, one
after the other.  The value is the number of unexpected answers: those that
the failure at hand does not allow.  It also prints the recovery times.
"""

from collections import Counter
import json
from pathlib import Path
import signal
import tempfile
import time

from urllib3.exceptions import HTTPError

from demo.fleet import Caller
from demo.fleet import Fleet
from demo.main import await_condition
from demo.main import build_plans
from demo.main import DATA_CENTRES_BY_NODE
from demo.main import LIMITS

OUTAGE_S = 6
PAUSE_S = 3
NORTH = "entry-north"
SOUTH = "entry-south"
RAN_CODE = 1000


class RecoveryCheck:
    """Injects the failures and counts unexpected answers."""

    def __init__(self, fleet: Fleet):
        """Start the fleet, publish the lists and give a key.

        Args:
          fleet: A fleet without running processes.
        """
        self._fleet = fleet
        fleet.start_platform()
        for name, data_centre in (("ex-1", "north"), ("ex-2", "south")):
            fleet.start_instance(
                name, "executor", data_centre, f"rack-{name}", "quotes"
            )
        fleet.start_instance("wk-1", "worker", "north", "rack-3", "batch")
        fleet.list_instances()
        fleet.start_nodes(DATA_CENTRES_BY_NODE)
        plans = fleet.write("plans", build_plans(2))
        fleet.operate("publish", "--plans", plans)
        fleet.operate("publish", "--limits", fleet.write("limits", LIMITS))
        key = fleet.operate("give-key", "--team", "guild")
        self._caller = Caller(fleet.http, key)
        self.unexpected = 0
        for name in (NORTH, SOUTH):
            self._await_serving(name)

    def send(self, name: str) -> int:
        """Send one request.

        Args:
          name: Name of the entry.
        Returns:
          The result code, 0 if the connection failed.
        """
        address = self._fleet.address(name)
        try:
            return self._caller.send(address, "/?work_ms=5", "quotes").code
        except HTTPError:
            return 0

    def fail_platform(self) -> None:
        """Take the platform down; no request may be refused meanwhile."""
        faults = {"down": True, "lose_answers": 0, "delay_ms": 0}
        self._fleet.control("faults", faults)
        codes = self._send_for(OUTAGE_S, (NORTH, SOUTH))
        self._fleet.control("faults", faults | {"down": False})
        self._report("platform down", codes, {RAN_CODE})

    def kill_role_holder(self) -> None:
        """Kill the steward that holds the role; its successor runs a job."""
        await_condition(
            lambda: self._submit("before") == 1001, "platform log available"
        )
        holder = self._find_role_holder()
        self._fleet.kill(holder)
        started_at = time.monotonic()
        codes: Counter[int] = Counter()
        address = self._fleet.address(NORTH)

        def job_done():
            if codes[1001] == 0:
                codes.update([self._submit("after")])
            codes.update(self._send_for(0.2, (NORTH, SOUTH)))
            status = self._caller.send(
                address, "/sesamehall/v1/jobs/after"
            ).body
            return json.loads(status).get("job", {}).get("phase") == "done"

        await_condition(job_done, "job done by the next role holder")
        took_s = time.monotonic() - started_at
        self._fleet.start_node(holder)
        self._report(
            f"role holder killed, job done after {took_s:.1f} s",
            codes,
            {RAN_CODE, 1001},
        )

    def kill_entry(self) -> None:
        """Kill an entry and restart it."""
        self._fleet.kill(SOUTH)
        codes = self._send_for(1, (NORTH,))
        started_at = time.monotonic()
        self._fleet.start_node(SOUTH)
        self._await_serving(SOUTH)
        took_s = time.monotonic() - started_at
        codes.update(self._send_for(1, (NORTH, SOUTH)))
        name = f"entry killed, serving {took_s:.1f} s after its restart"
        self._report(name, codes, {RAN_CODE})

    def pause_entry(self) -> None:
        """Pause an entry; the other one serves, then both do."""
        process = self._fleet.processes_by_name[NORTH]
        process.send_signal(signal.SIGSTOP)
        codes = self._send_for(PAUSE_S, (SOUTH,))
        process.send_signal(signal.SIGCONT)
        self._await_serving(NORTH)
        codes.update(self._send_for(1, (NORTH, SOUTH)))
        self._report("entry paused", codes, {RAN_CODE})

    def _send_for(self, seconds: float, names: tuple[str, ...]) -> Counter:
        codes: Counter[int] = Counter()
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            codes.update(self.send(name) for name in names)
        return codes

    def _submit(self, job_id: str) -> int:
        """Submit a job; a repeated id does not create a second job."""
        job = {"pool": "batch", "command": "sleep 0.1"}
        return self._caller.send(
            self._fleet.address(NORTH),
            "/sesamehall/v1/jobs",
            method="POST",
            body=json.dumps(job).encode(),
            headers={"Sesamehall-Request-Id": job_id},
        ).code

    def _await_serving(self, name: str) -> None:
        await_condition(lambda: self.send(name) == RAN_CODE, f"{name} serving")

    def _find_role_holder(self) -> str:
        log = (self._fleet.folder / f"{NORTH}.log").read_text()
        claims = [x for x in log.splitlines() if "kind=RoleClaimed" in x]
        accepted = [x for x in claims if "verdict=accepted" in x]
        return accepted[-1].partition("record=")[2].partition("/")[0]

    def _report(self, name: str, codes: Counter, expected: set[int]) -> None:
        unexpected = sum(
            n for code, n in codes.items() if code not in expected
        )
        self.unexpected += unexpected
        print(
            f"{name}: answers by code {dict(sorted(codes.items()))},"
            f" {unexpected} unexpected"
        )


def run_all() -> None:
    """Inject the failures and print the number of unexpected answers."""
    fleet = Fleet(Path(tempfile.mkdtemp()))
    try:
        check = RecoveryCheck(fleet)
        check.fail_platform()
        check.kill_role_holder()
        check.kill_entry()
        check.pause_entry()
        print(f"recovery={check.unexpected}")
    finally:
        fleet.close()


if __name__ == "__main__":
    run_all()
