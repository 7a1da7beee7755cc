"""Measures how far teams are from their fair share while queues surge in turn.

The value is the mean difference between occupied and fair slots, in percent
of the fair slots, over windows of 1 s in which the surging pool was
saturated; the worse of the two users' cluster sizes counts.  For comparison,
it also measures a static division of the ceilings between the entries, and a
single entry, which sees all requests.
"""

from unittest.mock import patch

from bench.demand import DemandMetrics
from bench.demand import run_demand
from bench.driver import NO_FAULTS
from bench.simulated_clusters import AGUAS
from bench.simulated_clusters import build_simulation
from bench.simulated_clusters import ClusterSpec
from bench.simulated_clusters import GUILD
from sesamehall.core.agreement import Agreed
from sesamehall.core.replacing import replace
from sesamehall.core.state import State
from sesamehall.core.step import Step
from sesamehall.reducer import dispatching
from sesamehall.reducer import membership
from sesamehall.reducer.units import UNITS_PER_CEILING


def measure(spec: ClusterSpec, seed: int = 1) -> DemandMetrics:
    """Run the demand on a cluster without faults.

    Args:
      spec: Size of the cluster.
      seed: Seed of the random generator.
    Returns:
      The metrics.
    """
    return run_demand(build_simulation(seed, spec, NO_FAULTS), spec)


def measure_static(spec: ClusterSpec) -> DemandMetrics:
    """Run the demand with a static, equal division of the ceilings.

    Args:
      spec: Size of the cluster.
    Returns:
      The metrics.
    """
    entry_units = UNITS_PER_CEILING // spec.entries
    with (
        patch.object(dispatching, "request_units", _skip_unit_request),
        patch.object(membership, "initial_units", lambda state: entry_units),
        patch.object(membership, "free_account_units", _report_all_free),
    ):
        return measure(spec)


def _skip_unit_request(state: State, team: str, at_ms: int) -> Step:
    return Step(state)


def _report_all_free(agreed: Agreed, team: str) -> int:
    """Report the whole ceiling as free, so that every entry gets its part."""
    return UNITS_PER_CEILING


def run_both() -> None:
    """Measure both users' cluster sizes and print the metrics."""
    results = []
    for name, spec in (("guild", GUILD), ("aguas", AGUAS)):
        dynamic = measure(spec)
        static = measure_static(spec)
        single = measure(replace(spec, entries=1))
        results.append(dynamic)
        print(
            f"{name}: share error {dynamic.share_error:.2f} %, static division"
            f" {static.share_error:.2f} %, one entry"
            f" {single.share_error:.2f} %; slots used"
            f" {dynamic.slots_used:.2f} %, static division"
            f" {static.slots_used:.2f} %, one entry"
            f" {single.slots_used:.2f} %; {dynamic.started} requests started"
        )
    print(f"slots_used={min(result.slots_used for result in results):.2f}")
    print(f"share_error={max(result.share_error for result in results):.2f}")


if __name__ == "__main__":
    run_both()
