"""Measures the seconds until an accepted edit is in force at every entry.

Runs real processes in two data centres with lists of 250 teams and 323 pools.
During half of the edits the platform answers slowly and loses answers.  The
value is the 99th percentile; it must not exceed 8.
"""

from bench.live_fleet import await_status
from bench.live_fleet import build_limits
from bench.live_fleet import start_fleet
from sesamehall.core.codes import PlatformError
from sesamehall.core.records import LimitsPublished
from sesamehall.core.records import Record

EDITS = 40
BROWNOUT_FAULTS = {"down": False, "lose_answers": 1000, "delay_ms": 200}
NO_FAULTS = {"down": False, "lose_answers": 0, "delay_ms": 0}


def run_all() -> None:
    """Measure the times and print their percentiles."""
    fleet, log = start_fleet()
    normal: list[float] = []
    brownout: list[float] = []
    try:
        for edit in range(1, EDITS + 1):
            durations_s = normal
            if edit == EDITS // 2:
                fleet.control("faults", BROWNOUT_FAULTS)
            if edit >= EDITS // 2:
                durations_s = brownout
            body = LimitsPublished(edit, build_limits(edit))
            try:
                log.append(Record(f"limits-{edit}", body))
            except PlatformError:
                pass  # the append took effect; the fault dropped its answer
            durations_s += await_status(fleet, "limits_version", edit + 1)
        fleet.control("faults", NO_FAULTS)
    finally:
        fleet.close()
    for name, durations_s in (("normal", normal), ("brownout", brownout)):
        ranked = sorted(durations_s)
        median = ranked[len(ranked) // 2]
        print(f"{name}: median {median:.3f} s, maximum {ranked[-1]:.3f} s")
    ranked = sorted(normal + brownout)
    print(f"config_in_force={ranked[int(len(ranked) * 0.99)]:.3f}")


if __name__ == "__main__":
    run_all()
