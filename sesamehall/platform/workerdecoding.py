"""Decoding of the platform's JSON documents into the core types.

Other programs write these documents, so any field may be missing or have the
wrong type.  DecodeError is raised if a required field is missing, or a field
has the wrong type or an invalid value.  Optional fields have defaults, and
null counts as missing.  The items in the rows of a worker's runs and the
fields "Advice" and "Id" may have any type.
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

RACK_LABEL_PREFIX = "r"
MANIFEST_KEY = "config"
WAVE_KEY_PREFIX = "wave/"
MAX_STEP_TASKS = 10_000  # a step with more is rejected
MAX_OCCURRENCES = 100_000  # a job with more is rejected
RUN_END_BY_NAME = {
    "done": RunEnd.DONE,
    "failed": RunEnd.FAILED,
    "stopped": RunEnd.STOPPED,
    "lapsed": RunEnd.LEASE_EXPIRED,
    "broken": RunEnd.GANG_BROKEN,
    "alone": RunEnd.GANG_INCOMPLETE,
}
MACHINE_STATE_BY_NAME = {
    "up": MachineState.UP,
    "moving": MachineState.MOVING,
    "upkeep": MachineState.MAINTENANCE,
    "down": MachineState.DOWN,
}
WORKER_STATES = ("ready", "draining")


def decode_field(document: dict, name: str, field_type: type, default=None):
    """Return the value of a field after checking its type.

    Args:
      document: The JSON object.
      name: Name of the field.
      field_type: Required type; float also accepts integers.
      default: Value of a missing or null field, or None if the field is
        required.
    Returns:
      The value.
    Raises:
      DecodeError: The field is required and missing, or has another type.
    """
    value = document.get(name)
    if value is None and default is not None:
        return default
    if field_type is float and type(value) in (int, float):
        return _check_finite(name, value)
    if type(value) is not field_type:
        raise DecodeError(f"{name} has type {type(value).__name__}")
    return value


def _check_finite(name, value):
    """Reject infinity, NaN and overflow, which the JSON parser accepts."""
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
      data: Any bytes.
    Returns:
      The object.
    Raises:
      DecodeError: The bytes are not a JSON object.
    """
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise DecodeError(f"not JSON: {error}") from error
    if not isinstance(value, dict):
        raise DecodeError("not a JSON object")
    return value


def decode_list(document: dict, name: str, decode: Callable) -> tuple:
    """Decode a list of objects.

    Args:
      document: The JSON object that contains the list.
      name: Name of the list; a missing list counts as empty.
      decode: Decodes one object.
    Returns:
      The decoded objects.
    Raises:
      DecodeError: The field or one of the objects is not valid.
    """
    rows = decode_field(document, name, list, [])
    if not all(isinstance(row, dict) for row in rows):
        raise DecodeError(f"{name} must contain only objects")
    return tuple(map(decode, rows))


def decode_size(document: dict) -> Size:
    """Decode an amount of resources.

    Args:
      document: The JSON object; missing fields count as 0.
    Returns:
      The size.
    Raises:
      DecodeError: A field has another type.
    """
    return Size(
        cpu_milli=decode_field(document, "Cpu", int, 0),
        memory_mb=decode_field(document, "MemMb", int, 0),
        accelerators=decode_field(document, "Gpu", int, 0),
    )


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
        key: decode_field(tenant, "Name", str)
        for tenant in tenants
        for key in decode_field(tenant, "ApiKeys", list, [])
        if isinstance(key, str)
    }
    return Manifest(
        version=decode_field(document, "Version", int),
        queues_by_name=Map((queue.name, queue) for queue in queues),
        pools_by_name=Map((pool.name, pool) for pool in pools),
        quotas_by_team=Map((quota.team, quota) for quota in quotas),
        team_by_key=Map(team_name_by_key),
    )


