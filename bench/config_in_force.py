"""Seconds from an accepted edit to its being in force at every entry.

Real processes of two data centres, lists of 250 teams and 323 pools; half of
the edits are made while the platform answers slowly and loses answers.  The
value is the 99th percentile, at most 8.
"""

from bench.live import await_status
from bench.live import build_limits
from bench.live import start_fleet
from sesamehall.core.codes import PlatformError
from sesamehall.core.records import LimitsPublished
from sesamehall.core.records import Record

EDITS = 40
BROWN_OUT = {"down": False, "lose_answers": 1000, "delay_ms": 200}
CALM = {"down": False, "lose_answers": 0, "delay_ms": 0}


def run_all() -> None:
    """Measure and print the percentiles."""
    fleet, log = start_fleet()
    calm: list[float] = []
    brown: list[float] = []
    try:
        for edit in range(1, EDITS + 1):
            times = calm
            if edit == EDITS // 2:
                fleet.control("faults", BROWN_OUT)
            if edit >= EDITS // 2:
                times = brown
            body = LimitsPublished(edit, build_limits(edit))
            try:
                log.append(Record(f"limits-{edit}", body))
            except PlatformError:
                pass  # it took effect, its answer was lost on purpose
            times += await_status(fleet, "limits_version", edit + 1)
        fleet.control("faults", CALM)
    finally:
        fleet.close()
    for name, times in (("calm", calm), ("brown-out", brown)):
        ranked = sorted(times)
        middle = ranked[len(ranked) // 2]
        print(f"{name}: median {middle:.3f} s, most {ranked[-1]:.3f} s")
    ranked = sorted(calm + brown)
    print(f"config_in_force={ranked[int(len(ranked) * 0.99)]:.3f}")


if __name__ == "__main__":
    run_all()
