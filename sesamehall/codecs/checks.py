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
MAX_SHARE = 1_000  # weight of a team relative to other teams
MAX_CEILING = 1_000_000  # requests and jobs of a team in flight
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
OPTIONAL_ADDRESS_FIELDS = ("statsd",)  # may be empty


def _check_settings(settings: SimpleNamespace, context: ParseContext) -> None:
    """Report invalid names, addresses and numbers, and duplicate peers.

    Fields that failed the type check are absent from the settings, and so are
    the fields that the program in question does not have.
    """
    for field_path in ("name", "data_centre"):
        if hasattr(settings, field_path):
            _check_name(context, field_path, getattr(settings, field_path))
    for field_path in ADDRESS_FIELDS:
        value = getattr(settings, field_path, "")
        # An absent field is skipped, and so is an optional one that is empty;
        # an empty address in any other field is a problem.
        if value or (
            hasattr(settings, field_path)
            and field_path not in OPTIONAL_ADDRESS_FIELDS
        ):
            _check_address(context, field_path, value)
    for field_path in POSITIVE_FIELDS:
        if getattr(settings, field_path, 1) < 1:
            context.report(field_path, "must be at least 1")
    for index, address in enumerate(getattr(settings, "entries", ())):
        _check_address(context, f"entries.{index}", address)
    _check_peers(settings, context)


def _check_plans(plans: PlansList, context: ParseContext) -> None:
    """Report invalid and duplicate names, and undeclared references."""
    _check_names(context, "plans", "team", (p.team for p in plans.plans))
    _check_names(context, "services", "name", (s.name for s in plans.services))
    _check_names(context, "pools", "name", (p.name for p in plans.pools))
    kinds_by_pool = {pool.name: pool.kind for pool in plans.pools}
    teams = {plan.team for plan in plans.plans}
    services = {service.name for service in plans.services}
    for index, plan in enumerate(plans.plans):
        prefix = f"plans.{index}"
        _check_declared(context, f"{prefix}.services", plan.services, services)
        for pool_index, pool in enumerate(plan.pools):
            field_path = f"{prefix}.pools.{pool_index}"
            _check_pool_reference(
                context, field_path, pool, kinds_by_pool, TargetKind.WORKER
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
    """Report invalid names of teams and teams that are listed twice."""
    _check_names(context, "limits", "team", (x.team for x in limits.limits))


def _check_limit(limit: Limit, field_path: str, context: ParseContext) -> None:
    """Report a share or ceiling that is out of range."""
    if not 1 <= limit.share <= MAX_SHARE:
        context.report(f"{field_path}.share", f"must be 1 to {MAX_SHARE}")
    if not 1 <= limit.ceiling <= MAX_CEILING:
        context.report(f"{field_path}.ceiling", f"must be 1 to {MAX_CEILING}")


def _check_pool_minimum(
    pool: Pool, field_path: str, context: ParseContext
) -> None:
    """Report a negative minimum."""
    if pool.minimum < 0:
        context.report(f"{field_path}.minimum", "must be at least 0")


def _check_peers(settings, context):
    """Report names and addresses that are not valid, and this node itself."""
    peers = getattr(settings, "peers", ())
    _check_names(context, "peers", "name", (peer.name for peer in peers))
    for index, peer in enumerate(peers):
        _check_address(context, f"peers.{index}.address", peer.address)
        if peer.name == getattr(settings, "name", ""):
            context.report(
                f"peers.{index}.name", "must not be the name of this node"
            )


def _check_name(context, field_path, name):
    if not NAME_PATTERN.fullmatch(name):
        context.report(
            field_path, "must consist of lower-case letters, digits, . _ or -"
        )


def _check_address(context, field_path, address):
    if not is_address(address):
        context.report(field_path, f"must be host:port, not {address!r}")


def _check_names(context, list_path, name_field, names: Iterable[str]):
    """Report names in a list that are not valid or occur twice.

    Args:
      context: State of parsing the file.
      list_path: Dotted path of the list.
      name_field: Field of the list's items that holds the name.
      names: The names, one for each item.
    """
    first_paths_by_name = {}
    for index, name in enumerate(names):
        field_path = f"{list_path}.{index}.{name_field}"
        _check_name(context, field_path, name)
        if name in first_paths_by_name:
            line = context.line_of(first_paths_by_name[name])
            context.report(
                field_path, f"{name} is already listed on line {line}"
            )
        first_paths_by_name.setdefault(name, field_path)


def _check_declared(context, list_path, names, known):
    """Report names in a list that are not among the known ones."""
    for index, name in enumerate(names):
        if name not in known:
            context.report(f"{list_path}.{index}", f"{name} is not declared")


def _check_pool_reference(context, field_path, pool, kinds_by_pool, kind):
    """Report a pool that is not declared or is of another kind."""
    if pool not in kinds_by_pool:
        context.report(field_path, f"{pool} is not declared")
    elif kinds_by_pool[pool] is not kind:
        context.report(field_path, f"{pool} is not a pool of {kind.value}s")


SETTINGS_CHECKS = Checks({}, top_level_check=_check_settings)
PLANS_CHECKS = Checks({Pool: _check_pool_minimum}, document_check=_check_plans)
LIMITS_CHECKS = Checks({Limit: _check_limit}, document_check=_check_limits)