def _decode_queue(row):
    return Queue(
        name=decode_field(row, "Name", str),
        host=decode_field(row, "Host", str),
        path_prefix=decode_field(row, "PathPrefix", str),
        pool=decode_field(row, "Service", str, ""),
        priority=decode_field(row, "Priority", int, 0),
        max_attempts=max(decode_field(row, "Attempts", int, 1), 1),
        stretch=decode_field(row, "Stretch", float, 1.0),
        # Not a latency to keep: it is added to the goal of each job.
        slack_ms=decode_field(row, "TargetLatencyMs", int, 0),
        open_to_all=decode_field(row, "Anonymous", bool, False),
        requires_advice=bool(row.get("Advice")),
    )


def _decode_pool(row):
    return WorkerPool(
        name=decode_field(row, "Name", str),
        rejects_overload=decode_field(row, "RejectsOverload", bool, False),
        standby=decode_field(row, "Standby", bool, False),
    )


def _decode_quota(row):
    return Quota(
        team=decode_field(row, "Name", str),
        weight=max(int(decode_field(row, "Weight", float, 1.0)), 1),
        # Here "Cap" is an amount of resources; in a wave it is a number.
        ceiling=decode_size(decode_field(row, "Cap", dict, {})),
    )


def decode_wave(document: dict) -> Wave:
    """Decode a maintenance wave.

    Args:
      document: The JSON object.
    Returns:
      The wave.
    Raises:
      DecodeError: The wave is not valid.
    """
    machines = decode_field(document, "Machines", list)
    if not all(isinstance(name, str) for name in machines):
        raise DecodeError("Machines must contain only strings")
    return Wave(
        number=decode_field(document, "Wave", int),
        machines=tuple(machines),
        # A duration from when a manager first reads the wave, not a time.
        within_ms=int(
            decode_field(document, "CompleteByS", float, 0.0) * 1_000
        ),
        # Here "Cap" is a number of machines; in a quota it is resources.
        max_unavailable=max(decode_field(document, "Cap", int, 1), 1),
    )


def decode_worker(worker_id: str, document: dict) -> WorkerEntry:
    """Decode a worker's registration.

    Args:
      worker_id: Key of the record, the worker's identifier.
      document: The JSON object.
    Returns:
      The entry.
    Raises:
      DecodeError: The registration is not valid; the worker cannot be used.
    """
    state = decode_field(document, "State", str)
    if state not in WORKER_STATES:
        raise DecodeError(f"unknown State {state}")
    address = decode_field(document, "Address", str)
    if not is_address(address):
        raise DecodeError("Address is not host:port")
    labels = decode_field(document, "Labels", list, [])
    if not all(isinstance(label, str) for label in labels):
        raise DecodeError("Labels must contain only strings")
    racks = [label for label in labels if _is_rack_label(label)]
    return WorkerEntry(
        worker_id=worker_id,
        address=address,
        pool=decode_field(document, "Service", str),
        data_centre=decode_field(document, "Zone", str, ""),
        capacity=decode_size(decode_field(document, "Capacity", dict)),
        labels=tuple(labels),
        rack=racks[0] if racks else "",
        draining=state == "draining",
        started_wall_ms=decode_field(document, "born", int, 0),
    )


def _is_rack_label(label):
    """Check for a label that starts with "r" and contains "-", as r1-3 does.

    A worker's other labels, of its machine's kind, must not look like this.
    """
    return label.startswith(RACK_LABEL_PREFIX) and "-" in label


def decode_draft(document: dict) -> JobDraft:
    """Decode a job as submitted by a caller.

    Args:
      document: The JSON object.
    Returns:
      The job.
    Raises:
      DecodeError: The job is not valid.
    """
    steps = decode_list(document, "Steps", _decode_step)
    for number, step in enumerate(steps):
        if any(not 0 <= other < number for other in step.depends_on):
            raise DecodeError("After must name earlier steps only")
    occurrence_count = decode_field(document, "Times", int, 0)
    if not 0 <= occurrence_count <= MAX_OCCURRENCES:
        raise DecodeError("Times is out of range")
    return JobDraft(
        command=decode_field(document, "Spec", str, ""),
        steps=steps,
        occurrence_count=occurrence_count,
        first_wall_ms=decode_field(document, "FirstMs", int, 0),
        period_ms=decode_field(document, "PeriodMs", int, 0),
    )


