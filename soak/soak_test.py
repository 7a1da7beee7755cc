"""Short seeded runs of the soak: real managers under faults."""

import pytest

from soak.main import run_seed

SECONDS = 6.0

# Each seed that ever failed stays here, with a line on the cause.
SEEDS = [
    1,  # never failed: all managers killed while some are frozen
]


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold(seed, tmp_path):
    assert not run_seed(seed, tmp_path, SECONDS)
