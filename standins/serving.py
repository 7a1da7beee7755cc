"""HTTP server of the stand-ins, built on Cheroot like the entry's."""

from collections.abc import Callable
from dataclasses import dataclass
import json
import signal
from urllib.parse import parse_qsl

from cheroot.wsgi import Server


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request to a stand-in.

    Attributes:
      method: HTTP method.
      uri: Path and query string, not decoded.
      path: Decoded path.
      query: Query parameters by name; the last value of a repeated name.
      headers: Headers by lower-case name.
      body: Complete body.
    """

    method: str
    uri: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    @property
    def form(self) -> dict[str, str]:
        """Decode the body as URL-encoded form data.

        Returns:
          Form fields by name.
        """
        return dict(parse_qsl(self.body.decode()))


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response of a stand-in.

    Attributes:
      status: HTTP status.
      body: Complete body.
      headers: Names and values, without Content-Length.
    """

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


def json_response(value, status: int = 200) -> HttpResponse:
    """Build a response with a JSON body.

    Args:
      value: Value to encode.
      status: HTTP status.
    Returns:
      The response.
    """
    content_type = ("Content-Type", "application/json")
    return HttpResponse(status, json.dumps(value).encode(), (content_type,))


def wsgi_application(
    handle: Callable[[HttpRequest], HttpResponse],
) -> Callable:
    """Wrap a request handler as a WSGI application.

    Args:
      handle: Request handler; must be thread-safe.
    Returns:
      The WSGI application.
    """

    def application(environ, start_response):
        request = _parse_request(environ)
        if len(request.body) < int(environ.get("CONTENT_LENGTH") or 0):
            # The client broke off; such a request is not carried out.
            response = HttpResponse(400, b"incomplete")
        else:
            response = handle(request)
        content_length = ("Content-Length", str(len(response.body)))
        start_response(
            f"{response.status} Status",
            list(response.headers) + [content_length],
        )
        return [response.body]

    return application


def serve(
    listen: str, handle: Callable[[HttpRequest], HttpResponse], threads: int
) -> None:
    """Serve requests until SIGTERM or SIGINT.

    Args:
      listen: "host:port" to listen on.
      handle: Request handler; must be thread-safe.
      threads: Size of the thread pool.
    """
    host, _, port = listen.rpartition(":")
    application = wsgi_application(handle)
    server = Server((host, int(port)), application, numthreads=threads)
    server.shutdown_timeout = 1

    def on_signal(number, frame):
        raise SystemExit(0)

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    server.safe_start()


def _parse_request(environ) -> HttpRequest:
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    length = int(environ.get("CONTENT_LENGTH") or 0)
    return HttpRequest(
        method=environ["REQUEST_METHOD"],
        uri=environ["REQUEST_URI"],
        path=environ["PATH_INFO"],
        query=dict(parse_qsl(environ.get("QUERY_STRING", ""))),
        headers=headers,
        body=environ["wsgi.input"].read(length) if length else b"",
    )
