"""The platform's documents, decoded once into the product's types.

Documents may come from other writers: fields that are missing or of another
type make a document unusable, and never raise anything but DecodeError.
"""

from collections.abc import Callable
import json
from math import isfinite

from immutables import Map

from sesamehall.codecs.addresses import is_address
from sesamehall.core.calls import JobDraft
from sesamehall.core.codes import DecodeError
from sesamehall.core.fleet import Machine
from sesamehall.core.fleet import MachineState
from sesamehall.core.fleet import WorkerEntry
from sesamehall.core.manifest import Manifest
from sesamehall.core.manifest import Queue
from sesamehall.core.manifest import Quota
from sesamehall.core.manifest import Wave
from sesamehall.core.manifest import WorkerPool
from sesamehall.core.work import ActiveRun
from sesamehall.core.work import EndedRun
from sesamehall.core.work import RunEnd
from sesamehall.core.work import Size
from sesamehall.core.work import StepPlan

RACK_PREFIX = "r"
MANIFEST_KEY = "config"
WAVE_KEY_PREFIX = "wave/"
MOST_TASKS = 10_000  # a step with more is refused
MOST_TIMES = 100_000  # a job with more occurrences is refused
END_BY_WORD = {
    "done": RunEnd.DONE,
    "failed": RunEnd.FAILED,
    "stopped": RunEnd.STOPPED,
    "lapsed": RunEnd.LEASE_EXPIRED,
    "broken": RunEnd.GANG_BROKEN,
    "alone": RunEnd.GANG_INCOMPLETE,
}
MACHINE_STATE_BY_WORD = {
    "up": MachineState.UP,
    "moving": MachineState.MOVING,
    "upkeep": MachineState.MAINTENANCE,
    "down": MachineState.DOWN,
}
ENTRY_STATES = ("ready", "draining")


def field(document: dict, name: str, kind: type, default=None):
    """Read a field and check its type.

    Args:
      document: The JSON object.
      name: Name of the field.
      kind: Type that it must have; float also takes whole numbers.
      default: Value of a field that is left out; None if it must be there.
    Returns:
      The value.
    Raises:
      DecodeError: It is missing or of another type.
    """
    value = document.get(name)
    if value is None and default is not None:
        return default
    if kind is float and type(value) in (int, float):
        return _finite(name, value)
    if type(value) is not kind:
        raise DecodeError(f"{name} is {type(value).__name__}")
    return value


def _finite(name, value):
    """Refuse numbers beyond all bounds, which JSON's readers let pass."""
    try:
        number = float(value)
    except OverflowError as error:
        raise DecodeError(f"{name} is too large") from error
    if not isfinite(number):
        raise DecodeError(f"{name} is {number}")
    return number


def decode_object(data: bytes) -> dict:
    """Decode a JSON object.

    Args:
      data: Bytes of any content.
    Returns:
      The object.
    Raises:
      DecodeError: They form none.
    """
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise DecodeError(f"not JSON: {error}") from error
    if not isinstance(value, dict):
        raise DecodeError("not a JSON object")
    return value


def each(document: dict, name: str, decode: Callable) -> tuple:
    """Decode a list of objects.

    Args:
      document: The JSON object that holds the list.
      name: Name of the list; one that is left out is empty.
      decode: Decodes one object.
    Returns:
      The decoded objects.
    Raises:
      DecodeError: Something in it is not valid.
    """
    rows = field(document, name, list, [])
    if not all(isinstance(row, dict) for row in rows):
        raise DecodeError(f"{name} holds something else than objects")
    return tuple(map(decode, rows))


def decode_size(document: dict) -> Size:
    """Decode the room that a document names.

    Args:
      document: The JSON object; fields that are left out are 0.
    Returns:
      The size.
    Raises:
      DecodeError: A field is of another type.
    """
    return Size(
        cpu_milli=field(document, "Cpu", int, 0),
        memory_mb=field(document, "MemMb", int, 0),
        accelerators=field(document, "Gpu", int, 0),
    )


