"""Measures the overhead of an entry on real processes over loopback.

The same client calls an executor's stand-in directly and through one entry,
alternately within one run.  The value is the ratio of the median latencies;
it must not exceed 4.  It also prints the 99th percentiles, the throughput
with eight concurrent callers, and the entry's processor time per request.
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
      folder: Folder for settings and logs.
    Returns:
      The fleet and a valid key.
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
    time.sleep(3)  # until the entry has its first part of the ceiling
    return fleet, key


def time_calls(pool: HTTPConnectionPool, headers: dict) -> list[float]:
    """Time sequential calls.

    Args:
      pool: Connections to the entry or to the executor.
      headers: Headers of each call.
    Returns:
      Latency of each call in seconds.
    """
    times = []
    for index in range(REQUESTS):
        started_at = time.perf_counter()
        response = pool.request("GET", f"/room/{index}", headers=headers)
        times.append(time.perf_counter() - started_at)
        assert response.status == 200, response.data
    return times


def measure_throughput(pool: HTTPConnectionPool, headers: dict) -> float:
    """Measure the throughput of concurrent callers in calls per second."""
    started_at = time.perf_counter()
    with ThreadPoolExecutor(CALLERS) as threads:
        futures = [
            threads.submit(time_calls, pool, headers) for _ in range(CALLERS)
        ]
        total = sum(len(future.result()) for future in futures)
    return total / (time.perf_counter() - started_at)


def read_processor_s(pid: int) -> float:
    """Read the processor time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


def percentile(times: list[float], fraction: float) -> float:
    """Compute a percentile of times in seconds, in milliseconds."""
    ranked = sorted(times)
    return ranked[min(int(len(ranked) * fraction), len(ranked) - 1)] * 1000


def run_all() -> None:
    """Start the processes, measure and print the results."""
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
    direct_times: list[float] = []
    entry_times: list[float] = []
    for _ in range(ROUNDS):
        direct_times += time_calls(direct_pool, {})
        entry_times += time_calls(entry_pool, headers)
    pid = fleet.processes_by_name["entry-a"].pid
    before_s = read_processor_s(pid)
    entry_rate = measure_throughput(entry_pool, headers)
    used_s = read_processor_s(pid) - before_s
    direct_rate = measure_throughput(direct_pool, {})
    per_request_ms = used_s * 1000 / (CALLERS * REQUESTS)
    print(
        f"median {percentile(direct_times, 0.5):.2f} ms direct,"
        f" {percentile(entry_times, 0.5):.2f} ms through the entry; 99th"
        f" percentile {percentile(direct_times, 0.99):.2f} and"
        f" {percentile(entry_times, 0.99):.2f} ms; {direct_rate:.0f} and"
        f" {entry_rate:.0f} requests per second with {CALLERS} callers;"
        f" {per_request_ms:.2f} ms of the entry's processor time per request"
    )
    ratio = statistics.median(entry_times) / statistics.median(direct_times)
    print(f"entry_overhead={ratio:.2f}")


if __name__ == "__main__":
    run_all()
