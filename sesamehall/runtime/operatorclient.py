"""The operators' client: reads the log and proposes changes to it."""

from collections.abc import Callable
from hashlib import sha256
import json
import os
import secrets
import sys
import time

from urllib3 import PoolManager
from urllib3 import Timeout
from urllib3.exceptions import HTTPError

from sesamehall.core.agreement import Agreed
from sesamehall.core.agreement import Placement
from sesamehall.core.agreement import Verdict
from sesamehall.core.codes import PlatformError
from sesamehall.core.data import Key
from sesamehall.core.data import LimitsList
from sesamehall.core.data import PlansList
from sesamehall.core.records import KeyGiven
from sesamehall.core.records import KeyWithdrawn
from sesamehall.core.records import LimitsPublished
from sesamehall.core.records import LogEntry
from sesamehall.core.records import PlansPublished
from sesamehall.core.records import Record
from sesamehall.core.records import RecordBody
from sesamehall.core.settings import OperatorSettings
from sesamehall.reducer.state_machine import apply_log_entry
from sesamehall.reducer.state_machine import find_snapshot
from sesamehall.runtime.platformclient import LogClient

EXIT_REFUSED = 1
EXIT_UNKNOWN = 3
RETRY_PAUSE_S = 0.2  # between polls of the entries and between append attempts
READ_WAIT_MS = 200
ENTRY_TIMEOUT = Timeout(connect=1, read=2)
SECRET_BYTES = 24