def decode_manifest(document: dict) -> Manifest:
    """Decode the operators' manifest.

    Args:
      document: The JSON object.
    Returns:
      The manifest.
    Raises:
      DecodeError: It is not valid.
    """
    queues = each(document, "Routes", _decode_queue)
    pools = each(document, "Services", _decode_pool)
    tenants = each(document, "Tenants", dict)
    quotas = tuple(map(_decode_quota, tenants))
    keys = {
        key: field(tenant, "Name", str)
        for tenant in tenants
        for key in field(tenant, "ApiKeys", list, [])
        if isinstance(key, str)
    }
    return Manifest(
        version=field(document, "Version", int),
        queues_by_name=Map((queue.name, queue) for queue in queues),
        pools_by_name=Map((pool.name, pool) for pool in pools),
        quotas_by_team=Map((quota.team, quota) for quota in quotas),
        team_by_key=Map(keys),
    )


def _decode_queue(row):
    return Queue(
        name=field(row, "Name", str),
        host=field(row, "Host", str),
        path_prefix=field(row, "PathPrefix", str),
        pool=field(row, "Service", str, ""),
        priority=field(row, "Priority", int, 0),
        max_attempts=max(field(row, "Attempts", int, 1), 1),
        stretch=field(row, "Stretch", float, 1.0),
        slack_ms=field(row, "TargetLatencyMs", int, 0),
        open_to_all=field(row, "Anonymous", bool, False),
        requires_advice=bool(row.get("Advice")),
    )


def _decode_pool(row):
    return WorkerPool(
        name=field(row, "Name", str),
        rejects_overload=field(row, "RejectsOverload", bool, False),
        standby=field(row, "Standby", bool, False),
    )


def _decode_quota(row):
    return Quota(
        team=field(row, "Name", str),
        weight=max(int(field(row, "Weight", float, 1.0)), 1),
        ceiling=decode_size(field(row, "Cap", dict, {})),
    )


def decode_wave(document: dict) -> Wave:
    """Decode a wave of maintenance.

    Args:
      document: The JSON object.
    Returns:
      The wave.
    Raises:
      DecodeError: It is not valid.
    """
    machines = field(document, "Machines", list)
    if not all(isinstance(name, str) for name in machines):
        raise DecodeError("Machines holds something else than names")
    return Wave(
        number=field(document, "Wave", int),
        machines=tuple(machines),
        within_ms=int(field(document, "CompleteByS", float, 0.0) * 1_000),
        max_unavailable=max(field(document, "Cap", int, 1), 1),
    )


def decode_worker(worker_id: str, document: dict) -> WorkerEntry:
    """Decode what a worker registered of itself.

    Args:
      worker_id: Identifier that it stands under.
      document: The JSON object.
    Returns:
      The entry.
    Raises:
      DecodeError: It is not valid, so it names no worker to use.
    """
    state = field(document, "State", str)
    if state not in ENTRY_STATES:
        raise DecodeError(f"State is {state}")
    address = field(document, "Address", str)
    if not is_address(address):
        raise DecodeError("Address is no host:port")
    labels = field(document, "Labels", list, [])
    if not all(isinstance(label, str) for label in labels):
        raise DecodeError("Labels holds something else than texts")
    racks = [label for label in labels if _names_rack(label)]
    return WorkerEntry(
        worker_id=worker_id,
        address=address,
        pool=field(document, "Service", str),
        data_centre=field(document, "Zone", str, ""),
        capacity=decode_size(field(document, "Capacity", dict)),
        labels=tuple(labels),
        rack=racks[0] if racks else "",
        draining=state == "draining",
        started_wall_ms=field(document, "born", int, 0),
    )


def _names_rack(label):
    """Tell a rack's label, like r1-3, from a kind's."""
    return label.startswith(RACK_PREFIX) and "-" in label


