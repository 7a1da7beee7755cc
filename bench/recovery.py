"""Failures of real processes: what callers see, and how long it lasts.

A platform outage, a killed role holder, a killed and restarted entry, and a
paused entry, one after the other, while requests keep coming.  The value is
the number of answers that are not allowed in that failure.
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
RAN = 1000


class Recovery:
    """The failures, and what was seen of them."""

    def __init__(self, fleet: Fleet):
        """Start the fleet, publish the lists and give a key.

        Args:
          fleet: A fleet without processes.
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
        self.wrong = 0
        for name in (NORTH, SOUTH):
            self._await_serving(name)

    def send(self, name: str) -> int:
        """Send one request.

        Args:
          name: Name of the entry.
        Returns:
          The result code, 0 when nobody answered.
        """
        address = self._fleet.address(name)
        try:
            return self._caller.send(address, "/?work_ms=5", "quotes").code
        except HTTPError:
            return 0

    def outage(self) -> None:
        """Take the platform down for a while: nothing may be refused."""
        faults = {"down": True, "lose_answers": 0, "delay_ms": 0}
        self._fleet.control("faults", faults)
        codes = self._send_for(OUTAGE_S, (NORTH, SOUTH))
        self._fleet.control("faults", faults | {"down": False})
        self._note("platform down", codes, {RAN})

    def lose_holder(self) -> None:
        """Kill the steward with the role; a job must still be run."""
        await_condition(lambda: self._submit("before") == 1001, "log back")
        holder = self._holder()
        self._fleet.kill(holder)
        began = time.monotonic()
        codes: Counter[int] = Counter()
        address = self._fleet.address(NORTH)

        def done():
            if codes[1001] == 0:
                codes.update([self._submit("after")])
            codes.update(self._send_for(0.2, (NORTH, SOUTH)))
            status = self._caller.send(
                address, "/sesamehall/v1/jobs/after"
            ).body
            return json.loads(status).get("job", {}).get("phase") == "done"

        await_condition(done, "job done by the next holder")
        took_s = time.monotonic() - began
        self._fleet.start_node(holder)
        self._note(
            f"holder killed, job done after {took_s:.1f} s",
            codes,
            {RAN, 1001},
        )

    def lose_entry(self) -> None:
        """Kill an entry and start it again."""
        self._fleet.kill(SOUTH)
        codes = self._send_for(1, (NORTH,))
        began = time.monotonic()
        self._fleet.start_node(SOUTH)
        self._await_serving(SOUTH)
        took_s = time.monotonic() - began
        codes.update(self._send_for(1, (NORTH, SOUTH)))
        name = f"entry killed, served again {took_s:.1f} s after its start"
        self._note(name, codes, {RAN})

    def pause_entry(self) -> None:
        """Pause an entry; the other goes on, and it serves afterwards."""
        process = self._fleet.processes_by_name[NORTH]
        process.send_signal(signal.SIGSTOP)
        codes = self._send_for(PAUSE_S, (SOUTH,))
        process.send_signal(signal.SIGCONT)
        self._await_serving(NORTH)
        codes.update(self._send_for(1, (NORTH, SOUTH)))
        self._note("entry paused", codes, {RAN})

    def _send_for(self, seconds: float, names: tuple[str, ...]) -> Counter:
        codes: Counter[int] = Counter()
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            codes.update(self.send(name) for name in names)
        return codes

    def _submit(self, job_id: str) -> int:
        """Hand a job in; repeats of an id make no second job."""
        job = {"pool": "batch", "command": "sleep 0.1"}
        return self._caller.send(
            self._fleet.address(NORTH),
            "/sesamehall/v1/jobs",
            method="POST",
            body=json.dumps(job).encode(),
            headers={"Sesamehall-Request-Id": job_id},
        ).code

    def _await_serving(self, name: str) -> None:
        await_condition(lambda: self.send(name) == RAN, f"{name} serving")

    def _holder(self) -> str:
        log = (self._fleet.folder / f"{NORTH}.log").read_text()
        claims = [x for x in log.splitlines() if "kind=RoleClaimed" in x]
        accepted = [x for x in claims if "verdict=accepted" in x]
        return accepted[-1].partition("record=")[2].partition("/")[0]

    def _note(self, name: str, codes: Counter, allowed: set[int]) -> None:
        wrong = sum(n for code, n in codes.items() if code not in allowed)
        self.wrong += wrong
        print(f"{name}: answers {dict(sorted(codes.items()))}, {wrong} wrong")


def run_all() -> None:
    """Cause the failures and print the number of wrong answers."""
    fleet = Fleet(Path(tempfile.mkdtemp()))
    try:
        recovery = Recovery(fleet)
        recovery.outage()
        recovery.lose_holder()
        recovery.lose_entry()
        recovery.pause_entry()
        print(f"recovery={recovery.wrong}")
    finally:
        fleet.close()


if __name__ == "__main__":
    run_all()