class OperatorClient:
    """Reads the log and appends an operator's changes to it.

    Attributes:
      agreed: The replicated state, up to the last record read.
    """

    def __init__(self, settings: OperatorSettings):
        """Read the log to its end; exit if it cannot be read.

        Args:
          settings: Settings of the command line.
        """
        self._settings = settings
        self._log = LogClient(settings.platform, settings.log_stream)
        self.agreed = Agreed()
        try:
            while self._read_next(wait_ms=0):
                pass
        except PlatformError as error:
            _exit_with(EXIT_UNKNOWN, f"the log cannot be read: {error}")

    def publish_plans(self, plans: PlansList, based_on: int) -> None:
        """Publish a new list of plans and print the verdict.

        Args:
          plans: The complete new list.
          based_on: Version that was edited, or -1 for the latest.
        """
        version = self.agreed.plans_version if based_on < 0 else based_on
        self._propose(PlansPublished(version, plans))
        print(f"accepted: plans version {self.agreed.plans_version}")

    def publish_limits(self, limits: LimitsList, based_on: int) -> None:
        """Publish a new list of limits and print the verdict.

        Args:
          limits: The complete new list.
          based_on: Version that was edited, or -1 for the latest.
        """
        version = self.agreed.limits_version if based_on < 0 else based_on
        self._propose(LimitsPublished(version, limits))
        print(f"accepted: limits version {self.agreed.limits_version}")

    def give_key(self, team: str) -> None:
        """Give a key to a team and print it; only its digest is stored.

        Args:
          team: Name of the team.
        """
        key_id = f"key-{secrets.token_hex(6)}"
        secret = secrets.token_urlsafe(SECRET_BYTES)
        digest = sha256(secret.encode()).digest()
        self._propose(KeyGiven(Key(key_id, team, digest)))
        print(f"{key_id}.{secret}")

    def withdraw_key(self, key_id: str) -> None:
        """Withdraw a key permanently.

        Args:
          key_id: The part of the key before the dot.
        """
        self._propose(KeyWithdrawn(key_id))
        print(f"accepted: {key_id} is withdrawn")

    def show(self) -> None:
        """Print the replicated state at the end of the log."""
        agreed = self.agreed
        print(f"log read up to offset {agreed.next_offset}")
        print(f"plans version {agreed.plans_version}")
        for team, plan in sorted(agreed.plans_by_team.items()):
            print(
                f"  {team}: services {', '.join(plan.services) or '-'};"
                f" pools {', '.join(plan.pools) or '-'}"
            )
        print(f"limits version {agreed.limits_version}")
        for team, limit in sorted(agreed.limits_by_team.items()):
            running = agreed.running_jobs_by_team.get(team, 0)
            print(
                f"  {team}: share {limit.share}, ceiling {limit.ceiling},"
                f" jobs running {running}"
            )
        print(f"keys in force {len(agreed.keys_by_id)}")
        for key_id, key in sorted(agreed.keys_by_id.items()):
            print(f"  {key_id}: {key.team}")
        self._show_pools()
        self._show_jobs()

    def show_in_force(self, wait_s: int) -> None:
        """Print the versions in force at each entry; exit if one is behind.

        Args:
          wait_s: How long to wait for all entries to catch up with the log.
        """
        deadline = time.monotonic() + wait_s
        lines, any_behind = self._query_entries()
        while any_behind and time.monotonic() < deadline:
            time.sleep(RETRY_PAUSE_S)
            lines, any_behind = self._query_entries()
        for line in lines:
            print(line)
        if any_behind:
            _exit_with(EXIT_REFUSED, "not in force everywhere")

    def _show_pools(self):
        agreed = self.agreed
        print("pools")
        for name, pool in sorted(agreed.pools_by_name.items()):
            members = sorted(
                _describe_member(placement)
                for placement in agreed.placements_by_instance.values()
                if placement.pool == name
            )
            print(
                f"  {name}: {pool.kind.value}s, minimum {pool.minimum},"
                f" has {', '.join(members) or 'none'}"
            )

    def _show_jobs(self):
        print("jobs")
        for job_id, status in sorted(self.agreed.jobs_by_id.items()):
            print(
                f"  {job_id}: {status.job.team}, {status.phase.value}"
                f" {status.worker} {status.detail}".rstrip()
            )

    def _query_entries(self):
        """Query each entry's versions and check whether one is behind."""
        pool = PoolManager(retries=False, timeout=ENTRY_TIMEOUT)
        lines = []
        any_behind = False
        for address in self._settings.entries:
            url = f"http://{address}/sesamehall/v1/status"
            try:
                status = json.loads(pool.request("GET", url).data)
                is_behind = (
                    status["plans_version"] < self.agreed.plans_version
                    or status["limits_version"] < self.agreed.limits_version
                    or status["next_offset"] < self.agreed.next_offset
                )
                lines.append(
                    f"{status['name']} in {status['data_centre']}:"
                    f" plans {status['plans_version']},"
                    f" limits {status['limits_version']},"
                    f" keys {status['keys']}{' behind' if is_behind else ''}"
                )
            except (HTTPError, OSError, ValueError, KeyError):
                is_behind = True
                lines.append(f"{address}: no answer")
            any_behind = any_behind or is_behind
        return lines, any_behind

    def _propose(self, body: RecordBody) -> None:
        """Append a record and wait for its verdict; exit unless accepted.

        The append is retried until the log confirms it; the record ID makes
        duplicates harmless.
        """
        record = Record(f"operator/{os.urandom(8).hex()}", body)
        deadline = time.monotonic() + self._settings.timeout_s
        verdict = None
        appended = False
        while verdict is None and time.monotonic() < deadline:
            if not appended:
                appended = self._call_or_pause(
                    lambda: self._log.append(record)
                )
            self._call_or_pause(lambda: self._read_next(READ_WAIT_MS))
            verdict = self.agreed.verdicts_by_record_id.get(record.record_id)
        if verdict is None:
            _exit_with(
                EXIT_UNKNOWN,
                "unknown: the change was not read back from the log in time"
                " and may still take effect; check with `sesamehall show`",
            )
        if verdict is not Verdict.ACCEPTED:
            _exit_with(EXIT_REFUSED, f"refused: {verdict.value}")

    def _call_or_pause(self, call: Callable) -> bool:
        """Call the platform; pause after a failure to limit the retry rate."""
        try:
            call()
        except PlatformError:
            time.sleep(RETRY_PAUSE_S)
            return False
        return True

    def _read_next(self, wait_ms: int) -> bool:
        """Read and apply the next entries; return whether there were any."""
        earliest, entries = self._log.read(self.agreed.next_offset, wait_ms)
        if earliest > self.agreed.next_offset:
            self._load_snapshot(earliest, entries)
            return True
        for entry in entries:
            self.agreed, _ = apply_log_entry(self.agreed, entry)
        return bool(entries)

    def _load_snapshot(
        self, earliest: int, entries: tuple[LogEntry, ...]
    ) -> None:
        """Load a snapshot, since older records were dropped from the log."""
        while entries:
            agreed = find_snapshot(entries, earliest)
            if agreed is not None:
                self.agreed = agreed
                return
            next_offset = entries[-1].offset + 1
            earliest, entries = self._log.read(next_offset, wait_ms=0)
        raise PlatformError("the log contains no snapshot")


def _describe_member(placement: Placement) -> str:
    name = placement.instance.name
    return name if placement.move is None else f"{name} (leaving)"


def _exit_with(code: int, message: str) -> None:
    print(message, file=sys.stderr)
    raise SystemExit(code)
