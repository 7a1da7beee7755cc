"""HTTP serving for the stand-ins, on the same server as the entry."""

from collections.abc import Callable
from dataclasses import dataclass
import json
import signal
from urllib.parse import parse_qsl

from cheroot.wsgi import Server


@dataclass(frozen=True, slots=True)
class Question:
    """A call to a stand-in.

    Attributes:
      method: HTTP method.
      uri: Path and query string as they arrived.
      path: The path alone.
      query: Query string by name; the last value of a name counts.
      headers: Headers by lower-case name.
      body: The whole body.
    """

    method: str
    uri: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    @property
    def form(self) -> dict[str, str]:
        """Read the body as a form.

        Returns:
          Values by name.
        """
        return dict(parse_qsl(self.body.decode()))


@dataclass(frozen=True, slots=True)
class Answer:
    """A stand-in's answer.

    Attributes:
      status: HTTP status.
      body: The whole body.
      headers: Names and values beside the length.
    """

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


def json_answer(value, status: int = 200) -> Answer:
    """Build an answer from a JSON value.

    Args:
      value: What to encode.
      status: HTTP status.
    Returns:
      The answer.
    """
    kind = ("Content-Type", "application/json")
    return Answer(status, json.dumps(value).encode(), (kind,))


def wsgi_application(answer: Callable[[Question], Answer]) -> Callable:
    """Make a stand-in a WSGI application.

    Args:
      answer: Answers a call; called from many threads.
    Returns:
      The application.
    """

    def application(environ, start_response):
        result = answer(_read_question(environ))
        length = ("Content-Length", str(len(result.body)))
        start_response(
            f"{result.status} Status", list(result.headers) + [length]
        )
        return [result.body]

    return application


def serve(
    listen: str, answer: Callable[[Question], Answer], threads: int
) -> None:
    """Serve until SIGTERM.

    Args:
      listen: "host:port".
      answer: Answers a call; called from many threads.
      threads: Calls served at once.
    """
    host, _, port = listen.rpartition(":")
    application = wsgi_application(answer)
    server = Server((host, int(port)), application, numthreads=threads)
    server.shutdown_timeout = 1

    def on_signal(number, frame):
        raise SystemExit(0)

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    server.safe_start()


def _read_question(environ) -> Question:
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    length = int(environ.get("CONTENT_LENGTH") or 0)
    return Question(
        method=environ["REQUEST_METHOD"],
        uri=environ["REQUEST_URI"],
        path=environ["PATH_INFO"],
        query=dict(parse_qsl(environ.get("QUERY_STRING", ""))),
        headers=headers,
        body=environ["wsgi.input"].read(length) if length else b"",
    )
