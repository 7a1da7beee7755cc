"""Check of a manifest and of waves before operators send them."""

import json
from typing import NoReturn

from sesamehall.core.codes import SesamehallError
from sesamehall.core.codes import SettingsError
from sesamehall.core.fleet import Stream
from sesamehall.core.manifest import Manifest
from sesamehall.platform.manifestfile import ignored_values
from sesamehall.platform.manifestfile import load_manifest
from sesamehall.platform.manifestfile import load_wave
from sesamehall.platform.manifestfile import locate
from sesamehall.platform.manifestfile import OperatorFile
from sesamehall.platform.store import StoreClient
from sesamehall.reducer.manifests.changes import check_version
from sesamehall.reducer.manifests.changes import list_changes
from sesamehall.reducer.manifests.findings import check_manifest
from sesamehall.reducer.manifests.findings import check_wave
from sesamehall.reducer.manifests.wording import describe_change
from sesamehall.reducer.manifests.wording import describe_finding
from sesamehall.scripts.problems import exit_with_problems

EXIT_FINDINGS = 1
EXIT_UNREACHABLE = 3
FORMATS = ("text", "json")


def check_files(
    manifest: str, waves: list[str], in_force: str, store: str, format: str
) -> None:
    """Check a manifest and waves, print what was found, and exit.

    Args:
      manifest: File with a manifest, or "".
      waves: Files with a wave each.
      in_force: File with the version in force, or "".
      store: "host:port" of the store that has that version, or "".
      format: One of FORMATS.
    """
    if format not in FORMATS:
        raise SystemExit(f"--format must be one of {', '.join(FORMATS)}")
    rows = []
    try:
        if manifest:
            file = load_manifest(manifest)
            old = _version_in_force(in_force, store)
            rows += _manifest_rows(file, old)
        for path in waves:
            file = load_wave(path)
            rows += _finding_rows(file, check_wave(file.value))
    except SettingsError as error:
        exit_with_problems(error)
    _print_rows(rows, format)
    if any(row["kind"] == "finding" for row in rows):
        raise SystemExit(EXIT_FINDINGS)


def _manifest_rows(file: OperatorFile, in_force: Manifest | None):
    findings = check_manifest(file.value) + ignored_values(file)
    changes = []
    if in_force is not None:
        findings += check_version(file.value, in_force)
        changes = list_changes(file.value, in_force)
    return _finding_rows(file, findings) + [
        _row("change", file.path, 0, "", describe_change(change))
        for change in changes
    ]


def _finding_rows(file: OperatorFile, findings):
    rows = []
    for finding in findings:
        place = locate(file, finding)
        line = place.source.line
        text = describe_finding(finding)
        rows.append(_row("finding", file.path, line, place.field, text))
    return sorted(rows, key=lambda row: (row["line"], row["message"]))


def _row(kind, file, line, field, message):
    return {
        "kind": kind,
        "file": file,
        "line": line,
        "field": field,
        "message": message,
    }


def _print_rows(rows, format):
    if format == "json":
        print(json.dumps(rows, indent=1))
        return
    for row in rows:
        if row["kind"] == "change":
            print(f"change: {row['message']}")
        else:
            name = f"{row['field']}: " if row["field"] else ""
            print(f"{row['file']}:{row['line']}: {name}{row['message']}")
    if not rows:
        print("no problems")


def _version_in_force(path: str, store: str) -> Manifest | None:
    if path:
        return load_manifest(path).value
    if not store:
        return None
    try:
        records = StoreClient(store).read_newest(Stream.OPERATOR).records
    except SesamehallError as error:
        _exit_unreachable(store, error)
    for record in records:
        if isinstance(record.value, Manifest):
            return record.value
    return None


def _exit_unreachable(store, error) -> NoReturn:
    print(f"{store}: the version in force cannot be read: {error}")
    raise SystemExit(EXIT_UNREACHABLE) from error
