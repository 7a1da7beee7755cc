"""End-to-end demo on stand-ins; run it with `make demo`.

It starts a platform, executors, workers, entries and stewards in two data
centres, runs commands of the operator tool, sends requests and jobs as callers
do, and prints a table of checks: what ran, what was rejected and which
instance moved.
"""

from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
import json
from pathlib import Path
import sys
import tempfile
import time

from demo.fleet import Caller
from demo.fleet import Fleet
from demo.fleet import Result

DATA_CENTRES_BY_NODE = {
    "entry-north": "north",
    "steward-north": "north",
    "entry-south": "south",
    "steward-south": "south",
}
CONDITION_TIMEOUT_S = 30
POLL_INTERVAL_S = 0.1
REQUEST_COUNT = 60
JOB_COUNT = 6

# The demo sees the entries as callers do and compares result codes by number.
# Their names in sesamehall/core/codes.py: 1000 ANSWERED, 1002 JOB_STATE,
# 2001 KEY_MISSING, 2002 KEY_REFUSED and 2016 JOB_IMPOSSIBLE.


def build_plans(quotes_minimum: int) -> dict:
    """Build the content of the plans file.

    Args:
      quotes_minimum: Minimum number of executors in the pool "quotes".
    Returns:
      The plans, services and pools as written to YAML.
    """
    return {
        "plans": [
            {"team": "guild", "services": ["quotes"], "pools": ["batch"]},
            {"team": "rutas", "services": ["quotes"], "pools": ["batch"]},
        ],
        "services": [{"name": "quotes", "pool": "quotes"}],
        "pools": [
            {
                "name": "quotes",
                "kind": "executor",
                "minimum": quotes_minimum,
            },
            {"name": "admin", "kind": "executor", "spare": True},
            {"name": "batch", "kind": "worker", "minimum": 2},
        ],
    }


LIMITS = {
    "limits": [
        {"team": "guild", "share": 2, "ceiling": 12},
        {"team": "rutas", "share": 1, "ceiling": 6},
    ]
}


