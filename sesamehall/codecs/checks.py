"""Semantic checks of settings and operators' lists, beyond field types."""

from collections.abc import Iterable
import re
from types import SimpleNamespace

from sesamehall.codecs.addresses import is_address
from sesamehall.codecs.yamlfile import Checks
from sesamehall.codecs.yamlfile import ParseContext
from sesamehall.core.data import Limit
from sesamehall.core.data import LimitsList
from sesamehall.core.data import PlansList
from sesamehall.core.data import Pool
from sesamehall.core.data import TargetKind

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
MAX_SHARE = 1_000
MAX_CEILING = 1_000_000
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


def _check_settings(settings: SimpleNamespace, context: ParseContext) -> None:
    """Report invalid names, addresses and numbers, and duplicate peers.

    Fields that failed the type check are absent from the settings.
    """
    for name in ("name", "data_centre"):
        if hasattr(settings, name):
            _check_name(context, name, getattr(settings, name))
    for name in ADDRESS_FIELDS:
        value = getattr(settings, name, "")
        if value or (hasattr(settings, name) and name not in OPTIONAL_FIELDS):
            _check_address(context, name, value)
    for name in POSITIVE_FIELDS:
        if getattr(settings, name, 1) < 1:
            context.report(name, "must be at least 1")
    for index, address in enumerate(getattr(settings, "entries", ())):
        _check_address(context, f"entries.{index}", address)
    _check_peers(settings, context)


def _check_plans(plans: PlansList, context: ParseContext) -> None:
    """Report duplicate names and references to undeclared names."""
    _check_unique(context, "plans", "team", (p.team for p in plans.plans))
    _check_unique(
        context, "services", "name", (s.name for s in plans.services)
    )
    _check_unique(context, "pools", "name", (p.name for p in plans.pools))
    kinds_by_pool = {pool.name: pool.kind for pool in plans.pools}
    teams = {plan.team for plan in plans.plans}
    services = {service.name for service in plans.services}
    for index, plan in enumerate(plans.plans):
        prefix = f"plans.{index}"
        _check_declared(context, f"{prefix}.services", plan.services, services)
        for pool_index, pool in enumerate(plan.pools):
            name = f"{prefix}.pools.{pool_index}"
            _check_pool_reference(
                context, name, pool, kinds_by_pool, TargetKind.WORKER
            )
    for index, service in enumerate(plans.services):
        prefix = f"services.{index}"
        _check_pool_reference(
            context,
            f"{prefix}.pool",
            service.pool,
            kinds_by_pool,
            TargetKind.EXECUTOR,
        )
        if service.open_to is not None and service.open_to not in teams:
            context.report(f"{prefix}.open_to", "is not a team with a plan")


def _check_limits(limits: LimitsList, context: ParseContext) -> None:
    """Report teams that are listed twice."""
    _check_unique(context, "limits", "team", (x.team for x in limits.limits))


def _check_limit(limit: Limit, name: str, context: ParseContext) -> None:
    """Report a share or ceiling that is out of range."""
    if not 1 <= limit.share <= MAX_SHARE:
        context.report(f"{name}.share", f"must be 1 to {MAX_SHARE}")
    if not 1 <= limit.ceiling <= MAX_CEILING:
        context.report(f"{name}.ceiling", f"must be 1 to {MAX_CEILING}")


def _check_pool_minimum(pool: Pool, name: str, context: ParseContext) -> None:
    """Report a negative minimum."""
    if pool.minimum < 0:
        context.report(f"{name}.minimum", "must be at least 0")


def _check_peers(settings, context):
    peers = getattr(settings, "peers", ())
    _check_unique(context, "peers", "name", (peer.name for peer in peers))
    for index, peer in enumerate(peers):
        _check_address(context, f"peers.{index}.address", peer.address)
        if peer.name == getattr(settings, "name", ""):
            context.report(
                f"peers.{index}.name", "must not be the name of this node"
            )


def _check_name(context, name, value):
    if not NAME_PATTERN.fullmatch(value):
        context.report(
            name, "must consist of lower-case letters, digits, . _ or -"
        )


def _check_address(context, name, value):
    if not is_address(value):
        context.report(name, f"must be host:port, not {value!r}")


def _check_unique(context, prefix, field, names: Iterable[str]):
    first_paths_by_name = {}
    for index, name in enumerate(names):
        path = f"{prefix}.{index}.{field}"
        _check_name(context, path, name)
        if name in first_paths_by_name:
            line = context.line_of(first_paths_by_name[name])
            context.report(path, f"{name} is already listed on line {line}")
        first_paths_by_name.setdefault(name, path)


def _check_declared(context, prefix, names, known):
    for index, name in enumerate(names):
        if name not in known:
            context.report(f"{prefix}.{index}", f"{name} is not declared")


def _check_pool_reference(context, name, pool, kinds_by_pool, kind):
    if pool not in kinds_by_pool:
        context.report(name, f"{pool} is not declared")
    elif kinds_by_pool[pool] is not kind:
        context.report(name, f"{pool} is not a pool of {kind.value}s")


SETTINGS_CHECKS = Checks({}, top_level=_check_settings)
PLANS_CHECKS = Checks({Pool: _check_pool_minimum}, value=_check_plans)
LIMITS_CHECKS = Checks({Limit: _check_limit}, value=_check_limits)
