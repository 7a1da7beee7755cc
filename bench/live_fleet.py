"""Fleet of real processes for benchmarks of list and key propagation."""

from pathlib import Path
import tempfile
import time

from demo.fleet import Fleet
from sesamehall.codecs.checks import LIMITS_CHECKS
from sesamehall.codecs.checks import PLANS_CHECKS
from sesamehall.codecs.yamlfile import load_yaml
from sesamehall.core.data import LimitsList
from sesamehall.core.data import PlansList
from sesamehall.core.records import LimitsPublished
from sesamehall.core.records import PlansPublished
from sesamehall.core.records import Record
from sesamehall.runtime.platformclient import LogClient

DATA_CENTRES_BY_NODE = {
    "entry-a": "north",
    "entry-b": "south",
    "steward-a": "north",
    "steward-b": "south",
}
TEAMS = 250
POOLS = 323
STATUS_TIMEOUT_S = 30


def start_fleet() -> tuple[Fleet, LogClient]:
    """Start a fleet of two data centres with lists of the design size.

    Returns:
      The fleet, and a client of its log.
    """
    fleet = Fleet(Path(tempfile.mkdtemp()))
    fleet.start_platform()
    fleet.start_instance("ex-1", "executor", "north", "r1", "pool-0")
    fleet.start_instance("ex-2", "executor", "south", "r2", "pool-0")
    fleet.list_instances()
    fleet.start_nodes(DATA_CENTRES_BY_NODE)
    log = LogClient(fleet.address("platform"), "sesamehall")
    plans = load_yaml(
        fleet.write("plans", _build_plans()), PlansList, PLANS_CHECKS
    )
    log.append(Record("plans-0", PlansPublished(0, plans)))
    log.append(Record("limits-0", LimitsPublished(0, build_limits(0))))
    await_status(fleet, "limits_version", 1)
    return fleet, log


def build_limits(edit: int) -> LimitsList:
    """Build a list of limits whose ceilings depend on the edit.

    Args:
      edit: Number of the edit.
    Returns:
      The list.
    """
    path = Path(tempfile.mkdtemp()) / "limits.yaml"
    rows = [
        f"- {{team: team-{i}, share: 1, ceiling: {100 + edit}}}"
        for i in range(TEAMS)
    ]
    path.write_text("limits:\n" + "\n".join(rows) + "\n")
    return load_yaml(str(path), LimitsList, LIMITS_CHECKS)


def await_status(fleet: Fleet, field: str, value: int) -> list[float]:
    """Poll the entries until a status field has reached a value at each.

    Args:
      fleet: The fleet.
      field: Field of the entries' status pages.
      value: Minimum value to wait for.
    Returns:
      Seconds from the call until each entry reached the value.
    Raises:
      RuntimeError: An entry did not reach the value in time.
    """
    started_at = time.monotonic()
    pending = {
        fleet.address(name) for name in DATA_CENTRES_BY_NODE if "entry" in name
    }
    durations_s = []
    while pending:
        for address in sorted(pending):
            url = f"http://{address}/sesamehall/v1/status"
            if fleet.http.request("GET", url).json()[field] >= value:
                durations_s.append(time.monotonic() - started_at)
                pending.discard(address)
        if time.monotonic() - started_at > STATUS_TIMEOUT_S:
            raise RuntimeError(
                f"{field} did not reach {value} within {STATUS_TIMEOUT_S} s"
            )
        time.sleep(0.005)
    return durations_s


def _build_plans() -> dict:
    return {
        "plans": [
            {"team": f"team-{i}", "services": [f"service-{i % POOLS}"]}
            for i in range(TEAMS)
        ],
        "services": [
            {"name": f"service-{i}", "pool": f"pool-{i}"} for i in range(POOLS)
        ],
        "pools": [
            {"name": f"pool-{i}", "kind": "executor"} for i in range(POOLS)
        ],
    }
