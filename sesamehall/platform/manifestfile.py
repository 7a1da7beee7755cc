"""Files with a manifest or a wave, as operators write them to the store.

A file is checked as a whole: the problems of all entries are reported
together, with file, line and field.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from yaml import compose
from yaml import MappingNode
from yaml import Node as YamlNode
from yaml import SafeLoader
from yaml import SequenceNode
from yaml import YAMLError

from sesamehall.codecs.jsonfields import decode_object
from sesamehall.core.codes import DecodeError
from sesamehall.core.codes import SettingsError
from sesamehall.core.data import Problem
from sesamehall.core.data import Source
from sesamehall.core.manifest import Manifest
from sesamehall.core.manifest import Wave
from sesamehall.core.manifestfindings import GoalUnreachable
from sesamehall.core.manifestfindings import KeyShared
from sesamehall.core.manifestfindings import MachineRepeated
from sesamehall.core.manifestfindings import ManifestFinding
from sesamehall.core.manifestfindings import PoolUnused
from sesamehall.core.manifestfindings import QueueOnStandby
from sesamehall.core.manifestfindings import QueueOverlapped
from sesamehall.core.manifestfindings import QueueShadowed
from sesamehall.core.manifestfindings import QueueWithoutCallers
from sesamehall.core.manifestfindings import QueueWithoutPool
from sesamehall.core.manifestfindings import StandbyIgnored
from sesamehall.core.manifestfindings import TeamWithoutKeys
from sesamehall.core.manifestfindings import VersionNotNewer
from sesamehall.core.manifestfindings import WaveTooShort
from sesamehall.core.manifestfindings import WaveUnlimited
from sesamehall.core.manifestfindings import WeightReplaced
from sesamehall.platform.operatordecoding import decode_manifest
from sesamehall.platform.operatordecoding import decode_wave

MANIFEST_LISTS = ("Routes", "Services", "Tenants")


@dataclass(frozen=True, slots=True)
class OperatorFile:
    """A file of an operator whose content is valid.

    Attributes:
      path: Path of the file.
      document: Its JSON object.
      value: The manifest or the wave that it holds.
      line_by_field: Line of each field, by its dotted path.
    """

    path: str
    document: dict
    value: Manifest | Wave
    line_by_field: dict[str, int]


def load_manifest(path: str) -> OperatorFile:
    """Load a file with a manifest.

    Args:
      path: Path of the file.
    Returns:
      The file.
    Raises:
      SettingsError: The file cannot be read or is not valid.
    """
    document, lines = _load_document(path)
    problems = list(_entry_problems(path, document, lines))
    if problems:
        raise SettingsError(problems)
    return _decode(path, document, lines, decode_manifest)


def load_wave(path: str) -> OperatorFile:
    """Load a file with a wave of maintenance.

    Args:
      path: Path of the file.
    Returns:
      The file.
    Raises:
      SettingsError: The file cannot be read or is not valid.
    """
    document, lines = _load_document(path)
    return _decode(path, document, lines, decode_wave)


def ignored_values(file: OperatorFile) -> list[ManifestFinding]:
    """Find values of a manifest's file that its decoding drops.

    Args:
      file: A file with a manifest.
    Returns:
      The findings.
    """
    return list(_ignored_values(file.document))


def locate(file: OperatorFile, finding: ManifestFinding) -> Problem:
    """Find the entry of a file that a finding is about.

    Args:
      file: The file.
      finding: The finding.
    Returns:
      A problem with the line and field of that entry, and no message.
    """
    field = _field_of(file.document, finding)
    line = _line_of(file.line_by_field, field)
    return Problem(Source(file.path, line), field, "")


def _load_document(path: str) -> tuple[dict, dict[str, int]]:
    try:
        with open(path, "rb") as source:
            data = source.read()
        document = decode_object(data)
    except OSError as error:
        raise _error(path, error.strerror or "unreadable") from error
    except DecodeError as error:
        raise _error(path, str(error)) from error
    return document, _index_lines(data)


def _decode(path, document, lines, decode) -> OperatorFile:
    try:
        return OperatorFile(path, document, decode(document), lines)
    except DecodeError as error:
        raise _error(path, str(error)) from error


def _entry_problems(path, document, lines) -> Iterator[Problem]:
    """Decode each entry of a manifest by itself, and report those invalid."""
    for list_name in MANIFEST_LISTS:
        entries = document.get(list_name)
        if not isinstance(entries, list):
            continue
        for index, entry in enumerate(entries):
            try:
                decode_manifest({"Version": 1, list_name: [entry]})
            except DecodeError as error:
                field = f"{list_name}.{index}"
                source = Source(path, _line_of(lines, field))
                yield Problem(source, field, str(error))


def _ignored_values(document) -> Iterator[ManifestFinding]:
    team_by_key: dict[str, str] = {}
    for tenant in document.get("Tenants") or ():
        team = tenant["Name"]
        for key in tenant.get("ApiKeys") or ():
            if not isinstance(key, str):
                continue  # authorizes nobody
            other = team_by_key.get(key, team)
            if other != team:
                yield KeyShared(other, team)
            team_by_key[key] = team


def _field_of(document, finding) -> str:
    match finding:
        case QueueShadowed(queue) | QueueOverlapped(queue):
            return _entry_field(document, "Routes", queue, "PathPrefix")
        case QueueWithoutPool(queue) | QueueOnStandby(queue):
            return _entry_field(document, "Routes", queue, "Service")
        case QueueWithoutCallers(queue):
            return _entry_field(document, "Routes", queue, "Anonymous")
        case GoalUnreachable(queue):
            return _entry_field(document, "Routes", queue, "Stretch")
        case PoolUnused(pool):
            return _entry_field(document, "Services", pool, "Name")
        case StandbyIgnored(pool):
            return _entry_field(document, "Services", pool, "Standby")
        case TeamWithoutKeys(team) | KeyShared(team):
            return _entry_field(document, "Tenants", team, "ApiKeys")
        case WeightReplaced(team):
            return _entry_field(document, "Tenants", team, "Weight")
        case WaveTooShort():
            return "CompleteByS"
        case WaveUnlimited():
            return "Cap"
        case MachineRepeated():
            return "Machines"
        case VersionNotNewer():
            return "Version"
    raise TypeError(f"no field for {type(finding).__name__}")


def _entry_field(document, list_name, name, field):
    """Return the dotted path of a field of the entry with a name."""
    for index, entry in enumerate(document[list_name]):
        if entry["Name"] == name:
            return f"{list_name}.{index}.{field}"
    return list_name


def _line_of(line_by_field, field):
    """Return the line of a field, or of its closest parent with a line."""
    while field and field not in line_by_field:
        field = field.rpartition(".")[0]
    return line_by_field.get(field, 1)


def _index_lines(data: bytes) -> dict[str, int]:
    """Index the lines of a JSON document's fields, which is YAML too."""
    line_by_field: dict[str, int] = {}
    try:
        node = compose(data.decode().replace("\t", " "), SafeLoader)
    except (YAMLError, UnicodeDecodeError):
        return line_by_field
    _add_lines(line_by_field, "", node)
    return line_by_field


def _add_lines(line_by_field, field, node: YamlNode):
    line_by_field[field] = node.start_mark.line + 1
    prefix = f"{field}." if field else ""
    match node:
        case MappingNode():
            for key, value in node.value:
                _add_lines(line_by_field, f"{prefix}{key.value}", value)
        case SequenceNode():
            for index, value in enumerate(node.value):
                _add_lines(line_by_field, f"{prefix}{index}", value)


def _error(path, message):
    return SettingsError([Problem(Source(path, 1), "", message)])
