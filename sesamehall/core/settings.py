"""Settings of the programs, as read from their YAML files."""

from dataclasses import dataclass

from sesamehall.core.data import NodeKind


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Another daemon that this one keeps a stream with.

    Attributes:
      name: Name, unique over all data centres.
      kind: "entry" or "steward".
      data_centre: Name of its data centre.
      address: "host:port" on which it accepts streams.
    """

    name: str
    kind: NodeKind
    data_centre: str
    address: str


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of an entry.

    Attributes:
      name: Name, unique over all data centres.
      data_centre: Name of its data centre.
      http: "host:port" on which it serves callers.
      stream: "host:port" on which it accepts streams of peers.
      peers: All entries and stewards except this entry.
      threads: Maximum of requests that wait or run at this entry.
      queue_limit: Maximum of waiting requests of a team.
      body_limit_bytes: Maximum size of the body of a request or response.
      header_limit_bytes: Maximum size of the headers of a request.
      default_deadline_ms: Deadline of requests that set none.
      sender_timeout_s: Longest pause of a caller while sending a request.
      statsd: "host:port" of the metrics daemon, or "" for none.
      history: File to which all events are written, or "" for none.
    """

    name: str
    data_centre: str
    http: str
    stream: str
    peers: tuple[PeerSettings, ...] = ()
    threads: int = 128
    queue_limit: int = 256
    body_limit_bytes: int = 8 << 20
    header_limit_bytes: int = 32 << 10
    default_deadline_ms: int = 30_000
    sender_timeout_s: int = 10
    statsd: str = ""
    history: str = ""


@dataclass(frozen=True, slots=True)
class StewardSettings:
    """Settings of a steward.

    Attributes:
      name: Name, unique over all data centres.
      data_centre: Name of its data centre.
      stream: "host:port" on which it accepts streams of peers.
      platform: "host:port" of the platform.
      log_stream: Name of the platform's log stream.
      peers: All entries and stewards except this steward.
      statsd: "host:port" of the metrics daemon, or "" for none.
      history: File to which all events are written, or "" for none.
    """

    name: str
    data_centre: str
    stream: str
    platform: str
    log_stream: str = "sesamehall"
    peers: tuple[PeerSettings, ...] = ()
    statsd: str = ""
    history: str = ""


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """Settings of the operators' command line.

    Attributes:
      platform: "host:port" of the platform.
      log_stream: Name of the platform's log stream.
      entries: "host:port" of the entries' HTTP interfaces.
      timeout_s: Maximum time that a command waits for the platform.
    """

    platform: str
    log_stream: str = "sesamehall"
    entries: tuple[str, ...] = ()
    timeout_s: int = 10
