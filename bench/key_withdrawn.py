"""Seconds from a key's withdrawal to its last accepted use.

Real processes of two data centres; both entries get requests with the key
all the time.  The value is the longest of several withdrawals, at most 5;
the last one is made while the platform answers slowly.
"""

from hashlib import sha256
import time

from bench.live import await_status
from bench.live import NODES
from bench.live import start_fleet
from demo.fleet import Caller
from sesamehall.core.codes import PlatformError
from sesamehall.core.data import Key
from sesamehall.core.records import KeyGiven
from sesamehall.core.records import KeyWithdrawn
from sesamehall.core.records import Record

ROUNDS = 10
SECRET = "not-a-secret"
SLOW = {"down": False, "lose_answers": 1000, "delay_ms": 300}
REFUSED = 2002
MOST_S = 20


def time_withdrawal(fleet, log, number: int) -> float:
    """Give a key, withdraw it, and time its last accepted use.

    Args:
      fleet: The fleet.
      log: Client of its log.
      number: Makes the key's id unique.
    Returns:
      Seconds from the withdrawal's append.
    """
    key_id = f"key-{number}"
    key = Key(key_id, "team-0", sha256(SECRET.encode()).digest())
    log.append(Record(f"give-{number}", KeyGiven(key)))
    await_status(fleet, "keys", 1)
    caller = Caller(fleet.http, f"{key_id}.{SECRET}")
    addresses = [fleet.address(name) for name in NODES if "entry" in name]
    if number == ROUNDS - 1:
        fleet.control("faults", SLOW)
    began = time.monotonic()
    try:
        log.append(Record(f"withdraw-{number}", KeyWithdrawn(key_id)))
    except PlatformError:
        pass  # it took effect, its answer was lost on purpose
    last = began
    while time.monotonic() - began < MOST_S:
        codes = [
            caller.send(address, "/", "service-0").code
            for address in addresses
        ]
        if all(code == REFUSED for code in codes):
            break
        last = time.monotonic()
    return last - began


def run_all() -> None:
    """Measure and print the longest time."""
    fleet, log = start_fleet()
    try:
        times = [time_withdrawal(fleet, log, i) for i in range(ROUNDS)]
    finally:
        fleet.close()
    shown = ", ".join(f"{seconds:.3f}" for seconds in times)
    print(f"each {shown} s, the last with a slow platform")
    print(f"key_withdrawn={max(times):.3f}")


if __name__ == "__main__":
    run_all()
