"""Odd entries that another writer may leave among those of the store."""

from dataclasses import dataclass
import json

WORKERS_TOPIC = "keyed.servers"
OPERATOR_TOPIC = "keyed.op"
DEEP_NESTING = 100_000  # levels, far beyond what a parser's stack holds
SOUND_REGISTRATION = {
    "Service": "pool-a",
    "Address": "127.0.0.1:9",
    "Zone": "dc",
    "State": "ready",
    "Capacity": {"Cpu": 8_000, "MemMb": 65_536, "Gpu": 0},
    "Labels": ["a", "r1-0"],
    "born": 1,
}
ODD_FIELDS = (
    {"born": 2**70},
    {"born": -1},
    {"Service": "\ud800"},
    {"Service": "s" * 70_000},
    {"Address": "127.0.0.1:0"},
    {"Address": "127.0.0.1:70000"},
    {"Address": "127.0.0.1\n:80"},
    {"Address": "a..b:80"},
    {"Address": "a" * 70_000 + ":80"},
    {"Capacity": {"Cpu": -1}},
    {"Capacity": {"Cpu": 2**62}},
    {"Labels": [["r1-0"]]},
    {"State": {"ready": 1}},
)


@dataclass(frozen=True, slots=True)
class OddEntry:
    """An entry that names no worker and no order of an operator.

    Attributes:
      topic: Topic of the store.
      key: Key of the record.
      value: Value of the record.
    """

    topic: str
    key: str
    value: bytes


def _odd_registrations() -> tuple[OddEntry, ...]:
    """Build registrations with one odd field or key each."""
    entries = [
        OddEntry(
            WORKERS_TOPIC,
            f"odd-{number}",
            json.dumps({**SOUND_REGISTRATION, **fields}).encode(),
        )
        for number, fields in enumerate(ODD_FIELDS)
    ]
    sound = json.dumps(SOUND_REGISTRATION).encode()
    entries += [
        OddEntry(WORKERS_TOPIC, key, sound)
        for key in ("", "odd\r\nkey: x", "odd \u20ac", "o" * 250)
    ]
    return tuple(entries)


def _odd_documents(topic: str, prefix: str) -> tuple[OddEntry, ...]:
    """Build entries that are not the JSON objects that a reader expects."""
    values = (
        b"\xff\x00\xfe",
        b"[" * DEEP_NESTING + b"]" * DEEP_NESTING,
        b'{"a":' * DEEP_NESTING,
        b'{"Wave":' + b"9" * 5_000 + b"}",
        b"[1, 2]",
        b"null",
        b'{"Wave": 1e400, "Machines": ["\\ud800"], "State": NaN}',
    )
    return tuple(
        OddEntry(topic, f"{prefix}{number}", value)
        for number, value in enumerate(values, 900)
    )


ODD_ENTRIES = (
    _odd_registrations()
    + _odd_documents(WORKERS_TOPIC, "odd-")
    + _odd_documents(OPERATOR_TOPIC, "wave/")
    + _odd_documents(OPERATOR_TOPIC, "odd-")
)
