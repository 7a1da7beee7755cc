"""How near each team comes to its share while queues surge by turns.

The value is the mean distance of received from due over windows of 1 s in
which the surging queue was full, in per cent of due; the worse of the two
users' sizes.  Beside it: a fixed division of ceilings between the entries,
and one entry that knows everything.
"""

from unittest.mock import patch

from bench.demand import Figures
from bench.demand import run_demand
from bench.driver import CALM
from bench.worlds import AGUAS
from bench.worlds import build_world
from bench.worlds import GUILD
from bench.worlds import Sizes
from sesamehall.core.agreement import Agreed
from sesamehall.core.replacing import replace
from sesamehall.core.state import State
from sesamehall.core.step import Step
from sesamehall.reducer import dispatching
from sesamehall.reducer import membership
from sesamehall.reducer.units import UNITS_PER_CEILING


def measure(sizes: Sizes, seed: int = 1) -> Figures:
    """Run the demand on a world as it is built.

    Args:
      sizes: How large it is.
      seed: Seed of the history.
    Returns:
      The figures.
    """
    return run_demand(build_world(seed, sizes, CALM), sizes)


def measure_divided(sizes: Sizes) -> Figures:
    """Run the demand with a fixed division of the ceilings.

    Args:
      sizes: How large it is.
    Returns:
      The figures.
    """
    part = UNITS_PER_CEILING // sizes.entries
    with (
        patch.object(dispatching, "request_units", _seek_nothing),
        patch.object(membership, "initial_units", lambda state: part),
        patch.object(membership, "free_account_units", _all_free),
    ):
        return measure(sizes)


def _seek_nothing(state: State, team: str, at_ms: int) -> Step:
    return Step(state)


def _all_free(agreed: Agreed, team: str) -> int:
    """Let every entry take its part, also the last one."""
    return UNITS_PER_CEILING


def run_both() -> None:
    """Measure both users' sizes and print the figures."""
    values = []
    for name, sizes in (("guild", GUILD), ("aguas", AGUAS)):
        ours = measure(sizes)
        divided = measure_divided(sizes)
        single = measure(replace(sizes, entries=1))
        values.append(ours)
        print(
            f"{name}: share error {ours.share_error:.2f} %, divided"
            f" {divided.share_error:.2f} %, one entry"
            f" {single.share_error:.2f} %; slots used"
            f" {ours.slots_used:.2f} %, divided {divided.slots_used:.2f} %,"
            f" one entry {single.slots_used:.2f} %; {ours.answered} ran"
        )
    print(f"slots_used={min(value.slots_used for value in values):.2f}")
    print(f"share_error={max(value.share_error for value in values):.2f}")


if __name__ == "__main__":
    run_both()
