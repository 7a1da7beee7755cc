"""Scenarios of the soak: the cluster, its load and the faults to draw from."""

from dataclasses import dataclass
import random

from soak.cluster import Layout
from soak.drains import DRAIN_WITHIN_S
from soak.drains import MAX_STRETCH_S
from soak.faults import Fault
from soak.faults import FAULTS
from soak.faults import MEAN_INTERVAL_S
from soak.faults import SERIES_WITH_CUT
from soak.faults import ZONE_FAULTS

ZONED_MANAGERS = 4
ZONES = ("dc-a", "dc-b")
CORES = (0.5, 2.2)  # of the weakest and the strongest manager
PAGE_ITEMS = (5, 20, 500)  # short pages stand for a store with many keys
ZONED_JOBS_PER_S = 4.0
ZONED_INTERVAL_S = 1.5
VARIED_SHARE = 0.25
DRAINS_SHARE = 0.3  # of the seeds
DRAIN_BOUNDS = (
    ("EvacuateMs", int(DRAIN_WITHIN_S * 1_000)),
    ("MaxStretchMs", int(MAX_STRETCH_S * 1_000)),
)
KINDS_OF_FAULTS = (2, 6)  # few kinds at once meet more often


@dataclass(frozen=True, slots=True)
class Scenario:
    """What a seed is run with.

    Attributes:
      layout: What the cluster consists of.
      faults: Faults to draw from.
      mean_interval_s: Mean time between the starts of two faults.
      jobs_per_s: Mean number of jobs per second.
      varied_share: Share of jobs with many tasks, and of jobs with long ones.
      drains: Whether operators drain zones meanwhile.
    """

    layout: Layout = Layout()
    faults: tuple[Fault, ...] = FAULTS
    mean_interval_s: float = MEAN_INTERVAL_S
    jobs_per_s: float = 4.0
    varied_share: float = 0.0
    drains: bool = False


def draw_scenario(seed: int) -> Scenario:
    """Draw a scenario with two zones and a few kinds of faults.

    Args:
      seed: Seed of the draw.
    Returns:
      The scenario.
    """
    rng = random.Random(f"scenario {seed}")
    cores = tuple(rng.uniform(*CORES) for _ in range(ZONED_MANAGERS))
    # Drawn apart, so that the faults of a seed stay the same.
    drains = random.Random(f"drains {seed}").random() < DRAINS_SHARE
    layout = Layout(
        managers=ZONED_MANAGERS,
        zones=ZONES,
        cores=rng.choice(((), cores)),
        page_items=rng.choice(PAGE_ITEMS),
        drain_bounds=DRAIN_BOUNDS if drains else (),
    )
    candidates = rng.choice(
        (FAULTS + ZONE_FAULTS, ZONE_FAULTS, SERIES_WITH_CUT)
    )
    faults = (rng.choice(ZONE_FAULTS),) + tuple(
        rng.choice(candidates)
        for _ in range(rng.randint(*KINDS_OF_FAULTS) - 1)
    )
    return Scenario(
        layout,
        faults,
        ZONED_INTERVAL_S,
        ZONED_JOBS_PER_S,
        VARIED_SHARE,
        drains,
    )