def _decode_step(row):
    depends_on = decode_field(row, "After", list, [])
    if not all(type(number) is int for number in depends_on):
        raise DecodeError("After must contain only integers")
    count = decode_field(row, "TaskCount", int)
    if not 1 <= count <= MAX_STEP_TASKS:
        raise DecodeError("TaskCount is out of range")
    return StepPlan(
        count=count,
        size=decode_size(row),
        estimate_ms=int(decode_field(row, "EstimateMs", float, 0.0)),
        depends_on=tuple(depends_on),
        gang=decode_field(row, "Gang", bool, False),
        same_rack=decode_field(row, "SameRack", bool, False),
        required_label=decode_field(row, "Requires", str, ""),
        data_rack=decode_field(row, "Affinity", str, ""),
        max_per_worker=decode_field(row, "MaxPerServer", int, 0),
        speculative=decode_field(row, "Speculative", bool, False),
        long_running=decode_field(row, "LongRunning", bool, False),
        image=decode_field(row, "Image", str, ""),
        tail_latency_target_ms=int(decode_field(row, "TargetMs", float, 0.0)),
        # The tasks use only processor time that other tasks leave idle.
        best_effort=decode_field(row, "Fills", bool, False),
        # Tasks that the leader itself may take down at once; the limit does
        # not cover deadlines or failures.
        max_unavailable=decode_field(row, "MayMiss", int, 0),
        writes_checkpoints=decode_field(row, "Checkpoints", bool, False),
    )


def decode_active_runs(rows: list) -> tuple[ActiveRun, ...]:
    """Decode a worker's list of active runs.

    Args:
      rows: Task, run number, checkpoint, percent and load of each run; the
        load may be left out.
    Returns:
      The runs; the types of the items are not checked.
    Raises:
      DecodeError: A row is too short or cannot be indexed.
      KeyError: A row is a JSON object.
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
        raise DecodeError(f"invalid active run: {error}") from error


def decode_ended_runs(rows: list) -> tuple[EndedRun, ...]:
    """Decode a worker's list of ended runs.

    Args:
      rows: Sequence number, task, run number, end and checkpoint of each run.
    Returns:
      The runs; an unknown end counts as stopped.  The types of the other items
      are not checked.
    Raises:
      DecodeError: A row is too short or cannot be indexed.
      KeyError: A row is a JSON object.
    """
    try:
        return tuple(
            EndedRun(
                sequence=row[0],
                task=row[1],
                number=row[2],
                end=RUN_END_BY_NAME.get(row[3], RunEnd.STOPPED),
                checkpoint=row[4] or "",
            )
            for row in rows
        )
    except (TypeError, IndexError) as error:
        raise DecodeError(f"invalid ended run: {error}") from error


def decode_tickets(rows: list) -> tuple[tuple[str, str], ...]:
    """Decode the tickets in a response of the advice service.

    Args:
      rows: Worker and ticket of each.
    Returns:
      Pairs of worker and ticket.
    Raises:
      DecodeError: A row is not valid.
    """
    for row in rows:
        is_pair = isinstance(row, list) and len(row) == 2
        if not is_pair or not all(isinstance(part, str) for part in row):
            raise DecodeError("Good must contain only pairs of strings")
    return tuple((worker_id, ticket) for worker_id, ticket in rows)


def decode_machine(row: dict) -> Machine:
    """Decode a machine in a list of the cloud API.

    Args:
      row: The JSON object.
    Returns:
      The machine.
    Raises:
      DecodeError: The machine is not valid.
    """
    state = MACHINE_STATE_BY_NAME.get(decode_field(row, "State", str))
    if state is None:
        raise DecodeError("unknown State")
    return Machine(
        name=decode_field(row, "Machine", str),
        pool=decode_field(row, "Pool", str),
        state=state,
        worker_id=row.get("Id") or "",
    )