def decode_draft(document: dict) -> JobDraft:
    """Decode a job as a caller hands it in.

    Args:
      document: The JSON object.
    Returns:
      The job.
    Raises:
      DecodeError: It is not valid.
    """
    steps = each(document, "Steps", _decode_step)
    for number, step in enumerate(steps):
        if any(not 0 <= after < number for after in step.depends_on):
            raise DecodeError("After names a step that is not earlier")
    times = field(document, "Times", int, 0)
    if not 0 <= times <= MOST_TIMES:
        raise DecodeError("Times is out of range")
    return JobDraft(
        command=field(document, "Spec", str, ""),
        steps=steps,
        occurrence_count=times,
        first_wall_ms=field(document, "FirstMs", int, 0),
        period_ms=field(document, "PeriodMs", int, 0),
    )


def _decode_step(row):
    after = field(row, "After", list, [])
    if not all(type(number) is int for number in after):
        raise DecodeError("After holds something else than numbers")
    count = field(row, "TaskCount", int)
    if not 1 <= count <= MOST_TASKS:
        raise DecodeError("TaskCount is out of range")
    return StepPlan(
        count=count,
        size=decode_size(row),
        estimate_ms=int(field(row, "EstimateMs", float, 0.0)),
        depends_on=tuple(after),
        gang=field(row, "Gang", bool, False),
        same_rack=field(row, "SameRack", bool, False),
        required_label=field(row, "Requires", str, ""),
        data_rack=field(row, "Affinity", str, ""),
        max_per_worker=field(row, "MaxPerServer", int, 0),
        speculative=field(row, "Speculative", bool, False),
        long_running=field(row, "LongRunning", bool, False),
        image=field(row, "Image", str, ""),
        tail_latency_target_ms=int(field(row, "TargetMs", float, 0.0)),
        best_effort=field(row, "Fills", bool, False),
        max_unavailable=field(row, "MayMiss", int, 0),
        writes_checkpoints=field(row, "Checkpoints", bool, False),
    )


def decode_active(rows: list) -> tuple[ActiveRun, ...]:
    """Decode a worker's list of runs that go on.

    Args:
      rows: Task, run, checkpoint, percent and load of each.
    Returns:
      The runs.
    Raises:
      DecodeError: A row is not valid.
    """
    try:
        return tuple(
            ActiveRun(
                task=row[0],
                number=row[1],
                checkpoint=row[2] or "",
                percent=row[3],
                load=row[4] if len(row) > 4 else 0,
            )
            for row in rows
        )
    except (TypeError, IndexError) as error:
        raise DecodeError(f"bad list of runs: {error}") from error


def decode_ended(rows: list) -> tuple[EndedRun, ...]:
    """Decode a worker's list of ends.

    Args:
      rows: Sequence, task, run, way of ending and checkpoint of each.
    Returns:
      The ends; an unknown way counts as stopped.
    Raises:
      DecodeError: A row is not valid.
    """
    try:
        return tuple(
            EndedRun(
                sequence=row[0],
                task=row[1],
                number=row[2],
                end=END_BY_WORD.get(row[3], RunEnd.STOPPED),
                checkpoint=row[4] or "",
            )
            for row in rows
        )
    except (TypeError, IndexError) as error:
        raise DecodeError(f"bad list of ends: {error}") from error


def decode_tickets(rows: list) -> tuple[tuple[str, str], ...]:
    """Decode the workers that an advice names.

    Args:
      rows: Worker and ticket of each.
    Returns:
      The same.
    Raises:
      DecodeError: A row is not valid.
    """
    for row in rows:
        pair = isinstance(row, list) and len(row) == 2
        if not pair or not all(isinstance(part, str) for part in row):
            raise DecodeError("Good holds something else than pairs")
    return tuple((worker_id, ticket) for worker_id, ticket in rows)


def decode_machine(row: dict) -> Machine:
    """Decode a machine of the cloud interface's list.

    Args:
      row: The JSON object.
    Returns:
      The machine.
    Raises:
      DecodeError: It is not valid.
    """
    state = MACHINE_STATE_BY_WORD.get(field(row, "State", str))
    if state is None:
        raise DecodeError("State is unknown")
    return Machine(
        name=field(row, "Machine", str),
        pool=field(row, "Pool", str),
        state=state,
        worker_id=row.get("Id") or "",
    )
