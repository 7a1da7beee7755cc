"""Records of the operators: edits of the plans and limits, and keys."""

from immutables import Map

from sesamehall.core.agreement import Agreed
from sesamehall.core.agreement import Verdict
from sesamehall.core.data import Service
from sesamehall.core.records import KeyGiven
from sesamehall.core.records import KeyWithdrawn
from sesamehall.core.records import LimitsPublished
from sesamehall.core.records import PlansPublished
from sesamehall.core.replacing import replace

ApplyResult = tuple[Agreed, Verdict]


def publish_plans(agreed: Agreed, body: PlansPublished) -> ApplyResult:
    """Apply an edit of the plans.

    Args:
      agreed: State before the record.
      body: The edit.
    Returns:
      The state after the record, and the verdict on it.
    """
    if body.based_on != agreed.plans_version:
        return agreed, Verdict.STALE_VERSION
    pool_names = {pool.name for pool in body.plans.pools}
    for placement in agreed.placements_by_instance.values():
        if placement.pool not in pool_names:
            return agreed, Verdict.STILL_IN_USE
        if placement.move and placement.move.to_pool not in pool_names:
            return agreed, Verdict.STILL_IN_USE
    changed = replace(
        agreed,
        plans_version=agreed.plans_version + 1,
        plans_by_team=Map((plan.team, plan) for plan in body.plans.plans),
        services_by_name=Map((s.name, s) for s in body.plans.services),
        service_names_by_pool=index_services(body.plans.services),
        pools_by_name=Map((pool.name, pool) for pool in body.plans.pools),
    )
    return changed, Verdict.ACCEPTED


def index_services(
    services: tuple[Service, ...],
) -> Map[str, tuple[str, ...]]:
    """Group the names of services by pool.

    Args:
      services: All services.
    Returns:
      Names of each pool's services, sorted.
    """
    names_by_pool: dict[str, tuple[str, ...]] = {}
    for service in sorted(services, key=lambda service: service.name):
        names = names_by_pool.get(service.pool, ())
        names_by_pool[service.pool] = names + (service.name,)
    return Map(names_by_pool)


def publish_limits(agreed: Agreed, body: LimitsPublished) -> ApplyResult:
    """Apply an edit of the limits.

    Args:
      agreed: State before the record.
      body: The edit.
    Returns:
      The state after the record, and the verdict on it.
    """
    if body.based_on != agreed.limits_version:
        return agreed, Verdict.STALE_VERSION
    changed = replace(
        agreed,
        limits_version=agreed.limits_version + 1,
        limits_by_team=Map(
            (limit.team, limit) for limit in body.limits.limits
        ),
    )
    return changed, Verdict.ACCEPTED


def give_key(agreed: Agreed, body: KeyGiven) -> ApplyResult:
    """Apply the record of a new key.

    Args:
      agreed: State before the record.
      body: The key.
    Returns:
      The state after the record, and the verdict on it.
    """
    key = body.key
    if key.key_id in agreed.withdrawn_key_ids:
        return agreed, Verdict.WITHDRAWN
    if key.key_id in agreed.keys_by_id:
        return agreed, Verdict.ALREADY_DONE
    if key.team not in agreed.plans_by_team:
        return agreed, Verdict.UNKNOWN_TEAM
    changed = replace(
        agreed, keys_by_id=agreed.keys_by_id.set(key.key_id, key)
    )
    return changed, Verdict.ACCEPTED


def withdraw_key(agreed: Agreed, body: KeyWithdrawn) -> ApplyResult:
    """Apply the withdrawal of a key.

    A key that does not exist yet may be withdrawn too; its later record is
    then rejected.

    Args:
      agreed: State before the record.
      body: The withdrawal.
    Returns:
      The state after the record, and the verdict on it.
    """
    if body.key_id in agreed.withdrawn_key_ids:
        return agreed, Verdict.ALREADY_DONE
    keys_by_id = agreed.keys_by_id
    if body.key_id in keys_by_id:
        keys_by_id = keys_by_id.delete(body.key_id)
    changed = replace(
        agreed,
        keys_by_id=keys_by_id,
        withdrawn_key_ids=agreed.withdrawn_key_ids.set(body.key_id, True),
    )
    return changed, Verdict.ACCEPTED
