"""Decoding of what workers, the cloud API and the advice service say."""

import re

from sesamehall.codecs.addresses import is_address
from sesamehall.codecs.jsonfields import check_integer
from sesamehall.codecs.jsonfields import check_number
from sesamehall.codecs.jsonfields import check_text
from sesamehall.codecs.jsonfields import decode_integer
from sesamehall.codecs.jsonfields import decode_nested
from sesamehall.codecs.jsonfields import decode_text
from sesamehall.codecs.jsonfields import decode_texts
from sesamehall.codecs.jsonfields import MAX_TEXT_BYTES
from sesamehall.core.codes import DecodeError
from sesamehall.core.fleet import Machine
from sesamehall.core.fleet import MachineState
from sesamehall.core.fleet import WorkerEntry
from sesamehall.core.work import ActiveRun
from sesamehall.core.work import EndedRun
from sesamehall.core.work import RunEnd
from sesamehall.core.work import Size
from sesamehall.platform.sizes import decode_size

RACK_LABEL_PREFIX = "r"
WORKER_ID = re.compile(r"[!-~]{1,200}")  # printable; it is sent in a header
# Ten thousand cores, a pebibyte of memory and ten thousand accelerators: a
# worker that claims more would attract all work.
MAX_WORKER_CAPACITY = Size(10_000_000, 1 << 30, 10_000)
MAX_ROW_ITEMS = 16  # of a run in a report; later versions may add items
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
    if not WORKER_ID.fullmatch(worker_id):
        raise DecodeError("the key is not a worker identifier")
    state = decode_text(document, "State")
    if state not in WORKER_STATES:
        raise DecodeError(f"unknown State {state!a}")
    address = decode_text(document, "Address")
    if not is_address(address):
        raise DecodeError("Address is not host:port")
    labels = decode_texts(document, "Labels")
    racks = [label for label in labels if _is_rack_label(label)]
    return WorkerEntry(
        worker_id=worker_id,
        address=address,
        pool=decode_text(document, "Service"),
        data_centre=decode_text(document, "Zone", ""),
        capacity=decode_size(
            decode_nested(document, "Capacity"), MAX_WORKER_CAPACITY
        ),
        labels=labels,
        rack=racks[0] if racks else "",
        draining=state == "draining",
        started_wall_ms=decode_integer(document, "born", 0),
    )


def _is_rack_label(label):
    """Check for a label that starts with "r" and contains "-", as r1-3 does.

    A worker's other labels, of its machine's kind, must not look like this.
    """
    return label.startswith(RACK_LABEL_PREFIX) and "-" in label


def decode_active_runs(rows: list) -> tuple[ActiveRun, ...]:
    """Decode a worker's list of active runs.

    Args:
      rows: Task, run number, checkpoint, percent and load of each run; the
        load may be left out.
    Returns:
      The runs.
    Raises:
      DecodeError: A row is not valid.  The others cannot be used either: a run
        that the list does not contain counts as ended.
    """
    return tuple(map(_decode_active_run, rows))


def _decode_active_run(row):
    _check_row(row, 4)
    return ActiveRun(
        check_text("task", row[0]),
        check_integer("run", row[1]),
        _decode_checkpoint(row[2]),
        int(check_number("percent", row[3])),
        check_number("load", row[4] or 0) if len(row) > 4 else 0.0,
    )


def decode_ended_runs(rows: list) -> tuple[EndedRun, ...]:
    """Decode a worker's list of ended runs.

    Args:
      rows: Sequence number, task, run number, end and checkpoint of each run.
    Returns:
      The runs; an unknown end counts as stopped.
    Raises:
      DecodeError: A row is not valid.
    """
    return tuple(map(_decode_ended_run, rows))


def _decode_ended_run(row):
    _check_row(row, 5)
    return EndedRun(
        check_integer("sequence", row[0]),
        check_text("task", row[1]),
        check_integer("run", row[2]),
        RUN_END_BY_NAME.get(check_text("end", row[3]), RunEnd.STOPPED),
        _decode_checkpoint(row[4]),
    )


def _check_row(row, min_items):
    if type(row) is not list or not min_items <= len(row) <= MAX_ROW_ITEMS:
        raise DecodeError("a run is not a list of its items")


def _decode_checkpoint(value):
    return "" if value is None else check_text("saved", value, MAX_TEXT_BYTES)


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
        if type(row) is not list or len(row) != 2:
            raise DecodeError("Good must contain only pairs")
    return tuple(
        (
            check_text("Good", worker_id),
            check_text("Good", ticket, MAX_TEXT_BYTES),
        )
        for worker_id, ticket in rows
    )


def decode_machine(row: dict) -> Machine:
    """Decode a machine in a list of the cloud API.

    Args:
      row: The JSON object.
    Returns:
      The machine.
    Raises:
      DecodeError: The machine is not valid.
    """
    state = MACHINE_STATE_BY_NAME.get(decode_text(row, "State"))
    if state is None:
        raise DecodeError("unknown State")
    return Machine(
        name=decode_text(row, "Machine"),
        pool=decode_text(row, "Pool"),
        state=state,
        worker_id=decode_text(row, "Id", ""),
        data_centre=decode_text(row, "Zone", ""),
    )
