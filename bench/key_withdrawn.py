"""Measures the seconds from a key's withdrawal to its last accepted use.

Runs real processes in two data centres; both entries receive requests with
the key continuously.  The value is the maximum over several withdrawals; it
must not exceed 5.  During the last one the platform answers slowly.
"""

from hashlib import sha256
import time

from bench.live_fleet import await_status
from bench.live_fleet import DATA_CENTRES_BY_NODE
from bench.live_fleet import start_fleet
from demo.fleet import Caller
from sesamehall.core.codes import PlatformError
from sesamehall.core.data import Key
from sesamehall.core.records import KeyGiven
from sesamehall.core.records import KeyWithdrawn
from sesamehall.core.records import Record

ROUNDS = 10
SECRET = "not-a-secret"
SLOW_PLATFORM_FAULTS = {"down": False, "lose_answers": 1000, "delay_ms": 300}
KEY_REFUSED_CODE = 2002
TIMEOUT_S = 20


def time_withdrawal(fleet, log, number: int) -> float:
    """Give a key, withdraw it, and time its last accepted use.

    Args:
      fleet: The fleet.
      log: Client of the fleet's log.
      number: Number of the round, part of the key's id.
    Returns:
      Seconds from the append of the withdrawal to the last accepted use.
    """
    key_id = f"key-{number}"
    key = Key(key_id, "team-0", sha256(SECRET.encode()).digest())
    log.append(Record(f"give-{number}", KeyGiven(key)))
    await_status(fleet, "keys", 1)
    caller = Caller(fleet.http, f"{key_id}.{SECRET}")
    addresses = [
        fleet.address(name) for name in DATA_CENTRES_BY_NODE if "entry" in name
    ]
    if number == ROUNDS - 1:
        fleet.control("faults", SLOW_PLATFORM_FAULTS)
    withdrawn_at = time.monotonic()
    try:
        log.append(Record(f"withdraw-{number}", KeyWithdrawn(key_id)))
    except PlatformError:
        pass  # the append took effect; the fault dropped its answer
    last_accepted_at = withdrawn_at
    while time.monotonic() - withdrawn_at < TIMEOUT_S:
        codes = [
            caller.send(address, "/", "service-0").code
            for address in addresses
        ]
        if all(code == KEY_REFUSED_CODE for code in codes):
            break
        last_accepted_at = time.monotonic()
    return last_accepted_at - withdrawn_at


def run_all() -> None:
    """Measure the times and print the longest one."""
    fleet, log = start_fleet()
    try:
        durations_s = [time_withdrawal(fleet, log, i) for i in range(ROUNDS)]
    finally:
        fleet.close()
    listed = ", ".join(f"{seconds:.3f}" for seconds in durations_s)
    print(f"withdrawals: {listed} s; the last one with a slow platform")
    print(f"key_withdrawn={max(durations_s):.3f}")


if __name__ == "__main__":
    run_all()
