"""Drains of zones during the soak, and the check that nothing starts there."""

from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
import random
import time

from soak.cluster import Cluster
from soak.promises import Violation
from standins.jobworker import JobWorker

PAUSE_S = (0.3, 2.0)  # before a drain
DRAIN_S = (2.0, 14.0)  # the longer ones outlast the limit
DRAIN_WITHIN_S = 3.0  # EvacuateMs of the managers' settings
MAX_STRETCH_S = 1.0  # MaxStretchMs of the managers' settings
ORDER_VALID_S = 2.5  # an order that is held up on its way arrives within this
START_LIMIT_S = DRAIN_WITHIN_S + MAX_STRETCH_S + ORDER_VALID_S


@dataclass(frozen=True, slots=True)
class ZoneDrain:
    """A drain of a zone, in monotonic time.

    Attributes:
      zone: Name of the zone.
      confirmed_s: Time at which the store had confirmed the request.
      revoked_s: Time at which the request was deleted.
    """

    zone: str
    confirmed_s: float
    revoked_s: float


class ZoneDrainer:
    """Drains zones one after the other, and takes each request back."""

    def __init__(
        self, cluster: Cluster, seed: int, log: Callable[[str], None]
    ):
        """Initialize the drainer.

        Args:
          cluster: Whose zones are drained.
          seed: Seed for the zones and times.
          log: Called with a line of text for each drain.
        """
        self._cluster = cluster
        # Drawn apart, so that the faults of a seed stay the same.
        self._random = random.Random(f"drains {seed}")
        self._log = log
        self.drains: list[ZoneDrain] = []

    def drain_for(self, seconds: float) -> None:
        """Drain zones for a while; none is drained afterwards.

        Args:
          seconds: Time after which the last request is taken back.
        """
        end_s = time.monotonic() + seconds
        while True:
            time.sleep(self._random.uniform(*PAUSE_S))
            zone = self._random.choice(self._cluster.layout.zones)
            drain_s = self._random.uniform(*DRAIN_S)
            left_s = end_s - time.monotonic()
            if left_s <= 0:
                return
            self._log(f"zone {zone} drained for {min(drain_s, left_s):.3f} s")
            self._cluster.put_drain(zone, b"{}")
            confirmed_s = time.monotonic()
            time.sleep(min(drain_s, left_s))
            revoked_s = time.monotonic()
            self._cluster.put_drain(zone, b"")
            self.drains.append(ZoneDrain(zone, confirmed_s, revoked_s))


def check_drains(
    drains: list[ZoneDrain],
    workers: list[JobWorker],
    zone_of_worker: Callable[[str], str],
) -> Iterator[Violation]:
    """Check that nothing starts in a drained zone after the limit.

    Args:
      drains: The drains.
      workers: All workers, including those that have terminated.
      zone_of_worker: Returns the zone of a worker, given its identifier.
    Yields:
      A violation for each start.
    """
    for worker in workers:
        zone = zone_of_worker(worker.worker_id)
        for drain in drains:
            if drain.zone != zone:
                continue
            for record in worker.records:
                limit_s = drain.confirmed_s + START_LIMIT_S
                if limit_s < record.started_s < drain.revoked_s:
                    yield Violation(
                        "start in a drained zone", f"{drain} {record}"
                    )
