"""The main job from end to end on stand-ins: run with `make demo`.

Starts a platform, executors, workers, entries and stewards of two data
centres, drives them with the operators' command line and as callers do, and
prints what ran, what was refused and what moved.
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
WAIT_S = 30
POLL_S = 0.1
REQUESTS = 60
JOBS = 6


def build_plans(quotes_minimum: int) -> dict:
    """Build the plans.

    Args:
      quotes_minimum: Fewest executors of the pool "quotes".
    Returns:
      The list as it stands in YAML.
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
    """The steps of the main job and what they found."""

    def __init__(self, fleet: Fleet):
        """Prepare the steps.

        Args:
          fleet: A fleet without processes.
        """
        self._fleet = fleet
        self._entries = [
            fleet.address("entry-north"),
            fleet.address("entry-south"),
        ]
        self._codes: Counter[int] = Counter()
        self.rows: list[tuple[str, str, bool]] = []

    def run(self) -> bool:
        """Take all steps.

        Returns:
          Whether every figure is as it should be.
        """
        self._start()
        guild_key, rutas_key = self._publish()
        guild = Caller(self._fleet.http, guild_key)
        rutas = Caller(self._fleet.http, rutas_key)
        self._hand_in_requests(guild, rutas)
        self._hand_in_jobs(guild)
        self._withdraw(rutas)
        self._move(guild)
        self._check_runs()
        self._stop()
        return all(good for _, _, good in self.rows)

    def _note(self, name: str, value, good: bool) -> None:
        self.rows.append((name, str(value), good))

    def _start(self) -> None:
        fleet = self._fleet
        fleet.start_platform()
        for place, name in enumerate(("ex-1", "ex-2", "ex-3")):
            data_centre = ("north", "south")[place % 2]
            pool = "admin" if name == "ex-3" else "quotes"
            fleet.start_instance(
                name, "executor", data_centre, f"rack-{place}", pool
            )
        fleet.start_instance("wk-1", "worker", "north", "rack-3", "batch")
        fleet.start_instance("wk-2", "worker", "south", "rack-4", "batch")
        fleet.list_instances()
        fleet.start_nodes(DATA_CENTRES_BY_NODE)

    def _publish(self) -> tuple[str, str]:
        fleet = self._fleet
        plans = fleet.write("plans", build_plans(2))
        limits = fleet.write("limits", LIMITS)
        fleet.operate("publish", "--plans", plans)
        answer = fleet.operate("publish", "--limits", limits)
        self._note("limits", answer, answer.startswith("accepted"))
        guild_key = fleet.operate("give-key", "--team", "guild")
        rutas_key = fleet.operate("give-key", "--team", "rutas")
        fleet.operate("in-force", "--wait-s", str(WAIT_S))
        await_condition(self._pools_filled, "instances in their pools")
        return guild_key, rutas_key

    def _pools_filled(self) -> bool:
        shown = self._fleet.operate("show")
        return all(name in shown for name in ("ex-1", "ex-3", "wk-2"))

    def _hand_in_requests(self, guild: Caller, rutas: Caller) -> None:
        """Hand in both kinds of requests at both entries at once."""

        def send(index: int) -> Result:
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
            results = list(threads.map(send, range(REQUESTS)))
        self._codes.update(result.code for result in results)
        ran = sum(result.code == 1000 for result in results)
        self._note(
            "requests that ran", f"{ran} of {REQUESTS}", ran == REQUESTS
        )
        whole = sum(
            json.loads(result.body)["uri"].startswith(f"/rooms/{index}?")
            for index, result in enumerate(results)
            if result.code == 1000
        )
        self._note("answers to the own request", whole, whole == REQUESTS)
        unkeyed = Caller(self._fleet.http)
        refused = unkeyed.send(self._entries[0], "/", "quotes")
        self._codes[refused.code] += 1
        self._note("without a key", refused.code, refused.code == 2001)

    def _hand_in_jobs(self, guild: Caller) -> None:
        job_ids = [f"invoice-{index}" for index in range(JOBS)]
        for index, job_id in enumerate(job_ids):
            job = {"pool": "batch", "command": "sleep 0.3", "processors": 4}
            result = guild.send(
                self._entries[index % 2],
                "/sesamehall/v1/jobs",
                method="POST",
                body=json.dumps(job).encode(),
                headers={"Sesamehall-Request-Id": job_id},
            )
            self._codes[result.code] += 1
        large = {"pool": "batch", "command": "", "processors": 99}
        refused = guild.send(
            self._entries[0],
            "/sesamehall/v1/jobs",
            method="POST",
            body=json.dumps(large).encode(),
        )
        self._codes[refused.code] += 1
        self._note("job too large", refused.code, refused.code == 2016)
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
        self._note("job cancelled while it ran", "endless", True)

        def all_done():
            phases = [self._phase(guild, job_id) for job_id in job_ids]
            return phases.count("done") == JOBS

        await_condition(all_done, "jobs done")
        self._note("jobs that ran to their end", JOBS, True)

    def _phase(self, caller: Caller, job_id: str) -> str:
        result = caller.send(self._entries[0], f"/sesamehall/v1/jobs/{job_id}")
        if result.code != 1002:
            return ""
        return json.loads(result.body)["job"]["phase"]

    def _withdraw(self, rutas: Caller) -> None:
        key_id = rutas.key.partition(".")[0]
        self._fleet.operate("withdraw-key", "--key-id", key_id)
        began = time.monotonic()
        last_accepted = began
        while True:
            results = [
                rutas.send(address, "/", "quotes") for address in self._entries
            ]
            if all(result.code == 2002 for result in results):
                break
            last_accepted = time.monotonic()
            if last_accepted - began > WAIT_S:
                break
            time.sleep(0.01)
        self._codes.update(result.code for result in results)
        took_s = last_accepted - began
        self._note(
            "withdrawn key",
            f"{results[0].code} after {took_s:.2f} s",
            took_s < 5,
        )

    def _move(self, guild: Caller) -> None:
        """Ask for a third executor, and keep requests coming meanwhile."""
        plans = self._fleet.write("plans", build_plans(3))
        self._fleet.operate("publish", "--plans", plans)
        codes: Counter[int] = Counter()

        def moved():
            for address in self._entries * 5:
                result = guild.send(address, "/?work_ms=5", "quotes")
                codes[result.code] += 1
            shown = self._fleet.operate("show")
            line = next(x for x in shown.splitlines() if "quotes: ex" in x)
            return line.endswith("has ex-1, ex-2, ex-3")

        await_condition(moved, "instance moved")
        self._codes.update(codes)
        self._note("instance moved", "ex-3 from admin to quotes", True)
        only_ran = set(codes) == {1000}
        self._note("requests during the move", codes[1000], only_ran)

    def _check_runs(self) -> None:
        """Compare with what the executors themselves have recorded."""
        runs: Counter[str] = Counter()
        most = 0
        for name in ("ex-1", "ex-2", "ex-3"):
            url = f"http://{self._fleet.address(name)}/standin/record"
            record = json.loads(self._fleet.http.request("GET", url).data)
            runs.update(record["runs_by_id"])
            most = max(most, record["most_running"])
        doubled = sum(count > 1 for count in runs.values())
        self._note("requests run twice", doubled, doubled == 0)
        self._note("most on one executor", f"{most} of 8", most <= 8)

    def _stop(self) -> None:
        codes = []
        for name in ("entry-north", "entry-south"):
            codes.append(self._fleet.stop(name))
        for name in list(self._fleet.processes_by_name):
            codes.append(self._fleet.stop(name))
        good = all(code == 0 for code in codes)
        self._note("processes stopped gracefully", len(codes), good)

    def print_table(self) -> None:
        """Print what was found, a line each."""
        for name, value, good in self.rows:
            mark = "ok " if good else "OFF"
            print(f"{mark} {name:32} {value}")
        counts = ", ".join(
            f"{code}: {count}" for code, count in sorted(self._codes.items())
        )
        print(f"    answers by result code           {counts}")


def await_condition(condition: Callable[[], bool], name: str) -> None:
    """Wait for a condition; without it there is no use in going on.

    Args:
      condition: Tells whether it holds.
      name: What is waited for.
    Raises:
      RuntimeError: It did not come about in time.
    """
    ends_at = time.monotonic() + WAIT_S
    while not condition():
        if time.monotonic() > ends_at:
            raise RuntimeError(f"waited {WAIT_S} s in vain: {name}")
        time.sleep(POLL_S)


def main() -> int:
    """Run the demo.

    Returns:
      The exit code: 0 when every figure is as it should be.
    """
    began = time.monotonic()
    folder = Path(tempfile.mkdtemp(prefix="sesamehall-demo-"))
    fleet = Fleet(folder)
    demo = Demo(fleet)
    try:
        good = demo.run()
    except (RuntimeError, OSError) as error:
        print(f"OFF {error}; logs in {folder}")
        good = False
    finally:
        fleet.close()
    demo.print_table()
    print(f"took {time.monotonic() - began:.1f} s")
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
