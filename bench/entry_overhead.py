"""What an entry adds to a request, on real processes over loopback.

The same client calls an executor's stand-in directly and through one entry,
in turns within one run.  The value is the ratio of the median latencies, at
most 4; beside it the 99th percentiles, requests per second with eight
callers, and the entry's processor time per request.
"""

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
import statistics
import tempfile
import time

from urllib3 import HTTPConnectionPool

from demo.fleet import Fleet

ROUNDS = 6
REQUESTS = 300
CALLERS = 8
LIMITS = {"limits": [{"team": "guild", "share": 1, "ceiling": 100}]}
PLANS = {
    "plans": [{"team": "guild", "services": ["quotes"]}],
    "services": [{"name": "quotes", "pool": "quotes"}],
    "pools": [{"name": "quotes", "kind": "executor"}],
}


def start_fleet(folder: Path) -> tuple[Fleet, str]:
    """Start one entry, one steward and two executors.

    Args:
      folder: Takes settings and logs.
    Returns:
      The fleet and a key.
    """
    fleet = Fleet(folder)
    fleet.start_platform()
    for name in ("ex-1", "ex-2"):
        fleet.start_instance(name, "executor", "north", "r", "quotes")
    fleet.list_instances()
    fleet.start_nodes({"entry-a": "north", "steward-a": "north"})
    fleet.operate("publish", "--plans", fleet.write("plans", PLANS))
    fleet.operate("publish", "--limits", fleet.write("limits", LIMITS))
    key = fleet.operate("give-key", "--team", "guild")
    fleet.operate("in-force", "--wait-s", "20")
    time.sleep(3)  # the entry's first part of the ceiling arrives
    return fleet, key


def time_calls(pool: HTTPConnectionPool, headers: dict) -> list[float]:
    """Time calls one after the other.

    Args:
      pool: Connections to the entry or to the executor.
      headers: Headers of each call.
    Returns:
      Seconds of each call.
    """
    times = []
    for index in range(REQUESTS):
        began = time.perf_counter()
        response = pool.request("GET", f"/room/{index}", headers=headers)
        times.append(time.perf_counter() - began)
        assert response.status == 200, response.data
    return times


def count_per_second(pool: HTTPConnectionPool, headers: dict) -> float:
    """Count the calls that several callers get through at once."""
    began = time.perf_counter()
    with ThreadPoolExecutor(CALLERS) as threads:
        jobs = [
            threads.submit(time_calls, pool, headers) for _ in range(CALLERS)
        ]
        total = sum(len(job.result()) for job in jobs)
    return total / (time.perf_counter() - began)


def processor_s(pid: int) -> float:
    """Read the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


def percentile(times: list[float], part: float) -> float:
    """Compute a percentile in milliseconds."""
    ranked = sorted(times)
    return ranked[min(int(len(ranked) * part), len(ranked) - 1)] * 1000


def run_all() -> None:
    """Measure and print the ratio of the medians."""
    fleet, key = start_fleet(Path(tempfile.mkdtemp()))
    try:
        _measure(fleet, key)
    finally:
        fleet.close()


def _measure(fleet: Fleet, key: str) -> None:
    headers = {
        "Authorization": f"Bearer {key}",
        "Sesamehall-Service": "quotes",
    }
    pools = []
    for name in ("ex-1", "entry-a"):
        host, _, port = fleet.address(name).partition(":")
        pools.append(HTTPConnectionPool(host, int(port), maxsize=CALLERS))
    direct_pool, entry_pool = pools
    time_calls(entry_pool, headers)
    direct: list[float] = []
    through: list[float] = []
    for _ in range(ROUNDS):
        direct += time_calls(direct_pool, {})
        through += time_calls(entry_pool, headers)
    pid = fleet.processes_by_name["entry-a"].pid
    before = processor_s(pid)
    rate = count_per_second(entry_pool, headers)
    used_s = processor_s(pid) - before
    direct_rate = count_per_second(direct_pool, {})
    per_request_ms = used_s * 1000 / (CALLERS * REQUESTS)
    print(
        f"median {percentile(direct, 0.5):.2f} ms direct,"
        f" {percentile(through, 0.5):.2f} ms through; 99th percentile"
        f" {percentile(direct, 0.99):.2f} and {percentile(through, 0.99):.2f}"
        f" ms; {direct_rate:.0f} and {rate:.0f} requests a second with"
        f" {CALLERS} callers; {per_request_ms:.2f} ms of the entry's"
        " processor a request"
    )
    ratio = statistics.median(through) / statistics.median(direct)
    print(f"entry_overhead={ratio:.2f}")


if __name__ == "__main__":
    run_all()
