"""Checks of settings and lists beyond their types."""

from collections.abc import Iterable
import re
from types import SimpleNamespace

from sesamehall.codecs.addresses import is_address
from sesamehall.codecs.yamlfile import Checks
from sesamehall.codecs.yamlfile import Reading
from sesamehall.core.data import Limit
from sesamehall.core.data import LimitsList
from sesamehall.core.data import PlansList
from sesamehall.core.data import Pool
from sesamehall.core.data import TargetKind

NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
SHARE_MOST = 1_000
CEILING_MOST = 1_000_000
ADDRESS_FIELDS = ("http", "stream", "platform", "statsd")
POSITIVE_FIELDS = (
    "threads",
    "queue_limit",
    "body_limit_bytes",
    "header_limit_bytes",
    "default_deadline_ms",
    "sender_timeout_s",
    "timeout_s",
)
OPTIONAL_FIELDS = ("statsd",)


def _check_settings(settings: SimpleNamespace, reading: Reading) -> None:
    """Report bad names, addresses, numbers and doubled peers.

    Fields that are wrong already are missing from the settings.
    """
    for name in ("name", "data_centre"):
        if hasattr(settings, name):
            _check_name(reading, name, getattr(settings, name))
    for name in ADDRESS_FIELDS:
        value = getattr(settings, name, "")
        if value or (hasattr(settings, name) and name not in OPTIONAL_FIELDS):
            _check_address(reading, name, value)
    for name in POSITIVE_FIELDS:
        if getattr(settings, name, 1) < 1:
            reading.report(name, "must be at least 1")
    for index, address in enumerate(getattr(settings, "entries", ())):
        _check_address(reading, f"entries.{index}", address)
    _check_peers(settings, reading)


def _check_plans(plans: PlansList, reading: Reading) -> None:
    """Report doubled names and references to what is not there."""
    _check_unique(reading, "plans", "team", (p.team for p in plans.plans))
    _check_unique(
        reading, "services", "name", (s.name for s in plans.services)
    )
    _check_unique(reading, "pools", "name", (p.name for p in plans.pools))
    kinds_by_pool = {pool.name: pool.kind for pool in plans.pools}
    teams = {plan.team for plan in plans.plans}
    services = {service.name for service in plans.services}
    for index, plan in enumerate(plans.plans):
        where = f"plans.{index}"
        _check_known(reading, f"{where}.services", plan.services, services)
        for place, pool in enumerate(plan.pools):
            name = f"{where}.pools.{place}"
            _check_pool(reading, name, pool, kinds_by_pool, TargetKind.WORKER)
    for index, service in enumerate(plans.services):
        where = f"services.{index}"
        _check_pool(
            reading,
            f"{where}.pool",
            service.pool,
            kinds_by_pool,
            TargetKind.EXECUTOR,
        )
        if service.open_to is not None and service.open_to not in teams:
            reading.report(f"{where}.open_to", "names no team of the plans")


def _check_limits(limits: LimitsList, reading: Reading) -> None:
    """Report doubled teams."""
    _check_unique(reading, "limits", "team", (x.team for x in limits.limits))


def _check_limit(limit: Limit, name: str, reading: Reading) -> None:
    """Report a share or a ceiling out of range."""
    if not 1 <= limit.share <= SHARE_MOST:
        reading.report(f"{name}.share", f"must be 1 to {SHARE_MOST}")
    if not 1 <= limit.ceiling <= CEILING_MOST:
        reading.report(f"{name}.ceiling", f"must be 1 to {CEILING_MOST}")


def _check_pool_size(pool: Pool, name: str, reading: Reading) -> None:
    """Report a minimum below zero."""
    if pool.minimum < 0:
        reading.report(f"{name}.minimum", "must be at least 0")


def _check_peers(settings, reading):
    peers = getattr(settings, "peers", ())
    _check_unique(reading, "peers", "name", (peer.name for peer in peers))
    for index, peer in enumerate(peers):
        _check_address(reading, f"peers.{index}.address", peer.address)
        if peer.name == getattr(settings, "name", ""):
            reading.report(f"peers.{index}.name", "is this node itself")


def _check_name(reading, name, value):
    if not NAME.fullmatch(value):
        reading.report(name, "must be lower-case letters, digits, . _ or -")


def _check_address(reading, name, value):
    if not is_address(value):
        reading.report(name, f"must be host:port, not {value!r}")


def _check_unique(reading, where, member, names: Iterable[str]):
    first_by_name = {}
    for index, name in enumerate(names):
        inner = f"{where}.{index}.{member}"
        _check_name(reading, inner, name)
        if name in first_by_name:
            line = reading.line_of(first_by_name[name])
            reading.report(inner, f"{name} stands in line {line} already")
        first_by_name.setdefault(name, inner)


def _check_known(reading, where, names, known):
    for index, name in enumerate(names):
        if name not in known:
            reading.report(f"{where}.{index}", f"{name} is not declared")


def _check_pool(reading, name, pool, kinds_by_pool, kind):
    if pool not in kinds_by_pool:
        reading.report(name, f"{pool} is not declared")
    elif kinds_by_pool[pool] is not kind:
        reading.report(name, f"{pool} is not a pool of {kind.value}s")


SETTINGS_CHECKS = Checks({}, fields=_check_settings)
PLANS_CHECKS = Checks({Pool: _check_pool_size}, whole=_check_plans)
LIMITS_CHECKS = Checks({Limit: _check_limit}, whole=_check_limits)
