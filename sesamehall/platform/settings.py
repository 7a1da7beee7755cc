"""Settings of a manager process, from a file that the platform writes."""

from collections.abc import Mapping
from dataclasses import dataclass
import json
import os

from sesamehall.codecs.addresses import is_address
from sesamehall.codecs.addresses import MAX_PORT
from sesamehall.codecs.jsonfields import MAX_INTEGER
from sesamehall.core.codes import SettingsError
from sesamehall.core.data import Problem
from sesamehall.core.data import Source
from sesamehall.core.jobtiming import LEADER_CORES
from sesamehall.core.managerstate import Timing
from sesamehall.platform.listening import SETTINGS_PATH_VARIABLE

METRICS_PORT = 7000  # must match deploy/system.toml


@dataclass(frozen=True, slots=True)
class ProcessSettings:
    """Settings that a process reads when it starts.

    Attributes:
      name: Name of the machine that it runs on.
      data_centre: Data centre of that machine.
      front_address: "host:port" on which callers are served.
      readiness_address: "host:port" of the load balancer's health check.
      metrics_address: "host:port" on which metrics are served.
      store_address: "host:port" of the platform's metadata store.
      cloud_api_address: "host:port" of the platform's cloud API, or "".
      advice_address: "host:port" of the advice service, or "".
      timing: Time limits that the platform sets.
      cores: Processor cores that the process may use.
      peer_address: "host:port" for the calls that other managers forward, on
        the first internal port that metrics do not use, or "" without one.
    """

    name: str
    data_centre: str
    front_address: str
    readiness_address: str
    metrics_address: str
    store_address: str
    cloud_api_address: str
    advice_address: str
    timing: Timing
    cores: float = LEADER_CORES
    peer_address: str = ""


def load_settings(environment: Mapping[str, str]) -> ProcessSettings:
    """Load the settings file that an environment variable names.

    Args:
      environment: Environment variables of the process.
    Returns:
      The settings.
    Raises:
      SettingsError: The file is missing or not valid.
    """
    path = environment.get(SETTINGS_PATH_VARIABLE, "")
    if not path:
        message = "must name the settings file"
        raise _error("environment", SETTINGS_PATH_VARIABLE, message)
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
    except OSError as error:
        raise _error(path, "", error.strerror or "unreadable") from error
    except json.JSONDecodeError as error:
        raise _error(path, "", error.msg, error.lineno) from error
    except (ValueError, RecursionError) as error:
        raise _error(path, "", f"is not JSON: {error}") from error
    return decode_settings(document, os.path.basename(path))


def unusable_address(environment: Mapping[str, str]) -> SettingsError:
    """Build the error of a process that cannot listen on its addresses.

    Args:
      environment: Environment variables of the process.
    Returns:
      The error.
    """
    path = environment.get(SETTINGS_PATH_VARIABLE, "")
    message = "or the metrics port cannot be listened on"
    return _error(path, "Listen", message)


def decode_settings(document: object, file: str) -> ProcessSettings:
    """Decode the content of a settings file.

    Args:
      document: The decoded JSON.
      file: Name of the file, to report problems.
    Returns:
      The settings.
    Raises:
      SettingsError: A field is missing or has another type.
    """
    problems: list[Problem] = []

    def read_string(*keys: str, default: str | None = None) -> str:
        value = _look_up(document, keys)
        if value is None and default is not None:
            return default
        if not isinstance(value, str) or not value:
            message = "must be a non-empty string"
            problems.append(Problem(Source(file, 1), ".".join(keys), message))
            return ""
        return value

    def read_address(*keys: str, default: str | None = None) -> str:
        address = read_string(*keys, default=default)
        if address and not is_address(address):
            message = f"must be host:port, not {address!a}"
            problems.append(Problem(Source(file, 1), ".".join(keys), message))
        return address

    def read_ms(name: str, default: int, ms_per_unit: int = 1) -> int:
        value = _look_up(document, ("Bounds", name))
        if value is None:
            return default
        if not _is_number(value):
            message = "must be a number of at least 0"
            problems.append(
                Problem(Source(file, 1), f"Bounds.{name}", message)
            )
            return default
        return int(value * ms_per_unit)

    def read_cores() -> float:
        cpu_share = _look_up(document, ("Limits", "CpuShare"))
        core_count = _look_up(document, ("Limits", "Cores"))
        if cpu_share is None:
            return LEADER_CORES
        factors = (cpu_share, core_count or 1)
        if not all(_is_number(factor) and factor > 0 for factor in factors):
            problems.append(
                Problem(
                    Source(file, 1), "Limits", "must contain positive numbers"
                )
            )
            return LEADER_CORES
        return cpu_share * (core_count or 1)

    def read_peer_address() -> str:
        ports = _look_up(document, ("InternalPorts",))
        if ports is None:
            return ""
        if not _is_port_range(ports):
            problems.append(
                Problem(Source(file, 1), "InternalPorts", "must be two ports")
            )
            return ""
        first, last = ports
        port = first + 1 if first == METRICS_PORT else first
        return f"{read_string('Ip')}:{port}" if port <= last else ""

    defaults = Timing()
    settings = ProcessSettings(
        name=read_string("Node"),
        data_centre=read_string("Zone"),
        front_address=read_address("Listen", "Front"),
        readiness_address=read_address("Listen", "Ready"),
        metrics_address=f"{read_string('Ip')}:{METRICS_PORT}",
        store_address=read_address("platform", "Address"),
        cloud_api_address=read_address("CloudApi", "Address", default=""),
        advice_address=read_address("Advice", default=""),
        timing=Timing(
            max_lease_ms=read_ms("HoldMaxMs", defaults.max_lease_ms),
            max_stop_ms=read_ms("StopMs", defaults.max_stop_ms),
            down_after_ms=read_ms("NoticeMs", defaults.down_after_ms),
            order_pause_ms=read_ms("LeaseMs", defaults.order_pause_ms),
            move_ms=read_ms("MoveS", defaults.move_ms, 1_000),
            maintenance_ms=read_ms("UpkeepS", defaults.maintenance_ms, 1_000),
            status_retention_ms=read_ms(
                "status_s", defaults.status_retention_ms, 1_000
            ),
            drain_within_ms=read_ms("EvacuateMs", defaults.drain_within_ms),
            max_stretch_ms=read_ms("MaxStretchMs", defaults.max_stretch_ms),
        ),
        cores=read_cores(),
        peer_address=read_peer_address(),
    )
    if problems:
        raise SettingsError(problems)
    return settings


def _is_number(value):
    """Check for a number in the range that all settings share."""
    if not isinstance(value, int | float) or isinstance(value, bool):
        return False
    return 0 <= value <= MAX_INTEGER  # false for NaN


def _is_port_range(value):
    if not isinstance(value, list) or len(value) != 2:
        return False
    return all(type(port) is int and 1 <= port <= MAX_PORT for port in value)


def _look_up(document, keys):
    for key in keys:
        if not isinstance(document, dict):
            return None
        document = document.get(key)
    return document


def _error(path, field, message, line=1):
    return SettingsError([Problem(Source(path, line), field, message)])