class Demo:
    """Steps of the demo and the results of their checks."""

    def __init__(self, fleet: Fleet):
        """Initialize the demo.

        Args:
          fleet: Fleet without processes.
        """
        self._fleet = fleet
        self._entries = [
            fleet.address("entry-north"),
            fleet.address("entry-south"),
        ]
        self._codes: Counter[int] = Counter()
        self.checks: list[tuple[str, str, bool]] = []

    def run(self) -> bool:
        """Run all steps.

        Returns:
          Whether all checks passed.
        """
        self._start_fleet()
        guild_key, rutas_key = self._publish_lists()
        guild = Caller(self._fleet.http, guild_key)
        rutas = Caller(self._fleet.http, rutas_key)
        self._submit_requests(guild, rutas)
        self._submit_jobs(guild)
        self._withdraw_key(rutas)
        self._move_instance(guild)
        self._check_runs()
        self._stop_fleet()
        return all(passed for _, _, passed in self.checks)

    def _add_check(self, name: str, value, passed: bool) -> None:
        self.checks.append((name, str(value), passed))

    def _start_fleet(self) -> None:
        """Start the platform, five instances in three pools, and the nodes."""
        fleet = self._fleet
        fleet.start_platform()
        for index, name in enumerate(("ex-1", "ex-2", "ex-3")):
            data_centre = ("north", "south")[index % 2]
            pool = "admin" if name == "ex-3" else "quotes"
            fleet.start_instance(
                name, "executor", data_centre, f"rack-{index}", pool
            )
        fleet.start_instance("wk-1", "worker", "north", "rack-3", "batch")
        fleet.start_instance("wk-2", "worker", "south", "rack-4", "batch")
        fleet.list_instances()
        fleet.start_nodes(DATA_CENTRES_BY_NODE)

    def _publish_lists(self) -> tuple[str, str]:
        """Publish plans and limits; return new keys of the two teams."""
        fleet = self._fleet
        plans = fleet.write("plans", build_plans(2))
        limits = fleet.write("limits", LIMITS)
        fleet.operate("publish", "--plans", plans)
        result = fleet.operate("publish", "--limits", limits)
        self._add_check("limits", result, result.startswith("accepted"))
        guild_key = fleet.operate("give-key", "--team", "guild")
        rutas_key = fleet.operate("give-key", "--team", "rutas")
        fleet.operate("in-force", "--wait-s", str(CONDITION_TIMEOUT_S))
        await_condition(
            self._instances_shown, "an instance of each pool in `show`"
        )
        return guild_key, rutas_key

    def _instances_shown(self) -> bool:
        """Check that `show` names an instance of each of the three pools."""
        shown = self._fleet.operate("show")
        return all(name in shown for name in ("ex-1", "ex-3", "wk-2"))

    def _submit_requests(self, guild: Caller, rutas: Caller) -> None:
        """Send GET and POST requests to both entries concurrently."""

        def send(index: int) -> Result:
            # The caller changes with each request and the entry with every
            # second one, so both callers use both entries.  Every third
            # request is a POST.
            caller = guild if index % 2 else rutas
            address = self._entries[index % 4 // 2]
            method = ("GET", "POST")[index % 3 == 0]
            return caller.send(
                address,
                f"/rooms/{index}?work_ms=50&q=a%2Fb",
                "quotes",
                method,
                b"photo" if method == "POST" else b"",
                {"X-Work-Id": str(index)},
            )

        with ThreadPoolExecutor(16) as threads:
            results = list(threads.map(send, range(REQUEST_COUNT)))
        self._codes.update(result.code for result in results)
        ran = sum(result.code == 1000 for result in results)
        self._add_check(
            "requests that ran",
            f"{ran} of {REQUEST_COUNT}",
            ran == REQUEST_COUNT,
        )
        matching = sum(
            json.loads(result.body)["uri"].startswith(f"/rooms/{index}?")
            for index, result in enumerate(results)
            if result.code == 1000
        )
        self._add_check(
            "responses matching their request",
            matching,
            matching == REQUEST_COUNT,
        )
        anonymous = Caller(self._fleet.http)
        rejected = anonymous.send(self._entries[0], "/", "quotes")
        self._codes[rejected.code] += 1
        self._add_check(
            "request without a key", rejected.code, rejected.code == 2001
        )

    def _submit_jobs(self, guild: Caller) -> None:
        """Submit jobs, one that cannot run, and one that is cancelled."""
        job_ids = [f"invoice-{index}" for index in range(JOB_COUNT)]
        for index, job_id in enumerate(job_ids):
            # Jobs go to the two entries in turn.
            job = {"pool": "batch", "command": "sleep 0.3", "processors": 4}
            result = guild.send(
                self._entries[index % 2],
                "/sesamehall/v1/jobs",
                method="POST",
                body=json.dumps(job).encode(),
                headers={"Sesamehall-Request-Id": job_id},
            )
            self._codes[result.code] += 1
        # No worker has that many processors.
        large = {"pool": "batch", "command": "", "processors": 99}
        rejected = guild.send(
            self._entries[0],
            "/sesamehall/v1/jobs",
            method="POST",
            body=json.dumps(large).encode(),
        )
        self._codes[rejected.code] += 1
        self._add_check("job too large", rejected.code, rejected.code == 2016)
        long_job = {"pool": "batch", "command": "sleep 600"}
        guild.send(
            self._entries[1],
            "/sesamehall/v1/jobs",
            method="POST",
            body=json.dumps(long_job).encode(),
            headers={"Sesamehall-Request-Id": "endless"},
        )
        await_condition(
            lambda: self._phase(guild, "endless") == "running", "job running"
        )
        guild.send(
            self._entries[0], "/sesamehall/v1/jobs/endless", method="DELETE"
        )
        await_condition(
            lambda: self._phase(guild, "endless") == "cancelled", "cancelled"
        )
        self._add_check("job cancelled while running", "endless", True)

        def all_jobs_done():
            phases = [self._phase(guild, job_id) for job_id in job_ids]
            return phases.count("done") == JOB_COUNT

        await_condition(all_jobs_done, "jobs done")
        self._add_check("jobs that completed", JOB_COUNT, True)

    def _phase(self, caller: Caller, job_id: str) -> str:
        """Return the phase of a job, or "" if the entry does not report it."""
        result = caller.send(self._entries[0], f"/sesamehall/v1/jobs/{job_id}")
        if result.code != 1002:
            return ""
        return json.loads(result.body)["job"]["phase"]

    def _withdraw_key(self, rutas: Caller) -> None:
        """Withdraw a key and measure how long an entry still accepts it."""
        key_id = rutas.key.partition(".")[0]
        self._fleet.operate("withdraw-key", "--key-id", key_id)
        started_s = time.monotonic()
        last_accepted_s = started_s
        while True:
            results = [
                rutas.send(address, "/", "quotes") for address in self._entries
            ]
            if all(result.code == 2002 for result in results):
                break
            last_accepted_s = time.monotonic()
            if last_accepted_s - started_s > CONDITION_TIMEOUT_S:
                break
            time.sleep(0.01)
        self._codes.update(result.code for result in results)
        took_s = last_accepted_s - started_s
        self._add_check(
            "withdrawn key rejected",
            f"{results[0].code} after {took_s:.2f} s",
            took_s < 5,
        )

    def _move_instance(self, guild: Caller) -> None:
        """Raise a pool's minimum to three executors while requests arrive.

        One request after the other is sent until the instance has moved.
        """
        plans = self._fleet.write("plans", build_plans(3))
        self._fleet.operate("publish", "--plans", plans)
        codes: Counter[int] = Counter()

        def moved():
            # Ten requests, then one look at the members of the pool.
            for address in self._entries * 5:
                result = guild.send(address, "/?work_ms=5", "quotes")
                codes[result.code] += 1
            shown = self._fleet.operate("show")
            line = next(x for x in shown.splitlines() if "quotes: ex" in x)
            return line.endswith("has ex-1, ex-2, ex-3")

        await_condition(moved, "instance moved")
        self._codes.update(codes)
        self._add_check("instance moved", "ex-3 from admin to quotes", True)
        only_ran = set(codes) == {1000}
        self._add_check("requests during the move", codes[1000], only_ran)

    def _check_runs(self) -> None:
        """Check that no request ran twice and no executor ran too many."""
        runs: Counter[str] = Counter()
        peak = 0
        for name in ("ex-1", "ex-2", "ex-3"):
            url = f"http://{self._fleet.address(name)}/standin/record"
            counters = json.loads(self._fleet.http.request("GET", url).data)
            runs.update(counters["runs_by_id"])
            peak = max(peak, counters["most_running"])
        repeated = sum(count > 1 for count in runs.values())
        self._add_check("requests that ran twice", repeated, repeated == 0)
        self._add_check(
            "peak concurrency of an executor", f"{peak} of 8", peak <= 8
        )

    def _stop_fleet(self) -> None:
        """Stop the entries first, then all other processes."""
        codes = []
        for name in ("entry-north", "entry-south"):
            codes.append(self._fleet.stop(name))
        for name in list(self._fleet.processes_by_name):
            codes.append(self._fleet.stop(name))
        passed = all(code == 0 for code in codes)
        self._add_check("processes stopped gracefully", len(codes), passed)

    def print_table(self) -> None:
        """Print a line for each check, then how often each code occurred."""
        for name, value, passed in self.checks:
            mark = "ok  " if passed else "FAIL"
            print(f"{mark} {name:32} {value}")
        counts = ", ".join(
            f"{code}: {count}" for code, count in sorted(self._codes.items())
        )
        print(f"     responses by result code         {counts}")


def await_condition(condition: Callable[[], bool], name: str) -> None:
    """Poll a condition until it holds.

    Args:
      condition: Returns whether the condition holds.
      name: Name of the condition for the error message.
    Raises:
      RuntimeError: The condition did not hold in time.
    """
    deadline_s = time.monotonic() + CONDITION_TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline_s:
            raise RuntimeError(
                f"timed out after {CONDITION_TIMEOUT_S} s: {name}"
            )
        time.sleep(POLL_INTERVAL_S)


def main() -> int:
    """Run the demo.

    Returns:
      Exit code: 0 if all checks passed.
    """
    started_s = time.monotonic()
    folder = Path(tempfile.mkdtemp(prefix="sesamehall-demo-"))
    fleet = Fleet(folder)
    demo = Demo(fleet)
    try:
        passed = demo.run()
    except (RuntimeError, OSError) as error:
        print(f"FAIL {error}; logs in {folder}")
        passed = False
    finally:
        fleet.close()
    demo.print_table()
    print(f"took {time.monotonic() - started_s:.1f} s")
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
