"""The settings file that the platform writes for a process."""

from collections.abc import Mapping
from dataclasses import dataclass
import json
import os

from sesamehall.core.codes import SettingsError
from sesamehall.core.data import Problem
from sesamehall.core.data import Source
from sesamehall.core.jobtiming import LEADER_CORES
from sesamehall.core.managerstate import Timing
from sesamehall.platform.listening import SETTINGS_VARIABLE

METRICS_PORT = 7000  # deploy/system.toml names the same


@dataclass(frozen=True, slots=True)
class ProcessSettings:
    """What a process is told at its start.

    Attributes:
      name: Name of the machine that it runs on.
      data_centre: Where that machine stands.
      front: "host:port" for callers.
      ready: "host:port" for the balancer's question whether it is ready.
      metrics: "host:port" on which metrics are served.
      store: "host:port" of the platform's metadata store.
      machines: "host:port" of the platform's cloud interface, or "".
      advice: "host:port" of the advice service, or "".
      timing: Bounds that the platform sets.
      cores: Processor cores that the process may use.
    """

    name: str
    data_centre: str
    front: str
    ready: str
    metrics: str
    store: str
    machines: str
    advice: str
    timing: Timing
    cores: float = LEADER_CORES


def load_settings(environment: Mapping[str, str]) -> ProcessSettings:
    """Load the file that the environment names.

    Args:
      environment: Variables of the process.
    Returns:
      The settings.
    Raises:
      SettingsError: The file is missing, or not valid.
    """
    path = environment.get(SETTINGS_VARIABLE, "")
    try:
        with open(path, encoding="utf-8") as file:
            content = json.load(file)
    except OSError as error:
        raise _error(path, "", error.strerror or "unreadable") from error
    except json.JSONDecodeError as error:
        raise _error(path, "", error.msg, error.lineno) from error
    return decode_settings(content, os.path.basename(path))


def decode_settings(content: object, file: str) -> ProcessSettings:
    """Decode the content of a settings file.

    Args:
      content: The decoded JSON.
      file: Name of the file, for problems.
    Returns:
      The settings.
    Raises:
      SettingsError: A field is missing or of another type.
    """
    problems: list[Problem] = []

    def text(*names: str, default: str | None = None) -> str:
        value = _look_up(content, names)
        if value is None and default is not None:
            return default
        if not isinstance(value, str) or not value:
            message = "must be a text that is not empty"
            problems.append(Problem(Source(file, 1), ".".join(names), message))
            return ""
        return value

    def milliseconds(name: str, default: int, factor: int = 1) -> int:
        value = _look_up(content, ("Bounds", name))
        if value is None:
            return default
        if not _is_number(value):
            message = "must be a number"
            problems.append(
                Problem(Source(file, 1), f"Bounds.{name}", message)
            )
            return default
        return int(value * factor)

    def cores() -> float:
        share = _look_up(content, ("Limits", "CpuShare"))
        speed = _look_up(content, ("Limits", "Cores"))
        if share is None:
            return LEADER_CORES
        if not _is_number(share) or not _is_number(speed or 1):
            problems.append(
                Problem(Source(file, 1), "Limits", "must hold numbers")
            )
            return LEADER_CORES
        return share * (speed or 1)

    usual = Timing()
    settings = ProcessSettings(
        name=text("Node"),
        data_centre=text("Zone"),
        front=text("Listen", "Front"),
        ready=text("Listen", "Ready"),
        metrics=f"{text('Ip')}:{METRICS_PORT}",
        store=text("platform", "Address"),
        machines=text("CloudApi", "Address", default="") or "",
        advice=text("Advice", default="") or "",
        timing=Timing(
            max_lease_ms=milliseconds("HoldMaxMs", usual.max_lease_ms),
            max_stop_ms=milliseconds("StopMs", usual.max_stop_ms),
            down_after_ms=milliseconds("NoticeMs", usual.down_after_ms),
            order_pause_ms=milliseconds("LeaseMs", usual.order_pause_ms),
            move_ms=milliseconds("MoveS", usual.move_ms, 1_000),
            maintenance_ms=milliseconds(
                "UpkeepS", usual.maintenance_ms, 1_000
            ),
            status_retention_ms=milliseconds(
                "status_s", usual.status_retention_ms, 1_000
            ),
        ),
        cores=cores(),
    )
    if problems:
        raise SettingsError(problems)
    return settings


def _is_number(value):
    return isinstance(value, int | float) and not isinstance(value, bool)


def _look_up(content, names):
    for name in names:
        if not isinstance(content, dict):
            return None
        content = content.get(name)
    return content


def _error(path, field, message, line=1):
    return SettingsError([Problem(Source(path, line), field, message)])
