"""Settings of the property-based tests.

They draw the same examples in each run.  FUZZ_EXAMPLES=10000 draws as many
fresh ones for each test instead.
"""

import os

from hypothesis import HealthCheck
from hypothesis import settings

settings.register_profile(
    "repeatable",
    derandomize=True,
    deadline=None,
    max_examples=100,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.register_profile(
    "fresh",
    deadline=None,
    max_examples=int(os.environ.get("FUZZ_EXAMPLES", "100")),
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile(
    "fresh" if "FUZZ_EXAMPLES" in os.environ else "repeatable"
)
