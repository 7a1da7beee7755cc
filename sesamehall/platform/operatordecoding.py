"""Decoding of the operators' documents: manifest, waves and drain requests."""

from immutables import Map

from sesamehall.codecs.jsonfields import check_text
from sesamehall.codecs.jsonfields import decode_boolean
from sesamehall.codecs.jsonfields import decode_integer
from sesamehall.codecs.jsonfields import decode_list
from sesamehall.codecs.jsonfields import decode_nested
from sesamehall.codecs.jsonfields import decode_number
from sesamehall.codecs.jsonfields import decode_object
from sesamehall.codecs.jsonfields import decode_rows
from sesamehall.codecs.jsonfields import decode_text
from sesamehall.codecs.jsonfields import decode_texts
from sesamehall.codecs.jsonfields import MAX_TEXT_BYTES
from sesamehall.core.codes import DecodeError
from sesamehall.core.draining import DRAIN_KEY_PREFIX
from sesamehall.core.manifest import DrainRequest
from sesamehall.core.manifest import Manifest
from sesamehall.core.manifest import Queue
from sesamehall.core.manifest import Quota
from sesamehall.core.manifest import Wave
from sesamehall.core.manifest import WeightDefect
from sesamehall.core.manifest import WorkerPool
from sesamehall.platform.sizes import decode_size

DEFAULT_WEIGHT = 1.0  # of a team whose weight cannot be used
MIN_WEIGHT = 0.001
MAX_WEIGHT = 1_000_000.0  # weight of a team relative to other teams
MANIFEST_KEY = "config"
WAVE_KEY_PREFIX = "wave/"
EVACUATION_KEY_PREFIX = "evacuate/"


def decode_manifest(document: dict) -> Manifest:
    """Decode the operators' manifest.

    Args:
      document: The JSON object.
    Returns:
      The manifest.
    Raises:
      DecodeError: The manifest is not valid.
    """
    queues = decode_list(document, "Routes", _decode_queue)
    pools = decode_list(document, "Services", _decode_pool)
    # `dict` keeps each object as it is; quotas and keys are both decoded from
    # these objects.
    tenants = decode_list(document, "Tenants", dict)
    quotas = tuple(map(_decode_quota, tenants))
    team_name_by_key = {
        key: decode_text(tenant, "Name")
        for tenant in tenants
        for key in decode_rows(tenant, "ApiKeys")
        if isinstance(key, str)
    }
    return Manifest(
        version=decode_integer(document, "Version"),
        queues_by_name=Map((queue.name, queue) for queue in queues),
        pools_by_name=Map((pool.name, pool) for pool in pools),
        quotas_by_team=Map((quota.team, quota) for quota in quotas),
        team_by_key=Map(team_name_by_key),
    )


def _decode_queue(row):
    return Queue(
        name=decode_text(row, "Name"),
        host=decode_text(row, "Host", max_bytes=MAX_TEXT_BYTES),
        path_prefix=decode_text(row, "PathPrefix", max_bytes=MAX_TEXT_BYTES),
        pool=decode_text(row, "Service", ""),
        priority=decode_integer(row, "Priority", 0),
        max_attempts=max(decode_integer(row, "Attempts", 1), 1),
        stretch=decode_number(row, "Stretch", 1.0),
        # Not a latency to keep: it is added to the goal of each job.
        slack_ms=decode_integer(row, "TargetLatencyMs", 0),
        open_to_all=decode_boolean(row, "Anonymous", False),
        requires_advice=bool(row.get("Advice")),
    )


def _decode_pool(row):
    return WorkerPool(
        name=decode_text(row, "Name"),
        rejects_overload=decode_boolean(row, "RejectsOverload", False),
        standby=decode_boolean(row, "Standby", False),
    )


def _decode_quota(row):
    weight = row.get("Weight")
    defect = _weight_defect(weight)
    return Quota(
        team=decode_text(row, "Name"),
        weight=_usable_weight(weight, defect),
        weight_defect=defect,
        # Here "Cap" is an amount of resources; in a wave it is a number.
        ceiling=decode_size(decode_nested(row, "Cap", {})),
    )


def _weight_defect(weight):
    """Find out why a weight cannot be used, or return None."""
    if weight is None:
        return WeightDefect.MISSING
    # The JSON parser accepts NaN, which equals nothing.
    if type(weight) not in (int, float) or weight != weight:
        return WeightDefect.NO_NUMBER
    if weight < MIN_WEIGHT:
        return WeightDefect.NOT_POSITIVE
    if weight > MAX_WEIGHT:
        return WeightDefect.TOO_LARGE
    return None


def _usable_weight(weight, defect):
    """Replace a weight that cannot be used; the manifest stays valid."""
    match defect:
        case None:
            return float(weight)
        case WeightDefect.TOO_LARGE:
            return MAX_WEIGHT
        case _:
            return DEFAULT_WEIGHT


def decode_wave(document: dict) -> Wave:
    """Decode a maintenance wave.

    Args:
      document: The JSON object.
    Returns:
      The wave.
    Raises:
      DecodeError: The wave is not valid.
    """
    if document.get("Machines") is None:
        raise DecodeError("Machines is missing")
    return Wave(
        number=decode_integer(document, "Wave"),
        machines=decode_texts(document, "Machines"),
        # A duration from when a manager first reads the wave, not a time.
        within_ms=int(decode_number(document, "CompleteByS", 0.0) * 1_000),
        # Here "Cap" is a number of machines; in a quota it is resources.
        max_unavailable=max(decode_integer(document, "Cap", 1), 1),
    )


def decode_drain_request(key: str, value: bytes) -> DrainRequest:
    """Decode a request to drain a data centre, which the key names.

    Args:
      key: The key, with EVACUATION_KEY_PREFIX.
      value: Any bytes.  The request holds even if they cannot be read, since
        the operator knows that it is stored.
    Returns:
      The request.
    Raises:
      DecodeError: The key names no data centre.
    """
    data_centre = check_text("zone", key.removeprefix(EVACUATION_KEY_PREFIX))
    if not data_centre:
        raise DecodeError("the key names no zone")
    try:
        decode_object(value)
    except DecodeError:
        return DrainRequest(data_centre, readable=False)
    return DrainRequest(data_centre)


def internal_key(key: str) -> str:
    """Translate a key of the operators' stream to the product's own words.

    Args:
      key: The key in the platform's store.
    Returns:
      The key that records of the manager's stream have.
    """
    if key.startswith(EVACUATION_KEY_PREFIX):
        return DRAIN_KEY_PREFIX + key.removeprefix(EVACUATION_KEY_PREFIX)
    return key
